#include "gateway_crash_detector_p.h"

#include <algorithm>

#include "gateway_relay_server_p.h"

namespace ring {
namespace {

// Timeout of a health check. The port of a crashed process refuses the
// connection within a round trip between regions (16 ms); a host without power
// does not respond at all.
constexpr int64_t kHealthCheckTimeoutMs = 300;
// Maximum number of concurrent health checks; enough for losing the connections
// to all upstreams of a large ring.
constexpr size_t kMaxChecks = 256;
// A restarted process announces itself within this time.
constexpr int64_t kRestartMs = 10'000;
constexpr size_t kMaxUnexplainedLosses = 256;
// An upstream that has sent nothing for this time may have crashed; longer than
// the gaps between events that callers accept (200 ms).
constexpr int64_t kSilenceMs = 500;
// For this time after an unanswered request, the upstream is monitored for
// silence.
constexpr int64_t kSilenceWatchMs = 2'500;
constexpr size_t kMaxUnanswered = 256;
constexpr int kRelayEstablished = 200;

}  // namespace

std::string ObservedCrash::DigestText() const {
  constexpr size_t kMaxShown = 16;
  std::string text;
  size_t shown = 0;
  for (const auto& [digest, sent_ms] : requests) {
    if (shown++ < kMaxShown) {
      text.append(text.empty() ? "" : ",").append(std::to_string(digest));
    }
  }
  return text;
}

enum class CrashDetector::Verdict : uint8_t {
  kAlive,     ///< Responded, or at least accepted the connection.
  kReplaced,  ///< Another incarnation responded.
  kRefused,   ///< The connection was refused, or closed without a response.
  kSilent,    ///< The host does not respond.
};

class CrashDetector::Check final : public HttpExchangeListenerI {
 public:
  Check(CrashDetector& detector,
        const UpstreamInstance& upstream,
        const std::string& health_path,
        int64_t lost_ms)
      : detector_(detector),
        started_ms_(detector.loop_.now_ms()),
        observation_{upstream, lost_ms, {}},
        timer_(detector.loop_),
        connection_(detector.connect_(upstream.address)) {
    if (connection_) {
      connection_->Start(
          this, detector.protocol_.EncodeHealthCheck(upstream, health_path),
          "");
    }
    timer_.Start(kHealthCheckTimeoutMs, [this] {
      // A busy upstream accepts connections but responds late.
      const bool is_connected = !connection_ || connection_->connected();
      End(is_connected ? Verdict::kAlive : Verdict::kSilent);
    });
  }

  bool OnResponseHead(HttpHead head) override {
    const UpstreamResponse answer =
        detector_.protocol_.DecodeUpstreamResponse(head);
    const bool other = answer.other_instance ||
                       (!answer.instance.empty() &&
                        answer.instance != observation_.upstream.instance);
    if (answer.leaving && !other) {
      detector_.leaving_(observation_.upstream);
    }
    End(other ? Verdict::kReplaced : Verdict::kAlive);
    return false;
  }
  void OnResponseBody(std::string_view /*bytes*/) override {}
  void OnResponseEnd() override {}
  void OnExchangeFailed(ExchangeFailure failure) override {
    const int status = connection_->relay_status();
    const bool relay_failed = status != 0 && status != kRelayEstablished &&
                              status != kRelayUpstreamUnreachable;
    const bool unreachable =
        !relay_failed && (failure == ExchangeFailure::kNotConnected ||
                          failure == ExchangeFailure::kNoResponse);
    End(unreachable ? Verdict::kRefused : Verdict::kAlive);
  }

  ObservedCrash& observation() { return observation_; }
  /// @returns true if a relay has shown whether the upstream is reachable
  bool relayed() const {
    return connection_ && connection_->relay_status() != 0;
  }
  int64_t age_ms() const { return detector_.loop_.now_ms() - started_ms_; }

 private:
  void End(Verdict verdict) {
    if (!std::exchange(ended_, true)) {
      detector_.End(observation_.upstream.instance, verdict);
    }
  }

  bool ended_ = false;
  CrashDetector& detector_;
  const int64_t started_ms_;
  ObservedCrash observation_;
  ScopedTimer timer_;
  std::unique_ptr<HttpClientConnection> connection_;
};

CrashDetector::CrashDetector(EventLoop& loop,
                             const CallerProtocolI& protocol,
                             Connect connect,
                             Verify verify,
                             Crashed crashed,
                             Leaving leaving)
    : loop_(loop),
      protocol_(protocol),
      connect_(std::move(connect)),
      verify_(std::move(verify)),
      crashed_(std::move(crashed)),
      leaving_(std::move(leaving)) {}
CrashDetector::~CrashDetector() = default;

void CrashDetector::OnConnectionLost(const UpstreamInstance& upstream,
                                     const std::string& health_path,
                                     const Request& request) {
  StartCheck(upstream, health_path, request, loop_.now_ms());
}

void CrashDetector::StartCheck(const UpstreamInstance& upstream,
                               const std::string& health_path,
                               const Request& request,
                               int64_t lost_ms) {
  auto found = checks_.find(upstream.instance);
  if (found == checks_.end()) {
    if (checks_.size() >= kMaxChecks) {
      metrics::Count("ring_upstream_checks_total", {{"verdict", "not_made"}});
      return;
    }
    found = checks_
                .emplace(upstream.instance,
                         std::make_shared<Check>(*this, upstream, health_path,
                                                 lost_ms))
                .first;
  }
  found->second->observation().requests[request.digest] = request.sent_ms;
}

void CrashDetector::OnUnanswered(const UpstreamInstance& upstream,
                                 const std::string& health_path,
                                 const Request& request) {
  const auto known = unanswered_.find(upstream.instance);
  if (known != unanswered_.end()) {
    known->second.requests[request.digest] = request.sent_ms;
  } else if (unanswered_.size() < kMaxUnanswered) {
    unanswered_[upstream.instance] = {upstream,
                                      health_path,
                                      request.sent_ms,
                                      {{request.digest, request.sent_ms}}};
    CheckSilence(upstream.instance);
  }
}

void CrashDetector::CheckSilence(const std::string& instance) {
  const auto found = unanswered_.find(instance);
  const auto heard = last_activity_ms_.find(instance);
  const int64_t now_ms = loop_.now_ms();
  const Unanswered& item = found->second;
  const int64_t last_ms = std::max(
      heard == last_activity_ms_.end() ? 0 : heard->second, item.since_ms);
  const int64_t silent_ms = now_ms - last_ms;
  if (silent_ms < kSilenceMs && now_ms - item.since_ms < kSilenceWatchMs) {
    loop_.After(kSilenceMs - silent_ms,
                [this, instance] { CheckSilence(instance); });
    return;
  }
  if (silent_ms >= kSilenceMs) {
    for (const auto& [digest, sent_ms] : item.requests) {
      StartCheck(item.upstream, item.health_path, {digest, sent_ms}, last_ms);
    }
  }
  unanswered_.erase(found);
}

void CrashDetector::End(const std::string& instance, Verdict verdict) {
  const auto found = checks_.find(instance);
  if (found == checks_.end()) {
    return;
  }
  // The check itself may be the caller, so it is destroyed after the current
  // callbacks.
  const std::shared_ptr<Check> check = std::move(found->second);
  checks_.erase(found);
  loop_.Defer([check] {});
  constexpr const char* kNames[] = {"alive", "replaced", "refused", "silent"};
  const char* const name = kNames[static_cast<size_t>(verdict)];
  ObservedCrash& lost = check->observation();
  metrics::Count("ring_upstream_checks_total", {{"verdict", name}});
  Event(LogLevel::kInfo, "upstream_checked")
      .Add("upstream", instance)
      .Add("verdict", name)
      .Add("after_ms", check->age_ms())
      .Add("requests", uint64_t{lost.requests.size()})
      .Add("digests", lost.DigestText());
  if (verdict == Verdict::kReplaced ||
      (verdict == Verdict::kRefused && check->relayed())) {
    return Report(std::move(lost));
  }
  if (verdict != Verdict::kAlive) {
    verified_.push_back(check);
    return verify_(lost.upstream.address, [this, check](bool reached) {
      EndVerified(check, reached);
    });
  }
  if (unexplained_losses_.size() < kMaxUnexplainedLosses) {
    unexplained_losses_.push_back(std::move(lost));
  }
}

void CrashDetector::EndVerified(const std::shared_ptr<Check>& check,
                                bool crashed) {
  std::erase(verified_, check);
  if (crashed) {
    return Report(check->observation());
  }
  Event(LogLevel::kInfo, "crash_not_verified")
      .Add("upstream", check->observation().upstream.instance)
      .Add("after_ms", check->age_ms());
  if (unexplained_losses_.size() < kMaxUnexplainedLosses) {
    unexplained_losses_.push_back(check->observation());
  }
}

void CrashDetector::OnUpstreamReported(const UpstreamInstance& upstream) {
  const auto replaced = [&](const ObservedCrash& lost) {
    return lost.upstream.born_ms < upstream.born_ms &&
           lost.at_ms + kRestartMs >= loop_.now_ms() &&
           (lost.upstream.instance == upstream.instance ||
            lost.upstream.address == upstream.address);
  };
  std::vector<std::string> replaced_checks;
  for (const auto& [instance, check] : checks_) {
    if (replaced(check->observation())) {
      replaced_checks.push_back(instance);
    }
  }
  for (const std::string& instance : replaced_checks) {
    End(instance, Verdict::kReplaced);
  }
  const auto first = std::stable_partition(
      unexplained_losses_.begin(), unexplained_losses_.end(),
      [&](const ObservedCrash& lost) { return !replaced(lost); });
  std::vector<ObservedCrash> crashes(
      std::make_move_iterator(first),
      std::make_move_iterator(unexplained_losses_.end()));
  unexplained_losses_.erase(first, unexplained_losses_.end());
  for (ObservedCrash& crash : crashes) {
    Report(std::move(crash));
  }
}

// Until the upstream has restarted, each further request sent to it detects the
// same crash; all of them are reported with the time of the first.
void CrashDetector::Report(ObservedCrash crash) {
  auto& [last_seen_ms, known] = crashes_[crash.upstream.instance];
  const bool same = known.upstream.born_ms == crash.upstream.born_ms &&
                    crash.at_ms - last_seen_ms <= kCrashMergeWindowMs;
  last_seen_ms = crash.at_ms;
  if (same) {
    crash.at_ms = known.at_ms;
  } else {
    known = crash;
  }
  crashed_(crash);
}

std::vector<UpstreamCrash> CrashDetector::unconfirmed(uint64_t digest) const {
  std::vector<UpstreamCrash> crashes;
  for (const auto& [instance, check] : checks_) {
    if (check->observation().requests.contains(digest)) {
      crashes.push_back(check->observation().ToReport());
    }
  }
  for (const std::shared_ptr<Check>& check : verified_) {
    if (check->observation().requests.contains(digest)) {
      crashes.push_back(check->observation().ToReport());
    }
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const UpstreamCrash& a, const UpstreamCrash& b) {
              return a.at_ms < b.at_ms;
            });
  return crashes;
}

void CrashDetector::Expire() {
  const int64_t now_ms = loop_.now_ms();
  std::erase_if(unexplained_losses_, [now_ms](const ObservedCrash& earlier) {
    return earlier.at_ms + kRestartMs < now_ms;
  });
  std::erase_if(last_activity_ms_, [now_ms](const auto& item) {
    return item.second + kRestartMs < now_ms;
  });
  std::erase_if(crashes_, [now_ms](const auto& item) {
    return item.second.last_seen_ms + kRestartMs < now_ms;
  });
}

}  // namespace ring
