#include "gateway_suspects_p.h"

#include <gtest/gtest.h>

namespace ring {
namespace {

constexpr uint64_t kCrashingDigest = 7;

/// Records crashes in the table of an entry, five seconds apart.
class SuspectTableTest : public testing::Test {
 protected:
  void Crash(uint64_t digest) {
    now_ms_ += 5'000;
    table_.OnCrash({++upstream_, now_ms_, {{digest, now_ms_ - 100}}});
  }

  SuspectTable table_;
  uint32_t upstream_ = 0;
  int64_t now_ms_ = 0;
};

// Guards against ignoring an entry's own crashes while it has no connection to
// keepers.
TEST_F(SuspectTableTest, OwnCrashes_CountWithoutAList) {
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    Crash(kCrashingDigest);
  }
  EXPECT_EQ(table_.crashes(kCrashingDigest), kCrashesToQuarantine);
}

// Guards against a lagging keeper that lifts a quarantine.
TEST_F(SuspectTableTest, OlderList_IsIgnored) {
  table_.ApplyList(5, {{kCrashingDigest, kCrashesToQuarantine}});
  EXPECT_TRUE(table_.ApplyList(4, {}).empty());
  EXPECT_EQ(table_.crashes(kCrashingDigest), kCrashesToQuarantine);
  table_.ApplyList(6, {});
  EXPECT_EQ(table_.crashes(kCrashingDigest), 0);
}

// Guards against counting a crash twice, at this entry and in the list.
TEST_F(SuspectTableTest, CrashThatIsAlsoListed_CountsOnce) {
  Crash(kCrashingDigest);
  Crash(kCrashingDigest);
  const auto changed = table_.ApplyList(1, {{kCrashingDigest, 2}});
  EXPECT_EQ(changed, (std::vector<SuspectedRequest>{{kCrashingDigest, 2}}));
  EXPECT_EQ(table_.crashes(kCrashingDigest), 2);
  EXPECT_TRUE(table_.ApplyList(2, {{kCrashingDigest, 2}}).empty());
}

// Guards against refusing a request that other entries have served
// successfully.
TEST_F(SuspectTableTest, RequestRemovedFromList_IsCleared) {
  for (int i = 0; i < kCrashesToQuarantine; ++i) {
    Crash(kCrashingDigest);
  }
  table_.ApplyList(1, {{kCrashingDigest, kCrashesToQuarantine}});
  table_.ApplyList(2, {});
  EXPECT_EQ(table_.crashes(kCrashingDigest), 0);
}

// Guards against repeating a request before the cause of the lost connection is
// known.
TEST_F(SuspectTableTest, CrashThatIsNotConfirmed_CountsBesideTheList) {
  table_.ApplyList(1, {{kCrashingDigest, 2}});
  EXPECT_EQ(table_.crashes(kCrashingDigest,
                           {{9, now_ms_, {{kCrashingDigest, now_ms_}}}}),
            kCrashesToQuarantine);
  EXPECT_EQ(table_.crashes(kCrashingDigest, {{9, now_ms_, {{1, now_ms_}}}}), 2);
}

// Guards against taking a repeat for a copy that was sent before the crash.
TEST_F(SuspectTableTest, RequestSentAfterItsCrash_IsARepeat) {
  Crash(kCrashingDigest);
  EXPECT_FALSE(table_.IsRepeat(kCrashingDigest, now_ms_ - 1));
  EXPECT_TRUE(table_.IsRepeat(kCrashingDigest, now_ms_));
  EXPECT_FALSE(table_.IsRepeat(1, now_ms_));
  table_.OnSuccess(kCrashingDigest, now_ms_);
  EXPECT_FALSE(table_.IsRepeat(kCrashingDigest, now_ms_));
}

TEST_F(SuspectTableTest, Success_IsReportedIfKeepersSuspectTheRequest) {
  EXPECT_FALSE(table_.OnSuccess(kCrashingDigest, now_ms_));
  table_.ApplyList(1, {{kCrashingDigest, 2}});
  EXPECT_TRUE(table_.OnSuccess(kCrashingDigest, now_ms_));
}

// Guards against memory use that grows with every answer.
TEST_F(SuspectTableTest, Answers_AreRememberedForAWhile) {
  constexpr uint64_t kAnswers = 10'000;
  for (uint64_t i = 0; i < kAnswers; ++i) {
    table_.OnSuccess(i, now_ms_);
  }
  EXPECT_FALSE(table_.AnsweredLately(0, now_ms_));
  EXPECT_TRUE(table_.AnsweredLately(kAnswers - 1, now_ms_));
  EXPECT_FALSE(table_.AnsweredLately(kAnswers - 1, now_ms_ + 60'000));
}

}  // namespace
}  // namespace ring
