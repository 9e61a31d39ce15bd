#include "policy_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace ring {
namespace {

// Lower bound for measured rates, which can reach zero and are divisors.
constexpr double kMinRate = 1e-3;

// An engine with less than this share of its batch limit in flight accepts new
// programs even if its cache is reported as full, because unused prefixes are
// evicted.
constexpr double kIdleBatchShare = 0.1;

// The throughput of a batch of size b is b / (base_decode_ms + slope * b).
// Returns the smallest b that reaches the given share of the throughput at the
// limit.
int32_t BatchLimit(const UpstreamView& view,
                   double base_decode_ms,
                   double share) {
  if (view.decode_slope_ms <= 0 || share >= 1 || view.limit <= 1) {
    return view.limit;
  }
  const double limit = view.limit;
  const double target =
      share * limit / (base_decode_ms + view.decode_slope_ms * limit);
  const double batch =
      target * base_decode_ms / (1 - target * view.decode_slope_ms);
  const auto batch_limit = static_cast<int32_t>(std::ceil(batch));
  return std::clamp(batch_limit, 1, view.limit);
}

}  // namespace

UpstreamEstimate::UpstreamEstimate(const UpstreamView& view,
                                   const PolicyInit& init)
    : open_(view.accepts_work && !view.isolated && view.limit > 0),
      link_(view.link),
      own_(view.own_in_flight),
      other_(view.other_in_flight),
      prefill_ms_per_token_(1 / std::max(view.prefill_tokens_per_ms, kMinRate)),
      slope_ms_(std::max(view.decode_slope_ms, 0.0)),
      remaining_tokens_(static_cast<double>(view.pending_decode_tokens) /
                        std::max(view.own_in_flight, 1)),
      bounded_cache_(view.cache_capacity_tokens > 0),
      cache_free_tokens_(view.cache_capacity_tokens - view.cache_used_tokens),
      reserved_tokens_((1 - init.first_call_cache_share) *
                       static_cast<double>(view.cache_capacity_tokens)),
      prompt_growth_(init.prompt_growth),
      pending_weight_(init.pending_prefill_weight),
      batch_delay_weight_(init.batch_delay_weight) {
  const double batch = own_ + other_;
  base_decode_ms_per_token_ =
      std::max(view.decode_ms_per_token - slope_ms_ * batch, kMinRate);
  batch_limit_ =
      BatchLimit(view, base_decode_ms_per_token_, init.batch_throughput_share);
  base_ms_ =
      static_cast<double>(view.round_trip_ms) +
      init.pending_prefill_weight * PrefillMs(view.pending_prefill_tokens);
  if (link_ == LinkClass::kOtherRegion) {
    base_ms_ += static_cast<double>(init.other_region_cost_ms);
  }
}

double UpstreamEstimate::CallDurationMs(int64_t uncached_tokens,
                                        int64_t output_tokens) const {
  const double decode_ms =
      base_decode_ms_per_token_ + slope_ms_ * (batch() + 1);
  return base_ms_ + PrefillMs(uncached_tokens) +
         static_cast<double>(output_tokens) * decode_ms;
}

// If n requests in flight have r milliseconds left on average and their ends
// are evenly spread, the first one ends after 2 * r / (n + 1). The remaining
// output is capped at half of output_tokens, because requests are half done
// on average and pending_decode_tokens may count the maximum allowed output.
double UpstreamEstimate::WaitMs(int64_t output_tokens) const {
  if (HasFreeSlot()) {
    return 0;
  }
  const double remaining_tokens =
      std::min(remaining_tokens_, static_cast<double>(output_tokens) / 2);
  const double remaining_ms =
      remaining_tokens * (base_decode_ms_per_token_ + slope_ms_ * batch());
  return 2 * remaining_ms / (own_ + 1) * (waiters_ + 1);
}

bool UpstreamEstimate::FitsProgram(int64_t prompt_tokens) const {
  if (!bounded_cache_ || batch() < kIdleBatchShare * batch_limit_) {
    return true;
  }
  return static_cast<double>(cache_free_tokens_) - reserved_tokens_ >=
         prompt_growth_ * static_cast<double>(prompt_tokens);
}

double UpstreamEstimate::EvictionMs(int64_t new_tokens) const {
  if (!bounded_cache_) {
    return 0;
  }
  const int64_t free_tokens = std::max<int64_t>(cache_free_tokens_, 0);
  return PrefillMs(std::max<int64_t>(new_tokens - free_tokens, 0));
}

// Each engine step computes a chunk of prefill and one token of each sequence,
// so prefill delays all sequences and each sequence slows down the others.
double UpstreamEstimate::BatchDelayMs(int64_t uncached_tokens,
                                      int64_t output_tokens) const {
  return batch_delay_weight_ * batch() *
         (PrefillMs(uncached_tokens) +
          slope_ms_ * static_cast<double>(output_tokens));
}

void UpstreamEstimate::AddCall(int64_t uncached_tokens, int64_t output_tokens) {
  ++own_;
  base_ms_ += pending_weight_ * PrefillMs(uncached_tokens);
  cache_free_tokens_ -= uncached_tokens + output_tokens;
}

}  // namespace ring
