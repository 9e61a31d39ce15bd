#include "persimmonring/runtime.h"

#include <algorithm>
#include <csignal>
#include <ctime>

#include <pthread.h>

namespace ring {

struct StopToken::State {
  std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
};

StopToken::StopToken() : state_(std::make_shared<State>()) {}

bool StopToken::stopped() const {
  std::lock_guard lock(state_->mutex);
  return state_->stopped;
}

bool StopToken::WaitFor(int64_t timeout_ms) const {
  std::unique_lock lock(state_->mutex);
  return state_->changed.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                                  [this] { return state_->stopped; });
}

void StopToken::RequestStop() const {
  {
    std::lock_guard lock(state_->mutex);
    state_->stopped = true;
  }
  state_->changed.notify_all();
}

// Either a worker with its thread or a child supervisor.
struct Supervisor::Node {
  std::string name;
  Worker worker;
  std::function<void()> wake;
  std::thread thread;
  std::unique_ptr<Supervisor> child;
};

Supervisor::Supervisor(Init init) : init_(std::move(init)) {}

Supervisor::~Supervisor() {
  Stop();
}

void Supervisor::AddWorker(std::string name,
                           Worker worker,
                           std::function<void()> wake) {
  RING_CHECK(!started_);
  auto node = std::make_unique<Node>();
  node->name = std::move(name);
  node->worker = std::move(worker);
  node->wake = std::move(wake);
  nodes_.push_back(std::move(node));
}

void Supervisor::AddChild(std::unique_ptr<Supervisor> child) {
  RING_CHECK(!started_);
  auto node = std::make_unique<Node>();
  node->name = child->init_.name;
  node->child = std::move(child);
  nodes_.push_back(std::move(node));
}

void Supervisor::Start() {
  RING_CHECK(!started_);
  started_ = true;
  for (auto& node : nodes_) {
    if (node->child) {
      node->child->Start();
      continue;
    }
    node->thread = std::thread([this, raw = node.get()] { RunWorker(*raw); });
  }
}

void Supervisor::RunWorker(Node& node) {
  constexpr size_t kMaxThreadName = 15;
  pthread_setname_np(pthread_self(),
                     node.name.substr(0, kMaxThreadName).c_str());
  int64_t delay_ms = init_.first_restart_delay_ms;
  while (!token_.stopped()) {
    const Status status = node.worker(token_);
    if (token_.stopped()) {
      return;
    }
    if (status.ok()) {
      return;  // The worker is complete and is not restarted.
    }
    restarts_.fetch_add(1);
    metrics::Count("ring_duty_restarts_total", {{"duty", node.name}});
    Event(LogLevel::kWarn, "duty_restarted")
        .Add("supervisor", init_.name)
        .Add("duty", node.name)
        .Add("reason", status.refusal().reason)
        .Add("detail", status.refusal().message)
        .Add("delay_ms", delay_ms);
    token_.WaitFor(delay_ms);
    delay_ms = std::min(delay_ms * 2, init_.max_restart_delay_ms);
  }
}

void Supervisor::Stop() {
  if (!started_) {
    return;
  }
  for (auto it = nodes_.rbegin(); it != nodes_.rend(); ++it) {
    if ((*it)->child) {
      (*it)->child->Stop();
    }
  }
  token_.RequestStop();
  for (auto it = nodes_.rbegin(); it != nodes_.rend(); ++it) {
    if ((*it)->wake) {
      (*it)->wake();
    }
    if ((*it)->thread.joinable()) {
      (*it)->thread.join();
    }
  }
}

uint64_t Supervisor::restarts() const {
  uint64_t total = restarts_.load();
  for (const auto& node : nodes_) {
    if (node->child) {
      total += node->child->restarts();
    }
  }
  return total;
}

namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

// SIGHUP only hints that the settings file has changed and must not end the
// process.
sigset_t BlockedSignals() {
  sigset_t set = StopSignals();
  sigaddset(&set, SIGHUP);
  return set;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t set = BlockedSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

bool WaitStopSignal(int64_t timeout_ms) {
  constexpr int64_t kMsPerSecond = 1'000;
  constexpr int64_t kNsPerMs = 1'000'000;
  const sigset_t set = StopSignals();
  const timespec timeout = {timeout_ms / kMsPerSecond,
                            (timeout_ms % kMsPerSecond) * kNsPerMs};
  return sigtimedwait(&set, nullptr, &timeout) > 0;
}

}  // namespace ring
