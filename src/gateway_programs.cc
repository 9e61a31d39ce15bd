#include "gateway_programs_p.h"

namespace ring {
namespace {

// Longer than the pauses of programs between their requests.
constexpr int64_t kRetentionMs = 30'000;
// A program is recorded again only after this time, so that records_ stays
// short.
constexpr int64_t kRecordIntervalMs = 1'000;
// About 100 bytes each: several times the programs that one entry has open at
// the design load of 11 requests per second.
constexpr size_t kMaxRecords = 4'000;

}  // namespace

void RecentPrograms::Record(const std::string& program, int64_t now_ms) {
  const auto [found, added] = last_ms_.try_emplace(program, now_ms);
  if (!added && now_ms - found->second < kRecordIntervalMs) {
    return;
  }
  found->second = now_ms;
  records_.emplace_back(now_ms, program);
  Forget(now_ms);
}

void RecentPrograms::Forget(int64_t now_ms) {
  while (!records_.empty() &&
         (records_.size() > kMaxRecords ||
          now_ms - records_.front().first > kRetentionMs)) {
    const auto [at_ms, program] = std::move(records_.front());
    records_.pop_front();
    const auto found = last_ms_.find(program);
    if (found != last_ms_.end() && found->second == at_ms) {
      last_ms_.erase(found);
    }
  }
}

}  // namespace ring
