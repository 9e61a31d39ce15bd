#include <csignal>

#include <gtest/gtest.h>

#include "fakes/fake_clock.h"
#include "persimmonring/runtime.h"

namespace ring {
namespace {

// Guards against a queue that exceeds its capacity or loses a rejected item.
TEST(BoundedQueuePush, FullOrClosedQueue_RejectsAndKeepsItem) {
  BoundedQueue<std::unique_ptr<int>> items(1);
  EXPECT_TRUE(items.TryPush(std::make_unique<int>(1)));
  auto second = std::make_unique<int>(2);
  EXPECT_FALSE(items.TryPush(std::move(second)));
  ASSERT_NE(second, nullptr);
  items.Close();
  EXPECT_EQ(**items.Pop(0), 1);
  EXPECT_FALSE(items.TryPush(std::move(second)));
  EXPECT_FALSE(items.Pop(0).has_value());
}

// Guards against a failed worker that is not restarted.
TEST(SupervisorRestart, WorkerFailsTwice_IsRestartedUntilStopped) {
  std::atomic<int> runs{0};
  Supervisor supervisor({.name = "test", .first_restart_delay_ms = 1});
  supervisor.AddWorker("flaky", [&](const StopToken& stop) -> Status {
    if (runs.fetch_add(1) < 2) {
      return Refusal{.reason = Reason::kInternal};
    }
    stop.WaitFor(10'000);
    return Done{};
  });
  supervisor.Start();
  while (runs.load() < 3) {
    std::this_thread::yield();
  }
  supervisor.Stop();
  EXPECT_EQ(supervisor.restarts(), 2u);
}

// Guards against a burst of callbacks after the process was suspended.
TEST(TimerServiceAdvance, LongPause_CallsPeriodicSubscriberOnce) {
  FakeClock clock;
  TimerService timers(clock);
  int periodic = 0;
  int single = 0;
  timers.Every(10, [&] { ++periodic; });
  timers.After(10, [&] { ++single; });
  clock.AdvanceMs(1'000);
  timers.Advance();
  timers.Advance();
  EXPECT_EQ(periodic, 1);
  EXPECT_EQ(single, 1);
}

// Guards against values with spaces or control characters that corrupt a log
// line.
TEST(EventLine, ValueWithControlBytes_IsQuotedAndEscaped) {
  Event event(LogLevel::kDebug, "sample");
  event.Add("a", "x y").Add("b", "q\"\n").Add("c", 3).Add("d", "");
  EXPECT_EQ(event.line(),
            "event=sample level=debug a=\"x y\" b=\"q\\\"\\x0a\" c=3 d=\"\"");
}

// Guards against refusals that are not counted by their reason.
TEST(MetricsCount, RefusalReason_IncrementsItsCounter) {
  const Labels labels = {{"reason", "queue_full"}};
  const double before = metrics::Value("ring_refusals_total", labels);
  metrics::CountRefusal(Reason::kQueueFull);
  EXPECT_EQ(metrics::Value("ring_refusals_total", labels), before + 1);
}

// Guards against SIGHUP, which requests a reload, ending the process.
TEST(BlockStopSignals, ReloadSignal_DoesNotStopTheProcess) {
  BlockStopSignals();
  ASSERT_EQ(raise(SIGHUP), 0);
  EXPECT_FALSE(WaitStopSignal(10));
  ASSERT_EQ(raise(SIGTERM), 0);
  EXPECT_TRUE(WaitStopSignal(1'000));
}

}  // namespace
}  // namespace ring
