#include "log_replica_p.h"

namespace ring {

const char* ToString(ReplicaRole role) {
  switch (role) {
    case ReplicaRole::kFollower:
      return "follower";
    case ReplicaRole::kPreCandidate:
    case ReplicaRole::kCandidate:
      return "candidate";
    case ReplicaRole::kLeader:
      return "leader";
    case ReplicaRole::kLearner:
      return "learner";
  }
  return "";
}

Replica::Impl::Impl(Init init, DurableState state)
    : init_(std::move(init)),
      hard_state_(state.hard_state),
      persisted_hard_state_(hard_state_),
      log_(std::move(state)),
      rng_(init_.seed) {
  commit_index_ = log_.snapshot().index;
  applied_index_ = commit_index_;
  synced_index_ = log_.last_index();
  ResetElection();
}

void Replica::Impl::Send(RaftMessage message) {
  message.from = init_.id;
  if (message.term == 0) {
    message.term = hard_state_.term;
  }
  ready_.messages.push_back(std::move(message));
}

void Replica::Impl::Step(const RaftMessage& message, int64_t now_ms) {
  RING_CHECK(!awaiting_persist_);
  if (message.to != init_.id || message.from == init_.id ||
      !CheckTerm(message)) {
    return;
  }
  switch (message.kind) {
    case RaftKind::kPreVote:
    case RaftKind::kVote:
      return HandleVoteRequest(message);
    case RaftKind::kPreVoteReply:
    case RaftKind::kVoteReply:
      return HandleVoteReply(message, now_ms);
    case RaftKind::kAppend:
      return HandleAppend(message);
    case RaftKind::kHeartbeat:
      return HandleHeartbeat(message);
    case RaftKind::kSnapshot:
      return HandleSnapshot(message);
    case RaftKind::kAppendReply:
      return HandleAppendReply(message);
    case RaftKind::kHeartbeatReply:
      return HandleHeartbeatReply(message);
    case RaftKind::kSnapshotReply:
      return HandleSnapshotReply(message);
    case RaftKind::kTimeoutNow:
      if (IsVoter() && !is_leader()) {
        Campaign(ReplicaRole::kCandidate, true, now_ms);
      }
      return;
  }
}

bool Replica::Impl::HasReady() const {
  return sends_pending_ || ready_.snapshot ||
         hard_state_ != persisted_hard_state_ ||
         synced_index_ < log_.last_index() || !ready_.messages.empty() ||
         applied_index_ < commit_index_ || !ready_.reads.empty() ||
         !ready_.failed_reads.empty();
}

Ready Replica::Impl::TakeReady() {
  RING_CHECK(!awaiting_persist_);
  sends_pending_ = false;
  if (is_leader()) {
    SendAppends();
  }
  Ready ready = std::exchange(ready_, {});
  if (hard_state_ != persisted_hard_state_) {
    ready.hard_state = hard_state_;
  }
  if (synced_index_ < log_.last_index()) {
    ready.entries = log_.Slice(synced_index_ + 1, SIZE_MAX);
  }
  for (uint64_t index = applied_index_ + 1; index <= commit_index_; ++index) {
    ready.committed.push_back(log_.EntryAt(index));
  }
  applied_index_ = commit_index_;
  persisting_index_ = log_.last_index();
  awaiting_persist_ = true;
  return ready;
}

void Replica::Impl::Persisted() {
  RING_CHECK(awaiting_persist_);
  awaiting_persist_ = false;
  persisted_hard_state_ = hard_state_;
  synced_index_ = persisting_index_;
  if (is_leader()) {
    progress_[init_.id].match_index = synced_index_;
    AdvanceCommit();
  }
}

SnapshotMeta Replica::Impl::AppliedMeta() const {
  SnapshotMeta meta;
  meta.index = applied_index_;
  meta.term = log_.TermAt(applied_index_);
  meta.time_ms = applied_index_ > log_.start_index()
                     ? log_.EntryAt(applied_index_).time_ms
                     : log_.snapshot().time_ms;
  meta.config = log_.ConfigAt(applied_index_);
  return meta;
}

ReplicaStatus Replica::Impl::GetStatus() const {
  ReplicaStatus status;
  status.id = init_.id;
  status.role = role_;
  if (role_ == ReplicaRole::kFollower && !IsVoter()) {
    status.role = ReplicaRole::kLearner;
  }
  status.leader = leader_;
  status.term = hard_state_.term;
  status.commit_index = commit_index_;
  status.applied_index = applied_index_;
  status.last_index = log_.last_index();
  status.snapshot_index = log_.snapshot().index;
  status.election_ticks = ElectionTicks();
  for (const Member& member : log_.config().members) {
    MemberProgress row;
    row.member = member;
    const auto found = progress_.find(member.id);
    if (found != progress_.end()) {
      row.match_index = found->second.match_index;
      row.silent_ticks =
          member.id == init_.id ? 0 : tick_ - found->second.last_message_tick;
    }
    status.members.push_back(std::move(row));
  }
  return status;
}

Replica::Replica(Init init, DurableState state)
    : impl_(std::make_unique<Impl>(std::move(init), std::move(state))) {}
Replica::~Replica() = default;

void Replica::Tick(int64_t now_ms) {
  impl_->Tick(now_ms);
}

void Replica::OnReachable(ReplicaId peer) {
  impl_->OnReachable(peer);
}

void Replica::Step(const RaftMessage& message, int64_t now_ms) {
  impl_->Step(message, now_ms);
}

Outcome<LogPosition> Replica::Propose(std::string command, int64_t now_ms) {
  return impl_->Propose(std::move(command), now_ms);
}

Status Replica::ReadIndex(uint64_t id) {
  return impl_->ReadIndex(id);
}

Outcome<LogPosition> Replica::AddMember(ReplicaId id,
                                        const std::string& node,
                                        int64_t now_ms) {
  return impl_->AddMember(id, node, now_ms);
}

Outcome<LogPosition> Replica::PromoteMember(ReplicaId id, int64_t now_ms) {
  return impl_->PromoteMember(id, now_ms);
}

Outcome<LogPosition> Replica::RemoveMember(ReplicaId id, int64_t now_ms) {
  return impl_->RemoveMember(id, now_ms);
}

Status Replica::TransferLeader(ReplicaId target) {
  return impl_->TransferLeader(target);
}

bool Replica::HasReady() const {
  return impl_->HasReady();
}

Ready Replica::TakeReady() {
  return impl_->TakeReady();
}

void Replica::Persisted() {
  impl_->Persisted();
}

void Replica::Compact(const SnapshotMeta& meta, uint64_t keep_from) {
  impl_->log().Compact(meta, keep_from);
}

SnapshotMeta Replica::AppliedMeta() const {
  return impl_->AppliedMeta();
}

std::vector<LogEntry> Replica::EntriesAfter(uint64_t index) const {
  return impl_->log().Slice(index + 1, SIZE_MAX);
}

uint64_t Replica::TermAt(uint64_t index) const {
  return impl_->log().TermAt(index);
}

uint64_t Replica::start_index() const {
  return impl_->log().start_index();
}

HardState Replica::hard_state() const {
  return impl_->hard_state();
}

bool Replica::is_leader() const {
  return impl_->is_leader();
}

ReplicaStatus Replica::status() const {
  return impl_->GetStatus();
}

LogConfig Replica::config() const {
  return impl_->log().config();
}

}  // namespace ring
