#include "gateway_pool_p.h"

#include <algorithm>

namespace ring {
namespace {

// Idle time of a connection if the server does not announce a keep-alive
// timeout.
constexpr int64_t kDefaultIdleMs = 3'000;
// Connections are closed this long before the server's timeout, so that no
// request is sent while the server closes the connection.
constexpr int64_t kIdleMarginMs = 700;
// Maximum idle time, whatever the server announces.
constexpr int64_t kMaxIdleMs = 10'000;
constexpr int64_t kSweepMs = 500;
// A connection fails if sent data is not acknowledged within this time
// (TCP_USER_TIMEOUT).
constexpr int64_t kUserTimeoutMs = 3'000;

}  // namespace

ConnectionPool::ConnectionPool(EventLoop& loop,
                               UpstreamConnectorI* connector,
                               ConnectObserver observer)
    : loop_(loop), connector_(connector), observer_(std::move(observer)) {
  loop_.Every(kSweepMs, [this] { CloseExpired(); });
}

ConnectionPool::Connection ConnectionPool::Acquire(const Endpoint& endpoint) {
  Connection idle = TakeIdle(endpoint);
  return idle ? std::move(idle) : Open(endpoint);
}

ConnectionPool::Connection ConnectionPool::TakeIdle(const Endpoint& endpoint) {
  const auto found = idle_.find(endpoint.ToString());
  if (found != idle_.end()) {
    std::vector<Idle>& list = found->second;
    // The most recently used connection is the least likely to have been closed
    // by the server.
    while (!list.empty()) {
      Idle idle = std::move(list.back());
      list.pop_back();
      idle.connection->OnUnusable(nullptr);
      if (idle.until_ms > loop_.now_ms() && idle.connection->reusable()) {
        return std::move(idle.connection);
      }
      Discard(std::move(idle.connection));
    }
  }
  return nullptr;
}

ConnectionPool::Connection ConnectionPool::OpenVia(const Endpoint& relay,
                                                   const Endpoint& endpoint) {
  metrics::Count("ring_relayed_connects_total");
  return HttpClientConnection::ConnectVia(
      loop_, {.user_timeout_ms = kUserTimeoutMs}, relay, endpoint);
}

void ConnectionPool::CloseAllIdle() {
  for (auto& [key, list] : idle_) {
    for (Idle& idle : list) {
      Discard(std::move(idle.connection));
    }
  }
  idle_.clear();
}

ConnectionPool::Connection ConnectionPool::Open(const Endpoint& endpoint) {
  metrics::Count("ring_upstream_connects_total");
  const TcpConnection::Init init{.user_timeout_ms = kUserTimeoutMs};
  Connection connection =
      connector_ == nullptr
          ? HttpClientConnection::Connect(loop_, init, endpoint)
          : connector_->Connect(loop_, init, endpoint);
  if (connection) {
    connection->OnConnectResult([this, endpoint](bool established) {
      observer_(endpoint, established);
    });
  }
  return connection;
}

void ConnectionPool::Release(const Endpoint& endpoint, Connection connection) {
  if (!connection->reusable()) {
    Discard(std::move(connection));
    return;
  }
  int64_t keep_ms = connection->keep_alive_ms() == 0
                        ? kDefaultIdleMs
                        : connection->keep_alive_ms();
  keep_ms = std::min(keep_ms - kIdleMarginMs, kMaxIdleMs);
  if (keep_ms <= 0) {
    Discard(std::move(connection));
    return;
  }
  const std::string key = endpoint.ToString();
  HttpClientConnection* const raw = connection.get();
  raw->SetReading(true);
  raw->OnUnusable([this, key, raw] {
    std::vector<Idle>& list = idle_[key];
    const auto it = std::find_if(
        list.begin(), list.end(),
        [raw](const Idle& idle) { return idle.connection.get() == raw; });
    if (it != list.end()) {
      Discard(std::move(it->connection));
      list.erase(it);
    }
  });
  idle_[key].push_back({std::move(connection), loop_.now_ms() + keep_ms});
}

void ConnectionPool::CloseIdle(const Endpoint& endpoint) {
  const auto found = idle_.find(endpoint.ToString());
  if (found == idle_.end()) {
    return;
  }
  for (Idle& idle : found->second) {
    Discard(std::move(idle.connection));
  }
  idle_.erase(found);
}

void ConnectionPool::Discard(Connection connection) {
  connection->Cancel();
  const std::shared_ptr<HttpClientConnection> kept = std::move(connection);
  loop_.Defer([kept] {});
}

void ConnectionPool::CloseExpired() {
  for (auto& [key, list] : idle_) {
    for (Idle& idle : list) {
      if (idle.until_ms <= loop_.now_ms()) {
        Discard(std::move(idle.connection));
      }
    }
    std::erase_if(list,
                  [](const Idle& idle) { return idle.connection == nullptr; });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace ring
