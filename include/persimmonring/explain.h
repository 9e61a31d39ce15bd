#pragma once

/// Explains the outcome of a request from collected logs, for on-call
/// engineers: what happened to the request, its cause, and what the entry and
/// the keepers knew about upstreams and each other at that time.

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

/// A line of the log of one process.
struct LogLine {
  int64_t time_ms = 0;  ///< Wall clock of the process, ms since the Unix epoch.
  std::string event;
  std::map<std::string, std::string> fields;
  std::string text;  ///< The unparsed line.

  /// @returns the value of a field; empty if the line does not have the field
  const std::string& Field(const std::string& name) const;
  auto operator<=>(const LogLine&) const = default;
};

/// Parses a line. Ignores everything before the time, so that log collectors
/// may add a prefix.
/// @returns nullopt if the line has no time or no event
std::optional<LogLine> ParseLogLine(std::string_view text);

/// Explanation of the outcome of one request.
struct Explanation {
  std::vector<LogLine> request;  ///< Lines with the request's id, by time.
  /// Lines from around the request that show what its entry and the keepers
  /// knew about upstreams and each other, by time.
  std::vector<LogLine> context;
  std::string cause;      ///< One sentence.
  std::string next_step;  ///< Where to look next; may be empty.

  auto operator<=>(const Explanation&) const = default;
};

/// Reads logs and keeps the lines that may explain one request.
class Explainer {
 public:
  /// @param request id of the request
  explicit Explainer(std::string request) : request_(std::move(request)) {}

  /// Reads the log of one process, whose lines are ordered by time.
  void Read(std::istream& log);
  /// @returns unknown_path if no line has the request's id
  Outcome<Explanation> Explain() const;

 private:
  const std::string request_;
  std::vector<LogLine> request_lines_;  ///< Lines with the request's id.
  std::vector<LogLine> context_lines_;  ///< Context lines of all processes.
};

}  // namespace ring
