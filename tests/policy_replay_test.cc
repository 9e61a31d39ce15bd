#include <gtest/gtest.h>

#include "tests/policy_replay.h"

namespace ring {
namespace {

using replay::Replay;
using replay::ReplayInit;
using replay::ReplayResult;

// Returns summed counts and averaged latencies over five seeds.
ReplayResult RunSeeds(const std::string& scenario,
                      const char* policy,
                      double load) {
  constexpr uint64_t kSeeds = 5;
  const auto decisions = CreatePolicy(policy, {});
  ReplayResult sum;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ReplayInit init;
    init.scenario.name = scenario;
    init.scenario.seed = seed;
    init.scenario.duration_ms = 20'000;
    init.engines.engines = 3;
    // Roughly the final size of the prompts of a full batch and of the programs
    // that pause between calls.
    init.cache_tokens = scenario == "zarqa" ? 120'000 : 60'000;
    init.scenario.programs_per_s =
        load * load::CapacityPerSecond(init.scenario, init.engines);
    const ReplayResult result = Replay(init, *decisions).Execute();
    sum.started += result.started;
    sum.in_time += result.in_time;
    sum.p95_ms += result.p95_ms / kSeeds;
    sum.recomputed_tokens += result.recomputed_tokens;
  }
  return sum;
}

class PolicyReplay : public testing::TestWithParam<const char*> {};

// Guards against missing the targets of docs/design.md, section 2, relative to
// the stronger baseline, on simulated engines without noise.
TEST_P(PolicyReplay, AtAndAboveCapacity_MeetsTargetsAgainstLeastInFlight) {
  for (const double load : {1.0, 1.3}) {
    const ReplayResult program = RunSeeds(GetParam(), "program", load);
    const ReplayResult baseline =
        RunSeeds(GetParam(), "fcfs-least-in-flight", load);
    EXPECT_LT(program.p95_ms * 1.5, baseline.p95_ms) << load;
    EXPECT_LT(program.recomputed_tokens * 2, baseline.recomputed_tokens)
        << load;
    EXPECT_GE(program.in_time, baseline.in_time) << load;
  }
}

// Guards against congestion collapse: at twice the capacity, at least 90 % as
// many programs finish in time as at capacity.
TEST_P(PolicyReplay, AtTwiceCapacity_FinishesAsManyInTime) {
  const ReplayResult full = RunSeeds(GetParam(), "program", 1.0);
  const ReplayResult twice = RunSeeds(GetParam(), "program", 2.0);
  EXPECT_GE(static_cast<double>(twice.in_time),
            0.9 * static_cast<double>(full.in_time));
}

// Guards against admission that refuses programs although capacity is free.
TEST_P(PolicyReplay, AtHalfCapacity_FinishesAllInTime) {
  const ReplayResult half = RunSeeds(GetParam(), "program", 0.5);
  EXPECT_EQ(static_cast<size_t>(half.in_time), half.started);
}

INSTANTIATE_TEST_SUITE_P(Scenarios,
                         PolicyReplay,
                         testing::Values("cascade", "zarqa"));

}  // namespace
}  // namespace ring
