// Fake model engine or service for tests and benchmarks.
//
// The engine model has a constant prefill rate, a decode step time of
// decode_base_ms + decode_per_sequence_ms x batch size, chunked prefill that
// shares steps with decoding, memory counted in tokens, and a prefix cache by
// key with least-recently-used eviction. It does not model: real tokenization
// (four bytes are one token), attention cost that grows with context length,
// prefixes shared between keys, paging and preemption of running sequences,
// several accelerators, the cost of tokens before resume_from, non-streaming
// answers, and malformed generated JSON.

#include <cstdio>
#include <memory>

#include <CLI/CLI.hpp>

#include "fakes/ringfake/announcer.h"
#include "fakes/ringfake/engine_server.h"
#include "fakes/ringfake/service_server.h"

namespace ring::fakes {
namespace {

void AddCommonOptions(CLI::App& app, Options& o) {
  app.add_option("--kind", o.kind)->check(CLI::IsMember({"engine", "service"}));
  app.add_option("--name", o.name);
  app.add_option("--ip", o.ip)->check(CLI::ValidIPV4);
  app.add_option("--port", o.port, "0: any free port, printed as port=N");
  app.add_option("--domain", o.domain);
  app.add_option("--region", o.region);
  app.add_option("--models", o.models)->delimiter(',');
  app.add_option("--services", o.services)->delimiter(',');
  app.add_option("--entries", o.entries, "ip:port")->delimiter(',');
  app.add_option("--threads", o.threads, "HTTP connections served concurrently")
      ->check(CLI::PositiveNumber);
  app.add_option("--max-in-flight", o.max_in_flight,
                 "announced capacity; 0: --max-batch");
  app.add_option("--announce-period-ms", o.announce_period_ms);
  app.add_option("--leave-grace-ms", o.leave_grace_ms,
                 "minimum time between leaving notice and exit");
  app.add_option("--seed", o.seed);
}

void AddEngineOptions(CLI::App& app, Options& o) {
  app.add_option("--prefill-tokens-per-ms", o.prefill_tokens_per_ms)
      ->check(CLI::PositiveNumber);
  app.add_option("--decode-base-ms", o.decode_base_ms);
  app.add_option("--decode-per-sequence-ms", o.decode_per_sequence_ms);
  app.add_option("--prefill-chunk-tokens", o.prefill_chunk_tokens)
      ->check(CLI::PositiveNumber);
  app.add_option("--max-batch", o.max_batch)->check(CLI::PositiveNumber);
  app.add_option("--max-waiting", o.max_waiting);
  app.add_option("--cache-tokens", o.cache_tokens);
  app.add_option("--answer-tokens-min", o.answer_tokens_min);
  app.add_option("--answer-tokens-max", o.answer_tokens_max);
  app.add_option("--load-lag-ms", o.load_lag_ms);
  app.add_option("--event-delay-ms", o.event_delay_ms);
  app.add_option("--event-loss", o.event_loss)->check(CLI::Range(0.0, 1.0));
  app.add_option("--transfer-tokens-per-ms", o.transfer_tokens_per_ms)
      ->check(CLI::PositiveNumber);
  app.add_option("--order-ms", o.order_ms);
  app.add_flag("--ignore-fence", o.ignore_fence);
}

void AddServiceOptions(CLI::App& app, Options& o) {
  app.add_option("--delay-ms", o.delay_ms);
  app.add_option("--break", o.break_mode)
      ->check(CLI::IsMember(
          {"none", "close_before", "close_after", "die_before", "die_after"}));
}

nlohmann::json Announcement(const Options& options,
                            const InstanceState& instance,
                            EngineServer* engine,
                            int port) {
  const bool is_engine = engine != nullptr;
  return {
      {"name", options.name},
      {"incarnation", instance.incarnation},
      {"address", options.ip + ":" + std::to_string(port)},
      {"kind", options.kind},
      {"domain", options.domain},
      {"region", options.region},
      {"models", is_engine ? engine->Models() : nlohmann::json::array()},
      {"services", options.services},
      {"adapters", is_engine ? engine->Adapters() : nlohmann::json::array()},
      {"max_in_flight",
       options.max_in_flight > 0 ? options.max_in_flight : options.max_batch},
      {"load", is_engine
                   ? engine->Load()
                   : nlohmann::json{{"running", instance.in_flight.load()},
                                    {"waiting", 0}}},
      {"leaving", instance.leaving.load()},
      {"fencing", is_engine && !options.ignore_fence}};
}

// Announces leaving, then waits until all requests have finished and at least
// leave_grace_ms have passed, so that the entries can spread the notice.
void Leave(const Options& options,
           InstanceState& instance,
           Announcer& announcer) {
  instance.leaving.store(true);
  announcer.AnnounceNow();
  constexpr int64_t kPollMs = 20;
  const int64_t earliest = SystemClock().NowMs() + options.leave_grace_ms;
  while (SystemClock().NowMs() < earliest || instance.in_flight.load() > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
}

int Serve(const Options& options) {
  InstanceState instance;
  instance.incarnation = static_cast<uint64_t>(SystemClock().WallMs());
  Faults faults;
  std::unique_ptr<EngineServer> engine;
  std::unique_ptr<ServiceServer> service;
  httplib::Server server;
  ConfigureServer(server, options.threads);
  if (options.kind == "engine") {
    engine = std::make_unique<EngineServer>(options, instance, faults);
    engine->AddRoutes(server);
  } else {
    service = std::make_unique<ServiceServer>(options, instance, faults);
    service->AddRoutes(server);
  }
  int port = options.port;
  if (port == 0) {
    port = server.bind_to_any_port(options.ip);
  } else if (!server.bind_to_port(options.ip, port)) {
    port = -1;
  }
  if (port <= 0) {
    std::fprintf(stderr, "cannot listen on %s\n", options.ip.c_str());
    return kExitPortInUse;
  }
  std::printf("port=%d\n", port);
  std::fflush(stdout);
  Announcer announcer(options, [&] {
    return Announcement(options, instance, engine.get(), port);
  });
  server.Post("/v1/fake/fault", [&](const auto& request, auto& response) {
    nlohmann::json body;
    if (!ParseBody(request, response, body)) {
      return;
    }
    if (!faults.Set(body)) {
      ReplyNotRun(response, 400, "bad_request", "unknown fault kind");
      return;
    }
    if (body["kind"] == "leave") {
      instance.leaving.store(true);
      announcer.AnnounceNow();
    }
    if (body["kind"] == "slow_factor" && engine) {
      engine->SetSlowFactor(body.value("factor", 1.0));
    }
    ReplyJson(response, {{"set", true}});
  });
  std::thread http([&] { server.listen_after_bind(); });
  constexpr int64_t kSignalPollMs = 1'000;
  while (!WaitStopSignal(kSignalPollMs)) {
  }
  Leave(options, instance, announcer);
  server.stop();
  http.join();
  return kExitOk;
}

}  // namespace
}  // namespace ring::fakes

int main(int argc, char** argv) {
  ring::BlockStopSignals();
  ring::fakes::Options options;
  CLI::App app("Fake model engine or service");
  ring::fakes::AddCommonOptions(app, options);
  ring::fakes::AddEngineOptions(app, options);
  ring::fakes::AddServiceOptions(app, options);
  CLI11_PARSE(app, argc, argv);
  return ring::fakes::Serve(options);
}
