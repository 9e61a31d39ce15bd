#pragma once

/// Process runtime: bounded queues between threads, supervisors, the timer
/// service, structured logging, metrics and validated settings.

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

// --------------------------------------------------------------- bounded queue

/// FIFO queue with a fixed capacity for passing items between threads.
/// Thread-safe.
template <typename T>
class BoundedQueue {
 public:
  /// @param capacity maximum number of items, > 0
  explicit BoundedQueue(size_t capacity) : capacity_(capacity) {
    RING_CHECK(capacity > 0);
  }
  BoundedQueue(const BoundedQueue&) = delete;
  BoundedQueue& operator=(const BoundedQueue&) = delete;

  /// Appends an item. Never blocks.
  /// @returns false if the queue is full or closed; the item is then not moved
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

  /// @param timeout_ms longest wait, ms
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

  /// Removes all items at once, so that a consumer can process them as a batch.
  /// @param timeout_ms longest wait for the first item, ms
  /// @returns the items, oldest first; empty on timeout
  std::deque<T> PopAll(int64_t timeout_ms) {
    std::unique_lock lock(mutex_);
    WaitForItem(lock, timeout_ms);
    return std::exchange(items_, {});
  }

  /// Refuses further items and wakes all consumers. Items in the queue can
  /// still be removed.
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

/// Signals a worker to stop. Copies share the same state. Thread-safe.
class StopToken {
 public:
  StopToken();
  bool stopped() const;
  /// Waits until stop is requested.
  /// @param timeout_ms longest wait, ms
  /// @returns true if stop was requested
  bool WaitFor(int64_t timeout_ms) const;
  void RequestStop() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

/// Runs each worker on its own thread and restarts workers that fail.
/// Supervisors form a tree through AddChild(). Children stop before the workers
/// of their parent, each group in reverse order of their addition.
class Supervisor {
 public:
  /// Function of a worker, run until the token is stopped. Returning Done ends
  /// the worker. A refusal is a failure: the worker is restarted after a delay
  /// that doubles with each failure.
  using Worker = std::function<Status(const StopToken&)>;

  struct Init {
    std::string name;
    int64_t first_restart_delay_ms = 50;
    int64_t max_restart_delay_ms = 5'000;
  };

  explicit Supervisor(Init init);
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  /// Must be called before Start().
  /// @param name also the thread name; the system shows only its first 15
  ///        characters
  /// @param wake called after the token was stopped, to interrupt a blocking
  ///        wait of the worker; may be empty
  void AddWorker(std::string name,
                 Worker worker,
                 std::function<void()> wake = {});
  /// Must be called before Start().
  /// @param child started after the workers added so far and stopped before
  ///        them
  void AddChild(std::unique_ptr<Supervisor> child);
  void Start();
  /// Stops and joins children and workers. Idempotent.
  void Stop();
  /// @returns the number of worker restarts, including those of children
  uint64_t restarts() const;

 private:
  struct Node;
  void RunWorker(Node& node);

  const Init init_;
  StopToken token_;
  std::atomic<uint64_t> restarts_{0};
  std::vector<std::unique_ptr<Node>> nodes_;
  bool started_ = false;
};

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and all threads
/// started later, and ignores SIGPIPE. Call at the start of main().
void BlockStopSignals();
/// Waits for SIGTERM or SIGINT.
/// @param timeout_ms longest wait, ms
/// @returns true if one of them arrived
bool WaitStopSignal(int64_t timeout_ms);

// --------------------------------------------------------------- timer service

/// Identifies a timer.
struct TimerHandle {
  uint64_t value = 0;
  auto operator<=>(const TimerHandle&) const = default;
};
inline bool IsValid(TimerHandle handle) {
  return handle.value != 0;
}

/// Runs callbacks once or periodically. Callbacks run on the thread of the
/// implementation and must not block. TimerService is thread-safe; EventLoop
/// may be used on its own thread only.
class TimerServiceI {
 public:
  virtual ~TimerServiceI() = default;
  /// Starts a periodic timer.
  /// @param period_ms time between calls, ms, > 0
  virtual TimerHandle Every(int64_t period_ms,
                            std::function<void()> callback) = 0;
  /// Starts a one-shot timer.
  /// @param delay_ms time until the call, ms
  virtual TimerHandle After(int64_t delay_ms,
                            std::function<void()> callback) = 0;
  virtual void Cancel(TimerHandle handle) = 0;
};

/// Timer service run by a worker thread. Tests call Advance() instead of Run().
class TimerService final : public TimerServiceI {
 public:
  explicit TimerService(const ClockI& clock);
  TimerHandle Every(int64_t period_ms, std::function<void()> callback) override;
  TimerHandle After(int64_t delay_ms, std::function<void()> callback) override;
  void Cancel(TimerHandle handle) override;

  /// Runs the callbacks of all expired timers.
  /// @returns ms until the next call, at most 100
  int64_t Advance();
  /// Supervised worker: calls Advance() until stopped.
  Status Run(const StopToken& stop);

 private:
  struct Timer {
    int64_t due_ms;
    int64_t period_ms;  // 0: one-shot timer.
    std::function<void()> callback;
  };
  TimerHandle Add(int64_t delay_ms,
                  int64_t period_ms,
                  std::function<void()> callback);

  const ClockI& clock_;
  std::mutex mutex_;
  std::map<uint64_t, Timer> timers_;
  uint64_t next_handle_ = 1;
};

// --------------------------------------------------------------------- logging

enum class LogLevel : uint8_t { kDebug, kInfo, kWarn, kError };

struct LogInit {
  std::string process;  ///< Written as proc= on every line.
  std::string node;     ///< Written as node= on every line.
  LogLevel level = LogLevel::kInfo;
  std::string file;  ///< Empty: standard error.
  /// Writes to standard output, unless `file` is set, on a separate thread. If
  /// the queue of that thread is full, the oldest lines are discarded, so that
  /// logging never blocks.
  bool standard_output = false;
  /// Drops and counts lines below kWarn beyond this rate; 0: no limit.
  int64_t max_lines_per_s = 0;
};
/// Configures the log of the process. Call before other threads start.
void InitLog(const LogInit& init);
/// Writes all queued lines and stops the logging thread. Call at the end of
/// main().
void CloseLog();

/// One log line of key=value pairs, written when the object is destroyed:
///   Event(LogLevel::kInfo, "note_accepted").Add("number", number);
/// Values are quoted if necessary and control characters are escaped. Never add
/// contents of a request or complete program ids.
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

// --------------------------------------------------------------------- metrics

/// Label set of a time series.
using Labels = std::map<std::string, std::string>;

/// Process-wide Prometheus metrics. Thread-safe. Names start with "ring_";
/// counters end with "_total", other metrics with their unit.
namespace metrics {
/// Increments a counter.
void Count(const std::string& name, const Labels& labels = {}, double by = 1);
/// Counts a refusal: ring_refusals_total{reason}.
void CountRefusal(Reason reason);
/// Counts a retry: ring_retries_total{reason}.
void CountRetry(Reason reason);
/// Sets a gauge.
void SetGauge(const std::string& name, const Labels& labels, double value);
/// Records a duration in the histogram `name`, ms.
void ObserveMs(const std::string& name, const Labels& labels, double value_ms);
/// @returns the current value of a counter or gauge, 0 if it does not exist
double Value(const std::string& name, const Labels& labels = {});
/// @returns all series in the Prometheus text format
std::string Text();
/// Serves the metrics at /metrics until the process exits.
/// @returns storage_failed if the address cannot be bound
Status Serve(const Endpoint& endpoint);
}  // namespace metrics

/// @returns the CPU time used by this process, ms (getrusage)
int64_t ProcessCpuMs();
/// @returns the resident memory of this process, KiB (/proc/self/statm)
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

/// Describes a setting. Parsing, validation and the reference page all use this
/// description.
struct SettingSpec {
  std::string key;  ///< Dotted path, for example "limits.max_body_bytes".
  SettingType type = SettingType::kInt;
  std::string unit;  ///< For example "ms" or "bytes"; empty if none.
  bool required = false;
  std::string default_value;  ///< As text; empty: empty string or list, or 0.
  /// Of the value of kInt, or of the length of a string or list.
  int64_t min = 0;
  int64_t max = 0;                        ///< 0: no upper limit.
  std::vector<std::string> choices = {};  ///< For kChoice.
  std::vector<SettingSpec> items = {};    ///< For kObjectList.
  std::string doc;                        ///< Description, Markdown.
};
using SettingTable = std::vector<SettingSpec>;

/// An error in a settings file.
struct SettingError {
  std::string file;
  int line = 0;
  std::string key;
  std::string message;

  std::string ToString() const;  ///< "file:line: key: message"
  auto operator<=>(const SettingError&) const = default;
};

/// Validated, immutable settings. Getters abort the process for a key that is
/// not in the table, because that is a programming error.
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
  std::vector<SettingError> errors;  ///< All errors, in file order.
};

/// Parses a JSON text with comments and validates it against a table. Unknown,
/// missing and duplicate keys, and values of a wrong type or out of range, are
/// errors.
/// @param file file name used in errors
SettingsResult ParseSettings(const SettingTable& table,
                             const std::string& file,
                             const std::string& text);
/// Collects the errors of checks that involve several settings.
class SettingErrorList {
 public:
  /// @param text contents of the file, used to find line numbers
  SettingErrorList(std::string file, const std::string& text);
  /// @param path key of the setting, with list indexes as "[i]"
  void Add(const std::string& path, const std::string& message);
  std::vector<SettingError> Take() { return std::move(errors_); }

 private:
  const std::string file_;
  std::map<std::string, int> lines_;
  std::vector<SettingError> errors_;
};

/// Additional check of settings that are valid against their table.
using SettingsCheck = std::function<void(const Settings&, SettingErrorList&)>;

/// Reads a settings file and validates it.
/// @param check run if the file is valid against the table; may be empty
SettingsResult LoadSettings(const SettingTable& table,
                            const std::string& file,
                            const SettingsCheck& check = {});

/// @returns the log settings of all processes: "log.level" and "log.file"
SettingTable LogSettings();
/// @returns the log configuration from "log.level", "log.file" and "node"
LogInit ReadLogInit(const Settings& settings, const std::string& process);

/// @returns the settings as rows of a Markdown table, for docs/settings.md
std::string DescribeSettings(const SettingTable& table);

/// Exit codes of all binaries.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailure = 1,      ///< The operation failed or was refused.
  kExitUsage = 2,        ///< Bad command line.
  kExitBadSettings = 3,  ///< Settings file missing or invalid.
  kExitPortInUse = 4,    ///< A listener could not be opened.
  /// The data folder is missing, corrupt, read-only or of another process.
  kExitBadData = 5,
  kExitUnreachable = 6,  ///< No keeper or entry answered.
};

}  // namespace ring
