#pragma once

/// Transport between processes of a ring: length-prefixed, checksummed
/// FlatBuffers frames over TCP, one epoll thread for all sessions.

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/runtime.h"
#include "wire.generated.h"

namespace ring {

using FrameKind = fb::FrameKind;

constexpr uint16_t kProtocolVersion = 1;
constexpr size_t kMaxFrameBytes = 8u << 20;

/// One message. The payload is a FlatBuffer of the kind's own schema.
struct Frame {
  FrameKind kind = FrameKind::Ping;
  std::string group;         ///< Log group; empty for other kinds.
  uint64_t correlation = 0;  ///< Pairs a reply with its request.
  std::string payload;

  auto operator<=>(const Frame&) const = default;
};

/// Encodes a frame with length and checksum.
/// @param from sending node; set in Hello frames only, because a session has
///        one peer
/// @param compress allows zstd for a payload over 512 bytes
std::string EncodeFrame(const Frame& frame,
                        std::string_view from,
                        bool compress);

/// Session with a peer process. A session that was closed is never valid again.
struct SessionHandle {
  uint64_t value = 0;
  auto operator<=>(const SessionHandle&) const = default;
};
inline bool isValid(SessionHandle handle) {
  return handle.value != 0;
}

/// Who is at the other end of a session.
struct PeerInfo {
  std::string node;
  std::string domain;
  std::string region;
  uint64_t incarnation = 0;  ///< Wall milliseconds of the peer's start.

  auto operator<=>(const PeerInfo&) const = default;
};

/// Receives events of a hub. Called on the network thread; must not block.
class HubListenerI {
 public:
  virtual ~HubListenerI() = default;
  virtual void OnOpened(SessionHandle session, const PeerInfo& peer) = 0;
  /// Hello, Ping and Pong are handled by the hub and not passed on.
  virtual void OnFrame(SessionHandle session,
                       const PeerInfo& peer,
                       const Frame& frame) = 0;
  /// Called for each session that was opened, and for sessions refused with
  /// version_mismatch, which were not.
  /// @param reason why the session ended: upstream_reset, upstream_timeout
  ///        (silence), version_mismatch, corrupt_data, cancelled
  virtual void OnClosed(SessionHandle session,
                        const PeerInfo& peer,
                        Reason reason) = 0;
};

/// Sessions with peers. Thread-safe.
class HubI {
 public:
  virtual ~HubI() = default;
  /// Keeps a session to this address open, reconnecting with a delay.
  /// Idempotent.
  virtual void Connect(const Endpoint& endpoint) = 0;
  /// Ends the session to this address and stops reconnecting.
  virtual void Disconnect(const Endpoint& endpoint) = 0;
  /// Queues a frame; never waits.
  /// @returns owner_unreachable if the session is closed, queue_full if too
  ///          many bytes wait, body_too_large above kMaxFrameBytes
  virtual Status Send(SessionHandle session, const Frame& frame) = 0;
  /// @returns the open session to an address, invalid if there is none
  virtual SessionHandle FindByEndpoint(const Endpoint& endpoint) const = 0;
  /// @returns the open session to a node, invalid if there is none
  virtual SessionHandle FindByNode(const std::string& node) const = 0;
};

class Hub final : public HubI {
 public:
  struct Init {
    std::string ring;  ///< Name of the ring; peers of another ring are refused.
    std::string node;
    std::string domain;
    std::string region;
    Endpoint listen;  ///< Invalid: do not listen.
    /// A Ping is sent when nothing else was sent for this time.
    int64_t ping_period_ms = 500;
    int64_t silence_limit_ms = 2'000;
    /// A connection request without an answer is repeated after this time, a
    /// few round trips between regions; TCP alone repeats it after 1 s. Doubles
    /// with each attempt up to the silence limit, for links with long queues.
    int64_t connect_limit_ms = 120;
    int64_t reconnect_delay_ms = 200;
    /// For this time after the loss of a peer the delay stays as it is, because
    /// a restarted peer is back within seconds; then it grows to five times.
    int64_t eager_reconnect_ms = 3'000;
    size_t max_queue_bytes = 32u << 20;  ///< For each session.
    size_t max_sessions = 1'024;
  };

  /// Bytes sent and received, for the metrics ring_wire_bytes_total
  /// {class, link, direction} and for tests. Bytes are brought up to date once
  /// a second.
  struct Stats {
    uint64_t sent_bytes = 0;
    uint64_t received_bytes = 0;
    uint64_t open_sessions = 0;
    uint64_t refused_frames = 0;
  };

  /// Opens the listener.
  /// @param listener must outlive the hub
  /// @returns the hub, or storage_failed with text if the port is in use
  static Outcome<std::unique_ptr<Hub>> Create(const Init& init,
                                              HubListenerI& listener);
  ~Hub() override;

  void Connect(const Endpoint& endpoint) override;
  void Disconnect(const Endpoint& endpoint) override;
  Status Send(SessionHandle session, const Frame& frame) override;
  SessionHandle FindByEndpoint(const Endpoint& endpoint) const override;
  SessionHandle FindByNode(const std::string& node) const override;

  Stats stats() const;
  /// Duty: serves all sessions until stopped.
  Status Run(const StopToken& stop);
  /// Ends a blocking wait in Run.
  void Wake();

 private:
  class Impl;
  explicit Hub(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
