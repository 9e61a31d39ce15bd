#pragma once

#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "persimmonring/control.h"

namespace ring::entry {

/// Configuration in force at this entry: the latest ControlView that was
/// polled. Thread-safe.
class RingConfig {
 public:
  /// Replaces the view unless that would lower a version.
  /// @returns true if something changed
  bool Update(const ControlView& view);
  std::shared_ptr<const ControlView> View() const;

  bool HasItem(const std::string& kind, const std::string& name) const;
  /// @returns true if no item of this kind exists or this one does
  bool Allows(const std::string& kind, const std::string& name) const;
  /// @returns the field of an item, or the fallback
  bool Flag(const std::string& kind,
            const std::string& name,
            const char* field,
            bool fallback) const;
  int64_t Number(const std::string& kind,
                 const std::string& name,
                 const char* field,
                 int64_t fallback) const;

  /// Quarantine known here, including digests not yet polled back.
  void AddQuarantined(const std::string& digest);
  bool IsQuarantined(const std::string& digest) const;

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const ControlView> view_ = std::make_shared<ControlView>();
  std::set<std::string> quarantined_;
};

}  // namespace ring::entry
