#include "keeper_group_p.h"

namespace ring {
namespace {

// Longest age of a confirmation with which lease requests are answered at once.
// Entries accept keys for 0.8 of the revocation bound after the confirmation;
// an older one would shorten the time for which they can do without a reply.
constexpr int64_t kMaxConfirmationAgeMs = 150;
// Least time between barriers for leases. At a tick of 20 ms, one each tick
// would send 50 heartbeats a second to each member, some in another region.
constexpr int64_t kBarrierIntervalMs = 40;
// Entries send a lease request at least once a second while they need one.
constexpr int64_t kLeasesInUseMs = 1'000;
// Entries give up a lease request after 400 ms and send another one.
constexpr int64_t kMaxLeaseWaitMs = 400;
// Several times the number of entries of the largest deployment.
constexpr size_t kMaxWaitingLeases = 1'024;
// Barriers that were begun in the current term and are not confirmed. At one a
// tick this is more than one election timeout, after which a leader without a
// majority steps down.
constexpr size_t kMaxOpenBarriers = 256;

}  // namespace

void GroupHost::HandleLease(const Caller& caller, std::string payload) {
  if (!replica_->is_leader()) {
    return Refuse(caller, {Reason::kNotLeader, RunState::kNotRun,
                           "this replica does not lead the group"});
  }
  last_lease_ms_ = clock_.NowMs();
  if (RecentlyConfirmed()) {
    return AnswerLease(caller, payload);
  }
  if (waiting_leases_.size() >= kMaxWaitingLeases) {
    return Refuse(caller, {Reason::kNoQuorum, RunState::kNotRun,
                           "too many lease requests wait for a confirmation"});
  }
  waiting_leases_.push_back({caller, std::move(payload), *last_lease_ms_});
}

bool GroupHost::LeaseBarrierDue() const {
  const int64_t now_ms = clock_.NowMs();
  return barrier_allowed_ && replica_->is_leader() && last_lease_ms_ &&
         now_ms - *last_lease_ms_ <= kLeasesInUseMs &&
         now_ms - last_barrier_ms_ >= kBarrierIntervalMs &&
         barriers_.size() < kMaxOpenBarriers;
}

// Called after the entries that were committed when the barrier was confirmed
// have been applied, so every entry that was committed before the barrier was
// begun is among them.
void GroupHost::OnBarrierConfirmed(uint64_t id) {
  const auto found = barriers_.find(id);
  if (found == barriers_.end()) {
    return;
  }
  if (!confirmed_ || confirmed_->term != found->second.term ||
      confirmed_->begun_ms < found->second.begun_ms) {
    confirmed_ = found->second;
  }
  barriers_.erase(found);
  AnswerLeases();
}

bool GroupHost::RecentlyConfirmed() const {
  return confirmed_ && replica_->is_leader() &&
         confirmed_->term == replica_->hard_state().term &&
         clock_.BootMs() - confirmed_->begun_ms <= kMaxConfirmationAgeMs;
}

void GroupHost::AnswerLease(const Caller& caller, const std::string& payload) {
  const int64_t age_ms = clock_.BootMs() - confirmed_->begun_ms;
  std::string reply = machine_->Lease(payload, clock_.NowMs(), age_ms);
  if (reply.empty()) {
    return Refuse(caller, {Reason::kBadRequest, RunState::kNotRun,
                           "cannot decode the lease request, or the group "
                           "grants no leases"});
  }
  Reply(caller, std::move(reply));
}

void GroupHost::AnswerLeases() {
  while (!waiting_leases_.empty() && RecentlyConfirmed()) {
    const WaitingLease lease = std::move(waiting_leases_.front());
    waiting_leases_.pop_front();
    AnswerLease(lease.caller, lease.payload);
  }
}

void GroupHost::DropLateLeases() {
  const int64_t now_ms = clock_.NowMs();
  while (!waiting_leases_.empty() &&
         now_ms - waiting_leases_.front().arrived_ms > kMaxLeaseWaitMs) {
    const Caller caller = waiting_leases_.front().caller;
    waiting_leases_.pop_front();
    Refuse(caller, {Reason::kNoQuorum, RunState::kNotRun,
                    "no majority confirmed the leader in time"});
  }
}

void GroupHost::RefuseLeases(const Refusal& refusal) {
  for (const WaitingLease& lease : std::exchange(waiting_leases_, {})) {
    Refuse(lease.caller, refusal);
  }
}

}  // namespace ring
