#include <unistd.h>

#include <algorithm>
#include <array>

#include "persimmonring/net.h"

namespace ring {
namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kUnavailable = 503;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// Retry-After value in seconds. Request bodies are buffered for about one turn,
// a few hundred milliseconds.
constexpr char kOverloadRetryAfter[] = "0.5";
// Input that is read ahead while a request is handled or its answer is unsent.
constexpr size_t kMaxInputBytes = 16u << 10;
// Read at once while the rest of a body is known to be longer.
constexpr size_t kMaxReadBytes = 64u << 10;
// Counted for each open connection: the objects of connection, parser and
// timer, measured as 1.3 KB, and allocator overhead.
constexpr size_t kConnectionBytes = 2u << 10;
// Part (1/2) of the budget that the fixed amounts of connections can take.
constexpr size_t kFixedPartDivisor = 2;
// Rest of a refused body that is read and dropped, so that the caller reads the
// answer: a connection closed with unread input is reset, which can discard it.
constexpr size_t kMaxSkippedBytes = 256u << 10;
// Time for the peer to read the last answer and close.
constexpr int64_t kLingerMs = 1'000;
constexpr int64_t kSweepMs = 500;
constexpr int64_t kLogPeriodMs = 1'000;
constexpr size_t kMinBlockBytes = 4u << 10;
constexpr size_t kMaxBlockBytes = 64u << 10;
// Time allowed for the first request of a new connection while the server shuts
// down. Callers abandon a connection attempt after one second.
constexpr int64_t kFirstRequestTimeoutMs = 1'000;

void AppendChunk(std::string& out, std::string_view bytes) {
  std::array<char, 20> size{};
  const int length =
      snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  out.append(size.data(), static_cast<size_t>(length));
  out.append(bytes);
  out.append("\r\n");
}

// Returns the memory of a string outside its object.
size_t HeapBytes(const std::string& text) {
  static const size_t inline_capacity = std::string().capacity();
  return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
}

size_t HeadBytes(const HttpHead& head) {
  size_t bytes = HeapBytes(head.method) + HeapBytes(head.target) +
                 head.headers.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& header : head.headers) {
    bytes += HeapBytes(header.name) + HeapBytes(header.value);
  }
  return bytes;
}

void FreeString(std::string& text) {
  std::string().swap(text);
}

}  // namespace

void HttpServerConnection::BodyBuffer::Append(std::string_view bytes) {
  size_ += bytes.size();
  if (!blocks_.empty()) {
    std::string& last = blocks_.back();
    const size_t fits = std::min(bytes.size(), last.capacity() - last.size());
    last.append(bytes.substr(0, fits));
    bytes.remove_prefix(fits);
  }
  if (!bytes.empty()) {
    std::string block;
    if (!blocks_.empty()) {
      block.reserve(std::max(
          bytes.size(), std::clamp(size_, kMinBlockBytes, kMaxBlockBytes)));
    }
    block.append(bytes);
    capacity_ += block.capacity();
    blocks_.push_back(std::move(block));
  }
}

std::string HttpServerConnection::BodyBuffer::Take() {
  std::string body;
  if (blocks_.size() == 1) {
    body = std::move(blocks_.front());
  } else if (!blocks_.empty()) {
    body.reserve(size_);
    for (std::string& block : blocks_) {
      body.append(block);
      FreeString(block);
    }
  }
  Clear();
  return body;
}

HttpServerConnection::HttpServerConnection(HttpServer& server,
                                           EventLoop& loop,
                                           int fd)
    : server_(server),
      loop_(loop),
      connection_(loop,
                  {.user_timeout_ms = server.limits().user_timeout_ms},
                  fd),
      parser_(HttpParser::Kind::kRequest,
              *this,
              server.limits().max_header_bytes),
      timer_(loop),
      accepted_ms_(loop.now_ms()) {
  connection_.SetListener(this);
  connection_.SetReadLimit(kMaxInputBytes);
  MoveTo(server_.idle_);
  UpdateHeld();
  StartTimer();
}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::StartTimer() {
  const bool started = parser_.started();
  const HttpServerLimits& limits = server_.limits();
  timer_.Start(started ? limits.request_timeout_ms : limits.idle_timeout_ms,
               [this, started] {
                 if (started && !skipping_) {
                   RefuseInput(kRequestTimeout);
                 } else {
                   Destroy();
                 }
               });
}

void HttpServerConnection::MoveTo(std::list<HttpServerConnection*>& list) {
  if (list_ == nullptr) {
    position_ = list.insert(list.end(), this);
  } else {
    list.splice(list.end(), *list_, position_);
  }
  list_ = &list;
}

void HttpServerConnection::UpdateHeld() {
  const size_t held =
      destroyed_ ? 0
                 : kConnectionBytes + HeapBytes(input_) + parser_.held_bytes() +
                       body_.capacity() + (head_ ? HeadBytes(*head_) : 0) +
                       request_bytes_ + connection_.buffer_bytes();
  server_.held_bytes_ += held;
  server_.held_bytes_ -= std::exchange(held_bytes_, held);
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  if (lingering_) {
    skipped_bytes_ += bytes.size();
    if (skipped_bytes_ > kMaxSkippedBytes) {
      Destroy();
    }
    return;
  }
  if (busy_ || consuming_ || !input_.empty() ||
      connection_.unsent_bytes() > 0) {
    BufferInput(bytes);
  } else {
    BufferInput(Consume(bytes));
  }
  ConsumeInput();
  if (!destroyed_) {
    UpdateHeld();
    server_.Reclaim();
  }
}

// Keeps input until the current request is answered. Reading pauses at the
// limit; only the end of a stream that was closed meanwhile is read beyond it.
void HttpServerConnection::BufferInput(std::string_view bytes) {
  if (bytes.empty() || destroyed_ || lingering_ || !keep_alive_) {
    return;
  }
  if (input_.size() + bytes.size() > kMaxReadBytes) {
    input_lost_ = true;
    FreeString(input_);
    return;
  }
  input_.append(bytes);
  if (input_.size() >= kMaxInputBytes) {
    connection_.SetReading(false);
  } else {
    connection_.SetReadLimit(kMaxInputBytes - input_.size());
  }
}

void HttpServerConnection::ConsumeInput() {
  if (busy_ || consuming_ || lingering_ || destroyed_ || input_.empty() ||
      connection_.unsent_bytes() > 0) {
    return;
  }
  const std::string input = std::exchange(input_, {});
  BufferInput(Consume(input));
  if (!busy_ && !destroyed_ && input_.size() < kMaxInputBytes) {
    connection_.SetReading(true);
  }
}

// Parses requests and passes them to the handler, until one is not answered at
// once.
// Returns the bytes that follow it.
std::string_view HttpServerConnection::Consume(std::string_view bytes) {
  consuming_ = true;
  while (!busy_ && !destroyed_ && !lingering_ && !bytes.empty() &&
         connection_.unsent_bytes() == 0 && !connection_.closed()) {
    const bool was_started = parser_.started();
    const HttpParser::Result result = parser_.Feed(bytes);
    bytes.remove_prefix(std::min(result.consumed, bytes.size()));
    const int error =
        InputErrorStatus(result.state == HttpParser::State::kError);
    if (error != 0) {
      bytes = {};
      if (skipping_) {
        keep_alive_ = false;
        LingerThenClose();
      } else {
        RefuseInput(error);
      }
    } else if (result.state == HttpParser::State::kMore) {
      bytes = {};
      if (!was_started) {
        MoveTo(server_.unfinished_);
        StartTimer();
      }
      OnUnfinished();
    } else {
      OnComplete();
    }
  }
  consuming_ = false;
  return bytes;
}

// Returns the status that refuses the input; 0: none.
int HttpServerConnection::InputErrorStatus(bool parse_error) const {
  if (skipping_) {
    return parse_error ? kBadRequest : 0;
  }
  if (body_too_large_) {
    return kBodyTooLarge;
  }
  if (parse_error) {
    return parser_.headers_too_large() ? kHeadersTooLarge : kBadRequest;
  }
  return 0;
}

void HttpServerConnection::OnUnfinished() {
  // The parser holds the bytes of the head, which take less memory.
  head_.reset();
  if (refusal_ && !skipping_) {
    SendRefusal(false);
  } else if (skipping_ && skipped_bytes_ > kMaxSkippedBytes) {
    keep_alive_ = false;
    LingerThenClose();
  }
  connection_.SetReadLimit(
      std::clamp(static_cast<size_t>(std::min<uint64_t>(
                     parser_.body_bytes_left(), kMaxReadBytes)),
                 kMaxInputBytes, kMaxReadBytes));
}

void HttpServerConnection::OnComplete() {
  timer_.Stop();
  connection_.SetReadLimit(kMaxInputBytes);
  request_received_ = true;
  complete_ = true;
  if (skipping_) {
    return FinishExchange();
  }
  busy_ = true;
  MoveTo(server_.handled_);
  if (refusal_) {
    return SendRefusal(true);
  }
  HttpRequest request{head_ ? std::move(*head_) : parser_.DecodeHead(),
                      body_.Take()};
  head_.reset();
  request_bytes_ = HeadBytes(request.head) + HeapBytes(request.body);
  counted_body_bytes_ = request.body.size();
  server_.buffered_bytes_ += counted_body_bytes_;
  UpdateHeld();
  if (server_.buffered_bytes_ > server_.limits().max_buffered_bytes ||
      !server_.Reclaim()) {
    server_.RecordClosed("refused");
    return RefuseInput(kUnavailable);
  }
  if (server_.held_bytes_ > server_.limits().max_held_bytes / 2) {
    // Input that was read ahead could not be released before the answer.
    connection_.SetReading(false);
  }
  server_.handler_.OnRequest(*this, std::move(request));
}

// Sends the refusal of the handler. The rest of the body is skipped if it is
// small, so that the connection can be used again.
void HttpServerConnection::SendRefusal(bool complete) {
  const HttpEarlyAnswer refusal = std::move(*refusal_);
  refusal_.reset();
  keep_alive_ = keep_alive_ && !refusal.close &&
                parser_.body_bytes_left() <= kMaxSkippedBytes;
  if (complete) {
    return Respond(refusal.status, refusal.headers, "");
  }
  skipping_ = true;
  body_.Clear();
  if (!keep_alive_) {
    busy_ = true;
    return Respond(refusal.status, refusal.headers, "");
  }
  WriteHead(refusal.status, refusal.headers, 0);
  AfterWrite();
}

void HttpServerConnection::OnHead(HttpHead head) {
  keep_alive_ = head.keep_alive;
  refusal_ = server_.handler_.OnRequestHead(head);
  head_ = std::move(head);
}

void HttpServerConnection::OnBody(std::string_view bytes) {
  if (skipping_ || refusal_) {
    skipped_bytes_ += bytes.size();
  } else if (body_.size() + bytes.size() > server_.limits().max_body_bytes) {
    body_too_large_ = true;
    body_.Clear();
  } else if (!body_too_large_) {
    body_.Append(bytes);
  }
}

void HttpServerConnection::OnMessageEnd() {}

void HttpServerConnection::ReleaseRequest() {
  server_.buffered_bytes_ -= std::exchange(counted_body_bytes_, 0);
  request_bytes_ = 0;
  head_.reset();
  body_.Clear();
}

void HttpServerConnection::RefuseInput(int status) {
  metrics::Count("ring_http_refused_inputs_total",
                 {{"status", std::to_string(status)}});
  Event(LogLevel::kInfo, "request_unreadable").Add("status", status);
  busy_ = true;
  keep_alive_ = false;
  FreeString(input_);
  std::vector<HttpHeader> headers;
  if (status == kUnavailable) {
    headers.push_back({"Retry-After", kOverloadRetryAfter});
  }
  Respond(status, headers, "");
}

void HttpServerConnection::WriteHead(int status,
                                     const std::vector<HttpHeader>& headers,
                                     std::optional<int64_t> length) {
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " " + StatusText(status) + "\r\n";
  for (const HttpHeader& header : headers) {
    head.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  chunked_ = !length;
  if (length) {
    if (status != kNoContent && status != kNotModified) {
      head.append("Content-Length: ")
          .append(std::to_string(*length))
          .append("\r\n");
    }
  } else {
    head.append("Transfer-Encoding: chunked\r\n");
  }
  keep_alive_ = keep_alive_ && server_.keep_alive_;
  if (!keep_alive_) {
    head.append("Connection: close\r\n");
  }
  head.append("\r\n");
  connection_.Write(head);
  AfterWrite();
}

// Called after each write, possibly from a call of the handler.
void HttpServerConnection::AfterWrite() {
  if (connection_.unsent_bytes() > 0 && !writing_) {
    writing_ = true;
    server_.writing_.insert(this);
  }
  if (writing_) {
    UpdateHeld();
    server_.ReclaimLater();
  }
}

void HttpServerConnection::Respond(int status,
                                   const std::vector<HttpHeader>& headers,
                                   std::string_view body) {
  std::string whole =
      "HTTP/1.1 " + std::to_string(status) + " " + StatusText(status) + "\r\n";
  for (const HttpHeader& header : headers) {
    whole.append(header.name).append(": ").append(header.value).append("\r\n");
  }
  if (status != kNoContent && status != kNotModified) {
    whole.append("Content-Length: ")
        .append(std::to_string(body.size()))
        .append("\r\n");
  }
  keep_alive_ = keep_alive_ && server_.keep_alive_;
  if (!keep_alive_) {
    whole.append("Connection: close\r\n");
  }
  whole.append("\r\n").append(body);
  connection_.Write(whole);
  AfterWrite();
  FinishExchange();
}

void HttpServerConnection::BeginResponse(int status,
                                         const std::vector<HttpHeader>& headers,
                                         std::optional<int64_t> length) {
  WriteHead(status, headers, length);
}

void HttpServerConnection::WriteBody(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (!chunked_) {
    connection_.Write(bytes);
    return AfterWrite();
  }
  std::string chunk;
  AppendChunk(chunk, bytes);
  connection_.Write(chunk);
  AfterWrite();
}

void HttpServerConnection::EndResponse() {
  if (chunked_) {
    connection_.Write("0\r\n\r\n");
    AfterWrite();
  }
  FinishExchange();
}

void HttpServerConnection::AbortResponse() {
  busy_ = false;
  connection_.Abort();
  Destroy();
}

void HttpServerConnection::FinishExchange() {
  busy_ = false;
  ReleaseRequest();
  if (destroyed_) {
    return;
  }
  if (!keep_alive_ || input_lost_) {
    keep_alive_ = false;
    FreeString(input_);
    return LingerThenClose();
  }
  parser_.Reset();
  complete_ = false;
  skipping_ = false;
  skipped_bytes_ = 0;
  MoveTo(server_.idle_);
  UpdateHeld();
  connection_.SetReadLimit(kMaxInputBytes);
  connection_.SetReading(input_.size() < kMaxInputBytes);
  StartTimer();
  if (!input_.empty() && !consuming_) {
    loop_.Defer([server = &server_, this] {
      if (server->connections_.contains(this)) {
        ConsumeInput();
        UpdateHeld();
      }
    });
  }
}

// Closes once the answer has been sent, and read if the peer still sends.
void HttpServerConnection::LingerThenClose() {
  const bool input_unread = !complete_;
  parser_.Reset();
  body_.Clear();
  MoveTo(server_.closing_);
  if (connection_.unsent_bytes() > 0 || !input_unread) {
    // Destroyed when the response has been sent or the timer expires.
    connection_.CloseAfterWrite();
    if (connection_.closed()) {
      return Destroy();
    }
    timer_.Start(server_.limits().user_timeout_ms, [this] { Destroy(); });
  } else {
    lingering_ = true;
    skipped_bytes_ = 0;
    connection_.ShutdownWrite();
    connection_.SetReadLimit(kMaxReadBytes);
    connection_.SetReading(true);
    timer_.Start(kLingerMs, [this] { Destroy(); });
  }
  UpdateHeld();
}

void HttpServerConnection::OnDrained() {
  writing_ = false;
  server_.writing_.erase(this);
  if (busy_) {
    server_.handler_.OnDrained(*this);
  } else if (!keep_alive_ && connection_.closed()) {
    return Destroy();
  }
  ConsumeInput();
  if (!destroyed_) {
    UpdateHeld();
  }
}

void HttpServerConnection::OnClosed(CloseKind /*kind*/) {
  if (busy_) {
    busy_ = false;
    server_.handler_.OnPeerDisconnected(*this);
  }
  Destroy();
}

void HttpServerConnection::Evict(const char* reason, bool reset) {
  if (destroyed_) {
    return;
  }
  server_.RecordClosed(reason);
  if (reset) {
    connection_.Abort();
  } else if (list_ == &server_.unfinished_ && !skipping_ &&
             connection_.unsent_bytes() == 0) {
    keep_alive_ = false;
    WriteHead(kRequestTimeout, {}, 0);
    connection_.CloseAfterWrite();
  }
  OnClosed(CloseKind::kReset);
}

void HttpServerConnection::Destroy() {
  if (!destroyed_) {
    destroyed_ = true;
    ReleaseRequest();
    FreeString(input_);
    timer_.Stop();
    connection_.Close();
    server_.writing_.erase(this);
    list_->erase(position_);
    UpdateHeld();
    loop_.Defer([server = &server_, this] { server->Remove(this); });
  }
}

HttpServer::HttpServer(EventLoop& loop, HttpServerHandlerI& handler)
    : loop_(loop), handler_(handler) {
  sweep_timer_ = loop_.Every(kSweepMs, [this] { Sweep(); });
}

Outcome<std::unique_ptr<HttpServer>> HttpServer::Create(
    EventLoop& loop,
    const Endpoint& endpoint,
    HttpServerHandlerI& handler) {
  auto server = std::unique_ptr<HttpServer>(new HttpServer(loop, handler));
  auto listener = TcpListener::Create(
      loop, endpoint, [raw = server.get()](int fd) { raw->AddConnection(fd); });
  if (!listener) {
    return listener.refusal();
  }
  server->listener_ = std::move(*listener);
  server->listener_->OnExhausted(
      [raw = server.get()] { return raw->CloseOne("descriptors"); });
  return server;
}

HttpServer::~HttpServer() {
  loop_.Cancel(sweep_timer_);
}

size_t HttpServer::open_connections() const {
  return idle_.size() + unfinished_.size() + handled_.size() + closing_.size();
}

size_t HttpServer::max_connections() const {
  const size_t affordable = std::max<size_t>(
      limits_.max_held_bytes / kFixedPartDivisor / kConnectionBytes, 1);
  return limits_.max_connections == 0
             ? affordable
             : std::min(limits_.max_connections, affordable);
}

bool HttpServer::CloseOne(const char* reason) {
  for (Connections* list : {&closing_, &idle_, &unfinished_}) {
    if (!list->empty()) {
      list->front()->Evict(reason, false);
      return true;
    }
  }
  return false;
}

bool HttpServer::Reclaim() {
  while (held_bytes_ > limits_.max_held_bytes) {
    if (!unfinished_.empty()) {
      unfinished_.front()->Evict("memory_unfinished", false);
      continue;
    }
    const auto slowest = std::min_element(
        writing_.begin(), writing_.end(), [](auto* a, auto* b) {
          return a->connection_.stalled_since_ms() <
                 b->connection_.stalled_since_ms();
        });
    if (slowest == writing_.end()) {
      return false;
    }
    (*slowest)->Evict("memory_unread", true);
  }
  return true;
}

void HttpServer::ReclaimLater() {
  if (!reclaim_pending_ && held_bytes_ > limits_.max_held_bytes) {
    reclaim_pending_ = true;
    loop_.Defer([this] {
      reclaim_pending_ = false;
      Reclaim();
    });
  }
}

void HttpServer::Sweep() {
  const int64_t oldest_ms = loop_.now_ms() - limits_.user_timeout_ms;
  for (HttpServerConnection* connection :
       std::vector(writing_.begin(), writing_.end())) {
    if (writing_.contains(connection) &&
        connection->connection_.stalled_since_ms() <= oldest_ms) {
      connection->Evict("unread", true);
    }
  }
  const Labels labels = {{"server", name_}};
  metrics::SetGauge("ring_http_held_bytes", labels,
                    static_cast<double>(held_bytes_));
  metrics::SetGauge("ring_http_connections", labels,
                    static_cast<double>(open_connections()));
}

void HttpServer::RecordClosed(const char* reason) {
  metrics::Count("ring_http_closed_clients_total",
                 {{"server", name_}, {"reason", reason}});
  ++closed_since_log_;
  if (loop_.now_ms() >= next_log_ms_) {
    next_log_ms_ = loop_.now_ms() + kLogPeriodMs;
    Event(LogLevel::kWarn, "clients_closed")
        .Add("server", name_)
        .Add("reason", reason)
        .Add("count", std::exchange(closed_since_log_, 0))
        .Add("held_bytes", uint64_t{held_bytes_})
        .Add("max_held_bytes", uint64_t{limits_.max_held_bytes})
        .Add("connections", uint64_t{open_connections()})
        .Add("max_connections", uint64_t{max_connections()});
  }
}

void HttpServer::AddConnection(int fd) {
  if (open_connections() >= max_connections() && !CloseOne("connections")) {
    RecordClosed("connections");
    close(fd);
    return;
  }
  auto connection = std::make_unique<HttpServerConnection>(*this, loop_, fd);
  HttpServerConnection* const key = connection.get();
  connections_[key] = std::move(connection);
}

void HttpServer::Remove(HttpServerConnection* connection) {
  connections_.erase(connection);
}

void HttpServer::StopListening() {
  if (listener_) {
    listener_->OnIo(0);
    listener_.reset();
  }
}

void HttpServer::CloseIdle() {
  for (const auto& [key, connection] : connections_) {
    const bool awaiting_first_request =
        !connection->request_received_ &&
        loop_.now_ms() < connection->accepted_ms_ + kFirstRequestTimeoutMs;
    if (!awaiting_first_request && !connection->busy_ &&
        !connection->parser_.started() &&
        connection->connection_.unsent_bytes() == 0) {
      connection->Destroy();
    }
  }
}

size_t HttpServer::busy_connections() const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& item) { return item.second->busy_; }));
}

}  // namespace ring
