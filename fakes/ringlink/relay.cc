#include "fakes/ringlink/relay.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ring::fakes {
namespace {

constexpr size_t kReadBytes = 64u << 10;
// A direction with more buffered bytes is not read, which propagates
// backpressure to its sender.
constexpr size_t kMaxFlowBytes = 8u << 20;
constexpr int kMaxPollMs = 10;

sockaddr_in ToAddress(const Endpoint& endpoint) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

// @returns a non-blocking listening socket or -1; sets `port` to its port
int Listen(const Endpoint& endpoint, uint16_t& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = ToAddress(endpoint);
  socklen_t size = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Closes with RST instead of FIN.
void ResetAndClose(int fd) {
  const linger reset_on_close = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  close(fd);
}

bool WouldBlock() {
  return errno == EAGAIN || errno == EINTR || errno == ENOTCONN ||
         errno == EINPROGRESS;
}

}  // namespace

Outcome<std::unique_ptr<Relay>> Relay::Create(const Init& init) {
  uint16_t port = 0;
  const int fd = Listen(init.listen, port);
  if (fd < 0) {
    return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                   "cannot listen on " + init.listen.ToString()};
  }
  return std::unique_ptr<Relay>(new Relay(init, fd, port));
}

Relay::Relay(const Init& init, int listen_fd, uint16_t port)
    : init_(init),
      listen_fd_(listen_fd),
      port_(port),
      delay_ms_(init.delay_ms),
      thread_([this] { Run(); }) {}

Relay::~Relay() {
  stop_.store(true);
  thread_.join();
  for (auto& [number, connection] : connections_) {
    close(connection.fds[0]);
    close(connection.fds[1]);
  }
  if (listen_fd_ >= 0) {
    close(listen_fd_);
  }
}

void Relay::SetMode(Mode mode) {
  mode_.store(mode);
  WaitUntilApplied();
}

void Relay::Reset() {
  reset_.store(true);
  WaitUntilApplied();
}

void Relay::WaitUntilApplied() const {
  const uint64_t pass = poll_passes_.load();
  // The current pass may have read the command before it changed.
  while (poll_passes_.load() < pass + 2 && !stop_.load()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

nlohmann::json Relay::Stats() const {
  return {{"bytes_to_target", bytes_[0].load()},
          {"bytes_from_target", bytes_[1].load()},
          {"dropped_bytes", dropped_bytes_.load()},
          {"accepted", accepted_.load()},
          {"open", open_.load()},
          {"delay_ms", delay_ms_.load()}};
}

void Relay::Run() {
  while (!stop_.load()) {
    ApplyCommands();
    std::vector<pollfd> fds = {{listen_fd_, POLLIN, 0}};
    std::vector<std::pair<Connection*, int>> sides = {{nullptr, 0}};
    const int64_t now = SystemClock().NowMs();
    for (auto& [number, connection] : connections_) {
      for (int side = 0; side < 2; ++side) {
        const auto& incoming = connection.flows[side];
        const auto& outgoing = connection.flows[1 - side];
        int16_t events = 0;
        if (!incoming.source_closed && incoming.bytes < kMaxFlowBytes) {
          events |= POLLIN;
        }
        if (!outgoing.chunks.empty() && outgoing.chunks.front().due_ms <= now) {
          events |= POLLOUT;
        }
        // A negative descriptor is ignored. poll() would report a hang-up even
        // if no events are requested, and would then return immediately each
        // time.
        fds.push_back({events == 0 ? -1 : connection.fds[side], events, 0});
        sides.emplace_back(&connection, side);
      }
    }
    poll(fds.data(), fds.size(), PollTimeoutMs());
    for (size_t i = 1; i < fds.size(); ++i) {
      auto [connection, side] = sides[i];
      if ((fds[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
        ReadFrom(*connection, side);
      }
      WriteTo(*connection, side);
    }
    if ((fds[0].revents & POLLIN) != 0) {
      Accept();
    }
    CloseBroken();
    poll_passes_.fetch_add(1);
  }
}

int Relay::PollTimeoutMs() const {
  int64_t wait = kMaxPollMs;
  const int64_t now = SystemClock().NowMs();
  for (const auto& [number, connection] : connections_) {
    for (const auto& flow : connection.flows) {
      if (!flow.chunks.empty()) {
        wait = std::min(wait, flow.chunks.front().due_ms - now);
      }
    }
  }
  return static_cast<int>(std::max<int64_t>(wait, 0));
}

void Relay::ApplyCommands() {
  const Mode mode = mode_.load();
  if (mode == Mode::kRefuse && listen_fd_ >= 0) {
    close(listen_fd_);
    listen_fd_ = -1;
  } else if (mode != Mode::kRefuse && listen_fd_ < 0) {
    OpenListener();
  }
  const bool reset = reset_.exchange(false);
  for (auto& [number, connection] : connections_) {
    if (reset || (mode != Mode::kCut && connection.lost_bytes)) {
      connection.broken = true;
    }
  }
  CloseBroken();
}

bool Relay::OpenListener() {
  uint16_t port = 0;
  listen_fd_ = Listen({.ip = init_.listen.ip, .port = port_}, port);
  return listen_fd_ >= 0;
}

void Relay::Accept() {
  while (true) {
    const int fd =
        accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    accepted_.fetch_add(1);
    SetNoDelay(fd);
    const int target =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    SetNoDelay(target);
    const auto address = ToAddress(init_.target);
    if (connect(target, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
      close(target);
      ResetAndClose(fd);
      continue;
    }
    auto& connection = connections_[next_connection_++];
    connection.fds[0] = fd;
    connection.fds[1] = target;
    open_.store(connections_.size());
  }
}

void Relay::ReadFrom(Connection& connection, int side) {
  auto& flow = connection.flows[side];
  static thread_local char buffer[kReadBytes];
  const ssize_t got = recv(connection.fds[side], buffer, sizeof(buffer), 0);
  const bool cut = mode_.load() == Mode::kCut;
  if (got > 0) {
    const auto size = static_cast<size_t>(got);
    if (cut) {
      connection.lost_bytes = true;
      dropped_bytes_.fetch_add(size);
      return;
    }
    flow.chunks.push_back(
        {std::string(buffer, size), SystemClock().NowMs() + delay_ms_.load()});
    flow.bytes += size;
  } else if (got == 0) {
    connection.lost_bytes =
        connection.lost_bytes || (cut && !flow.source_closed);
    flow.source_closed = true;
  } else if (!WouldBlock()) {
    // While the link is cut, the reset must not reach the other side.
    flow.source_closed = true;
    connection.lost_bytes = true;
    connection.broken = !cut;
  }
}

void Relay::WriteTo(Connection& connection, int side) {
  auto& flow = connection.flows[1 - side];
  const int64_t now = SystemClock().NowMs();
  while (!flow.chunks.empty() && flow.chunks.front().due_ms <= now) {
    auto& chunk = flow.chunks.front();
    if (mode_.load() == Mode::kCut) {
      connection.lost_bytes = true;
      dropped_bytes_.fetch_add(chunk.bytes.size());
      flow.bytes -= chunk.bytes.size();
      flow.chunks.pop_front();
      continue;
    }
    const ssize_t sent = send(connection.fds[side], chunk.bytes.data(),
                              chunk.bytes.size(), MSG_NOSIGNAL);
    if (sent < 0) {
      connection.broken = connection.broken || !WouldBlock();
      return;
    }
    const auto size = static_cast<size_t>(sent);
    bytes_[1 - side].fetch_add(size);
    flow.bytes -= size;
    if (size < chunk.bytes.size()) {
      chunk.bytes.erase(0, size);
      return;
    }
    flow.chunks.pop_front();
  }
  if (flow.source_closed && flow.chunks.empty() && !flow.close_forwarded &&
      mode_.load() != Mode::kCut) {
    shutdown(connection.fds[side], SHUT_WR);
    flow.close_forwarded = true;
  }
}

void Relay::CloseBroken() {
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto& connection = it->second;
    const bool done = connection.flows[0].close_forwarded &&
                      connection.flows[1].close_forwarded;
    if (connection.broken) {
      ResetAndClose(connection.fds[0]);
      ResetAndClose(connection.fds[1]);
    } else if (done) {
      close(connection.fds[0]);
      close(connection.fds[1]);
    } else {
      ++it;
      continue;
    }
    it = connections_.erase(it);
  }
  open_.store(connections_.size());
}

}  // namespace ring::fakes
