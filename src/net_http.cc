#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

#include "persimmonring/net.h"

namespace ring {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [&](unsigned char c) {
           return std::isalnum(c) != 0 ||
                  kTokenPunctuation.find(static_cast<char>(c)) !=
                      std::string_view::npos;
         });
}

bool IsHopByHop(std::string_view name) {
  constexpr std::array<std::string_view, 9> kNames = {
      "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
      "transfer-encoding", "upgrade",    "content-length",   "expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [name](auto hop) { return EqualsIgnoreCase(name, hop); });
}

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() ||
      text.empty()) {
    return std::nullopt;
  }
  return value;
}

const char* StatusText(int status) {
  switch (status) {
#define RING_STATUS(number, name, text) \
  case number:                          \
    return #text;
    HTTP_STATUS_MAP(RING_STATUS)
#undef RING_STATUS
    default:
      return "Unknown";
  }
}

const std::string* HttpHead::Find(std::string_view name) const {
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

class HttpParser::Impl {
 public:
  Impl(Kind kind, HttpListenerI& listener, size_t max_header_bytes)
      : kind_(kind), listener_(listener), max_header_bytes_(max_header_bytes) {
    Reset(false);
  }

  void Reset(bool head_request) {
    http_parser_init(&parser_,
                     kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    header_bytes_ = 0;
    last_was_value_ = true;
    head_done_ = false;
    ended_ = false;
    started_ = false;
    head_request_ = head_request;
  }

  Result Feed(std::string_view bytes) {
    // Includes body bytes fed in the same call as the end of the headers: the
    // limit applies to what is buffered until the headers are complete.
    if (!head_done_) {
      header_bytes_ += bytes.size();
    }
    started_ = started_ || !bytes.empty();
    const size_t consumed =
        http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
    return {CurrentState(), consumed};
  }

  Result FeedEof() {
    http_parser_execute(&parser_, &Callbacks(), "", 0);
    return {ended_ ? State::kMessageEnd : State::kError, 0};
  }

  bool started() const { return started_; }
  bool headers_too_large() const { return too_large_; }

 private:
  State CurrentState() {
    if (ended_) {
      return State::kMessageEnd;
    }
    if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0) {
      return State::kError;
    }
    if (!head_done_ && header_bytes_ > max_header_bytes_) {
      too_large_ = true;
      return State::kError;
    }
    return State::kMore;
  }

  static Impl& Self(http_parser* parser) {
    return *static_cast<Impl*>(parser->data);
  }

  static int OnUrl(http_parser* parser, const char* data, size_t size) {
    Self(parser).head_.target.append(data, size);
    return 0;
  }

  static int OnField(http_parser* parser, const char* data, size_t size) {
    Impl& self = Self(parser);
    if (self.last_was_value_) {
      self.head_.headers.emplace_back();
      self.last_was_value_ = false;
    }
    self.head_.headers.back().name.append(data, size);
    return 0;
  }

  static int OnValue(http_parser* parser, const char* data, size_t size) {
    Impl& self = Self(parser);
    self.last_was_value_ = true;
    if (!self.head_.headers.empty()) {
      self.head_.headers.back().value.append(data, size);
    }
    return 0;
  }

  static int OnHeadersComplete(http_parser* parser) {
    Impl& self = Self(parser);
    // http_parser accepts header names that contain spaces. Another HTTP
    // implementation could read such a header as Content-Length or
    // Transfer-Encoding, which allows request smuggling.
    if (!std::all_of(
            self.head_.headers.begin(), self.head_.headers.end(),
            [](const HttpHeader& header) { return IsToken(header.name); })) {
      return -1;
    }
    self.head_done_ = true;
    if (self.kind_ == Kind::kRequest) {
      self.head_.method =
          http_method_str(static_cast<http_method>(parser->method));
    } else {
      self.head_.status = parser->status_code;
      self.head_.until_close = !self.head_request_ && BodyExtendsToEof(parser);
    }
    self.head_.keep_alive = http_should_keep_alive(parser) != 0;
    self.listener_.OnHead(std::move(self.head_));
    return self.head_request_ ? 1 : 0;
  }

  static int OnBodyBytes(http_parser* parser, const char* data, size_t size) {
    Self(parser).listener_.OnBody({data, size});
    return 0;
  }

  static int OnComplete(http_parser* parser) {
    Impl& self = Self(parser);
    self.ended_ = true;
    // Makes http_parser_execute return at the end of this message.
    http_parser_pause(parser, 1);
    self.listener_.OnMessageEnd();
    return 0;
  }

  static bool BodyExtendsToEof(const http_parser* parser) {
    const unsigned status = parser->status_code;
    constexpr unsigned kNoContent = 204;
    constexpr unsigned kNotModified = 304;
    const bool bodiless =
        status / 100 == 1 || status == kNoContent || status == kNotModified;
    return !bodiless && (parser->flags & F_CHUNKED) == 0 &&
           parser->content_length == ULLONG_MAX;
  }

  static const http_parser_settings& Callbacks() {
    static const http_parser_settings settings = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_url = OnUrl;
      callbacks.on_header_field = OnField;
      callbacks.on_header_value = OnValue;
      callbacks.on_headers_complete = OnHeadersComplete;
      callbacks.on_body = OnBodyBytes;
      callbacks.on_message_complete = OnComplete;
      return callbacks;
    }();
    return settings;
  }

  const Kind kind_;
  HttpListenerI& listener_;
  const size_t max_header_bytes_;
  http_parser parser_{};
  HttpHead head_;
  size_t header_bytes_ = 0;
  bool last_was_value_ = true;
  bool head_done_ = false;
  bool ended_ = false;
  bool started_ = false;
  bool too_large_ = false;
  bool head_request_ = false;
};

HttpParser::HttpParser(Kind kind,
                       HttpListenerI& listener,
                       size_t max_header_bytes)
    : impl_(std::make_unique<Impl>(kind, listener, max_header_bytes)) {}
HttpParser::~HttpParser() = default;

HttpParser::Result HttpParser::Feed(std::string_view bytes) {
  return impl_->Feed(bytes);
}

HttpParser::Result HttpParser::FeedEof() {
  return impl_->FeedEof();
}

void HttpParser::Reset(bool head_request) {
  impl_->Reset(head_request);
}

bool HttpParser::started() const {
  return impl_->started();
}

bool HttpParser::headers_too_large() const {
  return impl_->headers_too_large();
}

}  // namespace ring
