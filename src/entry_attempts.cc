#include "entry_attempts_p.h"

#include <algorithm>

namespace ring::entry {

AttemptRunner::AttemptRunner(const EntryInit& init,
                             const EntryDependencies& deps,
                             SessionTable& sessions,
                             UpstreamTable& upstreams,
                             CallStatistics& statistics,
                             RingConfig& config,
                             Scheduler& scheduler,
                             BoundedQueue<AttemptTask>& tasks)
    : init_(init),
      deps_(deps),
      sessions_(sessions),
      upstreams_(upstreams),
      statistics_(statistics),
      config_(config),
      scheduler_(scheduler),
      tasks_(tasks) {}

Status AttemptRunner::Run(const StopToken& stop) {
  while (!stop.stopped()) {
    const auto task = tasks_.Pop(100);
    if (task) {
      busy_.fetch_add(1);
      RunTask(*task);
      busy_.fetch_sub(1);
    }
  }
  return Done{};
}

void AttemptRunner::RunTask(const AttemptTask& task) {
  if (task.give_up) {
    GiveUp(task.call, *task.give_up);
    return;
  }
  const auto begun = Begin(task);
  if (!begun) {
    upstreams_.End(task.upstream.id, task.call->ticket);
    OnBeginRefused(task, begun.refusal());
  } else {
    Attempt(task);
  }
  scheduler_.Wake();
}

Status AttemptRunner::Begin(const AttemptTask& task) {
  Call& call = *task.call;
  call.previous_attempt = call.attempt;
  call.attempt = RandomHex(8);
  call.attempts += 1;
  if (call.attempts == 1) {
    deps_.retries->OnCall(deps_.clock->NowMs());
  }
  if (!call.session) {
    call.begun = true;
    return Done{};
  }
  const bool engine = call.request.kind == CallKind::kModel;
  const ProgramId id = call.request.program;
  uint64_t epoch = 0;
  {
    std::lock_guard lock(call.session->mutex);
    epoch = call.session->state.epoch;
  }
  if (call.begun) {
    RetryCall retry;
    retry.id = id;
    retry.epoch = epoch;
    retry.sequence = call.sequence;
    retry.attempt = call.attempt;
    retry.previous_attempt = call.previous_attempt;
    retry.previous_not_run = call.previous_not_run;
    retry.upstream = task.upstream.id;
    retry.holds_cache = engine;
    return deps_.programs->Retry(retry);
  }
  BeginCall begin;
  begin.id = id;
  begin.epoch = epoch;
  begin.sequence = call.sequence;
  begin.digest = call.request.digest;
  begin.idempotency_key = call.request.idempotency_key;
  begin.attempt = call.attempt;
  begin.idempotent = call.idempotent;
  begin.reserve_tokens = call.reserve_tokens;
  begin.upstream = task.upstream.id;
  begin.holds_cache = engine;
  auto status = deps_.programs->Begin(begin);
  call.begun = status.ok();
  return status;
}

void AttemptRunner::OnBeginRefused(const AttemptTask& task, Refusal refusal) {
  const CallPtr& call = task.call;
  const std::string domain(call->request.program.home_domain());
  sessions_.breaker().Report(domain, refusal.reason);
  const bool begin_uncertain = refusal.run_state == RunState::kUnknown;
  const bool ownership_lost = refusal.reason == Reason::kStaleEpoch;
  if (ownership_lost) {
    refusal.reason = Reason::kLostOwnership;
    refusal.message = "another entry owns the program";
  }
  // This attempt has sent nothing, so only an earlier attempt can have run.
  refusal.run_state =
      call->may_have_run ? RunState::kUnknown : RunState::kNotRun;
  if (refusal.reason == Reason::kNoQuorum && refusal.retry_after_ms == 0) {
    refusal.retry_after_ms = 2 * init_.call_limits.quorum_retry_ms;
  }
  ResetSessionAfterRefusal(*call, ownership_lost, begin_uncertain);
  RefuseBeforeBegin(call, refusal);
}

// Prepares the session for its next call after the program store refused to
// begin or to retry this one.
void AttemptRunner::ResetSessionAfterRefusal(const Call& call,
                                             bool ownership_lost,
                                             bool begin_uncertain) {
  Session& session = *call.session;
  std::lock_guard lock(session.mutex);
  if (ownership_lost || (call.begun && call.may_have_run)) {
    // The store knows the outcome; it is read when the program is acquired
    // again under a new epoch.
    session.owned = false;
    sessions_.Drop(call.request.program);
    return;
  }
  if (call.begun || begin_uncertain) {
    for (const std::string& attempt : {call.previous_attempt, call.attempt}) {
      if (!attempt.empty()) {
        session.unsent_attempts.push_back({call.request.program,
                                           session.state.epoch, call.sequence,
                                           attempt});
      }
    }
  }
}

void AttemptRunner::RefuseBeforeBegin(const CallPtr& call,
                                      const Refusal& refusal) {
  metrics::CountRefusal(refusal.reason);
  Complete(call, AnswerFromRefusal(refusal));
}

void AttemptRunner::Complete(const CallPtr& call, FinalAnswer final) {
  if (call->session) {
    std::lock_guard lock(call->session->mutex);
    if (call->session->active == call) {
      call->session->active = nullptr;
    }
    call->session->changed.notify_all();
  }
  const int64_t total_ms = deps_.clock->NowMs() - call->arrival_ms;
  const char* kind =
      call->request.kind == CallKind::kModel ? "model" : "service";
  metrics::ObserveMs("ring_call_ms", {{"kind", kind}},
                     static_cast<double>(total_ms));
  Event(LogLevel::kInfo, "call_finished")
      .Add("program", call->request.program.log_prefix())
      .Add("sequence", call->sequence)
      .Add("kind", kind)
      .Add("reason", final.refusal.reason)
      .Add("attempts", call->attempts)
      .Add("total_ms", total_ms);
  call->answer.Finish(std::move(final));
}

void AttemptRunner::Attempt(const AttemptTask& task) {
  const CallPtr& call = task.call;
  const int64_t start_ms = deps_.clock->NowMs();
  TextAssembler text(call->answer, call->prefix + call->answer.text());
  Refusal failure;
  bool may_retry = true;
  std::optional<EngineResult> model;
  std::optional<ServiceResult> service;
  if (call->request.kind == CallKind::kModel) {
    const auto result = RunModel(task, text);
    model = result.value();
    failure = result.refusal();
    may_retry = !text.mismatch();
  } else {
    const auto result = RunService(task);
    service = result.value();
    failure = result.refusal();
  }
  const int64_t spent_ms = deps_.clock->NowMs() - start_ms;
  if (call->session) {
    std::lock_guard lock(call->session->mutex);
    call->session->used_upstream_ms += spent_ms;
  }
  if (failure.reason != Reason::kNone) {
    OnFailure(task, failure, may_retry);
    return;
  }
  upstreams_.End(task.upstream.id, call->ticket);
  deps_.directory->ReportSuccess(task.upstream.id);
  call->suspect.store(false);
  if (model) {
    scheduler_.OnCallDuration(spent_ms);
    FinishModel(task, *model, text);
  } else {
    FinishService(task, *service);
  }
}

int64_t AttemptRunner::RemainingMs(const Call& call) const {
  return std::max<int64_t>(
      1,
      std::min(call.deadline_ms, call.call_deadline_ms) - deps_.clock->NowMs());
}

Outcome<ServiceResult> AttemptRunner::RunService(const AttemptTask& task) {
  const Call& call = *task.call;
  ServiceRequest request;
  request.service = call.request.service;
  request.path = call.request.path;
  request.body = call.request.body;
  request.content_type = call.request.content_type;
  request.idempotency_key = call.request.idempotency_key;
  request.attempt = call.attempt;
  request.timeout_ms =
      std::min(RemainingMs(call),
               config_.Number("service", call.request.service, "timeout_ms",
                              init_.call_limits.service_timeout_ms));
  return deps_.service->Call(task.upstream, request);
}

bool AttemptRunner::Commit(const CallPtr& call, FinishCall finish) {
  if (!call->session) {
    return true;
  }
  Session& session = *call->session;
  finish.id = call->request.program;
  finish.sequence = call->sequence;
  finish.attempt = call->attempt;
  {
    std::lock_guard lock(session.mutex);
    finish.epoch = session.state.epoch;
  }
  const auto status = deps_.programs->Finish(finish);
  Refusal refusal = status.refusal();
  const std::string domain(call->request.program.home_domain());
  sessions_.breaker().Report(domain, refusal.reason);
  if (status) {
    std::lock_guard lock(session.mutex);
    session.ApplyFinish(finish, *call);
    return true;
  }
  refusal.run_state = finish.run_state;
  {
    std::lock_guard lock(session.mutex);
    if (refusal.reason == Reason::kNoQuorum) {
      session.uncommitted_finish = finish;
      session.uncommitted_call = call;
      refusal.retry_after_ms = 2 * init_.call_limits.quorum_retry_ms;
      refusal.message =
          "the outcome could not be committed yet; send the same call again to "
          "get it";
    } else {
      session.owned = false;
      sessions_.Drop(call->request.program);
    }
  }
  if (refusal.reason == Reason::kStaleEpoch) {
    refusal.reason = Reason::kLostOwnership;
    refusal.message = "another entry took over the program during the call";
  }
  metrics::CountRefusal(refusal.reason);
  Complete(call, AnswerFromRefusal(refusal));
  return false;
}

Status AttemptRunner::CommitPendingOutcome(Session& session) {
  while (!session.unsent_attempts.empty()) {
    const auto aborted = deps_.programs->Abort(session.unsent_attempts.back());
    if (aborted.refusal().reason == Reason::kNoQuorum) {
      return Refuse(Reason::kNoQuorum,
                    "the home domain of the program has no quorum",
                    2 * init_.call_limits.quorum_retry_ms);
    }
    // Any other refusal means that the store has no such open attempt.
    session.unsent_attempts.pop_back();
  }
  if (!session.uncommitted_finish) {
    return Done{};
  }
  const auto status = deps_.programs->Finish(*session.uncommitted_finish);
  const std::string domain(session.state.id.home_domain());
  sessions_.breaker().Report(domain, status.refusal().reason);
  if (status) {
    session.ApplyFinish(*session.uncommitted_finish, *session.uncommitted_call);
  } else if (status.refusal().reason == Reason::kNoQuorum) {
    return Refuse(Reason::kNoQuorum,
                  "the outcome of the previous call is not committed yet",
                  2 * init_.call_limits.quorum_retry_ms);
  } else {
    session.owned = false;
    sessions_.Drop(session.state.id);
  }
  session.uncommitted_finish.reset();
  session.uncommitted_call = nullptr;
  return Done{};
}

void AttemptRunner::FinishService(const AttemptTask& task,
                                  const ServiceResult& result) {
  const CallPtr& call = task.call;
  FinalAnswer final;
  final.http_status = result.http_status;
  final.content_type = result.content_type;
  final.body = result.body;
  FinishCall finish;
  finish.used_tokens = call->delta_tokens;
  finish.http_status = result.http_status;
  finish.content_type = result.content_type;
  finish.answer = result.body;
  if (Commit(call, std::move(finish))) {
    Complete(call, std::move(final));
  }
}

}  // namespace ring::entry
