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

/// What happened to one program.
struct ProgramResult {
  std::string kind;
  std::string program;  ///< Id; empty if it was never opened.
  bool finished = false;
  bool in_time = false;
  double latency_ms = 0;   ///< From its arrival, waits after refusals included.
  std::string end_reason;  ///< Why it did not finish.
  std::map<std::string, int64_t> refusals;
  std::vector<double> turn_ms;
  std::vector<double> first_token_ms;
  int64_t calls = 0;
  int64_t checked_answers = 0;
  int64_t wrong_answers = 0;
  std::vector<std::string> service_keys;  ///< Of non-idempotent calls.
};

struct RunInit {
  std::vector<Endpoint> entries;
  std::string team = "load";
  std::string model = "model";
  std::string service;  ///< Empty: no service calls.
  /// Called once with the id of each program that has ended.
  std::function<void(const std::string&)> on_ended;
};

/// Runs one program and its children to the end or to its deadline. Blocks.
/// @param index number of the program, which selects its first entry
ProgramResult RunProgram(const RunInit& init, const Plan& plan, size_t index);

}  // namespace ring::load
