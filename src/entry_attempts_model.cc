// Attempts of model calls: streaming, truncation at max_tokens, resumption.

#include <algorithm>

#include <nlohmann/json.hpp>

#include "entry_attempts_p.h"

namespace ring::entry {

using nlohmann::json;

namespace {

std::string AssistantMessage(const EngineResult& result) {
  json message = {{"role", "assistant"}, {"content", result.text}};
  if (!result.tool_calls.empty()) {
    json calls = json::parse(result.tool_calls, nullptr, false);
    if (!calls.is_discarded()) {
      message["tool_calls"] = std::move(calls);
    }
  }
  return CanonicalMessage(message);
}

Refusal TextMismatch() {
  // Not retried: a new attempt would differ from the streamed text as well.
  return Refuse(Reason::kUpstreamError,
                "the upstream sent text that differs from the text streamed so "
                "far; the answer cannot be continued",
                0, RunState::kUnknown);
}

// If a process has read all its input, the kernel closes its connections with
// FIN and not RST when it dies, so a crash can look like a truncated stream.
Refusal EngineUnreachable() {
  return Refuse(Reason::kUpstreamReset,
                "the engine closed the stream and is unreachable", 0,
                RunState::kUnknown);
}

}  // namespace

Outcome<EngineResult> AttemptRunner::SendModel(const AttemptTask& task,
                                               TextAssembler& text,
                                               int64_t resume_from) {
  Call& call = *task.call;
  EngineRequest request;
  request.cache_key = call.request.program.text();
  request.attempt = call.attempt;
  request.model = call.request.model;
  request.messages = call.prompt;
  request.max_tokens = call.request.max_tokens;
  request.resume_from = resume_from;
  request.first_token_timeout_ms =
      std::min(RemainingMs(call), init_.call_limits.first_token_timeout_ms);
  request.token_gap_timeout_ms =
      std::min(RemainingMs(call), init_.call_limits.token_gap_timeout_ms);
  request.extra = call.request.extra;

  const CancelToken cancel = call.cancel;
  const CancelToken stop_reading;
  bool truncated = false;
  bool mismatch = false;
  const auto sink = [&](int64_t offset, const std::string& piece) {
    upstreams_.OnFirstToken(task.upstream.id, call.ticket);
    if (truncated || mismatch) {
      return;
    }
    const bool caller_gone = cancel.cancelled();
    const bool deadline_passed =
        deps_.clock->NowMs() >=
        std::min(call.deadline_ms, call.call_deadline_ms);
    truncated = offset >= call.request.max_tokens;
    mismatch = !truncated && !text.Add(offset, piece);
    if (truncated || mismatch || caller_gone || deadline_passed) {
      stop_reading.Cancel();
    }
  };
  auto result =
      deps_.engine->Complete(task.upstream, request, sink, stop_reading);
  if (truncated || mismatch || stop_reading.cancelled()) {
    deps_.engine->Cancel(task.upstream, call.attempt);
  }
  if (mismatch) {
    return TextMismatch();
  }
  if (truncated) {
    EngineResult partial = result ? *result : EngineResult{};
    partial.text = text.text();
    partial.finish_reason = "length";
    partial.output_tokens = call.request.max_tokens;
    partial.tool_calls.clear();
    return partial;
  }
  if (result) {
    // The engine counts only the tokens after the resume offset.
    result->output_tokens += resume_from;
  }
  if (!result && stop_reading.cancelled()) {
    return cancel.cancelled()
               ? Refuse(Reason::kCallerGone,
                        "the caller closed its connection or ended the program",
                        0, RunState::kUnknown)
               : Refuse(Reason::kDeadlinePassed,
                        "the deadline passed while the answer was generated", 0,
                        RunState::kUnknown);
  }
  return result;
}

bool AttemptRunner::CanResume(const UpstreamRecord& upstream) const {
  for (const UpstreamRecord& record : deps_.directory->View()->upstreams) {
    if (record.id.name == upstream.id.name) {
      return record.id == upstream.id && record.state != MemberState::kDown;
    }
  }
  return false;
}

Outcome<EngineResult> AttemptRunner::RunModel(const AttemptTask& task,
                                              TextAssembler& text) {
  auto result = SendModel(task, text, 0);
  for (int64_t resumes = 0; resumes < init_.call_limits.resume_attempts;
       ++resumes) {
    const Reason reason = result.refusal().reason;
    const bool truncated = reason == Reason::kUpstreamTruncated ||
                           reason == Reason::kUpstreamReset;
    if (!truncated || text.empty() || !CanResume(task.upstream)) {
      break;
    }
    metrics::Count("ring_resumes_total");
    result = SendModel(task, text, text.PrepareResume());
    if (result.refusal().reason == Reason::kUpstreamRefused) {
      return EngineUnreachable();
    }
  }
  if (result.refusal().reason == Reason::kUpstreamTruncated && text.empty()) {
    return EngineUnreachable();
  }
  if (!result) {
    return result;
  }
  result->text = text.text();
  if (!text.covers_released()) {
    return TextMismatch();
  }
  return result;
}

void AttemptRunner::FinishModel(const AttemptTask& task,
                                const EngineResult& result,
                                TextAssembler& text) {
  const CallPtr& call = task.call;
  upstreams_.OnResult(task.upstream.id, result);
  statistics_.OnOutput(result.output_tokens);
  metrics::Count("ring_prompt_tokens_total", {{"source", "cache"}},
                 static_cast<double>(result.cached_tokens));
  metrics::Count("ring_prompt_tokens_total", {{"source", "computed"}},
                 static_cast<double>(std::max<int64_t>(
                     0, result.prompt_tokens - result.cached_tokens)));
  FinalAnswer final =
      AnswerFromCompletion(call->request.model, call->attempt, result);
  FinishCall finish;
  finish.used_tokens = call->delta_tokens + result.output_tokens;
  finish.history_delta = call->new_messages;
  finish.history_delta.push_back(AssistantMessage(result));
  finish.http_status = final.http_status;
  finish.content_type = final.content_type;
  finish.answer = final.body;
  if (!Commit(call, std::move(finish))) {
    return;
  }
  if (call->session) {
    std::lock_guard lock(call->session->mutex);
    call->session->cached[task.upstream.id] =
        call->prompt_tokens + result.output_tokens;
  }
  text.ReleaseAll();
  Complete(call, std::move(final));
}

}  // namespace ring::entry
