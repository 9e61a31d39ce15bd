#include <algorithm>
#include <cmath>

#include "persimmonring/policy.h"

namespace ring {
namespace {

constexpr double kMsPer1000S = 1'000'000;
// Part of the operator's slack that may be granted beyond the burst. Each new
// leader hands out a part of it again, so three changes of the leader within a
// window fit.
constexpr double kSlackShare = 0.65;
constexpr double kNewLedgerShare = 0.85;
// Grants that are in transit or not reported yet may exceed the burst by this
// time at the team's rate. Twice this and the overlap of two leaders (150 ms)
// fit into a tenth of the 5 s window in which the quota is checked.
constexpr double kAheadMs = 150;
// Starts may be committed ahead by this time at the team's rate: with b = r, a
// burst of b programs of 4 requests starts at once.
constexpr double kCommitMs = 3'000;
// Starts leave room for running programs once this part of what may be
// committed is committed.
constexpr double kReserveFrom = 0.25;
// Starts leave room for this time after a running program got no grant.
constexpr double kReserveMs = 20'000;
// Requests per start until some have been observed.
constexpr double kRequestsPerStart = 4;
constexpr double kMaxRequestsPerStart = 64;
// Starts after which the observations of a team outweigh those of all teams.
constexpr double kPriorStarts = 8;
// Observations are halved when they reach this number of starts, so that they
// follow a change.
constexpr double kMaxObservedStarts = 512;
constexpr int64_t kMinWaitMs = 100;
constexpr int64_t kMaxWaitMs = 5'000;
constexpr int64_t kExpirePeriodMs = 50;
// Records of entries that are not heard of are dropped after this time, and
// drained accounts after the longer one.
constexpr int64_t kEntryRetentionMs = 10'000;
constexpr int64_t kAccountRetentionMs = 60'000;

uint32_t Floor(double value) {
  return static_cast<uint32_t>(
      std::clamp(std::floor(value), 0.0, static_cast<double>(UINT32_MAX)));
}

// Requests and the starts of programs among them.
struct ObservedStarts {
  double requests = 0;
  double starts = 0;

  void Add(uint64_t new_requests, uint64_t new_starts) {
    requests += static_cast<double>(new_requests);
    starts += static_cast<double>(new_starts);
    if (starts > kMaxObservedStarts) {
      requests /= 2;
      starts /= 2;
    }
  }
  double PerStart(double prior) const {
    return std::clamp(
        (requests + prior * kPriorStarts) / (starts + kPriorStarts), 1.0,
        kMaxRequestsPerStart);
  }
};

// Account of one team.
struct Account {
  TeamQuota quota;
  uint64_t version = 0;
  double level = 0;  // Used requests that have not drained yet.
  int64_t level_ms = 0;
  uint64_t outstanding = 0;  // Grants at entries.
  uint64_t outstanding_starts = 0;
  ProgramPacer pacer;
  ObservedStarts observed;
  int64_t seen_ms = 0;
  // Last time that a running program got no grant.
  int64_t denied_ms = INT64_MIN / 2;

  double rate_per_ms() const {
    return static_cast<double>(quota.limit) / kMsPer1000S;
  }
  void Drain(int64_t now_ms) {
    const auto passed_ms =
        static_cast<double>(std::max<int64_t>(now_ms - level_ms, 0));
    level = std::max(level - passed_ms * rate_per_ms(), 0.0);
    level_ms = std::max(level_ms, now_ms);
  }
};

// Part of a team's account that concerns one entry.
struct Share {
  uint64_t used = 0;  // As last reported.
  uint64_t used_starts = 0;
  uint32_t held = 0;  // Grants that the entry has confirmed.
  uint32_t held_starts = 0;
  uint32_t sent = 0;  // Grants of the last reply.
  uint32_t sent_starts = 0;
  // Grants that expired and count as used until the entry reports.
  uint32_t assumed = 0;
  int64_t seen_ms = 0;
};

struct EntryRecord {
  uint64_t number = 0;
  std::vector<QuotaGrant> reply;
  int64_t seen_ms = 0;
  std::map<std::string, Share> shares;
};

}  // namespace

class QuotaLedger::Impl {
 public:
  explicit Impl(const Init& init) : init_(init) {}

  std::vector<QuotaGrant> Handle(const std::string& entry,
                                 uint64_t number,
                                 uint64_t acked,
                                 const std::vector<QuotaRequest>& requests,
                                 int64_t now_ms) {
    Expire(now_ms);
    EntryRecord& record = entries_[entry];
    if (record.number >= number) {
      return record.number == number ? record.reply : std::vector<QuotaGrant>();
    }
    SettleReply(record, acked >= record.number);
    record.number = number;
    record.seen_ms = now_ms;
    // All reports count before the first grant.
    for (const QuotaRequest& request : requests) {
      if (request.quota.limit > 0) {
        Report(record, request, now_ms);
      }
    }
    record.reply.clear();
    for (const QuotaRequest& request : requests) {
      record.reply.push_back(Grant(record, request, now_ms));
    }
    return record.reply;
  }

  void Expire(int64_t now_ms) {
    started_ms_ = started_ms_.value_or(now_ms);
    if (now_ms < expired_ms_ + kExpirePeriodMs) {
      return;
    }
    expired_ms_ = now_ms;
    for (auto& [name, record] : entries_) {
      for (auto& [team, share] : record.shares) {
        if (share.held + share.sent > 0 &&
            share.seen_ms + init_.grant_ms < now_ms) {
          AssumeUsed(accounts_.at(team), share, now_ms);
        }
      }
      std::erase_if(record.shares, [now_ms](const auto& item) {
        return item.second.held + item.second.sent == 0 &&
               item.second.seen_ms + kEntryRetentionMs < now_ms;
      });
    }
    std::erase_if(entries_, [now_ms](const auto& item) {
      return item.second.shares.empty() &&
             item.second.seen_ms + kEntryRetentionMs < now_ms;
    });
    // An account outlives its shares, because it is seen as late as they are.
    for (auto& [team, account] : accounts_) {
      account.Drain(now_ms);
    }
    std::erase_if(accounts_, [now_ms](const auto& item) {
      const Account& account = item.second;
      return account.outstanding == 0 && account.level <= 0 &&
             account.pacer.committed(now_ms) <= 0 &&
             account.seen_ms + kAccountRetentionMs < now_ms;
    });
  }

 private:
  // Grants of the last reply are held by the entry, or void if it never got it.
  void SettleReply(EntryRecord& record, bool received) {
    for (const QuotaGrant& grant : record.reply) {
      const auto found = record.shares.find(grant.team);
      if (found == record.shares.end()) {
        continue;
      }
      Share& share = found->second;
      if (received) {
        share.held += share.sent;
        share.held_starts += share.sent_starts;
      } else {
        Account& account = accounts_.at(grant.team);
        account.outstanding -= share.sent;
        account.outstanding_starts -= share.sent_starts;
      }
      share.sent = 0;
      share.sent_starts = 0;
    }
  }

  static void AssumeUsed(Account& account, Share& share, int64_t now_ms) {
    account.Drain(now_ms);
    const uint32_t grants = share.held + share.sent;
    account.level += grants;
    account.outstanding -= grants;
    account.outstanding_starts -= share.held_starts + share.sent_starts;
    share.assumed += grants;
    share.held = share.sent = share.held_starts = share.sent_starts = 0;
  }

  Account& AccountOf(const QuotaRequest& request, int64_t now_ms) {
    const auto [found, added] = accounts_.try_emplace(request.team);
    Account& account = found->second;
    account.Drain(now_ms);
    if (added || request.version >= account.version) {
      account.quota = request.quota;
      account.version = request.version;
    }
    if (added) {
      // An earlier leader may have granted everything until this ledger was
      // created; since then the level has drained.
      account.level =
          std::max(static_cast<double>(request.quota.burst) +
                       kNewLedgerShare * SlackShare(account) -
                       account.rate_per_ms() *
                           static_cast<double>(now_ms - *started_ms_),
                   0.0);
    }
    account.seen_ms = now_ms;
    return account;
  }

  void Report(EntryRecord& record,
              const QuotaRequest& request,
              int64_t now_ms) {
    Account& account = AccountOf(request, now_ms);
    const auto [found, added] = record.shares.try_emplace(request.team);
    Share& share = found->second;
    if (!added && request.used < share.used) {
      // The entry has forgotten the team meanwhile.
      AssumeUsed(account, share, now_ms);
    }
    if (added || request.used < share.used) {
      share.used = request.used;
      share.used_starts = request.used_starts;
    }
    const uint64_t used = request.used - share.used;
    const uint64_t starts =
        request.used_starts - std::min(share.used_starts, request.used_starts);
    account.level +=
        static_cast<double>(used - std::min<uint64_t>(used, share.assumed));
    account.observed.Add(used, starts);
    observed_.Add(used, starts);
    SetPacer(account, now_ms);
    account.pacer.Take(static_cast<double>(starts) * PerStart(account), now_ms);
    const auto held_starts = static_cast<uint32_t>(std::min<uint64_t>(
        share.held_starts - std::min<uint64_t>(share.held_starts, starts),
        request.held));
    account.outstanding += request.held;
    account.outstanding -= share.held;
    account.outstanding_starts += held_starts;
    account.outstanding_starts -= share.held_starts;
    share = {.used = request.used,
             .used_starts = request.used_starts,
             .held = request.held,
             .held_starts = held_starts,
             .seen_ms = now_ms};
  }

  QuotaGrant Grant(EntryRecord& record,
                   const QuotaRequest& request,
                   int64_t now_ms) {
    const uint32_t wanted_starts =
        std::min(request.wanted_starts, request.wanted);
    QuotaGrant grant{request.team, request.wanted, wanted_starts};
    if (request.quota.limit <= 0) {
      return grant;
    }
    Account& account = accounts_.at(request.team);
    Share& share = record.shares.at(request.team);
    const double taken =
        account.level + static_cast<double>(account.outstanding);
    const double capacity = Capacity(account);
    const uint32_t running = request.wanted - wanted_starts;
    grant.grants = std::min(running, Floor(capacity - taken));
    if (grant.grants < running) {
      account.denied_ms = now_ms;
      // A program whose request is denied may end early: without the denied
      // ones, programs would seem shorter the more of them fail.
      account.observed.Add(running - grant.grants, 0);
      grant.wait_ms = WaitMs(taken + grant.grants + 1 - capacity, account);
    }
    // Starts leave room for the requests of running programs.
    const double for_starts = capacity - Reserve(account, now_ms) - taken;
    const uint32_t free_starts =
        Floor(for_starts) - std::min(grant.grants, Floor(for_starts));
    const double per_start = PerStart(account);
    grant.starts = 0;
    while (grant.starts < std::min(wanted_starts, free_starts) &&
           grant.start_wait_ms == 0) {
      grant.start_wait_ms = account.pacer.WaitMs(
          per_start * static_cast<double>(account.outstanding_starts +
                                          grant.starts + 1),
          now_ms);
      grant.starts += grant.start_wait_ms == 0 ? 1 : 0;
    }
    grant.grants += grant.starts;
    if (grant.starts < wanted_starts) {
      grant.start_wait_ms = std::max(
          grant.start_wait_ms, WaitMs(grant.grants + 1 - for_starts, account));
    }
    share.sent = grant.grants;
    share.sent_starts = grant.starts;
    account.outstanding += grant.grants;
    account.outstanding_starts += grant.starts;
    return grant;
  }

  static int64_t WaitMs(double excess, const Account& account) {
    return std::clamp(static_cast<int64_t>(std::ceil(std::max(excess, 0.0) /
                                                     account.rate_per_ms())),
                      kMinWaitMs, kMaxWaitMs);
  }
  // Room that only running programs may use. After one of their requests was
  // denied, it is the whole capacity and shrinks with time. While more requests
  // are committed than a burst needs, it is up to half of the capacity. The
  // first is needed because the requests of a program are underestimated while
  // programs fail half-way.
  double Reserve(const Account& account, int64_t now_ms) const {
    const double capacity = Capacity(account);
    const double after_denial =
        capacity *
        (1 - static_cast<double>(now_ms - account.denied_ms) / kReserveMs);
    const double committed = account.pacer.committed(now_ms) -
                             kReserveFrom * CommitCapacity(account);
    return std::max({after_denial, std::min(committed, capacity / 2), 0.0});
  }
  double CommitCapacity(const Account& account) const {
    return Capacity(account) + kCommitMs * account.rate_per_ms();
  }
  double SlackShare(const Account& account) const {
    return std::max(kSlackShare * static_cast<double>(init_.slack) +
                        kAheadMs * account.rate_per_ms(),
                    1.0);
  }
  double Capacity(const Account& account) const {
    return static_cast<double>(account.quota.burst) + SlackShare(account);
  }
  double PerStart(const Account& account) const {
    return account.observed.PerStart(observed_.PerStart(kRequestsPerStart));
  }
  void SetPacer(Account& account, int64_t now_ms) const {
    account.pacer.SetRate(account.quota.limit,
                          CommitCapacity(account) + PerStart(account), now_ms);
  }

  const Init init_;
  std::optional<int64_t> started_ms_;
  int64_t expired_ms_ = 0;
  std::map<std::string, Account> accounts_;  // By team.
  std::map<std::string, EntryRecord> entries_;
  ObservedStarts observed_;  // Of all teams.
};

QuotaLedger::QuotaLedger(const Init& init)
    : impl_(std::make_unique<Impl>(init)) {}
QuotaLedger::~QuotaLedger() = default;

std::vector<QuotaGrant> QuotaLedger::Handle(
    const std::string& entry,
    uint64_t number,
    uint64_t acked,
    const std::vector<QuotaRequest>& requests,
    int64_t now_ms) {
  return impl_->Handle(entry, number, acked, requests, now_ms);
}

void QuotaLedger::Expire(int64_t now_ms) {
  impl_->Expire(now_ms);
}

}  // namespace ring
