#include <algorithm>

#include "tests/log_cluster.h"

namespace ring {
namespace {

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

}  // namespace
}  // namespace ring
