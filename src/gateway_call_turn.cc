#include <algorithm>

#include "gateway_p.h"

namespace ring {
namespace {

// Timeout of the state group for beginning a turn; longer than an election.
constexpr int64_t kBeginTimeoutMs = 1'800;
// Timeout for recording the end of a turn that is not kept; the proposal is
// repeated until then.
constexpr int64_t kFinishTimeoutMs = 20'000;

}  // namespace

// A turn with a budget is recorded even if its text is not kept: the state
// group accounts for the budget of a program across all entries, also when one
// fails.
void GatewayCall::BeginTurn() {
  turn_ = std::make_unique<Turn>();
  const ServiceSpec* service = table_->FindService(service_);
  if (service != nullptr && service->engine) {
    turn_->tokens_per_event = service->engine->tokens_per_event;
  }
  fb::BeginTurnT begin;
  begin.turn = info_.id;
  begin.program = budget_program();
  if (route_->keeps_turns && !info_.previous_turn.empty()) {
    const std::string chain_key = ChainKey(info_.previous_turn);
    turn_->chain = gateway_.chains().Find(chain_key);
    begin.previous = info_.previous_turn;
    begin.known = turn_->chain ? info_.previous_turn : "";
    if (turn_->chain) {
      cached_ = {gateway_.chains().UpstreamOf(chain_key), info_.prompt_tokens};
    }
  }
  begin.budget_tokens = info_.budget_tokens.value_or(-1);
  begin.max_tokens = info_.max_output_tokens;
  begin.wait_ms = static_cast<int32_t>(remaining_ms());
  begin.patience_ms = static_cast<int32_t>(patience_ms());
  begin.priority = static_cast<uint8_t>(priority());
  AddTeam(begin);
  begin.starts_program =
      gateway_.init().mechanisms.admission && starts_program();
  gateway_.Offer(service_, *this, begin);
  turn_->begun = true;
  gateway_.state().Propose(state_codec::EncodeBegin(begin),
                           std::min(kBeginTimeoutMs, remaining_ms()),
                           [this, alive = std::weak_ptr<bool>(alive_),
                            asked_ms = gateway_.loop().now_ms()](
                               const Outcome<fb::StateResultT>& outcome) {
                             if (!alive.expired()) {
                               OnTurnBegun(outcome, asked_ms);
                             }
                           });
}

void GatewayCall::OnTurnBegun(const Outcome<fb::StateResultT>& outcome,
                              int64_t asked_ms) {
  begun_ms_ = gateway_.loop().now_ms() - start_ms_;
  if (!outcome) {
    return Refuse({Reason::kNoQuorum, RunState::kNotRun,
                   outcome.refusal().message, kRetryAfterMs});
  }
  switch (outcome->code) {
    case fb::StateCode::UnknownTurn:
      turn_->begun = false;
      return Refuse({Reason::kUnknownProgram, RunState::kNotRun,
                     "the previous turn does not exist"});
    case fb::StateCode::BudgetSpent:
      turn_->begun = false;
      return Refuse({Reason::kBudgetExceeded, RunState::kNotRun,
                     "the token budget does not cover another turn"});
    case fb::StateCode::Limited:
      turn_->begun = false;
      return RefuseLimited(outcome->placed_wait_ms);
    case fb::StateCode::Overloaded:
      turn_->begun = false;
      return RefuseProgram(*outcome, asked_ms);
    case fb::StateCode::Done:
      break;
    default:
      turn_->begun = false;
      return Refuse({Reason::kBadRequest, RunState::kNotRun,
                     "the state group did not begin the turn"});
  }
  if (!outcome->last_upstream.empty()) {
    cached_ = {outcome->last_upstream, info_.prompt_tokens};
  }
  if (!route_->keeps_turns) {
    return OnPlaced(*outcome, asked_ms);
  }
  if (!turn_->chain && !info_.previous_turn.empty()) {
    auto chain = std::make_shared<std::string>();
    for (const auto& part : outcome->chain) {
      const auto text = DecompressText(part->text);
      if (!text) {
        return Refuse({Reason::kCorruptData, RunState::kNotRun,
                       "a turn of the chain cannot be decompressed"});
      }
      chain->append(*text);
    }
    gateway_.chains().Put(ChainKey(info_.previous_turn), chain,
                          cached_.instance);
    turn_->chain = std::move(chain);
  }
  if (turn_->chain) {
    turn_->body = *turn_->chain;
  }
  turn_->body.append(request_.body);
  OnPlaced(*outcome, asked_ms);
}

// The leader has spread the times after which refused callers come back.
void GatewayCall::RefuseProgram(const fb::StateResultT& result,
                                int64_t asked_ms) {
  const fb::StartRefusal inputs =
      result.refusal ? *result.refusal : fb::StartRefusal();
  const bool limited = inputs.limit_wait_ms() > 0;
  metrics::Count("ring_programs_refused_total",
                 {{"cause", limited ? "limits" : "slots"}});
  Event(LogLevel::kInfo, "program_refused")
      .Add("request", info_.id)
      .Add("program", info_.program)
      .Add("priority", route_->priority)
      .Add("program_wait_ms", info_.program_wait_ms.value_or(0))
      .Add("expected_wait_ms", inputs.wait_ms())
      .Add("limit_wait_ms", inputs.limit_wait_ms())
      .Add("open_turns", inputs.open_turns())
      .Add("slots", inputs.slots())
      .Add("turn_us", inputs.turn_us())
      .Add("turns_per_program", inputs.turns_per_program())
      .Add("team_open_turns", inputs.team_open_turns())
      .Add("team_share", inputs.team_share())
      .Add("age_ms", gateway_.loop().now_ms() - asked_ms)
      .Add("retry_after_ms", result.overload_ms);
  Refuse({Reason::kOverload, RunState::kNotRun,
          "the engines cannot finish another program in time",
          result.overload_ms});
}

void GatewayCall::FinishTurn(bool keep, std::function<void(bool kept)> then) {
  if (!turn_ || !turn_->begun || turn_->finished) {
    if (then) {
      then(false);
    }
    return;
  }
  turn_->finished = true;
  fb::FinishTurnT finish;
  finish.turn = info_.id;
  finish.program = budget_program();
  finish.tokens = events_->events() * turn_->tokens_per_event;
  finish.complete = keep;
  finish.upstream = upstream_.instance;
  finish.event_us = static_cast<int32_t>(EventUs());
  finish.upstream_us = static_cast<int32_t>(UpstreamUs());
  finish.team = TeamName();
  finish.knows_teams = table_->has_teams();
  if (keep) {
    finish.previous = info_.previous_turn;
    finish.text = CompressText(request_.body + events_->data());
    finish.retention_ms = route_->retention_ms;
    auto text = std::make_shared<std::string>(std::move(turn_->body));
    text->append(events_->data());
    gateway_.chains().Put(ChainKey(info_.id), std::move(text),
                          upstream_.instance);
  }
  const int64_t wait_ms =
      keep ? std::max<int64_t>(remaining_ms(), 1) : kFinishTimeoutMs;
  gateway_.state().Propose(
      state_codec::EncodeFinish(finish), wait_ms,
      [then = std::move(then), alive = std::weak_ptr<bool>(alive_)](
          const Outcome<fb::StateResultT>& outcome) {
        if (then && !alive.expired()) {
          then(outcome.ok() && outcome->code == fb::StateCode::Done);
        }
      });
}

}  // namespace ring
