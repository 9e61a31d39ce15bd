#include "tests/gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;
using Then = ScriptedReply::Then;

std::string EventText(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

/// Scripts upstreams that respond with a stream of three events.
class GatewayStreamTest : public GatewayCallTest {
 protected:
  static constexpr int kEvents = 3;

  /// @returns a stream of the events after an id
  static ScriptedReply EventsAfter(const std::string& request, int last) {
    ScriptedReply reply{{StreamHead(request)}};
    for (int id = last + 1; id <= kEvents; ++id) {
      reply.pieces.push_back(Chunk(EventText(id)));
    }
    reply.pieces.push_back("0\r\n\r\n");
    return reply;
  }
  /// @returns the Last-Event-Id of a request, 0 if there is none
  static int ResumedAfter(const std::string& request) {
    constexpr std::string_view kName = "Last-Event-Id: ";
    const size_t at = request.find(kName);
    return at == std::string::npos
               ? 0
               : std::atoi(request.c_str() + at + kName.size());
  }
  static ScriptedReply RestOfStream(const std::string& request) {
    return EventsAfter(request, ResumedAfter(request));
  }
  /// Starts two upstreams. The first request is answered by `pieces` and a
  /// reset, all later ones by `later`.
  void ServeBreakingOnce(
      const std::vector<std::string>& pieces,
      const fakes::ScriptedUpstream::Script& later = RestOfStream) {
    const auto script = [this, pieces, later](const std::string& request) {
      if (asked_.fetch_add(1) == 0) {
        ScriptedReply reply{{StreamHead(request)}, Then::kReset};
        reply.pieces.insert(reply.pieces.end(), pieces.begin(), pieces.end());
        return reply;
      }
      return later(request);
    };
    ServeEngine(script);
    ServeEngine(script);
    ConfigureAll();
  }
  /// @returns the request that resumes the stream
  std::string ResumingRequest() const {
    for (const auto& upstream : upstreams_) {
      for (const std::string& request : upstream->requests()) {
        if (ResumedAfter(request) > 0) {
          return request;
        }
      }
    }
    return "";
  }
  static size_t CountOf(const std::string& text, const std::string& part) {
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }
  static void ExpectEachEventOnce(const CallerResponse& answer) {
    EXPECT_EQ(answer.status(), 200);
    EXPECT_TRUE(IsComplete(answer.text));
    EXPECT_EQ(CountOf(answer.text, "HTTP/1.1"), 1u);
    for (int id = 1; id <= kEvents; ++id) {
      EXPECT_EQ(CountOf(answer.text, "data: e" + std::to_string(id)), 1u) << id;
    }
  }

  /// Sends three turns of a program with a budget of 40 tokens. Each turn
  /// generates 16 of at most 24 tokens.
  void ExpectThirdTurnIsOverBudget(const std::vector<std::string>& targets) {
    ServeEngine([](const std::string& request) {
      return Events(request, {"one", "two"});
    });
    ConfigureAll();
    std::vector<int> statuses;
    for (const std::string& target : targets) {
      const std::string turn = "t" + std::to_string(statuses.size());
      statuses.push_back(Post(target,
                              "Program-Id: p, Token-Budget: 40, "
                              "Token-Usage: 10,24, Request-Id: " +
                                  turn,
                              "in")
                             .status());
    }
    EXPECT_EQ(statuses, (std::vector<int>{200, 200, 402}));
    EXPECT_EQ(Requests(), 2u);
  }

  std::atomic<int> asked_{0};
};

// Guards against ignoring the budget on routes that keep no turns.
TEST_F(GatewayStreamTest, BudgetOnRouteWithoutKeptTurns_IsHeld) {
  ExpectThirdTurnIsOverBudget({"/talk/1", "/review/1", "/talk/1"});
}

// Guards against separate budgets for each kind of route.
TEST_F(GatewayStreamTest, ProgramOnBothKindsOfRoutes_HasOneBudget) {
  ExpectThirdTurnIsOverBudget({"/turn/1", "/talk/1", "/turn/1"});
}

// Guards against treating an invalid budget as none, and against charging a
// malformed request.
TEST_F(GatewayStreamTest, MalformedBudget_IsRefusedAndSpendsNothing) {
  ServeEngine(
      [](const std::string& request) { return Events(request, {"one"}); });
  ConfigureAll();
  for (const std::string budget : {"-1", "many", "9007199254740993"}) {
    EXPECT_EQ(Post("/talk/1",
                   "Program-Id: p, Token-Usage: 1,8, Request-Id: r" + budget +
                       ", Token-Budget: " + budget,
                   "in")
                  .status(),
              400)
        << budget;
  }
  EXPECT_EQ(Requests(), 0u);
  EXPECT_EQ(Post("/talk/1",
                 "Program-Id: p, Token-Usage: 1,8, Request-Id: r, "
                 "Token-Budget: 8",
                 "in")
                .status(),
            200);
}

// Guards against failing a stream that may be repeated.
TEST_F(GatewayStreamTest, BreakBeforeTheFirstEvent_IsRepeatedElsewhere) {
  ServeBreakingOnce({});
  ExpectEachEventOnce(Post("/review/1", "Request-Id: r1", "in"));
  EXPECT_EQ(Requests(), 2u);
}

// Guards against sending or joining partial events.
TEST_F(GatewayStreamTest, BreakInsideAnEvent_GoesOnAfterTheLastWholeOne) {
  ServeBreakingOnce({Chunk(EventText(1)), Chunk("id: 2\ndata: e")});
  ExpectEachEventOnce(Post("/review/1", "Request-Id: r1", "in"));
  EXPECT_EQ(ResumedAfter(ResumingRequest()), 1);
}

// Guards against losing or repeating an event when a stream is resumed.
TEST_F(GatewayStreamTest, BreakBetweenEvents_GoesOnAfterTheLastOne) {
  ServeBreakingOnce({Chunk(EventText(1)), Chunk(EventText(2))});
  ExpectEachEventOnce(Post("/review/1", "Request-Id: r1", "in"));
  EXPECT_EQ(ResumedAfter(ResumingRequest()), 2);
}

// Guards against a complete stream that looks broken to the caller.
TEST_F(GatewayStreamTest, BreakAfterTheLastEvent_EndsWhole) {
  ServeBreakingOnce(
      {Chunk(EventText(1)), Chunk(EventText(2)), Chunk(EventText(3))});
  ExpectEachEventOnce(Post("/review/1", "Request-Id: r1", "in"));
  EXPECT_EQ(ResumedAfter(ResumingRequest()), 3);
}

// Guards against joining parts of the streams of two attempts.
TEST_F(GatewayStreamTest, UpstreamIgnoresTheResumption_StreamIsBrokenOff) {
  ServeBreakingOnce({Chunk(EventText(1))}, [](const std::string& request) {
    return EventsAfter(request, 0);
  });
  const CallerResponse answer = Post("/review/1", "Request-Id: r1", "in");
  EXPECT_FALSE(IsComplete(answer.text));
  EXPECT_EQ(CountOf(answer.text, "data: e1"), 1u);
  EXPECT_EQ(CountOf(answer.text, "data: e2"), 0u);
}

// Guards against resuming a stream with events that the upstream did not sign.
TEST_F(GatewayStreamTest, ResumedStreamWithoutSignature_IsNotJoined) {
  ServeBreakingOnce({Chunk(EventText(1))}, [](const std::string& request) {
    ScriptedReply reply = RestOfStream(request);
    std::string& head = reply.pieces[0];
    head.erase(head.find(kSignatureLine), std::string(kSignatureLine).size());
    return reply;
  });
  const CallerResponse answer = Post("/review/1", "Request-Id: r1", "in");
  EXPECT_FALSE(IsComplete(answer.text));
  EXPECT_EQ(CountOf(answer.text, "data: e2"), 0u);
}

// Guards against refusing a caller's resumption, and against charging events
// again that the caller already has.
TEST_F(GatewayStreamTest, CallerResumes_RestIsSentAndCountedOnce) {
  ServeEngine([](const std::string& request) {
    return EventsAfter(request, ResumedAfter(request));
  });
  ConfigureAll();
  const std::string program =
      "Program-Id: p, Token-Budget: 48, Token-Usage: 10,24, Request-Id: ";
  const CallerResponse rest = Send(
      "POST /review/1 HTTP/1.1\r\nHost: h\r\nLast-Event-Id: 2\r\n"
      "Persimmonring-Request-Id: r1\r\nPersimmonring-Program-Id: p\r\n"
      "Persimmonring-Token-Budget: 48\r\nPersimmonring-Token-Usage: 10,24\r\n"
      "Content-Length: 0\r\n\r\n");
  EXPECT_TRUE(IsComplete(rest.text));
  EXPECT_EQ(CountOf(rest.text, "data: "), 1u);
  EXPECT_EQ(CountOf(rest.text, "data: e3"), 1u);
  // 8 tokens are spent, so a turn of 24 fits. After it 16 are left.
  EXPECT_EQ(Post("/review/1", program + "r2", "in").status(), 200);
  EXPECT_EQ(Post("/review/1", program + "r3", "in").status(), 402);
}

// Guards against an error when no events are left to send.
TEST_F(GatewayStreamTest, CallerResumesCompleteStream_GetsAnEmptyRest) {
  ServeEngine([](const std::string& request) {
    return EventsAfter(request, ResumedAfter(request));
  });
  ConfigureAll();
  const CallerResponse rest = Send(
      "POST /review/1 HTTP/1.1\r\nHost: h\r\nLast-Event-Id: 3\r\n"
      "Persimmonring-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(rest.status(), 200);
  EXPECT_TRUE(IsComplete(rest.text));
  EXPECT_EQ(CountOf(rest.text, "data: "), 0u);
}

// Guards against repeating a stream that may run only once.
TEST_F(GatewayStreamTest, ResumptionWhereItIsNotAllowed_IsRefused) {
  ServeEngine(
      [](const std::string& request) { return EventsAfter(request, 0); });
  ConfigureAll();
  const CallerResponse answer = Send(
      "POST /talk/1 HTTP/1.1\r\nHost: h\r\nLast-Event-Id: 1\r\n"
      "Persimmonring-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(answer.status(), 400);
  EXPECT_EQ(Requests(), 0u);
}

// Guards against an endless event that fills the entry's memory.
TEST_F(GatewayStreamTest, EndlessEvent_IsBrokenOff) {
  ServeEngine([](const std::string& request) {
    ScriptedReply reply{{StreamHead(request)}, Then::kStall};
    for (int i = 0; i < 40; ++i) {
      reply.pieces.push_back(Chunk(std::string(16u << 10, 'x')));
    }
    return reply;
  });
  ConfigureAll();
  const int64_t start_ms = SystemClock().NowMs();
  const CallerResponse answer = Post("/turn/1", "Request-Id: r1", "in");
  EXPECT_FALSE(IsComplete(answer.text));
  EXPECT_LT(SystemClock().NowMs() - start_ms, 1'500);
  EXPECT_LT(answer.text.size(), 400u << 10);
}

// Guards against forwarding a truncated stream as a success when the response
// itself ends properly, but in the middle of an event.
TEST_F(GatewayStreamTest, OrderlyEndInsideAnEvent_IsNoSuccess) {
  ServeEngine([](const std::string& request) {
    return ScriptedReply{{StreamHead(request), Chunk(EventText(1)),
                          Chunk("id: 2\ndata: e"), "0\r\n\r\n"}};
  });
  ConfigureAll();
  EXPECT_FALSE(IsComplete(Post("/turn/1", "Request-Id: r1", "in").text));
  EXPECT_FALSE(IsComplete(Post("/talk/1", "Request-Id: r2", "in").text));
  EXPECT_EQ(Post("/turn/1", "Request-Id: r3, Previous-Turn: r1", "x").status(),
            404);
}

// Guards against aborting a slow but correct stream.
TEST_F(GatewayStreamTest, SlowStream_IsServedToItsEnd) {
  ServeEngine([](const std::string& request) {
    ScriptedReply reply{{StreamHead(request)}};
    // 1.2 s in pieces of a byte or two, four times the route's latency target.
    for (int i = 0; i < 240; ++i) {
      reply.pieces.push_back(Chunk(i % 80 == 79 ? "\ndata: x\n\n" : ":"));
    }
    reply.pieces.push_back("0\r\n\r\n");
    return reply;
  });
  ConfigureAll();
  const CallerResponse answer = Post("/talk/1", "Request-Id: r1", "in");
  EXPECT_EQ(answer.status(), 200);
  EXPECT_TRUE(IsComplete(answer.text));
}

// Guards against a stalled stream that sends a byte now and then and never
// ends: the timeout of the route bounds it.
TEST_F(GatewayStreamTest, TrickledBytes_EndWithTheTimeOfTheRoute) {
  ServeEngine([](const std::string& request) {
    ScriptedReply reply{{StreamHead(request)}};
    for (int i = 0; i < 800; ++i) {
      reply.pieces.push_back(Chunk(":"));
    }
    return reply;
  });
  ConfigureAll();
  const int64_t start_ms = SystemClock().NowMs();
  EXPECT_FALSE(IsComplete(Post("/talk/1", "Request-Id: r1", "in").text));
  EXPECT_LT(SystemClock().NowMs() - start_ms, 2'500);
}

// Guards against a crash when a route without streams is configured to keep
// turns, and against refusing requests for headers that have no meaning there.
TEST_F(GatewayStreamTest, KeptTurnsOnARouteWithoutStreams_AreIgnored) {
  ServeTool([](const std::string& request) {
    return ScriptedReply{{FullResponse(200, request, BodyOf(request))}};
  });
  Configure(1, RouteOf("read", "safe", "tool", R"(,"retainContext":true)"));
  const CallerResponse answer =
      Post("/read/1", "Request-Id: r1, Token-Budget: many", "body");
  EXPECT_EQ(answer.status(), 200);
  EXPECT_TRUE(answer.text.ends_with("\r\n\r\nbody"));
}

}  // namespace
}  // namespace ring
