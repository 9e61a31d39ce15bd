#pragma once

/// Entry: HTTP front end, program sessions, call path, forwarding between
/// entries, janitor and drain.

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "persimmonring/control.h"
#include "persimmonring/core.h"
#include "persimmonring/policy.h"
#include "persimmonring/program.h"
#include "persimmonring/runtime.h"
#include "persimmonring/upstream.h"
#include "persimmonring/wire.h"

namespace ring {

/// Final answer of a call, successful or not.
struct FinalAnswer {
  int32_t http_status = 200;
  std::string content_type;
  std::string body;           ///< Whole body of an answer that is not streamed.
  std::string finish_reason;  ///< Of a model call.
  std::string tool_calls;     ///< JSON list of a model call, or empty.
  std::string usage;          ///< JSON object of a model call, or empty.
  Refusal refusal;            ///< Reason kNone: success.

  auto operator<=>(const FinalAnswer&) const = default;
};

/// Answer of one call, with one writer and any number of readers. The whole
/// text is kept, so that a reader can join at any time. Thread-safe.
class AnswerStream {
 public:
  struct Piece {
    std::string text;                  ///< Text after the given offset.
    std::optional<FinalAnswer> final;  ///< Set once no more text follows.
  };

  /// Adds text. Ignored after Finish.
  void Append(std::string_view text);
  /// Ends the stream; the first final answer wins.
  /// @returns false if the stream had ended before
  bool Finish(FinalAnswer final);
  /// Waits for text after `offset` or for the end.
  /// @param timeout_ms longest wait, milliseconds
  Piece Read(size_t offset, int64_t timeout_ms) const;
  std::string text() const;
  bool finished() const;

  /// Readers are counted so that calls without any can be dropped.
  void AddReader();
  void RemoveReader();
  int readers() const;
  /// @param callback runs after each change on the writer's thread; must be
  ///        short
  void Observe(std::function<void()> callback);

 private:
  void Notify();

  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::string text_;
  std::optional<FinalAnswer> final_;
  std::vector<std::function<void()>> observers_;
  int readers_ = 0;
};

/// Limits of the HTTP front end.
struct HttpLimits {
  int64_t threads = 64;      ///< Connections served at the same time.
  int64_t max_waiting = 64;  ///< Connections that wait for a thread.
  int64_t max_body_bytes = 4 << 20;
  int64_t max_headers = 64;
  int64_t max_header_bytes = 32 << 10;
  int64_t header_time_ms = 5'000;  ///< For the whole header of a request.
  int64_t body_time_ms = 20'000;   ///< For the whole body of a request.
  int64_t write_time_ms = 10'000;  ///< For one write to a slow reader.
  int64_t keep_alive_ms = 5'000;
  int64_t keep_alive_requests = 10'000;

  auto operator<=>(const HttpLimits&) const = default;
};

/// Limits of calls and programs.
struct CallLimits {
  int64_t max_queue = 1'000;      ///< Waiting calls.
  int64_t max_first_queue = 500;  ///< Above it, new programs are refused.
  int64_t attempt_threads = 64;   ///< Attempts under way at the same time.
  int64_t default_max_tokens = 1'024;
  int64_t max_tokens = 32'768;  ///< Largest max_tokens of a request.
  int64_t max_messages = 4'096;
  int64_t sequence_wait_ms = 500;  ///< Wait of a call that came too early.
  int64_t default_deadline_ms = 120'000;
  int64_t max_deadline_ms = 3'600'000;
  int64_t default_idle_ms = 600'000;  ///< Idle limit of a program.
  int64_t service_timeout_ms = 30'000;
  int64_t first_token_timeout_ms = 30'000;
  int64_t token_gap_timeout_ms = 10'000;
  int64_t resume_attempts = 2;      ///< On the same engine, after a cut.
  int64_t engine_in_flight = 8;     ///< If the engine announces no limit.
  int64_t service_in_flight = 32;   ///< If the service announces no limit.
  int64_t quorum_retry_ms = 1'000;  ///< Between probes of a domain without
                                    ///< quorum; calls are refused meanwhile.
  int64_t caller_gone_ms = 2'000;  ///< Queued calls without reader are dropped.

  auto operator<=>(const CallLimits&) const = default;
};

struct EntryInit {
  std::string ring;
  std::string node;
  std::string domain;
  std::string region;
  Endpoint http;   ///< Port 0: any free port.
  Endpoint admin;  ///< Port 0: any free port.
  HttpLimits http_limits;
  CallLimits call_limits;
  int64_t drain_notice_ms = 3'000;  ///< Calls of open programs are still taken
                                    ///< while the balancer notices the drain.
  int64_t janitor_period_ms = 1'000;
  int64_t lease_ms = 10'000;       ///< Of the reconciler.
  int64_t weight_pace_ms = 1'000;  ///< Between two load orders.
  uint64_t seed = 0;               ///< 0: from the system's generator.
};

/// What an entry works with. All must outlive it.
struct EntryParts {
  const ClockI* clock = nullptr;
  ProgramStoreI* programs = nullptr;
  ControlStoreI* control = nullptr;
  DirectoryI* directory = nullptr;
  EngineI* engine = nullptr;
  ServiceI* service = nullptr;
  const PolicyI* policy = nullptr;
  RetryPolicyI* retries = nullptr;
  HubI* hub = nullptr;  ///< nullptr: calls are never forwarded.
};

/// One entry. Frames of other kinds than Forward* and ControlPush are ignored.
class Entry final : public HubListenerI {
 public:
  /// Opens the listeners.
  /// @returns storage_failed with a clear message if a port is in use
  static Outcome<std::unique_ptr<Entry>> Create(const EntryInit& init,
                                                const EntryParts& parts);
  ~Entry() override;

  /// Adds the duties of the entry. Stop the supervisor before the entry goes.
  void AddDuties(Supervisor& supervisor);
  /// Hub for forwarding, if it was created after the entry. Call before
  /// AddDuties.
  void Attach(HubI& hub);

  /// Fails /readyz and refuses new programs. Idempotent.
  void BeginDrain();
  bool draining() const;
  /// @returns true if a drain has ended and nothing is under way
  bool drained() const;

  uint16_t http_port() const;
  uint16_t admin_port() const;
  /// @returns queue, upstreams, programs and versions as JSON text
  std::string StatusJson() const;
  /// Polls the control group as soon as possible.
  void OnControlPush();

  void OnOpened(SessionHandle session, const PeerInfo& peer) override;
  void OnFrame(SessionHandle session,
               const PeerInfo& peer,
               const Frame& frame) override;
  void OnClosed(SessionHandle session,
                const PeerInfo& peer,
                Reason reason) override;

 private:
  class Impl;
  explicit Entry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
