#include "persimmonring/log.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "log_codec_p.h"
#include "log_record_p.h"
#include "log_snapshot_file_p.h"

namespace ring {
namespace {

constexpr char kIdentityFile[] = "identity.json";
constexpr char kLogFile[] = "log";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kTemporarySnapshotFile[] = "snapshot.tmp";
// Bytes of a snapshot written and synced at a time. Appends wait meanwhile:
// about 4 ms at 120 MB/s.
constexpr size_t kSnapshotPieceBytes = 512u << 10;
// Index and term of the initial snapshot, the same on all initial members.
constexpr uint64_t kInitialIndex = 1;

Refusal Corrupt(const std::string& text) {
  return {Reason::kCorruptData, RunState::kNotRun, text};
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string Describe(const WalIdentity& identity) {
  return "replica " + std::to_string(identity.replica) + " of group '" +
         identity.group + "' of ring '" + identity.ring + "'";
}

std::string EncodeIdentity(const WalIdentity& identity) {
  return nlohmann::json{{"format", 1},
                        {"ring", identity.ring},
                        {"group", identity.group},
                        {"replica", identity.replica}}
             .dump() +
         "\n";
}

Outcome<WalIdentity> LoadIdentity(DiskI& disk) {
  const auto bytes = disk.Read(kIdentityFile);
  if (!bytes) {
    return bytes.refusal();
  }
  try {
    const auto json = nlohmann::json::parse(*bytes);
    return WalIdentity{json.at("ring"), json.at("group"), json.at("replica")};
  } catch (const nlohmann::json::exception&) {
    return Corrupt(std::string(kIdentityFile) + " cannot be decoded");
  }
}

Status CheckIdentity(DiskI& disk, const WalIdentity& expected) {
  const auto found = LoadIdentity(disk);
  if (!found) {
    return found.refusal();
  }
  if (*found != expected) {
    return Corrupt("the folder belongs to " + Describe(*found) + ", not to " +
                   Describe(expected));
  }
  return Done{};
}

std::string EncodeLogStart(const HardState& hard_state,
                           uint64_t start_index,
                           uint64_t start_term,
                           const std::vector<LogEntry>& entries) {
  WalBatch batch;
  batch.start = true;
  batch.start_index = start_index;
  batch.start_term = start_term;
  batch.hard_state = hard_state;
  batch.entries = entries;
  return EncodeRecord(EncodeWalBatch(batch));
}

// Appends the entries of a record to the log. They replace those with the same
// and higher indexes.
Status ReplayEntries(DurableState& state, std::vector<LogEntry> entries) {
  for (LogEntry& entry : entries) {
    const uint64_t next = state.start_index + state.entries.size() + 1;
    if (entry.index <= state.start_index || entry.index > next) {
      return Corrupt("entry " + std::to_string(entry.index) +
                     " of a log record does not follow entry " +
                     std::to_string(next - 1));
    }
    state.entries.resize(entry.index - state.start_index - 1);
    state.entries.push_back(std::move(entry));
  }
  return Done{};
}

Status ReplayLog(const RecordScan& scan, DurableState& state) {
  bool first = true;
  for (const std::string_view payload : scan.payloads) {
    auto batch = DecodeWalBatch(payload);
    if (!batch) {
      return batch.refusal();
    }
    if (batch->start != first) {
      return Corrupt("the start record of the log file is missing or repeated");
    }
    if (first) {
      state.start_index = batch->start_index;
      state.start_term = batch->start_term;
    }
    first = false;
    if (batch->hard_state) {
      state.hard_state = *batch->hard_state;
    }
    if (Status status = ReplayEntries(state, std::move(batch->entries));
        !status) {
      return status;
    }
  }
  // The file is created atomically together with its start record.
  return first ? Status(Corrupt("the log file is empty")) : Status(Done{});
}

// Drops a log that does not contain the last entry of the snapshot. A snapshot
// from the leader is saved before the log is replaced, and the process may end
// between the two.
Status ReconcileWithSnapshot(DurableState& state) {
  const SnapshotMeta& snapshot = state.snapshot;
  const uint64_t last = state.start_index + state.entries.size();
  const bool at_start = snapshot.index == state.start_index;
  const bool holds_index =
      snapshot.index > state.start_index && snapshot.index <= last;
  const uint64_t term =
      at_start      ? state.start_term
      : holds_index ? state.entries[snapshot.index - state.start_index - 1].term
                    : 0;
  if ((at_start || holds_index) && term == snapshot.term) {
    return Done{};
  }
  if (snapshot.index < state.start_index) {
    return Corrupt("the snapshot ends at entry " +
                   std::to_string(snapshot.index) + ", but the log begins at " +
                   std::to_string(state.start_index + 1));
  }
  state.start_index = snapshot.index;
  state.start_term = snapshot.term;
  state.entries.clear();
  return Done{};
}

// Allows Initialize() to go on only in a folder without votes and entries, such
// as an interrupted Initialize() leaves.
Status CheckUninitialized(DiskI& disk, const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    if (name.ends_with(".tmp") || name == kSnapshotFile) {
      continue;
    }
    if (name != kLogFile) {
      return Corrupt("the folder holds the unknown file " + name);
    }
    DurableState state;
    const auto bytes = disk.Read(kLogFile);
    if (!bytes) {
      return bytes.refusal();
    }
    const auto scan = ScanRecords(*bytes);
    if (!scan || !ReplayLog(*scan, state) || state.hard_state.term > 1 ||
        state.hard_state.voted_for != 0 || !state.entries.empty()) {
      return Corrupt("the folder holds a log but no " +
                     std::string(kIdentityFile));
    }
  }
  return Done{};
}

// Image of a state that is already encoded.
class EncodedImage final : public StateImageI {
 public:
  explicit EncodedImage(std::string state)
      : owned_(std::move(state)), state_(owned_) {}
  /// @param state outlives the image
  explicit EncodedImage(std::string_view state) : state_(state) {}
  bool Append(size_t bytes, std::string& out) override {
    out.append(state_.substr(offset_, bytes));
    offset_ = std::min(offset_ + bytes, state_.size());
    return offset_ < state_.size();
  }

 private:
  const std::string owned_;
  const std::string_view state_;
  size_t offset_ = 0;
};

// A file in memory.
class MemoryFile final : public FileI {
 public:
  explicit MemoryFile(std::string bytes) : bytes_(std::move(bytes)) {}
  Outcome<std::string> ReadAt(uint64_t offset, size_t bytes) const override {
    return offset < bytes_.size() ? bytes_.substr(offset, bytes)
                                  : std::string();
  }

 private:
  const std::string bytes_;
};

// Buffers the pieces for a machine that loads its state as a whole.
class BufferingLoader final : public StateLoaderI {
 public:
  explicit BufferingLoader(StateMachineI& machine) : machine_(machine) {}
  Status Append(std::string_view bytes) override {
    state_ += bytes;
    return Done{};
  }
  Status Finish() override { return machine_.Load(state_); }

 private:
  StateMachineI& machine_;
  std::string state_;
};

}  // namespace

std::string EncodeSnapshotFile(const Snapshot& snapshot) {
  const std::string meta = EncodeSnapshotMeta(snapshot.meta);
  std::string file;
  file.reserve(meta.size() + snapshot.data.size() + 2 * kRecordOverhead);
  AppendRecord(file, meta);
  AppendRecord(file, snapshot.data);
  return file;
}

Outcome<Snapshot> DecodeSnapshotFile(std::string bytes) {
  const auto file =
      SnapshotFile::FromFile(std::make_shared<MemoryFile>(std::move(bytes)));
  return file ? (*file)->ReadAll() : file.refusal();
}

std::unique_ptr<StateImageI> StateMachineI::BeginSave() const {
  return std::make_unique<EncodedImage>(Save());
}

std::unique_ptr<StateLoaderI> StateMachineI::BeginLoad() {
  return std::make_unique<BufferingLoader>(*this);
}

Status Wal::Initialize(DiskI& disk,
                       const WalIdentity& identity,
                       const std::vector<Member>& initial_members) {
  const auto names = disk.List();
  if (!names) {
    return names.refusal();
  }
  if (Contains(*names, kIdentityFile)) {
    return CheckIdentity(disk, identity);
  }
  if (Status status = CheckUninitialized(disk, *names); !status) {
    return status;
  }
  SnapshotMeta meta;
  if (!initial_members.empty()) {
    meta = {kInitialIndex, kInitialIndex, 0, {initial_members}};
  }
  Status status = disk.Replace(kSnapshotFile, EncodeSnapshotFile({meta, ""}));
  if (status) {
    status = disk.Replace(
        kLogFile, EncodeLogStart({meta.term, 0}, meta.index, meta.term, {}));
  }
  // Written last: a folder without identity counts as uninitialized.
  return status ? disk.Replace(kIdentityFile, EncodeIdentity(identity))
                : status;
}

Outcome<std::optional<WalIdentity>> Wal::ReadIdentity(DiskI& disk) {
  const auto names = disk.List();
  if (!names) {
    return names.refusal();
  }
  if (!Contains(*names, kIdentityFile)) {
    return std::optional<WalIdentity>();
  }
  const auto identity = LoadIdentity(disk);
  if (!identity) {
    return identity.refusal();
  }
  return std::optional<WalIdentity>(*identity);
}

Outcome<std::unique_ptr<Wal>> Wal::Open(DiskI& disk, const Init& init) {
  const auto names = disk.List();
  if (!names) {
    return names.refusal();
  }
  if (!Contains(*names, kIdentityFile)) {
    return Corrupt(
        "the folder holds no " + std::string(kIdentityFile) + " for " +
        Describe(init.identity) +
        "; initialize the folder of a new replica first. Never initialize it "
        "for a replica whose data was lost: remove its id from the group and "
        "add a new id");
  }
  if (Status status = CheckIdentity(disk, init.identity); !status) {
    return status.refusal();
  }
  std::unique_ptr<Wal> wal(new Wal(disk));
  if (Status status = wal->Recover(); !status) {
    return status.refusal();
  }
  if (!init.read_only) {
    if (Status status = wal->RewriteLastRecord(); !status) {
      return status.refusal();
    }
  }
  return wal;
}

Status Wal::Recover() {
  const auto snapshot = SnapshotFile::Open(disk_, kSnapshotFile);
  if (!snapshot) {
    return snapshot.refusal();
  }
  recovered_.snapshot = (*snapshot)->meta();
  const auto bytes = disk_.Read(kLogFile);
  if (!bytes) {
    return bytes.refusal();
  }
  const auto scan = ScanRecords(*bytes);
  if (!scan) {
    Refusal refusal = scan.refusal();
    refusal.message = "log file: " + refusal.message;
    return refusal;
  }
  torn_bytes_ = bytes->size() - scan->valid_bytes;
  log_bytes_ = scan->valid_bytes;
  last_record_ = bytes->substr(scan->last_record_offset,
                               log_bytes_ - scan->last_record_offset);
  if (Status status = ReplayLog(*scan, recovered_); !status) {
    return status;
  }
  return ReconcileWithSnapshot(recovered_);
}

Status Wal::RewriteLastRecord() {
  const uint64_t offset = log_bytes_ - last_record_.size();
  return disk_.RewriteTail(kLogFile, offset, std::exchange(last_record_, {}));
}

Status Wal::RewriteLog(const DurableState& state) {
  const std::string bytes = EncodeLogStart(state.hard_state, state.start_index,
                                           state.start_term, state.entries);
  Status status = disk_.Replace(kLogFile, bytes);
  failed_ = !status.ok();
  log_bytes_ = bytes.size();
  return status;
}

Status Wal::CheckUsable() const {
  if (failed_) {
    return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                   "an earlier write failed; the store must be reopened"};
  }
  return Done{};
}

Status Wal::Append(const std::optional<HardState>& hard_state,
                   const std::vector<LogEntry>& entries) {
  Status status = CheckUsable();
  if (!status) {
    return status;
  }
  WalBatch batch;
  batch.hard_state = hard_state;
  batch.entries = entries;
  const std::string record = EncodeRecord(EncodeWalBatch(batch));
  status = disk_.Append(kLogFile, record);
  if (status) {
    status = disk_.Sync(kLogFile);
  }
  failed_ = !status.ok();
  log_bytes_ += record.size();
  return status;
}

Status Wal::SaveSnapshot(const Snapshot& snapshot,
                         const HardState& hard_state,
                         uint64_t start_index,
                         uint64_t start_term,
                         const std::vector<LogEntry>& entries) {
  // Discards a snapshot that is being written.
  BeginSnapshot(snapshot.meta, std::make_unique<EncodedImage>(
                                   std::string_view(snapshot.data)));
  for (bool complete = false; !complete;) {
    const auto written = WriteSnapshotPiece();
    if (!written) {
      return written.refusal();
    }
    complete = *written;
  }
  return FinishSnapshot(hard_state, start_index, start_term, entries);
}

void Wal::BeginSnapshot(const SnapshotMeta& meta,
                        std::unique_ptr<StateImageI> image) {
  image_ = std::move(image);
  writing_meta_ = meta;
  snapshot_bytes_ = 0;
  snapshot_state_bytes_ = 0;
}

Outcome<bool> Wal::WriteSnapshotPiece() {
  if (Status status = CheckUsable(); !status) {
    return status.refusal();
  }
  std::string piece;
  piece.reserve(kSnapshotPieceBytes + kSnapshotPieceBytes / 4);
  const bool more = image_->Append(kSnapshotPieceBytes, piece);
  std::string records;
  records.reserve(piece.size() + 3 * kRecordOverhead);
  if (snapshot_bytes_ == 0) {
    AppendRecord(records, EncodeSnapshotMeta(writing_meta_));
  }
  AppendRecord(records, piece);
  snapshot_state_bytes_ += piece.size();
  if (!more) {
    AppendRecord(records, std::to_string(snapshot_state_bytes_));
  }
  const Status status =
      disk_.RewriteTail(kTemporarySnapshotFile, snapshot_bytes_, records);
  if (!status) {
    image_.reset();
    failed_ = true;
    return status.refusal();
  }
  snapshot_bytes_ += records.size();
  return !more;
}

Status Wal::FinishSnapshot(const HardState& hard_state,
                           uint64_t start_index,
                           uint64_t start_term,
                           const std::vector<LogEntry>& entries) {
  image_.reset();
  Status status = CheckUsable();
  if (status) {
    status = disk_.Rename(kTemporarySnapshotFile, kSnapshotFile);
    failed_ = !status.ok();
  }
  return status ? RewriteLog({hard_state, writing_meta_, start_index,
                              start_term, entries})
                : status;
}

Outcome<std::shared_ptr<const SnapshotSourceI>> Wal::VerifySnapshot() const {
  const auto file = SnapshotFile::Open(disk_, kSnapshotFile);
  if (!file) {
    return file.refusal();
  }
  return std::shared_ptr<const SnapshotSourceI>(*file);
}

Status Wal::LoadState(StateMachineI& machine) const {
  const auto file = SnapshotFile::Open(disk_, kSnapshotFile);
  if (!file) {
    return file.refusal();
  }
  if ((*file)->size() == 0) {
    return Done{};
  }
  const auto loader = machine.BeginLoad();
  const Status status = (*file)->ForEachPiece(
      [&](std::string_view piece) { return loader->Append(piece); });
  return status ? loader->Finish() : status;
}

Outcome<Snapshot> Wal::LoadSnapshot() const {
  const auto file = SnapshotFile::Open(disk_, kSnapshotFile);
  return file ? (*file)->ReadAll() : file.refusal();
}

}  // namespace ring
