#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "persimmonring/runtime.h"
#include "runtime_settings_p.h"

namespace ring {

using nlohmann::json;

namespace {

std::string JoinPath(const std::string& prefix, const std::string& key) {
  return prefix.empty() ? key : prefix + "." + key;
}

std::string RangeText(const SettingSpec& spec) {
  const std::string unit = spec.unit.empty() ? "" : " " + spec.unit;
  if (spec.max == 0) {
    return "at least " + std::to_string(spec.min) + unit;
  }
  return std::to_string(spec.min) + " to " + std::to_string(spec.max) + unit;
}

bool InRange(const SettingSpec& spec, int64_t value) {
  return value >= spec.min && (spec.max == 0 || value <= spec.max);
}

std::string JoinChoices(const SettingSpec& spec) {
  std::string text;
  for (const std::string& choice : spec.choices) {
    text += (text.empty() ? "" : ", ") + choice;
  }
  return text;
}

const char* TypeName(SettingType type) {
  switch (type) {
    case SettingType::kInt:
      return "integer";
    case SettingType::kBool:
      return "true or false";
    case SettingType::kString:
      return "string";
    case SettingType::kEndpoint:
      return "\"ip:port\"";
    case SettingType::kChoice:
      return "choice";
    case SettingType::kStringList:
      return "list of strings";
    case SettingType::kObjectList:
      return "list of objects";
  }
  return "?";
}

const json* FindPath(const json& root, const std::string& dotted) {
  const json* node = &root;
  std::istringstream parts(dotted);
  std::string part;
  while (std::getline(parts, part, '.')) {
    if (!node->is_object() || !node->contains(part)) {
      return nullptr;
    }
    node = &(*node)[part];
  }
  return node;
}

}  // namespace

/// Validates JSON objects against settings tables and collects the errors.
class SettingsReader {
 public:
  SettingsReader(std::string file, KeyPositions positions)
      : file_(std::move(file)), positions_(std::move(positions)) {}

  Settings ReadObject(const SettingTable& table,
                      const json& object,
                      const std::string& prefix) {
    Settings settings;
    for (const SettingSpec& spec : table) {
      settings.values_[spec.key] = ReadSetting(spec, object, prefix);
    }
    ReportUnknown(table, object, prefix, "");
    return settings;
  }

  void AddError(const std::string& path, const std::string& message) {
    errors_.push_back({file_, LineOf(path), path, message});
  }

  void AddErrorAt(int line, const std::string& path, const std::string& text) {
    errors_.push_back({file_, line, path, text});
  }

  std::vector<SettingError> TakeErrors() {
    std::stable_sort(
        errors_.begin(), errors_.end(),
        [](const auto& a, const auto& b) { return a.line < b.line; });
    return std::move(errors_);
  }

 private:
  // Returns the line of the path or of its closest ancestor in the file.
  int LineOf(std::string path) const {
    while (!path.empty()) {
      const auto found = positions_.line_of_path.find(path);
      if (found != positions_.line_of_path.end()) {
        return found->second;
      }
      const size_t cut = path.find_last_of(".[");
      path = cut == std::string::npos ? "" : path.substr(0, cut);
    }
    return 1;
  }

  Settings::Value ReadSetting(const SettingSpec& spec,
                              const json& object,
                              const std::string& prefix) {
    const std::string path = JoinPath(prefix, spec.key);
    const json* value = FindPath(object, spec.key);
    if (value == nullptr) {
      if (spec.required) {
        AddError(path,
                 std::string("is missing; expected ") + TypeName(spec.type));
      }
      return {spec.default_value};
    }
    switch (spec.type) {
      case SettingType::kInt:
        return ReadInt(spec, *value, path);
      case SettingType::kBool:
        return ReadBool(spec, *value, path);
      case SettingType::kStringList:
        return ReadStringList(spec, *value, path);
      case SettingType::kObjectList:
        return ReadObjectList(spec, *value, path);
      default:
        return ReadText(spec, *value, path);
    }
  }

  Settings::Value ReadInt(const SettingSpec& spec,
                          const json& value,
                          const std::string& path) {
    const bool fits =
        value.is_number_integer() &&
        !(value.is_number_unsigned() && value.get<uint64_t>() > INT64_MAX);
    if (!fits || !InRange(spec, value.get<int64_t>())) {
      AddError(path, "must be an integer, " + RangeText(spec) + "; got " +
                         value.dump());
      return {spec.default_value};
    }
    return {std::to_string(value.get<int64_t>())};
  }

  Settings::Value ReadBool(const SettingSpec& spec,
                           const json& value,
                           const std::string& path) {
    if (!value.is_boolean()) {
      AddError(path, "must be true or false; got " + value.dump());
      return {spec.default_value};
    }
    return {value.get<bool>() ? "true" : "false"};
  }

  Settings::Value ReadText(const SettingSpec& spec,
                           const json& value,
                           const std::string& path) {
    if (!value.is_string()) {
      AddError(path, "must be a string; got " + value.dump());
      return {spec.default_value};
    }
    const auto text = value.get<std::string>();
    if (spec.type == SettingType::kEndpoint && !Endpoint::Parse(text)) {
      AddError(path,
               "must be \"ip:port\" with port 1 to 65535; got " + value.dump());
    } else if (spec.type == SettingType::kChoice &&
               std::find(spec.choices.begin(), spec.choices.end(), text) ==
                   spec.choices.end()) {
      AddError(path,
               "must be one of " + JoinChoices(spec) + "; got " + value.dump());
    } else if (spec.type == SettingType::kString &&
               !InRange(spec, static_cast<int64_t>(text.size()))) {
      AddError(path, "length must be " + RangeText(spec));
    }
    return {text};
  }

  Settings::Value ReadStringList(const SettingSpec& spec,
                                 const json& value,
                                 const std::string& path) {
    Settings::Value result;
    const bool strings =
        value.is_array() &&
        std::all_of(value.begin(), value.end(),
                    [](const json& item) { return item.is_string(); });
    if (!strings || !InRange(spec, static_cast<int64_t>(value.size()))) {
      AddError(path,
               "must be a list of strings, " + RangeText(spec) + " entries");
      return result;
    }
    for (const json& item : value) {
      result.list.push_back(item.get<std::string>());
    }
    return result;
  }

  Settings::Value ReadObjectList(const SettingSpec& spec,
                                 const json& value,
                                 const std::string& path) {
    Settings::Value result;
    if (!value.is_array() ||
        !InRange(spec, static_cast<int64_t>(value.size()))) {
      AddError(path,
               "must be a list of objects, " + RangeText(spec) + " entries");
      return result;
    }
    for (size_t i = 0; i < value.size(); ++i) {
      const std::string item_path = path + "[" + std::to_string(i) + "]";
      if (!value[i].is_object()) {
        AddError(item_path, "must be an object");
        continue;
      }
      result.objects.push_back(ReadObject(spec.items, value[i], item_path));
    }
    return result;
  }

  void ReportUnknown(const SettingTable& table,
                     const json& object,
                     const std::string& prefix,
                     const std::string& inner) {
    for (const auto& [key, value] : object.items()) {
      const std::string dotted = JoinPath(inner, key);
      if (key.find('.') != std::string::npos) {
        AddError(JoinPath(prefix, dotted),
                 "is not a known setting; sections are nested objects");
        continue;
      }
      const bool known =
          std::any_of(table.begin(), table.end(),
                      [&](const auto& spec) { return spec.key == dotted; });
      if (known) {
        continue;
      }
      const bool is_section =
          std::any_of(table.begin(), table.end(), [&](const auto& spec) {
            return spec.key.rfind(dotted + ".", 0) == 0;
          });
      if (is_section && value.is_object()) {
        ReportUnknown(table, value, prefix, dotted);
      } else if (is_section) {
        AddError(JoinPath(prefix, dotted), "must be an object");
      } else {
        AddError(JoinPath(prefix, dotted), "is not a known setting");
      }
    }
  }

  const std::string file_;
  const KeyPositions positions_;
  std::vector<SettingError> errors_;
};

std::string SettingError::ToString() const {
  return file + ":" + std::to_string(line) + ": " +
         (key.empty() ? "" : key + ": ") + message;
}

SettingsResult ParseSettings(const SettingTable& table,
                             const std::string& file,
                             const std::string& text) {
  json root;
  try {
    root = json::parse(text, nullptr, true, /*ignore_comments=*/true);
  } catch (const json::parse_error& error) {
    const size_t end = std::min(error.byte, text.size());
    const auto line =
        1 + std::count(text.begin(),
                       text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
    return {std::nullopt,
            {{file, static_cast<int>(line), "",
              std::string("is not valid JSON: ") + error.what()}}};
  }
  if (!root.is_object()) {
    return {std::nullopt, {{file, 1, "", "must be a JSON object"}}};
  }
  const KeyPositions positions = LocateKeys(text);
  SettingsReader reader(file, positions);
  for (const auto& duplicate : positions.duplicates) {
    reader.AddErrorAt(duplicate.line, duplicate.path, "is set twice");
  }
  Settings settings = reader.ReadObject(table, root, "");
  std::vector<SettingError> errors = reader.TakeErrors();
  if (!errors.empty()) {
    return {std::nullopt, std::move(errors)};
  }
  return {std::move(settings), {}};
}

SettingErrorList::SettingErrorList(std::string file, const std::string& text)
    : file_(std::move(file)), lines_(LocateKeys(text).line_of_path) {}

void SettingErrorList::Add(const std::string& path,
                           const std::string& message) {
  const auto found = lines_.find(path);
  const int line = found == lines_.end() ? 1 : found->second;
  errors_.push_back({file_, line, path, message});
}

SettingsResult LoadSettings(const SettingTable& table,
                            const std::string& file,
                            const SettingsCheck& check) {
  std::ifstream input(file, std::ios::binary);
  if (!input) {
    return {std::nullopt, {{file, 0, "", "cannot be read"}}};
  }
  std::ostringstream text;
  text << input.rdbuf();
  SettingsResult result = ParseSettings(table, file, text.str());
  if (result.settings && check) {
    SettingErrorList errors(file, text.str());
    check(*result.settings, errors);
    result.errors = errors.Take();
    if (!result.errors.empty()) {
      result.settings.reset();
    }
  }
  return result;
}

SettingTable LogSettings() {
  return {{.key = "log.level",
           .type = SettingType::kChoice,
           .default_value = "info",
           .choices = {"debug", "info", "warn", "error"},
           .doc = "Least severe level that is logged."},
          {.key = "log.file",
           .type = SettingType::kString,
           .doc = "Log file; empty: standard error."}};
}

LogInit ReadLogInit(const Settings& settings, const std::string& process) {
  const std::string& name = settings.String("log.level");
  LogInit init;
  init.process = process;
  init.node = settings.String("node");
  init.level = name == "debug"   ? LogLevel::kDebug
               : name == "warn"  ? LogLevel::kWarn
               : name == "error" ? LogLevel::kError
                                 : LogLevel::kInfo;
  init.file = settings.String("log.file");
  return init;
}

std::string DescribeSettings(const SettingTable& table) {
  std::string text;
  for (const SettingSpec& spec : table) {
    const bool has_range = spec.type != SettingType::kBool &&
                           spec.type != SettingType::kChoice &&
                           spec.type != SettingType::kEndpoint;
    const std::string range = spec.type == SettingType::kChoice
                                  ? JoinChoices(spec)
                                  : (has_range ? RangeText(spec) : "");
    text += "| `" + spec.key + "` | " + TypeName(spec.type) + " | " + range +
            " | " +
            (spec.required ? "required" : "`" + spec.default_value + "`") +
            " | " + spec.doc + " |\n";
    for (SettingSpec item : spec.items) {
      item.key = spec.key + "[]." + item.key;
      text += DescribeSettings({item});
    }
  }
  return text;
}

const Settings::Value& Settings::Find(std::string_view key) const {
  const auto found = values_.find(key);
  RING_CHECK(found != values_.end());
  return found->second;
}

int64_t Settings::Int(std::string_view key) const {
  const std::string& text = Find(key).text;
  return text.empty() ? 0 : std::stoll(text);
}

bool Settings::Bool(std::string_view key) const {
  return Find(key).text == "true";
}

const std::string& Settings::String(std::string_view key) const {
  return Find(key).text;
}

Endpoint Settings::Address(std::string_view key) const {
  return Endpoint::Parse(Find(key).text).value_or(Endpoint{});
}

const std::vector<std::string>& Settings::StringList(
    std::string_view key) const {
  return Find(key).list;
}

const std::vector<Settings>& Settings::ObjectList(std::string_view key) const {
  return Find(key).objects;
}

}  // namespace ring
