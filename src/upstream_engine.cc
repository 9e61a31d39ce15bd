#include <nlohmann/json.hpp>

#include "upstream_completion_p.h"
#include "upstream_http_p.h"
#include "upstream_sse_p.h"

namespace ring {
namespace {

using upstream::Completion;
using upstream::Exchange;
using upstream::HttpRequest;
using upstream::HttpResponse;

constexpr int kOk = 200;

// Runs one attempt: reads the stream, enforces the timeouts and builds the
// result.
class Attempt {
 public:
  Attempt(const EngineRequest& request,
          const TextSink& sink,
          const CancelToken& cancel)
      : request_(request), exchange_(cancel), completion_(request, sink) {}

  Outcome<EngineResult> Run(upstream::HttpSender& sender,
                            const HttpRequest& http) {
    start_ms_ = SystemClock().NowMs();
    const Status status =
        sender.Send(http, exchange_, response_,
                    [this](std::string_view part) { return OnBytes(part); });
    if (completion_.ended()) {
      EngineResult result = completion_.result();
      result.first_token_ms = first_token_ms_;
      result.total_ms = SystemClock().NowMs() - start_ms_;
      return result;
    }
    return IncompleteRefusal(status);
  }

 private:
  bool OnBytes(std::string_view part) {
    const bool more = parser_.Feed(
        part, [this](std::string_view data) { return OnEvent(data); });
    return more && !exchange_.cancel.cancelled();
  }

  bool OnEvent(std::string_view data) {
    const bool first = !completion_.has_events();
    const auto event_result = completion_.OnEvent(data);
    if (event_result == Completion::EventResult::kProgress) {
      const int64_t now = SystemClock().NowMs();
      if (first) {
        first_token_ms_ = now - start_ms_;
      }
      exchange_.SetDeadline(now + request_.token_gap_timeout_ms);
    }
    return event_result != Completion::EventResult::kFailed &&
           !completion_.ended();
  }

  Refusal IncompleteRefusal(const Status& status) const {
    const auto unknown = [](Reason reason, const std::string& message) {
      return Refusal{reason, RunState::kUnknown, message};
    };
    if (!completion_.error().empty()) {
      return unknown(Reason::kUpstreamError, completion_.error());
    }
    if (parser_.too_long()) {
      return unknown(Reason::kUpstreamError, "the stream event is too long");
    }
    if (exchange_.cancel.cancelled()) {
      const bool sent =
          status.ok() || status.refusal().run_state != RunState::kNotRun;
      return {Reason::kCancelled, sent ? RunState::kUnknown : RunState::kNotRun,
              "cancelled"};
    }
    if (!status.ok()) {
      // A stream has no length, so an early end means a lost connection.
      return status.refusal().reason == Reason::kUpstreamTruncated
                 ? unknown(Reason::kUpstreamReset,
                           "the connection was lost during the stream")
                 : status.refusal();
    }
    if (response_.status != kOk) {
      return upstream::RefusalFromResponse(response_);
    }
    return unknown(Reason::kUpstreamTruncated,
                   "the stream ended without an end marker");
  }

  const EngineRequest& request_;
  Exchange exchange_;
  Completion completion_;
  upstream::SseParser parser_;
  HttpResponse response_;
  int64_t start_ms_ = 0;
  int64_t first_token_ms_ = 0;
};

// Returns the request body, or nullopt if `messages` is not a JSON list or
// `extra` is not a JSON object.
std::optional<std::string> MakeRequestBody(const EngineRequest& request) {
  auto body = request.extra.empty()
                  ? nlohmann::json::object()
                  : nlohmann::json::parse(request.extra, nullptr, false);
  auto messages = nlohmann::json::parse(request.messages, nullptr, false);
  if (!body.is_object() || !messages.is_array()) {
    return std::nullopt;
  }
  body["model"] = request.model;
  body["messages"] = std::move(messages);
  body["max_tokens"] = request.max_tokens;
  body["stream"] = true;
  body["ring_attempt"] = request.attempt;
  if (!request.cache_key.empty()) {
    body["cache_key"] = request.cache_key;
  }
  if (request.resume_from > 0) {
    body["resume_from"] = request.resume_from;
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

class HttpEngineClient final : public EngineClientI {
 public:
  Outcome<EngineResult> Complete(const UpstreamRecord& upstream,
                                 const EngineRequest& request,
                                 const TextSink& sink,
                                 const CancelToken& cancel) override {
    auto body = MakeRequestBody(request);
    if (!body) {
      return Refusal{Reason::kBadRequest, RunState::kNotRun,
                     "messages is not a JSON list, or extra is not a JSON "
                     "object"};
    }
    return Attempt(request, sink, cancel)
        .Run(sender_, {.address = upstream.address,
                       .path = "/v1/chat/completions",
                       .body = std::move(*body),
                       .timeout_ms = request.first_token_timeout_ms});
  }

  Status Cancel(const UpstreamRecord& upstream,
                const std::string& attempt) override {
    return Post(upstream, "/v1/cancel", {{"ring_attempt", attempt}});
  }

  Status ReleaseCache(const UpstreamRecord& upstream,
                      const std::string& cache_key) override {
    return Post(upstream, "/v1/cache/release", {{"cache_key", cache_key}});
  }

  Status MoveCache(const UpstreamRecord& from,
                   const UpstreamRecord& to,
                   const std::string& cache_key) override {
    const Status moved =
        Post(to, "/v1/cache/import",
             {{"cache_key", cache_key}, {"source", from.address.ToString()}},
             kTransferTimeoutMs);
    return moved.ok() ? ReleaseCache(from, cache_key) : moved;
  }

  Status Order(const UpstreamRecord& upstream,
               const UpstreamOrder& order) override {
    return Post(upstream, "/v1/orders",
                {{"fence", order.fence},
                 {"action", order.action},
                 {"model", order.model},
                 {"version", order.version},
                 {"adapter", order.adapter},
                 {"role", order.role}},
                kTransferTimeoutMs);
  }

  Outcome<std::string> ReadState(const UpstreamRecord& upstream) override {
    return Get(upstream, "/v1/state");
  }

  Outcome<std::vector<CacheEvent>> CacheEvents(const UpstreamRecord& upstream,
                                               uint64_t since) override;

 private:
  static constexpr int64_t kControlTimeoutMs = 5'000;
  // For loading model weights and importing cached prefixes.
  static constexpr int64_t kTransferTimeoutMs = 60'000;

  Outcome<std::string> Run(const HttpRequest& request) {
    Exchange exchange{CancelToken()};
    HttpResponse response;
    const Status status = sender_.Send(request, exchange, response);
    if (!status.ok()) {
      return status.refusal();
    }
    constexpr int kFirstError = 300;
    if (response.status < kOk || response.status >= kFirstError) {
      return upstream::RefusalFromResponse(response);
    }
    return std::move(response.body);
  }

  Status Post(const UpstreamRecord& upstream,
              const std::string& path,
              const nlohmann::json& body,
              int64_t timeout_ms = kControlTimeoutMs) {
    const auto answer = Run({.address = upstream.address,
                             .path = path,
                             .body = body.dump(),
                             .timeout_ms = timeout_ms});
    return answer.ok() ? Status(Done{}) : Status(answer.refusal());
  }

  Outcome<std::string> Get(const UpstreamRecord& upstream,
                           const std::string& path) {
    return Run({.address = upstream.address,
                .method = "GET",
                .path = path,
                .timeout_ms = kControlTimeoutMs});
  }

  upstream::HttpSender sender_;
};

Outcome<std::vector<CacheEvent>> HttpEngineClient::CacheEvents(
    const UpstreamRecord& upstream,
    uint64_t since) {
  const auto answer =
      Get(upstream, "/v1/cache/events?since=" + std::to_string(since));
  if (!answer) {
    return answer.refusal();
  }
  const Refusal malformed{Reason::kUpstreamError, RunState::kRan,
                          "the response with cache events is malformed"};
  if (IsNestedTooDeep(*answer)) {
    return malformed;
  }
  const auto body = nlohmann::json::parse(*answer, nullptr, false);
  if (!body.is_object() || !body.contains("events") ||
      !body["events"].is_array()) {
    return malformed;
  }
  std::vector<CacheEvent> events;
  for (const auto& item : body["events"]) {
    if (!item.is_object() || !item.contains("number") ||
        !item["number"].is_number_unsigned() || !item.contains("cache_key") ||
        !item["cache_key"].is_string() || !item.contains("tokens") ||
        !item["tokens"].is_number_integer()) {
      return malformed;
    }
    events.push_back({.number = item["number"].get<uint64_t>(),
                      .cache_key = item["cache_key"].get<std::string>(),
                      .tokens = item["tokens"].get<int64_t>()});
  }
  return events;
}

}  // namespace

std::unique_ptr<EngineClientI> CreateHttpEngineClient() {
  return std::make_unique<HttpEngineClient>();
}

}  // namespace ring
