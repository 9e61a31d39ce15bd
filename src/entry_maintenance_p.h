#pragma once

#include <atomic>
#include <map>

#include "entry_calls_p.h"

namespace ring::entry {

/// Periodic maintenance: releases caches of ended programs, polls the control
/// group and sends orders to engines. Each has its own thread, so that an
/// engine that does not answer orders delays neither releases nor
/// configuration.
class Maintenance {
 public:
  Maintenance(const EntryInit& init,
              const EntryDependencies& deps,
              RingConfig& config,
              SessionTable& sessions);

  /// Starts the next pass of cache releases at once.
  void ReleaseSoon();
  /// Wakes all threads.
  void WakeAll();
  /// Polls the control group at once. A push may announce a new configuration
  /// or a new quarantine; the poll returns both.
  void OnControlPush();
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
  /// @returns false if the lease is lost and no further order may be sent
  bool SendOrder(const UpstreamRecord& engine, const PlannedOrder& planned);

  const EntryInit& init_;
  const EntryDependencies& deps_;
  RingConfig& config_;
  SessionTable& sessions_;
  BoundedQueue<int> releases_wake_;
  BoundedQueue<int> control_wake_;
  BoundedQueue<int> orders_wake_;
  std::atomic<bool> has_polled_{false};
  std::atomic<uint64_t> fence_{0};
  // Used only by the thread that sends orders.
  int64_t lease_until_ms_ = 0;
  int64_t lease_tried_ms_ = INT64_MIN / 2;
  int64_t next_load_ms_ = 0;  ///< Earliest time of the next load order.
};

}  // namespace ring::entry
