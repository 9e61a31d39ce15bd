#include <thread>

#include <gtest/gtest.h>

#include "fakes/entry_fixture.h"

namespace ring {
namespace {

constexpr size_t kThreads = 16;  // Upper bound of the threads of a test.

using Kind = EngineFault::Kind;

class EntryCrash : public ::testing::Test {
 protected:
  EntryCrash() {
    ring_.SetEngine("engine-2", 1, {"m"});
    ring_.SetEngine("engine-3", 1, {"m"});
  }

  FakeBackends ring_;
  TestEntry entry_{ring_, TestEntry::DefaultInit("entry-1")};
  Caller caller_{entry_};
};

// Guards against a request that crashes every engine it is retried on, and
// against the loss of other requests that were in flight on those engines.
TEST_F(EntryCrash, CrashingRequest_IsQuarantinedAndOthersFinish) {
  std::atomic<int> poison_attempts{0};
  ring_.upstreams.token_delay_ms = 5;
  ring_.upstreams.OnAttempt([&](const auto&, const auto& request) {
    if (request.messages.find("poison") == std::string::npos) {
      return EngineFault{};
    }
    ++poison_attempts;
    return EngineFault{Kind::kCrash};
  });
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  std::atomic<int> finished{0};
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&, i] {
      Caller caller(entry_);
      const auto answer =
          caller.Ask(caller.Open(), 1, "innocent " + std::to_string(i));
      finished += answer.status == 200 ? 1 : 0;
    });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(15));
  const auto poisoned = caller_.Ask(caller_.Open(), 1, "poison");
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(poisoned.reason(), "quarantined") << poisoned.body;
  EXPECT_EQ(poisoned.run_state(), "unknown");
  EXPECT_EQ(finished.load(), 8);
  EXPECT_EQ(poison_attempts.load(), 2);

  const auto again = caller_.Ask(caller_.Open(), 1, "poison");
  EXPECT_EQ(again.reason(), "quarantined");
  EXPECT_EQ(again.run_state(), "not_run");
  EXPECT_EQ(poison_attempts.load(), 2);
  const auto view = ring_.control->Poll("other", 0, 0);
  ASSERT_TRUE(view.ok());
  EXPECT_EQ(view->quarantined.size(), 1u);

  TestEntry second(ring_, TestEntry::DefaultInit("entry-2"));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Caller other(second);
  EXPECT_EQ(other.Ask(other.Open(), 1, "poison").reason(), "quarantined");
  EXPECT_EQ(poison_attempts.load(), 2);
}

// Guards against a quarantine that takes effect at other entries only with
// their next poll: a caller that resent the request at once crashed two more
// engines.
TEST_F(EntryCrash, QuarantinePushed_AppliesAtAnotherEntryBeforeItsNextPoll) {
  EntryInit slow = TestEntry::DefaultInit("entry-2");
  slow.janitor_period_ms = 4'000;
  TestEntry other(ring_, slow);
  ring_.upstreams.OnAttempt([&](const auto&, const auto& request) {
    return request.messages.find("poison") == std::string::npos
               ? EngineFault{}
               : EngineFault{Kind::kCrash};
  });
  ASSERT_EQ(caller_.Ask(caller_.Open(), 1, "poison").reason(), "quarantined");
  other.entry().OnControlPush();
  Caller caller(other);
  const std::string status = "\"quarantined\":1";
  auto admin = other.AdminClient();
  const int64_t end_ms = SystemClock().NowMs() + 2'000;
  while (admin->Get("/admin/status")->body.find(status) == std::string::npos &&
         SystemClock().NowMs() < end_ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  const size_t attempts = ring_.upstreams.attempts().size();
  EXPECT_EQ(caller.Ask(caller.Open(), 1, "poison").reason(), "quarantined");
  EXPECT_EQ(ring_.upstreams.attempts().size(), attempts);
}

// Guards against a suspect that shares its engine: if it crashes the engine,
// the other calls there become suspects too.
TEST_F(EntryCrash, Suspect_RunsAlone) {
  ring_.upstreams.token_delay_ms = 3;
  std::atomic<bool> crashed{false};
  std::atomic<bool> shared{false};
  std::atomic<bool> suspect_ran{false};
  ring_.upstreams.OnAttempt([&](const auto& upstream, const auto& request) {
    const bool suspect = request.messages.find("suspect") != std::string::npos;
    if (suspect && !crashed.exchange(true)) {
      return EngineFault{Kind::kReset, 0};
    }
    if (suspect) {
      suspect_ran.store(true);
      const auto json = nlohmann::json::parse(entry_.entry().StatusJson());
      for (const auto& item : json["upstreams"]) {
        if (item["name"] == upstream.id.name && item["in_flight"] != 1) {
          shared.store(true);
        }
      }
    }
    return EngineFault{};
  });
  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < 6; ++i) {
    threads.emplace_back([&] {
      Caller caller(entry_);
      const std::string program = caller.Open();
      for (uint64_t sequence = 1; !stop.load(); ++sequence) {
        EXPECT_EQ(caller.Ask(program, sequence, "busy").status, 200);
      }
    });
  }
  const auto answer = caller_.Ask(caller_.Open(), 1, "suspect");
  stop.store(true);
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_TRUE(suspect_ran.load());
  EXPECT_FALSE(shared.load());
}

}  // namespace
}  // namespace ring
