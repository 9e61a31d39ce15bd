#include "upstream_sse_p.h"

namespace ring::upstream {

bool SseParser::Feed(std::string_view bytes, const EventSink& sink) {
  while (!bytes.empty()) {
    const size_t end = bytes.find('\n');
    line_ += bytes.substr(0, end);
    if (line_.size() + data_.size() > kMaxEventBytes) {
      too_long_ = true;
      return false;
    }
    if (end == std::string_view::npos) {
      return true;
    }
    bytes.remove_prefix(end + 1);
    if (!ParseLine(sink)) {
      return false;
    }
    line_.clear();
  }
  return true;
}

bool SseParser::ParseLine(const EventSink& sink) {
  std::string_view line = line_;
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (!has_data_) {
      return true;
    }
    const std::string data = std::move(data_);
    data_.clear();
    has_data_ = false;
    return sink(data);
  }
  constexpr std::string_view kField = "data:";
  if (line.starts_with(kField)) {
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (has_data_) {
      data_ += '\n';
    }
    data_ += line;
    has_data_ = true;
  }
  return true;  // Comments and other fields are ignored.
}

}  // namespace ring::upstream
