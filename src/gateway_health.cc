#include "gateway_health_p.h"

#include <algorithm>
#include <cmath>

namespace ring {
namespace {

// Time for which an upstream is suspected after a failure; doubles with each
// consecutive failure. The minimum is a few round trips, so that a single reset
// costs little; the maximum bounds how late a recovered upstream is used again.
constexpr int64_t kMinSuspectedMs = 300;
constexpr int64_t kMaxSuspectedMs = 4'000;
// Weight of the newest request in the moving average, which covers about the
// last eight requests.
constexpr double kNewestWeight = 0.12;
// Records with a lower failure rate are removed.
constexpr double kNegligibleRate = 0.01;

}  // namespace

void UpstreamHealth::OnSuccess(const std::string& instance) {
  const auto found = records_.find(instance);
  if (found == records_.end()) {
    return;
  }
  Record& record = found->second;
  record.failure_rate *= 1 - kNewestWeight;
  record.suspected_ms = 0;
  record.suspected_until_ms = 0;
  if (record.failure_rate < kNegligibleRate) {
    records_.erase(found);
  }
}

void UpstreamHealth::OnError(const std::string& instance) {
  Record& record = records_[instance];
  record.failure_rate += (1 - record.failure_rate) * kNewestWeight;
}

int64_t UpstreamHealth::OnFailure(const std::string& instance, int64_t now_ms) {
  Record& record = records_[instance];
  record.failure_rate += (1 - record.failure_rate) * kNewestWeight;
  record.suspected_ms =
      std::clamp(record.suspected_ms * 2, kMinSuspectedMs, kMaxSuspectedMs);
  record.suspected_until_ms = now_ms + record.suspected_ms;
  return record.suspected_ms;
}

bool UpstreamHealth::IsSuspected(const std::string& instance,
                                 int64_t now_ms) const {
  const auto found = records_.find(instance);
  return found != records_.end() && now_ms < found->second.suspected_until_ms;
}

int32_t UpstreamHealth::FailurePercent(const std::string& instance) const {
  constexpr double kPercent = 100;
  const auto found = records_.find(instance);
  return found == records_.end() ? 0
                                 : static_cast<int32_t>(std::lround(
                                       found->second.failure_rate * kPercent));
}

}  // namespace ring
