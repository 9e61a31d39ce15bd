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

double TypicalMs(const UpstreamModel& model) {
  return model.FinishMs(kTypicalPromptTokens, kTypicalOutputTokens);
}

double TypicalWaitMs(const UpstreamModel& model) {
  return model.WaitMs(kTypicalOutputTokens);
}

}  // namespace

Placer::Placer(const PolicyInput& input, const PolicyInit& init)
    : input_(input), init_(init), slots_(input.upstreams) {
  models_.reserve(input.upstreams.size());
  for (const UpstreamView& view : input.upstreams) {
    models_.emplace_back(view, init);
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
  group.usable = group.usable || slots_.Usable(handle);
  const UpstreamModel& model = models_[handle.index];
  if (!model.open()) {
    return;
  }
  group.slots_anywhere += model.gate();
  if (!isValid(group.fastest) ||
      TypicalMs(model) < TypicalMs(models_[group.fastest.index])) {
    group.fastest = handle;
  }
  if (model.link() != LinkClass::kOtherRegion) {
    group.slots += model.gate();
  }
  if (model.HasRoom()) {
    group.with_room.push_back(handle);
  } else if (model.link() != LinkClass::kOtherRegion &&
             (!isValid(group.shortest_wait) ||
              TypicalWaitMs(model) <
                  TypicalWaitMs(models_[group.shortest_wait.index]))) {
    group.shortest_wait = handle;
  }
}

std::optional<Assignment> Placer::Place(const CallView& call,
                                        CandidateGroup& group) {
  if (call.suspect) {
    return PlaceAlone(call);
  }
  const std::optional<Option> now = BestWithRoom(call, group);
  const std::optional<Option> later = BestWithoutRoom(call, group);
  if (later && (!now || (!later->failed && later->cost_ms < now->cost_ms))) {
    models_[later->upstream.index].AddWaiter();
    return std::nullopt;
  }
  if (!now) {
    return std::nullopt;
  }
  models_[now->upstream.index].Take(now->uncached_tokens,
                                    call.expected_output_tokens);
  slots_.Take(now->upstream);
  return Assignment{
      .ticket = call.ticket,
      .upstream = now->upstream,
      .import_from = now->import_from,
      .expected_finish_ms = input_.now_ms + std::llround(now->finish_ms)};
}

std::optional<Assignment> Placer::PlaceAlone(const CallView& call) {
  const std::optional<UpstreamHandle> handle = PlaceSuspect(call, slots_);
  for (const UpstreamHandle candidate : call.candidates) {
    if (slots_.Contains(candidate) && slots_.IsReserved(candidate)) {
      models_[candidate.index].Close();
    }
  }
  if (!handle) {
    return std::nullopt;
  }
  const double finish_ms = models_[handle->index].FinishMs(
      call.prompt_tokens - CachedOn(call, *handle),
      call.expected_output_tokens);
  return Assignment{
      .ticket = call.ticket,
      .upstream = *handle,
      .expected_finish_ms = input_.now_ms + std::llround(finish_ms)};
}

Placer::Option Placer::Evaluate(const CallView& call,
                                UpstreamHandle handle) const {
  const UpstreamModel& model = models_[handle.index];
  Option option{.upstream = handle, .failed = HasFailedOn(call, handle)};
  option.uncached_tokens = call.prompt_tokens - CachedOn(call, handle);
  option.finish_ms =
      model.FinishMs(option.uncached_tokens, call.expected_output_tokens);
  if (option.uncached_tokens > 0 && !call.cached.empty()) {
    ConsiderImport(call, option);
  }
  option.cost_ms =
      model.WaitMs(call.expected_output_tokens) + option.finish_ms +
      model.OthersMs(option.uncached_tokens, call.expected_output_tokens) +
      model.EvictionMs(option.uncached_tokens + call.expected_output_tokens);
  return option;
}

void Placer::ConsiderImport(const CallView& call, Option& option) const {
  if (init_.import_tokens_per_ms <= 0 ||
      models_[option.upstream.index].link() == LinkClass::kOtherRegion) {
    return;
  }
  const UpstreamModel& target = models_[option.upstream.index];
  for (const CachedPrefix& prefix : call.cached) {
    const int64_t tokens = std::min(prefix.tokens, call.prompt_tokens);
    if (!slots_.Usable(prefix.upstream) || prefix.upstream == option.upstream ||
        models_[prefix.upstream.index].link() == LinkClass::kOtherRegion) {
      continue;
    }
    const int64_t rest = call.prompt_tokens - tokens;
    const double transfer_ms =
        static_cast<double>(init_.import_fixed_ms) +
        static_cast<double>(tokens) / init_.import_tokens_per_ms;
    const double finish_ms =
        transfer_ms + target.FinishMs(rest, call.expected_output_tokens);
    if (finish_ms < option.finish_ms) {
      option.finish_ms = finish_ms;
      option.uncached_tokens = rest;
      option.import_from = prefix.upstream;
    }
  }
}

std::optional<Placer::Option> Placer::BestWithRoom(
    const CallView& call,
    CandidateGroup& group) const {
  std::optional<Option> best;
  size_t kept = 0;
  for (const UpstreamHandle handle : group.with_room) {
    if (!models_[handle.index].HasRoom()) {
      continue;
    }
    group.with_room[kept++] = handle;
    if (call.first_call &&
        !models_[handle.index].FitsProgram(call.prompt_tokens)) {
      continue;
    }
    const Option option = Evaluate(call, handle);
    if (!best || IsBetter(option, *best)) {
      best = option;
    }
  }
  group.with_room.resize(kept);
  return best;
}

std::optional<Placer::Option> Placer::BestWithoutRoom(
    const CallView& call,
    const CandidateGroup& group) const {
  std::optional<Option> best;
  const auto consider = [&](UpstreamHandle handle) {
    if (!slots_.Contains(handle) || !models_[handle.index].open() ||
        models_[handle.index].HasRoom()) {
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
  return std::make_tuple(a.failed, a.cost_ms, models_[a.upstream.index].batch(),
                         a.upstream) <
         std::make_tuple(b.failed, b.cost_ms, models_[b.upstream.index].batch(),
                         b.upstream);
}

double Placer::CallMs(const CallView& call,
                      const CandidateGroup& group,
                      int64_t cached_tokens) const {
  if (!isValid(group.fastest)) {
    return 0;
  }
  return models_[group.fastest.index].FinishMs(
      call.prompt_tokens - std::min(cached_tokens, call.prompt_tokens),
      call.expected_output_tokens);
}

}  // namespace ring
