#include "upstream_http_p.h"

#include <algorithm>
#include <chrono>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ring::upstream {
namespace {

// Gives up after two lost SYN packets, sent at 0 s and 1 s. A longer wait is of
// no use to the call.
constexpr int64_t kConnectTimeoutMs = 2'000;
// Upper bound of single reads and writes. Exchange::Check enforces the actual
// deadline.
constexpr int64_t kIoTimeoutMs = 600'000;
constexpr auto kCheckPeriod = std::chrono::milliseconds(10);

Refusal RefusalWithUnknownRun(Reason reason, const std::string& message) {
  return {reason, RunState::kUnknown, message};
}

bool HasControlBytes(const std::string& text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
  });
}

// True if the values contain no bytes that could inject a header.
bool HasSafeHeaders(const HttpRequest& request) {
  return !HasControlBytes(request.path) &&
         !HasControlBytes(request.content_type) &&
         std::none_of(
             request.headers.begin(), request.headers.end(),
             [](const auto& header) { return HasControlBytes(header.second); });
}

void ConfigureClient(httplib::Client& client,
                     Exchange& exchange,
                     int64_t timeout_ms) {
  const auto ms = [](int64_t value) {
    return std::chrono::milliseconds(value);
  };
  client.set_tcp_nodelay(true);
  client.set_keep_alive(false);
  client.set_follow_location(false);
  client.set_decompress(false);
  client.set_connection_timeout(ms(std::min(kConnectTimeoutMs, timeout_ms)));
  client.set_read_timeout(ms(kIoTimeoutMs));
  client.set_write_timeout(ms(kIoTimeoutMs));
  client.set_socket_options([&exchange](int fd) { exchange.Attach(fd); });
}

httplib::Request MakeRequest(const HttpRequest& request,
                             HttpResponse& response,
                             const BodySink& sink,
                             bool& too_long) {
  httplib::Request http;
  http.method = request.method;
  http.path = request.path;
  http.body = request.body;
  if (!request.body.empty()) {
    http.headers.emplace("Content-Type", request.content_type);
  }
  for (const auto& [name, value] : request.headers) {
    http.headers.emplace(name, value);
  }
  http.response_handler = [&response](const httplib::Response& answer) {
    response.has_headers = true;
    response.status = answer.status;
    response.content_type = answer.get_header_value("Content-Type");
    return true;
  };
  http.content_receiver = [&response, &sink, &too_long](
                              const char* data, size_t size,
                              uint64_t /*offset*/, uint64_t /*total*/) {
    constexpr int kOk = 200;
    if (sink && response.status == kOk) {
      return sink(std::string_view(data, size));
    }
    too_long = response.body.size() + size > kMaxResponseBytes;
    if (!too_long) {
      response.body.append(data, size);
    }
    return !too_long;
  };
  return http;
}

bool IsConnectError(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

// Refusal for a failure that was not caused by Exchange::Check.
Refusal TransportRefusal(httplib::Error error, const HttpResponse& response) {
  if (IsConnectError(error)) {
    return {Reason::kUpstreamRefused, RunState::kNotRun,
            "the connection could not be established"};
  }
  return response.has_headers
             ? RefusalWithUnknownRun(
                   Reason::kUpstreamTruncated,
                   "the connection was lost during the response body")
             : RefusalWithUnknownRun(
                   Reason::kUpstreamReset,
                   "the connection was lost before the response headers");
}

}  // namespace

Exchange::~Exchange() {
  for (const int fd : fds_) {
    close(fd);
  }
}

void Exchange::Attach(int fd) {
  const int copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
  std::lock_guard lock(mutex_);
  if (copy >= 0) {
    fds_.push_back(copy);
  }
}

void Exchange::Check(int64_t now_ms) {
  Reason reason = Reason::kNone;
  if (cancel.cancelled()) {
    reason = Reason::kCancelled;
  } else if (now_ms >= deadline_ms_.load()) {
    reason = Reason::kUpstreamTimeout;
  }
  if (reason == Reason::kNone) {
    return;
  }
  Reason none = Reason::kNone;
  ended_.compare_exchange_strong(none, reason);
  // Repeated on each check, because a socket may be attached after the exchange
  // has ended.
  std::lock_guard lock(mutex_);
  for (const int fd : fds_) {
    shutdown(fd, SHUT_RDWR);
  }
}

ExchangeWatchdog::ExchangeWatchdog() : thread_([this] { Run(); }) {}

ExchangeWatchdog::~ExchangeWatchdog() {
  {
    std::lock_guard lock(mutex_);
    stop_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void ExchangeWatchdog::Add(Exchange* exchange) {
  {
    std::lock_guard lock(mutex_);
    exchanges_.push_back(exchange);
  }
  changed_.notify_all();
}

void ExchangeWatchdog::Remove(Exchange* exchange) {
  std::lock_guard lock(mutex_);
  std::erase(exchanges_, exchange);
}

void ExchangeWatchdog::Run() {
  std::unique_lock lock(mutex_);
  while (!stop_) {
    changed_.wait(lock, [this] { return stop_ || !exchanges_.empty(); });
    const int64_t now = SystemClock().NowMs();
    for (auto* exchange : exchanges_) {
      exchange->Check(now);
    }
    changed_.wait_for(lock, kCheckPeriod, [this] { return stop_; });
  }
}

Status HttpSender::Send(const HttpRequest& request,
                        Exchange& exchange,
                        HttpResponse& response,
                        const BodySink& sink) {
  if (!IsValid(request.address) || !HasSafeHeaders(request)) {
    return Refusal{
        Reason::kBadRequest, RunState::kNotRun,
        "the address is invalid, or the path or a header contains control "
        "bytes"};
  }
  if (exchange.cancel.cancelled()) {
    return Refusal{Reason::kCancelled, RunState::kNotRun, "cancelled"};
  }
  httplib::Client client(request.address.ip, request.address.port);
  ConfigureClient(client, exchange, request.timeout_ms);
  bool too_long = false;
  httplib::Request http = MakeRequest(request, response, sink, too_long);
  httplib::Response answer;
  httplib::Error error = httplib::Error::Success;
  exchange.SetDeadline(SystemClock().NowMs() + request.timeout_ms);
  watchdog_.Add(&exchange);
  const bool sent = client.send(http, answer, error);
  watchdog_.Remove(&exchange);
  // Checked first, because a body without a length looks complete after Check
  // has shut the connection down.
  if (exchange.ended() != Reason::kNone) {
    return Refusal{
        exchange.ended(),
        IsConnectError(error) ? RunState::kNotRun : RunState::kUnknown,
        "cancelled or timed out"};
  }
  if (sent) {
    return Done{};
  }
  if (too_long) {
    return RefusalWithUnknownRun(Reason::kUpstreamError,
                                 "the response body is too long");
  }
  return TransportRefusal(error, response);
}

Refusal RefusalFromResponse(const HttpResponse& response) {
  const auto body = IsNestedTooDeep(response.body)
                        ? nlohmann::json()
                        : nlohmann::json::parse(response.body, nullptr, false);
  const auto error = body.is_object() && body.contains("error")
                         ? body["error"]
                         : nlohmann::json();
  const auto text = [&error](const char* key) {
    const auto it = error.is_object() ? error.find(key) : error.end();
    return error.is_object() && it != error.end() && it->is_string()
               ? it->get<std::string>()
               : std::string();
  };
  const std::string message =
      "HTTP status " + std::to_string(response.status) + " " + text("reason");
  if (text("run_state") == "not_run") {
    const bool stale = text("reason") == ToString(Reason::kStaleFence);
    return {stale ? Reason::kStaleFence : Reason::kUpstreamRefused,
            RunState::kNotRun, message};
  }
  return RefusalWithUnknownRun(Reason::kUpstreamError, message);
}

}  // namespace ring::upstream
