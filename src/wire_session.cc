#include "wire_session_p.h"

#include <cerrno>
#include <utility>

#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

namespace ring::wire {
namespace {

constexpr size_t kReadChunkBytes = 64u << 10;
// Largest input buffer kept by an idle session; a keeper may have hundreds of
// sessions.
constexpr size_t kMaxIdleInputBytes = 8u << 10;
// Limits one call of Read(), so that a fast peer cannot starve the others.
constexpr int kReadsPerPass = 16;
constexpr size_t kFramesPerWrite = 32;

}  // namespace

Session::Session(SessionHandle session_handle,
                 int descriptor,
                 std::optional<Endpoint> endpoint)
    : handle(session_handle), fd(descriptor), target(std::move(endpoint)) {}

Session::~Session() {
  close(fd);
}

bool Session::Enqueue(OutgoingFrame frame, size_t max_bytes) {
  std::lock_guard lock(mutex_);
  if (queued_bytes_ + frame.bytes.size() > max_bytes) {
    return false;
  }
  queued_bytes_ += frame.bytes.size();
  queued_.push_back(std::move(frame));
  return true;
}

bool Session::wants_write() const {
  std::lock_guard lock(mutex_);
  return !writing_.empty() || !queued_.empty();
}

IoResult Session::Flush() {
  while (true) {
    {
      std::lock_guard lock(mutex_);
      while (!queued_.empty()) {
        writing_.push_back(std::move(queued_.front()));
        queued_.pop_front();
      }
    }
    if (writing_.empty()) {
      return IoResult::kOk;
    }
    iovec parts[kFramesPerWrite];
    size_t count = 0;
    for (auto& frame : writing_) {
      if (count == kFramesPerWrite) {
        break;
      }
      const size_t skip = count == 0 ? written_ : 0;
      parts[count++] = {frame.bytes.data() + skip, frame.bytes.size() - skip};
    }
    msghdr message = {};
    message.msg_iov = parts;
    message.msg_iovlen = count;
    const ssize_t sent = sendmsg(fd, &message, MSG_NOSIGNAL);
    if (sent < 0) {
      return errno == EAGAIN || errno == EINTR ? IoResult::kOk
                                               : IoResult::kClosed;
    }
    written_ += static_cast<size_t>(sent);
    while (!writing_.empty() && written_ >= writing_.front().bytes.size()) {
      const size_t size = writing_.front().bytes.size();
      sent_bytes[static_cast<size_t>(writing_.front().traffic)] += size;
      written_ -= size;
      writing_.pop_front();
      std::lock_guard lock(mutex_);
      queued_bytes_ -= size;
    }
  }
}

IoResult Session::Read() {
  // Shared by all sessions of the thread to save a buffer for each session.
  static thread_local char chunk[kReadChunkBytes];
  for (int i = 0; i < kReadsPerPass; ++i) {
    const ssize_t got = recv(fd, chunk, sizeof(chunk), 0);
    if (got <= 0) {
      const bool again = got < 0 && (errno == EAGAIN || errno == EINTR);
      return again ? IoResult::kOk : IoResult::kClosed;
    }
    input_.append(chunk, static_cast<size_t>(got));
    if (static_cast<size_t>(got) < sizeof(chunk)) {
      return IoResult::kOk;
    }
  }
  return IoResult::kOk;
}

std::optional<Outcome<Frame>> Session::NextFrame(size_t max_frame_bytes) {
  const auto rest = std::string_view(input_).substr(consumed_);
  if (rest.size() >= kHeaderBytes) {
    const FrameHeader header = ReadHeader(rest);
    if (header.length > max_frame_bytes) {
      return Outcome<Frame>(Refusal{Reason::kCorruptData, RunState::kNotRun,
                                    "the frame exceeds the size limit"});
    }
    if (rest.size() >= kHeaderBytes + header.length) {
      auto frame =
          DecodeFrame(header, rest.substr(kHeaderBytes, header.length));
      consumed_ += kHeaderBytes + header.length;
      if (frame) {
        received_bytes[static_cast<size_t>(TrafficClassOf(frame->kind))] +=
            kHeaderBytes + header.length;
      }
      return frame;
    }
  }
  input_.erase(0, consumed_);
  consumed_ = 0;
  if (input_.empty() && input_.capacity() > kMaxIdleInputBytes) {
    input_.shrink_to_fit();
  }
  return std::nullopt;
}

}  // namespace ring::wire
