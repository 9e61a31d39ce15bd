#pragma once

/// Event-driven networking: an epoll loop with timers, non-blocking TCP
/// connections, and HTTP/1.1 parser, server and client. Objects may only be
/// used on the thread that runs their loop, except for methods documented as
/// thread-safe.

#include <cerrno>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
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

/// Receives the readiness events of a file descriptor.
class IoHandlerI {
 public:
  virtual ~IoHandlerI() = default;
  /// @param events mask of EPOLLIN, EPOLLOUT, EPOLLERR, EPOLLHUP, EPOLLRDHUP
  virtual void OnIo(uint32_t events) = 0;
};

/// Epoll loop with timers. All callbacks run on the thread that calls Run().
class EventLoop final : public TimerServiceI {
 public:
  explicit EventLoop(const ClockI& clock);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  TimerHandle Every(int64_t period_ms, std::function<void()> callback) override;
  TimerHandle After(int64_t delay_ms, std::function<void()> callback) override;
  void Cancel(TimerHandle handle) override;

  /// Registers a descriptor; the handler must stay valid until Unwatch().
  /// @param events epoll event mask
  void Watch(int fd, uint32_t events, IoHandlerI* handler);
  void Modify(int fd, uint32_t events, IoHandlerI* handler);
  void Unwatch(int fd);
  /// Runs the callback after the current batch of events, so that an object
  /// can arrange its own destruction from one of its callbacks.
  void Defer(std::function<void()> callback);
  /// Runs the callback on the loop thread. Thread-safe and non-blocking.
  void Post(std::function<void()> callback);
  /// Supervised worker: dispatches events until stopped.
  Status Run(const StopToken& stop);
  /// Interrupts a blocking wait in Run(). Thread-safe.
  void Wake();

  /// @returns monotonic milliseconds, cached before and after each wait
  int64_t now_ms() const { return now_ms_; }
  /// Receive buffer shared by all connections of the loop. Its contents are
  /// valid during a single callback only.
  std::string& scratch() { return scratch_; }

 private:
  struct Timer {
    int64_t due_ms = 0;
    int64_t period_ms = 0;  // 0: one-shot timer.
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
  std::set<std::pair<int64_t, uint64_t>> due_timers_;
  uint64_t next_timer_ = 1;
  std::unordered_map<int, IoHandlerI*> handlers_;
  std::vector<std::function<void()>> deferred_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;
};

/// One-shot timer that is cancelled when it is destroyed or restarted.
class ScopedTimer {
 public:
  explicit ScopedTimer(EventLoop& loop) : loop_(loop) {}
  ~ScopedTimer() { Stop(); }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

  void Start(int64_t delay_ms, std::function<void()> callback);
  void Stop();
  bool active() const { return IsValid(handle_); }

 private:
  EventLoop& loop_;
  TimerHandle handle_;
};

/// How a connection ended.
enum class CloseKind : uint8_t {
  kEof,      ///< The peer closed the connection in an orderly way.
  kReset,    ///< Reset, or sent data was not acknowledged in time.
  kRefused,  ///< The connection could not be established.
};

/// Receives the events of a TCP connection.
class ConnectionListenerI {
 public:
  virtual ~ConnectionListenerI() = default;
  virtual void OnConnected() {}
  virtual void OnBytes(std::string_view bytes) = 0;
  /// The write buffer is empty: the kernel has accepted all bytes written.
  virtual void OnDrained() {}
  /// The connection is closed. This is its last event.
  virtual void OnClosed(CloseKind kind) = 0;
};

/// Non-blocking TCP connection. After Close() or destruction the listener
/// receives no further event. The write buffer is unbounded: writers must
/// check unsent_bytes().
class TcpConnection final : public IoHandlerI {
 public:
  struct Init {
    /// Closes the connection when sent data stays unacknowledged for this time
    /// (TCP_USER_TIMEOUT).
    int64_t user_timeout_ms = 5'000;
  };

  /// Takes ownership of an accepted, non-blocking socket.
  TcpConnection(EventLoop& loop, const Init& init, int fd);
  /// Starts connecting; OnConnected() or OnClosed(kRefused) follows.
  /// @returns null if the attempt could not be started
  static std::unique_ptr<TcpConnection> Connect(EventLoop& loop,
                                                const Init& init,
                                                const Endpoint& endpoint);
  ~TcpConnection() override;
  TcpConnection(const TcpConnection&) = delete;
  TcpConnection& operator=(const TcpConnection&) = delete;

  void SetListener(ConnectionListenerI* listener) { listener_ = listener; }
  /// Sends the bytes and buffers what the kernel does not accept. Never
  /// blocks.
  void Write(std::string_view bytes);
  /// Pauses or resumes reading, for back-pressure.
  void SetReading(bool on);
  /// Sets the most bytes that one event delivers, at most the size of the
  /// receive buffer of the loop.
  void SetReadLimit(size_t bytes) { read_limit_ = bytes; }
  /// Sends the end of the stream; reading goes on. The write buffer must be
  /// empty.
  void ShutdownWrite();
  /// Closes immediately; discards unsent bytes.
  void Close();
  /// Closes with a TCP reset, so that the peer cannot mistake the end of the
  /// stream for the end of a complete message.
  void Abort();
  /// Closes after all buffered bytes have been sent.
  void CloseAfterWrite();

  bool connected() const { return connected_; }
  bool closed() const { return fd_ < 0; }
  size_t unsent_bytes() const { return out_.size() - out_offset_; }
  /// @returns memory that the write buffer takes, bytes
  size_t buffer_bytes() const { return out_.capacity(); }
  /// @returns time since which the kernel has accepted none of the unsent
  ///          bytes, ms
  int64_t stalled_since_ms() const { return stalled_since_ms_; }
  /// @returns the errno of the first send that failed; 0: none has failed
  int send_error() const { return send_error_; }

  void OnIo(uint32_t events) override;

 private:
  TcpConnection(EventLoop& loop, const Init& init, int fd, bool connected);
  void SetSocketOptions(const Init& init) const;
  void ReadAvailable();
  /// @returns true if a send has taken the error of a reset from the socket;
  ///          recv() then reports an end of the stream. EPIPE is no such error:
  ///          the peer had closed its side before, in an orderly way.
  bool was_reset() const { return send_error_ != 0 && send_error_ != EPIPE; }
  /// Sends bytes without blocking and records the error if that fails.
  /// @returns number of bytes that the kernel accepted
  size_t SendBytes(std::string_view bytes);
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
  int send_error_ = 0;
  std::string out_;
  size_t out_offset_ = 0;
  size_t read_limit_ = SIZE_MAX;
  int64_t stalled_since_ms_ = 0;
};

/// Listening TCP socket.
class TcpListener final : public IoHandlerI {
 public:
  /// Called for each accepted socket; takes ownership of the descriptor.
  using AcceptCallback = std::function<void(int fd)>;
  /// Called when the process or the machine has no descriptor left for a new
  /// connection.
  /// @returns true if a descriptor was released, so that accepting can go on
  using ExhaustedCallback = std::function<bool()>;
  /// @returns storage_failed if the address cannot be bound
  static Outcome<std::unique_ptr<TcpListener>> Create(EventLoop& loop,
                                                      const Endpoint& endpoint,
                                                      AcceptCallback accepted);
  ~TcpListener() override;
  void OnExhausted(ExhaustedCallback callback) {
    on_exhausted_ = std::move(callback);
  }
  void OnIo(uint32_t events) override;
  void Close();

 private:
  TcpListener(EventLoop& loop, int fd, AcceptCallback accepted);
  EventLoop& loop_;
  int fd_;
  AcceptCallback on_accept_;
  ExhaustedCallback on_exhausted_;
  ScopedTimer resume_timer_;  ///< Active while accepting is paused.
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
  /// Responses only: the body extends to the end of the connection.
  bool until_close = false;

  /// @returns the first value of a header, matched case-insensitively; null if
  ///          it is absent
  const std::string* Find(std::string_view name) const;
  auto operator<=>(const HttpHead&) const = default;
};

/// Compares ASCII texts case-insensitively.
bool EqualsIgnoreCase(std::string_view a, std::string_view b);
/// @returns true if the text is an HTTP token, such as a header name (RFC 9110)
bool IsToken(std::string_view text);
/// @returns true for headers that a proxy must not forward, because they apply
///          to a single connection
bool IsHopByHop(std::string_view name);
/// @returns the number if the whole text is a decimal int64_t, or nullopt
std::optional<int64_t> ParseNumber(std::string_view text);
/// @returns the reason phrase of a status code, "Unknown" for other codes
const char* StatusText(int status);

/// Receives the parts of a parsed HTTP message.
class HttpListenerI {
 public:
  virtual ~HttpListenerI() = default;
  virtual void OnHead(HttpHead head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnMessageEnd() = 0;
};

/// Incremental HTTP/1.1 parser for one direction of a connection. It stops
/// after each message until Reset() is called. Ambiguous framing is an error:
/// both Content-Length and chunked encoding, or conflicting lengths.
///
/// The head of a request that is not complete after Feed() is held as raw
/// bytes, because a decoded head can take many times the memory of its bytes.
/// OnHead() still reports it once, decoded, when it is complete.
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

  /// Parses bytes up to the end of the current message.
  /// @returns the state and the number of bytes consumed
  Result Feed(std::string_view bytes);
  /// Reports an orderly end of the connection.
  /// @returns kMessageEnd if this completes the message, kError if the message
  ///          is truncated
  Result FeedEof();
  /// Prepares for the next message.
  /// @param head_request true if the next response answers a HEAD request and
  ///        therefore has no body
  void Reset(bool head_request = false);
  /// Decodes the head of the current request again from the held bytes.
  HttpHead DecodeHead() const;
  /// @returns memory that the held bytes of the head take
  size_t held_bytes() const;
  /// @returns bytes of the body that are still missing, by its Content-Length;
  ///          0 for other bodies and while the head is incomplete
  uint64_t body_bytes_left() const;
  /// @returns true if any bytes of the current message were fed
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

/// Limits on the input of the peers of a server.
struct HttpServerLimits {
  size_t max_header_bytes = 16u << 10;
  size_t max_body_bytes = 4u << 20;
  /// Total size of the bodies of the requests that were passed to the handler
  /// and are not answered yet; a request beyond it is refused with 503.
  size_t max_buffered_bytes = 64u << 20;
  /// Memory held for clients: input, heads, bodies, unsent answers and a fixed
  /// amount for each connection. Beyond it, unfinished requests are closed,
  /// those that began first first, then the connections whose answers are
  /// unread, the slowest first; only then are complete requests refused with
  /// 503. At most half of it is available to the fixed amounts, which bounds
  /// the number of connections as well.
  size_t max_held_bytes = 64u << 20;
  /// Open connections; 0: no further bound. A new connection beyond it replaces
  /// the one that has been idle longest, else the one whose request has been
  /// unfinished longest; without either it is closed.
  size_t max_connections = 0;
  /// Time from the first byte of a request to the end of its body.
  int64_t request_timeout_ms = 3'000;
  /// Between requests of a connection.
  int64_t idle_timeout_ms = 15'000;
  /// See TcpConnection::Init::user_timeout_ms. Also the longest time for which
  /// an answer may stay unread without any progress.
  int64_t user_timeout_ms = 5'000;

  auto operator<=>(const HttpServerLimits&) const = default;
};

class HttpServerConnection;

/// Answer that needs only the head of a request, usually a refusal.
struct HttpEarlyAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;
  bool close = false;  ///< Close the connection after the answer.
};

/// Handles the requests of a server. Each connection has at most one request
/// being handled.
class HttpServerHandlerI {
 public:
  virtual ~HttpServerHandlerI() = default;
  /// The head of a request has been received; its body may be missing. Called
  /// once for each request, also if it is refused later.
  /// @returns an answer without a body, which is sent at once and ends the
  ///          request: the rest of its body is skipped if it is small, else the
  ///          connection is closed; nullopt to receive the body and pass the
  ///          request to OnRequest()
  virtual std::optional<HttpEarlyAnswer> OnRequestHead(
      const HttpHead& /*head*/) {
    return std::nullopt;
  }
  /// A complete request has been received. The response may be sent from this
  /// call or later.
  virtual void OnRequest(HttpServerConnection& connection,
                         HttpRequest request) = 0;
  /// The peer disconnected before its request was answered. The connection is
  /// invalid after this call.
  virtual void OnPeerDisconnected(HttpServerConnection& connection) = 0;
  /// The write buffer is empty again; see unsent_bytes().
  virtual void OnDrained(HttpServerConnection& /*connection*/) {}
};

class HttpServer;

/// Server side of an HTTP connection. Owned by its HttpServer.
class HttpServerConnection final : public ConnectionListenerI,
                                   public HttpListenerI {
 public:
  HttpServerConnection(HttpServer& server, EventLoop& loop, int fd);
  ~HttpServerConnection() override;

  /// Sends a complete response.
  void Respond(int status,
               const std::vector<HttpHeader>& headers,
               std::string_view body);
  /// Starts a response whose body is sent with WriteBody().
  /// @param length size of the body, bytes; nullopt for chunked encoding
  void BeginResponse(int status,
                     const std::vector<HttpHeader>& headers,
                     std::optional<int64_t> length);
  void WriteBody(std::string_view bytes);
  void EndResponse();
  /// Resets the connection, so that the peer cannot take a partial response for
  /// a complete one.
  void AbortResponse();
  size_t unsent_bytes() const { return connection_.unsent_bytes(); }
  /// Closes the connection after the current response.
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
  /// The body of a request that is being received. Blocks, because a string
  /// that grows takes up to three times its size.
  class BodyBuffer {
   public:
    void Append(std::string_view bytes);
    /// @returns the whole body; the buffer is empty afterwards
    std::string Take();
    void Clear() { *this = {}; }
    size_t size() const { return size_; }
    size_t capacity() const { return capacity_; }

   private:
    std::vector<std::string> blocks_;
    size_t size_ = 0;
    size_t capacity_ = 0;
  };

  std::string_view Consume(std::string_view bytes);
  void ConsumeInput();
  void BufferInput(std::string_view bytes);
  void OnUnfinished();
  void OnComplete();
  void SendRefusal(bool complete);
  void SkipBody();
  int InputErrorStatus(bool parse_error) const;
  void RefuseInput(int status);
  /// Closes after an eviction or a stalled answer.
  void Evict(const char* reason, bool reset);
  void ReleaseRequest();
  void WriteHead(int status,
                 const std::vector<HttpHeader>& headers,
                 std::optional<int64_t> length);
  void FinishExchange();
  void LingerThenClose();
  void AfterWrite();
  void StartTimer();
  /// Moves the connection to another list of the server.
  void MoveTo(std::list<HttpServerConnection*>& list);
  /// Reports the memory of this connection to the server.
  void UpdateHeld();
  void Destroy();

  HttpServer& server_;
  EventLoop& loop_;
  TcpConnection connection_;
  HttpParser parser_;
  ScopedTimer timer_;
  /// Decoded head; only until the end of the event that completed it.
  std::optional<HttpHead> head_;
  BodyBuffer body_;
  std::string input_;  ///< Received but not parsed yet.
  const int64_t accepted_ms_;
  /// At least one complete request was received.
  bool request_received_ = false;
  bool complete_ = false;  ///< The current request was received to its end.
  bool busy_ = false;      ///< A request was received and is not answered yet.
  bool consuming_ = false;
  bool keep_alive_ = true;
  bool chunked_ = false;
  bool body_too_large_ = false;
  std::optional<HttpEarlyAnswer> refusal_;  ///< Of the current request.
  /// The current request is refused; the rest of its body is skipped.
  bool skipping_ = false;
  /// Answered; further input is discarded until the peer closes.
  bool lingering_ = false;
  size_t skipped_bytes_ = 0;
  /// Input was dropped, so that the connection cannot serve another request.
  bool input_lost_ = false;
  /// Memory of the request that was passed to the handler.
  size_t request_bytes_ = 0;
  /// Body bytes counted in HttpServer::buffered_bytes_.
  size_t counted_body_bytes_ = 0;
  size_t held_bytes_ = 0;  ///< Counted in HttpServer::held_bytes_.
  /// Position in the list of the server that `list_` points to.
  std::list<HttpServerConnection*>* list_ = nullptr;
  std::list<HttpServerConnection*>::iterator position_;
  bool writing_ = false;  ///< In HttpServer::writing_.
  bool destroyed_ = false;
};

/// HTTP/1.1 server. Owns its connections.
class HttpServer {
 public:
  /// @returns storage_failed if the address cannot be bound
  static Outcome<std::unique_ptr<HttpServer>> Create(
      EventLoop& loop,
      const Endpoint& endpoint,
      HttpServerHandlerI& handler);
  ~HttpServer();

  void SetLimits(const HttpServerLimits& limits) { limits_ = limits; }
  const HttpServerLimits& limits() const { return limits_; }
  /// Sets the label `server` of the metrics and log lines.
  void SetName(std::string name) { name_ = std::move(name); }
  /// Makes every further response close its connection.
  void StopKeepAlive() { keep_alive_ = false; }
  /// Accepts the connections in the backlog, then closes the listening socket.
  void StopListening();
  /// Closes connections without a pending request. Keeps connections that
  /// are younger than one second and have not sent a request yet, because their
  /// first request may be in transit.
  void CloseIdle();
  size_t busy_connections() const;
  size_t connections() const { return connections_.size(); }
  /// @returns memory held for clients, bytes; see
  ///          HttpServerLimits::max_held_bytes
  size_t held_bytes() const { return held_bytes_; }

 private:
  friend class HttpServerConnection;
  using Connections = std::list<HttpServerConnection*>;
  HttpServer(EventLoop& loop, HttpServerHandlerI& handler);
  void AddConnection(int fd);
  void Remove(HttpServerConnection* connection);
  size_t open_connections() const;
  size_t max_connections() const;
  /// Closes a connection that does not hold a request being handled.
  /// @returns false if there is none
  bool CloseOne(const char* reason);
  /// Closes connections until the budget suffices.
  /// @returns false if it does not
  bool Reclaim();
  /// Reclaims after the current event: handlers that write an answer do not
  /// expect their connection to be closed meanwhile.
  void ReclaimLater();
  /// Closes the connections whose answers are unread, and sets the gauges.
  void Sweep();
  /// Counts a closed or refused client; logs at most once a second.
  void RecordClosed(const char* reason);

  EventLoop& loop_;
  HttpServerHandlerI& handler_;
  HttpServerLimits limits_;
  std::string name_ = "http";
  bool keep_alive_ = true;
  size_t buffered_bytes_ = 0;
  size_t held_bytes_ = 0;
  bool reclaim_pending_ = false;
  TimerHandle sweep_timer_;
  int64_t next_log_ms_ = 0;
  uint64_t closed_since_log_ = 0;
  std::unique_ptr<TcpListener> listener_;
  // Each open connection is in one of these lists, the one that has been there
  // longest in front.
  Connections idle_;
  Connections unfinished_;  ///< A request has begun and is not complete.
  Connections handled_;     ///< A request was passed to the handler.
  Connections closing_;     ///< Answered for the last time.
  std::set<HttpServerConnection*> writing_;  ///< With unsent bytes.
  std::unordered_map<HttpServerConnection*,
                     std::unique_ptr<HttpServerConnection>>
      connections_;
};

// ----------------------------------------------------------------- HTTP client

/// How a request to a server failed.
enum class ExchangeFailure : uint8_t {
  kNotConnected,  ///< No connection; nothing of the request was sent.
  kNoResponse,    ///< The connection ended before a response started.
  kTruncated,     ///< The connection ended within the response.
  kMalformed,     ///< The received bytes are not a valid response.
};

/// Receives the response to a request.
class HttpExchangeListenerI {
 public:
  virtual ~HttpExchangeListenerI() = default;
  /// @returns false to discard this response because it answers another
  ///          request, and wait for the next one
  virtual bool OnResponseHead(HttpHead head) = 0;
  virtual void OnResponseBody(std::string_view bytes) = 0;
  virtual void OnResponseEnd() = 0;
  virtual void OnExchangeFailed(ExchangeFailure failure) = 0;
};

/// Client side of an HTTP connection; sends one request at a time.
class HttpClientConnection final : public ConnectionListenerI,
                                   public HttpListenerI {
 public:
  /// @returns null if the connection attempt could not be started
  static std::unique_ptr<HttpClientConnection> Connect(
      EventLoop& loop,
      const TcpConnection::Init& init,
      const Endpoint& endpoint);

  /// Connects through a relay, which connects to the endpoint. Nothing of a
  /// request is sent before the relay has confirmed the connection.
  /// @returns null if the connection attempt could not be started
  static std::unique_ptr<HttpClientConnection> ConnectVia(
      EventLoop& loop,
      const TcpConnection::Init& init,
      const Endpoint& relay,
      const Endpoint& endpoint);

  /// Sends a request. The previous one must be complete.
  /// @param listener receives the response; must stay valid until it ends
  /// @param head start line and headers, with the final empty line
  void Start(HttpExchangeListenerI* listener,
             std::string_view head,
             std::string_view body);
  /// Pauses or resumes reading the response.
  void SetReading(bool on) { connection_->SetReading(on); }
  /// Closes the connection without a further event to the listener.
  void Cancel();
  bool connected() const { return connection_->connected() && !relaying_; }
  /// @returns the status with which a relay refused to connect; 0: none
  int relay_status() const { return relay_status_; }
  /// @returns true if the connection can carry another request
  bool reusable() const;
  /// @returns the idle timeout that the server announced in its Keep-Alive
  ///          header, ms; 0 if it announced none
  int64_t keep_alive_ms() const { return keep_alive_ms_; }
  /// @returns the number of requests sent on this connection
  uint64_t exchanges() const { return exchanges_; }
  /// See TcpConnection::send_error().
  int send_error() const { return connection_->send_error(); }
  /// @returns time in which the connection was established, ms
  int64_t connect_ms() const { return connect_ms_; }
  /// Sets a callback for an idle connection that has become unusable.
  void OnUnusable(std::function<void()> callback) {
    on_unusable_ = std::move(callback);
  }

  /// Sets a callback for the end of the connection attempt; it gets true if the
  /// connection was established. Not called after Cancel().
  void OnConnectResult(std::function<void(bool established)> callback) {
    on_connect_ = std::move(callback);
  }

  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnClosed(CloseKind kind) override;
  void OnHead(HttpHead head) override;
  void OnBody(std::string_view bytes) override;
  void OnMessageEnd() override;

 private:
  HttpClientConnection(EventLoop& loop,
                       std::unique_ptr<TcpConnection> connection);
  void Fail(ExchangeFailure failure);
  void EndExchange();
  void Write(std::string_view bytes);
  /// Reads the answer of the relay.
  /// @returns the bytes that follow it
  std::string_view ReadRelayAnswer(std::string_view bytes);
  void OnEstablished();

  EventLoop& loop_;
  const int64_t start_ms_;
  bool relaying_ = false;  ///< The relay has not confirmed the connection yet.
  std::string relay_request_;
  std::string relay_answer_;
  int relay_status_ = 0;
  std::string held_;  ///< Sent once the relay has confirmed the connection.
  int64_t connect_ms_ = 0;
  std::unique_ptr<TcpConnection> connection_;
  HttpParser parser_;
  HttpExchangeListenerI* listener_ = nullptr;
  std::function<void()> on_unusable_;
  std::function<void(bool)> on_connect_;
  bool skipping_ = false;
  int32_t interim_responses_ = 0;
  size_t skipped_bytes_ = 0;
  bool response_started_ = false;
  bool ended_ = false;
  bool server_keep_alive_ = true;
  bool broken_ = false;
  int64_t keep_alive_ms_ = 0;
  uint64_t exchanges_ = 0;
};

}  // namespace ring
