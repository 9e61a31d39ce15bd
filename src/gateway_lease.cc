#include "gateway_lease_p.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core_flatbuffer_p.h"

namespace ring {
namespace {

constexpr int64_t kActiveIntervalMs = 250;
constexpr int64_t kIdleIntervalMs = 1'000;
constexpr int64_t kLeaseTimeoutMs = 400;
// Longest wait of a request for a grant: a lease request that gets no reply and
// another one. A team whose callers come in bursts has used its quota up for a
// shorter time than its callers take to come back.
constexpr int64_t kMaxGrantWaitMs = 2 * kLeaseTimeoutMs;
// Least time between lease requests after one has failed early.
constexpr int64_t kFailurePauseMs = 50;
// The same if all waiting requests were part of an earlier lease request, whose
// grants went to others.
constexpr int64_t kRepeatPauseMs = 20;
// Share of the revocation bound for which a confirmation counts, in tenths. The
// rest covers the time in which a request that was checked reaches an upstream.
constexpr int64_t kValidTenths = 8;
constexpr int64_t kTenths = 10;
// Age from which the lease counts as lost if there is no revocation bound.
constexpr int64_t kLostAfterMs = 4'000;
// Newer versions than that of the table that wait to be fetched.
constexpr size_t kMaxPendingVersions = 8;
constexpr size_t kMaxWaiting = 4'096;
constexpr int64_t kDenialLogMs = 1'000;
// Several times the number of teams that a deployment has.
constexpr size_t kMaxLoggedTeams = 8'192;

}  // namespace

class EntryLease::Impl {
 public:
  Impl(const Init& init,
       EventLoop& loop,
       StateClient& state,
       const ClockI& clock)
      : init_(init),
        loop_(loop),
        state_(state),
        clock_(clock),
        send_timer_(loop),
        wait_timer_(loop) {}

  void SetTable(std::shared_ptr<const RouteTable> table) {
    if (table_ && table->version() < table_->version()) {
      // What was confirmed is not known of an older table.
      confirmed_ms_.reset();
      pending_.clear();
    }
    table_ = std::move(table);
    while (!pending_.empty() && pending_.begin()->first <= table_->version()) {
      const auto [version, confirmed_ms] = *pending_.begin();
      pending_.erase(pending_.begin());
      Confirm(version, confirmed_ms);
    }
    GrantUnlimited();
    Schedule();
    RunCallbacks();
  }

  void OnNewerVersion(std::function<void(uint64_t)> callback) {
    on_newer_version_ = std::move(callback);
  }

  void AddPart(LeasePartI* part) {
    parts_.push_back(part);
    Schedule();
  }

  bool keys_valid() const {
    return table_ && (init_.key_revocation_ms == 0 || IsRecent());
  }

  int64_t confirmed_ms_ago() const {
    return confirmed_ms_ ? clock_.BootMs() - *confirmed_ms_ : -1;
  }

  uint64_t AcquireGrant(const std::string& team,
                        bool starts_program,
                        int64_t max_wait_ms,
                        GrantCallback callback) {
    if (!table_ || !table_->quotas().contains(team)) {
      callback({});
      return 0;
    }
    const QuotaWallet::Decision decision =
        wallet_.Spend(team, starts_program, clock_.BootMs());
    if (decision.result == QuotaWallet::Result::kGranted) {
      callback({});
      return 0;
    }
    Waiting request{team, starts_program, 0, 0, false, 0, std::move(callback)};
    request.deadline_ms =
        loop_.now_ms() + std::min(max_wait_ms, kMaxGrantWaitMs);
    if (decision.result == QuotaWallet::Result::kDenied &&
        !MayWait(request, decision.wait_ms)) {
      Deny(request, {GrantResult::kDenied, decision.wait_ms});
      return 0;
    }
    if (max_wait_ms <= 0 || waiting_.size() >= kMaxWaiting) {
      Deny(request, {GrantResult::kUnreachable, 0});
      return 0;
    }
    const uint64_t ticket = next_ticket_++;
    waiting_.emplace(ticket, std::move(request));
    Schedule();
    StartWaitTimer();
    return ticket;
  }

  void ReturnGrant(const std::string& team, bool starts_program) {
    wallet_.Return(team, starts_program, clock_.BootMs());
  }

  void CancelGrant(uint64_t ticket) {
    waiting_.erase(ticket);
    std::erase_if(ready_,
                  [&](const auto& item) { return item.first == ticket; });
  }

 private:
  /// A request that waits for a grant.
  struct Waiting {
    std::string team;
    bool starts_program = false;
    int64_t deadline_ms = 0;
    int64_t earliest_ms = 0;  ///< The quota is used up until then.
    bool replied = false;     ///< A reply came since it waits.
    uint64_t asked = 0;  ///< Lease request that it was last part of; 0: none.
    GrantCallback callback;
  };
  struct DenialLog {
    int64_t next_ms = 0;
    int64_t omitted = 0;
  };

  // Requests of running programs wait for a short time in which the quota is
  // used up; their programs would fail otherwise. New programs are refused.
  bool MayWait(Waiting& request, int64_t wait_ms) const {
    request.earliest_ms = loop_.now_ms() + wait_ms;
    return !request.starts_program && request.earliest_ms < request.deadline_ms;
  }
  int64_t valid_ms() const {
    return init_.key_revocation_ms > 0
               ? init_.key_revocation_ms * kValidTenths / kTenths
               : kLostAfterMs;
  }
  bool IsRecent() const {
    return confirmed_ms_ && clock_.BootMs() - *confirmed_ms_ <= valid_ms();
  }
  bool PartActive() const {
    return std::any_of(parts_.begin(), parts_.end(),
                       [](const LeasePartI* part) { return part->active(); });
  }
  bool Needed() const {
    return (table_ && table_->has_teams()) || PartActive();
  }

  int64_t DueMs() const {
    if (!waiting_.empty()) {
      const bool all_asked =
          std::all_of(waiting_.begin(), waiting_.end(),
                      [](const auto& item) { return item.second.asked > 0; });
      int64_t earliest_ms = INT64_MAX;
      for (const auto& [ticket, request] : waiting_) {
        earliest_ms = std::min(earliest_ms, request.earliest_ms);
      }
      return std::max(last_sent_ms_ + (failures_ > 0 ? kFailurePauseMs
                                       : all_asked   ? kRepeatPauseMs
                                                     : 0),
                      std::min(earliest_ms, last_sent_ms_ + kActiveIntervalMs));
    }
    const bool active = wallet_.active(clock_.BootMs()) || PartActive() ||
                        failures_ > 0 || !IsRecent();
    return last_sent_ms_ + (active ? kActiveIntervalMs : kIdleIntervalMs);
  }

  // A part may become active without notice, so the timer runs at least every
  // kActiveIntervalMs. Sending from the timer puts all requests that arrive
  // together into one lease request.
  void Schedule() {
    const int64_t delay_ms = !Needed() || outstanding_
                                 ? kActiveIntervalMs
                                 : std::clamp<int64_t>(DueMs() - loop_.now_ms(),
                                                       0, kActiveIntervalMs);
    send_timer_.Start(delay_ms, [this] { OnTimer(); });
  }

  void OnTimer() {
    CheckLost();
    metrics::SetGauge("ring_lease_confirmed_age_ms", {},
                      static_cast<double>(confirmed_ms_ago()));
    metrics::SetGauge("ring_quota_waiting", {},
                      static_cast<double>(waiting_.size()));
    if (!outstanding_ && Needed() && loop_.now_ms() >= DueMs()) {
      Send();
    }
    Schedule();
  }

  void Send() {
    const uint64_t number = next_number_++;
    // Read before the request is sent: the leader answers later.
    const int64_t asked_ms = clock_.BootMs();
    fb::LeaseRequestT request;
    request.entry = init_.entry;
    request.domain = init_.domain;
    request.number = number;
    request.acked = acked_;
    request.version = table_ ? table_->version() : 0;
    AddTeams(request, asked_ms);
    for (LeasePartI* part : parts_) {
      part->AddTo(request);
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CreateLeaseRequest(builder, &request));
    outstanding_ = true;
    last_sent_ms_ = loop_.now_ms();
    state_.Lease(BufferToString(builder), kLeaseTimeoutMs,
                 [this, alive = std::weak_ptr<bool>(alive_), number,
                  asked_ms](const Outcome<fb::LeaseReplyT>& reply) {
                   if (!alive.expired()) {
                     OnReply(number, asked_ms, reply);
                   }
                 });
  }

  // Requests of teams whose quota the new table has removed.
  void GrantUnlimited() {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (table_->quotas().contains(it->second.team)) {
        ++it;
      } else {
        ready_.emplace_back(it->first,
                            std::pair(std::move(it->second), Grant{}));
        it = waiting_.erase(it);
      }
    }
  }

  void AddTeams(fb::LeaseRequestT& request, int64_t now_ms) {
    if (!table_ || table_->quotas().empty()) {
      return;
    }
    std::map<std::string, std::pair<uint32_t, uint32_t>> waiting;
    for (auto& [ticket, entry] : waiting_) {
      auto& [all, starts] = waiting[entry.team];
      ++all;
      starts += entry.starts_program ? 1 : 0;
      entry.asked = request.number;
    }
    uint64_t wanted = 0;
    uint64_t held = 0;
    for (const QuotaRequest& row : wallet_.Collect(waiting, table_->quotas(),
                                                   table_->version(), now_ms)) {
      auto team = std::make_unique<fb::TeamRequestT>();
      team->team = row.team;
      team->limit = row.quota.limit;
      team->burst = row.quota.burst;
      team->used = row.used;
      team->used_starts = row.used_starts;
      team->held = row.held;
      team->wanted = row.wanted;
      team->wanted_starts = row.wanted_starts;
      wanted += row.wanted;
      held += row.held;
      request.teams.push_back(std::move(team));
    }
    metrics::Count("ring_quota_grants_asked_total", {},
                   static_cast<double>(wanted));
    metrics::SetGauge("ring_quota_grants_held", {}, static_cast<double>(held));
  }

  void OnReply(uint64_t number,
               int64_t asked_ms,
               const Outcome<fb::LeaseReplyT>& reply) {
    outstanding_ = false;
    if (!reply || reply->number != number) {
      ++failures_;
      last_error_ =
          reply ? "the reply names another request" : reply.refusal().message;
      metrics::Count("ring_lease_failures_total",
                     {{"reason", ToString(reply ? Reason::kBadRequest
                                                : reply.refusal().reason)}});
      return Schedule();
    }
    failures_ = 0;
    acked_ = number;
    const int64_t confirmed_ms = asked_ms - reply->age_ms;
    if (table_ && reply->version <= table_->version()) {
      Confirm(reply->version, confirmed_ms);
    } else {
      ConfirmLater(reply->version, confirmed_ms);
    }
    TakeGrants(*reply, asked_ms);
    for (LeasePartI* part : parts_) {
      part->OnReply(*reply, asked_ms);
    }
    Serve(number, *reply);
    Schedule();
    RunCallbacks();
  }

  /// @param version newest version at the time of the confirmation
  void Confirm(uint64_t version, int64_t confirmed_ms) {
    CheckLost();
    const bool renewed = !held_;
    confirmed_ms_ =
        std::max(confirmed_ms_.value_or(confirmed_ms), confirmed_ms);
    held_ = IsRecent();
    if (held_ && (renewed || version != logged_version_)) {
      logged_version_ = version;
      Event(LogLevel::kInfo, "lease_renewed")
          .Add("version", version)
          .Add("table_version", table_->version())
          .Add("confirmed_ms_ago", confirmed_ms_ago())
          .Add("valid_ms", valid_ms())
          .Add("first", lost_count_ == 0 && renewed);
    }
  }

  // The confirmation counts once the table is at least of this version.
  void ConfirmLater(uint64_t version, int64_t confirmed_ms) {
    const auto [it, added] = pending_.try_emplace(version, confirmed_ms);
    it->second = std::max(it->second, confirmed_ms);
    if (pending_.size() > kMaxPendingVersions) {
      pending_.erase(pending_.begin());
    }
    if (on_newer_version_) {
      on_newer_version_(version);
    }
  }

  void CheckLost() {
    if (!held_ || IsRecent()) {
      return;
    }
    held_ = false;
    if (!Needed()) {
      return;
    }
    ++lost_count_;
    Event(LogLevel::kWarn, "lease_lost")
        .Add("confirmed_ms_ago", confirmed_ms_ago())
        .Add("valid_ms", valid_ms())
        .Add("table_version", table_ ? table_->version() : 0)
        .Add("newest_version",
             pending_.empty() ? uint64_t{0} : pending_.rbegin()->first)
        .Add("failures", failures_)
        .Add("detail", last_error_);
  }

  void TakeGrants(const fb::LeaseReplyT& reply, int64_t asked_ms) {
    std::vector<QuotaGrant> grants;
    uint64_t granted = 0;
    for (const auto& row : reply.teams) {
      grants.push_back({row->team, row->grants, row->starts, row->wait_ms,
                        row->start_wait_ms});
      granted += row->grants;
    }
    metrics::Count("ring_quota_grants_total", {}, static_cast<double>(granted));
    wallet_.OnGrants(grants, reply.grant_ms, asked_ms);
    last_reply_ms_ = clock_.BootMs();
  }

  // Requests of running programs come first: a program that cannot go on has
  // used its grants in vain.
  void Serve(uint64_t number, const fb::LeaseReplyT& reply) {
    for (const bool starts : {false, true}) {
      for (auto it = waiting_.begin(); it != waiting_.end();) {
        Waiting& request = it->second;
        request.replied = true;
        const auto grant = request.starts_program == starts
                               ? Decide(request, number, reply)
                               : std::nullopt;
        if (grant) {
          ready_.emplace_back(it->first, std::pair(std::move(request), *grant));
          it = waiting_.erase(it);
        } else {
          ++it;
        }
      }
    }
  }

  std::optional<Grant> Decide(Waiting& request,
                              uint64_t number,
                              const fb::LeaseReplyT& reply) {
    const QuotaWallet::Decision decision =
        wallet_.Spend(request.team, request.starts_program, clock_.BootMs());
    if (decision.result == QuotaWallet::Result::kGranted) {
      return Grant{};
    }
    if (decision.result == QuotaWallet::Result::kDenied) {
      return MayWait(request, decision.wait_ms)
                 ? std::nullopt
                 : std::optional(Grant{GrantResult::kDenied, decision.wait_ms});
    }
    for (const auto& row : reply.teams) {
      const int64_t wait_ms = request.starts_program
                                  ? std::max(row->wait_ms, row->start_wait_ms)
                                  : row->wait_ms;
      if (row->team == request.team && request.asked == number && wait_ms > 0) {
        return MayWait(request, wait_ms)
                   ? std::nullopt
                   : std::optional(Grant{GrantResult::kDenied, wait_ms});
      }
    }
    return std::nullopt;
  }

  void StartWaitTimer() {
    int64_t next_ms = INT64_MAX;
    for (const auto& [ticket, request] : waiting_) {
      next_ms = std::min(next_ms, request.deadline_ms);
    }
    if (next_ms == INT64_MAX) {
      return wait_timer_.Stop();
    }
    wait_timer_.Start(std::max<int64_t>(next_ms - loop_.now_ms(), 0), [this] {
      DenyLate();
      StartWaitTimer();
      RunCallbacks();
    });
  }

  void DenyLate() {
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      Waiting& request = it->second;
      if (request.deadline_ms > loop_.now_ms()) {
        ++it;
        continue;
      }
      const Grant grant{
          request.replied ? GrantResult::kDenied : GrantResult::kUnreachable,
          request.replied ? kMaxGrantWaitMs : 0};
      ready_.emplace_back(it->first, std::pair(std::move(request), grant));
      it = waiting_.erase(it);
    }
  }

  // A callback may call AcquireGrant() and CancelGrant(), or end the lease.
  void RunCallbacks() {
    const std::weak_ptr<bool> alive = alive_;
    while (!alive.expired() && !ready_.empty()) {
      auto [request, grant] = std::move(ready_.front().second);
      ready_.pop_front();
      if (grant.result == GrantResult::kGranted) {
        request.callback(grant);
      } else {
        Deny(request, grant);
      }
    }
  }

  void Deny(const Waiting& request, const Grant& grant) {
    const char* reason =
        grant.result == GrantResult::kDenied ? "quota" : "no_quorum";
    metrics::Count("ring_quota_denied_total", {{"reason", reason}});
    if (denials_.size() >= kMaxLoggedTeams) {
      denials_.clear();
    }
    DenialLog& log = denials_[request.team];
    if (loop_.now_ms() < log.next_ms) {
      ++log.omitted;
    } else {
      const auto quota = table_->quotas().find(request.team);
      const TeamQuota limits =
          quota == table_->quotas().end() ? TeamQuota{} : quota->second;
      Event(LogLevel::kInfo, "quota_denied")
          .Add("team", request.team)
          .Add("reason", reason)
          .Add("starts_program", request.starts_program)
          .Add("wait_ms", grant.wait_ms)
          .Add("limit", limits.limit)
          .Add("burst", limits.burst)
          .Add("table_version", table_->version())
          .Add("replied_ms_ago",
               last_reply_ms_ ? clock_.BootMs() - *last_reply_ms_ : int64_t{-1})
          .Add("waiting", uint64_t{waiting_.size()})
          .Add("omitted", std::exchange(log.omitted, 0));
      log.next_ms = loop_.now_ms() + kDenialLogMs;
    }
    request.callback(grant);
  }

  const Init init_;
  EventLoop& loop_;
  StateClient& state_;
  const ClockI& clock_;
  ScopedTimer send_timer_;
  ScopedTimer wait_timer_;
  std::shared_ptr<const RouteTable> table_;
  std::function<void(uint64_t)> on_newer_version_;
  std::vector<LeasePartI*> parts_;
  QuotaWallet wallet_;

  // Times are on ClockI::BootMs() unless they are compared with the loop's.
  std::optional<int64_t> confirmed_ms_;
  std::map<uint64_t, int64_t> pending_;  // See ConfirmLater().
  std::optional<int64_t> last_reply_ms_;
  bool held_ = false;  // The confirmation was recent when last checked.
  int64_t lost_count_ = 0;
  uint64_t logged_version_ = 0;

  uint64_t next_number_ = 1;
  uint64_t acked_ = 0;
  bool outstanding_ = false;
  int64_t last_sent_ms_ = INT64_MIN / 2;  // On the loop's clock.
  int64_t failures_ = 0;                  // Since the last reply.
  std::string last_error_;

  uint64_t next_ticket_ = 1;
  std::map<uint64_t, Waiting> waiting_;  // By ticket, in order of arrival.
  // Decided, but the callback has not run yet.
  std::deque<std::pair<uint64_t, std::pair<Waiting, Grant>>> ready_;
  std::map<std::string, DenialLog> denials_;  // By team.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

EntryLease::EntryLease(const Init& init,
                       EventLoop& loop,
                       StateClient& state,
                       const ClockI& clock)
    : impl_(std::make_unique<Impl>(init, loop, state, clock)) {}
EntryLease::~EntryLease() = default;

void EntryLease::SetTable(std::shared_ptr<const RouteTable> table) {
  impl_->SetTable(std::move(table));
}

void EntryLease::OnNewerVersion(std::function<void(uint64_t)> callback) {
  impl_->OnNewerVersion(std::move(callback));
}

void EntryLease::AddPart(LeasePartI* part) {
  impl_->AddPart(part);
}

bool EntryLease::keys_valid() const {
  return impl_->keys_valid();
}

int64_t EntryLease::confirmed_ms_ago() const {
  return impl_->confirmed_ms_ago();
}

uint64_t EntryLease::AcquireGrant(const std::string& team,
                                  bool starts_program,
                                  int64_t max_wait_ms,
                                  GrantCallback callback) {
  return impl_->AcquireGrant(team, starts_program, max_wait_ms,
                             std::move(callback));
}

void EntryLease::CancelGrant(uint64_t ticket) {
  impl_->CancelGrant(ticket);
}

void EntryLease::ReturnGrant(const std::string& team, bool starts_program) {
  impl_->ReturnGrant(team, starts_program);
}

}  // namespace ring
