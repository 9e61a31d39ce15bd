#include <algorithm>
#include <cmath>

#include "persimmonring/gateway.h"

namespace ring {
namespace {

// Costs are the expected time to the first byte of the response, us, as far as
// it differs between candidates.

constexpr int64_t kNsPerUs = 1'000;
// Extra latency of another failure domain or region until one has been
// observed.
constexpr int64_t kOtherDomainUs = 3'000;
constexpr int64_t kOtherRegionUs = 25'000;
// The request and the response occupy the link as well, and all traffic between
// regions shares one; this part of the round trip is added for it.
constexpr int64_t kLinkDivisor = 2;
// Requests in the batch of a busy engine that reading a prompt delays. Chains
// that wander delay them with every turn.
constexpr int64_t kDelayedByPrefill = 4;
// Each running request slows a plain service down by this part of a request.
constexpr int64_t kRunningDivisor = 128;
// A service that has just started takes longer by this part of a request.
constexpr int64_t kColdDivisor = 4;
constexpr int64_t kSuspectedUs = 2'000'000;
// Cost of each percent of failed requests: a failure costs the caller about a
// second until it has retried.
constexpr int64_t kFailurePercentUs = 10'000;
constexpr int64_t kTriedUs = 10'000'000;
// Time in which the leader of the state group grants a request to an upstream
// with a limit.
constexpr int64_t kLimitedUs = 20'000;
constexpr int64_t kTieBreakUs = 400;
// Maximum number of offers for one turn, in this region and in others. The log
// entry of the turn carries them to every keeper, 8 bytes each.
constexpr size_t kSameRegionOffers = 32;
constexpr size_t kOtherRegionOffers = 4;
// The same where upstreams have limits, as the best offers may be used up.
constexpr size_t kOffersBesideLimits = 64;

// Expected time to process prompt tokens, and by which that delays others.
int64_t PrefillUs(const PlacementInput& input, int64_t tokens) {
  return std::max<int64_t>(tokens, 0) * input.prefill_ns_per_token *
         kDelayedByPrefill / kNsPerUs;
}

// Round trip beyond that to the nearest candidate.
int64_t DistanceUs(const PlacementCandidate& candidate, int64_t nearest_us) {
  if (!candidate.round_trip_us) {
    return candidate.same_domain   ? 0
           : candidate.same_region ? kOtherDomainUs
                                   : kOtherRegionUs;
  }
  const int64_t extra_us =
      std::max<int64_t>(*candidate.round_trip_us - nearest_us, 0);
  return extra_us + extra_us / kLinkDivisor;
}

int64_t NearestUs(const PlacementInput& input) {
  int64_t nearest_us = kOtherRegionUs;
  for (const PlacementCandidate& candidate : input.candidates) {
    nearest_us =
        std::min(nearest_us, candidate.round_trip_us.value_or(nearest_us));
  }
  return nearest_us;
}

// Parts that many programs share, such as instructions, are cached nearly
// everywhere; only the rest ties a turn to an upstream.
bool MostIsCached(const PlacementInput& input,
                  const PlacementCandidate& candidate) {
  return candidate.cached_tokens * 2 > input.prompt_tokens;
}

// Cost that does not depend on the requests in flight.
int64_t FixedCostUs(const PlacementInput& input,
                    const PlacementCandidate& candidate,
                    int64_t nearest_us) {
  int64_t cost = DistanceUs(candidate, nearest_us);
  if (input.engine) {
    cost += PrefillUs(input, input.prompt_tokens - candidate.cached_tokens);
  }
  cost += candidate.cold ? input.service_us / kColdDivisor : 0;
  cost += candidate.suspected ? kSuspectedUs : 0;
  cost += candidate.failure_percent * kFailurePercentUs;
  cost += candidate.tried ? kTriedUs : 0;
  return cost;
}

int64_t LoadCostUs(const PlacementInput& input,
                   const PlacementCandidate& candidate) {
  if (input.engine) {
    return EngineWaitUs(candidate.in_flight, candidate.slots, input.service_us);
  }
  const int64_t slots = std::max(candidate.slots, 1);
  const int64_t load = candidate.in_flight;
  // Plain services slow down when nearly full. Other entries send about as many
  // requests as this one, so a slot counts as half free at most.
  int64_t cost = load * input.service_us / kRunningDivisor +
                 load * input.service_us / (slots * 2);
  if (load >= slots) {
    cost +=
        (load - slots + 1) * input.service_us / slots + input.service_us / 2;
  }
  return cost;
}

// Returns independent values for the candidates of a request. A multiplicative
// hash does not suffice: its values of successive positions are evenly spaced
// around a circle, so that some positions are the least more often than others.
uint64_t HashOf(uint64_t random, size_t position) {
  uint64_t mixed = random + (position + 1) * 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  return mixed ^ (mixed >> 31);
}

// Spreads requests over equal candidates.
int64_t TieBreakUs(const PlacementInput& input, size_t position) {
  return static_cast<int64_t>(HashOf(input.random, position) % kTieBreakUs);
}

// Expected time of a request at an upstream in the domain that was drawn, us.
// An entry knows little of the load by others: among upstreams with equally
// many of its own requests, the choice is random, in proportion to their speed.
int64_t DrawnCostUs(const PlacementInput& input, size_t position) {
  const PlacementCandidate& candidate = input.candidates[position];
  const int64_t service_us =
      candidate.service_us > 0 ? candidate.service_us : input.service_us;
  // The least of exponentially distributed times is that of each candidate with
  // a probability in proportion to its rate.
  constexpr double kRange = 0x1p-53;
  constexpr int kUnusedBits = 11;
  const double uniform =
      static_cast<double>(HashOf(input.random, position) >> kUnusedBits) *
      kRange;
  const double wait = -std::log1p(-uniform);
  return static_cast<int64_t>((candidate.in_flight + wait) *
                              static_cast<double>(service_us));
}

// Returns the best of the usable upstreams in the domain that was drawn.
std::optional<size_t> PlaceDrawn(const PlacementInput& input) {
  std::optional<size_t> best;
  int64_t best_cost = 0;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const PlacementCandidate& candidate = input.candidates[i];
    if (!candidate.drawn || candidate.tried || candidate.suspected) {
      continue;
    }
    // All are equally far.
    const int64_t cost = FixedCostUs(input, candidate, INT64_MAX) +
                         DrawnCostUs(input, i) +
                         (candidate.limited ? kLimitedUs : 0);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace

std::optional<size_t> PlaceRequest(const PlacementInput& input) {
  if (!input.engine) {
    if (const auto drawn = PlaceDrawn(input)) {
      return drawn;
    }
  }
  const int64_t nearest_us = NearestUs(input);
  std::optional<size_t> best;
  int64_t best_cost = 0;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const int64_t cost = FixedCostUs(input, input.candidates[i], nearest_us) +
                         LoadCostUs(input, input.candidates[i]) +
                         (input.candidates[i].limited ? kLimitedUs : 0) +
                         TieBreakUs(input, i);
    if (!best || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

std::vector<UpstreamOffer> OfferPlacements(const PlacementInput& input) {
  const int64_t nearest_us = NearestUs(input);
  std::vector<UpstreamOffer> near;
  std::vector<UpstreamOffer> far;
  for (size_t i = 0; i < input.candidates.size(); ++i) {
    const PlacementCandidate& candidate = input.candidates[i];
    if (!candidate.tried && !candidate.suspected) {
      // The state group counts the open turns of engines only.
      const int64_t load_us = input.engine ? 0 : LoadCostUs(input, candidate);
      (candidate.same_region ? near : far)
          .push_back({UpstreamKey(candidate.instance),
                      FixedCostUs(input, candidate, nearest_us) + load_us +
                          TieBreakUs(input, i),
                      candidate.slots, MostIsCached(input, candidate)});
    }
  }
  const auto keep_best = [](std::vector<UpstreamOffer>& offers, size_t count) {
    std::sort(offers.begin(), offers.end(), [](const auto& a, const auto& b) {
      return a.cost_us < b.cost_us;
    });
    offers.resize(std::min(offers.size(), count));
  };
  const bool limited =
      std::any_of(input.candidates.begin(), input.candidates.end(),
                  [](const auto& candidate) { return candidate.limited; });
  keep_best(far, limited        ? kOffersBesideLimits
                 : near.empty() ? kSameRegionOffers
                                : kOtherRegionOffers);
  keep_best(near, limited ? kOffersBesideLimits : kSameRegionOffers);
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

int64_t CachedSavingUs(const PlacementInput& input) {
  return PrefillUs(input, input.prompt_tokens);
}

}  // namespace ring
