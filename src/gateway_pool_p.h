#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/gateway.h"

namespace ring {

/// Keep-alive connections to upstreams, by address. Each connection serves one
/// exchange at a time.
class ConnectionPool {
 public:
  using Connection = std::unique_ptr<HttpClientConnection>;

  /// Receives how an attempt to open a connection ended.
  using ConnectObserver =
      std::function<void(const Endpoint& endpoint, bool established)>;

  /// @param connector null: connects over TCP
  ConnectionPool(EventLoop& loop,
                 UpstreamConnectorI* connector,
                 ConnectObserver observer);

  /// @returns an idle connection or a new one; null if none can be opened
  Connection Acquire(const Endpoint& endpoint);
  /// @returns a new connection; null if none can be opened
  Connection Open(const Endpoint& endpoint);
  /// @returns an idle connection; null: there is none
  Connection TakeIdle(const Endpoint& endpoint);
  /// @returns a new connection through a relay; null if none can be opened
  Connection OpenVia(const Endpoint& relay, const Endpoint& endpoint);
  /// Closes all idle connections.
  void CloseAllIdle();
  /// Returns a connection to the pool after its exchange has ended.
  void Release(const Endpoint& endpoint, Connection connection);
  /// Closes the idle connections to an endpoint.
  void CloseIdle(const Endpoint& endpoint);
  /// Closes a connection and destroys it after the current callbacks.
  void Discard(Connection connection);

 private:
  struct Idle {
    Connection connection;
    int64_t until_ms = 0;
  };
  void CloseExpired();

  EventLoop& loop_;
  UpstreamConnectorI* const connector_;
  const ConnectObserver observer_;
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace ring
