#include "core_flatbuffer_p.h"
#include "program_machine_p.h"

namespace ring {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

constexpr uint32_t kSnapshotMagic = 0x47525050;  // "PPRG"
constexpr uint32_t kSnapshotVersion = 1;

std::string EncodeRefusal(const Refusal& refusal) {
  FlatBufferBuilder builder;
  const auto reason = WriteReason(builder, refusal.reason);
  const auto message = CreateOptionalString(builder, refusal.message);
  builder.Finish(fb::CreateProgramResult(builder, reason, message));
  return BufferToString(builder);
}

std::string EncodeProgram(const StoredProgram& program) {
  FlatBufferBuilder builder;
  const auto record =
      WriteProgram(builder, program, /*include_internal=*/false);
  builder.Finish(fb::CreateProgramResult(builder, 0, 0, record));
  return BufferToString(builder);
}

std::string EncodeOutcome(const Outcome<const StoredProgram*>& outcome) {
  return outcome ? EncodeProgram(**outcome) : EncodeRefusal(outcome.refusal());
}

std::string EncodeOutcome(const Status& status) {
  return EncodeRefusal(status.refusal());
}

std::string EncodeOwnership(const ProgramState& state) {
  FlatBufferBuilder builder;
  const auto owner = CreateOptionalString(builder, state.owner);
  const auto ownership =
      fb::CreateProgramOwnership(builder, owner, state.epoch, state.ended);
  builder.Finish(fb::CreateProgramResult(builder, 0, 0, 0, ownership));
  return BufferToString(builder);
}

/// Estimates the size of a snapshot. Reserving it avoids repeated copies while
/// the string grows to many megabytes.
template <typename Programs>
size_t EstimateSnapshotBytes(const Programs& programs) {
  constexpr size_t kFieldBytes = 2'048;
  constexpr size_t kMessageBytes = 16;
  size_t bytes = 0;
  for (const auto& [id, program] : programs) {
    bytes += kFieldBytes;
    for (const std::string& message : program.state.history) {
      bytes += message.size() + kMessageBytes;
    }
    for (const CallRecord& call : program.state.calls) {
      bytes += call.answer.size() + kFieldBytes / kMaxStoredAnswers;
    }
  }
  return bytes;
}

}  // namespace

std::string ProgramMachine::Apply(uint64_t /*index*/,
                                  int64_t time_ms,
                                  std::string_view command) {
  now_ms_ = time_ms;
  const FlatBufferView<fb::ProgramCommand> view(command);
  if (!view || view->action() == nullptr) {
    return EncodeRefusal(
        Refuse(Reason::kBadRequest, "the command is malformed"));
  }
  switch (view->action_type()) {
    case fb::ProgramAction::ProgramOpen:
      return EncodeOutcome(Open(*view->action_as_ProgramOpen()));
    case fb::ProgramAction::ProgramAcquire:
      return EncodeOutcome(Acquire(*view->action_as_ProgramAcquire()));
    case fb::ProgramAction::ProgramBegin:
      return EncodeOutcome(Begin(*view->action_as_ProgramBegin()));
    case fb::ProgramAction::ProgramRetry:
      return EncodeOutcome(Retry(*view->action_as_ProgramRetry()));
    case fb::ProgramAction::ProgramAbort:
      return EncodeOutcome(Abort(*view->action_as_ProgramAbort()));
    case fb::ProgramAction::ProgramFinish:
      return EncodeOutcome(Finish(*view->action_as_ProgramFinish()));
    case fb::ProgramAction::ProgramEnd:
      return EncodeOutcome(End(*view->action_as_ProgramEnd()));
    case fb::ProgramAction::ProgramConfirmRelease:
      return EncodeOutcome(
          ConfirmRelease(*view->action_as_ProgramConfirmRelease()));
    case fb::ProgramAction::ProgramExpire:
      Expire();
      return EncodeOutcome(Status(Done{}));
    case fb::ProgramAction::NONE:
      break;
  }
  return EncodeRefusal(
      Refuse(Reason::kBadRequest, "the command type is unknown"));
}

std::string ProgramMachine::Query(std::string_view query) const {
  const FlatBufferView<fb::ProgramQuery> view(query);
  if (!view) {
    return EncodeRefusal(Refuse(Reason::kBadRequest, "the query is malformed"));
  }
  if (view->kind() == fb::ProgramQueryKind::PendingReleases) {
    return ListReleases(view->limit());
  }
  const StoredProgram* program = Find(TextOf(view->id()));
  if (program == nullptr) {
    return EncodeRefusal(Refuse(Reason::kUnknownProgram,
                                "the program does not exist in this domain"));
  }
  switch (view->kind()) {
    case fb::ProgramQueryKind::Read:
      return EncodeProgram(*program);
    case fb::ProgramQueryKind::Locate:
      return EncodeOwnership(program->state);
    default:
      return EncodeRefusal(
          Refuse(Reason::kBadRequest, "the query type is unknown"));
  }
}

std::string ProgramMachine::ListReleases(size_t limit) const {
  FlatBufferBuilder builder;
  std::vector<Offset<fb::ProgramRelease>> releases;
  for (const auto& [ended_ms, id] : pending_releases_) {
    for (const UpstreamId& holder : Find(id)->state.cache_holders) {
      if (releases.size() >= limit) {
        break;
      }
      const auto program = builder.CreateString(id);
      const auto upstream = WriteUpstream(builder, holder);
      releases.push_back(
          fb::CreateProgramRelease(builder, program, upstream, ended_ms));
    }
    if (releases.size() >= limit) {
      break;
    }
  }
  const auto list = builder.CreateVector(releases);
  builder.Finish(fb::CreateProgramResult(builder, 0, 0, 0, 0, list));
  return BufferToString(builder);
}

// Writes one length-prefixed FlatBuffer per program. A single one for all is
// limited to 2 GiB, and building it needs a second copy of the state.
std::string ProgramMachine::Save() const {
  std::string out = BeginSnapshot(kSnapshotMagic, kSnapshotVersion,
                                  EstimateSnapshotBytes(programs_));
  AppendValue<uint64_t>(out, programs_.size());
  FlatBufferBuilder builder;
  for (const auto& [id, program] : programs_) {
    builder.Clear();
    builder.Finish(WriteProgram(builder, program, /*include_internal=*/true));
    AppendValue<uint32_t>(out, builder.GetSize());
    out.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
               builder.GetSize());
  }
  AppendSnapshotChecksum(out);
  return out;
}

Status ProgramMachine::Load(std::string_view snapshot) {
  const Refusal corrupt =
      Refuse(Reason::kCorruptData, "the program snapshot is corrupt");
  const auto opened =
      VerifySnapshot(kSnapshotMagic, kSnapshotVersion, snapshot);
  if (!opened) {
    return opened.refusal();
  }
  std::string_view body = *opened;
  uint64_t count = 0;
  if (!ReadValue(body, count)) {
    return corrupt;
  }
  Programs programs;
  for (uint64_t i = 0; i < count; ++i) {
    uint32_t size = 0;
    if (!ReadValue(body, size) || size > body.size()) {
      return corrupt;
    }
    const FlatBufferView<fb::ProgramRecord> record(body.substr(0, size));
    body.remove_prefix(size);
    std::optional<StoredProgram> program;
    if (record) {
      program = ReadProgram(*record.get());
    }
    if (!program || program->state.id.home_domain() != domain_) {
      return corrupt;
    }
    std::string id = program->state.id.text();
    if (!programs.emplace(std::move(id), std::move(*program)).second) {
      return corrupt;
    }
  }
  if (!body.empty()) {
    return corrupt;
  }
  programs_ = std::move(programs);
  tombstones_.clear();
  pending_releases_.clear();
  for (const auto& [id, program] : programs_) {
    if (program.state.ended) {
      IndexTombstone(program);
    }
  }
  return Done{};
}

std::unique_ptr<StateMachineI> CreateProgramMachine(
    const std::string& domain,
    const ProgramLimits& limits) {
  return std::make_unique<ProgramMachine>(domain, limits);
}

}  // namespace ring
