#include <algorithm>
#include <optional>

#include <nlohmann/json.hpp>

#include "persimmonring/control.h"

namespace ring {
namespace {

using nlohmann::json;

/// Weights of a model or adapter, configured or reported.
struct Weights {
  std::string name;
  std::string model;                   ///< Base model of an adapter.
  std::optional<std::string> version;  ///< nullopt: not reported.
};

/// Configured or reported state of an engine.
struct EngineState {
  std::vector<Weights> models;
  std::vector<Weights> adapters;
  std::string role;
};

std::string TextField(const json& object, const char* key) {
  const auto it = object.find(key);
  return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

/// @param entry an object, or a plain name
/// @returns nullopt if the entry has no name
std::optional<Weights> ParseWeights(const json& entry) {
  Weights weights;
  if (entry.is_string()) {
    weights.name = entry.get<std::string>();
  } else if (entry.is_object()) {
    weights = {TextField(entry, "name"), TextField(entry, "model"),
               TextField(entry, "version")};
  }
  return weights.name.empty() ? std::nullopt : std::optional(weights);
}

/// Reads an array of objects, an array of names, or an object that maps names
/// to versions.
/// @returns nullopt if the value is malformed
std::optional<std::vector<Weights>> ParseWeightsList(const json& report,
                                                     const char* key) {
  std::vector<Weights> all;
  const json list = report.value(key, json::array());
  if (list.is_object()) {
    for (const auto& [name, version] : list.items()) {
      all.push_back({name, "", TextField(list, name.c_str())});
    }
    return all;
  }
  if (!list.is_array()) {
    return std::nullopt;
  }
  for (const json& entry : list) {
    auto weights = ParseWeights(entry);
    if (!weights) {
      return std::nullopt;
    }
    all.push_back(std::move(*weights));
  }
  return all;
}

std::optional<EngineState> ParseReport(const std::string& text) {
  if (IsNestedTooDeep(text)) {
    return std::nullopt;
  }
  const json report = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!report.is_object()) {
    return std::nullopt;
  }
  auto models = ParseWeightsList(report, "models");
  auto adapters = ParseWeightsList(report, "adapters");
  if (!models || !adapters) {
    return std::nullopt;
  }
  return EngineState{std::move(*models), std::move(*adapters),
                     TextField(report, "role")};
}

const Weights* Find(const std::vector<Weights>& all, const std::string& name) {
  const auto it = std::find_if(
      all.begin(), all.end(), [&](const Weights& w) { return w.name == name; });
  return it == all.end() ? nullptr : &*it;
}

bool AppliesTo(const json& item, const std::string& upstream) {
  const auto it = item.find("upstreams");
  return it == item.end() ||
         std::find(it->begin(), it->end(), upstream) != it->end();
}

/// @returns the configured state of one upstream
EngineState DesiredState(const std::vector<json>& items,
                         const std::string& upstream) {
  EngineState desired;
  for (const json& item : items) {
    if (!AppliesTo(item, upstream)) {
      continue;
    }
    Weights weights{TextField(item, "name"), TextField(item, "model"),
                    TextField(item, "version")};
    const bool is_model = TextField(item, "kind") == "model";
    (is_model ? desired.models : desired.adapters)
        .push_back(std::move(weights));
    if (is_model && desired.role.empty()) {
      desired.role = TextField(item, "role");
    }
  }
  return desired;
}

/// Plans the orders of one upstream.
class UpstreamPlanner {
 public:
  UpstreamPlanner(std::string upstream,
                  uint64_t fence,
                  size_t& remaining_loads,
                  std::vector<PlannedOrder>& orders)
      : upstream_(std::move(upstream)),
        fence_(fence),
        remaining_loads_(remaining_loads),
        orders_(orders) {}

  /// Plans unloads first, because they free memory for the loads.
  void Plan(const EngineState& desired,
            const EngineState& reported,
            bool may_unload) {
    if (may_unload) {
      Unload(desired, reported);
    }
    for (const Weights& model : desired.models) {
      if (NeedsLoad(model, Find(reported.models, model.name))) {
        AddLoad({.action = "load_model",
                 .model = model.name,
                 .version = *model.version});
      }
    }
    for (const Weights& adapter : desired.adapters) {
      // An adapter is loaded only after its model is reported as loaded.
      if (Find(reported.models, adapter.model) != nullptr &&
          NeedsLoad(adapter, Find(reported.adapters, adapter.name))) {
        AddLoad({.action = "load_adapter",
                 .model = adapter.model,
                 .version = *adapter.version,
                 .adapter = adapter.name});
      }
    }
    if (!desired.role.empty() && desired.role != reported.role) {
      Add({.action = "set_role", .role = desired.role});
    }
  }

 private:
  static bool NeedsLoad(const Weights& desired, const Weights* reported) {
    return reported == nullptr ||
           (!desired.version->empty() && reported->version &&
            desired.version != reported->version);
  }

  void Unload(const EngineState& desired, const EngineState& reported) {
    for (const Weights& adapter : reported.adapters) {
      if (Find(desired.adapters, adapter.name) == nullptr) {
        Add({.action = "unload", .adapter = adapter.name});
      }
    }
    for (const Weights& model : reported.models) {
      if (Find(desired.models, model.name) == nullptr) {
        Add({.action = "unload", .model = model.name});
      }
    }
  }

  void AddLoad(PlannedOrder order) {
    if (remaining_loads_ > 0) {
      --remaining_loads_;
      Add(std::move(order));
    }
  }

  void Add(PlannedOrder order) {
    order.upstream = upstream_;
    order.fence = fence_;
    orders_.push_back(std::move(order));
  }

  const std::string upstream_;
  const uint64_t fence_;
  size_t& remaining_loads_;
  std::vector<PlannedOrder>& orders_;
};

}  // namespace

std::vector<PlannedOrder> PlanOrders(
    const std::map<std::string, std::string>& items,
    const std::vector<UpstreamReport>& reports,
    uint64_t fence,
    size_t max_loads) {
  std::vector<json> weights;
  bool may_unload = false;
  for (const auto& [key, text] : items) {
    const json item = json::parse(text, nullptr, /*allow_exceptions=*/false);
    const std::string kind =
        item.is_object() ? TextField(item, "kind") : std::string();
    may_unload = may_unload || kind == "model";
    if (kind == "model" || kind == "adapter") {
      weights.push_back(item);
    }
  }
  std::vector<UpstreamReport> sorted = reports;
  std::sort(sorted.begin(), sorted.end());
  std::vector<PlannedOrder> orders;
  for (const UpstreamReport& report : sorted) {
    if (const auto reported = ParseReport(report.state)) {
      UpstreamPlanner(report.upstream, fence, max_loads, orders)
          .Plan(DesiredState(weights, report.upstream), *reported, may_unload);
    }
  }
  return orders;
}

}  // namespace ring
