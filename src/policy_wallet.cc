#include <algorithm>

#include "persimmonring/policy.h"

namespace ring {
namespace {

// An entry keeps grants for as many requests as it sent in this time.
constexpr int64_t kPrefetchMs = 300;
// After its last request, an entry keeps one grant for this time. Longer, the
// grants of a team that reaches many entries would lie idle at all of them.
constexpr int64_t kKeepOneMs = 600;
// After a denial, an entry keeps no grants in advance for this time: they would
// be missing where requests wait.
constexpr int64_t kScarceMs = 2'000;
constexpr int64_t kActiveMs = 2'000;
constexpr int64_t kRetentionMs = 10'000;
// More requests within kPrefetchMs are not prefetched for.
constexpr size_t kMaxRecent = 1'000;

}  // namespace

QuotaWallet::Decision QuotaWallet::Spend(const std::string& team,
                                         bool starts_program,
                                         int64_t now_ms) {
  Account& account = accounts_[team];
  account.asked_ms = now_ms;
  if (now_ms >= account.expires_ms) {
    account.grants = account.starts = 0;
  }
  if (account.grants == 0 && now_ms < account.denied_until_ms) {
    return {Result::kDenied, account.denied_until_ms - now_ms};
  }
  if (starts_program && account.starts == 0 &&
      now_ms < account.start_denied_until_ms) {
    return {Result::kDenied, account.start_denied_until_ms - now_ms};
  }
  if (account.grants == 0 || (starts_program && account.starts == 0)) {
    return {Result::kWait};
  }
  --account.grants;
  ++account.used;
  if (starts_program) {
    --account.starts;
    ++account.used_starts;
  }
  account.starts = std::min(account.starts, account.grants);
  account.settled = false;
  account.used_ms = now_ms;
  account.recent.emplace_back(now_ms, starts_program);
  if (account.recent.size() > kMaxRecent) {
    account.recent.pop_front();
  }
  return {};
}

void QuotaWallet::Return(const std::string& team,
                         bool starts_program,
                         int64_t now_ms) {
  const auto found = accounts_.find(team);
  if (found == accounts_.end() ||
      found->second.used == found->second.reported_used) {
    return;
  }
  Account& account = found->second;
  --account.used;
  if (starts_program && account.used_starts > 0) {
    --account.used_starts;
  }
  // An expired grant is not held any more.
  if (now_ms < account.expires_ms) {
    ++account.grants;
    account.starts += starts_program ? 1 : 0;
  }
}

std::vector<QuotaRequest> QuotaWallet::Collect(
    const std::map<std::string, std::pair<uint32_t, uint32_t>>& waiting,
    const std::map<std::string, TeamQuota>& quotas,
    uint64_t version,
    int64_t now_ms) {
  for (const auto& [team, counts] : waiting) {
    accounts_[team].asked_ms = now_ms;
  }
  std::erase_if(accounts_, [&](const auto& item) {
    return !quotas.contains(item.first) ||
           (item.second.settled &&
            item.second.asked_ms + kRetentionMs < now_ms);
  });
  std::vector<QuotaRequest> requests;
  for (auto& [team, account] : accounts_) {
    while (!account.recent.empty() &&
           account.recent.front().first + kPrefetchMs < now_ms) {
      account.recent.pop_front();
    }
    const auto found = waiting.find(team);
    const auto [waits, waiting_starts] = found == waiting.end()
                                             ? std::pair<uint32_t, uint32_t>()
                                             : found->second;
    const bool scarce =
        std::max(account.denied_until_ms, account.start_denied_until_ms) +
            kScarceMs >
        now_ms;
    auto target = scarce ? 0 : static_cast<uint32_t>(account.recent.size());
    if (target == 0 && !scarce && account.used > 0 &&
        account.used_ms + kKeepOneMs > now_ms) {
      target = 1;
    }
    target += waits;
    const uint32_t target_starts =
        waiting_starts +
        (scarce ? 0
                : static_cast<uint32_t>(std::count_if(
                      account.recent.begin(), account.recent.end(),
                      [](const auto& item) { return item.second; })));
    if (now_ms >= account.expires_ms) {
      account.grants = account.starts = 0;
    }
    account.grants = std::min(account.grants, target);
    account.starts = std::min({account.starts, account.grants, target_starts});
    const bool idle = account.asked_ms + kActiveMs < now_ms;
    if (account.settled && idle) {
      continue;
    }
    QuotaRequest request{.team = team,
                         .quota = quotas.at(team),
                         .version = version,
                         .used = account.used,
                         .used_starts = account.used_starts,
                         .held = account.grants};
    if (now_ms >= account.denied_until_ms) {
      request.wanted = target - account.grants;
      if (now_ms >= account.start_denied_until_ms) {
        // Grants that are held may start no program, however many there are.
        request.wanted_starts = target_starts - account.starts;
        request.wanted = std::max(request.wanted, request.wanted_starts);
      } else {
        // Grants for starts that are denied would lie idle.
        request.wanted -=
            std::min(target_starts - account.starts, request.wanted);
      }
    }
    account.reported_used = account.used;
    requests.push_back(std::move(request));
  }
  return requests;
}

void QuotaWallet::OnGrants(const std::vector<QuotaGrant>& grants,
                           int64_t grant_ms,
                           int64_t asked_ms) {
  for (const QuotaGrant& grant : grants) {
    const auto found = accounts_.find(grant.team);
    if (found == accounts_.end()) {
      continue;
    }
    Account& account = found->second;
    account.settled = account.grants == 0 && grant.grants == 0 &&
                      account.used == account.reported_used;
    account.grants += grant.grants;
    account.starts = std::min(account.starts + grant.starts, account.grants);
    account.expires_ms = asked_ms + grant_ms;
    // Nothing was asked for while an earlier denial holds.
    if (grant.wait_ms > 0) {
      account.denied_until_ms = asked_ms + grant.wait_ms;
    }
    if (grant.start_wait_ms > 0) {
      account.start_denied_until_ms = asked_ms + grant.start_wait_ms;
    }
  }
}

bool QuotaWallet::active(int64_t now_ms) const {
  return std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& item) {
    return !item.second.settled || item.second.asked_ms + kActiveMs >= now_ms;
  });
}

}  // namespace ring
