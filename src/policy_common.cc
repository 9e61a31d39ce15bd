#include <algorithm>

#include "policy_common_p.h"

namespace ring {

SlotTable::SlotTable(const std::vector<UpstreamView>& upstreams)
    : slots_(upstreams.size()) {
  for (size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamView& view = upstreams[i];
    slots_[i] = Slot{.own = view.own_in_flight,
                     .other = view.other_in_flight,
                     .limit = view.limit,
                     .usable = view.accepts_work,
                     .isolated = view.isolated};
  }
}

bool SlotTable::IsUsable(UpstreamHandle handle) const {
  return Contains(handle) && slots_[handle.index].usable &&
         slots_[handle.index].limit > 0;
}

bool SlotTable::HasFreeSlot(UpstreamHandle handle) const {
  if (!IsUsable(handle)) {
    return false;
  }
  const Slot& slot = slots_[handle.index];
  return !slot.isolated && !slot.excluded && slot.own < slot.limit;
}

bool SlotTable::IsIdle(UpstreamHandle handle) const {
  if (!IsUsable(handle)) {
    return false;
  }
  const Slot& slot = slots_[handle.index];
  return !slot.excluded && slot.own == 0 && slot.other == 0;
}

bool HasFailedOn(const CallView& call, UpstreamHandle handle) {
  return std::find(call.failed.begin(), call.failed.end(), handle) !=
         call.failed.end();
}

bool HasUsableCandidate(const CallView& call, const SlotTable& slots) {
  return std::any_of(
      call.candidates.begin(), call.candidates.end(),
      [&slots](UpstreamHandle handle) { return slots.IsUsable(handle); });
}

std::optional<UpstreamHandle> PlaceSuspect(const CallView& call,
                                           SlotTable& slots) {
  UpstreamHandle idle;
  UpstreamHandle least_loaded;
  for (const UpstreamHandle handle : call.candidates) {
    if (slots.IsIdle(handle) &&
        (!IsValid(idle) ||
         (HasFailedOn(call, idle) && !HasFailedOn(call, handle)))) {
      idle = handle;
    }
    if (slots.IsUsable(handle) &&
        (!IsValid(least_loaded) ||
         slots.own_in_flight(handle) < slots.own_in_flight(least_loaded))) {
      least_loaded = handle;
    }
  }
  if (IsValid(idle)) {
    slots.AddCall(idle);
    slots.Exclude(idle);
    return idle;
  }
  if (IsValid(least_loaded)) {
    slots.Exclude(least_loaded);
  }
  return std::nullopt;
}

std::unique_ptr<PolicyI> CreatePolicy(const std::string& name,
                                      const PolicyInit& init) {
  if (name == "program") {
    return CreateProgramPolicy(init);
  }
  if (name == "fcfs-round-robin") {
    return CreateRoundRobinPolicy(init);
  }
  if (name == "fcfs-least-in-flight") {
    return CreateLeastInFlightPolicy(init);
  }
  return nullptr;
}

int64_t JitteredRetryAfterMs(Rng& rng, int64_t base_ms) {
  const int64_t base = std::max<int64_t>(base_ms, 1);
  return UniformInt(rng, base, 2 * base);
}

}  // namespace ring
