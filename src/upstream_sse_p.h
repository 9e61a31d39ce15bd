#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace ring::upstream {

// Incremental parser of a server-sent event stream.
class SseParser {
 public:
  // Maximum size of an event. A token of text takes a few hundred bytes, a list
  // of tool calls more.
  static constexpr size_t kMaxEventBytes = 1u << 20;

  // Receives the data of each event. Returns false to stop parsing.
  using EventSink = std::function<bool(std::string_view data)>;

  // Returns false if the sink returned false or an event is too long.
  bool Feed(std::string_view bytes, const EventSink& sink);
  bool too_long() const { return too_long_; }

 private:
  bool ParseLine(const EventSink& sink);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool too_long_ = false;
};

}  // namespace ring::upstream
