#include <algorithm>

#include "registrar_p.h"

namespace ring {
namespace {

// Registrations are repeated well within their retention in the ring state
// (600,000 ms).
constexpr int64_t kReregisterMs = 240'000;

}  // namespace

Refusal NotConfirmed(const Outcome<fb::StateResultT>& outcome) {
  return outcome ? Refusal{Reason::kInternal, RunState::kUnknown,
                           "the state group refused the request"}
                 : outcome.refusal();
}

void Registrar::Impl::Announce(const UpstreamInstance& upstream,
                               const StatusCallback& callback) {
  const auto [it, added] =
      upstreams_.try_emplace(upstream.instance, KnownUpstream{upstream});
  KnownUpstream& known = it->second;
  const bool same_start = upstream.born_ms == known.upstream.born_ms;
  // A silent upstream is believed again whatever its sequence number: the one
  // that is known may come from another writer.
  const bool delayed =
      !added && (upstream.born_ms < known.upstream.born_ms ||
                 (same_start && known.heard &&
                  upstream.sequence <= known.upstream.sequence));
  // An incarnation never returns from a departure, so that it counts whenever
  // it arrives.
  const bool departs = same_start && upstream.state > known.upstream.state;
  if (delayed && !departs) {
    return callback(Done{});
  }
  UpstreamInstance latest = upstream;
  if (same_start) {
    latest.state = std::max(upstream.state, known.upstream.state);
  }
  UpstreamInstance comparable = latest;
  comparable.sequence = known.upstream.sequence;
  comparable.cold_left_ms = known.upstream.cold_left_ms;
  const bool changed = added || !known.heard || comparable != known.upstream;
  known.upstream = latest;
  known.last_announced_ms = loop_.now_ms();
  known.heard = true;
  if (changed) {
    Event(LogLevel::kInfo, "upstream_announced")
        .Add("upstream", upstream.instance)
        .Add("service", upstream.service)
        .Add("address", upstream.address.ToString())
        .Add("state", int{static_cast<uint8_t>(latest.state)})
        .Add("born_ms", upstream.born_ms)
        .Add("sequence", upstream.sequence);
    SendToEntries(UpstreamUpdateFrame({&known}, {}, false));
  }
  if (latest.state == UpstreamState::kReady) {
    Register(latest);
    return callback(Done{});
  }
  RecordDeparture(
      {latest.instance, latest.born_ms, latest.state == UpstreamState::kGone},
      callback);
}

// Registrations are kept in the log, so that after a restart of the whole ring
// entries can use upstreams before they have announced themselves again.
void Registrar::Impl::Register(const UpstreamInstance& upstream) {
  int64_t& registered_ms =
      registered_ms_[{upstream.instance, upstream.born_ms}];
  if (registered_ms != 0 && loop_.now_ms() - registered_ms < kReregisterMs) {
    return;
  }
  registered_ms = loop_.now_ms();
  fb::RegisterUpstreamT record;
  record.instance = upstream.instance;
  record.service = upstream.service;
  record.address = upstream.address.ToString();
  record.domain = upstream.domain;
  record.version = upstream.version;
  record.slots = upstream.slots;
  record.born_ms = upstream.born_ms;
  state_->Propose(
      state_codec::EncodeRegister(record), init_.request_timeout_ms,
      [this, key = IncarnationKey(upstream.instance, upstream.born_ms)](
          const Outcome<fb::StateResultT>& outcome) {
        if (!outcome) {
          // The next announcement tries again.
          registered_ms_.erase(key);
        }
      });
}

// A registered upstream counts as heard until its announcements are overdue.
void Registrar::Impl::OnRegistered(const fb::RegisterUpstreamT& record) {
  registered_ms_[{record.instance, record.born_ms}] = loop_.now_ms();
  const auto known = upstreams_.find(record.instance);
  if (known != upstreams_.end() &&
      known->second.upstream.born_ms >= record.born_ms) {
    return;
  }
  UpstreamInstance upstream;
  upstream.instance = record.instance;
  upstream.service = record.service;
  upstream.address = Endpoint::Parse(record.address).value_or(Endpoint{});
  upstream.domain = record.domain;
  upstream.version = record.version;
  upstream.slots = record.slots;
  upstream.born_ms = record.born_ms;
  KnownUpstream& row = upstreams_[record.instance];
  row = {upstream, loop_.now_ms(), true};
  SendToEntries(UpstreamUpdateFrame({&row}, {}, false));
}

void Registrar::Impl::Deregister(const std::string& instance,
                                 std::optional<int64_t> born_ms,
                                 const StatusCallback& callback) {
  const auto found = upstreams_.find(instance);
  int64_t born = born_ms.value_or(0);
  if (!born_ms && found != upstreams_.end()) {
    born = found->second.upstream.born_ms;
  }
  if (found != upstreams_.end() && found->second.upstream.born_ms <= born) {
    found->second.upstream.state = UpstreamState::kGone;
    SendToEntries(UpstreamUpdateFrame({&found->second}, {}, false));
  }
  RecordDeparture({instance, born, true}, callback);
}

bool Registrar::Impl::IsDeparted(const UpstreamDeparture& departure) const {
  const auto known = departures_.find({departure.instance, departure.born_ms});
  return known != departures_.end() && (known->second || !departure.gone);
}

void Registrar::Impl::RecordDeparture(const UpstreamDeparture& departure,
                                      const StatusCallback& callback) {
  if (IsDeparted(departure)) {
    return callback(Done{});
  }
  state_->Propose(state_codec::EncodeDeparture(departure),
                  init_.request_timeout_ms,
                  [callback](const Outcome<fb::StateResultT>& outcome) {
                    if (outcome && outcome->code == fb::StateCode::Done) {
                      callback(Done{});
                    } else {
                      callback(NotConfirmed(outcome));
                    }
                  });
}

void Registrar::Impl::DetectSilentUpstreams() {
  const int64_t limit_ms =
      init_.announce_period_ms * init_.max_missed_announcements;
  std::vector<const KnownUpstream*> silent;
  for (auto& [instance, row] : upstreams_) {
    if (row.heard && loop_.now_ms() - row.last_announced_ms > limit_ms) {
      row.heard = false;
      silent.push_back(&row);
      Event(LogLevel::kInfo, "upstream_silent")
          .Add("upstream", instance)
          .Add("silent_ms", loop_.now_ms() - row.last_announced_ms);
    }
  }
  if (!silent.empty()) {
    SendToEntries(UpstreamUpdateFrame(silent, {}, false));
  }
  std::erase_if(registered_ms_, [&](const auto& item) {
    return loop_.now_ms() - item.second > 2 * kReregisterMs;
  });
  constexpr int64_t kForgetPeriods = 100;
  std::erase_if(upstreams_, [&](const auto& item) {
    return !item.second.heard &&
           loop_.now_ms() - item.second.last_announced_ms >
               init_.announce_period_ms * kForgetPeriods;
  });
}

}  // namespace ring
