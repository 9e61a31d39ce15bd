#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include "wire_frame_p.h"

namespace ring::wire {

// Encoded frame in the send queue.
struct OutgoingFrame {
  std::string bytes;
  TrafficClass traffic = TrafficClass::kControl;
};

// Result of reading from or writing to a socket.
enum class IoResult : uint8_t { kOk, kClosed };

// One TCP connection to a peer. Enqueue() is thread-safe; everything else is
// used on the network thread only, unless stated otherwise.
class Session {
 public:
  // Takes ownership of the descriptor.
  Session(SessionHandle handle, int fd, std::optional<Endpoint> target);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Returns false if the send queue would exceed max_bytes.
  bool Enqueue(OutgoingFrame frame, size_t max_bytes);
  // Writes queued frames until the socket would block.
  IoResult Flush();
  // Reads available input, up to a limit for each call.
  IoResult Read();
  // Decodes the next frame of the input. Returns nullopt if it is incomplete,
  // corrupt_data if it is longer than max_frame_bytes.
  std::optional<Outcome<Frame>> NextFrame(size_t max_frame_bytes);
  bool wants_write() const;

  const SessionHandle handle;
  const int fd;
  const std::optional<Endpoint> target;  // Set for outgoing connections only.

  // Used on the network thread only.
  bool connecting = false;
  int64_t connect_timeout_ms = 0;
  int64_t created_ms = 0;
  int64_t last_received_ms = 0;
  int64_t last_sent_ms = 0;
  uint64_t sent_bytes[kTrafficClassCount] = {};
  uint64_t received_bytes[kTrafficClassCount] = {};
  uint32_t epoll_events = 0;

  // Set on the network thread when the peer's Hello arrives. `open` is written
  // with the mutex of the hub held.
  PeerInfo peer;
  Link link = Link::kDomain;
  bool open = false;

 private:
  mutable std::mutex mutex_;
  std::deque<OutgoingFrame> queued_;
  size_t queued_bytes_ = 0;

  std::deque<OutgoingFrame> writing_;
  size_t written_ = 0;  // Bytes written of the first frame in writing_.
  std::string input_;
  size_t consumed_ = 0;  // Bytes of input_ already decoded.
};

}  // namespace ring::wire
