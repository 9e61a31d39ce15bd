#include "gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;

constexpr int64_t kSpanMs = 2'000;

/// Runs upstreams of which the first ones name a limit in their answers.
class GatewayLimitTest : public GatewayCallTest {
 protected:
  /// @param limits limit of each upstream; empty: it names none
  void Serve(bool engine, const std::vector<std::string>& limits) {
    for (const std::string& limit : limits) {
      const auto script = [this, limit](const std::string& request) {
        const std::string header = limit.empty() || ended_.load()
                                       ? ""
                                       : "Server-Limit: " + limit + "\r\n";
        if (!request.starts_with("POST /t")) {
          return ScriptedReply{{FullResponse(200, request, "ok", header)}};
        }
        ScriptedReply reply = Events(request, {"a"});
        reply.pieces[0].insert(reply.pieces[0].find("\r\n") + 2, header);
        return reply;
      };
      engine ? ServeEngine(script) : ServeTool(script);
    }
    ConfigureAll();
  }

  /// Sends requests until each upstream has answered one.
  void SendToAll(const std::string& path) {
    WaitFor([&] {
      SendOne(path);
      return std::all_of(
          upstreams_.begin(), upstreams_.end(),
          [](const auto& upstream) { return !upstream->requests().empty(); });
    });
  }

  struct Counts {
    size_t limited = 0;  ///< Requests that reached the first upstream.
    int served = 0;
    int refused = 0;
    int64_t slowest_refusal_ms = 0;
    bool retry_after = true;  ///< Each refusal says when to come back.
  };

  /// Sends 40 requests per second and caller during kSpanMs.
  Counts SendMany(const std::string& path, int callers = 2) {
    constexpr int64_t kPauseMs = 25;
    Counts counts;
    std::mutex mutex;
    const size_t before = upstreams_[0]->requests().size();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(callers));
    for (int i = 0; i < callers; ++i) {
      threads.emplace_back([&] {
        const int64_t end_ms = SystemClock().NowMs() + kSpanMs;
        while (SystemClock().NowMs() < end_ms) {
          const int64_t sent_ms = SystemClock().NowMs();
          const CallerResponse answer = SendOne(path);
          const int64_t took_ms = SystemClock().NowMs() - sent_ms;
          {
            std::lock_guard lock(mutex);
            if (answer.status() == 200) {
              ++counts.served;
            } else {
              EXPECT_EQ(answer.status(), 503);
              ++counts.refused;
              counts.slowest_refusal_ms =
                  std::max(counts.slowest_refusal_ms, took_ms);
              counts.retry_after =
                  counts.retry_after &&
                  answer.text.find("Retry-After") != std::string::npos;
            }
          }
          std::this_thread::sleep_for(std::chrono::milliseconds(kPauseMs));
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    counts.limited = upstreams_[0]->requests().size() - before;
    return counts;
  }

  CallerResponse SendOne(const std::string& path) {
    const std::string id = "r" + std::to_string(++sent_);
    return Post(path, "Request-Id: " + id + ", Deadline-Ms: 1500", "x");
  }

  /// @returns requests that an upstream with a limit may get in kSpanMs
  static size_t Allowed(double per_second) {
    constexpr double kTolerance = 1.5;
    constexpr size_t kExtra = 5;
    return static_cast<size_t>(kTolerance * per_second * kSpanMs / 1'000) +
           kExtra;
  }

  std::atomic<bool> ended_{false};
  std::atomic<int> sent_{0};
};

TEST_F(GatewayLimitTest, CallsBeyondTheLimit_GoToOthers) {
  Serve(false, {"4", ""});
  SendToAll("/order/1");
  const Counts counts = SendMany("/order/1");
  EXPECT_LE(counts.limited, Allowed(4));
  EXPECT_EQ(counts.refused, 0);
}

TEST_F(GatewayLimitTest, TurnsBeyondTheLimit_GoToOthers) {
  Serve(true, {"4", ""});
  SendToAll("/turn/1");
  const Counts counts = SendMany("/turn/1");
  EXPECT_LE(counts.limited, Allowed(4));
  EXPECT_EQ(counts.refused, 0);
}

// Guards against a limit that is kept by refusing what could be served, and
// against refusals that come late or do not say when to come back.
TEST_F(GatewayLimitTest, AllUpstreamsLimited_TheirLimitIsServed) {
  Serve(false, {"10"});
  SendToAll("/order/1");
  const Counts counts = SendMany("/order/1", 16);
  EXPECT_LE(counts.limited, Allowed(10));
  EXPECT_GE(counts.served, 18);
  EXPECT_GT(counts.refused, 0);
  EXPECT_LE(counts.slowest_refusal_ms, 300);
  EXPECT_TRUE(counts.retry_after);
}

TEST_F(GatewayLimitTest, AnswerWithoutLimit_EndsTheLimit) {
  Serve(false, {"2"});
  SendToAll("/order/1");
  ended_ = true;
  const Counts counts = SendMany("/order/1", 1);
  EXPECT_GE(counts.served, 30);
}

// Guards against limits that an entry out of reach of the keepers ignores.
TEST_F(GatewayLimitTest, KeepersOutOfReach_TheShareIsKept) {
  Serve(false, {"4"});
  SendToAll("/order/1");
  PauseKeeper();
  const Counts counts = SendMany("/order/1", 4);
  ResumeKeeper();
  EXPECT_LE(counts.limited, Allowed(4));
  EXPECT_GE(counts.served, 5);
}

}  // namespace
}  // namespace ring
