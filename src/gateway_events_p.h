#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ring {

/// Reads an event stream as it passes: counts its events and collects their
/// data, each followed by a line feed.
class EventStreamReader {
 public:
  struct Limits {
    size_t event_bytes = 0;  ///< Of one event, as sent.
    size_t data_bytes = 0;   ///< Of the data of all events.
  };

  explicit EventStreamReader(const Limits& limits) : limits_(limits) {}

  /// @returns false once the stream is larger than the limits allow; the
  ///          reader then takes no more
  bool Feed(std::string_view bytes);
  /// Continues with the stream of another run, whose first event must follow
  /// the last one read. What was read of an event that is not whole is dropped.
  /// @param last_event id of the last event that the caller has
  void ContinueAfter(std::optional<int64_t> last_event);

  int64_t events() const { return events_; }
  const std::string& data() const { return data_; }
  /// @returns the id of the last whole event, if it was a number
  std::optional<int64_t> last_event() const { return last_event_; }
  /// @returns true if a continued stream began with an event that the caller
  ///          has, or with one that names no number
  bool repeats() const { return repeats_; }
  /// @returns bytes of an event that is not whole yet
  size_t open_bytes() const { return open_bytes_; }
  /// @returns true between two events
  bool at_boundary() const { return open_bytes_ == 0; }

 private:
  void TakeLine();
  void TakeEvent();

  const Limits limits_;
  std::string line_;
  std::string event_data_;
  std::optional<int64_t> event_id_;
  bool has_data_ = false;
  bool continued_ = false;  // The next event must follow the last one.
  bool repeats_ = false;
  size_t open_bytes_ = 0;
  int64_t events_ = 0;
  std::optional<int64_t> last_event_;
  std::string data_;
};

}  // namespace ring
