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

  EventLoop& loop_;
  const Init init_;
  std::unique_ptr<TcpListener> listener_;
  std::unordered_map<Tunnel*, std::shared_ptr<Tunnel>> tunnels_;
};

/// Answer of a relay whose attempt to connect to the upstream failed.
constexpr int kRelayUpstreamUnreachable = 502;
/// Answer of a relay that has no links itself, ends, or is full.
constexpr int kRelayUnavailable = 503;

}  // namespace ring
