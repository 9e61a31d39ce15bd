#include "core_flatbuffer_p.h"
#include "persimmonring/program.h"
#include "program_state_p.h"

namespace ring::program_codec {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::String;

template <typename T>
std::string EncodeCommand(FlatBufferBuilder& builder, Offset<T> action) {
  builder.Finish(fb::CreateProgramCommand(
      builder, fb::ProgramActionTraits<T>::enum_value, action.Union()));
  return BufferToString(builder);
}

std::string EncodeQuery(fb::ProgramQueryKind kind,
                        std::string_view id,
                        uint64_t limit) {
  FlatBufferBuilder builder;
  builder.Finish(fb::CreateProgramQuery(
      builder, kind, CreateOptionalString(builder, id), limit));
  return BufferToString(builder);
}

Refusal MalformedResult() {
  return {Reason::kCorruptData, RunState::kUnknown,
          "malformed result of the program group"};
}

/// @returns the refusal that the result holds, or nullopt for success
std::optional<Refusal> ExtractRefusal(
    const FlatBufferView<fb::ProgramResult>& result) {
  if (!result) {
    return MalformedResult();
  }
  const Reason reason = ReadReason(result->reason());
  if (reason == Reason::kNone) {
    return std::nullopt;
  }
  return Refusal{reason, RunState::kNotRun,
                 std::string(TextOf(result->message()))};
}

}  // namespace

std::string Encode(const OpenProgram& command) {
  FlatBufferBuilder builder;
  const auto id = builder.CreateString(command.id.text());
  const auto team = CreateOptionalString(builder, command.team);
  const auto parent = CreateOptionalString(builder, command.parent.text());
  const auto owner = CreateOptionalString(builder, command.owner);
  return EncodeCommand(
      builder, fb::CreateProgramOpen(builder, id, team, command.budget_tokens,
                                     command.deadline_wall_ms,
                                     command.idle_limit_ms, parent, owner));
}

std::string Encode(const BeginCall& command) {
  FlatBufferBuilder builder;
  const auto id = builder.CreateString(command.id.text());
  const auto digest = CreateOptionalString(builder, command.digest);
  const auto key = CreateOptionalString(builder, command.idempotency_key);
  const auto attempt = CreateOptionalString(builder, command.attempt);
  const auto upstream = WriteUpstream(builder, command.upstream);
  return EncodeCommand(
      builder, fb::CreateProgramBegin(
                   builder, id, command.epoch, command.sequence, digest, key,
                   attempt, command.idempotent, command.reserve_tokens,
                   upstream, command.holds_cache));
}

std::string Encode(const RetryCall& command) {
  FlatBufferBuilder builder;
  const auto id = builder.CreateString(command.id.text());
  const auto attempt = CreateOptionalString(builder, command.attempt);
  const auto previous = CreateOptionalString(builder, command.previous_attempt);
  const auto upstream = WriteUpstream(builder, command.upstream);
  return EncodeCommand(
      builder,
      fb::CreateProgramRetry(builder, id, command.epoch, command.sequence,
                             attempt, previous, command.previous_not_run,
                             upstream, command.holds_cache));
}

std::string Encode(const AbortCall& command) {
  FlatBufferBuilder builder;
  const auto id = builder.CreateString(command.id.text());
  const auto attempt = CreateOptionalString(builder, command.attempt);
  return EncodeCommand(builder,
                       fb::CreateProgramAbort(builder, id, command.epoch,
                                              command.sequence, attempt));
}

std::string Encode(const FinishCall& command) {
  FlatBufferBuilder builder(command.answer.size() + 1'024);
  const auto id = builder.CreateString(command.id.text());
  const auto attempt = CreateOptionalString(builder, command.attempt);
  std::vector<Offset<String>> delta;
  for (const std::string& message : command.history_delta) {
    delta.push_back(builder.CreateString(message));
  }
  const auto delta_offset = builder.CreateVector(delta);
  const auto reason = WriteReason(builder, command.reason);
  const auto content_type = CreateOptionalString(builder, command.content_type);
  const auto answer = CreateOptionalString(builder, command.answer);
  return EncodeCommand(
      builder,
      fb::CreateProgramFinish(builder, id, command.epoch, command.sequence,
                              attempt, command.used_tokens, delta_offset,
                              static_cast<uint8_t>(command.run_state), reason,
                              command.http_status, content_type, answer));
}

std::string EncodeAcquire(const ProgramId& id, const std::string& entry) {
  constexpr size_t kNonceBytes = 8;
  FlatBufferBuilder builder;
  const auto id_offset = builder.CreateString(id.text());
  const auto entry_offset = CreateOptionalString(builder, entry);
  const auto nonce = builder.CreateString(RandomHex(kNonceBytes));
  return EncodeCommand(builder, fb::CreateProgramAcquire(builder, id_offset,
                                                         entry_offset, nonce));
}

std::string EncodeEnd(const ProgramId& id, Reason reason) {
  FlatBufferBuilder builder;
  const auto id_offset = builder.CreateString(id.text());
  const auto reason_offset = WriteReason(builder, reason);
  return EncodeCommand(builder,
                       fb::CreateProgramEnd(builder, id_offset, reason_offset));
}

std::string EncodeConfirmRelease(const ProgramId& id,
                                 const UpstreamId& upstream) {
  FlatBufferBuilder builder;
  const auto id_offset = builder.CreateString(id.text());
  const auto upstream_offset = WriteUpstream(builder, upstream);
  return EncodeCommand(builder, fb::CreateProgramConfirmRelease(
                                    builder, id_offset, upstream_offset));
}

std::string EncodeExpire() {
  FlatBufferBuilder builder;
  return EncodeCommand(builder, fb::CreateProgramExpire(builder));
}

std::string EncodeRead(const ProgramId& id) {
  return EncodeQuery(fb::ProgramQueryKind::Read, id.text(), 0);
}

std::string EncodeLocate(const ProgramId& id) {
  return EncodeQuery(fb::ProgramQueryKind::Locate, id.text(), 0);
}

std::string EncodePendingReleases(size_t limit) {
  return EncodeQuery(fb::ProgramQueryKind::PendingReleases, "", limit);
}

Outcome<ProgramState> DecodeState(std::string_view result) {
  const FlatBufferView<fb::ProgramResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  if (view->program() == nullptr) {
    return MalformedResult();
  }
  std::optional<StoredProgram> program = ReadProgram(*view->program());
  if (!program) {
    return MalformedResult();
  }
  return std::move(program->state);
}

Outcome<Ownership> DecodeOwnership(std::string_view result) {
  const FlatBufferView<fb::ProgramResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  const fb::ProgramOwnership* ownership = view->ownership();
  if (ownership == nullptr) {
    return MalformedResult();
  }
  return Ownership{std::string(TextOf(ownership->owner())), ownership->epoch(),
                   ownership->ended()};
}

Outcome<std::vector<PendingRelease>> DecodeReleases(std::string_view result) {
  const FlatBufferView<fb::ProgramResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  std::vector<PendingRelease> releases;
  if (view->releases() != nullptr) {
    for (const fb::ProgramRelease* release : *view->releases()) {
      releases.push_back({ReadId(release->program()),
                          ReadUpstream(release->upstream()),
                          release->ended_wall_ms()});
    }
  }
  return releases;
}

Status DecodeStatus(std::string_view result) {
  const FlatBufferView<fb::ProgramResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  return Done{};
}

}  // namespace ring::program_codec
