#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "persimmonring/upstream.h"

namespace ring::upstream {

// Collects the events of one attempt and checks that they belong to it.
class Completion {
 public:
  Completion(const EngineRequest& request, const TextSink& sink);

  enum class Step : uint8_t {
    kProgress,  // New text or the end of the answer.
    kIgnored,   // Repeated event.
    kFailed,    // See error().
  };
  Step OnEvent(std::string_view data);

  bool has_events() const { return has_events_; }
  bool ended() const { return ended_; }  // The end marker has arrived.
  const std::string& error() const { return error_; }
  // The answer without times. Precondition: ended().
  const EngineResult& result() const { return result_; }

 private:
  Step OnObject(const nlohmann::json& event);
  Step TakeText(int64_t tokens, const std::string& text);
  void TakeFinish(const nlohmann::json& event, const nlohmann::json& choice);
  Step Fail(const char* error);

  const EngineRequest& request_;
  const TextSink& sink_;
  EngineResult result_;
  int64_t next_offset_;
  bool has_events_ = false;
  bool finished_ = false;  // A finish reason has arrived.
  bool ended_ = false;
  std::string error_;
};

}  // namespace ring::upstream
