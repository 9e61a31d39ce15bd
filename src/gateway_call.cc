#include <algorithm>

#include "gateway_p.h"

namespace ring {
namespace {

// Deadline of a request without a deadline header.
constexpr int64_t kDefaultDeadlineMs = 30'000;
// A connection attempt that takes longer fails and another upstream is tried.
// Healthy upstreams accept within a round trip between regions (16 ms).
constexpr int64_t kConnectTimeoutMs = 300;
// The same through a relay, which connects to the upstream in turn.
constexpr int64_t kRelayedConnectTimeoutMs = 2 * kConnectTimeoutMs;
// Longest time that a request waits for a starting entry to learn where to send
// it.
constexpr int64_t kMaxStartupWaitMs = 1'200;
// Maximum number of attempts of one request, including those that were not
// executed; bounds the time spent on upstreams that are full.
constexpr int32_t kMaxSends = 5;
// An upstream is suspected if it has not begun to respond after this multiple
// of the route's latency target and at least kMinSlowMs. The request continues.
constexpr int64_t kSlowTargetMultiple = 3;
constexpr int64_t kMinSlowMs = 500;
// On a route without a latency target, the first attempt gets the remaining
// time divided by this.
constexpr int64_t kAttemptTimeoutDivisor = 3;
// Short, because another entry can accept the request at once.
constexpr int64_t kDrainRetryAfterMs = 20;
// The time for which the state group quarantines a request.
constexpr int64_t kQuarantineRetryAfterMs = 3'600'000;
constexpr int64_t kMsPerSecond = 1'000;

int StatusOf(const Refusal& refusal) {
  constexpr int kBadRequest = 400;
  constexpr int kUnauthorized = 401;
  constexpr int kPaymentRequired = 402;
  constexpr int kNotFound = 404;
  constexpr int kTooManyRequests = 429;
  constexpr int kBadGateway = 502;
  constexpr int kUnavailable = 503;
  constexpr int kGatewayTimeout = 504;
  switch (refusal.reason) {
    case Reason::kBadRequest:
      return kBadRequest;
    case Reason::kUnknownKey:
      return kUnauthorized;
    case Reason::kBudgetExceeded:
      return kPaymentRequired;
    case Reason::kUnknownPath:
    case Reason::kUnknownProgram:
      return kNotFound;
    default:
      break;
  }
  if (refusal.run_state == RunState::kNotRun) {
    return refusal.reason == Reason::kQuotaExceeded ? kTooManyRequests
                                                    : kUnavailable;
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

GatewayCall::GatewayCall(Gateway::Impl& gateway,
                         HttpServerConnection& caller,
                         HttpRequest request)
    : gateway_(gateway),
      caller_(&caller),
      request_(std::move(request)),
      info_(gateway.protocol().DecodeRequest(request_.head)),
      table_(gateway.table()),
      digest_(RequestDigest(request_, info_)),
      random_(HashOf(info_.id)),
      start_ms_(gateway.loop().now_ms()),
      deadline_timer_(gateway.loop()),
      connect_timer_(gateway.loop()),
      wait_timer_(gateway.loop()),
      attempt_timer_(gateway.loop()),
      slow_response_timer_(gateway.loop()) {}

GatewayCall::~GatewayCall() {
  buffered_.clear();
  CountBuffered();
}

int64_t GatewayCall::remaining_ms() const {
  return deadline_ms_ - gateway_.loop().now_ms();
}

// Just after its start, an entry receives the configuration and the upstreams
// within a second or two. Waiting briefly serves a caller sooner than a refusal
// does.
bool GatewayCall::WaitForStartup() {
  if (waited_for_startup_ || !gateway_.starting()) {
    return false;
  }
  constexpr int64_t kStartupWaitDivisor = 3;
  int64_t wait_ms =
      std::min(kMaxStartupWaitMs, info_.wait_ms.value_or(kDefaultDeadlineMs) /
                                      kStartupWaitDivisor);
  if (table_ && !key_checked_) {
    // Each update of the upstreams resumes the call, also while its key cannot
    // be checked yet.
    wait_ms -= gateway_.loop().now_ms() - start_ms_;
  }
  if (wait_ms <= 0) {
    return false;
  }
  waited_for_startup_ = true;
  wait_timer_.Start(wait_ms, [this] {
    gateway_.StopWaiting(this);
    Continue();
  });
  gateway_.WaitForUpdate(this);
  return true;
}

void GatewayCall::Resume() {
  wait_timer_.Stop();
  waited_for_startup_ = false;
  Continue();
}

void GatewayCall::Continue() {
  if (key_checked_) {
    Send();
  } else {
    Begin();
  }
}

void GatewayCall::Begin() {
  team_ = nullptr;  // Of the table that is replaced.
  route_ = nullptr;
  table_ = gateway_.table();
  if (!table_ && WaitForStartup()) {
    return;
  }
  if (!table_) {
    return Refuse({Reason::kNoQuorum, RunState::kNotRun,
                   "no configuration has been received yet", kRetryAfterMs});
  }
  route_ = table_->Match(info_.host, info_.path);
  if (route_ == nullptr) {
    return Refuse({Reason::kUnknownPath, RunState::kNotRun,
                   "no route matches host and path"});
  }
  if (RefuseByKey()) {
    return;
  }
  const int64_t wait_ms =
      std::min(info_.wait_ms.value_or(kDefaultDeadlineMs), route_->timeout_ms);
  deadline_ms_ = start_ms_ + wait_ms;
  if (wait_ms <= 0) {
    return Refuse({Reason::kDeadlinePassed, RunState::kNotRun,
                   "the request's deadline has already passed", 0});
  }
  if (!gateway_.CanServeFor(wait_ms)) {
    return Refuse({Reason::kDraining, RunState::kNotRun,
                   "this entry shuts down before the request's deadline",
                   kDrainRetryAfterMs});
  }
  if (!info_.malformed.empty() && is_stream()) {
    return Refuse({Reason::kBadRequest, RunState::kNotRun,
                   "the value of " + info_.malformed + " is invalid"});
  }
  if (info_.last_event && is_stream() && !route_->resumable) {
    return Refuse({Reason::kBadRequest, RunState::kNotRun,
                   "streams of this route cannot be resumed"});
  }
  if (RefuseQuarantined()) {
    return;
  }
  deadline_timer_.Start(wait_ms, [this] { OnDeadline(); });
  ChooseService();
  if (is_stream()) {
    RestartEvents();
    if (gateway_.init().mechanisms.affinity) {
      cached_ = gateway_.affinity().Find(info_);
    }
  }
  if (!is_stream() || (!route_->keeps_turns && !info_.budget_tokens)) {
    Send();
  } else if (needs_quota_grant()) {
    // Before the turn begins: a turn that is refused costs no log entry.
    AcquireGrant([this] { BeginTurn(); });
  } else {
    BeginTurn();
  }
}

bool GatewayCall::RefuseQuarantined() {
  const int32_t crashes = gateway_.CrashesOf(digest_);
  if (crashes < kCrashesToQuarantine) {
    return false;
  }
  Event(LogLevel::kWarn, "request_quarantined")
      .Add("request", info_.id)
      .Add("digest", digest_)
      .Add("crashes", int{crashes});
  Refuse({Reason::kQuarantined,
          may_have_run_ ? RunState::kUnknown : RunState::kNotRun,
          "the request has crashed several upstreams",
          kQuarantineRetryAfterMs});
  return true;
}

// Without a program, the budget applies to the request alone.
const std::string& GatewayCall::budget_program() const {
  return info_.program.empty() ? info_.id : info_.program;
}

void GatewayCall::RestartEvents() {
  events_.emplace(EventStreamReader::Limits{gateway_.init().max_event_bytes,
                                            gateway_.init().max_turn_bytes});
  if (info_.last_event) {
    events_->ResumeAfter(info_.last_event);
  }
  partial_event_.clear();
}

// All requests of a program go to the same service, so that caches stay warm
// when a route splits traffic by weight.
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

void GatewayCall::Send() {
  if (remaining_ms() <= 0) {
    return OnDeadline();
  }
  // Crashes may have been reported since the request arrived.
  if (RefuseQuarantined()) {
    return;
  }
  const auto upstream = gateway_.Place(service_, *this);
  if (!upstream && WaitForStartup()) {
    return;
  }
  if (!upstream) {
    return RefuseWithoutUpstream();
  }
  const bool needs_grant =
      upstream->limited &&
      !(upstream->granted && gateway_.init().mechanisms.shared_limits);
  if (needs_grant) {
    return RequestPlacement();
  }
  if (needs_quota_grant()) {
    return AcquireGrant([this] { Send(); });
  }
  SendTo(*upstream);
}

void GatewayCall::RefuseWithoutUpstream() {
  Refuse({Reason::kNoUpstream,
          may_have_run_ ? RunState::kUnknown : RunState::kNotRun,
          "no upstream of the service is ready", kRetryAfterMs});
}

void GatewayCall::SendTo(const Gateway::Impl::ChosenUpstream& placed) {
  const UpstreamInstance& upstream = placed.upstream;
  upstream_ = upstream;
  load_ = placed.in_flight;
  candidates_ = placed.candidates;
  sent_ms_ = gateway_.loop().now_ms() - start_ms_;
  placed_ = 0;
  tried_.insert(upstream.instance);
  const bool sent_there = !tried_addresses_.insert(upstream.address).second;
  ++sends_;
  streaming_ = false;
  answer_ = {};
  exchange_ = 0;
  ends_by_close_ = false;
  send_error_ = 0;
  // On a kept connection, a duplicate of an earlier response is told from the
  // own one by its request id only. Opens a new connection where that does not
  // suffice: for repeated attempts at an address, which may belong to another
  // instance by now, and for requests without an id.
  const bool must_open = sent_there || info_.id.empty();
  relay_ = gateway_.ChooseRelay();
  if (relay_) {
    connection_ =
        must_open ? nullptr : gateway_.pool().TakeIdle(upstream.address);
    if (connection_) {
      relay_.reset();
    } else {
      connection_ = gateway_.pool().OpenVia(*relay_, upstream.address);
    }
  } else {
    connection_ = must_open ? gateway_.pool().Open(upstream.address)
                            : gateway_.pool().Acquire(upstream.address);
  }
  if (!connection_) {
    return RetryOrRefuse({Reason::kUpstreamRefused, RunState::kNotRun,
                          "no connection to the upstream could be opened",
                          kRetryAfterMs});
  }
  const std::string& body =
      turn_ && route_->keeps_turns ? turn_->body : request_.body;
  UpstreamRequest send{upstream.instance, remaining_ms(), body.size()};
  send.has_teams = table_->has_teams();
  send.team = TeamName();
  if (route_->resumable) {
    send.last_event = forwarding_ ? events_->last_event() : info_.last_event;
  }
  const std::string head =
      gateway_.protocol().EncodeUpstreamRequest(request_.head, info_, send);
  sent_ = true;
  grant_unsent_ = false;
  gateway_.RecordSent(upstream.instance);
  if (!info_.program.empty()) {
    gateway_.programs().Record(info_.program, gateway_.loop().now_ms());
  }
  if (!connection_->connected()) {
    connect_timer_.Start(relay_ ? kRelayedConnectTimeoutMs : kConnectTimeoutMs,
                         [this] { OnConnectTimeout(); });
  }
  if (gateway_.init().mechanisms.attempt_timeouts && may_repeat() &&
      runs_ + 1 < route_->max_attempts) {
    int64_t attempt_timeout_ms = route_->goal_ms > 0
                                     ? route_->goal_ms
                                     : remaining_ms() / kAttemptTimeoutDivisor;
    if (is_stream()) {
      // A stream that waits in the upstream's queue would lose its position
      // there.
      attempt_timeout_ms =
          std::max(kMinSlowMs, kSlowTargetMultiple * attempt_timeout_ms);
    }
    if (attempt_timeout_ms < remaining_ms()) {
      attempt_timer_.Start(attempt_timeout_ms, [this] { OnAttemptTimeout(); });
    }
  }
  slow_response_timer_.Start(
      std::max(kMinSlowMs, kSlowTargetMultiple * route_->goal_ms), [this] {
        RecordUnanswered();
        gateway_.RecordFailure(upstream_, Reason::kUpstreamTimeout);
      });
  connection_->Start(this, head, body);
}

// The upstream may have lost the response, hang or be much slower than others.
// The last permitted attempt gets all the remaining time.
void GatewayCall::OnAttemptTimeout() {
  RecordUnanswered();
  RecordRun();
  ReleaseConnection(false);
  gateway_.RecordFailure(upstream_, Reason::kUpstreamTimeout);
  RetryOrRefuse({Reason::kUpstreamTimeout, RunState::kUnknown,
                 "the upstream did not answer in time", kRetryAfterMs});
}

// Lets the crash check find hosts that lost power: their connections stay open.
void GatewayCall::RecordUnanswered() {
  if (sent_ && connection_ && connection_->connected()) {
    gateway_.RecordUnanswered(upstream_, UnansweredRequest());
  }
}

// No part of the request is sent before the connection is established.
void GatewayCall::OnConnectTimeout() {
  if (connection_ && !connection_->connected()) {
    if (!relay_) {
      gateway_.RecordConnect(upstream_.address, false, true);
    }
    OnExchangeFailed(ExchangeFailure::kNotConnected);
  }
}

void GatewayCall::ReleaseConnection(bool reuse) {
  connect_timer_.Stop();
  attempt_timer_.Stop();
  slow_response_timer_.Stop();
  if (sent_) {
    sent_ = false;
    gateway_.RecordEnded(upstream_.instance);
  }
  if (!connection_) {
    return;
  }
  send_error_ = connection_->send_error();
  if (reuse && !info_.id.empty() && !relay_) {
    gateway_.pool().Release(upstream_.address, std::move(connection_));
  } else {
    gateway_.pool().Discard(std::move(connection_));
  }
}

void GatewayCall::OnExchangeFailed(ExchangeFailure failure) {
  const bool not_sent = failure == ExchangeFailure::kNotConnected;
  const int relay_status = connection_->relay_status();
  ReleaseConnection(false);
  if (relay_ && not_sent) {
    gateway_.RecordRelayed(*relay_, upstream_.address, false, relay_status);
  }
  Reason reason = Reason::kUpstreamReset;
  if (not_sent) {
    reason = Reason::kUpstreamRefused;
  } else if (failure == ExchangeFailure::kTruncated) {
    reason = Reason::kUpstreamTruncated;
  } else if (failure == ExchangeFailure::kMalformed) {
    reason = Reason::kUpstreamError;
  }
  const bool is_upstream_unreachable =
      relay_ ? relay_status == kRelayUpstreamUnreachable : gateway_.links_up();
  if (!not_sent || is_upstream_unreachable) {
    gateway_.RecordFailure(upstream_, reason);
  } else if (relay_) {
    // The upstream has not been tried; another relay may reach it.
    tried_.erase(upstream_.instance);
    --sends_;
  }
  if (!not_sent) {
    RecordRun();
    if (failure != ExchangeFailure::kMalformed) {
      gateway_.RecordLostConnection(upstream_, UnansweredRequest());
    }
  }
  if (forwarding_ && !route_->resumable) {
    return AbortForwarding(
        {reason, RunState::kRan,
         "the upstream's response was interrupted or malformed"});
  }
  RetryOrRefuse(
      {reason,
       not_sent && !may_have_run_ ? RunState::kNotRun : RunState::kUnknown,
       "the connection to the upstream failed", kRetryAfterMs});
}

bool GatewayCall::can_send_again() const {
  return runs_ < route_->max_attempts && sends_ < kMaxSends &&
         remaining_ms() > 0;
}

void GatewayCall::SendAgain() {
  if (forwarding_) {
    events_->ResumeAfter(events_->last_event());
    partial_event_.clear();
  } else if (is_stream()) {
    RestartEvents();
  }
  Send();
}

void GatewayCall::RetryOrRefuse(const Refusal& refusal) {
  const bool allowed = may_repeat() || !may_have_run_;
  if (allowed && can_send_again()) {
    metrics::CountRetry(refusal.reason);
    Event(LogLevel::kInfo, forwarding_ ? "resume" : "retry")
        .Add("request", info_.id)
        .Add("upstream", upstream_.instance)
        .Add("reason", refusal.reason)
        .Add("sends", int{sends_})
        .Add("events", events_ ? events_->events() : 0)
        .Add("left_ms", remaining_ms());
    return SendAgain();
  }
  Refusal final = refusal;
  if (may_have_run_) {
    final.run_state = RunState::kUnknown;
  }
  Refuse(final);
}

void GatewayCall::OnDeadline() {
  const RunState run_state = StopAttempt();
  Refuse({Reason::kDeadlinePassed, run_state,
          "the request's deadline has passed", 0});
}

void GatewayCall::OnEntryEnds() {
  // A complete answer only waits until its turn is recorded.
  if (ended_ || response_done_) {
    return;
  }
  const RunState run_state = StopAttempt();
  Refuse({Reason::kDraining, run_state,
          "this entry ends before the request does", kDrainRetryAfterMs});
}

RunState GatewayCall::StopAttempt() {
  const bool may_have_run = may_have_run_ || sent_;
  // Nothing is sent before the connection is established.
  const bool only_connecting =
      !may_have_run_ && connection_ && !connection_->connected();
  RecordUnanswered();
  ReleaseConnection(false);
  return may_have_run && !only_connecting ? RunState::kUnknown
                                          : RunState::kNotRun;
}

void GatewayCall::Refuse(const Refusal& refusal) {
  metrics::CountRefusal(refusal.reason);
  if (forwarding_) {
    return AbortForwarding(refusal);
  }
  const int status = StatusOf(refusal);
  LogEnd("refused", refusal, status);
  FinishTurn(false, nullptr);
  if (caller_ != nullptr) {
    std::vector<HttpHeader> headers;
    if (refusal.retry_after_ms > 0 && refusal.run_state == RunState::kNotRun) {
      headers.push_back(
          {"Retry-After", RetryAfterText(refusal.retry_after_ms)});
    }
    if (!gateway_.reaches_keepers() ||
        !gateway_.key_confirmation().keys_valid) {
      // This entry is cut off from the keepers; closing the connection lets the
      // caller's next request reach another entry.
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
  // A non-idempotent request that has been sent runs to its end, because
  // closing the connection would not tell whether it was executed.
  if (sent_ && !is_stream() && !may_repeat() && connection_->connected()) {
    return;
  }
  RecordUnanswered();
  ReleaseConnection(false);
  LogEnd("caller_gone", {Reason::kCallerGone, RunState::kUnknown, ""}, 0);
  FinishTurn(false, nullptr);
  End();
}

void GatewayCall::LogEnd(const char* outcome,
                         const Refusal& refusal,
                         int status) const {
  CountByTeam(refusal);
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
      .Add("relay", relay_ ? relay_->ToString() : "")
      .Add("load", int{load_})
      .Add("candidates", uint64_t{candidates_})
      .Add("sends", int{sends_})
      .Add("begun_ms", begun_ms_)
      .Add("limit_wait_ms", limit_wait_ms_)
      .Add("sent_ms", sent_ms_)
      .Add("head_ms", head_ms_)
      .Add("took_ms", took_ms)
      .Add("exchange", exchange_)
      .Add("answers", answer_.request_id)
      .Add("signed", answer_.has_signature)
      .Add("ends_by_close", ends_by_close_)
      .Add("send_error", send_error_)
      .Add("limit", answer_.limit.value_or(-1));
  if (table_ && table_->has_teams()) {
    event.Add("team", TeamName())
        .Add("key_age_ms", key_age_ms_)
        .Add("grant_wait_ms", grant_wait_ms_);
  }
  if (refusal.reason != Reason::kNone) {
    event.Add("digest", digest_);
  }
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
    attempt_timer_.Stop();
    slow_response_timer_.Stop();
    CancelGrant();
    gateway_.StopWaiting(this);
    gateway_.Remove(this);
  }
}

}  // namespace ring
