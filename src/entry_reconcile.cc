// Orders to engines. Only the entry that holds the lease of a domain sends
// them, with the lease's fence.

#include "entry_maintenance_p.h"

namespace ring::entry {

bool Maintenance::HoldsLease() {
  const int64_t now_ms = deps_.clock->NowMs();
  // Renewed after half of its duration. Once it has ended, nothing is sent.
  const int64_t renew_ms = init_.lease_ms / 2;
  if (lease_until_ms_ - now_ms > renew_ms) {
    return true;
  }
  if (now_ms - lease_tried_ms_ < renew_ms / 2) {
    return now_ms < lease_until_ms_;
  }
  lease_tried_ms_ = now_ms;
  const auto lease =
      deps_.control->AcquireLease(init_.domain, init_.node, init_.lease_ms);
  if (lease) {
    // Counted from before the request, so that it ends here before it ends at
    // the control group.
    lease_until_ms_ = now_ms + lease->duration_ms;
    fence_.store(lease->fence);
  }
  metrics::SetGauge("ring_reconciler_fence", {},
                    static_cast<double>(lease ? lease->fence : 0));
  return deps_.clock->NowMs() < lease_until_ms_;
}

// Each pass reads the state of all engines before it plans orders. An engine
// that does not check fences may have executed an order of a previous lease
// holder; its state shows that, and the pass corrects it.
void Maintenance::Reconcile() {
  if (config_.View()->version == 0 || !HoldsLease()) {
    return;
  }
  std::map<std::string, UpstreamRecord> engines;
  std::vector<UpstreamReport> reports;
  for (const UpstreamRecord& record : deps_.directory->View()->upstreams) {
    const bool eligible = record.kind == UpstreamKind::kEngine &&
                          record.domain == init_.domain &&
                          record.state == MemberState::kUp;
    const auto state = eligible ? deps_.engine->ReadState(record)
                                : Outcome<std::string>(Refusal{});
    if (state) {
      engines[record.id.name] = record;
      reports.push_back({record.id.name, *state});
    }
  }
  // The weight store is rate-limited, so a pass loads at most one engine of the
  // domain.
  const size_t loads = deps_.clock->NowMs() >= next_load_ms_ ? 1 : 0;
  for (const PlannedOrder& order :
       PlanOrders(config_.View()->items, reports, fence_.load(), loads)) {
    if (!SendOrder(engines[order.upstream], order)) {
      return;
    }
  }
}

bool Maintenance::SendOrder(const UpstreamRecord& engine,
                            const PlannedOrder& planned) {
  if (deps_.clock->NowMs() >= lease_until_ms_) {
    return false;
  }
  const auto sent = deps_.engine->Order(
      engine, {planned.fence, planned.action, planned.model, planned.version,
               planned.adapter, planned.role});
  metrics::Count("ring_orders_total",
                 {{"action", planned.action},
                  {"result", ToString(sent.refusal().reason)}});
  if (sent.refusal().reason == Reason::kStaleFence) {
    lease_until_ms_ = 0;  // Another entry holds a later lease.
    return false;
  }
  if (planned.action.starts_with("load")) {
    next_load_ms_ = deps_.clock->NowMs() + init_.weight_pace_ms;
  }
  return true;
}

}  // namespace ring::entry
