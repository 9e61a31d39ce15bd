#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "persimmonring/entry.h"

namespace ring::entry {

/// A caller's request as it arrived, in the form that is also forwarded.
struct RawCall {
  std::string path;
  std::string authorization;
  std::string sequence;
  std::string idempotency_key;
  std::string deadline_ms;
  std::string messages_mode;
  std::string content_type;
  std::string body;

  auto operator<=>(const RawCall&) const = default;
};

enum class CallKind : uint8_t { kModel, kService };

/// A checked request.
struct CallRequest {
  CallKind kind = CallKind::kModel;
  ProgramId program;      ///< Invalid: a single call.
  uint64_t sequence = 0;  ///< 0: the caller gave none.
  std::string idempotency_key;
  /// SHA-256 over method, path, parameters and messages as sent; the stream
  /// flag is left out, so that a resend may ask for the other form.
  std::string digest;
  int64_t deadline_ms = 0;  ///< Longest wait of the caller.
  bool stream = false;
  // Model calls.
  std::string model;
  std::vector<std::string> messages;  ///< Each as compact JSON text.
  bool delta = false;                 ///< `messages` holds new ones only.
  int64_t max_tokens = 0;
  std::string extra;  ///< Further sampling parameters, JSON object.
  // Service calls.
  std::string service;
  std::string path;
  std::string content_type;
  std::string body;
};

/// @returns the checked request, or bad_request (and other input reasons)
Outcome<CallRequest> ParseCall(const RawCall& raw, const CallLimits& limits);

struct OpenRequest {
  std::string team;
  int64_t budget_tokens = 0;
  int64_t deadline_ms = 0;
  int64_t idle_ms = 0;
  ProgramId parent;
};
Outcome<OpenRequest> ParseOpen(const std::string& body,
                               const CallLimits& limits);
Outcome<UpstreamRecord> ParseAnnouncement(const std::string& body);

/// @returns the bearer token as a program id; invalid if there is no header;
///          unknown_program if it is malformed
Outcome<ProgramId> ParseBearer(const std::string& authorization);

/// Message without fields whose presence does not change its meaning (null
/// values, empty tool_calls), as compact JSON with sorted keys.
std::string CanonicalMessage(const nlohmann::json& message);

// --------------------------------------------------------------------- answers

int HttpStatusOf(Reason reason);
std::string ErrorBody(const Refusal& refusal);
FinalAnswer AnswerOfRefusal(const Refusal& refusal);
FinalAnswer AnswerOfRecord(const CallRecord& record);
/// @returns the text of a recorded answer of a model call
std::string TextOfRecord(const CallRecord& record);
FinalAnswer AnswerOfCompletion(const std::string& model,
                               const std::string& attempt,
                               const EngineResult& result);
/// SSE events of a streamed answer.
std::string SseChunk(const std::string& text);
std::string SseEnd(const FinalAnswer& final);
/// @returns length of the longest prefix that cuts no UTF-8 character
size_t Utf8PrefixLength(std::string_view text);

inline Refusal Refuse(Reason reason,
                      std::string message,
                      int64_t retry_after_ms = 0,
                      RunState state = RunState::kNotRun) {
  return Refusal{reason, state, std::move(message), retry_after_ms};
}

// ----------------------------------------------------------------------- calls

class Session;

/// A call under way. Fields up to `answer` are set before it is submitted;
/// the others belong to the thread that runs its attempt, or are atomic.
struct Call {
  uint64_t ticket = 0;
  CallRequest request;
  std::shared_ptr<Session> session;  ///< Null for a single call.
  uint64_t sequence = 0;
  bool idempotent = true;
  bool first_call = false;
  bool sub_agent = false;
  uint64_t program_key = 0;
  uint64_t root_key = 0;
  int64_t arrival_ms = 0;
  int64_t program_start_ms = 0;
  // What decisions need of the program, copied when the call is queued: the
  // lock of the session is held during store calls, and a decision must not
  // wait for it.
  std::map<UpstreamId, int64_t> cached;  ///< Prefix tokens by engine.
  int64_t attained_service_ms = 0;
  uint64_t turns = 0;
  int64_t deadline_ms = 0;       ///< Of its program, monotonic.
  int64_t call_deadline_ms = 0;  ///< Of the waiting caller, monotonic.
  std::vector<std::string> new_messages;
  std::string prompt;  ///< Whole conversation, JSON list.
  int64_t delta_tokens = 0;
  int64_t prompt_tokens = 0;
  int64_t reserve_tokens = 0;
  std::string content_digest;  ///< Whole conversation; names it in quarantine.
  std::string prefix;          ///< Text the caller has from a lost owner.
  AnswerStream answer;

  bool begun = false;  ///< The store knows the call.
  std::string attempt;
  std::string previous_attempt;
  bool previous_not_run = false;
  bool may_have_run = false;  ///< A first byte may have left, any attempt.
  int32_t attempts = 0;
  std::vector<UpstreamId> failed;
  std::atomic<bool> suspect{false};
  std::atomic<int64_t> no_reader_since_ms{0};
  CancelToken cancel;
};
using CallPtr = std::shared_ptr<Call>;

}  // namespace ring::entry
