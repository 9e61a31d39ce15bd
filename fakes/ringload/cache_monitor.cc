#include "fakes/ringload/cache_monitor.h"

#include <algorithm>
#include <chrono>

#include "fakes/ringload/client.h"

namespace ring::load {
namespace {

using nlohmann::json;

constexpr auto kSamplePeriod = std::chrono::milliseconds(250);

}  // namespace

CacheMonitor::CacheMonitor(std::vector<Endpoint> engines,
                           std::vector<Endpoint> services)
    : engines_(std::move(engines)), services_(std::move(services)) {
  thread_ = std::thread([this] { Run(); });
}

CacheMonitor::~CacheMonitor() {
  {
    std::lock_guard lock(mutex_);
    stop_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void CacheMonitor::OnEnded(const std::string& program) {
  std::lock_guard lock(mutex_);
  ended_.insert(program);
}

void CacheMonitor::Run() {
  using Clock = std::chrono::steady_clock;
  auto last = Clock::now();
  std::unique_lock lock(mutex_);
  while (!changed_.wait_for(lock, kSamplePeriod, [this] { return stop_; })) {
    lock.unlock();
    const auto now = Clock::now();
    Sample(std::chrono::duration<double, std::milli>(now - last).count());
    last = now;
    lock.lock();
  }
}

void CacheMonitor::Sample(double elapsed_ms) {
  int64_t held = 0;
  for (const Endpoint& engine : engines_) {
    const json keys = FetchJson(engine, "/v1/fake/keys");
    if (!keys.is_object()) {
      continue;
    }
    std::lock_guard lock(mutex_);
    for (const auto& [key, value] : keys.items()) {
      held += ended_.contains(key) ? value.value("held_tokens", int64_t{0}) : 0;
    }
  }
  std::lock_guard lock(mutex_);
  held_tokens_ = held;
  held_token_ms_ += static_cast<double>(held) * elapsed_ms;
}

json CacheMonitor::Finish() {
  {
    std::lock_guard lock(mutex_);
    stop_ = true;
  }
  changed_.notify_all();
  thread_.join();
  if (engines_.empty() && services_.empty()) {
    return {};
  }
  json result = Engines();
  std::lock_guard lock(mutex_);
  result["held_token_s_after_end"] = held_token_ms_ / 1'000;
  result["held_tokens_last_sample"] = held_tokens_;
  AddServices(result);
  return result;
}

// Each token of the longest prompt of a program has to be computed once in the
// ring. All further computed tokens had been cached by some engine before and
// count as recomputed.
json CacheMonitor::Engines() const {
  json result = {{"engines", json::array()}};
  std::map<std::string, std::pair<int64_t, int64_t>> programs;
  for (const Endpoint& engine : engines_) {
    result["engines"].push_back(FetchJson(engine, "/v1/fake/stats"));
    const json keys = FetchJson(engine, "/v1/fake/keys");
    for (const auto& [key, value] : keys.items()) {
      auto& [computed, longest] = programs[key];
      computed += value.value("computed_tokens", int64_t{0});
      longest = std::max(longest, value.value("longest_tokens", int64_t{0}));
    }
  }
  int64_t computed_total = 0;
  int64_t recomputed = 0;
  for (const auto& [key, counts] : programs) {
    computed_total += counts.first;
    recomputed += std::max<int64_t>(counts.first - counts.second, 0);
  }
  result["prefill_computed_tokens"] = computed_total;
  result["prefill_recomputed_tokens"] = recomputed;
  return result;
}

void CacheMonitor::AddServices(json& result) const {
  int64_t executions = 0;
  std::map<std::string, int64_t> by_key;
  for (const Endpoint& service : services_) {
    const json counts = FetchJson(service, "/v1/fake/executions");
    if (!counts.is_object()) {
      continue;
    }
    executions += counts.value("total", int64_t{0});
    const json keys = counts.value("by_key", json::object());
    for (const auto& [key, count] : keys.items()) {
      by_key[key] += count.get<int64_t>();
    }
  }
  result["service_executions"] = executions;
  result["duplicate_executions"] =
      std::count_if(by_key.begin(), by_key.end(),
                    [](const auto& item) { return item.second > 1; });
}

}  // namespace ring::load
