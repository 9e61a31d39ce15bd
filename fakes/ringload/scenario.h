#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "persimmonring/core.h"

namespace ring::load {

/// One call of a program and the tool pause before it.
struct Step {
  int64_t pause_ms = 0;
  int64_t new_tokens = 0;     ///< Of the user message.
  int64_t answer_tokens = 0;  ///< Asked of the stand-in engine.
  bool opens_child = false;   ///< A child program runs before this call.
  bool service_call = false;  ///< A non-idempotent service call follows.
};

/// One agent program, drawn before it runs, so that equal seeds give equal
/// programs under each policy.
struct Plan {
  std::string kind;
  int64_t arrival_ms = 0;
  int64_t deadline_ms = 0;  ///< After its arrival.
  uint64_t seed = 0;
  std::vector<Step> steps;
  std::vector<Step> child;
};

/// Speed of the stand-in engines, to state the arrival rate as a share of
/// capacity.
struct EngineModel {
  int64_t engines = 2;
  double decode_base_ms = 5;
  double decode_per_sequence_ms = 1;
  double max_batch = 16;
  double prefill_tokens_per_ms = 10;
};

struct ScenarioInit {
  std::string name = "cascade";
  uint64_t seed = 1;
  int64_t duration_ms = 20'000;  ///< Of arrivals.
  double programs_per_s = 5;
  double deadline_factor = 4;  ///< Times the time of the program alone.
  bool services = false;
};

/// @returns a program of the scenario, without arrival
Plan DrawPlan(const ScenarioInit& init, const EngineModel& engines, Rng& rng);

/// @returns all programs in order of arrival (Poisson process)
std::vector<Plan> DrawPlans(const ScenarioInit& init,
                            const EngineModel& engines);

/// Capacity with full batches and every prefix cached: an upper bound, which no
/// placement reaches.
/// @returns programs per second of all engines together
double CapacityPerSecond(const ScenarioInit& init, const EngineModel& engines);

}  // namespace ring::load
