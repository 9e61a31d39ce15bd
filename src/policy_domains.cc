#include <algorithm>
#include <cmath>
#include <limits>

#include "persimmonring/policy.h"

namespace ring {
namespace {

constexpr int32_t kWhole = 1'000;
// Largest change of the shares in one step, in thousandths.
constexpr int32_t kMaxStep = 100;
// Gain, as a part of the time of a call, for which calls start to leave the
// domain, and below which they return.
constexpr double kStartGain = 0.10;
constexpr double kReturnGain = 0.05;
// Calls return only if they would not leave again with this much more demand:
// measured demand varies by 10% without a cause, and the wait near full use
// varies by far more than the two gains differ.
constexpr double kReturnMargin = 1.3;
// Of two idle domains, the less used one is preferred by this part of the time
// of a call, so that demand does not change between equal ones.
constexpr double kUsePreference = 0.02;
// Demand is moved in this many parts.
constexpr int kParts = 50;
constexpr double kMinBusy = 1e-3;
constexpr double kMinSlots = 0.1;
// Extra latency between domains that nothing is known of, as long as between
// distant regions.
constexpr int64_t kUnknownExtraUs = 25'000;

double Utilization(double requests_per_slot, double slots);

// Returns the expected wait for a slot as a part of the time of a call.
// Requests in flight include those that wait, so that the utilization is the
// one at which that many are in flight.
double Wait(double requests, double slots) {
  if (slots <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  const double per_slot = requests / slots;
  if (per_slot <= 0) {
    return 0;
  }
  return per_slot / Utilization(per_slot, std::max(slots, kMinSlots)) - 1 +
         per_slot * kUsePreference;
}

// Solves u + u * u^c / (c (1 - u)) = requests per slot.
double Utilization(double requests_per_slot, double slots) {
  constexpr int kSteps = 26;
  double low = 0;
  double high = std::min(requests_per_slot, 1.0);
  for (int i = 0; i < kSteps; ++i) {
    const double u = (low + high) / 2;
    const double in_flight =
        u + u * std::pow(u, slots) / (slots * std::max(1 - u, 1e-9));
    (in_flight < requests_per_slot ? low : high) = u;
  }
  return high;
}

/// Moves demand between domains until no move gains enough.
class Equilibrium {
 public:
  explicit Equilibrium(const DomainSharesInput& input) : input_(input) {
    domains_ = input.domains;
    std::sort(domains_.begin(), domains_.end());
    const size_t count = domains_.size();
    flows_.assign(count, std::vector<double>(count, 0));
    extra_.assign(count, std::vector<double>(count, 0));
    for (size_t from = 0; from < count; ++from) {
      for (size_t to = 0; to < count; ++to) {
        extra_[from][to] = Extra(domains_[from].domain, domains_[to].domain);
      }
    }
  }

  /// @param margin factor of the demand of the own domain
  /// @returns thousandths of the calls of the own domain by domain
  std::map<std::string, int32_t> Shares(double min_gain, double margin) {
    const size_t count = domains_.size();
    size_t own = 0;
    std::vector<double> parts(count);
    loads_.assign(count, 0);
    for (size_t i = 0; i < count; ++i) {
      const bool is_own = domains_[i].domain == input_.own_domain;
      own = is_own ? i : own;
      const double busy =
          std::max(domains_[i].busy, kMinBusy) * (is_own ? margin : 1);
      parts[i] = busy / kParts;
      std::fill(flows_[i].begin(), flows_[i].end(), 0);
      flows_[i][i] = kParts;
      loads_[i] = busy;
    }
    waits_.resize(count);
    for (size_t i = 0; i < count; ++i) {
      waits_[i] = Wait(loads_[i], domains_[i].capacity);
    }
    // Each part moves a few times at most.
    const size_t max_moves = count * kParts * 2;
    for (size_t moves = 0; moves < max_moves; ++moves) {
      if (!MoveOne(parts, min_gain)) {
        break;
      }
    }
    std::map<std::string, int32_t> shares;
    for (size_t to = 0; to < count; ++to) {
      shares[domains_[to].domain] =
          static_cast<int32_t>(flows_[own][to] * kWhole / kParts);
    }
    return shares;
  }

 private:
  // Extra latency as a part of the time of a call.
  double Extra(const std::string& from, const std::string& to) const {
    if (from == to) {
      return 0;
    }
    const auto found = input_.extra_us.find({from, to});
    const int64_t extra_us =
        found == input_.extra_us.end() ? kUnknownExtraUs : found->second;
    return static_cast<double>(std::max<int64_t>(extra_us, 0)) /
           static_cast<double>(std::max<int64_t>(input_.service_us, 1));
  }

  // Makes the move with the largest gain.
  bool MoveOne(const std::vector<double>& parts, double min_gain) {
    const size_t count = domains_.size();
    double best_gain = min_gain;
    size_t best_origin = count;
    size_t best_from = 0;
    size_t best_to = 0;
    for (size_t origin = 0; origin < count; ++origin) {
      size_t to = count;
      for (size_t i = 0; i < count; ++i) {
        if (i != origin && domains_[i].capacity > 0 &&
            (to == count || Cost(origin, i) < Cost(origin, to))) {
          to = i;
        }
      }
      for (size_t from = 0; from < count && to < count; ++from) {
        const double gain = Cost(origin, from) - Cost(origin, to);
        if (from != to && flows_[origin][from] >= 1 && gain > best_gain) {
          best_gain = gain;
          best_origin = origin;
          best_from = from;
          best_to = to;
        }
      }
    }
    if (best_origin == count) {
      return false;
    }
    flows_[best_origin][best_from] -= 1;
    flows_[best_origin][best_to] += 1;
    for (const auto& [domain, change] :
         {std::pair{best_from, -parts[best_origin]},
          std::pair{best_to, parts[best_origin]}}) {
      loads_[domain] += change;
      waits_[domain] = Wait(loads_[domain], domains_[domain].capacity);
    }
    return true;
  }

  double Cost(size_t origin, size_t at) const {
    return waits_[at] + extra_[origin][at];
  }

  const DomainSharesInput& input_;
  std::vector<DomainLoad> domains_;
  std::vector<std::vector<double>> extra_;
  std::vector<std::vector<double>> flows_;  ///< Parts, by origin and target.
  std::vector<double> loads_;
  std::vector<double> waits_;
};

int32_t ShareOf(const std::map<std::string, int32_t>& shares,
                const std::string& domain) {
  const auto found = shares.find(domain);
  return found == shares.end() ? 0 : found->second;
}

// Returns the changes from `previous` to `wanted`, reduced to one step.
std::map<std::string, int32_t> Step(
    const std::map<std::string, int32_t>& previous,
    const std::map<std::string, int32_t>& wanted,
    const std::string& own_domain) {
  int32_t change = 0;
  for (const auto& [domain, share] : wanted) {
    change += std::max(share - ShareOf(previous, domain), 0);
  }
  std::map<std::string, int32_t> shares;
  int32_t away = 0;
  for (const auto& [domain, share] : wanted) {
    const int32_t before = ShareOf(previous, domain);
    if (domain != own_domain) {
      shares[domain] = change <= kMaxStep
                           ? share
                           : before + (share - before) * kMaxStep / change;
      away += shares[domain];
    }
  }
  shares[own_domain] = kWhole - away;
  return shares;
}

}  // namespace

std::map<std::string, int32_t> PlanDomainShares(
    const DomainSharesInput& input) {
  const auto own = std::find_if(
      input.domains.begin(), input.domains.end(),
      [&](const auto& load) { return load.domain == input.own_domain; });
  const bool has_capacity =
      std::any_of(input.domains.begin(), input.domains.end(),
                  [](const auto& load) { return load.capacity > 0; });
  if (own == input.domains.end() || !has_capacity) {
    return {};
  }
  Equilibrium equilibrium(input);
  auto least = equilibrium.Shares(kStartGain, 1);
  if (own->capacity <= 0) {
    return least;
  }
  const auto most = equilibrium.Shares(kReturnGain, kReturnMargin);
  // A share of all other domains together that is between the two bounds stays
  // as it is, and so does each part of it as far as possible.
  std::map<std::string, int32_t> previous;
  std::map<std::string, int32_t> wanted;
  int32_t kept = 0;
  int32_t sum = 0;
  for (const DomainLoad& load : input.domains) {
    const std::string& domain = load.domain;
    if (domain != input.own_domain && load.capacity > 0) {
      previous[domain] = ShareOf(input.previous, domain);
      kept += previous[domain];
      const auto [low, high] =
          std::minmax({ShareOf(least, domain), ShareOf(most, domain)});
      wanted[domain] = std::clamp(previous[domain], low, high);
      sum += wanted[domain];
    }
  }
  const auto [low, high] =
      std::minmax({kWhole - ShareOf(least, input.own_domain),
                   kWhole - ShareOf(most, input.own_domain)});
  const int32_t goal = std::clamp(kept, low, high);
  // Cumulative rounding, so that the parts add up to the goal.
  int32_t before = 0;
  int32_t away = 0;
  for (auto& [domain, share] : wanted) {
    before += share;
    share = sum > 0 ? before * goal / sum - away : 0;
    away += share;
  }
  previous[input.own_domain] = kWhole - kept;
  wanted[input.own_domain] = kWhole - away;
  return Step(previous, wanted, input.own_domain);
}

}  // namespace ring
