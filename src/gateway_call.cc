#include <algorithm>

#include "gateway_events_p.h"
#include "gateway_p.h"

namespace ring {
namespace {

// A request without a wait header is answered in this time.
constexpr int64_t kDefaultWaitMs = 30'000;
// Upstreams answer a connection request within a round trip between regions
// (16 ms) if they are well; later ones are tried elsewhere.
constexpr int64_t kConnectTimeoutMs = 300;
// Wait of a request for a started entry to know where to send it.
constexpr int64_t kStartWaitMs = 1'200;
// Sends of one request that ran nowhere; bounds the time spent on full servers.
constexpr int32_t kMaxSends = 5;
// A turn waits this long for the state group: longer than an election.
constexpr int64_t kStateWaitMs = 1'800;
// The record of an answered or abandoned turn is repeated for this long.
constexpr int64_t kFinishWaitMs = 20'000;
// An upstream that has not begun to answer after this many goals of the route,
// and at least this time, is suspected; the request goes on.
constexpr int64_t kSlowGoals = 3;
constexpr int64_t kSlowMs = 500;
// Share of the time left that a first attempt gets on a route without a goal.
constexpr int64_t kPatienceShare = 3;
// Responses up to this size are checked whole before they are passed on.
constexpr size_t kMaxBuffered = 256u << 10;
// The upstream is not read while the caller has this much to take.
constexpr size_t kMaxUnsent = 64u << 10;
// When a caller may come back after a refusal that asks for patience.
constexpr int64_t kRetryAfterMs = 300;
// Another entry can take the request at once.
constexpr int64_t kDrainRetryAfterMs = 20;
constexpr int64_t kMsPerSecond = 1'000;

int StatusOf(const Refusal& refusal) {
  constexpr int kBadRequest = 400;
  constexpr int kPaymentRequired = 402;
  constexpr int kNotFound = 404;
  constexpr int kBadGateway = 502;
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  switch (refusal.reason) {
    case Reason::kBadRequest:
      return kBadRequest;
    case Reason::kBudgetExceeded:
      return kPaymentRequired;
    case Reason::kUnknownPath:
    case Reason::kUnknownProgram:
      return kNotFound;
    default:
      break;
  }
  if (refusal.run_state == RunState::kNotRun) {
    return kUnavailable;
  }
  return refusal.reason == Reason::kDeadlinePassed ? kGatewayTimeout
                                                   : kBadGateway;
}

std::string RetryAfterText(int64_t ms) {
  const int64_t fraction = ms % kMsPerSecond;
  std::string text = std::to_string(ms / kMsPerSecond) + ".";
  std::string digits = std::to_string(fraction);
  return text + std::string(3 - digits.size(), '0') + digits;
}

uint64_t HashOf(std::string_view text) {
  return std::hash<std::string_view>()(text);
}

}  // namespace

struct GatewayCall::Turn {
  ChainCache::Text chain;  ///< All before this turn.
  std::string body;        ///< Chain and new input.
  EventStreamReader events;
  int32_t tokens_per_event = 1;
  bool begun = false;  ///< The state group holds a reservation.
  bool finished = false;
};

GatewayCall::GatewayCall(Gateway::Impl& gateway,
                         HttpServerConnection& caller,
                         HttpRequest request)
    : gateway_(gateway),
      caller_(&caller),
      request_(std::move(request)),
      info_(gateway.protocol().DecodeRequest(request_.head)),
      table_(gateway.table()),
      random_(HashOf(info_.id)),
      start_ms_(gateway.loop().now_ms()),
      deadline_timer_(gateway.loop()),
      connect_timer_(gateway.loop()),
      wait_timer_(gateway.loop()),
      patience_timer_(gateway.loop()),
      slow_timer_(gateway.loop()) {}

GatewayCall::~GatewayCall() = default;

int64_t GatewayCall::left_ms() const {
  return deadline_ms_ - gateway_.loop().now_ms();
}

// A started entry learns configuration and upstreams within a second or two;
// a caller is served sooner by a short wait than by a refusal.
bool GatewayCall::WaitForStart() {
  if (waited_ || !gateway_.starting()) {
    return false;
  }
  waited_ = true;
  constexpr int64_t kWaitShare = 3;
  const int64_t wait_ms = std::min(
      kStartWaitMs, info_.wait_ms.value_or(kDefaultWaitMs) / kWaitShare);
  wait_timer_.Start(wait_ms, [this] {
    gateway_.StopWaiting(this);
    table_ ? Send() : Begin();
  });
  gateway_.WaitForNews(this);
  return true;
}

void GatewayCall::Resume() {
  wait_timer_.Stop();
  waited_ = false;
  if (table_) {
    Send();
  } else {
    Begin();
  }
}

void GatewayCall::Begin() {
  table_ = gateway_.table();
  if (!table_ && WaitForStart()) {
    return;
  }
  if (!table_) {
    return Refuse({Reason::kNoQuorum, RunState::kNotRun,
                   "no configuration is known yet", kRetryAfterMs});
  }
  route_ = table_->Match(info_.host, info_.path);
  if (route_ == nullptr) {
    return Refuse({Reason::kUnknownPath, RunState::kNotRun,
                   "no route matches host and path"});
  }
  const int64_t wait_ms =
      std::min(info_.wait_ms.value_or(kDefaultWaitMs), route_->timeout_ms);
  deadline_ms_ = start_ms_ + wait_ms;
  if (wait_ms <= 0) {
    return Refuse(
        {Reason::kDeadlinePassed, RunState::kNotRun, "no time is left", 0});
  }
  if (!gateway_.LastsFor(wait_ms)) {
    return Refuse({Reason::kDraining, RunState::kNotRun,
                   "this entry stops before the request's time is over",
                   kDrainRetryAfterMs});
  }
  deadline_timer_.Start(wait_ms, [this] { OnDeadline(); });
  ChooseService();
  if (route_->keeps_turns) {
    BeginTurn();
  } else {
    Send();
  }
}

// Requests of one program go to one service, so that splits keep caches warm.
void GatewayCall::ChooseService() {
  int64_t total = 0;
  for (const RouteTarget& target : route_->targets) {
    total += target.weight;
  }
  const std::string& key = info_.program.empty() ? info_.id : info_.program;
  auto point = static_cast<int64_t>(HashOf(key) % static_cast<uint64_t>(total));
  for (const RouteTarget& target : route_->targets) {
    if (point < target.weight) {
      service_ = target.service;
      return;
    }
    point -= target.weight;
  }
}

void GatewayCall::BeginTurn() {
  turn_ = std::make_unique<Turn>();
  const ServiceSpec* service = table_->FindService(service_);
  if (service != nullptr && service->engine) {
    turn_->tokens_per_event = service->engine->tokens_per_event;
  }
  turn_->chain = info_.previous_turn.empty()
                     ? nullptr
                     : gateway_.chains().Find(info_.previous_turn);
  fb::BeginTurnT begin;
  begin.turn = info_.id;
  begin.program = info_.program;
  begin.previous = info_.previous_turn;
  begin.known = turn_->chain ? info_.previous_turn : "";
  begin.budget_tokens = info_.budget_tokens.value_or(-1);
  begin.max_tokens = info_.max_output_tokens;
  turn_->begun = true;
  gateway_.state().Propose(state_codec::EncodeBegin(begin),
                           std::min(kStateWaitMs, left_ms()),
                           [this, alive = std::weak_ptr<bool>(alive_)](
                               const Outcome<fb::StateResultT>& outcome) {
                             if (!alive.expired()) {
                               OnTurnBegun(outcome);
                             }
                           });
}

void GatewayCall::OnTurnBegun(const Outcome<fb::StateResultT>& outcome) {
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
                     "the token budget does not hold another turn"});
    case fb::StateCode::Done:
      break;
    default:
      turn_->begun = false;
      return Refuse(
          {Reason::kBadRequest, RunState::kNotRun, "the turn cannot be begun"});
  }
  last_upstream_ = outcome->last_upstream;
  if (!turn_->chain && !info_.previous_turn.empty()) {
    auto chain = std::make_shared<std::string>();
    for (const auto& part : outcome->chain) {
      const auto text = UnpackText(part->text);
      if (!text) {
        return Refuse({Reason::kCorruptData, RunState::kNotRun,
                       "a turn of the chain cannot be unpacked"});
      }
      chain->append(*text);
    }
    gateway_.chains().Put(info_.previous_turn, chain);
    turn_->chain = std::move(chain);
  }
  if (turn_->chain) {
    turn_->body = *turn_->chain;
  }
  turn_->body.append(request_.body);
  Send();
}

void GatewayCall::Send() {
  if (left_ms() <= 0) {
    return OnDeadline();
  }
  const auto upstream = gateway_.Place(service_, *this);
  if (!upstream && WaitForStart()) {
    return;
  }
  if (!upstream) {
    return Refuse({Reason::kNoUpstream,
                   maybe_run_ ? RunState::kUnknown : RunState::kNotRun,
                   "no upstream of the service is ready", kRetryAfterMs});
  }
  SendTo(*upstream);
}

void GatewayCall::SendTo(const Gateway::Impl::Placed& placed) {
  const UpstreamInstance& upstream = placed.upstream;
  upstream_ = upstream;
  load_ = placed.in_flight;
  candidates_ = placed.candidates;
  sent_ms_ = gateway_.loop().now_ms() - start_ms_;
  tried_.insert(upstream.instance);
  ++sends_;
  connection_ = gateway_.pool().Take(upstream.address);
  if (!connection_) {
    return RetryOrRefuse({Reason::kUpstreamRefused, RunState::kNotRun,
                          "no connection can be opened", kRetryAfterMs});
  }
  const std::string& body = turn_ ? turn_->body : request_.body;
  const std::string head = gateway_.protocol().EncodeSend(
      request_.head, info_, {upstream.instance, left_ms(), body.size()});
  sent_ = true;
  gateway_.NoteSent(upstream.instance);
  if (!connection_->connected()) {
    connect_timer_.Start(kConnectTimeoutMs, [this] { OnConnectTimeout(); });
  }
  if (may_repeat() && runs_ + 1 < route_->max_attempts) {
    const int64_t patience_ms =
        route_->goal_ms > 0 ? route_->goal_ms : left_ms() / kPatienceShare;
    if (patience_ms < left_ms()) {
      patience_timer_.Start(patience_ms, [this] { OnPatienceOver(); });
    }
  }
  slow_timer_.Start(std::max(kSlowMs, kSlowGoals * route_->goal_ms), [this] {
    gateway_.NoteFailure(upstream_, Reason::kUpstreamTimeout);
  });
  connection_->Start(this, head, body);
}

// An upstream may have lost the answer, hang or be much slower than others;
// the last permitted attempt gets all the time that is left.
void GatewayCall::OnPatienceOver() {
  maybe_run_ = true;
  ++runs_;
  ReleaseConnection(false);
  gateway_.NoteFailure(upstream_, Reason::kUpstreamTimeout);
  RetryOrRefuse({Reason::kUpstreamTimeout, RunState::kUnknown,
                 "the upstream did not answer in time", kRetryAfterMs});
}

// Nothing of the request leaves before the connection is established.
void GatewayCall::OnConnectTimeout() {
  if (connection_ && !connection_->connected()) {
    OnExchangeFailed(ExchangeFailure::kNotConnected);
  }
}

void GatewayCall::ReleaseConnection(bool reuse) {
  connect_timer_.Stop();
  patience_timer_.Stop();
  slow_timer_.Stop();
  if (sent_) {
    sent_ = false;
    gateway_.NoteEnded(upstream_.instance);
  }
  if (!connection_) {
    return;
  }
  if (reuse) {
    gateway_.pool().Give(upstream_.address, std::move(connection_));
  } else {
    gateway_.pool().Discard(std::move(connection_));
  }
}

bool GatewayCall::OnResponseHead(HttpHead head) {
  const UpstreamAnswer answer = gateway_.protocol().DecodeAnswer(head);
  if (!answer.request_id.empty() && answer.request_id != info_.id) {
    metrics::Count("ring_upstream_foreign_answers_total");
    Event(LogLevel::kWarn, "foreign_answer")
        .Add("request", info_.id)
        .Add("upstream", upstream_.instance)
        .Add("answers", answer.request_id);
    return false;
  }
  patience_timer_.Stop();
  slow_timer_.Stop();
  head_ms_ = gateway_.loop().now_ms() - start_ms_;
  head_ = std::move(head);
  buffered_.clear();
  constexpr int kFirstError = 300;
  if (is_stream() && !answer.not_run && !answer.other_instance &&
      head_.status < kFirstError) {
    StartForwarding();
  }
  return true;
}

void GatewayCall::StartForwarding() {
  forwarding_ = true;
  maybe_run_ = true;
  std::vector<HttpHeader> headers;
  for (const HttpHeader& header : head_.headers) {
    if (!IsHopByHop(header.name)) {
      headers.push_back(header);
    }
  }
  // A turn's response ends only once the turn is recorded, so it has no length
  // that its last event would complete.
  std::optional<int64_t> length;
  if (const std::string* text = head_.Find("Content-Length");
      text != nullptr && !turn_) {
    length = ParseNumber(*text);
  }
  if (caller_ != nullptr) {
    caller_->BeginResponse(head_.status, headers, length);
  }
}

void GatewayCall::OnResponseBody(std::string_view bytes) {
  if (!forwarding_) {
    buffered_.append(bytes);
    if (buffered_.size() > kMaxBuffered) {
      StartForwarding();
      Forward(std::exchange(buffered_, {}));
    }
    return;
  }
  Forward(bytes);
}

void GatewayCall::Forward(std::string_view bytes) {
  if (turn_) {
    turn_->events.Feed(bytes);
  }
  if (caller_ == nullptr) {
    return;
  }
  caller_->WriteBody(bytes);
  if (caller_->unsent_bytes() > kMaxUnsent) {
    connection_->SetReading(false);
  }
}

void GatewayCall::OnCallerDrained() {
  if (connection_) {
    connection_->SetReading(true);
  }
}

void GatewayCall::OnResponseEnd() {
  const UpstreamAnswer answer = gateway_.protocol().DecodeAnswer(head_);
  constexpr int kServerError = 500;
  if (!forwarding_ && (answer.not_run || answer.other_instance)) {
    ReleaseConnection(true);
    gateway_.NoteFailure(upstream_, answer.other_instance
                                        ? Reason::kUpstreamLeaving
                                        : Reason::kUpstreamRefused);
    return RetryOrRefuse({Reason::kUpstreamRefused, RunState::kNotRun,
                          "the upstream is full or another one has its address",
                          kRetryAfterMs});
  }
  maybe_run_ = true;
  ++runs_;
  ReleaseConnection(true);
  if (head_.status >= kServerError) {
    gateway_.NoteError(upstream_.instance);
  } else {
    gateway_.NoteSuccess(upstream_.instance);
  }
  if (!forwarding_ && head_.status >= kServerError && may_repeat() &&
      runs_ < route_->max_attempts && sends_ < kMaxSends) {
    metrics::CountRetry(Reason::kUpstreamError);
    return Send();
  }
  response_done_ = true;
  if (forwarding_) {
    CompleteForwarding();
  } else {
    RespondWhole();
  }
}

void GatewayCall::CompleteForwarding() {
  if (!turn_) {
    if (caller_ != nullptr) {
      caller_->EndResponse();
    }
    LogEnd("answered", {}, head_.status);
    return End();
  }
  FinishTurn(true, [this](bool kept) {
    if (caller_ != nullptr) {
      if (kept) {
        caller_->EndResponse();
      } else {
        caller_->AbortResponse();
      }
      caller_ = nullptr;
    }
    LogEnd(kept ? "answered" : "turn_not_recorded", {}, head_.status);
    End();
  });
}

void GatewayCall::FinishTurn(bool complete,
                             std::function<void(bool kept)> then) {
  if (!turn_ || !turn_->begun || turn_->finished) {
    if (then) {
      then(false);
    }
    return;
  }
  turn_->finished = true;
  fb::FinishTurnT finish;
  finish.turn = info_.id;
  finish.program = info_.program;
  finish.previous = info_.previous_turn;
  finish.tokens = turn_->events.events() * turn_->tokens_per_event;
  finish.complete = complete;
  if (complete) {
    finish.text = PackText(request_.body + turn_->events.data());
    finish.retention_ms = route_->retention_ms;
    finish.upstream = upstream_.instance;
    auto text = std::make_shared<std::string>(std::move(turn_->body));
    text->append(turn_->events.data());
    gateway_.chains().Put(info_.id, std::move(text));
  }
  const int64_t wait_ms =
      complete ? std::max<int64_t>(left_ms(), 1) : kFinishWaitMs;
  gateway_.state().Propose(
      state_codec::EncodeFinish(finish), wait_ms,
      [then = std::move(then), alive = std::weak_ptr<bool>(alive_)](
          const Outcome<fb::StateResultT>& outcome) {
        if (then && !alive.expired()) {
          then(outcome.ok() && outcome->code == fb::StateCode::Done);
        }
      });
}

void GatewayCall::RespondWhole() {
  std::vector<HttpHeader> headers;
  for (const HttpHeader& header : head_.headers) {
    if (!IsHopByHop(header.name)) {
      headers.push_back(header);
    }
  }
  if (caller_ != nullptr) {
    caller_->Respond(head_.status, headers, buffered_);
  }
  FinishTurn(false, nullptr);
  LogEnd("answered", {}, head_.status);
  End();
}

void GatewayCall::OnExchangeFailed(ExchangeFailure failure) {
  const bool never_left = failure == ExchangeFailure::kNotConnected;
  ReleaseConnection(false);
  Reason reason = Reason::kUpstreamReset;
  if (never_left) {
    reason = Reason::kUpstreamRefused;
  } else if (failure == ExchangeFailure::kTruncated) {
    reason = Reason::kUpstreamTruncated;
  } else if (failure == ExchangeFailure::kMalformed) {
    reason = Reason::kUpstreamError;
  }
  gateway_.NoteFailure(upstream_, reason);
  if (!never_left) {
    maybe_run_ = true;
    ++runs_;
  }
  if (forwarding_) {
    if (caller_ != nullptr) {
      std::exchange(caller_, nullptr)->AbortResponse();
    }
    LogEnd("broken_off", {reason, RunState::kRan, "the upstream broke off"}, 0);
    FinishTurn(false, nullptr);
    return End();
  }
  RetryOrRefuse(
      {reason,
       never_left && !maybe_run_ ? RunState::kNotRun : RunState::kUnknown,
       "the upstream connection failed", kRetryAfterMs});
}

void GatewayCall::RetryOrRefuse(const Refusal& refusal) {
  const bool allowed = may_repeat() || !maybe_run_;
  if (allowed && runs_ < route_->max_attempts && sends_ < kMaxSends &&
      left_ms() > 0) {
    metrics::CountRetry(refusal.reason);
    Event(LogLevel::kInfo, "retry")
        .Add("request", info_.id)
        .Add("upstream", upstream_.instance)
        .Add("reason", refusal.reason)
        .Add("sends", int{sends_})
        .Add("left_ms", left_ms());
    return Send();
  }
  Refusal final = refusal;
  if (maybe_run_) {
    final.run_state = RunState::kUnknown;
  }
  Refuse(final);
}

void GatewayCall::OnDeadline() {
  const bool may_have_run = maybe_run_ || sent_;
  if (forwarding_) {
    ReleaseConnection(false);
    if (caller_ != nullptr) {
      std::exchange(caller_, nullptr)->AbortResponse();
    }
    LogEnd("broken_off", {Reason::kDeadlinePassed, RunState::kRan, ""}, 0);
    FinishTurn(false, nullptr);
    return End();
  }
  // A connection that is not established yet has sent nothing.
  const bool only_connecting =
      !maybe_run_ && connection_ && !connection_->connected();
  ReleaseConnection(false);
  Refuse({Reason::kDeadlinePassed,
          may_have_run && !only_connecting ? RunState::kUnknown
                                           : RunState::kNotRun,
          "the time of the request is over", 0});
}

void GatewayCall::Refuse(const Refusal& refusal) {
  metrics::CountRefusal(refusal.reason);
  const int status = StatusOf(refusal);
  LogEnd("refused", refusal, status);
  FinishTurn(false, nullptr);
  if (caller_ != nullptr) {
    std::vector<HttpHeader> headers;
    if (refusal.retry_after_ms > 0 && refusal.run_state == RunState::kNotRun) {
      headers.push_back(
          {"Retry-After", RetryAfterText(refusal.retry_after_ms)});
    }
    if (!gateway_.reaches_keepers()) {
      // The caller's next request should reach an entry that is not cut off.
      caller_->CloseAfterResponse();
    }
    std::exchange(caller_, nullptr)
        ->Respond(status, headers,
                  std::string(ToString(refusal.reason)) + "\n");
  }
  End();
}

void GatewayCall::OnCallerGone() {
  caller_ = nullptr;
  if (response_done_) {
    return;
  }
  // A non-idempotent request that has been sent is left to end, because
  // closing its connection would not say whether it runs.
  if (sent_ && !is_stream() && !may_repeat() && connection_->connected()) {
    return;
  }
  ReleaseConnection(false);
  LogEnd("caller_gone", {Reason::kCallerGone, RunState::kUnknown, ""}, 0);
  FinishTurn(false, nullptr);
  End();
}

void GatewayCall::LogEnd(const char* outcome,
                         const Refusal& refusal,
                         int status) const {
  const int64_t took_ms = gateway_.loop().now_ms() - start_ms_;
  Event event(LogLevel::kInfo, "request");
  event.Add("request", info_.id)
      .Add("program", info_.program)
      .Add("route", route_ == nullptr ? "" : route_->name)
      .Add("config", table_ ? table_->version() : 0)
      .Add("outcome", outcome)
      .Add("status", status)
      .Add("reason", refusal.reason)
      .Add("run", ToString(refusal.run_state))
      .Add("upstream", upstream_.instance)
      .Add("load", int{load_})
      .Add("candidates", uint64_t{candidates_})
      .Add("sends", int{sends_})
      .Add("begun_ms", begun_ms_)
      .Add("sent_ms", sent_ms_)
      .Add("head_ms", head_ms_)
      .Add("took_ms", took_ms);
  if (!refusal.message.empty()) {
    event.Add("detail", refusal.message);
  }
  metrics::ObserveMs("ring_request_ms", {{"outcome", outcome}},
                     static_cast<double>(took_ms));
}

void GatewayCall::End() {
  if (!ended_) {
    ended_ = true;
    deadline_timer_.Stop();
    connect_timer_.Stop();
    wait_timer_.Stop();
    patience_timer_.Stop();
    slow_timer_.Stop();
    gateway_.StopWaiting(this);
    gateway_.Remove(this);
  }
}

}  // namespace ring
