#pragma once

#include <string>
#include <string_view>

namespace ring {

/// Reads an event stream as it passes: counts its events and collects their
/// data, each followed by a line feed.
class EventStreamReader {
 public:
  void Feed(std::string_view bytes);
  int64_t events() const { return events_; }
  const std::string& data() const { return data_; }
  /// @returns true between two events
  bool at_boundary() const { return line_.empty() && !in_event_; }

 private:
  void TakeLine();

  std::string line_;
  std::string event_data_;
  bool has_data_ = false;
  bool in_event_ = false;
  int64_t events_ = 0;
  std::string data_;
};

}  // namespace ring
