#include "gateway_domains_p.h"

#include <algorithm>
#include <cmath>

namespace ring {
namespace {

// Time constant of the moving mean; it covers about the last second. Played
// with swinging demand at a use of 0.75, 500 ms gave 80 ms for a call and 250
// ms 73, as shares lag behind the demand.
constexpr double kMeanMs = 250;
constexpr double kThousand = 1'000;
constexpr int32_t kWhole = 1'000;
// The lease is renewed often while a service was used in this time.
constexpr int64_t kActiveMs = 2'000;
// Services that were not used for this time have no shares.
constexpr int64_t kIdleMs = 10'000;
// A change of a share that is worth a line in the log, in thousandths.
constexpr int32_t kLoggedChange = 50;
// Observed speeds count within these bounds: a long queue makes an upstream
// look slow, which must not reduce the capacity of its domain much further.
constexpr double kMinSpeed = 0.5;
constexpr double kMaxSpeed = 2;
// Speeds are rounded to parts of one, so that entries that observe slightly
// different times compute the same.
constexpr double kSpeedParts = 10;
// Extra round trip of another domain and region until one has been observed.
constexpr int64_t kOtherDomainUs = 3'000;
constexpr int64_t kOtherRegionUs = 25'000;
// The extra round trip counts this many times: the request and the response
// occupy the link as well, and traffic between domains is billed.
constexpr int64_t kLinkFactor = 2;

using Shares = std::map<std::string, int32_t>;

// Returns the largest change of a share; that of all if there were or are none.
int32_t LargestChange(const Shares& before, const Shares& after) {
  if (before.empty() != after.empty()) {
    return kWhole;
  }
  int32_t largest = 0;
  const auto compare = [&largest](const Shares& from, const Shares& to) {
    for (const auto& [domain, share] : from) {
      const auto found = to.find(domain);
      const int32_t other = found == to.end() ? 0 : found->second;
      largest = std::max(largest, std::abs(share - other));
    }
  };
  compare(before, after);
  compare(after, before);
  return largest;
}

template <typename Value>
std::string TextOf(const std::map<std::string, Value>& values) {
  std::string text;
  for (const auto& [name, value] : values) {
    text += (text.empty() ? "" : ",") + name + ":" +
            std::to_string(static_cast<int64_t>(std::llround(value)));
  }
  return text;
}

int64_t MeanOf(const std::vector<int64_t>& values, int64_t otherwise) {
  int64_t sum = 0;
  for (const int64_t value : values) {
    sum += value;
  }
  return values.empty() ? otherwise : sum / static_cast<int64_t>(values.size());
}

}  // namespace

DomainShares::DomainShares(const Init& init, const ClockI& clock)
    : init_(init), clock_(clock) {}

// ------------------------------------------------------------------- requests

double DomainShares::MeanAt(const Service& service, int64_t now_ms) const {
  const auto passed_ms =
      static_cast<double>(std::max<int64_t>(now_ms - service.mean_ms, 0));
  const double kept = std::exp(-passed_ms / kMeanMs);
  return service.mean * kept + service.in_flight * (1 - kept);
}

void DomainShares::AddInFlight(Service& service, int32_t change) {
  const int64_t now_ms = clock_.BootMs();
  service.mean = MeanAt(service, now_ms);
  service.mean_ms = now_ms;
  service.last_used_ms = now_ms;
  service.in_flight += change;
}

void DomainShares::OnSent(const std::string& service,
                          const std::string& instance) {
  auto& [name, count] = in_flight_[instance];
  name = service;
  ++count;
  AddInFlight(services_[service], 1);
}

void DomainShares::OnEnded(const std::string& instance) {
  const auto found = in_flight_.find(instance);
  if (found == in_flight_.end()) {
    return;
  }
  AddInFlight(services_[found->second.first], -1);
  if (--found->second.second <= 0) {
    in_flight_.erase(found);
  }
}

double DomainShares::busy(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : MeanAt(found->second, clock_.BootMs());
}

// ---------------------------------------------------------------------- lease

void DomainShares::AddTo(fb::LeaseRequestT& request) {
  if (!init_.enabled) {
    return;
  }
  // Also services without requests at the moment: the reply holds the demand of
  // the services that are named.
  for (const auto& [name, service] : services_) {
    auto demand = std::make_unique<fb::ServiceDemandT>();
    demand->service = name;
    demand->busy = static_cast<uint32_t>(std::llround(busy(name) * kThousand));
    request.services.push_back(std::move(demand));
  }
}

void DomainShares::OnReply(const fb::LeaseReplyT& reply, int64_t asked_ms) {
  if (!init_.enabled) {
    return;
  }
  for (auto& [name, service] : services_) {
    service.demands.clear();
    service.asked_ms = asked_ms;
  }
  for (const auto& row : reply.demands) {
    const auto found = services_.find(row->service);
    if (found != services_.end()) {
      found->second.demands[row->domain] = {row->busy / kThousand, row->age_ms};
    }
  }
}

bool DomainShares::active() const {
  const int64_t now_ms = clock_.BootMs();
  return init_.enabled &&
         std::any_of(services_.begin(), services_.end(),
                     [now_ms](const auto& item) {
                       return item.second.in_flight > 0 ||
                              now_ms - item.second.last_used_ms <= kActiveMs;
                     });
}

// An entry that has become idle leaves a last report, which may be up to the
// maximum age old while those of the others of its domain are new. So the age
// of the reply and those of the reports in it are not added up.
bool DomainShares::HasDemand(const Service& service,
                             const std::string& domain) const {
  const auto found = service.demands.find(domain);
  return found != service.demands.end() && found->second.age_ms <= kMaxAgeMs &&
         clock_.BootMs() - service.asked_ms <= kMaxAgeMs;
}

// --------------------------------------------------------------------- shares

std::string DomainShares::RegionOf(const std::string& domain) const {
  const auto found = init_.regions.find(domain);
  return found == init_.regions.end() ? domain : found->second;
}

std::map<std::string, double> DomainShares::CapacityOf(
    const std::vector<const UpstreamInstance*>& ready) const {
  std::vector<int64_t> known;
  for (const UpstreamInstance* upstream : ready) {
    if (const auto us = upstream_times_.ServiceUs(upstream->instance)) {
      known.push_back(*us);
    }
  }
  double median = 0;
  if (!known.empty() && init_.observed_times) {
    const auto middle =
        known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    median = static_cast<double>(*middle);
  }
  std::map<std::string, double> capacity;
  for (const UpstreamInstance* upstream : ready) {
    const auto us = upstream_times_.ServiceUs(upstream->instance);
    double speed = 1;
    if (us && median > 0) {
      speed =
          std::clamp(median / static_cast<double>(*us), kMinSpeed, kMaxSpeed);
      speed = std::round(speed * kSpeedParts) / kSpeedParts;
    }
    capacity[upstream->domain] += speed * std::max(upstream->slots, 1);
  }
  return capacity;
}

// The way between two other domains is estimated by their regions, as an entry
// observes only the ways from its own domain.
std::map<std::pair<std::string, std::string>, int64_t> DomainShares::ExtraUs(
    const std::vector<DomainLoad>& domains,
    const ObservedTimes& times) const {
  const auto observed = [&](const std::string& domain) {
    return init_.observed_times ? times.RoundTripUs(domain) : std::nullopt;
  };
  std::optional<int64_t> nearest_us;
  for (const DomainLoad& load : domains) {
    if (const auto us = observed(load.domain)) {
      nearest_us = std::min(nearest_us.value_or(*us), *us);
    }
  }
  std::map<std::string, int64_t> own_us;
  std::vector<int64_t> same_region;
  std::vector<int64_t> other_region;
  for (const DomainLoad& load : domains) {
    const bool near = RegionOf(load.domain) == init_.region;
    int64_t extra_us = near ? kOtherDomainUs : kOtherRegionUs;
    if (const auto us = observed(load.domain)) {
      extra_us = (*us - *nearest_us) * kLinkFactor;
    }
    if (load.domain != init_.domain) {
      own_us[load.domain] = extra_us;
      (near ? same_region : other_region).push_back(extra_us);
    }
  }
  const int64_t near_us = MeanOf(same_region, kOtherDomainUs);
  const int64_t far_us = MeanOf(other_region, kOtherRegionUs);
  std::map<std::pair<std::string, std::string>, int64_t> extra;
  for (const DomainLoad& from : domains) {
    for (const DomainLoad& to : domains) {
      if (from.domain != to.domain) {
        extra[{from.domain, to.domain}] =
            from.domain == init_.domain                    ? own_us[to.domain]
            : RegionOf(from.domain) == RegionOf(to.domain) ? near_us
                                                           : far_us;
      }
    }
  }
  return extra;
}

DomainSharesInput DomainShares::BuildInput(
    const Service& service,
    const std::vector<const UpstreamInstance*>& ready,
    int64_t service_us,
    const ObservedTimes& times) const {
  DomainSharesInput input;
  input.own_domain = init_.domain;
  input.service_us = service_us;
  input.previous = service.shares;
  std::map<std::string, DomainLoad> loads;
  for (const auto& [domain, slots] : CapacityOf(ready)) {
    loads[domain].capacity = slots;
  }
  for (const auto& [domain, demand] : service.demands) {
    loads[domain].busy = demand.busy;
  }
  for (auto& [domain, load] : loads) {
    load.domain = domain;
    // The leader names every domain with demand; one that is not named has
    // none. The own one is always named, as this entry reports.
    const bool is_named =
        domain == init_.domain || service.demands.contains(domain);
    const bool known = !is_named || HasDemand(service, domain);
    if (known) {
      input.domains.push_back(load);
    }
  }
  input.extra_us = ExtraUs(input.domains, times);
  return input;
}

void DomainShares::Step(const UpstreamTable& upstreams,
                        const ObservedTimes& times) {
  if (!init_.enabled) {
    return;
  }
  const int64_t now_ms = clock_.BootMs();
  std::erase_if(services_, [now_ms](const auto& item) {
    return item.second.in_flight == 0 &&
           now_ms - item.second.last_used_ms > kIdleMs;
  });
  if (services_.empty()) {
    return;
  }
  const auto ready = upstreams.ReadyByService();
  for (auto& [name, service] : services_) {
    const auto found = ready.find(name);
    const int64_t service_us = init_.observed_times
                                   ? times.ServiceUs(name, false)
                                   : ObservedTimes::kCallUs;
    const DomainSharesInput input =
        BuildInput(service,
                   found == ready.end() ? std::vector<const UpstreamInstance*>()
                                        : found->second,
                   service_us, times);
    SetShares(name, service, input, PlanDomainShares(input));
  }
}

void DomainShares::SetShares(
    const std::string& name,
    Service& service,
    const DomainSharesInput& input,
    const std::map<std::string, int32_t>& shares) const {
  const int32_t change = LargestChange(service.logged, shares);
  for (const auto& [domain, ignored] : service.shares) {
    if (!shares.contains(domain)) {
      metrics::SetGauge("ring_domain_share",
                        {{"service", name}, {"domain", domain}}, 0);
    }
  }
  for (const auto& [domain, share] : shares) {
    metrics::SetGauge("ring_domain_share",
                      {{"service", name}, {"domain", domain}}, share);
  }
  service.shares = shares;
  if (change <= kLoggedChange) {
    return;
  }
  std::map<std::string, double> demand;
  std::map<std::string, double> capacity;
  std::map<std::string, int64_t> ages;
  for (const DomainLoad& load : input.domains) {
    demand[load.domain] = load.busy * kThousand;
    capacity[load.domain] = load.capacity * kThousand;
  }
  for (const auto& [domain, row] : service.demands) {
    ages[domain] = clock_.BootMs() - service.asked_ms + row.age_ms;
  }
  Event(LogLevel::kInfo, "domain_shares")
      .Add("service", name)
      .Add("shares", TextOf(shares))
      .Add("before", TextOf(service.logged))
      .Add("demand", TextOf(demand))
      .Add("capacity", TextOf(capacity))
      .Add("ages_ms", TextOf(ages))
      .Add("service_us", input.service_us);
  service.logged = shares;
}

std::optional<std::string> DomainShares::Draw(const std::string& service,
                                              uint64_t random) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.shares.empty()) {
    return std::nullopt;
  }
  if (!HasDemand(found->second, init_.domain)) {
    return std::nullopt;
  }
  // Differs from the hash that breaks ties between upstreams.
  constexpr uint64_t kMultiplier = 0xd6e8feb86659fd93;
  constexpr int kShift = 32;
  auto point = static_cast<int32_t>((random * kMultiplier >> kShift) % kWhole);
  for (const auto& [domain, share] : found->second.shares) {
    if (point < share) {
      return domain;
    }
    point -= share;
  }
  return std::nullopt;
}

std::map<std::string, int32_t> DomainShares::shares(
    const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? std::map<std::string, int32_t>()
                                  : found->second.shares;
}

void DomainShares::Prune(const UpstreamTable& upstreams) {
  upstream_times_.Retain([&upstreams](const std::string& instance) {
    return upstreams.Find(instance) != nullptr;
  });
}

}  // namespace ring
