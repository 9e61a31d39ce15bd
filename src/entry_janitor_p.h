#pragma once

#include <atomic>
#include <map>

#include "entry_calls_p.h"

namespace ring::entry {

/// Periodic duties: cache releases of ended programs, control poll,
/// reconciler. Runs on its own thread.
class Janitor {
 public:
  Janitor(const EntryInit& init,
          const EntryParts& parts,
          RingConfig& config,
          SessionTable& sessions);

  /// Runs a pass soon.
  void Kick();
  void OnPush(uint64_t version);
  Status Run(const StopToken& stop);
  /// One pass.
  void Step();

  uint64_t fence() const { return fence_.load(); }

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
  BoundedRing<int> wake_;
  std::atomic<uint64_t> fence_{0};
  int64_t lease_until_ms_ = 0;
  int64_t lease_tried_ms_ = INT64_MIN / 2;
  int64_t next_load_ms_ = 0;  ///< Earliest next order that loads weights.
};

}  // namespace ring::entry
