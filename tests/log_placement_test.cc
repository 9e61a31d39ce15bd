#include "tests/log_cluster.h"

namespace ring {
namespace {

// Distribution of three replicas over the home domain of a group and other
// domains: the home domain holds one replica (spread) or two (home majority).
struct Placement {
  const char* name;
  std::set<ReplicaId> home;
  std::set<ReplicaId> other_domains;
};

const Placement kSpread = {"spread", {1}, {2, 3}};
const Placement kHomeMajority = {"home majority", {1, 2}, {3}};

class ReplicaPlacement : public testing::Test {
 protected:
  void CutOffHome(const Placement& placement) {
    for (const ReplicaId a : placement.home) {
      for (const ReplicaId b : placement.other_domains) {
        cluster_.CutLink(a, b);
      }
    }
  }

  void CrashHome(const Placement& placement) {
    for (const ReplicaId id : placement.home) {
      cluster_.Crash(id);
    }
  }

  // True if some replica of one side of the partition can commit the command.
  bool SideCommits(const std::set<ReplicaId>& side,
                   const std::string& command) {
    return cluster_.TickUntil(
        [&] {
          for (const ReplicaId id : side) {
            if (cluster_.node(id).running && cluster_.replica(id).is_leader() &&
                !cluster_.Applied(id, command)) {
              cluster_.replica(id).Propose(command, cluster_.now_ms());
              cluster_.DeliverAll();
            }
            if (cluster_.node(id).running && cluster_.Applied(id, command)) {
              return true;
            }
          }
          return false;
        },
        300);
  }

  void ExpectConvergence() {
    cluster_.Heal();
    ASSERT_TRUE(cluster_.TickUntil([&] { return cluster_.Commit("healed"); }));
    cluster_.Tick(50);
    EXPECT_EQ(cluster_.node(1).state, cluster_.node(2).state);
    EXPECT_EQ(cluster_.node(1).state, cluster_.node(3).state);
  }

  LogCluster cluster_{31};
};

// Guards against a spread group that cannot commit without its home domain.
TEST_F(ReplicaPlacement, SpreadHomeCutOff_OnlyTheOtherDomainsCommit) {
  cluster_.WaitLeader();
  ASSERT_TRUE(cluster_.Commit("before"));
  CutOffHome(kSpread);
  EXPECT_FALSE(SideCommits(kSpread.home, "home"));
  EXPECT_TRUE(SideCommits(kSpread.other_domains, "others"));
  ExpectConvergence();
  EXPECT_FALSE(cluster_.Applied(1, "home"));
}

TEST_F(ReplicaPlacement, SpreadHomeLost_NothingIsLostAndOthersCommit) {
  cluster_.WaitLeader();
  ASSERT_TRUE(cluster_.Commit("before"));
  CrashHome(kSpread);
  EXPECT_TRUE(SideCommits(kSpread.other_domains, "after"));
  EXPECT_TRUE(cluster_.Applied(2, "before"));
  EXPECT_TRUE(cluster_.Applied(3, "before"));
}

// Guards against a group with a home majority that cannot commit when its home
// domain is cut off.
TEST_F(ReplicaPlacement, HomeMajorityCutOff_OnlyTheHomeDomainCommits) {
  cluster_.WaitLeader();
  CutOffHome(kHomeMajority);
  EXPECT_TRUE(SideCommits(kHomeMajority.home, "home"));
  EXPECT_FALSE(SideCommits(kHomeMajority.other_domains, "others"));
  ExpectConvergence();
  EXPECT_TRUE(cluster_.Applied(3, "home"));
}

// Documents the limit of this placement: entries committed in the home domain
// while the others were cut off are lost with it, and nothing commits until an
// operator declares the domain lost.
TEST_F(ReplicaPlacement, HomeMajorityLost_LastEntriesAreLostAndNothingCommits) {
  cluster_.WaitLeader();
  ASSERT_TRUE(cluster_.Commit("before"));
  cluster_.Tick(5);
  CutOffHome(kHomeMajority);
  ASSERT_TRUE(SideCommits(kHomeMajority.home, "last"));
  CrashHome(kHomeMajority);
  cluster_.Heal();
  EXPECT_FALSE(SideCommits(kHomeMajority.other_domains, "after"));
  EXPECT_TRUE(cluster_.Applied(3, "before"));
  EXPECT_FALSE(cluster_.Applied(3, "last"));
}

}  // namespace
}  // namespace ring
