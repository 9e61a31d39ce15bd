#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmonring/gateway.h"
#include "persimmonring/net.h"

namespace ring {

/// An upstream that an entry believes to have crashed.
struct ObservedCrash {
  UpstreamInstance upstream;
  int64_t at_ms = 0;           ///< On the clock of the loop.
  std::set<uint64_t> digests;  ///< Requests that were under way there.

  auto operator<=>(const ObservedCrash&) const = default;
};

/// Tells upstreams that have crashed from connections that were only lost, by
/// a health check on a new connection. A crashed process refuses it, a host
/// without power stays silent, and what has started again in the meantime
/// announces itself as another incarnation.
class CrashWatch {
 public:
  using Crashed = std::function<void(const ObservedCrash& crash)>;

  CrashWatch(EventLoop& loop, const CallerProtocolI& protocol, Crashed crashed);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /// The connection to an upstream broke while it had a request.
  /// @param health_path of its service
  void OnLost(const UpstreamInstance& upstream,
              const std::string& health_path,
              uint64_t digest);
  /// A request is given up, or waits long. The upstream is looked at once it
  /// has said nothing to anyone for a while.
  /// @param sent_ms when it got the request
  void OnUnanswered(const UpstreamInstance& upstream,
                    const std::string& health_path,
                    uint64_t digest,
                    int64_t sent_ms);
  /// An upstream has said something.
  void OnHeard(const std::string& instance) {
    heard_ms_[instance] = loop_.now_ms();
  }
  /// An upstream has been reported for the first time or again.
  void OnReported(const UpstreamInstance& upstream);
  /// @returns upstreams that the request may have crashed, while they are
  ///          looked at
  int32_t open(uint64_t digest) const;

 private:
  class Check;
  /// Requests that an upstream may have left unanswered because it has ended.
  struct Unanswered {
    UpstreamInstance upstream;
    std::string health_path;
    int64_t since_ms = 0;
    std::set<uint64_t> digests;
  };
  enum class Verdict : uint8_t;
  void End(const std::string& instance, Verdict verdict);
  void Report(ObservedCrash crash);
  void CheckSilence(const std::string& instance);

  EventLoop& loop_;
  const CallerProtocolI& protocol_;
  const Crashed crashed_;
  std::map<std::string, std::shared_ptr<Check>> checks_;  ///< By instance.
  std::map<std::string, Unanswered> unanswered_;          ///< By instance.
  std::unordered_map<std::string, int64_t> heard_ms_;     ///< By instance.
  /// Lost connections to upstreams that were there after all, for a while.
  std::vector<ObservedCrash> unexplained_;
  /// Last sign of each crash, and the crash, by instance.
  std::map<std::string, std::pair<int64_t, ObservedCrash>> crashes_;
};

}  // namespace ring
