#include <algorithm>

#include "persimmonring/policy.h"

namespace ring {

CreditPool::CreditPool(const CreditPoolInit& init) : init_(init) {}

int32_t CreditPool::Request(const std::string& entry,
                            int32_t wanted,
                            int64_t now_ms) {
  Expire(now_ms);
  Lease& lease = leases_[entry];
  lease.wanted = std::max(wanted, 0);
  lease.ends_ms = now_ms + init_.lease_ms;
  const int32_t fair = FairShare();
  const int32_t free = FreeCreditsFor(entry);
  // FairShare grows beyond an equal part when other entries demand less.
  const int32_t target = std::max(std::min(lease.wanted, fair), init_.floor);
  lease.credits = std::clamp(target, 0, std::max(free, 0));
  return lease.credits;
}

void CreditPool::Release(const std::string& entry) {
  leases_.erase(entry);
}

int32_t CreditPool::Expire(int64_t now_ms) {
  int32_t returned = 0;
  std::erase_if(leases_, [&](const auto& item) {
    const bool ended = item.second.ends_ms <= now_ms;
    returned += ended ? item.second.credits : 0;
    return ended;
  });
  return returned;
}

int32_t CreditPool::granted() const {
  int32_t sum = 0;
  for (const auto& [entry, lease] : leases_) {
    sum += lease.credits;
  }
  return sum;
}

int32_t CreditPool::FreeCreditsFor(const std::string& entry) const {
  int32_t granted_to_others = 0;
  for (const auto& [name, lease] : leases_) {
    granted_to_others += name == entry ? 0 : lease.credits;
  }
  const auto entries_without_lease = std::max(
      init_.expected_entries - static_cast<int32_t>(leases_.size()), 0);
  const int32_t available =
      std::max(init_.limit - entries_without_lease * init_.floor,
               std::min(init_.limit, 1));
  return available - granted_to_others;
}

// Max-min fairness: entries that demand less than an equal part leave the rest
// to the others.
int32_t CreditPool::FairShare() const {
  std::vector<int32_t> demands;
  for (const auto& [name, lease] : leases_) {
    demands.push_back(lease.wanted);
  }
  std::sort(demands.begin(), demands.end());
  int32_t remaining = init_.limit;
  auto entries_left = static_cast<int32_t>(demands.size());
  for (const int32_t demand : demands) {
    const int32_t equal_part = remaining / entries_left;
    if (demand >= equal_part) {
      return std::max(equal_part, 1);
    }
    remaining -= demand;
    --entries_left;
  }
  return init_.limit;
}

void CreditLease::OnGrant(int32_t credits, int64_t requested_ms) {
  credits_ = credits;
  ends_ms_ = requested_ms + init_.lease_ms;
}

int32_t CreditLease::LimitAt(int64_t now_ms) const {
  return now_ms < ends_ms_ ? credits_ : init_.floor;
}

}  // namespace ring
