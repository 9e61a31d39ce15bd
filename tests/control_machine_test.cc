#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <nlohmann/json.hpp>

#include "fakes/fake_clock.h"
#include "persimmonring/control.h"

namespace ring {
namespace {

std::string AddedBody(const std::string& items) {
  return R"({"added": [)" + items + "]}";
}

ReleaseNote MakeNote(uint64_t number, const std::string& name) {
  return {number, "operator-1",
          AddedBody(R"({"kind": "team", "name": ")" + name + R"("})")};
}

class ControlStoreTest : public testing::Test {
 protected:
  FakeClock clock_;
  std::unique_ptr<ControlStoreI> store_ = CreateLocalControlStore(clock_);
};

struct BadNote {
  const char* body;
  const char* path;
};

// Guards against an invalid note that is accepted, and against an error message
// that does not name the invalid field.
TEST(CheckNote, InvalidFields_AreRefusedWithTheirPath) {
  const BadNote cases[] = {
      {"{", "body"},
      {"[]", "body"},
      {"{}", "body"},
      {R"({"removed": []})", "removed"},
      {R"({"added": {}})", "added"},
      {R"({"added": [1]})", "added[0]"},
      {R"({"added": [{"kind": "cpu", "name": "a"}]})", "added[0].kind"},
      {R"({"added": [{"kind": "team"}]})", "added[0].name"},
      {R"({"added": [{"kind": "team", "name": "a b"}]})", "added[0].name"},
      {R"({"added": [{"kind": "adapter", "name": "a"}]})", "added[0].model"},
      {R"({"added": [{"kind": "model", "name": "a", "version": 3}]})",
       "added[0].version"},
      {R"({"added": [{"kind": "model", "name": "a", "upstreams": [1]}]})",
       "added[0].upstreams[0]"},
      {R"({"added": [{"kind": "team", "name": "a"}],
           "withdrawn": [{"kind": "team", "name": "a"}]})",
       "withdrawn[0]"},
  };
  for (const BadNote& bad : cases) {
    const Status status = CheckNote({1, "operator", bad.body});
    EXPECT_EQ(status.refusal().reason, Reason::kBadRequest) << bad.body;
    EXPECT_EQ(status.refusal().message.rfind(std::string(bad.path) + ":", 0),
              0u)
        << status.refusal().message;
  }
  EXPECT_FALSE(CheckNote({0, "operator", MakeNote(1, "a").body}).ok());
  EXPECT_FALSE(CheckNote({1, "", MakeNote(1, "a").body}).ok());
  EXPECT_TRUE(CheckNote(MakeNote(1, "a")).ok());
}

// Guards against a deeply nested note that overflows the stack of every keeper.
TEST(CheckNote, DeepNesting_IsRefused) {
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  EXPECT_FALSE(CheckNote({1, "operator", deep}).ok());
  EXPECT_FALSE(DigestOf({1, "operator", deep}).empty());
}

// Guards against a repeated note that is refused because its JSON is formatted
// differently, and against equal digests of different notes.
TEST(DigestOf, Formatting_DoesNotMatterButContentDoes) {
  const ReleaseNote note{1, "o", R"({"added": [{"kind":"team","name":"a"}]})"};
  ReleaseNote spaced = note;
  spaced.body = R"( {"added":[{"name" : "a", "kind": "team"}]} )";
  EXPECT_EQ(DigestOf(note), DigestOf(spaced));
  for (const ReleaseNote& other :
       {ReleaseNote{2, "o", note.body}, ReleaseNote{1, "p", note.body},
        MakeNote(1, "b")}) {
    EXPECT_NE(DigestOf(note), DigestOf(other));
  }
}

// Guards against a second note under a used number, sent by another operator,
// and against refusing a note that is repeated because its result was lost.
TEST_F(ControlStoreTest, NumberAndDigest_DetermineTheResult) {
  const auto first = store_->ApplyNote(MakeNote(1, "a"));
  ASSERT_TRUE(first.ok());
  EXPECT_FALSE(first->repeated);
  const auto conflict = store_->ApplyNote(MakeNote(1, "b"));
  EXPECT_EQ(conflict.refusal().reason, Reason::kConflict);
  EXPECT_NE(conflict.refusal().message.find(first->digest), std::string::npos);
  EXPECT_EQ(store_->ApplyNote(MakeNote(3, "c")).refusal().reason,
            Reason::kSequenceGap);
  ASSERT_TRUE(store_->ApplyNote(MakeNote(2, "b")).ok());
  EXPECT_EQ(store_->ApplyNote(MakeNote(1, "c")).refusal().reason,
            Reason::kStaleNumber);
  const auto repeated = store_->ApplyNote(MakeNote(1, "a"));
  ASSERT_TRUE(repeated.ok());
  EXPECT_EQ(*repeated, (NoteResult{1, 1, first->digest, true}));
}

// Guards against a note that is applied partly.
TEST_F(ControlStoreTest, InapplicableNote_ChangesNothing) {
  ASSERT_TRUE(store_->ApplyNote(MakeNote(1, "a")).ok());
  const auto before = store_->Poll("n", 0, 0);
  for (const char* body :
       {R"({"added": [{"kind":"team","name":"b"},{"kind":"team","name":"a"}]})",
        R"({"added": [{"kind":"team","name":"b"}],
            "changed": [{"kind":"team","name":"c"}]})",
        R"({"added": [{"kind":"team","name":"b"}],
            "withdrawn": [{"kind":"team","name":"c"}]})"}) {
    const auto result = store_->ApplyNote({2, "operator-1", body});
    EXPECT_EQ(result.refusal().reason, Reason::kBadRequest);
    EXPECT_EQ(*store_->Poll("n", 0, 0), *before);
  }
}

// Guards against a view that misses a change or a withdrawal, and against
// sending a view to nodes that already have it.
TEST_F(ControlStoreTest, Poll_ReturnsMergedNotesOnlyIfChanged) {
  store_->ApplyNote({1, "o", AddedBody(R"({"kind":"team","name":"a","x":1},
                                      {"kind":"limit","name":"b"})")});
  store_->ApplyNote({2, "o", R"({"changed":[{"kind":"team","name":"a","x":2}],
                                 "withdrawn":[{"kind":"limit","name":"b"}]})"});
  const auto view = store_->Poll("n", 1, 0);
  EXPECT_EQ(view->version, 2u);
  ASSERT_EQ(view->items.size(), 1u);
  EXPECT_EQ(nlohmann::json::parse(view->items.at("team/a"))["x"], 2);
  EXPECT_EQ(*store_->Poll("n", 2, 0), ControlView());
  EXPECT_EQ(store_->NodeVersions()->at(0).version, 2u);
}

// Guards against two concurrent reconcilers, and against delayed orders of a
// former holder that upstreams cannot distinguish from current ones.
TEST_F(ControlStoreTest, Lease_HasOneHolderAndGrowingFence) {
  const auto first = store_->AcquireLease("salem", "e1", 1'000);
  EXPECT_EQ(store_->AcquireLease("salem", "e2", 1'000).refusal().reason,
            Reason::kConflict);
  EXPECT_TRUE(store_->AcquireLease("tacoma", "e2", 1'000).ok());
  const auto renewed = store_->AcquireLease("salem", "e1", 1'000);
  EXPECT_GT(renewed->fence, first->fence);
  clock_.AdvanceMs(1'000);
  const auto taken = store_->AcquireLease("salem", "e2", 1'000);
  ASSERT_TRUE(taken.ok());
  EXPECT_GT(taken->fence, renewed->fence);
  EXPECT_FALSE(store_->AcquireLease("salem", "e1", 1'000).ok());
  EXPECT_FALSE(store_->AcquireLease("salem", "e2", 0).ok());
}

// Guards against a quarantine list that grows without limit, and against
// changes of it that do not reach the nodes.
TEST_F(ControlStoreTest, Quarantine_IsBoundedAndVersioned) {
  for (size_t i = 0; i <= kMaxQuarantined; ++i) {
    ASSERT_TRUE(store_->Quarantine("d" + std::to_string(i), "crash").ok());
  }
  store_->Quarantine("d5", "again");
  store_->DeclareDomainLost("salem", "operator-1");
  store_->DeclareDomainLost("salem", "operator-1");
  const auto view = store_->Poll("n", 0, 3);
  EXPECT_EQ(view->quarantined.size(), kMaxQuarantined);
  EXPECT_EQ(view->quarantined.front(), "d1");
  EXPECT_EQ(view->lost_domains, std::vector<std::string>{"salem"});
  EXPECT_EQ(view->quarantine_version, kMaxQuarantined + 2);
}

std::string RandomCommand(uint64_t version) {
  const std::string name = std::to_string(*rc::gen::inRange(0, 3));
  const uint64_t number = version + *rc::gen::inRange(0, 3);
  switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return control_codec::EncodeLease("d" + name, "e" + name, 500);
    case 1:
      return control_codec::EncodeQuarantine(name, "crash");
    case 2:
      return control_codec::EncodeDomainLost("d" + name, "o");
    case 3:
      return control_codec::Encode(
          {number, "o",
           R"({"withdrawn":[{"kind":"team","name":")" + name + R"("}]})"});
    default:
      return control_codec::Encode(MakeNote(number, name));
  }
}

// Guards against a replica that diverges after it was restored from a snapshot,
// and against a version that decreases.
TEST(ControlMachineProperty, SaveAndLoad_PreserveState) {
  EXPECT_TRUE(rc::check([] {
    const auto machine = CreateControlMachine();
    const auto restored = CreateControlMachine();
    uint64_t version = 0;
    for (uint64_t index = 1; index <= 40; ++index) {
      const std::string command = RandomCommand(version);
      const auto time_ms = static_cast<int64_t>(index * 100);
      const std::string result = machine->Apply(index, time_ms, command);
      RC_ASSERT(restored->Apply(index, time_ms, command) == result);
      RC_ASSERT(restored->Load(machine->Save()).ok());
      const auto view = control_codec::DecodeView(
          machine->Query(control_codec::EncodeView(0, 0)));
      RC_ASSERT(view->version >= version);
      version = view->version;
    }
    RC_ASSERT(restored->Save() == machine->Save());
  }));
}

// Guards against malformed input that crashes every replica of the group.
TEST(ControlMachine, MalformedInput_IsRefused) {
  const auto machine = CreateControlMachine();
  const std::string command = control_codec::Encode(MakeNote(1, "a"));
  machine->Apply(1, 1, command);
  const std::string good = machine->Save();
  for (size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    ASSERT_FALSE(machine->Load(bad).ok()) << i;
    ASSERT_FALSE(machine->Load(good.substr(0, i)).ok()) << i;
  }
  for (size_t i = 0; i < command.size(); ++i) {
    std::string bad = command;
    bad[i] = static_cast<char>(bad[i] ^ 0x5a);
    machine->Apply(2, 2, bad);
    machine->Query(bad);
  }
}

}  // namespace
}  // namespace ring
