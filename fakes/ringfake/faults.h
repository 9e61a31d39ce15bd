#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace ring::fakes {

/// Faults injected by POST /v1/fake/fault {kind, count, ...}. Each applies to
/// the next `count` requests (default 1, -1: all). Kinds and their parameters:
///   crash_on_text {text}        exits the process when a request body contains
///                               the text; not limited by count
///   reset_before_headers        resets the connection after reading the
///                               request, before the engine accepts it
///   reset_after_headers {tokens}  resets after that many tokens (default 1)
///   truncate_after_tokens {tokens}  ends the stream cleanly after that many
///                               tokens (default 1), without the end marker
///   stall {tokens, ms}          pauses after that many tokens (default 1);
///                               service: pauses for ms after it executes
///   slow_factor {factor}        multiplies the time of each step; not limited
///                               by count
///   refuse                      answers 503 with run_state not_run
///   wrong_attempt_id            sends events with a wrong attempt id
///   duplicate_event             sends each event twice
///   leave                       announces leaving without ending the process
///   close_before, close_after   service: resets before or after it executes
///   die_before, die_after       service: exits before or after it executes
///   clear                       removes all faults
class Faults {
 public:
  /// @returns false for an unknown kind
  bool Set(const nlohmann::json& fault);
  /// Consumes one use of a fault.
  /// @returns its parameters, or nullopt if it is not set or used up
  std::optional<nlohmann::json> Take(const std::string& kind);
  /// @returns true if the body contains the text of a crash_on_text fault
  bool Crashes(const std::string& body) const;

 private:
  struct Fault {
    nlohmann::json parameters;
    int64_t left = 1;
  };
  mutable std::mutex mutex_;
  std::map<std::string, Fault> faults_;
};

/// Resets the TCP connection of a request.
/// @param local_port,remote_port ports that identify the connection
void ResetConnection(int local_port, int remote_port);

/// Exits immediately without cleanup, to simulate a crash.
[[noreturn]] void Crash();

}  // namespace ring::fakes
