#include "gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;
using Then = ScriptedReply::Then;

/// Upstreams that end under a request whose body is "killer".
class GatewayCrashTest : public GatewayCallTest {
 protected:
  static constexpr size_t kUpstreams = 8;
  // Callers come back after some time; keepers tell entries meanwhile.
  static constexpr std::chrono::milliseconds kPause{100};

  /// How the upstream of an index ends.
  using End = std::function<ScriptedReply(size_t, const std::string& request)>;

  void ServeFragile(const End& end) {
    for (size_t i = 0; i < kUpstreams; ++i) {
      ServeTool([this, i, end](const std::string& request) {
        if (BodyOf(request) != "killer") {
          return ScriptedReply{{Whole(200, request, "ok")}};
        }
        ++runs_;
        last_ = i;
        return end(i, request);
      });
    }
    ConfigureAll();
  }
  ScriptedReply Crash(size_t index) {
    upstreams_[index]->StopListening();
    return {{}, Then::kReset};
  }
  ScriptedReply FallSilent(size_t index) {
    upstreams_[index]->StopAnswering();
    return {{}, Then::kStall};
  }
  CallerAnswer SendKiller(const std::string& more = "") {
    return Post("/order/1", "Request-Id: k" + std::to_string(++sent_) + more,
                "killer");
  }
  void SendKillers(size_t count, const std::string& more = "") {
    for (size_t i = 0; i < count; ++i) {
      SendKiller(more);
      std::this_thread::sleep_for(kPause);
    }
  }

  std::atomic<int> runs_{0};
  std::atomic<size_t> last_{0};  ///< Upstream that ran the killer last.
  int sent_ = 0;
};

// Guards against an entry out of reach that sends what it saw crash.
TEST_F(GatewayCrashTest, KillerWhileNoKeeperAnswers_IsQuarantined) {
  ServeFragile([this](size_t i, const std::string&) { return Crash(i); });
  FreezeKeeper();
  SendKillers(kUpstreams);
  EXPECT_LE(runs_.load(), kCrashesToQuarantine);
  ThawKeeper();
}

// Guards against crashes that are forgotten when the log cannot take them.
TEST_F(GatewayCrashTest, CrashesDuringAnOutage_AreKnownAtOtherEntriesAfterIt) {
  ServeFragile([this](size_t i, const std::string&) { return Crash(i); });
  FreezeKeeper();
  SendKillers(kCrashesToQuarantine);
  const int before = runs_.load();
  // Longer than a proposal lasts.
  std::this_thread::sleep_for(std::chrono::milliseconds(5'500));
  ThawKeeper();
  for (size_t i = 0; i < kUpstreams; ++i) {
    Announce("i-" + std::to_string(i + 1), "tool", upstreams_[i]->endpoint());
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  RestartEntry();
  WaitFor([&] {
    return Post("/order/1", "Request-Id: w" + std::to_string(++sent_), "x")
               .status() == 200;
  });
  SendKillers(2);
  EXPECT_EQ(runs_.load(), before);
}

// Guards against a failing upstream that clears a request by its error.
TEST_F(GatewayCrashTest, KillerThatAlsoMeetsErrors_IsQuarantined) {
  std::atomic<int> crashes{0};
  ServeFragile([&](size_t i, const std::string& request) {
    if (runs_ % 2 == 0) {
      return ScriptedReply{{Whole(500, request, "failed")}};
    }
    ++crashes;
    return Crash(i);
  });
  SendKillers(2 * kUpstreams);
  EXPECT_LE(crashes.load(), kCrashesToQuarantine);
}

// Guards against upstreams that end without a word.
TEST_F(GatewayCrashTest, KillerThatSilencesUpstreams_IsQuarantined) {
  ServeFragile([this](size_t i, const std::string&) { return FallSilent(i); });
  SendKillers(kUpstreams - 2, ", Deadline-Ms: 1000");
  EXPECT_LE(runs_.load(), kCrashesToQuarantine);
}

// Guards against callers that leave before the entry has noticed.
TEST_F(GatewayCrashTest, KillerWhoseCallersLeave_IsQuarantined) {
  ServeFragile([this](size_t i, const std::string&) { return FallSilent(i); });
  for (size_t i = 0; i < kUpstreams - 2; ++i) {
    const int fd = Connect();
    const std::string request =
        "GET /read/1 HTTP/1.1\r\nHost: h\r\nPersimmonring-Request-Id: g" +
        std::to_string(i) + "\r\nContent-Length: 6\r\n\r\nkiller";
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(750));
    close(fd);
    // A look at a silent upstream lasts this long.
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
  }
  // One attempt may reach two upstreams.
  EXPECT_LE(runs_.load(), kCrashesToQuarantine + 1);
}

// Guards against upstreams that are back before anyone looks.
TEST_F(GatewayCrashTest, KillerOfUpstreamsThatAreBackAtOnce_IsQuarantined) {
  ServeFragile([](size_t, const std::string&) {
    return ScriptedReply{{}, Then::kReset};
  });
  for (size_t i = 0; i < kUpstreams; ++i) {
    const int before = runs_.load();
    SendKiller();
    if (runs_.load() > before) {
      Announce("j-" + std::to_string(i), "tool",
               upstreams_[last_.load()]->endpoint(),
               2 + static_cast<int64_t>(i));
    }
    std::this_thread::sleep_for(kPause);
  }
  EXPECT_LE(runs_.load(), kCrashesToQuarantine);
}

// Guards against a popular request that is refused because upstreams crashed
// beside it.
TEST_F(GatewayCrashTest, SoundRequestUnderSeveralCrashes_IsServedAgain) {
  constexpr int kCrashed = 3;
  std::atomic<int> held{0};
  std::atomic<bool> crash_now{false};
  for (size_t i = 0; i < kUpstreams; ++i) {
    ServeTool([&, i](const std::string& request) {
      if (request.find("/read/page") == std::string::npos ||
          held.fetch_add(1) >= kCrashed) {
        return ScriptedReply{{Whole(200, request, "ok")}};
      }
      while (!crash_now.load()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      return Crash(i);
    });
  }
  ConfigureAll();
  std::vector<std::thread> callers;
  callers.reserve(kCrashed);
  for (int i = 0; i < kCrashed; ++i) {
    callers.emplace_back([this, i] {
      EXPECT_EQ(Get("/read/page", "Request-Id: h" + std::to_string(i)).status(),
                200);
    });
  }
  WaitFor([&held] { return held.load() == kCrashed; });
  crash_now = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Get("/read/page", "Request-Id: p" + std::to_string(i)).status(),
              200);
  }
}

}  // namespace
}  // namespace ring
