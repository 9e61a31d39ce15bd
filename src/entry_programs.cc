// Opening, reading and ending programs.

#include "entry_calls_p.h"

namespace ring::entry {

Outcome<ProgramState> CallService::Open(const OpenRequest& request) {
  if (refuse_programs_.load()) {
    return Refuse(Reason::kDraining, "this entry is draining",
                  JitteredMs(init_.drain_notice_ms));
  }
  if (!config_.Allows("team", request.team)) {
    return Refuse(Reason::kNotAllowed, "unknown team");
  }
  const int64_t max_budget_tokens =
      config_.Number("team", request.team, "max_budget_tokens", INT64_MAX);
  if (request.budget_tokens > max_budget_tokens) {
    return Refuse(Reason::kBudgetExceeded,
                  "the budget of this team's programs is limited to " +
                      std::to_string(max_budget_tokens) + " tokens");
  }
  const bool sub_agent = IsValid(request.parent);
  const auto limit = static_cast<size_t>(config_.Number(
      "limit", "max_first_queue", "value", init_.call_limits.max_first_queue));
  if (!sub_agent && scheduler_.waiting() >= limit) {
    return Refuse(Reason::kOverload,
                  "the ring is overloaded and accepts no new programs",
                  JitteredMs(scheduler_.ExpectedWaitMs()));
  }
  // A child has its parent's home domain, because one log entry changes both.
  const std::string domain(sub_agent ? request.parent.home_domain()
                                     : std::string_view(init_.domain));
  const auto available = sessions_.breaker().Check(domain);
  if (!available) {
    return available.refusal();
  }
  OpenProgram command;
  command.id = ProgramId::Generate(domain);
  command.team = request.team;
  command.budget_tokens = request.budget_tokens;
  command.deadline_wall_ms = deps_.clock->WallMs() + request.deadline_ms;
  command.idle_limit_ms = request.idle_ms;
  command.parent = request.parent;
  command.owner = init_.node;
  auto state = deps_.programs->Open(command);
  sessions_.breaker().Report(domain, state.refusal().reason);
  if (!state) {
    Refusal refusal = state.refusal();
    if (refusal.reason == Reason::kNoQuorum) {
      // The open may still commit. No caller ever learns that id, so the
      // program runs nothing and expires.
      refusal.run_state = RunState::kNotRun;
      refusal.retry_after_ms = JitteredMs(init_.call_limits.quorum_retry_ms);
    }
    return refusal;
  }
  sessions_.Add(*state);
  metrics::Count("ring_programs_opened_total");
  Event(LogLevel::kInfo, "program_opened")
      .Add("program", state->id.log_prefix())
      .Add("team", state->team)
      .Add("child", sub_agent);
  return state;
}

Status CallService::End(const ProgramId& id) {
  const SessionPtr session = sessions_.FindCached(id);
  const std::string domain(id.home_domain());
  auto available = sessions_.breaker().Check(domain);
  if (!available) {
    return available;
  }
  auto status = deps_.programs->End(id, Reason::kNone);
  sessions_.breaker().Report(domain, status.refusal().reason);
  if (!status) {
    return status;
  }
  if (session) {
    std::lock_guard lock(session->mutex);
    if (session->owned) {
      statistics_.OnProgramEnd(session->state.turns);
      metrics::ObserveMs(
          "ring_program_ms", {},
          static_cast<double>(deps_.clock->NowMs() - session->start_ms));
    }
    session->owned = false;
    if (session->active) {
      session->active->cancel.Cancel();
    }
  }
  sessions_.Drop(id);
  Event(LogLevel::kInfo, "program_ended").Add("program", id.log_prefix());
  return Done{};
}

Outcome<ProgramState> CallService::Read(const ProgramId& id) {
  const std::string domain(id.home_domain());
  const auto available = sessions_.breaker().Check(domain);
  if (!available) {
    return available.refusal();
  }
  auto state = deps_.programs->Read(id);
  sessions_.breaker().Report(domain, state.refusal().reason);
  return state;
}

}  // namespace ring::entry
