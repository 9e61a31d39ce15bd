// Fault tables. Under each fault the answer must be complete, its run state
// correct, and a non-idempotent call must run at most once.

#include <gtest/gtest.h>

#include "fakes/entry_fixture.h"

namespace ring {
namespace {

using Kind = EngineFault::Kind;

class EntryFaults : public ::testing::Test {
 protected:
  EntryFaults() { ring_.SetEngine("engine-2", 1, {"m"}); }
  Caller::Answer Order(const std::string& program, uint64_t sequence) {
    return caller_.CallService(program, sequence, "order/buy",
                               std::to_string(sequence));
  }

  FakeBackends ring_;
  TestEntry entry_{ring_, TestEntry::DefaultInit("entry-1")};
  Caller caller_{entry_};
};

struct EngineRow {
  const char* name;
  std::vector<EngineFault> faults;  // By attempt; later attempts succeed.
};

class EntryEngineFaults : public EntryFaults,
                          public ::testing::WithParamInterface<EngineRow> {};

// Guards against answers that lose or repeat text when an attempt fails and is
// resumed or retried.
TEST_P(EntryEngineFaults, FaultBeforeSuccess_GivesWholeAnswer) {
  const std::vector<EngineFault> faults = GetParam().faults;
  std::atomic<size_t> next{0};
  ring_.upstreams.OnAttempt([&](const auto&, const auto&) {
    const size_t index = next.fetch_add(1);
    return index < faults.size() ? faults[index] : EngineFault{};
  });
  for (const bool stream : {false, true}) {
    next.store(0);
    const std::string program = caller_.Open();
    const auto answer = caller_.Ask(program, 1, "hello", stream);
    ASSERT_EQ(answer.status, 200) << answer.body;
    const std::string expected =
        ring_.upstreams.AnswerTo(ring_.upstreams.attempts().back().messages);
    EXPECT_EQ(stream ? answer.streamed_text() : answer.content(), expected);
    EXPECT_EQ(stream && !answer.complete(), false) << answer.body;
    const auto again = caller_.Ask(program, 1, "hello");
    EXPECT_EQ(again.content(), expected);
    EXPECT_EQ(again.json()["usage"]["completion_tokens"], 6);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EntryEngineFaults,
    ::testing::Values(EngineRow{"refused", {{Kind::kRefuse}}},
                      EngineRow{"reset_before_text", {{Kind::kReset, 0}}},
                      EngineRow{"reset_in_text_twice",
                                {{Kind::kReset, 2}, {Kind::kReset, 4}}},
                      EngineRow{"truncated", {{Kind::kTruncate, 3}}},
                      EngineRow{"truncated_three_times",
                                {{Kind::kTruncate, 2},
                                 {Kind::kTruncate, 3},
                                 {Kind::kTruncate, 4}}},
                      EngineRow{"timeout", {{Kind::kHang}}},
                      EngineRow{"late", {{Kind::kNone, 0, 150}}}),
    [](const auto& row) { return std::string(row.param.name); });

struct ServiceRow {
  const char* name;
  std::vector<Refusal> failures;
  int status;
  const char* reason;
  const char* run_state;
  size_t runs;
};

class EntryServiceFaults : public EntryFaults,
                           public ::testing::WithParamInterface<ServiceRow> {};

// Guards against a non-idempotent call that runs twice, and against a refusal
// with a wrong run state.
TEST_P(EntryServiceFaults, NonIdempotentCall_RunsAtMostOnceAndSaysSo) {
  const ServiceRow row = GetParam();
  ring_.upstreams.FailService(row.failures);
  const std::string program = caller_.Open();
  const auto answer = Order(program, 1);
  EXPECT_EQ(answer.status, row.status) << answer.body;
  if (row.status != 200) {
    EXPECT_EQ(answer.reason(), row.reason);
    EXPECT_EQ(answer.run_state(), row.run_state);
  }
  const bool retry_allowed =
      row.status != 200 && std::string(row.run_state) == "not_run";
  EXPECT_EQ(ring_.upstreams.runs().size(), row.runs);
  ring_.upstreams.FailService({});
  const auto again = Order(program, 1);
  EXPECT_EQ(again.status, retry_allowed ? 200 : row.status) << again.body;
  EXPECT_EQ(ring_.upstreams.runs().size(), retry_allowed ? 1 : row.runs);
}

const Refusal kRefused{Reason::kUpstreamRefused, RunState::kNotRun, ""};
INSTANTIATE_TEST_SUITE_P(
    Table,
    EntryServiceFaults,
    ::testing::Values(
        ServiceRow{"refused_once", {kRefused}, 200, "", "", 1},
        ServiceRow{"refused_always",
                   {kRefused, kRefused, kRefused, kRefused},
                   503,
                   "upstream_refused",
                   "not_run",
                   0},
        ServiceRow{"reset",
                   {{Reason::kUpstreamReset, RunState::kUnknown, ""}},
                   502,
                   "outcome_unknown",
                   "unknown",
                   1},
        ServiceRow{"refused_then_timeout",
                   {kRefused, {Reason::kToolTimeout, RunState::kUnknown, ""}},
                   502,
                   "outcome_unknown",
                   "unknown",
                   1},
        ServiceRow{"truncated",
                   {{Reason::kUpstreamTruncated, RunState::kUnknown, ""}},
                   502,
                   "outcome_unknown",
                   "unknown",
                   1}),
    [](const auto& row) { return std::string(row.param.name); });

struct StoreRow {
  const char* name;
  const char* command;
  StoreFault fault;
  int status;
  const char* reason;
  const char* run_state;
  int status_again;
};

class EntryStoreFaults : public EntryFaults,
                         public ::testing::WithParamInterface<StoreRow> {};

// Guards against calls that are lost, run twice or reported with a wrong
// outcome when a command to the program store fails.
TEST_P(EntryStoreFaults, NonIdempotentCall_RunsOnceOverResends) {
  const StoreRow row = GetParam();
  const std::string program = caller_.Open();
  ring_.store.Fail(row.command, row.fault);
  const auto answer = Order(program, 1);
  EXPECT_EQ(answer.status, row.status) << answer.body;
  if (row.status != 200) {
    EXPECT_EQ(answer.reason(), row.reason);
    EXPECT_EQ(answer.run_state(), row.run_state);
    const bool not_run = std::string(row.run_state) == "not_run";
    EXPECT_EQ(ring_.upstreams.runs().empty(), not_run);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(120));
  const auto again = Order(program, 1);
  EXPECT_EQ(again.status, row.status_again) << again.body;
  EXPECT_EQ(ring_.upstreams.runs().size(), 1u);
  EXPECT_EQ(Order(program, 2).status, 200);
  EXPECT_EQ(ring_.upstreams.runs().size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    EntryStoreFaults,
    ::testing::Values(
        StoreRow{"begin_without_quorum", "begin", StoreFault::kNoQuorum, 503,
                 "no_quorum", "not_run", 200},
        StoreRow{"begin_answer_lost", "begin", StoreFault::kLostAnswer, 503,
                 "no_quorum", "not_run", 200},
        StoreRow{"begin_stale", "begin", StoreFault::kStaleEpoch, 200, "", "",
                 200},
        StoreRow{"finish_without_quorum", "finish", StoreFault::kNoQuorum, 503,
                 "no_quorum", "ran", 200},
        StoreRow{"finish_answer_lost", "finish", StoreFault::kLostAnswer, 503,
                 "no_quorum", "ran", 200},
        // A finish with a stale epoch means that another owner has recorded the
        // outcome as unknown.
        StoreRow{"finish_stale", "finish", StoreFault::kStaleEpoch, 503,
                 "lost_ownership", "ran", 502}),
    [](const auto& row) { return std::string(row.param.name); });

// Guards against an answer whose text changes after the caller has read part of
// it, because a new attempt produced other text.
TEST_F(EntryFaults, RestartWithOtherTextWhileStreaming_EndsWithErrorEvent) {
  std::atomic<int> attempts{0};
  ring_.upstreams.OnAttempt([&](const auto& upstream, const auto&) {
    if (attempts.fetch_add(1) == 0) {
      ring_.SetEngine(upstream.id.name, 2, {"m"});  // The engine restarts.
      return EngineFault{Kind::kReset, 4};
    }
    return EngineFault{Kind::kOtherText};
  });
  const std::string program = caller_.Open();
  const auto answer = caller_.Ask(program, 1, "hello", true);
  EXPECT_EQ(answer.status, 200);
  EXPECT_FALSE(answer.complete()) << answer.body;
  EXPECT_NE(answer.body.find("event: error"), std::string::npos) << answer.body;
  const std::string whole =
      ring_.upstreams.AnswerTo(ring_.upstreams.attempts().at(0).messages);
  EXPECT_TRUE(whole.starts_with(answer.streamed_text())) << answer.body;
}

// Guards against an answer that is complete before its outcome is committed.
TEST_F(EntryFaults, FinishNotCommitted_HoldsBackLastPieceAndEndMarker) {
  const std::string program = caller_.Open();
  ring_.store.Fail("finish", StoreFault::kNoQuorum);
  const auto answer = caller_.Ask(program, 1, "hello", true);
  EXPECT_FALSE(answer.complete()) << answer.body;
  const std::string whole =
      ring_.upstreams.AnswerTo(ring_.upstreams.attempts().at(0).messages);
  EXPECT_LT(answer.streamed_text().size(), whole.size());
  EXPECT_TRUE(whole.starts_with(answer.streamed_text()));
  std::this_thread::sleep_for(std::chrono::milliseconds(120));
  EXPECT_EQ(caller_.Ask(program, 1, "hello").content(), whole);
}

// Guards against engines that generate more tokens than the call has reserved.
TEST_F(EntryFaults, EngineIgnoresMaxTokens_IsCutAndCancelled) {
  ring_.upstreams.tokens = 80;
  const std::string program = caller_.Open();
  const auto answer = caller_.Ask(program, 1, "hello");
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(answer.json()["choices"][0]["finish_reason"], "length");
  EXPECT_EQ(answer.json()["usage"]["completion_tokens"], 50);
  EXPECT_EQ(ring_.upstreams.cancelled(), 1u);
}

// Guards against calls that each wait seconds for a domain without quorum.
TEST_F(EntryFaults, DomainWithoutQuorum_RefusesAtOnceWithTimeToComeBack) {
  const std::string program = caller_.Open();
  ring_.store.Fail("begin", StoreFault::kNoQuorum);
  EXPECT_EQ(caller_.Ask(program, 1, "a").reason(), "no_quorum");
  const int begins = ring_.store.count("begin");
  const auto refused = caller_.Ask(program, 1, "a");
  EXPECT_EQ(refused.reason(), "no_quorum");
  EXPECT_EQ(refused.run_state(), "not_run");
  EXPECT_GT(refused.json()["error"]["retry_after_ms"], 0);
  EXPECT_TRUE(refused.headers.count("Retry-After"));
  EXPECT_EQ(ring_.store.count("begin"), begins);
}

}  // namespace
}  // namespace ring
