#include <algorithm>

#include "gateway_p.h"

namespace ring {
namespace {

// A request waits for an upstream with a limit for this part of the time it has
// left, divided by one more than its priority.
constexpr int64_t kPatienceDivisor = 4;
// Longer than it takes to commit a command, shorter than an election.
constexpr int64_t kPlacementTimeoutMs = 400;
// The load balancer counts a call for this time, as it is not told of its end.
constexpr int32_t kPlacedCallMs = 1'000;
constexpr int32_t kMaxPlacementRequests = 8;

}  // namespace

int64_t GatewayCall::patience_ms() const {
  return remaining_ms() / kPatienceDivisor / (priority() + 1);
}

void GatewayCall::RequestPlacement() {
  if (!gateway_.init().mechanisms.shared_limits ||
      ++placement_requests_ > kMaxPlacementRequests) {
    return SendByShare();
  }
  fb::BeginTurnT begin;
  begin.turn = gateway_.NextPlacementId();
  begin.budget_tokens = -1;
  begin.wait_ms = kPlacedCallMs;
  begin.patience_ms = static_cast<int32_t>(patience_ms());
  begin.priority = static_cast<uint8_t>(priority());
  AddTeam(begin);
  gateway_.Offer(service_, *this, begin);
  gateway_.state().Propose(
      state_codec::EncodeBegin(begin),
      std::min(kPlacementTimeoutMs, remaining_ms()),
      [this, alive = std::weak_ptr<bool>(alive_),
       asked_ms =
           gateway_.loop().now_ms()](const Outcome<fb::StateResultT>& outcome) {
        if (alive.expired() || ended_) {
          return;
        }
        if (outcome && outcome->code == fb::StateCode::Limited) {
          RefuseLimited(outcome->placed_wait_ms);
        } else if (outcome && outcome->placed != 0) {
          OnPlaced(*outcome, asked_ms);
        } else {
          SendByShare();
        }
      });
}

void GatewayCall::OnPlaced(const fb::StateResultT& result, int64_t asked_ms) {
  placed_ = result.placed;
  placed_load_ = result.placed_load;
  // Without reports of the entries, the leader knows no limits.
  if (gateway_.init().mechanisms.shared_limits) {
    gateway_.RecordPlacement(result, service_, asked_ms);
  }
  if (result.placed_wait_ms <= 0) {
    return Send();
  }
  limit_wait_ms_ += result.placed_wait_ms;
  wait_timer_.Start(result.placed_wait_ms, [this] { Send(); });
}

void GatewayCall::SendByShare() {
  if (needs_quota_grant()) {
    return AcquireGrant([this] { SendByShare(); });
  }
  const Gateway::Impl::ShareResult share =
      gateway_.PlaceByShare(service_, *this);
  if (share.chosen) {
    return SendTo(*share.chosen);
  }
  if (share.wait_ms) {
    return RefuseLimited(*share.wait_ms);
  }
  RefuseWithoutUpstream();
}

// Callers come back spread over as long as they have to wait.
void GatewayCall::RefuseLimited(int64_t wait_ms) {
  const int64_t soonest_ms =
      std::clamp(wait_ms, kRetryAfterMs, kMaxRetryAfterMs);
  Refuse({Reason::kUpstreamLimited,
          may_have_run_ ? RunState::kUnknown : RunState::kNotRun,
          "the limits of the upstreams are used up for " +
              std::to_string(wait_ms) + " ms",
          soonest_ms + static_cast<int64_t>(
                           random_ % static_cast<uint64_t>(soonest_ms))});
}

}  // namespace ring
