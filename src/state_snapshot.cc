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

// A size that no record has stands for damage, which TakeRecord finds.
bool HoldsRecord(std::string_view in) {
  uint64_t size = 0;
  constexpr uint64_t kMaxRecordBytes = 1u << 30;
  return ReadValue(in, size) &&
         (size > kMaxRecordBytes || in.size() >= size + PaddingOf(size));
}

// Takes the next record off the front.
template <typename T>
bool TakeRecord(std::string_view& in, T& record) {
  uint64_t size = 0;
  if (!ReadValue(in, size) || in.size() < size ||
      in.size() - size < PaddingOf(size)) {
    return false;
  }
  const FlatBufferView<typename T::TableType> view(in.substr(0, size));
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
  head.suspect_board = std::make_unique<fb::SuspectBoardRecordT>();
  head.suspect_board->version = suspects_version_;
  for (const UpstreamCrash& crash : suspects_.recent()) {
    auto row = std::make_unique<fb::CrashRecordT>();
    row->upstream = crash.upstream;
    row->at_ms = crash.at_ms;
    for (const auto& [digest, sent_ms] : crash.requests) {
      row->requests.emplace_back(digest, sent_ms);
    }
    head.suspect_board->crashes.push_back(std::move(row));
  }
  for (const auto& [digest, since_ms] : suspects_.quarantined()) {
    auto row = std::make_unique<fb::QuarantineRecordT>();
    row->digest = digest;
    row->since_ms = since_ms;
    head.suspect_board->quarantined.push_back(std::move(row));
  }
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

// Decodes records as soon as they are whole. The last bytes are held back: they
// may be the checksum.
class RingStateMachine::Impl::Loader final : public StateLoaderI {
 public:
  explicit Loader(Impl& machine) : machine_(machine) {}

  Status Append(std::string_view bytes) override {
    held_ += bytes;
    if (held_.size() < sizeof(uint64_t)) {
      return Done{};
    }
    std::string_view left =
        std::string_view(held_).substr(0, held_.size() - sizeof(uint64_t));
    const size_t before = left.size();
    while (Step(left)) {
    }
    if (problem_) {
      return *problem_;
    }
    const size_t taken = before - left.size();
    checksum_.Add(std::string_view(held_).substr(0, taken));
    held_.erase(0, taken);
    return Done{};
  }

  Status Finish() override {
    std::string_view left = held_;
    uint64_t checksum = 0;
    if (part_ != Part::kTurns || left_in_part_ > 0 ||
        left.size() != sizeof(uint64_t) || !ReadValue(left, checksum) ||
        checksum != checksum_.value()) {
      return Corrupt("end", left_in_part_);
    }
    machine_.NotifyAll();
    return Done{};
  }

 private:
  enum class Part {
    kStart,
    kHead,
    kProgramCount,
    kPrograms,
    kTurnCount,
    kTurns
  };

  // Takes the next record, if it is whole, and goes on to the next part.
  bool Step(std::string_view& left) {
    switch (part_) {
      case Part::kStart:
        return TakeStart(left);
      case Part::kHead:
        return TakeHead(left);
      case Part::kProgramCount:
        return TakeCount(left, Part::kPrograms);
      case Part::kPrograms:
        if (left_in_part_ == 0) {
          part_ = Part::kTurnCount;
          return true;
        }
        return TakeProgram(left);
      case Part::kTurnCount:
        return TakeCount(left, Part::kTurns);
      case Part::kTurns:
        return left_in_part_ > 0 && TakeTurn(left);
    }
    return false;
  }

  bool Fail(const Refusal& refusal) {
    problem_ = refusal;
    return false;
  }

  bool TakeStart(std::string_view& left) {
    uint32_t magic = 0;
    uint32_t version = 0;
    if (left.size() < sizeof(magic) + sizeof(version)) {
      return false;
    }
    ReadValue(left, magic);
    ReadValue(left, version);
    if (magic != kSnapshotMagic) {
      return Fail(Corrupt("start", 0));
    }
    if (version != kSnapshotVersion) {
      return Fail({Reason::kVersionMismatch, RunState::kNotRun,
                   "snapshot format " + std::to_string(version) +
                       ", this program reads " +
                       std::to_string(kSnapshotVersion)});
    }
    part_ = Part::kHead;
    return true;
  }

  bool TakeCount(std::string_view& left, Part next) {
    if (!ReadValue(left, left_in_part_)) {
      return false;
    }
    part_ = next;
    return true;
  }

  // @returns false if the record is not whole yet or cannot be decoded
  template <typename T>
  bool Take(std::string_view& left, T& record) {
    if (!HoldsRecord(left)) {
      return false;
    }
    return TakeRecord(left, record) || Fail(Corrupt("records", left_in_part_));
  }

  bool TakeHead(std::string_view& left) {
    fb::RingStateSnapshotT head;
    if (!Take(left, head)) {
      return false;
    }
    machine_.LoadHead(std::move(head));
    part_ = Part::kProgramCount;
    return true;
  }

  bool TakeProgram(std::string_view& left) {
    fb::ProgramLedgerT row;
    if (!Take(left, row)) {
      return false;
    }
    --left_in_part_;
    Program& program = machine_.programs_[row.program];
    program.spent_tokens = row.spent_tokens;
    program.touched_ms = row.touched_ms;
    for (const auto& open : row.open_turns) {
      program.open[open->turn] = open->max_tokens;
    }
    return true;
  }

  bool TakeTurn(std::string_view& left) {
    fb::KeptTurnT row;
    if (!Take(left, row)) {
      return false;
    }
    if (!row.text) {
      return Fail(Corrupt("turns", left_in_part_));
    }
    --left_in_part_;
    auto turn = std::make_shared<KeptTurn>();
    turn->id = std::move(row.text->turn);
    turn->previous = std::move(row.text->previous);
    turn->text = std::move(row.text->text);
    turn->upstream = std::move(row.upstream);
    // Turns are saved in the order of their ids.
    machine_.turns_.emplace_hint(machine_.turns_.end(), turn->id,
                                 TurnSlot{turn, row.expires_ms});
    return true;
  }

  Impl& machine_;
  std::string held_;
  RunningChecksum checksum_;
  Part part_ = Part::kStart;
  uint64_t left_in_part_ = 0;
  std::optional<Refusal> problem_;
};

std::unique_ptr<StateLoaderI> RingStateMachine::Impl::BeginLoad() {
  return std::make_unique<Loader>(*this);
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
  if (head.suspect_board) {
    LoadSuspects(*head.suspect_board);
  }
}

void RingStateMachine::Impl::LoadSuspects(
    const fb::SuspectBoardRecordT& record) {
  std::vector<UpstreamCrash> recent;
  for (const auto& row : record.crashes) {
    UpstreamCrash crash{row->upstream, row->at_ms, {}};
    for (const fb::LostRequest& request : row->requests) {
      crash.requests[request.digest()] = request.sent_ms();
    }
    recent.push_back(std::move(crash));
  }
  std::map<uint64_t, int64_t> quarantined;
  for (const auto& row : record.quarantined) {
    quarantined[row->digest] = row->since_ms;
  }
  suspects_.Load(std::move(recent), std::move(quarantined));
  suspect_list_ = suspects_.List();
  suspects_version_ = record.version;
}

}  // namespace ring
