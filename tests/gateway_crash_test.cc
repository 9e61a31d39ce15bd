#include "gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;
using Then = ScriptedReply::Then;

/// Runs upstreams that crash when they receive a request with the body
/// "killer".
class GatewayCrashTest : public GatewayCallTest {
 protected:
  static constexpr size_t kUpstreams = 8;
  // Time between a caller's attempts, in which keepers inform the entries.
  static constexpr std::chrono::milliseconds kPause{100};

  /// Lets the upstream with this index crash.
  using End = std::function<ScriptedReply(size_t, const std::string& request)>;

  void ServeCrashing(const End& end) {
    for (size_t i = 0; i < kUpstreams; ++i) {
      ServeTool([this, i, end](const std::string& request) {
        if (BodyOf(request) != "killer") {
          return ScriptedReply{{FullResponse(200, request, "ok")}};
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
  CallerResponse SendCrashingRequest(const std::string& more = "") {
    return Post("/order/1", "Request-Id: k" + std::to_string(++sent_) + more,
                "killer");
  }
  void SendCrashingRequests(size_t count, const std::string& more = "") {
    for (size_t i = 0; i < count; ++i) {
      SendCrashingRequest(more);
      std::this_thread::sleep_for(kPause);
    }
  }

  std::atomic<int> runs_{0};
  std::atomic<size_t> last_{0};  ///< Upstream that crashed last.
  int sent_ = 0;
};

// Guards against an entry that has no connection to keepers and sends a request
// again after it has crashed upstreams.
TEST_F(GatewayCrashTest, CrashingRequestWithoutKeepers_IsQuarantined) {
  ServeCrashing([this](size_t i, const std::string&) { return Crash(i); });
  PauseKeeper();
  SendCrashingRequests(kUpstreams);
  EXPECT_LE(runs_.load(), kCrashesToQuarantine);
  ResumeKeeper();
}

// Guards against losing crashes that are detected while the replicated log is
// unavailable.
TEST_F(GatewayCrashTest, CrashesDuringAnOutage_AreKnownAtOtherEntriesAfterIt) {
  ServeCrashing([this](size_t i, const std::string&) { return Crash(i); });
  PauseKeeper();
  SendCrashingRequests(kCrashesToQuarantine);
  const int before = runs_.load();
  // Longer than the timeout of a proposal.
  std::this_thread::sleep_for(std::chrono::milliseconds(5'500));
  ResumeKeeper();
  for (size_t i = 0; i < kUpstreams; ++i) {
    Announce("i-" + std::to_string(i + 1), "tool", upstreams_[i]->endpoint());
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  RestartEntry();
  WaitFor([&] {
    return Post("/order/1", "Request-Id: w" + std::to_string(++sent_), "x")
               .status() == 200;
  });
  SendCrashingRequests(2);
  EXPECT_EQ(runs_.load(), before);
}

// Guards against clearing a request because an upstream answers it with an
// error.
TEST_F(GatewayCrashTest, CrashingRequestThatAlsoGetsErrors_IsQuarantined) {
  std::atomic<int> crashes{0};
  ServeCrashing([&](size_t i, const std::string& request) {
    if (runs_ % 2 == 0) {
      return ScriptedReply{{FullResponse(500, request, "failed")}};
    }
    ++crashes;
    return Crash(i);
  });
  SendCrashingRequests(2 * kUpstreams);
  EXPECT_LE(crashes.load(), kCrashesToQuarantine);
}

// Guards against missing the crashes of upstreams that stop responding while
// their connections stay open.
TEST_F(GatewayCrashTest, CrashingRequestThatHangsUpstreams_IsQuarantined) {
  ServeCrashing([this](size_t i, const std::string&) { return FallSilent(i); });
  SendCrashingRequests(kUpstreams - 2, ", Deadline-Ms: 1000");
  EXPECT_LE(runs_.load(), kCrashesToQuarantine);
}

// Guards against missing crashes when callers close their connections before
// the entry has detected the crash.
TEST_F(GatewayCrashTest, CrashingRequestWhoseCallersDisconnect_IsQuarantined) {
  ServeCrashing([this](size_t i, const std::string&) { return FallSilent(i); });
  for (size_t i = 0; i < kUpstreams - 2; ++i) {
    const int fd = Connect();
    const std::string request =
        "GET /read/1 HTTP/1.1\r\nHost: h\r\nPersimmonring-Request-Id: g" +
        std::to_string(i) + "\r\nContent-Length: 6\r\n\r\nkiller";
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(std::chrono::milliseconds(750));
    close(fd);
    // Longer than the health check of a silent upstream.
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
  }
  // One request may be sent to two upstreams.
  EXPECT_LE(runs_.load(), kCrashesToQuarantine + 1);
}

// Guards against missing the crashes of upstreams that have restarted before
// the health check.
TEST_F(GatewayCrashTest, CrashingRequestWithFastRestarts_IsQuarantined) {
  ServeCrashing([](size_t, const std::string&) {
    return ScriptedReply{{}, Then::kReset};
  });
  for (size_t i = 0; i < kUpstreams; ++i) {
    const int before = runs_.load();
    SendCrashingRequest();
    if (runs_.load() > before) {
      Announce("j-" + std::to_string(i), "tool",
               upstreams_[last_.load()]->endpoint(),
               2 + static_cast<int64_t>(i));
    }
    std::this_thread::sleep_for(kPause);
  }
  EXPECT_LE(runs_.load(), kCrashesToQuarantine);
}

// Guards against quarantining a popular request because several upstreams
// crashed while they ran it for another reason.
TEST_F(GatewayCrashTest, HealthyRequestDuringSeveralCrashes_IsServedAgain) {
  constexpr int kCrashed = 3;
  std::atomic<int> held{0};
  std::atomic<bool> crash_now{false};
  for (size_t i = 0; i < kUpstreams; ++i) {
    ServeTool([&, i](const std::string& request) {
      if (request.find("/read/page") == std::string::npos ||
          held.fetch_add(1) >= kCrashed) {
        return ScriptedReply{{FullResponse(200, request, "ok")}};
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
