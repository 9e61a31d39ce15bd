#pragma once

/// Places calls one after the other by expected cost.

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "policy_common_p.h"
#include "policy_estimate_p.h"

namespace ring {

/// Calls with equal candidates share one group, so that full upstreams are
/// examined once per decision instead of once per call.
struct CandidateGroup {
  const std::vector<UpstreamHandle>* candidates = nullptr;
  std::vector<UpstreamHandle> with_free_slot;
  UpstreamHandle shortest_wait;   ///< Full upstream of the own region.
  int64_t slots = 0;              ///< Sum of batch limits in the own region.
  int64_t slots_all_regions = 0;  ///< Sum of batch limits in all regions.
  UpstreamHandle fastest;         ///< Shortest duration of a typical call.
  bool usable = false;  ///< Some candidate accepts work, now or later.
  int64_t waiting_later_calls = 0;  ///< Waiting calls of running programs.
  int64_t waiting_first_calls = 0;  ///< Waiting first calls.
};

/// Chooses an upstream for each call of one decision. The cost of an upstream
/// is the expected wait and duration of the call, the delay for the other calls
/// in the batch and the prefill lost by evictions.
class Placer {
 public:
  Placer(const PolicyInput& input, const PolicyInit& init);

  /// @returns the group of the call, valid for the lifetime of the placer
  CandidateGroup& GroupOf(const CallView& call);
  /// @returns the upstream on which the call starts now, or nullopt if no slot
  ///          is free or waiting for a full upstream costs less
  std::optional<Assignment> Place(const CallView& call, CandidateGroup& group);
  /// @param cached_tokens prompt tokens assumed to be cached
  /// @returns ms that the call takes without waiting, on the upstream
  ///          of the group that was fastest when the decision began; 0 if no
  ///          upstream accepts calls
  double FastestCallMs(const CallView& call,
                       const CandidateGroup& group,
                       int64_t cached_tokens) const;

 private:
  struct Option {
    UpstreamHandle upstream;
    UpstreamHandle import_from;
    int64_t uncached_tokens = 0;
    bool failed = false;
    double cost_ms = 0;
    double duration_ms = 0;
  };

  std::optional<Assignment> PlaceAlone(const CallView& call);
  void AddToGroup(UpstreamHandle handle, CandidateGroup& group) const;
  Option Evaluate(const CallView& call, UpstreamHandle handle) const;
  void ConsiderImport(const CallView& call, Option& option) const;
  std::optional<Option> BestWithFreeSlot(const CallView& call,
                                         CandidateGroup& group) const;
  std::optional<Option> BestFullUpstream(const CallView& call,
                                         const CandidateGroup& group) const;
  bool IsBetter(const Option& a, const Option& b) const;

  const PolicyInput& input_;
  const PolicyInit& init_;
  SlotTable slots_;
  std::vector<UpstreamEstimate> estimates_;
  std::vector<std::unique_ptr<CandidateGroup>> groups_;
};

}  // namespace ring
