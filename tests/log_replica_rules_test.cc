#include "tests/log_cluster.h"

namespace ring {
namespace {

LogEntry Command(uint64_t index, uint64_t term) {
  return {term, index, 10, LogEntryKind::kCommand, "c" + std::to_string(index)};
}

DurableState MakeState(size_t voters, std::vector<LogEntry> entries) {
  DurableState state;
  state.start_index = 1;
  state.start_term = 1;
  state.snapshot = {1, 1, 0, {}};
  for (ReplicaId id = 1; id <= voters; ++id) {
    state.snapshot.config.members.push_back(
        {id, LogCluster::NodeName(id), true});
  }
  if (!entries.empty()) {
    state.hard_state.term = entries.back().term;
  }
  state.entries = std::move(entries);
  return state;
}

// Replica 1 alone; the test plays the messages of the other replicas.
class ReplicaRules : public testing::Test {
 protected:
  void CreateReplica(size_t voters, std::vector<LogEntry> entries) {
    replica_ = std::make_unique<Replica>(Replica::Init{.id = 1},
                                         MakeState(voters, std::move(entries)));
  }

  RaftMessage Message(RaftKind kind, ReplicaId from) const {
    RaftMessage message;
    message.kind = kind;
    message.from = from;
    message.to = 1;
    message.term = replica_->status().term;
    return message;
  }

  void Step(const RaftMessage& message) { replica_->Step(message, 0); }

  Ready TakeAndPersist() {
    Ready ready = replica_->TakeReady();
    replica_->Persisted();
    return ready;
  }

  // Sends the heartbeat replies of replica 2.
  void ReplyToHeartbeats(const Ready& ready) {
    for (const RaftMessage& message : ready.messages) {
      if (message.kind == RaftKind::kHeartbeat && message.to == 2) {
        RaftMessage reply = Message(RaftKind::kHeartbeatReply, 2);
        reply.context = message.context;
        Step(reply);
      }
    }
  }

  void Elect() {
    Step(Message(RaftKind::kTimeoutNow, 2));
    TakeAndPersist();
    if (!replica_->is_leader()) {
      Step(Message(RaftKind::kVoteReply, 2));
    }
    ASSERT_TRUE(replica_->is_leader());
    TakeAndPersist();
  }

  std::unique_ptr<Replica> replica_;
};

// Guards against committing an entry of an earlier term because a majority
// holds it: a later leader may still replace it.
TEST_F(ReplicaRules, EntryOfEarlierTermOnMajority_IsNotCommittedByCount) {
  CreateReplica(3, {Command(2, 1), Command(3, 1)});
  Elect();
  RaftMessage reply = Message(RaftKind::kAppendReply, 2);
  reply.index = 3;
  Step(reply);
  EXPECT_EQ(replica_->status().commit_index, 1u);
  reply.index = 4;
  Step(reply);
  EXPECT_EQ(replica_->status().commit_index, 4u);
}

// Guards against a new leader that answers reads before it knows what earlier
// leaders committed.
TEST_F(ReplicaRules, ReadBeforeOwnEntryCommits_Waits) {
  CreateReplica(3, {Command(2, 1)});
  Elect();
  ASSERT_TRUE(replica_->ReadIndex(7));
  ReplyToHeartbeats(TakeAndPersist());
  EXPECT_TRUE(TakeAndPersist().reads.empty());
  RaftMessage reply = Message(RaftKind::kAppendReply, 2);
  reply.index = 3;
  Step(reply);
  const Ready ready = TakeAndPersist();
  EXPECT_TRUE(ready.reads.empty());
  ReplyToHeartbeats(ready);
  EXPECT_EQ(TakeAndPersist().reads, std::vector<uint64_t>{7});
}

// Guards against committing an entry before it is synced.
TEST_F(ReplicaRules, SingleVoter_CommitsOnlyAfterPersist) {
  CreateReplica(1, {});
  Elect();
  TakeAndPersist();
  ASSERT_TRUE(replica_->Propose("a", 0));
  const Ready first = replica_->TakeReady();
  EXPECT_EQ(first.entries.size(), 1u);
  EXPECT_TRUE(first.committed.empty());
  replica_->Persisted();
  EXPECT_EQ(TakeAndPersist().committed.size(), 1u);
}

// Guards against two leaders in one term because a voter forgot its vote in a
// restart.
TEST_F(ReplicaRules, VoterRestarts_RefusesSecondCandidateOfTheTerm) {
  LogCluster cluster(1);
  RaftMessage vote;
  vote.kind = RaftKind::kVote;
  vote.to = 1;
  vote.from = 2;
  vote.term = 50;
  vote.index = 1;
  vote.log_term = 1;
  cluster.replica(1).Step(vote, 0);
  const Ready granted = cluster.replica(1).TakeReady();
  ASSERT_EQ(granted.messages.size(), 1u);
  EXPECT_FALSE(granted.messages[0].reject);
  ASSERT_TRUE(cluster.node(1).wal->Append(granted.hard_state, granted.entries));
  cluster.Crash(1);
  cluster.Start(1);
  vote.from = 3;
  cluster.replica(1).Step(vote, 0);
  const Ready refused = cluster.replica(1).TakeReady();
  ASSERT_EQ(refused.messages.size(), 1u);
  EXPECT_TRUE(refused.messages[0].reject);
}

// Guards against sending one message for each conflicting entry. Replica 3
// holds 400 entries of a later term than those of the leader at the same
// indexes.
TEST_F(ReplicaRules, ManyConflictingEntries_AreSkippedInFewMessages) {
  LogCluster cluster(2);
  for (ReplicaId id = 1; id <= 3; ++id) {
    const uint64_t term = id == 3 ? 3 : 2;
    std::vector<LogEntry> entries;
    for (uint64_t index = 2; index <= 401; ++index) {
      entries.push_back(Command(index, term));
    }
    const HardState hard_state = id == 1 ? HardState{2, 1} : HardState{3, 3};
    ASSERT_TRUE(cluster.node(id).wal->Append(hard_state, entries));
    cluster.Crash(id);
    cluster.Start(id);
  }
  cluster.Isolate(3);
  ASSERT_NE(cluster.WaitLeader(), 0u);
  ASSERT_TRUE(cluster.Commit("a"));
  const uint64_t before = cluster.messages_sent();
  cluster.Heal();
  ASSERT_TRUE(cluster.TickUntil([&] { return cluster.Applied(3, "a"); }));
  // About 40 appends of up to 64 bytes, their replies, and heartbeats.
  EXPECT_LT(cluster.messages_sent() - before, 200u);
}

}  // namespace
}  // namespace ring
