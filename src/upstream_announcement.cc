#include <nlohmann/json.hpp>

#include "persimmonring/upstream.h"

namespace ring {
namespace {

constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxListItems = 256;

Refusal Bad(const char* field) {
  return {Reason::kBadRequest, RunState::kNotRun,
          std::string("announcement: wrong or missing ") + field};
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameBytes) {
    return false;
  }
  for (const char c : text) {
    if (static_cast<unsigned char>(c) <= ' ' || c == '\x7f') {
      return false;
    }
  }
  return true;
}

bool ReadName(const nlohmann::json& body, const char* key, std::string& out) {
  const auto it = body.find(key);
  if (it == body.end() || !it->is_string()) {
    return false;
  }
  out = it->get<std::string>();
  return IsName(out);
}

// A missing list is empty.
bool ReadNames(const nlohmann::json& body,
               const char* key,
               std::vector<std::string>& out) {
  const auto it = body.find(key);
  if (it == body.end()) {
    return true;
  }
  if (!it->is_array() || it->size() > kMaxListItems) {
    return false;
  }
  for (const auto& item : *it) {
    if (!item.is_string() || !IsName(item.get<std::string>())) {
      return false;
    }
    out.push_back(item.get<std::string>());
  }
  return true;
}

int64_t ReadCount(const nlohmann::json& body, const char* key) {
  const auto it = body.is_object() ? body.find(key) : body.end();
  return body.is_object() && it != body.end() && it->is_number_unsigned() &&
                 it->get<uint64_t>() <= INT32_MAX
             ? it->get<int64_t>()
             : 0;
}

bool ReadFlag(const nlohmann::json& body, const char* key) {
  const auto it = body.find(key);
  return it != body.end() && it->is_boolean() && it->get<bool>();
}

UpstreamLoad ReadLoad(const nlohmann::json& load) {
  return {.running = static_cast<int32_t>(ReadCount(load, "running")),
          .waiting = static_cast<int32_t>(ReadCount(load, "waiting")),
          .cache_used_tokens = ReadCount(load, "cache_used_tokens"),
          .cache_capacity_tokens = ReadCount(load, "cache_capacity_tokens")};
}

}  // namespace

Outcome<UpstreamRecord> ParseAnnouncement(const std::string& body_text) {
  const auto body = nlohmann::json::parse(body_text, nullptr, false);
  if (!body.is_object()) {
    return Bad("object");
  }
  UpstreamRecord record;
  std::string address;
  std::string kind;
  if (!ReadName(body, "name", record.id.name)) {
    return Bad("name");
  }
  const auto incarnation = body.find("incarnation");
  if (incarnation == body.end() || !incarnation->is_number_unsigned() ||
      incarnation->get<uint64_t>() == 0) {
    return Bad("incarnation");
  }
  record.id.incarnation = incarnation->get<uint64_t>();
  const auto endpoint = ReadName(body, "address", address)
                            ? Endpoint::Parse(address)
                            : std::nullopt;
  if (!endpoint) {
    return Bad("address");
  }
  record.address = *endpoint;
  if (!ReadName(body, "kind", kind) ||
      (kind != "engine" && kind != "service")) {
    return Bad("kind");
  }
  record.kind =
      kind == "engine" ? UpstreamKind::kEngine : UpstreamKind::kService;
  if (!ReadName(body, "domain", record.domain) ||
      !ReadName(body, "region", record.region)) {
    return Bad("domain or region");
  }
  if (!ReadNames(body, "models", record.models) ||
      !ReadNames(body, "adapters", record.models) ||
      !ReadNames(body, "services", record.services)) {
    return Bad("models, adapters or services");
  }
  record.max_in_flight = static_cast<int32_t>(ReadCount(body, "max_in_flight"));
  record.checks_fence = ReadFlag(body, "fencing");
  record.state =
      ReadFlag(body, "leaving") ? MemberState::kLeaving : MemberState::kUp;
  if (body.contains("load")) {
    record.load = ReadLoad(body["load"]);
  }
  return record;
}

}  // namespace ring
