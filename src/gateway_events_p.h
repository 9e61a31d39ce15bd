#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ring {

/// Parses an event stream while it is forwarded: counts its events and collects
/// their data, with a line feed after each event.
class EventStreamReader {
 public:
  struct Limits {
    size_t event_bytes = 0;  ///< Limit for one event, as sent.
    size_t data_bytes = 0;   ///< Limit for the data of all events.
  };

  explicit EventStreamReader(const Limits& limits) : limits_(limits) {}

  /// @returns false once the stream exceeds a limit; the reader then accepts no
  ///          more bytes
  bool Feed(std::string_view bytes);
  /// Continues with the stream of another attempt, whose first event must
  /// follow the last one read. Discards an incomplete event.
  /// @param last_event id of the last event that the caller has received
  void ResumeAfter(std::optional<int64_t> last_event);

  int64_t events() const { return events_; }
  const std::string& data() const { return data_; }
  /// @returns the id of the last complete event, if it was a number
  std::optional<int64_t> last_event() const { return last_event_; }
  /// @returns true if a resumed stream began with an event that the caller has
  ///          already received, or with one without a numeric id
  bool resume_mismatch() const { return resume_mismatch_; }
  /// @returns bytes read of an incomplete event
  size_t partial_bytes() const { return partial_bytes_; }
  /// @returns true if no event is incomplete
  bool at_event_boundary() const { return partial_bytes_ == 0; }

 private:
  void ParseLine();
  void FinishEvent();

  const Limits limits_;
  std::string line_;
  std::string event_data_;
  std::optional<int64_t> event_id_;
  bool has_data_ = false;
  bool resumed_ = false;  // The next event is the first one after a resumption.
  bool resume_mismatch_ = false;
  size_t partial_bytes_ = 0;
  int64_t events_ = 0;
  std::optional<int64_t> last_event_;
  std::string data_;
};

}  // namespace ring
