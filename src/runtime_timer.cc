#include "persimmonring/runtime.h"

#include <algorithm>

namespace ring {
namespace {

// Longest sleep of the timer thread; bounds the delay until new timers and stop
// requests are noticed.
constexpr int64_t kMaxSleepMs = 100;

}  // namespace

TimerService::TimerService(const ClockI& clock) : clock_(clock) {}

TimerHandle TimerService::Every(int64_t period_ms,
                                std::function<void()> callback) {
  RING_CHECK(period_ms > 0);
  return Add(period_ms, period_ms, std::move(callback));
}

TimerHandle TimerService::After(int64_t delay_ms,
                                std::function<void()> callback) {
  return Add(delay_ms, 0, std::move(callback));
}

TimerHandle TimerService::Add(int64_t delay_ms,
                              int64_t period_ms,
                              std::function<void()> callback) {
  std::lock_guard lock(mutex_);
  const uint64_t handle = next_handle_++;
  timers_[handle] =
      Timer{clock_.NowMs() + delay_ms, period_ms, std::move(callback)};
  return TimerHandle{handle};
}

void TimerService::Cancel(TimerHandle handle) {
  std::lock_guard lock(mutex_);
  timers_.erase(handle.value);
}

int64_t TimerService::Advance() {
  std::vector<std::function<void()>> due;
  int64_t next_ms = kMaxSleepMs;
  {
    std::lock_guard lock(mutex_);
    const int64_t now_ms = clock_.NowMs();
    for (auto it = timers_.begin(); it != timers_.end();) {
      Timer& timer = it->second;
      if (timer.due_ms > now_ms) {
        next_ms = std::min(next_ms, timer.due_ms - now_ms);
        ++it;
        continue;
      }
      due.push_back(timer.callback);
      if (timer.period_ms == 0) {
        it = timers_.erase(it);
        continue;
      }
      // Missed periods are skipped instead of being caught up.
      timer.due_ms = now_ms + timer.period_ms;
      next_ms = std::min(next_ms, timer.period_ms);
      ++it;
    }
  }
  for (const auto& callback : due) {
    callback();
  }
  return next_ms;
}

Status TimerService::Run(const StopToken& stop) {
  while (!stop.stopped()) {
    stop.WaitFor(Advance());
  }
  return Done{};
}

}  // namespace ring
