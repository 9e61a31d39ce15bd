#include "persimmonring/explain.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <ctime>

namespace ring {
namespace {

// Events this long before a request began may have decided its outcome. Covers
// two of the longest elections, and the time after which a silent upstream is
// given up.
constexpr int64_t kContextBeforeMs = 6'000;
// Clocks of processes differ, and other processes notice an event a little
// later.
constexpr int64_t kContextAfterMs = 500;
constexpr int64_t kMsPerSecond = 1'000;
// Only this many of the latest lines of each event are shown.
constexpr size_t kMaxLinesPerEvent = 6;

// Events that change what an entry or keeper knows about upstreams or keepers.

constexpr std::array<std::string_view, 23> kContextEvents = {
    "configuration_installed",
    "configuration_applied",
    "draining",
    "group_opened",
    "keeper_connected",
    "keeper_lost",
    "keepers_heard_again",
    "keepers_silent",
    "leader_changed",
    "members_changed",
    "request_suspected",
    "started",
    "starting",
    "store_failed",
    "suspect_cleared",
    "upstream_announced",
    "upstream_checked",
    "upstream_crashed",
    "upstream_departs",
    "upstream_leaving",
    "upstream_reported",
    "upstream_silent",
    "upstream_suspected"};

struct ReasonText {
  std::string_view reason;
  std::string_view cause;
  std::string_view next_step;
};

constexpr std::array<ReasonText, 17> kReasonTexts = {{
    {"no_quorum", "the keepers of the ring state did not answer in time",
     "leader_changed on keepers means an election, which takes about one "
     "second; keepers_silent or keeper_lost on this entry alone means that "
     "the entry was disconnected from the keepers"},
    {"no_upstream", "no upstream of the service was ready",
     "upstream_departs and upstream_silent lines name the upstreams that left"},
    {"budget_exceeded",
     "the program's token budget is spent or reserved by its open turns", ""},
    {"unknown_program",
     "the previous turn was not answered completely or is past its retention",
     "find the request line of the previous turn"},
    {"unknown_key",
     "no team of the entry's configuration has the key of the request",
     "config of the request line and configuration_installed lines show "
     "whether "
     "the entry had the version with the key; key_age_ms shows how sure it "
     "was"},
    {"quota_exceeded", "the team has used up its rate and burst",
     "request lines of all entries with the same team show its requests"},
    {"unknown_path", "no route of the configuration matches host and path",
     "configuration_installed lines give the entry's configuration versions"},
    {"draining", "the entry was stopping", "the caller tries another entry"},
    {"deadline_passed", "the request's deadline passed before its answer ended",
     "begun_ms, sent_ms and head_ms of the request line show where the time "
     "was spent"},
    {"quarantined", "upstreams crashed each time they ran the request",
     "upstream_crashed lines with its digest name the upstreams and entries"},
    {"caller_gone", "the caller closed its connection",
     "head_ms=0: the upstream had not begun to answer"},
    {"upstream_refused", "no upstream accepted the request",
     "upstream_suspected lines name the upstreams"},
    {"upstream_reset", "the connection to the upstream was reset",
     "upstream_suspected lines of other entries show whether the upstream "
     "ended"},
    {"upstream_truncated", "the upstream's answer was truncated",
     "upstream_suspected lines of other entries show whether the upstream "
     "ended"},
    {"upstream_timeout", "the upstream did not begin to answer in time",
     "upstream_suspected lines of other entries show whether the upstream "
     "hangs"},
    {"upstream_error", "the upstream sent an invalid answer", ""},
    {"bad_request", "the request could not be parsed", ""},
}};

int64_t ParseTimeMs(std::string_view text) {
  const std::string copy(text);
  std::tm time = {};
  int ms = 0;
  constexpr int kFields = 7;
  constexpr int kFirstYear = 1900;
  if (std::sscanf(copy.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &time.tm_year,
                  &time.tm_mon, &time.tm_mday, &time.tm_hour, &time.tm_min,
                  &time.tm_sec, &ms) != kFields) {
    return 0;
  }
  time.tm_year -= kFirstYear;
  time.tm_mon -= 1;
  return static_cast<int64_t>(timegm(&time)) * kMsPerSecond + ms;
}

// Removes the next word from the front. Quoted parts may contain spaces.
std::string TakeWord(std::string_view& text) {
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  std::string word;
  bool quoted = false;
  size_t i = 0;
  for (; i < text.size() && (quoted || text[i] != ' '); ++i) {
    if (quoted && text[i] == '\\' && i + 1 < text.size()) {
      word.push_back(text[++i]);
    } else if (text[i] == '"') {
      quoted = !quoted;
    } else {
      word.push_back(text[i]);
    }
  }
  text.remove_prefix(i);
  return word;
}

bool ByTime(const LogLine& a, const LogLine& b) {
  return a.time_ms < b.time_ms;
}

// A context line is relevant if it concerns the request's upstream, its entry,
// or the ring as a whole.
bool IsRelevant(const LogLine& line, const LogLine& end) {
  const std::string& upstream = line.Field("upstream");
  if (!upstream.empty()) {
    const std::string& used = end.Field("upstream");
    return used.empty() ? line.Field("node") == end.Field("node") ||
                              line.event != "upstream_reported"
                        : upstream == used;
  }
  const bool concerns_ring =
      line.event == "leader_changed" || line.event == "members_changed" ||
      line.event == "group_opened" || line.event == "store_failed";
  return concerns_ring || line.Field("node") == end.Field("node");
}

// Lines about crashes list the digests of the requests that were in flight.
bool HasDigest(const LogLine& line, const std::string& digest) {
  const std::string list = "," + line.Field("digests") + ",";
  return !digest.empty() && list.find("," + digest + ",") != std::string::npos;
}

// Keeps the latest lines of each event, so that a frequent event does not crowd
// out the others.
std::vector<LogLine> KeepLatestOfEachEvent(std::vector<LogLine> lines) {
  std::map<std::string, size_t> shown;
  std::vector<LogLine> kept;
  for (auto it = lines.rbegin(); it != lines.rend(); ++it) {
    if (++shown[it->event] <= kMaxLinesPerEvent) {
      kept.push_back(std::move(*it));
    }
  }
  std::reverse(kept.begin(), kept.end());
  return kept;
}

void SetCause(const LogLine& end, Explanation& explanation) {
  const std::string& reason = end.Field("reason");
  const std::string& outcome = end.Field("outcome");
  if (outcome == "answered") {
    explanation.cause = "the request was answered with status " +
                        end.Field("status") + " after " + end.Field("took_ms") +
                        " ms";
    return;
  }
  if (outcome == "turn_not_recorded") {
    explanation.cause =
        "the upstream answered, but the keepers did not confirm the record of "
        "the turn, so the entry closed the caller's connection";
    explanation.next_step = std::string(kReasonTexts[0].next_step);
    return;
  }
  const auto* found = std::find_if(
      kReasonTexts.begin(), kReasonTexts.end(),
      [&](const ReasonText& item) { return item.reason == reason; });
  explanation.cause = found == kReasonTexts.end() ? "reason " + reason
                                                  : std::string(found->cause);
  if (found != kReasonTexts.end()) {
    explanation.next_step = std::string(found->next_step);
  }
  const std::string& run = end.Field("run");
  explanation.cause += run == "not_run"   ? "; it did not run"
                       : run == "unknown" ? "; it may have run"
                                          : "; it ran";
}

}  // namespace

const std::string& LogLine::Field(const std::string& name) const {
  static const std::string none;
  const auto found = fields.find(name);
  return found == fields.end() ? none : found->second;
}

std::optional<LogLine> ParseLogLine(std::string_view text) {
  LogLine line;
  line.text = text;
  std::string_view left = text;
  while (!left.empty()) {
    const std::string word = TakeWord(left);
    const size_t equals = word.find('=');
    if (equals == std::string::npos) {
      const int64_t time_ms = line.time_ms == 0 ? ParseTimeMs(word) : 0;
      line.time_ms = time_ms != 0 ? time_ms : line.time_ms;
    } else if (line.time_ms != 0) {
      line.fields[word.substr(0, equals)] = word.substr(equals + 1);
    }
  }
  line.event = line.Field("event");
  return line.event.empty() ? std::nullopt : std::optional(std::move(line));
}

void Explainer::Read(std::istream& log) {
  const std::string request_value = "=" + request_;
  std::string text;
  while (std::getline(log, text)) {
    const bool has_request_value =
        text.find(request_value) != std::string::npos;
    const size_t at = text.find("event=");
    if (at == std::string::npos) {
      continue;
    }
    std::string_view event = std::string_view(text).substr(at);
    event.remove_prefix(std::string_view("event=").size());
    event = event.substr(0, event.find(' '));
    const bool is_context =
        std::find(kContextEvents.begin(), kContextEvents.end(), event) !=
        kContextEvents.end();
    if (!has_request_value && !is_context) {
      continue;
    }
    if (auto line = ParseLogLine(text)) {
      const bool of_request = line->Field("request") == request_;
      if (of_request) {
        request_lines_.push_back(std::move(*line));
      } else if (is_context) {
        context_lines_.push_back(std::move(*line));
      }
    }
  }
}

Outcome<Explanation> Explainer::Explain() const {
  if (request_lines_.empty()) {
    return Refusal{Reason::kUnknownPath, RunState::kNotRun,
                   "no log line has request id " + request_ +
                       "; was it sent to another ring, or were its lines "
                       "dropped (log_lines_dropped)?"};
  }
  Explanation explanation;
  explanation.request = request_lines_;
  std::stable_sort(explanation.request.begin(), explanation.request.end(),
                   ByTime);
  const auto end =
      std::find_if(explanation.request.begin(), explanation.request.end(),
                   [](const LogLine& line) { return line.event == "request"; });
  if (end == explanation.request.end()) {
    explanation.cause =
        "the logs do not show how the request ended: its entry stopped or was "
        "disconnected while the request was in progress";
    explanation.next_step =
        "starting and stopped lines of the entry show whether it stopped";
    return explanation;
  }
  int64_t took_ms = 0;
  const std::string& took = end->Field("took_ms");
  std::from_chars(took.data(), took.data() + took.size(), took_ms);
  for (const LogLine& line : context_lines_) {
    const bool in_time =
        line.time_ms >= end->time_ms - took_ms - kContextBeforeMs &&
        line.time_ms <= end->time_ms + kContextAfterMs;
    const bool relevant = line.fields.contains("digests")
                              ? HasDigest(line, end->Field("digest"))
                              : in_time && IsRelevant(line, *end);
    if (relevant) {
      explanation.context.push_back(line);
    }
  }
  std::stable_sort(explanation.context.begin(), explanation.context.end(),
                   ByTime);
  explanation.context = KeepLatestOfEachEvent(std::move(explanation.context));
  SetCause(*end, explanation);
  return explanation;
}

}  // namespace ring
