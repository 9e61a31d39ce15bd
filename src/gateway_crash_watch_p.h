#pragma once

#include <functional>
#include <map>
#include <memory>
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
  int64_t at_ms = 0;  ///< On the clock of the loop.
  /// Digests of the requests that were under way there, and when they were
  /// sent.
  std::map<uint64_t, int64_t> requests;

  /// @returns the first digests for the log, separated by commas
  std::string DigestText() const;
  /// @returns the crash as it is reported to a board with the loop's clock
  UpstreamCrash ToReport() const {
    return {
        UpstreamKey(upstream.instance + "/" + std::to_string(upstream.born_ms)),
        at_ms, requests};
  }

  auto operator<=>(const ObservedCrash&) const = default;
};

/// Tells upstreams that have crashed from connections that were only lost, by
/// a health check on a new connection. A crashed process refuses it, a host
/// without power stays silent, and what has started again in the meantime
/// announces itself as another incarnation.
class CrashWatch {
 public:
  using Crashed = std::function<void(const ObservedCrash& crash)>;
  using Leaving = std::function<void(const UpstreamInstance& upstream)>;

  /// @param leaving told of upstreams that say so in a health check
  CrashWatch(EventLoop& loop,
             const CallerProtocolI& protocol,
             Crashed crashed,
             Leaving leaving);
  ~CrashWatch();
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  /// A request of which an upstream may not answer any more.
  struct Request {
    uint64_t digest = 0;
    int64_t sent_ms = 0;
  };

  /// The connection to an upstream broke while it had a request.
  /// @param health_path of its service
  void OnLost(const UpstreamInstance& upstream,
              const std::string& health_path,
              const Request& request);
  /// A request is given up, or waits long. The upstream is looked at once it
  /// has said nothing to anyone for a while.
  void OnUnanswered(const UpstreamInstance& upstream,
                    const std::string& health_path,
                    const Request& request);
  /// An upstream has said something.
  void OnHeard(const std::string& instance) {
    heard_ms_[instance] = loop_.now_ms();
  }
  /// An upstream has been reported for the first time or again.
  void OnReported(const UpstreamInstance& upstream);
  /// @returns possible crashes with the request that are being looked at, in
  /// the
  ///          order of their times
  std::vector<UpstreamCrash> open(uint64_t digest) const;
  /// Forgets what no later event can refer to.
  void Expire();

 private:
  class Check;
  /// Requests that an upstream may have left unanswered because it has ended.
  struct Unanswered {
    UpstreamInstance upstream;
    std::string health_path;
    int64_t since_ms = 0;
    std::map<uint64_t, int64_t> requests;
  };
  struct KnownCrash {
    int64_t last_sign_ms = 0;
    ObservedCrash crash;
  };
  enum class Verdict : uint8_t;
  void End(const std::string& instance, Verdict verdict);
  void Report(ObservedCrash crash);
  void CheckSilence(const std::string& instance);
  /// @param lost_ms last time at which the upstream may have been there
  void StartCheck(const UpstreamInstance& upstream,
                  const std::string& health_path,
                  const Request& request,
                  int64_t lost_ms);

  EventLoop& loop_;
  const CallerProtocolI& protocol_;
  const Crashed crashed_;
  const Leaving leaving_;
  std::map<std::string, std::shared_ptr<Check>> checks_;  ///< By instance.
  std::map<std::string, Unanswered> unanswered_;          ///< By instance.
  std::unordered_map<std::string, int64_t> heard_ms_;     ///< By instance.
  /// Lost connections to upstreams that were there after all, for a while.
  std::vector<ObservedCrash> unexplained_;
  std::map<std::string, KnownCrash> crashes_;  ///< By instance.
};

}  // namespace ring
