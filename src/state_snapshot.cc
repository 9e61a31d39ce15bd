#include "core_flatbuffer_p.h"
#include "state_machine_p.h"

namespace ring {
namespace {

constexpr uint32_t kSnapshotMagic = 0x54534752;  // "RGST"
constexpr uint32_t kSnapshotVersion = 1;

}  // namespace

std::string RingStateMachine::Impl::Save() const {
  fb::RingStateSnapshotT snapshot;
  snapshot.version = version_;
  snapshot.document = *document_;
  for (const auto& [key, departure] : departures_) {
    auto row = std::make_unique<fb::DepartUpstreamT>();
    row->instance = departure.value.instance;
    row->born_ms = departure.value.born_ms;
    row->gone = departure.value.gone;
    snapshot.departures.push_back(std::move(row));
  }
  for (const auto& [instance, registration] : registrations_) {
    snapshot.upstreams.push_back(
        std::make_unique<fb::RegisterUpstreamT>(registration.value));
  }
  for (const auto& [id, program] : programs_) {
    auto row = std::make_unique<fb::ProgramRecordT>();
    row->program = id;
    row->spent_tokens = program.spent_tokens;
    row->touched_ms = program.touched_ms;
    for (const auto& [turn, tokens] : program.open) {
      auto open = std::make_unique<fb::OpenTurnT>();
      open->turn = turn;
      open->max_tokens = tokens;
      row->open_turns.push_back(std::move(open));
    }
    snapshot.programs.push_back(std::move(row));
  }
  for (const auto& [id, turn] : turns_) {
    auto row = std::make_unique<fb::KeptTurnT>();
    row->text = std::make_unique<fb::TurnTextT>();
    row->text->turn = id;
    row->text->previous = turn.previous;
    row->text->input = turn.input;
    row->text->output = turn.output;
    row->upstream = turn.upstream;
    row->expires_ms = turn.expires_ms;
    snapshot.turns.push_back(std::move(row));
  }
  snapshot.retired.assign(retired_.begin(), retired_.end());
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateRingStateSnapshot(builder, &snapshot));
  std::string sealed =
      BeginSnapshot(kSnapshotMagic, kSnapshotVersion, builder.GetSize());
  sealed += BytesOf(builder);
  SealSnapshot(sealed);
  return sealed;
}

Status RingStateMachine::Impl::Load(std::string_view sealed) {
  const auto body = OpenSnapshot(kSnapshotMagic, kSnapshotVersion, sealed);
  if (!body) {
    return body.refusal();
  }
  const FlatView<fb::RingStateSnapshot> view(*body);
  if (!view) {
    return Refusal{Reason::kCorruptData, RunState::kNotRun,
                   "the snapshot of the ring state cannot be decoded"};
  }
  fb::RingStateSnapshotT snapshot;
  view->UnPackTo(&snapshot);
  version_ = snapshot.version;
  document_ = std::make_shared<const std::string>(std::move(snapshot.document));
  for (const auto& row : snapshot.departures) {
    const UpstreamDeparture value{row->instance, row->born_ms, row->gone};
    departures_[row->instance + "/" + std::to_string(row->born_ms)] = {value,
                                                                       0};
  }
  for (const auto& row : snapshot.upstreams) {
    registrations_[row->instance] = {*row, 0};
  }
  for (const auto& row : snapshot.programs) {
    Program& program = programs_[row->program];
    program.spent_tokens = row->spent_tokens;
    program.touched_ms = row->touched_ms;
    for (const auto& open : row->open_turns) {
      program.open[open->turn] = open->max_tokens;
    }
  }
  for (auto& row : snapshot.turns) {
    turns_[row->text->turn] = {std::move(row->text->previous),
                               std::move(row->text->input),
                               std::move(row->text->output),
                               std::move(row->upstream), row->expires_ms};
  }
  retired_.insert(snapshot.retired.begin(), snapshot.retired.end());
  NotifyAll();
  return Done{};
}

}  // namespace ring
