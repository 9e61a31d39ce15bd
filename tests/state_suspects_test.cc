#include <gtest/gtest.h>

#include "persimmonring/state.h"

namespace ring {
namespace {

constexpr uint64_t kKiller = 7;

/// Reports crashes of upstreams 1, 2 and so on, 5 s apart.
class SuspectBoardTest : public testing::Test {
 protected:
  void Crash(const std::set<uint64_t>& digests) {
    now_ms_ += 5'000;
    board_.Report({++upstream_, now_ms_, SentAt(now_ms_ - 100, digests)});
  }
  static std::map<uint64_t, int64_t> SentAt(int64_t at_ms,
                                            const std::set<uint64_t>& digests) {
    std::map<uint64_t, int64_t> requests;
    for (const uint64_t digest : digests) {
      requests[digest] = at_ms;
    }
    return requests;
  }

  SuspectBoard board_;
  uint32_t upstream_ = 0;
  int64_t now_ms_ = 0;
};

// Guards against counting an upstream that restarts and crashes again only
// once.
TEST_F(SuspectBoardTest, SameUpstreamCrashingAgain_CountsEachTime) {
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    board_.Report({1, i * 3'000, SentAt(i * 3'000, {kKiller})});
  }
  EXPECT_EQ(board_.crashes(kKiller), kCrashesToQuarantine);
}

// Guards against counting a crash several times if several entries report it.
TEST_F(SuspectBoardTest, ReportsOfOneCrash_CountOnce) {
  for (int64_t at_ms : {1'000, 1'200, 600, 1'900}) {
    board_.Report({1, at_ms, SentAt(0, {kKiller})});
  }
  EXPECT_EQ(board_.crashes(kKiller), 1);
}

// Guards against refusing harmless requests that were in flight together with
// the one that crashes upstreams.
TEST_F(SuspectBoardTest, NeighboursOfTheKiller_AreRelievedOnceItIsKnown) {
  Crash({kKiller, 1, 2});
  Crash({kKiller, 2, 3});
  EXPECT_EQ(board_.crashes(2), 2);
  Crash({kKiller, 4});
  EXPECT_EQ(board_.List(),
            (std::vector<SuspectedRequest>{{kKiller, kCrashesToQuarantine}}));
  // Another entry reports its part of the last crash late.
  board_.Report({upstream_, now_ms_ + 300, SentAt(now_ms_, {2, 5})});
  EXPECT_EQ(board_.crashes(2), 0);
  EXPECT_EQ(board_.crashes(5), 0);
}

// Guards against refusing a frequent request after a power failure of a domain.
TEST_F(SuspectBoardTest, UpstreamsThatHadTheRequestAtOnce_CountOnce) {
  for (uint32_t upstream = 1; upstream <= 5; ++upstream) {
    board_.Report({upstream, 1'000 + upstream, SentAt(900, {1})});
  }
  EXPECT_EQ(board_.crashes(1), 1);
  // Resent after the first crash.
  board_.Report({6, 1'100, SentAt(1'010, {1})});
  EXPECT_EQ(board_.crashes(1), 2);
}

// Guards against a wrong count if reports arrive in another order than the
// crashes.
TEST_F(SuspectBoardTest, ReportsOutOfOrder_CountAsInOrder) {
  board_.Report({3, 3'000, SentAt(2'500, {kKiller})});
  board_.Report({1, 1'000, SentAt(500, {kKiller})});
  EXPECT_EQ(board_.crashes(kKiller), 2);
  board_.Report({2, 2'000, SentAt(1'500, {kKiller})});
  EXPECT_EQ(board_.crashes(kKiller), kCrashesToQuarantine);
}

TEST_F(SuspectBoardTest, SuccessOfARequest_ClearsIt) {
  Crash({kKiller});
  Crash({kKiller});
  EXPECT_TRUE(board_.Clear(kKiller));
  Crash({kKiller});
  EXPECT_EQ(board_.crashes(kKiller), 1);
  EXPECT_FALSE(board_.Clear(99));
}

// Guards against ignoring reports of a crash once one of its requests has been
// answered.
TEST_F(SuspectBoardTest, CrashWhoseRequestsWereAnswered_StillTakesReports) {
  Crash({1});
  board_.Clear(1);
  board_.Report({upstream_, now_ms_ + 100, SentAt(now_ms_, {kKiller})});
  EXPECT_EQ(board_.crashes(kKiller), 1);
}

// Guards against delaying the log group while a whole domain crashes.
TEST_F(SuspectBoardTest, ManyRequestsOfManyCrashes_AreListedInTime) {
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
    EXPECT_TRUE(board_.List().empty());
  }
  // Each call must take less than 50 ms, so that elections are not delayed.
  EXPECT_LT(SystemClock().NowMs() - start_ms, 10 * 50);
}

// Guards against memory that grows with every crash, and against forgetting a
// quarantined request because of later crashes.
TEST_F(SuspectBoardTest, ManyCrashes_AreBoundedAndKeepWhatIsQuarantined) {
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    Crash({kKiller});
  }
  constexpr uint64_t kCrashes = 5'000;
  for (uint64_t i = 0; i < kCrashes; ++i) {
    Crash({100 + i, 100 + i + kCrashes});
  }
  EXPECT_LE(board_.recent().size(), 1'000u);
  EXPECT_EQ(board_.crashes(100 + kCrashes - 1), 1);
  EXPECT_EQ(board_.crashes(kKiller), kCrashesToQuarantine);
}

// Guards against suspicions that never expire, and against running a
// quarantined request again after a few minutes.
TEST_F(SuspectBoardTest, CrashesOfLongAgo_AreForgottenLaterIfQuarantined) {
  constexpr int64_t kMinuteMs = 60'000;
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    Crash({kKiller});
  }
  Crash({1});
  board_.Expire(now_ms_ + 5 * kMinuteMs);
  EXPECT_EQ(board_.crashes(1), 1);
  board_.Expire(now_ms_ + 15 * kMinuteMs);
  EXPECT_EQ(board_.crashes(1), 0);
  EXPECT_EQ(board_.crashes(kKiller), kCrashesToQuarantine);
  board_.Expire(now_ms_ + 120 * kMinuteMs);
  EXPECT_TRUE(board_.empty());
}

}  // namespace
}  // namespace ring
