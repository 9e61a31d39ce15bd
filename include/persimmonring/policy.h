#pragma once

/// Decisions as pure functions of immutable inputs, so that each can be tested
/// and replayed without threads. Times are monotonic milliseconds.

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

/// Position of an upstream in PolicyInput::upstreams.
struct UpstreamHandle {
  uint16_t index = UINT16_MAX;
  auto operator<=>(const UpstreamHandle&) const = default;
};
inline bool isValid(UpstreamHandle handle) {
  return handle.index != UINT16_MAX;
}

/// Tokens of a call's prompt that an upstream is believed to have cached.
struct CachedPrefix {
  UpstreamHandle upstream;
  int64_t tokens = 0;

  auto operator<=>(const CachedPrefix&) const = default;
};

/// A waiting call.
struct CallView {
  uint64_t ticket = 0;   ///< Names the call in the decision.
  uint64_t program = 0;  ///< Equal for calls of one program; 0: no program.
  uint64_t root =
      0;  ///< Top-level program; equals `program` if it has no parent.
  bool first_call = false;  ///< First call of a new top-level program.
  bool sub_agent = false;   ///< Its parent waits for it.
  bool idempotent = true;
  bool suspect = false;  ///< Was in flight when an upstream crashed.
  int64_t arrival_ms = 0;
  int64_t program_start_ms = 0;     ///< Of the root program.
  int64_t deadline_ms = 0;          ///< Of the root program.
  int64_t attained_service_ms = 0;  ///< Upstream time its root has used.
  int64_t prompt_tokens = 0;
  int64_t expected_output_tokens = 0;
  int64_t expected_remaining_calls = 0;  ///< After this one, from statistics.
  std::vector<CachedPrefix> cached;
  std::vector<UpstreamHandle> candidates;  ///< Serve its model or service.
  std::vector<UpstreamHandle> failed;      ///< Tried before; used last.

  auto operator<=>(const CallView&) const = default;
};

enum class LinkClass : uint8_t { kDomain, kRegion, kOtherRegion };

/// An upstream as this entry knows it.
struct UpstreamView {
  UpstreamHandle handle;
  bool accepts_work = true;  ///< Up, not leaving, not suspected.
  bool isolated = false;     ///< Only one suspect may run alone on it.
  LinkClass link = LinkClass::kDomain;
  int64_t round_trip_ms = 0;
  int32_t limit = 0;          ///< Requests this entry may have in flight on it.
  int32_t own_in_flight = 0;  ///< Requests of this entry.
  int32_t other_in_flight = 0;         ///< Estimate for other entries; lags.
  int64_t pending_prefill_tokens = 0;  ///< Of own requests without first token.
  int64_t pending_decode_tokens = 0;   ///< Expected, of own requests.
  int64_t cache_capacity_tokens = 0;
  int64_t cache_used_tokens = 0;
  double prefill_tokens_per_ms = 8;  ///< Estimated from completions.
  double decode_ms_per_token = 20;   ///< At the present batch.
  double decode_slope_ms = 0.5;      ///< More per further request in the batch.

  auto operator<=>(const UpstreamView&) const = default;
};

struct PolicyInput {
  int64_t now_ms = 0;
  uint64_t seed = 0;
  std::vector<CallView> queue;  ///< In order of arrival.
  std::vector<UpstreamView> upstreams;

  auto operator<=>(const PolicyInput&) const = default;
};

struct Assignment {
  uint64_t ticket = 0;
  UpstreamHandle upstream;
  UpstreamHandle import_from;  ///< Valid: move the cached prefix from there.
  int64_t expected_finish_ms = 0;

  auto operator<=>(const Assignment&) const = default;
};

struct Rejection {
  uint64_t ticket = 0;
  Reason reason = Reason::kNone;
  int64_t retry_after_ms = 0;

  auto operator<=>(const Rejection&) const = default;
};

struct Decision {
  std::vector<Assignment> assignments;
  std::vector<Rejection> rejections;  ///< Refused at once, not run.

  auto operator<=>(const Decision&) const = default;
};

/// Chooses which waiting calls start where, and which are refused. Calls that
/// appear in neither list keep waiting. Stateless and thread-safe: equal inputs
/// give equal decisions.
class PolicyI {
 public:
  virtual ~PolicyI() = default;
  virtual const char* name() const = 0;
  virtual Decision Decide(const PolicyInput& input) const = 0;
};

struct PolicyInit {
  int64_t max_queue = 1'000;
  int64_t aging_ms = 10'000;
  double slack_safety = 1.2;  ///< Factor on expected finish for admission.
};

/// @param name "program", "fcfs-round-robin" or "fcfs-least-in-flight"
/// @returns nullptr for an unknown name
std::unique_ptr<PolicyI> CreatePolicy(const std::string& name,
                                      const PolicyInit& init);

// --------------------------------------------------------------------- retries

/// What is known about a failed attempt.
struct AttemptFailure {
  Reason reason = Reason::kNone;
  RunState run_state = RunState::kUnknown;
  bool idempotent = true;
  int32_t attempts = 1;  ///< Made so far.
  int64_t now_ms = 0;
  int64_t deadline_ms = 0;

  auto operator<=>(const AttemptFailure&) const = default;
};

enum class RetryVerdict : uint8_t { kRetry, kRetryAlone, kGiveUp };

/// Decides on retries within a budget: retries may be at most a share of calls.
/// Thread-safe.
class RetryPolicyI {
 public:
  virtual ~RetryPolicyI() = default;
  /// Counts a first attempt, which earns retry budget.
  virtual void OnCall(int64_t now_ms) = 0;
  /// @returns kRetryAlone for a call that was in flight on a crashed upstream
  virtual RetryVerdict OnFailure(const AttemptFailure& failure) = 0;
};

struct RetryInit {
  double budget_share = 0.1;  ///< Retries per call.
  int32_t min_retries_per_s = 1;
  int32_t max_attempts = 3;
};
std::unique_ptr<RetryPolicyI> CreateRetryPolicy(const RetryInit& init);

/// @param base_ms expected time until there is room
/// @returns a time spread uniformly over [base, 2 * base], so that refused
///          callers do not return together
int64_t SpreadRetryAfterMs(Rng& rng, int64_t base_ms);

}  // namespace ring
