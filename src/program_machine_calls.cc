#include <algorithm>

#include "core_flatbuffer_p.h"
#include "program_machine_p.h"

namespace ring {
namespace {

constexpr size_t kMaxKeyBytes = 256;

/// Removes all but the latest kMaxStoredAnswers calls. A call in progress is
/// always the newest and is never removed.
void DropOldCalls(std::vector<CallRecord>& calls) {
  if (calls.size() > kMaxStoredAnswers) {
    calls.erase(calls.begin(),
                calls.end() - static_cast<ptrdiff_t>(kMaxStoredAnswers));
  }
}

void RecordAttempt(StoredProgram& program,
                   CallRecord& call,
                   std::string_view attempt,
                   const UpstreamId& upstream,
                   bool holds_cache) {
  call.attempt = attempt;
  std::erase(call.tried_upstreams, upstream);
  call.tried_upstreams.push_back(upstream);  // Latest attempt last.
  program.call_holds_cache = holds_cache;
  if (holds_cache) {
    AddHolder(program.state.cache_holders, upstream);
  }
}

Status CheckBeginFields(const fb::ProgramBegin& command) {
  if (command.sequence() == 0 || TextOf(command.digest()).empty() ||
      TextOf(command.attempt()).empty() || command.reserve_tokens() < 0) {
    return Refuse(
        Reason::kBadRequest,
        "sequence, digest and attempt are required, and reserve_tokens "
        "must not be negative");
  }
  if (TextOf(command.idempotency_key()).size() > kMaxKeyBytes) {
    return Refuse(Reason::kBadRequest,
                  "the idempotency key is longer than 256 bytes");
  }
  if (command.holds_cache() && !IsValid(ReadUpstream(command.upstream()))) {
    return Refuse(Reason::kBadRequest,
                  "upstream is required if holds_cache is set");
  }
  return Done{};
}

Status CheckIdempotencyKey(const StoredProgram& program,
                           const fb::ProgramBegin& command) {
  const std::string_view key = TextOf(command.idempotency_key());
  const auto it = key.empty() ? program.idempotency_keys.end()
                              : program.idempotency_keys.find(key);
  if (it == program.idempotency_keys.end() ||
      it->second == command.sequence()) {
    return Done{};
  }
  for (const CallRecord& call : program.state.calls) {
    if (call.sequence == it->second) {
      const bool same = call.digest == TextOf(command.digest());
      return Refuse(same ? Reason::kConflict : Reason::kSequenceReuse,
                    "the idempotency key was used by sequence " +
                        std::to_string(it->second));
    }
  }
  return Refuse(Reason::kAnswerExpired,
                "the idempotency key was used by an older call");
}

}  // namespace

Status ProgramMachine::CheckBudget(const StoredProgram& program,
                                   const fb::ProgramBegin& command,
                                   int64_t returned_tokens) const {
  const ProgramState& state = program.state;
  if (now_ms_ >= state.deadline_wall_ms) {
    return Refuse(Reason::kProgramExpired,
                  "the deadline of the program has passed");
  }
  if (command.reserve_tokens() > state.available_tokens() + returned_tokens) {
    return Refuse(
        Reason::kBudgetExceeded,
        "the call reserves " + std::to_string(command.reserve_tokens()) +
            " tokens, available: " +
            std::to_string(state.available_tokens() + returned_tokens));
  }
  return Done{};
}

Status ProgramMachine::CheckNewCall(const StoredProgram& program,
                                    const fb::ProgramBegin& command) const {
  const ProgramState& state = program.state;
  if (command.sequence() > state.next_sequence) {
    return Refuse(
        Reason::kSequenceGap,
        "the next sequence number is " + std::to_string(state.next_sequence));
  }
  if (command.sequence() < state.next_sequence) {
    return Refuse(Reason::kAnswerExpired, "the answer is no longer stored");
  }
  if (program.ActiveCall() != nullptr) {
    return Refuse(Reason::kConflict, "another call is in progress");
  }
  if (TextOf(command.attempt()) == program.aborted_attempt) {
    return Refuse(Reason::kCancelled, "the attempt was aborted");
  }
  if (Status status = CheckIdempotencyKey(program, command); !status) {
    return status;
  }
  if (state.turns >= limits_.max_turns) {
    return Refuse(Reason::kTurnLimit, "the program has reached its limit of " +
                                          std::to_string(limits_.max_turns) +
                                          " calls");
  }
  if (program.history_tokens >= limits_.max_history_tokens) {
    return Refuse(Reason::kHistoryTooLong,
                  "the program has reached its limit of " +
                      std::to_string(limits_.max_history_tokens) +
                      " tokens of history");
  }
  return CheckBudget(program, command, 0);
}

void ProgramMachine::RecordNewCall(StoredProgram& program,
                                   const fb::ProgramBegin& command) {
  ProgramState& state = program.state;
  CallRecord call;
  call.sequence = command.sequence();
  call.digest = TextOf(command.digest());
  call.idempotency_key = TextOf(command.idempotency_key());
  call.idempotent = command.idempotent();
  call.epoch = command.epoch();
  call.reserved_tokens = command.reserve_tokens();
  RecordAttempt(program, call, TextOf(command.attempt()),
                ReadUpstream(command.upstream()), command.holds_cache());
  if (!call.idempotency_key.empty()) {
    program.idempotency_keys[call.idempotency_key] = call.sequence;
  }
  state.calls.push_back(std::move(call));
  DropOldCalls(state.calls);
  state.reserved_tokens += command.reserve_tokens();
  state.next_sequence = command.sequence() + 1;
  state.last_activity_wall_ms = now_ms_;
}

Status ProgramMachine::HandleRepeatedBegin(StoredProgram& program,
                                           CallRecord& call,
                                           const fb::ProgramBegin& command) {
  if (call.digest != TextOf(command.digest())) {
    return Refuse(Reason::kSequenceReuse,
                  "the sequence number was used by another request");
  }
  if (call.state == CallState::kFinished) {
    return Refuse(Reason::kConflict, "the call has finished");
  }
  if (call.attempt == TextOf(command.attempt())) {
    return Done{};
  }
  if (!call.idempotent || call.epoch == command.epoch()) {
    return Refuse(Reason::kConflict, "the call is in progress");
  }
  if (Status status = CheckBudget(program, command, call.reserved_tokens);
      !status) {
    return status;
  }
  ProgramState& state = program.state;
  state.reserved_tokens += command.reserve_tokens() - call.reserved_tokens;
  state.last_activity_wall_ms = now_ms_;
  call.reserved_tokens = command.reserve_tokens();
  call.epoch = command.epoch();
  RecordAttempt(program, call, TextOf(command.attempt()),
                ReadUpstream(command.upstream()), command.holds_cache());
  return Done{};
}

Status ProgramMachine::Begin(const fb::ProgramBegin& command) {
  const auto found = FindOwned(command.id(), command.epoch());
  if (!found) {
    return found.refusal();
  }
  StoredProgram& program = **found;
  if (program.state.ended) {
    return RefuseEnded(program.state);
  }
  if (Status status = CheckBeginFields(command); !status) {
    return status;
  }
  if (CallRecord* call = program.FindCall(command.sequence())) {
    return HandleRepeatedBegin(program, *call, command);
  }
  if (Status status = CheckNewCall(program, command); !status) {
    return status;
  }
  RecordNewCall(program, command);
  return Done{};
}

Status ProgramMachine::Retry(const fb::ProgramRetry& command) {
  const auto found = FindOwned(command.id(), command.epoch());
  if (!found) {
    return found.refusal();
  }
  StoredProgram& program = **found;
  if (program.state.ended) {
    return RefuseEnded(program.state);
  }
  CallRecord* call = program.FindCall(command.sequence());
  if (call == nullptr || call->state != CallState::kBegun) {
    return Refuse(Reason::kConflict, "the call is not in progress");
  }
  const std::string_view attempt = TextOf(command.attempt());
  if (call->attempt == attempt) {
    return Done{};
  }
  if (attempt.empty() || call->attempt != TextOf(command.previous_attempt())) {
    return Refuse(Reason::kConflict, "another attempt is in progress");
  }
  if (!call->idempotent && !command.previous_not_run()) {
    return Refuse(Reason::kNotAllowed,
                  "the call is not idempotent and may have run");
  }
  if (now_ms_ >= program.state.deadline_wall_ms) {
    return Refuse(Reason::kProgramExpired,
                  "the deadline of the program has passed");
  }
  call->epoch = command.epoch();
  program.state.last_activity_wall_ms = now_ms_;
  RecordAttempt(program, *call, attempt, ReadUpstream(command.upstream()),
                command.holds_cache());
  return Done{};
}

Status ProgramMachine::Abort(const fb::ProgramAbort& command) {
  const auto found = FindOwned(command.id(), command.epoch());
  if (!found) {
    return found.refusal();
  }
  StoredProgram& program = **found;
  const std::string_view attempt = TextOf(command.attempt());
  if (!attempt.empty() && attempt == program.aborted_attempt) {
    return Done{};
  }
  if (program.state.ended) {
    return RefuseEnded(program.state);
  }
  CallRecord* call = program.FindCall(command.sequence());
  if (call == nullptr || call->state != CallState::kBegun ||
      call->attempt != attempt) {
    return Refuse(Reason::kConflict, "the attempt is not in progress");
  }
  ProgramState& state = program.state;
  state.reserved_tokens -= call->reserved_tokens;
  state.next_sequence = call->sequence;
  state.last_activity_wall_ms = now_ms_;
  program.aborted_attempt = attempt;
  program.idempotency_keys.erase(call->idempotency_key);
  state.calls.pop_back();
  return Done{};
}

void ProgramMachine::ChargeAndFinish(StoredProgram& program,
                                     CallRecord& call,
                                     int64_t used_tokens) {
  ProgramState& state = program.state;
  call.state = CallState::kFinished;
  call.used_tokens = std::clamp<int64_t>(used_tokens, 0, call.reserved_tokens);
  state.reserved_tokens -= call.reserved_tokens;
  state.used_tokens += call.used_tokens;
  state.last_activity_wall_ms = now_ms_;
  ++state.turns;
}

void ProgramMachine::FinishWithUnknownOutcome(StoredProgram& program,
                                              CallRecord& call) {
  ChargeAndFinish(program, call, call.reserved_tokens);
  call.run_state = RunState::kUnknown;
  call.reason = Reason::kOutcomeUnknown;
}

Status ProgramMachine::RefuseFinishAfterEnd(StoredProgram& program,
                                            const fb::ProgramFinish& command) {
  const CallRecord* call = program.FindCall(command.sequence());
  const bool was_in_progress = call != nullptr &&
                               call->state == CallState::kBegun &&
                               call->attempt == TextOf(command.attempt());
  if (was_in_progress && program.call_holds_cache &&
      !call->tried_upstreams.empty()) {
    // The call may have filled the cache after the release was confirmed.
    AddHolder(program.state.cache_holders, call->tried_upstreams.back());
    program.call_holds_cache = false;  // One more release is enough.
    IndexTombstone(program);
  }
  return Refuse(Reason::kProgramEnded, "the program ended during the call");
}

Status ProgramMachine::Finish(const fb::ProgramFinish& command) {
  const auto found = FindOwned(command.id(), command.epoch());
  if (!found) {
    return found.refusal();
  }
  StoredProgram& program = **found;
  CallRecord* call = program.FindCall(command.sequence());
  const bool same_attempt = call != nullptr && call->epoch == command.epoch() &&
                            call->attempt == TextOf(command.attempt());
  if (same_attempt && call->state == CallState::kFinished) {
    return Done{};
  }
  if (program.state.ended) {
    return RefuseFinishAfterEnd(program, command);
  }
  if (!same_attempt || call->state == CallState::kFinished) {
    return Refuse(Reason::kConflict, "the attempt is not in progress");
  }
  if (command.run_state() > static_cast<uint8_t>(RunState::kUnknown)) {
    return Refuse(Reason::kBadRequest, "run_state is out of range");
  }
  ChargeAndFinish(program, *call, command.used_tokens());
  call->run_state = static_cast<RunState>(command.run_state());
  call->reason = ReadReason(command.reason());
  call->http_status = command.http_status();
  call->content_type = TextOf(command.content_type());
  call->answer = TextOf(command.answer());
  if (command.history_delta() != nullptr) {
    for (const flatbuffers::String* message : *command.history_delta()) {
      program.state.history.emplace_back(message->string_view());
      program.history_tokens += CountTokens(message->size());
    }
  }
  return Done{};
}

}  // namespace ring
