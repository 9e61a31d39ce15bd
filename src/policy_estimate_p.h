#pragma once

/// Time estimates for one upstream, used by placement and admission.

#include <cstdint>
#include <vector>

#include "persimmonring/policy.h"

namespace ring {

/// Estimated state of one upstream during a decision. Each assignment is added,
/// so that later placements of the same decision account for its load.
class UpstreamEstimate {
 public:
  UpstreamEstimate(const UpstreamView& view, const PolicyInit& init);

  /// @returns true if a call that is no suspect may start now
  bool HasFreeSlot() const { return open_ && own_ < batch_limit_; }
  /// @returns true if calls that are no suspects may start once a slot is free
  bool open() const { return open_; }
  LinkClass link() const { return link_; }
  /// @returns maximum requests in flight: the limit, or less if a smaller batch
  ///          reaches nearly the same throughput
  int32_t batch_limit() const { return batch_limit_; }
  int32_t batch() const { return own_ + other_; }

  /// @param uncached_tokens prompt tokens to prefill
  /// @param output_tokens expected output tokens
  /// @returns expected ms from the start of a call to its end
  double CallDurationMs(int64_t uncached_tokens, int64_t output_tokens) const;
  /// @returns ms to prefill the tokens
  double PrefillMs(int64_t tokens) const {
    return static_cast<double>(tokens) * prefill_ms_per_token_;
  }
  /// @param output_tokens expected output tokens of a call in flight
  /// @returns expected ms until a slot is free for one more waiting
  ///          call
  double WaitMs(int64_t output_tokens) const;
  /// @param new_tokens tokens that the call adds to the cache
  /// @returns ms to prefill what the call evicts of other programs
  double EvictionMs(int64_t new_tokens) const;

  /// @returns weighted ms by which a call delays the others in its
  ///          batch
  double BatchDelayMs(int64_t uncached_tokens, int64_t output_tokens) const;
  /// @param prompt_tokens of the first call of a program
  /// @returns true if the cache has room for the program next to running ones
  bool FitsProgram(int64_t prompt_tokens) const;

  /// Adds a call that the decision has placed here.
  void AddCall(int64_t uncached_tokens, int64_t output_tokens);
  /// Adds a call that waits for a slot here.
  void AddWaiter() { ++waiters_; }
  /// Excludes the upstream from further assignments of this decision.
  void Exclude() { open_ = false; }

 private:
  bool open_;
  LinkClass link_;
  int32_t own_;
  int32_t other_;
  int32_t batch_limit_ = 0;
  int32_t waiters_ = 0;
  double base_ms_;  // Link and weighted pending prefill.
  double prefill_ms_per_token_;
  double base_decode_ms_per_token_;  // Decode, extrapolated to batch size 0.
  double slope_ms_;
  double remaining_tokens_;  // Mean output left per request, upper bound.
  bool bounded_cache_;
  int64_t cache_free_tokens_;
  double reserved_tokens_;  // Cache kept free for running programs.
  double prompt_growth_;
  double pending_weight_;
  double batch_delay_weight_;
};

}  // namespace ring
