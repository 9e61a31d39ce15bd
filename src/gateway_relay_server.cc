#include "gateway_relay_server_p.h"

#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "persimmonring/runtime.h"

namespace ring {
namespace {

constexpr size_t kMaxRequestBytes = 1u << 10;
// Time limit for the request and for the connection to the upstream.
constexpr int64_t kConnectTimeoutMs = 300;
constexpr int64_t kUserTimeoutMs = 3'000;
// Reading from one side pauses while the other has not received this much.
constexpr size_t kMaxUnsentBytes = 64u << 10;
// A connection whose peer accepts no byte for this time is reset.
constexpr int64_t kStallMs = 5'000;
constexpr int64_t kSweepMs = 500;
constexpr int64_t kLogPeriodMs = 1'000;
constexpr int kEstablished = 200;
constexpr int kBadRequest = 400;

}  // namespace

class RelayServer::Tunnel final {
 public:
  Tunnel(RelayServer& server, int fd)
      : server_(server),
        timer_(server.loop_),
        caller_(*this),
        upstream_(*this),
        accepted_ms_(server.loop_.now_ms()) {
    caller_.connection = std::make_unique<TcpConnection>(
        server.loop_, TcpConnection::Init{kUserTimeoutMs}, fd);
    caller_.connection->SetListener(&caller_);
    timer_.Start(kConnectTimeoutMs, [this] { OnTimeout(); });
  }

  void Close() {
    server_.held_bytes_ -= std::exchange(held_bytes_, 0);
    timer_.Stop();
    for (Side* side : {&caller_, &upstream_}) {
      if (side->connection) {
        side->connection->SetListener(nullptr);
        side->connection->Close();
      }
    }
  }

  bool established() const { return established_; }
  int64_t accepted_ms() const { return accepted_ms_; }
  /// @returns time of the last progress of the unsent bytes; INT64_MAX: there
  ///          are none
  int64_t stalled_since_ms() const {
    int64_t since_ms = INT64_MAX;
    for (const Side* side : {&caller_, &upstream_}) {
      if (side->connection && side->connection->unsent_bytes() > 0) {
        since_ms = std::min(since_ms, side->connection->stalled_since_ms());
      }
    }
    return since_ms;
  }

  /// Resets both connections.
  void Reset() {
    for (Side* side : {&caller_, &upstream_}) {
      if (side->connection) {
        side->connection->Abort();
      }
    }
    closing_ = false;
    Finish();
  }

 private:
  /// One of the two connections.
  struct Side final : public ConnectionListenerI {
    explicit Side(Tunnel& owner) : tunnel(owner) {}
    void OnConnected() override { tunnel.OnUpstreamConnected(); }
    void OnBytes(std::string_view bytes) override {
      tunnel.OnBytes(*this, bytes);
    }
    void OnDrained() override { tunnel.OnDrained(*this); }
    void OnClosed(CloseKind kind) override { tunnel.OnClosed(*this, kind); }

    Tunnel& tunnel;
    std::unique_ptr<TcpConnection> connection;
  };

  Side& Other(const Side& side) {
    return &side == &caller_ ? upstream_ : caller_;
  }

  void OnBytes(Side& side, std::string_view bytes) {
    if (!established_) {
      return ReadRequest(bytes);
    }
    Side& other = Other(side);
    other.connection->Write(bytes);
    UpdateHeld();
    if (other.connection->unsent_bytes() > kMaxUnsentBytes) {
      side.connection->SetReading(false);
    }
  }

  void UpdateHeld() {
    size_t held = 0;
    for (const Side* side : {&caller_, &upstream_}) {
      held += side->connection ? side->connection->buffer_bytes() : 0;
    }
    server_.held_bytes_ += held;
    server_.held_bytes_ -= std::exchange(held_bytes_, held);
    if (server_.held_bytes_ > server_.init_.max_held_bytes) {
      server_.loop_.Defer([server = &server_] { server->Reclaim(); });
    }
  }

  void OnDrained(Side& side) {
    UpdateHeld();
    if (closing_ && &side == &caller_) {
      return Finish();
    }
    if (established_) {
      Other(side).connection->SetReading(true);
    }
  }

  void ReadRequest(std::string_view bytes) {
    constexpr std::string_view kMethod = "CONNECT ";
    request_.append(bytes.substr(0, kMaxRequestBytes));
    if (request_.size() >= kMaxRequestBytes) {
      return Refuse(kBadRequest);
    }
    if (request_.find("\r\n\r\n") == std::string::npos ||
        upstream_.connection) {
      return;
    }
    const std::string_view text = request_;
    const size_t end = text.find(' ', kMethod.size());
    const auto address =
        text.starts_with(kMethod) && end != std::string_view::npos
            ? Endpoint::Parse(std::string(
                  text.substr(kMethod.size(), end - kMethod.size())))
            : std::nullopt;
    if (!address) {
      return Refuse(kBadRequest);
    }
    address_ = *address;
    const int status = server_.tunnels_.size() > server_.init_.max_tunnels
                           ? kRelayUnavailable
                           : server_.init_.admit(address_);
    if (status != kEstablished) {
      return Refuse(status);
    }
    upstream_.connection = TcpConnection::Connect(
        server_.loop_, TcpConnection::Init{kUserTimeoutMs}, address_);
    if (!upstream_.connection) {
      return Refuse(kRelayUnavailable);
    }
    upstream_.connection->SetListener(&upstream_);
  }

  void OnUpstreamConnected() {
    timer_.Stop();
    established_ = true;
    Log(kEstablished);
    server_.init_.connected(address_, true);
    caller_.connection->Write("HTTP/1.1 200 OK\r\n\r\n");
  }

  void OnTimeout() {
    if (upstream_.connection) {
      OnClosed(upstream_, CloseKind::kRefused);
    } else {
      Finish();
    }
  }

  // An end of the upstream's stream ends that to the caller; anything else
  // resets it, so that a truncated response does not look complete.
  void OnClosed(Side& side, CloseKind kind) {
    if (&side == &caller_) {
      return Finish();
    }
    if (!established_) {
      server_.init_.connected(address_, false);
      return Refuse(kRelayUpstreamUnreachable);
    }
    if (kind != CloseKind::kEof) {
      caller_.connection->Abort();
      return Finish();
    }
    closing_ = true;
    caller_.connection->SetReading(true);
    if (caller_.connection->unsent_bytes() == 0) {
      Finish();
    }
  }

  void Refuse(int status) {
    timer_.Stop();
    Log(status);
    closing_ = true;
    caller_.connection->Write("HTTP/1.1 " + std::to_string(status) +
                              " Refused\r\n\r\n");
    if (caller_.connection->unsent_bytes() == 0) {
      Finish();
    }
  }

  void Finish() {
    timer_.Stop();
    if (closing_ && !caller_.connection->closed()) {
      caller_.connection->CloseAfterWrite();
    }
    server_.Remove(this);
  }

  void Log(int status) const {
    metrics::Count("ring_relay_connections_total",
                   {{"status", std::to_string(status)}});
    Event(LogLevel::kInfo, "connection_relayed")
        .Add("upstream", address_.ToString())
        .Add("status", status)
        .Add("after_ms", server_.loop_.now_ms() - accepted_ms_)
        .Add("open", uint64_t{server_.tunnels_.size()});
  }

  RelayServer& server_;
  ScopedTimer timer_;
  Side caller_;
  Side upstream_;
  const int64_t accepted_ms_;
  std::string request_;
  size_t held_bytes_ = 0;  ///< Counted in RelayServer::held_bytes_.
  Endpoint address_;
  bool established_ = false;
  bool closing_ = false;  ///< Ends once the caller has received everything.
};

Outcome<std::unique_ptr<RelayServer>> RelayServer::Create(EventLoop& loop,
                                                          Init init) {
  std::unique_ptr<RelayServer> server(new RelayServer(loop, std::move(init)));
  auto listener =
      TcpListener::Create(loop, server->init_.listen,
                          [raw = server.get()](int fd) { raw->Accept(fd); });
  if (!listener) {
    return listener.refusal();
  }
  server->listener_ = std::move(*listener);
  server->listener_->OnExhausted(
      [raw = server.get()] { return raw->CloseUnestablished(); });
  return server;
}

RelayServer::RelayServer(EventLoop& loop, Init init)
    : loop_(loop),
      init_(std::move(init)),
      sweep_timer_(loop.Every(kSweepMs, [this] { Sweep(); })) {}

RelayServer::~RelayServer() {
  loop_.Cancel(sweep_timer_);
  for (const auto& [raw, tunnel] : tunnels_) {
    tunnel->Close();
  }
}

bool RelayServer::CloseUnestablished() {
  Tunnel* oldest = nullptr;
  for (const auto& [raw, tunnel] : tunnels_) {
    if (!raw->established() &&
        (oldest == nullptr || raw->accepted_ms() < oldest->accepted_ms())) {
      oldest = raw;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  RecordClosed("connections");
  oldest->Reset();
  return true;
}

void RelayServer::Sweep() {
  std::vector<Tunnel*> stalled;
  for (const auto& [raw, tunnel] : tunnels_) {
    if (raw->stalled_since_ms() != INT64_MAX &&
        raw->stalled_since_ms() + kStallMs <= loop_.now_ms()) {
      stalled.push_back(raw);
    }
  }
  for (Tunnel* tunnel : stalled) {
    RecordClosed("unread");
    tunnel->Reset();
  }
  metrics::SetGauge("ring_http_held_bytes", {{"server", "relay"}},
                    static_cast<double>(held_bytes_));
  metrics::SetGauge("ring_http_connections", {{"server", "relay"}},
                    static_cast<double>(tunnels_.size()));
}

void RelayServer::Reclaim() {
  while (held_bytes_ > init_.max_held_bytes) {
    const auto slowest = std::min_element(
        tunnels_.begin(), tunnels_.end(), [](const auto& a, const auto& b) {
          return a.first->stalled_since_ms() < b.first->stalled_since_ms();
        });
    if (slowest == tunnels_.end() ||
        slowest->first->stalled_since_ms() == INT64_MAX) {
      return;
    }
    RecordClosed("memory_unread");
    slowest->first->Reset();
  }
}

void RelayServer::RecordClosed(const char* reason) {
  metrics::Count("ring_http_closed_clients_total",
                 {{"server", "relay"}, {"reason", reason}});
  ++closed_since_log_;
  if (loop_.now_ms() >= next_log_ms_) {
    next_log_ms_ = loop_.now_ms() + kLogPeriodMs;
    Event(LogLevel::kWarn, "clients_closed")
        .Add("server", "relay")
        .Add("reason", reason)
        .Add("count", std::exchange(closed_since_log_, 0))
        .Add("held_bytes", uint64_t{held_bytes_})
        .Add("max_held_bytes", uint64_t{init_.max_held_bytes})
        .Add("connections", uint64_t{tunnels_.size()})
        .Add("max_connections", uint64_t{init_.max_tunnels});
  }
}

void RelayServer::Accept(int fd) {
  if (tunnels_.size() >= init_.max_tunnels && !CloseUnestablished()) {
    RecordClosed("connections");
    close(fd);
    return;
  }
  auto tunnel = std::make_shared<Tunnel>(*this, fd);
  tunnels_[tunnel.get()] = std::move(tunnel);
}

// The tunnel may be the caller, so it is destroyed after the callbacks.
void RelayServer::Remove(Tunnel* tunnel) {
  const auto found = tunnels_.find(tunnel);
  if (found != tunnels_.end()) {
    const std::shared_ptr<Tunnel> kept = std::move(found->second);
    tunnels_.erase(found);
    kept->Close();
    loop_.Defer([kept] {});
  }
}

}  // namespace ring
