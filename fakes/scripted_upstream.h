#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>

#include "fakes/free_port.h"
#include "persimmonring/core.h"

namespace ring::fakes {

/// Reply of a ScriptedUpstream to one request.
struct ScriptedReply {
  enum class Then : uint8_t {
    kKeep,   ///< Waits for the next request on the connection.
    kClose,  ///< Closes the connection normally.
    kReset,
    kStall,  ///< Keeps the connection open and sends nothing more.
    /// Sends the end of the stream and reads the rest of the request.
    kHalfClose,
    /// Sends the end of the stream and closes with unread bytes, which makes
    /// the kernel send a reset as well.
    kHalfCloseAndReset,
  };
  std::vector<std::string> pieces;  ///< Each sent as a separate segment.
  Then then = Then::kKeep;
};

/// Upstream on loopback with scripted replies. Records the requests that it
/// receives and answers health checks itself.
class ScriptedUpstream {
 public:
  using Script = std::function<ScriptedReply(const std::string& request)>;
  /// When an upstream answers a request.
  enum class Answers : uint8_t {
    kAfterBody,
    kAfterHead,  ///< Leaves the rest of the request unread until it has.
  };

  explicit ScriptedUpstream(Script script,
                            Answers answers = Answers::kAfterBody)
      : script_(std::move(script)), answers_(answers) {
    listen_fd_ = socket(AF_INET, SOCK_STREAM, 0);
    if (answers_ == Answers::kAfterHead) {
      // A small window, so that the rest of a long request stays with its
      // sender.
      constexpr int kWindowBytes = 64 << 10;
      setsockopt(listen_fd_, SOL_SOCKET, SO_RCVBUF, &kWindowBytes,
                 sizeof(kWindowBytes));
    }
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    RING_CHECK(bind(listen_fd_, reinterpret_cast<sockaddr*>(&address), size) ==
               0);
    RING_CHECK(listen(listen_fd_, SOMAXCONN) == 0);
    getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {.ip = "127.0.0.1", .port = ntohs(address.sin_port)};
    accept_thread_ = std::thread([this] { Accept(); });
  }
  ~ScriptedUpstream() {
    stop_.store(true);
    accept_thread_.join();
    for (const int fd : backlog_connections_) {
      close(fd);
    }
    for (std::thread& thread : connection_threads_) {
      thread.join();
    }
    close(listen_fd_);
  }
  ScriptedUpstream(const ScriptedUpstream&) = delete;
  ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  std::vector<std::string> requests() const {
    std::lock_guard lock(mutex_);
    return requests_;
  }
  /// Adds headers to the answers to health checks.
  /// @param headers complete header lines, each ending in CRLF
  void SetHealthHeaders(const std::string& headers) {
    std::lock_guard lock(mutex_);
    health_headers_ = headers;
  }
  /// Refuses all further connections, like a crashed process.
  void StopListening() {
    if (!refusing_.exchange(true)) {
      shutdown(listen_fd_, SHUT_RDWR);
    }
  }
  /// Neither accepts nor refuses further connections, like a host without
  /// power.
  void StopAnswering() {
    if (unresponsive_.exchange(true)) {
      return;
    }
    // The accepting thread accepts at most one more connection.
    std::this_thread::sleep_for(std::chrono::milliseconds(2 * kPollMs));
    // The kernel drops SYN packets once the accept queue is full.
    listen(listen_fd_, 0);
    sockaddr_in address = {};
    socklen_t size = sizeof(address);
    getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &size);
    constexpr int kBacklogConnections = 4;
    for (int i = 0; i < kBacklogConnections; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Most of these connects stay pending and fill the accept queue.
      static_cast<void>(
          connect(fd, reinterpret_cast<sockaddr*>(&address), size));
      backlog_connections_.push_back(fd);
    }
  }
  int connections() const { return connections_.load(); }
  int health_checks() const { return health_checks_.load(); }
  /// @returns true once a peer has closed a stalled connection
  bool closed_by_peer() const { return closed_by_peer_.load(); }

 private:
  static constexpr int kPollMs = 5;

  static bool Readable(int fd) {
    pollfd item = {.fd = fd, .events = POLLIN, .revents = 0};
    return poll(&item, 1, kPollMs) > 0;
  }

  void Accept() {
    while (!stop_.load()) {
      if (unresponsive_.load()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      } else if (!refusing_.load() && Readable(listen_fd_)) {
        const int fd = accept(listen_fd_, nullptr, nullptr);
        if (fd < 0) {
          continue;
        }
        connections_.fetch_add(1);
        connection_threads_.emplace_back([this, fd] { Serve(fd); });
      }
    }
  }

  // @returns a request, complete unless only its head is awaited, or an empty
  // string if the connection ended
  std::string ReadRequest(int fd) {
    constexpr std::string_view kLength = "Content-Length: ";
    std::string text;
    char buffer[4'096];
    while (!stop_.load()) {
      const size_t head = text.find("\r\n\r\n");
      if (head != std::string::npos) {
        const size_t at = text.find(kLength);
        const size_t body = at < head && answers_ == Answers::kAfterBody
                                ? std::stoul(text.substr(at + kLength.size()))
                                : 0;
        if (text.size() >= head + 4 + body) {
          return text;
        }
      }
      if (!Readable(fd)) {
        continue;
      }
      const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
      if (got <= 0) {
        return "";
      }
      text.append(buffer, static_cast<size_t>(got));
    }
    return "";
  }

  void Serve(int fd) {
    while (true) {
      const std::string request = ReadRequest(fd);
      if (request.empty()) {
        break;
      }
      if (request.starts_with("GET /health ")) {
        std::string answer = "HTTP/1.1 200 OK\r\n";
        {
          std::lock_guard lock(mutex_);
          answer += health_headers_;
        }
        answer += "Content-Length: 0\r\n\r\n";
        send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        health_checks_.fetch_add(1);
        continue;
      }
      {
        std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      const ScriptedReply reply = script_(request);
      for (const std::string& piece : reply.pieces) {
        send(fd, piece.data(), piece.size(), MSG_NOSIGNAL);
        // Keeps TCP from merging consecutive pieces.
        std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
      }
      if (reply.then == ScriptedReply::Then::kHalfClose ||
          reply.then == ScriptedReply::Then::kHalfCloseAndReset) {
        shutdown(fd, SHUT_WR);
      }
      if (reply.then == ScriptedReply::Then::kHalfCloseAndReset) {
        break;
      }
      if (reply.then == ScriptedReply::Then::kStall ||
          reply.then == ScriptedReply::Then::kHalfClose) {
        char buffer[4'096];
        while (!stop_.load() &&
               !(Readable(fd) && recv(fd, buffer, sizeof(buffer), 0) <= 0)) {
        }
        closed_by_peer_.store(!stop_.load());
        break;
      }
      if (reply.then == ScriptedReply::Then::kReset) {
        const linger reset_on_close = {.l_onoff = 1, .l_linger = 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof(reset_on_close));
        break;
      }
      if (reply.then == ScriptedReply::Then::kClose) {
        break;
      }
    }
    close(fd);
  }

  const Script script_;
  const Answers answers_;
  int listen_fd_ = -1;
  Endpoint endpoint_;
  std::atomic<bool> stop_{false};
  std::atomic<bool> closed_by_peer_{false};
  std::atomic<bool> refusing_{false};
  std::atomic<bool> unresponsive_{false};
  std::vector<int> backlog_connections_;  // Fill the accept queue.
  std::atomic<int> connections_{0};
  std::atomic<int> health_checks_{0};
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  std::string health_headers_;
  std::thread accept_thread_;
  std::vector<std::thread>
      connection_threads_;  // Extended only by the accepting thread.
};

}  // namespace ring::fakes
