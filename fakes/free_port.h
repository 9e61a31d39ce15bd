#pragma once

#include <cstdint>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ring::fakes {

/// @returns a port of 127.0.0.1 that was free a moment ago, 0 on failure
inline uint16_t FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  uint16_t port = 0;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    port = ntohs(address.sin_port);
  }
  close(fd);
  return port;
}

}  // namespace ring::fakes
