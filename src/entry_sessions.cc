#include "entry_sessions_p.h"

#include <algorithm>

namespace ring::entry {

const CallRecord* Session::FindRecord(uint64_t sequence) const {
  for (const CallRecord& record : state.calls) {
    if (record.sequence == sequence) {
      return &record;
    }
  }
  return nullptr;
}

const CallRecord* Session::FindKey(const std::string& idempotency_key) const {
  if (idempotency_key.empty()) {
    return nullptr;
  }
  for (const CallRecord& record : state.calls) {
    if (record.idempotency_key == idempotency_key) {
      return &record;
    }
  }
  return nullptr;
}

void Session::ApplyFinish(const FinishCall& finish, const Call& call) {
  CallRecord record;
  record.sequence = finish.sequence;
  record.digest = call.request.digest;
  record.idempotency_key = call.request.idempotency_key;
  record.idempotent = call.idempotent;
  record.state = CallState::kFinished;
  record.epoch = finish.epoch;
  record.attempt = finish.attempt;
  record.used_tokens = std::min(finish.used_tokens, call.reserve_tokens);
  record.run_state = finish.run_state;
  record.reason = finish.reason;
  record.http_status = finish.http_status;
  record.content_type = finish.content_type;
  record.answer = finish.answer;
  std::erase_if(state.calls, [&](const CallRecord& old) {
    return old.sequence == finish.sequence;
  });
  state.calls.push_back(record);
  if (state.calls.size() > kMaxStoredAnswers) {
    state.calls.erase(state.calls.begin());
  }
  state.used_tokens += record.used_tokens;
  state.next_sequence = std::max(state.next_sequence, finish.sequence + 1);
  state.turns += 1;
  state.history.insert(state.history.end(), finish.history_delta.begin(),
                       finish.history_delta.end());
}

QuorumBreaker::QuorumBreaker(const ClockI& clock, int64_t retry_ms)
    : clock_(clock), retry_ms_(retry_ms) {}

Status QuorumBreaker::Check(const std::string& domain) {
  std::lock_guard lock(mutex_);
  const auto found = failed_at_ms_.find(domain);
  if (found == failed_at_ms_.end()) {
    return Done{};
  }
  const int64_t now_ms = clock_.NowMs();
  const int64_t probe_at_ms = found->second + retry_ms_;
  if (now_ms < probe_at_ms) {
    return Refuse(Reason::kNoQuorum,
                  "the home domain of the program has no quorum",
                  probe_at_ms - now_ms + retry_ms_);
  }
  // This request is the probe. Further ones are refused until its result is
  // reported or retry_ms_ has passed.
  found->second = now_ms;
  return Done{};
}

void QuorumBreaker::Report(const std::string& domain, Reason reason) {
  std::lock_guard lock(mutex_);
  if (reason == Reason::kNoQuorum) {
    failed_at_ms_[domain] = clock_.NowMs();
  } else {
    failed_at_ms_.erase(domain);
  }
}

SessionTable::SessionTable(const EntryInit& init, const EntryDependencies& deps)
    : init_(init),
      deps_(deps),
      breaker_(*deps.clock, init.call_limits.quorum_retry_ms) {}

void SessionTable::Add(const ProgramState& state) {
  const SessionPtr session = GetOrCreate(state.id);
  std::lock_guard lock(session->mutex);
  Fill(*session, state);
}

SessionPtr SessionTable::FindCached(const ProgramId& id) const {
  std::lock_guard lock(mutex_);
  const auto found = sessions_.find(id.text());
  return found == sessions_.end() ? nullptr : found->second;
}

SessionPtr SessionTable::GetOrCreate(const ProgramId& id) {
  std::lock_guard lock(mutex_);
  SessionPtr& session = sessions_[id.text()];
  if (!session) {
    session = std::make_shared<Session>();
  }
  session->last_used_ms = deps_.clock->NowMs();
  return session;
}

Outcome<std::variant<SessionPtr, RemoteOwner>> SessionTable::Find(
    const ProgramId& id,
    bool take_over) {
  using Found = std::variant<SessionPtr, RemoteOwner>;
  const std::string domain(id.home_domain());
  SessionPtr session = GetOrCreate(id);
  std::unique_lock lock(session->mutex);
  while (FindCached(id) != session) {  // Dropped while waiting for the lock.
    lock.unlock();
    session = GetOrCreate(id);
    lock = std::unique_lock(session->mutex);
  }
  if (session->owned) {
    return Found(session);
  }
  const auto available = breaker_.Check(domain);
  if (!available) {
    return available.refusal();
  }
  if (!take_over) {
    const auto owner = deps_.programs->Locate(id);
    breaker_.Report(domain, owner.refusal().reason);
    if (!owner) {
      Drop(id);
      return owner.refusal();
    }
    if (!owner->ended && owner->owner != init_.node && !owner->owner.empty()) {
      Drop(id);
      return Found(RemoteOwner{owner->owner});
    }
  }
  const auto acquired = Acquire(id, *session);
  breaker_.Report(domain, acquired.refusal().reason);
  if (!acquired) {
    Drop(id);
    return acquired.refusal();
  }
  return Found(session);
}

Status SessionTable::Acquire(const ProgramId& id, Session& session) {
  const auto state = deps_.programs->Acquire(id, init_.node);
  if (!state) {
    return state.refusal();
  }
  Fill(session, *state);
  metrics::Count("ring_program_acquisitions_total");
  Event(LogLevel::kInfo, "program_acquired")
      .Add("program", id.log_prefix())
      .Add("epoch", state->epoch);
  return Done{};
}

void SessionTable::Fill(Session& session, const ProgramState& state) {
  session.state = state;
  session.owned = true;
  session.unsent_attempts.clear();
  const int64_t now_ms = deps_.clock->NowMs();
  const int64_t wall_ms = deps_.clock->WallMs();
  session.start_ms = now_ms - (wall_ms - state.opened_wall_ms);
  session.deadline_ms = now_ms + (state.deadline_wall_ms - wall_ms);
  session.root_key = RootKeyOf(state);
  session.cached = EstimateCached(state);
}

// The engine of the last call caches the history. It may have evicted it since;
// then it computes the prefix again.
std::map<UpstreamId, int64_t> SessionTable::EstimateCached(
    const ProgramState& state) {
  std::map<UpstreamId, int64_t> cached;
  int64_t tokens = 0;
  for (const std::string& message : state.history) {
    tokens += CountTokens(message.size());
  }
  const auto& holders = state.cache_holders;
  for (auto call = state.calls.rbegin(); call != state.calls.rend(); ++call) {
    const bool held = !call->tried_upstreams.empty() &&
                      std::find(holders.begin(), holders.end(),
                                call->tried_upstreams.back()) != holders.end();
    if (held) {
      cached[call->tried_upstreams.back()] = tokens;
      break;
    }
  }
  return cached;
}

uint64_t SessionTable::RootKeyOf(const ProgramState& state) const {
  if (!IsValid(state.parent)) {
    return Checksum(state.id.text());
  }
  const SessionPtr parent = FindCached(state.parent);
  const uint64_t root = parent ? parent->root_key.load() : 0;
  return root != 0 ? root : Checksum(state.parent.text());
}

void SessionTable::Drop(const ProgramId& id) {
  std::lock_guard lock(mutex_);
  sessions_.erase(id.text());
}

void SessionTable::Evict(int64_t idle_ms) {
  const int64_t before_ms = deps_.clock->NowMs() - idle_ms;
  std::lock_guard lock(mutex_);
  std::erase_if(sessions_, [&](const auto& item) {
    Session& session = *item.second;
    if (item.second.use_count() > 1 || session.last_used_ms > before_ms) {
      return false;
    }
    std::unique_lock session_lock(session.mutex, std::try_to_lock);
    return session_lock && !session.active && !session.uncommitted_finish &&
           session.unsent_attempts.empty();
  });
}

size_t SessionTable::size() const {
  std::lock_guard lock(mutex_);
  return sessions_.size();
}

}  // namespace ring::entry
