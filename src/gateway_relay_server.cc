#include "gateway_relay_server_p.h"

#include "persimmonring/runtime.h"

namespace ring {
namespace {

constexpr size_t kMaxRequestBytes = 1u << 10;
// Time limit for the request and for the connection to the upstream.
constexpr int64_t kConnectTimeoutMs = 300;
constexpr int64_t kUserTimeoutMs = 3'000;
// Reading from one side pauses while the other has not received this much.
constexpr size_t kMaxUnsentBytes = 64u << 10;
// Bounds the descriptors that relaying takes: two for each connection.
constexpr size_t kMaxTunnels = 512;
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
    timer_.Stop();
    for (Side* side : {&caller_, &upstream_}) {
      if (side->connection) {
        side->connection->SetListener(nullptr);
        side->connection->Close();
      }
    }
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
    if (other.connection->unsent_bytes() > kMaxUnsentBytes) {
      side.connection->SetReading(false);
    }
  }

  void OnDrained(Side& side) {
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
    const int status = server_.tunnels_.size() > kMaxTunnels
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
  return server;
}

RelayServer::RelayServer(EventLoop& loop, Init init)
    : loop_(loop), init_(std::move(init)) {}

RelayServer::~RelayServer() {
  for (const auto& [raw, tunnel] : tunnels_) {
    tunnel->Close();
  }
}

void RelayServer::Accept(int fd) {
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
