// Scheduling order and admission of the program policy. Placement is in
// policy_placement.cc.

#include <algorithm>
#include <cmath>
#include <tuple>

#include "policy_common_p.h"
#include "policy_placement_p.h"

namespace ring {
namespace {

constexpr double kUsPerMs = 1'000;
// Time left of calls without a deadline.
constexpr int64_t kNoDeadlineMs = 3'600'000;

// Minimum base of the retry time, even if a slot is expected to be free at
// once, because each retry costs the entry a request.
constexpr int64_t kMinRetryMs = 50;

// A waiting call with the values that determine its place in the order.
struct WaitingCall {
  const CallView* call = nullptr;
  CandidateGroup* group = nullptr;
  double call_ms = 0;
  double sort_key = 0;  // Lower values are served first.
};

bool ServedBefore(const WaitingCall& a, const WaitingCall& b) {
  return std::tuple(a.call->first_call, a.sort_key, a.call->arrival_ms,
                    a.call->ticket) < std::tuple(b.call->first_call, b.sort_key,
                                                 b.call->arrival_ms,
                                                 b.call->ticket);
}

class ProgramPolicy final : public PolicyI {
 public:
  explicit ProgramPolicy(const PolicyInit& init) : init_(init) {}
  const char* name() const override { return "program"; }
  Decision Decide(const PolicyInput& input) const override;

 private:
  const PolicyInit init_;
};

/// One decision. Serves calls of running programs before first calls.
class ProgramDecision {
 public:
  ProgramDecision(const PolicyInput& input, const PolicyInit& init)
      : input_(input), init_(init), placer_(input, init), rng_(input.seed) {}

  Decision Run() {
    for (const WaitingCall& waiting : SchedulingOrder()) {
      Serve(waiting);
    }
    return std::move(decision_);
  }

 private:
  std::vector<WaitingCall> SchedulingOrder() {
    std::vector<WaitingCall> order;
    order.reserve(input_.queue.size());
    for (const CallView& call : input_.queue) {
      WaitingCall waiting{.call = &call, .group = &placer_.GroupOf(call)};
      waiting.call_ms =
          placer_.FastestCallMs(call, *waiting.group, call.prompt_tokens);
      waiting.sort_key = SortKey(waiting);
      order.push_back(waiting);
    }
    std::sort(order.begin(), order.end(), ServedBefore);
    return order;
  }

  int64_t TimeLeftMs(const CallView& call) const {
    return call.deadline_ms > 0 ? call.deadline_ms - input_.now_ms
                                : kNoDeadlineMs;
  }

  // Slack of the root program plus its weighted upstream time, scaled down
  // to zero as the call waits for aging_ms. A sub-agent has the deadline of its
  // root, and its parent continues after it, so at least one more call follows.
  double SortKey(const WaitingCall& waiting) const {
    const CallView& call = *waiting.call;
    const double calls = 1.0 +
                         static_cast<double>(call.expected_remaining_calls) +
                         (call.sub_agent ? 1 : 0);
    const double slack = std::max(
        static_cast<double>(TimeLeftMs(call)) - calls * waiting.call_ms, 0.0);
    const double waited_ms = static_cast<double>(
        std::max<int64_t>(input_.now_ms - call.arrival_ms, 0));
    const double aging =
        std::max(1 - waited_ms / static_cast<double>(init_.aging_ms), 0.0);
    return aging * (slack + init_.used_upstream_weight *
                                static_cast<double>(call.used_upstream_ms));
  }

  void Serve(const WaitingCall& waiting) {
    const CallView& call = *waiting.call;
    CandidateGroup& group = *waiting.group;
    if (call.deadline_ms > 0 && call.deadline_ms <= input_.now_ms) {
      Reject(call, Reason::kDeadlinePassed, waiting.call_ms);
    } else if (!group.usable) {
      Reject(call, Reason::kNoUpstream, kNoUpstreamRetryMs);
    } else if (call.first_call && !call.suspect) {
      ServeFirstCall(waiting);
    } else if (IsDeadlineUnreachable(waiting)) {
      Reject(call, Reason::kDeadlineUnreachable, ExpectedWaitMs(waiting));
    } else if (!TryPlace(waiting)) {
      ++group.waiting_later_calls;
      KeepWaiting(waiting);
    }
  }

  // Calls of running programs have been placed already, so they do not need the
  // slots that are still free.
  void ServeFirstCall(const WaitingCall& waiting) {
    const CallView& call = *waiting.call;
    CandidateGroup& group = *waiting.group;
    const double min_remaining_ms = MinRemainingMs(waiting);
    const double time_left = static_cast<double>(TimeLeftMs(call));
    if (min_remaining_ms * init_.deadline_safety_factor > time_left) {
      Reject(call, Reason::kDeadlineUnreachable, ExpectedWaitMs(waiting));
      return;
    }
    if (TryPlace(waiting)) {
      return;
    }
    const TurnAdmission admission = AdmitTurn(AdmissionInput(waiting));
    ++group.waiting_first_calls;
    const double wait_ms = ExpectedWaitMs(waiting);
    const double waited_ms =
        static_cast<double>(input_.now_ms - call.arrival_ms);
    if (wait_ms + min_remaining_ms * init_.deadline_safety_factor > time_left) {
      Reject(call, Reason::kDeadlineUnreachable, wait_ms);
    } else if (waited_ms + wait_ms >
               static_cast<double>(init_.max_first_call_wait_ms)) {
      Reject(call, Reason::kOverload, wait_ms);
    } else if (!admission.admitted) {
      decision_.refusals.push_back(
          {.ticket = call.ticket,
           .reason = Reason::kOverload,
           .retry_after_ms = admission.retry_after_ms});
    } else {
      KeepWaiting(waiting);
    }
  }

  // The same decision as for turns that the state group places. An entry knows
  // no open turns of other entries in its queue, and no teams.
  TurnAdmissionInput AdmissionInput(const WaitingCall& waiting) const {
    const CandidateGroup& group = *waiting.group;
    const int64_t slots = SlotsOf(group);
    return {
        .starts_program = true,
        .program_wait_ms =
            waiting.call->deadline_ms > 0 ? TimeLeftMs(*waiting.call) : 0,
        // All slots are in use, otherwise the call would have been placed.
        .open_turns =
            slots - 1 + group.waiting_later_calls + group.waiting_first_calls,
        .slots = slots,
        .turn_us = std::llround(waiting.call_ms * kUsPerMs),
        .turns_per_program =
            1.0 + static_cast<double>(waiting.call->expected_remaining_calls),
        .random = Mixed(input_.seed ^ waiting.call->ticket)};
  }

  // Spreads the retry times of calls; a multiplicative hash suffices.
  static uint64_t Mixed(uint64_t value) {
    constexpr uint64_t kMultiplier = 0x9e3779b97f4a7c15;
    return (value + 1) * kMultiplier >> 32;
  }

  static int64_t SlotsOf(const CandidateGroup& group) {
    return std::max<int64_t>(
        group.slots > 0 ? group.slots : group.slots_all_regions, 1);
  }

  // Lower bound of the time that the rest of the program takes. Excludes the
  // prefill of the first prompt: entries estimate prefill rates from the time
  // to the first token, which includes waiting, and in doubt a program should
  // be tried rather than refused.
  double MinRemainingMs(const WaitingCall& waiting) const {
    return waiting.call_ms *
           (1.0 +
            init_.remaining_calls_share *
                static_cast<double>(waiting.call->expected_remaining_calls));
  }

  // Expected time until the calls ahead of this one have been served. A call of
  // a running program counts once; a first call counts with all calls that are
  // expected to follow it.
  double ExpectedWaitMs(const WaitingCall& waiting) const {
    const CandidateGroup& group = *waiting.group;
    const double calls_ahead =
        static_cast<double>(group.waiting_later_calls) +
        static_cast<double>(group.waiting_first_calls) *
            (1.0 + static_cast<double>(waiting.call->expected_remaining_calls));
    return calls_ahead * waiting.call_ms / static_cast<double>(SlotsOf(group));
  }

  bool IsDeadlineUnreachable(const WaitingCall& waiting) const {
    const CallView& call = *waiting.call;
    return call.deadline_ms > 0 &&
           MinRemainingMs(waiting) > static_cast<double>(TimeLeftMs(call));
  }

  bool TryPlace(const WaitingCall& waiting) {
    const auto assignment = placer_.Place(*waiting.call, *waiting.group);
    if (assignment) {
      decision_.assignments.push_back(*assignment);
    }
    return assignment.has_value();
  }

  void KeepWaiting(const WaitingCall& waiting) {
    if (++waiting_ > init_.max_queue) {
      Reject(*waiting.call, Reason::kQueueFull, ExpectedWaitMs(waiting));
    }
  }

  void Reject(const CallView& call, Reason reason, double expected_wait_ms) {
    const int64_t base =
        std::max<int64_t>(std::llround(expected_wait_ms), kMinRetryMs);
    decision_.refusals.push_back(
        {.ticket = call.ticket,
         .reason = reason,
         .retry_after_ms = JitteredRetryAfterMs(rng_, base)});
  }

  static constexpr double kNoUpstreamRetryMs = 1'000;

  const PolicyInput& input_;
  const PolicyInit& init_;
  Placer placer_;
  Rng rng_;
  int64_t waiting_ = 0;
  Decision decision_;
};

Decision ProgramPolicy::Decide(const PolicyInput& input) const {
  return ProgramDecision(input, init_).Run();
}

}  // namespace

std::unique_ptr<PolicyI> CreateProgramPolicy(const PolicyInit& init) {
  return std::make_unique<ProgramPolicy>(init);
}

}  // namespace ring
