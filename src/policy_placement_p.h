#pragma once

/// Placement of one call after the other by expected finish.

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "policy_common_p.h"
#include "policy_estimate_p.h"

namespace ring {

/// Calls with equal candidates share one group, so that upstreams without room
/// are looked at once for a decision and not once for each call.
struct CandidateGroup {
  const std::vector<UpstreamHandle>* candidates = nullptr;
  std::vector<UpstreamHandle> with_room;
  UpstreamHandle shortest_wait;  ///< Of the own region, without room.
  int64_t slots = 0;             ///< Gated slots of the own region.
  int64_t slots_anywhere = 0;
  UpstreamHandle fastest;  ///< Shortest finish of a typical call.
  bool usable = false;     ///< Some candidate may take work at some time.
  int64_t waiting_under_way = 0;
  int64_t waiting_first = 0;
};

class Placer {
 public:
  Placer(const PolicyInput& input, const PolicyInit& init);

  /// @returns the group of the call; stays valid for the life of the placer
  CandidateGroup& GroupOf(const CallView& call);
  /// @returns where the call starts now, or nullopt if it waits
  std::optional<Assignment> Place(const CallView& call, CandidateGroup& group);
  /// @param cached_tokens prompt tokens assumed to be cached
  /// @returns milliseconds of one such call without waiting, on the upstream of
  /// the group that was fastest when the decision began; 0 if none is open
  double CallMs(const CallView& call,
                const CandidateGroup& group,
                int64_t cached_tokens) const;

 private:
  struct Option {
    UpstreamHandle upstream;
    UpstreamHandle import_from;
    int64_t uncached_tokens = 0;
    bool failed = false;
    double cost_ms = 0;
    double finish_ms = 0;
  };

  std::optional<Assignment> PlaceAlone(const CallView& call);
  void AddToGroup(UpstreamHandle handle, CandidateGroup& group) const;
  Option Evaluate(const CallView& call, UpstreamHandle handle) const;
  void ConsiderImport(const CallView& call, Option& option) const;
  std::optional<Option> BestWithRoom(const CallView& call,
                                     CandidateGroup& group) const;
  std::optional<Option> BestWithoutRoom(const CallView& call,
                                        const CandidateGroup& group) const;
  bool IsBetter(const Option& a, const Option& b) const;

  const PolicyInput& input_;
  const PolicyInit& init_;
  SlotTable slots_;
  std::vector<UpstreamModel> models_;
  std::vector<std::unique_ptr<CandidateGroup>> groups_;
};

}  // namespace ring
