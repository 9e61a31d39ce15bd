#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "persimmonring/policy.h"

namespace ring {
namespace {

// ------------------------------------------------------------- retry policy

struct RetryRow {
  const char* guards_against;
  AttemptFailure failure;
  RetryAction verdict;
};

const RetryRow kRetryRows[] = {
    {"an idempotent call that is not retried after a timeout",
     {.reason = Reason::kUpstreamTimeout},
     RetryAction::kRetry},
    {"a suspect whose retry shares an upstream with other calls",
     {.reason = Reason::kUpstreamReset},
     RetryAction::kRetryAlone},
    {"a request that did not run and is retried like a crash suspect",
     {.reason = Reason::kUpstreamReset, .run_state = RunState::kNotRun},
     RetryAction::kRetry},
    {"a non-idempotent call that runs twice",
     {.reason = Reason::kUpstreamReset, .idempotent = false},
     RetryAction::kGiveUp},
    {"a non-idempotent call that did not run and is not retried",
     {.reason = Reason::kUpstreamRefused,
      .run_state = RunState::kNotRun,
      .idempotent = false},
     RetryAction::kRetry},
    {"a call that ran and is retried",
     {.reason = Reason::kUpstreamError, .run_state = RunState::kRan},
     RetryAction::kGiveUp},
    {"a retry after the deadline",
     {.reason = Reason::kUpstreamRefused,
      .run_state = RunState::kNotRun,
      .now_ms = 500,
      .deadline_ms = 500},
     RetryAction::kGiveUp},
    {"a call with more attempts than allowed",
     {.reason = Reason::kUpstreamRefused,
      .run_state = RunState::kNotRun,
      .attempts = 3},
     RetryAction::kGiveUp},
};

TEST(RetryPolicy, TableOfFailures_MatchesEachRow) {
  for (const RetryRow& row : kRetryRows) {
    const auto policy = CreateRetryPolicy({});
    EXPECT_EQ(policy->OnFailure(row.failure), row.verdict)
        << "guards against: " << row.guards_against;
  }
}

// Guards against retries that multiply the load of an outage.
TEST(RetryPolicy, AllCallsFail_RetriesStayWithinShareOfCalls) {
  const auto policy = CreateRetryPolicy({.budget_share = 0.1});
  int32_t retries = 0;
  for (int32_t i = 0; i < 1'000; ++i) {
    policy->OnCall(5'000);
    retries += policy->OnFailure({.reason = Reason::kUpstreamTimeout,
                                  .now_ms = 5'000}) != RetryAction::kGiveUp;
  }
  EXPECT_GE(retries, 100);
  EXPECT_LE(retries, 101);
}

// ------------------------------------------------------------- shared limit

constexpr CreditPoolInit kPool{.limit = 16, .floor = 2, .expected_entries = 4};

// Guards against more load on an upstream than its limit plus the floor of each
// entry, in any order of events.
TEST(CreditPool, AnyEvents_LoadStaysWithinLimitPlusFloors) {
  EXPECT_TRUE(rc::check([] {
    CreditPool pool(kPool);
    std::vector<CreditLease> entries(4, CreditLease(kPool));
    int64_t now_ms = 0;
    const auto events = *rc::gen::inRange(0, 100);
    for (int i = 0; i < events; ++i) {
      const auto index = *rc::gen::inRange<size_t>(0, entries.size());
      const std::string name = std::to_string(index);
      now_ms += *rc::gen::inRange(0, 2'000);
      if (*rc::gen::inRange(0, 4) > 0) {
        const int64_t delay_ms = *rc::gen::inRange(0, 500);
        entries[index].OnGrant(
            pool.Request(name, *rc::gen::inRange(0, 30), now_ms + delay_ms),
            now_ms);
        now_ms += delay_ms;
      } else if (*rc::gen::inRange(0, 2) == 0) {
        pool.Release(name);
        entries[index] = CreditLease(kPool);
      }
      int32_t load = 0;
      for (const CreditLease& entry : entries) {
        load += entry.LimitAt(now_ms);
      }
      RC_ASSERT(pool.granted() <= kPool.limit);
      RC_ASSERT(load <= kPool.limit + kPool.floor * kPool.expected_entries);
    }
  }));
}

// Guards against one busy entry that deprives the others of their share.
TEST(CreditPool, SecondEntryAppears_SharesBecomeEqual) {
  CreditPool pool({.limit = 16, .floor = 1, .expected_entries = 2});
  EXPECT_EQ(pool.Request("a", 30, 0), 15);
  EXPECT_EQ(pool.Request("b", 30, 10), 1);
  EXPECT_EQ(pool.Request("a", 30, 20), 8);
  EXPECT_EQ(pool.Request("b", 30, 30), 8);
  EXPECT_EQ(pool.Request("a", 2, 40), 2);
  EXPECT_EQ(pool.Request("b", 30, 50), 14);
}

// Guards against credits that stay with an entry that has failed.
TEST(CreditPool, HolderSilent_CreditsReturnAfterLease) {
  CreditPool pool({.limit = 8, .lease_ms = 1'000});
  pool.Request("a", 8, 0);
  EXPECT_EQ(pool.Expire(999), 0);
  EXPECT_EQ(pool.Expire(1'000), 8);
  EXPECT_EQ(pool.holders(), 0u);
}

// Compares leases with two simpler ways to share a limit of 16 among four
// entries with uneven demand. Guards against leases that use less of the
// upstream than a fixed quarter for each entry would, or exceed the limit as
// the whole limit for each entry would.
TEST(CreditPool, UnevenDemand_UsesMoreThanFixedParts) {
  const std::vector<int32_t> demand = {14, 1, 1, 1};
  CreditPool pool({.limit = 16, .floor = 1, .expected_entries = 4});
  int32_t leased = 0;
  int32_t fixed_parts = 0;
  int32_t whole_limits = 0;
  for (int round = 0; round < 2; ++round) {
    leased = fixed_parts = whole_limits = 0;
    for (size_t i = 0; i < demand.size(); ++i) {
      leased += std::min(demand[i],
                         pool.Request(std::to_string(i), demand[i], round));
      fixed_parts += std::min(demand[i], 4);
      whole_limits += std::min(demand[i], 16);
    }
  }
  EXPECT_EQ(fixed_parts, 7);
  EXPECT_EQ(whole_limits, 17);
  EXPECT_EQ(leased, 16);
}

// ------------------------------------------------------------- suspects

const UpstreamId kFirst{"engine-1", 1};
const UpstreamId kSecond{"engine-2", 1};

// Guards against a request that crashes more than two upstreams before it is
// identified, and against identifying a request that was in flight with it.
TEST(SuspectTracker, CrashingRequestAmongOthers_IsIdentifiedBySecondCrash) {
  SuspectTracker tracker({});
  for (const char* digest : {"good", "killer", "other"}) {
    EXPECT_TRUE(tracker.OnStart(kFirst, digest, 0));
  }
  const auto first = tracker.OnCrash(kFirst, 10);
  EXPECT_EQ(first.suspects,
            (std::vector<std::string>{"good", "killer", "other"}));
  EXPECT_EQ(first.identified, "");
  tracker.OnStart(kSecond, "good", 20);
  tracker.OnEnd(kSecond, "good", true);
  EXPECT_FALSE(tracker.IsSuspect("good", 30));
  tracker.OnStart(kSecond, "killer", 30);
  const auto second = tracker.OnCrash(kSecond, 40);
  EXPECT_EQ(second.identified, "killer");
  EXPECT_EQ(second.crashes, 2);
  EXPECT_EQ(tracker.CrashesOf("other"), 1);
}

// Guards against counting one crash twice and so identifying a request too
// soon. Several attempts on an upstream may report the same crash.
TEST(SuspectTracker, CrashReportedTwice_CountsOnce) {
  SuspectTracker tracker({});
  tracker.OnStart(kFirst, "alone", 0);
  tracker.OnCrash(kFirst, 10);
  EXPECT_TRUE(tracker.OnCrash(kFirst, 11).suspects.empty());
  EXPECT_EQ(tracker.CrashesOf("alone"), 1);
}

// Guards against unbounded memory and against suspicions that never expire.
TEST(SuspectTracker, ManyRequests_StaysBounded) {
  SuspectTracker tracker(
      {.max_in_flight = 4, .max_suspects = 3, .suspect_ms = 100});
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(tracker.OnStart(kFirst, std::to_string(i), 0), i < 4);
  }
  tracker.OnCrash(kFirst, 10);
  EXPECT_EQ(tracker.suspects(), 3u);
  EXPECT_EQ(tracker.in_flight(), 0u);
  EXPECT_FALSE(tracker.IsSuspect("3", 110));
  tracker.Expire(110);
  EXPECT_EQ(tracker.suspects(), 0u);
}

// Guards against a looping program that is stopped only by its turn limit, and
// against stopping a program that repeats a call occasionally.
TEST(LoopDetector, EqualCalls_AreReportedOnlyWithinWindow) {
  LoopDetector detector(4, 3);
  EXPECT_FALSE(detector.OnCall("a"));
  EXPECT_FALSE(detector.OnCall("a"));
  EXPECT_TRUE(detector.OnCall("a"));
  for (const char* digest : {"b", "c", "a", "d", "e", "a"}) {
    EXPECT_FALSE(detector.OnCall(digest));
  }
}

}  // namespace
}  // namespace ring
