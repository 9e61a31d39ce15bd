#include "entry_settings.h"

#include <algorithm>

namespace ring {
namespace {

constexpr int64_t kMaxNameBytes = 64;
constexpr int64_t kMaxTimeMs = 86'400'000;
constexpr int64_t kMaxAddresses = 1'024;

SettingSpec Name(const std::string& key, const std::string& doc) {
  return {.key = key,
          .type = SettingType::kString,
          .required = true,
          .min = 1,
          .max = kMaxNameBytes,
          .doc = doc};
}

SettingSpec Address(const std::string& key,
                    bool required,
                    const std::string& doc) {
  return {.key = key,
          .type = SettingType::kEndpoint,
          .required = required,
          .doc = doc};
}

SettingSpec Number(const std::string& key,
                   const std::string& unit,
                   int64_t value,
                   int64_t min,
                   int64_t max,
                   const std::string& doc) {
  return {.key = key,
          .type = SettingType::kInt,
          .unit = unit,
          .default_value = std::to_string(value),
          .min = min,
          .max = max,
          .doc = doc};
}

SettingTable NodeRows() {
  return {
      Name("ring", "Name of the ring; peers of another ring are refused."),
      Name("node", "Name of this entry, unique in the ring."),
      Name("domain",
           "Failure domain of this VM; home domain of programs opened here."),
      Name("region", "Region of this VM."),
      Address("http_address", true, "Serves callers and announcements."),
      Address("admin_address", true, "Serves operators and probes."),
      Address("metrics_address", false, "Serves /metrics; empty: not served."),
      Address("wire_address", true,
              "Listens for other entries and keepers; other entries connect "
              "to it."),
      {.key = "keepers",
       .type = SettingType::kStringList,
       .required = true,
       .min = 1,
       .max = kMaxAddresses,
       .doc = "Wire addresses of keepers, \"ip:port\"."},
      {.key = "seeds",
       .type = SettingType::kStringList,
       .max = kMaxAddresses,
       .doc = "Wire addresses of some entries, \"ip:port\"."},
      {.key = "policy.name",
       .type = SettingType::kChoice,
       .default_value = "program",
       .choices = {"program", "fcfs-round-robin", "fcfs-least-in-flight"},
       .doc = "Scheduling policy."}};
}

SettingTable HttpRows() {
  const EntryHttpLimits http;
  return {
      Number("http.threads", "", http.threads, 1, 4'096,
             "Connections served at the same time."),
      Number("http.max_waiting", "", http.max_waiting, 1, 65'536,
             "Connections that wait for a thread; more are refused with "
             "connection_limit."),
      Number("http.max_body_bytes", "bytes", http.max_body_bytes, 1'024,
             6 << 20,
             "Largest request body; a forwarded body must fit into a frame."),
      Number("http.max_headers", "", http.max_headers, 8, 1'024,
             "Largest number of headers of a request."),
      Number("http.max_header_bytes", "bytes", http.max_header_bytes, 1'024,
             1 << 20, "Largest size of all headers of a request."),
      Number("http.header_time_ms", "ms", http.header_timeout_ms, 10,
             kMaxTimeMs, "Longest time for all headers of one request."),
      Number("http.body_time_ms", "ms", http.body_timeout_ms, 10, kMaxTimeMs,
             "Longest time for the body of one request."),
      Number("http.write_time_ms", "ms", http.write_timeout_ms, 10, kMaxTimeMs,
             "Longest time for one write to a slow client."),
      Number("http.keep_alive_ms", "ms", http.keep_alive_ms, 10, kMaxTimeMs,
             "An idle connection is closed after this time, or earlier if "
             "other connections wait."),
      Number("http.keep_alive_requests", "", http.keep_alive_requests, 1, 0,
             "Largest number of requests per connection."),
  };
}

SettingTable CallRows() {
  const CallLimits call;
  return {
      Number("calls.max_queue", "", call.max_queue, 1, 1'000'000,
             "Waiting calls; more are refused with queue_full."),
      Number("calls.max_first_queue", "", call.max_first_queue, 1, 1'000'000,
             "Queue length from which new programs are refused."),
      Number("calls.attempt_threads", "", call.attempt_threads, 1, 4'096,
             "Concurrent attempts."),
      Number("calls.default_max_tokens", "tokens", call.default_max_tokens, 1,
             10'000'000, "Default for a request without max_tokens."),
      Number("calls.max_tokens", "tokens", call.max_tokens, 1, 10'000'000,
             "Largest max_tokens of a request."),
      Number("calls.max_messages", "", call.max_messages, 1, 1'000'000,
             "Largest number of messages of a request."),
      Number("calls.sequence_wait_ms", "ms", call.sequence_wait_ms, 0, 60'000,
             "Longest wait of a call that arrives before its predecessor."),
      Number("calls.default_deadline_ms", "ms", call.default_deadline_ms, 1,
             kMaxTimeMs, "Default for a request without Ring-Deadline-Ms."),
      Number("calls.max_deadline_ms", "ms", call.max_deadline_ms, 1, kMaxTimeMs,
             "Longest deadline of a call or program."),
      Number("calls.default_idle_ms", "ms", call.default_idle_ms, 1, kMaxTimeMs,
             "Idle limit of a program that sets none."),
      Number("calls.service_timeout_ms", "ms", call.service_timeout_ms, 1,
             kMaxTimeMs,
             "Default for a service whose release note sets no timeout."),
      Number("calls.first_token_timeout_ms", "ms", call.first_token_timeout_ms,
             1, kMaxTimeMs, "Longest wait for the first token."),
      Number("calls.token_gap_timeout_ms", "ms", call.token_gap_timeout_ms, 1,
             kMaxTimeMs, "Longest wait between tokens."),
      Number("calls.resume_attempts", "", call.resume_attempts, 0, 100,
             "Times that a broken stream is resumed on the same engine."),
      Number("calls.engine_in_flight", "", call.engine_in_flight, 1, 10'000,
             "Requests in flight on an engine that announces no limit."),
      Number("calls.service_in_flight", "", call.service_in_flight, 1, 10'000,
             "Requests in flight on a service that announces no limit."),
      Number("calls.quorum_retry_ms", "ms", call.quorum_retry_ms, 10, 60'000,
             "Time between probes of a domain without quorum."),
      Number("calls.caller_gone_ms", "ms", call.caller_gone_ms, 0, kMaxTimeMs,
             "A queued call whose caller is gone is dropped after this time."),
  };
}

SettingTable SchedulingRows() {
  const EntryInit init;
  const RetryInit retry;
  const PolicyInit policy;
  return {
      Number("drain_notice_ms", "ms", init.drain_notice_ms, 0, 600'000,
             "Calls of open programs are still accepted for this time after a "
             "drain starts, until the load balancer notices it."),
      Number("janitor_period_ms", "ms", init.janitor_period_ms, 10, 60'000,
             "Time between polls of the control group and cache releases."),
      Number("lease_ms", "ms", init.lease_ms, 1'000, 600'000,
             "Lease of the entry that sends orders to engines."),
      Number("weight_pace_ms", "ms", init.weight_pace_ms, 0, kMaxTimeMs,
             "Time between two orders that load weights."),
      Number("keeper_timeout_ms", "ms", KeeperClientInit().timeout_ms, 100,
             60'000, "Longest wait for a leader and its answer."),
      Number("retry.budget_percent", "%",
             static_cast<int64_t>(retry.budget_share * 100), 0, 100,
             "Retries as a share of calls."),
      Number("retry.min_per_s", "1/s", retry.min_retries_per_s, 0, 10'000,
             "Retries allowed regardless of the budget; unused ones accumulate "
             "for up to 10 s."),
      Number("retry.max_attempts", "", retry.max_attempts, 1, 10,
             "Attempts of one call."),
      Number("policy.aging_ms", "ms", policy.aging_ms, 1, kMaxTimeMs,
             "Waiting time after which a call gets a higher priority."),
  };
}

void CheckAddresses(const Settings& settings,
                    const std::string& key,
                    SettingErrorList& errors) {
  const auto& list = settings.StringList(key);
  for (size_t i = 0; i < list.size(); ++i) {
    if (!Endpoint::Parse(list[i])) {
      errors.Add(key + "[" + std::to_string(i) + "]",
                 "\"" + list[i] + "\" is not an address \"ip:port\"");
    }
  }
}

}  // namespace

SettingTable EntrySettingTable() {
  SettingTable table = NodeRows();
  for (const SettingTable& rows :
       {LogSettings(), HttpRows(), CallRows(), SchedulingRows()}) {
    table.insert(table.end(), rows.begin(), rows.end());
  }
  return table;
}

void CheckEntrySettings(const Settings& settings, SettingErrorList& errors) {
  CheckAddresses(settings, "keepers", errors);
  CheckAddresses(settings, "seeds", errors);
  const std::string& domain = settings.String("domain");
  if (domain.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") !=
      std::string::npos) {
    errors.Add("domain", "must consist of a-z, 0-9 and '-'");
  }
  const std::vector<std::string> keys = {"http_address", "admin_address",
                                         "metrics_address", "wire_address"};
  for (size_t i = 0; i < keys.size(); ++i) {
    for (size_t j = 0; j < i; ++j) {
      const Endpoint address = settings.Address(keys[i]);
      if (IsValid(address) && address == settings.Address(keys[j])) {
        errors.Add(keys[i], "is the same as " + keys[j]);
      }
    }
  }
  if (settings.Int("calls.default_max_tokens") >
      settings.Int("calls.max_tokens")) {
    errors.Add("calls.default_max_tokens",
               "must not be above calls.max_tokens");
  }
}

std::vector<Endpoint> ToEndpoints(const std::vector<std::string>& list) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : list) {
    if (const auto endpoint = Endpoint::Parse(text)) {
      endpoints.push_back(*endpoint);
    }
  }
  return endpoints;
}

EntryInit ToEntryInit(const Settings& settings) {
  EntryInit init;
  init.ring = settings.String("ring");
  init.node = settings.String("node");
  init.domain = settings.String("domain");
  init.region = settings.String("region");
  init.http = settings.Address("http_address");
  init.admin = settings.Address("admin_address");
  EntryHttpLimits& http = init.http_limits;
  http.threads = settings.Int("http.threads");
  http.max_waiting = settings.Int("http.max_waiting");
  http.max_body_bytes = settings.Int("http.max_body_bytes");
  http.max_headers = settings.Int("http.max_headers");
  http.max_header_bytes = settings.Int("http.max_header_bytes");
  http.header_timeout_ms = settings.Int("http.header_time_ms");
  http.body_timeout_ms = settings.Int("http.body_time_ms");
  http.write_timeout_ms = settings.Int("http.write_time_ms");
  http.keep_alive_ms = settings.Int("http.keep_alive_ms");
  http.keep_alive_requests = settings.Int("http.keep_alive_requests");
  CallLimits& calls = init.call_limits;
  calls.max_queue = settings.Int("calls.max_queue");
  calls.max_first_queue = settings.Int("calls.max_first_queue");
  calls.attempt_threads = settings.Int("calls.attempt_threads");
  calls.default_max_tokens = settings.Int("calls.default_max_tokens");
  calls.max_tokens = settings.Int("calls.max_tokens");
  calls.max_messages = settings.Int("calls.max_messages");
  calls.sequence_wait_ms = settings.Int("calls.sequence_wait_ms");
  calls.default_deadline_ms = settings.Int("calls.default_deadline_ms");
  calls.max_deadline_ms = settings.Int("calls.max_deadline_ms");
  calls.default_idle_ms = settings.Int("calls.default_idle_ms");
  calls.service_timeout_ms = settings.Int("calls.service_timeout_ms");
  calls.first_token_timeout_ms = settings.Int("calls.first_token_timeout_ms");
  calls.token_gap_timeout_ms = settings.Int("calls.token_gap_timeout_ms");
  calls.resume_attempts = settings.Int("calls.resume_attempts");
  calls.engine_in_flight = settings.Int("calls.engine_in_flight");
  calls.service_in_flight = settings.Int("calls.service_in_flight");
  calls.quorum_retry_ms = settings.Int("calls.quorum_retry_ms");
  calls.caller_gone_ms = settings.Int("calls.caller_gone_ms");
  init.drain_notice_ms = settings.Int("drain_notice_ms");
  init.janitor_period_ms = settings.Int("janitor_period_ms");
  init.lease_ms = settings.Int("lease_ms");
  init.weight_pace_ms = settings.Int("weight_pace_ms");
  return init;
}

Hub::Init ToHubInit(const Settings& settings) {
  Hub::Init init;
  init.ring = settings.String("ring");
  init.node = settings.String("node");
  init.domain = settings.String("domain");
  init.region = settings.String("region");
  init.listen = settings.Address("wire_address");
  return init;
}

KeeperClientInit ToKeeperClientInit(const Settings& settings) {
  KeeperClientInit init;
  init.node = settings.String("node");
  init.keepers = ToEndpoints(settings.StringList("keepers"));
  init.timeout_ms = settings.Int("keeper_timeout_ms");
  return init;
}

}  // namespace ring
