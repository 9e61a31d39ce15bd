#include "core_flatbuffer_p.h"
#include "state_machine_p.h"

namespace ring {
namespace {

constexpr uint32_t kSnapshotMagic = 0x54534752;  // "RGST"
constexpr uint32_t kSnapshotVersion = 3;
// Records are padded to this size, so that they can be read in place.
constexpr size_t kRecordAlignment = 8;

size_t PaddingOf(size_t size) {
  return (kRecordAlignment - size % kRecordAlignment) % kRecordAlignment;
}

// Each program and turn is a record of its own. One flatbuffer of all of them
// would need several times the memory of the state.
template <typename T>
void AppendRecord(std::string& out, const T& record) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(T::TableType::Pack(builder, &record));
  AppendValue(out, static_cast<uint64_t>(builder.GetSize()));
  out.append(reinterpret_cast<const char*>(builder.GetBufferPointer()),
             builder.GetSize());
  out.append(PaddingOf(builder.GetSize()), '\0');
}

// Checks whether the next record has arrived completely. Also true for a size
// that no valid record has; TakeRecord then fails on it.
bool HasCompleteRecord(std::string_view in) {
  uint64_t size = 0;
  constexpr uint64_t kMaxRecordBytes = 1u << 30;
  return ReadValue(in, size) &&
         (size > kMaxRecordBytes || in.size() >= size + PaddingOf(size));
}

// Decodes the next record and removes it from the front of the input.
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

// @param remaining records of the part that have not been read
Refusal Corrupt(const std::string& part, uint64_t remaining) {
  return {Reason::kCorruptData, RunState::kNotRun,
          "the ring state snapshot is corrupt in its " + part + ", with " +
              std::to_string(remaining) + " records of that part left to read"};
}

}  // namespace

// Copies the mutable state and shares the turns, which are immutable.
class RingStateMachine::Impl::Image final : public StateImageI {
 public:
  explicit Image(const Impl& machine)
      : header_(machine.SaveHeader()),
        programs_(machine.programs_.begin(), machine.programs_.end()) {
    turns_.reserve(machine.turns_.size());
    for (const auto& [id, retained] : machine.turns_) {
      turns_.push_back(retained);
    }
  }

  bool Append(size_t bytes, std::string& out) override {
    const size_t begin = out.size();
    const size_t end = bytes < SIZE_MAX - begin ? begin + bytes : SIZE_MAX;
    if (!header_written_) {
      header_written_ = true;
      out += BeginSnapshot(kSnapshotMagic, kSnapshotVersion, 0);
      AppendRecord(out, header_);
      AppendValue(out, static_cast<uint64_t>(programs_.size()));
    }
    for (; next_program_ < programs_.size() && out.size() < end;
         ++next_program_) {
      const auto& [id, program] = programs_[next_program_];
      AppendRecord(out, SaveProgram(id, program));
    }
    if (next_program_ == programs_.size() && !turn_count_written_) {
      turn_count_written_ = true;
      AppendValue(out, static_cast<uint64_t>(turns_.size()));
    }
    for (;
         turn_count_written_ && next_turn_ < turns_.size() && out.size() < end;
         ++next_turn_) {
      AppendRecord(out, SaveTurn(turns_[next_turn_]));
    }
    checksum_.Add(std::string_view(out).substr(begin));
    const bool more = !turn_count_written_ || next_turn_ < turns_.size();
    if (!more) {
      AppendValue(out, checksum_.value());
    }
    return more;
  }

 private:
  const fb::RingStateSnapshotT header_;
  const std::vector<std::pair<std::string, Program>> programs_;
  std::vector<RetainedTurn> turns_;
  bool header_written_ = false;
  bool turn_count_written_ = false;
  size_t next_program_ = 0;
  size_t next_turn_ = 0;
  RunningChecksum checksum_;
};

std::unique_ptr<StateImageI> RingStateMachine::Impl::BeginSave() const {
  return std::make_unique<Image>(*this);
}

fb::RingStateSnapshotT RingStateMachine::Impl::SaveHeader() const {
  fb::RingStateSnapshotT header;
  header.version = version_;
  header.document = *document_;
  for (const auto& [key, departure] : departures_) {
    auto row = std::make_unique<fb::DepartUpstreamT>();
    row->instance = departure.value.instance;
    row->born_ms = departure.value.born_ms;
    row->gone = departure.value.gone;
    header.departures.push_back(std::move(row));
  }
  for (const auto& [instance, registration] : registrations_) {
    header.upstreams.push_back(
        std::make_unique<fb::RegisterUpstreamT>(registration.value));
  }
  header.retired.assign(retired_.begin(), retired_.end());
  header.suspect_board = std::make_unique<fb::SuspectBoardRecordT>();
  header.suspect_board->version = suspects_version_;
  for (const UpstreamCrash& crash : suspects_.recent()) {
    auto row = std::make_unique<fb::CrashRecordT>();
    row->upstream = crash.upstream;
    row->at_ms = crash.at_ms;
    for (const auto& [digest, sent_ms] : crash.requests) {
      row->requests.emplace_back(digest, sent_ms);
    }
    header.suspect_board->crashes.push_back(std::move(row));
  }
  for (const auto& [digest, since_ms] : suspects_.quarantined()) {
    auto row = std::make_unique<fb::QuarantineRecordT>();
    row->digest = digest;
    row->since_ms = since_ms;
    header.suspect_board->quarantined.push_back(std::move(row));
  }
  return header;
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

fb::KeptTurnT RingStateMachine::Impl::SaveTurn(const RetainedTurn& retained) {
  fb::KeptTurnT row;
  row.text = std::make_unique<fb::TurnTextT>();
  row.text->turn = retained.turn->id;
  row.text->previous = retained.turn->previous;
  row.text->text = retained.turn->text;
  row.upstream = retained.turn->upstream;
  row.team = retained.turn->team;
  row.knows_teams = retained.turn->knows_teams;
  row.expires_ms = retained.expires_ms;
  return row;
}

// Decodes each record as soon as it has arrived completely. The last 8 bytes
// stay in the buffer, since they may be the checksum.
class RingStateMachine::Impl::Loader final : public StateLoaderI {
 public:
  explicit Loader(Impl& machine) : machine_(machine) {}

  Status Append(std::string_view bytes) override {
    buffer_ += bytes;
    if (buffer_.size() < sizeof(uint64_t)) {
      return Done{};
    }
    std::string_view input =
        std::string_view(buffer_).substr(0, buffer_.size() - sizeof(uint64_t));
    const size_t size_before = input.size();
    while (DecodeNext(input)) {
    }
    if (error_) {
      return *error_;
    }
    const size_t consumed = size_before - input.size();
    checksum_.Add(std::string_view(buffer_).substr(0, consumed));
    buffer_.erase(0, consumed);
    return Done{};
  }

  Status Finish() override {
    std::string_view input = buffer_;
    uint64_t checksum = 0;
    if (part_ != Part::kTurns || remaining_records_ > 0 ||
        input.size() != sizeof(uint64_t) || !ReadValue(input, checksum) ||
        checksum != checksum_.value()) {
      return Corrupt("end", remaining_records_);
    }
    machine_.NotifyAll();
    return Done{};
  }

 private:
  enum class Part {
    kPreamble,
    kHeader,
    kProgramCount,
    kPrograms,
    kTurnCount,
    kTurns
  };

  // Decodes the next element and moves on to the next part after the last one.
  // @returns false if more input is needed, at the end, or after an error
  bool DecodeNext(std::string_view& input) {
    switch (part_) {
      case Part::kPreamble:
        return TakePreamble(input);
      case Part::kHeader:
        return TakeHeader(input);
      case Part::kProgramCount:
        return TakeCount(input, Part::kPrograms);
      case Part::kPrograms:
        if (remaining_records_ == 0) {
          part_ = Part::kTurnCount;
          return true;
        }
        return TakeProgram(input);
      case Part::kTurnCount:
        return TakeCount(input, Part::kTurns);
      case Part::kTurns:
        return remaining_records_ > 0 && TakeTurn(input);
    }
    return false;
  }

  bool Fail(const Refusal& refusal) {
    error_ = refusal;
    return false;
  }

  bool TakePreamble(std::string_view& input) {
    uint32_t magic = 0;
    uint32_t version = 0;
    if (input.size() < sizeof(magic) + sizeof(version)) {
      return false;
    }
    ReadValue(input, magic);
    ReadValue(input, version);
    if (magic != kSnapshotMagic) {
      return Fail(Corrupt("start", 0));
    }
    if (version != kSnapshotVersion) {
      return Fail({Reason::kVersionMismatch, RunState::kNotRun,
                   "the ring state snapshot has format version " +
                       std::to_string(version) + "; expected " +
                       std::to_string(kSnapshotVersion)});
    }
    part_ = Part::kHeader;
    return true;
  }

  bool TakeCount(std::string_view& input, Part next) {
    if (!ReadValue(input, remaining_records_)) {
      return false;
    }
    part_ = next;
    return true;
  }

  // @returns false if the record is incomplete so far or cannot be decoded
  template <typename T>
  bool Take(std::string_view& input, T& record) {
    if (!HasCompleteRecord(input)) {
      return false;
    }
    return TakeRecord(input, record) ||
           Fail(Corrupt("records", remaining_records_));
  }

  bool TakeHeader(std::string_view& input) {
    fb::RingStateSnapshotT header;
    if (!Take(input, header)) {
      return false;
    }
    machine_.LoadHeader(std::move(header));
    part_ = Part::kProgramCount;
    return true;
  }

  bool TakeProgram(std::string_view& input) {
    fb::ProgramLedgerT row;
    if (!Take(input, row)) {
      return false;
    }
    --remaining_records_;
    Program& program = machine_.programs_[row.program];
    program.spent_tokens = row.spent_tokens;
    program.touched_ms = row.touched_ms;
    for (const auto& open : row.open_turns) {
      program.open[open->turn] = open->max_tokens;
    }
    return true;
  }

  bool TakeTurn(std::string_view& input) {
    fb::KeptTurnT row;
    if (!Take(input, row)) {
      return false;
    }
    if (!row.text) {
      return Fail(Corrupt("turns", remaining_records_));
    }
    --remaining_records_;
    auto turn = std::make_shared<KeptTurn>();
    turn->id = std::move(row.text->turn);
    turn->previous = std::move(row.text->previous);
    turn->text = std::move(row.text->text);
    turn->upstream = std::move(row.upstream);
    turn->team = std::move(row.team);
    turn->knows_teams = row.knows_teams;
    // Turns are saved in ascending order of their ids.
    machine_.turns_.emplace_hint(machine_.turns_.end(), turn->id,
                                 RetainedTurn{turn, row.expires_ms});
    return true;
  }

  Impl& machine_;
  std::string buffer_;
  RunningChecksum checksum_;
  Part part_ = Part::kPreamble;
  uint64_t remaining_records_ = 0;
  std::optional<Refusal> error_;
};

std::unique_ptr<StateLoaderI> RingStateMachine::Impl::BeginLoad() {
  return std::make_unique<Loader>(*this);
}

void RingStateMachine::Impl::LoadHeader(fb::RingStateSnapshotT header) {
  version_ = header.version;
  document_ = std::make_shared<const std::string>(std::move(header.document));
  for (const auto& row : header.departures) {
    const UpstreamDeparture value{row->instance, row->born_ms, row->gone};
    departures_[row->instance + "/" + std::to_string(row->born_ms)] = {value,
                                                                       0};
  }
  for (const auto& row : header.upstreams) {
    registrations_[row->instance] = {*row, 0};
  }
  retired_.insert(header.retired.begin(), header.retired.end());
  if (header.suspect_board) {
    LoadSuspects(*header.suspect_board);
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
  notified_suspects_ = suspects_.List();
  suspects_version_ = record.version;
}

}  // namespace ring
