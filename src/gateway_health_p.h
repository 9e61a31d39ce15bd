#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace ring {

/// What this entry has seen of upstreams' failures. Health that upstreams
/// report of themselves can be false either way; only requests tell.
class UpstreamHealth {
 public:
  /// A request was answered.
  void OnSuccess(const std::string& instance);
  /// A request was answered with a server error.
  void OnError(const std::string& instance);
  /// A request found no answer: refused, reset, cut off or silent.
  /// @returns how long the upstream is suspected, milliseconds
  int64_t OnFailure(const std::string& instance, int64_t now_ms);
  /// @returns true while the upstream should be the last choice
  bool IsSuspected(const std::string& instance, int64_t now_ms) const;
  /// @returns recent share of requests that failed, percent
  int32_t FailurePercent(const std::string& instance) const;
  void Forget(const std::string& instance) { records_.erase(instance); }

 private:
  struct Record {
    double failure_rate = 0;  ///< Moving average, 0 to 1.
    int64_t pause_ms = 0;
    int64_t suspected_until_ms = 0;
  };
  std::unordered_map<std::string, Record> records_;
};

}  // namespace ring
