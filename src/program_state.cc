#include "program_state_p.h"

#include <utility>

#include "core_flatbuffer_p.h"

namespace ring {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::String;
template <typename T>
using Offsets = std::vector<Offset<T>>;

Offset<fb::ProgramCall> WriteCall(FlatBufferBuilder& builder,
                                  const CallRecord& call) {
  Offsets<fb::HolderRef> tried;
  for (const UpstreamId& upstream : call.tried_upstreams) {
    tried.push_back(WriteUpstream(builder, upstream));
  }
  const auto tried_offset = builder.CreateVector(tried);
  const auto digest = CreateOptionalString(builder, call.digest);
  const auto key = CreateOptionalString(builder, call.idempotency_key);
  const auto attempt = CreateOptionalString(builder, call.attempt);
  const auto reason = WriteReason(builder, call.reason);
  const auto content_type = CreateOptionalString(builder, call.content_type);
  const auto answer = CreateOptionalString(builder, call.answer);
  fb::ProgramCallBuilder out(builder);
  out.add_sequence(call.sequence);
  out.add_digest(digest);
  out.add_idempotency_key(key);
  out.add_idempotent(call.idempotent);
  out.add_finished(call.state == CallState::kFinished);
  out.add_epoch(call.epoch);
  out.add_attempt(attempt);
  out.add_tried(tried_offset);
  out.add_reserved_tokens(call.reserved_tokens);
  out.add_used_tokens(call.used_tokens);
  out.add_run_state(static_cast<uint8_t>(call.run_state));
  out.add_reason(reason);
  out.add_http_status(call.http_status);
  out.add_content_type(content_type);
  out.add_answer(answer);
  return out.Finish();
}

CallRecord ReadCall(const fb::ProgramCall& in) {
  CallRecord call;
  call.sequence = in.sequence();
  call.digest = TextOf(in.digest());
  call.idempotency_key = TextOf(in.idempotency_key());
  call.idempotent = in.idempotent();
  call.state = in.finished() ? CallState::kFinished : CallState::kBegun;
  call.epoch = in.epoch();
  call.attempt = TextOf(in.attempt());
  if (in.tried() != nullptr) {
    for (const fb::HolderRef* ref : *in.tried()) {
      call.tried_upstreams.push_back(ReadUpstream(ref));
    }
  }
  call.reserved_tokens = in.reserved_tokens();
  call.used_tokens = in.used_tokens();
  call.run_state = static_cast<RunState>(in.run_state());
  call.reason = ReadReason(in.reason());
  call.http_status = in.http_status();
  call.content_type = TextOf(in.content_type());
  call.answer = TextOf(in.answer());
  return call;
}

Offset<flatbuffers::Vector<Offset<String>>> WriteStrings(
    FlatBufferBuilder& builder,
    const std::vector<std::string>& texts) {
  Offsets<String> offsets;
  offsets.reserve(texts.size());
  for (const std::string& text : texts) {
    offsets.push_back(builder.CreateString(text));
  }
  return builder.CreateVector(offsets);
}

Offset<flatbuffers::Vector<Offset<fb::ProgramKey>>> WriteKeys(
    FlatBufferBuilder& builder,
    const StoredProgram& program) {
  Offsets<fb::ProgramKey> offsets;
  for (const auto& [key, sequence] : program.idempotency_keys) {
    offsets.push_back(
        fb::CreateProgramKey(builder, builder.CreateString(key), sequence));
  }
  return builder.CreateVector(offsets);
}

void ReadInternalFields(const fb::ProgramRecord& in, StoredProgram& program) {
  program.ended_wall_ms = in.ended_wall_ms();
  program.aborted_attempt = TextOf(in.aborted_attempt());
  program.acquire_nonce = TextOf(in.acquire_nonce());
  program.call_holds_cache = in.call_holds_cache();
  if (in.keys() != nullptr) {
    for (const fb::ProgramKey* key : *in.keys()) {
      program.idempotency_keys.emplace(TextOf(key->key()), key->sequence());
    }
  }
}

void ReadVectors(const fb::ProgramRecord& in, StoredProgram& program) {
  ProgramState& state = program.state;
  if (in.children() != nullptr) {
    for (const String* child : *in.children()) {
      state.children.push_back(ReadId(child));
    }
  }
  if (in.history() != nullptr) {
    state.history.reserve(in.history()->size());
    for (const String* message : *in.history()) {
      state.history.emplace_back(TextOf(message));
      program.history_tokens += CountTokens(message->size());
    }
  }
  if (in.calls() != nullptr) {
    for (const fb::ProgramCall* call : *in.calls()) {
      state.calls.push_back(ReadCall(*call));
    }
  }
  if (in.cache_holders() != nullptr) {
    for (const fb::HolderRef* holder : *in.cache_holders()) {
      state.cache_holders.push_back(ReadUpstream(holder));
    }
  }
}

/// Checks the invariants of budgets and sequence numbers.
bool IsConsistent(const ProgramState& state) {
  if (!IsValid(state.id) || state.budget_tokens < 0 || state.used_tokens < 0 ||
      state.reserved_tokens < 0 || state.available_tokens() < 0 ||
      state.next_sequence == 0) {
    return false;
  }
  for (const CallRecord& call : state.calls) {
    if (call.sequence == 0 || call.sequence >= state.next_sequence ||
        call.run_state > RunState::kUnknown) {
      return false;
    }
  }
  return true;
}

}  // namespace

CallRecord* StoredProgram::FindCall(uint64_t sequence) {
  for (CallRecord& call : state.calls) {
    if (call.sequence == sequence) {
      return &call;
    }
  }
  return nullptr;
}

const CallRecord* StoredProgram::ActiveCall() const {
  const bool in_progress =
      !state.calls.empty() && state.calls.back().state == CallState::kBegun;
  return in_progress ? &state.calls.back() : nullptr;
}

CallRecord* StoredProgram::ActiveCall() {
  return const_cast<CallRecord*>(std::as_const(*this).ActiveCall());
}

Offset<fb::HolderRef> WriteUpstream(FlatBufferBuilder& builder,
                                    const UpstreamId& upstream) {
  return fb::CreateHolderRef(builder,
                             CreateOptionalString(builder, upstream.name),
                             upstream.incarnation);
}

UpstreamId ReadUpstream(const fb::HolderRef* ref) {
  return ref == nullptr
             ? UpstreamId()
             : UpstreamId{std::string(TextOf(ref->name())), ref->incarnation()};
}

ProgramId ReadId(const String* text) {
  return ProgramId::Parse(TextOf(text)).value_or(ProgramId());
}

Reason ReadReason(const String* text) {
  const std::string_view name = TextOf(text);
  return name.empty() ? Reason::kNone
                      : ReasonFromString(name).value_or(Reason::kInternal);
}

Offset<String> WriteReason(FlatBufferBuilder& builder, Reason reason) {
  return reason == Reason::kNone ? Offset<String>()
                                 : builder.CreateString(ToString(reason));
}

Offset<fb::ProgramRecord> WriteProgram(FlatBufferBuilder& builder,
                                       const StoredProgram& program,
                                       bool include_internal) {
  const ProgramState& state = program.state;
  Offsets<String> children;
  for (const ProgramId& child : state.children) {
    children.push_back(builder.CreateString(child.text()));
  }
  Offsets<fb::ProgramCall> calls;
  for (const CallRecord& call : state.calls) {
    calls.push_back(WriteCall(builder, call));
  }
  Offsets<fb::HolderRef> holders;
  for (const UpstreamId& holder : state.cache_holders) {
    holders.push_back(WriteUpstream(builder, holder));
  }
  const auto id = builder.CreateString(state.id.text());
  const auto team = CreateOptionalString(builder, state.team);
  const auto parent = CreateOptionalString(builder, state.parent.text());
  const auto owner = CreateOptionalString(builder, state.owner);
  const auto end_reason = WriteReason(builder, state.end_reason);
  const auto history = WriteStrings(builder, state.history);
  const auto children_offset = builder.CreateVector(children);
  const auto calls_offset = builder.CreateVector(calls);
  const auto holders_offset = builder.CreateVector(holders);
  Offset<String> aborted;
  Offset<String> nonce;
  Offset<flatbuffers::Vector<Offset<fb::ProgramKey>>> keys;
  if (include_internal) {
    aborted = CreateOptionalString(builder, program.aborted_attempt);
    nonce = CreateOptionalString(builder, program.acquire_nonce);
    keys = WriteKeys(builder, program);
  }
  return fb::CreateProgramRecord(
      builder, id, team, parent, children_offset, state.opened_wall_ms,
      state.deadline_wall_ms, state.idle_limit_ms, state.last_activity_wall_ms,
      state.budget_tokens, state.used_tokens, state.reserved_tokens,
      state.epoch, owner, state.next_sequence, state.turns, history,
      calls_offset, holders_offset, state.ended, end_reason,
      include_internal ? program.ended_wall_ms : 0, aborted, nonce,
      include_internal && program.call_holds_cache, keys);
}

std::optional<StoredProgram> ReadProgram(const fb::ProgramRecord& record) {
  StoredProgram program;
  ProgramState& state = program.state;
  state.id = ReadId(record.id());
  state.team = TextOf(record.team());
  state.parent = ReadId(record.parent());
  state.opened_wall_ms = record.opened_wall_ms();
  state.deadline_wall_ms = record.deadline_wall_ms();
  state.idle_limit_ms = record.idle_limit_ms();
  state.last_activity_wall_ms = record.last_activity_wall_ms();
  state.budget_tokens = record.budget_tokens();
  state.used_tokens = record.used_tokens();
  state.reserved_tokens = record.reserved_tokens();
  state.epoch = record.epoch();
  state.owner = TextOf(record.owner());
  state.next_sequence = record.next_sequence();
  state.turns = record.turns();
  state.ended = record.ended();
  state.end_reason = ReadReason(record.end_reason());
  ReadVectors(record, program);
  ReadInternalFields(record, program);
  if (!IsConsistent(state)) {
    return std::nullopt;
  }
  return program;
}

}  // namespace ring
