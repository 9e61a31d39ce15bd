#pragma once

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "persimmonring/core.h"

/// Deterministic answers of the fake engine. Tests include this header to
/// verify that an answer belongs to its request. The last user message can
/// contain these directives:
///   answer_tokens=N           makes the answer N tokens long
///   use_tool NAME {json}      ends the answer with a call of tool NAME; the
///                             JSON object extends to the end of the line
namespace ring::fakes {

struct Answer {
  std::vector<std::string> tokens;
  std::string finish_reason;  ///< "stop", "length", "tool_calls"
  nlohmann::json tool_calls = nlohmann::json::array();

  std::string Text(size_t from = 0) const {
    std::string text;
    for (size_t i = from; i < tokens.size(); ++i) {
      text += tokens[i];
    }
    return text;
  }
};

/// Serializes a conversation. Appending a message only appends text, so that
/// the text of a conversation is a prefix of the text of its continuation.
inline std::string PromptText(const nlohmann::json& messages) {
  std::string text;
  for (const auto& message : messages) {
    text += message.dump();
    text += '\n';
  }
  return text;
}

inline std::string LastUserText(const nlohmann::json& messages) {
  for (auto it = messages.rbegin(); it != messages.rend(); ++it) {
    if (it->value("role", "") == "user" && it->contains("content") &&
        (*it)["content"].is_string()) {
      return (*it)["content"].get<std::string>();
    }
  }
  return {};
}

inline std::optional<int64_t> RequestedTokens(std::string_view text) {
  constexpr std::string_view kDirective = "answer_tokens=";
  const size_t at = text.find(kDirective);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int64_t value = 0;
  const char* begin = text.data() + at + kDirective.size();
  const auto result = std::from_chars(begin, text.data() + text.size(), value);
  return result.ec == std::errc() ? std::optional(value) : std::nullopt;
}

inline nlohmann::json RequestedToolCalls(std::string_view text, uint64_t hash) {
  auto calls = nlohmann::json::array();
  constexpr std::string_view kDirective = "use_tool ";
  size_t at = 0;
  while ((at = text.find(kDirective, at)) != std::string_view::npos) {
    at += kDirective.size();
    const size_t end = std::min(text.find('\n', at), text.size());
    const std::string_view line = text.substr(at, end - at);
    const size_t space = std::min(line.find(' '), line.size());
    const std::string arguments(space < line.size() ? line.substr(space + 1)
                                                    : "{}");
    calls.push_back(
        {{"id", "call_" + std::to_string(hash + calls.size())},
         {"type", "function"},
         {"function",
          {{"name", line.substr(0, space)}, {"arguments", arguments}}}});
  }
  return calls;
}

/// @param min_tokens,max_tokens range of the random length, used without an
///        answer_tokens directive
/// @param limit maximum tokens; a longer answer is cut and ends with "length"
inline Answer MakeAnswer(const std::string& model,
                         const nlohmann::json& messages,
                         int64_t min_tokens,
                         int64_t max_tokens,
                         int64_t limit) {
  const uint64_t hash = Checksum(model + '\n' + PromptText(messages));
  Rng rng(hash);
  const std::string user = LastUserText(messages);
  const int64_t random_length = UniformInt(rng, min_tokens, max_tokens);
  const int64_t wanted =
      std::max<int64_t>(1, RequestedTokens(user).value_or(random_length));
  Answer answer;
  for (int64_t i = 0; i < std::min(wanted, limit); ++i) {
    // Four bytes, which CountTokens() counts as one token.
    std::string token = " ";
    for (uint64_t bits = rng(), n = 0; n < 3; ++n, bits /= 26) {
      token += static_cast<char>('a' + bits % 26);
    }
    answer.tokens.push_back(std::move(token));
  }
  answer.tool_calls = RequestedToolCalls(user, hash >> 16);
  if (wanted > limit) {
    answer.finish_reason = "length";
    answer.tool_calls = nlohmann::json::array();
  } else {
    answer.finish_reason = answer.tool_calls.empty() ? "stop" : "tool_calls";
  }
  return answer;
}

/// @returns the message that a caller appends to continue the conversation
inline nlohmann::json AssistantMessage(const Answer& answer) {
  nlohmann::json message = {{"role", "assistant"}, {"content", answer.Text()}};
  if (!answer.tool_calls.empty()) {
    message["tool_calls"] = answer.tool_calls;
  }
  return message;
}

}  // namespace ring::fakes
