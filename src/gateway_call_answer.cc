#include <algorithm>

#include "gateway_p.h"

namespace ring {
namespace {

constexpr int kFirstErrorStatus = 300;
constexpr int kFirstServerErrorStatus = 500;
// Responses up to this size are received and checked completely before they are
// forwarded.
constexpr size_t kMaxBufferedBytes = 256u << 10;
// Reading from the upstream pauses while the caller has not received this many
// bytes.
constexpr size_t kMaxUnsentBytes = 64u << 10;
// Responses to other requests that are skipped on one connection before it is
// closed.
constexpr int32_t kMaxForeignAnswers = 4;

// What the log says of a request whose answer was complete.
const Refusal kAnswered{Reason::kNone, RunState::kRan, "", 0};

std::vector<HttpHeader> EndToEnd(const HttpHead& head) {
  std::vector<HttpHeader> headers;
  std::copy_if(
      head.headers.begin(), head.headers.end(), std::back_inserter(headers),
      [](const HttpHeader& header) { return !IsHopByHop(header.name); });
  return headers;
}

}  // namespace

// Returns true if the response belongs to the request of this call. Upstreams
// echo the request id; bytes without it belong to no request, whatever their
// position on the connection.
bool GatewayCall::IsOwnAnswer(const UpstreamResponse& answer) const {
  return answer.request_id == info_.id;
}

bool GatewayCall::OnResponseHead(HttpHead head) {
  const UpstreamResponse answer =
      gateway_.protocol().DecodeUpstreamResponse(head);
  gateway_.RecordActivity(upstream_.instance);
  if (answer.leaving && !answer.other_instance) {
    gateway_.RecordLeaving(upstream_, "answer", info_.id);
  }
  if (!IsOwnAnswer(answer)) {
    metrics::Count("ring_upstream_foreign_answers_total");
    Event(LogLevel::kWarn, "foreign_answer")
        .Add("request", info_.id)
        .Add("upstream", upstream_.instance)
        .Add("answers", answer.request_id)
        .Add("status", head.status)
        .Add("exchange", connection_->exchanges());
    if (++foreign_answers_ > kMaxForeignAnswers || answer.request_id.empty()) {
      OnExchangeFailed(ExchangeFailure::kMalformed);
    }
    return false;
  }
  if (head.status < kFirstErrorStatus && !answer.has_signature) {
    metrics::Count("ring_upstream_unsigned_answers_total");
    Event(LogLevel::kWarn, "unsigned_answer")
        .Add("request", info_.id)
        .Add("upstream", upstream_.instance)
        .Add("status", head.status)
        .Add("exchange", connection_->exchanges());
    OnExchangeFailed(ExchangeFailure::kMalformed);
    return false;
  }
  if (relay_) {
    gateway_.RecordRelayed(*relay_, upstream_.address, true, 0);
  }
  if (!answer.other_instance) {
    gateway_.RecordLimit(upstream_, answer);
  }
  attempt_timer_.Stop();
  slow_response_timer_.Stop();
  answer_ = answer;
  status_ = head.status;
  exchange_ = connection_->exchanges();
  ends_by_close_ = head.until_close;
  streaming_ = is_stream() && !answer.not_run && !answer.other_instance &&
               head.status < kFirstErrorStatus;
  if (!forwarding_) {
    head_ms_ = gateway_.loop().now_ms() - start_ms_;
    head_ = std::move(head);
    buffered_.clear();
    CountBuffered();
    // The head of a resumable stream is held until the first event: until then,
    // another upstream may still respond instead.
    if (streaming_ && !route_->resumable) {
      StartForwarding();
    }
  }
  return true;
}

void GatewayCall::StartForwarding() {
  forwarding_ = true;
  may_have_run_ = true;
  // No Content-Length for streams: the response ends only once the last event
  // is known to be complete, and a length would let the caller consider it
  // complete earlier.
  std::optional<int64_t> length;
  if (const std::string* text = head_.Find("Content-Length");
      text != nullptr && !is_stream()) {
    length = ParseNumber(*text);
  }
  if (caller_ != nullptr) {
    caller_->BeginResponse(head_.status, EndToEnd(head_), length);
  }
}

void GatewayCall::OnResponseBody(std::string_view bytes) {
  gateway_.RecordActivity(upstream_.instance);
  if (streaming_) {
    return ForwardEvents(bytes);
  }
  if (forwarding_) {
    // The error response to a resumption is not part of the stream.
    return is_stream() ? void() : Forward(bytes);
  }
  buffered_.append(bytes);
  CountBuffered();
  if (buffered_.size() > kMaxBufferedBytes || gateway_.response_bytes_full()) {
    StartForwarding();
    Forward(std::exchange(buffered_, {}));
    CountBuffered();
  }
}

void GatewayCall::CountBuffered() {
  gateway_.CountResponseBytes(static_cast<int64_t>(buffered_.size()) -
                              static_cast<int64_t>(std::exchange(
                                  counted_response_bytes_, buffered_.size())));
}

void GatewayCall::RecordEventTimes(int64_t events_before) {
  if (events_->events() > events_before) {
    last_event_ms_ = gateway_.loop().now_ms();
    if (first_event_ms_ == 0) {
      first_event_ms_ = last_event_ms_;
    }
  }
}

int64_t GatewayCall::EventUs() const {
  constexpr int64_t kMinEvents = 3;
  constexpr int64_t kUsPerMs = 1'000;
  if (!events_ || events_->events() < kMinEvents || slow_caller_ ||
      sends_ > 1) {
    return 0;
  }
  return (last_event_ms_ - first_event_ms_) * kUsPerMs /
         (events_->events() - 1);
}

int64_t GatewayCall::UpstreamUs() const {
  constexpr int64_t kUsPerMs = 1'000;
  constexpr int64_t kMaxUs = INT32_MAX;
  if (!events_ || events_->events() == 0 || slow_caller_ || sends_ > 1) {
    return 0;
  }
  return std::clamp<int64_t>((last_event_ms_ - start_ms_ - sent_ms_) * kUsPerMs,
                             0, kMaxUs);
}

void GatewayCall::RecordTimes() {
  constexpr int64_t kUsPerMs = 1'000;
  ObservedTimes& times = gateway_.times();
  if (connection_->exchanges() == 1 && !relay_) {
    times.OnConnected(upstream_.domain, connection_->connect_ms() * kUsPerMs);
  }
  if (sends_ > 1 || load_ >= upstream_.slots || status_ >= kFirstErrorStatus) {
    return;
  }
  const int64_t round_trip_us = times.RoundTripUs(upstream_.domain).value_or(0);
  const int64_t sent_at_ms = start_ms_ + sent_ms_;
  const int64_t served_us =
      (gateway_.loop().now_ms() - sent_at_ms) * kUsPerMs - round_trip_us;
  times.OnServed(service_, is_stream(), served_us);
  if (!is_stream()) {
    gateway_.domain_shares().OnServed(upstream_.instance, served_us);
  }
  // Little load, so that the prompt did not wait for others. The first part is
  // shared by many programs and nearly always cached.
  constexpr int32_t kIdleDivisor = 4;
  if (streaming_ && turn_ && EventUs() > 0 && !info_.prompt.empty() &&
      load_ <= upstream_.slots / kIdleDivisor &&
      cached_.instance != upstream_.instance) {
    const int64_t step_us = EventUs() / std::max(turn_->tokens_per_event, 1);
    times.OnFirstToken(
        service_,
        (first_event_ms_ - sent_at_ms) * kUsPerMs - round_trip_us - step_us,
        info_.prompt_tokens - info_.prompt.front().tokens);
  }
}

void GatewayCall::ForwardEvents(std::string_view bytes) {
  const int64_t events_before = events_->events();
  if (!events_->Feed(bytes)) {
    metrics::Count("ring_upstream_oversized_streams_total");
    return OnExchangeFailed(ExchangeFailure::kMalformed);
  }
  RecordEventTimes(events_before);
  if (!route_->resumable) {
    return Forward(bytes);
  }
  if (events_->resume_mismatch()) {
    return OnExchangeFailed(ExchangeFailure::kMalformed);
  }
  // Only complete events are forwarded: a partial event could not be withdrawn
  // when another attempt resumes the stream.
  partial_event_.append(bytes);
  const size_t whole = partial_event_.size() - events_->partial_bytes();
  if (whole == 0) {
    return;
  }
  if (!forwarding_) {
    StartForwarding();
  }
  Forward(std::string_view(partial_event_).substr(0, whole));
  partial_event_.erase(0, whole);
}

void GatewayCall::Forward(std::string_view bytes) {
  if (caller_ == nullptr) {
    return;
  }
  caller_->WriteBody(bytes);
  if (caller_->unsent_bytes() > kMaxUnsentBytes) {
    slow_caller_ = true;
    connection_->SetReading(false);
  }
}

void GatewayCall::OnCallerDrained() {
  if (connection_) {
    connection_->SetReading(true);
  }
}

void GatewayCall::OnResponseEnd() {
  // A large response is forwarded as it arrives and can no longer be replaced.
  const bool already_forwarded = forwarding_ && !is_stream();
  if (!already_forwarded && (answer_.not_run || answer_.other_instance)) {
    ReleaseConnection(true);
    gateway_.RecordFailure(upstream_, answer_.other_instance
                                          ? Reason::kUpstreamLeaving
                                          : Reason::kUpstreamRefused);
    return RetryOrRefuse(
        {Reason::kUpstreamRefused, RunState::kNotRun,
         "the upstream is full or its address belongs to another instance",
         kRetryAfterMs});
  }
  if (streaming_ && !events_->at_event_boundary()) {
    return OnExchangeFailed(ExchangeFailure::kTruncated);
  }
  RecordRun();
  RecordTimes();
  ReleaseConnection(true);
  if (status_ >= kFirstServerErrorStatus) {
    gateway_.RecordError(upstream_.instance);
  } else {
    gateway_.RecordSuccess(upstream_.instance);
  }
  if (status_ < kFirstErrorStatus) {
    gateway_.RecordAnswered(digest_);
  }
  if (!already_forwarded && status_ >= kFirstServerErrorStatus &&
      may_repeat() && can_send_again()) {
    metrics::CountRetry(Reason::kUpstreamError);
    return SendAgain();
  }
  if (forwarding_ && is_stream() && !streaming_) {
    return AbortForwarding({Reason::kUpstreamError, RunState::kRan,
                            "the upstream did not resume the stream"});
  }
  if (streaming_) {
    gateway_.affinity().Record(info_, upstream_.instance);
  }
  response_done_ = true;
  if (streaming_ && !forwarding_) {
    StartForwarding();
  }
  if (forwarding_) {
    CompleteForwarding();
  } else {
    RespondBuffered();
  }
}

void GatewayCall::CompleteForwarding() {
  if (!turn_ || !route_->keeps_turns) {
    if (caller_ != nullptr) {
      caller_->EndResponse();
    }
    FinishTurn(false, nullptr);
    LogEnd("answered", kAnswered, head_.status);
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
    LogEnd(kept ? "answered" : "turn_not_recorded", kAnswered, head_.status);
    End();
  });
}

void GatewayCall::RespondBuffered() {
  if (caller_ != nullptr) {
    caller_->Respond(head_.status, EndToEnd(head_), buffered_);
  }
  FinishTurn(false, nullptr);
  LogEnd("answered", kAnswered, head_.status);
  End();
}

void GatewayCall::AbortForwarding(const Refusal& refusal) {
  if (caller_ != nullptr) {
    std::exchange(caller_, nullptr)->AbortResponse();
  }
  LogEnd("broken_off", refusal, 0);
  FinishTurn(false, nullptr);
  End();
}

}  // namespace ring
