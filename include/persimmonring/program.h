#pragma once

/// Programs: commands, state and the deterministic state machine of a program
/// group. The time of a command is the wall clock that the leader of the group
/// stamped on its log entry; token counts are the ring's own count (see
/// CountTokens).

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/core.h"
#include "persimmonring/log.h"

namespace ring {

/// Answers of this many latest calls are kept for resent requests; an older
/// sequence number gets answer_expired.
constexpr size_t kKeptAnswers = 8;

enum class CallState : uint8_t { kBegun, kFinished };

/// What the group knows about one call of a program.
struct CallRecord {
  uint64_t sequence = 0;
  std::string digest;           ///< SHA-256 of the request.
  std::string idempotency_key;  ///< Empty if the caller gave none.
  bool idempotent = false;
  CallState state = CallState::kBegun;
  uint64_t epoch = 0;   ///< Epoch of the owner that began it.
  std::string attempt;  ///< Id of the latest attempt.
  std::vector<UpstreamId> tried;
  int64_t reserved_tokens = 0;
  int64_t used_tokens = 0;
  RunState run_state = RunState::kRan;  ///< Of a finished call.
  Reason reason = Reason::kNone;        ///< kNone: success.
  int32_t http_status = 0;
  std::string content_type;
  std::string answer;  ///< Whole body given to the caller.

  auto operator<=>(const CallRecord&) const = default;
};

/// Whole state of a program, as an owner needs it.
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
  int64_t used_tokens = 0;      ///< Settled, own calls and ended children.
  int64_t reserved_tokens = 0;  ///< Open calls and children under way.
  uint64_t epoch = 0;
  std::string owner;  ///< Entry that holds the epoch.
  uint64_t next_sequence = 1;
  uint64_t turns = 0;
  std::vector<std::string> history;  ///< Messages, each as compact JSON text.
  std::vector<CallRecord> calls;     ///< At most kKeptAnswers, oldest first.
  std::vector<UpstreamId> cache_holders;
  bool ended = false;
  Reason end_reason = Reason::kNone;  ///< kNone: ended by its caller.

  int64_t available_tokens() const {
    return budget_tokens - used_tokens - reserved_tokens;
  }
  auto operator<=>(const ProgramState&) const = default;
};

struct OpenProgram {
  ProgramId id;
  std::string team;
  int64_t budget_tokens = 0;
  int64_t deadline_wall_ms = 0;
  int64_t idle_limit_ms = 0;
  ProgramId parent;   ///< Valid for a sub-agent: budget comes from the parent.
  std::string owner;  ///< Entry that opens the program; gets epoch 1.

  auto operator<=>(const OpenProgram&) const = default;
};

struct BeginCall {
  ProgramId id;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::string digest;
  std::string idempotency_key;
  std::string attempt;  ///< Unique; makes a resent command a no-op.
  bool idempotent = false;
  int64_t reserve_tokens = 0;
  UpstreamId upstream;
  bool holds_cache = false;  ///< True for model engines.

  auto operator<=>(const BeginCall&) const = default;
};

/// Another attempt of a begun call. Refused with not_allowed for a
/// non-idempotent call unless the previous attempt is known not to have run.
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

/// The begun call is known not to have run; its reserve is returned and its
/// sequence number can be used again.
struct AbortCall {
  ProgramId id;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::string attempt;

  auto operator<=>(const AbortCall&) const = default;
};

struct FinishCall {
  ProgramId id;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  std::string attempt;
  int64_t used_tokens = 0;  ///< At most the reserve is charged.
  std::vector<std::string> history_delta;
  RunState run_state = RunState::kRan;
  Reason reason = Reason::kNone;
  int32_t http_status = 200;
  std::string content_type;
  std::string answer;

  auto operator<=>(const FinishCall&) const = default;
};

/// Who owns a program.
struct Ownership {
  std::string owner;
  uint64_t epoch = 0;
  bool ended = false;

  auto operator<=>(const Ownership&) const = default;
};

/// Engine memory that must be released because its program ended.
struct PendingRelease {
  ProgramId program;
  UpstreamId upstream;
  int64_t ended_wall_ms = 0;

  auto operator<=>(const PendingRelease&) const = default;
};

/// Program state of a ring as entries use it. Calls wait for the log (up to the
/// client's timeout) and are thread-safe. Common refusals: no_quorum (state
/// unknown: the command may still commit), unknown_program, program_ended,
/// stale_epoch (another entry owns the program).
class ProgramStoreI {
 public:
  virtual ~ProgramStoreI() = default;
  /// @returns bad_request, budget_exceeded (parent's budget) and common ones
  virtual Outcome<ProgramState> Open(const OpenProgram& command) = 0;
  /// Takes ownership under a new epoch and fences the former owner.
  virtual Outcome<ProgramState> Acquire(const ProgramId& id,
                                        const std::string& entry) = 0;
  /// @returns sequence_reuse, sequence_gap, budget_exceeded, turn_limit,
  ///          history_too_long, program_expired and common ones
  virtual Status Begin(const BeginCall& command) = 0;
  virtual Status Retry(const RetryCall& command) = 0;
  virtual Status Abort(const AbortCall& command) = 0;
  virtual Status Finish(const FinishCall& command) = 0;
  /// Ends the program and its children. Idempotent.
  virtual Status End(const ProgramId& id, Reason reason) = 0;
  virtual Status ConfirmRelease(const ProgramId& id,
                                const UpstreamId& upstream) = 0;
  /// Reads through the read barrier.
  virtual Outcome<ProgramState> Read(const ProgramId& id) = 0;
  virtual Outcome<Ownership> Locate(const ProgramId& id) = 0;
  /// @returns up to `limit` releases not yet confirmed, oldest first
  virtual Outcome<std::vector<PendingRelease>> PendingReleases(
      const std::string& domain,
      size_t limit) = 0;
};

/// Limits that the state machine enforces on each program.
struct ProgramLimits {
  uint64_t max_turns = 512;
  int64_t max_history_tokens = 200'000;
  int64_t max_budget_tokens = 100'000'000;
  /// A tombstone whose releases are confirmed is kept this long, so that a
  /// resent request for an ended program gets a clear answer.
  int64_t tombstone_ms = 600'000;
};

/// Creates the state machine of a program group.
/// @param domain home domain of its programs
std::unique_ptr<StateMachineI> CreateProgramMachine(
    const std::string& domain,
    const ProgramLimits& limits);

/// Encoded commands and queries of the program state machine.
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
/// Ends programs past their deadline or idle limit; drops old tombstones.
std::string EncodeExpire();
std::string EncodeRead(const ProgramId& id);
std::string EncodeLocate(const ProgramId& id);
std::string EncodePendingReleases(size_t limit);

Outcome<ProgramState> DecodeState(std::string_view result);
Outcome<Ownership> DecodeOwnership(std::string_view result);
Outcome<std::vector<PendingRelease>> DecodeReleases(std::string_view result);
Status DecodeStatus(std::string_view result);
}  // namespace program_codec

/// Store on a single state machine in memory, without replication: for tests
/// and for tools that replay.
std::unique_ptr<ProgramStoreI> CreateLocalProgramStore(
    const std::string& domain,
    const ProgramLimits& limits,
    const ClockI& clock);

}  // namespace ring
