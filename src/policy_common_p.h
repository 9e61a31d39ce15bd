#pragma once

/// Shared by all policies: free slots, placement of suspects, factories.

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "persimmonring/policy.h"

namespace ring {

/// Free slots of the upstreams during one decision, including the calls that
/// the decision has placed so far.
class SlotTable {
 public:
  explicit SlotTable(const std::vector<UpstreamView>& upstreams);

  size_t size() const { return slots_.size(); }
  bool Contains(UpstreamHandle handle) const {
    return handle.index < slots_.size();
  }
  /// @returns true if the upstream accepts work and has a limit above zero
  bool IsUsable(UpstreamHandle handle) const;
  /// @returns true if a call that is no suspect may start there now
  bool HasFreeSlot(UpstreamHandle handle) const;
  /// @returns true if a suspect may start there now
  bool IsIdle(UpstreamHandle handle) const;
  int32_t own_in_flight(UpstreamHandle handle) const {
    return slots_[handle.index].own;
  }
  void AddCall(UpstreamHandle handle) { ++slots_[handle.index].own; }
  /// Excludes the upstream from further assignments of this decision.
  void Exclude(UpstreamHandle handle) { slots_[handle.index].excluded = true; }
  bool IsExcluded(UpstreamHandle handle) const {
    return slots_[handle.index].excluded;
  }

 private:
  struct Slot {
    int32_t own = 0;
    int32_t other = 0;
    int32_t limit = 0;
    bool usable = false;
    bool isolated = false;
    bool excluded = false;
  };
  std::vector<Slot> slots_;
};

/// @returns true if an earlier attempt of the call failed on this upstream
bool HasFailedOn(const CallView& call, UpstreamHandle handle);

/// @returns true if some candidate of the call accepts work, now or later
bool HasUsableCandidate(const CallView& call, const SlotTable& slots);

/// Places a suspect on an upstream of its own. If none is idle, the one with
/// the fewest requests in flight gets no further calls, so that the suspect
/// cannot starve under load.
/// @returns nullopt if the suspect has to wait
std::optional<UpstreamHandle> PlaceSuspect(const CallView& call,
                                           SlotTable& slots);

std::unique_ptr<PolicyI> CreateRoundRobinPolicy(const PolicyInit& init);
std::unique_ptr<PolicyI> CreateLeastInFlightPolicy(const PolicyInit& init);
std::unique_ptr<PolicyI> CreateProgramPolicy(const PolicyInit& init);

}  // namespace ring
