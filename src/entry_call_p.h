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

/// A caller's request as received. Forwarded to other entries in this form.
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

/// A parsed and validated request.
struct CallRequest {
  CallKind kind = CallKind::kModel;
  ProgramId program;      ///< Invalid for a call without program.
  uint64_t sequence = 0;  ///< 0 if the caller sent none.
  std::string idempotency_key;
  /// SHA-256 over method, path, parameters and messages as sent. Excludes the
  /// stream flag, so that a resend may switch between streamed and whole
  /// answer.
  std::string digest;
  int64_t deadline_ms = 0;  ///< Longest time that the caller waits.
  bool stream = false;
  // Model calls.
  std::string model;
  std::vector<std::string> messages;  ///< Each one as compact JSON text.
  bool delta = false;                 ///< `messages` has only the new ones.
  int64_t max_tokens = 0;
  std::string extra;  ///< Other sampling parameters, JSON object.
  // Service calls.
  std::string service;
  std::string path;
  std::string content_type;
  std::string body;
};

/// @returns the validated request, or bad_request or another reason for invalid
///          input
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

/// @returns the bearer token as a program id, an invalid id if the header is
///          empty, bad_request for another scheme, or unknown_program if the
///          token is malformed
Outcome<ProgramId> ParseBearer(const std::string& authorization);

/// Normalizes a message: drops fields that do not change its meaning (null
/// values, empty tool_calls).
/// @returns compact JSON text with sorted keys
std::string CanonicalMessage(const nlohmann::json& message);

// --------------------------------------------------------------------- answers

int HttpStatusFor(Reason reason);
std::string ErrorBody(const Refusal& refusal);
FinalAnswer AnswerFromRefusal(const Refusal& refusal);
FinalAnswer AnswerFromRecord(const CallRecord& record);
/// @returns the text of a recorded model answer, empty for other answers
std::string TextFromRecord(const CallRecord& record);
FinalAnswer AnswerFromCompletion(const std::string& model,
                                 const std::string& attempt,
                                 const EngineResult& result);
/// Server-sent events of a streamed answer.
std::string SseChunk(const std::string& text);
std::string SseEnd(const FinalAnswer& final);
/// @returns length in bytes of the longest prefix that does not end inside a
///          UTF-8 character
size_t Utf8PrefixLength(std::string_view text);

inline Refusal Refuse(Reason reason,
                      std::string message,
                      int64_t retry_after_ms = 0,
                      RunState state = RunState::kNotRun) {
  return Refusal{reason, state, std::move(message), retry_after_ms};
}

// ----------------------------------------------------------------------- calls

class Session;

/// A call in progress. Fields up to `answer` are set before it is submitted;
/// the other fields are atomic or belong to the thread that runs its attempt.
struct Call {
  uint64_t ticket = 0;
  CallRequest request;
  std::shared_ptr<Session> session;  ///< Null for a call without program.
  uint64_t sequence = 0;
  bool idempotent = true;
  bool first_call = false;
  bool sub_agent = false;
  uint64_t program_key = 0;
  uint64_t root_key = 0;
  int64_t arrival_ms = 0;
  int64_t program_start_ms = 0;
  // Properties of the program that the scheduler needs, copied when the call is
  // queued: the session's lock is held during store calls, and the scheduler
  // must not wait for it.
  std::map<UpstreamId, int64_t> cached;  ///< Cached prompt tokens by engine.
  int64_t used_upstream_ms = 0;
  uint64_t turns = 0;
  int64_t deadline_ms = 0;       ///< Deadline of the program, monotonic.
  int64_t call_deadline_ms = 0;  ///< Deadline of the caller, monotonic.
  std::vector<std::string> new_messages;
  std::string prompt;  ///< Complete conversation, JSON list.
  int64_t delta_tokens = 0;
  int64_t prompt_tokens = 0;
  int64_t reserve_tokens = 0;
  std::string content_digest;  ///< Digest of the complete conversation;
                               ///< identifies the call in the quarantine.
  std::string prefix;          ///< Text that the caller already received
                               ///< from an owner that was lost.
  AnswerStream answer;

  bool begun = false;  ///< The program store has recorded the begin.
  std::string attempt;
  std::string previous_attempt;
  bool previous_not_run = false;
  bool may_have_run = false;  ///< Some attempt may have sent a first byte.
  int32_t attempts = 0;
  std::vector<UpstreamId> failed;
  std::atomic<bool> suspect{false};
  std::atomic<int64_t> no_reader_since_ms{0};
  CancelToken cancel;
};
using CallPtr = std::shared_ptr<Call>;

}  // namespace ring::entry
