#pragma once

/// Upstreams: announcements and membership (Directory), HTTP clients for model
/// engines and plain services, and knowledge about cached prefixes.

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
  kLeaving,  ///< Gave notice: no new work, calls under way finish.
  kDown,     ///< Not heard for too long, or replaced by a new incarnation.
};

/// Load as an upstream reports it. Lags behind.
struct UpstreamLoad {
  int32_t running = 0;
  int32_t waiting = 0;
  int64_t cache_used_tokens = 0;
  int64_t cache_capacity_tokens = 0;
  int64_t reported_at_ms = 0;  ///< Monotonic clock of this entry.

  auto operator<=>(const UpstreamLoad&) const = default;
};

/// An upstream as announced.
struct UpstreamRecord {
  UpstreamId id;
  Endpoint address;
  UpstreamKind kind = UpstreamKind::kEngine;
  MemberState state = MemberState::kUp;
  std::string domain;
  std::string region;
  std::vector<std::string> models;    ///< Of an engine.
  std::vector<std::string> services;  ///< Of a plain service.
  int32_t max_in_flight = 0;
  bool checks_fence = false;  ///< Refuses orders with an old fencing token.
  UpstreamLoad load;

  auto operator<=>(const UpstreamRecord&) const = default;
};

/// An entry of the ring as known by gossip.
struct EntryRecord {
  std::string name;
  uint64_t incarnation = 0;
  std::string domain;
  std::string region;
  Endpoint wire;  ///< Where other entries connect.
  MemberState state = MemberState::kUp;

  auto operator<=>(const EntryRecord&) const = default;
};

/// Immutable picture of the members. `version` grows with each change.
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
  /// Takes an announcement or leaving notice that reached this entry.
  /// @returns bad_request if it is malformed, stale_epoch for an old
  /// incarnation
  virtual Status Announce(const UpstreamRecord& record) = 0;
  virtual std::shared_ptr<const DirectoryView> View() const = 0;
  /// Reports a failed attempt; several failures in a row mark it suspected.
  virtual void ReportFailure(const UpstreamId& id, Reason reason) = 0;
  virtual void ReportSuccess(const UpstreamId& id) = 0;
};

/// Directory kept by gossip between entries.
///
/// Each member has a record ordered by (incarnation, version). A record is
/// pushed at once when it changes; once a second a pull compares a summary with
/// one random peer and repairs what a lost push left out. The recorded state
/// goes from up to leaving and never back for one incarnation.
///
/// kDown is derived, not recorded: a member is shown as down when its last
/// witness is too long ago, and shown as before when the same incarnation is
/// heard again. A recorded "down" would spread after a partition from the side
/// that could not hear the member and take it out where it was always heard.
/// Times since a witness travel as ages, so that clocks need not agree and a
/// slow link makes a member look fresher, never older.
class Directory final : public DirectoryI {
 public:
  struct Init {
    std::string node;
    std::string domain;
    std::string region;
    Endpoint wire;                ///< Own address for other entries.
    std::vector<Endpoint> seeds;  ///< Wire addresses of some entries.
    uint64_t incarnation = 0;     ///< 0: wall milliseconds of the start.
    int64_t pull_period_ms = 1'000;
    /// Least time between two pushes of load, which go to the whole domain.
    int64_t load_period_ms = 1'000;
    /// A witness shows a member as down after this silence and tells others.
    int64_t silence_ms = 5'000;
    /// An entry that is no witness waits longer without a witness's word,
    /// because ages reach it through several pulls.
    int64_t indirect_silence_ms = 15'000;
    /// Records of departed members are kept this long as tombstones.
    int64_t tombstone_ms = 600'000;
    /// Sessions to entries of each other domain; all of the own domain have
    /// one.
    size_t links_per_domain = 2;
    uint64_t seed = 0;  ///< 0: from the system's generator.
  };

  /// @param hub must outlive the directory
  Directory(const Init& init, HubI& hub, const ClockI& clock);
  ~Directory() override;

  Status Announce(const UpstreamRecord& record) override;
  std::shared_ptr<const DirectoryView> View() const override;
  /// Three failures in a row (refused, reset or timed out) show the upstream as
  /// down at this entry for a while that doubles from 1 s to 16 s.
  void ReportFailure(const UpstreamId& id, Reason reason) override;
  void ReportSuccess(const UpstreamId& id) override;

  /// Takes a Gossip frame; other kinds are ignored. For the hub's listener.
  void OnFrame(SessionHandle session, const PeerInfo& peer, const Frame& frame);
  /// Tells all entries that this one is leaving.
  void SetLeaving();
  /// Does what is due; to be called about every 100 ms.
  void Tick();
  /// Duty: calls Tick until stopped.
  Status Run(const StopToken& stop);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// -------------------------------------------------------------- engine clients

/// Cancels a call under way from another thread. Copies share the same state.
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
  std::string cache_key;  ///< Program; empty for a single call.
  std::string attempt;    ///< Echoed by the engine in each event.
  std::string model;
  std::string messages;  ///< JSON list.
  int64_t max_tokens = 0;
  int64_t resume_from = 0;  ///< Tokens of the answer already received.
  int64_t first_token_timeout_ms = 30'000;
  int64_t token_gap_timeout_ms = 10'000;
  std::string extra;  ///< JSON object of further sampling parameters, or empty.

  auto operator<=>(const EngineRequest&) const = default;
};

/// Result of a complete stream (end marker received). Text and output tokens
/// are those of this attempt, without what came before resume_from.
struct EngineResult {
  std::string text;
  std::string finish_reason;  ///< "stop", "length", "tool_calls"
  std::string tool_calls;     ///< JSON list, or empty.
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;  ///< Of the prompt, served from cache.
  int64_t output_tokens = 0;
  int64_t first_token_ms = 0;  ///< After sending.
  int64_t total_ms = 0;

  auto operator<=>(const EngineResult&) const = default;
};

/// Called for each piece of text in order.
/// @param token_offset tokens before this piece
using TextSink =
    std::function<void(int64_t token_offset, const std::string& text)>;

/// An order to an upstream.
struct UpstreamOrder {
  uint64_t fence = 0;
  std::string action;  ///< "load_model", "load_adapter", "unload", "set_role"
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;

  auto operator<=>(const UpstreamOrder&) const = default;
};

/// Cache event of an engine; events come late and with gaps.
struct CacheEvent {
  uint64_t number = 0;
  std::string cache_key;
  int64_t tokens = 0;  ///< Cached now; 0: evicted.

  auto operator<=>(const CacheEvent&) const = default;
};

/// Client of model engines. Thread-safe; each call blocks its thread.
/// Refusals carry a true run state: not_run only if the connection was refused
/// or the engine said so before it accepted the request.
class EngineI {
 public:
  virtual ~EngineI() = default;
  /// @returns upstream_refused, upstream_reset, upstream_timeout,
  ///          upstream_truncated, upstream_error, cancelled
  /// The run state after a failure is unknown if the request may have left.
  virtual Outcome<EngineResult> Complete(const UpstreamRecord& upstream,
                                         const EngineRequest& request,
                                         const TextSink& sink,
                                         const CancelToken& cancel) = 0;
  virtual Status Cancel(const UpstreamRecord& upstream,
                        const std::string& attempt) = 0;
  virtual Status ReleaseCache(const UpstreamRecord& upstream,
                              const std::string& cache_key) = 0;
  /// Moves a cached prefix between two engines.
  virtual Status MoveCache(const UpstreamRecord& from,
                           const UpstreamRecord& to,
                           const std::string& cache_key) = 0;
  /// @returns stale_fence if the engine refused the fencing token
  virtual Status Order(const UpstreamRecord& upstream,
                       const UpstreamOrder& order) = 0;
  /// @returns the engine's models, adapters, versions and role as JSON text
  virtual Outcome<std::string> ReadState(const UpstreamRecord& upstream) = 0;
  virtual Outcome<std::vector<CacheEvent>> CacheEvents(
      const UpstreamRecord& upstream,
      uint64_t since) = 0;
};

struct ServiceRequest {
  std::string service;
  std::string path;  ///< Below the service, starts with '/'.
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
class ServiceI {
 public:
  virtual ~ServiceI() = default;
  /// Sends once; never repeats by itself.
  /// Error statuses of the service are results, unless its body says that the
  /// request did not run.
  /// @returns upstream_refused (not_run), upstream_reset, tool_timeout,
  ///          upstream_truncated, upstream_error (unknown)
  virtual Outcome<ServiceResult> Call(const UpstreamRecord& upstream,
                                      const ServiceRequest& request) = 0;
};

/// Clients over HTTP by cpp-httplib, with TCP_NODELAY and bounded times.
std::unique_ptr<EngineI> CreateHttpEngine();
std::unique_ptr<ServiceI> CreateHttpService();

}  // namespace ring
