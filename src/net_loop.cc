#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "persimmonring/net.h"

namespace ring {
namespace {

constexpr size_t kScratchBytes = 64u << 10;
constexpr int kMaxEvents = 64;
// Longest wait for events; bounds the delay until a stop request is noticed.
constexpr int64_t kMaxWaitMs = 500;

}  // namespace

EventLoop::EventLoop(const ClockI& clock)
    : clock_(clock),
      epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      event_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      scratch_(kScratchBytes, '\0') {
  RING_CHECK(epoll_fd_ >= 0 && event_fd_ >= 0);
  epoll_event event{.events = EPOLLIN, .data = {.fd = event_fd_}};
  RING_CHECK(epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, event_fd_, &event) == 0);
  UpdateClock();
}

EventLoop::~EventLoop() {
  close(event_fd_);
  close(epoll_fd_);
}

TimerHandle EventLoop::Add(int64_t delay_ms,
                           int64_t period_ms,
                           std::function<void()> callback) {
  const uint64_t id = next_timer_++;
  const int64_t due_ms = now_ms_ + std::max<int64_t>(delay_ms, 0);
  timers_[id] = {due_ms, period_ms, std::move(callback)};
  due_timers_.emplace(due_ms, id);
  return {id};
}

TimerHandle EventLoop::Every(int64_t period_ms,
                             std::function<void()> callback) {
  RING_CHECK(period_ms > 0);
  return Add(period_ms, period_ms, std::move(callback));
}

TimerHandle EventLoop::After(int64_t delay_ms, std::function<void()> callback) {
  return Add(delay_ms, 0, std::move(callback));
}

void EventLoop::Cancel(TimerHandle handle) {
  const auto it = timers_.find(handle.value);
  if (it != timers_.end()) {
    due_timers_.erase({it->second.due_ms, handle.value});
    timers_.erase(it);
  }
}

void EventLoop::Watch(int fd, uint32_t events, IoHandlerI* handler) {
  epoll_event event{.events = events, .data = {.fd = fd}};
  RING_CHECK(epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event) == 0);
  handlers_[fd] = handler;
}

void EventLoop::Modify(int fd, uint32_t events, IoHandlerI* handler) {
  epoll_event event{.events = events, .data = {.fd = fd}};
  RING_CHECK(epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event) == 0);
  handlers_[fd] = handler;
}

void EventLoop::Unwatch(int fd) {
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  handlers_.erase(fd);
}

void EventLoop::Defer(std::function<void()> callback) {
  deferred_.push_back(std::move(callback));
}

void EventLoop::Post(std::function<void()> callback) {
  bool first = false;
  {
    std::lock_guard lock(mutex_);
    first = posted_.empty();
    posted_.push_back(std::move(callback));
  }
  if (first) {
    Wake();
  }
}

void EventLoop::Wake() {
  const uint64_t one = 1;
  // The write fails only if the eventfd counter is full, and then the loop
  // wakes anyway.
  [[maybe_unused]] const ssize_t written = write(event_fd_, &one, sizeof(one));
}

int64_t EventLoop::RunTimers() {
  while (!due_timers_.empty() && due_timers_.begin()->first <= now_ms_) {
    const uint64_t id = due_timers_.begin()->second;
    due_timers_.erase(due_timers_.begin());
    const auto it = timers_.find(id);
    if (it->second.period_ms > 0) {
      it->second.due_ms = now_ms_ + it->second.period_ms;
      due_timers_.emplace(it->second.due_ms, id);
      const auto callback = it->second.callback;
      callback();
    } else {
      const auto callback = std::move(it->second.callback);
      timers_.erase(it);
      callback();
    }
  }
  return due_timers_.empty()
             ? kMaxWaitMs
             : std::min(kMaxWaitMs, due_timers_.begin()->first - now_ms_);
}

void EventLoop::RunPosted() {
  std::vector<std::function<void()>> posted;
  {
    std::lock_guard lock(mutex_);
    posted.swap(posted_);
  }
  for (const auto& callback : posted) {
    callback();
  }
}

void EventLoop::RunDeferred() {
  while (!deferred_.empty()) {
    for (const auto& callback : std::exchange(deferred_, {})) {
      callback();
    }
  }
}

Status EventLoop::Run(const StopToken& stop) {
  std::array<epoll_event, kMaxEvents> events{};
  while (!stop.stopped()) {
    UpdateClock();
    const int64_t wait_ms = RunTimers();
    RunDeferred();
    const int count = epoll_wait(epoll_fd_, events.data(), kMaxEvents,
                                 static_cast<int>(wait_ms));
    UpdateClock();
    for (int i = 0; i < count; ++i) {
      const int fd = events[i].data.fd;
      if (fd == event_fd_) {
        uint64_t value = 0;
        [[maybe_unused]] const ssize_t got =
            read(event_fd_, &value, sizeof(value));
        RunPosted();
        continue;
      }
      // The handler of an earlier event in this batch may have closed this
      // descriptor.
      const auto it = handlers_.find(fd);
      if (it != handlers_.end()) {
        it->second->OnIo(events[i].events);
      }
    }
    RunDeferred();
  }
  return Done{};
}

void ScopedTimer::Start(int64_t delay_ms, std::function<void()> callback) {
  Stop();
  handle_ = loop_.After(delay_ms, [this, callback = std::move(callback)] {
    handle_ = {};
    // The callback may destroy this timer and with it the stored callback.
    const auto moved = callback;
    moved();
  });
}

void ScopedTimer::Stop() {
  if (IsValid(handle_)) {
    loop_.Cancel(handle_);
    handle_ = {};
  }
}

}  // namespace ring
