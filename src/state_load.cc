#include <algorithm>
#include <cmath>

#include "persimmonring/state.h"

namespace ring {
namespace {

// Each turn in the same batch delays the others by this part of a turn: its
// prompt interrupts their decoding, and larger batches decode more slowly.
constexpr int64_t kBatchDelayDivisor = 128;
// Time of a turn until one has been observed. Its order of magnitude suffices
// to prefer a free slot over a queue.
constexpr BoundedMean::Init kTurnUs{.initial = ObservedTimes::kTurnUs,
                                    .min = 1'000,
                                    .max = 600'000'000,
                                    .rise_divisor = 32,
                                    .fall_divisor = 32};
// Mean time to the deadline of a program when it starts.
constexpr BoundedMean::Init kProgramWaitMs{.initial = 10'000,
                                           .min = 100,
                                           .max = 3'600'000,
                                           .rise_divisor = 32,
                                           .fall_divisor = 32};
// Weight of the newest turn in the moving mean of an upstream. About the last
// three turns dominate it.
constexpr int64_t kNewestWeightPercent = 35;
constexpr int64_t kPercent = 100;
constexpr int64_t kUsPerMs = 1'000;
// A slow upstream gets too few turns to show that it has recovered, so each
// second its mean moves towards the median by one part in this many.
constexpr int64_t kMeanDecayDivisor = 4;

// Slow upstreams do not shift the median while they are fewer than half.
int64_t MedianOf(std::vector<int64_t> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

uint32_t UpstreamKey(std::string_view instance) {
  const auto key = static_cast<uint32_t>(Checksum(instance));
  return key == 0 ? 1 : key;
}

int64_t EngineWaitUs(int32_t running, int32_t slots, int64_t turn_us) {
  const int64_t parallel = std::max(slots, 1);
  const int64_t queued = std::max<int64_t>(running - parallel + 1, 0);
  return running * turn_us / kBatchDelayDivisor + queued * turn_us / parallel;
}

LoadBalancer::LoadBalancer()
    : turn_us_(kTurnUs),
      open_us_(kTurnUs),
      upstream_us_(kTurnUs),
      program_wait_ms_(kProgramWaitMs) {}

int64_t LoadBalancer::WaitUs(const UpstreamOffer& offer,
                             int64_t median_event_us) const {
  int64_t wait_us = offer.cost_us +
                    EngineWaitUs(load(offer.upstream), offer.slots, turn_us());
  const auto found = event_us_.find(offer.upstream);
  if (found != event_us_.end() && median_event_us > 0) {
    // A turn takes longer in proportion to the time between its events.
    wait_us += std::max<int64_t>(found->second - median_event_us, 0) *
               turn_us() / median_event_us;
  }
  return wait_us;
}

int64_t LoadBalancer::MedianEventUs(
    const std::vector<UpstreamOffer>& offers) const {
  std::vector<int64_t> known;
  for (const UpstreamOffer& offer : offers) {
    const auto found = event_us_.find(offer.upstream);
    if (found != event_us_.end()) {
      known.push_back(found->second);
    }
  }
  return MedianOf(std::move(known));
}

std::optional<LoadBalancer::Placement> LoadBalancer::Place(
    const std::string& turn,
    const std::vector<UpstreamOffer>& offers,
    int64_t now_ms,
    int64_t expires_ms,
    const TurnUrgency& urgency,
    const std::string& team) {
  if (const auto found = turns_.find(turn); found != turns_.end()) {
    return Placement{found->second.upstream, load(found->second.upstream) - 1,
                     std::max<int64_t>(found->second.due_ms - now_ms, 0)};
  }
  if (offers.empty()) {
    return std::nullopt;
  }
  const int64_t median_us = MedianEventUs(offers);
  const UpstreamOffer* best = nullptr;
  int64_t best_us = 0;
  int64_t best_limit_ms = INT64_MAX;
  for (const UpstreamOffer& offer : offers) {
    const int64_t limit_ms =
        LimitWaitMs(offer.upstream, LevelOf(offer, urgency.priority), now_ms);
    if (limit_ms > urgency.patience_ms) {
      best_limit_ms =
          best == nullptr ? std::min(best_limit_ms, limit_ms) : best_limit_ms;
      continue;
    }
    const int64_t wait_us = WaitUs(offer, median_us) + limit_ms * kUsPerMs;
    if (best == nullptr || wait_us < best_us) {
      best = &offer;
      best_us = wait_us;
      best_limit_ms = limit_ms;
    }
  }
  if (best == nullptr) {
    return Placement{0, 0, best_limit_ms};
  }
  const Placement placement{best->upstream, load(best->upstream),
                            best_limit_ms};
  turns_[turn] = {best->upstream,
                  expires_ms,
                  now_ms,
                  placement.load >= best->slots || best_limit_ms > 0,
                  now_ms + best_limit_ms,
                  team};
  ++team_turns_[team];
  ++loads_[best->upstream];
  TakeLimit(best->upstream, LevelOf(*best, urgency.priority), now_ms);
  return placement;
}

LoadBalancer::Level LoadBalancer::LevelOf(const UpstreamOffer& offer,
                                          int32_t priority) {
  if (offer.cached) {
    return priority <= 0 ? kCachedUrgent : kCached;
  }
  return priority <= 0 ? kUrgent : kOther;
}

void LoadBalancer::TakeLimit(uint32_t upstream, Level level, int64_t now_ms) {
  const auto found = limits_.find(upstream);
  if (found == limits_.end() || !found->second.observed.limit) {
    return;
  }
  for (size_t i = level; i < kLevels; ++i) {
    found->second.pacers[i].Take(now_ms);
  }
}

void LoadBalancer::SetLimit(const UpstreamLimit& limit, int64_t now_ms) {
  // The clock may have been set back since the last observation.
  const int64_t at_ms = std::min(limit.at_ms, now_ms);
  const auto found = limits_.find(limit.upstream);
  if (now_ms - at_ms > kMaxLimitAgeMs ||
      (found == limits_.end() && !limit.limit)) {
    return;
  }
  Limit& known = limits_[limit.upstream];
  const bool is_older =
      known.observed.at_ms <= now_ms && at_ms <= known.observed.at_ms;
  if (is_older) {
    return;
  }
  if (!limit.limit) {
    known.pacers = {};
  }
  known.observed = {limit.upstream, limit.limit, at_ms};
  if (limit.limit) {
    for (RequestPacer& pacer : known.pacers) {
      pacer.SetLimit(*limit.limit, 1, now_ms);
    }
  }
}

std::optional<int64_t> LoadBalancer::limit(uint32_t upstream) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end() ? std::nullopt : found->second.observed.limit;
}

std::optional<UpstreamLimit> LoadBalancer::observed(uint32_t upstream) const {
  const auto found = limits_.find(upstream);
  return found == limits_.end() ? std::nullopt
                                : std::optional(found->second.observed);
}

int64_t LoadBalancer::LimitWaitMs(uint32_t upstream,
                                  Level level,
                                  int64_t now_ms) {
  const auto found = limits_.find(upstream);
  return found == limits_.end() || !found->second.observed.limit
             ? 0
             : found->second.pacers[level].WaitMs(now_ms);
}

void LoadBalancer::Cancel(const std::string& turn) {
  const auto found = turns_.find(turn);
  if (found != turns_.end()) {
    const auto load = loads_.find(found->second.upstream);
    if (load != loads_.end() && --load->second <= 0) {
      loads_.erase(load);
    }
    const auto team = team_turns_.find(found->second.team);
    if (team != team_turns_.end() && --team->second <= 0) {
      team_turns_.erase(team);
    }
    turns_.erase(found);
  }
}

void LoadBalancer::End(const std::string& turn,
                       uint32_t upstream,
                       int64_t event_us,
                       int64_t now_ms,
                       int64_t upstream_us) {
  const auto found = turns_.find(turn);
  if (found != turns_.end() && upstream_us > 0 &&
      now_ms > found->second.placed_ms) {
    open_us_.Add((now_ms - found->second.placed_ms) * kUsPerMs);
    upstream_us_.Add(upstream_us);
  }
  // Only turns with events tell how long a turn takes.
  if (found != turns_.end() && event_us > 0 && !found->second.queued &&
      now_ms > found->second.placed_ms) {
    turn_us_.Add((now_ms - found->second.placed_ms) * kUsPerMs);
  }
  Cancel(turn);
  if (event_us > 0) {
    const auto [mean, first] = event_us_.try_emplace(upstream, event_us);
    if (!first) {
      mean->second = (mean->second * (kPercent - kNewestWeightPercent) +
                      event_us * kNewestWeightPercent) /
                     kPercent;
    }
  }
}

void LoadBalancer::Expire(int64_t now_ms) {
  for (auto it = turns_.begin(); it != turns_.end();) {
    const auto turn = it++;
    if (turn->second.expires_ms < now_ms) {
      Cancel(std::string(turn->first));
    }
  }
  std::vector<int64_t> known;
  for (const auto& [upstream, mean] : event_us_) {
    known.push_back(mean);
  }
  const int64_t median_us = MedianOf(std::move(known));
  for (auto& [upstream, mean] : event_us_) {
    mean -= (mean - median_us) / kMeanDecayDivisor;
  }
  std::erase_if(limits_, [now_ms](const auto& item) {
    constexpr int64_t kRetentionMs = 600'000;
    return item.second.observed.at_ms + kRetentionMs < now_ms;
  });
  std::erase_if(programs_,
                [now_ms](const auto& item) { return item.second < now_ms; });
  std::erase_if(start_pacers_, [now_ms](const auto& item) {
    return item.second.committed(now_ms) <= 0;
  });
  // The means of upstreams that are gone are not removed one by one.
  constexpr size_t kMaxMeans = 10'000;
  if (event_us_.size() > kMaxMeans) {
    event_us_.clear();
  }
}

int32_t LoadBalancer::load(uint32_t upstream) const {
  const auto found = loads_.find(upstream);
  return found == loads_.end() ? 0 : found->second;
}

TurnAdmissionInput LoadBalancer::AdmissionInput(
    const std::vector<UpstreamOffer>& offers,
    const std::string& team,
    const TurnAdmissionInput& start,
    int64_t now_ms) {
  TurnAdmissionInput input = start;
  for (const UpstreamOffer& offer : offers) {
    input.open_turns += load(offer.upstream);
    input.slots += offer.slots;
  }
  // Turns that wait for the log take no slot: while it is slow, many are open
  // at idle upstreams.
  const auto at_upstreams = [this](int64_t turns) {
    return std::llround(static_cast<double>(turns) * upstream_share());
  };
  input.open_turns = at_upstreams(input.open_turns);
  input.turn_us = turn_us_.samples() > 0 ? turn_us() : 0;
  if (upstream_us_.samples() > 0) {
    input.turn_us = std::min(input.turn_us, upstream_us_.value());
  }
  input.turns_per_program = TurnsOf(start.program_wait_ms);
  const auto found = team_turns_.find(team);
  input.team_open_turns =
      at_upstreams(found == team_turns_.end() ? 0 : found->second);
  input.active_teams = static_cast<int64_t>(team_turns_.size()) +
                       (found == team_turns_.end() ? 1 : 0);
  input.total_open_turns = at_upstreams(static_cast<int64_t>(turns_.size()));
  if (input.open_turns >= input.slots) {
    const double share = std::max(upstream_share(), 0.01);
    input.team_share =
        TeamShare(std::llround(static_cast<double>(input.slots) / share)) *
        share;
  }
  if (ProgramPacer* pacer = PacerOf(offers, input.open_turns, now_ms)) {
    input.limit_wait_ms = pacer->WaitMs(input.turns_per_program, now_ms);
  }
  return input;
}

TurnAdmission LoadBalancer::Admit(const std::vector<UpstreamOffer>& offers,
                                  const std::string& team,
                                  const TurnAdmissionInput& start,
                                  int64_t now_ms) {
  const TurnAdmissionInput input = AdmissionInput(offers, team, start, now_ms);
  const TurnAdmission admission = AdmitTurn(input);
  ProgramPacer* pacer = PacerOf(offers, input.open_turns, now_ms);
  if (admission.admitted && pacer != nullptr) {
    pacer->Take(input.turns_per_program, now_ms);
  }
  return admission;
}

ProgramPacer* LoadBalancer::PacerOf(const std::vector<UpstreamOffer>& offers,
                                    int64_t open_turns,
                                    int64_t now_ms) {
  uint32_t lowest = UINT32_MAX;
  int64_t limit = 0;
  for (const UpstreamOffer& offer : offers) {
    const auto found = limits_.find(offer.upstream);
    if (found == limits_.end() || !found->second.observed.limit) {
      return nullptr;
    }
    lowest = std::min(lowest, offer.upstream);
    limit += *found->second.observed.limit;
  }
  if (offers.empty()) {
    return nullptr;
  }
  const auto [pacer, added] = start_pacers_.try_emplace(lowest);
  pacer->second.SetRate(limit, 0, now_ms);
  if (added) {
    // Programs that run already are half done on average.
    pacer->second.Take(static_cast<double>(open_turns) * (TurnsOf(0) - 1) / 2,
                       now_ms);
  }
  return &pacer->second;
}

// Teams that need less than an equal share leave the rest to the others.
double LoadBalancer::TeamShare(int64_t slots) const {
  std::vector<int64_t> open;
  open.reserve(team_turns_.size());
  for (const auto& [team, turns] : team_turns_) {
    open.push_back(turns);
  }
  std::sort(open.begin(), open.end());
  auto left = static_cast<double>(slots);
  auto teams = static_cast<double>(open.size());
  for (const int64_t turns : open) {
    if (static_cast<double>(turns) > left / teams) {
      return left / teams;
    }
    left -= static_cast<double>(turns);
    --teams;
  }
  return static_cast<double>(slots);
}

void LoadBalancer::ObserveTurn(const std::string& program,
                               int64_t program_wait_ms,
                               int64_t now_ms) {
  constexpr double kMaxStarts = 512;
  // Programs may have pauses, and end later than their deadline.
  constexpr int64_t kRetentionMs = 30'000;
  const auto [found, starts_program] = programs_.try_emplace(program);
  found->second =
      std::max(found->second, now_ms + std::max(program_wait_ms, kRetentionMs));
  ++observed_turns_;
  if (starts_program) {
    ++observed_starts_;
    if (program_wait_ms > 0 && program_wait_ms_.samples() == 0) {
      // The times of deployments differ too much for a common initial value.
      BoundedMean::Init first = kProgramWaitMs;
      first.initial = program_wait_ms;
      program_wait_ms_ = BoundedMean(first);
    }
    if (program_wait_ms > 0) {
      program_wait_ms_.Add(program_wait_ms);
    }
  }
  if (observed_starts_ > kMaxStarts) {
    observed_turns_ /= 2;
    observed_starts_ /= 2;
  }
}

// Deadlines are set in proportion to the work: a program with twice the mean
// time is expected to have twice as many turns.
double LoadBalancer::TurnsOf(int64_t program_wait_ms) const {
  // Assumed until programs have been observed.
  constexpr double kTurns = 4;
  constexpr double kAssumedStarts = 8;
  constexpr double kMaxTurns = 64;
  const double mean = (observed_turns_ + kTurns * kAssumedStarts) /
                      (observed_starts_ + kAssumedStarts);
  const double scale = program_wait_ms > 0 && program_wait_ms_.samples() > 0
                           ? static_cast<double>(program_wait_ms) /
                                 static_cast<double>(program_wait_ms_.value())
                           : 1;
  return std::clamp(mean * scale, 1.0, kMaxTurns);
}

}  // namespace ring
