#include "tests/log_cluster.h"

namespace ring {
namespace {

ReplicaId OtherReplica(ReplicaId a, ReplicaId b = 0) {
  for (ReplicaId id = 1; id <= 3; ++id) {
    if (id != a && id != b) {
      return id;
    }
  }
  return 0;
}

// A replica of a new group that has just started.
DurableState StateOfThreeVoters() {
  DurableState state;
  state.snapshot.index = 1;
  state.snapshot.term = 1;
  state.snapshot.config.members = {
      {1, "a", true}, {2, "b", true}, {3, "c", true}};
  state.hard_state.term = 1;
  state.start_index = 1;
  state.start_term = 1;
  return state;
}

// Guards against a group that loses or reorders committed entries.
TEST(ReplicaCommit, ThreeReplicas_ApplySameEntriesEverywhere) {
  LogCluster cluster(1);
  ASSERT_NE(cluster.WaitLeader(), 0u);
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(cluster.Commit("c" + std::to_string(i)));
  }
  cluster.Tick(5);
  for (auto& [id, node] : cluster.nodes()) {
    EXPECT_EQ(node.state, cluster.node(1).state);
    EXPECT_EQ(node.applied.size(), 20u);
  }
}

// Guards against an isolated replica that deposes a working leader when it
// reconnects.
TEST(ReplicaPreVote, IsolatedReplicaReconnects_LeaderAndTermAreKept) {
  LogCluster cluster(2);
  const ReplicaId leader = cluster.WaitLeader();
  const uint64_t term = cluster.replica(leader).status().term;
  cluster.Isolate(OtherReplica(leader));
  cluster.Tick(300);
  cluster.Heal();
  cluster.Tick(100);
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.replica(leader).status().term, term);
}

// Guards against leadership moving back and forth when a replica reaches the
// other follower but not the leader.
TEST(ReplicaLease, LinkToLeaderCut_FollowersKeepTheLeader) {
  LogCluster cluster(3);
  const ReplicaId leader = cluster.WaitLeader();
  const uint64_t term = cluster.replica(leader).status().term;
  cluster.CutLink(leader, OtherReplica(leader));
  // Its log is as up to date as the others', so only the lease prevents votes.
  cluster.Tick(300);
  EXPECT_EQ(cluster.replica(leader).status().term, term);
  EXPECT_TRUE(cluster.replica(leader).is_leader());
}

// Guards against a restart of all replicas in which a candidate waits for its
// next election although the voters have connected meanwhile.
TEST(ReplicaElection, VoterConnectsAfterTheRequest_CandidateWinsAtOnce) {
  LogCluster cluster(4);
  cluster.Isolate(1);
  cluster.Isolate(2);
  cluster.Isolate(3);
  ReplicaId candidate = 0;
  ASSERT_TRUE(cluster.TickUntil([&] {
    for (ReplicaId id = 1; id <= 3; ++id) {
      if (cluster.replica(id).status().role == ReplicaRole::kPreCandidate) {
        candidate = id;
      }
    }
    return candidate != 0;
  }));
  cluster.Heal();
  cluster.replica(candidate).OnReachable(OtherReplica(candidate));
  cluster.DeliverAll();
  // The vote after the pre-vote may take a few more ticks.
  cluster.Tick(3);
  EXPECT_TRUE(cluster.replica(candidate).is_leader());
}

// Guards against a leader that fills the link to a slow member: with 64
// unanswered appends of 1 MB, a copy over the link between regions took more
// than 5 s.
TEST(ReplicaFlow, MemberDoesNotReply_UnansweredAppendsAreBounded) {
  LogCluster cluster(16);
  const ReplicaId leader = cluster.WaitLeader();
  Replica& replica = cluster.replica(leader);
  constexpr size_t kProposals = 500;
  const size_t bound = Replica::Init().max_inflight_appends;
  std::map<ReplicaId, size_t> appends;
  for (size_t i = 0; i < kProposals; ++i) {
    ASSERT_TRUE(replica.Propose(std::string(100, 'c'), cluster.now_ms()));
    while (replica.HasReady()) {
      for (const RaftMessage& message : replica.TakeReady().messages) {
        if (message.kind == RaftKind::kAppend && !message.entries.empty()) {
          ++appends[message.to];
        }
      }
      replica.Persisted();
    }
  }
  ASSERT_EQ(appends.size(), 2u);
  for (const auto& [member, count] : appends) {
    EXPECT_LE(count, bound) << "to " << member;
    EXPECT_GT(count, 1u);
  }
}

// Guards against an isolated leader that continues to answer reads.
TEST(ReplicaCheckQuorum, IsolatedLeader_StepsDownAndFailsItsReads) {
  LogCluster cluster(4);
  const ReplicaId leader = cluster.WaitLeader();
  cluster.Isolate(leader);
  ASSERT_TRUE(cluster.Read(leader, 1));
  ASSERT_TRUE(cluster.replica(leader).Propose("lost", cluster.now_ms()));
  cluster.Tick(25);
  EXPECT_FALSE(cluster.replica(leader).is_leader());
  EXPECT_EQ(cluster.node(leader).failed_reads, std::set<uint64_t>{1});
  EXPECT_FALSE(cluster.Applied(leader, "lost"));
}

// Guards against a stale read at a leader that has been replaced without
// noticing.
TEST(ReplicaReadBarrier, ReplacedLeaderCutOff_AnswersNoRead) {
  LogCluster cluster(5);
  const ReplicaId old_leader = cluster.WaitLeader();
  ASSERT_TRUE(cluster.Commit("a"));
  const ReplicaId target = OtherReplica(old_leader);
  cluster.Isolate(old_leader);
  // The others elect a leader before the quorum check deposes the old one.
  RaftMessage timeout_now;
  timeout_now.kind = RaftKind::kTimeoutNow;
  timeout_now.from = old_leader;
  timeout_now.to = target;
  timeout_now.term = cluster.replica(target).status().term;
  cluster.replica(target).Step(timeout_now, cluster.now_ms());
  cluster.DeliverAll();
  ASSERT_TRUE(cluster.replica(target).is_leader());
  ASSERT_TRUE(cluster.replica(old_leader).is_leader());
  ASSERT_TRUE(cluster.replica(target).Propose("b", cluster.now_ms()));
  cluster.DeliverAll();
  ASSERT_TRUE(cluster.Applied(target, "b"));
  ASSERT_TRUE(cluster.Read(old_leader, 1));
  cluster.DeliverAll();
  EXPECT_TRUE(cluster.node(old_leader).reads.empty());
  ASSERT_TRUE(cluster.Read(target, 2));
  cluster.DeliverAll();
  EXPECT_EQ(cluster.node(target).reads.size(), 1u);
}

// Guards against a replica that cannot catch up after the log was compacted, or
// keeps entries that were never committed.
TEST(ReplicaCatchUp, StaleLeaderAfterLongIsolation_InstallsChunkedSnapshot) {
  LogCluster cluster(6);
  const ReplicaId old_leader = cluster.WaitLeader();
  cluster.Isolate(old_leader);
  for (int i = 0; i < 30; ++i) {
    cluster.replica(old_leader).Propose("stale", cluster.now_ms());
  }
  cluster.Tick(60);
  const ReplicaId leader = cluster.WaitLeader();
  ASSERT_NE(leader, old_leader);
  for (int i = 0; i < 40; ++i) {
    ASSERT_TRUE(cluster.Commit("c" + std::to_string(i)));
  }
  for (ReplicaId id = 1; id <= 3; ++id) {
    if (id != old_leader) {
      cluster.TakeSnapshot(id);
    }
  }
  cluster.Heal();
  cluster.Tick(60);
  EXPECT_EQ(cluster.node(old_leader).state, cluster.node(leader).state);
  EXPECT_EQ(cluster.replica(old_leader).status().snapshot_index,
            cluster.replica(leader).status().snapshot_index);
  EXPECT_FALSE(cluster.Applied(old_leader, "stale"));
  // The installed snapshot is durable.
  cluster.Crash(old_leader);
  cluster.Start(old_leader);
  cluster.Tick(60);
  EXPECT_EQ(cluster.node(old_leader).state, cluster.node(leader).state);
}

// Guards against entry times that decrease when the leader's clock goes back.
TEST(ReplicaTime, ClockGoesBack_EntryTimesDoNot) {
  LogCluster cluster(8);
  cluster.WaitLeader();
  cluster.set_now_ms(50'000);
  ASSERT_TRUE(cluster.Commit("a"));
  cluster.set_now_ms(2'000);
  ASSERT_TRUE(cluster.Commit("b"));
  for (ReplicaId id = 1; id <= 3; ++id) {
    cluster.TakeSnapshot(id);
    cluster.Crash(id);
    cluster.Start(id);
  }
  cluster.WaitLeader();
  ASSERT_TRUE(cluster.Commit("c"));
  EXPECT_GE(cluster.node(cluster.Leader()).applied.back().time_ms, 50'000);
}

TEST(ReplicaTransfer, TargetBehind_CatchesUpAndTakesOver) {
  LogCluster cluster(9);
  const ReplicaId leader = cluster.WaitLeader();
  const ReplicaId target = OtherReplica(leader);
  ASSERT_TRUE(cluster.replica(leader).Propose("a", cluster.now_ms()));
  ASSERT_TRUE(cluster.replica(leader).TransferLeader(target));
  EXPECT_EQ(
      cluster.replica(leader).Propose("b", cluster.now_ms()).refusal().reason,
      Reason::kNotLeader);
  cluster.Tick(2);
  EXPECT_TRUE(cluster.replica(target).is_leader());
  EXPECT_TRUE(cluster.Applied(target, "a"));
  EXPECT_FALSE(cluster.replica(target).TransferLeader(target));
}

// Guards against a transfer to a stopped replica that blocks proposals forever.
TEST(ReplicaTransfer, TargetDown_LeaderResumesAfterElectionTimeout) {
  LogCluster cluster(10);
  const ReplicaId leader = cluster.WaitLeader();
  cluster.Crash(OtherReplica(leader));
  ASSERT_TRUE(cluster.Commit("a"));
  ASSERT_TRUE(cluster.replica(leader).TransferLeader(OtherReplica(leader)));
  cluster.Tick(12);
  EXPECT_TRUE(cluster.Commit("b"));
}

// Guards against two concurrent changes, whose majorities may share no member.
TEST(ReplicaMembers, SecondConcurrentChange_IsRefused) {
  LogCluster cluster(11);
  const ReplicaId leader = cluster.WaitLeader();
  const int64_t now_ms = cluster.now_ms();
  ASSERT_TRUE(cluster.replica(leader).AddMember(4, "k4", now_ms));
  EXPECT_EQ(cluster.replica(leader)
                .RemoveMember(OtherReplica(leader), now_ms)
                .refusal()
                .reason,
            Reason::kConflict);
  cluster.Tick(5);
  EXPECT_EQ(cluster.replica(leader).AddMember(4, "k4", now_ms).refusal().reason,
            Reason::kConflict);
  EXPECT_EQ(cluster.replica(leader).RemoveMember(9, now_ms).refusal().reason,
            Reason::kNotAllowed);
}

// Guards against an uncommitted change of an isolated leader staying in effect.
TEST(ReplicaMembers, ChangeOfIsolatedLeader_IsRolledBack) {
  LogCluster cluster(12);
  const ReplicaId leader = cluster.WaitLeader();
  const LogConfig before = cluster.replica(leader).config();
  cluster.Isolate(leader);
  ASSERT_TRUE(cluster.replica(leader).RemoveMember(OtherReplica(leader), 0));
  cluster.Tick(60);
  ASSERT_TRUE(cluster.Commit("a"));
  cluster.Heal();
  cluster.Tick(60);
  EXPECT_EQ(cluster.replica(leader).config(), before);
}

// Guards against a learner that becomes a voter before it holds all committed
// entries.
TEST(ReplicaPromotion, LearnerCutOff_BecomesVoterOnlyOnceSynced) {
  LogCluster cluster(13);
  const ReplicaId leader = cluster.WaitLeader();
  for (int i = 0; i < 30; ++i) {
    ASSERT_TRUE(cluster.Commit("c" + std::to_string(i)));
  }
  cluster.TakeSnapshot(leader);
  cluster.Create(4, {});
  cluster.Isolate(4);
  ASSERT_TRUE(cluster.replica(leader).AddMember(4, "k4", cluster.now_ms()));
  cluster.Tick(200);
  EXPECT_FALSE(cluster.IsVoter(4));
  EXPECT_EQ(cluster.replica(4).status().role, ReplicaRole::kLearner);
  cluster.Heal();
  ASSERT_TRUE(cluster.TickUntil([&] {
    if (cluster.IsVoter(4)) {
      return true;
    }
    return false;
  }));
  EXPECT_GE(cluster.replica(4).status().last_index, 31u);
  cluster.Tick(5);
  EXPECT_EQ(cluster.node(4).state, cluster.node(leader).state);
}

// Guards against losing committed entries when a second replica fails right
// after the first was replaced.
TEST(ReplicaRepair, SecondReplicaLostRightAfterRepair_KeepsAllEntries) {
  for (uint64_t seed = 20; seed < 40; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    LogCluster cluster(seed);
    const ReplicaId leader = cluster.WaitLeader();
    const ReplicaId lost = OtherReplica(leader);
    const ReplicaId second =
        seed % 2 == 0 ? leader : OtherReplica(leader, lost);
    ASSERT_TRUE(cluster.Commit("a"));
    cluster.Crash(lost);
    ASSERT_TRUE(cluster.Commit("b"));
    ASSERT_TRUE(cluster.replica(leader).RemoveMember(lost, cluster.now_ms()));
    cluster.Tick(5);
    cluster.Create(4, {});
    ASSERT_TRUE(cluster.replica(leader).AddMember(4, "k4", cluster.now_ms()));
    ASSERT_TRUE(cluster.TickUntil([&] { return cluster.IsVoter(4); }));
    cluster.Crash(second);
    ASSERT_TRUE(cluster.TickUntil([&] {
      return cluster.Leader() != 0 && cluster.Leader() != second &&
             cluster.Commit("c");
    }));
    EXPECT_TRUE(cluster.Applied(4, "a"));
    EXPECT_TRUE(cluster.Applied(4, "b"));
  }
}

// Guards against losing committed entries because a replica without its data
// votes: its folder was initialized again under the old id by mistake.
TEST(ReplicaLostDisk, ReplicaWithoutEntries_NeverVotes) {
  LogCluster cluster(14);
  const ReplicaId leader = cluster.WaitLeader();
  const ReplicaId wiped = OtherReplica(leader);
  const ReplicaId stale = OtherReplica(leader, wiped);
  cluster.Isolate(stale);
  ASSERT_TRUE(cluster.Commit("a"));
  cluster.Create(wiped, {});
  cluster.Heal();
  cluster.Isolate(leader);
  cluster.Tick(400);
  EXPECT_FALSE(cluster.replica(stale).is_leader());
  cluster.Heal();
  ASSERT_TRUE(cluster.TickUntil([&] { return cluster.Applied(wiped, "a"); }));
}

// Guards against waiting a whole election timeout when all replicas of a group
// have just started: there can be no leader yet.
TEST(ReplicaFirstElection,
     AllReplicasJustStarted_CampaignsAfterFirstElectionTicks) {
  constexpr int32_t kFirstTicks = 3;
  DurableState state;
  state.snapshot.index = 1;
  state.snapshot.term = 1;
  state.snapshot.config.members = {{1, "a", true}, {2, "b", true}};
  state.hard_state.term = 1;
  state.start_index = 1;
  state.start_term = 1;
  Replica replica({.id = 1,
                   .election_ticks = 20,
                   .first_election_ticks = kFirstTicks,
                   .seed = 5},
                  state);
  for (int tick = 0; tick <= 2 * kFirstTicks; ++tick) {
    replica.Tick(1'000);
  }
  ASSERT_TRUE(replica.HasReady());
  const Ready ready = replica.TakeReady();
  ASSERT_EQ(ready.messages.size(), 1u);
  EXPECT_EQ(ready.messages[0].kind, RaftKind::kPreVote);
}

// Guards against a restart of the whole group that waits for an election
// timeout although a majority of the voters is connected.
TEST(ReplicaFirstElection, MajorityReachable_LowestIdCampaignsAtTheNextTick) {
  const DurableState state = StateOfThreeVoters();
  const auto ticks_until_campaign = [&state](ReplicaId id, ReplicaId peer) {
    Replica replica(
        {.id = id, .election_ticks = 300, .first_election_ticks = 100}, state);
    replica.OnReachable(peer);
    int ticks = 0;
    while (!replica.HasReady()) {
      replica.Tick(1'000);
      ++ticks;
    }
    return ticks;
  };
  EXPECT_EQ(ticks_until_campaign(1, 2), 1);
  EXPECT_EQ(ticks_until_campaign(2, 3), 1);
  // Leaves the reachable voter with the lower id time to win.
  EXPECT_EQ(ticks_until_campaign(2, 1), 101);
}

// Guards against turns that wait a second for an election although heartbeats
// come often and evenly, and against elections while they merely come rarely.
class ReplicaElectionTimeout : public ::testing::Test {
 protected:
  static constexpr int32_t kMaxTicks = 100;
  static constexpr int32_t kMinTicks = 10;

  ReplicaElectionTimeout()
      : replica_({.id = 2,
                  .election_ticks = kMaxTicks,
                  .min_election_ticks = kMinTicks},
                 StateOfThreeVoters()) {}

  /// Passes time until the next heartbeat of the leader.
  /// @returns false if the replica campaigned meanwhile
  bool Heartbeat(int ticks) {
    for (int i = 0; i < ticks; ++i) {
      replica_.Tick(1'000);
      if (replica_.status().role == ReplicaRole::kPreCandidate) {
        return false;
      }
    }
    RaftMessage message;
    message.kind = RaftKind::kHeartbeat;
    message.from = 1;
    message.to = 2;
    message.term = 1;
    replica_.Step(message, 1'000);
    return true;
  }

  int TicksUntilCampaign() {
    int ticks = 0;
    while (replica_.status().role != ReplicaRole::kPreCandidate) {
      replica_.Tick(1'000);
      ++ticks;
    }
    return ticks;
  }

  Replica replica_;
};

TEST_F(ReplicaElectionTimeout, NoHeartbeatSeenYet_IsTheLongest) {
  EXPECT_EQ(replica_.status().election_ticks, kMaxTicks);
}

TEST_F(ReplicaElectionTimeout, EvenHeartbeats_CampaignsAfterAFewPauses) {
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(Heartbeat(3));
  }
  const int64_t timeout = replica_.status().election_ticks;
  EXPECT_LE(timeout, 15);
  EXPECT_LE(TicksUntilCampaign(), 2 * timeout + 1);
}

TEST_F(ReplicaElectionTimeout, DenseMessages_StaysAboveTheMinimum) {
  for (int i = 0; i < 5'000; ++i) {
    ASSERT_TRUE(Heartbeat(1));
  }
  EXPECT_EQ(replica_.status().election_ticks, kMinTicks);
  EXPECT_GT(TicksUntilCampaign(), kMinTicks - 1);
}

TEST_F(ReplicaElectionTimeout, UnevenHeartbeats_NoCampaignBetweenThem) {
  for (int i = 0; i < 200; ++i) {
    ASSERT_TRUE(Heartbeat(i % 10 == 1 ? 15 : 3)) << i;
  }
  EXPECT_GE(replica_.status().election_ticks, 3 * 15);
}

TEST_F(ReplicaElectionTimeout, LongPauseWasLongAgo_IsForgotten) {
  ASSERT_TRUE(Heartbeat(3));
  ASSERT_TRUE(Heartbeat(20));
  EXPECT_GE(replica_.status().election_ticks, 3 * 20);
  for (int i = 0; i < 1'000; ++i) {
    ASSERT_TRUE(Heartbeat(3));
  }
  EXPECT_LE(replica_.status().election_ticks, 15);
}

// Plays turns that begin at every tick while the leader is cut off. Guards
// against callers that wait for a whole election timeout: with heartbeats every
// two ticks the pause must stay far below the longest timeout of 60 to 120.
TEST(ReplicaElectionLoad, LeaderLostUnderLoad_TurnsPauseBriefly) {
  constexpr int32_t kMinTicks = 6;
  constexpr int kMaxPauseTicks = 30;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    LogCluster cluster(seed, {1, 2, 3}, kMinTicks);
    const ReplicaId leader = cluster.WaitLeader();
    for (int i = 0; i < 100; ++i) {
      ASSERT_TRUE(cluster.Commit("before" + std::to_string(i)));
      cluster.Tick();
    }
    const uint64_t term = cluster.replica(leader).status().term;
    cluster.Isolate(leader);
    int pause = 0;
    ReplicaId next = leader;
    while (next == leader && pause <= kMaxPauseTicks) {
      cluster.Tick();
      ++pause;
      next = cluster.Leader();
    }
    EXPECT_LE(pause, kMaxPauseTicks) << "seed " << seed;
    ASSERT_NE(next, leader) << "seed " << seed;
    EXPECT_GT(cluster.replica(next).status().term, term);
    EXPECT_TRUE(cluster.Commit("after"));
  }
}

}  // namespace
}  // namespace ring
