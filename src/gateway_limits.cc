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

void UpstreamLimits::OnTold(const UpstreamInstance& upstream,
                            std::optional<int64_t> limit,
                            int64_t sent_ms) {
  const auto found = observations_.find(upstream.instance);
  if (found == observations_.end() ? !limit.has_value()
                                   : found->second.at_ms >= sent_ms) {
    return;
  }
  // No answer: must not be reported as one.
  observations_[upstream.instance] = {upstream.born_ms, limit,
                                      sent_ms - kMaxLimitAgeMs};
}

std::optional<UpstreamLimits::Observation> UpstreamLimits::Recent(
    const UpstreamInstance& upstream,
    int64_t now_ms) const {
  const auto found = observations_.find(upstream.instance);
  return found == observations_.end() ||
                 found->second.born_ms != upstream.born_ms ||
                 now_ms - found->second.at_ms >= kMaxLimitAgeMs
             ? std::nullopt
             : std::optional(found->second);
}

int64_t UpstreamLimits::ShareWaitMs(const UpstreamInstance& upstream,
                                    int64_t entries,
                                    double phase,
                                    int64_t now_ms) {
  const std::optional<int64_t> limit = LimitOf(upstream);
  if (!limit) {
    shares_.erase(upstream.instance);
    return 0;
  }
  const auto [share, added] = shares_.try_emplace(upstream.instance);
  share->second.SetLimit(*limit, entries, now_ms);
  if (added) {
    share->second.Shift(phase, now_ms);
  }
  return share->second.WaitMs(now_ms);
}

void UpstreamLimits::TakeShare(const UpstreamInstance& upstream,
                               int64_t now_ms) {
  const auto share = shares_.find(upstream.instance);
  if (share != shares_.end()) {
    share->second.Take(now_ms);
  }
}

void UpstreamLimits::Expire(int64_t now_ms) {
  std::erase_if(observations_, [now_ms](const auto& item) {
    return item.second.at_ms + kRetentionMs < now_ms;
  });
  std::erase_if(shares_, [this](const auto& item) {
    return !observations_.contains(item.first);
  });
}

}  // namespace ring
