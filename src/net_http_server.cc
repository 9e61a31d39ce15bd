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
// Pipelined input buffered while a request is pending; beyond it reading
// pauses.
constexpr size_t kMaxPipelinedBytes = 64u << 10;
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

}  // namespace

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
  StartTimer();
}

HttpServerConnection::~HttpServerConnection() = default;

void HttpServerConnection::StartTimer() {
  const bool started = parser_.started();
  const HttpServerLimits& limits = server_.limits();
  timer_.Start(started ? limits.request_timeout_ms : limits.idle_timeout_ms,
               [this, started] {
                 if (started) {
                   RefuseInput(kRequestTimeout);
                 } else {
                   Destroy();
                 }
               });
}

void HttpServerConnection::OnBytes(std::string_view bytes) {
  input_.append(bytes);
  if (busy_) {
    if (input_.size() > kMaxPipelinedBytes) {
      connection_.SetReading(false);
    }
    return;
  }
  Consume();
}

// Parses the next request and passes it to the handler. Further input stays in
// input_ until the request is answered.
void HttpServerConnection::Consume() {
  if (consuming_) {
    return;
  }
  consuming_ = true;
  while (!busy_ && !destroyed_ && !input_.empty()) {
    const bool was_started = parser_.started();
    const HttpParser::Result result = parser_.Feed(input_);
    if (result.state == HttpParser::State::kError || body_too_large_ ||
        overloaded_) {
      int status = kBadRequest;
      if (overloaded_) {
        status = kUnavailable;
      } else if (body_too_large_) {
        status = kBodyTooLarge;
      } else if (parser_.headers_too_large()) {
        status = kHeadersTooLarge;
      }
      input_.clear();
      RefuseInput(status);
      break;
    }
    input_.erase(0, result.consumed);
    if (result.state == HttpParser::State::kMore) {
      if (!was_started) {
        StartTimer();
      }
      break;
    }
    timer_.Stop();
    busy_ = true;
    request_received_ = true;
    complete_ = false;
    server_.handler_.OnRequest(*this, std::move(request_));
  }
  consuming_ = false;
}

void HttpServerConnection::OnHead(HttpHead head) {
  keep_alive_ = head.keep_alive;
  request_ = {std::move(head), ""};
}

void HttpServerConnection::OnBody(std::string_view bytes) {
  if (request_.body.size() + bytes.size() > server_.limits().max_body_bytes) {
    body_too_large_ = true;
    return;
  }
  counted_body_bytes_ += bytes.size();
  server_.buffered_bytes_ += bytes.size();
  if (server_.buffered_bytes_ > server_.limits().max_buffered_bytes) {
    overloaded_ = true;
    return;
  }
  request_.body.append(bytes);
}

void HttpServerConnection::OnMessageEnd() {
  complete_ = true;
}

void HttpServerConnection::ReleaseBody() {
  server_.buffered_bytes_ -= std::exchange(counted_body_bytes_, 0);
}

void HttpServerConnection::RefuseInput(int status) {
  metrics::Count("ring_http_refused_inputs_total",
                 {{"status", std::to_string(status)}});
  Event(LogLevel::kInfo, "request_unreadable").Add("status", status);
  busy_ = true;
  keep_alive_ = false;
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
    return;
  }
  std::string chunk;
  AppendChunk(chunk, bytes);
  connection_.Write(chunk);
}

void HttpServerConnection::EndResponse() {
  if (chunked_) {
    connection_.Write("0\r\n\r\n");
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
  ReleaseBody();
  if (!keep_alive_) {
    // Destroyed when the response has been sent or the timer expires.
    connection_.CloseAfterWrite();
    if (connection_.closed()) {
      Destroy();
    } else {
      timer_.Start(server_.limits().user_timeout_ms, [this] { Destroy(); });
    }
    return;
  }
  parser_.Reset();
  connection_.SetReading(true);
  StartTimer();
  if (!input_.empty() && !consuming_) {
    loop_.Defer([server = &server_, this] {
      if (server->connections_.contains(this)) {
        Consume();
      }
    });
  }
}

void HttpServerConnection::OnDrained() {
  if (busy_) {
    server_.handler_.OnDrained(*this);
  } else if (!keep_alive_ && connection_.closed()) {
    Destroy();
  }
}

void HttpServerConnection::OnClosed(CloseKind /*kind*/) {
  if (busy_) {
    busy_ = false;
    server_.handler_.OnPeerDisconnected(*this);
  }
  Destroy();
}

void HttpServerConnection::Destroy() {
  if (!destroyed_) {
    destroyed_ = true;
    ReleaseBody();
    timer_.Stop();
    connection_.Close();
    loop_.Defer([server = &server_, this] { server->Remove(this); });
  }
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
  return server;
}

HttpServer::~HttpServer() = default;

void HttpServer::AddConnection(int fd) {
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
