// Time of one decision. Arguments: number of upstreams, number of waiting calls
// and share of full upstreams in percent. Each call is for one of three models.

#include <benchmark/benchmark.h>

#include "persimmonring/policy.h"

namespace ring {
namespace {

constexpr uint16_t kModels = 3;

PolicyInput MakeInput(uint16_t upstreams, size_t calls, int32_t used_percent) {
  PolicyInput input{.now_ms = 100'000, .seed = 1};
  Rng rng(1);
  for (uint16_t i = 0; i < upstreams; ++i) {
    input.upstreams.push_back(
        {.handle = {i},
         .link = static_cast<LinkClass>(i % 3),
         .limit = 16,
         .own_in_flight =
             static_cast<int32_t>(UniformInt(rng, 0, 100)) < used_percent ? 16
                                                                          : 8,
         .pending_decode_tokens = 1'000,
         .cache_capacity_tokens = 1'000'000,
         .cache_used_tokens = UniformInt(rng, 0, 1'000'000)});
  }
  for (size_t i = 0; i < calls; ++i) {
    CallView call{.ticket = i + 1, .program = i + 1, .root = i + 1};
    call.first_call = i % 5 == 0;
    call.arrival_ms = 100'000 - UniformInt(rng, 0, 1'000);
    call.deadline_ms = 100'000 + UniformInt(rng, 60'000, 600'000);
    call.prompt_tokens = UniformInt(rng, 500, 50'000);
    call.expected_output_tokens = 200;
    call.expected_remaining_calls = 5;
    for (uint16_t u = i % kModels; u < upstreams; u += kModels) {
      call.candidates.push_back({u});
    }
    if (!call.first_call) {
      const size_t at = UniformInt(rng, 0, call.candidates.size() - 1);
      call.cached = {{call.candidates[at], call.prompt_tokens * 9 / 10}};
    }
    input.queue.push_back(std::move(call));
  }
  return input;
}

void Decide(benchmark::State& state, const char* name) {
  const PolicyInput input = MakeInput(static_cast<uint16_t>(state.range(0)),
                                      static_cast<size_t>(state.range(1)),
                                      static_cast<int32_t>(state.range(2)));
  const auto policy = CreatePolicy(name, {});
  size_t assigned = 0;
  for (auto _ : state) {
    assigned = policy->Decide(input).assignments.size();
    benchmark::DoNotOptimize(assigned);
  }
  state.counters["assigned"] = static_cast<double>(assigned);
}

void Sizes(benchmark::internal::Benchmark* bench) {
  bench->ArgNames({"upstreams", "calls", "used_pct"});
  for (const int64_t upstreams : {10, 145, 1'300}) {
    bench->Args({upstreams, 4, 60});     // Short queue, some free slots.
    bench->Args({upstreams, 100, 100});  // All upstreams full, short queue.
    bench->Args(
        {upstreams, 1'000, 100});  // All upstreams full, queue at its bound.
    bench->Args({upstreams, 1'000, 90});  // Burst with some free slots.
  }
  bench->Unit(benchmark::kMicrosecond);
}

BENCHMARK_CAPTURE(Decide, program, "program")->Apply(Sizes);
BENCHMARK_CAPTURE(Decide, least_in_flight, "fcfs-least-in-flight")
    ->Apply(Sizes);

}  // namespace
}  // namespace ring
