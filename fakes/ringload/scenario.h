#pragma once

#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "persimmonring/core.h"

namespace ring::load {

/// One model call of a program and the tool pause before it.
struct Step {
  int64_t pause_ms = 0;
  int64_t new_tokens = 0;     ///< Length of the user message.
  int64_t answer_tokens = 0;  ///< Requested from the fake engine.
  bool opens_child = false;   ///< A child program runs before this call.
  bool service_call = false;  ///< A non-idempotent service call follows.
};

/// One agent program. Generated before the run, so that equal seeds give equal
/// programs under each policy.
struct ProgramPlan {
  std::string kind;
  int64_t arrival_ms = 0;
  int64_t deadline_ms = 0;  ///< Relative to arrival.
  uint64_t seed = 0;
  std::vector<Step> steps;
  std::vector<Step> child;
};

/// Speed of the fake engines, used to express the arrival rate as a fraction of
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
  int64_t duration_ms = 20'000;  ///< Time during which programs arrive.
  double programs_per_s = 5;
  double deadline_factor = 4;  ///< Deadline / time without load.
  bool services = false;
};

namespace detail {

// Parameter ranges of one kind of program. Times are scaled down like those of
// the fake engines.
struct ProgramShape {
  const char* kind;
  int64_t calls_min, calls_max;
  int64_t first_tokens_min, first_tokens_max;
  int64_t turn_tokens_min, turn_tokens_max;
  int64_t answer_min, answer_max;
  int64_t pause_min_ms, pause_max_ms;
  double child_probability;
  double service_probability;
};

inline constexpr ProgramShape kStockCheck = {
    "stock_check", 2, 4, 100, 300, 20, 80, 8, 24, 10, 60, 0, 0};
inline constexpr ProgramShape kWallPlanning = {
    "wall_planning", 10, 30, 400, 1'200, 40, 160, 16, 48, 20, 120, 0.3, 0.5};
inline constexpr ProgramShape kPricing = {"pricing", 2,  3, 100, 200, 20, 60,
                                          8,         16, 5, 20,  0,   0};
inline constexpr ProgramShape kPlanner = {"planner", 4,  8,  300, 900, 40, 120,
                                          16,        32, 20, 100, 0,   0.3};
inline constexpr ProgramShape kDiagnosis = {
    "diagnosis", 20, 40, 1'000, 3'000, 100, 300, 16, 32, 20, 100, 0, 0.3};

inline bool RandomBool(Rng& rng, double probability) {
  return std::uniform_real_distribution<>(0, 1)(rng) < probability;
}

inline std::vector<Step> GenerateSteps(const ProgramShape& shape,
                                       bool services,
                                       Rng& rng) {
  std::vector<Step> steps(
      static_cast<size_t>(UniformInt(rng, shape.calls_min, shape.calls_max)));
  for (Step& step : steps) {
    const bool first = &step == &steps.front();
    step.pause_ms =
        first ? 0 : UniformInt(rng, shape.pause_min_ms, shape.pause_max_ms);
    step.new_tokens =
        first ? UniformInt(rng, shape.first_tokens_min, shape.first_tokens_max)
              : UniformInt(rng, shape.turn_tokens_min, shape.turn_tokens_max);
    step.answer_tokens = UniformInt(rng, shape.answer_min, shape.answer_max);
  }
  // Drawn even if services are off, so that this option does not change the
  // rest of the random sequence.
  const bool service = RandomBool(rng, shape.service_probability);
  const bool child = RandomBool(rng, shape.child_probability);
  steps.back().service_call = service && services;
  steps[steps.size() / 2].opens_child = child;
  return steps;
}

inline double StepMs(const Step& step,
                     double decode_ms,
                     double prefill_per_ms) {
  return static_cast<double>(step.answer_tokens) * decode_ms +
         static_cast<double>(step.new_tokens) / prefill_per_ms;
}

// Duration of the whole program without queueing, at half of the batch size.
inline double UnloadedMs(const ProgramPlan& plan, const EngineModel& engines) {
  const double decode_ms =
      engines.decode_base_ms +
      engines.decode_per_sequence_ms * engines.max_batch / 2;
  double sum = 0;
  for (const auto* steps : {&plan.steps, &plan.child}) {
    for (const Step& step : *steps) {
      sum += static_cast<double>(step.pause_ms) +
             StepMs(step, decode_ms, engines.prefill_tokens_per_ms);
    }
  }
  return sum;
}

}  // namespace detail

/// @returns a random program of the scenario; its arrival_ms is not set
inline ProgramPlan GeneratePlan(const ScenarioInit& init,
                                const EngineModel& engines,
                                Rng& rng) {
  const bool zarqa = init.name == "zarqa";
  const bool is_long = detail::RandomBool(rng, zarqa ? 0.6 : 0.25);
  const detail::ProgramShape& shape =
      zarqa ? (is_long ? detail::kDiagnosis : detail::kPlanner)
            : (is_long ? detail::kWallPlanning : detail::kStockCheck);
  ProgramPlan plan{.kind = shape.kind, .seed = rng()};
  plan.steps = detail::GenerateSteps(shape, init.services, rng);
  for (const Step& step : plan.steps) {
    if (step.opens_child) {
      plan.child = detail::GenerateSteps(detail::kPricing, false, rng);
    }
  }
  plan.deadline_ms =
      std::llround(init.deadline_factor * detail::UnloadedMs(plan, engines));
  return plan;
}

/// @returns all programs of a run in order of arrival (Poisson process)
inline std::vector<ProgramPlan> GeneratePlans(const ScenarioInit& init,
                                              const EngineModel& engines) {
  Rng rng(init.seed);
  std::exponential_distribution<> gap_s(init.programs_per_s);
  std::vector<ProgramPlan> plans;
  double at_ms = 0;
  while (true) {
    constexpr double kMsPerSecond = 1'000;
    at_ms += gap_s(rng) * kMsPerSecond;
    if (at_ms >= static_cast<double>(init.duration_ms)) {
      return plans;
    }
    plans.push_back(GeneratePlan(init, engines, rng));
    plans.back().arrival_ms = std::llround(at_ms);
  }
}

/// Estimates the capacity with full batches and every prefix cached. This is an
/// upper bound that no placement reaches.
/// @returns programs per second of all engines together
inline double CapacityPerSecond(const ScenarioInit& init,
                                const EngineModel& engines) {
  // Fixed seed, because the capacity must not depend on the seed of a run.
  Rng rng(1);
  constexpr int kSamples = 2'000;
  const double batch_ms = engines.decode_base_ms +
                          engines.decode_per_sequence_ms * engines.max_batch;
  double engine_ms = 0;
  for (int i = 0; i < kSamples; ++i) {
    const ProgramPlan plan = GeneratePlan(init, engines, rng);
    for (const auto* steps : {&plan.steps, &plan.child}) {
      for (const Step& step : *steps) {
        engine_ms += detail::StepMs(step, batch_ms / engines.max_batch,
                                    engines.prefill_tokens_per_ms);
      }
    }
  }
  return static_cast<double>(engines.engines) * 1'000 * kSamples / engine_ms;
}

}  // namespace ring::load
