#pragma once

/// Core types shared by all modules: error reasons, results, ids, digests and
/// clocks. Value types have no shared state and can be copied between threads.

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

namespace ring {

/// Why a request was refused, failed or retried. Each value is a metric label
/// and has a row in docs/reasons.md.
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
  kUnknownKey,
  // Admission and capacity.
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kOverload,
  kConnectionLimit,
  kDraining,
  kNoUpstream,
  kQuarantined,
  kQuotaExceeded,
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
  kUpstreamLimited,
  kToolTimeout,
  kOutcomeUnknown,
  kCallerGone,
  kCancelled,
  kInternal,
  kCount
};

/// @returns the stable snake_case name used in answers, metrics and logs
const char* ToString(Reason reason);

/// @returns the reason with this name, or nullopt
std::optional<Reason> ReasonFromString(std::string_view name);

/// Whether a request that ended with an error was executed.
enum class RunState : uint8_t {
  kNotRun,   ///< Not executed, and this attempt will not execute it later.
  kRan,      ///< Executed, but its answer could not be delivered.
  kUnknown,  ///< May have been executed.
};

/// @returns "not_run", "ran" or "unknown"
const char* ToString(RunState state);

/// Error value returned by functions that can fail.
struct Refusal {
  Reason reason = Reason::kNone;
  RunState run_state = RunState::kNotRun;
  std::string message;  ///< Human-readable; contains no caller data.
  /// Delay before a retry, ms; 0 if a retry cannot succeed.
  int64_t retry_after_ms = 0;

  auto operator<=>(const Refusal&) const = default;
};

/// Holds either a value or the error that prevented it.
template <typename T>
class Outcome {
 public:
  // Implicit, so that functions can return either a value or a refusal.
  Outcome(T value) : value_(std::move(value)) {}              // NOLINT
  Outcome(Refusal refusal) : refusal_(std::move(refusal)) {}  // NOLINT

  /// @returns true if there is a value
  bool ok() const { return value_.has_value(); }
  explicit operator bool() const { return ok(); }

  const T& operator*() const { return *value_; }
  T& operator*() { return *value_; }
  const T* operator->() const { return &*value_; }
  T* operator->() { return &*value_; }

  const std::optional<T>& value() const { return value_; }
  /// @returns the refusal; its reason is kNone if there is a value
  const Refusal& refusal() const { return refusal_; }

 private:
  std::optional<T> value_;
  Refusal refusal_;
};

/// Success value of an operation that returns nothing.
struct Done {
  auto operator<=>(const Done&) const = default;
};
using Status = Outcome<Done>;

/// Logs the failed condition to standard error and aborts the process.
/// @param file source file of the check
/// @param line line of the check
/// @param text source text of the condition
[[noreturn]] void FailInvariant(const char* file, int line, const char* text);

/// Aborts the process if the condition is false, in all build types.
#define RING_CHECK(condition)                                \
  do {                                                       \
    if (!(condition)) {                                      \
      ::ring::FailInvariant(__FILE__, __LINE__, #condition); \
    }                                                        \
  } while (false)

/// Identifies a program: "<home domain>.<32 hex digits>". The caller presents
/// it as its bearer token, so it must be kept secret.
class ProgramId {
 public:
  ProgramId() = default;
  /// A domain name has 1 to 64 characters from [a-z0-9-].
  /// @returns the id, or nullopt if the text is malformed
  static std::optional<ProgramId> Parse(std::string_view text);
  /// @returns a new id with 128 bits from the OpenSSL random generator
  static ProgramId Generate(std::string_view home_domain);

  const std::string& text() const { return text_; }
  std::string_view home_domain() const;
  /// @returns the first 8 hex digits; logs must not contain more of the id
  std::string_view log_prefix() const;

  auto operator<=>(const ProgramId&) const = default;

 private:
  std::string text_;
};
bool IsValid(const ProgramId& id);

/// Identifies one incarnation (process start) of an upstream. Each restart has
/// a higher incarnation number.
struct UpstreamId {
  std::string name;
  uint64_t incarnation = 0;

  auto operator<=>(const UpstreamId&) const = default;  // NOLINT: clang-tidy 14
};
bool IsValid(const UpstreamId& id);

/// IPv4 address and port of a TCP endpoint.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  /// @returns the endpoint for "ip:port" (IPv4), or nullopt if it is malformed
  static std::optional<Endpoint> Parse(std::string_view text);
  std::string ToString() const;

  auto operator<=>(const Endpoint&) const = default;
};
bool IsValid(const Endpoint& endpoint);

/// Limit on the nesting of JSON documents of other processes. Parsing takes
/// memory for each level, copying and serializing also stack.
constexpr size_t kMaxJsonDepth = 64;

/// Checks a document before it is parsed; checks nothing but the nesting.
/// @returns true if arrays and objects are nested deeper than kMaxJsonDepth
bool IsNestedTooDeep(std::string_view json);

/// @returns the SHA-256 of a text as 64 lower-case hex digits. Used where
///          equal digests must mean equal contents (calls, release notes).
std::string Sha256Hex(std::string_view text);

/// @returns the 64-bit xxHash3 of a byte range. Detects corruption only; not
///          collision-resistant, so not suited as an identity.
uint64_t Checksum(std::string_view bytes);

/// Computes Checksum() incrementally, for data that arrives in parts.
class RunningChecksum {
 public:
  RunningChecksum();
  ~RunningChecksum();
  RunningChecksum(const RunningChecksum&) = delete;
  RunningChecksum& operator=(const RunningChecksum&) = delete;

  void Add(std::string_view bytes);
  /// @returns the checksum of all bytes added so far
  uint64_t value() const;

 private:
  class State;
  std::unique_ptr<State> state_;
};

/// @param bytes number of random bytes
/// @returns that many bytes from the OpenSSL random generator, as hex digits
std::string RandomHex(size_t bytes);

/// Estimates the tokens of a prompt as ceil(bytes / 4). Budgets are counted in
/// this unit, because entries have no tokenizer.
constexpr int64_t CountTokens(size_t bytes) {
  return static_cast<int64_t>((bytes + 3) / 4);
}

/// Time source; replaced by a fake in tests. Implementations are thread-safe.
class ClockI {
 public:
  virtual ~ClockI() = default;
  /// @returns monotonic milliseconds since an arbitrary start
  virtual int64_t NowMs() const = 0;
  /// @returns milliseconds since the Unix epoch; jumps when the clock is set
  virtual int64_t WallMs() const = 0;
  /// @returns milliseconds since an arbitrary start, including the time in
  ///          which the VM was suspended; the default is NowMs()
  virtual int64_t BootMs() const { return NowMs(); }
};

/// @returns the clock of the operating system
const ClockI& SystemClock();

/// Random number generator; the same seed gives the same sequence.
using Rng = std::mt19937_64;

/// @returns a uniformly distributed integer in [low, high]
int64_t UniformInt(Rng& rng, int64_t low, int64_t high);

}  // namespace ring
