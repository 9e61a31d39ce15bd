#include <gtest/gtest.h>

#include "persimmonring/policy.h"

namespace ring {
namespace {

class RequestPacerTest : public testing::Test {
 protected:
  /// Sends whenever the pacer permits it.
  /// @returns requests sent within the time
  static int SendFor(RequestPacer& pacer, int64_t from_ms, int64_t span_ms) {
    int sent = 0;
    for (int64_t now_ms = from_ms; now_ms < from_ms + span_ms; ++now_ms) {
      while (pacer.WaitMs(now_ms) == 0) {
        pacer.Take(now_ms);
        ++sent;
      }
    }
    return sent;
  }
};

TEST_F(RequestPacerTest, ConstantDemand_KeepsTheRateAndAShortBurst) {
  RequestPacer pacer;
  pacer.SetLimit(5'200, 1, 0);
  const int sent = SendFor(pacer, 0, 4'000);
  EXPECT_GE(sent, 20);
  EXPECT_LE(sent, 24);
  EXPECT_NEAR(SendFor(pacer, 4'000, 10'000), 52, 1);
}

TEST_F(RequestPacerTest, UnusedTime_GivesNoLongBurst) {
  RequestPacer pacer;
  pacer.SetLimit(8'000, 1, 0);
  SendFor(pacer, 0, 1'000);
  EXPECT_LE(SendFor(pacer, 60'000, 1), 5);
}

// An upstream without requests could not end its limit.
TEST_F(RequestPacerTest, LimitOfZero_LetsRareRequestsPass) {
  RequestPacer pacer;
  pacer.SetLimit(0, 1, 0);
  EXPECT_NEAR(SendFor(pacer, 0, 40'000), 10, 1);
}

TEST_F(RequestPacerTest, SharesOfAllUsers_KeepTheLimitTogether) {
  constexpr int kUsers = 80;
  int sent = 0;
  for (int i = 0; i < kUsers; ++i) {
    RequestPacer pacer;
    pacer.SetLimit(5'000, kUsers, 0);
    pacer.Shift(static_cast<double>(i) / kUsers, 0);
    sent += SendFor(pacer, 0, 4'000);
  }
  EXPECT_LE(sent, 25);
  EXPECT_GE(sent, 18);
}

TEST_F(RequestPacerTest, ClockSetBackOrForward_NeitherStopsNorBursts) {
  RequestPacer pacer;
  pacer.SetLimit(5'000, 1, 100'000);
  SendFor(pacer, 100'000, 2'000);
  EXPECT_LE(pacer.WaitMs(97'000), 200);
  EXPECT_NEAR(SendFor(pacer, 97'000, 2'000), 10, 2);
  EXPECT_LE(SendFor(pacer, 105'000, 1), 4);
}

// Guards against an upstream that gets nothing for long after it has lowered
// its limit.
TEST_F(RequestPacerTest, LimitIsLowered_RequestsGoOnPassing) {
  RequestPacer pacer;
  pacer.SetLimit(10'000, 1, 0);
  for (int i = 0; i < 20; ++i) {
    pacer.Take(0);
  }
  pacer.SetLimit(1'000, 1, 0);
  EXPECT_LE(pacer.WaitMs(0), 2'000);
}

TEST_F(RequestPacerTest, LimitThatChangesWithEachRequest_KeepsItsMean) {
  RequestPacer pacer;
  int sent = 0;
  for (int64_t now_ms = 0; now_ms < 10'000; ++now_ms) {
    pacer.SetLimit(now_ms % 2 == 0 ? 4'000 : 8'000, 1, now_ms);
    if (pacer.WaitMs(now_ms) == 0) {
      pacer.Take(now_ms);
      ++sent;
    }
  }
  EXPECT_GE(sent, 38);
  EXPECT_LE(sent, 85);
}

}  // namespace
}  // namespace ring
