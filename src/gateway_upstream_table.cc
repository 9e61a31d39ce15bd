#include <algorithm>

#include "persimmonring/gateway.h"

namespace ring {
namespace {

// A leaving upstream is used for this time if the service has no other; well
// below the shortest time for which upstreams keep serving (2.5 s).
constexpr int64_t kLastResortMs = 1'000;
// Upstreams exit some seconds after they have announced that they are leaving,
// but keepers that lag may still report them for as long as they are cut off.
constexpr int64_t kLeavingRetentionMs = 3'600'000;

}  // namespace

std::vector<UpstreamTable::Report> UpstreamTable::Merge(
    const std::string& keeper,
    bool complete,
    const std::vector<Report>& reports) {
  if (complete) {
    ForgetKeeper(keeper);
  }
  std::vector<Report> changes;
  for (const Report& report : reports) {
    if (MergeOne(keeper, report)) {
      changes.push_back(report);
    }
  }
  return changes;
}

bool UpstreamTable::MergeOne(const std::string& keeper, const Report& report) {
  const UpstreamInstance& incoming = report.upstream;
  auto [it, added] = rows_.try_emplace(incoming.instance, Row{incoming, {}});
  Row& row = it->second;
  const auto before = row.placement_key();
  if (!added) {
    if (incoming.born_ms < row.upstream.born_ms) {
      return false;
    }
    const bool reborn = incoming.born_ms > row.upstream.born_ms;
    if (reborn) {
      row = {incoming, {}};
    } else {
      const UpstreamState state = std::max(row.upstream.state, incoming.state);
      if (incoming.sequence > row.upstream.sequence) {
        row.upstream = incoming;
      }
      row.upstream.state = state;
    }
  }
  if (report.heard) {
    row.heard_by.insert(keeper);
  } else {
    row.heard_by.erase(keeper);
  }
  const auto departed =
      departures_.find({incoming.instance, row.upstream.born_ms});
  if (departed != departures_.end()) {
    row.upstream.state = std::max(
        row.upstream.state,
        departed->second ? UpstreamState::kGone : UpstreamState::kDraining);
  }
  if (leaving_ms_.contains({incoming.instance, row.upstream.born_ms})) {
    row.upstream.state = std::max(row.upstream.state, UpstreamState::kDraining);
  }
  if (row.upstream.state == UpstreamState::kReady) {
    RetireOlderAtAddress(row.upstream);
  }
  return added || row.placement_key() != before;
}

void UpstreamTable::RetireOlderAtAddress(const UpstreamInstance& newest) {
  for (auto& [instance, row] : rows_) {
    if (instance != newest.instance && row.upstream.address == newest.address &&
        row.upstream.born_ms < newest.born_ms) {
      row.upstream.state = UpstreamState::kGone;
    }
  }
}

void UpstreamTable::RecordDeparture(const UpstreamDeparture& departure) {
  bool& gone = departures_[{departure.instance, departure.born_ms}];
  gone = gone || departure.gone;
  const auto it = rows_.find(departure.instance);
  if (it != rows_.end() && it->second.upstream.born_ms <= departure.born_ms) {
    it->second.upstream.state =
        std::max(it->second.upstream.state,
                 gone ? UpstreamState::kGone : UpstreamState::kDraining);
  }
}

bool UpstreamTable::MarkLeaving(const UpstreamInstance& upstream,
                                int64_t now_ms) {
  const bool added =
      leaving_ms_.try_emplace({upstream.instance, upstream.born_ms}, now_ms)
          .second;
  const auto it = rows_.find(upstream.instance);
  if (it != rows_.end() && it->second.upstream.born_ms == upstream.born_ms) {
    it->second.upstream.state =
        std::max(it->second.upstream.state, UpstreamState::kDraining);
  }
  return added;
}

void UpstreamTable::ForgetKeeper(const std::string& keeper) {
  for (auto& [instance, row] : rows_) {
    row.heard_by.erase(keeper);
  }
}

std::vector<const UpstreamInstance*> UpstreamTable::Ready(
    const std::string& service,
    int64_t now_ms) const {
  std::vector<const UpstreamInstance*> ready;
  std::vector<const UpstreamInstance*> last_resort;
  for (const auto& [instance, row] : rows_) {
    const UpstreamInstance& upstream = row.upstream;
    if (upstream.service != service || row.heard_by.empty()) {
      continue;
    }
    if (upstream.state == UpstreamState::kReady) {
      ready.push_back(&upstream);
    } else if (upstream.state == UpstreamState::kDraining &&
               !departed(upstream)) {
      const auto left = leaving_ms_.find({instance, upstream.born_ms});
      if (left != leaving_ms_.end() && now_ms - left->second <= kLastResortMs) {
        last_resort.push_back(&upstream);
      }
    }
  }
  if (ready.empty()) {
    ready = std::move(last_resort);
  }
  std::sort(ready.begin(), ready.end(), [](const auto* a, const auto* b) {
    return a->instance < b->instance;
  });
  return ready;
}

std::map<std::string, std::vector<const UpstreamInstance*>>
UpstreamTable::ReadyByService() const {
  std::map<std::string, std::vector<const UpstreamInstance*>> ready;
  for (const auto& [instance, row] : rows_) {
    if (!row.heard_by.empty() && row.upstream.state == UpstreamState::kReady) {
      ready[row.upstream.service].push_back(&row.upstream);
    }
  }
  return ready;
}

const UpstreamInstance* UpstreamTable::Find(const std::string& instance) const {
  const auto it = rows_.find(instance);
  return it == rows_.end() ? nullptr : &it->second.upstream;
}

bool UpstreamTable::KnowsAddress(const Endpoint& address) const {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
    return item.second.upstream.address == address &&
           item.second.upstream.state != UpstreamState::kGone;
  });
}

void UpstreamTable::Prune(int64_t now_ms) {
  std::erase_if(leaving_ms_, [now_ms](const auto& item) {
    return item.second + kLeavingRetentionMs < now_ms;
  });
  std::erase_if(rows_, [](const auto& item) {
    return item.second.upstream.state == UpstreamState::kGone &&
           item.second.heard_by.empty();
  });
}

}  // namespace ring
