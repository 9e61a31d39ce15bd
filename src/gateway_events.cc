#include "gateway_events_p.h"

namespace ring {

void EventStreamReader::Feed(std::string_view bytes) {
  for (const char c : bytes) {
    if (c == '\n') {
      TakeLine();
      line_.clear();
    } else if (c != '\r') {
      line_.push_back(c);
    }
  }
}

void EventStreamReader::TakeLine() {
  constexpr std::string_view kData = "data:";
  if (line_.empty()) {
    if (has_data_) {
      data_.append(event_data_).push_back('\n');
      ++events_;
    }
    event_data_.clear();
    has_data_ = false;
    in_event_ = false;
    return;
  }
  in_event_ = true;
  if (line_.starts_with(kData)) {
    std::string_view value = std::string_view(line_).substr(kData.size());
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (has_data_) {
      event_data_.push_back('\n');
    }
    event_data_.append(value);
    has_data_ = true;
  }
}

}  // namespace ring
