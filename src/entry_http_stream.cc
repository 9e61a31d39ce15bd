#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include "entry_http_server_p.h"

namespace ring::entry {
namespace {

thread_local ConnectionStream* current_stream = nullptr;

bool WaitFor(socket_t socket, short events, int64_t timeout_ms) {
  pollfd item = {socket, events, 0};
  int count = 0;
  do {
    count = poll(&item, 1, static_cast<int>(std::max<int64_t>(0, timeout_ms)));
  } while (count < 0 && errno == EINTR);
  return count > 0;
}

void ReadAddress(const sockaddr_storage& address, std::string& ip, int& port) {
  if (address.ss_family == AF_INET) {
    const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(&address);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &ipv4->sin_addr, text, sizeof(text));
    ip = text;
    port = ntohs(ipv4->sin_port);
  }
}

}  // namespace

ConnectionStream::ConnectionStream(socket_t socket,
                                   const EntryHttpLimits& limits)
    : socket_(socket), limits_(limits) {
  current_stream = this;
}

ConnectionStream* ConnectionStream::Current() {
  return current_stream;
}

void ConnectionStream::BeginRequest() {
  in_header_ = true;
  headers_ = 0;
  header_bytes_ = 0;
  line_bytes_ = 0;
  deadline_ms_ = SystemClock().NowMs() + limits_.header_timeout_ms;
}

bool ConnectionStream::WaitReadable(int64_t timeout_ms) const {
  return buffer_position_ < buffer_.size() ||
         WaitFor(socket_, POLLIN, timeout_ms);
}

bool ConnectionStream::PeerClosed() const {
  char byte = 0;
  const ssize_t count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

bool ConnectionStream::is_readable() const {
  return WaitReadable(deadline_ms_ - SystemClock().NowMs());
}

bool ConnectionStream::is_writable() const {
  return !rejected_ && WaitFor(socket_, POLLOUT, limits_.write_timeout_ms) &&
         !PeerClosed();
}

bool ConnectionStream::FillBuffer() {
  constexpr size_t kBufferBytes = 16u << 10;
  if (!is_readable()) {
    RejectRequest(
        Refuse(Reason::kBadRequest, "the request was sent too slowly"));
    return false;
  }
  buffer_.resize(kBufferBytes);
  buffer_position_ = 0;
  ssize_t count = 0;
  do {
    count = recv(socket_, buffer_.data(), kBufferBytes, 0);
  } while (count < 0 && errno == EINTR);
  buffer_.resize(count > 0 ? static_cast<size_t>(count) : 0);
  return count > 0;
}

ssize_t ConnectionStream::read(char* data, size_t size) {
  if (rejected_ || (buffer_position_ >= buffer_.size() && !FillBuffer())) {
    return rejected_ ? -1 : 0;
  }
  // The deadline covers all headers or the whole body, so a client that keeps
  // sending single bytes exceeds it too.
  if (SystemClock().NowMs() > deadline_ms_) {
    RejectRequest(
        Refuse(Reason::kBadRequest, "the request was sent too slowly"));
    return -1;
  }
  size_t count = std::min(size, buffer_.size() - buffer_position_);
  if (in_header_) {
    count = std::min<size_t>(count, 1);
    CountHeaderByte(buffer_[buffer_position_]);
    if (rejected_) {
      return -1;
    }
  }
  buffer_.copy(data, count, buffer_position_);
  buffer_position_ += count;
  return static_cast<ssize_t>(count);
}

void ConnectionStream::CountHeaderByte(char byte) {
  if (++header_bytes_ > limits_.max_header_bytes) {
    RejectRequest(Refuse(Reason::kBodyTooLarge, "the headers are too long"));
    return;
  }
  if (byte == '\r') {
    return;
  }
  if (byte != '\n') {
    ++line_bytes_;
    return;
  }
  if (line_bytes_ == 0 && headers_ > 0) {
    in_header_ = false;
    deadline_ms_ = SystemClock().NowMs() + limits_.body_timeout_ms;
    return;
  }
  line_bytes_ = 0;
  // The request line is counted as a header, hence + 1.
  if (++headers_ > limits_.max_headers + 1) {
    RejectRequest(Refuse(Reason::kBodyTooLarge, "too many headers"));
  }
}

// Answers here, as the library would close the connection without a response.
void ConnectionStream::RejectRequest(const Refusal& refusal) {
  if (rejected_) {
    return;
  }
  metrics::CountRefusal(refusal.reason);
  const std::string body = ErrorBody(refusal);
  const std::string text = "HTTP/1.1 " +
                           std::to_string(HttpStatusFor(refusal.reason)) +
                           " Refused\r\nContent-Type: application/json\r\n"
                           "Connection: close\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body;
  write(text.data(), text.size());
  rejected_ = true;
}

ssize_t ConnectionStream::write(const char* data, size_t size) {
  if (rejected_) {
    return -1;
  }
  size_t sent = 0;
  while (sent < size) {
    if (!WaitFor(socket_, POLLOUT, limits_.write_timeout_ms)) {
      return -1;
    }
    const ssize_t count =
        send(socket_, data + sent, size - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
      continue;
    }
    if (count <= 0) {
      return -1;
    }
    sent += static_cast<size_t>(count);
  }
  return static_cast<ssize_t>(size);
}

void ConnectionStream::get_remote_ip_and_port(std::string& ip,
                                              int& port) const {
  sockaddr_storage address = {};
  socklen_t length = sizeof(address);
  if (getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &length) ==
      0) {
    ReadAddress(address, ip, port);
  }
}

void ConnectionStream::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage address = {};
  socklen_t length = sizeof(address);
  if (getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) ==
      0) {
    ReadAddress(address, ip, port);
  }
}

}  // namespace ring::entry
