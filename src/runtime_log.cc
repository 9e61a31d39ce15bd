#include "persimmonring/runtime.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace ring {
namespace {

std::string& Prefix() {
  static std::string prefix;
  return prefix;
}

std::shared_ptr<spdlog::logger>& Logger() {
  static std::shared_ptr<spdlog::logger> logger = [] {
    auto created = std::make_shared<spdlog::logger>(
        "ring", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    created->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %v",
                         spdlog::pattern_time_type::utc);
    return created;
  }();
  return logger;
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
    created->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %v",
                         spdlog::pattern_time_type::utc);
    Logger() = created;
  }
  Logger()->set_level(ToSpdlog(init.level));
  Logger()->flush_on(spdlog::level::debug);
  Prefix() = " proc=" + init.process + " node=" + init.node;
}

Event::Event(LogLevel level, std::string_view name) : level_(level) {
  line_ = "event=" + std::string(name) + " level=" + LevelName(level);
}

Event::~Event() {
  if (Logger()->should_log(ToSpdlog(level_))) {
    Logger()->log(ToSpdlog(level_), "{}{}", line_, Prefix());
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
