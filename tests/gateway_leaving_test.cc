#include "gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;
using Then = ScriptedReply::Then;

constexpr char kLeaving[] = "Server-Leaving: 1\r\n";

/// Runs upstreams of a service. The one that receives the first request
/// announces in its response that it is leaving, while keepers report all of
/// them as ready.
class GatewayLeavingTest : public GatewayCallTest {
 protected:
  using Answer = std::function<ScriptedReply(const std::string& request)>;

  /// @param first response to the first request
  void Serve(bool engine, size_t count, const Answer& first) {
    for (size_t i = 0; i < count; ++i) {
      const auto script = [this, i, first](const std::string& request) {
        if (!answered_.exchange(true)) {
          leaving_ = i;
          return first(request);
        }
        return request.starts_with("POST /t")
                   ? Events(request, {"a"})
                   : ScriptedReply{{FullResponse(200, request, "ok")}};
      };
      engine ? ServeEngine(script) : ServeTool(script);
    }
    ConfigureAll();
  }
  void ServeTools(const Answer& first) { Serve(false, 2, first); }

  /// Sends more concurrent requests than the other upstreams would get if all
  /// were equal.
  /// @returns number of them that reached the leaving upstream
  size_t SendMany(const std::string& path = "/order/1") {
    // An upstream is also avoided for 300 ms after a failure.
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    const size_t before = upstreams_[leaving_]->requests().size();
    constexpr int kCallers = 24;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, path, id = std::to_string(++sent_)] {
        EXPECT_EQ(Post(path, "Request-Id: a" + id, "x").status(), 200);
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return upstreams_[leaving_]->requests().size() - before;
  }
  void ExpectServedByOthers(const std::string& path = "/order/1") {
    EXPECT_EQ(SendMany(path), 0u);
  }
  CallerResponse SendFirst(const std::string& path = "/order/1") {
    return Post(path, "Request-Id: first", "x");
  }

  std::atomic<bool> answered_{false};
  std::atomic<size_t> leaving_{0};
  int sent_ = 0;
};

TEST_F(GatewayLeavingTest, PlainAnswer_SendsNewWorkElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(200, request, "ok", kLeaving)}};
  });
  EXPECT_EQ(SendFirst().status(), 200);
  ExpectServedByOthers();
}

TEST_F(GatewayLeavingTest, ClientError_SendsNewWorkElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(404, request, "no", kLeaving)}};
  });
  EXPECT_EQ(SendFirst().status(), 404);
  ExpectServedByOthers();
}

TEST_F(GatewayLeavingTest, ServerError_SendsNewWorkElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(500, request, "failed", kLeaving)}};
  });
  EXPECT_EQ(SendFirst().status(), 500);
  ExpectServedByOthers();
}

TEST_F(GatewayLeavingTest, RefusalThatDidNotRun_SendsRepeatsElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(
        503, request, "",
        std::string(kLeaving) + "Persimmonring-Not-Executed: 1\r\n")}};
  });
  EXPECT_EQ(SendFirst().status(), 200);
  ExpectServedByOthers();
}

// Guards against reading the header only when the response is forwarded.
TEST_F(GatewayLeavingTest, AnswerThatIsNotPassedOn_SendsNewWorkElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(500, request, "failed", kLeaving)}};
  });
  EXPECT_EQ(Get("/read/1", "Request-Id: first").status(), 200);
  ExpectServedByOthers();
}

// Guards against applying the header only at the end of a long stream.
TEST_F(GatewayLeavingTest, HeadOfAStream_SendsNewWorkElsewhere) {
  Serve(true, 2, [](const std::string& request) {
    std::string head = StreamHead(request);
    head.insert(head.find("\r\n") + 2, kLeaving);
    return ScriptedReply{{head, Chunk("id: 1\ndata: a\n\n")}, Then::kStall};
  });
  const int fd = Connect();
  const std::string request =
      "POST /talk/1 HTTP/1.1\r\nHost: h\r\nPersimmonring-Request-Id: "
      "first\r\nContent-Length: 1\r\n\r\nx";
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  WaitFor([this] { return answered_.load(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  ExpectServedByOthers("/talk/2");
  close(fd);
}

// Guards against sending a turn to a leaving upstream because that has its
// chain cached.
TEST_F(GatewayLeavingTest, TurnWithCachedChain_RunsElsewhere) {
  Serve(true, 3, [](const std::string& request) {
    ScriptedReply reply = Events(request, {"a"});
    reply.pieces[0].insert(reply.pieces[0].find("\r\n") + 2, kLeaving);
    return reply;
  });
  const std::string usage = ", Program-Id: p, Token-Usage: 4000,80";
  EXPECT_EQ(Post("/turn/1", "Request-Id: t0" + usage, "x").status(), 200);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "t" + std::to_string(i + 1);
    EXPECT_EQ(Post("/turn/1",
                   "Request-Id: " + id + ", Previous-Turn: t" +
                       std::to_string(i) + usage,
                   "x")
                  .status(),
              200);
  }
  EXPECT_EQ(upstreams_[leaving_]->requests().size(), 1u);
}

// Guards against ignoring the headers of a health check response.
TEST_F(GatewayLeavingTest, AnswerToAHealthCheck_SendsNewWorkElsewhere) {
  ServeTools([](const std::string&) {
    return ScriptedReply{{}, Then::kReset};
  });
  for (const auto& upstream : upstreams_) {
    upstream->SetHealthHeaders(kLeaving);
  }
  EXPECT_EQ(SendFirst().status(), 502);
  ExpectServedByOthers();
  EXPECT_EQ(upstreams_[leaving_]->health_checks(), 1);
}

// Guards against marking an upstream as leaving when the response comes from
// another instance that now has its address.
TEST_F(GatewayLeavingTest, AnswerOfAnotherIncarnation_ChangesNothing) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(421, request, "", kLeaving)}};
  });
  SendFirst();
  EXPECT_GT(SendMany(), 0u);
}

// Guards against ignoring the header of a response to an earlier request, which
// is skipped.
TEST_F(GatewayLeavingTest, LateAnswerToAnotherRequest_SendsNewWorkElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{
        {FullResponse(200, "Persimmonring-Request-Id: other\r\n\r\n", "",
                      kLeaving),
         FullResponse(200, request, "ok")}};
  });
  EXPECT_EQ(SendFirst().status(), 200);
  ExpectServedByOthers();
}

TEST_F(GatewayLeavingTest, HeaderTwice_SendsNewWorkElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(
        200, request, "ok", std::string("Server-Leaving: 0\r\n") + kLeaving)}};
  });
  SendFirst();
  ExpectServedByOthers();
}

// Guards against marking an upstream as leaving for an undefined header value.
TEST_F(GatewayLeavingTest, UndefinedHeaderValue_ChangesNothing) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{
        {FullResponse(200, request, "ok", "Server-Leaving: 0\r\n")}};
  });
  SendFirst();
  EXPECT_GT(SendMany(), 0u);
}

// Guards against an entry that learns of leaving upstreams only from keepers.
TEST_F(GatewayLeavingTest, WithoutKeepers_NewWorkGoesElsewhere) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(200, request, "ok", kLeaving)}};
  });
  PauseKeeper();
  SendFirst();
  ExpectServedByOthers();
  ResumeKeeper();
}

// Guards against a later announcement that makes a leaving upstream ready
// again.
TEST_F(GatewayLeavingTest, LaterAnnouncementOfTheSameStart_ChangesNothing) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(200, request, "ok", kLeaving)}};
  });
  SendFirst();
  Announce("i-" + std::to_string(leaving_ + 1), "tool",
           upstreams_[leaving_]->endpoint());
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  ExpectServedByOthers();
}

// Guards against applying the leaving state to the next incarnation.
TEST_F(GatewayLeavingTest, NewStartUnderTheSameId_IsUsed) {
  Serve(false, 1, [](const std::string& request) {
    return ScriptedReply{{FullResponse(200, request, "ok", kLeaving)}};
  });
  SendFirst();
  // Longer than a leaving upstream is used when there is no other.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'300));
  const CallerResponse refused = Post("/order/1", "Request-Id: r", "x");
  EXPECT_EQ(refused.status(), 503);
  EXPECT_NE(refused.text.find("Retry-After"), std::string::npos);
  Announce("i-1", "tool", upstreams_[0]->endpoint(), 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(Post("/order/1", "Request-Id: n", "x").status(), 200);
}

/// Another writer has announced the upstream under its id with a sequence
/// number that its own announcements never reach.
class GatewayForeignSequenceTest : public GatewayLeavingTest {
 protected:
  void SetUp() override {
    ServeTools([](const std::string& request) {
      return ScriptedReply{{FullResponse(200, request, "ok")}};
    });
    announced_ =
        UpstreamInstance{"i-1", "tool", upstreams_[0]->endpoint(), "domain"};
    announced_.slots = 4;
    announced_.born_ms = 1;
    announced_.sequence = uint64_t{1} << 53;
    Announce(announced_);
    announced_.sequence = 10;
    SendFirst();
    leaving_ = 0;
  }
  UpstreamInstance announced_;
};

// Guards against ignoring that an upstream drains.
TEST_F(GatewayForeignSequenceTest, UpstreamDrains_NewWorkGoesElsewhere) {
  announced_.state = UpstreamState::kDraining;
  Announce(announced_);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  ExpectServedByOthers();
}

// Guards against believing a delayed announcement of an upstream that drains.
TEST_F(GatewayForeignSequenceTest, DelayedReadyAnnouncement_ChangesNothing) {
  announced_.state = UpstreamState::kDraining;
  Announce(announced_);
  announced_.state = UpstreamState::kReady;
  announced_.sequence = 9;
  Announce(announced_);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  ExpectServedByOthers();
}

// Guards against giving up an upstream that goes on announcing itself.
TEST_F(GatewayForeignSequenceTest, UpstreamIsSilentAndAnnouncesAgain_IsUsed) {
  // After five missed announcements, 1.2 s apart, an upstream counts as silent.
  std::this_thread::sleep_for(std::chrono::milliseconds(7'500));
  EXPECT_EQ(Post("/order/1", "Request-Id: silent", "x").status(), 503);
  announced_.sequence = 11;
  Announce(announced_);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  EXPECT_EQ(Post("/order/1", "Request-Id: again", "x").status(), 200);
}

// Guards against refusing requests while the only upstream can still serve
// them.
TEST_F(GatewayLeavingTest, OnlyUpstream_ServesForAWhile) {
  Serve(false, 1, [](const std::string& request) {
    return ScriptedReply{{FullResponse(200, request, "ok", kLeaving)}};
  });
  SendFirst();
  EXPECT_EQ(Post("/order/1", "Request-Id: a", "x").status(), 200);
}

// Guards against entries that know of a leaving upstream only from its own
// responses.
TEST_F(GatewayLeavingTest, OtherEntries_AreInformedByKeepers) {
  ServeTools([](const std::string& request) {
    return ScriptedReply{{FullResponse(200, request, "ok", kLeaving)}};
  });
  SendFirst();
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  RestartEntry();
  WaitFor([this] {
    return Post("/order/1", "Request-Id: w" + std::to_string(++sent_), "x")
               .status() == 200;
  });
  ExpectServedByOthers();
}

}  // namespace
}  // namespace ring
