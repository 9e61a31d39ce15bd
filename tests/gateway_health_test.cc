#include <gtest/gtest.h>

#include "gateway_health_p.h"
#include "persimmonring/gateway.h"

namespace ring {
namespace {

// Guards against suspecting an upstream forever, or not at all.
TEST(UpstreamHealth, ConsecutiveFailures_SuspicionGrowsAndEnds) {
  UpstreamHealth health;
  const int64_t now_ms = 1'000;
  const int64_t first = health.OnFailure("i", now_ms);
  EXPECT_TRUE(health.IsSuspected("i", now_ms));
  EXPECT_FALSE(health.IsSuspected("i", now_ms + first));
  const int64_t second = health.OnFailure("i", now_ms);
  EXPECT_EQ(second, 2 * first);
  for (int i = 0; i < 10; ++i) {
    health.OnFailure("i", now_ms);
  }
  EXPECT_EQ(health.OnFailure("i", now_ms), 4'000);
  health.OnSuccess("i");
  EXPECT_FALSE(health.IsSuspected("i", now_ms));
  EXPECT_EQ(health.OnFailure("i", now_ms), first);
}

// Guards against an upstream that fails part of its requests, but passes its
// health check, and still gets a full share of the load. Simulates 2,000
// requests to eight upstreams, one of which fails 40 %, and counts the
// failures.
TEST(UpstreamHealth, OneOfEightFailsPartly_FewRequestsReachIt) {
  constexpr int kUpstreams = 8;
  constexpr int kRequests = 2'000;
  constexpr int64_t kBetweenMs = 20;
  UpstreamHealth health;
  Rng rng(7);
  int failures = 0;
  int64_t now_ms = 0;
  for (int i = 0; i < kRequests; ++i, now_ms += kBetweenMs) {
    PlacementInput input;
    input.random = rng();
    for (int u = 0; u < kUpstreams; ++u) {
      PlacementCandidate candidate;
      candidate.instance = std::to_string(u);
      candidate.same_domain = true;
      candidate.same_region = true;
      candidate.slots = 6;
      candidate.suspected = health.IsSuspected(candidate.instance, now_ms);
      candidate.failure_percent = health.FailurePercent(candidate.instance);
      input.candidates.push_back(candidate);
    }
    const std::string chosen = input.candidates[*PlaceRequest(input)].instance;
    if (chosen == "0" && UniformInt(rng, 1, 100) <= 40) {
      ++failures;
      health.OnFailure(chosen, now_ms);
    } else {
      health.OnSuccess(chosen);
    }
  }
  // With an even share, 100 requests would fail.
  EXPECT_LT(failures, 25);
}

}  // namespace
}  // namespace ring
