#pragma once

/// Upstreams: membership of upstreams and entries (Directory), and HTTP clients
/// for model engines and plain services.

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/core.h"
#include "persimmonring/runtime.h"
#include "persimmonring/wire.h"

namespace ring {

enum class UpstreamKind : uint8_t { kEngine, kService };

enum class MemberState : uint8_t {
  kUp,
  kLeaving,  ///< Takes no new calls; calls in flight finish.
  kDown,     ///< Silent for too long, or its calls keep failing here.
};

/// Load as reported by an upstream, with a delay.
struct UpstreamLoad {
  int32_t running = 0;
  int32_t waiting = 0;
  int64_t cache_used_tokens = 0;
  int64_t cache_capacity_tokens = 0;
  int64_t reported_at_ms = 0;  ///< Monotonic clock of this entry; 0: never.

  auto operator<=>(const UpstreamLoad&) const = default;
};

/// Announcement of an upstream.
struct UpstreamRecord {
  UpstreamId id;
  Endpoint address;
  UpstreamKind kind = UpstreamKind::kEngine;
  MemberState state = MemberState::kUp;
  std::string domain;
  std::string region;
  std::vector<std::string> models;    ///< Offered by an engine.
  std::vector<std::string> services;  ///< Offered by a plain service.
  int32_t max_in_flight = 0;
  bool checks_fence = false;  ///< Refuses orders with a stale fencing token.
  UpstreamLoad load;

  auto operator<=>(const UpstreamRecord&) const = default;
};

/// An entry of the ring as known from gossip.
struct EntryRecord {
  std::string name;
  uint64_t incarnation = 0;
  std::string domain;
  std::string region;
  Endpoint wire;  ///< Address for connections from other entries.
  MemberState state = MemberState::kUp;

  auto operator<=>(const EntryRecord&) const = default;
};

/// Immutable snapshot of the members. `version` grows with each change.
struct DirectoryView {
  uint64_t version = 0;
  std::vector<UpstreamRecord> upstreams;  ///< Sorted by name.
  std::vector<EntryRecord> entries;       ///< Sorted by name.

  auto operator<=>(const DirectoryView&) const = default;
};

/// Members of the ring. Thread-safe.
class DirectoryI {
 public:
  virtual ~DirectoryI() = default;
  /// Records an announcement or leaving notice sent to this entry by an
  /// upstream.
  /// @returns bad_request if it is malformed, stale_epoch if a newer
  ///          incarnation is known
  virtual Status Announce(const UpstreamRecord& record) = 0;
  virtual std::shared_ptr<const DirectoryView> View() const = 0;
  /// Reports a failed attempt. Several consecutive failures mark the upstream
  /// as down for a while.
  virtual void ReportFailure(const UpstreamId& id, Reason reason) = 0;
  virtual void ReportSuccess(const UpstreamId& id) = 0;
};

/// Directory replicated by gossip between entries.
///
/// Each member has a record, ordered by (incarnation, version). A changed
/// record is pushed immediately. Once per pull_period_ms an anti-entropy pull
/// compares a summary with one random peer and repairs the effects of lost
/// pushes. The recorded state of an incarnation only changes from up to
/// leaving.
///
/// kDown is derived from silence, not recorded. An entry that hears from a
/// member directly, by announcements or an open session, is called a witness of
/// that member. A member is marked as down if no witness has heard from it for
/// too long, and as up or leaving again when the same incarnation is heard
/// from. If kDown were recorded, the side of a partition that cannot hear a
/// member would later spread it and remove a member that the other side can
/// reach. Gossip carries the time since a member was last heard, so clocks need
/// not agree. A slow link can make this age too small, never too large.
class Directory final : public DirectoryI {
 public:
  struct Init {
    std::string node;
    std::string domain;
    std::string region;
    Endpoint wire;                ///< Own address for other entries.
    std::vector<Endpoint> seeds;  ///< Wire addresses of some entries.
    uint64_t incarnation = 0;     ///< 0: wall clock at the start, ms.
    int64_t pull_period_ms = 1'000;
    /// Minimum time between two pushes of load to the entries of the domain.
    int64_t load_period_ms = 1'000;
    /// A witness marks a member as down after this silence and notifies others.
    int64_t silence_ms = 5'000;
    /// Other entries mark a member as down after this silence unless a witness
    /// notifies them. Longer, because ages reach them through several pulls.
    int64_t indirect_silence_ms = 15'000;
    /// Records of silent members are kept this long as tombstones.
    int64_t tombstone_ms = 600'000;
    /// Number of sessions to entries of each other domain. Within its domain an
    /// entry has a session to every other entry.
    size_t links_per_domain = 2;
    uint64_t seed = 0;  ///< Seed of the random generator; 0: random seed.
  };

  /// @param hub must outlive the directory
  Directory(const Init& init, HubI& hub, const ClockI& clock);
  ~Directory() override;

  Status Announce(const UpstreamRecord& record) override;
  std::shared_ptr<const DirectoryView> View() const override;
  /// Three consecutive failures (refused, reset or timed out) mark the upstream
  /// as down at this entry for 1 s. Each further failure doubles the time, up
  /// to 16 s.
  void ReportFailure(const UpstreamId& id, Reason reason) override;
  void ReportSuccess(const UpstreamId& id) override;

  /// Handles a Gossip frame received by the hub; other kinds are ignored.
  void OnFrame(SessionHandle session, const PeerInfo& peer, const Frame& frame);
  /// Records and gossips that this entry is leaving.
  void SetLeaving();
  /// Runs due periodic work. Call about every 100 ms.
  void Tick();
  /// Calls Tick periodically until stopped.
  Status Run(const StopToken& stop);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// -------------------------------------------------------------- engine clients

/// Cancels a running call from another thread. Copies share their state.
class CancelToken {
 public:
  CancelToken() : cancelled_(std::make_shared<std::atomic<bool>>(false)) {}
  void Cancel() const { cancelled_->store(true); }
  bool cancelled() const { return cancelled_->load(); }

 private:
  std::shared_ptr<std::atomic<bool>> cancelled_;
};

/// One attempt of a model call.
struct EngineRequest {
  std::string cache_key;  ///< Identifies the program; empty for a single call.
  std::string attempt;    ///< Id that the engine repeats in each event.
  std::string model;
  std::string messages;  ///< JSON list.
  int64_t max_tokens = 0;
  int64_t resume_from = 0;  ///< Answer tokens already received.
  int64_t first_token_timeout_ms = 30'000;
  int64_t token_gap_timeout_ms = 10'000;
  /// JSON object with further sampling parameters, or empty.
  std::string extra;

  auto operator<=>(const EngineRequest&) const = default;
};

/// Result of a complete stream, whose end marker has arrived. Text and output
/// tokens are those of this attempt and exclude tokens before resume_from.
struct EngineResult {
  std::string text;
  std::string finish_reason;  ///< "stop", "length", "tool_calls"
  std::string tool_calls;     ///< JSON list, or empty.
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;  ///< Prompt tokens served from the cache.
  int64_t output_tokens = 0;
  int64_t first_token_ms = 0;  ///< Time from sending to the first token.
  int64_t total_ms = 0;        ///< Time from sending to the end marker.

  auto operator<=>(const EngineResult&) const = default;
};

/// Receives the pieces of text in order.
/// @param token_offset answer tokens before this piece
using TextSink =
    std::function<void(int64_t token_offset, const std::string& text)>;

/// A management order to an upstream: load or unload a model or adapter, or set
/// the role.
struct UpstreamOrder {
  uint64_t fence = 0;  ///< Fencing token of the sender.
  std::string action;  ///< "load_model", "load_adapter", "unload", "set_role"
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;

  auto operator<=>(const UpstreamOrder&) const = default;
};

/// Change of one cached prefix of an engine. Events arrive late and some are
/// missing.
struct CacheEvent {
  uint64_t number = 0;
  std::string cache_key;
  int64_t tokens = 0;  ///< Tokens now cached; 0: evicted.

  auto operator<=>(const CacheEvent&) const = default;
};

/// Client of model engines. Thread-safe; each call blocks its thread. A refusal
/// has run state not_run only if no connection was made or the engine reports
/// that the request did not run.
class EngineClientI {
 public:
  virtual ~EngineClientI() = default;
  /// Sends one attempt and waits for its end.
  /// @returns bad_request, upstream_refused, upstream_reset, upstream_timeout,
  ///          upstream_truncated, upstream_error, cancelled; with run state
  ///          unknown if the request may have been sent
  virtual Outcome<EngineResult> Complete(const UpstreamRecord& upstream,
                                         const EngineRequest& request,
                                         const TextSink& sink,
                                         const CancelToken& cancel) = 0;
  virtual Status Cancel(const UpstreamRecord& upstream,
                        const std::string& attempt) = 0;
  virtual Status ReleaseCache(const UpstreamRecord& upstream,
                              const std::string& cache_key) = 0;
  /// Imports a cached prefix into `to` and then releases it in `from`.
  virtual Status MoveCache(const UpstreamRecord& from,
                           const UpstreamRecord& to,
                           const std::string& cache_key) = 0;
  /// @returns stale_fence if the engine refused the fencing token
  virtual Status Order(const UpstreamRecord& upstream,
                       const UpstreamOrder& order) = 0;
  /// @returns the engine's models, adapters, versions and role as JSON text
  virtual Outcome<std::string> ReadState(const UpstreamRecord& upstream) = 0;
  /// @param since number of the last event received
  virtual Outcome<std::vector<CacheEvent>> CacheEvents(
      const UpstreamRecord& upstream,
      uint64_t since) = 0;
};

struct ServiceRequest {
  std::string service;
  std::string path;  ///< Relative to the service; starts with '/'.
  std::string body;
  std::string content_type = "application/json";
  std::string idempotency_key;
  std::string attempt;
  int64_t timeout_ms = 30'000;

  auto operator<=>(const ServiceRequest&) const = default;
};

struct ServiceResult {
  int32_t http_status = 0;
  std::string content_type;
  std::string body;

  auto operator<=>(const ServiceResult&) const = default;
};

/// Client of plain services. Thread-safe; each call blocks its thread. The
/// request goes to POST /v1/services/<service><path> of the upstream.
class ServiceClientI {
 public:
  virtual ~ServiceClientI() = default;
  /// Sends the request once, without retries. A response with an error status
  /// is a result, unless its body says that the request did not run.
  /// @returns bad_request (not_run), upstream_refused (not_run),
  ///          upstream_reset, tool_timeout, upstream_truncated, upstream_error
  ///          (unknown)
  virtual Outcome<ServiceResult> Call(const UpstreamRecord& upstream,
                                      const ServiceRequest& request) = 0;
};

/// Clients over HTTP, with TCP_NODELAY and a timeout for each request.
std::unique_ptr<EngineClientI> CreateHttpEngineClient();
std::unique_ptr<ServiceClientI> CreateHttpServiceClient();

}  // namespace ring
