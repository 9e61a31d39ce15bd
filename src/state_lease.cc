#include <algorithm>

#include "core_flatbuffer_p.h"
#include "state_machine_p.h"

namespace ring {
namespace {

// A report that is older does not count: its entry is lost or cut off.
constexpr int64_t kMaxDemandAgeMs = 2'000;
constexpr int64_t kExpireIntervalMs = 1'000;
// Reports of services by all entries, about 100 bytes each; 90 entries with 23
// services have 2,070.
constexpr size_t kMaxDemandRows = 16'384;
constexpr size_t kMaxNameBytes = 256;

QuotaRequest ToQuotaRequest(const fb::TeamRequest& row, uint64_t version) {
  QuotaRequest request;
  request.team = TextOf(row.team());
  request.quota = {row.limit(), row.burst()};
  request.version = version;
  request.used = row.used();
  request.used_starts = row.used_starts();
  request.held = row.held();
  request.wanted = row.wanted();
  request.wanted_starts = row.wanted_starts();
  return request;
}

uint32_t ToWaitMs(int64_t wait_ms) {
  return static_cast<uint32_t>(std::clamp<int64_t>(wait_ms, 0, UINT32_MAX));
}

}  // namespace

std::string RingStateMachine::Impl::Lease(std::string_view request,
                                          int64_t now_ms,
                                          int64_t age_ms) {
  const FlatBufferView<fb::LeaseRequest> view(request);
  const std::string entry(view ? TextOf(view->entry()) : std::string_view());
  if (entry.empty() || entry.size() > kMaxNameBytes) {
    return {};
  }
  lease_now_ms_ = now_ms;
  if (now_ms >= next_lease_expiry_ms_) {
    next_lease_expiry_ms_ = now_ms + kExpireIntervalMs;
    ExpireLeases();
  }
  flatbuffers::FlatBufferBuilder builder;
  const auto teams = GrantTeams(builder, entry, *view.get());
  RecordDemand(entry, *view.get());
  const auto demands = SumDemands(builder, *view.get());
  builder.Finish(fb::CreateLeaseReply(
      builder, view->number(), version_, ToWaitMs(age_ms),
      static_cast<uint32_t>(QuotaLedger::Init{}.grant_ms), teams, demands));
  return BufferToString(builder);
}

RingStateMachine::Impl::GrantRows RingStateMachine::Impl::GrantTeams(
    flatbuffers::FlatBufferBuilder& builder,
    const std::string& entry,
    const fb::LeaseRequest& request) {
  std::vector<QuotaRequest> requests;
  if (request.teams() != nullptr) {
    for (const fb::TeamRequest* row : *request.teams()) {
      if (!TextOf(row->team()).empty() &&
          TextOf(row->team()).size() <= kMaxNameBytes) {
        requests.push_back(ToQuotaRequest(*row, request.version()));
      }
    }
  }
  // Called without requests as well: it may void earlier grants of the entry.
  std::vector<flatbuffers::Offset<fb::TeamGrant>> rows;
  for (const QuotaGrant& grant : quota_ledger_->Handle(
           entry, request.number(), request.acked(), requests, lease_now_ms_)) {
    rows.push_back(fb::CreateTeamGrant(
        builder, builder.CreateString(grant.team), grant.grants, grant.starts,
        ToWaitMs(grant.wait_ms), ToWaitMs(grant.start_wait_ms)));
  }
  return builder.CreateVector(rows);
}

void RingStateMachine::Impl::RecordDemand(const std::string& entry,
                                          const fb::LeaseRequest& request) {
  const std::string_view domain = TextOf(request.domain());
  auto found = demands_.find(entry);
  if (found != demands_.end()) {
    demand_rows_ -= found->second.busy.size();
    found->second.busy.clear();
  }
  if (request.services() == nullptr || request.services()->size() == 0 ||
      domain.empty() || domain.size() > kMaxNameBytes) {
    if (found != demands_.end()) {
      demands_.erase(found);
    }
    return;
  }
  if (found == demands_.end()) {
    if (demand_rows_ >= kMaxDemandRows) {
      return;
    }
    found = demands_.try_emplace(entry).first;
  }
  EntryDemand& demand = found->second;
  demand.domain = domain;
  demand.reported_ms = lease_now_ms_;
  for (const fb::ServiceDemand* row : *request.services()) {
    const std::string_view service = TextOf(row->service());
    if (!service.empty() && service.size() <= kMaxNameBytes &&
        demand_rows_ + demand.busy.size() < kMaxDemandRows) {
      demand.busy[std::string(service)] = row->busy();
    }
  }
  demand_rows_ += demand.busy.size();
}

// The reply is limited to the services that the entry reports, because it
// crosses the link between the regions several times a second.
RingStateMachine::Impl::DemandRows RingStateMachine::Impl::SumDemands(
    flatbuffers::FlatBufferBuilder& builder,
    const fb::LeaseRequest& request) const {
  std::set<std::string_view> services;
  if (request.services() != nullptr) {
    for (const fb::ServiceDemand* row : *request.services()) {
      services.insert(TextOf(row->service()));
    }
  }
  struct Sum {
    uint64_t busy = 0;
    int64_t age_ms = 0;
  };
  std::map<std::pair<std::string_view, std::string_view>, Sum> sums;
  for (const auto& [entry, demand] : demands_) {
    const int64_t age_ms = lease_now_ms_ - demand.reported_ms;
    if (services.empty() || age_ms > kMaxDemandAgeMs) {
      continue;
    }
    for (const auto& [service, busy] : demand.busy) {
      if (services.contains(service)) {
        Sum& sum = sums[{demand.domain, service}];
        sum.busy += busy;
        sum.age_ms = std::max(sum.age_ms, age_ms);
      }
    }
  }
  std::vector<flatbuffers::Offset<fb::DomainDemand>> rows;
  for (const auto& [key, sum] : sums) {
    const auto domain =
        builder.CreateSharedString(key.first.data(), key.first.size());
    const auto service =
        builder.CreateSharedString(key.second.data(), key.second.size());
    rows.push_back(fb::CreateDomainDemand(
        builder, domain, service,
        static_cast<uint32_t>(std::min<uint64_t>(sum.busy, UINT32_MAX)),
        static_cast<uint32_t>(sum.age_ms)));
  }
  return builder.CreateVector(rows);
}

void RingStateMachine::Impl::ExpireLeases() {
  quota_ledger_->Expire(lease_now_ms_);
  std::erase_if(demands_, [this](const auto& item) {
    const bool old = lease_now_ms_ - item.second.reported_ms > kMaxDemandAgeMs;
    if (old) {
      demand_rows_ -= item.second.busy.size();
    }
    return old;
  });
}

void RingStateMachine::Impl::ResetLeases() {
  quota_ledger_ = std::make_unique<QuotaLedger>(
      QuotaLedger::Init{.slack = init_.quota_slack});
  demands_.clear();
  demand_rows_ = 0;
}

std::string RingStateMachine::Lease(std::string_view request,
                                    int64_t now_ms,
                                    int64_t age_ms) {
  return impl_->Lease(request, now_ms, age_ms);
}

void RingStateMachine::ResetLeases() {
  impl_->ResetLeases();
}

}  // namespace ring
