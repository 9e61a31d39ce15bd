#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "persimmonring/core.h"

namespace ring::load {

/// Reads the counters of the fake upstreams, and samples how much cache the
/// fake engines hold for programs that have ended.
class CacheMonitor {
 public:
  CacheMonitor(std::vector<Endpoint> engines, std::vector<Endpoint> services);
  ~CacheMonitor();

  /// Marks a program as ended.
  void OnEnded(const std::string& program);
  /// Stops sampling and reads all counters. They count from the start of the
  /// fake upstreams, so these must be freshly started for each run.
  /// @returns the "cache" object of the result file; null if there are no
  ///          upstream addresses
  nlohmann::json Finish();

 private:
  void Run();
  void Sample(double elapsed_ms);
  nlohmann::json Engines() const;
  void AddServices(nlohmann::json& result) const;

  const std::vector<Endpoint> engines_;
  const std::vector<Endpoint> services_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stop_ = false;
  std::set<std::string> ended_;
  double held_token_ms_ = 0;
  int64_t held_tokens_ = 0;  ///< In the last sample.
  std::thread thread_;
};

}  // namespace ring::load
