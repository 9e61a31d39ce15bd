#include <algorithm>

#include "persimmonring/policy.h"

namespace ring {
namespace {

constexpr int64_t kNsPerUs = 1'000;

}  // namespace

void BoundedMean::Add(int64_t sample) {
  constexpr int64_t kMaxStepFactor = 4;
  const int64_t bounded =
      std::clamp(sample, value_ / kMaxStepFactor, value_ * kMaxStepFactor);
  // A larger sample may include a wait, a smaller one cannot.
  const int64_t divisor =
      bounded < value_ ? init_.fall_divisor : init_.rise_divisor;
  value_ =
      std::clamp(value_ + (bounded - value_) / divisor, init_.min, init_.max);
  ++samples_;
}

void ObservedTimes::OnConnected(const std::string& domain, int64_t us) {
  // Clocks of 1 ms show 0 for near upstreams; a mean of 0 could not rise.
  constexpr int64_t kMinRoundTripUs = 100;
  const auto [it, added] =
      round_trips_.try_emplace(domain, BoundedMean::Init{.initial = us,
                                                         .min = kMinRoundTripUs,
                                                         .max = kMaxRoundTripUs,
                                                         .rise_divisor = 8,
                                                         .fall_divisor = 8});
  it->second.Add(us);
}

void ObservedTimes::OnFirstToken(const std::string& service,
                                 int64_t us,
                                 int64_t tokens) {
  // Shorter prompts say little beside the fixed time of a step.
  constexpr int64_t kMinTokens = 200;
  if (us > 0 && tokens >= kMinTokens) {
    prefill_ns_
        .try_emplace(service, BoundedMean::Init{.initial = kPrefillNsPerToken,
                                                .min = 100,
                                                .max = 10'000'000,
                                                .rise_divisor = 32,
                                                .fall_divisor = 4})
        .first->second.Add(us * kNsPerUs / tokens);
  }
}

void ObservedTimes::OnServed(const std::string& service,
                             bool engine,
                             int64_t us) {
  if (us > 0) {
    service_us_
        .try_emplace(service,
                     BoundedMean::Init{.initial = engine ? kTurnUs : kCallUs,
                                       .min = 500,
                                       .max = 60'000'000,
                                       .rise_divisor = 16,
                                       .fall_divisor = 16})
        .first->second.Add(us);
  }
}

std::optional<int64_t> ObservedTimes::RoundTripUs(
    const std::string& domain) const {
  const auto found = round_trips_.find(domain);
  return found == round_trips_.end()
             ? std::nullopt
             : std::optional<int64_t>(found->second.value());
}

int64_t ObservedTimes::PrefillNsPerToken(const std::string& service) const {
  const auto found = prefill_ns_.find(service);
  return found == prefill_ns_.end() ? kPrefillNsPerToken
                                    : found->second.value();
}

int64_t ObservedTimes::ServiceUs(const std::string& service,
                                 bool engine) const {
  const auto found = service_us_.find(service);
  if (found != service_us_.end()) {
    return found->second.value();
  }
  return engine ? kTurnUs : kCallUs;
}

void UpstreamTimes::OnServed(const std::string& instance, int64_t us) {
  if (us <= 0) {
    return;
  }
  auto found = service_us_.find(instance);
  if (found == service_us_.end()) {
    if (service_us_.size() >= kMaxUpstreams) {
      return;
    }
    // Follows short times faster than long ones: a long time may include a
    // wait for requests of other entries, a short one cannot.
    found = service_us_
                .emplace(instance, BoundedMean({.initial = us,
                                                .min = 500,
                                                .max = 60'000'000,
                                                .rise_divisor = 16,
                                                .fall_divisor = 8}))
                .first;
  }
  found->second.Add(us);
}

std::optional<int64_t> UpstreamTimes::ServiceUs(
    const std::string& instance) const {
  constexpr int64_t kMinSamples = 4;
  const auto found = service_us_.find(instance);
  return found == service_us_.end() || found->second.samples() < kMinSamples
             ? std::nullopt
             : std::optional<int64_t>(found->second.value());
}

void UpstreamTimes::Retain(
    const std::function<bool(const std::string&)>& is_known) {
  std::erase_if(service_us_,
                [&](const auto& item) { return !is_known(item.first); });
}

}  // namespace ring
