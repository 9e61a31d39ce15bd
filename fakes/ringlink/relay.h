#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "persimmonring/core.h"

namespace ring::fakes {

/// Relays TCP connections from a listening port to a target, on one thread.
class Relay {
 public:
  enum class Mode : uint8_t {
    kOpen,    ///< Forwards bytes.
    kCut,     ///< Drops bytes silently but keeps connections open.
    kRefuse,  ///< Closes the listener but keeps open connections.
  };

  struct Init {
    Endpoint listen;  ///< Port 0: any free port.
    Endpoint target;
    int64_t delay_ms = 0;  ///< In each direction.
  };

  /// @returns storage_failed if the port is in use
  static Outcome<std::unique_ptr<Relay>> Create(const Init& init);
  ~Relay();

  uint16_t port() const { return port_; }
  /// Returns once the mode is applied. Connections that lost bytes while cut
  /// are reset when the mode leaves kCut, because a stream with missing bytes
  /// must not reach its receiver.
  void SetMode(Mode mode);
  /// Resets all connections.
  void Reset();
  void SetDelay(int64_t delay_ms) { delay_ms_.store(delay_ms); }
  nlohmann::json Stats() const;

 private:
  struct Chunk {
    std::string bytes;
    int64_t due_ms;
  };
  // One direction of a connection.
  struct Flow {
    std::deque<Chunk> chunks;
    size_t bytes = 0;
    bool source_closed = false;    // The sender has closed its direction.
    bool close_forwarded = false;  // The close was forwarded to the receiver.
  };
  struct Connection {
    int fds[2] = {-1, -1};  // Caller, target.
    Flow flows[2];          // [0] caller to target, [1] target to caller.
    bool lost_bytes = false;
    bool broken = false;
  };

  Relay(const Init& init, int listen_fd, uint16_t port);
  void WaitUntilApplied() const;
  void Run();
  void ApplyCommands();
  bool OpenListener();
  void Accept();
  void ReadFrom(Connection& connection, int side);
  void WriteTo(Connection& connection, int side);
  void CloseBroken();
  int PollTimeoutMs() const;

  const Init init_;
  int listen_fd_;
  const uint16_t port_;
  std::atomic<Mode> mode_{Mode::kOpen};
  std::atomic<bool> reset_{false};
  std::atomic<bool> stop_{false};
  std::atomic<uint64_t> poll_passes_{0};
  std::atomic<int64_t> delay_ms_;
  std::atomic<uint64_t> bytes_[2] = {0, 0};
  std::atomic<uint64_t> dropped_bytes_{0};
  std::atomic<uint64_t> accepted_{0};
  std::atomic<uint64_t> open_{0};
  std::map<uint64_t, Connection> connections_;
  uint64_t next_connection_ = 1;
  std::thread thread_;
};

}  // namespace ring::fakes
