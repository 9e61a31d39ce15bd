// First-come, first-served policies, the baselines for comparisons. They
// respect upstream limits and queue bounds, but ignore programs and cached
// prefixes.

#include <algorithm>

#include "policy_common_p.h"

namespace ring {
namespace {

// These policies cannot estimate when the queue has room again.
constexpr int64_t kQueueFullRetryMs = 1'000;

class FcfsPolicy : public PolicyI {
 public:
  explicit FcfsPolicy(const PolicyInit& init) : init_(init) {}

  Decision Decide(const PolicyInput& input) const override {
    Decision decision;
    SlotTable slots(input.upstreams);
    Rng rng(input.seed);
    int64_t waiting = 0;
    uint64_t position = input.seed;
    for (const CallView& call : input.queue) {
      const Reason refusal_reason = CheckCall(call, slots, input.now_ms);
      if (refusal_reason != Reason::kNone) {
        Reject(call, refusal_reason, rng, decision);
        continue;
      }
      const UpstreamHandle handle = Place(call, input, slots, position);
      if (IsValid(handle)) {
        decision.assignments.push_back(
            {.ticket = call.ticket, .upstream = handle});
      } else if (++waiting > init_.max_queue) {
        Reject(call, Reason::kQueueFull, rng, decision);
      }
    }
    return decision;
  }

 protected:
  /// @param position round-robin position; an implementation may advance it
  /// @returns an upstream with a free slot, or an invalid handle
  virtual UpstreamHandle Choose(const CallView& call,
                                const PolicyInput& input,
                                const SlotTable& slots,
                                uint64_t& position) const = 0;

 private:
  static Reason CheckCall(const CallView& call,
                          const SlotTable& slots,
                          int64_t now_ms) {
    if (call.deadline_ms > 0 && call.deadline_ms <= now_ms) {
      return Reason::kDeadlinePassed;
    }
    return HasUsableCandidate(call, slots) ? Reason::kNone
                                           : Reason::kNoUpstream;
  }

  static void Reject(const CallView& call,
                     Reason reason,
                     Rng& rng,
                     Decision& decision) {
    decision.refusals.push_back(
        {.ticket = call.ticket,
         .reason = reason,
         .retry_after_ms = JitteredRetryAfterMs(rng, kQueueFullRetryMs)});
  }

  UpstreamHandle Place(const CallView& call,
                       const PolicyInput& input,
                       SlotTable& slots,
                       uint64_t& position) const {
    if (call.suspect) {
      return PlaceSuspect(call, slots).value_or(UpstreamHandle{});
    }
    const UpstreamHandle handle = Choose(call, input, slots, position);
    if (IsValid(handle)) {
      slots.AddCall(handle);
    }
    return handle;
  }

  const PolicyInit init_;
};

class RoundRobinPolicy final : public FcfsPolicy {
 public:
  using FcfsPolicy::FcfsPolicy;
  const char* name() const override { return "fcfs-round-robin"; }

 private:
  UpstreamHandle Choose(const CallView& call,
                        const PolicyInput& /*input*/,
                        const SlotTable& slots,
                        uint64_t& position) const override {
    // The policy is stateless, so the start position comes from the seed, which
    // the caller changes for each decision.
    const size_t count = call.candidates.size();
    UpstreamHandle failed;
    for (size_t i = 0; i < count; ++i) {
      const UpstreamHandle handle = call.candidates[(position + i) % count];
      if (!slots.HasFreeSlot(handle)) {
        continue;
      }
      if (!HasFailedOn(call, handle)) {
        position += i + 1;
        return handle;
      }
      failed = handle;
    }
    return failed;
  }
};

class LeastInFlightPolicy final : public FcfsPolicy {
 public:
  using FcfsPolicy::FcfsPolicy;
  const char* name() const override { return "fcfs-least-in-flight"; }

 private:
  UpstreamHandle Choose(const CallView& call,
                        const PolicyInput& input,
                        const SlotTable& slots,
                        uint64_t& /*position*/) const override {
    UpstreamHandle best;
    bool best_failed = false;
    int64_t best_in_flight = 0;
    for (const UpstreamHandle handle : call.candidates) {
      if (!slots.HasFreeSlot(handle)) {
        continue;
      }
      const bool failed = HasFailedOn(call, handle);
      const int64_t in_flight = slots.own_in_flight(handle) +
                                input.upstreams[handle.index].other_in_flight;
      if (!IsValid(best) || std::pair(failed, in_flight) <
                                std::pair(best_failed, best_in_flight)) {
        best = handle;
        best_failed = failed;
        best_in_flight = in_flight;
      }
    }
    return best;
  }
};

}  // namespace

std::unique_ptr<PolicyI> CreateRoundRobinPolicy(const PolicyInit& init) {
  return std::make_unique<RoundRobinPolicy>(init);
}

std::unique_ptr<PolicyI> CreateLeastInFlightPolicy(const PolicyInit& init) {
  return std::make_unique<LeastInFlightPolicy>(init);
}

}  // namespace ring
