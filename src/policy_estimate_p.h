#pragma once

/// Estimates of time on one upstream, for placement and admission.

#include <cstdint>
#include <vector>

#include "persimmonring/policy.h"

namespace ring {

/// State of one upstream while a decision is made. Assignments of the decision
/// are added to it, so that later ones see their load.
class UpstreamModel {
 public:
  UpstreamModel(const UpstreamView& view, const PolicyInit& init);

  /// @returns true if one more ordinary call may start now
  bool HasRoom() const { return open_ && own_ < gate_; }
  /// @returns true if it may take ordinary work once a slot is free
  bool open() const { return open_; }
  LinkClass link() const { return link_; }
  /// @returns most requests in flight: the limit, or less if a smaller batch
  /// reaches nearly the same throughput
  int32_t gate() const { return gate_; }
  int32_t batch() const { return own_ + other_; }

  /// @param uncached_tokens prompt tokens to prefill
  /// @param output_tokens expected tokens of the answer
  /// @returns milliseconds from the start of the call to its end
  double FinishMs(int64_t uncached_tokens, int64_t output_tokens) const;
  /// @returns milliseconds of prefill for these tokens
  double PrefillMs(int64_t tokens) const {
    return static_cast<double>(tokens) * prefill_ms_per_token_;
  }
  /// @param output_tokens expected tokens of a typical call
  /// @returns expected milliseconds until a slot is free for one more waiter
  double WaitMs(int64_t output_tokens) const;
  /// @param new_tokens tokens that the call adds to the cache
  /// @returns milliseconds of prefill that other programs lose by eviction
  double EvictionMs(int64_t new_tokens) const;

  /// @returns milliseconds by which the call delays the others in its batch
  double OthersMs(int64_t uncached_tokens, int64_t output_tokens) const;
  /// @param prompt_tokens of the first call of a program
  /// @returns true if the cache has room for the program beside those under way
  bool FitsProgram(int64_t prompt_tokens) const;

  void Take(int64_t uncached_tokens, int64_t output_tokens);
  void AddWaiter() { ++waiters_; }
  /// Excludes the upstream from further assignments of this decision.
  void Close() { open_ = false; }

 private:
  bool open_;
  LinkClass link_;
  int32_t own_;
  int32_t other_;
  int32_t gate_ = 0;
  int32_t waiters_ = 0;
  double base_ms_;  // Link and prefill that is already pending.
  double prefill_ms_per_token_;
  double alone_ms_per_token_;  // Decode at batch 0.
  double slope_ms_;
  double left_tokens_;  // Mean left of a request in flight, upper bound.
  bool bounded_cache_;
  int64_t cache_free_tokens_;
  double reserved_tokens_;  // Kept free for programs under way.
  double prompt_growth_;
  double pending_weight_;
  double others_weight_;
};

}  // namespace ring
