#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/net.h"

namespace ring {

/// Keep-alive connections to upstreams, by address. Each connection serves one
/// exchange at a time.
class ConnectionPool {
 public:
  using Connection = std::unique_ptr<HttpClientConnection>;

  explicit ConnectionPool(EventLoop& loop);

  /// @returns an idle connection or a new one; null if none can be opened
  Connection Acquire(const Endpoint& endpoint);
  /// @returns a new connection; null if none can be opened
  Connection Open(const Endpoint& endpoint);
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
  std::map<std::string, std::vector<Idle>> idle_;
};

}  // namespace ring
