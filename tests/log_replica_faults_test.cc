#include "tests/log_cluster.h"

namespace ring {
namespace {

struct FaultCase {
  const char* name;
  LogCluster::Faults faults;
  bool partitions = false;
  bool crashes = false;
  bool snapshots = false;
  bool members = false;
};

void PrintTo(const FaultCase& value, std::ostream* out) {
  *out << value.name;
}

// Runs random steps with the faults of a case. The cluster checks agreement and
// reads at each step.
class FaultRun {
 public:
  FaultRun(const FaultCase& fault, uint64_t seed)
      : fault_(fault), cluster_(seed, {1, 2, 3, 4, 5}) {
    cluster_.faults() = fault.faults;
  }

  void Run() {
    constexpr int kSteps = 600;
    for (int step = 0; step < kSteps; ++step) {
      Propose(step);
      if (fault_.partitions) {
        Partition();
      }
      if (fault_.crashes) {
        CrashOrRestart();
      }
      if (fault_.snapshots && RandomBelow(20) == 0) {
        Snapshot();
      }
      if (fault_.members && RandomBelow(15) == 0) {
        ChangeMembers();
      }
      cluster_.Tick();
    }
    CheckConvergence();
  }

 private:
  uint64_t RandomBelow(uint64_t n) { return cluster_.rng()() % n; }

  ReplicaId RandomNode() {
    auto it = cluster_.nodes().begin();
    std::advance(it, RandomBelow(cluster_.nodes().size()));
    return it->first;
  }

  void Propose(int step) {
    const ReplicaId id = RandomNode();
    if (!cluster_.node(id).running) {
      return;
    }
    const std::string command = "c" + std::to_string(step);
    if (cluster_.replica(id).Propose(command, cluster_.now_ms())) {
      proposed_.emplace_back(id, command);
    }
    cluster_.Read(id, static_cast<uint64_t>(step) + 1);
  }

  void Partition() {
    if (RandomBelow(30) == 0) {
      cluster_.Isolate(RandomNode());
    } else if (RandomBelow(30) == 0) {
      const ReplicaId a = RandomNode();
      const ReplicaId b = RandomNode();
      cluster_.CutLink(a, b);
    } else if (RandomBelow(25) == 0) {
      cluster_.Heal();
    }
  }

  void CrashOrRestart() {
    const ReplicaId id = RandomNode();
    if (!cluster_.node(id).running) {
      if (RandomBelow(5) == 0) {
        cluster_.Start(id);
      }
    } else if (RandomBelow(40) == 0) {
      cluster_.Crash(id);
    }
  }

  void Snapshot() {
    const ReplicaId id = RandomNode();
    if (cluster_.node(id).running) {
      cluster_.TakeSnapshot(id);
    }
  }

  void ChangeMembers() {
    const ReplicaId leader = cluster_.Leader();
    if (leader == 0) {
      return;
    }
    Replica& replica = cluster_.replica(leader);
    if (RandomBelow(2) == 0 && replica.config().voter_count() > 3) {
      replica.RemoveMember(RandomNode(), cluster_.now_ms());
    } else if (cluster_.nodes().size() < 9) {
      const ReplicaId id = cluster_.nodes().size() + 1;
      if (replica.AddMember(id, LogCluster::NodeName(id), cluster_.now_ms())) {
        cluster_.Create(id, {});
      }
    }
  }

  // Ends all faults and checks that the members reach the same state, in which
  // no command is applied twice.
  void CheckConvergence() {
    cluster_.faults() = {};
    cluster_.Heal();
    for (auto& [id, node] : cluster_.nodes()) {
      if (!node.running) {
        cluster_.Start(id);
      }
    }
    ASSERT_NE(cluster_.WaitLeader(), 0u);
    ASSERT_TRUE(cluster_.TickUntil([&] { return cluster_.Commit("end"); }));
    cluster_.Tick(100);
    const ReplicaId leader = cluster_.Leader();
    ASSERT_NE(leader, 0u);
    const std::string& state = cluster_.node(leader).state;
    for (const Member& member : cluster_.replica(leader).config().members) {
      EXPECT_EQ(cluster_.node(member.id).state, state) << member.id;
    }
    size_t applied = 0;
    for (const auto& [id, command] : proposed_) {
      const size_t first = (";" + state).find(";" + command + ";");
      applied += first != std::string::npos ? 1 : 0;
      EXPECT_EQ((";" + state).rfind(";" + command + ";"), first) << command;
    }
    EXPECT_GT(applied, 20u);
  }

  const FaultCase fault_;
  LogCluster cluster_;
  std::vector<std::pair<ReplicaId, std::string>> proposed_;
};

class ReplicaFaults : public testing::TestWithParam<FaultCase> {};

// Guards against lost, duplicated or diverging entries and stale reads under
// each kind of fault.
TEST_P(ReplicaFaults, RandomRun_AgreesAndLosesNothing) {
  constexpr uint64_t kRuns = 25;
  for (uint64_t seed = 1; seed <= kRuns && !HasFailure(); ++seed) {
    SCOPED_TRACE(std::string(GetParam().name) + ", seed " +
                 std::to_string(seed));
    FaultRun(GetParam(), seed).Run();
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ReplicaFaults,
    testing::Values(FaultCase{.name = "Drops", .faults = {.drop = 0.2}},
                    FaultCase{.name = "Duplicates",
                              .faults = {.duplicate = 0.3, .reorder = true}},
                    FaultCase{.name = "Delays", .faults = {.delay = 0.2}},
                    FaultCase{.name = "Partitions", .partitions = true},
                    FaultCase{.name = "Crashes", .crashes = true},
                    FaultCase{.name = "Snapshots",
                              .faults = {.drop = 0.1},
                              .partitions = true,
                              .snapshots = true},
                    FaultCase{.name = "Members",
                              .faults = {.drop = 0.05},
                              .partitions = true,
                              .members = true},
                    FaultCase{.name = "All",
                              .faults = {.drop = 0.1,
                                         .duplicate = 0.1,
                                         .delay = 0.1,
                                         .reorder = true},
                              .partitions = true,
                              .crashes = true,
                              .snapshots = true,
                              .members = true}),
    [](const auto& test) { return std::string(test.param.name); });

}  // namespace
}  // namespace ring
