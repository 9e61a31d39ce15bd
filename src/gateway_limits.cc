#include "gateway_limits_p.h"

namespace ring {
namespace {

// Keeps limits of upstreams that get no requests.
constexpr int64_t kRetentionMs = 600'000;

}  // namespace

std::optional<UpstreamLimits::Observation> UpstreamLimits::OnAnswer(
    const UpstreamInstance& upstream,
    const UpstreamResponse& answer,
    int64_t now_ms) {
  const auto found = observations_.find(upstream.instance);
  if (answer.names_limit ? !answer.limit : found == observations_.end()) {
    return std::nullopt;
  }
  Observation& known = observations_[upstream.instance];
  if (known.born_ms > upstream.born_ms) {
    return std::nullopt;
  }
  const Observation before = known;
  known = {upstream.born_ms, answer.limit, now_ms};
  return before.limit == known.limit && before.born_ms == known.born_ms
             ? std::nullopt
             : std::optional(before);
}

std::optional<int64_t> UpstreamLimits::LimitOf(
    const UpstreamInstance& upstream) const {
  const auto found = observations_.find(upstream.instance);
  return found == observations_.end() ||
                 found->second.born_ms != upstream.born_ms
             ? std::nullopt
             : found->second.limit;
}

void UpstreamLimits::Expire(int64_t now_ms) {
  std::erase_if(observations_, [now_ms](const auto& item) {
    return item.second.at_ms + kRetentionMs < now_ms;
  });
}

}  // namespace ring
