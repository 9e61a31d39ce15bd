#include <algorithm>

#include "persimmonring/policy.h"

namespace ring {

CreditPool::CreditPool(const CreditInit& init) : init_(init) {}

int32_t CreditPool::Request(const std::string& entry,
                            int32_t wanted,
                            int64_t now_ms) {
  Expire(now_ms);
  Lease& lease = leases_[entry];
  lease.wanted = std::max(wanted, 0);
  lease.ends_ms = now_ms + init_.lease_ms;
  const int32_t fair = FairShare();
  const int32_t free = Grantable(entry);
  // FairShare grows beyond an equal part when other entries want less.
  const int32_t goal = std::max(std::min(lease.wanted, fair), init_.floor);
  lease.credits = std::clamp(goal, 0, std::max(free, 0));
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

int32_t CreditPool::Grantable(const std::string& entry) const {
  int32_t others = 0;
  for (const auto& [name, lease] : leases_) {
    others += name == entry ? 0 : lease.credits;
  }
  const auto absent = std::max(
      init_.expected_entries - static_cast<int32_t>(leases_.size()), 0);
  const int32_t usable =
      std::max(init_.limit - absent * init_.floor, std::min(init_.limit, 1));
  return usable - others;
}

// Max-min fairness: entries that want less than an equal part leave the rest to
// the others.
int32_t CreditPool::FairShare() const {
  std::vector<int32_t> wants;
  for (const auto& [name, lease] : leases_) {
    wants.push_back(lease.wanted);
  }
  std::sort(wants.begin(), wants.end());
  int32_t left = init_.limit;
  auto sharing = static_cast<int32_t>(wants.size());
  for (const int32_t want : wants) {
    const int32_t part = left / sharing;
    if (want >= part) {
      return std::max(part, 1);
    }
    left -= want;
    --sharing;
  }
  return init_.limit;
}

void CreditLease::OnGrant(int32_t credits, int64_t asked_ms) {
  credits_ = credits;
  ends_ms_ = asked_ms + init_.lease_ms;
}

int32_t CreditLease::LimitAt(int64_t now_ms) const {
  return now_ms < ends_ms_ ? credits_ : init_.floor;
}

}  // namespace ring
