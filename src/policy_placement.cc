#include "policy_placement_p.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <tuple>
#include <type_traits>

namespace ring {
namespace {

int64_t CachedOn(const CallView& call, UpstreamHandle handle) {
  int64_t tokens = 0;
  for (const CachedPrefix& prefix : call.cached) {
    if (prefix.upstream == handle) {
      tokens = std::max(tokens, std::min(prefix.tokens, call.prompt_tokens));
    }
  }
  return tokens;
}

// Compares as bytes, because the candidate lists of calls for one model are
// long and usually equal.
bool SameCandidates(const std::vector<UpstreamHandle>& a,
                    const std::vector<UpstreamHandle>& b) {
  static_assert(std::has_unique_object_representations_v<UpstreamHandle>);
  return a.size() == b.size() &&
         std::memcmp(a.data(), b.data(), a.size() * sizeof(a[0])) == 0;
}

// Typical call, used to compare the upstreams of a group.
constexpr int64_t kTypicalPromptTokens = 1'000;
constexpr int64_t kTypicalOutputTokens = 100;

double TypicalDurationMs(const UpstreamEstimate& estimate) {
  return estimate.CallDurationMs(kTypicalPromptTokens, kTypicalOutputTokens);
}

double TypicalWaitMs(const UpstreamEstimate& estimate) {
  return estimate.WaitMs(kTypicalOutputTokens);
}

}  // namespace

Placer::Placer(const PolicyInput& input, const PolicyInit& init)
    : input_(input), init_(init), slots_(input.upstreams) {
  estimates_.reserve(input.upstreams.size());
  for (const UpstreamView& view : input.upstreams) {
    estimates_.emplace_back(view, init);
  }
}

CandidateGroup& Placer::GroupOf(const CallView& call) {
  for (const auto& group : groups_) {
    if (SameCandidates(*group->candidates, call.candidates)) {
      return *group;
    }
  }
  auto group = std::make_unique<CandidateGroup>();
  group->candidates = &call.candidates;
  for (const UpstreamHandle handle : call.candidates) {
    if (slots_.Contains(handle)) {
      AddToGroup(handle, *group);
    }
  }
  groups_.push_back(std::move(group));
  return *groups_.back();
}

void Placer::AddToGroup(UpstreamHandle handle, CandidateGroup& group) const {
  group.usable = group.usable || slots_.IsUsable(handle);
  const UpstreamEstimate& estimate = estimates_[handle.index];
  if (!estimate.open()) {
    return;
  }
  group.slots_all_regions += estimate.batch_limit();
  if (!IsValid(group.fastest) ||
      TypicalDurationMs(estimate) <
          TypicalDurationMs(estimates_[group.fastest.index])) {
    group.fastest = handle;
  }
  if (estimate.link() != LinkClass::kOtherRegion) {
    group.slots += estimate.batch_limit();
  }
  if (estimate.HasFreeSlot()) {
    group.with_free_slot.push_back(handle);
  } else if (estimate.link() != LinkClass::kOtherRegion &&
             (!IsValid(group.shortest_wait) ||
              TypicalWaitMs(estimate) <
                  TypicalWaitMs(estimates_[group.shortest_wait.index]))) {
    group.shortest_wait = handle;
  }
}

std::optional<Assignment> Placer::Place(const CallView& call,
                                        CandidateGroup& group) {
  if (call.suspect) {
    return PlaceAlone(call);
  }
  const std::optional<Option> now = BestWithFreeSlot(call, group);
  const std::optional<Option> later = BestFullUpstream(call, group);
  if (later && (!now || (!later->failed && later->cost_ms < now->cost_ms))) {
    estimates_[later->upstream.index].AddWaiter();
    return std::nullopt;
  }
  if (!now) {
    return std::nullopt;
  }
  estimates_[now->upstream.index].AddCall(now->uncached_tokens,
                                          call.expected_output_tokens);
  slots_.AddCall(now->upstream);
  return Assignment{
      .ticket = call.ticket,
      .upstream = now->upstream,
      .import_from = now->import_from,
      .expected_finish_ms = input_.now_ms + std::llround(now->duration_ms)};
}

std::optional<Assignment> Placer::PlaceAlone(const CallView& call) {
  const std::optional<UpstreamHandle> handle = PlaceSuspect(call, slots_);
  for (const UpstreamHandle candidate : call.candidates) {
    if (slots_.Contains(candidate) && slots_.IsExcluded(candidate)) {
      estimates_[candidate.index].Exclude();
    }
  }
  if (!handle) {
    return std::nullopt;
  }
  const double duration_ms = estimates_[handle->index].CallDurationMs(
      call.prompt_tokens - CachedOn(call, *handle),
      call.expected_output_tokens);
  return Assignment{
      .ticket = call.ticket,
      .upstream = *handle,
      .expected_finish_ms = input_.now_ms + std::llround(duration_ms)};
}

Placer::Option Placer::Evaluate(const CallView& call,
                                UpstreamHandle handle) const {
  const UpstreamEstimate& estimate = estimates_[handle.index];
  Option option{.upstream = handle, .failed = HasFailedOn(call, handle)};
  option.uncached_tokens = call.prompt_tokens - CachedOn(call, handle);
  option.duration_ms = estimate.CallDurationMs(option.uncached_tokens,
                                               call.expected_output_tokens);
  if (option.uncached_tokens > 0 && !call.cached.empty()) {
    ConsiderImport(call, option);
  }
  option.cost_ms =
      estimate.WaitMs(call.expected_output_tokens) + option.duration_ms +
      estimate.BatchDelayMs(option.uncached_tokens,
                            call.expected_output_tokens) +
      estimate.EvictionMs(option.uncached_tokens + call.expected_output_tokens);
  return option;
}

void Placer::ConsiderImport(const CallView& call, Option& option) const {
  if (init_.import_tokens_per_ms <= 0 ||
      estimates_[option.upstream.index].link() == LinkClass::kOtherRegion) {
    return;
  }
  const UpstreamEstimate& target = estimates_[option.upstream.index];
  for (const CachedPrefix& prefix : call.cached) {
    const int64_t tokens = std::min(prefix.tokens, call.prompt_tokens);
    if (!slots_.IsUsable(prefix.upstream) ||
        prefix.upstream == option.upstream ||
        estimates_[prefix.upstream.index].link() == LinkClass::kOtherRegion) {
      continue;
    }
    const int64_t rest = call.prompt_tokens - tokens;
    const double transfer_ms =
        static_cast<double>(init_.import_overhead_ms) +
        static_cast<double>(tokens) / init_.import_tokens_per_ms;
    const double duration_ms =
        transfer_ms + target.CallDurationMs(rest, call.expected_output_tokens);
    if (duration_ms < option.duration_ms) {
      option.duration_ms = duration_ms;
      option.uncached_tokens = rest;
      option.import_from = prefix.upstream;
    }
  }
}

std::optional<Placer::Option> Placer::BestWithFreeSlot(
    const CallView& call,
    CandidateGroup& group) const {
  std::optional<Option> best;
  size_t kept = 0;
  for (const UpstreamHandle handle : group.with_free_slot) {
    if (!estimates_[handle.index].HasFreeSlot()) {
      continue;
    }
    group.with_free_slot[kept++] = handle;
    if (call.first_call &&
        !estimates_[handle.index].FitsProgram(call.prompt_tokens)) {
      continue;
    }
    const Option option = Evaluate(call, handle);
    if (!best || IsBetter(option, *best)) {
      best = option;
    }
  }
  group.with_free_slot.resize(kept);
  return best;
}

std::optional<Placer::Option> Placer::BestFullUpstream(
    const CallView& call,
    const CandidateGroup& group) const {
  std::optional<Option> best;
  const auto consider = [&](UpstreamHandle handle) {
    if (!slots_.Contains(handle) || !estimates_[handle.index].open() ||
        estimates_[handle.index].HasFreeSlot()) {
      return;
    }
    const Option option = Evaluate(call, handle);
    if (!best || IsBetter(option, *best)) {
      best = option;
    }
  };
  consider(group.shortest_wait);
  for (const CachedPrefix& prefix : call.cached) {
    if (std::find(call.candidates.begin(), call.candidates.end(),
                  prefix.upstream) != call.candidates.end()) {
      consider(prefix.upstream);
    }
  }
  return best;
}

bool Placer::IsBetter(const Option& a, const Option& b) const {
  return std::make_tuple(a.failed, a.cost_ms,
                         estimates_[a.upstream.index].batch(), a.upstream) <
         std::make_tuple(b.failed, b.cost_ms,
                         estimates_[b.upstream.index].batch(), b.upstream);
}

double Placer::FastestCallMs(const CallView& call,
                             const CandidateGroup& group,
                             int64_t cached_tokens) const {
  if (!IsValid(group.fastest)) {
    return 0;
  }
  return estimates_[group.fastest.index].CallDurationMs(
      call.prompt_tokens - std::min(cached_tokens, call.prompt_tokens),
      call.expected_output_tokens);
}

}  // namespace ring
