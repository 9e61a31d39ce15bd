#include "persimmonring/core.h"

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>

#include <arpa/inet.h>

namespace ring {
namespace {

constexpr size_t kSecretHexDigits = 32;
constexpr size_t kMaxDomainLength = 64;

constexpr std::array<const char*, static_cast<size_t>(Reason::kCount)>
    kReasonNames = {
        "none",
        "bad_request",
        "body_too_large",
        "unknown_path",
        "unknown_program",
        "unknown_model",
        "unknown_service",
        "sequence_reuse",
        "sequence_gap",
        "history_mismatch",
        "history_too_long",
        "turn_limit",
        "token_limit",
        "budget_exceeded",
        "program_ended",
        "program_expired",
        "answer_expired",
        "not_allowed",
        "unknown_key",
        "queue_full",
        "deadline_unreachable",
        "deadline_passed",
        "overload",
        "connection_limit",
        "draining",
        "no_upstream",
        "quarantined",
        "quota_exceeded",
        "retry_budget_spent",
        "no_quorum",
        "not_leader",
        "lost_ownership",
        "owner_unreachable",
        "stale_epoch",
        "stale_number",
        "conflict",
        "stale_fence",
        "version_mismatch",
        "storage_failed",
        "corrupt_data",
        "upstream_refused",
        "upstream_reset",
        "upstream_timeout",
        "upstream_error",
        "upstream_truncated",
        "upstream_leaving",
        "upstream_limited",
        "tool_timeout",
        "outcome_unknown",
        "caller_gone",
        "cancelled",
        "internal",
};

bool IsDomainName(std::string_view text) {
  if (text.empty() || text.size() > kMaxDomainLength) {
    return false;
  }
  for (char c : text) {
    const bool valid =
        (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    if (!valid) {
      return false;
    }
  }
  return true;
}

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

class SystemClockImpl final : public ClockI {
 public:
  int64_t NowMs() const override {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
  int64_t WallMs() const override {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  int64_t BootMs() const override {
    constexpr int64_t kMsPerSecond = 1'000;
    constexpr int64_t kNsPerMs = 1'000'000;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * kMsPerSecond + time.tv_nsec / kNsPerMs;
  }
};

}  // namespace

const char* ToString(Reason reason) {
  const auto index = static_cast<size_t>(reason);
  return index < kReasonNames.size() ? kReasonNames[index] : "invalid";
}

std::optional<Reason> ReasonFromString(std::string_view name) {
  for (size_t i = 0; i < kReasonNames.size(); ++i) {
    if (name == kReasonNames[i]) {
      return static_cast<Reason>(i);
    }
  }
  return std::nullopt;
}

const char* ToString(RunState state) {
  switch (state) {
    case RunState::kNotRun:
      return "not_run";
    case RunState::kRan:
      return "ran";
    case RunState::kUnknown:
      return "unknown";
  }
  return "invalid";
}

void FailInvariant(const char* file, int line, const char* text) {
  std::fprintf(stderr, "event=invariant_failed file=%s line=%d check=\"%s\"\n",
               file, line, text);
  std::abort();
}

std::optional<ProgramId> ProgramId::Parse(std::string_view text) {
  const size_t dot = text.find('.');
  if (dot == std::string_view::npos || !IsDomainName(text.substr(0, dot))) {
    return std::nullopt;
  }
  const std::string_view secret = text.substr(dot + 1);
  if (secret.size() != kSecretHexDigits || !IsLowerHex(secret)) {
    return std::nullopt;
  }
  ProgramId id;
  id.text_ = std::string(text);
  return id;
}

ProgramId ProgramId::Generate(std::string_view home_domain) {
  RING_CHECK(IsDomainName(home_domain));
  ProgramId id;
  id.text_ = std::string(home_domain) + "." + RandomHex(kSecretHexDigits / 2);
  return id;
}

std::string_view ProgramId::home_domain() const {
  return std::string_view(text_).substr(0, text_.find('.'));
}

std::string_view ProgramId::log_prefix() const {
  constexpr size_t kShownDigits = 8;
  const size_t dot = text_.find('.');
  return dot == std::string::npos
             ? std::string_view()
             : std::string_view(text_).substr(dot + 1, kShownDigits);
}

bool IsValid(const ProgramId& id) {
  return !id.text().empty();
}

bool IsValid(const UpstreamId& id) {
  return !id.name.empty() && id.incarnation != 0;
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.ip = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  in_addr address = {};
  const bool valid = error == std::errc() && end == port.data() + port.size() &&
                     endpoint.port != 0 &&
                     inet_pton(AF_INET, endpoint.ip.c_str(), &address) == 1;
  if (!valid) {
    return std::nullopt;
  }
  return endpoint;
}

std::string Endpoint::ToString() const {
  return ip + ":" + std::to_string(port);
}

bool IsNestedTooDeep(std::string_view json) {
  size_t depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < json.size(); ++i) {
    const char c = json[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;  // Skips the escaped character.
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

bool IsValid(const Endpoint& endpoint) {
  return !endpoint.ip.empty() && endpoint.port != 0;
}

const ClockI& SystemClock() {
  static const SystemClockImpl clock;
  return clock;
}

int64_t UniformInt(Rng& rng, int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(rng);
}

}  // namespace ring
