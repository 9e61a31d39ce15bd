#include <charconv>

#include <nlohmann/json.hpp>

#include "entry_call_p.h"

namespace ring::entry {

using nlohmann::json;

namespace {

Refusal BadRequest(const std::string& message) {
  return Refuse(Reason::kBadRequest, message);
}

Outcome<json> ParseObject(const std::string& body) {
  if (IsNestedTooDeep(body)) {
    return BadRequest("the body is nested too deep");
  }
  // The parser also rejects invalid UTF-8. `false` disables exceptions.
  json value = json::parse(body, nullptr, false);
  if (value.is_discarded()) {
    return BadRequest("the body is not valid JSON in UTF-8");
  }
  if (!value.is_object()) {
    return BadRequest("the body must be a JSON object");
  }
  return value;
}

// Reads an optional integer from low to high; returns `fallback` if the key is
// missing or null.
Outcome<int64_t> ReadInt(const json& object,
                         const char* key,
                         int64_t fallback,
                         int64_t low,
                         int64_t high) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) {
    return fallback;
  }
  const bool fits =
      found->is_number_integer() &&
      !(found->is_number_unsigned() && found->get<uint64_t>() > INT64_MAX);
  if (!fits || found->get<int64_t>() < low || found->get<int64_t>() > high) {
    return BadRequest(std::string(key) + " must be an integer from " +
                      std::to_string(low) + " to " + std::to_string(high));
  }
  return found->get<int64_t>();
}

Outcome<std::string> ReadText(const json& object,
                              const char* key,
                              bool required,
                              size_t max_length) {
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) {
    if (required) {
      return BadRequest(std::string(key) + " is missing");
    }
    return std::string();
  }
  if (!found->is_string() ||
      found->get_ref<const std::string&>().size() > max_length ||
      (required && found->get_ref<const std::string&>().empty())) {
    return BadRequest(std::string(key) + " must be a string of 1 to " +
                      std::to_string(max_length) + " bytes");
  }
  return found->get<std::string>();
}

Outcome<uint64_t> ParsePositive(const std::string& text, const char* name) {
  uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value == 0 ||
      value > INT64_MAX) {
    return BadRequest(std::string(name) + " must be a positive integer");
  }
  return value;
}

constexpr size_t kMaxNameBytes = 256;

Status ReadMessages(const json& body,
                    const CallLimits& limits,
                    CallRequest& request) {
  const auto found = body.find("messages");
  if (found == body.end() || !found->is_array() || found->empty()) {
    return BadRequest("messages must be a list with at least one message");
  }
  if (found->size() > static_cast<size_t>(limits.max_messages)) {
    return BadRequest("messages has more than " +
                      std::to_string(limits.max_messages) + " items");
  }
  for (const json& message : *found) {
    const bool has_role = message.is_object() && message.contains("role") &&
                          message["role"].is_string();
    if (!has_role) {
      return BadRequest("each message must be an object with a string role");
    }
    request.messages.push_back(CanonicalMessage(message));
  }
  return Done{};
}

// Keys that the entry reads or sets itself. All others are passed to the engine
// as sent.
bool IsReservedKey(const std::string& key) {
  return key == "model" || key == "messages" || key == "max_tokens" ||
         key == "stream" || key == "cache_key" || key == "ring_attempt" ||
         key == "resume_from";
}

Status ReadModelCall(const RawCall& raw,
                     const CallLimits& limits,
                     CallRequest& request) {
  const auto body = ParseObject(raw.body);
  if (!body) {
    return body.refusal();
  }
  const auto model = ReadText(*body, "model", true, kMaxNameBytes);
  if (!model) {
    return model.refusal();
  }
  const auto max_tokens =
      ReadInt(*body, "max_tokens",
              std::min(limits.default_max_tokens, limits.max_tokens), 1,
              limits.max_tokens);
  if (!max_tokens) {
    return max_tokens.refusal();
  }
  if (body->contains("stream") && !(*body)["stream"].is_boolean()) {
    return BadRequest("stream must be true or false");
  }
  request.model = *model;
  request.max_tokens = *max_tokens;
  request.stream = body->value("stream", false);
  json extra = json::object();
  for (const auto& [key, value] : body->items()) {
    if (!IsReservedKey(key)) {
      extra[key] = value;
    }
  }
  request.extra = extra.empty() ? "" : extra.dump();
  return ReadMessages(*body, limits, request);
}

Status ReadServiceCall(const RawCall& raw, CallRequest& request) {
  constexpr std::string_view kPrefix = "/v1/services/";
  const std::string rest = raw.path.substr(kPrefix.size());
  const size_t cut = rest.find('/');
  request.service = rest.substr(0, cut);
  request.path = cut == std::string::npos ? "/" : rest.substr(cut);
  if (request.service.empty() || request.service.size() > kMaxNameBytes) {
    return Refuse(Reason::kUnknownPath,
                  "the path contains no valid service name");
  }
  if (request.path.find("..") != std::string::npos) {
    return BadRequest("the path must not contain \"..\"");
  }
  request.content_type =
      raw.content_type.empty() ? "application/json" : raw.content_type;
  request.body = raw.body;
  const bool is_json = request.content_type.starts_with("application/json");
  if (is_json && !raw.body.empty() && !json::accept(raw.body)) {
    return BadRequest("the body is not valid JSON in UTF-8");
  }
  return Done{};
}

std::string ComputeDigest(const RawCall& raw, const CallRequest& request) {
  std::string text = "POST\n" + raw.path + "\n";
  if (request.kind == CallKind::kService) {
    return Sha256Hex(text + request.content_type + "\n" + request.body);
  }
  text += request.model + "\n" + std::to_string(request.max_tokens) + "\n" +
          request.extra + "\n" + (request.delta ? "delta" : "full") + "\n";
  for (const std::string& message : request.messages) {
    text += message + "\n";
  }
  return Sha256Hex(text);
}

Status ReadHeaders(const RawCall& raw,
                   const CallLimits& limits,
                   CallRequest& request) {
  const auto program = ParseBearer(raw.authorization);
  if (!program) {
    return program.refusal();
  }
  request.program = *program;
  if (!raw.sequence.empty()) {
    const auto sequence = ParsePositive(raw.sequence, "Ring-Sequence");
    if (!sequence) {
      return sequence.refusal();
    }
    request.sequence = *sequence;
  }
  request.deadline_ms = limits.default_deadline_ms;
  if (!raw.deadline_ms.empty()) {
    const auto deadline = ParsePositive(raw.deadline_ms, "Ring-Deadline-Ms");
    if (!deadline) {
      return deadline.refusal();
    }
    request.deadline_ms =
        std::min(static_cast<int64_t>(*deadline), limits.max_deadline_ms);
  }
  if (raw.idempotency_key.size() > kMaxNameBytes) {
    return BadRequest("Idempotency-Key is longer than 256 bytes");
  }
  request.idempotency_key = raw.idempotency_key;
  if (!raw.messages_mode.empty() && raw.messages_mode != "delta" &&
      raw.messages_mode != "full") {
    return BadRequest("Ring-Messages must be \"delta\" or \"full\"");
  }
  request.delta = raw.messages_mode == "delta";
  return Done{};
}

}  // namespace

std::string CanonicalMessage(const json& message) {
  json copy = json::object();
  for (const auto& [key, value] : message.items()) {
    const bool empty_calls =
        key == "tool_calls" && value.is_array() && value.empty();
    if (!value.is_null() && !empty_calls) {
      copy[key] = value;
    }
  }
  return copy.dump();
}

Outcome<ProgramId> ParseBearer(const std::string& authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  if (authorization.empty()) {
    return ProgramId();
  }
  if (!authorization.starts_with(kScheme)) {
    return BadRequest("Authorization must be \"Bearer <program>\"");
  }
  const auto id = ProgramId::Parse(authorization.substr(kScheme.size()));
  if (!id) {
    return Refuse(Reason::kUnknownProgram,
                  "the bearer token is not a valid program id");
  }
  return *id;
}

Outcome<CallRequest> ParseCall(const RawCall& raw, const CallLimits& limits) {
  CallRequest request;
  const auto headers = ReadHeaders(raw, limits, request);
  if (!headers) {
    return headers.refusal();
  }
  request.kind = raw.path == "/v1/chat/completions" ? CallKind::kModel
                                                    : CallKind::kService;
  const auto read = request.kind == CallKind::kModel
                        ? ReadModelCall(raw, limits, request)
                        : ReadServiceCall(raw, request);
  if (!read) {
    return read.refusal();
  }
  if (request.delta && !IsValid(request.program)) {
    return BadRequest("Ring-Messages: delta requires a program");
  }
  request.digest = ComputeDigest(raw, request);
  return request;
}

Outcome<OpenRequest> ParseOpen(const std::string& body,
                               const CallLimits& limits) {
  // Above any budget that the state machine grants, and low enough that sums of
  // budgets do not overflow.
  constexpr int64_t kMaxBudget = 1'000'000'000'000;
  const auto object = ParseObject(body);
  if (!object) {
    return object.refusal();
  }
  const auto team = ReadText(*object, "team", true, kMaxNameBytes);
  const auto budget = ReadInt(*object, "budget_tokens", 0, 1, kMaxBudget);
  const auto deadline = ReadInt(*object, "deadline_ms", limits.max_deadline_ms,
                                1, limits.max_deadline_ms);
  const auto idle = ReadInt(*object, "idle_limit_ms", limits.default_idle_ms, 1,
                            limits.max_deadline_ms);
  const auto parent = ReadText(*object, "parent", false, kMaxNameBytes);
  for (const Refusal& refusal :
       {team.refusal(), budget.refusal(), deadline.refusal(), idle.refusal(),
        parent.refusal()}) {
    if (refusal.reason != Reason::kNone) {
      return refusal;
    }
  }
  if (*budget == 0) {
    return BadRequest("budget_tokens is missing");
  }
  OpenRequest request{*team, *budget, *deadline, *idle, {}};
  if (!parent->empty()) {
    const auto id = ProgramId::Parse(*parent);
    if (!id) {
      return Refuse(Reason::kUnknownProgram,
                    "parent is not a valid program id");
    }
    request.parent = *id;
  }
  return request;
}

namespace {

Outcome<std::vector<std::string>> ReadNames(const json& object,
                                            const char* key) {
  std::vector<std::string> names;
  const auto found = object.find(key);
  if (found == object.end() || found->is_null()) {
    return names;
  }
  if (!found->is_array()) {
    return BadRequest(std::string(key) + " must be a list of strings");
  }
  for (const json& name : *found) {
    if (!name.is_string()) {
      return BadRequest(std::string(key) + " must be a list of strings");
    }
    names.push_back(name.get<std::string>());
  }
  return names;
}

void ReadLoad(const json& object, UpstreamLoad& load) {
  const auto number = [&](const char* key) {
    const auto found = object.find(key);
    const bool usable = found != object.end() && found->is_number_integer();
    return usable ? std::max<int64_t>(0, found->get<int64_t>()) : 0;
  };
  load.running = static_cast<int32_t>(number("running"));
  load.waiting = static_cast<int32_t>(number("waiting"));
  load.cache_used_tokens = number("cache_used_tokens");
  load.cache_capacity_tokens = number("cache_capacity_tokens");
}

}  // namespace

Outcome<UpstreamRecord> ParseAnnouncement(const std::string& body) {
  constexpr int64_t kMaxInFlight = 100'000;
  const auto object = ParseObject(body);
  if (!object) {
    return object.refusal();
  }
  const auto name = ReadText(*object, "name", true, kMaxNameBytes);
  const auto incarnation = ReadInt(*object, "incarnation", 0, 1, INT64_MAX);
  const auto address = ReadText(*object, "address", true, kMaxNameBytes);
  const auto kind = ReadText(*object, "kind", true, kMaxNameBytes);
  const auto domain = ReadText(*object, "domain", true, kMaxNameBytes);
  const auto region = ReadText(*object, "region", false, kMaxNameBytes);
  const auto limit = ReadInt(*object, "max_in_flight", 0, 0, kMaxInFlight);
  const auto models = ReadNames(*object, "models");
  const auto adapters = ReadNames(*object, "adapters");
  const auto services = ReadNames(*object, "services");
  for (const Refusal& refusal :
       {name.refusal(), incarnation.refusal(), address.refusal(),
        kind.refusal(), domain.refusal(), region.refusal(), limit.refusal(),
        models.refusal(), adapters.refusal(), services.refusal()}) {
    if (refusal.reason != Reason::kNone) {
      return refusal;
    }
  }
  const auto endpoint = Endpoint::Parse(*address);
  if (!endpoint || (*kind != "engine" && *kind != "service")) {
    return BadRequest(
        "address must be \"ip:port\", and kind must be \"engine\" or "
        "\"service\"");
  }
  UpstreamRecord record;
  record.id = {*name, static_cast<uint64_t>(*incarnation)};
  record.address = *endpoint;
  record.kind =
      *kind == "engine" ? UpstreamKind::kEngine : UpstreamKind::kService;
  record.domain = *domain;
  record.region = *region;
  record.models = *models;
  record.models.insert(record.models.end(), adapters->begin(), adapters->end());
  record.services = *services;
  if (record.kind == UpstreamKind::kService && record.services.empty()) {
    record.services = {*name};
  }
  record.max_in_flight = static_cast<int32_t>(*limit);
  const auto is_true = [&](const char* key) {
    return object->contains(key) && (*object)[key].is_boolean() &&
           (*object)[key].get<bool>();
  };
  record.state = is_true("leaving") ? MemberState::kLeaving : MemberState::kUp;
  record.checks_fence = is_true("fencing");
  if (object->contains("load") && (*object)["load"].is_object()) {
    ReadLoad((*object)["load"], record.load);
  }
  return record;
}

}  // namespace ring::entry
