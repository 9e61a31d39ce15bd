#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include "wire_frame_p.h"

namespace ring::wire {

// Encoded frame that waits to be written.
struct OutFrame {
  std::string bytes;
  Traffic traffic = Traffic::kControl;
};

// Result of reading or writing.
enum class IoResult : uint8_t { kOk, kClosed };

// One TCP connection. Enqueue is thread-safe; everything else belongs to the
// network thread.
class Session {
 public:
  // Takes over the descriptor.
  Session(SessionHandle handle, int fd, std::optional<Endpoint> target);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Returns false if more than max_bytes would wait.
  bool Enqueue(OutFrame frame, size_t max_bytes);
  // Writes what the socket takes.
  IoResult Flush();
  // Reads what has arrived, up to a limit for one pass.
  IoResult Read();
  // Takes the next whole frame out of the bytes read.
  // Returns nullopt if the frame is incomplete.
  std::optional<Outcome<Frame>> NextFrame(size_t max_frame_bytes);
  bool wants_write() const;

  const SessionHandle handle;
  const int fd;
  const std::optional<Endpoint> target;  // Set if this side connected.

  // Fields of the network thread.
  bool connecting = false;
  int64_t connect_limit_ms = 0;
  int64_t created_ms = 0;
  int64_t last_received_ms = 0;
  int64_t last_sent_ms = 0;
  uint64_t sent_bytes[kTrafficCount] = {};
  uint64_t received_bytes[kTrafficCount] = {};
  uint32_t epoll_events = 0;

  // Written once by the network thread before the session is published.
  PeerInfo peer;
  Link link = Link::kDomain;
  bool open = false;

 private:
  mutable std::mutex mutex_;
  std::deque<OutFrame> waiting_;
  size_t waiting_bytes_ = 0;

  std::deque<OutFrame> writing_;
  size_t written_ = 0;  // Of the first frame of writing_.
  std::string input_;
  size_t consumed_ = 0;  // Of input_.
};

}  // namespace ring::wire
