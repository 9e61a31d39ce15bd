#pragma once

/// Decisions as pure functions of immutable inputs, so that each can be tested
/// and replayed without threads. Times are monotonic milliseconds.

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

// clang-tidy 14 reports modernize-use-nullptr inside defaulted comparisons
// whose members have comparison operators of their own; these lines carry
// NOLINT.

/// Position of an upstream in PolicyInput::upstreams.
struct UpstreamHandle {
  uint16_t index = UINT16_MAX;
  auto operator<=>(const UpstreamHandle&) const = default;  // NOLINT
};
inline bool isValid(UpstreamHandle handle) {
  return handle.index != UINT16_MAX;
}

/// Tokens of a call's prompt that an upstream is believed to have cached.
struct CachedPrefix {
  UpstreamHandle upstream;
  int64_t tokens = 0;

  auto operator<=>(const CachedPrefix&) const = default;  // NOLINT
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

  auto operator<=>(const CallView&) const = default;  // NOLINT
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

  auto operator<=>(const UpstreamView&) const = default;  // NOLINT
};

struct PolicyInput {
  int64_t now_ms = 0;
  uint64_t seed = 0;
  std::vector<CallView> queue;  ///< In order of arrival.
  std::vector<UpstreamView> upstreams;

  auto operator<=>(const PolicyInput&) const = default;  // NOLINT
};

struct Assignment {
  uint64_t ticket = 0;
  UpstreamHandle upstream;
  UpstreamHandle import_from;  ///< Valid: move the cached prefix from there.
  int64_t expected_finish_ms = 0;

  auto operator<=>(const Assignment&) const = default;  // NOLINT
};

struct Rejection {
  uint64_t ticket = 0;
  Reason reason = Reason::kNone;
  int64_t retry_after_ms = 0;

  auto operator<=>(const Rejection&) const = default;  // NOLINT
};

struct Decision {
  std::vector<Assignment> assignments;
  std::vector<Rejection> rejections;  ///< Refused at once, not run.

  auto operator<=>(const Decision&) const = default;  // NOLINT
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
  /// Longest time that a first call waits for a slot before it is refused.
  int64_t first_call_wait_ms = 2'000;
  /// Share of an engine's best throughput that its gate keeps. The gate is the
  /// smallest batch that reaches this share; 1 disables it.
  double gate_throughput = 0.9;
  /// Share of the expected remaining calls that must fit before the deadline.
  /// The expectation is a mean over all programs; most are shorter.
  double remaining_share = 0.1;
  /// First calls start on an engine only up to this share of its cache, so that
  /// programs under way can grow without losing their prefixes.
  double cache_fill = 0.8;
  /// Expected growth of a new program's prompt, as a factor.
  double prompt_growth = 6;
  /// Weight of prefill that is pending on an engine. Below 1, because entries
  /// count whole prompts, of which most tokens are cached.
  double pending_prefill_weight = 0;
  /// Weight of the time that a call costs the others in its batch.
  double others_weight = 0.3;
  /// Weight of attained service against slack in the order of service.
  double attained_weight = 0.5;
  /// Speed and fixed cost of moving a cached prefix between two engines of a
  /// region. Speed 0: prefixes are not moved.
  double import_tokens_per_ms = 0;
  int64_t import_fixed_ms = 20;
  /// Cost of a call to another region beyond its time, because the link between
  /// regions is narrow and billed by the byte.
  int64_t other_region_cost_ms = 500;
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

  auto operator<=>(const AttemptFailure&) const = default;  // NOLINT
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

// ---------------------------------------------------------------- shared limit

struct CreditInit {
  int32_t limit = 0;             ///< Requests in flight the upstream may have.
  int64_t lease_ms = 3'000;      ///< Life of a grant without renewal.
  int32_t floor = 1;             ///< What an entry uses without a valid lease.
  int32_t expected_entries = 1;  ///< Entries that may fall back to the floor.
};

/// Leased credits for the limit of one upstream that several entries share.
/// One coordinator owns the pool. Deterministic; not thread-safe.
///
/// The sum of valid leases never exceeds the limit less the reserve for entries
/// without a lease, floor * (expected_entries - holders), as long as that
/// leaves one credit. An entry whose lease ran out uses `floor` requests. The
/// load on the upstream is therefore at most limit + floor * expected_entries.
class CreditPool {
 public:
  explicit CreditPool(const CreditInit& init);

  /// Renews the lease of an entry and sets it as close to `wanted` as the fair
  /// share and free credits allow. A lease shrinks at once.
  /// @param wanted requests that the entry has in flight or waiting
  /// @returns credits granted until now_ms + lease_ms
  int32_t Request(const std::string& entry, int32_t wanted, int64_t now_ms);
  /// Returns all credits of the entry.
  void Release(const std::string& entry);
  /// Drops leases that ended at or before now_ms.
  /// @returns credits that came back
  int32_t Expire(int64_t now_ms);
  /// @returns credits out on leases
  int32_t granted() const;
  size_t holders() const { return leases_.size(); }

 private:
  struct Lease {
    int32_t credits = 0;
    int32_t wanted = 0;
    int64_t ends_ms = 0;
  };
  int32_t Grantable(const std::string& entry) const;
  int32_t FairShare() const;

  const CreditInit init_;
  std::map<std::string, Lease> leases_;
};

/// An entry's side of a lease. Counts the life of the lease from the time of
/// its request, so that it ends here no later than at the coordinator.
class CreditLease {
 public:
  explicit CreditLease(const CreditInit& init) : init_(init) {}
  /// @param asked_ms when the request was sent
  void OnGrant(int32_t credits, int64_t asked_ms);
  /// @returns requests this entry may have in flight now
  int32_t LimitAt(int64_t now_ms) const;

 private:
  CreditInit init_;
  int32_t credits_ = 0;
  int64_t ends_ms_ = INT64_MIN;
};

// ------------------------------------------------------------------ quarantine

struct SuspectInit {
  size_t max_in_flight = 100'000;  ///< Requests tracked; more are not tracked.
  size_t max_suspects = 10'000;    ///< The oldest are forgotten beyond it.
  int64_t suspect_ms = 600'000;    ///< Life of a suspicion.
};

/// Finds the request that crashes its upstreams. All requests in flight on a
/// crashed upstream become suspects; suspects run alone; an upstream that
/// crashes while it runs one lone suspect identifies the request. A request
/// that is alone on its upstream in its first crash is identified by its
/// second. Deterministic; not thread-safe.
class SuspectTracker {
 public:
  explicit SuspectTracker(const SuspectInit& init) : init_(init) {}

  /// @returns false if the tracker is full and the request is not tracked
  bool OnStart(const UpstreamId& upstream,
               const std::string& digest,
               int64_t now_ms);
  /// The attempt ended without a crash of the upstream.
  /// @param completed a complete response was received, which clears a suspect
  void OnEnd(const UpstreamId& upstream,
             const std::string& digest,
             bool completed);

  struct CrashReport {
    std::vector<std::string> suspects;  ///< Now suspected, sorted.
    std::string identified;  ///< Digest to quarantine; empty if none.
    int32_t crashes = 0;     ///< Of the identified digest.
  };
  /// Takes the requests in flight on the upstream as suspects. Repeated reports
  /// of one crash find nothing in flight and change nothing.
  CrashReport OnCrash(const UpstreamId& upstream, int64_t now_ms);

  /// @returns true if the request must run alone
  bool IsSuspect(const std::string& digest, int64_t now_ms) const;
  /// @returns upstreams that crashed with this request in flight
  int32_t CrashesOf(const std::string& digest) const;
  /// Drops suspicions that are older than suspect_ms.
  void Expire(int64_t now_ms);

  size_t in_flight() const { return in_flight_count_; }
  size_t suspects() const { return suspects_.size(); }

 private:
  struct Suspicion {
    int32_t crashes = 0;
    int64_t since_ms = 0;
  };
  void Suspect(const std::string& digest, int64_t now_ms);

  const SuspectInit init_;
  std::map<UpstreamId, std::multiset<std::string>> in_flight_;
  size_t in_flight_count_ = 0;
  std::map<std::string, Suspicion> suspects_;
};

// -------------------------------------------------------------- loop detection

/// Detects a program that repeats one call. Keeps the digests of the last calls
/// of one program. Digests must not cover the history, which differs in each
/// call. Deterministic; not thread-safe.
class LoopDetector {
 public:
  /// @param window calls that are remembered, > 0
  /// @param limit equal calls within the window that are a loop, > 1
  LoopDetector(size_t window, size_t limit);
  /// @returns true if this call is the limit-th equal one within the window
  bool OnCall(const std::string& digest);

 private:
  const size_t window_;
  const size_t limit_;
  std::deque<uint64_t> recent_;
};

}  // namespace ring
