#include <algorithm>

#include "persimmonring/gateway.h"

namespace ring {
namespace {

// Costs are the expected time to the first byte of the response, us, as far as
// it differs between candidates.

// Prompt tokens that an engine of this class processes per millisecond; 61.2 in
// the deployment sheets, rounded.
constexpr int64_t kPrefillTokensPerMs = 60;
// Requests of a batch that are delayed while a prompt is processed, half of the
// usual slots (6 to 16). A turn that moves away from the engine that has its
// chain cached delays them too.
constexpr int64_t kDelayedByPrefill = 4;
constexpr int64_t kUsPerMs = 1'000;
// Extra latency of another domain of the region (0.5 to 1.4 ms one way) and of
// another region (8 ms one way). The latter includes a surcharge for the low
// bandwidth between regions.
constexpr int64_t kOtherDomainUs = 3'000;
constexpr int64_t kOtherRegionUs = 25'000;
// Slowdown of a plain service by each running request.
constexpr int64_t kRunningRequestUs = 500;
// Wait for one request in excess of the slots: about one call of a plain
// service (13 to 104 ms in the deployment sheets).
constexpr int64_t kQueuedRequestUs = 60'000;
constexpr int64_t kColdUs = 20'000;
constexpr int64_t kSuspectedUs = 2'000'000;
// Cost of each percent of failed requests: a failure costs the caller about a
// second until it has retried.
constexpr int64_t kFailurePercentUs = 10'000;
constexpr int64_t kTriedUs = 10'000'000;
constexpr int64_t kTieBreakUs = 400;
// Maximum number of offers for one turn, in this region and in others. The log
// entry of the turn carries them to every keeper, 8 bytes each.
constexpr size_t kSameRegionOffers = 32;
constexpr size_t kOtherRegionOffers = 4;

int64_t PrefillUs(int64_t tokens) {
  return std::max<int64_t>(tokens, 0) * kUsPerMs * kDelayedByPrefill /
         kPrefillTokensPerMs;
}

// Cost that does not depend on the requests in flight.
int64_t FixedCostUs(const PlacementInput& input,
                    const PlacementCandidate& candidate) {
  int64_t cost = 0;
  if (!candidate.same_region) {
    cost += kOtherRegionUs;
  } else if (!candidate.same_domain) {
    cost += kOtherDomainUs;
  }
  if (input.engine) {
    cost += PrefillUs(input.prompt_tokens - candidate.cached_tokens);
  }
  cost += candidate.cold ? kColdUs : 0;
  cost += candidate.suspected ? kSuspectedUs : 0;
  cost += candidate.failure_percent * kFailurePercentUs;
  cost += candidate.tried ? kTriedUs : 0;
  return cost;
}

int64_t LoadCostUs(const PlacementInput& input,
                   const PlacementCandidate& candidate) {
  if (input.engine) {
    return EngineWaitUs(candidate.in_flight, candidate.slots);
  }
  const int64_t slots = std::max(candidate.slots, 1);
  const int64_t load = candidate.in_flight;
  // Plain services slow down when nearly full.
  int64_t cost =
      load * kRunningRequestUs + load * kQueuedRequestUs / (slots * 4);
  if (load >= slots) {
    cost +=
        (load - slots + 1) * kQueuedRequestUs / slots + kQueuedRequestUs / 2;
  }
  return cost;
}

// Spreads requests over equal candidates; a multiplicative hash suffices.
int64_t TieBreakUs(const PlacementInput& input, size_t position) {
  constexpr uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  const uint64_t mixed = (input.random + position) * kMultiplier;
  return static_cast<int64_t>((mixed >> 32) % kTieBreakUs);
}

}  // namespace

std::optional<size_t> PlaceRequest(const PlacementInput& input) {
  std::optional<size_t> best;
  int64_t best_cost = 0;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const int64_t cost = FixedCostUs(input, input.candidates[i]) +
                         LoadCostUs(input, input.candidates[i]) +
                         TieBreakUs(input, i);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

std::vector<UpstreamOffer> OfferPlacements(const PlacementInput& input) {
  std::vector<UpstreamOffer> near;
  std::vector<UpstreamOffer> far;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const PlacementCandidate& candidate = input.candidates[i];
    if (!candidate.tried && !candidate.suspected) {
      (candidate.same_region ? near : far)
          .push_back({UpstreamKey(candidate.instance),
                      FixedCostUs(input, candidate) + TieBreakUs(input, i),
                      candidate.slots});
    }
  }
  const auto keep_best = [](std::vector<UpstreamOffer>& offers, size_t count) {
    std::sort(offers.begin(), offers.end(), [](const auto& a, const auto& b) {
      return a.cost_us < b.cost_us;
    });
    offers.resize(std::min(offers.size(), count));
  };
  keep_best(far, near.empty() ? kSameRegionOffers : kOtherRegionOffers);
  keep_best(near, kSameRegionOffers);
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

int64_t CachedSavingUs(const PlacementInput& input) {
  return PrefillUs(input.prompt_tokens);
}

}  // namespace ring
