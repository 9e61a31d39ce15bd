#include "persimmonring/runtime.h"

#include <atomic>

#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace ring {
namespace {

constexpr char kPattern[] = "%Y-%m-%dT%H:%M:%S.%eZ %v";

std::string& LineSuffix() {
  static std::string suffix;
  return suffix;
}

std::shared_ptr<spdlog::logger>& Logger() {
  static std::shared_ptr<spdlog::logger> logger = [] {
    auto created = std::make_shared<spdlog::logger>(
        "ring", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    created->set_pattern(kPattern, spdlog::pattern_time_type::utc);
    return created;
  }();
  return logger;
}

// Capacity of the queue of the logging thread.
constexpr size_t kMaxQueuedLines = 1'024;
constexpr int64_t kMsPerSecond = 1'000;

// Limits the number of log lines per second.
class LineRateLimiter {
 public:
  void SetMax(int64_t per_second) { max_ = per_second; }
  bool Allow() {
    if (max_ == 0) {
      return true;
    }
    const int64_t second = SystemClock().NowMs() / kMsPerSecond;
    if (second_.exchange(second) != second) {
      lines_ = 0;
      if (const int64_t dropped = dropped_.exchange(0); dropped > 0) {
        Event(LogLevel::kWarn, "log_lines_dropped").Add("lines", dropped);
      }
    }
    if (lines_.fetch_add(1) < max_) {
      return true;
    }
    dropped_.fetch_add(1);
    metrics::Count("ring_log_lines_dropped_total");
    return false;
  }

 private:
  std::atomic<int64_t> max_{0};
  std::atomic<int64_t> second_{0};
  std::atomic<int64_t> lines_{0};
  std::atomic<int64_t> dropped_{0};
};

LineRateLimiter& RateLimiter() {
  static LineRateLimiter limiter;
  return limiter;
}

spdlog::level::level_enum ToSpdlog(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) {
    return true;
  }
  for (unsigned char c : value) {
    if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
      return true;
    }
  }
  return false;
}

void AppendQuoted(std::string& out, std::string_view value) {
  constexpr char kDigits[] = "0123456789abcdef";
  out.push_back('"');
  for (unsigned char c : value) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(static_cast<char>(c));
    } else if (c < ' ' || c == 0x7f) {
      out += "\\x";
      out.push_back(kDigits[c >> 4]);
      out.push_back(kDigits[c & 15]);
    } else {
      out.push_back(static_cast<char>(c));
    }
  }
  out.push_back('"');
}

}  // namespace

void InitLog(const LogInit& init) {
  if (!init.file.empty()) {
    auto created = std::make_shared<spdlog::logger>(
        "ring", std::make_shared<spdlog::sinks::basic_file_sink_mt>(init.file));
    created->set_pattern(kPattern, spdlog::pattern_time_type::utc);
    Logger() = created;
  } else if (init.standard_output) {
    spdlog::init_thread_pool(kMaxQueuedLines, 1);
    auto created = std::make_shared<spdlog::async_logger>(
        "ring", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    created->set_pattern(kPattern, spdlog::pattern_time_type::utc);
    Logger() = created;
  }
  RateLimiter().SetMax(init.max_lines_per_s);
  Logger()->set_level(ToSpdlog(init.level));
  Logger()->flush_on(spdlog::level::debug);
  LineSuffix() = " proc=" + init.process + " node=" + init.node;
}

void CloseLog() {
  Logger()->flush();
  spdlog::shutdown();
}

Event::Event(LogLevel level, std::string_view name) : level_(level) {
  line_ = "event=" + std::string(name) + " level=" + LevelName(level);
}

Event::~Event() {
  const bool always_logged = level_ >= LogLevel::kWarn;
  if (Logger()->should_log(ToSpdlog(level_)) &&
      (always_logged || RateLimiter().Allow())) {
    Logger()->log(ToSpdlog(level_), "{}{}", line_, LineSuffix());
  }
}

Event& Event::Add(std::string_view key, std::string_view value) {
  line_.push_back(' ');
  line_ += key;
  line_.push_back('=');
  if (NeedsQuotes(value)) {
    AppendQuoted(line_, value);
  } else {
    line_ += value;
  }
  return *this;
}

Event& Event::Add(std::string_view key, const char* value) {
  return Add(key, std::string_view(value));
}

Event& Event::Add(std::string_view key, const std::string& value) {
  return Add(key, std::string_view(value));
}

Event& Event::Add(std::string_view key, int64_t value) {
  return Add(key, std::string_view(std::to_string(value)));
}

Event& Event::Add(std::string_view key, uint64_t value) {
  return Add(key, std::string_view(std::to_string(value)));
}

Event& Event::Add(std::string_view key, int value) {
  return Add(key, static_cast<int64_t>(value));
}

Event& Event::Add(std::string_view key, bool value) {
  return Add(key, std::string_view(value ? "true" : "false"));
}

Event& Event::Add(std::string_view key, double value) {
  return Add(key, std::string_view(fmt::format("{:.3f}", value)));
}

Event& Event::Add(std::string_view key, Reason value) {
  return Add(key, std::string_view(ToString(value)));
}

}  // namespace ring
