#pragma once

#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "persimmonring/control.h"

namespace ring::entry {

/// Configuration that this entry applies: the latest ControlView it has polled.
/// Thread-safe.
class RingConfig {
 public:
  /// Merges a polled view. A version is never replaced by a lower one.
  /// @returns true if something changed
  bool Update(const ControlView& view);
  std::shared_ptr<const ControlView> View() const;

  bool HasItem(const std::string& kind, const std::string& name) const;
  /// @returns true if this item exists, or if no item of its kind is configured
  bool Allows(const std::string& kind, const std::string& name) const;
  /// @returns a field of an item, or `fallback` if the item or the field is
  ///          missing or the field has another type
  bool Flag(const std::string& kind,
            const std::string& name,
            const char* field,
            bool fallback) const;
  int64_t Number(const std::string& kind,
                 const std::string& name,
                 const char* field,
                 int64_t fallback) const;

  /// Quarantined digests known here, including those that this entry added and
  /// has not polled yet.
  void AddQuarantined(const std::string& digest);
  bool IsQuarantined(const std::string& digest) const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ControlView> view_ = std::make_shared<ControlView>();
  std::set<std::string> quarantined_;
};

}  // namespace ring::entry
