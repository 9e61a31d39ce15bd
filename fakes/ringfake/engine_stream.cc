#include "fakes/ringfake/engine_stream.h"

#include <chrono>
#include <thread>

namespace ring::fakes {
namespace {

// Period of the check whether the client is still connected.
constexpr int64_t kPollMs = 50;
constexpr int64_t kForeverMs = 3'600'000;

}  // namespace

EngineStream::EngineStream(std::shared_ptr<Job> job,
                           Faults& faults,
                           int local_port,
                           int remote_port)
    : job_(std::move(job)),
      local_port_(local_port),
      remote_port_(remote_port),
      next_token_(job_->resume_from),
      attempt_(job_->attempt),
      duplicate_(faults.Take("duplicate_event").has_value()),
      reset_(faults.Take("reset_after_headers")),
      truncate_(faults.Take("truncate_after_tokens")),
      stall_(faults.Take("stall")) {
  if (faults.Take("wrong_attempt_id")) {
    attempt_ = "another-attempt";
  }
}

bool EngineStream::WriteNext(httplib::DataSink& sink) {
  while (true) {
    bool ended = false;
    if (!ApplyFaults(sink, ended)) {
      return false;
    }
    if (ended) {
      return true;
    }
    switch (job_->Wait(next_token_, kPollMs)) {
      case Job::WaitResult::kToken: {
        const nlohmann::json choice = {
            {"index", 0},
            {"delta", {{"content", job_->answer.tokens[next_token_]}}},
            {"finish_reason", nullptr}};
        const bool written = WriteEvent(sink, choice);
        ++next_token_;
        return written;
      }
      case Job::WaitResult::kEnd:
        return WriteEnd(sink);
      case Job::WaitResult::kCancelled:
        return false;
      case Job::WaitResult::kTimeout:
        if (!sink.is_writable()) {
          return false;
        }
    }
  }
}

bool EngineStream::ApplyFaults(httplib::DataSink& sink, bool& ended) {
  const auto done = static_cast<int64_t>(next_token_ - job_->resume_from);
  if (reset_ && done >= reset_->value("tokens", int64_t{1})) {
    ResetConnection(local_port_, remote_port_);
    return false;
  }
  if (truncate_ && done >= truncate_->value("tokens", int64_t{1})) {
    sink.done();
    ended = true;
    return true;
  }
  if (stall_ && done >= stall_->value("tokens", int64_t{1})) {
    int64_t left_ms = stall_->value("ms", kForeverMs);
    stall_.reset();
    for (; left_ms > 0; left_ms -= kPollMs) {
      if (!sink.is_writable()) {
        return false;
      }
      std::this_thread::sleep_for(
          std::chrono::milliseconds(std::min(left_ms, kPollMs)));
    }
  }
  return true;
}

bool EngineStream::WriteEvent(httplib::DataSink& sink,
                              const nlohmann::json& choice) {
  const nlohmann::json event = {{"ring_attempt", attempt_},
                                {"offset", next_token_},
                                {"choices", {choice}}};
  const std::string text = "data: " + event.dump() + "\n\n";
  return sink.write(text.data(), text.size()) &&
         (!duplicate_ || sink.write(text.data(), text.size()));
}

bool EngineStream::WriteEnd(httplib::DataSink& sink) {
  nlohmann::json delta = nlohmann::json::object();
  if (!job_->answer.tool_calls.empty()) {
    delta["tool_calls"] = job_->answer.tool_calls;
  }
  const nlohmann::json event = {
      {"ring_attempt", attempt_},
      {"offset", next_token_},
      {"choices",
       {{{"index", 0},
         {"delta", delta},
         {"finish_reason", job_->answer.finish_reason}}}},
      {"usage",
       {{"prompt_tokens", job_->prompt_tokens},
        {"completion_tokens", job_->answer.tokens.size()},
        {"prompt_tokens_details", {{"cached_tokens", job_->cached_tokens}}}}}};
  const std::string text = "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
  if (!sink.write(text.data(), text.size())) {
    return false;
  }
  sink.done();
  return true;
}

}  // namespace ring::fakes
