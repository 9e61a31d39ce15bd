#pragma once

/// Entry: the node that callers reach over HTTP. Keeps the state of the
/// programs it owns, queues and runs their calls, forwards calls to the entries
/// that own other programs, runs periodic maintenance and drains on shutdown.
///
/// A process runs either an Entry (agent programs, see program.h) or a Gateway
/// (routes, see state.h), never both.

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

/// Result of a finished call, whether it succeeded or was refused.
struct FinalAnswer {
  int32_t http_status = 200;
  std::string content_type;
  std::string body;           ///< Complete body for non-streamed answers.
  std::string finish_reason;  ///< Model calls only.
  std::string tool_calls;     ///< Model calls only: JSON list, or empty.
  std::string usage;          ///< Model calls only: JSON object, or empty.
  Refusal refusal;            ///< Reason kNone means success.

  auto operator<=>(const FinalAnswer&) const = default;
};

/// Answer of one call, with a single writer and any number of readers. Keeps
/// the complete text, so readers can join at any time. Thread-safe.
class AnswerStream {
 public:
  struct Piece {
    std::string text;                  ///< Text after the given offset.
    std::optional<FinalAnswer> final;  ///< Set once no more text follows.
  };

  /// Appends text. Has no effect after Finish.
  void Append(std::string_view text);
  /// Ends the stream. Only the first final answer is kept.
  /// @returns false if the stream had already ended
  bool Finish(FinalAnswer final);
  /// Waits for text beyond `offset` or for the end of the stream.
  /// @param offset byte offset into the text
  /// @param timeout_ms longest wait, ms
  Piece Read(size_t offset, int64_t timeout_ms) const;
  std::string text() const;
  bool finished() const;

  /// Counts readers; a queued call that has none left can be dropped.
  void AddReader();
  void RemoveReader();
  int readers() const;
  /// Registers a callback for changes of the stream.
  /// @param callback runs on the writer's thread after each change and must
  ///        not block
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
struct EntryHttpLimits {
  int64_t threads = 64;      ///< Connections served concurrently.
  int64_t max_waiting = 64;  ///< Connections waiting for a thread.
  int64_t max_body_bytes = 4 << 20;
  int64_t max_headers = 64;
  int64_t max_header_bytes = 32 << 10;
  int64_t header_timeout_ms = 5'000;  ///< To receive all headers of a request.
  int64_t body_timeout_ms = 20'000;   ///< To receive the body of a request.
  int64_t write_timeout_ms = 10'000;  ///< For one write to a slow client.
  int64_t keep_alive_ms = 5'000;
  int64_t keep_alive_requests = 10'000;

  auto operator<=>(const EntryHttpLimits&) const = default;
};

/// Limits on calls and programs.
struct CallLimits {
  int64_t max_queue = 1'000;      ///< Calls waiting in the queue.
  int64_t max_first_queue = 500;  ///< Queue length from which new programs
                                  ///< are refused.
  int64_t attempt_threads = 64;   ///< Attempts that run concurrently.
  int64_t default_max_tokens = 1'024;
  int64_t max_tokens = 32'768;  ///< Largest max_tokens that a request may set.
  int64_t max_messages = 4'096;
  int64_t sequence_wait_ms = 500;  ///< How long a call waits for the
                                   ///< calls before it in its program.
  int64_t default_deadline_ms = 120'000;
  int64_t max_deadline_ms = 3'600'000;
  int64_t default_idle_ms = 600'000;  ///< Default idle limit of a program.
  int64_t service_timeout_ms = 30'000;
  int64_t first_token_timeout_ms = 30'000;
  int64_t token_gap_timeout_ms = 10'000;
  int64_t resume_attempts = 2;     ///< On the same engine, after its stream was
                                   ///< interrupted.
  int64_t engine_in_flight = 8;    ///< For engines that announce no limit.
  int64_t service_in_flight = 32;  ///< For services that announce no limit.
  int64_t quorum_retry_ms = 1'000;  ///< Interval between probes of a domain
                                    ///< without quorum; its calls are refused
                                    ///< in between.
  int64_t caller_gone_ms = 2'000;  ///< Queued calls that have had no reader for
                                   ///< this long are dropped.

  auto operator<=>(const CallLimits&) const = default;
};

struct EntryInit {
  std::string ring;
  std::string node;
  std::string domain;
  std::string region;
  Endpoint http;   ///< Port 0 selects any free port.
  Endpoint admin;  ///< Port 0 selects any free port.
  EntryHttpLimits http_limits;
  CallLimits call_limits;
  /// Time after the start of a drain in which calls of open programs are still
  /// accepted, because the load balancer has yet to notice the drain.
  int64_t drain_notice_ms = 3'000;
  int64_t janitor_period_ms = 1'000;  ///< Interval between maintenance runs.
  int64_t lease_ms = 10'000;          ///< Duration of the reconciler lease (see
                                      ///< control.h).
  int64_t weight_pace_ms = 1'000;     ///< Interval between two orders that load
                                      ///< model weights.
  uint64_t seed = 0;  ///< Seed of the random generator; 0: random seed.
};

/// Components that an entry uses. All must outlive it.
struct EntryDependencies {
  const ClockI* clock = nullptr;
  ProgramStoreI* programs = nullptr;
  ControlStoreI* control = nullptr;
  DirectoryI* directory = nullptr;
  EngineClientI* engine = nullptr;
  ServiceClientI* service = nullptr;
  const PolicyI* policy = nullptr;
  RetryPolicyI* retries = nullptr;
  HubI* hub = nullptr;  ///< nullptr disables forwarding.
};

/// One entry. OnFrame handles ForwardCall, ForwardChunk, ForwardEnd and
/// CancelForward and ignores other frames. The owner of the hub calls
/// OnControlPush for ControlPush frames.
class Entry final : public HubListenerI {
 public:
  /// Creates an entry and opens its listeners.
  /// @returns storage_failed, with the address in the message, if a port is in
  ///          use
  static Outcome<std::unique_ptr<Entry>> Create(const EntryInit& init,
                                                const EntryDependencies& deps);
  ~Entry() override;

  /// Adds the entry's workers to `supervisor`, which must be stopped before the
  /// entry is destroyed.
  void AddWorkers(Supervisor& supervisor);
  /// Sets the hub for forwarding if it was created after the entry. Must be
  /// called before AddWorkers.
  void Attach(HubI& hub);

  /// Starts a drain: /readyz fails and new programs are refused. Idempotent.
  void BeginDrain();
  bool draining() const;
  /// @returns true if a drain is complete and no work is in progress
  bool drained() const;

  uint16_t http_port() const;
  uint16_t admin_port() const;
  /// @returns queue length, upstreams, programs and versions as JSON text
  std::string StatusJson() const;
  /// Wakes the control thread, which polls the control group at once.
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
