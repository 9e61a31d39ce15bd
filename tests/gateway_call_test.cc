#include "tests/gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;
using fakes::ScriptedUpstream;
using Then = ScriptedReply::Then;

// Guards against callers that are refused in the second in which a started
// entry learns of the upstreams.
TEST_F(GatewayCallTest, EntryStartsBeforeUpstream_RequestWaitsForIt) {
  ConfigureAll();
  CallerAnswer answer;
  std::thread caller([&] { answer = Get("/read/1", "Request-Id: r1"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  ServeTool([](const std::string& request) {
    return ScriptedReply{{Whole(200, request, "body")}};
  });
  caller.join();
  EXPECT_EQ(answer.status(), 200);
}

// Guards against turns that wait for their whole time at an entry that reaches
// no keeper, and against new callers that are sent to it.
TEST_F(GatewayCallTest, KeepersAreLost_TurnIsRefusedSoonAndEntryNotReady) {
  ServeEngine(
      [](const std::string& request) { return Events(request, {"one"}); });
  ConfigureAll();
  ASSERT_EQ(ReadyStatus(), 200);
  keeper_threads_->Stop();
  const int64_t start_ms = SystemClock().NowMs();
  const CallerAnswer answer =
      Post("/turn/1", "Request-Id: r1, Program-Id: p", "input");
  EXPECT_EQ(answer.status(), 503);
  EXPECT_LT(SystemClock().NowMs() - start_ms, 1'900);
  EXPECT_EQ(Requests(), 0u);
  EXPECT_EQ(ReadyStatus(), 503);
}

// Guards against a body, status or header that does not pass unchanged.
TEST_F(GatewayCallTest, WholeAnswer_ReachesTheCallerUnchanged) {
  ServeTool([](const std::string& request) {
    return ScriptedReply{{Whole(418, request, "body", "Own: kept\r\n")}};
  });
  ConfigureAll();
  const CallerAnswer answer = Get("/read/1?q=2", "Request-Id: r1");
  EXPECT_EQ(answer.status(), 418);
  EXPECT_NE(answer.text.find("Own: kept\r\n"), std::string::npos);
  EXPECT_TRUE(answer.text.ends_with("\r\n\r\nbody"));
  EXPECT_EQ(upstreams_[0]->requests()[0].rfind("GET /read/1?q=2 ", 0), 0u);
}

// Guards against an order that runs twice after its answer was lost, and
// against "not run" said of it.
TEST_F(GatewayCallTest, OrderWithLostAnswer_IsNotRepeated) {
  const auto lose = [](const std::string&) {
    return ScriptedReply{{}, Then::kReset};
  };
  ServeTool(lose);
  ServeTool(lose);
  ConfigureAll();
  const CallerAnswer answer = Post("/order/1", "Request-Id: r1", "pay");
  EXPECT_EQ(answer.status(), 502);
  EXPECT_EQ(Requests(), 1u);
}

// Guards against a read that fails although another upstream would answer.
TEST_F(GatewayCallTest, ReadWithLostAnswer_IsRepeatedElsewhere) {
  ServeTool([](const std::string&) { return ScriptedReply{{}, Then::kReset}; });
  ServeTool([](const std::string& request) {
    return ScriptedReply{{Whole(200, request, "ok")}};
  });
  ConfigureAll();
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(Get("/read/1", "Request-Id: r" + std::to_string(i)).status(),
              200);
  }
}

// Guards against an order that is given up although no upstream has run it.
TEST_F(GatewayCallTest, OrderThatDidNotRun_IsSentToAnotherUpstream) {
  std::atomic<int> refused{0};
  const auto refuse_first = [&refused](const std::string& request) {
    if (refused.fetch_add(1) == 0) {
      return ScriptedReply{
          {Whole(503, request, "", "Persimmonring-Not-Executed: 1\r\n")}};
    }
    return ScriptedReply{{Whole(200, request, "ok")}};
  };
  ServeTool(refuse_first);
  ServeTool(refuse_first);
  ConfigureAll();
  EXPECT_EQ(Post("/order/1", "Request-Id: r1", "pay").status(), 200);
  EXPECT_EQ(Requests(), 2u);
}

// Guards against half a body that is passed on as a success.
TEST_F(GatewayCallTest, CutOffAnswer_IsNoSuccess) {
  ServeTool([](const std::string& request) {
    std::string whole = Whole(200, request, "0123456789");
    return ScriptedReply{{whole.substr(0, whole.size() - 3)}, Then::kClose};
  });
  ConfigureAll();
  EXPECT_EQ(Post("/order/1", "Request-Id: r1", "pay").status(), 502);
}

// Guards against the answer of an earlier request on a kept connection.
TEST_F(GatewayCallTest, LateAnswerOfAnotherRequest_IsSkipped) {
  ServeTool([](const std::string& request) {
    const std::string other = "Persimmonring-Request-Id: other\r\n";
    return ScriptedReply{
        {"HTTP/1.1 200 OK\r\n" + other + "Content-Length: 5\r\n\r\nwrong",
         Whole(200, request, "right")}};
  });
  ConfigureAll();
  const CallerAnswer answer = Get("/read/1", "Request-Id: r1");
  EXPECT_TRUE(answer.text.ends_with("\r\n\r\nright"));
}

// Guards against bytes after an answer that are taken for the next one.
TEST_F(GatewayCallTest, TrailingBytes_EndTheConnection) {
  ServeTool([](const std::string& request) {
    return ScriptedReply{{Whole(200, request, "ok") + "HTTP/1.1 200 OK\r\n" +
                          "Content-Length: 5\r\n\r\nwrong"}};
  });
  ConfigureAll();
  EXPECT_TRUE(Get("/read/1", "Request-Id: r1").text.ends_with("\r\n\r\nok"));
  EXPECT_TRUE(Get("/read/1", "Request-Id: r2").text.ends_with("\r\n\r\nok"));
  EXPECT_EQ(upstreams_[0]->connections(), 2);
}

// Guards against a read that waits for a lost answer until its deadline.
TEST_F(GatewayCallTest, ReadAtSilentUpstream_IsRepeatedAfterTheGoal) {
  std::atomic<int> asked{0};
  const auto silent_first = [&asked](const std::string& request) {
    if (asked.fetch_add(1) == 0) {
      return ScriptedReply{{}, Then::kStall};
    }
    return ScriptedReply{{Whole(200, request, "ok")}};
  };
  ServeTool(silent_first);
  ServeTool(silent_first);
  ConfigureAll();
  const int64_t start_ms = SystemClock().NowMs();
  EXPECT_EQ(Get("/read/1", "Request-Id: r1").status(), 200);
  const int64_t took_ms = SystemClock().NowMs() - start_ms;
  EXPECT_GE(took_ms, 250);
  EXPECT_LT(took_ms, 1'000);
}

// Guards against an order that is repeated because its upstream is slow.
TEST_F(GatewayCallTest, OrderAtSilentUpstream_IsSentOnce) {
  const auto stall = [](const std::string&) {
    return ScriptedReply{{}, Then::kStall};
  };
  ServeTool(stall);
  ServeTool(stall);
  ConfigureAll();
  EXPECT_EQ(
      Post("/order/1", "Request-Id: r1, Deadline-Ms: 900", "pay").status(),
      504);
  EXPECT_EQ(Requests(), 1u);
}

// Guards against a request held past its time, and against work that goes on
// for a caller who has left.
TEST_F(GatewayCallTest, SilentUpstream_IsAnsweredAtTheDeadline) {
  ServeTool([](const std::string&) { return ScriptedReply{{}, Then::kStall}; });
  ConfigureAll();
  const int64_t start_ms = SystemClock().NowMs();
  EXPECT_EQ(Get("/read/1", "Request-Id: r1, Deadline-Ms: 300").status(), 504);
  EXPECT_LT(SystemClock().NowMs() - start_ms, 800);
  WaitFor([this] { return upstreams_[0]->closed_by_peer(); });
}

// Guards against upstreams that go on working for nobody.
TEST_F(GatewayCallTest, CallerLeaves_UpstreamIsCancelled) {
  ServeTool([](const std::string&) { return ScriptedReply{{}, Then::kStall}; });
  ConfigureAll();
  const int fd = Connect();
  const std::string request =
      "GET /read/1 HTTP/1.1\r\nHost: h\r\nPersimmonring-Request-Id: r\r\n\r\n";
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  WaitFor([this] { return Requests() == 1; });
  close(fd);
  WaitFor([this] { return upstreams_[0]->closed_by_peer(); });
}

// Guards against an answer that was passed on in part and is then sent again
// from its start: idempotent requests are repeated only while nothing has left.
TEST_F(GatewayCallTest, LargeAnswer_IsNotRepeatedOnceItHasBegun) {
  const std::string half(400u << 10, 'x');
  const auto script = [&half](const std::string& request) {
    std::string whole = Whole(500, request, half + half);
    if (request.find("broken") != std::string::npos) {
      whole.resize(whole.size() - half.size());
      return ScriptedReply{{whole}, Then::kReset};
    }
    return ScriptedReply{{whole}};
  };
  ServeTool(script);
  ServeTool(script);
  ConfigureAll();
  const CallerAnswer broken = Get("/read/1", "Request-Id: broken");
  EXPECT_FALSE(IsWhole(broken.text));
  EXPECT_EQ(Requests(), 1u);
  const CallerAnswer whole = Get("/read/1", "Request-Id: whole");
  EXPECT_EQ(whole.status(), 500);
  EXPECT_TRUE(IsWhole(whole.text));
  EXPECT_EQ(Requests(), 2u);
}

// Guards against an answer to an earlier request that is passed on because it
// names none.
TEST_F(GatewayCallTest, AnswerWithoutIdOnUsedConnection_IsNotPassedOn) {
  ServeTool([](const std::string& request) {
    if (request.find("first") != std::string::npos) {
      return ScriptedReply{{Whole(200, request, "one")}};
    }
    return ScriptedReply{{Whole(200, "", "stale")}, Then::kStall};
  });
  ConfigureAll();
  EXPECT_EQ(Post("/order/1", "Request-Id: first", "x").status(), 200);
  const CallerAnswer answer = Post("/order/1", "Request-Id: second", "x");
  EXPECT_EQ(answer.status(), 502);
  EXPECT_EQ(answer.text.find("stale"), std::string::npos);
}

// Guards against a "not run" that a second copy of an earlier refusal says of
// a request that runs.
TEST_F(GatewayCallTest, RequestIsSentAgainToOneUpstream_UsesAnotherConnection) {
  std::atomic<int> asked{0};
  ServeTool([&asked](const std::string& request) {
    const std::string refusal =
        Whole(503, request, "", "Persimmonring-Not-Executed: 1\r\n");
    if (asked.fetch_add(1) == 0) {
      return ScriptedReply{{refusal}};
    }
    return ScriptedReply{{Whole(200, request, "ok")}};
  });
  ConfigureAll();
  EXPECT_EQ(Post("/order/1", "Request-Id: r1", "pay").status(), 200);
  EXPECT_EQ(upstreams_[0]->connections(), 2);
}

// Guards against a connection that is held by interim responses without end.
TEST_F(GatewayCallTest, EndlessInterimResponses_EndTheExchange) {
  ServeTool([](const std::string&) {
    ScriptedReply reply{{}, Then::kStall};
    for (int i = 0; i < 40; ++i) {
      reply.pieces.push_back("HTTP/1.1 102 Processing\r\n\r\n");
    }
    return reply;
  });
  ConfigureAll();
  const int64_t start_ms = SystemClock().NowMs();
  EXPECT_EQ(Post("/order/1", "Request-Id: r1", "pay").status(), 502);
  EXPECT_LT(SystemClock().NowMs() - start_ms, 1'500);
}

// Guards against a head without end that fills the entry's memory.
TEST_F(GatewayCallTest, EndlessHead_EndsTheExchange) {
  ServeTool([](const std::string&) {
    ScriptedReply reply{{"HTTP/1.1 200 OK\r\n"}, Then::kStall};
    for (int i = 0; i < 20; ++i) {
      reply.pieces.push_back("X: " + std::string(8u << 10, 'x') + "\r\n");
    }
    return reply;
  });
  ConfigureAll();
  const int64_t start_ms = SystemClock().NowMs();
  EXPECT_EQ(Post("/order/1", "Request-Id: r1", "pay").status(), 502);
  EXPECT_LT(SystemClock().NowMs() - start_ms, 1'500);
}

// Guards against answers to other requests, one after the other or without
// end, that hold a request.
TEST_F(GatewayCallTest, ForeignAnswersWithoutEnd_EndTheExchange) {
  ServeTool([](const std::string& request) {
    ScriptedReply reply{{}, Then::kStall};
    const std::string foreign = "Persimmonring-Request-Id: other\r\n\r\n";
    if (request.find("many") != std::string::npos) {
      for (int i = 0; i < 10; ++i) {
        reply.pieces.push_back(Whole(200, foreign, "stale"));
      }
      return reply;
    }
    reply.pieces.push_back(StreamHead(foreign));
    for (int i = 0; i < 80; ++i) {
      reply.pieces.push_back(Chunk(std::string(32u << 10, 'x')));
    }
    return reply;
  });
  ConfigureAll();
  const int64_t start_ms = SystemClock().NowMs();
  EXPECT_EQ(Post("/order/1", "Request-Id: many", "pay").status(), 502);
  EXPECT_EQ(Post("/order/1", "Request-Id: long", "pay").status(), 502);
  EXPECT_LT(SystemClock().NowMs() - start_ms, 3'000);
}

// Guards against a request that crashes one upstream after the other.
TEST_F(GatewayCallTest, RequestThatCrashesUpstreams_IsQuarantined) {
  constexpr int kUpstreams = 6;
  std::mutex mutex;
  std::atomic<int> crashes{0};
  for (int i = 0; i < kUpstreams; ++i) {
    ServeTool([&](const std::string& request) {
      if (request.find("/order/killer") == std::string::npos) {
        return ScriptedReply{{Whole(200, request, "ok")}};
      }
      ++crashes;
      const std::lock_guard lock(mutex);
      for (const auto& upstream : upstreams_) {
        // The last one asked is the one that serves this request.
        const auto requests = upstream->requests();
        if (!requests.empty() && requests.back() == request) {
          upstream->StopListening();
        }
      }
      return ScriptedReply{{}, Then::kReset};
    });
  }
  ConfigureAll();
  for (int i = 0; i < 2 * kUpstreams; ++i) {
    Post("/order/killer", "Request-Id: k" + std::to_string(i), "x");
    // Callers come back after some time; keepers tell entries meanwhile.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  EXPECT_EQ(crashes.load(), kCrashesToQuarantine);
  const CallerAnswer refused = Post("/order/killer", "Request-Id: again", "x");
  EXPECT_EQ(refused.status(), 503);
  EXPECT_NE(refused.text.find("quarantined"), std::string::npos);
  EXPECT_EQ(Post("/order/other", "Request-Id: o", "x").status(), 200);
}

// Guards against a smuggled second request.
TEST_F(GatewayCallTest, LengthAndChunksTogether_AreRefused) {
  ServeTool([](const std::string& request) {
    return ScriptedReply{{Whole(200, request, "ok")}};
  });
  ConfigureAll();
  const CallerAnswer answer = Send(
      "POST /order/1 HTTP/1.1\r\nHost: h\r\nPersimmonring-Request-Id: r1\r\n"
      "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\n\r\nGET /read/1 HTTP/1.1\r\n\r\n");
  EXPECT_EQ(answer.status(), 400);
  EXPECT_EQ(Requests(), 0u);
}

// Guards against a body that lacks a part of the chain, and against a chain
// that is not kept.
TEST_F(GatewayCallTest, TurnsOfAChain_SendAllThatPrecedes) {
  ServeEngine([](const std::string& request) {
    return Events(request, {"one", "two"});
  });
  ConfigureAll();
  EXPECT_EQ(Post("/turn/1", "Request-Id: t1", "in1 ").status(), 200);
  EXPECT_EQ(
      Post("/turn/1", "Request-Id: t2, Previous-Turn: t1", "in2 ").status(),
      200);
  const CallerAnswer third =
      Post("/turn/1", "Request-Id: t3, Previous-Turn: t2", "in3");
  EXPECT_TRUE(IsWhole(third.text));
  EXPECT_EQ(BodyOf(upstreams_[0]->requests()[2]),
            "in1 one\ntwo\nin2 one\ntwo\nin3");
  EXPECT_EQ(
      Post("/turn/1", "Request-Id: t4, Previous-Turn: nobody", "x").status(),
      404);
  EXPECT_EQ(Requests(), 3u);
}

// Guards against a broken stream that looks complete or can be continued.
TEST_F(GatewayCallTest, StreamIsCutOff_CallerSeesNoEnd) {
  ServeEngine([](const std::string& request) {
    ScriptedReply reply = Events(request, {"one", "two"});
    reply.pieces.pop_back();
    reply.then = Then::kClose;
    return reply;
  });
  ConfigureAll();
  const CallerAnswer answer = Post("/turn/1", "Request-Id: t1", "in");
  EXPECT_FALSE(IsWhole(answer.text));
  EXPECT_EQ(Post("/turn/1", "Request-Id: t2, Previous-Turn: t1", "x").status(),
            404);
}

// Guards against a program that spends more than its budget.
TEST_F(GatewayCallTest, BudgetIsSpent_TurnIsRefusedAndNotSent) {
  ServeEngine([](const std::string& request) {
    return Events(request, {"one", "two"});
  });
  ConfigureAll();
  const std::string program =
      "Program-Id: p, Token-Budget: 40, Token-Usage: 10,24, Request-Id: ";
  // Each turn generates 16 of the 24 tokens that it may.
  EXPECT_EQ(Post("/turn/1", program + "t1", "in").status(), 200);
  EXPECT_EQ(Post("/turn/1", program + "t2", "in").status(), 200);
  EXPECT_EQ(Post("/turn/1", program + "t3", "in").status(), 402);
  EXPECT_EQ(Requests(), 2u);
}

// Guards against answers of a deployment's own for what no route covers, and
// against a configuration that does not arrive.
TEST_F(GatewayCallTest, RouteIsAddedAndRemoved_EntryFollows) {
  ServeTool([](const std::string& request) {
    return ScriptedReply{{Whole(200, request, "ok")}};
  });
  ConfigureAll();
  EXPECT_EQ(Get("/new/1", "Request-Id: r1").status(), 404);
  Configure(2, RouteOf("new", "safe", "tool"));
  WaitFor([this] { return Get("/new/1", "Request-Id: r2").status() == 200; });
  EXPECT_EQ(Get("/read/1", "Request-Id: r3").status(), 404);
}

// Guards against a request that is cut off when an entry stops.
TEST_F(GatewayCallTest, EntryStops_OpenConnectionIsServedAndClosed) {
  ServeTool([](const std::string& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return ScriptedReply{{Whole(200, request, "ok")}};
  });
  ConfigureAll();
  const int fd = Connect();
  const std::string request =
      "GET /read/1 HTTP/1.1\r\nHost: h\r\nPersimmonring-Request-Id: r\r\n\r\n";
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  entry_loop_->Post([this] { gateway_->Drain([] {}); });
  const CallerAnswer answer = ReadAnswer(fd);
  EXPECT_EQ(answer.status(), 200);
  EXPECT_NE(answer.text.find("Connection: close"), std::string::npos);
  char byte = 0;
  EXPECT_EQ(recv(fd, &byte, 1, 0), 0);
  close(fd);
}

// Guards against a request that had just been accepted and is cut off: its
// bytes arrive a moment after the last look for idle connections.
TEST_F(GatewayCallTest, EntryEnds_ConnectionJustAcceptedIsServed) {
  constexpr auto kBeforeTheEnd = std::chrono::milliseconds(2'450);
  constexpr auto kAfterTheEnd = std::chrono::milliseconds(200);
  ServeTool([](const std::string& request) {
    return ScriptedReply{{Whole(200, request, "ok")}};
  });
  ConfigureAll();
  std::atomic<bool> drained{false};
  entry_loop_->Post([&] { gateway_->Drain([&drained] { drained = true; }); });
  std::this_thread::sleep_for(kBeforeTheEnd);
  const int fd = Connect();
  std::this_thread::sleep_for(kAfterTheEnd);
  EXPECT_FALSE(drained.load());
  const std::string request =
      "GET /read/1 HTTP/1.1\r\nHost: h\r\nPersimmonring-Request-Id: r\r\n\r\n";
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  EXPECT_EQ(ReadAnswer(fd).status(), 200);
  close(fd);
  WaitFor([&drained] { return drained.load(); });
}

class GatewayShortGraceTest : public GatewayTest {
 protected:
  // Less than the two seconds that a request of the route may take.
  GatewayShortGraceTest() : GatewayTest(1'500) {}
};

// Guards against a request that a stopping entry takes and then cuts off: a
// balancer may send new connections to the end (zvmfw-ring, mix, seed
// 953963111199).
TEST_F(GatewayShortGraceTest, RequestOutlivesTheEntry_IsRefusedNotRun) {
  ScriptedUpstream upstream([](const std::string& request) {
    return ScriptedReply{{Whole(200, request, "ok")}};
  });
  Announce("i-1", "tool", upstream.endpoint());
  Configure(1, RouteOf("read", "safe", "tool"));
  EXPECT_EQ(Get("/read/1", "Request-Id: r1").status(), 200);
  entry_loop_->Post([this] { gateway_->Drain([] {}); });
  WaitFor([this] { return Get("/read/1", "Request-Id: r2").status() == 503; });
  const CallerAnswer refused = Get("/read/1", "Request-Id: r3");
  EXPECT_NE(refused.text.find("Retry-After"), std::string::npos);
  EXPECT_NE(refused.text.find("Connection: close"), std::string::npos);
  // What ends in time is still served.
  EXPECT_EQ(Get("/read/1", "Request-Id: r4, Deadline-Ms: 200").status(), 200);
}

}  // namespace
}  // namespace ring
