#include <algorithm>
#include <array>
#include <set>

#include <nlohmann/json.hpp>

#include "control_note_p.h"

namespace ring {
namespace {

using nlohmann::json;

constexpr size_t kMaxBodyBytes = 1u << 20;
constexpr size_t kMaxNameBytes = 128;
constexpr int kMaxDepth = 32;  // Serializing JSON recurses once per level.
constexpr std::array kSections = {"added", "changed", "withdrawn"};
constexpr std::array kKinds = {"model", "adapter", "service", "team", "limit"};
constexpr std::array kStringFields = {"version", "model", "role"};

Refusal InvalidField(const std::string& path, const std::string& text) {
  return {Reason::kBadRequest, RunState::kNotRun, path + ": " + text};
}

/// Names are printable ASCII without spaces, quotes and backslashes, so that
/// they need no escaping in labels and paths.
bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return c > ' ' && c < 127 && c != '"' && c != '\\';
         });
}

Status CheckUpstreams(const std::string& path, const json& list) {
  if (!list.is_array()) {
    return InvalidField(path, "must be a list of names");
  }
  for (size_t i = 0; i < list.size(); ++i) {
    if (!list[i].is_string()) {
      return InvalidField(path + "[" + std::to_string(i) + "]",
                          "must be a string");
    }
  }
  return Done{};
}

Status CheckFields(const std::string& path, const json& item) {
  for (const char* field : kStringFields) {
    if (item.contains(field) && !item[field].is_string()) {
      return InvalidField(path + "." + field, "must be a string");
    }
  }
  if (item.contains("upstreams")) {
    return CheckUpstreams(path + ".upstreams", item["upstreams"]);
  }
  return Done{};
}

Status CheckItem(const std::string& path, const json& item, bool withdrawn) {
  if (!item.is_object()) {
    return InvalidField(path, "must be an object");
  }
  const auto kind = item.find("kind");
  const bool known = kind != item.end() && kind->is_string() &&
                     std::find(kKinds.begin(), kKinds.end(),
                               kind->get<std::string>()) != kKinds.end();
  if (!known) {
    return InvalidField(path + ".kind",
                        "must be model, adapter, service, team or limit");
  }
  const auto name = item.find("name");
  if (name == item.end() || !name->is_string() ||
      !IsValidName(name->get<std::string>())) {
    return InvalidField(path + ".name",
                        "must be a printable name of 1 to 128 characters");
  }
  if (!withdrawn && *kind == "adapter" && !item.contains("model")) {
    return InvalidField(path + ".model", "is required for an adapter");
  }
  return CheckFields(path, item);
}

Status CheckSection(const std::string& section,
                    const json& list,
                    std::set<std::string>& seen) {
  if (!list.is_array()) {
    return InvalidField(section, "must be a list");
  }
  for (size_t i = 0; i < list.size(); ++i) {
    const std::string path = section + "[" + std::to_string(i) + "]";
    if (Status status = CheckItem(path, list[i], section == "withdrawn");
        !status) {
      return status;
    }
    if (!seen.insert(ItemKey(list[i])).second) {
      return InvalidField(path, ItemKey(list[i]) + " occurs twice in the note");
    }
  }
  return Done{};
}

Status CheckBody(const json& body) {
  if (!body.is_object()) {
    return InvalidField("body", "must be a JSON object");
  }
  for (const auto& [section, list] : body.items()) {
    if (std::find(kSections.begin(), kSections.end(), section) ==
        kSections.end()) {
      return InvalidField(section, "must be added, changed or withdrawn");
    }
  }
  std::set<std::string> seen;
  for (const char* section : kSections) {
    if (!body.contains(section)) {
      continue;
    }
    if (Status status = CheckSection(section, body[section], seen); !status) {
      return status;
    }
  }
  return seen.empty()
             ? Status(InvalidField("body", "must contain at least one item"))
             : Status(Done{});
}

}  // namespace

json ParseNoteBody(const std::string& body) {
  bool too_deep = false;
  const auto check_depth = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  json parsed = json::parse(body, check_depth, /*allow_exceptions=*/false);
  return too_deep ? json(json::value_t::discarded) : parsed;
}

std::string ItemKey(const json& item) {
  return item["kind"].get<std::string>() + "/" +
         item["name"].get<std::string>();
}

std::string DigestOf(const ReleaseNote& note) {
  const json body = ParseNoteBody(note.body);
  const json canonical =
      json::array({note.number, note.operator_id,
                   body.is_discarded() ? json(note.body) : body});
  return Sha256Hex(
      canonical.dump(-1, ' ', false, json::error_handler_t::replace));
}

Status CheckNote(const ReleaseNote& note) {
  if (note.number == 0) {
    return InvalidField("number", "must be at least 1");
  }
  if (!IsValidName(note.operator_id)) {
    return InvalidField("operator",
                        "must be a printable name of 1 to 128 characters");
  }
  if (note.body.size() > kMaxBodyBytes) {
    return InvalidField("body", "must be at most 1 MiB");
  }
  const json body = ParseNoteBody(note.body);
  if (body.is_discarded()) {
    return InvalidField("body", "is not valid JSON or is nested too deeply");
  }
  return CheckBody(body);
}

Status ApplyNoteBody(const std::string& body,
                     std::map<std::string, std::string>& items) {
  const json note = ParseNoteBody(body);
  for (const char* section : kSections) {
    const json list = note.value(section, json::array());
    for (size_t i = 0; i < list.size(); ++i) {
      const bool exists = items.contains(ItemKey(list[i]));
      if (exists != (std::string_view(section) != "added")) {
        return InvalidField(
            std::string(section) + "[" + std::to_string(i) + "]",
            ItemKey(list[i]) +
                (exists ? " already exists" : " does not exist"));
      }
    }
  }
  for (const json& item : note.value("added", json::array())) {
    items[ItemKey(item)] = item.dump();
  }
  for (const json& item : note.value("changed", json::array())) {
    items[ItemKey(item)] = item.dump();
  }
  for (const json& item : note.value("withdrawn", json::array())) {
    items.erase(ItemKey(item));
  }
  return Done{};
}

std::set<std::string> KeysOfNote(const std::string& body) {
  const json note = ParseNoteBody(body);
  std::set<std::string> keys;
  for (const char* section : kSections) {
    for (const json& item : note.value(section, json::array())) {
      keys.insert(ItemKey(item));
    }
  }
  return keys;
}

}  // namespace ring
