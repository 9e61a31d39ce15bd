#include <algorithm>

#include "persimmonring/state.h"

namespace ring {
namespace {

// A request that is not reported for this time is forgotten; callers repeat
// theirs within seconds.
constexpr int64_t kForgetMs = 120'000;
// Requests that are remembered; the one reported longest ago goes first.
constexpr size_t kMaxRequests = 1'000;

}  // namespace

bool SuspectBoard::Report(uint64_t digest, uint32_t upstream, int64_t now_ms) {
  Record& record = records_[digest];
  record.reported_ms = now_ms;
  const bool added = record.upstreams.insert(upstream).second;
  if (records_.size() > kMaxRequests) {
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.reported_ms < b.second.reported_ms;
        }));
  }
  return added;
}

bool SuspectBoard::Expire(int64_t now_ms) {
  return std::erase_if(records_, [now_ms](const auto& item) {
           return item.second.reported_ms + kForgetMs < now_ms;
         }) > 0;
}

std::vector<SuspectedRequest> SuspectBoard::List() const {
  std::vector<SuspectedRequest> list;
  for (const auto& [digest, record] : records_) {
    list.push_back({digest, static_cast<int32_t>(record.upstreams.size())});
  }
  return list;
}

}  // namespace ring
