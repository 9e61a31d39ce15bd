#pragma once

/// Event-driven networking for data paths: one loop thread that owns sockets
/// and timers, TCP connections with bounded buffers, and incremental HTTP/1.1
/// parsing. Everything here belongs to the thread that runs the loop, except
/// where a method says otherwise.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "persimmonring/core.h"
#include "persimmonring/runtime.h"

namespace ring {

/// Receives readiness events of one descriptor.
class IoHandlerI {
 public:
  virtual ~IoHandlerI() = default;
  /// @param events EPOLLIN, EPOLLOUT, EPOLLERR, EPOLLHUP, EPOLLRDHUP
  virtual void OnIo(uint32_t events) = 0;
};

/// Epoll loop with timers. Callbacks run on the loop thread.
class EventLoop final : public TimerServiceI {
 public:
  explicit EventLoop(const ClockI& clock);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  TimerHandle Every(int64_t period_ms, std::function<void()> callback) override;
  TimerHandle After(int64_t delay_ms, std::function<void()> callback) override;
  void Cancel(TimerHandle handle) override;

  /// Watches a descriptor; the handler must outlive the watch.
  void Watch(int fd, uint32_t events, IoHandlerI* handler);
  void Modify(int fd, uint32_t events, IoHandlerI* handler);
  void Unwatch(int fd);
  /// Runs the callback after the current round of events, so that an object
  /// may be destroyed from its own callback.
  void Defer(std::function<void()> callback);
  /// Runs the callback on the loop thread. Thread-safe; never waits.
  void Post(std::function<void()> callback);
  /// Duty: serves events until stopped.
  Status Run(const StopToken& stop);
  /// Ends a blocking wait in Run. Thread-safe.
  void Wake();

  /// @returns steady milliseconds, read once a round
  int64_t now_ms() const { return now_ms_; }
  /// Buffer that connections read into; valid during one callback.
  std::string& scratch() { return scratch_; }

 private:
  struct Timer {
    int64_t due_ms = 0;
    int64_t period_ms = 0;  // 0: single call
    std::function<void()> callback;
  };
  TimerHandle Add(int64_t delay_ms,
                  int64_t period_ms,
                  std::function<void()> callback);
  int64_t RunTimers();
  void RunPosted();
  void RunDeferred();
  void UpdateClock() { now_ms_ = clock_.NowMs(); }

  const ClockI& clock_;
  const int epoll_fd_;
  const int event_fd_;
  int64_t now_ms_ = 0;
  std::string scratch_;
  std::unordered_map<uint64_t, Timer> timers_;
  std::set<std::pair<int64_t, uint64_t>> due_;
  uint64_t next_timer_ = 1;
  std::unordered_map<int, IoHandlerI*> handlers_;
  std::vector<std::function<void()>> deferred_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
};

/// Cancels its timer when it is destroyed or set again.
class ScopedTimer {
 public:
  explicit ScopedTimer(EventLoop& loop) : loop_(loop) {}
  ~ScopedTimer() { Stop(); }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

  void Start(int64_t delay_ms, std::function<void()> callback);
  void Stop();
  bool active() const { return isValid(handle_); }

 private:
  EventLoop& loop_;
  TimerHandle handle_;
};

/// How a connection ended.
enum class CloseKind : uint8_t {
  kEof,      ///< The peer closed in order.
  kReset,    ///< Reset, or no acknowledgement in time.
  kRefused,  ///< The connection was never established.
};

/// Receives the events of a connection.
class ConnectionListenerI {
 public:
  virtual ~ConnectionListenerI() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  /// All bytes that were written have been taken over by the kernel.
  virtual void OnDrained() {}
  /// The connection is closed; no further event follows.
  virtual void OnClosed(CloseKind kind) = 0;
};

/// Non-blocking TCP connection. Close() or destruction ends it without a
/// further event.
class TcpConnection final : public IoHandlerI {
 public:
  struct Init {
    /// Unacknowledged data closes the connection after this time.
    int64_t user_timeout_ms = 5'000;
  };

  /// Takes over an accepted socket.
  TcpConnection(EventLoop& loop, const Init& init, int fd);
  /// Starts to connect.
  /// @returns null if no socket can be opened
  static std::unique_ptr<TcpConnection> Connect(EventLoop& loop,
                                                const Init& init,
                                                const Endpoint& endpoint);
  ~TcpConnection() override;
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetListener(ConnectionListenerI* listener) { listener_ = listener; }
  /// Writes or buffers; never waits.
  void Write(std::string_view bytes);
  /// Stops or continues reading, for back-pressure.
  void SetReading(bool on);
  /// Closes now; bytes that are not written are lost.
  void Close();
  /// Closes with a reset, so that the peer cannot take the end for a complete
  /// message.
  void Abort();
  /// Closes once everything is written.
  void CloseAfterWrite();

  bool connected() const { return connected_; }
  bool closed() const { return fd_ < 0; }
  size_t unsent_bytes() const { return out_.size() - out_offset_; }

  void OnIo(uint32_t events) override;

 private:
  TcpConnection(EventLoop& loop, const Init& init, int fd, bool connected);
  void Prepare(const Init& init) const;
  void ReadSome();
  void Flush();
  void UpdateInterest();
  void End(CloseKind kind);

  EventLoop& loop_;
  ConnectionListenerI* listener_ = nullptr;
  int fd_ = -1;
  bool connected_ = false;
  bool reading_ = true;
  bool close_after_write_ = false;
  uint32_t interest_ = 0;
  std::string out_;
  size_t out_offset_ = 0;
};

/// Accepts connections.
class TcpListener final : public IoHandlerI {
 public:
  using Accepted = std::function<void(int fd)>;
  /// @returns storage_failed if the port is in use
  static Outcome<std::unique_ptr<TcpListener>> Create(EventLoop& loop,
                                                      const Endpoint& endpoint,
                                                      Accepted accepted);
  ~TcpListener() override;
  void OnIo(uint32_t events) override;
  void Close();

 private:
  TcpListener(EventLoop& loop, int fd, Accepted accepted);
  EventLoop& loop_;
  int fd_;
  Accepted accepted_;
};

// ------------------------------------------------------------------------ HTTP

struct HttpHeader {
  std::string name;
  std::string value;

  auto operator<=>(const HttpHeader&) const = default;
};

/// Start line and headers of a message.
struct HttpHead {
  std::string method;  ///< Requests only.
  std::string target;  ///< Requests only: path with query.
  int status = 0;      ///< Responses only.
  std::vector<HttpHeader> headers;
  bool keep_alive = true;
  /// The body ends with the connection; responses only.
  bool until_close = false;

  /// @returns the first value of a header, compared without case; null if
  ///          absent
  const std::string* Find(std::string_view name) const;
  auto operator<=>(const HttpHead&) const = default;
};

bool EqualsIgnoreCase(std::string_view a, std::string_view b);
/// @returns true if a text may be a header name
bool IsToken(std::string_view text);
/// @returns true for headers that concern one connection only
bool IsHopByHop(std::string_view name);
/// @returns the number if the whole text is a decimal number that fits
std::optional<int64_t> ParseNumber(std::string_view text);
const char* StatusText(int status);

/// Receives the parts of a message.
class HttpListenerI {
 public:
  virtual ~HttpListenerI() = default;
  virtual void OnHead(HttpHead head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnMessageEnd() = 0;
};

/// Incremental parser of one direction of a connection. It stops after each
/// message, so that the owner decides when the next one begins. Ambiguous
/// framing (both a length and chunks, differing lengths) is an error.
class HttpParser {
 public:
  enum class Kind : uint8_t { kRequest, kResponse };
  enum class State : uint8_t { kMore, kMessageEnd, kError };
  struct Result {
    State state = State::kMore;
    size_t consumed = 0;
  };

  HttpParser(Kind kind, HttpListenerI& listener, size_t max_header_bytes);
  ~HttpParser();
  HttpParser(const HttpParser&) = delete;
  HttpParser& operator=(const HttpParser&) = delete;

  Result Feed(std::string_view bytes);
  /// The connection ended in order.
  /// @returns kMessageEnd if that ends the message, kError if it is cut off
  Result FeedEof();
  /// Prepares for the next message.
  /// @param head_request the response to come has no body
  void Reset(bool head_request = false);
  /// @returns true if bytes of a message have been seen
  bool started() const;
  bool headers_too_large() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// ----------------------------------------------------------------- HTTP server

struct HttpRequest {
  HttpHead head;
  std::string body;
};

/// Bounds on what a peer may send.
struct HttpServerLimits {
  size_t max_header_bytes = 16u << 10;
  size_t max_body_bytes = 4u << 20;
  /// Bodies of all requests under way together; more are refused with 503.
  size_t max_buffered_bytes = 64u << 20;
  int64_t header_timeout_ms =
      3'000;                         ///< From the first byte to the body's end.
  int64_t idle_timeout_ms = 15'000;  ///< Between requests.
  int64_t user_timeout_ms = 5'000;   ///< Unacknowledged data.

  auto operator<=>(const HttpServerLimits&) const = default;
};

class HttpServerConnection;

/// Handles the requests of a server. A connection has one request at a time.
class HttpServerHandlerI {
 public:
  virtual ~HttpServerHandlerI() = default;
  /// A whole request has arrived; answer now or later.
  virtual void OnRequest(HttpServerConnection& connection,
                         HttpRequest request) = 0;
  /// The peer is gone while its request was under way. The connection is
  /// invalid after this call.
  virtual void OnPeerGone(HttpServerConnection& connection) = 0;
  /// Everything written so far has left; see unsent_bytes().
  virtual void OnDrained(HttpServerConnection& /*connection*/) {}
};

class HttpServer;

/// Server side of one connection.
class HttpServerConnection final : public ConnectionListenerI,
                                   public HttpListenerI {
 public:
  HttpServerConnection(HttpServer& server, EventLoop& loop, int fd);
  ~HttpServerConnection() override;

  /// Sends a whole response and ends the exchange.
  void Respond(int status,
               const std::vector<HttpHeader>& headers,
               std::string_view body);
  /// Starts a response whose body follows in pieces.
  /// @param length of the body; nullopt: chunked
  void BeginResponse(int status,
                     const std::vector<HttpHeader>& headers,
                     std::optional<int64_t> length);
  void WriteBody(std::string_view bytes);
  void EndResponse();
  /// Breaks the connection off, so that the response cannot look complete.
  void AbortResponse();
  size_t unsent_bytes() const { return connection_.unsent_bytes(); }
  /// The current request was the last one on this connection.
  void CloseAfterResponse() { keep_alive_ = false; }
  bool busy() const { return busy_; }

  // ConnectionListenerI
  void OnBytes(std::string_view bytes) override;
  void OnDrained() override;
  void OnClosed(CloseKind kind) override;
  // HttpListenerI
  void OnHead(HttpHead head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

 private:
  friend class HttpServer;
  void Consume();
  void RefuseInput(int status);
  void ReleaseBody();
  void WriteHead(int status,
                 const std::vector<HttpHeader>& headers,
                 std::optional<int64_t> length);
  void FinishExchange();
  void StartTimer();
  void Destroy();

  HttpServer& server_;
  EventLoop& loop_;
  TcpConnection connection_;
  HttpParser parser_;
  ScopedTimer timer_;
  HttpRequest request_;
  std::string input_;  ///< Received, not parsed yet.
  const int64_t accepted_ms_;
  bool used_ = false;  ///< A request has been read.
  bool busy_ = false;  ///< A whole request has arrived and is not answered.
  bool complete_ = false;
  bool consuming_ = false;
  bool keep_alive_ = true;
  bool chunked_ = false;
  bool too_large_ = false;
  bool overloaded_ = false;
  size_t counted_bytes_ = 0;  ///< Of the body, counted by the server.
  bool destroyed_ = false;
};

/// Accepts connections and owns them.
class HttpServer {
 public:
  /// @returns storage_failed if the port is in use
  static Outcome<std::unique_ptr<HttpServer>> Create(
      EventLoop& loop,
      const Endpoint& endpoint,
      HttpServerHandlerI& handler);
  ~HttpServer();

  void SetLimits(const HttpServerLimits& limits) { limits_ = limits; }
  const HttpServerLimits& limits() const { return limits_; }
  /// Responses from now on end their connections.
  void StopKeepAlive() { keep_alive_ = false; }
  /// Takes in the connections that are waiting and accepts no more.
  void StopListening();
  /// Closes connections without a request under way, but for new ones whose
  /// first request is still on its way.
  void CloseIdle();
  size_t busy_connections() const;
  size_t connections() const { return connections_.size(); }

 private:
  friend class HttpServerConnection;
  HttpServer(EventLoop& loop, HttpServerHandlerI& handler)
      : loop_(loop), handler_(handler) {}
  void Adopt(int fd);
  void Remove(HttpServerConnection* connection);

  EventLoop& loop_;
  HttpServerHandlerI& handler_;
  HttpServerLimits limits_;
  bool keep_alive_ = true;
  size_t buffered_bytes_ = 0;
  std::unique_ptr<TcpListener> listener_;
  std::unordered_map<HttpServerConnection*,
                     std::unique_ptr<HttpServerConnection>>
      connections_;
};

// ----------------------------------------------------------------- HTTP client

/// How an exchange with a server failed.
enum class ExchangeFailure : uint8_t {
  kNotConnected,  ///< Nothing of the request has left.
  kNoResponse,    ///< The connection ended before a response began.
  kTruncated,     ///< The response was cut off.
  kMalformed,     ///< The bytes are no response.
};

/// Receives a response.
class HttpExchangeListenerI {
 public:
  virtual ~HttpExchangeListenerI() = default;
  /// @returns false to skip this response, which belongs to another request
  virtual bool OnResponseHead(HttpHead head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnExchangeFailed(ExchangeFailure failure) = 0;
};

/// Client side of one connection: one request at a time.
class HttpClientConnection final : public ConnectionListenerI,
                                   public HttpListenerI {
 public:
  /// @returns null if no socket can be opened
  static std::unique_ptr<HttpClientConnection> Connect(
      EventLoop& loop,
      const TcpConnection::Init& init,
      const Endpoint& endpoint);

  /// Sends a request. Between requests there must be no listener.
  void Start(HttpExchangeListenerI* listener,
             std::string_view head,
             std::string_view body);
  /// Stops or continues reading the response.
  void SetReading(bool on) { connection_->SetReading(on); }
  /// Ends the exchange without a further event and closes the connection.
  void Cancel();
  bool connected() const { return connection_->connected(); }
  /// @returns true if another request may be sent after the response
  bool reusable() const;
  /// Time that the server keeps the idle connection, 0 if it has not said so.
  int64_t keep_alive_ms() const { return keep_alive_ms_; }
  uint64_t exchanges() const { return exchanges_; }
  /// Called when an idle connection can no longer be used.
  void OnUnusable(std::function<void()> callback) {
    unusable_ = std::move(callback);
  }

  void OnConnected() override {}
  void OnBytes(std::string_view bytes) override;
  void OnClosed(CloseKind kind) override;
  void OnHead(HttpHead head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

 private:
  explicit HttpClientConnection(std::unique_ptr<TcpConnection> connection);
  void Fail(ExchangeFailure failure);
  void EndExchange();

  std::unique_ptr<TcpConnection> connection_;
  HttpParser parser_;
  HttpExchangeListenerI* listener_ = nullptr;
  std::function<void()> unusable_;
  bool skipping_ = false;
  int32_t interim_responses_ = 0;
  size_t skipped_bytes_ = 0;
  bool response_started_ = false;
  bool ended_ = false;
  bool server_keeps_ = true;
  bool broken_ = false;
  int64_t keep_alive_ms_ = 0;
  uint64_t exchanges_ = 0;
};

}  // namespace ring
