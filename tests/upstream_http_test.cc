#include <gtest/gtest.h>

#include "fakes/raw_server.h"
#include "persimmonring/upstream.h"

namespace ring {
namespace {

using fakes::RawServer;
using Ending = RawServer::Ending;

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
constexpr char kDone[] = "data: [DONE]\n\n";

std::string TextEvent(int64_t offset,
                      const std::string& text,
                      const std::string& attempt = "a1") {
  return R"(data: {"ring_attempt":")" + attempt + R"(","offset":)" +
         std::to_string(offset) + R"(,"choices":[{"delta":{"content":")" +
         text + "\"}}]}\n\n";
}

std::string FinishEvent(int64_t offset) {
  return R"(data: {"ring_attempt":"a1","offset":)" + std::to_string(offset) +
         R"(,"choices":[{"delta":{"tool_calls":[{"id":"c"}]},)"
         R"("finish_reason":"tool_calls"}],"usage":{"prompt_tokens":9,)"
         R"("prompt_tokens_details":{"cached_tokens":4}}})"
         "\n\n";
}

std::string ErrorAnswer(int status, const std::string& error) {
  const std::string body = R"({"error":)" + error + "}";
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

UpstreamRecord UpstreamAt(const Endpoint& endpoint) {
  return {.id = {.name = "u", .incarnation = 1}, .address = endpoint};
}

EngineRequest MakeRequest() {
  return {.cache_key = "k",
          .attempt = "a1",
          .model = "m",
          .messages = R"([{"role":"user","content":"x"}])",
          .max_tokens = 100,
          .first_token_timeout_ms = 400,
          .token_gap_timeout_ms = 200};
}

struct Fault {
  const char* name;
  std::string answer;
  Ending ending;
  Reason reason;
  RunState run_state;
};

std::vector<Fault> EngineFaults() {
  const std::string head = kStreamHead;
  const std::string start = head + TextEvent(0, "a");
  constexpr auto kUnknown = RunState::kUnknown;
  return {
      {"reset before headers", "", Ending::kReset, Reason::kUpstreamReset,
       kUnknown},
      {"closed before headers", "", Ending::kClose, Reason::kUpstreamReset,
       kUnknown},
      {"reset after first token", start, Ending::kReset, Reason::kUpstreamReset,
       kUnknown},
      {"truncated", start + TextEvent(1, "b"), Ending::kClose,
       Reason::kUpstreamTruncated, kUnknown},
      {"finish without end marker", start + FinishEvent(1), Ending::kClose,
       Reason::kUpstreamTruncated, kUnknown},
      {"end marker without finish", start + kDone, Ending::kClose,
       Reason::kUpstreamError, kUnknown},
      {"no first token", head, Ending::kStall, Reason::kUpstreamTimeout,
       kUnknown},
      {"no headers", "", Ending::kStall, Reason::kUpstreamTimeout, kUnknown},
      {"stalled after a token", start, Ending::kStall, Reason::kUpstreamTimeout,
       kUnknown},
      {"wrong attempt id",
       start + TextEvent(1, "b", "a2") + FinishEvent(2) + kDone, Ending::kClose,
       Reason::kUpstreamError, kUnknown},
      {"missing event", start + TextEvent(2, "b") + FinishEvent(3) + kDone,
       Ending::kClose, Reason::kUpstreamError, kUnknown},
      {"oversized event", head + "data: " + std::string(2u << 20, 'x'),
       Ending::kStall, Reason::kUpstreamError, kUnknown},
      {"malformed JSON", head + "data: {\"a\":\n\n", Ending::kStall,
       Reason::kUpstreamError, kUnknown},
      {"wrong types",
       head + R"(data: {"ring_attempt":"a1","offset":0,"choices":[7]})" +
           "\n\n",
       Ending::kClose, Reason::kUpstreamError, kUnknown},
      {"not accepted", ErrorAnswer(503, R"({"run_state":"not_run"})"),
       Ending::kClose, Reason::kUpstreamRefused, RunState::kNotRun},
      {"error of unknown effect", ErrorAnswer(500, R"({"run_state":7})"),
       Ending::kClose, Reason::kUpstreamError, kUnknown},
      {"error without JSON", ErrorAnswer(500, "oops"), Ending::kClose,
       Reason::kUpstreamError, kUnknown},
      {"no HTTP", "hello\r\n\r\n", Ending::kClose, Reason::kUpstreamReset,
       kUnknown},
  };
}

// Guards against wrong run states and incomplete answers that are accepted.
TEST(HttpEngineComplete, FaultTable_GivesReasonAndTrueRunState) {
  const auto engine = CreateHttpEngineClient();
  for (const auto& fault : EngineFaults()) {
    SCOPED_TRACE(fault.name);
    RawServer server(fault.answer, fault.ending);
    const auto result = engine->Complete(UpstreamAt(server.endpoint()),
                                         MakeRequest(), {}, CancelToken());
    ASSERT_FALSE(result.ok());
    EXPECT_EQ(result.refusal().reason, fault.reason)
        << result.refusal().message;
    EXPECT_EQ(result.refusal().run_state, fault.run_state);
    EXPECT_EQ(server.connections(), 1);  // Never sent twice.
  }
}

// Guards against run state "unknown" for a request that cannot have run.
TEST(HttpEngineComplete, ConnectionRefused_IsNotRun) {
  const auto result = CreateHttpEngineClient()->Complete(
      UpstreamAt({.ip = "127.0.0.1", .port = fakes::FreePort()}), MakeRequest(),
      {}, CancelToken());
  EXPECT_EQ(result.refusal().reason, Reason::kUpstreamRefused);
  EXPECT_EQ(result.refusal().run_state, RunState::kNotRun);
}

// Guards against duplicated or lost text if events repeat, and against a
// complete answer that fails because of a later connection reset.
TEST(HttpEngineComplete, DuplicateEvents_AreDroppedAndAnswerIsWhole) {
  RawServer server(kStreamHead + TextEvent(0, "a") + TextEvent(0, "a") +
                       ": comment\n\n" + TextEvent(1, "b") + TextEvent(0, "a") +
                       FinishEvent(2) + FinishEvent(2) + kDone,
                   Ending::kReset);
  std::vector<std::pair<int64_t, std::string>> pieces;
  const auto result = CreateHttpEngineClient()->Complete(
      UpstreamAt(server.endpoint()), MakeRequest(),
      [&](int64_t offset, const std::string& text) {
        pieces.emplace_back(offset, text);
      },
      CancelToken());
  ASSERT_TRUE(result.ok()) << result.refusal().message;
  EXPECT_EQ(result->text, "ab");
  EXPECT_EQ(result->output_tokens, 2);
  EXPECT_EQ(result->prompt_tokens, 9);
  EXPECT_EQ(result->cached_tokens, 4);
  EXPECT_EQ(result->finish_reason, "tool_calls");
  EXPECT_EQ(result->tool_calls, R"([{"id":"c"}])");
  const std::vector<std::pair<int64_t, std::string>> expected = {{0, "a"},
                                                                 {1, "b"}};
  EXPECT_EQ(pieces, expected);
}

// Guards against a resumed stream that starts at the wrong token.
TEST(HttpEngineComplete, Resume_ContinuesAtOffset) {
  RawServer server(kStreamHead + TextEvent(1, "b") + TextEvent(2, "c") +
                       FinishEvent(3) + kDone,
                   Ending::kClose);
  auto request = MakeRequest();
  request.resume_from = 2;
  const auto result = CreateHttpEngineClient()->Complete(
      UpstreamAt(server.endpoint()), request, {}, CancelToken());
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->text, "c");
}

// Guards against a cancelled call that blocks its thread until a timeout.
TEST(HttpEngineComplete, CancelFromAnotherThread_EndsCallSoon) {
  RawServer server(kStreamHead, Ending::kStall);
  auto request = MakeRequest();
  request.first_token_timeout_ms = 60'000;
  CancelToken cancel;
  std::thread other([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    cancel.Cancel();
  });
  const int64_t start = SystemClock().NowMs();
  const auto result = CreateHttpEngineClient()->Complete(
      UpstreamAt(server.endpoint()), request, {}, cancel);
  other.join();
  EXPECT_EQ(result.refusal().reason, Reason::kCancelled);
  EXPECT_EQ(result.refusal().run_state, RunState::kUnknown);
  EXPECT_LT(SystemClock().NowMs() - start, 2'000);
  const auto again = CreateHttpEngineClient()->Complete(
      UpstreamAt(server.endpoint()), request, {}, cancel);
  EXPECT_EQ(again.refusal().run_state, RunState::kNotRun);
}

// Guards against an order that counts as accepted despite a stale fence.
TEST(HttpEngineOrder, StaleFence_IsReported) {
  RawServer server(
      ErrorAnswer(409, R"({"run_state":"not_run","reason":"stale_fence"})"),
      Ending::kClose);
  const auto status = CreateHttpEngineClient()->Order(
      UpstreamAt(server.endpoint()), {.fence = 1, .action = "x"});
  EXPECT_EQ(status.refusal().reason, Reason::kStaleFence);
}

// Guards against wrong run states of non-idempotent service calls.
TEST(HttpServiceCall, FaultTable_GivesReasonAndTrueRunState) {
  constexpr auto kUnknown = RunState::kUnknown;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
  const Fault faults[] = {
      {"reset", "", Ending::kReset, Reason::kUpstreamReset, kUnknown},
      {"hang", "", Ending::kStall, Reason::kToolTimeout, kUnknown},
      {"hang in body", head, Ending::kStall, Reason::kToolTimeout, kUnknown},
      {"truncated", head + "x", Ending::kClose, Reason::kUpstreamTruncated,
       kUnknown},
      {"status line cut", "HTTP/1.1 200", Ending::kClose,
       Reason::kUpstreamReset, kUnknown},
      {"head cut in a header", "HTTP/1.1 200 OK\r\nContent-Le", Ending::kClose,
       Reason::kUpstreamReset, kUnknown},
      {"head cut after a header", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
       Ending::kClose, Reason::kUpstreamReset, kUnknown},
      {"not accepted", ErrorAnswer(503, R"({"run_state":"not_run"})"),
       Ending::kClose, Reason::kUpstreamRefused, RunState::kNotRun},
      {"endless body",
       "HTTP/1.1 200 OK\r\n\r\n" + std::string((8u << 20) + 1, 'x'),
       Ending::kClose, Reason::kUpstreamError, kUnknown},
  };
  const auto service = CreateHttpServiceClient();
  for (const auto& fault : faults) {
    SCOPED_TRACE(fault.name);
    RawServer server(fault.answer, fault.ending);
    const auto result = service->Call(
        UpstreamAt(server.endpoint()),
        {.service = "s", .path = "/p", .body = "{}", .timeout_ms = 300});
    EXPECT_EQ(result.refusal().reason, fault.reason);
    EXPECT_EQ(result.refusal().run_state, fault.run_state);
    EXPECT_EQ(server.connections(), 1);
  }
}

// Guards against a stack overflow when the parsed error is copied.
TEST(HttpServiceCall, DeeplyNestedError_IsResult) {
  const std::string error =
      std::string(200'000, '[') + std::string(200'000, ']');
  RawServer server(ErrorAnswer(500, error), Ending::kClose);
  const auto result = CreateHttpServiceClient()->Call(
      UpstreamAt(server.endpoint()),
      {.service = "s", .path = "/p", .body = "{}"});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->http_status, 500);
}

// Guards against dropped error responses of a service and injected headers.
TEST(HttpServiceCall, ErrorStatus_IsResultAndBadHeaderIsRefused) {
  RawServer server(ErrorAnswer(422, R"("sold out")"), Ending::kClose);
  const auto service = CreateHttpServiceClient();
  const auto result =
      service->Call(UpstreamAt(server.endpoint()),
                    {.service = "s", .path = "/p", .body = "{}"});
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(result->http_status, 422);
  EXPECT_EQ(result->body, R"({"error":"sold out"})");
  const auto refused = service->Call(UpstreamAt(server.endpoint()),
                                     {.service = "s",
                                      .path = "/p",
                                      .body = "{}",
                                      .idempotency_key = "a\r\nX-Injected: 1"});
  EXPECT_EQ(refused.refusal().reason, Reason::kBadRequest);
  EXPECT_EQ(server.connections(), 1);
}

}  // namespace
}  // namespace ring
