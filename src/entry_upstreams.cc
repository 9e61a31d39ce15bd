#include "entry_upstreams_p.h"

#include <algorithm>

namespace ring::entry {
namespace {

// Weight of a new sample in a mean. 0.2 adapts to a changed batch size within
// about ten calls.
constexpr double kSampleWeight = 0.2;

void UpdateMean(double& mean, double sample) {
  mean += kSampleWeight * (sample - mean);
}

}  // namespace

UpstreamTable::UpstreamTable(const EntryInit& init) : init_(init) {}

void UpstreamTable::Start(const UpstreamId& id,
                          const CallPtr& call,
                          bool alone) {
  std::lock_guard lock(mutex_);
  IncarnationState& state = incarnations_[id];
  state.running[call->ticket] = {call, true};
  if (alone) {
    state.reserved_for = call->ticket;
  }
  metrics::SetGauge("ring_upstream_in_flight", {{"upstream", id.name}},
                    static_cast<double>(state.running.size()));
}

void UpstreamTable::OnFirstToken(const UpstreamId& id, uint64_t ticket) {
  std::lock_guard lock(mutex_);
  const auto found = incarnations_[id].running.find(ticket);
  if (found != incarnations_[id].running.end()) {
    found->second.waits_for_first_token = false;
  }
}

void UpstreamTable::End(const UpstreamId& id, uint64_t ticket) {
  std::lock_guard lock(mutex_);
  IncarnationState& state = incarnations_[id];
  state.running.erase(ticket);
  if (state.reserved_for == ticket) {
    state.reserved_for = 0;
  }
  metrics::SetGauge("ring_upstream_in_flight", {{"upstream", id.name}},
                    static_cast<double>(state.running.size()));
}

void UpstreamTable::OnResult(const UpstreamId& id, const EngineResult& result) {
  std::lock_guard lock(mutex_);
  IncarnationState& state = incarnations_[id];
  const int64_t computed = result.prompt_tokens - result.cached_tokens;
  if (computed > 0 && result.first_token_ms > 0) {
    UpdateMean(state.prefill_tokens_per_ms,
               static_cast<double>(computed) /
                   static_cast<double>(result.first_token_ms));
  }
  const int64_t decode_ms = result.total_ms - result.first_token_ms;
  if (result.output_tokens > 1 && decode_ms > 0) {
    UpdateMean(state.decode_ms_per_token,
               static_cast<double>(decode_ms) /
                   static_cast<double>(result.output_tokens - 1));
  }
}

int UpstreamTable::MarkSuspects(const UpstreamId& id) {
  std::lock_guard lock(mutex_);
  int marked = 0;
  for (auto& [ticket, running] : incarnations_[id].running) {
    marked += running.call->suspect.exchange(true) ? 0 : 1;
  }
  return marked;
}

void UpstreamTable::Reserve(const UpstreamId& id, uint64_t ticket) {
  std::lock_guard lock(mutex_);
  IncarnationState& state = incarnations_[id];
  if (state.reserved_for == 0) {
    state.reserved_for = ticket;
  }
}

void UpstreamTable::Unreserve(const UpstreamId& id, uint64_t ticket) {
  std::lock_guard lock(mutex_);
  IncarnationState& state = incarnations_[id];
  if (state.reserved_for == ticket && !state.running.contains(ticket)) {
    state.reserved_for = 0;
  }
}

bool UpstreamTable::reserved(const UpstreamId& id) const {
  std::lock_guard lock(mutex_);
  const auto found = incarnations_.find(id);
  return found != incarnations_.end() && found->second.reserved_for != 0;
}

int UpstreamTable::in_flight(const UpstreamId& id) const {
  std::lock_guard lock(mutex_);
  const auto found = incarnations_.find(id);
  return found == incarnations_.end()
             ? 0
             : static_cast<int>(found->second.running.size());
}

int UpstreamTable::total_in_flight() const {
  std::lock_guard lock(mutex_);
  size_t total = 0;
  for (const auto& [id, state] : incarnations_) {
    total += state.running.size();
  }
  return static_cast<int>(total);
}

void UpstreamTable::Describe(const UpstreamRecord& record,
                             int64_t now_ms,
                             UpstreamView& view) const {
  // Older load reports are ignored.
  constexpr int64_t kFreshReportMs = 3'000;
  const CallLimits& limits = init_.call_limits;
  const bool engine = record.kind == UpstreamKind::kEngine;
  view.limit = record.max_in_flight > 0
                   ? record.max_in_flight
                   : static_cast<int32_t>(engine ? limits.engine_in_flight
                                                 : limits.service_in_flight);
  view.link = record.domain == init_.domain   ? LinkClass::kDomain
              : record.region == init_.region ? LinkClass::kRegion
                                              : LinkClass::kOtherRegion;
  view.cache_capacity_tokens = record.load.cache_capacity_tokens;
  view.cache_used_tokens = record.load.cache_used_tokens;
  std::lock_guard lock(mutex_);
  const auto found = incarnations_.find(record.id);
  if (found != incarnations_.end()) {
    const IncarnationState& state = found->second;
    view.own_in_flight = static_cast<int32_t>(state.running.size());
    view.isolated = state.reserved_for != 0;
    view.prefill_tokens_per_ms = state.prefill_tokens_per_ms;
    view.decode_ms_per_token = state.decode_ms_per_token;
    for (const auto& [ticket, running] : state.running) {
      if (running.waits_for_first_token) {
        view.pending_prefill_tokens += running.call->prompt_tokens;
      }
      view.pending_decode_tokens += running.call->request.max_tokens;
    }
  }
  if (now_ms - record.load.reported_at_ms < kFreshReportMs) {
    view.other_in_flight = std::max(
        0, record.load.running + record.load.waiting - view.own_in_flight);
  }
}

void UpstreamTable::RemoveMissing(const std::vector<UpstreamRecord>& records) {
  std::lock_guard lock(mutex_);
  std::erase_if(incarnations_, [&](const auto& item) {
    const bool known = std::any_of(
        records.begin(), records.end(),
        [&](const UpstreamRecord& record) { return record.id == item.first; });
    return !known && item.second.running.empty();
  });
}

void CallStatistics::OnOutput(int64_t tokens) {
  std::lock_guard lock(mutex_);
  UpdateMean(output_tokens_, static_cast<double>(tokens));
}

void CallStatistics::OnProgramEnd(uint64_t calls) {
  std::lock_guard lock(mutex_);
  UpdateMean(calls_per_program_, static_cast<double>(calls));
}

int64_t CallStatistics::ExpectedOutput(int64_t max_tokens) const {
  std::lock_guard lock(mutex_);
  return std::min(max_tokens, static_cast<int64_t>(output_tokens_));
}

int64_t CallStatistics::ExpectedRemaining(uint64_t calls_so_far) const {
  std::lock_guard lock(mutex_);
  return std::max<int64_t>(0, static_cast<int64_t>(calls_per_program_) -
                                  static_cast<int64_t>(calls_so_far) - 1);
}

}  // namespace ring::entry
