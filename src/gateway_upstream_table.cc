#include <algorithm>

#include "persimmonring/gateway.h"

namespace ring {

std::vector<UpstreamTable::Report> UpstreamTable::Merge(
    const std::string& keeper,
    bool whole,
    const std::vector<Report>& reports) {
  if (whole) {
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
  const UpstreamInstance& news = report.upstream;
  auto [it, added] = entries_.try_emplace(news.instance, Entry{news, {}});
  Entry& entry = it->second;
  const auto before = entry.usable();
  if (!added) {
    if (news.born_ms < entry.upstream.born_ms) {
      return false;
    }
    const bool reborn = news.born_ms > entry.upstream.born_ms;
    if (reborn) {
      entry = {news, {}};
    } else {
      const UpstreamState state = std::max(entry.upstream.state, news.state);
      if (news.sequence > entry.upstream.sequence) {
        entry.upstream = news;
      }
      entry.upstream.state = state;
    }
  }
  if (report.heard) {
    entry.heard_by.insert(keeper);
  } else {
    entry.heard_by.erase(keeper);
  }
  const auto departed =
      departures_.find({news.instance, entry.upstream.born_ms});
  if (departed != departures_.end()) {
    entry.upstream.state = std::max(
        entry.upstream.state,
        departed->second ? UpstreamState::kGone : UpstreamState::kDraining);
  }
  if (entry.upstream.state == UpstreamState::kReady) {
    ResolveAddress(entry.upstream);
  }
  return added || entry.usable() != before;
}

void UpstreamTable::ResolveAddress(const UpstreamInstance& newest) {
  for (auto& [instance, entry] : entries_) {
    if (instance != newest.instance &&
        entry.upstream.address == newest.address &&
        entry.upstream.born_ms < newest.born_ms) {
      entry.upstream.state = UpstreamState::kGone;
    }
  }
}

void UpstreamTable::Depart(const UpstreamDeparture& departure) {
  bool& gone = departures_[{departure.instance, departure.born_ms}];
  gone = gone || departure.gone;
  const auto it = entries_.find(departure.instance);
  if (it != entries_.end() &&
      it->second.upstream.born_ms <= departure.born_ms) {
    it->second.upstream.state =
        std::max(it->second.upstream.state,
                 gone ? UpstreamState::kGone : UpstreamState::kDraining);
  }
}

void UpstreamTable::ForgetKeeper(const std::string& keeper) {
  for (auto& [instance, entry] : entries_) {
    entry.heard_by.erase(keeper);
  }
}

std::vector<const UpstreamInstance*> UpstreamTable::Ready(
    const std::string& service) const {
  std::vector<const UpstreamInstance*> ready;
  for (const auto& [instance, entry] : entries_) {
    if (entry.upstream.service == service && !entry.heard_by.empty() &&
        entry.upstream.state == UpstreamState::kReady) {
      ready.push_back(&entry.upstream);
    }
  }
  std::sort(ready.begin(), ready.end(), [](const auto* a, const auto* b) {
    return a->instance < b->instance;
  });
  return ready;
}

const UpstreamInstance* UpstreamTable::Find(const std::string& instance) const {
  const auto it = entries_.find(instance);
  return it == entries_.end() ? nullptr : &it->second.upstream;
}

void UpstreamTable::Prune() {
  std::erase_if(entries_, [](const auto& item) {
    return item.second.upstream.state == UpstreamState::kGone &&
           item.second.heard_by.empty();
  });
}

}  // namespace ring
