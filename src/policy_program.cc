#include <algorithm>

#include "policy_common_p.h"

namespace ring {
namespace {

class ProgramPolicy final : public PolicyI {
 public:
  explicit ProgramPolicy(const PolicyInit& init) : init_(init) {}
  const char* name() const override { return "program"; }

  Decision Decide(const PolicyInput& input) const override {
    Decision decision;
    SlotTable slots(input.upstreams);
    Rng rng(input.seed);
    int64_t waiting = 0;
    for (const CallView* call : Order(input)) {
      Reason refused = Reason::kNone;
      if (call->deadline_ms > 0 && call->deadline_ms <= input.now_ms) {
        refused = Reason::kDeadlinePassed;
      } else if (!HasUsableCandidate(*call, slots)) {
        refused = Reason::kNoUpstream;
      } else if (const auto handle = Place(*call, input, slots)) {
        decision.assignments.push_back(
            {.ticket = call->ticket, .upstream = *handle});
      } else if (++waiting > init_.max_queue) {
        refused = Reason::kQueueFull;
      }
      if (refused != Reason::kNone) {
        decision.rejections.push_back(
            {call->ticket, refused, SpreadRetryAfterMs(rng, 1'000)});
      }
    }
    return decision;
  }

 private:
  static std::vector<const CallView*> Order(const PolicyInput& input) {
    std::vector<const CallView*> order;
    for (const CallView& call : input.queue) {
      order.push_back(&call);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const CallView* a, const CallView* b) {
                       return std::pair(a->first_call, a->deadline_ms) <
                              std::pair(b->first_call, b->deadline_ms);
                     });
    return order;
  }

  static std::optional<UpstreamHandle> Place(const CallView& call,
                                             const PolicyInput& input,
                                             SlotTable& slots) {
    if (call.suspect) {
      return PlaceSuspect(call, slots);
    }
    UpstreamHandle best;
    double best_cost = 0;
    for (const UpstreamHandle handle : call.candidates) {
      if (!slots.HasRoom(handle)) {
        continue;
      }
      const double cost = Cost(call, input.upstreams[handle.index], slots);
      if (!isValid(best) || cost < best_cost) {
        best = handle;
        best_cost = cost;
      }
    }
    if (!isValid(best)) {
      return std::nullopt;
    }
    slots.Take(best);
    return best;
  }

  static double Cost(const CallView& call,
                     const UpstreamView& upstream,
                     const SlotTable& slots) {
    int64_t cached = 0;
    for (const CachedPrefix& prefix : call.cached) {
      if (prefix.upstream == upstream.handle) {
        cached = std::min(prefix.tokens, call.prompt_tokens);
      }
    }
    const auto prefill = static_cast<double>(upstream.pending_prefill_tokens +
                                             call.prompt_tokens - cached);
    const double decode =
        upstream.decode_ms_per_token +
        upstream.decode_slope_ms * slots.own_in_flight(upstream.handle);
    const double failed = HasFailedOn(call, upstream.handle) ? 1e9 : 0;
    return prefill / upstream.prefill_tokens_per_ms +
           decode * static_cast<double>(call.expected_output_tokens) + failed;
  }

  const PolicyInit init_;
};

}  // namespace

std::unique_ptr<PolicyI> CreateProgramPolicy(const PolicyInit& init) {
  return std::make_unique<ProgramPolicy>(init);
}

}  // namespace ring
