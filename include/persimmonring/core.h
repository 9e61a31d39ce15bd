#pragma once

/// Core values shared by all modules: reasons, outcomes, ids, digests, clocks.
/// All types here are immutable values or interfaces; they are safe to copy
/// between threads.

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

namespace ring {

/// Why a request was refused, failed or retried. Each value is one counter
/// label and one row in docs/reasons.md.
enum class Reason : uint8_t {
  kNone,
  // Bad input.
  kBadRequest,
  kBodyTooLarge,
  kUnknownPath,
  kUnknownProgram,
  kUnknownModel,
  kUnknownService,
  kSequenceReuse,
  kSequenceGap,
  kHistoryMismatch,
  kHistoryTooLong,
  kTurnLimit,
  kTokenLimit,
  kBudgetExceeded,
  kProgramEnded,
  kProgramExpired,
  kAnswerExpired,
  kNotAllowed,
  // Admission and capacity.
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kOverload,
  kConnectionLimit,
  kDraining,
  kNoUpstream,
  kQuarantined,
  kRetryBudgetSpent,
  // State and ownership.
  kNoQuorum,
  kNotLeader,
  kLostOwnership,
  kOwnerUnreachable,
  kStaleEpoch,
  kStaleNumber,
  kConflict,
  kStaleFence,
  kVersionMismatch,
  kStorageFailed,
  kCorruptData,
  // Upstreams.
  kUpstreamRefused,
  kUpstreamReset,
  kUpstreamTimeout,
  kUpstreamError,
  kUpstreamTruncated,
  kUpstreamLeaving,
  kToolTimeout,
  kOutcomeUnknown,
  kCallerGone,
  kCancelled,
  kInternal,
  kCount
};

/// @returns the stable snake_case name used in answers, metrics and logs.
const char* ToString(Reason reason);

/// @returns the reason with this name, or nullopt.
std::optional<Reason> ReasonFromString(std::string_view name);

/// What is known about the execution of a request whose answer is an error.
enum class RunState : uint8_t {
  kNotRun,   ///< The request did not run and never will under this attempt.
  kRan,      ///< The request ran; the answer could not be given.
  kUnknown,  ///< The request may have run.
};

/// @returns "not_run", "ran" or "unknown".
const char* ToString(RunState state);

/// An error as a value.
struct Refusal {
  Reason reason = Reason::kNone;
  RunState run_state = RunState::kNotRun;
  std::string message;  ///< Text for people; contains no caller data.
  int64_t retry_after_ms =
      0;  ///< When to come back; 0 if repeating is useless.

  auto operator<=>(const Refusal&) const = default;
};

/// A value, or the last reason why there is none.
template <typename T>
class Outcome {
 public:
  // Implicit on purpose, so that functions can return a value or a refusal.
  Outcome(T value) : value_(std::move(value)) {}              // NOLINT
  Outcome(Refusal refusal) : refusal_(std::move(refusal)) {}  // NOLINT

  /// @returns true if there is a value.
  bool ok() const { return value_.has_value(); }
  explicit operator bool() const { return ok(); }

  const T& operator*() const { return *value_; }
  T& operator*() { return *value_; }
  const T* operator->() const { return &*value_; }
  T* operator->() { return &*value_; }

  const std::optional<T>& value() const { return value_; }
  /// @returns the refusal; reason kNone if there is a value.
  const Refusal& refusal() const { return refusal_; }

 private:
  std::optional<T> value_;
  Refusal refusal_;
};

/// Result of an operation without a value.
struct Done {
  auto operator<=>(const Done&) const = default;
};
using Status = Outcome<Done>;

/// Stops the process because an invariant of the code is broken.
/// @param text the condition that failed
[[noreturn]] void FailInvariant(const char* file, int line, const char* text);

#define RING_CHECK(condition)                                \
  do {                                                       \
    if (!(condition)) {                                      \
      ::ring::FailInvariant(__FILE__, __LINE__, #condition); \
    }                                                        \
  } while (false)

/// Identifies a program: "<home domain>.<32 hex digits>". It is the bearer
/// token of its caller.
class ProgramId {
 public:
  ProgramId() = default;
  /// @returns the id, or nullopt if the text is malformed. A domain name has
  /// 1 to 64 characters out of [a-z0-9-].
  static std::optional<ProgramId> Parse(std::string_view text);
  /// @returns a new id with 128 random bits from the system's generator.
  static ProgramId Generate(std::string_view home_domain);

  const std::string& text() const { return text_; }
  std::string_view home_domain() const;
  /// @returns the first 8 hex digits, which logs may show; the rest is secret.
  std::string_view log_prefix() const;

  auto operator<=>(const ProgramId&) const = default;

 private:
  std::string text_;
};
bool isValid(const ProgramId& id);

/// One life of an upstream: a restarted upstream has a higher incarnation.
struct UpstreamId {
  std::string name;
  uint64_t incarnation = 0;

  auto operator<=>(const UpstreamId&) const = default;  // NOLINT: clang-tidy 14
};
bool isValid(const UpstreamId& id);

/// Address of a TCP endpoint by IP number.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  /// @returns the endpoint for "ip:port" (IPv4), or nullopt.
  static std::optional<Endpoint> Parse(std::string_view text);
  std::string ToString() const;

  auto operator<=>(const Endpoint&) const = default;
};
bool isValid(const Endpoint& endpoint);

/// SHA-256 of a text, as 64 lower-case hex digits. Used where a digest decides
/// identity (calls, release notes).
std::string Sha256Hex(std::string_view text);

/// xxHash3 64 of a byte range. Used for checksums, not for identity.
uint64_t Checksum(std::string_view bytes);

/// Checksum of bytes that become known in parts; equal to that of the whole.
class RunningChecksum {
 public:
  RunningChecksum();
  ~RunningChecksum();
  RunningChecksum(const RunningChecksum&) = delete;
  RunningChecksum& operator=(const RunningChecksum&) = delete;

  void Add(std::string_view bytes);
  uint64_t value() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

/// @returns n random bytes from the system's generator as hex digits.
std::string RandomHex(size_t bytes);

/// The ring's own count of prompt tokens: ceil(bytes / 4). Budgets are defined
/// in this unit because entries have no tokenizer.
constexpr int64_t CountTokens(size_t bytes) {
  return static_cast<int64_t>((bytes + 3) / 4);
}

/// Time source. Implementations are thread-safe.
class ClockI {
 public:
  virtual ~ClockI() = default;
  /// Monotonic milliseconds since an arbitrary start.
  virtual int64_t NowMs() const = 0;
  /// Milliseconds since the Unix epoch; may jump.
  virtual int64_t WallMs() const = 0;
};

/// @returns the system's clock.
const ClockI& SystemClock();

/// Seeded generator; the same seed gives the same sequence.
using Rng = std::mt19937_64;

/// @param rng generator to draw from
/// @returns a uniform value in [low, high].
int64_t UniformMs(Rng& rng, int64_t low, int64_t high);

}  // namespace ring
