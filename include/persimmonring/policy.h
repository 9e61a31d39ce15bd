#pragma once

/// Scheduling, retries, shared limits and crash tracking. A scheduling decision
/// is a pure function of an immutable input, so it can be tested and replayed
/// without threads. Times are monotonic milliseconds.

#include <algorithm>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

// clang-tidy 14 reports modernize-use-nullptr inside defaulted comparisons
// whose members have comparison operators of their own; these lines carry
// NOLINT.

/// Index of an upstream in PolicyInput::upstreams.
struct UpstreamHandle {
  uint16_t index = UINT16_MAX;
  auto operator<=>(const UpstreamHandle&) const = default;  // NOLINT
};
inline bool IsValid(UpstreamHandle handle) {
  return handle.index != UINT16_MAX;
}

/// Estimated number of prompt tokens that an upstream has cached for a call.
struct CachedPrefix {
  UpstreamHandle upstream;
  int64_t tokens = 0;

  auto operator<=>(const CachedPrefix&) const = default;  // NOLINT
};

/// A call that waits for an upstream.
struct CallView {
  uint64_t ticket = 0;   ///< Identifies the call in the decision.
  uint64_t program = 0;  ///< The same for all calls of a program; 0: none.
  /// Top-level program; equals `program` if it has no parent.
  uint64_t root = 0;
  bool first_call = false;  ///< First call of a new top-level program.
  bool sub_agent = false;   ///< The parent program waits for this call.
  bool idempotent = true;
  bool suspect = false;  ///< In flight when an upstream crashed.
  int64_t arrival_ms = 0;
  int64_t program_start_ms = 0;  ///< Of the root program.
  int64_t deadline_ms = 0;       ///< Of the root program.
  int64_t used_upstream_ms = 0;  ///< Upstream time used by the root program.
  int64_t prompt_tokens = 0;
  int64_t expected_output_tokens = 0;
  int64_t expected_remaining_calls = 0;  ///< After this one; from statistics.
  std::vector<CachedPrefix> cached;
  std::vector<UpstreamHandle> candidates;  ///< Offer its model or service.
  std::vector<UpstreamHandle> failed;  ///< Earlier attempts failed; used last.

  auto operator<=>(const CallView&) const = default;  // NOLINT
};

/// Network distance between this entry and an upstream.
enum class LinkClass : uint8_t { kDomain, kRegion, kOtherRegion };

/// State of an upstream as known to this entry.
struct UpstreamView {
  UpstreamHandle handle;
  bool accepts_work = true;  ///< Up, not leaving, not suspected.
  bool isolated = false;     ///< Accepts only a single suspect at a time.
  LinkClass link = LinkClass::kDomain;
  int64_t round_trip_ms = 0;
  int32_t limit = 0;            ///< Maximum requests in flight from this entry.
  int32_t own_in_flight = 0;    ///< From this entry.
  int32_t other_in_flight = 0;  ///< From other entries; a delayed estimate.
  /// Of own requests before their first token.
  int64_t pending_prefill_tokens = 0;
  int64_t pending_decode_tokens = 0;  ///< Expected output of own requests.
  int64_t cache_capacity_tokens = 0;
  int64_t cache_used_tokens = 0;
  double prefill_tokens_per_ms = 8;  ///< Estimated from completed calls.
  double decode_ms_per_token = 20;   ///< At the current batch size.
  /// Added by each further request in the batch.
  double decode_slope_ms = 0.5;

  auto operator<=>(const UpstreamView&) const = default;  // NOLINT
};

struct PolicyInput {
  int64_t now_ms = 0;
  uint64_t seed = 0;            ///< Seed of the random generator.
  std::vector<CallView> queue;  ///< In order of arrival.
  std::vector<UpstreamView> upstreams;

  auto operator<=>(const PolicyInput&) const = default;  // NOLINT
};

struct Assignment {
  uint64_t ticket = 0;
  UpstreamHandle upstream;
  /// If valid, import the cached prefix from here.
  UpstreamHandle import_from;
  int64_t expected_finish_ms = 0;

  auto operator<=>(const Assignment&) const = default;  // NOLINT
};

struct PolicyRefusal {
  uint64_t ticket = 0;
  Reason reason = Reason::kNone;
  int64_t retry_after_ms = 0;

  auto operator<=>(const PolicyRefusal&) const = default;  // NOLINT
};

struct Decision {
  std::vector<Assignment> assignments;
  std::vector<PolicyRefusal> refusals;  ///< Refused without an attempt.

  auto operator<=>(const Decision&) const = default;  // NOLINT
};

/// Scheduling policy: decides which waiting calls start on which upstream and
/// which are refused. Calls in neither list keep waiting. Stateless and
/// thread-safe: equal inputs give equal decisions.
class PolicyI {
 public:
  virtual ~PolicyI() = default;
  virtual const char* name() const = 0;
  virtual Decision Decide(const PolicyInput& input) const = 0;
};

struct PolicyInit {
  int64_t max_queue = 1'000;
  int64_t aging_ms = 10'000;
  /// Admission multiplies the expected remaining time of a program by this
  /// factor before comparing it with the deadline.
  double deadline_safety_factor = 1.2;
  /// Maximum time that a first call waits for a slot before it is refused.
  int64_t max_first_call_wait_ms = 2'000;
  /// An engine is given no more requests than the smallest batch that reaches
  /// this share of its throughput at the full limit. 1: use the full limit.
  double batch_throughput_share = 0.9;
  /// Share of the expected remaining calls that must fit before the deadline.
  /// Small, because the expectation is a mean over all programs and most
  /// programs are shorter than the mean.
  double remaining_calls_share = 0.1;
  /// First calls fill the cache of an engine only up to this share, which
  /// leaves room for the prompts of running programs to grow without evictions.
  double first_call_cache_share = 0.8;
  /// Expected final prompt length of a program relative to its first prompt.
  double prompt_growth = 6;
  /// Weight of the pending prefill of an engine in the expected duration. Below
  /// 1, because the pending count includes cached tokens, which are most of a
  /// prompt. 0 ignores it.
  double pending_prefill_weight = 0;
  /// Weight of the delay that a call causes to the other calls in its batch.
  double batch_delay_weight = 0.3;
  /// Weight of the upstream time already used, relative to slack, in the
  /// scheduling order.
  double used_upstream_weight = 0.5;
  /// Transfer rate and fixed overhead of importing a cached prefix from another
  /// engine of the region. Rate 0 disables imports.
  double import_tokens_per_ms = 0;
  int64_t import_overhead_ms = 20;
  /// Added to the cost of a call to another region, because the link between
  /// regions has little bandwidth and is billed by the byte.
  int64_t other_region_cost_ms = 500;
};

/// @param name "program", "fcfs-round-robin" or "fcfs-least-in-flight"
/// @returns nullptr for an unknown name
std::unique_ptr<PolicyI> CreatePolicy(const std::string& name,
                                      const PolicyInit& init);

// --------------------------------------------------------------------- retries

/// Description of a failed attempt.
struct AttemptFailure {
  Reason reason = Reason::kNone;
  RunState run_state = RunState::kUnknown;
  bool idempotent = true;
  int32_t attempts = 1;  ///< Including this one.
  int64_t now_ms = 0;
  int64_t deadline_ms = 0;

  auto operator<=>(const AttemptFailure&) const = default;  // NOLINT
};

enum class RetryAction : uint8_t { kRetry, kRetryAlone, kGiveUp };

/// Decides whether a failed call is retried. A budget limits retries to a share
/// of all calls, plus a minimum rate. Thread-safe.
class RetryPolicyI {
 public:
  virtual ~RetryPolicyI() = default;
  /// Counts a first attempt, which adds to the retry budget.
  virtual void OnCall(int64_t now_ms) = 0;
  /// @returns kRetryAlone if the upstream may have crashed while it ran the
  ///          call; the retry must then be the only call on its upstream
  virtual RetryAction OnFailure(const AttemptFailure& failure) = 0;
};

struct RetryInit {
  double budget_share = 0.1;      ///< Retries allowed per call.
  int32_t min_retries_per_s = 1;  ///< Allowed even without calls.
  int32_t max_attempts = 3;
};
std::unique_ptr<RetryPolicyI> CreateRetryPolicy(const RetryInit& init);

/// @param base_ms expected time until a slot is free
/// @returns a uniformly distributed time in [base, 2 * base], so that refused
///          callers do not all retry at the same time
int64_t JitteredRetryAfterMs(Rng& rng, int64_t base_ms);

// ---------------------------------------------------------------- shared limit

struct CreditPoolInit {
  int32_t limit = 0;         ///< Maximum requests in flight on the upstream.
  int64_t lease_ms = 3'000;  ///< Lifetime of a grant without renewal.
  int32_t floor = 1;         ///< Credits of an entry without a valid lease.
  int32_t expected_entries = 1;  ///< Entries that may fall back to the floor.
};

/// Shares the in-flight limit of one upstream among entries by leased credits.
/// One coordinator owns the pool. Deterministic; not thread-safe.
///
/// Entries without a lease may still have `floor` requests in flight each, so
/// the pool reserves floor * (expected_entries - holders) of the limit for
/// them. The sum of valid leases never exceeds the rest, or one credit if the
/// rest is smaller. The load on the upstream is at most limit + floor *
/// expected_entries.
class CreditPool {
 public:
  explicit CreditPool(const CreditPoolInit& init);

  /// Renews the lease of an entry and sets it as close to `wanted` as its fair
  /// share and the free credits allow. A smaller lease takes effect at once.
  /// @param wanted requests that the entry has in flight or waiting
  /// @returns credits granted until now_ms + lease_ms
  int32_t Request(const std::string& entry, int32_t wanted, int64_t now_ms);
  /// Returns all credits of the entry.
  void Release(const std::string& entry);
  /// Drops leases that ended at or before now_ms.
  /// @returns credits freed
  int32_t Expire(int64_t now_ms);
  /// @returns the sum of the credits of all leases
  int32_t granted() const;
  size_t holders() const { return leases_.size(); }

 private:
  struct Lease {
    int32_t credits = 0;
    int32_t wanted = 0;
    int64_t ends_ms = 0;
  };
  int32_t FreeCreditsFor(const std::string& entry) const;
  int32_t FairShare() const;

  const CreditPoolInit init_;
  std::map<std::string, Lease> leases_;
};

/// The lease as held by an entry. It expires lease_ms after the request was
/// sent, so it never ends later here than at the coordinator.
class CreditLease {
 public:
  explicit CreditLease(const CreditPoolInit& init) : init_(init) {}
  /// @param requested_ms time at which the request was sent
  void OnGrant(int32_t credits, int64_t requested_ms);
  /// @returns requests this entry may have in flight now
  int32_t LimitAt(int64_t now_ms) const;

 private:
  CreditPoolInit init_;
  int32_t credits_ = 0;
  int64_t ends_ms_ = INT64_MIN;
};

// ------------------------------------------------------------------ quarantine

struct SuspectTrackerInit {
  size_t max_in_flight = 100'000;  ///< Further requests are not tracked.
  size_t max_suspects = 10'000;    ///< Beyond it, the oldest is dropped.
  int64_t suspect_ms = 600'000;    ///< Time after which a suspect is forgotten.
};

/// Identifies requests that crash upstreams. All requests in flight on an
/// upstream that crashes become suspects, and suspects must run alone. A
/// request is identified when an upstream crashes while running only this
/// request, and it was in flight in an earlier crash. One crash never suffices,
/// even if the request was alone. Deterministic; not thread-safe.
class SuspectTracker {
 public:
  explicit SuspectTracker(const SuspectTrackerInit& init) : init_(init) {}

  /// @returns false if the tracker is full and the request is not tracked
  bool OnStart(const UpstreamId& upstream,
               const std::string& digest,
               int64_t now_ms);
  /// Records that an attempt ended without a crash of the upstream.
  /// @param completed true if a complete response was received; the request is
  ///                  then no longer a suspect
  void OnEnd(const UpstreamId& upstream,
             const std::string& digest,
             bool completed);

  struct CrashReport {
    std::vector<std::string> suspects;  ///< Digests in flight, sorted.
    std::string identified;  ///< Digest to quarantine; empty if none.
    int32_t crashes = 0;     ///< Number of crashes of the identified digest.
  };
  /// Makes the requests in flight on the upstream suspects. A repeated report
  /// of the same crash finds no request in flight and has no effect.
  CrashReport OnCrash(const UpstreamId& upstream, int64_t now_ms);

  /// @returns true if the request must be the only one on its upstream
  bool IsSuspect(const std::string& digest, int64_t now_ms) const;
  /// @returns number of crashes with this request in flight
  int32_t CrashesOf(const std::string& digest) const;
  /// Drops suspicions older than suspect_ms.
  void Expire(int64_t now_ms);

  size_t in_flight() const { return in_flight_count_; }
  size_t suspects() const { return suspects_.size(); }

 private:
  struct Suspicion {
    int32_t crashes = 0;
    int64_t since_ms = 0;
  };
  void AddSuspect(const std::string& digest, int64_t now_ms);

  const SuspectTrackerInit init_;
  std::map<UpstreamId, std::multiset<std::string>> in_flight_;
  size_t in_flight_count_ = 0;
  std::map<std::string, Suspicion> suspects_;
};

// -------------------------------------------------------------- loop detection

/// Detects a program that repeats the same call, from the digests of its last
/// calls. Digests must not cover the message history, which differs in each
/// call. Deterministic; not thread-safe.
class LoopDetector {
 public:
  /// @param window number of calls kept, > 0
  /// @param limit equal calls within the window that count as a loop, > 1
  LoopDetector(size_t window, size_t limit);
  /// @returns true if the window holds at least `limit` calls equal to this one
  bool OnCall(const std::string& digest);

 private:
  const size_t window_;
  const size_t limit_;
  std::deque<uint64_t> recent_;
};

// ------------------------------------------------------------ observed figures

/// Moving mean of a figure that differs between deployments. A sample moves it
/// by a bounded step, so that impossible samples cannot spoil it.
class BoundedMean {
 public:
  struct Init {
    int64_t initial = 0;  ///< Value before the first sample.
    int64_t min = 0;
    int64_t max = INT64_MAX;
    /// A sample above (below) the mean moves it by this part of the
    /// difference.
    int64_t rise_divisor = 16;
    int64_t fall_divisor = 16;

    auto operator<=>(const Init&) const = default;
  };
  explicit BoundedMean(const Init& init)
      : init_(init), value_(std::clamp(init.initial, init.min, init.max)) {}

  void Add(int64_t sample);
  int64_t value() const { return value_; }
  int64_t samples() const { return samples_; }

 private:
  Init init_;
  int64_t value_;
  int64_t samples_ = 0;
};

/// Spaces requests so that their rate stays within a limit (generic cell rate
/// algorithm). Unused time is kept for a short burst. Not thread-safe.
class RequestPacer {
 public:
  /// @param limit requests per 1,000 s; rates below one request in 4 s count as
  ///        that, because only an answer shows that a limit has ended
  /// @param divisor the limit is shared by this many equal users
  void SetLimit(int64_t limit, int64_t divisor, int64_t now_ms);
  /// Delays the first request by a part of the interval between requests, so
  /// that the users of a limit do not start at the same time.
  /// @param fraction 0 to 1
  void Shift(double fraction, int64_t now_ms);
  /// @returns time until the next request may be sent, ms
  int64_t WaitMs(int64_t now_ms);
  /// Counts a request.
  void Take(int64_t now_ms);

 private:
  /// Moves to another time; the clock may have been set back.
  void Advance(int64_t now_ms);

  int64_t interval_us_ = 0;
  int64_t now_us_ = 0;   ///< Latest time seen.
  int64_t next_us_ = 0;  ///< When the requests counted so far have passed.
};

/// Times that placement depends on, as one entry observes them in its own
/// requests. Until a time has been observed, a default applies that suits
/// upstreams of any speed. Not thread-safe.
class ObservedTimes {
 public:
  /// Reports the time in which a connection to an upstream was established, us.
  void OnConnected(const std::string& domain, int64_t us);
  /// Reports the time to the first token of a prompt, us, without the round
  /// trip and a step of decoding.
  /// @param tokens prompt tokens that were probably not cached
  void OnFirstToken(const std::string& service, int64_t us, int64_t tokens);
  /// Reports the time in which an upstream served a request that did not have
  /// to wait for a slot, us.
  void OnServed(const std::string& service, bool engine, int64_t us);

  /// @returns round trip to upstreams of the domain, us; nullopt if unknown
  std::optional<int64_t> RoundTripUs(const std::string& domain) const;
  /// @returns time to process one prompt token, ns
  int64_t PrefillNsPerToken(const std::string& service) const;
  /// @returns time of one request at an upstream of the service, us
  int64_t ServiceUs(const std::string& service, bool engine) const;

  const std::map<std::string, BoundedMean>& round_trips() const {
    return round_trips_;
  }
  const std::map<std::string, BoundedMean>& prefill_ns() const {
    return prefill_ns_;
  }
  const std::map<std::string, BoundedMean>& service_us() const {
    return service_us_;
  }

  /// Defaults of an unobserved service.
  static constexpr int64_t kPrefillNsPerToken = 16'000;
  static constexpr int64_t kCallUs = 60'000;   ///< Plain services.
  static constexpr int64_t kTurnUs = 300'000;  ///< Engines.

 private:
  static constexpr int64_t kMaxRoundTripUs = 1'000'000;

  std::map<std::string, BoundedMean> round_trips_;  ///< By failure domain.
  std::map<std::string, BoundedMean> prefill_ns_;   ///< By service.
  std::map<std::string, BoundedMean> service_us_;   ///< By service.
};

/// Times in which single upstreams serve requests, as one entry observes them.
/// Load: upstreams of one service that differ in speed. Not thread-safe.
class UpstreamTimes {
 public:
  /// Further upstreams are not observed.
  static constexpr size_t kMaxUpstreams = 2'000;

  /// Reports the time in which an upstream served a request that did not have
  /// to wait for other requests of this entry, us.
  void OnServed(const std::string& instance, int64_t us);
  /// @returns time of one request, us; nullopt until enough were observed
  std::optional<int64_t> ServiceUs(const std::string& instance) const;
  /// Forgets the upstreams that do not satisfy the predicate.
  void Retain(const std::function<bool(const std::string&)>& is_known);
  size_t size() const { return service_us_.size(); }

 private:
  std::map<std::string, BoundedMean> service_us_;  ///< By instance.
};

// ---------------------------------------------------------- quotas and
// admission

/// Admits the starts of programs at the rate at which all their requests can be
/// served: each start commits the requests that a program is expected to send.
/// Not thread-safe.
class ProgramPacer {
 public:
  /// @param rate requests per 1,000 s
  /// @param capacity committed requests that are admitted beyond the rate
  void SetRate(int64_t rate, double capacity, int64_t now_ms);
  /// @param requests requests that one program is expected to send
  /// @returns time until a program may start, ms; 0: it may start now
  int64_t WaitMs(double requests, int64_t now_ms);
  /// Counts a start.
  void Take(double requests, int64_t now_ms);
  /// @returns requests that are committed and not drained
  double committed(int64_t now_ms) const;

 private:
  void Advance(int64_t now_ms);

  double rate_per_ms_ = 0;
  double capacity_ = 0;
  double committed_ = 0;
  int64_t now_ms_ = 0;
};

/// Rate and burst that a team may use.
struct TeamQuota {
  int64_t limit = 0;  ///< Requests per 1,000 s; 0: no limit.
  int64_t burst = 0;  ///< Requests.

  auto operator<=>(const TeamQuota&) const = default;
};

/// What an entry reports about a team and asks for; see fb::TeamRequest.
struct QuotaRequest {
  std::string team;
  TeamQuota quota;
  uint64_t version = 0;  ///< Configuration that the quota is from.
  uint64_t used = 0;
  uint64_t used_starts = 0;
  uint32_t held = 0;
  uint32_t wanted = 0;
  uint32_t wanted_starts = 0;

  auto operator<=>(const QuotaRequest&) const = default;
};

struct QuotaGrant {
  std::string team;
  uint32_t grants = 0;
  uint32_t starts = 0;
  int64_t wait_ms = 0;  ///< Time until there are more; 0: as many as wanted.
  int64_t start_wait_ms = 0;

  auto operator<=>(const QuotaGrant&) const = default;
};

/// Account of the quotas of all teams, kept by the leader of the state group.
/// Load: a team whose requests reach many entries at once. Not replicated: a
/// new leader starts each account as if the burst had just been used.
class QuotaLedger {
 public:
  struct Init {
    /// Requests beyond the quota that the operator tolerates in a window.
    int64_t slack = 0;
    int64_t grant_ms = 600;  ///< Validity of grants.
  };
  explicit QuotaLedger(const Init& init);
  ~QuotaLedger();

  /// Takes one request of an entry.
  /// @param entry name and start of the entry
  /// @param number number of the request; a repeated one gets the same grants
  /// @param acked number of the last request whose reply the entry received
  std::vector<QuotaGrant> Handle(const std::string& entry,
                                 uint64_t number,
                                 uint64_t acked,
                                 const std::vector<QuotaRequest>& requests,
                                 int64_t now_ms);
  /// Counts the grants of silent entries as used and forgets idle accounts.
  void Expire(int64_t now_ms);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// The grants that an entry holds. Times are those of ClockI::BootMs(). Not
/// thread-safe.
class QuotaWallet {
 public:
  enum class Result : uint8_t {
    kGranted,  ///< A grant was spent.
    kWait,     ///< The next reply may bring a grant.
    kDenied,   ///< The team has used up its quota.
  };
  struct Decision {
    Result result = Result::kGranted;
    int64_t wait_ms = 0;  ///< With kDenied: time until there may be a grant.

    auto operator<=>(const Decision&) const = default;
  };

  /// Spends a grant for a request that is about to be sent.
  /// @param starts_program the request is the first one of a program
  Decision Spend(const std::string& team, bool starts_program, int64_t now_ms);
  /// Takes back a grant whose request was not sent. If the leader has been told
  /// of its use already, it counts as used.
  void Return(const std::string& team, bool starts_program, int64_t now_ms);
  /// @param waiting requests of each team that wait, and of these, starts
  /// @returns the part of the next lease request about teams
  std::vector<QuotaRequest> Collect(
      const std::map<std::string, std::pair<uint32_t, uint32_t>>& waiting,
      const std::map<std::string, TeamQuota>& quotas,
      uint64_t version,
      int64_t now_ms);
  /// Takes over the reply to the request that Collect() returned last.
  /// @param asked_ms when the request was made
  void OnGrants(const std::vector<QuotaGrant>& grants,
                int64_t grant_ms,
                int64_t asked_ms);
  /// @returns true if a team was used recently, so that the entry should ask
  bool active(int64_t now_ms) const;

 private:
  struct Account {
    uint64_t used = 0;
    uint64_t used_starts = 0;
    uint64_t reported_used = 0;  ///< `used` of the last lease request.
    uint32_t grants = 0;
    uint32_t starts = 0;  ///< Of these grants.
    int64_t expires_ms = 0;
    int64_t denied_until_ms = 0;
    int64_t start_denied_until_ms = 0;
    int64_t asked_ms = 0;  ///< Time of the last request, granted or not.
    int64_t used_ms = 0;   ///< Time of the last request that was granted.
    bool settled = true;  ///< The leader knows of all use and no grant is left.
    /// Time of recent requests, and whether they started a program.
    std::deque<std::pair<int64_t, bool>> recent;
  };
  std::map<std::string, Account> accounts_;
};

/// Input of the decision whether a turn gets a share of scarce engines.
struct TurnAdmissionInput {
  bool starts_program = false;
  int32_t priority = 0;
  int64_t program_wait_ms = 0;  ///< Until the program's deadline; 0: unknown.
  int64_t open_turns = 0;       ///< Turns in progress at the offered upstreams.
  int64_t slots = 0;            ///< Of the offered upstreams.
  int64_t turn_us = 0;          ///< Mean time of a turn that does not wait.
  double turns_per_program = 1;
  int64_t team_open_turns = 0;  ///< Of the team, at all upstreams.
  int64_t active_teams = 0;     ///< Teams with open turns, this one included.
  int64_t total_open_turns = 0;
  /// Open turns that a team gets if the slots are shared by max-min fairness.
  double team_share = 0;
  /// Time that the requests of started programs use up the limits that the
  /// offered upstreams name; 0: not all of them name one.
  int64_t limit_wait_ms = 0;
  uint64_t random = 0;  ///< Spreads the times to come back.

  auto operator<=>(const TurnAdmissionInput&) const = default;
};

struct TurnAdmission {
  bool admitted = true;
  int64_t wait_ms = 0;         ///< Expected wait of the turn.
  int64_t retry_after_ms = 0;  ///< If refused.

  auto operator<=>(const TurnAdmission&) const = default;
};

/// Decides whether a turn may start while engines are short. Load: more
/// programs than the engines can finish in time. Turns of running programs are
/// admitted.
TurnAdmission AdmitTurn(const TurnAdmissionInput& input);

// -------------------------------------------------------- failure domains'
// shares

/// Demand and capacity of one failure domain for one service.
struct DomainLoad {
  std::string domain;
  double busy = 0;  ///< Slots that the demand of its callers keeps busy.
  double capacity =
      0;  ///< Slots of its ready upstreams, scaled by their speed.

  auto operator<=>(const DomainLoad&) const = default;
};

struct DomainSharesInput {
  std::string own_domain;
  int64_t service_us = 0;  ///< Time of one request.
  std::vector<DomainLoad> domains;
  /// Extra round trip between two domains, us, by "from" and "to".
  std::map<std::pair<std::string, std::string>, int64_t> extra_us;
  /// Result of the previous step, in thousandths; empty: none.
  std::map<std::string, int32_t> previous;

  auto operator<=>(const DomainSharesInput&) const = default;
};

/// Decides which share of the calls of a failure domain leaves it. Load: demand
/// that exceeds the domain's own upstreams while others are free.
/// @returns thousandths by domain, which add up to 1,000; empty without
/// capacity
std::map<std::string, int32_t> PlanDomainShares(const DomainSharesInput& input);

}  // namespace ring
