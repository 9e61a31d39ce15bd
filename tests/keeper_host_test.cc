#include "tests/keeper_host_fixture.h"

namespace ring {
namespace {

using Op = fb::KeeperOp;

TEST_F(KeeperHostTest, ThreeKeepers_AnswerProposalsAndQueriesAtTheLeader) {
  StartThree();
  const auto result = Propose("a");
  ASSERT_TRUE(result) << result.refusal().message;
  EXPECT_NE(result->find(":a"), std::string::npos);
  EXPECT_EQ(*client_.Call(Leader(), group_, Op::Query), "a;");
  for (const char* node : {"k1", "k2", "k3"}) {
    EXPECT_TRUE(WaitFor([&] { return LocalState(node) == "a;"; }));
    EXPECT_TRUE(keepers_[node].host->ready());
  }
}

// Guards against a follower that does not name the leader, or that refuses with
// a wrong run state.
TEST_F(KeeperHostTest, RequestAtWrongKeeper_IsNotRunAndNamesTheLeader) {
  StartThree();
  const std::string leader = Leader();
  const std::string follower = Follower(leader);
  ASSERT_TRUE(Propose("a"));
  ASSERT_TRUE(WaitFor([&] { return keepers_[follower].host->ready(); }));
  for (const Op op : {Op::Propose, Op::Query, Op::Backup}) {
    const auto refused = client_.Call(follower, group_, op, "b");
    EXPECT_EQ(refused.refusal().reason, Reason::kNotLeader);
    EXPECT_EQ(refused.refusal().run_state, RunState::kNotRun);
    EXPECT_EQ(client_.leader(), leader);
  }
  EXPECT_EQ(client_.Call(leader, "other", Op::Query).refusal().reason,
            Reason::kNotLeader);
}

// Guards against a separate sync for each log entry.
TEST_F(KeeperHostTest, QueuedProposals_ShareSyncs) {
  StartThree();
  SetSyncMs(5);
  const std::string leader = Leader();
  ASSERT_TRUE(Propose("first"));
  const DiskControl& disk = *keepers_[leader].control;
  const int64_t before = disk.syncs;
  std::vector<uint64_t> sent;
  sent.reserve(300);
  for (int i = 0; i < 300; ++i) {
    sent.push_back(client_.Send(leader, group_, Op::Propose, "x"));
  }
  for (const uint64_t correlation : sent) {
    EXPECT_TRUE(client_.Wait(correlation));
  }
  EXPECT_LT(disk.syncs - before, 60);
}

// Guards against an unbounded queue, and against a refused proposal that is
// applied all the same.
TEST_F(KeeperHostTest, TooManyRequests_AreRefusedQueueFullNotRun) {
  max_pending_ = 8;
  StartThree();
  SetSyncMs(20);
  const std::string leader = Leader();
  ASSERT_TRUE(Propose("first"));
  const Labels labels = {{"reason", "queue_full"}};
  const double counted = metrics::Value("ring_refusals_total", labels);
  std::vector<uint64_t> sent;
  sent.reserve(40);
  for (int i = 0; i < 40; ++i) {
    sent.push_back(
        client_.Send(leader, group_, Op::Propose, "n" + std::to_string(i)));
  }
  int refused = 0;
  std::string accepted = "first;";
  for (int i = 0; i < 40; ++i) {
    const auto result = client_.Wait(sent[static_cast<size_t>(i)]);
    if (result) {
      accepted += "n" + std::to_string(i) + ";";
      continue;
    }
    ++refused;
    EXPECT_EQ(result.refusal().reason, Reason::kQueueFull);
    EXPECT_EQ(result.refusal().run_state, RunState::kNotRun);
  }
  EXPECT_GE(refused, 20);
  EXPECT_EQ(metrics::Value("ring_refusals_total", labels), counted + refused);
  EXPECT_EQ(*client_.Call(leader, group_, Op::Query), accepted);
  // Answered requests no longer count towards the limit.
  EXPECT_TRUE(Propose("last"));
}

// Guards against a leader that loses its majority and reports run state not_run
// for an entry that the next leader may commit.
TEST_F(KeeperHostTest, LeaderCutOff_PendingProposalIsUnknownReadIsNotRun) {
  StartThree();
  const std::string leader = Leader();
  ASSERT_TRUE(Propose("a"));
  net_.Isolate(leader, {"k1", "k2", "k3"});
  const uint64_t proposal = client_.Send(leader, group_, Op::Propose, "b");
  const uint64_t query = client_.Send(leader, group_, Op::Query);
  const auto proposed = client_.Wait(proposal);
  EXPECT_EQ(proposed.refusal().reason, Reason::kNoQuorum);
  EXPECT_EQ(proposed.refusal().run_state, RunState::kUnknown);
  const auto queried = client_.Wait(query);
  EXPECT_EQ(queried.refusal().run_state, RunState::kNotRun);
  EXPECT_FALSE(keepers_[leader].host->ready());
  const std::string next = Leader(leader);
  ASSERT_TRUE(client_.Call(next, group_, Op::Propose, "c"));
  net_.Heal();
  EXPECT_TRUE(WaitFor([&] { return LocalState(leader) == "a;c;"; }));
}

// Guards against a keeper that confirms requests although its disk fails, or
// that does not recover when the disk does.
TEST_F(KeeperHostTest, DiskOfLeaderFails_OthersTakeOverAndItRejoins) {
  StartThree();
  const std::string leader = Leader();
  ASSERT_TRUE(Propose("a"));
  keepers_[leader].control->failing = true;
  const auto failed = client_.Call(leader, group_, Op::Propose, "b");
  ASSERT_FALSE(failed);
  EXPECT_EQ(failed.refusal().run_state, RunState::kUnknown);
  const auto refused = client_.Call(leader, group_, Op::Propose, "c");
  EXPECT_EQ(refused.refusal().reason, Reason::kStorageFailed);
  EXPECT_EQ(refused.refusal().run_state, RunState::kNotRun);
  const std::string next = Leader(leader);
  ASSERT_TRUE(client_.Call(next, group_, Op::Propose, "d"));
  keepers_[leader].control->failing = false;
  const std::string state = *client_.Call(next, group_, Op::Query);
  EXPECT_NE(state.find("d;"), std::string::npos);
  EXPECT_TRUE(WaitFor([&] { return LocalState(leader) == state; }));
}

// Guards against a replica that lost its data and starts under its old id: it
// could vote twice in one term.
TEST_F(KeeperHostTest, EmptyFolderWithoutInitialize_IsRefused) {
  StartThree();
  ASSERT_TRUE(Propose("a"));
  Stop("k2");
  keepers_["k2"].media.clear();
  KeeperHostInit init = InitFor("k2", 2);
  init.initialize = false;
  const auto host = KeeperHost::Create(init, SystemClock());
  ASSERT_FALSE(host);
  EXPECT_EQ(host.refusal().reason, Reason::kCorruptData);
  EXPECT_NE(host.refusal().message.find("add a new id"), std::string::npos);
}

TEST_F(KeeperHostTest, LostReplica_IsReplacedByALearnerThatBecomesVoter) {
  snapshot_entries_ = 16;
  StartThree();
  const std::string leader = Leader();
  const std::string lost = Follower(leader);
  const ReplicaId lost_id = lost == "k1" ? 1 : 2;
  Stop(lost);
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(Propose("c" + std::to_string(i)));
  }
  initial_.clear();
  Start("k4", 4);
  ASSERT_TRUE(client_.Call(leader, group_, Op::RemoveReplica,
                           EncodeChange(lost_id, "")));
  ASSERT_TRUE(WaitFor([&] {
    return client_.Call(leader, group_, Op::AddReplica, EncodeChange(4, "k4"))
        .ok();
  }));
  EXPECT_TRUE(WaitFor([&] {
    const auto status = client_.Call(leader, group_, Op::GroupStatus);
    for (const auto* member :
         *flatbuffers::GetRoot<fb::GroupStatus>(status->data())->members()) {
      if (member->id() == 4 && member->voter()) {
        return true;
      }
    }
    return false;
  }));
  const std::string state = *client_.Call(leader, group_, Op::Query);
  EXPECT_TRUE(WaitFor([&] { return LocalState("k4") == state; }));
  EXPECT_EQ(client_.Call(leader, group_, Op::AddReplica, EncodeChange(4, "k4"))
                .refusal()
                .reason,
            Reason::kConflict);
}

// Guards against a restarted keeper that serves state from its snapshot alone:
// entry nodes would receive an outdated configuration and upstreams that have
// left.
TEST_F(KeeperHostTest, RestartedReplica_CatchesUpOnceItsLogIsApplied) {
  StartThree();
  ASSERT_TRUE(Propose("a"));
  ASSERT_TRUE(Propose("b"));
  const std::string state = *client_.Call(Leader(), group_, Op::Query);
  for (const char* node : {"k1", "k2", "k3"}) {
    ASSERT_TRUE(WaitFor([&] { return caught_up_[node] == 1; })) << node;
  }
  for (const char* node : {"k1", "k2", "k3"}) {
    Stop(node);
    caught_up_[node] = 0;
  }
  Start("k1", 1);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  EXPECT_EQ(caught_up_["k1"], 0) << "k1 has no majority";
  Start("k2", 2);
  for (const char* node : {"k1", "k2"}) {
    ASSERT_TRUE(WaitFor([&] { return caught_up_[node] == 1; })) << node;
    EXPECT_EQ(LocalState(node), state);
  }
}

TEST_F(KeeperHostTest, TransferRequestAndHostTransfer_MoveLeadership) {
  StartThree();
  ASSERT_TRUE(Propose("a"));
  const std::string leader = Leader();
  const std::string target = Follower(leader);
  ASSERT_TRUE(client_.Call(leader, group_, Op::TransferLeader,
                           EncodeChange(target == "k1" ? 1 : 2, "")));
  EXPECT_TRUE(
      WaitFor([&] { return keepers_[target].host->led_groups() == 1; }));
  EXPECT_TRUE(WaitFor([&] {
    keepers_[target].host->TransferLeadership();
    return keepers_[target].host->led_groups() == 0;
  }));
  EXPECT_TRUE(WaitFor([&] { return Propose("b").ok(); }));
}

// Guards against commands that are lost or applied twice when keepers restart
// with a compacted log.
TEST_F(KeeperHostTest, AllKeepersRestart_StateAndBackupAreComplete) {
  snapshot_entries_ = 16;
  StartThree();
  std::string expected;
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(Propose("c" + std::to_string(i)));
    expected += "c" + std::to_string(i) + ";";
  }
  for (const Member& member : initial_) {
    Stop(member.node);
  }
  for (const Member& member : initial_) {
    Start(member.node, member.id);
  }
  EXPECT_TRUE(WaitFor([&] {
    const auto state = client_.Call(Leader(), group_, Op::Query);
    return state && *state == expected;
  }));
  const auto backup = client_.Call(Leader(), group_, Op::Backup);
  ASSERT_TRUE(backup);
  const auto snapshot = DecodeSnapshotFile(*backup);
  ASSERT_TRUE(snapshot);
  EXPECT_EQ(snapshot->data, expected);
  EXPECT_EQ(snapshot->meta.config.members, initial_);
}

// Guards against programs that are never expired because no caller sends a
// command.
TEST_F(KeeperHostTest, LeaderOfProgramGroup_ProposesExpiryEachSecond) {
  StartThree();
  const int64_t start_ms = SystemClock().NowMs();
  EXPECT_TRUE(WaitFor([&] {
    const auto count =
        client_.Call(Leader(), group_, Op::QueryLocal, "expiries");
    return count && *count == "3";
  }));
  EXPECT_GE(SystemClock().NowMs() - start_ms, 2'000);
}

class KeeperHostControlTest : public KeeperHostTest {
 protected:
  KeeperHostControlTest() { group_ = kControlGroup; }

  static std::string EncodePoll(const std::string& node, uint64_t version) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(
        fb::CreateControlPoll(builder, builder.CreateString(node), version, 0));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
  }
};

// Guards against a configuration that is not pushed, so that nodes learn of it
// only in their next poll, and against losing the reported version of a node
// that polled a follower.
TEST_F(KeeperHostControlTest, AcceptedNote_IsPushedPolledAndReported) {
  StartThree();
  const std::string leader = Leader();
  const ReleaseNote note = {1, "op",
                            R"({"added": [{"kind": "model", "name": "m"}]})"};
  const auto result = Propose(control_codec::Encode(note));
  ASSERT_TRUE(result);
  ASSERT_TRUE(control_codec::DecodeNote(*result))
      << control_codec::DecodeNote(*result).refusal().message;
  EXPECT_TRUE(WaitFor([&] { return client_.pushed_version() == 1; }));
  const std::string follower = Follower(leader);
  EXPECT_TRUE(WaitFor([&] {
    const auto polled =
        client_.Call(follower, group_, Op::ControlPoll, EncodePoll("e1", 0));
    const auto view = control_codec::DecodeView(*polled);
    return view && view->version == 1 && view->items.contains("model/m");
  }));
  client_.Call(follower, group_, Op::ControlPoll, EncodePoll("e1", 1));
  EXPECT_TRUE(WaitFor([&] {
    const auto versions = client_.Call(leader, group_, Op::NodeVersions);
    if (!versions) {
      return false;
    }
    const auto* nodes =
        flatbuffers::GetRoot<fb::NodeVersions>(versions->data())->nodes();
    return nodes->size() == 1 && nodes->Get(0)->node()->str() == "e1" &&
           nodes->Get(0)->version() == 1;
  }));
}

}  // namespace
}  // namespace ring
