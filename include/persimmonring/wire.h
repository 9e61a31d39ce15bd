#pragma once

/// Transport between the processes of a ring: length-prefixed, checksummed
/// FlatBuffers frames over TCP. One epoll thread serves all sessions.

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

/// One message. The payload is a FlatBuffer whose schema depends on the kind.
struct Frame {
  FrameKind kind = FrameKind::Ping;
  std::string group;         ///< Raft group; empty if the kind has none.
  uint64_t correlation = 0;  ///< Matches a reply to its request.
  std::string payload;

  auto operator<=>(const Frame&) const = default;
};

/// Encodes a frame, with its header of length and checksum.
/// @param from name of the sending node; set in Hello frames only, which
///        identify the peer for the rest of the session
/// @param compress compresses payloads over 512 bytes with zstd if that makes
///        them smaller
std::string EncodeFrame(const Frame& frame,
                        std::string_view from,
                        bool compress);

/// Identifies a session with a peer process. Handles are not reused: a
/// reconnected session has a new one.
struct SessionHandle {
  uint64_t value = 0;
  auto operator<=>(const SessionHandle&) const = default;
};
inline bool IsValid(SessionHandle handle) {
  return handle.value != 0;
}

/// Identity of the peer of a session, from its Hello frame.
struct PeerInfo {
  std::string node;
  std::string domain;
  std::string region;
  /// Start time of the peer process, Unix ms.
  uint64_t incarnation = 0;
  /// Address at which the peer relays connections; empty: it does not.
  std::string relay;

  auto operator<=>(const PeerInfo&) const = default;
};

/// Receives the events of a hub. Called on the network thread; must not block.
class HubListenerI {
 public:
  virtual ~HubListenerI() = default;
  virtual void OnOpened(SessionHandle session, const PeerInfo& peer) = 0;
  /// Not called for Hello, Ping and Pong, which the hub handles itself.
  virtual void OnFrame(SessionHandle session,
                       const PeerInfo& peer,
                       const Frame& frame) = 0;
  /// Called for each session reported by OnOpened(), and also for sessions
  /// refused with version_mismatch, which OnOpened() does not report.
  /// @param reason why the session ended: upstream_reset, upstream_timeout
  ///        (nothing received in time), version_mismatch, corrupt_data or
  ///        cancelled
  virtual void OnClosed(SessionHandle session,
                        const PeerInfo& peer,
                        Reason reason) = 0;
};

/// Manages the sessions with peers. Thread-safe.
class HubI {
 public:
  virtual ~HubI() = default;
  /// Opens a session to this address and reconnects, with a delay, whenever it
  /// is lost. Idempotent.
  virtual void Connect(const Endpoint& endpoint) = 0;
  /// Closes the session to this address and stops reconnecting.
  virtual void Disconnect(const Endpoint& endpoint) = 0;
  /// Queues a frame for sending. Never blocks.
  /// @returns owner_unreachable if the session is closed, queue_full if its
  ///          send queue is full, body_too_large above kMaxFrameBytes
  virtual Status Send(SessionHandle session, const Frame& frame) = 0;
  /// @returns the open session to an address; an invalid handle if none is open
  virtual SessionHandle FindByEndpoint(const Endpoint& endpoint) const = 0;
  /// @returns an open session to a node; an invalid handle if none is open
  virtual SessionHandle FindByNode(const std::string& node) const = 0;
};

/// Implementation of HubI over TCP.
class Hub final : public HubI {
 public:
  struct Init {
    std::string ring;  ///< Name of the ring; peers of other rings are refused.
    std::string node;
    std::string domain;
    std::string region;
    Endpoint listen;    ///< Address to listen on; invalid: do not listen.
    std::string relay;  ///< See PeerInfo::relay.
    /// Sends a Ping when nothing else was sent for this time.
    int64_t ping_period_ms = 500;
    /// Closes a session when nothing was received for this time.
    int64_t receive_timeout_ms = 2'000;
    /// Timeout of the first connection attempt: a few round trips between
    /// regions, because TCP itself retransmits a lost connection request only
    /// after 1 s. Doubles with each attempt, up to the receive timeout, for
    /// links with a high queueing delay.
    int64_t connect_timeout_ms = 120;
    /// Delay between connection attempts.
    int64_t reconnect_delay_ms = 200;
    /// The delay stays constant for this time after a peer was lost, because a
    /// restarted peer is back within seconds. After that it doubles with each
    /// attempt, up to five times reconnect_delay_ms.
    int64_t fast_reconnect_ms = 3'000;
    size_t max_queue_bytes = 32u << 20;  ///< Send queue of each session.
    size_t max_sessions = 1'024;
  };

  /// Counters of the hub. Bytes are updated once a second; they are also
  /// exported as the metric ring_wire_bytes_total{class, link, direction}.
  struct Stats {
    uint64_t sent_bytes = 0;
    uint64_t received_bytes = 0;
    uint64_t open_sessions = 0;
    uint64_t refused_frames = 0;
  };

  /// Opens the listening socket, if there is an address to listen on.
  /// @param listener receives the events; must outlive the hub
  /// @returns the hub, or storage_failed if the address cannot be bound
  static Outcome<std::unique_ptr<Hub>> Create(const Init& init,
                                              HubListenerI& listener);
  ~Hub() override;

  void Connect(const Endpoint& endpoint) override;
  void Disconnect(const Endpoint& endpoint) override;
  Status Send(SessionHandle session, const Frame& frame) override;
  SessionHandle FindByEndpoint(const Endpoint& endpoint) const override;
  SessionHandle FindByNode(const std::string& node) const override;

  Stats stats() const;
  /// Supervised worker: serves all sessions until stopped.
  Status Run(const StopToken& stop);
  /// Interrupts a blocking wait in Run(). Thread-safe.
  void Wake();

 private:
  class Impl;
  explicit Hub(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
