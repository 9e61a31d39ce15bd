#include <algorithm>

#include "log_replica_p.h"

namespace ring {
namespace {

// Context of a vote request for a leadership transfer: the receiver grants its
// vote although it hears a leader.
constexpr uint64_t kForcedVote = 1;

// A follower waits this many of the longest recent pauses between messages of
// its leader, so that one or two lost heartbeats do not start an election.
constexpr int64_t kPausesToElection = 3;
// Part of the longest pause that is forgotten with each tick.
constexpr int64_t kPauseDecayDivisor = 512;
constexpr int64_t kPauseScale = 1'024;

bool IsFromLeader(RaftKind kind) {
  return kind == RaftKind::kAppend || kind == RaftKind::kHeartbeat ||
         kind == RaftKind::kSnapshot;
}

bool IsVoteRequest(RaftKind kind) {
  return kind == RaftKind::kVote || kind == RaftKind::kPreVote;
}

RaftKind ReplyKind(RaftKind request) {
  return request == RaftKind::kVote ? RaftKind::kVoteReply
                                    : RaftKind::kPreVoteReply;
}

}  // namespace

bool Replica::Impl::IsVoter() const {
  const Member* self = log_.config().Find(init_.id);
  return self != nullptr && self->voter;
}

// While a replica hears a leader, it ignores vote requests of later terms, so
// that a working leader is not replaced.
bool Replica::Impl::HasLease() const {
  return is_leader() || (leader_ != 0 && election_elapsed_ < ElectionTicks());
}

int64_t Replica::Impl::ElectionTicks() const {
  if (init_.min_election_ticks == 0 || leader_pause_ == 0) {
    return init_.election_ticks;
  }
  return std::clamp<int64_t>(
      kPausesToElection * leader_pause_ / kPauseScale + 1,
      init_.min_election_ticks, init_.election_ticks);
}

// Records the pause since the last message of the leader. Pauses that span a
// change of the leader or a start say nothing about heartbeats.
void Replica::Impl::OnLeaderHeard(ReplicaId leader) {
  if (leader_ == leader) {
    leader_pause_ =
        std::max(leader_pause_, (election_elapsed_ + 1) * kPauseScale);
  }
  leader_ = leader;
  election_elapsed_ = 0;
  if (init_.min_election_ticks > 0) {
    DrawElectionTimeout(ElectionTicks());
  }
}

void Replica::Impl::DrawElectionTimeout(int64_t ticks) {
  election_timeout_ = UniformInt(rng_, ticks, 2 * ticks);
}

void Replica::Impl::ResetElection() {
  election_elapsed_ = 0;
  heartbeat_elapsed_ = 0;
  DrawElectionTimeout(heard_leader_ || init_.first_election_ticks == 0
                          ? ElectionTicks()
                          : init_.first_election_ticks);
  votes_.clear();
}

void Replica::Impl::BecomeFollower(uint64_t term, ReplicaId leader) {
  if (term > hard_state_.term) {
    hard_state_ = {term, 0};
  }
  role_ = ReplicaRole::kFollower;
  leader_ = leader;
  heard_leader_ = heard_leader_ || leader != 0;
  transfer_target_ = 0;
  progress_.clear();
  for (const PendingRead& read : reads_) {
    ready_.failed_reads.push_back(read.id);
  }
  reads_.clear();
  ready_.failed_reads.insert(ready_.failed_reads.end(), waiting_reads_.begin(),
                             waiting_reads_.end());
  waiting_reads_.clear();
  ResetElection();
}

void Replica::Impl::Campaign(ReplicaRole role, bool forced, int64_t now_ms) {
  ResetElection();
  role_ = role;
  leader_ = 0;
  if (role == ReplicaRole::kCandidate) {
    hard_state_ = {hard_state_.term + 1, init_.id};
  }
  votes_[init_.id] = true;
  for (const Member& member : log_.config().members) {
    if (member.voter && member.id != init_.id) {
      RequestVote(member.id, forced);
    }
  }
  CountVotes(now_ms);
}

void Replica::Impl::RequestVote(ReplicaId voter, bool forced) {
  const bool pre = role_ == ReplicaRole::kPreCandidate;
  RaftMessage request;
  request.kind = pre ? RaftKind::kPreVote : RaftKind::kVote;
  request.to = voter;
  request.term = pre ? hard_state_.term + 1 : hard_state_.term;
  request.index = log_.last_index();
  request.log_term = log_.last_term();
  request.context = forced ? kForcedVote : 0;
  Send(std::move(request));
}

void Replica::Impl::OnReachable(ReplicaId peer) {
  const Member* member = log_.config().Find(peer);
  if ((role_ == ReplicaRole::kPreCandidate ||
       role_ == ReplicaRole::kCandidate) &&
      member != nullptr && member->voter && !votes_.contains(peer)) {
    RequestVote(peer, false);
  }
  if (!heard_leader_ && init_.first_election_ticks > 0) {
    reachable_.insert(peer);
    CampaignSoon();
  }
}

// After a restart of the whole group nobody leads, so waiting for a leader is
// pointless once a majority is up. Voters campaign one after the other in the
// order of their ids, because simultaneous candidates split the votes.
void Replica::Impl::CampaignSoon() {
  size_t up = 0;
  int64_t lower = 0;
  for (const Member& member : log_.config().members) {
    if (member.voter &&
        (member.id == init_.id || reachable_.contains(member.id))) {
      ++up;
      lower += member.id < init_.id ? 1 : 0;
    }
  }
  if (role_ == ReplicaRole::kFollower && IsVoter() && up >= Quorum()) {
    election_timeout_ =
        std::min(election_timeout_,
                 election_elapsed_ + 1 + lower * init_.first_election_ticks);
  }
}

void Replica::Impl::CountVotes(int64_t now_ms) {
  size_t granted = 0;
  size_t refused = 0;
  for (const Member& member : log_.config().members) {
    const auto vote = votes_.find(member.id);
    if (member.voter && vote != votes_.end()) {
      granted += vote->second ? 1 : 0;
      refused += vote->second ? 0 : 1;
    }
  }
  if (granted >= Quorum()) {
    if (role_ == ReplicaRole::kPreCandidate) {
      Campaign(ReplicaRole::kCandidate, false, now_ms);
    } else {
      BecomeLeader(now_ms);
    }
  } else if (refused > log_.config().voter_count() - Quorum()) {
    BecomeFollower(hard_state_.term, 0);
  }
}

void Replica::Impl::BecomeLeader(int64_t now_ms) {
  heard_leader_ = true;
  ResetElection();
  role_ = ReplicaRole::kLeader;
  leader_ = init_.id;
  read_round_ = 0;
  progress_.clear();
  SyncProgress();
  progress_[init_.id].match_index = synced_index_;
  // Entries of earlier terms commit only together with one of this term.
  AppendAsLeader(LogEntryKind::kEmpty, "", now_ms);
  BroadcastHeartbeat();
}

// Compares the term of a message with the current one and adopts a higher term.
// Returns false if the message must not be handled further.
bool Replica::Impl::CheckTerm(const RaftMessage& message) {
  if (message.term < hard_state_.term) {
    RejectOldTerm(message);
    return false;
  }
  if (message.term == hard_state_.term) {
    return true;
  }
  if (IsVoteRequest(message.kind)) {
    if (HasLease() && message.context != kForcedVote) {
      return false;
    }
    if (message.kind == RaftKind::kPreVote) {
      return true;
    }
  }
  if (message.kind == RaftKind::kPreVoteReply && !message.reject) {
    return true;
  }
  BecomeFollower(message.term, IsFromLeader(message.kind) ? message.from : 0);
  return true;
}

// Tells the sender the current term, so that an old leader steps down and a
// replica that was unreachable adopts the term.
void Replica::Impl::RejectOldTerm(const RaftMessage& message) {
  RaftMessage reply;
  reply.to = message.from;
  reply.reject = true;
  if (IsFromLeader(message.kind)) {
    reply.kind = RaftKind::kAppendReply;
    Send(std::move(reply));
  } else if (IsVoteRequest(message.kind)) {
    reply.kind = ReplyKind(message.kind);
    Send(std::move(reply));
  }
}

void Replica::Impl::HandleVoteRequest(const RaftMessage& message) {
  const bool pre = message.kind == RaftKind::kPreVote;
  const bool can_vote = hard_state_.voted_for == message.from ||
                        (hard_state_.voted_for == 0 && leader_ == 0) ||
                        (pre && message.term > hard_state_.term);
  const bool up_to_date = message.log_term > log_.last_term() ||
                          (message.log_term == log_.last_term() &&
                           message.index >= log_.last_index());
  // A replica without any entry is new and has not heard from a leader yet, or
  // has lost its disk and with it votes and entries. It must not vote, because
  // its vote could elect a leader that lacks committed entries.
  const bool grant = can_vote && up_to_date && log_.last_index() > 0;
  RaftMessage reply;
  reply.kind = ReplyKind(message.kind);
  reply.to = message.from;
  reply.term = grant ? message.term : hard_state_.term;
  reply.reject = !grant;
  if (grant && !pre) {
    hard_state_.voted_for = message.from;
    election_elapsed_ = 0;
  }
  Send(std::move(reply));
}

void Replica::Impl::HandleVoteReply(const RaftMessage& message,
                                    int64_t now_ms) {
  const RaftKind expected = role_ == ReplicaRole::kPreCandidate
                                ? RaftKind::kPreVoteReply
                                : RaftKind::kVoteReply;
  if ((role_ != ReplicaRole::kPreCandidate &&
       role_ != ReplicaRole::kCandidate) ||
      message.kind != expected) {
    return;
  }
  // A granted pre-vote carries the term that the candidate would have.
  if (role_ == ReplicaRole::kPreCandidate && !message.reject &&
      message.term != hard_state_.term + 1) {
    return;
  }
  votes_.emplace(message.from, !message.reject);
  CountVotes(now_ms);
}

void Replica::Impl::Tick(int64_t now_ms) {
  RING_CHECK(!awaiting_persist_);
  ++tick_;
  ++election_elapsed_;
  leader_pause_ -= leader_pause_ / kPauseDecayDivisor;
  if (is_leader()) {
    TickLeader(now_ms);
    return;
  }
  if (election_elapsed_ >= election_timeout_ && IsVoter()) {
    Campaign(ReplicaRole::kPreCandidate, false, now_ms);
  }
}

void Replica::Impl::TickLeader(int64_t now_ms) {
  if (transfer_target_ != 0 && ++transfer_elapsed_ >= init_.election_ticks) {
    transfer_target_ = 0;
  }
  if (election_elapsed_ >= init_.election_ticks) {
    election_elapsed_ = 0;
    CheckQuorum();
    if (!is_leader()) {
      return;
    }
  }
  if (++heartbeat_elapsed_ >= init_.heartbeat_ticks) {
    heartbeat_elapsed_ = 0;
    BroadcastHeartbeat();
    PromoteLearners(now_ms);
  }
}

void Replica::Impl::CheckQuorum() {
  size_t active = 0;
  for (const Member& member : log_.config().members) {
    Progress& progress = progress_[member.id];
    if (member.voter && (member.id == init_.id || progress.recently_active)) {
      ++active;
    }
    progress.recently_active = false;
  }
  if (active < Quorum()) {
    BecomeFollower(hard_state_.term, 0);
  }
}

}  // namespace ring
