#include <gtest/gtest.h>

#include "fakes/fake_disk.h"
#include "persimmonring/log.h"

namespace ring {
namespace {

const WalIdentity kIdentity = {"r", "g", 1};

LogEntry Entry(uint64_t index, uint64_t term = 1) {
  return {term, index, 100, LogEntryKind::kCommand,
          "data-" + std::to_string(index) + "-" + std::to_string(term)};
}

class WalTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(Wal::Initialize(disk_, kIdentity, members_));
  }

  Outcome<std::unique_ptr<Wal>> Open() {
    return Wal::Open(disk_, {.identity = kIdentity});
  }

  // Entries 2 to 4, one record each.
  void AppendThreeEntries() {
    auto wal = Open();
    ASSERT_TRUE(wal);
    for (uint64_t index = 2; index <= 4; ++index) {
      ASSERT_TRUE((*wal)->Append(HardState{1, 1}, {Entry(index)}));
    }
  }

  // The log file; makes its current contents durable.
  std::string& SyncedLog() {
    FakeDisk::Medium::File& file = medium_->files.at("log");
    file.durable = file.cached;
    return file.cached;
  }

  const std::vector<Member> members_ = {{1, "k1", true}};
  std::shared_ptr<FakeDisk::Medium> medium_ =
      std::make_shared<FakeDisk::Medium>();
  FakeDisk disk_{medium_};
};

// Guards against a keeper that does not recognize its own data and joins under
// a new id, because the id lost bits in the identity file: ids use all 64 bits.
TEST(WalIdentityTest, LargestId_IsReadBackUnchanged) {
  FakeDisk disk(std::make_shared<FakeDisk::Medium>());
  const auto none = Wal::ReadIdentity(disk);
  ASSERT_TRUE(none.ok());
  EXPECT_FALSE(none->has_value());
  const WalIdentity identity = {"r", "g", UINT64_MAX};
  ASSERT_TRUE(Wal::Initialize(disk, identity, {}).ok());
  const auto read = Wal::ReadIdentity(disk);
  ASSERT_TRUE(read.ok());
  EXPECT_EQ(*read, std::optional<WalIdentity>(identity));
}

TEST_F(WalTest, ReopenAfterAppends_ReturnsStateAndEntries) {
  AppendThreeEntries();
  const auto wal = Open();
  ASSERT_TRUE(wal);
  const DurableState& state = (*wal)->recovered();
  EXPECT_EQ(state.hard_state, (HardState{1, 1}));
  EXPECT_EQ(state.snapshot.config.members, members_);
  EXPECT_EQ(state.start_index, 1u);
  EXPECT_EQ(state.entries, (std::vector{Entry(2), Entry(3), Entry(4)}));
}

// Guards against entries of a deposed leader that reappear after a restart.
TEST_F(WalTest, AppendAtEarlierIndex_ReplacesLaterEntries) {
  AppendThreeEntries();
  {
    auto wal = Open();
    ASSERT_TRUE((*wal)->Append(HardState{2, 0}, {Entry(3, 2)}));
  }
  EXPECT_EQ((*Open())->recovered().entries,
            (std::vector{Entry(2), Entry(3, 2)}));
}

// Guards against a keeper that cannot start after a power cut during a write,
// or that drops more than the record that was being written.
TEST_F(WalTest, TornLastRecord_IsTruncatedAtEveryLength) {
  AppendThreeEntries();
  const size_t two = [&] {
    const std::string before = SyncedLog();
    auto wal = Open();
    const size_t size = SyncedLog().size();
    EXPECT_TRUE((*wal)->Append({}, {Entry(5)}));
    return size;
  }();
  const std::string whole = SyncedLog();
  for (size_t size = two; size < whole.size(); ++size) {
    SyncedLog() = whole.substr(0, size);
    SyncedLog();
    const auto wal = Open();
    ASSERT_TRUE(wal) << "cut to " << size << ": " << wal.refusal().message;
    EXPECT_EQ((*wal)->recovered().entries.size(), 3u) << "cut to " << size;
    EXPECT_EQ((*wal)->torn_bytes(), size - two);
  }
}

// Guards against taking a sector that was never written for damage.
TEST_F(WalTest, UnwrittenSectorInLastRecord_IsTruncated) {
  auto wal = Open();
  const size_t before = SyncedLog().size();
  LogEntry large = Entry(2);
  large.data = std::string(4'000, 'x');
  ASSERT_TRUE((*wal)->Append({}, {large}));
  std::string& bytes = SyncedLog();
  const size_t sector = (before / 512 + 3) * 512;
  std::fill_n(bytes.begin() + static_cast<std::ptrdiff_t>(sector), 512, '\0');
  SyncedLog();
  const auto reopened = Open();
  ASSERT_TRUE(reopened) << reopened.refusal().message;
  EXPECT_TRUE((*reopened)->recovered().entries.empty());
}

// Guards against silently dropping damaged records that were synced. Flips
// every bit of the log file in turn.
TEST_F(WalTest, FlippedBit_IsCorruptDataAndNeverDropsEntries) {
  AppendThreeEntries();
  const std::string whole = SyncedLog();
  for (size_t bit = 0; bit < whole.size() * 8; ++bit) {
    SyncedLog() = whole;
    FakeDisk::FlipBit(*medium_, "log", bit);
    SyncedLog();
    const auto wal = Open();
    ASSERT_FALSE(wal) << "bit " << bit;
    EXPECT_EQ(wal.refusal().reason, Reason::kCorruptData);
    EXPECT_NE(wal.refusal().message.find("damaged"), std::string::npos)
        << wal.refusal().message;
  }
}

TEST_F(WalTest, DamagedSnapshotOrIdentity_IsCorruptData) {
  for (const char* file : {"snapshot", "identity.json"}) {
    const FakeDisk::Medium saved = *medium_;
    FakeDisk::FlipBit(*medium_, file, 20 * 8);
    const auto wal = Open();
    ASSERT_FALSE(wal) << file;
    EXPECT_EQ(wal.refusal().reason, Reason::kCorruptData);
    *medium_ = saved;
  }
}

// Guards against a replica that lost its disk and votes again under its old id,
// and against a folder that is mounted for another replica.
TEST_F(WalTest, EmptyOrForeignFolder_IsRefused) {
  const struct {
    WalIdentity identity;
    bool empty;
    const char* text;
  } cases[] = {
      {{"r", "g", 1}, true, "holds no identity.json"},
      {{"r", "g", 2}, false, "belongs to replica 1 of group 'g'"},
      {{"r", "h", 1}, false, "not to replica 1 of group 'h'"},
      {{"s", "g", 1}, false, "of ring 's'"},
  };
  for (const auto& test : cases) {
    FakeDisk empty(std::make_shared<FakeDisk::Medium>());
    DiskI& disk = test.empty ? empty : disk_;
    const auto wal = Wal::Open(disk, {.identity = test.identity});
    ASSERT_FALSE(wal);
    EXPECT_EQ(wal.refusal().reason, Reason::kCorruptData);
    EXPECT_NE(wal.refusal().message.find(test.text), std::string::npos)
        << wal.refusal().message;
  }
}

// Guards against --initialize wiping the vote of a replica whose identity file
// was lost.
TEST_F(WalTest, InitializeOverUsedLogWithoutIdentity_IsRefused) {
  AppendThreeEntries();
  ASSERT_TRUE(disk_.Remove("identity.json"));
  const Status status = Wal::Initialize(disk_, kIdentity, members_);
  EXPECT_EQ(status.refusal().reason, Reason::kCorruptData);
}

// Guards against a log that does not match the snapshot after the process ended
// between the replacement of one and the other.
TEST_F(WalTest, CrashBetweenSnapshotAndLog_KeepsConsistentState) {
  const struct {
    SnapshotMeta meta;
    size_t entries_left;
  } cases[] = {
      {{3, 1, 100, {members_}}, 3},  // In the log: all entries stay.
      {{3, 2, 100, {members_}}, 0},  // Not in the log: it has another term.
      {{9, 2, 100, {members_}}, 0},  // Beyond the log.
  };
  for (const auto& test : cases) {
    const FakeDisk::Medium saved = *medium_;
    AppendThreeEntries();
    auto wal = Open();
    // The first two operations write and rename the snapshot; the third
    // replaces the log.
    medium_->fail_at = medium_->operations + 3;
    EXPECT_FALSE((*wal)->SaveSnapshot({test.meta, "state"}, {2, 0}, 9, 2, {}));
    FakeDisk::CutPower(*medium_);
    const auto reopened = Open();
    ASSERT_TRUE(reopened) << reopened.refusal().message;
    EXPECT_EQ((*reopened)->recovered().snapshot, test.meta);
    EXPECT_EQ((*reopened)->recovered().entries.size(), test.entries_left);
    EXPECT_EQ((*reopened)->recovered().hard_state, (HardState{1, 1}));
    *medium_ = saved;
  }
}

struct DiskFault {
  bool power_cut;
  size_t partial_bytes;
  size_t kept_bytes;
};

class WalDiskFault : public testing::TestWithParam<DiskFault> {};

// Guards against losing an acknowledged write, and against a store that accepts
// writes after a failed one. Every write operation fails in turn.
TEST_P(WalDiskFault, FailAtEveryOperation_KeepsAllAcknowledgedEntries) {
  for (int64_t fail_at = 1; fail_at < 40; ++fail_at) {
    auto medium = std::make_shared<FakeDisk::Medium>();
    FakeDisk disk(medium);
    ASSERT_TRUE(Wal::Initialize(disk, kIdentity, {{1, "k1", true}}));
    medium->fail_at = medium->operations + fail_at;
    medium->partial_bytes = GetParam().partial_bytes;
    uint64_t acknowledged = 1;
    HardState hard_state;
    for (int round = 0; round < 4; ++round) {
      auto wal = Wal::Open(disk, {.identity = kIdentity});
      if (!wal) {
        ASSERT_EQ(wal.refusal().reason, Reason::kStorageFailed);
        continue;
      }
      const auto& found = (*wal)->recovered();
      const uint64_t last = std::max(found.start_index + found.entries.size(),
                                     found.snapshot.index);
      ASSERT_GE(last, acknowledged) << "operation " << fail_at;
      ASSERT_GE(found.hard_state, hard_state);
      acknowledged = last;
      Status status = Done{};
      for (int i = 0; i < 3 && status; ++i) {
        const HardState next = {hard_state.term + 1, 1};
        status = (*wal)->Append(next, {Entry(acknowledged + 1)});
        if (status) {
          ++acknowledged;
          hard_state = next;
        }
      }
      if (status) {
        status = (*wal)->SaveSnapshot(
            {{acknowledged, 1, 100, {{{1, "k1", true}}}}, "s"}, hard_state,
            acknowledged, 1, {});
      }
      if (!status) {
        EXPECT_FALSE((*wal)->Append({}, {Entry(acknowledged + 1)}));
      }
      if (GetParam().power_cut) {
        FakeDisk::CutPower(*medium, GetParam().kept_bytes);
      }
    }
  }
}

// Guards against entries that are read back after a failed sync, count as
// synced, and are lost in the next power cut.
TEST_F(WalTest, ReopenAfterFailedSync_MakesEntriesDurableBeforeUse) {
  {
    auto wal = Open();
    medium_->fail_at = medium_->operations + 2;
    EXPECT_FALSE((*wal)->Append({}, {Entry(2)}));
  }
  ASSERT_EQ((*Open())->recovered().entries.size(), 1u);
  FakeDisk::CutPower(*medium_);
  EXPECT_EQ((*Open())->recovered().entries.size(), 1u);
}

// Image whose pieces have exactly the requested size.
class StringImage final : public StateImageI {
 public:
  explicit StringImage(std::string state) : state_(std::move(state)) {}
  bool Append(size_t bytes, std::string& out) override {
    out.append(state_, offset_, bytes);
    offset_ += bytes;
    return offset_ < state_.size();
  }

 private:
  const std::string state_;
  size_t offset_ = 0;
};

// Guards against turns that wait until a whole snapshot is written, and against
// losing entries that are appended meanwhile.
TEST_F(WalTest, AppendsBetweenPiecesOfSnapshot_AreKeptWithIt) {
  constexpr size_t kStateBytes = 3u << 20;
  constexpr size_t kMaxWriteBytes = 1u << 20;
  AppendThreeEntries();
  auto wal = Open();
  const std::string state(kStateBytes, 's');
  const SnapshotMeta meta = {4, 1, 100, {members_}};
  (*wal)->BeginSnapshot(meta, std::make_unique<StringImage>(state));
  uint64_t index = 4;
  std::vector<LogEntry> later;
  bool complete = false;
  while (!complete) {
    const uint64_t before = medium_->rewritten_bytes;
    const auto written = (*wal)->WriteSnapshotPiece();
    ASSERT_TRUE(written);
    complete = *written;
    EXPECT_LT(medium_->rewritten_bytes - before, kMaxWriteBytes);
    later.push_back(Entry(++index));
    ASSERT_TRUE((*wal)->Append({}, {later.back()}));
  }
  ASSERT_GT(later.size(), 3u);
  EXPECT_EQ((*wal)->LoadSnapshot()->meta.index, 1u);
  ASSERT_TRUE((*wal)->FinishSnapshot({1, 1}, 4, 1, later));
  FakeDisk::CutPower(*medium_);
  const auto reopened = Open();
  ASSERT_TRUE(reopened) << reopened.refusal().message;
  EXPECT_EQ((*reopened)->recovered().snapshot, meta);
  EXPECT_EQ((*reopened)->recovered().entries, later);
  const auto snapshot = (*reopened)->LoadSnapshot();
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(*snapshot, (Snapshot{meta, state}));
}

// Guards against a member that receives chunks of two snapshots, because the
// leader saves the next one while it sends one.
TEST_F(WalTest, SnapshotReadInChunks_IsTheOneThatWasOpened) {
  std::string state(2u << 20, '\0');
  for (size_t i = 0; i < state.size(); ++i) {
    state[i] = static_cast<char>(i * 31 + i / 1'000);
  }
  auto wal = Open();
  const SnapshotMeta meta = {1, 1, 100, {members_}};
  ASSERT_TRUE((*wal)->SaveSnapshot({meta, state}, {1, 0}, 1, 1, {}));
  const auto source = (*wal)->VerifySnapshot();
  ASSERT_TRUE(source);
  ASSERT_TRUE((*wal)->SaveSnapshot({meta, "next"}, {1, 0}, 1, 1, {}));
  EXPECT_EQ((*source)->meta(), meta);
  EXPECT_EQ((*source)->size(), state.size());
  constexpr size_t kChunk = 100'001;
  std::string read;
  while (read.size() < state.size()) {
    const auto chunk = (*source)->Read(read.size(), kChunk);
    ASSERT_TRUE(chunk);
    ASSERT_FALSE(chunk->empty());
    read += *chunk;
  }
  EXPECT_EQ(read, state);
  EXPECT_TRUE((*source)->Read(state.size(), kChunk)->empty());
}

// Guards against a keeper that does not start after a crash while a snapshot
// was being written, or that loses acknowledged entries. Every write operation
// fails in turn, followed by a power cut.
TEST_F(WalTest, CrashWhileSnapshotIsWritten_KeepsAllEntries) {
  const FakeDisk::Medium saved = *medium_;
  bool whole = false;
  for (int64_t fail_at = 1; !whole; ++fail_at) {
    *medium_ = saved;
    AppendThreeEntries();
    auto wal = Open();
    medium_->fail_at = medium_->operations + fail_at;
    medium_->keep_failing = true;
    (*wal)->BeginSnapshot(
        {3, 1, 100, {members_}},
        std::make_unique<StringImage>(std::string(1u << 20, 's')));
    Status status = Done{};
    for (bool complete = false; status && !complete;) {
      const auto written = (*wal)->WriteSnapshotPiece();
      status = written ? Status(Done{}) : Status(written.refusal());
      complete = written && *written;
    }
    if (status) {
      status = (*wal)->FinishSnapshot({1, 1}, 3, 1, {Entry(4)});
    }
    whole = status.ok();
    FakeDisk::CutPower(*medium_);
    const auto reopened = Open();
    ASSERT_TRUE(reopened) << reopened.refusal().message;
    const DurableState& state = (*reopened)->recovered();
    EXPECT_EQ(state.start_index + state.entries.size(), 4u) << fail_at;
    EXPECT_EQ(state.entries.back(), Entry(4));
  }
}

// Guards against accepting a snapshot file that lacks its last pieces.
TEST_F(WalTest, SnapshotFileWithoutLastPieces_IsCorruptData) {
  auto wal = Open();
  (*wal)->BeginSnapshot(
      {1, 1, 100, {members_}},
      std::make_unique<StringImage>(std::string(2u << 20, 's')));
  ASSERT_FALSE(*(*wal)->WriteSnapshotPiece());
  ASSERT_FALSE(*(*wal)->WriteSnapshotPiece());
  const std::string begun = medium_->files.at("snapshot.tmp").cached;
  EXPECT_EQ(DecodeSnapshotFile(begun).refusal().reason, Reason::kCorruptData);
}

// Guards against a start that rewrites the whole log: 10 MB on a shared disk
// kept a whole ring from serving for 0.3 s.
TEST_F(WalTest, ReopenOfLongLog_RewritesTheLastRecordOnly) {
  constexpr uint64_t kEntries = 500;
  {
    auto wal = Open();
    for (uint64_t index = 2; index <= kEntries; ++index) {
      ASSERT_TRUE((*wal)->Append({}, {Entry(index)}));
    }
  }
  const std::string whole = SyncedLog();
  const uint64_t before = medium_->rewritten_bytes;
  ASSERT_TRUE(Open());
  EXPECT_EQ(SyncedLog(), whole);
  EXPECT_LT(medium_->rewritten_bytes - before, 2 * whole.size() / kEntries);
}

// Guards against new records appended behind a torn one.
TEST_F(WalTest, AppendAfterTornRecord_IsReadBack) {
  AppendThreeEntries();
  SyncedLog() += "torn";
  ASSERT_TRUE((*Open())->Append({}, {Entry(5)}));
  FakeDisk::CutPower(*medium_);
  const auto wal = Open();
  ASSERT_TRUE(wal) << wal.refusal().message;
  EXPECT_EQ((*wal)->recovered().entries.size(), 4u);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         WalDiskFault,
                         testing::Values(DiskFault{false, 0, 0},
                                         DiskFault{false, 7, 0},
                                         DiskFault{true, 0, 0},
                                         DiskFault{true, 33, 5},
                                         DiskFault{true, 33, 1'000}));

}  // namespace
}  // namespace ring
