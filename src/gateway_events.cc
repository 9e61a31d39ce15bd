#include "gateway_events_p.h"

#include "persimmonring/net.h"

namespace ring {
namespace {

// Returns the value of a field without the optional space after the colon.
std::string_view ValueOf(std::string_view line, std::string_view field) {
  line.remove_prefix(field.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

}  // namespace

bool EventStreamReader::Feed(std::string_view bytes) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    const std::string_view part = bytes.substr(0, end);
    if (partial_bytes_ + part.size() > limits_.event_bytes ||
        data_.size() + event_data_.size() > limits_.data_bytes) {
      return false;
    }
    line_.append(part);
    partial_bytes_ += part.size();
    if (end == std::string_view::npos) {
      break;
    }
    ++partial_bytes_;
    bytes.remove_prefix(end + 1);
    if (line_.ends_with('\r')) {
      line_.pop_back();
    }
    ParseLine();
    line_.clear();
  }
  return true;
}

void EventStreamReader::ResumeAfter(std::optional<int64_t> last_event) {
  line_.clear();
  event_data_.clear();
  event_id_.reset();
  has_data_ = false;
  partial_bytes_ = 0;
  last_event_ = last_event;
  resumed_ = true;
  resume_mismatch_ = false;
}

void EventStreamReader::ParseLine() {
  constexpr std::string_view kData = "data:";
  constexpr std::string_view kId = "id:";
  if (line_.empty()) {
    FinishEvent();
  } else if (line_.starts_with(kData)) {
    if (has_data_) {
      event_data_.push_back('\n');
    }
    event_data_.append(ValueOf(line_, kData));
    has_data_ = true;
  } else if (line_.starts_with(kId)) {
    event_id_ = ParseNumber(ValueOf(line_, kId));
  }
}

void EventStreamReader::FinishEvent() {
  if (has_data_) {
    if (resumed_) {
      resume_mismatch_ = !event_id_ || *event_id_ <= last_event_.value_or(0);
      resumed_ = false;
    }
    data_.append(event_data_).push_back('\n');
    ++events_;
    if (event_id_) {
      last_event_ = event_id_;
    }
  }
  event_data_.clear();
  event_id_.reset();
  has_data_ = false;
  partial_bytes_ = 0;
}

}  // namespace ring
