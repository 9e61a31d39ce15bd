#pragma once

/// Agent programs: their state, the commands that change it, and the
/// deterministic state machine of a program group. A command executes at the
/// wall-clock time that the group's leader wrote into its log entry. Token
/// counts are the estimates of CountTokens.

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/core.h"
#include "persimmonring/log.h"

namespace ring {

/// Number of latest calls of a program whose answers are stored, so that a
/// repeated request gets the same answer. A repeated request with an older
/// sequence number is refused with answer_expired.
constexpr size_t kMaxStoredAnswers = 8;

enum class CallState : uint8_t { kBegun, kFinished };

/// State of one call of a program.
struct CallRecord {
  uint64_t sequence = 0;
  std::string digest;           ///< SHA-256 of the request.
  std::string idempotency_key;  ///< Empty if the caller gave none.
  bool idempotent = false;
  CallState state = CallState::kBegun;
  uint64_t epoch = 0;   ///< Epoch of the owner of the latest attempt.
  std::string attempt;  ///< Id of the latest attempt.
  std::vector<UpstreamId> tried_upstreams;  ///< Latest last.
  int64_t reserved_tokens = 0;
  int64_t used_tokens = 0;
  RunState run_state = RunState::kRan;  ///< Valid for a finished call.
  Reason reason = Reason::kNone;        ///< kNone: success.
  int32_t http_status = 0;
  std::string content_type;
  std::string answer;  ///< Full response body sent to the caller.

  auto operator<=>(const CallRecord&) const = default;
};

/// Full state of a program as its owner reads it.
struct ProgramState {
  ProgramId id;
  std::string team;
  ProgramId parent;  ///< Invalid for a top-level program.
  std::vector<ProgramId> children;
  int64_t opened_wall_ms = 0;
  int64_t deadline_wall_ms = 0;
  int64_t idle_limit_ms = 0;
  int64_t last_activity_wall_ms = 0;
  int64_t budget_tokens = 0;
  int64_t used_tokens = 0;      ///< By finished calls and ended children.
  int64_t reserved_tokens = 0;  ///< For calls in progress and running children.
  uint64_t epoch = 0;
  std::string owner;  ///< Entry that owns the current epoch.
  uint64_t next_sequence = 1;
  uint64_t turns = 0;                ///< Number of finished calls.
  std::vector<std::string> history;  ///< Messages, each as compact JSON text.
  std::vector<CallRecord> calls;  ///< At most kMaxStoredAnswers, oldest first.
  std::vector<UpstreamId> cache_holders;  ///< Engines with its KV cache.
  bool ended = false;
  Reason end_reason = Reason::kNone;  ///< kNone: ended by its caller.

  int64_t available_tokens() const {
    return budget_tokens - used_tokens - reserved_tokens;
  }
  auto operator<=>(const ProgramState&) const = default;
};

/// Creates a program. Repeating it is a no-op.
struct OpenProgram {
  ProgramId id;
  std::string team;
  int64_t budget_tokens = 0;
  int64_t deadline_wall_ms = 0;
  int64_t idle_limit_ms = 0;
  ProgramId parent;   ///< Valid for a sub-agent, whose budget the parent pays.
  std::string owner;  ///< Entry that opens the program; gets epoch 1.

  auto operator<=>(const OpenProgram&) const = default;
};

/// Records a call, and reserves its tokens, before it is sent upstream.
struct BeginCall {
  ProgramId id;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::string digest;
  std::string idempotency_key;
  std::string attempt;  ///< Unique id; makes a repeated command a no-op.
  bool idempotent = false;
  int64_t reserve_tokens = 0;
  UpstreamId upstream;
  bool holds_cache = false;  ///< The upstream caches the prefix (engines).

  auto operator<=>(const BeginCall&) const = default;
};

/// Records a further attempt of a call in progress. Refused with not_allowed if
/// the call is not idempotent and its previous attempt may have run.
struct RetryCall {
  ProgramId id;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::string attempt;
  std::string previous_attempt;
  bool previous_not_run = false;
  UpstreamId upstream;
  bool holds_cache = false;

  auto operator<=>(const RetryCall&) const = default;
};

/// Removes a call in progress that is known not to have run. Releases its
/// reserved tokens and its sequence number.
struct AbortCall {
  ProgramId id;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::string attempt;

  auto operator<=>(const AbortCall&) const = default;
};

/// Records the outcome of a call in progress.
struct FinishCall {
  ProgramId id;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::string attempt;
  int64_t used_tokens = 0;  ///< Charged up to the reserved tokens.
  std::vector<std::string> history_delta;  ///< Messages to append.
  RunState run_state = RunState::kRan;
  Reason reason = Reason::kNone;
  int32_t http_status = 200;
  std::string content_type;
  std::string answer;

  auto operator<=>(const FinishCall&) const = default;
};

/// Owner and epoch of a program.
struct Ownership {
  std::string owner;
  uint64_t epoch = 0;
  bool ended = false;

  auto operator<=>(const Ownership&) const = default;
};

/// KV cache of an ended program that its upstream must still release.
struct PendingRelease {
  ProgramId program;
  UpstreamId upstream;
  int64_t ended_wall_ms = 0;

  auto operator<=>(const PendingRelease&) const = default;
};

/// Access of entries to the programs of a ring. Thread-safe. A command blocks
/// until it is committed and applied, or until the client's timeout. Each one
/// may be refused with no_quorum (the command may still commit),
/// unknown_program, program_ended or stale_epoch (another entry owns the
/// program).
class ProgramStoreI {
 public:
  virtual ~ProgramStoreI() = default;
  /// @returns the new state, or bad_request, budget_exceeded (of the parent)
  ///          or conflict (the id belongs to another program)
  virtual Outcome<ProgramState> Open(const OpenProgram& command) = 0;
  /// Makes `entry` the owner under a new epoch, so that commands of the former
  /// owner are refused with stale_epoch.
  virtual Outcome<ProgramState> Acquire(const ProgramId& id,
                                        const std::string& entry) = 0;
  /// @returns sequence_reuse, sequence_gap, answer_expired, conflict,
  ///          budget_exceeded, turn_limit, history_too_long or program_expired
  virtual Status Begin(const BeginCall& command) = 0;
  /// @returns conflict, not_allowed or program_expired
  virtual Status Retry(const RetryCall& command) = 0;
  /// @returns conflict if the attempt is not in progress
  virtual Status Abort(const AbortCall& command) = 0;
  /// @returns conflict if the attempt is not in progress
  virtual Status Finish(const FinishCall& command) = 0;
  /// Ends the program and its descendants. Idempotent.
  virtual Status End(const ProgramId& id, Reason reason) = 0;
  /// Records that the upstream released the cache of an ended program.
  /// @returns not_allowed if the program has not ended, or if a call in
  ///          progress may still fill the cache
  virtual Status ConfirmRelease(const ProgramId& id,
                                const UpstreamId& upstream) = 0;
  /// Linearizable read.
  virtual Outcome<ProgramState> Read(const ProgramId& id) = 0;
  virtual Outcome<Ownership> Locate(const ProgramId& id) = 0;
  /// Lists the releases of programs of one domain, oldest first.
  /// @param domain home domain of the programs
  /// @returns up to `limit` unconfirmed releases
  virtual Outcome<std::vector<PendingRelease>> PendingReleases(
      const std::string& domain,
      size_t limit) = 0;
};

/// Limits of each program, enforced by the state machine.
struct ProgramLimits {
  uint64_t max_turns = 512;
  int64_t max_history_tokens = 200'000;
  int64_t max_budget_tokens = 100'000'000;
  /// Time for which an ended program is kept as a tombstone, so that a repeated
  /// request is refused with program_ended rather than unknown_program. It is
  /// kept longer while a release is unconfirmed.
  int64_t tombstone_ms = 600'000;
};

/// Creates the state machine of a program group.
/// @param domain home domain of the group's programs
std::unique_ptr<StateMachineI> CreateProgramMachine(
    const std::string& domain,
    const ProgramLimits& limits);

/// Encodes commands and queries of the program state machine and decodes its
/// results. Decoding fails with the refusal that the result holds, or with
/// corrupt_data.
namespace program_codec {
std::string Encode(const OpenProgram& command);
std::string Encode(const BeginCall& command);
std::string Encode(const RetryCall& command);
std::string Encode(const AbortCall& command);
std::string Encode(const FinishCall& command);
std::string EncodeAcquire(const ProgramId& id, const std::string& entry);
std::string EncodeEnd(const ProgramId& id, Reason reason);
std::string EncodeConfirmRelease(const ProgramId& id,
                                 const UpstreamId& upstream);
/// Ends programs past their deadline or idle limit, and removes those that
/// ended more than `tombstone_ms` ago and have no unconfirmed release.
std::string EncodeExpire();
std::string EncodeRead(const ProgramId& id);
std::string EncodeLocate(const ProgramId& id);
std::string EncodePendingReleases(size_t limit);

Outcome<ProgramState> DecodeState(std::string_view result);
Outcome<Ownership> DecodeOwnership(std::string_view result);
Outcome<std::vector<PendingRelease>> DecodeReleases(std::string_view result);
Status DecodeStatus(std::string_view result);
}  // namespace program_codec

/// Creates a store on one in-memory state machine without replication, for
/// tests and local tools.
std::unique_ptr<ProgramStoreI> CreateLocalProgramStore(
    const std::string& domain,
    const ProgramLimits& limits,
    const ClockI& clock);

}  // namespace ring
