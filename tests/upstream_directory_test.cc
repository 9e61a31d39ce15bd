#include <gtest/gtest.h>

#include "fakes/fake_ring.h"
#include "gossip.generated.h"

namespace ring {
namespace {

using fakes::FakeRing;

constexpr auto kUp = MemberState::kUp;
constexpr auto kLeaving = MemberState::kLeaving;
constexpr auto kDown = MemberState::kDown;
constexpr int64_t kStartMs = 5'000;

fb::GossipKind KindOf(const Frame& frame) {
  return flatbuffers::GetRoot<fb::Gossip>(
             reinterpret_cast<const uint8_t*>(frame.payload.data()))
      ->kind();
}

// Runs each test with several seeds and records the seed.
class DirectoryGossip : public testing::TestWithParam<uint64_t> {
 protected:
  void SetUp() override {
    RecordProperty("seed", static_cast<int>(GetParam()));
  }

  // Announces the record at the given entries once a second, like an upstream.
  static void AnnounceEverySecond(FakeRing& ring,
                                  UpstreamRecord record,
                                  std::vector<size_t> entries) {
    ring.each_tick = [&ring, record = std::move(record),
                      entries = std::move(entries)] {
      if (ring.clock.NowMs() % 1'000 == 0) {
        for (const size_t entry : entries) {
          ring.nodes[entry]->Announce(record);
        }
      }
    };
  }
};
INSTANTIATE_TEST_SUITE_P(Seeds,
                         DirectoryGossip,
                         testing::Range<uint64_t>(1, 21));

// Guards against members that only some entries know.
TEST_P(DirectoryGossip, NewMembers_AreKnownEverywhereWithinASecond) {
  FakeRing ring({3, 3, 1}, GetParam());
  ring.Run(kStartMs);
  for (const auto& node : ring.nodes) {
    EXPECT_EQ(node->View()->entries.size(), 7u);
  }
  ring.nodes[6]->Announce(FakeRing::Upstream("u", "d2"));
  ring.Run(100);
  EXPECT_EQ(ring.CountOf("u", kUp), 7u);
}

// Guards against new calls to a leaving upstream if pushes are lost.
TEST_P(DirectoryGossip, LeavingNoticeWithLostPushes_IsKnownWithin3s) {
  FakeRing ring({10, 6, 6}, GetParam());
  ring.Run(kStartMs);
  auto record = FakeRing::Upstream("u", "d0");
  ring.nodes[0]->Announce(record);
  ring.Run(100);
  ASSERT_EQ(ring.CountOf("u", kUp), 22u);
  // All pushes of the first entry are lost.
  ring.net.drop = [](size_t from, size_t /*to*/, const Frame& frame) {
    return from == 0 && KindOf(frame) == fb::GossipKind::Push;
  };
  record.state = kLeaving;
  ring.nodes[0]->Announce(record);
  EXPECT_EQ(ring.StateAt(0, "u"), kLeaving);
  ring.Run(3'000);
  EXPECT_EQ(ring.CountOf("u", kLeaving), 22u);
}

// Guards against records that stay different after frame loss.
TEST_P(DirectoryGossip, FifthOfFramesLost_RecordsStillConverge) {
  FakeRing ring({3, 2, 2}, GetParam());
  Rng rng(GetParam());
  ring.net.drop = [&rng](size_t, size_t, const Frame&) {
    return rng() % 5 == 0;
  };
  ring.Run(kStartMs);
  for (uint32_t i = 0; i < 20; ++i) {
    auto record = FakeRing::Upstream("u" + std::to_string(i % 5), "d0");
    record.max_in_flight = static_cast<int32_t>(i);
    ring.nodes[i % 7]->Announce(record);
    ring.Run(50);
  }
  ring.Run(15'000);
  const auto first = ring.nodes[0]->View();
  EXPECT_EQ(first->upstreams.size(), 5u);
  for (const auto& node : ring.nodes) {
    const auto view = node->View();
    ASSERT_EQ(view->upstreams.size(), 5u);
    for (size_t i = 0; i < 5; ++i) {
      EXPECT_EQ(view->upstreams[i].max_in_flight,
                first->upstreams[i].max_in_flight);
    }
  }
}

// Guards against showing a failed upstream as up or a running one as down.
TEST_P(DirectoryGossip, SilentUpstream_IsDownEverywhereAfter5s) {
  FakeRing ring({3, 2, 2}, GetParam());
  ring.Run(kStartMs);
  AnnounceEverySecond(ring, FakeRing::Upstream("u", "d0"), {0});
  ring.Run(60'000);
  EXPECT_EQ(ring.CountOf("u", kUp), 7u);
  ring.each_tick = nullptr;
  ring.Run(3'900);
  EXPECT_EQ(ring.CountOf("u", kUp), 7u);
  ring.Run(1'300);
  EXPECT_EQ(ring.CountOf("u", kDown), 7u);
  // The same incarnation is heard again.
  ring.nodes[0]->Announce(FakeRing::Upstream("u", "d0"));
  ring.Run(3'000);
  EXPECT_EQ(ring.CountOf("u", kUp), 7u);
}

// Guards against showing members as down because of high latency.
TEST_P(DirectoryGossip, SlowLinks_NeverMarkAHeardUpstreamDown) {
  FakeRing ring({3, 2, 2}, GetParam());
  ring.net.delay_ms = 2'000;
  ring.Run(4 * kStartMs);
  ring.nodes[0]->Announce(FakeRing::Upstream("u", "d0"));
  ring.Run(10 * ring.net.delay_ms);
  AnnounceEverySecond(ring, FakeRing::Upstream("u", "d0"), {0});
  ring.Run(20'000);
  for (int i = 0; i < 600; ++i) {
    ring.Run(100);
    ASSERT_EQ(ring.CountOf("u", kDown), 0u);
  }
}

// Guards against an upstream that is marked as down at other entries because
// one witness no longer hears from it, although another one does.
TEST_P(DirectoryGossip, OneWitnessCutOff_UpstreamStaysUp) {
  FakeRing ring({3, 2, 2}, GetParam());
  ring.Run(kStartMs);
  AnnounceEverySecond(ring, FakeRing::Upstream("u", "d0"), {0, 1});
  ring.Run(3'000);
  AnnounceEverySecond(ring, FakeRing::Upstream("u", "d0"), {1});
  for (int i = 0; i < 300; ++i) {
    ring.Run(100);
    ASSERT_EQ(ring.StateAt(1, "u"), kUp);
    // Entry 0 may mark the upstream as down until its notice is refuted.
    for (size_t other = 2; other < 7; ++other) {
      ASSERT_EQ(ring.StateAt(other, "u"), kUp) << other;
    }
  }
}

// Guards against running upstreams that are marked as down after a partition
// heals.
TEST_P(DirectoryGossip, DomainCutOffForAMinute_RecoversWithoutNewIncarnation) {
  FakeRing ring({3, 2, 2}, GetParam());
  ring.Run(kStartMs);
  AnnounceEverySecond(ring, FakeRing::Upstream("u", "d0"), {0, 1});
  ring.Run(3'000);
  ring.net.cut = [](size_t a, size_t b) { return (a < 3) != (b < 3); };
  ring.Run(60'000);
  for (size_t i = 0; i < 7; ++i) {
    EXPECT_EQ(ring.StateAt(i, "u"), i < 3 ? kUp : kDown) << i;
  }
  ring.net.cut = nullptr;
  ring.Run(5'000);
  EXPECT_EQ(ring.CountOf("u", kUp), 7u);
}

// Guards against an incarnation that returns from leaving to up.
TEST_P(DirectoryGossip, LeavingState_EndsOnlyWithANewIncarnation) {
  FakeRing ring({3, 2, 2}, GetParam());
  ring.Run(kStartMs);
  auto record = FakeRing::Upstream("u", "d0", 5);
  ring.nodes[0]->Announce(record);
  record.state = kLeaving;
  ring.nodes[0]->Announce(record);
  // An entry that lacks the leaving state gives the record a higher version.
  record.state = kUp;
  for (const int limit : {9, 10, 11}) {
    record.max_in_flight = limit;
    ring.nodes[4]->Announce(record);
  }
  ring.Run(2'000);
  EXPECT_EQ(ring.CountOf("u", kLeaving), 7u);
  record.id.incarnation = 4;
  EXPECT_EQ(ring.nodes[1]->Announce(record).refusal().reason,
            Reason::kStaleEpoch);
  record.id.incarnation = 6;
  EXPECT_TRUE(ring.nodes[1]->Announce(record).ok());
  ring.Run(200);
  EXPECT_EQ(ring.CountOf("u", kUp), 7u);
}

// Guards against records of departed members that reappear or are never
// dropped.
TEST_P(DirectoryGossip, DepartedUpstream_IsForgottenAfterTombstoneTime) {
  FakeRing ring({2, 2}, GetParam());
  ring.Run(kStartMs);
  auto record = FakeRing::Upstream("u", "d0");
  record.state = kLeaving;
  ring.nodes[0]->Announce(record);
  ring.Run(500'000);
  for (const auto& node : ring.nodes) {
    ASSERT_EQ(node->View()->upstreams.size(), 1u);
    EXPECT_EQ(node->View()->upstreams[0].state, kDown);
  }
  ring.Run(110'000);
  for (const auto& node : ring.nodes) {
    EXPECT_TRUE(node->View()->upstreams.empty());
  }
}

// Guards against sending load to other domains or too often.
TEST_P(DirectoryGossip, Load_StaysInDomainAndIsLimitedToOncePerSecond) {
  FakeRing ring({3, 2}, GetParam());
  ring.Run(kStartMs);
  auto record = FakeRing::Upstream("u", "d0");
  ring.nodes[0]->Announce(record);
  ring.Run(100);
  ASSERT_EQ(ring.CountOf("u", kUp), 5u);
  int load_frames = 0;
  ring.net.drop = [&](size_t from, size_t to, const Frame& frame) {
    const auto* gossip = flatbuffers::GetRoot<fb::Gossip>(
        reinterpret_cast<const uint8_t*>(frame.payload.data()));
    const bool has_load = gossip->loads() != nullptr;
    load_frames += has_load ? 1 : 0;
    EXPECT_FALSE(has_load && (from < 3) != (to < 3));
    return false;
  };
  for (int i = 0; i < 100; ++i) {
    record.load.running = 5 + 10 * (i % 7);
    ring.nodes[0]->Announce(record);
    ring.Run(100);
  }
  EXPECT_GE(load_frames, 2 * 8);  // Two peers.
  EXPECT_LE(load_frames, 2 * 11);
  EXPECT_GT(ring.nodes[1]->View()->upstreams[0].load.running, 0);
  EXPECT_EQ(ring.nodes[4]->View()->upstreams[0].load.running, 0);
}

// Guards against a crash on malformed gossip.
TEST_P(DirectoryGossip, MutatedFrames_DoNotCrash) {
  FakeRing ring({2, 2}, GetParam());
  Rng rng(GetParam());
  std::vector<Frame> seen;
  ring.net.drop = [&](size_t, size_t, const Frame& frame) {
    seen.push_back(frame);
    return false;
  };
  for (const char* name : {"a", "b", "c"}) {
    ring.nodes[0]->Announce(FakeRing::Upstream(name, "d0"));
    ring.Run(1'000);
  }
  ring.net.drop = nullptr;
  for (int i = 0; i < 2'000; ++i) {
    Frame frame = seen[rng() % seen.size()];
    for (uint64_t n = rng() % 4 + 1; n > 0 && !frame.payload.empty(); --n) {
      frame.payload[rng() % frame.payload.size()] = static_cast<char>(rng());
    }
    ring.nodes[1]->OnFrame({1}, {.node = "e0", .domain = "d0"}, frame);
  }
  EXPECT_NE(ring.nodes[1]->View(), nullptr);
}

// Guards against an upstream that gets calls although they keep failing, and
// against one that is never tried again.
TEST(DirectorySuspect, ThreeConsecutiveFailures_ShowUpstreamDownForAWhile) {
  FakeRing ring({2}, 1);
  ring.Run(kStartMs);
  const auto record = FakeRing::Upstream("u", "d0");
  ring.nodes[0]->Announce(record);
  ring.Run(100);
  const auto fail = [&](Reason reason) {
    ring.nodes[0]->ReportFailure(record.id, reason);
  };
  fail(Reason::kUpstreamReset);
  fail(Reason::kUpstreamReset);
  ring.nodes[0]->ReportSuccess(record.id);
  fail(Reason::kUpstreamReset);
  fail(Reason::kUpstreamReset);
  fail(Reason::kUpstreamError);  // Says nothing about reachability.
  EXPECT_EQ(ring.StateAt(0, "u"), kUp);
  fail(Reason::kUpstreamTimeout);
  EXPECT_EQ(ring.StateAt(0, "u"), kDown);
  EXPECT_EQ(ring.StateAt(1, "u"), kUp);
  ring.Run(1'200);
  EXPECT_EQ(ring.StateAt(0, "u"), kUp);
  fail(Reason::kUpstreamReset);
  ring.Run(1'200);
  EXPECT_EQ(ring.StateAt(0, "u"), kDown);  // Twice as long.
  ring.nodes[0]->ReportSuccess(record.id);
  ring.Run(100);
  EXPECT_EQ(ring.StateAt(0, "u"), kUp);
}

}  // namespace
}  // namespace ring
