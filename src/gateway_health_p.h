#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace ring {

/// Failure rates of upstreams as measured by the requests of this entry. Health
/// reported by upstreams themselves is not used, because it can be wrong both
/// ways.
class UpstreamHealth {
 public:
  /// Records that a request was answered.
  void OnSuccess(const std::string& instance);
  /// Records that a request was answered with a server error.
  void OnError(const std::string& instance);
  /// Records that a request got no answer: the connection was refused, reset or
  /// cut off, or the upstream did not respond in time.
  /// @returns how long the upstream is suspected, ms
  int64_t OnFailure(const std::string& instance, int64_t now_ms);
  /// @returns true while the upstream should only be used if no other is ready
  bool IsSuspected(const std::string& instance, int64_t now_ms) const;
  /// @returns share of recent requests that failed, percent
  int32_t FailurePercent(const std::string& instance) const;
  /// Forgets all failures, for example after they turned out to be due to this
  /// entry.
  void ForgetFailures() { records_.clear(); }
  void Forget(const std::string& instance) { records_.erase(instance); }

 private:
  struct Record {
    double failure_rate = 0;  ///< Exponential moving average, 0 to 1.
    int64_t suspected_ms = 0;
    int64_t suspected_until_ms = 0;
  };
  std::unordered_map<std::string, Record> records_;
};

}  // namespace ring
