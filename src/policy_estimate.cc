#include "policy_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace ring {
namespace {

// Estimates from few completions can reach zero; a division needs a floor.
constexpr double kMinRate = 1e-3;

// Used while nothing is known about the work in flight.
constexpr double kUnknownSlotMs = 50;

// Throughput of a batch b is b / (alone + slope * b). Solves for the smallest b
// that reaches the given share of the throughput at the limit.
int32_t GateOf(const UpstreamView& view, double alone_ms, double share) {
  if (view.decode_slope_ms <= 0 || share >= 1 || view.limit <= 1) {
    return view.limit;
  }
  const double limit = view.limit;
  const double target =
      share * limit / (alone_ms + view.decode_slope_ms * limit);
  const double batch = target * alone_ms / (1 - target * view.decode_slope_ms);
  const auto gate = static_cast<int32_t>(std::ceil(batch));
  return std::clamp(gate, 1, view.limit);
}

// With n requests in flight that have r milliseconds left on average, and
// evenly spread ends, the first ends after 2 * r / (n + 1).
double SlotMsOf(const UpstreamView& view) {
  if (view.own_in_flight <= 0 || view.pending_decode_tokens <= 0) {
    return kUnknownSlotMs;
  }
  const double left_ms = static_cast<double>(view.pending_decode_tokens) /
                         view.own_in_flight * view.decode_ms_per_token;
  return 2 * left_ms / (view.own_in_flight + 1);
}

}  // namespace

UpstreamModel::UpstreamModel(const UpstreamView& view, const PolicyInit& init)
    : open_(view.accepts_work && !view.isolated && view.limit > 0),
      link_(view.link),
      own_(view.own_in_flight),
      other_(view.other_in_flight),
      prefill_ms_per_token_(1 / std::max(view.prefill_tokens_per_ms, kMinRate)),
      slope_ms_(std::max(view.decode_slope_ms, 0.0)),
      slot_ms_(SlotMsOf(view)),
      bounded_cache_(view.cache_capacity_tokens > 0),
      cache_free_tokens_(view.cache_capacity_tokens - view.cache_used_tokens) {
  const double batch = own_ + other_;
  alone_ms_per_token_ =
      std::max(view.decode_ms_per_token - slope_ms_ * batch, kMinRate);
  gate_ = GateOf(view, alone_ms_per_token_, init.gate_throughput);
  base_ms_ = static_cast<double>(view.round_trip_ms) +
             PrefillMs(view.pending_prefill_tokens);
  if (link_ == LinkClass::kOtherRegion) {
    base_ms_ += static_cast<double>(init.other_region_cost_ms);
  }
}

double UpstreamModel::FinishMs(int64_t uncached_tokens,
                               int64_t output_tokens) const {
  const double decode_ms = alone_ms_per_token_ + slope_ms_ * (batch() + 1);
  return base_ms_ + PrefillMs(uncached_tokens) +
         static_cast<double>(output_tokens) * decode_ms;
}

double UpstreamModel::WaitMs() const {
  return HasRoom() ? 0 : slot_ms_ * (waiters_ + 1);
}

double UpstreamModel::EvictionMs(int64_t new_tokens) const {
  if (!bounded_cache_) {
    return 0;
  }
  const int64_t room = std::max<int64_t>(cache_free_tokens_, 0);
  return PrefillMs(std::max<int64_t>(new_tokens - room, 0));
}

void UpstreamModel::Take(int64_t uncached_tokens, int64_t output_tokens) {
  ++own_;
  base_ms_ += PrefillMs(uncached_tokens);
  cache_free_tokens_ -= uncached_tokens + output_tokens;
}

}  // namespace ring
