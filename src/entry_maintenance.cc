#include "entry_maintenance_p.h"

#include <algorithm>

namespace ring::entry {

Maintenance::Maintenance(const EntryInit& init,
                         const EntryDependencies& deps,
                         RingConfig& config,
                         SessionTable& sessions)
    : init_(init),
      deps_(deps),
      config_(config),
      sessions_(sessions),
      releases_wake_(1),
      control_wake_(1),
      orders_wake_(1) {}

void Maintenance::ReleaseSoon() {
  releases_wake_.TryPush(1);
}

void Maintenance::WakeAll() {
  ReleaseSoon();
  control_wake_.TryPush(1);
  orders_wake_.TryPush(1);
}

void Maintenance::OnControlPush() {
  control_wake_.TryPush(1);
}

Status Maintenance::RunReleases(const StopToken& stop) {
  while (!stop.stopped()) {
    ReleaseCaches();
    sessions_.Evict(init_.call_limits.default_idle_ms);
    releases_wake_.Pop(init_.janitor_period_ms);
  }
  return Done{};
}

Status Maintenance::RunControl(const StopToken& stop) {
  while (!stop.stopped()) {
    PollControl();
    control_wake_.Pop(init_.janitor_period_ms);
  }
  return Done{};
}

Status Maintenance::RunOrders(const StopToken& stop) {
  while (!stop.stopped()) {
    Reconcile();
    orders_wake_.Pop(init_.janitor_period_ms);
  }
  return Done{};
}

void Maintenance::PollControl() {
  const auto have = config_.View();
  const auto view =
      deps_.control->Poll(init_.node, have->version, have->quarantine_version);
  if (!view) {
    metrics::Count("ring_control_poll_failures_total",
                   {{"reason", ToString(view.refusal().reason)}});
    return;
  }
  has_polled_.store(true);
  if (config_.Update(*view)) {
    const auto now = config_.View();
    metrics::SetGauge("ring_control_version", {},
                      static_cast<double>(now->version));
    Event(LogLevel::kInfo, "control_version")
        .Add("version", now->version)
        .Add("quarantine_version", now->quarantine_version);
  }
}

void Maintenance::ReleaseCaches() {
  // Large enough that releases on an engine that is down, which stay pending,
  // do not fill a pass and block the releases on other engines.
  constexpr size_t kReleasesPerPass = 1'024;
  const auto available = sessions_.breaker().Check(init_.domain);
  if (!available) {
    return;
  }
  const auto pending =
      deps_.programs->PendingReleases(init_.domain, kReleasesPerPass);
  sessions_.breaker().Report(init_.domain, pending.refusal().reason);
  if (!pending) {
    return;
  }
  metrics::SetGauge("ring_pending_releases", {},
                    static_cast<double>(pending->size()));
  for (const PendingRelease& release : *pending) {
    Release(release);
  }
}

void Maintenance::Release(const PendingRelease& release) {
  const auto directory = deps_.directory->View();
  const auto found =
      std::find_if(directory->upstreams.begin(), directory->upstreams.end(),
                   [&](const UpstreamRecord& record) {
                     return record.id.name == release.upstream.name;
                   });
  // An unknown upstream may merely not have announced itself to this entry yet,
  // so its cache counts as gone only after kUnknownUpstreamGoneMs. The cache of
  // a known upstream is gone once a later incarnation is known.
  constexpr int64_t kUnknownUpstreamGoneMs = 60'000;
  const bool known = found != directory->upstreams.end();
  const bool gone = known ? found->id.incarnation > release.upstream.incarnation
                          : deps_.clock->WallMs() - release.ended_wall_ms >
                                kUnknownUpstreamGoneMs;
  bool released = gone;
  if (!gone && known && found->id == release.upstream &&
      found->state != MemberState::kDown) {
    released = deps_.engine->ReleaseCache(*found, release.program.text()).ok();
  }
  if (!released) {
    metrics::Count("ring_release_failures_total");
    return;
  }
  if (deps_.programs->ConfirmRelease(release.program, release.upstream)) {
    metrics::Count("ring_releases_total",
                   {{"how", gone ? "incarnation_gone" : "acknowledged"}});
  }
}

}  // namespace ring::entry
