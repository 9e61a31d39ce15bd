// Single entry with local stores, without keepers or other entries. Benchmarks
// use it to measure scheduling policies over the real HTTP path between callers
// and engines without the cost of replication.

#include <cstdio>

#include <CLI/CLI.hpp>

#include "fakes/fake_upstreams.h"
#include "persimmonring/entry.h"

namespace ring {
namespace {

struct Options {
  uint16_t port = 0;
  std::string policy = "program";
  std::string domain = "salem";
  std::string region = "oregon";
  int64_t max_queue = 1'000;
  int64_t threads = 512;
};

int Serve(const Options& options) {
  InitLog({.process = "ringsolo", .node = "solo", .level = LogLevel::kWarn});
  const auto store = CreateLocalProgramStore(options.domain, {}, SystemClock());
  const auto control = CreateLocalControlStore(SystemClock());
  const auto engine = CreateHttpEngineClient();
  const auto service = CreateHttpServiceClient();
  const auto policy =
      CreatePolicy(options.policy, {.max_queue = options.max_queue});
  const auto retries = CreateRetryPolicy({});
  FakeDirectory directory;
  if (policy == nullptr) {
    std::fprintf(stderr, "unknown policy: %s\n", options.policy.c_str());
    return kExitUsage;
  }
  EntryInit init;
  init.ring = init.node = "solo";
  init.domain = options.domain;
  init.region = options.region;
  init.http = {"127.0.0.1", options.port};
  init.admin = {"127.0.0.1", 0};
  init.http_limits.threads = options.threads;
  init.http_limits.max_waiting = options.threads;
  init.call_limits.attempt_threads = options.threads;
  init.call_limits.max_queue = options.max_queue;
  init.seed = 1;
  EntryDependencies parts{.clock = &SystemClock(),
                          .programs = store.get(),
                          .control = control.get(),
                          .directory = &directory,
                          .engine = engine.get(),
                          .service = service.get(),
                          .policy = policy.get(),
                          .retries = retries.get()};
  const auto entry = Entry::Create(init, parts);
  if (!entry) {
    std::fprintf(stderr, "%s\n", entry.refusal().message.c_str());
    return kExitPortInUse;
  }
  Supervisor supervisor({.name = "solo"});
  (*entry)->AddWorkers(supervisor);
  supervisor.Start();
  std::printf("port=%d\n", (*entry)->http_port());
  std::fflush(stdout);
  while (!WaitStopSignal(1'000)) {
  }
  supervisor.Stop();
  return kExitOk;
}

}  // namespace
}  // namespace ring

int main(int argc, char** argv) {
  ring::BlockStopSignals();
  ring::Options options;
  CLI::App app("Single entry with local stores, for benchmarks");
  app.add_option("--port", options.port, "0: any free port");
  app.add_option("--policy", options.policy);
  app.add_option("--domain", options.domain);
  app.add_option("--region", options.region);
  app.add_option("--max-queue", options.max_queue);
  app.add_option("--threads", options.threads,
                 "HTTP threads, and as many attempt threads");
  CLI11_PARSE(app, argc, argv);
  return ring::Serve(options);
}
