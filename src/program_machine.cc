#include "program_machine_p.h"

#include <algorithm>

#include "core_flatbuffer_p.h"

namespace ring {
namespace {

/// Longest time that a call under way keeps its program from being idle. Its
/// owner may have died, and calls end long before this.
constexpr int64_t kMaxCallMs = 1'800'000;

/// An owner that has been stopped for longer than this adds the holder again
/// when its outcome is refused.
constexpr int64_t kUnsentCallMs = 60'000;

Refusal UnknownProgram() {
  return Refuse(Reason::kUnknownProgram, "no such program in this domain");
}

bool IsSameOpen(const StoredProgram& existing, const fb::ProgramOpen& command) {
  const ProgramState& state = existing.state;
  return state.team == TextOf(command.team()) &&
         state.parent.text() == TextOf(command.parent()) &&
         state.budget_tokens == command.budget_tokens() &&
         state.deadline_wall_ms == command.deadline_wall_ms() &&
         state.idle_limit_ms == command.idle_limit_ms();
}

}  // namespace

Refusal Refuse(Reason reason, std::string message) {
  return {reason, RunState::kNotRun, std::move(message)};
}

Refusal RefuseEnded(const ProgramState& state) {
  const bool expired = state.end_reason == Reason::kDeadlinePassed ||
                       state.end_reason == Reason::kProgramExpired;
  return Refuse(expired ? Reason::kProgramExpired : Reason::kProgramEnded,
                state.end_reason == Reason::kNone
                    ? std::string("the program was ended by its caller")
                    : std::string("the program has ended: ") +
                          ToString(state.end_reason));
}

void AddHolder(std::vector<UpstreamId>& holders, const UpstreamId& upstream) {
  std::erase_if(holders, [&](const UpstreamId& holder) {
    return holder.name == upstream.name &&
           holder.incarnation < upstream.incarnation;
  });
  if (std::find(holders.begin(), holders.end(), upstream) == holders.end()) {
    holders.push_back(upstream);
  }
}

ProgramMachine::ProgramMachine(std::string domain, const ProgramLimits& limits)
    : domain_(std::move(domain)), limits_(limits) {}

StoredProgram* ProgramMachine::Find(std::string_view id) {
  const auto it = programs_.find(id);
  return it == programs_.end() ? nullptr : &it->second;
}

const StoredProgram* ProgramMachine::Find(std::string_view id) const {
  const auto it = programs_.find(id);
  return it == programs_.end() ? nullptr : &it->second;
}

Outcome<StoredProgram*> ProgramMachine::FindOwned(const flatbuffers::String* id,
                                                  uint64_t epoch) {
  StoredProgram* program = Find(TextOf(id));
  if (program == nullptr) {
    return UnknownProgram();
  }
  if (program->state.epoch != epoch) {
    return Refuse(Reason::kStaleEpoch,
                  "the program is owned under epoch " +
                      std::to_string(program->state.epoch));
  }
  return program;
}

Status ProgramMachine::CheckOpen(const fb::ProgramOpen& command) const {
  if (TextOf(command.team()).empty() || TextOf(command.owner()).empty()) {
    return Refuse(Reason::kBadRequest, "team and owner are required");
  }
  if (command.budget_tokens() <= 0 ||
      command.budget_tokens() > limits_.max_budget_tokens) {
    return Refuse(Reason::kBadRequest,
                  "budget_tokens must be in 1.." +
                      std::to_string(limits_.max_budget_tokens));
  }
  if (command.deadline_wall_ms() <= now_ms_ || command.idle_limit_ms() < 0) {
    return Refuse(Reason::kBadRequest,
                  "deadline must be in the future, idle limit not negative");
  }
  const std::string_view parent_id = TextOf(command.parent());
  if (parent_id.empty()) {
    return Done{};
  }
  const StoredProgram* parent = Find(parent_id);
  if (parent == nullptr) {
    return Refuse(Reason::kUnknownProgram, "no such parent in this domain");
  }
  if (parent->state.ended) {
    return RefuseEnded(parent->state);
  }
  if (parent->state.available_tokens() < command.budget_tokens()) {
    return Refuse(Reason::kBudgetExceeded,
                  "the parent has fewer tokens left than the child asks for");
  }
  return Done{};
}

Outcome<const StoredProgram*> ProgramMachine::RepeatOpen(
    const StoredProgram& existing,
    const fb::ProgramOpen& command) {
  if (!IsSameOpen(existing, command)) {
    return Refuse(Reason::kConflict, "the id is in use by another program");
  }
  if (existing.state.ended) {
    return RefuseEnded(existing.state);
  }
  if (existing.state.epoch != 1 ||
      existing.state.owner != TextOf(command.owner())) {
    return Refuse(Reason::kStaleEpoch, "another entry owns the program");
  }
  return &existing;
}

Outcome<const StoredProgram*> ProgramMachine::Open(
    const fb::ProgramOpen& command) {
  const ProgramId id = ReadId(command.id());
  if (!isValid(id) || id.home_domain() != domain_) {
    return UnknownProgram();
  }
  if (const StoredProgram* existing = Find(id.text())) {
    return RepeatOpen(*existing, command);
  }
  if (Status status = CheckOpen(command); !status) {
    return status.refusal();
  }
  StoredProgram& program = programs_[id.text()];
  ProgramState& state = program.state;
  state.id = id;
  state.team = TextOf(command.team());
  state.parent = ReadId(command.parent());
  state.opened_wall_ms = now_ms_;
  state.deadline_wall_ms = command.deadline_wall_ms();
  state.idle_limit_ms = command.idle_limit_ms();
  state.last_activity_wall_ms = now_ms_;
  state.budget_tokens = command.budget_tokens();
  state.epoch = 1;
  state.owner = TextOf(command.owner());
  if (isValid(state.parent)) {
    ProgramState& parent = Find(state.parent.text())->state;
    parent.reserved_tokens += state.budget_tokens;
    parent.children.push_back(id);
    parent.last_activity_wall_ms = now_ms_;
  }
  return &program;
}

Outcome<const StoredProgram*> ProgramMachine::Acquire(
    const fb::ProgramAcquire& command) {
  StoredProgram* program = Find(TextOf(command.id()));
  if (program == nullptr) {
    return UnknownProgram();
  }
  ProgramState& state = program->state;
  if (state.ended) {
    return RefuseEnded(state);
  }
  const std::string_view entry = TextOf(command.entry());
  const std::string_view nonce = TextOf(command.nonce());
  if (entry.empty()) {
    return Refuse(Reason::kBadRequest, "entry is required");
  }
  if (!nonce.empty() && nonce == program->acquire_nonce &&
      entry == state.owner) {
    return program;
  }
  ++state.epoch;
  state.owner = entry;
  state.last_activity_wall_ms = now_ms_;
  program->acquire_nonce = nonce;
  CallRecord* call = program->CallUnderWay();
  if (call != nullptr && !call->idempotent) {
    FinishAsUnknown(*program, *call);
  }
  return program;
}

Status ProgramMachine::End(const fb::ProgramEnd& command) {
  StoredProgram* program = Find(TextOf(command.id()));
  if (program == nullptr) {
    return UnknownProgram();
  }
  if (!program->state.ended) {
    EndTree(program->state.id.text(), ReadReason(command.reason()));
  }
  return Done{};
}

void ProgramMachine::EndTree(const std::string& id, Reason reason) {
  // A chain of children can be long, so the walk does not use the call stack.
  std::vector<std::string> order{id};
  for (size_t i = 0; i < order.size(); ++i) {
    for (const ProgramId& child : Find(order[i])->state.children) {
      order.push_back(child.text());
    }
  }
  for (auto it = order.rbegin(); it != order.rend(); ++it) {
    EndOne(*Find(*it), reason);
  }
}

void ProgramMachine::EndOne(StoredProgram& program, Reason reason) {
  ProgramState& state = program.state;
  // The call under way may still use its whole reserve.
  state.used_tokens += state.reserved_tokens;
  state.reserved_tokens = 0;
  state.ended = true;
  state.end_reason = reason;
  program.ended_wall_ms = now_ms_;
  program.history_tokens = 0;
  std::vector<std::string>().swap(state.history);
  for (CallRecord& call : state.calls) {
    std::string().swap(call.answer);
  }
  IndexTombstone(program);
  if (!isValid(state.parent)) {
    return;
  }
  ProgramState& parent = Find(state.parent.text())->state;
  parent.reserved_tokens -= state.budget_tokens;
  parent.used_tokens += state.used_tokens;
  parent.last_activity_wall_ms = now_ms_;
  std::erase(parent.children, state.id);
}

void ProgramMachine::IndexTombstone(const StoredProgram& program) {
  const std::pair key(program.ended_wall_ms, program.state.id.text());
  tombstones_.insert(key);
  if (program.state.cache_holders.empty()) {
    pending_.erase(key);
  } else {
    pending_.insert(key);
  }
}

// The owner may have been stopped between its begin record and the request. It
// then fills the engine's cache after the release, so the release is repeated
// until the outcome of the call is known or its owner is taken for dead.
bool ProgramMachine::MayStillReach(const StoredProgram& program,
                                   const UpstreamId& upstream) const {
  const CallRecord* call = program.CallUnderWay();
  return call != nullptr && program.call_holds_cache && !call->tried.empty() &&
         call->tried.back() == upstream &&
         now_ms_ - program.ended_wall_ms < kUnsentCallMs;
}

Status ProgramMachine::ConfirmRelease(
    const fb::ProgramConfirmRelease& command) {
  const ProgramId id = ReadId(command.id());
  if (!isValid(id) || id.home_domain() != domain_) {
    return UnknownProgram();
  }
  StoredProgram* program = Find(id.text());
  if (program == nullptr) {
    return Done{};  // A repeated confirmation after the tombstone was dropped.
  }
  if (!program->state.ended) {
    return Refuse(Reason::kNotAllowed, "the program has not ended");
  }
  const UpstreamId upstream = ReadUpstream(command.upstream());
  if (MayStillReach(*program, upstream)) {
    return Refuse(Reason::kNotAllowed,
                  "the call under way may still reach the upstream");
  }
  std::erase(program->state.cache_holders, upstream);
  IndexTombstone(*program);
  return Done{};
}

bool ProgramMachine::IsIdle(const StoredProgram& program) const {
  const ProgramState& state = program.state;
  if (state.idle_limit_ms == 0 || !state.children.empty()) {
    return false;
  }
  const int64_t limit = program.CallUnderWay() == nullptr
                            ? state.idle_limit_ms
                            : state.idle_limit_ms + kMaxCallMs;
  return now_ms_ - state.last_activity_wall_ms > limit;
}

void ProgramMachine::Expire() {
  for (auto& [id, program] : programs_) {
    if (program.state.ended) {
      continue;
    }
    if (now_ms_ >= program.state.deadline_wall_ms) {
      EndTree(id, Reason::kDeadlinePassed);
    } else if (IsIdle(program)) {
      EndTree(id, Reason::kProgramExpired);
    }
  }
  DropOldTombstones();
}

void ProgramMachine::DropOldTombstones() {
  for (auto it = tombstones_.begin();
       it != tombstones_.end() && now_ms_ - it->first > limits_.tombstone_ms;) {
    if (pending_.contains(*it)) {
      ++it;
      continue;
    }
    programs_.erase(it->second);
    it = tombstones_.erase(it);
  }
}

std::string ProgramMachine::ExpireCommand() const {
  return program_codec::EncodeExpire();
}

}  // namespace ring
