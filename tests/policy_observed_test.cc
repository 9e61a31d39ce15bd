#include <gtest/gtest.h>

#include "persimmonring/policy.h"

namespace ring {
namespace {

struct Deployment {
  const char* name = "";
  int64_t prefill_ns = 0;
  int64_t turn_us = 0;
  int64_t round_trip_us = 0;
};

class ObservedTimesTest : public testing::TestWithParam<Deployment> {
 protected:
  ObservedTimes times_;
};

// Guards against placement by the figures of one deployment.
TEST_P(ObservedTimesTest, FiftyRequests_FiguresAreRight) {
  constexpr int kRequests = 50;
  constexpr int64_t kTokens = 650;
  const Deployment& real = GetParam();
  for (int i = 0; i < kRequests; ++i) {
    times_.OnConnected("domain", real.round_trip_us);
    times_.OnFirstToken("engines", real.prefill_ns * kTokens / 1'000, kTokens);
    times_.OnServed("engines", true, real.turn_us);
  }
  const auto near = [](int64_t observed, int64_t expected) {
    EXPECT_GT(observed, expected * 2 / 3);
    EXPECT_LT(observed, expected * 3 / 2);
  };
  near(*times_.RoundTripUs("domain"), real.round_trip_us);
  near(times_.PrefillNsPerToken("engines"), real.prefill_ns);
  near(times_.ServiceUs("engines", true), real.turn_us);
}

INSTANTIATE_TEST_SUITE_P(
    Deployments,
    ObservedTimesTest,
    testing::Values(Deployment{"fast", 4'000, 60'000, 800},
                    Deployment{"usual", 13'000, 220'000, 3'000},
                    Deployment{"slow", 40'000, 2'000'000, 16'000}),
    [](const auto& suite) { return suite.param.name; });

TEST(ObservedTimesDefaults, NothingObserved_DefaultsApply) {
  const ObservedTimes times;
  EXPECT_EQ(times.RoundTripUs("domain"), std::nullopt);
  EXPECT_EQ(times.PrefillNsPerToken("engines"),
            ObservedTimes::kPrefillNsPerToken);
  EXPECT_EQ(times.ServiceUs("engines", true), ObservedTimes::kTurnUs);
  EXPECT_EQ(times.ServiceUs("calls", false), ObservedTimes::kCallUs);
}

// Guards against an upstream with impossible times that spoils placement.
TEST(ObservedTimesBadInput, ImpossibleSample_MovesTheMeanByABoundedStep) {
  ObservedTimes times;
  times.OnServed("calls", false, int64_t{1} << 62);
  EXPECT_LT(times.ServiceUs("calls", false), 2 * ObservedTimes::kCallUs);
  times.OnServed("calls", false, -5);
  times.OnFirstToken("engines", -1, 1'000);
  times.OnFirstToken("engines", 1'000, 0);
  EXPECT_EQ(times.PrefillNsPerToken("engines"),
            ObservedTimes::kPrefillNsPerToken);
}

// Guards against a first sample of 0 ms that fixes the round trip for good.
TEST(ObservedTimesBadInput, FirstRoundTripIsZero_LaterOnesAreLearned) {
  ObservedTimes times;
  times.OnConnected("domain", 0);
  for (int i = 0; i < 50; ++i) {
    times.OnConnected("domain", 16'000);
  }
  EXPECT_GT(*times.RoundTripUs("domain"), 12'000);
}

// Guards against requests that waited in a queue and make prompts look dear.
TEST(ObservedTimesQueue, HalfOfThePromptsWaited_FigureStaysLow) {
  ObservedTimes times;
  for (int i = 0; i < 200; ++i) {
    times.OnFirstToken("engines", i % 2 == 0 ? 10'000 : 100'000, 1'000);
  }
  EXPECT_LT(times.PrefillNsPerToken("engines"), 20'000);
}

}  // namespace
}  // namespace ring
