#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

namespace ring::fakes {

/// Faults scripted by POST /v1/fake/fault {kind, count, ...}. Each applies to
/// the next `count` requests (default 1, -1: all). Kinds and their parameters:
///   crash_on_text {text}        the process exits when a request contains it;
///                               stays set
///   reset_before_headers        connection reset after the request was read;
///                               an engine has not accepted it
///   reset_after_headers {tokens}  reset after that many tokens (default 1)
///   truncate_after_tokens {tokens}  clean end without the end marker
///   stall {tokens, ms}          pause after that many tokens
///   slow_factor {factor}        slows all steps; stays set
///   refuse                      503 with run_state not_run
///   wrong_attempt_id            events carry another attempt
///   duplicate_event             each event is sent twice
///   leave                       leaving notice without ending the process
///   close_before, close_after   service: reset before or after it executes
///   die_before, die_after       service: exit before or after it executes
///   clear                       removes all faults
class Faults {
 public:
  /// @returns false for an unknown kind
  bool Set(const nlohmann::json& fault);
  /// Takes one use of a fault.
  /// @returns its parameters, or nullopt if it is not set
  std::optional<nlohmann::json> Take(const std::string& kind);
  /// @returns true if the body holds a text that crashes the process
  bool Crashes(const std::string& body) const;

 private:
  struct Fault {
    nlohmann::json parameters;
    int64_t left = 1;
  };
  mutable std::mutex mutex_;
  std::map<std::string, Fault> faults_;
};

/// Resets the connection of the request that this thread serves.
/// @param local_port,remote_port ports of the connection
void ResetConnection(int local_port, int remote_port);

/// Ends the process at once, as a crash does.
[[noreturn]] void Crash();

}  // namespace ring::fakes
