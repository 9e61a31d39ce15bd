#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "persimmonring/gateway.h"
#include "persimmonring/net.h"

namespace ring {

/// Tells upstreams that have crashed from connections that were only reset: a
/// crashed upstream refuses new connections at once.
class CrashWatch {
 public:
  /// Told of a crash with the requests that were under way at the upstream.
  using Crashed = std::function<void(const UpstreamInstance& upstream,
                                     const std::set<uint64_t>& digests)>;

  CrashWatch(EventLoop& loop, Crashed crashed);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /// A connection to an upstream broke while it had a request.
  void OnBroken(const UpstreamInstance& upstream, uint64_t digest);

 private:
  class Probe;
  void EndProbe(const std::string& instance, bool crashed);

  EventLoop& loop_;
  const Crashed crashed_;
  std::map<std::string, std::unique_ptr<Probe>> probes_;  ///< By instance.
};

/// Requests that keepers suspect to crash upstreams.
class SuspectTable {
 public:
  void Set(const std::vector<SuspectedRequest>& requests);
  /// @returns incarnations of upstreams that crashed under the request
  int32_t crashes(uint64_t digest) const;
  bool empty() const { return crashes_.empty(); }

 private:
  std::unordered_map<uint64_t, int32_t> crashes_;
};

/// @returns what the same request has in common with its repetitions
uint64_t RequestDigest(const HttpRequest& request, const CallerRequest& info);

}  // namespace ring
