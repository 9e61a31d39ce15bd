#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "fakes/fake_disk.h"
#include "persimmonring/log.h"

namespace ring {

/// Replicas with their stores, connected by a seeded message queue that can
/// drop, duplicate, delay and reorder messages. Checks at each apply that no
/// two replicas apply different entries at one index.
class LogCluster {
 public:
  struct Faults {
    double drop = 0;
    double duplicate = 0;
    double delay = 0;  ///< Share of messages delayed by 1 to 30 ticks.
    bool reorder = false;
  };

  struct Node {
    std::shared_ptr<FakeDisk::Medium> medium;
    std::unique_ptr<FakeDisk> disk;
    std::unique_ptr<Wal> wal;
    std::unique_ptr<Replica> replica;
    std::vector<LogEntry> applied;  ///< Commands since the last start.
    std::string state;              ///< All applied commands, joined.
    std::set<uint64_t> reads;
    std::set<uint64_t> failed_reads;
    bool running = false;
    /// Lowest applied index at which each read may be answered.
    std::map<uint64_t, uint64_t> min_read_index;
  };

  explicit LogCluster(uint64_t seed,
                      const std::vector<ReplicaId>& voters = {1, 2, 3},
                      int32_t min_election_ticks = 0)
      : seed_(seed), min_election_ticks_(min_election_ticks), rng_(seed) {
    for (const ReplicaId id : voters) {
      initial_.push_back({id, NodeName(id), true});
    }
    for (const ReplicaId id : voters) {
      Create(id, initial_);
    }
  }

  static std::string NodeName(ReplicaId id) { return "k" + std::to_string(id); }

  void Create(ReplicaId id, const std::vector<Member>& members) {
    Node& node = nodes_[id];
    node.medium = std::make_shared<FakeDisk::Medium>();
    node.disk = std::make_unique<FakeDisk>(node.medium);
    ASSERT_TRUE(Wal::Initialize(*node.disk, Identity(id), members));
    Start(id);
  }

  static WalIdentity Identity(ReplicaId id) { return {"r", "g", id}; }

  void Start(ReplicaId id) {
    Node& node = nodes_[id];
    auto wal = Wal::Open(*node.disk, {.identity = Identity(id)});
    ASSERT_TRUE(wal) << wal.refusal().message;
    node.wal = std::move(*wal);
    Replica::Init init;
    init.id = id;
    init.heartbeat_ticks = 2;
    init.election_ticks = min_election_ticks_ > 0 ? 60 : 10;
    init.min_election_ticks = min_election_ticks_;
    init.seed = seed_ * 100 + id;
    init.max_snapshot_chunk = 16;
    init.max_append_bytes = 64;
    init.open_snapshot = [&node] { return *node.wal->VerifySnapshot(); };
    node.state = node.wal->LoadSnapshot()->data;
    node.applied.clear();
    node.replica = std::make_unique<Replica>(init, node.wal->recovered());
    node.running = true;
  }

  /// Stops a replica and drops everything on its disk that was not synced.
  void Crash(ReplicaId id) {
    Node& node = nodes_[id];
    node.running = false;
    FakeDisk::CutPower(*node.medium);
  }

  void CutLink(ReplicaId a, ReplicaId b) {
    cut_links_.insert({a, b});
    cut_links_.insert({b, a});
  }
  void Isolate(ReplicaId id) {
    for (const auto& [other, node] : nodes_) {
      if (other != id) {
        CutLink(id, other);
      }
    }
  }
  void Heal() { cut_links_.clear(); }

  /// Advances all replicas by `count` ticks and delivers messages at each.
  void Tick(int count = 1) {
    for (int i = 0; i < count; ++i) {
      now_ms_ += kTickMs;
      while (!delayed_.empty() && delayed_.begin()->first <= now_ms_) {
        queue_.push_back(std::move(delayed_.begin()->second));
        delayed_.erase(delayed_.begin());
      }
      for (auto& [id, node] : nodes_) {
        if (node.running) {
          node.replica->Tick(now_ms_);
        }
      }
      DeliverAll();
    }
  }

  /// Ticks until the condition holds.
  /// @returns false if it does not after `limit` ticks
  template <typename F>
  bool TickUntil(F condition, int limit = 2'000) {
    for (int i = 0; i < limit; ++i) {
      if (condition()) {
        return true;
      }
      Tick();
    }
    return condition();
  }

  /// Delivers messages, without ticks, until none are queued.
  void DeliverAll() {
    constexpr int kMaxRounds = 100;
    for (int round = 0; round < kMaxRounds; ++round) {
      for (auto& [id, node] : nodes_) {
        while (node.running && node.replica->HasReady()) {
          Process(id, node);
        }
      }
      if (queue_.empty()) {
        return;
      }
      Deliver();
    }
  }

  /// @returns the leader with the highest term, 0 if there is none
  ReplicaId Leader() const {
    ReplicaId found = 0;
    uint64_t term = 0;
    for (const auto& [id, node] : nodes_) {
      if (node.running && node.replica->is_leader() &&
          node.replica->status().term > term) {
        found = id;
        term = node.replica->status().term;
      }
    }
    return found;
  }

  ReplicaId WaitLeader() {
    EXPECT_TRUE(TickUntil([&] {
      const ReplicaId id = Leader();
      return id != 0 && HasCommittedInTerm(id);
    })) << "no leader, seed "
        << seed_;
    return Leader();
  }

  /// Proposes a command at the leader and ticks until it is applied there.
  bool Commit(const std::string& command) {
    const ReplicaId leader = Leader();
    if (leader == 0 || !nodes_[leader].replica->Propose(command, now_ms_)) {
      return false;
    }
    return TickUntil([&] { return Applied(leader, command); }, 200);
  }

  bool Applied(ReplicaId id, const std::string& command) {
    return nodes_[id].state.find(command + ";") != std::string::npos;
  }

  /// Requests a read that must see everything that any replica has applied so
  /// far.
  bool Read(ReplicaId id, uint64_t read) {
    node(id).min_read_index[read] =
        committed_.empty() ? 0 : committed_.rbegin()->first;
    return static_cast<bool>(replica(id).ReadIndex(read));
  }

  bool IsVoter(ReplicaId id) {
    const Member* member = replica(Leader()).config().Find(id);
    return member != nullptr && member->voter;
  }

  void TakeSnapshot(ReplicaId id) {
    Node& node = nodes_[id];
    const SnapshotMeta meta = node.replica->AppliedMeta();
    node.replica->Compact(meta, meta.index + 1);
    ASSERT_TRUE(node.wal->SaveSnapshot(
        {meta, node.state}, node.replica->hard_state(), meta.index, meta.term,
        node.replica->EntriesAfter(meta.index)));
  }

  Node& node(ReplicaId id) { return nodes_[id]; }
  Replica& replica(ReplicaId id) { return *nodes_[id].replica; }
  std::map<ReplicaId, Node>& nodes() { return nodes_; }
  Faults& faults() { return faults_; }
  Rng& rng() { return rng_; }
  int64_t now_ms() const { return now_ms_; }
  uint64_t messages_sent() const { return messages_sent_; }
  const std::vector<Member>& initial() const { return initial_; }
  void set_now_ms(int64_t now_ms) { now_ms_ = now_ms; }

 private:
  static constexpr int64_t kTickMs = 10;

  bool HasCommittedInTerm(ReplicaId id) {
    const ReplicaStatus status = nodes_[id].replica->status();
    return nodes_[id].replica->TermAt(status.commit_index) == status.term;
  }

  void Process(ReplicaId id, Node& node) {
    Ready ready = node.replica->TakeReady();
    if (ready.snapshot) {
      ASSERT_TRUE(node.wal->SaveSnapshot(
          *ready.snapshot, node.replica->hard_state(),
          ready.snapshot->meta.index, ready.snapshot->meta.term, {}));
      node.state = ready.snapshot->data;
    }
    if (ready.hard_state || !ready.entries.empty()) {
      ASSERT_TRUE(node.wal->Append(ready.hard_state, ready.entries));
    }
    node.replica->Persisted();
    for (RaftMessage& message : ready.messages) {
      Enqueue(std::move(message));
    }
    for (const LogEntry& entry : ready.committed) {
      CheckAgreement(id, entry);
      if (entry.kind == LogEntryKind::kCommand) {
        node.state += entry.data + ";";
        node.applied.push_back(entry);
      }
    }
    for (const uint64_t read : ready.reads) {
      ASSERT_GE(node.replica->status().applied_index, node.min_read_index[read])
          << "stale read, seed " << seed_;
      node.reads.insert(read);
    }
    node.failed_reads.insert(ready.failed_reads.begin(),
                             ready.failed_reads.end());
  }

  void CheckAgreement(ReplicaId id, const LogEntry& entry) {
    const auto [it, added] = committed_.try_emplace(entry.index, entry);
    ASSERT_EQ(it->second, entry) << "replica " << id << " applied another "
                                 << "entry, seed " << seed_;
  }

  void Enqueue(RaftMessage message) {
    ++messages_sent_;
    if (Chance(faults_.drop)) {
      return;
    }
    // Every message also tests the codec.
    auto decoded = DecodeRaftMessage(EncodeRaftMessage(message));
    ASSERT_TRUE(decoded && *decoded == message);
    if (Chance(faults_.duplicate)) {
      queue_.push_back(message);
    }
    if (Chance(faults_.delay)) {
      constexpr int64_t kMaxDelayTicks = 30;
      const int64_t ticks = UniformInt(rng_, 1, kMaxDelayTicks);
      delayed_.emplace(now_ms_ + ticks * kTickMs, std::move(message));
      return;
    }
    queue_.push_back(std::move(message));
  }

  void Deliver() {
    std::deque<RaftMessage> batch = std::exchange(queue_, {});
    if (faults_.reorder) {
      std::shuffle(batch.begin(), batch.end(), rng_);
    }
    for (const RaftMessage& message : batch) {
      const auto target = nodes_.find(message.to);
      if (target != nodes_.end() && target->second.running &&
          !cut_links_.contains({message.from, message.to})) {
        target->second.replica->Step(message, now_ms_);
      }
    }
  }

  bool Chance(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<>(0, 1)(rng_) < probability;
  }

  const uint64_t seed_;
  const int32_t min_election_ticks_;
  Rng rng_;
  std::vector<Member> initial_;
  std::map<ReplicaId, Node> nodes_;
  std::set<std::pair<ReplicaId, ReplicaId>> cut_links_;
  std::deque<RaftMessage> queue_;
  std::multimap<int64_t, RaftMessage> delayed_;
  std::map<uint64_t, LogEntry> committed_;
  Faults faults_;
  int64_t now_ms_ = 1'000;
  uint64_t messages_sent_ = 0;
};

}  // namespace ring
