#pragma once

/// Explains the end of a request from collected log lines, as an on-call
/// engineer would: what happened to it, and what the entry believed then.

#include <compare>
#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

/// One line of a process's log.
struct LogLine {
  int64_t time_ms = 0;  ///< Wall clock of its process, ms of the Unix epoch.
  std::string event;
  std::map<std::string, std::string> fields;
  std::string text;  ///< As it was written.

  /// @returns the value of a field, empty if the line has none
  const std::string& Field(const std::string& name) const;
  auto operator<=>(const LogLine&) const = default;
};

/// @returns nullopt if the text has no time or no event; anything before the
///          time is ignored, so that collectors may put their own prefix
std::optional<LogLine> ParseLogLine(std::string_view text);

/// What is known of one request.
struct Explanation {
  std::vector<LogLine> request;  ///< Lines with its id, by time.
  /// Lines of the same moments that show what its entry and the keepers
  /// believed, by time.
  std::vector<LogLine> beliefs;
  std::string cause;      ///< One sentence.
  std::string next_step;  ///< Where to look further; empty if nowhere.

  auto operator<=>(const Explanation&) const = default;
};

/// Reads the lines of a log into memory one by one, keeping what may explain a
/// request.
class Explainer {
 public:
  explicit Explainer(std::string request) : request_(std::move(request)) {}

  /// Takes in one log, which is in the order of its time.
  void Read(std::istream& log);
  /// @returns unknown_path if no line names the request
  Outcome<Explanation> Explain() const;

 private:
  const std::string request_;
  std::vector<LogLine> named_;
  std::vector<LogLine> others_;  ///< Lines on beliefs, of all processes.
};

}  // namespace ring
