#include "fakes/ringload/program.h"

#include <algorithm>
#include <chrono>
#include <thread>

#if __has_include("fakes/ringfake/answer.h")
#include "fakes/ringfake/answer.h"
#define RING_CHECK_ANSWERS 1
#endif

namespace ring::load {
namespace {

using nlohmann::json;

// Delay before a request is resent after a connection error.
constexpr int64_t kReconnectMs = 100;

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Runs the steps of one program or child program against the ring.
class ProgramSession {
 public:
  ProgramSession(const RunInit& init, Caller& caller, ProgramResult& result)
      : init_(init), caller_(caller), result_(result) {}

  /// @returns false if the program could not be opened in time
  bool Open(const std::string& parent, int64_t budget, int64_t deadline_at_ms) {
    deadline_at_ms_ = deadline_at_ms;
    json body = {{"team", init_.team}, {"budget_tokens", budget}};
    if (!parent.empty()) {
      body["parent"] = parent;
    }
    const Reply reply = SendWithRetries([&] {
      body["deadline_ms"] = std::max<int64_t>(RemainingMs(), 1);
      return caller_.Open(body);
    });
    program_ = reply.ok ? reply.body.value("program", "") : "";
    return !program_.empty();
  }

  bool Run(const std::vector<Step>& steps,
           const std::vector<Step>& child,
           uint64_t seed) {
    Rng rng(seed);
    for (const Step& step : steps) {
      SleepMs(std::clamp<int64_t>(RemainingMs(), 0, step.pause_ms));
      if ((step.opens_child && !RunChild(child, rng())) ||
          !RunStep(step, rng) || (step.service_call && !RunService())) {
        return false;
      }
    }
    return true;
  }

  /// Ends the program in the ring, whether it finished or failed.
  void End() {
    constexpr int kAttempts = 3;
    for (int i = 0; i < kAttempts; ++i) {
      if (caller_.End(program_).reason != "connection") {
        break;
      }
    }
    init_.on_ended(program_);
  }

  const std::string& program() const { return program_; }

 private:
  int64_t RemainingMs() const {
    return deadline_at_ms_ - SystemClock().NowMs();
  }

  // Resends until there is a final response or the next wait would exceed the
  // deadline. Each call carries a sequence number, which makes resending safe.
  Reply SendWithRetries(const std::function<Reply()>& send) {
    while (true) {
      Reply reply = send();
      if (reply.ok) {
        return reply;
      }
      ++result_.refusals[reply.reason];
      const bool lost =
          reply.reason == "connection" || reply.reason == "truncated";
      const int64_t wait_ms = lost ? kReconnectMs : reply.retry_after_ms;
      const bool retry = lost || (reply.run_state == "not_run" && wait_ms > 0);
      if (!retry || wait_ms >= RemainingMs()) {
        result_.end_reason = reply.reason;
        return reply;
      }
      SleepMs(wait_ms);
    }
  }

  CallHeaders NextHeaders() {
    ++sequence_;
    return {.program = program_,
            .sequence = sequence_,
            .idempotency_key = program_.substr(program_.size() - 32, 16) + "-" +
                               std::to_string(sequence_)};
  }

  bool RunStep(const Step& step, Rng& rng) {
    AddUserMessage(step, rng);
    CallHeaders headers = NextHeaders();
    const json body = {{"model", init_.model},
                       {"messages", messages_},
                       {"max_tokens", step.answer_tokens + kExtraTokens},
                       {"stream", true}};
    const Reply reply = SendWithRetries([&] {
      headers.deadline_ms = std::max<int64_t>(RemainingMs(), 1);
      return caller_.ModelCall(headers, body);
    });
    if (!reply.ok) {
      return false;
    }
    ++result_.calls;
    result_.turn_ms.push_back(reply.total_ms);
    result_.first_token_ms.push_back(reply.first_token_ms);
    CheckAnswer(reply, step.answer_tokens + kExtraTokens);
    json message = {{"role", "assistant"}, {"content", reply.text}};
    if (!reply.tool_calls.empty()) {
      message["tool_calls"] = reply.tool_calls;
    }
    messages_.push_back(std::move(message));
    return true;
  }

  void AddUserMessage(const Step& step, Rng& rng) {
    std::string text =
        "answer_tokens=" + std::to_string(step.answer_tokens) + " ";
    const auto bytes = static_cast<size_t>(step.new_tokens) * 4;
    while (text.size() < bytes) {
      text += static_cast<char>('a' + rng() % 26);
    }
    messages_.push_back({{"role", "user"}, {"content", std::move(text)}});
  }

  // Compares the answer with the one that the fake engine gives for exactly
  // these messages, to detect mixed-up and damaged answers.
  void CheckAnswer([[maybe_unused]] const Reply& reply,
                   [[maybe_unused]] int64_t max_tokens) {
#ifdef RING_CHECK_ANSWERS
    const auto expected =
        fakes::MakeAnswer(init_.model, messages_, 1, 1, max_tokens);
    ++result_.checked_answers;
    if (expected.Text() != reply.text ||
        expected.finish_reason != reply.finish_reason) {
      ++result_.wrong_answers;
    }
#endif
  }

  bool RunChild(const std::vector<Step>& steps, uint64_t seed) {
    constexpr int64_t kChildBudget = 20'000;
    ProgramSession child(init_, caller_, result_);
    if (!child.Open(program_, kChildBudget, deadline_at_ms_)) {
      return false;
    }
    const bool done = child.Run(steps, {}, seed);
    child.End();
    return done;
  }

  bool RunService() {
    if (init_.service.empty()) {
      return true;
    }
    CallHeaders headers = NextHeaders();
    result_.service_keys.push_back(headers.idempotency_key);
    const json body = {{"order", headers.idempotency_key}};
    const Reply reply = SendWithRetries([&] {
      headers.deadline_ms = std::max<int64_t>(RemainingMs(), 1);
      return caller_.ServiceCall("/v1/services/" + init_.service + "/order",
                                 headers, body);
    });
    return reply.ok;
  }

  // The fake engine stops at the requested length; the margin reveals answers
  // that are too long.
  static constexpr int64_t kExtraTokens = 8;

  const RunInit& init_;
  Caller& caller_;
  ProgramResult& result_;
  std::string program_;
  int64_t deadline_at_ms_ = 0;
  int64_t sequence_ = 0;
  json messages_ = json::array();
};

}  // namespace

ProgramResult RunProgram(const RunInit& init,
                         const ProgramPlan& plan,
                         size_t index) {
  constexpr int64_t kBudget = 1'000'000;
  ProgramResult result{.kind = plan.kind};
  Caller caller(init.entries, index);
  ProgramSession session(init, caller, result);
  const int64_t start_ms = SystemClock().NowMs();
  if (session.Open("", kBudget, start_ms + plan.deadline_ms)) {
    result.program = session.program();
    result.finished = session.Run(plan.steps, plan.child, plan.seed);
    result.latency_ms = static_cast<double>(SystemClock().NowMs() - start_ms);
    session.End();
  } else {
    result.latency_ms = static_cast<double>(SystemClock().NowMs() - start_ms);
  }
  result.in_time = result.finished &&
                   result.latency_ms <= static_cast<double>(plan.deadline_ms);
  return result;
}

}  // namespace ring::load
