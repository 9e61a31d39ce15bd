#include "tests/gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;
using Then = ScriptedReply::Then;

/// Path of a request and the way in which its answer ends.
struct EarlyAnswerCase {
  const char* name;
  const char* path;
  Then end;
};

/// Runs upstreams that answer a request of several megabytes before they have
/// read its body, with an answer that ends with its connection.
class GatewayEarlyAnswerTest
    : public GatewayCallTest,
      public testing::WithParamInterface<EarlyAnswerCase> {
 protected:
  static constexpr size_t kBodyBytes = 4'000'000;

  bool is_stream() const {
    return std::string(GetParam().path).starts_with("/t");
  }
  /// @param headers framing headers; none: the end of the connection ends it
  ScriptedReply Answer(const std::string& request,
                       const std::string& headers,
                       const std::string& body) const {
    return ScriptedReply{{"HTTP/1.1 200 OK\r\n" + RequestIdLine(request) +
                              kSignatureLine + headers + "\r\n",
                          body},
                         GetParam().end};
  }
  /// @returns what the caller of a long request gets
  CallerResponse SendLong(const std::string& headers) {
    const auto script = [this, headers](const std::string& request) {
      return Answer(request, headers, kEvent);
    };
    ServeTool(script, Answers::kAfterHead);
    ServeEngine(script, Answers::kAfterHead);
    ConfigureAll();
    return Post(GetParam().path, "Request-Id: long",
                std::string(kBodyBytes, 'x'));
  }
  static void ExpectDelivered(const CallerResponse& answer) {
    EXPECT_EQ(answer.status(), 200);
    EXPECT_TRUE(IsComplete(answer.text)) << answer.text;
    EXPECT_NE(answer.text.find(kEvent), std::string::npos);
  }

  static constexpr char kEvent[] = "id: 1\ndata: one\n\n";
};

std::string CaseName(const testing::TestParamInfo<EarlyAnswerCase>& info) {
  return info.param.name;
}

using GatewayResetAnswerTest = GatewayEarlyAnswerTest;

INSTANTIATE_TEST_SUITE_P(
    Ends,
    GatewayResetAnswerTest,
    testing::Values(EarlyAnswerCase{"order", "/order/1", Then::kReset},
                    EarlyAnswerCase{"read", "/read/1", Then::kReset},
                    EarlyAnswerCase{"talk", "/talk/1", Then::kReset},
                    EarlyAnswerCase{"turn", "/turn/1", Then::kReset}),
    CaseName);

// Guards against delivering an answer without a length as complete although its
// connection was reset while a part of the request was unsent.
TEST_P(GatewayResetAnswerTest, NoLength_IsNotComplete) {
  const CallerResponse answer = SendLong("");
  EXPECT_FALSE(answer.status() == 200 && IsComplete(answer.text))
      << answer.text;
  if (!is_stream()) {
    EXPECT_EQ(answer.status(), 502);
  }
}

// Guards against failing an answer because the rest of its request could not be
// sent.
TEST_P(GatewayResetAnswerTest, CompleteByLength_IsDelivered) {
  ExpectDelivered(SendLong(
      "Content-Length: " + std::to_string(sizeof(kEvent) - 1) + "\r\n"));
}

using GatewayClosedAnswerTest = GatewayEarlyAnswerTest;

INSTANTIATE_TEST_SUITE_P(
    Ends,
    GatewayClosedAnswerTest,
    testing::Values(
        EarlyAnswerCase{"order", "/order/1", Then::kHalfClose},
        EarlyAnswerCase{"orderThenReset", "/order/1", Then::kHalfCloseAndReset},
        EarlyAnswerCase{"read", "/read/1", Then::kHalfClose},
        EarlyAnswerCase{"readThenReset", "/read/1", Then::kHalfCloseAndReset},
        EarlyAnswerCase{"talk", "/talk/1", Then::kHalfClose},
        EarlyAnswerCase{"talkThenReset", "/talk/1", Then::kHalfCloseAndReset},
        EarlyAnswerCase{"turn", "/turn/1", Then::kHalfClose},
        EarlyAnswerCase{"turnThenReset", "/turn/1", Then::kHalfCloseAndReset}),
    CaseName);

// Guards against withholding an answer without a length that ended in an
// orderly way, also if the upstream then resets the connection because of the
// unread rest of the request.
TEST_P(GatewayClosedAnswerTest, NoLength_IsDelivered) {
  ExpectDelivered(SendLong(""));
}

}  // namespace
}  // namespace ring
