#include <thread>

#include <gtest/gtest.h>

#include "fakes/entry_fixture.h"

namespace ring {
namespace {

constexpr size_t kThreads = 16;  // Upper bound of the threads of a test.

class EntryDrain : public ::testing::Test {
 protected:
  bool WaitFor(const std::function<bool()>& condition) const {
    for (int i = 0; i < 300 && !condition(); ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
  }

  FakeBackends ring_;
  TestEntry entry_{ring_, TestEntry::DefaultInit("entry-1")};
  Caller caller_{entry_};
};

// Guards against a graceful shutdown that aborts running or queued calls.
TEST_F(EntryDrain, CallsUnderWayAndQueued_FinishBeforeDrained) {
  ring_.upstreams.token_delay_ms = 100;  // 600 ms for each call, 4 at once.
  std::atomic<int> whole{0};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&, program = caller_.Open()] {
      Caller caller(entry_);
      const auto answer = caller.Ask(program, 1, "hello", true);
      whole += answer.complete() ? 1 : 0;
    });
  }
  ASSERT_TRUE(WaitFor([&] {
    const auto status = nlohmann::json::parse(entry_.entry().StatusJson());
    return status["queue"] == 4 && status["in_flight"] == 4;
  }));
  const auto admin = entry_.AdminClient();
  EXPECT_EQ(admin->Get("/readyz")->status, 200);
  EXPECT_EQ(admin->Post("/admin/drain")->status, 200);
  EXPECT_EQ(admin->Get("/readyz")->status, 503);
  const auto refused =
      caller_.Post("/v1/programs", "{\"team\":\"t\",\"budget_tokens\":5}");
  EXPECT_EQ(refused.reason(), "draining");
  EXPECT_EQ(refused.run_state(), "not_run");
  EXPECT_FALSE(entry_.entry().drained());
  EXPECT_TRUE(WaitFor([&] { return entry_.entry().drained(); }));
  const auto status = nlohmann::json::parse(entry_.entry().StatusJson());
  EXPECT_EQ(status["queue"], 0);
  EXPECT_EQ(status["in_flight"], 0);
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(whole.load(), 8);
}

// Guards against engine caches that are never freed because a release was lost.
TEST_F(EntryDrain, ReleaseLostTwice_IsRepeatedUntilAcknowledged) {
  const std::string program = caller_.Open();
  EXPECT_EQ(caller_.Ask(program, 1, "hello").status, 200);
  EXPECT_EQ(ring_.upstreams.held_caches(), 1u);
  ring_.upstreams.failing_releases = 2;
  caller_.Delete("/v1/programs/" + program);
  EXPECT_TRUE(WaitFor([&] { return ring_.upstreams.held_caches() == 0; }));
  EXPECT_TRUE(WaitFor([&] {
    return ring_.store.inner().PendingReleases("salem", 10)->empty();
  }));
}

// Guards against pending releases that wait forever for an engine that has
// restarted and lost its cache.
TEST_F(EntryDrain, HolderRestarted_ReleaseIsConfirmed) {
  const std::string program = caller_.Open();
  EXPECT_EQ(caller_.Ask(program, 1, "hello").status, 200);
  ring_.SetEngine("engine-1", 2, {"m"});
  caller_.Delete("/v1/programs/" + program);
  EXPECT_TRUE(WaitFor([&] {
    return ring_.store.inner().PendingReleases("salem", 10)->empty();
  }));
  // No release was sent to incarnation 2.
  EXPECT_EQ(ring_.upstreams.held_caches(), 1u);
}

// Guards against a release note that does not take effect within seconds, on
// call checks and on orders to engines.
TEST_F(EntryDrain, ReleaseNote_MakesServiceIdempotentAndOrdersModels) {
  const std::string single = "/v1/services/stock/check";
  EXPECT_EQ(caller_.Post(single, "{}").reason(), "not_allowed");
  ring_.ApplyNote(1,
                  "{\"added\":[{\"kind\":\"service\",\"name\":\"stock\","
                  "\"idempotent\":true},{\"kind\":\"model\",\"name\":\"m\","
                  "\"version\":\"2\"}]}");
  EXPECT_TRUE(
      WaitFor([&] { return caller_.Post(single, "{}").status == 200; }));
  EXPECT_TRUE(WaitFor([&] { return !ring_.upstreams.orders().empty(); }));
  const UpstreamOrder order = ring_.upstreams.orders().front();
  EXPECT_EQ(order.action, "load_model");
  EXPECT_GT(order.fence, 0u);
}

// Guards against configured limits and teams that are not enforced.
TEST_F(EntryDrain, LimitsAndTeamsOfNote_AreEnforced) {
  const std::string program = caller_.Open();
  ring_.ApplyNote(1,
                  "{\"added\":[{\"kind\":\"limit\",\"name\":\"max_tokens\","
                  "\"value\":20},{\"kind\":\"team\",\"name\":\"t\","
                  "\"max_budget_tokens\":100}]}");
  const auto open = [&](const std::string& team, int budget) {
    return caller_.Post("/v1/programs", "{\"team\":\"" + team +
                                            "\",\"budget_tokens\":" +
                                            std::to_string(budget) + "}");
  };
  EXPECT_TRUE(WaitFor([&] { return open("other", 5).status != 200; }));
  EXPECT_EQ(open("other", 5).reason(), "not_allowed");
  EXPECT_EQ(open("t", 101).reason(), "budget_exceeded");
  EXPECT_EQ(open("t", 100).status, 200);
  const auto answer = caller_.Ask(program, 1, "hello");
  EXPECT_EQ(answer.reason(), "token_limit");
  EXPECT_EQ(answer.run_state(), "not_run");
}

// Guards against a queue that fills with calls of disconnected callers.
TEST_F(EntryDrain, CallerGoneBeforeStart_CallIsDroppedAndNumberCanBeReused) {
  ring_.SetEngine("engine-1", 1, {});
  ring_.directory.Set([] {
    UpstreamRecord busy;
    busy.id = {"busy", 1};
    busy.models = {"m"};
    busy.domain = "salem";
    busy.max_in_flight = 1;
    return busy;
  }());
  ring_.upstreams.token_delay_ms = 500;  // 3 s for one call.
  const std::string first = caller_.Open();
  const std::string second = caller_.Open();
  std::thread holder([&] {
    Caller caller(entry_);
    EXPECT_EQ(caller.Ask(first, 1, "long").status, 200);
  });
  ASSERT_TRUE(WaitFor([&] { return ring_.upstreams.attempts().size() == 1; }));
  auto client = entry_.Client();
  client->set_read_timeout(0, 100'000);
  const nlohmann::json body = {
      {"model", "m"}, {"messages", {{{"role", "user"}, {"content", "x"}}}}};
  EXPECT_FALSE(client->Post("/v1/chat/completions",
                            {{"Authorization", "Bearer " + second}},
                            body.dump(), "application/json"));
  client.reset();
  const auto queued = [&] {
    return nlohmann::json::parse(entry_.entry().StatusJson())["queue"];
  };
  EXPECT_TRUE(WaitFor([&] { return queued() == 0; }));
  EXPECT_EQ(ring_.upstreams.attempts().size(), 1u);
  holder.join();
  ring_.upstreams.token_delay_ms = 0;
  EXPECT_EQ(caller_.Ask(second, 1, "other").status, 200);
}

}  // namespace
}  // namespace ring
