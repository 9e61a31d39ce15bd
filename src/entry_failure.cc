// Handling of failed attempts: retries, crash suspects, final refusals.

#include <algorithm>

#include "entry_attempts_p.h"

namespace ring::entry {

void AttemptRunner::RecordCrash(const AttemptTask& task,
                                const Refusal& failure) {
  const bool crash = failure.reason == Reason::kUpstreamReset ||
                     failure.reason == Reason::kUpstreamRefused;
  if (!crash) {
    return;
  }
  // A refused connection does not make this call a suspect, because the
  // upstream never received it. The other calls in flight there may have
  // crashed it.
  const bool was_suspect = task.call->suspect.load();
  const int newly_marked = upstreams_.MarkSuspects(task.upstream.id);
  if (failure.run_state == RunState::kNotRun && !was_suspect) {
    task.call->suspect.store(false);
  }
  Event(LogLevel::kWarn, "upstream_crash")
      .Add("upstream", task.upstream.id.name)
      .Add("incarnation", task.upstream.id.incarnation)
      .Add("reason", failure.reason)
      .Add("suspects", newly_marked);
}

void AttemptRunner::OnFailure(const AttemptTask& task,
                              Refusal failure,
                              bool may_retry) {
  const CallPtr& call = task.call;
  const bool not_run = failure.run_state == RunState::kNotRun;
  call->previous_not_run = not_run;
  call->may_have_run = call->may_have_run || !not_run;
  call->failed.push_back(task.upstream.id);
  const bool crashed_alone =
      task.alone && failure.reason == Reason::kUpstreamReset;
  RecordCrash(task, failure);
  upstreams_.End(task.upstream.id, call->ticket);
  deps_.directory->ReportFailure(task.upstream.id, failure.reason);
  metrics::Count("ring_attempt_failures_total",
                 {{"reason", ToString(failure.reason)}});
  if (crashed_alone) {
    QuarantineCall(call);
    return;
  }
  if (failure.reason == Reason::kCallerGone ||
      failure.reason == Reason::kDeadlinePassed) {
    may_retry = false;
  }
  if (!call->idempotent && call->may_have_run) {
    GiveUp(call, Refuse(Reason::kOutcomeUnknown,
                        "the upstream failed after the request was sent (" +
                            std::string(ToString(failure.reason)) + ")",
                        0, RunState::kUnknown));
    return;
  }
  AttemptFailure input;
  input.reason = failure.reason;
  input.run_state = failure.run_state;
  input.idempotent = call->idempotent;
  input.attempts = call->attempts;
  input.now_ms = deps_.clock->NowMs();
  input.deadline_ms = std::min(call->deadline_ms, call->call_deadline_ms);
  const RetryAction verdict =
      may_retry ? deps_.retries->OnFailure(input) : RetryAction::kGiveUp;
  if (verdict == RetryAction::kGiveUp) {
    GiveUp(call, std::move(failure));
    return;
  }
  if (verdict == RetryAction::kRetryAlone) {
    call->suspect.store(true);
  }
  metrics::CountRetry(failure.reason);
  Event(LogLevel::kInfo, "call_retried")
      .Add("program", call->request.program.log_prefix())
      .Add("sequence", call->sequence)
      .Add("reason", failure.reason)
      .Add("suspect", call->suspect.load());
  scheduler_.Resubmit(call);
}

void AttemptRunner::QuarantineCall(const CallPtr& call) {
  config_.AddQuarantined(call->content_digest);
  const auto status = deps_.control->Quarantine(
      call->content_digest, "crashed an upstream on which it ran alone");
  metrics::Count("ring_quarantined_total");
  Event(LogLevel::kError, "request_quarantined")
      .Add("digest", call->content_digest)
      .Add("committed", status.ok());
  GiveUp(call, Refuse(Reason::kQuarantined,
                      "this request crashed every upstream that ran it", 0,
                      RunState::kUnknown));
}

void AttemptRunner::GiveUp(const CallPtr& call, Refusal refusal) {
  if (!call->may_have_run) {
    refusal.run_state = RunState::kNotRun;
  } else if (refusal.run_state == RunState::kNotRun) {
    refusal.run_state = RunState::kUnknown;
  }
  if (refusal.run_state == RunState::kNotRun && refusal.retry_after_ms == 0) {
    refusal.retry_after_ms = scheduler_.ExpectedWaitMs();
  }
  if (refusal.run_state != RunState::kNotRun) {
    FinishCall finish;
    finish.used_tokens = call->delta_tokens;
    finish.run_state = refusal.run_state;
    finish.reason = refusal.reason;
    finish.http_status = HttpStatusFor(refusal.reason);
    finish.content_type = "application/json";
    finish.answer = ErrorBody(refusal);
    if (Commit(call, std::move(finish))) {
      metrics::CountRefusal(refusal.reason);
      Complete(call, AnswerFromRefusal(refusal));
    }
    return;
  }
  if (call->session) {
    uint64_t epoch = 0;
    {
      std::lock_guard lock(call->session->mutex);
      epoch = call->session->state.epoch;
    }
    const AbortCall abort{call->request.program, epoch, call->sequence,
                          call->attempt};
    const auto aborted = deps_.programs->Abort(abort);
    std::lock_guard lock(call->session->mutex);
    if (aborted.refusal().reason == Reason::kNoQuorum) {
      call->session->unsent_attempts.push_back(abort);
    } else if (!aborted) {
      call->session->owned = false;
      sessions_.Drop(call->request.program);
    }
  }
  RefuseBeforeBegin(call, refusal);
}

}  // namespace ring::entry
