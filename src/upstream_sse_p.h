#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace ring::upstream {

// Splits a byte stream into server-sent events.
class SseParser {
 public:
  // Longer events are refused; a token of text needs a few hundred bytes, a
  // list of tool calls more.
  static constexpr size_t kMaxEventBytes = 1u << 20;

  // Called with the data of each event; returns false to stop.
  using EventSink = std::function<bool(std::string_view data)>;

  // Returns false if the sink stopped or an event is too long.
  bool Feed(std::string_view bytes, const EventSink& sink);
  bool too_long() const { return too_long_; }

 private:
  bool TakeLine(const EventSink& sink);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool too_long_ = false;
};

}  // namespace ring::upstream
