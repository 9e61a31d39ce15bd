#include <algorithm>

#include "persimmonring/gateway.h"

namespace ring {
namespace {

// Costs are expected microseconds until the first byte of the answer, as far
// as candidates differ in it.

// Prompt tokens that an engine of this class reads in a millisecond; from the
// deployment sheets (61.2), rounded.
constexpr int64_t kPrefillTokensPerMs = 60;
// Requests of a batch that wait while a prompt is read, half of the usual slots
// (6 to 16): a turn that leaves the engine that holds its chain delays them
// too.
constexpr int64_t kDelayedByPrefill = 4;
constexpr int64_t kUsPerMs = 1'000;
// Round trips between domains of a region (0.5 to 1.4 ms one way) and between
// regions (8 ms one way); the latter also pay for the narrow link.
constexpr int64_t kOtherDomainUs = 3'000;
constexpr int64_t kOtherRegionUs = 25'000;
// Each running request slows the others of a plain service a little.
constexpr int64_t kBatchedUs = 500;
// Work of a request beyond the slots: about one call of a plain service, from
// the deployment sheets (13 to 104 ms).
constexpr int64_t kQueuedUs = 60'000;
constexpr int64_t kColdUs = 20'000;
constexpr int64_t kSuspectedUs = 2'000'000;
// For each percent of requests that fail: a failure costs the caller about a
// second until it has tried again.
constexpr int64_t kFailingUs = 10'000;
constexpr int64_t kTriedUs = 10'000'000;
constexpr int64_t kTieUs = 400;
// Offers of one turn, in and outside of the region: they travel with the log
// entry of the turn to every keeper, 8 bytes each.
constexpr size_t kNearOffers = 32;
constexpr size_t kFarOffers = 4;

int64_t PrefillUs(int64_t tokens) {
  return std::max<int64_t>(tokens, 0) * kUsPerMs * kDelayedByPrefill /
         kPrefillTokensPerMs;
}

// What does not depend on the requests that are under way.
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
  cost += candidate.failure_percent * kFailingUs;
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
  // Plain services slow down when they are nearly full.
  int64_t cost = load * kBatchedUs + load * kQueuedUs / (slots * 4);
  if (load >= slots) {
    cost += (load - slots + 1) * kQueuedUs / slots + kQueuedUs / 2;
  }
  return cost;
}

// Spreads equal candidates; a multiplicative hash is enough for that.
int64_t TieUs(const PlacementInput& input, size_t position) {
  constexpr uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  const uint64_t mixed = (input.random + position) * kMultiplier;
  return static_cast<int64_t>((mixed >> 32) % kTieUs);
}

}  // namespace

std::optional<size_t> PlaceRequest(const PlacementInput& input) {
  std::optional<size_t> best;
  int64_t best_cost = 0;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const int64_t cost = FixedCostUs(input, input.candidates[i]) +
                         LoadCostUs(input, input.candidates[i]) +
                         TieUs(input, i);
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
                      FixedCostUs(input, candidate) + TieUs(input, i),
                      candidate.slots});
    }
  }
  const auto keep_best = [](std::vector<UpstreamOffer>& offers, size_t count) {
    std::sort(offers.begin(), offers.end(), [](const auto& a, const auto& b) {
      return a.cost_us < b.cost_us;
    });
    offers.resize(std::min(offers.size(), count));
  };
  keep_best(far, near.empty() ? kNearOffers : kFarOffers);
  keep_best(near, kNearOffers);
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

int64_t CachedSavingUs(const PlacementInput& input) {
  return PrefillUs(input.prompt_tokens);
}

}  // namespace ring
