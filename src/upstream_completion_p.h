#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "persimmonring/upstream.h"

namespace ring::upstream {

// Assembles the answer of one attempt from its stream events and checks that
// they belong to the attempt and are complete.
class Completion {
 public:
  Completion(const EngineRequest& request, const TextSink& sink);

  enum class EventResult : uint8_t {
    kProgress,  // New text, a finish reason or the end marker.
    kIgnored,   // Repeated event, or event after the finish reason.
    kFailed,    // See error().
  };
  EventResult OnEvent(std::string_view data);

  bool has_events() const { return has_events_; }
  bool ended() const { return ended_; }  // The end marker has arrived.
  const std::string& error() const { return error_; }
  // The answer; times are not set. Precondition: ended().
  const EngineResult& result() const { return result_; }

 private:
  EventResult OnObject(const nlohmann::json& event);
  EventResult AppendText(int64_t tokens, const std::string& text);
  void StoreFinish(const nlohmann::json& event, const nlohmann::json& choice);
  EventResult Fail(const char* error);

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
