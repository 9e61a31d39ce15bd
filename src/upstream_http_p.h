#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "persimmonring/upstream.h"

namespace ring::upstream {

constexpr size_t kMaxResponseBytes = 8u << 20;

// One HTTP request and its response. Another thread can end it early.
class Exchange {
 public:
  explicit Exchange(CancelToken token) : cancel(std::move(token)) {}
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Keeps a duplicate of the socket descriptor, so that Check never shuts down
  // a descriptor that the HTTP client has closed.
  void Attach(int fd);
  // Replaces the deadline, in monotonic milliseconds.
  void SetDeadline(int64_t at_ms) { deadline_ms_.store(at_ms); }
  // Shuts the connection down if the exchange is cancelled or past its
  // deadline.
  void Check(int64_t now_ms);
  // The reason why Check ended the exchange, or kNone.
  Reason ended() const { return ended_.load(); }

  const CancelToken cancel;

 private:
  std::mutex mutex_;
  std::vector<int> fds_;
  std::atomic<int64_t> deadline_ms_{0};
  std::atomic<Reason> ended_{Reason::kNone};
};

// Calls Check on all running exchanges periodically, from a thread of its own.
class ExchangeWatchdog {
 public:
  ExchangeWatchdog();
  ~ExchangeWatchdog();
  void Add(Exchange* exchange);
  void Remove(Exchange* exchange);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Exchange*> exchanges_;
  bool stop_ = false;
  std::thread thread_;
};

struct HttpRequest {
  Endpoint address;
  std::string method = "POST";
  std::string path;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  int64_t timeout_ms = 5'000;
};

struct HttpResponse {
  bool has_headers = false;
  int status = 0;
  std::string content_type;
  std::string body;
};

// Receives parts of the body of a response with status 200. Returns false to
// end the exchange.
using BodySink = std::function<bool(std::string_view part)>;

// Sends HTTP requests, each on a new connection. A kept-alive connection would
// save a round trip, but if the peer closes it while a request is being sent,
// it is unknown whether the request ran.
class HttpSender {
 public:
  // Passes the body of a response with status 200 to `sink`. Any other body,
  // and every body without a sink, is stored in `response`. Returns with run
  // state not_run: bad_request, cancelled before the request, upstream_refused
  // if no connection was made, cancelled or upstream_timeout while connecting.
  // Returns with run state unknown: upstream_reset, upstream_truncated (after
  // the headers), upstream_timeout, upstream_error (body too long), cancelled.
  Status Send(const HttpRequest& request,
              Exchange& exchange,
              HttpResponse& response,
              const BodySink& sink = {});

 private:
  ExchangeWatchdog watchdog_;
};

// Refusal for an error response. If the body says that the request did not run:
// stale_fence or else upstream_refused, with run state not_run. Otherwise
// upstream_error with run state unknown.
Refusal RefusalFromResponse(const HttpResponse& response);

}  // namespace ring::upstream
