#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/net.h"

namespace ring {

/// Kept connections to upstreams, by address. Connections are lent to one
/// exchange at a time.
class ConnectionPool {
 public:
  using Connection = std::unique_ptr<HttpClientConnection>;

  explicit ConnectionPool(EventLoop& loop);

  /// @returns an idle connection or a new one; null if none can be opened
  Connection Take(const Endpoint& endpoint);
  /// @returns a new connection; null if none can be opened
  Connection Open(const Endpoint& endpoint);
  /// Takes back a connection whose exchange has ended.
  void Give(const Endpoint& endpoint, Connection connection);
  /// Destroys a connection after the current callbacks.
  /// Closes the connections to an endpoint that wait for a request.
  void CloseIdle(const Endpoint& endpoint);
  void Discard(Connection connection);

 private:
  struct Idle {
    Connection connection;
    int64_t until_ms = 0;
  };
  void CloseExpired();

  EventLoop& loop_;
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace ring
