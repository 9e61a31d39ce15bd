#include "entry_config_p.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace ring::entry {

using nlohmann::json;

namespace {

json FindItem(const ControlView& view,
              const std::string& kind,
              const std::string& name) {
  const auto found = view.items.find(kind + "/" + name);
  if (found == view.items.end()) {
    return json::object();
  }
  json item = json::parse(found->second, nullptr, false);
  return item.is_object() ? item : json::object();
}

}  // namespace

bool RingConfig::Update(const ControlView& view) {
  std::lock_guard lock(mutex_);
  auto next = std::make_shared<ControlView>(*view_);
  const bool changed = MergeControlView(*next, view);
  quarantined_.insert(view.quarantined.begin(), view.quarantined.end());
  if (changed) {
    view_ = std::move(next);
  }
  return changed;
}

std::shared_ptr<const ControlView> RingConfig::View() const {
  std::lock_guard lock(mutex_);
  return view_;
}

bool RingConfig::HasItem(const std::string& kind,
                         const std::string& name) const {
  return View()->items.contains(kind + "/" + name);
}

bool RingConfig::Allows(const std::string& kind,
                        const std::string& name) const {
  const auto view = View();
  const std::string prefix = kind + "/";
  const auto first = view->items.lower_bound(prefix);
  const bool any =
      first != view->items.end() && first->first.starts_with(prefix);
  return !any || view->items.contains(prefix + name);
}

bool RingConfig::Flag(const std::string& kind,
                      const std::string& name,
                      const char* field,
                      bool fallback) const {
  const json item = FindItem(*View(), kind, name);
  const auto found = item.find(field);
  return found != item.end() && found->is_boolean() ? found->get<bool>()
                                                    : fallback;
}

int64_t RingConfig::Number(const std::string& kind,
                           const std::string& name,
                           const char* field,
                           int64_t fallback) const {
  const json item = FindItem(*View(), kind, name);
  const auto found = item.find(field);
  return found != item.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : fallback;
}

void RingConfig::AddQuarantined(const std::string& digest) {
  std::lock_guard lock(mutex_);
  quarantined_.insert(digest);
}

bool RingConfig::IsQuarantined(const std::string& digest) const {
  std::lock_guard lock(mutex_);
  return quarantined_.contains(digest);
}

}  // namespace ring::entry
