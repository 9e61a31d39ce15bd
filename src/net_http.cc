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
    // Frees the memory; assigning an empty string would keep it.
    std::string().swap(raw_head_);
    raw_complete_ = false;
    collecting_ = true;
    header_bytes_ = 0;
    decoder_.last_was_value = true;
    head_done_ = false;
    ended_ = false;
    started_ = false;
    head_request_ = head_request;
  }

  Result Feed(std::string_view bytes) {
    const bool in_head = !head_done_;
    // Includes body bytes fed in the same call as the end of the headers: the
    // limit applies to what is buffered until the headers are complete.
    if (in_head) {
      header_bytes_ += bytes.size();
    }
    started_ = started_ || !bytes.empty();
    fed_ = bytes;
    body_offset_ = bytes.size();
    const size_t consumed =
        http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
    const State state = CurrentState();
    if (kind_ == Kind::kRequest && state == State::kMore && !raw_complete_) {
      raw_head_.append(bytes.substr(0, body_offset_));
      raw_complete_ = head_done_;
      collecting_ = false;
      head_ = {};
    }
    fed_ = {};
    return {state, consumed};
  }

  HttpHead DecodeHead(std::string_view more) const {
    HttpHead head;
    HeadDecoder decoder{&head};
    http_parser parser;
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = &decoder;
    for (const std::string_view bytes : {std::string_view(raw_head_), more}) {
      if (HTTP_PARSER_ERRNO(&parser) == HPE_OK) {
        http_parser_execute(&parser, &DecoderCallbacks(), bytes.data(),
                            bytes.size());
      }
    }
    head.method = http_method_str(static_cast<http_method>(parser.method));
    head.keep_alive = keep_alive_;
    return head;
  }

  size_t held_bytes() const {
    return raw_head_.empty() ? 0 : raw_head_.capacity();
  }

  uint64_t body_bytes_left() const {
    const bool known = head_done_ && !ended_ &&
                       (parser_.flags & F_CHUNKED) == 0 &&
                       parser_.content_length != ULLONG_MAX;
    return known ? parser_.content_length : 0;
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

  /// Collects target and headers.
  struct HeadDecoder {
    HttpHead* head;
    bool last_was_value = true;

    void OnField(const char* data, size_t size) {
      if (last_was_value) {
        head->headers.emplace_back();
        last_was_value = false;
      }
      head->headers.back().name.append(data, size);
    }
    void OnValue(const char* data, size_t size) {
      last_was_value = true;
      if (!head->headers.empty()) {
        head->headers.back().value.append(data, size);
      }
    }
  };

  static Impl& Self(http_parser* parser) {
    return *static_cast<Impl*>(parser->data);
  }

  static int OnUrl(http_parser* parser, const char* data, size_t size) {
    if (Self(parser).collecting_) {
      Self(parser).head_.target.append(data, size);
    }
    return 0;
  }

  static int OnField(http_parser* parser, const char* data, size_t size) {
    Impl& self = Self(parser);
    if (self.collecting_) {
      self.decoder_.OnField(data, size);
    }
    return 0;
  }

  static int OnValue(http_parser* parser, const char* data, size_t size) {
    Impl& self = Self(parser);
    if (self.collecting_) {
      self.decoder_.OnValue(data, size);
    }
    return 0;
  }

  static int OnHeadersComplete(http_parser* parser) {
    Impl& self = Self(parser);
    self.keep_alive_ = http_should_keep_alive(parser) != 0;
    if (!self.collecting_) {
      self.head_ = self.DecodeHead(self.fed_);
    }
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
    self.head_.keep_alive = self.keep_alive_;
    self.listener_.OnHead(std::move(self.head_));
    return self.head_request_ ? 1 : 0;
  }

  static int OnBodyBytes(http_parser* parser, const char* data, size_t size) {
    Impl& self = Self(parser);
    self.body_offset_ = std::min(self.body_offset_,
                                 static_cast<size_t>(data - self.fed_.data()));
    self.listener_.OnBody({data, size});
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

  static const http_parser_settings& DecoderCallbacks() {
    static const http_parser_settings settings = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_url = [](http_parser* parser, const char* data,
                            size_t size) {
        static_cast<HeadDecoder*>(parser->data)
            ->head->target.append(data, size);
        return 0;
      };
      callbacks.on_header_field = [](http_parser* parser, const char* data,
                                     size_t size) {
        static_cast<HeadDecoder*>(parser->data)->OnField(data, size);
        return 0;
      };
      callbacks.on_header_value = [](http_parser* parser, const char* data,
                                     size_t size) {
        static_cast<HeadDecoder*>(parser->data)->OnValue(data, size);
        return 0;
      };
      // An error ends the decoding at the end of the head.
      callbacks.on_headers_complete = [](http_parser* /*parser*/) {
        return -1;
      };
      return callbacks;
    }();
    return settings;
  }

  const Kind kind_;
  HttpListenerI& listener_;
  const size_t max_header_bytes_;
  http_parser parser_{};
  HttpHead head_;
  HeadDecoder decoder_{&head_};
  /// Bytes of an unfinished request up to the end of its head.
  std::string raw_head_;
  bool raw_complete_ = false;
  /// Headers are collected as they are parsed; false once a part of the head is
  /// in raw_head_.
  bool collecting_ = true;
  bool keep_alive_ = true;
  std::string_view fed_;    ///< Argument of the current Feed().
  size_t body_offset_ = 0;  ///< Of the first body byte in fed_.
  size_t header_bytes_ = 0;
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

HttpHead HttpParser::DecodeHead() const {
  return impl_->DecodeHead({});
}

size_t HttpParser::held_bytes() const {
  return impl_->held_bytes();
}

uint64_t HttpParser::body_bytes_left() const {
  return impl_->body_bytes_left();
}

bool HttpParser::started() const {
  return impl_->started();
}

bool HttpParser::headers_too_large() const {
  return impl_->headers_too_large();
}

}  // namespace ring
