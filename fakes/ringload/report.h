#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fakes/ringload/program.h"

namespace ring::load {

/// @param wall_ms time from the start of the run to the end of the last program
/// @returns latency distributions, fractions and counts of a run
nlohmann::json Summarize(const std::vector<ProgramResult>& results,
                         double wall_ms);

/// @returns CPU model, number of cores and operating system
nlohmann::json DescribeMachine();

/// @returns a text table of the main metrics of two result files and their
/// ratio
std::string Compare(const nlohmann::json& a, const nlohmann::json& b);

/// Plots p95 program latency, programs finished in time and recomputed prefill
/// tokens as bar charts, with a group for each load and a bar for each policy.
/// Results of several seeds are averaged.
/// @returns the chart as SVG
std::string Plot(const std::vector<nlohmann::json>& results);

}  // namespace ring::load
