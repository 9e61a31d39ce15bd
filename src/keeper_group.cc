#include "keeper_group_p.h"

#include <algorithm>

namespace ring {
namespace {

// Raft messages beyond this number are dropped; Raft sends them again. Requests
// have a separate bound, Init::max_pending.
constexpr size_t kMaxQueuedRaftMessages = 4'096;
// A log of this size is compacted even if it has few entries, because the log
// is also held in memory.
constexpr uint64_t kMaxLogBytes = 64u << 20;
// After a snapshot the log keeps `snapshot_entries` divided by this number of
// entries, so that a member that is slightly behind does not need the snapshot.
constexpr uint64_t kKeptEntriesDivisor = 4;
constexpr int64_t kHousekeepingIntervalMs = 1'000;
// Interval of membership checks; a fraction of the time after which a silent
// member counts as lost.
constexpr int64_t kMembershipCheckIntervalMs = 200;
// A chunk is sent only after the previous one is acknowledged. With chunks of
// 128 KB, 7 MB took 3.4 s over a link between regions whose bandwidth allows
// 2 s.
constexpr size_t kSnapshotChunkBytes = 512u << 10;

// A member that was heard from within this many ticks counts as replicating.
constexpr int64_t kReplicatingWithinTicks = 50;

void LogUnreadableSnapshot(const std::string& group, const Refusal& refusal) {
  Event(LogLevel::kError, "snapshot_unreadable")
      .Add("group", group)
      .Add("reason", refusal.reason)
      .Add("detail", refusal.message);
}

// Logs read errors of a snapshot source, because Replica does not log.
class LoggingSnapshotSource final : public SnapshotSourceI {
 public:
  LoggingSnapshotSource(std::string group,
                        std::shared_ptr<const SnapshotSourceI> source)
      : group_(std::move(group)), source_(std::move(source)) {}

  const SnapshotMeta& meta() const override { return source_->meta(); }
  uint64_t size() const override { return source_->size(); }
  Outcome<std::string> Read(uint64_t offset, size_t bytes) const override {
    auto data = source_->Read(offset, bytes);
    if (!data) {
      LogUnreadableSnapshot(group_, data.refusal());
    }
    return data;
  }

 private:
  const std::string group_;
  const std::shared_ptr<const SnapshotSourceI> source_;
};

}  // namespace

uint64_t FirstEntryToKeep(uint64_t default_first,
                          uint64_t max_extra_entries,
                          const std::vector<MemberProgress>& members) {
  uint64_t first = default_first;
  for (const MemberProgress& progress : members) {
    const uint64_t next = progress.match_index + 1;
    if (progress.match_index > 0 &&
        progress.silent_ticks < kReplicatingWithinTicks && next < first &&
        default_first - next <= max_extra_entries) {
      first = next;
    }
  }
  return first;
}

GroupHost::GroupHost(Init init,
                     std::unique_ptr<DiskI> disk,
                     GroupTransportI& transport,
                     const ClockI& clock)
    : init_(std::move(init)),
      disk_(std::move(disk)),
      transport_(transport),
      clock_(clock),
      inbox_(init_.max_pending + kMaxQueuedRaftMessages) {}

Status GroupHost::Initialize() {
  return Wal::Initialize(*disk_, init_.identity, init_.initial_members);
}

Status GroupHost::Open() {
  replica_.reset();
  wal_.reset();
  caught_up_ = false;
  // A machine that is loaded again may have applied less.
  confirmed_.reset();
  barriers_.clear();
  auto wal = Wal::Open(*disk_, {.identity = init_.identity});
  if (!wal) {
    return wal.refusal();
  }
  wal_ = std::move(*wal);
  machine_ = init_.create_machine();
  if (Status status = wal_->LoadState(*machine_); !status) {
    return status;
  }
  Replica::Init replica;
  replica.id = init_.identity.replica;
  replica.heartbeat_ticks = init_.heartbeat_ticks;
  replica.election_ticks = init_.election_ticks;
  replica.min_election_ticks = init_.min_election_ticks;
  replica.seed = init_.seed;
  replica.promote_learners = !init_.automatic_membership;
  replica.first_election_ticks = init_.first_election_ticks;
  replica.max_append_bytes = init_.max_append_bytes;
  replica.max_snapshot_chunk = kSnapshotChunkBytes;
  replica.max_inflight_appends = init_.max_inflight_appends;
  replica.open_snapshot = [this]() -> std::shared_ptr<const SnapshotSourceI> {
    auto opened = wal_->VerifySnapshot();
    if (!opened) {
      LogUnreadableSnapshot(name(), opened.refusal());
      return nullptr;
    }
    return std::make_shared<LoggingSnapshotSource>(name(), std::move(*opened));
  };
  Event(LogLevel::kInfo, "group_opened")
      .Add("group", name())
      .Add("replica", init_.identity.replica)
      .Add("term", wal_->recovered().hard_state.term)
      .Add("snapshot_index", wal_->recovered().snapshot.index)
      .Add("entries", uint64_t{wal_->recovered().entries.size()})
      .Add("cut_bytes", wal_->torn_bytes());
  replica_ = std::make_unique<Replica>(std::move(replica), wal_->recovered());
  wal_->DropRecovered();
  return Done{};
}

bool GroupHost::TryPush(GroupInput&& input) {
  const bool request = input.kind == GroupInput::Kind::kRequest;
  if (request && unanswered_requests_.load() >= init_.max_pending) {
    return false;
  }
  if (!inbox_.TryPush(std::move(input))) {
    return false;
  }
  if (request) {
    unanswered_requests_.fetch_add(1);
  }
  return true;
}

Status GroupHost::Run(const StopToken& stop) {
  if (!replica_) {
    if (Status status = Open(); !status) {
      RefuseQueued(status.refusal());
      return status;
    }
  }
  next_tick_ms_ = clock_.NowMs() + init_.tick_ms;
  Status status = Done{};
  while (status && !stop.stopped()) {
    const int64_t wait_ms =
        wal_->writing_snapshot()
            ? 0
            : std::clamp<int64_t>(next_tick_ms_ - clock_.NowMs(), 0,
                                  init_.tick_ms);
    status = ProcessInputs(inbox_.PopAll(wait_ms));
  }
  FailPending(0, status ? "the keeper is stopping" : status.refusal().message);
  FailQueries(status ? "the keeper is stopping" : status.refusal().message);
  RefuseLeases({Reason::kNoQuorum, RunState::kNotRun,
                status ? "the keeper is stopping" : status.refusal().message});
  has_leader_ = false;
  leads_ = false;
  if (!status) {
    RefuseQueued(status.refusal());
    metrics::Count("ring_log_failures_total", {{"group", name()}});
    replica_.reset();
  }
  return status;
}

// Handles all queued inputs before the log is synced, so that their entries
// share one sync.
Status GroupHost::ProcessInputs(const std::deque<GroupInput>& inputs) {
  TickIfDue();
  for (const GroupInput& input : inputs) {
    switch (input.kind) {
      case GroupInput::Kind::kRaft:
        HandleRaft(input);
        break;
      case GroupInput::Kind::kRequest:
        HandleRequest(input);
        break;
      case GroupInput::Kind::kPeerOpened:
        HandlePeerOpened(input.node);
        break;
      case GroupInput::Kind::kTransferLeadership:
        replica_->TransferLeader(0);
        break;
    }
  }
  StartBarrier();
  while (replica_->HasReady()) {
    if (Status status = ProcessReady(); !status) {
      return status;
    }
  }
  return SnapshotIfDue();
}

void GroupHost::TickIfDue() {
  const int64_t now_ms = clock_.NowMs();
  if (now_ms < next_tick_ms_) {
    return;
  }
  // After a stall only one tick is made up for, so that messages that arrived
  // during the stall are handled before an election timeout can fire.
  next_tick_ms_ =
      std::max(next_tick_ms_ + init_.tick_ms, now_ms + init_.tick_ms / 2);
  replica_->Tick(clock_.WallMs());
  barrier_allowed_ = true;
  DropLateLeases();
  if (init_.automatic_membership && now_ms >= next_membership_check_ms_) {
    next_membership_check_ms_ = now_ms + kMembershipCheckIntervalMs;
    MaintainMembership();
  }
  if (now_ms >= next_housekeeping_ms_) {
    next_housekeeping_ms_ = now_ms + kHousekeepingIntervalMs;
    ProposeExpiry(clock_.WallMs());
    ForwardVersions();
    metrics::SetGauge(
        "ring_log_election_timeout_ms", {{"group", name()}},
        static_cast<double>(replica_->status().election_ticks * init_.tick_ms));
  }
}

void GroupHost::ProposeExpiry(int64_t now_ms) {
  if (!replica_->is_leader() || expire_index_ > replica_->AppliedMeta().index) {
    return;
  }
  std::string command = machine_->ExpireCommand();
  if (command.empty()) {
    return;
  }
  const auto proposed = replica_->Propose(std::move(command), now_ms);
  if (proposed) {
    expire_index_ = proposed->index;
  }
}

Status GroupHost::ProcessReady() {
  Ready ready = replica_->TakeReady();
  // A leader whose term is durable may send entries before it has synced them
  // itself; the followers then sync at the same time.
  const bool early = replica_->is_leader() && !ready.hard_state;
  if (early) {
    SendMessages(ready.messages);
  }
  if (Status status = Persist(ready); !status) {
    Event(LogLevel::kError, "store_failed")
        .Add("group", name())
        .Add("reason", status.refusal().reason)
        .Add("detail", status.refusal().message);
    return status;
  }
  replica_->Persisted();
  if (!early) {
    SendMessages(ready.messages);
  }
  Apply(ready.committed);
  ReplyToReads(ready);
  UpdateLeader();
  CheckCaughtUp();
  return Done{};
}

Status GroupHost::Persist(Ready& ready) {
  if (ready.snapshot) {
    if (Status status = InstallSnapshot(std::move(*ready.snapshot)); !status) {
      return status;
    }
  }
  if (!ready.hard_state && ready.entries.empty()) {
    return Done{};
  }
  const int64_t start_ms = clock_.NowMs();
  Status status = wal_->Append(ready.hard_state, ready.entries);
  const Labels labels = {{"group", name()}};
  metrics::ObserveMs("ring_log_sync_ms", labels,
                     static_cast<double>(clock_.NowMs() - start_ms));
  metrics::Count("ring_log_syncs_total", labels);
  metrics::Count("ring_log_entries_total", labels,
                 static_cast<double>(ready.entries.size()));
  return status;
}

// Frees the old state and the received bytes before the new state is built, to
// limit the use of memory: the new state is loaded from disk.
Status GroupHost::InstallSnapshot(Snapshot snapshot) {
  machine_ = init_.create_machine();
  Status status =
      wal_->SaveSnapshot(snapshot, replica_->hard_state(), snapshot.meta.index,
                         snapshot.meta.term, {});
  if (!status) {
    return status;
  }
  const size_t bytes = std::exchange(snapshot.data, {}).size();
  status = wal_->LoadState(*machine_);
  FailPending(0, "the log was replaced by a snapshot");
  if (name() == kControlGroup) {
    PushControl();
  }
  Event(LogLevel::kInfo, "snapshot_installed")
      .Add("group", name())
      .Add("index", snapshot.meta.index)
      .Add("bytes", uint64_t{bytes});
  return status;
}

std::string GroupHost::NodeOf(ReplicaId id) const {
  const LogConfig config = replica_->config();
  if (const Member* member = config.Find(id)) {
    return member->node;
  }
  // A replica that joins has no configuration yet. It knows the nodes that have
  // sent it messages.
  const auto known = node_of_replica_.find(id);
  return known == node_of_replica_.end() ? std::string() : known->second;
}

void GroupHost::SendMessages(const std::vector<RaftMessage>& messages) {
  for (const RaftMessage& message : messages) {
    const std::string node = NodeOf(message.to);
    if (!node.empty()) {
      transport_.SendToNode(node, {.kind = FrameKind::Raft,
                                   .group = name(),
                                   .payload = EncodeRaftMessage(message)});
    }
  }
}

void GroupHost::Apply(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    std::string result;
    if (entry.kind == LogEntryKind::kCommand) {
      result = machine_->Apply(entry.index, entry.time_ms, entry.data);
    } else if (entry.kind == LogEntryKind::kConfig) {
      Event(LogLevel::kInfo, "members_changed")
          .Add("group", name())
          .Add("index", entry.index)
          .Add("voters", uint64_t{replica_->config().voter_count()});
      if (init_.on_members_changed) {
        init_.on_members_changed(name(), replica_->config());
      }
    }
    const auto found = pending_.find(entry.index);
    if (found == pending_.end()) {
      continue;
    }
    const Pending pending = found->second;
    pending_.erase(found);
    if (pending.term == entry.term) {
      Reply(pending.caller, std::move(result));
    } else {
      // A different entry was committed at this index, so the proposed entry
      // never will be.
      Refuse(pending.caller, {Reason::kNotLeader, RunState::kNotRun,
                              "the log entry was overwritten by a new leader"});
    }
  }
  if (!entries.empty() && name() == kControlGroup) {
    PushControl();
  }
}

void GroupHost::ReplyToReads(const Ready& ready) {
  for (const uint64_t id : ready.reads) {
    OnBarrierConfirmed(id);
    const auto node = queries_.extract(id);
    if (!node.empty()) {
      for (const Query& query : node.mapped()) {
        ReplyToQuery(query);
      }
    }
  }
  for (const uint64_t id : ready.failed_reads) {
    barriers_.erase(id);
    const auto node = queries_.extract(id);
    if (!node.empty()) {
      for (const Query& query : node.mapped()) {
        Refuse(query.caller, {Reason::kNotLeader, RunState::kNotRun,
                              "leadership was lost before the read"});
      }
    }
  }
}

void GroupHost::UpdateLeader() {
  const ReplicaStatus status = replica_->status();
  const bool led = leads_;
  has_leader_ = status.leader != 0;
  leads_ = replica_->is_leader();
  leader_node_ = NodeOf(status.leader);
  FailPending(replica_->is_leader() ? status.term : 0,
              "leadership was lost before the log entry was committed");
  if (!leads_) {
    RefuseLeases({Reason::kNotLeader, RunState::kNotRun,
                  "this replica does not lead the group"});
  }
  if (leads_ != led || status.term != known_term_) {
    machine_->ResetLeases();
  }
  if (status.leader == known_leader_ && status.term == known_term_) {
    return;
  }
  known_leader_ = status.leader;
  known_term_ = status.term;
  metrics::SetGauge("ring_log_term", {{"group", name()}},
                    static_cast<double>(status.term));
  metrics::SetGauge("ring_log_leads", {{"group", name()}}, leads_ ? 1 : 0);
  Event(LogLevel::kInfo, "leader_changed")
      .Add("group", name())
      .Add("term", status.term)
      .Add("leader", status.leader)
      .Add("role", ToString(status.role))
      .Add("election_timeout_ms", status.election_ticks * init_.tick_ms);
  if (leads_ && init_.leader_notice) {
    transport_.SendToEntries(
        {.kind = FrameKind::LeaderNotice, .group = name()});
  }
}

// An applied entry of the current leader's term implies that all entries that
// were committed before the group was opened are applied.
void GroupHost::CheckCaughtUp() {
  if (caught_up_ || known_leader_ == 0 ||
      replica_->AppliedMeta().term != known_term_) {
    return;
  }
  caught_up_ = true;
  Event(LogLevel::kInfo, "group_settled")
      .Add("group", name())
      .Add("index", replica_->AppliedMeta().index);
  if (init_.on_caught_up) {
    init_.on_caught_up(name());
  }
}

// The run state is unknown because the next leader may still commit the
// entries.
void GroupHost::FailPending(uint64_t kept_term, const std::string& message) {
  std::vector<Caller> callers;
  std::erase_if(pending_, [&](const auto& item) {
    const bool failed = item.second.term != kept_term;
    if (failed) {
      callers.push_back(item.second.caller);
    }
    return failed;
  });
  for (const Caller& caller : callers) {
    Refuse(caller, {Reason::kNoQuorum, RunState::kUnknown, message});
  }
}

void GroupHost::FailQueries(const std::string& message) {
  for (const auto& [id, queries] : std::exchange(queries_, {})) {
    for (const Query& query : queries) {
      Refuse(query.caller, {Reason::kNoQuorum, RunState::kNotRun, message});
    }
  }
}

// Refuses queued requests at once while the replica cannot be opened.
void GroupHost::RefuseQueued(const Refusal& refusal) {
  for (const GroupInput& input : inbox_.PopAll(0)) {
    if (input.kind == GroupInput::Kind::kRequest) {
      Refuse({input.session, input.correlation}, refusal);
    }
  }
}

// Writes one piece of a snapshot in each iteration of the main loop. All
// replicas save their snapshots at the same entry, so callers would otherwise
// wait until a snapshot is written at each of them.
Status GroupHost::SnapshotIfDue() {
  if (wal_->writing_snapshot()) {
    return ContinueSnapshot();
  }
  const SnapshotMeta meta = replica_->AppliedMeta();
  const uint64_t covered = meta.index - replica_->status().snapshot_index;
  if (covered >= init_.snapshot_entries ||
      (wal_->log_bytes() >= kMaxLogBytes && covered > 0)) {
    wal_->BeginSnapshot(meta, machine_->BeginSave());
  }
  return Done{};
}

Status GroupHost::ContinueSnapshot() {
  const auto complete = wal_->WriteSnapshotPiece();
  if (!complete) {
    return complete.refusal();
  }
  if (!*complete) {
    return Done{};
  }
  const SnapshotMeta meta = wal_->writing_meta();
  const uint64_t kept = init_.snapshot_entries / kKeptEntriesDivisor;
  const bool large = wal_->log_bytes() >= kMaxLogBytes;
  replica_->Compact(meta, large ? meta.index + 1
                                : FirstEntryToKeep(meta.index - kept + 1,
                                                   init_.snapshot_entries,
                                                   replica_->status().members));
  const uint64_t start = replica_->start_index();
  Status status = wal_->FinishSnapshot(replica_->hard_state(), start,
                                       replica_->TermAt(start),
                                       replica_->EntriesAfter(start));
  Event(LogLevel::kInfo, "snapshot_saved")
      .Add("group", name())
      .Add("index", meta.index)
      .Add("bytes", wal_->snapshot_bytes());
  return status;
}

}  // namespace ring
