#include "program_machine_p.h"

#include <algorithm>

#include "core_flatbuffer_p.h"

namespace ring {
namespace {

/// Time added to the idle limit while a call is in progress. Calls end long
/// before this, so one that takes longer has lost its owner.
constexpr int64_t kMaxCallMs = 1'800'000;

/// Time after the end of a program for which a call in progress is assumed to
/// be still on its way to the upstream. An owner that was paused for longer is
/// covered by RefuseFinishAfterEnd, which records the cache holder again.
constexpr int64_t kMaxSendDelayMs = 60'000;

Refusal UnknownProgram() {
  return Refuse(Reason::kUnknownProgram,
                "the program does not exist in this domain");
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
                  "the deadline must be in the future and the idle limit not "
                  "negative");
  }
  const std::string_view parent_id = TextOf(command.parent());
  if (parent_id.empty()) {
    return Done{};
  }
  const StoredProgram* parent = Find(parent_id);
  if (parent == nullptr) {
    return Refuse(Reason::kUnknownProgram,
                  "the parent program does not exist in this domain");
  }
  if (parent->state.ended) {
    return RefuseEnded(parent->state);
  }
  if (parent->state.available_tokens() < command.budget_tokens()) {
    return Refuse(Reason::kBudgetExceeded,
                  "the child's budget exceeds the parent's available tokens");
  }
  return Done{};
}

Outcome<const StoredProgram*> ProgramMachine::HandleRepeatedOpen(
    const StoredProgram& existing,
    const fb::ProgramOpen& command) {
  if (!IsSameOpen(existing, command)) {
    return Refuse(Reason::kConflict, "the program id is already in use");
  }
  if (existing.state.ended) {
    return RefuseEnded(existing.state);
  }
  if (existing.state.epoch != 1 ||
      existing.state.owner != TextOf(command.owner())) {
    return Refuse(Reason::kStaleEpoch, "the program is owned by another entry");
  }
  return &existing;
}

Outcome<const StoredProgram*> ProgramMachine::Open(
    const fb::ProgramOpen& command) {
  const ProgramId id = ReadId(command.id());
  if (!IsValid(id) || id.home_domain() != domain_) {
    return UnknownProgram();
  }
  if (const StoredProgram* existing = Find(id.text())) {
    return HandleRepeatedOpen(*existing, command);
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
  if (IsValid(state.parent)) {
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
  CallRecord* call = program->ActiveCall();
  if (call != nullptr && !call->idempotent) {
    FinishWithUnknownOutcome(*program, *call);
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
  // Iterative because a long chain of children would overflow the stack.
  std::vector<std::string> order{id};
  for (size_t i = 0; i < order.size(); ++i) {
    for (const ProgramId& child : Find(order[i])->state.children) {
      order.push_back(child.text());
    }
  }
  for (auto it = order.rbegin(); it != order.rend(); ++it) {
    EndProgram(*Find(*it), reason);
  }
}

void ProgramMachine::EndProgram(StoredProgram& program, Reason reason) {
  ProgramState& state = program.state;
  // A call in progress may still use all its reserved tokens.
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
  if (!IsValid(state.parent)) {
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
    pending_releases_.erase(key);
  } else {
    pending_releases_.insert(key);
  }
}

// An owner that is paused between BeginCall and sending the request fills the
// upstream's cache after the release. The release is therefore repeated until
// the outcome of the call is known or the owner is assumed dead.
bool ProgramMachine::MayStillFillCache(const StoredProgram& program,
                                       const UpstreamId& upstream) const {
  const CallRecord* call = program.ActiveCall();
  return call != nullptr && program.call_holds_cache &&
         !call->tried_upstreams.empty() &&
         call->tried_upstreams.back() == upstream &&
         now_ms_ - program.ended_wall_ms < kMaxSendDelayMs;
}

Status ProgramMachine::ConfirmRelease(
    const fb::ProgramConfirmRelease& command) {
  const ProgramId id = ReadId(command.id());
  if (!IsValid(id) || id.home_domain() != domain_) {
    return UnknownProgram();
  }
  StoredProgram* program = Find(id.text());
  if (program == nullptr) {
    return Done{};  // Repeated after the tombstone was removed.
  }
  if (!program->state.ended) {
    return Refuse(Reason::kNotAllowed, "the program has not ended");
  }
  const UpstreamId upstream = ReadUpstream(command.upstream());
  if (MayStillFillCache(*program, upstream)) {
    return Refuse(Reason::kNotAllowed,
                  "a call in progress may still reach the upstream");
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
  const int64_t limit = program.ActiveCall() == nullptr
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
    if (pending_releases_.contains(*it)) {
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
