#pragma once

#include <atomic>
#include <map>

#include "entry_calls_p.h"

namespace ring::entry {

/// Periodic duties: cache releases of ended programs, control poll, orders to
/// engines. Each has its own thread, so that an engine that hangs delays
/// neither releases nor configuration.
class Janitor {
 public:
  Janitor(const EntryInit& init,
          const EntryParts& parts,
          RingConfig& config,
          SessionTable& sessions);

  /// Releases caches soon.
  void Kick();
  /// Ends the waits of all duties.
  void WakeAll();
  /// A push may name a new configuration or a new quarantine; both are polled.
  void OnPush();
  Status RunReleases(const StopToken& stop);
  Status RunControl(const StopToken& stop);
  Status RunOrders(const StopToken& stop);

  uint64_t fence() const { return fence_.load(); }
  /// @returns true once the control group has answered a poll
  bool has_polled() const { return has_polled_.load(); }

 private:
  void PollControl();
  void ReleaseCaches();
  void Release(const PendingRelease& release);
  void Reconcile();
  bool HoldsLease();
  /// @returns false if no further order may be sent
  bool SendOrder(const UpstreamRecord& engine, const PlannedOrder& planned);

  const EntryInit& init_;
  const EntryParts& parts_;
  RingConfig& config_;
  SessionTable& sessions_;
  BoundedQueue<int> releases_wake_;
  BoundedQueue<int> control_wake_;
  BoundedQueue<int> orders_wake_;
  std::atomic<bool> has_polled_{false};
  std::atomic<uint64_t> fence_{0};
  // Of the thread that sends orders.
  int64_t lease_until_ms_ = 0;
  int64_t lease_tried_ms_ = INT64_MIN / 2;
  int64_t next_load_ms_ = 0;  ///< Earliest next order that loads weights.
};

}  // namespace ring::entry
