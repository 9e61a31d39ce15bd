// Scheduling order and admission of the program policy. Placement is in
// policy_placement.cc.

#include <algorithm>
#include <cmath>
#include <tuple>

#include "policy_common_p.h"
#include "policy_placement_p.h"

namespace ring {
namespace {

// Time left of calls without a deadline.
constexpr int64_t kNoDeadlineMs = 3'600'000;

// Minimum base of the retry time, even if a slot is expected to be free at
// once, because each retry costs the entry a request.
constexpr int64_t kMinRetryMs = 50;

// A waiting call with the values that determine its place in the order.
struct Waiting {
  const CallView* call = nullptr;
  CandidateGroup* group = nullptr;
  double call_ms = 0;
  double urgency = 0;  // Lower values are served first.
};

bool ServedBefore(const Waiting& a, const Waiting& b) {
  return std::tuple(a.call->first_call, a.urgency, a.call->arrival_ms,
                    a.call->ticket) < std::tuple(b.call->first_call, b.urgency,
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
    for (const Waiting& waiting : Order()) {
      Serve(waiting);
    }
    return std::move(decision_);
  }

 private:
  std::vector<Waiting> Order() {
    std::vector<Waiting> order;
    order.reserve(input_.queue.size());
    for (const CallView& call : input_.queue) {
      Waiting waiting{.call = &call, .group = &placer_.GroupOf(call)};
      waiting.call_ms =
          placer_.CallMs(call, *waiting.group, call.prompt_tokens);
      waiting.urgency = Urgency(waiting);
      order.push_back(waiting);
    }
    std::sort(order.begin(), order.end(), ServedBefore);
    return order;
  }

  int64_t TimeLeftMs(const CallView& call) const {
    return call.deadline_ms > 0 ? call.deadline_ms - input_.now_ms
                                : kNoDeadlineMs;
  }

  // Slack of the root program plus its weighted attained service, scaled down
  // to zero as the call waits for aging_ms. A sub-agent has the deadline of its
  // root, and its parent continues after it, so at least one more call follows.
  double Urgency(const Waiting& waiting) const {
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
    return aging * (slack + init_.attained_weight *
                                static_cast<double>(call.attained_service_ms));
  }

  void Serve(const Waiting& waiting) {
    const CallView& call = *waiting.call;
    CandidateGroup& group = *waiting.group;
    if (call.deadline_ms > 0 && call.deadline_ms <= input_.now_ms) {
      Refuse(call, Reason::kDeadlinePassed, waiting.call_ms);
    } else if (!group.usable) {
      Refuse(call, Reason::kNoUpstream, kNoUpstreamRetryMs);
    } else if (call.first_call && !call.suspect) {
      ServeFirst(waiting);
    } else if (IsLost(waiting)) {
      Refuse(call, Reason::kDeadlineUnreachable, DrainMs(waiting));
    } else if (!TryPlace(waiting)) {
      ++group.waiting_under_way;
      KeepWaiting(waiting);
    }
  }

  // Calls of running programs have been placed already, so they do not need the
  // slots that are still free.
  void ServeFirst(const Waiting& waiting) {
    const CallView& call = *waiting.call;
    CandidateGroup& group = *waiting.group;
    const double chain_ms = ChainMs(waiting);
    const double time_left = static_cast<double>(TimeLeftMs(call));
    if (chain_ms * init_.slack_safety > time_left) {
      Refuse(call, Reason::kDeadlineUnreachable, DrainMs(waiting));
      return;
    }
    if (TryPlace(waiting)) {
      return;
    }
    ++group.waiting_first;
    const double wait_ms = DrainMs(waiting);
    const double waited_ms =
        static_cast<double>(input_.now_ms - call.arrival_ms);
    if (wait_ms + chain_ms * init_.slack_safety > time_left) {
      Refuse(call, Reason::kDeadlineUnreachable, wait_ms);
    } else if (waited_ms + wait_ms >
               static_cast<double>(init_.first_call_wait_ms)) {
      Refuse(call, Reason::kOverload, wait_ms);
    } else {
      KeepWaiting(waiting);
    }
  }

  // Lower bound of the time that the rest of the program takes. Excludes the
  // prefill of the first prompt: entries estimate prefill rates from the time
  // to the first token, which includes waiting, and in doubt a program should
  // be tried rather than rejected.
  double ChainMs(const Waiting& waiting) const {
    return waiting.call_ms *
           (1.0 +
            init_.remaining_share *
                static_cast<double>(waiting.call->expected_remaining_calls));
  }

  // Expected time until the calls ahead of this one have been served. A call of
  // a running program counts once; a first call counts with all calls that are
  // expected to follow it.
  double DrainMs(const Waiting& waiting) const {
    const CandidateGroup& group = *waiting.group;
    const double calls_ahead =
        static_cast<double>(group.waiting_under_way) +
        static_cast<double>(group.waiting_first) *
            (1.0 + static_cast<double>(waiting.call->expected_remaining_calls));
    const int64_t slots = std::max<int64_t>(
        group.slots > 0 ? group.slots : group.slots_anywhere, 1);
    return calls_ahead * waiting.call_ms / static_cast<double>(slots);
  }

  bool IsLost(const Waiting& waiting) const {
    const CallView& call = *waiting.call;
    return call.deadline_ms > 0 &&
           ChainMs(waiting) > static_cast<double>(TimeLeftMs(call));
  }

  bool TryPlace(const Waiting& waiting) {
    const auto assignment = placer_.Place(*waiting.call, *waiting.group);
    if (assignment) {
      decision_.assignments.push_back(*assignment);
    }
    return assignment.has_value();
  }

  void KeepWaiting(const Waiting& waiting) {
    if (++waiting_ > init_.max_queue) {
      Refuse(*waiting.call, Reason::kQueueFull, DrainMs(waiting));
    }
  }

  void Refuse(const CallView& call, Reason reason, double room_ms) {
    const int64_t base = std::max<int64_t>(std::llround(room_ms), kMinRetryMs);
    decision_.rejections.push_back(
        {.ticket = call.ticket,
         .reason = reason,
         .retry_after_ms = SpreadRetryAfterMs(rng_, base)});
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
