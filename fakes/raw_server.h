#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <poll.h>

#include "fakes/free_port.h"
#include "persimmonring/core.h"

namespace ring::fakes {

/// TCP server that sends one scripted answer per connection. Tests use it for
/// resets and stalls, which HTTP libraries cannot produce.
class RawServer {
 public:
  enum class Ending : uint8_t {
    kClose,
    kReset,
    kStall,  ///< Keeps the connection open and sends nothing more.
  };

  /// @param answer bytes to send after a complete request was read
  /// @param ending what happens to the connection after the answer
  RawServer(std::string answer, Ending ending)
      : answer_(std::move(answer)), ending_(ending) {
    listen_fd_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    RING_CHECK(bind(listen_fd_, reinterpret_cast<sockaddr*>(&address), size) ==
               0);
    RING_CHECK(listen(listen_fd_, SOMAXCONN) == 0);
    getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_ = {.ip = "127.0.0.1", .port = ntohs(address.sin_port)};
    thread_ = std::thread([this] { Run(); });
  }
  ~RawServer() {
    stop_.store(true);
    thread_.join();
    close(listen_fd_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  int connections() const { return connections_.load(); }

 private:
  static bool Readable(int fd, int timeout_ms) {
    pollfd item = {.fd = fd, .events = POLLIN, .revents = 0};
    return poll(&item, 1, timeout_ms) > 0;
  }

  // Reads the header and as many body bytes as Content-Length states.
  static void ReadRequest(int fd) {
    std::string text;
    char buffer[4'096];
    while (true) {
      const size_t head = text.find("\r\n\r\n");
      if (head != std::string::npos) {
        const size_t at = text.find("Content-Length: ");
        const size_t body =
            at < head ? std::stoul(text.substr(at + 16)) : size_t{0};
        if (text.size() >= head + 4 + body) {
          return;
        }
      }
      const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
      if (got <= 0) {
        return;
      }
      text.append(buffer, static_cast<size_t>(got));
    }
  }

  void Run() {
    constexpr int kPollMs = 10;
    while (!stop_.load()) {
      if (!Readable(listen_fd_, kPollMs)) {
        continue;
      }
      const int fd = accept(listen_fd_, nullptr, nullptr);
      connections_.fetch_add(1);
      ReadRequest(fd);
      send(fd, answer_.data(), answer_.size(), MSG_NOSIGNAL);
      while (ending_ == Ending::kStall && !stop_.load() &&
             !Readable(fd, kPollMs)) {
      }
      if (ending_ == Ending::kReset) {
        // A reset discards bytes that have not arrived yet.
        std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
        const linger reset_on_close = {.l_onoff = 1, .l_linger = 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof(reset_on_close));
      }
      close(fd);
    }
  }

  const std::string answer_;
  const Ending ending_;
  int listen_fd_ = -1;
  Endpoint endpoint_;
  std::atomic<bool> stop_{false};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace ring::fakes
