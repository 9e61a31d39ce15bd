#include "upstream_completion_p.h"

namespace ring::upstream {
namespace {

constexpr size_t kMaxAnswerBytes = 8u << 20;

template <typename T>
T GetOr(const nlohmann::json& object, const char* key, T fallback) {
  if (!object.is_object()) {
    return fallback;
  }
  const auto it = object.find(key);
  if (it == object.end()) {
    return fallback;
  }
  if constexpr (std::is_same_v<T, std::string>) {
    return it->is_string() ? it->get<T>() : fallback;
  } else {
    return it->is_number_integer() ? it->get<T>() : fallback;
  }
}

nlohmann::json JsonMember(const nlohmann::json& object, const char* key) {
  return object.is_object() && object.contains(key) ? object[key]
                                                    : nlohmann::json();
}

}  // namespace

Completion::Completion(const EngineRequest& request, const TextSink& sink)
    : request_(request), sink_(sink), next_offset_(request.resume_from) {}

Completion::EventResult Completion::Fail(const char* error) {
  error_ = error;
  return EventResult::kFailed;
}

Completion::EventResult Completion::OnEvent(std::string_view data) {
  if (ended_) {
    return EventResult::kIgnored;
  }
  if (data == "[DONE]") {
    if (!finished_) {
      return Fail("the end marker was received before a finish reason");
    }
    ended_ = true;
    return EventResult::kProgress;
  }
  if (IsNestedTooDeep(data)) {
    return Fail("the event is nested too deep");
  }
  const auto event = nlohmann::json::parse(data, nullptr, false);
  return event.is_object() ? OnObject(event)
                           : Fail("the event is not a JSON object");
}

Completion::EventResult Completion::OnObject(const nlohmann::json& event) {
  if (GetOr<std::string>(event, "ring_attempt", "") != request_.attempt) {
    return Fail("the event belongs to another attempt");
  }
  const auto offset = GetOr<int64_t>(event, "offset", -1);
  const auto choices = JsonMember(event, "choices");
  if (offset < 0 || !choices.is_array() || choices.empty() ||
      !choices[0].is_object()) {
    return Fail("the event has no valid offset or choice");
  }
  const auto& choice = choices[0];
  const auto text =
      GetOr<std::string>(JsonMember(choice, "delta"), "content", std::string());
  const bool finishes = JsonMember(choice, "finish_reason").is_string();
  if (offset < next_offset_ || finished_) {
    return EventResult::kIgnored;
  }
  if (offset > next_offset_) {
    return Fail("an event is missing: the offset is higher than expected");
  }
  has_events_ = true;
  if (!text.empty()) {
    const auto tokens = GetOr<int64_t>(event, "tokens", 1);
    if (AppendText(tokens, text) == EventResult::kFailed) {
      return EventResult::kFailed;
    }
  }
  if (finishes) {
    StoreFinish(event, choice);
  }
  return EventResult::kProgress;
}

Completion::EventResult Completion::AppendText(int64_t tokens,
                                               const std::string& text) {
  if (tokens <= 0 || result_.text.size() + text.size() > kMaxAnswerBytes) {
    return Fail("the token count or answer length is out of range");
  }
  result_.text += text;
  if (sink_) {
    sink_(next_offset_, text);
  }
  next_offset_ += tokens;
  result_.output_tokens += tokens;
  return EventResult::kProgress;
}

void Completion::StoreFinish(const nlohmann::json& event,
                             const nlohmann::json& choice) {
  finished_ = true;
  result_.finish_reason = GetOr<std::string>(choice, "finish_reason", "");
  const auto calls = JsonMember(JsonMember(choice, "delta"), "tool_calls");
  if (calls.is_array() && !calls.empty()) {
    result_.tool_calls = calls.dump();
  }
  const auto usage = JsonMember(event, "usage");
  result_.prompt_tokens = GetOr<int64_t>(usage, "prompt_tokens", 0);
  result_.cached_tokens = GetOr<int64_t>(
      JsonMember(usage, "prompt_tokens_details"), "cached_tokens", 0);
}

}  // namespace ring::upstream
