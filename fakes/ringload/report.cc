#include "fakes/ringload/report.h"

#include <sys/utsname.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <thread>

namespace ring::load {
namespace {

using nlohmann::json;

double Percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  // Nearest rank.
  const auto rank = static_cast<size_t>(
      std::ceil(fraction * static_cast<double>(sorted.size())));
  return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

json Distribution(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return {{"count", values.size()},
          {"median", Percentile(values, 0.5)},
          {"p95", Percentile(values, 0.95)},
          {"p99", Percentile(values, 0.99)}};
}

void Append(const std::vector<double>& from, std::vector<double>& to) {
  to.insert(to.end(), from.begin(), from.end());
}

std::string ReadCpuName() {
  std::ifstream file("/proc/cpuinfo");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("model name")) {
      return line.substr(line.find(':') + 2);
    }
  }
  return "unknown";
}

struct Metric {
  const char* name;
  const char* pointer;
};

constexpr Metric kMetrics[] = {
    {"program latency median ms", "/programs/latency_ms/median"},
    {"program latency p95 ms", "/programs/latency_ms/p95"},
    {"program latency p99 ms", "/programs/latency_ms/p99"},
    {"programs finished in time", "/programs/in_time"},
    {"share finished in time", "/programs/in_time_share"},
    {"turn p95 ms", "/turn_ms/p95"},
    {"first token p95 ms", "/first_token_ms/p95"},
    {"prefill tokens recomputed", "/cache/prefill_recomputed_tokens"},
    {"token-seconds held after end", "/cache/held_token_s_after_end"},
    {"wrong answers", "/wrong_answers"},
    {"duplicate executions", "/cache/duplicate_executions"},
};

double MetricValue(const json& result, const char* pointer) {
  const json::json_pointer at(pointer);
  return result.contains(at) && result[at].is_number()
             ? result[at].get<double>()
             : std::nan("");
}

}  // namespace

json Summarize(const std::vector<ProgramResult>& results, double wall_ms) {
  std::vector<double> latency;
  std::vector<double> turns;
  std::vector<double> first_tokens;
  std::map<std::string, std::vector<double>> by_kind;
  std::map<std::string, int64_t> refusals;
  std::map<std::string, int64_t> end_reasons;
  int64_t in_time = 0;
  int64_t calls = 0;
  int64_t checked = 0;
  int64_t wrong = 0;
  for (const ProgramResult& result : results) {
    if (result.finished) {
      latency.push_back(result.latency_ms);
      by_kind[result.kind].push_back(result.latency_ms);
    } else {
      ++end_reasons[result.end_reason];
    }
    in_time += result.in_time ? 1 : 0;
    calls += result.calls;
    checked += result.checked_answers;
    wrong += result.wrong_answers;
    Append(result.turn_ms, turns);
    Append(result.first_token_ms, first_tokens);
    for (const auto& [reason, count] : result.refusals) {
      refusals[reason] += count;
    }
  }
  const auto started = static_cast<double>(results.size());
  json kinds = json::object();
  for (const auto& [kind, values] : by_kind) {
    kinds[kind] = Distribution(values);
  }
  return {{"programs",
           {{"started", results.size()},
            {"finished", latency.size()},
            {"in_time", in_time},
            {"in_time_share",
             static_cast<double>(in_time) / std::max(started, 1.0)},
            {"latency_ms", Distribution(latency)},
            {"latency_ms_by_kind", kinds},
            {"unfinished_by_reason", end_reasons}}},
          {"calls", calls},
          {"wall_ms", wall_ms},
          {"refusals", refusals},
          {"turn_ms", Distribution(turns)},
          {"first_token_ms", Distribution(first_tokens)},
          {"checked_answers", checked},
          {"wrong_answers", wrong}};
}

json DescribeMachine() {
  utsname system{};
  uname(&system);
  return {{"cpu", ReadCpuName()},
          {"cores", std::thread::hardware_concurrency()},
          {"system", std::string(system.sysname) + " " + system.release}};
}

std::string Compare(const json& a, const json& b) {
  std::string text;
  char line[160];
  std::snprintf(line, sizeof(line), "%-30s %12s %12s %8s\n", "metric", "a", "b",
                "a/b");
  text += line;
  for (const Metric& metric : kMetrics) {
    const double first = MetricValue(a, metric.pointer);
    const double second = MetricValue(b, metric.pointer);
    std::snprintf(line, sizeof(line), "%-30s %12.2f %12.2f %8.3f\n",
                  metric.name, first, second, first / second);
    text += line;
  }
  return text;
}

}  // namespace ring::load
