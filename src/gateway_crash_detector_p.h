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

/// A crash of an upstream that an entry has detected.
struct ObservedCrash {
  UpstreamInstance upstream;
  int64_t at_ms = 0;  ///< Time of the event loop's clock.
  /// Digests of the requests that were in flight there, with the times when
  /// they were sent.
  std::map<uint64_t, int64_t> requests;

  /// @returns the first digests, comma-separated, for the log
  std::string DigestText() const;
  /// @returns the crash in the form that a CrashTracker takes, with times of
  ///          the loop's clock
  UpstreamCrash ToReport() const {
    return {
        UpstreamKey(upstream.instance + "/" + std::to_string(upstream.born_ms)),
        at_ms, requests};
  }

  auto operator<=>(const ObservedCrash&) const = default;
};

/// Distinguishes crashed upstreams from lost connections by a health check on a
/// new connection. The port of a crashed process refuses the connection, a host
/// without power does not respond, and a process that has restarted in the
/// meantime reports another instance id.
class CrashDetector {
 public:
  using Crashed = std::function<void(const ObservedCrash& crash)>;
  using Leaving = std::function<void(const UpstreamInstance& upstream)>;
  using Connect = std::function<std::unique_ptr<HttpClientConnection>(
      const Endpoint& upstream)>;

  /// Finds out whether this entry reaches other upstreams than this one.
  using Verify = std::function<void(const Endpoint& upstream,
                                    std::function<void(bool reached)> done)>;

  /// @param connect opens the connections of health checks
  /// @param verify called before an upstream that cannot be reached counts as
  ///        crashed, because the links of this entry may have failed
  /// @param crashed called for each detected crash
  /// @param leaving called for upstreams whose health check response says that
  ///        they are leaving
  CrashDetector(EventLoop& loop,
                const CallerProtocolI& protocol,
                Connect connect,
                Verify verify,
                Crashed crashed,
                Leaving leaving);
  ~CrashDetector();
  CrashDetector(const CrashDetector&) = delete;
  CrashDetector& operator=(const CrashDetector&) = delete;

  /// A request that an upstream may never answer.
  struct Request {
    uint64_t digest = 0;
    int64_t sent_ms = 0;
  };

  /// Called when the connection to an upstream failed after it had received a
  /// request. Starts a health check.
  /// @param health_path path of the service's health check
  void OnConnectionLost(const UpstreamInstance& upstream,
                        const std::string& health_path,
                        const Request& request);
  /// Called when a request is abandoned or has waited for a long time. The
  /// upstream is checked once it has sent nothing to this entry for some time.
  void OnUnanswered(const UpstreamInstance& upstream,
                    const std::string& health_path,
                    const Request& request);
  /// Called when data arrives from an upstream.
  void OnActivity(const std::string& instance) {
    last_activity_ms_[instance] = loop_.now_ms();
  }
  /// Called when a keeper's report about an upstream is new or changed.
  void OnUpstreamReported(const UpstreamInstance& upstream);
  /// @returns suspected crashes of upstreams that had the request and whose
  ///          health check has not ended, ordered by time
  std::vector<UpstreamCrash> unconfirmed(uint64_t digest) const;
  /// Removes records that are too old for any later event to refer to.
  void Expire();

 private:
  class Check;
  /// Requests that an upstream may not have answered because it has ended.
  struct Unanswered {
    UpstreamInstance upstream;
    std::string health_path;
    int64_t since_ms = 0;
    std::map<uint64_t, int64_t> requests;
  };
  struct KnownCrash {
    int64_t last_seen_ms = 0;
    ObservedCrash crash;
  };
  enum class Verdict : uint8_t;
  void End(const std::string& instance, Verdict verdict);
  void EndVerified(const std::shared_ptr<Check>& check, bool crashed);
  void Report(ObservedCrash crash);
  void CheckSilence(const std::string& instance);
  /// @param lost_ms latest time at which the upstream may still have been
  ///        running
  void StartCheck(const UpstreamInstance& upstream,
                  const std::string& health_path,
                  const Request& request,
                  int64_t lost_ms);

  EventLoop& loop_;
  const CallerProtocolI& protocol_;
  const Connect connect_;
  const Verify verify_;
  const Crashed crashed_;
  const Leaving leaving_;
  std::map<std::string, std::shared_ptr<Check>> checks_;  ///< By instance.
  /// Checks that found an upstream unreachable, while that is verified.
  std::vector<std::shared_ptr<Check>> verified_;
  std::map<std::string, Unanswered> unanswered_;               ///< By instance.
  std::unordered_map<std::string, int64_t> last_activity_ms_;  ///< By instance.
  /// Recently lost connections to upstreams whose health check succeeded.
  std::vector<ObservedCrash> unexplained_losses_;
  std::map<std::string, KnownCrash> crashes_;  ///< By instance.
};

}  // namespace ring
