#include "core_flatbuffer_p.h"
#include "state_machine_p.h"

namespace ring {
namespace {

constexpr uint32_t kSnapshotMagic = 0x54534752;  // "RGST"
constexpr uint32_t kSnapshotVersion = 3;
// Records begin at multiples of this, so that they are read where they are.
constexpr size_t kRecordAlignment = 8;

size_t PaddingOf(size_t size) {
  return (kRecordAlignment - size % kRecordAlignment) % kRecordAlignment;
}

// Programs and turns are written one after the other, because a single buffer
// of all of them would need the memory of the state several times over.
template <typename T>
void AppendRecord(std::string& out, const T& record) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(T::TableType::Pack(builder, &record));
  AppendValue(out, static_cast<uint64_t>(builder.GetSize()));
  out.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
             builder.GetSize());
  out.append(PaddingOf(builder.GetSize()), '\0');
}

// Takes the next record off the front.
template <typename T>
bool TakeRecord(std::string_view& in, T& record) {
  uint64_t size = 0;
  if (!TakeValue(in, size) || in.size() < size ||
      in.size() - size < PaddingOf(size)) {
    return false;
  }
  const FlatView<typename T::TableType> view(in.substr(0, size));
  if (!view) {
    return false;
  }
  view->UnPackTo(&record);
  in.remove_prefix(size + PaddingOf(size));
  return true;
}

Refusal Corrupt(const std::string& part, uint64_t left) {
  return {Reason::kCorruptData, RunState::kNotRun,
          "the snapshot of the ring state cannot be decoded at its " + part +
              ", " + std::to_string(left) + " before its end"};
}

}  // namespace

// Holds copies of what changes and shares the turns, which do not.
class RingStateMachine::Impl::Image final : public StateImageI {
 public:
  explicit Image(const Impl& machine)
      : head_(machine.SaveHead()),
        programs_(machine.programs_.begin(), machine.programs_.end()) {
    turns_.reserve(machine.turns_.size());
    for (const auto& [id, slot] : machine.turns_) {
      turns_.push_back(slot);
    }
  }

  bool Append(size_t bytes, std::string& out) override {
    const size_t begin = out.size();
    const size_t end = bytes < SIZE_MAX - begin ? begin + bytes : SIZE_MAX;
    if (!begun_) {
      begun_ = true;
      out += BeginSnapshot(kSnapshotMagic, kSnapshotVersion, 0);
      AppendRecord(out, head_);
      AppendValue(out, static_cast<uint64_t>(programs_.size()));
    }
    for (; next_program_ < programs_.size() && out.size() < end;
         ++next_program_) {
      const auto& [id, program] = programs_[next_program_];
      AppendRecord(out, SaveProgram(id, program));
    }
    if (next_program_ == programs_.size() && !turns_begun_) {
      turns_begun_ = true;
      AppendValue(out, static_cast<uint64_t>(turns_.size()));
    }
    for (; turns_begun_ && next_turn_ < turns_.size() && out.size() < end;
         ++next_turn_) {
      AppendRecord(out, SaveTurn(turns_[next_turn_]));
    }
    checksum_.Add(std::string_view(out).substr(begin));
    const bool more = !turns_begun_ || next_turn_ < turns_.size();
    if (!more) {
      AppendValue(out, checksum_.value());
    }
    return more;
  }

 private:
  const fb::RingStateSnapshotT head_;
  const std::vector<std::pair<std::string, Program>> programs_;
  std::vector<TurnSlot> turns_;
  bool begun_ = false;
  bool turns_begun_ = false;
  size_t next_program_ = 0;
  size_t next_turn_ = 0;
  RunningChecksum checksum_;
};

std::unique_ptr<StateImageI> RingStateMachine::Impl::Freeze() const {
  return std::make_unique<Image>(*this);
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

fb::KeptTurnT RingStateMachine::Impl::SaveTurn(const TurnSlot& slot) {
  fb::KeptTurnT row;
  row.text = std::make_unique<fb::TurnTextT>();
  row.text->turn = slot.turn->id;
  row.text->previous = slot.turn->previous;
  row.text->text = slot.turn->text;
  row.upstream = slot.turn->upstream;
  row.expires_ms = slot.expires_ms;
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
    auto turn = std::make_shared<KeptTurn>();
    turn->id = std::move(row.text->turn);
    turn->previous = std::move(row.text->previous);
    turn->text = std::move(row.text->text);
    turn->upstream = std::move(row.upstream);
    // Turns are saved in the order of their ids.
    turns_.emplace_hint(turns_.end(), turn->id, TurnSlot{turn, row.expires_ms});
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
