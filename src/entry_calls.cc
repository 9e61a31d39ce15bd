#include "entry_calls_p.h"

#include <algorithm>

namespace ring::entry {

CallService::CallService(const EntryInit& init,
                         const EntryDependencies& deps,
                         SessionTable& sessions,
                         RingConfig& config,
                         CallStatistics& statistics,
                         Scheduler& scheduler,
                         AttemptRunner& attempts)
    : init_(init),
      deps_(deps),
      sessions_(sessions),
      config_(config),
      statistics_(statistics),
      scheduler_(scheduler),
      attempts_(attempts),
      rng_(init.seed != 0 ? init.seed + 1 : std::random_device{}()) {}

int64_t CallService::JitteredMs(int64_t base_ms) {
  std::lock_guard lock(rng_mutex_);
  return UniformInt(rng_, base_ms, 2 * base_ms);
}

Outcome<Submitted> CallService::Submit(const CallRequest& request,
                                       const SubmitOptions& options) {
  if (refuse_calls_.load()) {
    return Refuse(Reason::kDraining, "this entry is draining",
                  JitteredMs(init_.drain_notice_ms));
  }
  const auto served = CheckUpstreamKnown(request);
  if (!served) {
    return served.refusal();
  }
  if (!IsValid(request.program)) {
    return SubmitWithoutProgram(request);
  }
  const auto found = sessions_.Find(request.program, options.take_over);
  if (!found) {
    return found.refusal();
  }
  if (const auto* remote = std::get_if<RemoteOwner>(&*found)) {
    return Submitted{nullptr, *remote};
  }
  const auto call = SubmitOwned(request, options, std::get<SessionPtr>(*found));
  if (!call) {
    return call.refusal();
  }
  return Submitted{*call, std::nullopt};
}

Status CallService::CheckUpstreamKnown(const CallRequest& request) {
  const bool model = request.kind == CallKind::kModel;
  const std::string& name = model ? request.model : request.service;
  const auto directory = deps_.directory->View();
  const bool known = std::any_of(
      directory->upstreams.begin(), directory->upstreams.end(),
      [&](const UpstreamRecord& record) { return Serves(record, request); });
  if (known) {
    return Done{};
  }
  if (config_.HasItem(model ? "model" : "service", name)) {
    constexpr int64_t kAnnouncePeriodMs = 1'000;
    return Refuse(Reason::kNoUpstream, "no upstream serves this call now",
                  JitteredMs(kAnnouncePeriodMs));
  }
  return Refuse(model ? Reason::kUnknownModel : Reason::kUnknownService,
                model ? "unknown model" : "unknown service");
}

CallPtr CallService::NewCall(const CallRequest& request) {
  auto call = std::make_shared<Call>();
  call->ticket = next_ticket_.fetch_add(1);
  call->request = request;
  call->idempotent =
      request.kind == CallKind::kModel ||
      config_.Flag("service", request.service, "idempotent", false);
  call->arrival_ms = deps_.clock->NowMs();
  call->call_deadline_ms = call->arrival_ms + request.deadline_ms;
  call->deadline_ms = call->call_deadline_ms;
  call->program_start_ms = call->arrival_ms;
  return call;
}

Outcome<Submitted> CallService::SubmitWithoutProgram(
    const CallRequest& request) {
  const CallPtr call = NewCall(request);
  if (!call->idempotent) {
    return Refuse(
        Reason::kNotAllowed,
        "a non-idempotent call requires a program, because its outcome must be "
        "recorded");
  }
  call->first_call = true;
  call->new_messages = request.messages;
  FillPromptAndTokens(*call);
  const auto queued = Enqueue(call);
  if (!queued) {
    return queued.refusal();
  }
  return Submitted{call, std::nullopt};
}

Outcome<CallPtr> CallService::SubmitOwned(const CallRequest& request,
                                          const SubmitOptions& options,
                                          const SessionPtr& session) {
  const int64_t wait_until_ms =
      deps_.clock->NowMs() + init_.call_limits.sequence_wait_ms;
  std::unique_lock lock(session->mutex);
  while (true) {
    if (!session->owned) {
      return Refuse(Reason::kLostOwnership, "another entry owns the program",
                    1);
    }
    const auto position = LocateInSequence(request, *session);
    if (!position) {
      return position.refusal();
    }
    if (position->action == SequenceAction::kDone) {
      return position->call;
    }
    if (position->action == SequenceAction::kRun) {
      const auto available =
          sessions_.breaker().Check(std::string(request.program.home_domain()));
      if (!available) {
        return available.refusal();
      }
      if (session->uncommitted_finish || !session->unsent_attempts.empty()) {
        const auto committed = attempts_.CommitPendingOutcome(*session);
        if (!committed) {
          return committed.refusal();
        }
        continue;  // The committed outcome may already answer this request.
      }
      return Start(request, options, session, position->sequence);
    }
    const int64_t left_ms = wait_until_ms - deps_.clock->NowMs();
    if (left_ms <= 0) {
      return Refuse(Reason::kSequenceGap,
                    "an earlier call of the program is missing or in progress",
                    JitteredMs(init_.call_limits.sequence_wait_ms));
    }
    session->changed.wait_for(lock, std::chrono::milliseconds(left_ms));
  }
}

Outcome<CallService::SequencePosition> CallService::LocateInSequence(
    const CallRequest& request,
    Session& session) {
  const CallPtr& active = session.active;
  const uint64_t sequence = request.sequence;
  const std::string& key = request.idempotency_key;
  if (active) {
    const bool same_key =
        !key.empty() && active->request.idempotency_key == key;
    const bool same_digest = active->request.digest == request.digest;
    if (sequence == active->sequence || (sequence == 0 && same_key)) {
      if (!same_digest) {
        return Refuse(Reason::kSequenceReuse,
                      "the sequence number belongs to another request");
      }
      return SequencePosition{SequenceAction::kDone, active, active->sequence};
    }
  }
  const CallRecord* record =
      sequence != 0 ? session.FindRecord(sequence) : session.FindKey(key);
  if (record == nullptr && !active && !session.state.calls.empty() &&
      session.state.calls.back().state == CallState::kBegun) {
    // The previous owner began this idempotent call and was lost.
    const CallRecord orphan = session.state.calls.back();
    if (sequence == 0 && orphan.digest != request.digest) {
      const auto closed = FinishOrphanedCall(session, orphan);
      if (!closed) {
        return closed.refusal();
      }
    } else if (sequence == 0) {
      record = &session.state.calls.back();
    } else {
      return SequencePosition{SequenceAction::kWait, nullptr, sequence};
    }
  }
  if (record != nullptr) {
    return PositionOfRecord(request, *record);
  }
  const uint64_t next = session.state.next_sequence;
  if (sequence != 0 && sequence < next) {
    return Refuse(Reason::kAnswerExpired, "the answer is no longer stored");
  }
  if (active || sequence > next) {
    return SequencePosition{SequenceAction::kWait, nullptr, sequence};
  }
  return SequencePosition{SequenceAction::kRun, nullptr, next};
}

Outcome<CallService::SequencePosition> CallService::PositionOfRecord(
    const CallRequest& request,
    const CallRecord& record) {
  if (record.digest != request.digest) {
    return Refuse(Reason::kSequenceReuse,
                  "the sequence number or key belongs to another request");
  }
  if (record.state == CallState::kBegun) {
    return SequencePosition{SequenceAction::kRun, nullptr, record.sequence};
  }
  const CallPtr call = NewCall(request);
  call->sequence = record.sequence;
  call->answer.Append(TextFromRecord(record));
  call->answer.Finish(AnswerFromRecord(record));
  metrics::Count("ring_repeated_answers_total");
  return SequencePosition{SequenceAction::kDone, call, record.sequence};
}

// Finishes a call of a lost owner as unknown. It is not run again, because the
// caller has moved on to another request.
Status CallService::FinishOrphanedCall(Session& session,
                                       const CallRecord& record) {
  RetryCall retry;
  retry.id = session.state.id;
  retry.epoch = session.state.epoch;
  retry.sequence = record.sequence;
  retry.attempt = RandomHex(8);
  retry.previous_attempt = record.attempt;
  FinishCall finish;
  finish.id = session.state.id;
  finish.epoch = session.state.epoch;
  finish.sequence = record.sequence;
  finish.attempt = retry.attempt;
  finish.used_tokens = record.reserved_tokens;
  finish.run_state = RunState::kUnknown;
  finish.reason = Reason::kOutcomeUnknown;
  finish.http_status = HttpStatusFor(finish.reason);
  // The retry moves the attempt to the current epoch, which Finish requires.
  auto status = deps_.programs->Retry(retry);
  if (status) {
    status = deps_.programs->Finish(finish);
  }
  if (!status) {
    return status;
  }
  const auto fresh = deps_.programs->Read(session.state.id);
  if (!fresh) {
    return fresh.refusal();
  }
  session.state = *fresh;
  return Done{};
}

Status CallService::CheckHistory(const CallRequest& request,
                                 const Session& session,
                                 Call& call) const {
  const auto& history = session.state.history;
  if (request.kind != CallKind::kModel) {
    return Done{};
  }
  if (request.delta) {
    call.new_messages = request.messages;
    return Done{};
  }
  const bool continues =
      request.messages.size() > history.size() &&
      std::equal(history.begin(), history.end(), request.messages.begin());
  if (!continues) {
    return Refuse(Reason::kHistoryMismatch,
                  "messages must start with the " +
                      std::to_string(history.size()) +
                      " messages of the program's history and add new ones");
  }
  call.new_messages.assign(
      request.messages.begin() + static_cast<ptrdiff_t>(history.size()),
      request.messages.end());
  return Done{};
}

Outcome<CallPtr> CallService::Start(const CallRequest& request,
                                    const SubmitOptions& options,
                                    const SessionPtr& session,
                                    uint64_t sequence) {
  const CallPtr call = NewCall(request);
  const ProgramState& state = session->state;
  const auto continues = CheckHistory(request, *session, *call);
  if (!continues) {
    return continues.refusal();
  }
  call->session = session;
  call->sequence = sequence;
  call->prefix = options.prefix;
  call->sub_agent = IsValid(state.parent);
  call->first_call = state.turns == 0 && !call->sub_agent;
  call->program_key = Checksum(state.id.text());
  call->root_key = session->root_key.load();
  call->program_start_ms = session->start_ms;
  call->cached = session->cached;
  call->used_upstream_ms = session->used_upstream_ms;
  call->turns = state.turns;
  call->deadline_ms = session->deadline_ms;
  FillPromptAndTokens(*call);
  if (call->reserve_tokens > state.budget_tokens - state.used_tokens) {
    return Refuse(Reason::kBudgetExceeded,
                  "the call may use " + std::to_string(call->reserve_tokens) +
                      " tokens, but the remaining budget is " +
                      std::to_string(state.budget_tokens - state.used_tokens));
  }
  session->active = call;
  const auto queued = Enqueue(call);
  if (!queued) {
    session->active = nullptr;
    return queued.refusal();
  }
  return call;
}

void CallService::FillPromptAndTokens(Call& call) const {
  const CallRequest& request = call.request;
  if (request.kind == CallKind::kService) {
    call.delta_tokens = CountTokens(request.body.size());
    call.prompt_tokens = call.delta_tokens;
    call.reserve_tokens = call.delta_tokens;
    call.content_digest = request.digest;
    return;
  }
  std::string prompt = "[";
  const auto add = [&](const std::string& message) {
    prompt += (prompt.size() > 1 ? "," : "") + message;
  };
  if (call.session) {
    for (const std::string& message : call.session->state.history) {
      add(message);
    }
  }
  size_t new_bytes = 0;
  for (const std::string& message : call.new_messages) {
    add(message);
    new_bytes += message.size();
  }
  call.prompt = prompt + "]";
  call.delta_tokens = CountTokens(new_bytes);
  call.prompt_tokens = CountTokens(call.prompt.size());
  call.reserve_tokens = call.delta_tokens + request.max_tokens;
  call.content_digest =
      Sha256Hex(request.model + "\n" + std::to_string(request.max_tokens) +
                "\n" + request.extra + "\n" + call.prompt);
}

Status CallService::CheckLimits(const Call& call) const {
  const auto limit = [this](const char* name) {
    return config_.Number("limit", name, "value", INT64_MAX);
  };
  if (call.request.max_tokens > limit("max_tokens")) {
    return Refuse(Reason::kTokenLimit,
                  "max_tokens exceeds the ring's limit of " +
                      std::to_string(limit("max_tokens")));
  }
  if (call.prompt_tokens > limit("max_prompt_tokens")) {
    return Refuse(Reason::kTokenLimit,
                  "the prompt exceeds the ring's limit of " +
                      std::to_string(limit("max_prompt_tokens")) + " tokens");
  }
  return Done{};
}

Status CallService::Enqueue(const CallPtr& call) {
  auto allowed = CheckLimits(*call);
  if (!allowed) {
    return allowed;
  }
  if (config_.IsQuarantined(call->content_digest)) {
    return Refuse(Reason::kQuarantined,
                  "this request has crashed an upstream and is quarantined");
  }
  if (!scheduler_.Submit(call)) {
    return Refuse(Reason::kQueueFull, "the call queue is full",
                  JitteredMs(scheduler_.ExpectedWaitMs()));
  }
  return Done{};
}

}  // namespace ring::entry
