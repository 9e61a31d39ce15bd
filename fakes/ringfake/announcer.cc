#include "fakes/ringfake/announcer.h"

#include <chrono>

#include <httplib.h>

namespace ring::fakes {

Announcer::Announcer(const Options& options,
                     std::function<nlohmann::json()> body)
    : options_(options), body_(std::move(body)) {
  for (const auto& text : options.entries) {
    if (const auto entry = Endpoint::Parse(text)) {
      threads_.emplace_back([this, endpoint = *entry] { Run(endpoint); });
    }
  }
}

Announcer::~Announcer() {
  {
    std::lock_guard lock(mutex_);
    stop_ = true;
  }
  changed_.notify_all();
  for (auto& thread : threads_) {
    thread.join();
  }
}

void Announcer::AnnounceNow() {
  {
    std::lock_guard lock(mutex_);
    ++announce_requests_;
  }
  changed_.notify_all();
}

void Announcer::Run(const Endpoint& entry) {
  constexpr int kTimeoutS = 2;
  httplib::Client client(entry.ip, entry.port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kTimeoutS);
  client.set_read_timeout(kTimeoutS);
  client.set_write_timeout(kTimeoutS);
  std::unique_lock lock(mutex_);
  while (!stop_) {
    const uint64_t seen = announce_requests_;
    lock.unlock();
    client.Post("/v1/upstreams/announce", body_().dump(), "application/json");
    lock.lock();
    changed_.wait_for(lock,
                      std::chrono::milliseconds(options_.announce_period_ms),
                      [&] { return stop_ || announce_requests_ != seen; });
  }
}

}  // namespace ring::fakes
