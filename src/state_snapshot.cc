#include "core_flatbuffer_p.h"
#include "state_machine_p.h"

namespace ring {
namespace {

constexpr uint32_t kSnapshotMagic = 0x54534752;  // "RGST"
constexpr uint32_t kSnapshotVersion = 2;
// Snapshot bytes of a turn besides its text; only a size hint.
constexpr size_t kTurnOverhead = 128;

// Programs and turns are written one after the other, because a single buffer
// of all of them would need the memory of the state several times over.
template <typename T>
void AppendRecord(std::string& out, const T& record) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(T::TableType::Pack(builder, &record));
  AppendValue(out, static_cast<uint32_t>(builder.GetSize()));
  out.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
             builder.GetSize());
}

// Takes the next record off the front.
template <typename T>
bool TakeRecord(std::string_view& in, T& record) {
  uint32_t size = 0;
  if (!TakeValue(in, size) || in.size() < size) {
    return false;
  }
  const FlatView<typename T::TableType> view(in.substr(0, size));
  if (!view) {
    return false;
  }
  view->UnPackTo(&record);
  in.remove_prefix(size);
  return true;
}

Refusal Corrupt(const std::string& part, uint64_t left) {
  return {Reason::kCorruptData, RunState::kNotRun,
          "the snapshot of the ring state cannot be decoded at its " + part +
              ", " + std::to_string(left) + " before its end"};
}

}  // namespace

std::string RingStateMachine::Impl::Save() const {
  size_t size = document_->size();
  for (const auto& [id, turn] : turns_) {
    size += turn.text.size() + kTurnOverhead;
  }
  std::string sealed = BeginSnapshot(kSnapshotMagic, kSnapshotVersion, size);
  AppendRecord(sealed, SaveHead());
  AppendValue(sealed, static_cast<uint64_t>(programs_.size()));
  for (const auto& [id, program] : programs_) {
    AppendRecord(sealed, SaveProgram(id, program));
  }
  AppendValue(sealed, static_cast<uint64_t>(turns_.size()));
  for (const auto& [id, turn] : turns_) {
    AppendRecord(sealed, SaveTurn(id, turn));
  }
  SealSnapshot(sealed);
  return sealed;
}

fb::RingStateSnapshotT RingStateMachine::Impl::SaveHead() const {
  fb::RingStateSnapshotT head;
  head.version = version_;
  head.document = *document_;
  for (const auto& [key, departure] : departures_) {
    auto row = std::make_unique<fb::DepartUpstreamT>();
    row->instance = departure.value.instance;
    row->born_ms = departure.value.born_ms;
    row->gone = departure.value.gone;
    head.departures.push_back(std::move(row));
  }
  for (const auto& [instance, registration] : registrations_) {
    head.upstreams.push_back(
        std::make_unique<fb::RegisterUpstreamT>(registration.value));
  }
  head.retired.assign(retired_.begin(), retired_.end());
  return head;
}

fb::ProgramLedgerT RingStateMachine::Impl::SaveProgram(const std::string& id,
                                                       const Program& program) {
  fb::ProgramLedgerT row;
  row.program = id;
  row.spent_tokens = program.spent_tokens;
  row.touched_ms = program.touched_ms;
  for (const auto& [turn, tokens] : program.open) {
    auto open = std::make_unique<fb::OpenTurnT>();
    open->turn = turn;
    open->max_tokens = tokens;
    row.open_turns.push_back(std::move(open));
  }
  return row;
}

fb::KeptTurnT RingStateMachine::Impl::SaveTurn(const std::string& id,
                                               const KeptTurn& turn) {
  fb::KeptTurnT row;
  row.text = std::make_unique<fb::TurnTextT>();
  row.text->turn = id;
  row.text->previous = turn.previous;
  row.text->text = turn.text;
  row.upstream = turn.upstream;
  row.expires_ms = turn.expires_ms;
  return row;
}

Status RingStateMachine::Impl::Load(std::string_view sealed) {
  const auto opened = OpenSnapshot(kSnapshotMagic, kSnapshotVersion, sealed);
  if (!opened) {
    return opened.refusal();
  }
  std::string_view body = *opened;
  fb::RingStateSnapshotT head;
  uint64_t programs = 0;
  uint64_t turns = 0;
  if (!TakeRecord(body, head) || !TakeValue(body, programs)) {
    return Corrupt("head", body.size());
  }
  LoadHead(std::move(head));
  for (; programs > 0; --programs) {
    fb::ProgramLedgerT row;
    if (!TakeRecord(body, row)) {
      return Corrupt("programs", programs);
    }
    Program& program = programs_[row.program];
    program.spent_tokens = row.spent_tokens;
    program.touched_ms = row.touched_ms;
    for (const auto& open : row.open_turns) {
      program.open[open->turn] = open->max_tokens;
    }
  }
  if (!TakeValue(body, turns)) {
    return Corrupt("turns", body.size());
  }
  for (; turns > 0; --turns) {
    fb::KeptTurnT row;
    if (!TakeRecord(body, row) || !row.text) {
      return Corrupt("turns", turns);
    }
    turns_[row.text->turn] = {std::move(row.text->previous),
                              std::move(row.text->text),
                              std::move(row.upstream), row.expires_ms};
  }
  NotifyAll();
  return Done{};
}

void RingStateMachine::Impl::LoadHead(fb::RingStateSnapshotT head) {
  version_ = head.version;
  document_ = std::make_shared<const std::string>(std::move(head.document));
  for (const auto& row : head.departures) {
    const UpstreamDeparture value{row->instance, row->born_ms, row->gone};
    departures_[row->instance + "/" + std::to_string(row->born_ms)] = {value,
                                                                       0};
  }
  for (const auto& row : head.upstreams) {
    registrations_[row->instance] = {*row, 0};
  }
  retired_.insert(head.retired.begin(), head.retired.end());
}

}  // namespace ring
