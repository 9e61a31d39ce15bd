#include <algorithm>

#include "persimmonring/state.h"

namespace ring {
namespace {

// Callers resend a request within seconds, so an older crash is no evidence
// against a request that is sent now.
constexpr int64_t kCrashRetentionMs = 600'000;
// After this time a quarantined request is run again and may crash upstreams
// again.
constexpr int64_t kQuarantineMs = 3'600'000;
// Bounds the memory when whole domains crash. The oldest items are dropped.
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxRequestsPerCrash = 64;  // Covers slots and queue.
constexpr size_t kMaxQuarantined = 1'000;

bool IsSameCrash(const UpstreamCrash& a, const UpstreamCrash& b) {
  return a.upstream == b.upstream &&
         std::abs(a.at_ms - b.at_ms) <= kCrashMergeWindowMs;
}

// Counts the crashes of one request. A crash counts only if the request was
// sent after the previous one that counted.
struct CrashCounter {
  int32_t crashes = 0;
  int64_t last_ms = INT64_MIN;

  void Add(int64_t at_ms, int64_t sent_ms) {
    if (sent_ms >= last_ms) {
      last_ms = at_ms;
      ++crashes;
    }
  }
};

}  // namespace

void CrashTracker::Report(const UpstreamCrash& report) {
  auto crash = std::find_if(
      crashes_.begin(), crashes_.end(),
      [&](const UpstreamCrash& known) { return IsSameCrash(known, report); });
  const bool added = crash == crashes_.end();
  if (!added && crash->requests.empty()) {
    return;  // Already attributed to a quarantined request.
  }
  if (added) {
    const auto later = std::find_if(
        crashes_.begin(), crashes_.end(),
        [&](const UpstreamCrash& known) { return known.at_ms > report.at_ms; });
    crash = crashes_.insert(later, {report.upstream, report.at_ms, {}});
  }
  for (const auto& [digest, sent_ms] : report.requests) {
    if (crash->requests.size() < kMaxRequestsPerCrash) {
      int64_t& latest_ms =
          crash->requests.try_emplace(digest, sent_ms).first->second;
      latest_ms = std::max(latest_ms, sent_ms);
    }
  }
  Quarantine(*crash);
  if (crashes_.size() > kMaxCrashes) {
    crashes_.erase(crashes_.begin());
  }
}

void CrashTracker::Quarantine(const UpstreamCrash& latest) {
  for (const auto& [digest, sent_ms] : latest.requests) {
    if (crashes(digest) >= kCrashesToQuarantine) {
      int64_t& since_ms = quarantined_[digest];
      since_ms = std::max(since_ms, latest.at_ms);
    }
  }
  // A crash that a quarantined request explains no longer counts against other
  // requests. The empty crash stays, so that late reports are merged into it.
  for (UpstreamCrash& crash : crashes_) {
    if (std::any_of(crash.requests.begin(), crash.requests.end(),
                    [this](const auto& item) {
                      return quarantined_.contains(item.first);
                    })) {
      crash.requests.clear();
    }
  }
  if (quarantined_.size() > kMaxQuarantined) {
    quarantined_.erase(std::min_element(
        quarantined_.begin(), quarantined_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

bool CrashTracker::Clear(uint64_t digest) {
  bool changed = quarantined_.erase(digest) > 0;
  std::erase_if(crashes_, [&](UpstreamCrash& crash) {
    const bool was_in_flight = crash.requests.erase(digest) > 0;
    changed = changed || was_in_flight;
    return was_in_flight && crash.requests.empty();
  });
  return changed;
}

void CrashTracker::Expire(int64_t now_ms) {
  std::erase_if(crashes_, [now_ms](const UpstreamCrash& crash) {
    return crash.at_ms + kCrashRetentionMs < now_ms;
  });
  std::erase_if(quarantined_, [now_ms](const auto& item) {
    return item.second + kQuarantineMs < now_ms;
  });
}

int32_t CrashTracker::crashes(
    uint64_t digest,
    const std::vector<UpstreamCrash>& unconfirmed) const {
  if (quarantined_.contains(digest)) {
    return kCrashesToQuarantine;
  }
  CrashCounter count;
  const auto add = [&](const UpstreamCrash& crash) {
    const auto request = crash.requests.find(digest);
    if (request != crash.requests.end()) {
      count.Add(crash.at_ms, request->second);
    }
  };
  std::for_each(crashes_.begin(), crashes_.end(), add);
  std::for_each(unconfirmed.begin(), unconfirmed.end(), add);
  return count.crashes;
}

std::vector<SuspectedRequest> CrashTracker::List() const {
  std::map<uint64_t, CrashCounter> counts;
  for (const UpstreamCrash& crash : crashes_) {
    for (const auto& [digest, sent_ms] : crash.requests) {
      counts[digest].Add(crash.at_ms, sent_ms);
    }
  }
  for (const auto& [digest, since_ms] : quarantined_) {
    counts[digest].crashes = kCrashesToQuarantine;
  }
  std::vector<SuspectedRequest> list;
  for (const auto& [digest, count] : counts) {
    if (count.crashes > 1) {
      list.push_back({digest, count.crashes});
    }
  }
  return list;
}

}  // namespace ring
