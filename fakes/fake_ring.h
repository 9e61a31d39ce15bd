#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_net.h"
#include "persimmonring/upstream.h"

namespace ring::fakes {

/// Directories of several entries, connected by a fake network and clock.
class FakeRing {
 public:
  /// @param per_domain number of entries in each domain
  FakeRing(const std::vector<size_t>& per_domain,
           uint64_t seed,
           int64_t load_period_ms = 1'000)
      : net(clock), load_period_ms_(load_period_ms) {
    size_t index = 0;
    for (size_t domain = 0; domain < per_domain.size(); ++domain) {
      for (size_t i = 0; i < per_domain[domain]; ++i, ++index) {
        Add(index, "d" + std::to_string(domain), seed);
      }
    }
  }

  /// Advances the clock by `ms` in steps of 10 ms, delivers due frames after
  /// each step and ticks all directories every 100 ms.
  void Run(int64_t ms) {
    constexpr int64_t kStepMs = 10;
    constexpr int64_t kTickMs = 100;
    for (int64_t done = 0; done < ms; done += kStepMs) {
      clock.AdvanceMs(kStepMs);
      net.Deliver();
      if (clock.NowMs() % kTickMs == 0) {
        for (auto& directory : nodes) {
          directory->Tick();
        }
        if (each_tick) {
          each_tick();
        }
      }
    }
  }

  /// @returns the state of the upstream in the view of one entry; kDown if the
  /// entry does not know the upstream
  MemberState StateAt(size_t node, const std::string& upstream) const {
    for (const auto& record : nodes[node]->View()->upstreams) {
      if (record.id.name == upstream) {
        return record.state;
      }
    }
    return MemberState::kDown;
  }

  /// @returns number of entries whose view has the upstream in this state
  size_t CountOf(const std::string& upstream, MemberState state) const {
    size_t count = 0;
    for (size_t i = 0; i < nodes.size(); ++i) {
      count += StateAt(i, upstream) == state ? 1 : 0;
    }
    return count;
  }

  static UpstreamRecord Upstream(const std::string& name,
                                 const std::string& domain,
                                 uint64_t incarnation = 1) {
    return {.id = {.name = name, .incarnation = incarnation},
            .address = {.ip = "127.0.0.1", .port = 80},
            .domain = domain,
            .region = "r",
            .models = {"model"},
            .max_in_flight = 8};
  }

  FakeClock clock;
  FakeNet net;
  std::vector<std::unique_ptr<Directory>> nodes;
  std::function<void()> each_tick;  ///< Called after each tick, every 100 ms.

 private:
  void Add(size_t index, const std::string& domain, uint64_t seed) {
    const PeerInfo info = {.node = "e" + std::to_string(index),
                           .domain = domain,
                           .region = "r",
                           .incarnation = 1};
    HubI& hub = net.Add(info);
    nodes.push_back(std::make_unique<Directory>(
        Directory::Init{.node = info.node,
                        .domain = domain,
                        .region = "r",
                        .wire = FakeNet::EndpointOf(index),
                        .seeds = {FakeNet::EndpointOf(0)},
                        .incarnation = 1,
                        .load_period_ms = load_period_ms_,
                        .seed = seed * 1'000 + index + 1},
        hub, clock));
    net.SetReceiver(
        index, [raw = nodes.back().get()](const auto& session, const auto& peer,
                                          const auto& frame) {
          raw->OnFrame(session, peer, frame);
        });
  }

  const int64_t load_period_ms_;
};

}  // namespace ring::fakes
