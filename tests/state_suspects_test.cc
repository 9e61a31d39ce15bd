#include <gtest/gtest.h>

#include "persimmonring/state.h"

namespace ring {
namespace {

constexpr uint64_t kCrashingRequest = 7;

/// Reports crashes of upstreams 1, 2 and so on, 5 s apart.
class CrashTrackerTest : public testing::Test {
 protected:
  void Crash(const std::set<uint64_t>& digests) {
    now_ms_ += 5'000;
    tracker_.Report({++upstream_, now_ms_, SentAt(now_ms_ - 100, digests)});
  }
  static std::map<uint64_t, int64_t> SentAt(int64_t at_ms,
                                            const std::set<uint64_t>& digests) {
    std::map<uint64_t, int64_t> requests;
    for (const uint64_t digest : digests) {
      requests[digest] = at_ms;
    }
    return requests;
  }

  CrashTracker tracker_;
  uint32_t upstream_ = 0;
  int64_t now_ms_ = 0;
};

// Guards against counting an upstream that restarts and crashes again only
// once.
TEST_F(CrashTrackerTest, SameUpstreamCrashingAgain_CountsEachTime) {
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    tracker_.Report({1, i * 3'000, SentAt(i * 3'000, {kCrashingRequest})});
  }
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), kCrashesToQuarantine);
}

// Guards against counting a crash several times if several entries report it.
TEST_F(CrashTrackerTest, ReportsOfOneCrash_CountOnce) {
  for (int64_t at_ms : {1'000, 1'200, 600, 1'900}) {
    tracker_.Report({1, at_ms, SentAt(0, {kCrashingRequest})});
  }
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), 1);
}

// Guards against refusing harmless requests that were in flight together with
// the one that crashes upstreams.
TEST_F(CrashTrackerTest,
       OtherRequests_AreClearedOnceTheCrashingOneIsQuarantined) {
  Crash({kCrashingRequest, 1, 2});
  Crash({kCrashingRequest, 2, 3});
  EXPECT_EQ(tracker_.crashes(2), 2);
  Crash({kCrashingRequest, 4});
  EXPECT_EQ(tracker_.List(), (std::vector<SuspectedRequest>{
                                 {kCrashingRequest, kCrashesToQuarantine}}));
  // Another entry reports its part of the last crash late.
  tracker_.Report({upstream_, now_ms_ + 300, SentAt(now_ms_, {2, 5})});
  EXPECT_EQ(tracker_.crashes(2), 0);
  EXPECT_EQ(tracker_.crashes(5), 0);
}

// Guards against refusing a frequent request after a power failure of a domain.
TEST_F(CrashTrackerTest, UpstreamsThatHadTheRequestAtOnce_CountOnce) {
  for (uint32_t upstream = 1; upstream <= 5; ++upstream) {
    tracker_.Report({upstream, 1'000 + upstream, SentAt(900, {1})});
  }
  EXPECT_EQ(tracker_.crashes(1), 1);
  // Resent after the first crash.
  tracker_.Report({6, 1'100, SentAt(1'010, {1})});
  EXPECT_EQ(tracker_.crashes(1), 2);
}

// Guards against a wrong count if reports arrive in another order than the
// crashes.
TEST_F(CrashTrackerTest, ReportsOutOfOrder_CountAsInOrder) {
  tracker_.Report({3, 3'000, SentAt(2'500, {kCrashingRequest})});
  tracker_.Report({1, 1'000, SentAt(500, {kCrashingRequest})});
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), 2);
  tracker_.Report({2, 2'000, SentAt(1'500, {kCrashingRequest})});
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), kCrashesToQuarantine);
}

TEST_F(CrashTrackerTest, SuccessOfARequest_ClearsIt) {
  Crash({kCrashingRequest});
  Crash({kCrashingRequest});
  EXPECT_TRUE(tracker_.Clear(kCrashingRequest));
  Crash({kCrashingRequest});
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), 1);
  EXPECT_FALSE(tracker_.Clear(99));
}

// Guards against ignoring reports of a crash once one of its requests has been
// answered.
TEST_F(CrashTrackerTest, CrashWhoseRequestsWereAnswered_StillAcceptsReports) {
  Crash({1});
  tracker_.Clear(1);
  tracker_.Report(
      {upstream_, now_ms_ + 100, SentAt(now_ms_, {kCrashingRequest})});
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), 1);
}

// Guards against delaying the Raft group while a whole domain crashes.
TEST_F(CrashTrackerTest, ManyRequestsOfManyCrashes_AreListedInTime) {
  constexpr uint64_t kRequests = 60;
  for (uint64_t i = 0; i < 256; ++i) {
    std::set<uint64_t> digests;
    for (uint64_t j = 0; j < kRequests; ++j) {
      digests.insert(100 + i * kRequests + j);
    }
    Crash(digests);
  }
  const int64_t start_ms = SystemClock().NowMs();
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(tracker_.List().empty());
  }
  // Each call must take less than 50 ms, so that elections are not delayed.
  EXPECT_LT(SystemClock().NowMs() - start_ms, 10 * 50);
}

// Guards against memory that grows with every crash, and against forgetting a
// quarantined request because of later crashes.
TEST_F(CrashTrackerTest, ManyCrashes_AreBoundedAndKeepQuarantines) {
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    Crash({kCrashingRequest});
  }
  constexpr uint64_t kCrashes = 5'000;
  for (uint64_t i = 0; i < kCrashes; ++i) {
    Crash({100 + i, 100 + i + kCrashes});
  }
  EXPECT_LE(tracker_.recent().size(), 1'000u);
  EXPECT_EQ(tracker_.crashes(100 + kCrashes - 1), 1);
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), kCrashesToQuarantine);
}

// Guards against suspicions that never expire, and against running a
// quarantined request again after a few minutes.
TEST_F(CrashTrackerTest, OldCrashes_ExpireBeforeQuarantines) {
  constexpr int64_t kMinuteMs = 60'000;
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    Crash({kCrashingRequest});
  }
  Crash({1});
  tracker_.Expire(now_ms_ + 5 * kMinuteMs);
  EXPECT_EQ(tracker_.crashes(1), 1);
  tracker_.Expire(now_ms_ + 15 * kMinuteMs);
  EXPECT_EQ(tracker_.crashes(1), 0);
  EXPECT_EQ(tracker_.crashes(kCrashingRequest), kCrashesToQuarantine);
  tracker_.Expire(now_ms_ + 120 * kMinuteMs);
  EXPECT_TRUE(tracker_.empty());
}

}  // namespace
}  // namespace ring
