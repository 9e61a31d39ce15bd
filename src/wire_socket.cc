#include "wire_socket_p.h"

#include <cerrno>
#include <cstring>
#include <optional>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ring::wire {
namespace {

std::optional<sockaddr_in> ToAddress(const Endpoint& endpoint) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  if (inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

void SetNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

Outcome<int> Listen(const Endpoint& endpoint) {
  const Refusal failed{Reason::kStorageFailed, RunState::kNotRun,
                       "cannot listen on " + endpoint.ToString()};
  const auto address = ToAddress(endpoint);
  if (!address) {
    return failed;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return failed;
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&*address),
           sizeof(*address)) != 0 ||
      listen(fd, SOMAXCONN) != 0) {
    close(fd);
    return failed;
  }
  return fd;
}

int StartConnect(const Endpoint& endpoint) {
  const auto address = ToAddress(endpoint);
  if (!address) {
    return -1;
  }
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return -1;
  }
  SetNoDelay(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&*address),
              sizeof(*address)) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

int Accept(int listen_fd) {
  const int fd =
      accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0) {
    SetNoDelay(fd);
  }
  return fd;
}

bool ConnectSucceeded(int fd) {
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

}  // namespace ring::wire
