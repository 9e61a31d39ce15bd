#include <algorithm>
#include <chrono>
#include <filesystem>
#include <map>

#include <benchmark/benchmark.h>

#include "persimmonring/log.h"

namespace ring {
namespace {

constexpr size_t kVoters = 3;
// About the size of the command that begins a turn.
constexpr size_t kCommandBytes = 256;

using Clock = std::chrono::steady_clock;

double MicrosSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start)
      .count();
}

// Replicas in one thread, each with a folder on a real disk. Messages are
// passed directly, without a network.
class Group {
 public:
  explicit Group(size_t voters) {
    std::string pattern = "log_commit_bench_XXXXXX";
    folder_ = mkdtemp(pattern.data());
    std::vector<Member> members;
    for (ReplicaId id = 1; id <= voters; ++id) {
      members.push_back({id, "k" + std::to_string(id), true});
    }
    for (const Member& member : members) {
      Open(member, members);
    }
    Elect();
  }
  ~Group() {
    nodes_.clear();
    std::filesystem::remove_all(folder_);
  }
  Group(const Group&) = delete;
  Group& operator=(const Group&) = delete;

  // Proposes at replica 1 and returns once all entries are committed there.
  void Commit(size_t count) {
    uint64_t last = 0;
    for (size_t i = 0; i < count; ++i) {
      last = nodes_[1].replica->Propose(command_, 0)->index;
    }
    while (nodes_[1].replica->status().commit_index < last) {
      ProcessAll();
    }
  }

 private:
  struct Node {
    std::unique_ptr<DiskI> disk;
    std::unique_ptr<Wal> wal;
    std::unique_ptr<Replica> replica;
  };

  void Open(const Member& member, const std::vector<Member>& members) {
    Node& node = nodes_[member.id];
    const WalIdentity identity = {"r", "g", member.id};
    node.disk = std::move(*OpenDisk(folder_ + "/" + member.node, false));
    RING_CHECK(Wal::Initialize(*node.disk, identity, members).ok());
    node.wal = std::move(*Wal::Open(*node.disk, {.identity = identity}));
    node.replica = std::make_unique<Replica>(Replica::Init{.id = member.id},
                                             node.wal->recovered());
  }

  void Elect() {
    RaftMessage timeout_now;
    timeout_now.kind = RaftKind::kTimeoutNow;
    timeout_now.from = 2;
    timeout_now.to = 1;
    timeout_now.term = nodes_[1].replica->status().term;
    nodes_[1].replica->Step(timeout_now, 0);
    while (!nodes_[1].replica->is_leader()) {
      ProcessAll();
    }
    Commit(1);
  }

  void ProcessAll() {
    for (auto& [id, node] : nodes_) {
      while (node.replica->HasReady()) {
        Process(node);
      }
    }
  }

  void Process(Node& node) {
    const Ready ready = node.replica->TakeReady();
    if (ready.hard_state || !ready.entries.empty()) {
      RING_CHECK(node.wal->Append(ready.hard_state, ready.entries).ok());
    }
    node.replica->Persisted();
    for (const RaftMessage& message : ready.messages) {
      const auto decoded = DecodeRaftMessage(EncodeRaftMessage(message));
      nodes_[message.to].replica->Step(*decoded, 0);
    }
  }

  std::string folder_;
  const std::string command_ = std::string(kCommandBytes, 'x');
  std::map<ReplicaId, Node> nodes_;
};

void Report(benchmark::State& state,
            std::vector<double>& micros,
            size_t entries) {
  std::sort(micros.begin(), micros.end());
  const auto at = [&](double share) {
    return micros[static_cast<size_t>(share *
                                      static_cast<double>(micros.size() - 1))];
  };
  state.SetItemsProcessed(static_cast<int64_t>(micros.size() * entries));
  state.counters["p50_us"] = at(0.5);
  state.counters["p95_us"] = at(0.95);
  state.counters["p99_us"] = at(0.99);
}

// Commits a batch of entries that share one sync on each replica.
void GroupCommit(benchmark::State& state) {
  Group group(static_cast<size_t>(state.range(1)));
  const auto batch = static_cast<size_t>(state.range(0));
  std::vector<double> micros;
  for (auto _ : state) {
    const auto start = Clock::now();
    group.Commit(batch);
    micros.push_back(MicrosSince(start));
  }
  Report(state, micros, batch);
}

// Commits the same number of entries one after the other, each with its own
// sync. The latency is that of the whole batch.
void SyncEachEntry(benchmark::State& state) {
  Group group(static_cast<size_t>(state.range(1)));
  const auto batch = static_cast<size_t>(state.range(0));
  std::vector<double> micros;
  for (auto _ : state) {
    const auto start = Clock::now();
    for (size_t i = 0; i < batch; ++i) {
      group.Commit(1);
    }
    micros.push_back(MicrosSince(start));
  }
  Report(state, micros, batch);
}

BENCHMARK(GroupCommit)
    ->ArgNames({"batch", "voters"})
    ->ArgsProduct({{1, 2, 4, 8, 16, 32, 64, 128, 256}, {1, kVoters}})
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond)
    ->MinTime(0.3);
BENCHMARK(SyncEachEntry)
    ->ArgNames({"batch", "voters"})
    ->ArgsProduct({{1, 16, 64, 256}, {1, kVoters}})
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond)
    ->MinTime(0.3);

}  // namespace
}  // namespace ring
