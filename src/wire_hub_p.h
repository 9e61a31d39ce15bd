#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "wire_session_p.h"

namespace ring {

class Hub::Impl {
 public:
  Impl(const Init& init, HubListenerI& listener, int listen_fd);
  ~Impl();

  // Thread-safe; implemented in wire_hub.cc.
  void Connect(const Endpoint& endpoint);
  void Disconnect(const Endpoint& endpoint);
  Status Send(SessionHandle handle, const Frame& frame);
  SessionHandle FindByEndpoint(const Endpoint& endpoint) const;
  SessionHandle FindByNode(const std::string& node) const;
  Stats stats() const;
  void Wake();

  // Runs on the network thread; implemented in wire_hub_loop.cc.
  Status Run(const StopToken& stop);

 private:
  using SessionPtr = std::shared_ptr<wire::Session>;

  // Replaces std::less, for which clang-tidy reports the defaulted comparison
  // operator of Endpoint.
  struct EndpointLess {
    bool operator()(const Endpoint& a, const Endpoint& b) const {
      return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
    }
  };

  // State of an address passed to Connect().
  struct Target {
    uint64_t session = 0;  // 0: none; next attempt at retry_at_ms.
    bool open = false;
    bool removed = false;
    bool is_self = false;
    int64_t retry_at_ms = 0;
    int64_t delay_ms = 0;
    // First failure since the last open session.
    int64_t disconnected_since_ms = 0;
    // Of the next attempt; 0: Init::connect_timeout_ms.
    int64_t connect_timeout_ms = 0;
  };

  SessionPtr Find(uint64_t handle) const;
  SessionPtr AddSession(int fd, std::optional<Endpoint> target);
  void AcceptAll();
  void StartConnects();
  void SetConnectTimeout(const SessionPtr& session, int64_t timeout_ms);
  void ScheduleReconnect(Target& target) const;
  void OnReady(const SessionPtr& session, uint32_t events);
  void ReadFrames(const SessionPtr& session);
  void OnSessionFrame(const SessionPtr& session, const Frame& frame);
  void OnHello(const SessionPtr& session, const Frame& frame);
  void MarkOpen(const SessionPtr& session);
  void SendHello(const SessionPtr& session);
  void Flush(const SessionPtr& session);
  void FlushQueued();
  void UpdateInterest(const SessionPtr& session);
  void CheckTimeouts();
  void Close(const SessionPtr& session, Reason reason);
  void CloseAll();
  void CollectBytes(wire::Session& session);
  void FlushMetrics();
  int64_t now() const { return SystemClock().NowMs(); }

  const Init init_;
  const uint64_t incarnation_;
  HubListenerI& listener_;
  const int listen_fd_;
  const int epoll_fd_;
  const int event_fd_;
  std::atomic<bool> wake_pending_{false};
  std::atomic<std::thread::id> network_thread_;
  std::atomic<uint64_t> sent_bytes_{0};
  std::atomic<uint64_t> received_bytes_{0};
  std::atomic<uint64_t> refused_frames_{0};
  std::atomic<uint64_t> open_sessions_{0};

  mutable std::mutex mutex_;
  std::unordered_map<uint64_t, SessionPtr> sessions_;
  std::map<std::string, std::set<uint64_t>> sessions_by_node_;
  std::map<Endpoint, Target, EndpointLess> targets_;
  std::vector<uint64_t> flush_pending_;  // Sessions with newly queued frames.
  uint64_t next_handle_ = 1;

  // Bytes not yet added to the metrics; [0] sent, [1] received.
  uint64_t bytes_[2][wire::kTrafficClassCount][wire::kLinkCount] = {};
  int64_t next_check_ms_ = 0;
  int64_t next_metrics_ms_ = 0;
};

}  // namespace ring
