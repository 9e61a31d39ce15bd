#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fakes/ringload/program.h"

namespace ring::load {

/// @param wall_ms from the first arrival to the end of the last program
/// @returns latencies, shares and counts of a run
nlohmann::json Summarize(const std::vector<ProgramResult>& results,
                         double wall_ms);

/// @returns processor, number of cores and system
nlohmann::json DescribeMachine();

/// @returns lines "figure a b a/b" for the main figures of two result files
std::string Compare(const nlohmann::json& a, const nlohmann::json& b);

/// Draws p95 program latency and programs finished in time, a group of bars for
/// each load and a bar for each policy. Results of several seeds are averaged.
/// @returns the text of an SVG file
std::string Plot(const std::vector<nlohmann::json>& results);

}  // namespace ring::load
