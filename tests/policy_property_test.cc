#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "persimmonring/policy.h"

namespace ring {
namespace {

template <typename T>
T InRange(T low, T high) {
  return *rc::gen::inRange<T>(low, high);
}

UpstreamView AnyUpstream(uint16_t index) {
  UpstreamView view{.handle = {index}};
  view.accepts_work = InRange(0, 4) > 0;
  view.isolated = InRange(0, 5) == 0;
  view.link = static_cast<LinkClass>(InRange(0, 3));
  view.limit = InRange(0, 6);
  view.own_in_flight = InRange(0, 6);
  view.other_in_flight = InRange(0, 3);
  view.pending_prefill_tokens = InRange(0, 10'000);
  view.pending_decode_tokens = InRange(0, 10'000);
  view.cache_capacity_tokens = InRange(0, 50'000);
  view.cache_used_tokens = InRange(0, 50'000);
  view.prefill_tokens_per_ms = InRange(0, 20);
  view.decode_ms_per_token = InRange(0, 50);
  view.decode_slope_ms = InRange(0, 5);
  return view;
}

CallView AnyCall(uint64_t ticket, uint16_t upstreams) {
  CallView call{.ticket = ticket, .program = ticket, .root = ticket};
  call.first_call = InRange(0, 3) == 0;
  call.sub_agent = InRange(0, 3) == 0;
  call.suspect = InRange(0, 6) == 0;
  call.arrival_ms = InRange(0, 10'000);
  call.deadline_ms = InRange(0, 60'000);
  call.used_upstream_ms = InRange(0, 10'000);
  call.prompt_tokens = InRange(0, 20'000);
  call.expected_output_tokens = InRange(0, 500);
  call.expected_remaining_calls = InRange(0, 30);
  for (uint16_t i = 0; i < upstreams; ++i) {
    if (InRange(0, 2) == 0) {
      call.candidates.push_back({i});
    }
    if (InRange(0, 4) == 0) {
      call.cached.push_back({{i}, InRange(0, 30'000)});
    }
    if (InRange(0, 5) == 0) {
      call.failed.push_back({i});
    }
  }
  return call;
}

PolicyInput AnyInput() {
  PolicyInput input{.now_ms = 10'000, .seed = InRange<uint64_t>(0, 1'000)};
  const auto upstreams = InRange<uint16_t>(0, 6);
  const auto calls = InRange<size_t>(0, 20);
  for (uint16_t i = 0; i < upstreams; ++i) {
    input.upstreams.push_back(AnyUpstream(i));
  }
  for (size_t i = 0; i < calls; ++i) {
    input.queue.push_back(AnyCall(i + 1, upstreams));
  }
  return input;
}

const CallView& CallOf(const PolicyInput& input, uint64_t ticket) {
  return input.queue.at(ticket - 1);
}

class PolicyProperty : public testing::TestWithParam<const char*> {
 protected:
  // Checks a property of the decision on random inputs.
  template <typename Property>
  void Check(Property property) {
    const auto policy = CreatePolicy(GetParam(), {.max_queue = 5});
    EXPECT_TRUE(rc::check([&] {
      const PolicyInput input = AnyInput();
      property(*policy, input, policy->Decide(input));
    }));
  }
};

// Guards against more requests in flight on an upstream than its limit.
TEST_P(PolicyProperty, AnyInput_NeverExceedsLimit) {
  Check([](const PolicyI&, const PolicyInput& input, const Decision& decision) {
    std::map<UpstreamHandle, int32_t> added;
    for (const Assignment& assignment : decision.assignments) {
      const UpstreamView& view = input.upstreams.at(assignment.upstream.index);
      RC_ASSERT(view.own_in_flight + ++added[assignment.upstream] <=
                view.limit);
    }
  });
}

// Guards against new calls on an upstream that is leaving, and on an isolated
// one against calls that are not suspects.
TEST_P(PolicyProperty, AnyInput_NeverAssignsToLeavingOrIsolated) {
  Check([](const PolicyI&, const PolicyInput& input, const Decision& decision) {
    for (const Assignment& assignment : decision.assignments) {
      const UpstreamView& view = input.upstreams.at(assignment.upstream.index);
      RC_ASSERT(view.accepts_work);
      RC_ASSERT(!view.isolated || CallOf(input, assignment.ticket).suspect);
    }
  });
}

// Guards against a suspect that crashes an upstream and so fails other
// requests.
TEST_P(PolicyProperty, AnyInput_SuspectRunsAlone) {
  Check([](const PolicyI&, const PolicyInput& input, const Decision& decision) {
    std::map<UpstreamHandle, int32_t> assigned;
    for (const Assignment& assignment : decision.assignments) {
      ++assigned[assignment.upstream];
    }
    for (const Assignment& assignment : decision.assignments) {
      if (CallOf(input, assignment.ticket).suspect) {
        const UpstreamView& view =
            input.upstreams.at(assignment.upstream.index);
        RC_ASSERT(view.own_in_flight + view.other_in_flight == 0);
        RC_ASSERT(assigned[assignment.upstream] == 1);
      }
    }
  });
}

// Guards against a request that is sent twice, or both sent and refused.
TEST_P(PolicyProperty, AnyInput_NamesEachTicketAtMostOnce) {
  Check([](const PolicyI&, const PolicyInput& input, const Decision& decision) {
    std::set<uint64_t> tickets;
    for (const Assignment& assignment : decision.assignments) {
      RC_ASSERT(tickets.insert(assignment.ticket).second);
      const auto& candidates = CallOf(input, assignment.ticket).candidates;
      RC_ASSERT(std::count(candidates.begin(), candidates.end(),
                           assignment.upstream) == 1);
    }
    for (const PolicyRefusal& refusal : decision.refusals) {
      RC_ASSERT(tickets.insert(refusal.ticket).second);
      RC_ASSERT(refusal.reason != Reason::kNone);
      RC_ASSERT(refusal.retry_after_ms > 0);
    }
    RC_ASSERT(input.queue.size() - tickets.size() <= 5);
  });
}

// Guards against decisions that cannot be replayed.
TEST_P(PolicyProperty, EqualInputs_GiveEqualDecisions) {
  Check([](const PolicyI& policy, const PolicyInput& input,
           const Decision& decision) {
    // A decision in between reveals state kept from one decision to the next.
    policy.Decide({.now_ms = 1, .seed = 2, .queue = {}, .upstreams = {}});
    RC_ASSERT(policy.Decide(input) == decision);
  });
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         PolicyProperty,
                         testing::Values("program",
                                         "fcfs-round-robin",
                                         "fcfs-least-in-flight"),
                         [](const auto& row) {
                           std::string name = row.param;
                           std::erase(name, '-');
                           return name;
                         });

}  // namespace
}  // namespace ring
