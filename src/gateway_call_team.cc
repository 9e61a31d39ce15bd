#include <algorithm>

#include "gateway_p.h"

namespace ring {
namespace {

// Longest wait for a grant; a lease request to a leader within reach is
// answered sooner.
constexpr int64_t kMaxGrantWaitMs = 800;
// A request waits for a grant for the time it has left, divided by this.
constexpr int64_t kGrantWaitDivisor = 4;
constexpr int64_t kMinQuotaRetryMs = 50;
// A grant that is older when its request is first sent is given back, and a new
// one is asked for. Otherwise requests that waited for an election would run
// together, beyond the quota of the window in which they run.
constexpr int64_t kMaxGrantAgeMs = 200;

}  // namespace

int32_t GatewayCall::priority() const {
  const int32_t priority = team_ != nullptr
                               ? team_->priority.value_or(route_->priority)
                               : route_->priority;
  return std::clamp(priority, 0, UINT8_MAX);
}

std::string GatewayCall::ChainKey(const std::string& turn) const {
  return table_->has_teams() ? TeamName() + "\n" + turn : turn;
}

bool GatewayCall::starts_program() const {
  return route_->keeps_turns && !info_.program.empty() &&
         info_.previous_turn.empty() &&
         !gateway_.programs().Contains(info_.program);
}

void GatewayCall::AddTeam(fb::BeginTurnT& begin) const {
  begin.team = TeamName();
  begin.knows_teams = table_->has_teams();
  if (info_.program_wait_ms) {
    const int64_t since_ms = gateway_.loop().now_ms() - start_ms_;
    begin.program_wait_ms = static_cast<int32_t>(
        std::clamp<int64_t>(*info_.program_wait_ms - since_ms, 1, INT32_MAX));
  }
}

bool GatewayCall::RefuseByKey() {
  const KeyConfirmation confirmation = gateway_.key_confirmation();
  key_age_ms_ = confirmation.age_ms;
  const KeyCheck check = CheckKey(*table_, *route_, info_.key, confirmation);
  team_ = check.team;
  switch (check.verdict) {
    case KeyVerdict::kAccepted:
      key_checked_ = true;
      return false;
    case KeyVerdict::kUnknown:
      Refuse({Reason::kUnknownKey, RunState::kNotRun,
              "no team has the key of the request"});
      return true;
    case KeyVerdict::kUnconfirmed:
      break;
  }
  if (!WaitForStartup()) {
    Refuse({Reason::kNoQuorum, RunState::kNotRun,
            "the keepers have not confirmed the keys of this entry in time",
            kRetryAfterMs});
  }
  return true;
}

bool GatewayCall::needs_quota_grant() const {
  if (team_ == nullptr || !gateway_.HasQuota(team_->name)) {
    return false;
  }
  const int64_t age_ms = gateway_.loop().now_ms() - granted_at_ms_;
  return !granted_ || (grant_unsent_ && age_ms > kMaxGrantAgeMs);
}

void GatewayCall::ReturnGrant() {
  if (std::exchange(grant_unsent_, false)) {
    granted_ = false;
    gateway_.lease().ReturnGrant(team_->name, grant_starts_);
  }
}

void GatewayCall::AcquireGrant(std::function<void()> then) {
  ReturnGrant();
  grant_starts_ = starts_program() && sends_ == 0;
  const int64_t asked_ms = gateway_.loop().now_ms();
  const int64_t max_wait_ms =
      std::min(kMaxGrantWaitMs, remaining_ms() / kGrantWaitDivisor);
  const uint64_t ticket = gateway_.lease().AcquireGrant(
      team_->name, grant_starts_, max_wait_ms,
      [this, alive = std::weak_ptr<bool>(alive_), asked_ms,
       then = std::move(then)](const EntryLeaseI::Grant& grant) {
        if (alive.expired() || ended_) {
          return;
        }
        if (std::exchange(grant_ticket_, 0) != 0) {
          gateway_.RecordWaiting(team_, -1);
        }
        grant_wait_ms_ += gateway_.loop().now_ms() - asked_ms;
        if (grant.result != EntryLeaseI::GrantResult::kGranted) {
          return RefuseByQuota(grant);
        }
        granted_ = true;
        grant_unsent_ = true;
        granted_at_ms_ = gateway_.loop().now_ms();
        then();
      });
  if (ticket != 0) {
    grant_ticket_ = ticket;
    gateway_.RecordWaiting(team_, 1);
  }
}

void GatewayCall::CancelGrant() {
  if (grant_ticket_ != 0) {
    gateway_.RecordWaiting(team_, -1);
    gateway_.lease().CancelGrant(std::exchange(grant_ticket_, 0));
  }
  ReturnGrant();
}

// Callers come back spread over as long as they have to wait.
void GatewayCall::RefuseByQuota(const EntryLeaseI::Grant& grant) {
  const RunState run_state =
      may_have_run_ ? RunState::kUnknown : RunState::kNotRun;
  if (grant.result == EntryLeaseI::GrantResult::kUnreachable) {
    return Refuse({Reason::kNoQuorum, run_state,
                   "no keeper has granted the request in time", kRetryAfterMs});
  }
  const int64_t wait_ms = std::max(grant.wait_ms, kMinQuotaRetryMs);
  Refuse({Reason::kQuotaExceeded, run_state,
          "the quota of the team is used up for " +
              std::to_string(grant.wait_ms) + " ms",
          wait_ms + static_cast<int64_t>(random_ %
                                         static_cast<uint64_t>(wait_ms + 1))});
}

void GatewayCall::RecordRun() {
  may_have_run_ = true;
  ++runs_;
  granted_ = false;
}

void GatewayCall::CountByTeam(const Refusal& refusal) const {
  if (table_ && table_->has_teams()) {
    gateway_.RecordTeam(team_, refusal);
  }
}

}  // namespace ring
