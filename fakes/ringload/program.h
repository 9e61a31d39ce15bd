#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fakes/ringload/client.h"
#include "fakes/ringload/scenario.h"

namespace ring::load {

/// Outcome of one program.
struct ProgramResult {
  std::string kind;
  std::string program;  ///< Id; empty if it could not be opened.
  bool finished = false;
  bool in_time = false;
  double latency_ms = 0;  ///< From its arrival, including waits after refusals.
  std::string end_reason;  ///< Reason why it did not finish.
  std::map<std::string, int64_t> refusals;
  std::vector<double> turn_ms;
  std::vector<double> first_token_ms;
  int64_t calls = 0;
  int64_t checked_answers = 0;
  int64_t wrong_answers = 0;
  /// Idempotency keys of non-idempotent calls.
  std::vector<std::string> service_keys;
};

struct RunInit {
  std::vector<Endpoint> entries;
  std::string team = "load";
  std::string model = "model";
  std::string service;  ///< Empty: no service calls.
  /// Called with the id of each program or child once it has ended.
  std::function<void(const std::string&)> on_ended;
};

/// Runs one program and its children until they end or reach the deadline.
/// Blocks.
/// @param index number of the program; selects the entry it starts with
ProgramResult RunProgram(const RunInit& init,
                         const ProgramPlan& plan,
                         size_t index);

}  // namespace ring::load
