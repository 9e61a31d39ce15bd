// Cost of membership per entry in steady state. Upstreams announce to two
// entries of their domain each second with randomly changing load. All
// directories run on one thread with a fake network, whose processor time is
// included, so the measured time is an upper bound. Bytes are those of gossip
// frames, without TCP/IP headers and pings.

#include <benchmark/benchmark.h>

#include "fakes/fake_ring.h"

namespace ring {
namespace {

using fakes::FakeRing;

void AnnounceAll(FakeRing& ring,
                 std::vector<UpstreamRecord>& upstreams,
                 size_t per_domain,
                 Rng& rng) {
  for (size_t i = 0; i < upstreams.size(); ++i) {
    auto& record = upstreams[i];
    // A quarter of the upstreams changes its load, mostly enough for a push.
    if (rng() % 4 == 0) {
      record.load.running = static_cast<int32_t>(rng() % 32);
    }
    const size_t domain = std::stoul(record.domain.substr(1));
    for (size_t copy = 0; copy < 2; ++copy) {
      const size_t entry = domain * per_domain + (i + copy) % per_domain;
      ring.nodes[entry]->Announce(record);
    }
  }
}

void GossipSteadyState(benchmark::State& state) {
  const auto domains = static_cast<size_t>(state.range(2));
  const auto per_domain = static_cast<size_t>(state.range(0)) / domains;
  constexpr int64_t kSettleMs = 10'000;
  constexpr int64_t kMeasureMs = 30'000;
  constexpr double kMsPerSecond = 1'000;
  for ([[maybe_unused]] auto unused : state) {
    state.PauseTiming();
    FakeRing ring(std::vector<size_t>(domains, per_domain), 1, state.range(3));
    Rng rng(1);
    std::vector<UpstreamRecord> upstreams;
    for (int64_t i = 0; i < state.range(1); ++i) {
      upstreams.push_back(FakeRing::Upstream(
          "upstream-" + std::to_string(i),
          "d" + std::to_string(static_cast<size_t>(i) % domains)));
    }
    ring.each_tick = [&] {
      if (ring.clock.NowMs() % 1'000 == 0) {
        AnnounceAll(ring, upstreams, per_domain, rng);
      }
    };
    ring.Run(kSettleMs);
    ring.net.sent_bytes = 0;
    ring.net.sent_frames = 0;
    const int64_t cpu = ProcessCpuMs();
    state.ResumeTiming();
    ring.Run(kMeasureMs);
    const double node_seconds = static_cast<double>(ring.nodes.size()) *
                                static_cast<double>(kMeasureMs) / kMsPerSecond;
    state.counters["bytes/s"] =
        static_cast<double>(ring.net.sent_bytes) / node_seconds;
    state.counters["frames/s"] =
        static_cast<double>(ring.net.sent_frames) / node_seconds;
    state.counters["cpu_ms/s"] =
        static_cast<double>(ProcessCpuMs() - cpu) / node_seconds;
  }
}
BENCHMARK(GossipSteadyState)
    ->ArgNames({"nodes", "upstreams", "domains", "load_period"})
    ->Args({10, 20, 1, 1'000})
    ->Args({20, 20, 1, 1'000})
    ->Args({40, 20, 1, 1'000})
    ->Args({10, 145, 1, 1'000})
    ->Args({20, 145, 1, 1'000})
    ->Args({40, 145, 1, 1'000})
    ->Args({40, 145, 1, 3'000})
    ->Args({40, 1300, 1, 1'000})
    ->Args({333, 1300, 9, 1'000})
    ->Args({333, 1300, 9, 3'000})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

}  // namespace
}  // namespace ring
