#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "fakes/ringfake/options.h"
#include "persimmonring/runtime.h"

namespace ring::fakes {

/// Posts an announcement to each entry periodically. Each entry has a thread of
/// its own, so that an unreachable entry does not delay the others.
class Announcer {
 public:
  Announcer(const Options& options, std::function<nlohmann::json()> body);
  ~Announcer();
  /// Announces immediately instead of waiting for the next period.
  void AnnounceNow();

 private:
  void Run(const Endpoint& entry);

  const Options& options_;
  const std::function<nlohmann::json()> body_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t announce_requests_ = 0;
  bool stop_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace ring::fakes
