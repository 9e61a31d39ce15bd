#include <algorithm>

#include "persimmonring/state.h"

namespace ring {
namespace {

// A crashed upstream needs longer than this to be back and to crash again;
// reports that lie closer together are about one crash.
constexpr int64_t kSameCrashMs = 1'000;
// Repeats of a request follow each other within seconds; a crash that long ago
// says nothing about a request that is sent now.
constexpr int64_t kForgetCrashMs = 600'000;
// A request that crashed several upstreams costs them again after this time.
constexpr int64_t kQuarantineMs = 3'600'000;
// Bounds for crashes of whole domains: what is kept, oldest first out.
constexpr size_t kMaxCrashes = 256;
constexpr size_t kMaxDigests = 64;  // Of one crash: slots and queue.
constexpr size_t kMaxQuarantined = 1'000;

bool IsSameCrash(const UpstreamCrash& a, const UpstreamCrash& b) {
  return a.upstream == b.upstream &&
         std::abs(a.at_ms - b.at_ms) <= kSameCrashMs;
}

}  // namespace

void SuspectBoard::Report(const UpstreamCrash& report) {
  auto crash = std::find_if(
      crashes_.begin(), crashes_.end(),
      [&](const UpstreamCrash& known) { return IsSameCrash(known, report); });
  const bool added = crash == crashes_.end();
  if (!added && crash->digests.empty()) {
    return;  // Explained.
  }
  if (added) {
    crash =
        crashes_.insert(crashes_.end(), {report.upstream, report.at_ms, {}});
  }
  for (const uint64_t digest : report.digests) {
    if (crash->digests.size() < kMaxDigests) {
      crash->digests.insert(digest);
    }
  }
  Quarantine(*crash);
  if (crashes_.size() > kMaxCrashes) {
    crashes_.erase(crashes_.begin());
  }
}

void SuspectBoard::Quarantine(const UpstreamCrash& latest) {
  const std::set<uint64_t> candidates = latest.digests;
  for (const uint64_t digest : candidates) {
    if (crashes(digest) >= kCrashesToQuarantine) {
      int64_t& since_ms = quarantined_[digest];
      since_ms = std::max(since_ms, latest.at_ms);
    }
  }
  // What a quarantined request explains counts against no other one. The crash
  // itself stays, for reports of it that are still on their way.
  for (UpstreamCrash& crash : crashes_) {
    if (std::any_of(crash.digests.begin(), crash.digests.end(),
                    [this](uint64_t digest) {
                      return quarantined_.contains(digest);
                    })) {
      crash.digests.clear();
    }
  }
  if (quarantined_.size() > kMaxQuarantined) {
    quarantined_.erase(std::min_element(
        quarantined_.begin(), quarantined_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

bool SuspectBoard::Clear(uint64_t digest) {
  bool changed = quarantined_.erase(digest) > 0;
  for (UpstreamCrash& crash : crashes_) {
    changed = crash.digests.erase(digest) > 0 || changed;
  }
  return changed;
}

void SuspectBoard::Expire(int64_t now_ms) {
  std::erase_if(crashes_, [now_ms](const UpstreamCrash& crash) {
    return crash.at_ms + kForgetCrashMs < now_ms;
  });
  std::erase_if(quarantined_, [now_ms](const auto& item) {
    return item.second + kQuarantineMs < now_ms;
  });
}

int32_t SuspectBoard::crashes(uint64_t digest) const {
  if (quarantined_.contains(digest)) {
    return kCrashesToQuarantine;
  }
  return static_cast<int32_t>(std::count_if(
      crashes_.begin(), crashes_.end(), [digest](const UpstreamCrash& crash) {
        return crash.digests.contains(digest);
      }));
}

std::vector<SuspectedRequest> SuspectBoard::List() const {
  std::map<uint64_t, int32_t> counts;
  for (const UpstreamCrash& crash : crashes_) {
    for (const uint64_t digest : crash.digests) {
      ++counts[digest];
    }
  }
  for (const auto& [digest, since_ms] : quarantined_) {
    counts[digest] = kCrashesToQuarantine;
  }
  std::vector<SuspectedRequest> list;
  for (const auto& [digest, crashes] : counts) {
    if (crashes > 1) {
      list.push_back({digest, crashes});
    }
  }
  return list;
}

}  // namespace ring
