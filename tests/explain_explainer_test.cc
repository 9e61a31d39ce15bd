#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "persimmonring/explain.h"

namespace ring {
namespace {

using testing::HasSubstr;

constexpr char kSecond[] = "2026-10-19T22:53:02";

class ExplainerTest : public testing::Test {
 protected:
  /// Adds a line with a time `ms` after kSecond.
  void Log(int ms, const std::string& fields, const std::string& node) {
    char time[40];
    std::snprintf(time, sizeof(time), "%s.%03dZ", kSecond, ms);
    log_ << time << " " << fields << " node=" << node << "\n";
  }
  Outcome<Explanation> Explain(const std::string& request) {
    Explainer explainer(request);
    explainer.Read(log_);
    return explainer.Explain();
  }

  std::stringstream log_;
};

// Guards against losing fields after a value with spaces or quotes.
TEST(ParseLogLine, QuotedValuesAndPrefix_AreTakenApart) {
  const auto line = ParseLogLine(
      "entry-1 | 2026-10-19T22:53:02.274Z event=request upstream=\"\" "
      "detail=\"a \\\"quoted\\\" text\" took_ms=65");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->event, "request");
  EXPECT_EQ(line->time_ms % 1'000, 274);
  EXPECT_EQ(line->Field("upstream"), "");
  EXPECT_EQ(line->Field("detail"), "a \"quoted\" text");
  EXPECT_EQ(line->Field("took_ms"), "65");
  EXPECT_FALSE(ParseLogLine("no line of a process"));
}

// Guards against hiding the crashes behind a refusal because they happened long
// before it.
TEST_F(ExplainerTest, QuarantinedRequest_ShowsTheCrashesOfItsDigest) {
  Log(100, "event=upstream_crashed upstream=i-2 requests=2 digests=7,70", "e2");
  Log(101, "event=upstream_crashed upstream=i-3 requests=1 digests=71", "e2");
  Log(102, "event=request_suspected digests=7 crashes=3 version=4", "e1");
  log_ << "2026-10-19T22:55:02.000Z event=request request=r1 outcome=refused "
          "status=503 reason=quarantined run=not_run upstream=\"\" took_ms=0 "
          "digest=7 node=e1\n";
  const auto explanation = Explain("r1");
  ASSERT_TRUE(explanation);
  ASSERT_EQ(explanation->context.size(), 2u);
  EXPECT_EQ(explanation->context[0].Field("upstream"), "i-2");
  EXPECT_EQ(explanation->context[1].event, "request_suspected");
  EXPECT_THAT(explanation->cause, HasSubstr("crashed each time"));
  EXPECT_THAT(explanation->cause, HasSubstr("did not run"));
}

// Guards against hiding why an entry avoided an upstream.
TEST_F(ExplainerTest, UpstreamThatLeaves_IsShownAtItsEntry) {
  Log(100, "event=upstream_leaving upstream=i-2 source=answer request=r0",
      "e1");
  Log(400,
      "event=request request=r1 outcome=refused status=503 reason=no_upstream "
      "run=not_run upstream=\"\" took_ms=3",
      "e1");
  const auto explanation = Explain("r1");
  ASSERT_TRUE(explanation);
  ASSERT_EQ(explanation->context.size(), 1u);
  EXPECT_EQ(explanation->context[0].event, "upstream_leaving");
}

// Guards against output that makes an election look like a disconnected entry.
TEST_F(ExplainerTest, TurnRefusedInElection_ShowsLeaderAndCause) {
  Log(100, "event=leader_changed group=state term=4 leader=0", "keeper-2");
  Log(200, "event=upstream_suspected upstream=i-2 reason=upstream_reset", "e9");
  Log(300, "event=keepers_silent heard_ms_ago=915", "entry-1");
  Log(310, "event=keepers_silent heard_ms_ago=990", "entry-2");
  Log(400,
      "event=request request=r1 outcome=refused status=503 reason=no_quorum "
      "run=not_run upstream=\"\" took_ms=907",
      "entry-1");
  Log(420, "event=request request=r11 outcome=answered status=200", "entry-1");
  const auto explanation = Explain("r1");
  ASSERT_TRUE(explanation);
  ASSERT_EQ(explanation->request.size(), 1u);
  EXPECT_THAT(explanation->cause, HasSubstr("did not answer in time"));
  EXPECT_THAT(explanation->cause, HasSubstr("did not run"));
  EXPECT_THAT(explanation->next_step, HasSubstr("election"));
  std::vector<std::string> events;
  for (const LogLine& line : explanation->context) {
    events.push_back(line.event + "@" + line.Field("node"));
  }
  EXPECT_THAT(events, testing::ElementsAre("leader_changed@keeper-2",
                                           "upstream_suspected@e9",
                                           "keepers_silent@entry-1"));
}

// Guards against lines of other upstreams that hide those of the upstream that
// ran the request.
TEST_F(ExplainerTest, OutcomeUnknown_ShowsItsUpstreamOnly) {
  Log(100, "event=upstream_suspected upstream=i-1 reason=upstream_timeout",
      "e2");
  Log(150, "event=upstream_suspected upstream=i-2 reason=upstream_timeout",
      "e2");
  Log(200, "event=retry request=r1 upstream=i-1 reason=upstream_reset", "e1");
  Log(300,
      "event=request request=r1 outcome=refused status=504 "
      "reason=deadline_passed run=unknown upstream=i-1 took_ms=200",
      "e1");
  const auto explanation = Explain("r1");
  ASSERT_TRUE(explanation);
  EXPECT_EQ(explanation->request.size(), 2u);
  ASSERT_EQ(explanation->context.size(), 1u);
  EXPECT_EQ(explanation->context[0].Field("upstream"), "i-1");
  EXPECT_THAT(explanation->cause, HasSubstr("may have run"));
}

// Guards against treating a request as unknown because its entry was killed.
TEST_F(ExplainerTest, NoEndInLogs_SaysThatTheEntryEnded) {
  Log(200, "event=retry request=r1 upstream=i-1 reason=upstream_reset", "e1");
  const auto explanation = Explain("r1");
  ASSERT_TRUE(explanation);
  EXPECT_THAT(explanation->cause,
              HasSubstr("do not show how the request ended"));
  EXPECT_EQ(Explain("r2").refusal().reason, Reason::kUnknownPath);
}

// Guards against output in which one frequent event crowds out the others.
TEST_F(ExplainerTest, ManyLinesOfOneEvent_LatestAreShown) {
  for (int i = 0; i < 50; ++i) {
    Log(100 + i, "event=upstream_suspected upstream=i-1",
        "e" + std::to_string(i));
  }
  Log(140, "event=leader_changed group=state", "k1");
  Log(300,
      "event=request request=r1 outcome=caller_gone reason=caller_gone "
      "run=unknown upstream=i-1 took_ms=100",
      "e1");
  const auto explanation = Explain("r1");
  ASSERT_TRUE(explanation);
  EXPECT_LT(explanation->context.size(), 10u);
  EXPECT_EQ(explanation->context.back().Field("node"), "e49");
}

}  // namespace
}  // namespace ring
