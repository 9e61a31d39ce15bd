// Load generator: runs seeded agent programs against the entries of a ring over
// HTTP, and verifies each answer.

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include <CLI/CLI.hpp>

#include "fakes/ringload/cache_monitor.h"
#include "fakes/ringload/program.h"
#include "fakes/ringload/report.h"
#include "persimmonring/runtime.h"

namespace ring::load {
namespace {

using nlohmann::json;

struct Options {
  ScenarioInit scenario;
  EngineModel engines;
  double load = 0;  // Fraction of capacity; 0: use programs_per_s.
  std::vector<std::string> entries;
  std::vector<std::string> engine_stats;
  std::vector<std::string> service_stats;
  std::string team = "load";
  std::string model = "model";
  std::string service;
  std::string policy;  // Label for the result file.
  std::string out;
  size_t max_programs = 600;
  std::vector<std::string> compare;
  std::vector<std::string> plot;
  std::string command;
};

void AddOptions(CLI::App& app, Options& o) {
  app.add_option("--entries", o.entries, "ip:port")->delimiter(',');
  app.add_option("--scenario", o.scenario.name)
      ->check(CLI::IsMember({"cascade", "zarqa"}));
  app.add_option("--seed", o.scenario.seed);
  app.add_option("--duration-ms", o.scenario.duration_ms,
                 "time during which programs arrive")
      ->check(CLI::PositiveNumber);
  app.add_option("--rate", o.scenario.programs_per_s, "programs per second")
      ->check(CLI::PositiveNumber);
  app.add_option("--load", o.load, "arrival rate as a fraction of capacity");
  app.add_option("--deadline-factor", o.scenario.deadline_factor,
                 "deadline as a multiple of the program's time without load");
  app.add_option("--engines", o.engines.engines, "engines, for --load");
  app.add_option("--decode-base-ms", o.engines.decode_base_ms);
  app.add_option("--decode-per-sequence-ms", o.engines.decode_per_sequence_ms);
  app.add_option("--max-batch", o.engines.max_batch);
  app.add_option("--prefill-tokens-per-ms", o.engines.prefill_tokens_per_ms);
  app.add_option("--team", o.team);
  app.add_option("--model", o.model);
  app.add_option("--service", o.service, "name; empty: no service calls");
  app.add_option("--engine-stats", o.engine_stats, "ip:port of fake upstreams")
      ->delimiter(',');
  app.add_option("--service-stats", o.service_stats,
                 "ip:port of fake upstreams")
      ->delimiter(',');
  app.add_option("--policy", o.policy, "label for the result file");
  app.add_option("--max-programs", o.max_programs,
                 "maximum running at the same time")
      ->check(CLI::PositiveNumber);
  app.add_option("--out", o.out, "JSON result; default: standard output");
  app.add_option("--compare", o.compare, "two result files")->expected(2);
  app.add_option("--plot", o.plot, "SVG file and result files")
      ->expected(2, 1'000);
}

std::vector<Endpoint> Endpoints(const std::vector<std::string>& texts) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : texts) {
    const auto endpoint = Endpoint::Parse(text);
    if (!endpoint) {
      std::fprintf(stderr, "invalid address, expected ip:port: %s\n",
                   text.c_str());
      std::exit(kExitUsage);
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

json ReadJson(const std::string& file) {
  std::ifstream stream(file);
  json value = json::parse(stream, nullptr, false);
  if (!value.is_object()) {
    std::fprintf(stderr, "no JSON result: %s\n", file.c_str());
    std::exit(kExitFailure);
  }
  return value;
}

int WritePlot(const std::vector<std::string>& files) {
  std::vector<json> results;
  for (size_t i = 1; i < files.size(); ++i) {
    results.push_back(ReadJson(files[i]));
  }
  std::ofstream stream(files.front());
  stream << Plot(results);
  return stream.good() ? kExitOk : kExitFailure;
}

// Starts each program at its arrival time, on a thread of its own. Skips
// arrivals while max_programs are running.
class Runner {
 public:
  Runner(RunInit init, size_t max_programs)
      : init_(std::move(init)), max_programs_(max_programs) {}

  std::vector<ProgramResult> Run(const std::vector<ProgramPlan>& plans) {
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    for (size_t i = 0; i < plans.size(); ++i) {
      std::this_thread::sleep_until(
          start + std::chrono::milliseconds(plans[i].arrival_ms));
      if (running_.load() >= max_programs_) {
        ++not_started_;
        continue;
      }
      ++running_;
      threads.emplace_back([this, &plan = plans[i], i] {
        ProgramResult result = RunProgram(init_, plan, i);
        std::lock_guard lock(mutex_);
        results_.push_back(std::move(result));
        --running_;
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    return std::move(results_);
  }
  size_t not_started() const { return not_started_; }

 private:
  const RunInit init_;
  const size_t max_programs_;
  std::atomic<size_t> running_{0};
  size_t not_started_ = 0;
  std::mutex mutex_;
  std::vector<ProgramResult> results_;
};

int RunLoad(Options& o) {
  o.scenario.services = !o.service.empty();
  const double capacity = CapacityPerSecond(o.scenario, o.engines);
  if (o.load > 0) {
    o.scenario.programs_per_s = o.load * capacity;
  }
  const std::vector<ProgramPlan> plans = GeneratePlans(o.scenario, o.engines);
  CacheMonitor monitor(Endpoints(o.engine_stats), Endpoints(o.service_stats));
  RunInit init{
      .entries = Endpoints(o.entries),
      .team = o.team,
      .model = o.model,
      .service = o.service,
      .on_ended = [&monitor](const std::string& id) { monitor.OnEnded(id); }};
  Runner runner(std::move(init), o.max_programs);
  const int64_t start_ms = SystemClock().NowMs();
  const auto results = runner.Run(plans);
  json result =
      Summarize(results, static_cast<double>(SystemClock().NowMs() - start_ms));
  result["programs"]["not_started"] = runner.not_started();
  result["scenario"] = o.scenario.name;
  result["seed"] = o.scenario.seed;
  result["load"] = o.load;
  result["policy"] = o.policy;
  result["programs_per_s"] = o.scenario.programs_per_s;
  result["capacity_programs_per_s"] = capacity;
  result["command"] = o.command;
  result["machine"] = DescribeMachine();
  result["cache"] = monitor.Finish();
  if (o.out.empty()) {
    std::cout << result.dump(2) << "\n";
    return kExitOk;
  }
  std::ofstream stream(o.out);
  stream << result.dump(2) << "\n";
  return stream.good() ? kExitOk : kExitFailure;
}

int Main(int argc, char** argv) {
  Options options;
  CLI::App app(
      "Load generator with seeded agent programs; verifies each answer");
  AddOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  for (int i = 0; i < argc; ++i) {
    options.command += (i > 0 ? " " : "") + std::string(argv[i]);
  }
  if (!options.compare.empty()) {
    std::cout << Compare(ReadJson(options.compare[0]),
                         ReadJson(options.compare[1]));
    return kExitOk;
  }
  if (!options.plot.empty()) {
    return WritePlot(options.plot);
  }
  if (options.entries.empty()) {
    std::fprintf(stderr, "--entries is required\n");
    return kExitUsage;
  }
  return RunLoad(options);
}

}  // namespace
}  // namespace ring::load

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  return ring::load::Main(argc, argv);
}
