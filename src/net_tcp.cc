#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

#include "persimmonring/net.h"

namespace ring {
namespace {

constexpr int kBacklog = 1'024;
// Sent bytes are removed from the front of the write buffer only beyond this
// size, to avoid moving the remaining bytes on each send.
constexpr size_t kCompactBytes = 64u << 10;
// A write buffer that is empty keeps at most this much memory.
constexpr size_t kKeptBufferBytes = 4u << 10;
// Pause of accepting while no descriptor is left. Without it the listening
// socket stays readable and the loop spins.
constexpr int64_t kAcceptPauseMs = 100;

std::optional<sockaddr_in> ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

}  // namespace

TcpConnection::TcpConnection(EventLoop& loop, const Init& init, int fd)
    : TcpConnection(loop, init, fd, true) {}

TcpConnection::TcpConnection(EventLoop& loop,
                             const Init& init,
                             int fd,
                             bool connected)
    : loop_(loop), fd_(fd), connected_(connected) {
  SetSocketOptions(init);
  interest_ = EPOLLRDHUP | (connected ? EPOLLIN : EPOLLOUT);
  loop_.Watch(fd_, interest_, this);
}

void TcpConnection::SetSocketOptions(const Init& init) const {
  SetOption(fd_, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(init.user_timeout_ms));
}

std::unique_ptr<TcpConnection> TcpConnection::Connect(
    EventLoop& loop,
    const Init& init,
    const Endpoint& endpoint) {
  const auto address = ToSockaddr(endpoint);
  if (!address) {
    return nullptr;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return nullptr;
  }
  if (connect(fd, reinterpret_cast<const sockaddr*>(&*address),
              sizeof(*address)) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  return std::unique_ptr<TcpConnection>(
      new TcpConnection(loop, init, fd, false));
}

TcpConnection::~TcpConnection() {
  Close();
}

void TcpConnection::Close() {
  if (fd_ >= 0) {
    loop_.Unwatch(fd_);
    close(fd_);
    fd_ = -1;
  }
}

void TcpConnection::Abort() {
  if (fd_ >= 0) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  Close();
}

void TcpConnection::ShutdownWrite() {
  if (fd_ >= 0) {
    shutdown(fd_, SHUT_WR);
  }
}

void TcpConnection::CloseAfterWrite() {
  close_after_write_ = true;
  if (unsent_bytes() == 0 && fd_ >= 0) {
    // close() with unread input sends a reset, which can discard the response
    // before the peer reads it. shutdown() sends the end of the stream first.
    shutdown(fd_, SHUT_WR);
    Close();
  }
}

void TcpConnection::End(CloseKind kind) {
  Close();
  if (listener_ != nullptr) {
    listener_->OnClosed(kind);
  }
}

void TcpConnection::UpdateInterest() {
  uint32_t wanted = EPOLLRDHUP;
  if (reading_) {
    wanted |= EPOLLIN;
  }
  if (!connected_ || unsent_bytes() > 0) {
    wanted |= EPOLLOUT;
  }
  if (wanted != interest_ && fd_ >= 0) {
    interest_ = wanted;
    loop_.Modify(fd_, wanted, this);
  }
}

void TcpConnection::SetReading(bool on) {
  reading_ = on;
  if (connected_) {
    UpdateInterest();
  }
}

size_t TcpConnection::SendBytes(std::string_view bytes) {
  const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent >= 0) {
    return static_cast<size_t>(sent);
  }
  if (send_error_ == 0 && errno != EAGAIN && errno != EINTR) {
    send_error_ = errno;
  }
  return 0;
}

void TcpConnection::Write(std::string_view bytes) {
  if (fd_ < 0) {
    return;
  }
  if (connected_ && unsent_bytes() == 0) {
    bytes.remove_prefix(SendBytes(bytes));
    // After an error, the next epoll event reports the end of the connection.
  }
  if (!bytes.empty()) {
    if (unsent_bytes() == 0) {
      stalled_since_ms_ = loop_.now_ms();
    }
    out_.append(bytes);
    UpdateInterest();
  }
}

void TcpConnection::Flush() {
  while (unsent_bytes() > 0) {
    const size_t sent = SendBytes(std::string_view(out_).substr(out_offset_));
    if (sent == 0) {
      break;
    }
    out_offset_ += sent;
    stalled_since_ms_ = loop_.now_ms();
  }
  if (unsent_bytes() == 0) {
    out_.clear();
    out_offset_ = 0;
    if (out_.capacity() > kKeptBufferBytes) {
      out_.shrink_to_fit();
    }
  } else if (out_offset_ > kCompactBytes) {
    out_.erase(0, out_offset_);
    out_offset_ = 0;
  }
}

void TcpConnection::ReadAvailable() {
  std::string& buffer = loop_.scratch();
  const ssize_t got =
      recv(fd_, buffer.data(), std::min(buffer.size(), read_limit_), 0);
  if (got > 0) {
    if (listener_ != nullptr) {
      listener_->OnBytes({buffer.data(), static_cast<size_t>(got)});
    }
  } else if (got == 0) {
    End(was_reset() ? CloseKind::kReset : CloseKind::kEof);
  } else if (errno != EAGAIN && errno != EINTR) {
    End(CloseKind::kReset);
  }
}

void TcpConnection::OnIo(uint32_t events) {
  if (!connected_) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
      return End(CloseKind::kRefused);
    }
    connected_ = true;
    Flush();
    UpdateInterest();
    if (listener_ != nullptr) {
      listener_->OnConnected();
    }
    return;
  }
  if ((events & EPOLLOUT) != 0 && unsent_bytes() > 0) {
    Flush();
    UpdateInterest();
    if (unsent_bytes() == 0) {
      if (close_after_write_) {
        CloseAfterWrite();
      }
      if (listener_ != nullptr) {
        listener_->OnDrained();
      }
      if (fd_ < 0) {
        return;
      }
    }
  }
  if ((events & EPOLLIN) != 0 && reading_) {
    return ReadAvailable();
  }
  if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
    return End(CloseKind::kReset);
  }
  if ((events & EPOLLRDHUP) != 0) {
    // Reading is paused and the peer has closed its side: read the remaining
    // bytes before the end is reported.
    ReadAvailable();
  }
}

TcpListener::TcpListener(EventLoop& loop, int fd, AcceptCallback accepted)
    : loop_(loop),
      fd_(fd),
      on_accept_(std::move(accepted)),
      resume_timer_(loop) {
  loop_.Watch(fd_, EPOLLIN, this);
}

TcpListener::~TcpListener() {
  Close();
}

void TcpListener::Close() {
  resume_timer_.Stop();
  if (fd_ >= 0) {
    loop_.Unwatch(fd_);
    close(fd_);
    fd_ = -1;
  }
}

Outcome<std::unique_ptr<TcpListener>> TcpListener::Create(
    EventLoop& loop,
    const Endpoint& endpoint,
    AcceptCallback accepted) {
  const auto address = ToSockaddr(endpoint);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (address && fd >= 0) {
    SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&*address),
             sizeof(*address)) == 0 &&
        listen(fd, kBacklog) == 0) {
      return std::unique_ptr<TcpListener>(
          new TcpListener(loop, fd, std::move(accepted)));
    }
  }
  if (fd >= 0) {
    close(fd);
  }
  return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                 "cannot listen on " + endpoint.ToString()};
}

void TcpListener::OnIo(uint32_t /*events*/) {
  while (fd_ >= 0) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      on_accept_(fd);
      continue;
    }
    const bool exhausted = errno == EMFILE || errno == ENFILE ||
                           errno == ENOBUFS || errno == ENOMEM;
    if (!exhausted) {
      return;
    }
    metrics::Count("ring_accepts_without_descriptor_total");
    if (!on_exhausted_ || !on_exhausted_()) {
      loop_.Modify(fd_, 0, this);
      resume_timer_.Start(kAcceptPauseMs,
                          [this] { loop_.Modify(fd_, EPOLLIN, this); });
      return;
    }
  }
}

}  // namespace ring
