#pragma once

/// Process runtime: bounded rings between threads, the supervisor tree, the
/// timer service, events (logs), counters (metrics) and checked settings.

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

// ---------------------------------------------------------------- bounded ring

/// Queue with a fixed capacity between threads. All methods are thread-safe.
template <typename T>
class BoundedRing {
 public:
  /// @param capacity most items held, > 0
  explicit BoundedRing(size_t capacity) : capacity_(capacity) {
    RING_CHECK(capacity > 0);
  }
  BoundedRing(const BoundedRing&) = delete;
  BoundedRing& operator=(const BoundedRing&) = delete;

  /// Never waits.
  /// @returns false if the ring is full or closed; the item is then untouched.
  bool TryPush(T&& item) {
    {
      std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    ready_.notify_one();
    return true;
  }

  /// @param timeout_ms longest wait, milliseconds
  /// @returns the oldest item, or nullopt on timeout or when closed and empty
  std::optional<T> Pop(int64_t timeout_ms) {
    std::unique_lock lock(mutex_);
    WaitForItem(lock, timeout_ms);
    if (items_.empty()) {
      return std::nullopt;
    }
    T item = std::move(items_.front());
    items_.pop_front();
    return item;
  }

  /// Takes all items at once, so that a consumer can batch its work.
  /// @param timeout_ms longest wait for the first item, milliseconds
  std::deque<T> PopAll(int64_t timeout_ms) {
    std::unique_lock lock(mutex_);
    WaitForItem(lock, timeout_ms);
    return std::exchange(items_, {});
  }

  /// Refuses further items and wakes all consumers; held items can be taken.
  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    ready_.notify_all();
  }

  bool closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

  size_t size() const {
    std::lock_guard lock(mutex_);
    return items_.size();
  }

 private:
  void WaitForItem(std::unique_lock<std::mutex>& lock, int64_t timeout_ms) {
    ready_.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                    [this] { return closed_ || !items_.empty(); });
  }

  const size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::deque<T> items_;
  bool closed_ = false;
};

// ------------------------------------------------------------------ supervisor

/// Tells a duty to end. Copies share the same state; thread-safe.
class StopToken {
 public:
  StopToken();
  bool stopped() const;
  /// Waits until stop is requested.
  /// @param timeout_ms longest wait, milliseconds
  /// @returns true if stop was requested
  bool WaitFor(int64_t timeout_ms) const;
  void RequestStop() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Runs duties, one thread each, and restarts a duty that fails. Supervisors
/// form a tree by AddChild. Stop order is the reverse of the start order.
class Supervisor {
 public:
  /// A duty returns Done when its token is stopped; a refusal is a failure,
  /// after which it is started again with a growing delay.
  using Duty = std::function<Status(const StopToken&)>;

  struct Init {
    std::string name;
    int64_t first_restart_delay_ms = 50;
    int64_t max_restart_delay_ms = 5'000;
  };

  explicit Supervisor(Init init);
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  /// @param name thread name, at most 15 characters are shown by the system
  /// @param wake called after the token is stopped, to end a blocking wait;
  ///        may be empty
  void AddDuty(std::string name, Duty duty, std::function<void()> wake = {});
  /// @param child started after and stopped before the duties added so far
  void AddChild(std::unique_ptr<Supervisor> child);
  void Start();
  /// Stops and joins children and duties. Idempotent.
  void Stop();
  /// @returns restarts of duties of this supervisor and its children
  uint64_t restarts() const;

 private:
  struct Node;
  void RunDuty(Node& node);

  const Init init_;
  StopToken token_;
  std::atomic<uint64_t> restarts_{0};
  std::vector<std::unique_ptr<Node>> nodes_;
  bool started_ = false;
};

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and all threads
/// started later, and ignores SIGPIPE. Call first in main.
void BlockStopSignals();
/// @param timeout_ms longest wait, milliseconds
/// @returns true if SIGTERM or SIGINT arrived
bool WaitStopSignal(int64_t timeout_ms);

// --------------------------------------------------------------- timer service

/// Handle of a timer subscription.
struct TimerHandle {
  uint64_t value = 0;
  auto operator<=>(const TimerHandle&) const = default;
};
inline bool isValid(TimerHandle handle) {
  return handle.value != 0;
}

/// Calls subscribers at their times. Callbacks run on the timer thread and must
/// be short: push into a ring. Thread-safe.
class TimerServiceI {
 public:
  virtual ~TimerServiceI() = default;
  /// @param period_ms time between calls, milliseconds, > 0
  virtual TimerHandle Every(int64_t period_ms,
                            std::function<void()> callback) = 0;
  /// @param delay_ms time until the single call, milliseconds
  virtual TimerHandle After(int64_t delay_ms,
                            std::function<void()> callback) = 0;
  virtual void Cancel(TimerHandle handle) = 0;
};

/// Timer service on the given clock. Run() is its duty; Advance() drives it by
/// hand in tests.
class TimerService final : public TimerServiceI {
 public:
  explicit TimerService(const ClockI& clock);
  TimerHandle Every(int64_t period_ms, std::function<void()> callback) override;
  TimerHandle After(int64_t delay_ms, std::function<void()> callback) override;
  void Cancel(TimerHandle handle) override;

  /// Calls everything that is due.
  /// @returns milliseconds until the next call, at most 100
  int64_t Advance();
  /// Duty: calls Advance until stopped.
  Status Run(const StopToken& stop);

 private:
  struct Entry {
    int64_t due_ms;
    int64_t period_ms;  // 0: single call
    std::function<void()> callback;
  };
  TimerHandle Add(int64_t delay_ms,
                  int64_t period_ms,
                  std::function<void()> callback);

  const ClockI& clock_;
  std::mutex mutex_;
  std::map<uint64_t, Entry> entries_;
  uint64_t next_handle_ = 1;
};

// ------------------------------------------------------------- events
// (logging)

enum class LogLevel : uint8_t { kDebug, kInfo, kWarn, kError };

struct LogInit {
  std::string process;  ///< Written as proc= on every line.
  std::string node;     ///< Written as node= on every line.
  LogLevel level = LogLevel::kInfo;
  std::string file;  ///< Empty: standard error.
  /// Writes to standard output instead, by a thread of its own. When its queue
  /// is full, the oldest lines are lost, so that no caller ever waits.
  bool standard_output = false;
  /// Lines below kWarn beyond this rate are dropped and counted; 0: no bound.
  int64_t max_lines_per_s = 0;
};
void InitLog(const LogInit& init);
/// Writes what waits and ends the writing thread. Call last in main.
void CloseLog();

/// One log line of key=value pairs, written when the object is destroyed:
///   Event(LogLevel::kInfo, "note_accepted").Add("number", number);
/// Values are quoted when needed and control bytes are escaped. Never add
/// caller content or whole program ids.
class Event {
 public:
  Event(LogLevel level, std::string_view name);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  Event& Add(std::string_view key, std::string_view value);
  Event& Add(std::string_view key, const char* value);
  Event& Add(std::string_view key, const std::string& value);
  Event& Add(std::string_view key, int64_t value);
  Event& Add(std::string_view key, uint64_t value);
  Event& Add(std::string_view key, int value);
  Event& Add(std::string_view key, bool value);
  Event& Add(std::string_view key, double value);
  Event& Add(std::string_view key, Reason value);
  /// @returns the line so far, for tests
  const std::string& line() const { return line_; }

 private:
  const LogLevel level_;
  std::string line_;
};

// -------------------------------------------------------------------- counters

/// Label set of a time series.
using Labels = std::map<std::string, std::string>;

/// Process-wide metrics by prometheus-cpp. Thread-safe. Names start with
/// "ring_" and end with their unit.
namespace metrics {
/// Adds to a counter.
void Count(const std::string& name, const Labels& labels = {}, double by = 1);
/// Counts a refusal: ring_refusals_total{reason}.
void CountRefusal(Reason reason);
/// Counts a retry: ring_retries_total{reason}.
void CountRetry(Reason reason);
void SetGauge(const std::string& name, const Labels& labels, double value);
/// Records a duration in the histogram `name`, milliseconds.
void ObserveMs(const std::string& name, const Labels& labels, double value_ms);
/// @returns the current value of a counter or gauge, 0 if it does not exist
double Value(const std::string& name, const Labels& labels = {});
/// @returns all series in the Prometheus text format
std::string Text();
/// Serves /metrics.
/// @returns storage_failed refusal if the port is in use
Status Serve(const Endpoint& endpoint);
}  // namespace metrics

/// @returns processor time used by this process, milliseconds (getrusage)
int64_t ProcessCpuMs();
/// @returns resident memory of this process, kilobytes (/proc/self/statm)
int64_t ProcessRssKb();

// -------------------------------------------------------------------- settings

enum class SettingType : uint8_t {
  kInt,
  kBool,
  kString,
  kEndpoint,  ///< "ip:port"
  kChoice,    ///< One of `choices`.
  kStringList,
  kObjectList,  ///< List of objects described by `items`.
};

/// One row of a settings table. Reading, checking and the reference page come
/// from the same row.
struct SettingSpec {
  std::string key;  ///< Dotted path, for example "limits.max_body_bytes".
  SettingType type = SettingType::kInt;
  std::string unit;  ///< "ms", "bytes", "" ...
  bool required = false;
  std::string default_value;  ///< As text; empty string or list if empty.
  int64_t min = 0;            ///< For kInt; lengths of strings and lists too.
  int64_t max = 0;            ///< 0: no upper bound.
  std::vector<std::string> choices = {};
  std::vector<SettingSpec> items = {};
  std::string doc;
};
using SettingTable = std::vector<SettingSpec>;

/// A problem in a settings file.
struct SettingError {
  std::string file;
  int line = 0;
  std::string key;
  std::string message;

  std::string ToString() const;  ///< "file:line: key: message"
  auto operator<=>(const SettingError&) const = default;
};

/// Checked, immutable settings. Getters stop the process on a key that is not
/// in the table, which is an error of the code.
class Settings {
 public:
  int64_t Int(std::string_view key) const;
  bool Bool(std::string_view key) const;
  const std::string& String(std::string_view key) const;
  Endpoint Address(std::string_view key) const;
  const std::vector<std::string>& StringList(std::string_view key) const;
  const std::vector<Settings>& ObjectList(std::string_view key) const;

 private:
  friend class SettingsReader;
  struct Value {
    std::string text;
    std::vector<std::string> list = {};
    std::vector<Settings> objects = {};
  };
  const Value& Find(std::string_view key) const;
  std::map<std::string, Value, std::less<>> values_;
};

struct SettingsResult {
  std::optional<Settings> settings;  ///< Empty if there are errors.
  std::vector<SettingError> errors;  ///< All of them, in file order.
};

/// Checks a JSON text with comments against a table. Unknown, missing,
/// duplicate, mistyped and out-of-range keys are errors.
/// @param file name used in errors
SettingsResult ParseSettings(const SettingTable& table,
                             const std::string& file,
                             const std::string& text);
/// Collects errors of checks that span several settings.
class SettingErrorList {
 public:
  /// @param text contents of the file, for line numbers
  SettingErrorList(std::string file, const std::string& text);
  /// @param path key, with list positions as "[i]"
  void Add(const std::string& path, const std::string& message);
  std::vector<SettingError> Take() { return std::move(errors_); }

 private:
  const std::string file_;
  std::map<std::string, int> lines_;
  std::vector<SettingError> errors_;
};

/// Further checks of settings that have passed their table.
using SettingsCheck = std::function<void(const Settings&, SettingErrorList&)>;

/// Reads and checks a file.
SettingsResult LoadSettings(const SettingTable& table,
                            const std::string& file,
                            const SettingsCheck& check = {});

/// Settings of the log that all processes have: "log.level" and "log.file".
SettingTable LogSettingRows();
/// Reads them, and "node".
LogInit LogInitOf(const Settings& settings, const std::string& process);

/// @returns the table as Markdown rows for docs/settings.md
std::string DescribeSettings(const SettingTable& table);

/// Exit codes of all binaries.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,      ///< The operation failed or was refused.
  kExitUsage = 2,        ///< Bad command line.
  kExitBadSettings = 3,  ///< Settings file missing or invalid.
  kExitPortInUse = 4,    ///< A listener could not be opened.
  kExitBadData = 5,  ///< Data folder missing, foreign, read-only or corrupt.
  kExitUnreachable = 6,  ///< No keeper or entry answered.
};

}  // namespace ring
