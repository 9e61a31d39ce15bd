#include "persimmonring/net.h"

namespace ring {
namespace {

constexpr size_t kMaxResponseHeaderBytes = 64u << 10;
constexpr int64_t kMsPerSecond = 1'000;
// Limits on interim (1xx) responses and on discarded response bytes for one
// request; both exceed what a well-behaved server sends.
constexpr int32_t kMaxInterimResponses = 16;
constexpr size_t kMaxSkippedBytes = 1u << 20;

// Returns the "timeout=N" value of the Keep-Alive header in milliseconds, or 0.
int64_t KeepAliveMs(const HttpHead& head) {
  const std::string* value = head.Find("Keep-Alive");
  if (value == nullptr) {
    return 0;
  }
  constexpr std::string_view kKey = "timeout=";
  const size_t at = value->find(kKey);
  if (at == std::string::npos) {
    return 0;
  }
  std::string_view digits = std::string_view(*value).substr(at + kKey.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  return ParseNumber(digits).value_or(0) * kMsPerSecond;
}

}  // namespace

std::unique_ptr<HttpClientConnection> HttpClientConnection::Connect(
    EventLoop& loop,
    const TcpConnection::Init& init,
    const Endpoint& endpoint) {
  auto connection = TcpConnection::Connect(loop, init, endpoint);
  if (!connection) {
    return nullptr;
  }
  return std::unique_ptr<HttpClientConnection>(
      new HttpClientConnection(loop, std::move(connection)));
}

std::unique_ptr<HttpClientConnection> HttpClientConnection::ConnectVia(
    EventLoop& loop,
    const TcpConnection::Init& init,
    const Endpoint& relay,
    const Endpoint& endpoint) {
  auto connection = Connect(loop, init, relay);
  if (connection) {
    connection->relaying_ = true;
    connection->relay_request_ = "CONNECT " + endpoint.ToString() +
                                 " HTTP/1.1\r\nHost: " + endpoint.ToString() +
                                 "\r\n\r\n";
  }
  return connection;
}

HttpClientConnection::HttpClientConnection(
    EventLoop& loop,
    std::unique_ptr<TcpConnection> connection)
    : loop_(loop),
      start_ms_(loop.now_ms()),
      connection_(std::move(connection)),
      parser_(HttpParser::Kind::kResponse, *this, kMaxResponseHeaderBytes) {
  connection_->SetListener(this);
}

void HttpClientConnection::Start(HttpExchangeListenerI* listener,
                                 std::string_view head,
                                 std::string_view body) {
  RING_CHECK(listener_ == nullptr && !broken_);
  listener_ = listener;
  skipping_ = false;
  response_started_ = false;
  ended_ = false;
  interim_responses_ = 0;
  skipped_bytes_ = 0;
  ++exchanges_;
  parser_.Reset();
  if (body.empty()) {
    Write(head);
    return;
  }
  std::string whole;
  whole.reserve(head.size() + body.size());
  whole.append(head).append(body);
  Write(whole);
}

void HttpClientConnection::Write(std::string_view bytes) {
  if (relaying_) {
    held_.append(bytes);
  } else {
    connection_->Write(bytes);
  }
}

std::string_view HttpClientConnection::ReadRelayAnswer(std::string_view bytes) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  constexpr std::string_view kStart = "HTTP/1.1 ";
  constexpr size_t kStatusDigits = 3;
  constexpr size_t kMaxAnswerBytes = 1u << 10;
  constexpr int kEstablished = 200;
  const size_t before = relay_answer_.size();
  relay_answer_.append(bytes.substr(0, kMaxAnswerBytes));
  const size_t end = relay_answer_.find(kEnd);
  if (end == std::string::npos) {
    if (relay_answer_.size() >= kMaxAnswerBytes) {
      OnClosed(CloseKind::kRefused);
    }
    return {};
  }
  if (relay_answer_.starts_with(kStart)) {
    relay_status_ =
        static_cast<int>(ParseNumber(std::string_view(relay_answer_)
                                         .substr(kStart.size(), kStatusDigits))
                             .value_or(0));
  }
  if (relay_status_ != kEstablished) {
    OnClosed(CloseKind::kRefused);
    return {};
  }
  relaying_ = false;
  OnEstablished();
  if (!connection_->closed()) {
    connection_->Write(std::exchange(held_, {}));
  }
  return bytes.substr(end + kEnd.size() - before);
}

void HttpClientConnection::OnConnected() {
  if (relaying_) {
    connection_->Write(relay_request_);
  } else {
    OnEstablished();
  }
}

void HttpClientConnection::OnEstablished() {
  connect_ms_ = loop_.now_ms() - start_ms_;
  if (on_connect_) {
    std::exchange(on_connect_, nullptr)(true);
  }
}

void HttpClientConnection::Cancel() {
  listener_ = nullptr;
  on_connect_ = nullptr;
  broken_ = true;
  connection_->Close();
}

bool HttpClientConnection::reusable() const {
  // If the server responds before it has read the complete request, the rest of
  // the request is still unsent and would be read as the next one.
  return !broken_ && server_keep_alive_ && !connection_->closed() &&
         connection_->unsent_bytes() == 0;
}

void HttpClientConnection::OnBytes(std::string_view bytes) {
  if (relaying_) {
    bytes = ReadRelayAnswer(bytes);
    if (bytes.empty()) {
      return;
    }
  }
  if (listener_ == nullptr) {
    // The server sent bytes without a pending request.
    broken_ = true;
    connection_->Close();
    if (on_unusable_) {
      on_unusable_();
    }
    return;
  }
  while (!bytes.empty() && listener_ != nullptr) {
    const HttpParser::Result result = parser_.Feed(bytes);
    if (broken_) {
      return;
    }
    if (result.state == HttpParser::State::kError ||
        interim_responses_ > kMaxInterimResponses ||
        skipped_bytes_ > kMaxSkippedBytes) {
      return Fail(ExchangeFailure::kMalformed);
    }
    bytes.remove_prefix(result.consumed);
    if (result.state == HttpParser::State::kMore) {
      return;
    }
    if (skipping_) {
      skipping_ = false;
      response_started_ = false;
      parser_.Reset();
      continue;
    }
    if (!bytes.empty()) {
      broken_ = true;  // Unexpected bytes after the response.
    }
    return EndExchange();
  }
}

void HttpClientConnection::EndExchange() {
  HttpExchangeListenerI* const listener = std::exchange(listener_, nullptr);
  listener->OnResponseEnd();
}

void HttpClientConnection::Fail(ExchangeFailure failure) {
  broken_ = true;
  connection_->Close();
  HttpExchangeListenerI* const listener = std::exchange(listener_, nullptr);
  if (listener != nullptr) {
    listener->OnExchangeFailed(failure);
  }
}

void HttpClientConnection::OnClosed(CloseKind kind) {
  broken_ = true;
  if (on_connect_) {
    std::exchange(on_connect_, nullptr)(false);
  }
  if (listener_ == nullptr) {
    if (on_unusable_) {
      on_unusable_();
    }
    return;
  }
  if (kind == CloseKind::kRefused || relaying_) {
    return Fail(ExchangeFailure::kNotConnected);
  }
  if (!response_started_ || skipping_) {
    return Fail(ExchangeFailure::kNoResponse);
  }
  // A response without a length is complete if the connection closes in an
  // orderly way.
  if (kind == CloseKind::kEof &&
      parser_.FeedEof().state == HttpParser::State::kMessageEnd) {
    return EndExchange();
  }
  Fail(ExchangeFailure::kTruncated);
}

void HttpClientConnection::OnHead(HttpHead head) {
  // The parser accepts any three digits. A switch of protocols is never asked
  // for, so that what follows it cannot be a response.
  constexpr int kFirstStatus = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kFirstFinalStatus = 200;
  constexpr int kFirstInvalidStatus = 600;
  if (head.status < kFirstStatus || head.status == kSwitchingProtocols ||
      head.status >= kFirstInvalidStatus) {
    return Fail(ExchangeFailure::kMalformed);
  }
  // Interim (1xx) responses carry nothing that is used here.
  if (head.status < kFirstFinalStatus) {
    skipping_ = true;
    ++interim_responses_;
    return;
  }
  response_started_ = true;
  server_keep_alive_ = head.keep_alive && !head.until_close;
  keep_alive_ms_ = KeepAliveMs(head);
  skipping_ = !listener_->OnResponseHead(std::move(head));
}

void HttpClientConnection::OnBody(std::string_view bytes) {
  if (skipping_) {
    skipped_bytes_ += bytes.size();
  } else if (listener_ != nullptr) {
    listener_->OnResponseBody(bytes);
  }
}

void HttpClientConnection::OnMessageEnd() {}

}  // namespace ring
