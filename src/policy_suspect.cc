#include <algorithm>

#include "persimmonring/policy.h"

namespace ring {

bool SuspectTracker::OnStart(const UpstreamId& upstream,
                             const std::string& digest,
                             int64_t /*now_ms*/) {
  if (in_flight_count_ >= init_.max_in_flight) {
    return false;
  }
  in_flight_[upstream].insert(digest);
  ++in_flight_count_;
  return true;
}

void SuspectTracker::OnEnd(const UpstreamId& upstream,
                           const std::string& digest,
                           bool completed) {
  const auto on_upstream = in_flight_.find(upstream);
  if (on_upstream == in_flight_.end()) {
    return;
  }
  const auto found = on_upstream->second.find(digest);
  if (found == on_upstream->second.end()) {
    return;
  }
  on_upstream->second.erase(found);
  --in_flight_count_;
  if (on_upstream->second.empty()) {
    in_flight_.erase(on_upstream);
  }
  if (completed) {
    suspects_.erase(digest);
  }
}

SuspectTracker::CrashReport SuspectTracker::OnCrash(const UpstreamId& upstream,
                                                    int64_t now_ms) {
  CrashReport report;
  const auto found = in_flight_.find(upstream);
  if (found == in_flight_.end()) {
    return report;
  }
  const std::multiset<std::string> digests = std::move(found->second);
  in_flight_.erase(found);
  in_flight_count_ -= digests.size();
  const bool alone = digests.count(*digests.begin()) == digests.size();
  for (auto it = digests.begin(); it != digests.end();
       it = digests.upper_bound(*it)) {
    AddSuspect(*it, now_ms);
    report.suspects.push_back(*it);
  }
  if (alone && CrashesOf(*digests.begin()) >= 2) {
    report.identified = *digests.begin();
    report.crashes = CrashesOf(report.identified);
  }
  return report;
}

void SuspectTracker::AddSuspect(const std::string& digest, int64_t now_ms) {
  if (suspects_.size() >= init_.max_suspects &&
      suspects_.find(digest) == suspects_.end()) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
          return a.second.since_ms < b.second.since_ms;
        }));
  }
  Suspicion& suspicion = suspects_[digest];
  ++suspicion.crashes;
  suspicion.since_ms = now_ms;
}

bool SuspectTracker::IsSuspect(const std::string& digest,
                               int64_t now_ms) const {
  const auto found = suspects_.find(digest);
  return found != suspects_.end() &&
         now_ms < found->second.since_ms + init_.suspect_ms;
}

int32_t SuspectTracker::CrashesOf(const std::string& digest) const {
  const auto found = suspects_.find(digest);
  return found == suspects_.end() ? 0 : found->second.crashes;
}

void SuspectTracker::Expire(int64_t now_ms) {
  std::erase_if(suspects_, [&](const auto& item) {
    return now_ms >= item.second.since_ms + init_.suspect_ms;
  });
}

LoopDetector::LoopDetector(size_t window, size_t limit)
    : window_(window), limit_(limit) {
  RING_CHECK(window > 0 && limit > 1);
}

bool LoopDetector::OnCall(const std::string& digest) {
  const uint64_t checksum = Checksum(digest);
  recent_.push_back(checksum);
  if (recent_.size() > window_) {
    recent_.pop_front();
  }
  return static_cast<size_t>(
             std::count(recent_.begin(), recent_.end(), checksum)) >= limit_;
}

}  // namespace ring
