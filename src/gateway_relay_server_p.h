#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "persimmonring/net.h"

namespace ring {

/// Relays connections of other entries to upstreams. An entry that has lost its
/// own links sends the address of an upstream as in an HTTP CONNECT request;
/// the connection is confirmed once the upstream has accepted it.
class RelayServer {
 public:
  struct Init {
    Endpoint listen;
    /// @returns the HTTP status of a refusal; 200: connect
    std::function<int(const Endpoint& upstream)> admit;
    /// Receives how the attempt to connect to an upstream ended.
    std::function<void(const Endpoint& upstream, bool established)> connected;
    /// Open connections of clients; each takes two descriptors once it is
    /// relayed. One beyond it replaces the oldest that is not relayed yet, or
    /// is closed.
    size_t max_tunnels = 512;
    /// Memory of all unsent bytes; beyond it the connection that has made no
    /// progress for the longest time is reset.
    size_t max_held_bytes = 16u << 20;
  };

  /// @returns storage_failed if the address cannot be bound
  static Outcome<std::unique_ptr<RelayServer>> Create(EventLoop& loop,
                                                      Init init);
  ~RelayServer();

  size_t connections() const { return tunnels_.size(); }

 private:
  class Tunnel;
  RelayServer(EventLoop& loop, Init init);
  void Accept(int fd);
  void Remove(Tunnel* tunnel);
  /// Closes the oldest connection that is not relayed yet.
  /// @returns false if there is none
  bool CloseUnestablished();
  /// Closes stalled connections, and more while the unsent bytes exceed the
  /// budget.
  void Sweep();
  void Reclaim();
  void RecordClosed(const char* reason);

  EventLoop& loop_;
  const Init init_;
  std::unique_ptr<TcpListener> listener_;
  TimerHandle sweep_timer_;
  int64_t next_log_ms_ = 0;
  uint64_t closed_since_log_ = 0;
  size_t held_bytes_ = 0;  ///< Memory of the write buffers.
  std::unordered_map<Tunnel*, std::shared_ptr<Tunnel>> tunnels_;
};

/// Answer of a relay whose attempt to connect to the upstream failed.
constexpr int kRelayUpstreamUnreachable = 502;
/// Answer of a relay that has no links itself, ends, or is full.
constexpr int kRelayUnavailable = 503;

}  // namespace ring
