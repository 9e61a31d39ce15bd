#include <nlohmann/json.hpp>

#include "entry_call_p.h"

namespace ring::entry {

using nlohmann::json;

namespace {

// Engine text may end inside a UTF-8 character. Invalid bytes are replaced,
// because by default the library throws, which would end the process.
std::string DumpLenient(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

constexpr char kJsonContentType[] = "application/json";

json ParseJsonOr(const std::string& text, const json& fallback) {
  json value = json::parse(text, nullptr, false);
  return value.is_discarded() ? fallback : value;
}

}  // namespace

int HttpStatusFor(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return 200;
    case Reason::kBadRequest:
    case Reason::kHistoryTooLong:
      return 400;
    case Reason::kBodyTooLarge:
      return 413;
    case Reason::kUnknownPath:
    case Reason::kUnknownProgram:
    case Reason::kUnknownModel:
    case Reason::kUnknownService:
      return 404;
    case Reason::kSequenceReuse:
    case Reason::kSequenceGap:
    case Reason::kHistoryMismatch:
    case Reason::kConflict:
    case Reason::kStaleNumber:
    case Reason::kStaleEpoch:
    case Reason::kStaleFence:
      return 409;
    case Reason::kProgramEnded:
    case Reason::kProgramExpired:
    case Reason::kAnswerExpired:
      return 410;
    case Reason::kNotAllowed:
    case Reason::kQuarantined:
      return 403;
    case Reason::kTurnLimit:
    case Reason::kTokenLimit:
    case Reason::kBudgetExceeded:
      return 402;
    case Reason::kQueueFull:
    case Reason::kDeadlineUnreachable:
    case Reason::kOverload:
    case Reason::kRetryBudgetSpent:
      return 429;
    case Reason::kDeadlinePassed:
    case Reason::kUpstreamTimeout:
    case Reason::kToolTimeout:
      return 504;
    case Reason::kUpstreamReset:
    case Reason::kUpstreamError:
    case Reason::kUpstreamTruncated:
    case Reason::kOutcomeUnknown:
      return 502;
    case Reason::kCallerGone:
    case Reason::kCancelled:
      return 499;
    case Reason::kInternal:
    case Reason::kCorruptData:
      return 500;
    default:
      return 503;
  }
}

std::string ErrorBody(const Refusal& refusal) {
  return DumpLenient({{"error",
                       {{"run_state", ToString(refusal.run_state)},
                        {"reason", ToString(refusal.reason)},
                        {"message", refusal.message},
                        {"retry_after_ms", refusal.retry_after_ms}}}});
}

FinalAnswer AnswerFromRefusal(const Refusal& refusal) {
  FinalAnswer final;
  final.http_status = HttpStatusFor(refusal.reason);
  final.content_type = kJsonContentType;
  final.body = ErrorBody(refusal);
  final.refusal = refusal;
  return final;
}

FinalAnswer AnswerFromRecord(const CallRecord& record) {
  FinalAnswer final;
  final.http_status = record.http_status;
  final.content_type = record.content_type;
  final.body = record.answer;
  if (record.reason != Reason::kNone) {
    final.refusal = {record.reason, record.run_state,
                     "recorded outcome of this call", 0};
    if (final.body.empty()) {
      return AnswerFromRefusal(final.refusal);
    }
    return final;
  }
  const json body = ParseJsonOr(record.answer, json::object());
  if (!body.is_object() || !body.contains("choices") ||
      !body["choices"].is_array() || body["choices"].empty()) {
    return final;
  }
  const json& choice = body["choices"][0];
  final.finish_reason = choice.value("finish_reason", "stop");
  if (choice.contains("message") && choice["message"].contains("tool_calls")) {
    final.tool_calls = choice["message"]["tool_calls"].dump();
  }
  final.usage = body.value("usage", json::object()).dump();
  return final;
}

std::string TextFromRecord(const CallRecord& record) {
  const json body = ParseJsonOr(record.answer, json::object());
  const json::json_pointer content("/choices/0/message/content");
  if (!body.contains(content) || !body[content].is_string()) {
    return "";
  }
  return body[content].get<std::string>();
}

FinalAnswer AnswerFromCompletion(const std::string& model,
                                 const std::string& attempt,
                                 const EngineResult& result) {
  const json usage = {
      {"prompt_tokens", result.prompt_tokens},
      {"completion_tokens", result.output_tokens},
      {"total_tokens", result.prompt_tokens + result.output_tokens},
      {"prompt_tokens_details", {{"cached_tokens", result.cached_tokens}}}};
  json message = {{"role", "assistant"}, {"content", result.text}};
  if (!result.tool_calls.empty()) {
    message["tool_calls"] = ParseJsonOr(result.tool_calls, json::array());
  }
  FinalAnswer final;
  final.content_type = kJsonContentType;
  final.finish_reason = result.finish_reason;
  final.tool_calls = result.tool_calls;
  final.usage = usage.dump();
  final.body = DumpLenient({{"id", attempt},
                            {"object", "chat.completion"},
                            {"model", model},
                            {"choices",
                             {{{"index", 0},
                               {"message", message},
                               {"finish_reason", result.finish_reason}}}},
                            {"usage", usage}});
  return final;
}

std::string SseChunk(const std::string& text) {
  return "data: " +
         DumpLenient({{"object", "chat.completion.chunk"},
                      {"choices",
                       {{{"index", 0},
                         {"delta", {{"content", text}}},
                         {"finish_reason", nullptr}}}}}) +
         "\n\n";
}

std::string SseEnd(const FinalAnswer& final) {
  if (final.refusal.reason != Reason::kNone) {
    return "event: error\ndata: " + ErrorBody(final.refusal) + "\n\n";
  }
  json delta = json::object();
  if (!final.tool_calls.empty()) {
    delta["tool_calls"] = ParseJsonOr(final.tool_calls, json::array());
  }
  json chunk = {{"object", "chat.completion.chunk"},
                {"choices",
                 {{{"index", 0},
                   {"delta", delta},
                   {"finish_reason", final.finish_reason}}}}};
  if (!final.usage.empty()) {
    chunk["usage"] = ParseJsonOr(final.usage, json::object());
  }
  return "data: " + DumpLenient(chunk) + "\n\ndata: [DONE]\n\n";
}

size_t Utf8PrefixLength(std::string_view text) {
  // Searches backwards, over at most three continuation bytes, for the first
  // byte of the last character.
  constexpr size_t kLongestCharacter = 4;
  for (size_t back = 1; back <= kLongestCharacter && back <= text.size();
       ++back) {
    const auto byte = static_cast<unsigned char>(text[text.size() - back]);
    if ((byte & 0xC0) == 0x80) {
      continue;
    }
    const size_t length = byte >= 0xF0   ? 4
                          : byte >= 0xE0 ? 3
                          : byte >= 0xC0 ? 2
                                         : 1;
    return length > back ? text.size() - back : text.size();
  }
  return text.size();
}

}  // namespace ring::entry
