#pragma once

#include <atomic>
#include <cstdint>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ring::fakes {

/// Finds a free TCP port. The search stays below the kernel's range of
/// ephemeral ports and starts at a different port in each process, so that a
/// test running in parallel is unlikely to take the port before it is bound.
/// @returns a port of 127.0.0.1 that was free when probed, 0 if there is none
inline uint16_t FreePort() {
  constexpr uint32_t kFirstPort = 10'000;
  constexpr uint32_t kPortCount = 20'000;
  constexpr uint32_t kPortStride = 61;
  static std::atomic<uint32_t> next{static_cast<uint32_t>(getpid()) *
                                    kPortStride};
  for (uint32_t tries = 0; tries < kPortCount; ++tries) {
    const auto port =
        static_cast<uint16_t>(kFirstPort + next.fetch_add(1) % kPortCount);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool is_free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (is_free) {
      return port;
    }
  }
  return 0;
}

}  // namespace ring::fakes
