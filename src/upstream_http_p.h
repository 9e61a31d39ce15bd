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

// One HTTP exchange that another thread can end.
class Exchange {
 public:
  explicit Exchange(CancelToken token) : cancel(std::move(token)) {}
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Keeps a duplicate of the socket, which stays valid when the HTTP client
  // closes its own descriptor.
  void Attach(int fd);
  // Moves the deadline; monotonic milliseconds.
  void SetDeadline(int64_t at_ms) { deadline_ms_.store(at_ms); }
  // Shuts the connection down if it is cancelled or past its deadline.
  void Check(int64_t now_ms);
  // kNone, or why Check ended the exchange.
  Reason ended() const { return ended_.load(); }

  const CancelToken cancel;

 private:
  std::mutex mutex_;
  std::vector<int> fds_;
  std::atomic<int64_t> deadline_ms_{0};
  std::atomic<Reason> ended_{Reason::kNone};
};

// Checks all exchanges under way, on one thread.
class ExchangeWatch {
 public:
  ExchangeWatch();
  ~ExchangeWatch();
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

// Takes a part of a successful body; returns false to end the exchange.
using BodySink = std::function<bool(std::string_view part)>;

// Sends HTTP requests, each on a connection of its own. A kept connection
// would save one round trip, but a peer that closes it while a request is on
// its way makes the run state of that request unknown.
class HttpSender {
 public:
  // Without `sink`, the body is collected. A body of another status than 200 is
  // always collected.
  // Returns upstream_refused (not_run) if no connection was made, else
  // upstream_reset, upstream_truncated (after the headers), upstream_timeout,
  // upstream_error (too long), cancelled, with run state unknown.
  Status Send(const HttpRequest& request,
              Exchange& exchange,
              HttpResponse& response,
              const BodySink& sink = {});

 private:
  ExchangeWatch watch_;
};

// Refusal for an error answer: upstream_refused and not_run if the body says
// that the request did not run, else upstream_error and unknown.
Refusal RefusalOf(const HttpResponse& response);

}  // namespace ring::upstream
