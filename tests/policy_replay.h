#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "fakes/ringload/scenario.h"
#include "persimmonring/policy.h"

/// Simulates programs on a few engines in virtual time, to compare policies
/// without processes and measurement noise. The engine model is that of
/// ringfake: the time of a step is base + n * per_sequence + prefill chunk, and
/// the prefix cache evicts the least recently used item. One entry; no
/// network, failures or sub-agents.
namespace ring::replay {

struct ReplayInit {
  load::ScenarioInit scenario;
  load::EngineModel engines;
  int64_t cache_tokens = 60'000;
  double prefill_chunk = 512;
};

struct ReplayResult {
  size_t started = 0;
  int64_t in_time = 0;
  int64_t refusals = 0;
  std::map<Reason, int64_t> reasons;
  double p95_ms = 0;
  double median_ms = 0;
  int64_t computed_tokens = 0;
  int64_t recomputed_tokens = 0;
};

struct ProgramRun {
  load::ProgramPlan plan;
  uint64_t key = 0;
  size_t step = 0;
  int64_t history = 0;  // Tokens up to and including the last answer.
  double service_ms = 0;
  int64_t computed = 0;
  int64_t longest = 0;
  double call_arrival_ms = 0;
  std::map<uint16_t, int64_t> cached;  // Tokens by engine, entry's estimate.
};

struct Job {
  ProgramRun* run = nullptr;
  int64_t prompt = 0;
  int64_t output = 0;
  int64_t cached = 0;
  double prefill_left = 0;
  int64_t produced = 0;
  double sent_ms = 0;
  double first_token_ms = -1;
};

class Engine {
 public:
  explicit Engine(const ReplayInit& init) : init_(init) {}

  void Submit(const Job& job) { waiting_.push_back(job); }
  bool idle() const { return running_.empty(); }

  /// Moves waiting jobs into the batch and begins a step.
  /// @returns its duration, ms, or 0 if the batch is empty
  double BeginStep() {
    while (!waiting_.empty() &&
           static_cast<double>(running_.size()) < init_.engines.max_batch &&
           Admit(waiting_.front())) {
      waiting_.pop_front();
    }
    if (running_.empty()) {
      return 0;
    }
    double chunk_left = init_.prefill_chunk;
    size_t decoding = 0;
    for (Job& job : running_) {
      decoding += job.prefill_left <= 0 ? 1 : 0;
      job.produced += job.prefill_left <= 0 ? 1 : 0;
      const double part = std::min(chunk_left, job.prefill_left);
      job.prefill_left -= part;
      chunk_left -= part;
    }
    const double decode = decoding == 0
                              ? 0
                              : init_.engines.decode_base_ms +
                                    init_.engines.decode_per_sequence_ms *
                                        static_cast<double>(decoding);
    return decode + (init_.prefill_chunk - chunk_left) /
                        init_.engines.prefill_tokens_per_ms;
  }

  /// Ends the step.
  /// @returns the jobs that it completed
  std::vector<Job> EndStep(double now_ms) {
    std::vector<Job> done;
    for (Job& job : running_) {
      if (job.produced > 0 && job.first_token_ms < 0) {
        job.first_token_ms = now_ms;
      }
      if (job.produced >= job.output) {
        done.push_back(job);
        CacheItem& item = cache_[job.run->key];
        item.pinned = false;
        item.used_at = ++use_count_;
      }
    }
    std::erase_if(running_,
                  [](const Job& job) { return job.produced >= job.output; });
    return done;
  }

  void Release(uint64_t key) {
    const auto found = cache_.find(key);
    if (found != cache_.end()) {
      used_ -= found->second.tokens;
      cache_.erase(found);
    }
  }

  int64_t used() const { return used_; }
  size_t load() const { return running_.size() + waiting_.size(); }
  template <typename Function>
  void ForEach(Function function) const {
    std::for_each(running_.begin(), running_.end(), function);
    std::for_each(waiting_.begin(), waiting_.end(), function);
  }

 private:
  struct CacheItem {
    int64_t tokens = 0;
    bool pinned = false;
    uint64_t used_at = 0;
  };

  bool Admit(Job job) {
    CacheItem& item = cache_[job.run->key];
    job.cached = std::min(item.tokens, job.prompt - 1);
    item.pinned = true;
    const int64_t tokens_after = job.prompt + job.output;
    while (used_ - item.tokens + tokens_after > init_.cache_tokens && Evict()) {
    }
    used_ += tokens_after - item.tokens;
    item.tokens = tokens_after;
    job.prefill_left = static_cast<double>(job.prompt - job.cached);
    job.run->computed += job.prompt - job.cached;
    job.run->longest = std::max(job.run->longest, job.prompt);
    running_.push_back(job);
    return true;
  }

  bool Evict() {
    auto victim = cache_.end();
    for (auto it = cache_.begin(); it != cache_.end(); ++it) {
      if (!it->second.pinned && it->second.tokens > 0 &&
          (victim == cache_.end() ||
           it->second.used_at < victim->second.used_at)) {
        victim = it;
      }
    }
    if (victim == cache_.end()) {
      return false;
    }
    used_ -= victim->second.tokens;
    cache_.erase(victim);
    return true;
  }

  const ReplayInit& init_;
  std::deque<Job> waiting_;
  std::vector<Job> running_;
  std::map<uint64_t, CacheItem> cache_;
  int64_t used_ = 0;
  uint64_t use_count_ = 0;
};

/// Estimates of the entry about one engine.
struct Estimate {
  double prefill_tokens_per_ms = 8;
  double decode_ms_per_token = 20;
  int64_t cache_used = 0;  // As last reported, up to a second ago.

  void OnDone(const Job& job, double now_ms) {
    constexpr double kWeight = 0.2;
    const auto computed = static_cast<double>(job.prompt - job.cached);
    prefill_tokens_per_ms +=
        kWeight * (computed / std::max(job.first_token_ms - job.sent_ms, 1.0) -
                   prefill_tokens_per_ms);
    if (job.output > 1) {
      decode_ms_per_token +=
          kWeight *
          ((now_ms - job.first_token_ms) / static_cast<double>(job.output - 1) -
           decode_ms_per_token);
    }
  }
};

class Replay {
 public:
  Replay(const ReplayInit& init, const PolicyI& policy)
      : init_(init), policy_(policy), rng_(init.scenario.seed) {
    for (int64_t i = 0; i < init.engines.engines; ++i) {
      engines_.emplace_back(init_);
    }
    estimates_.resize(engines_.size());
    busy_.resize(engines_.size());
  }

  ReplayResult Execute() {
    for (load::ProgramPlan& plan :
         load::GeneratePlans(init_.scenario, init_.engines)) {
      auto run = std::make_unique<ProgramRun>();
      run->key = runs_.size() + 1;
      run->plan = std::move(plan);
      Push(static_cast<double>(run->plan.arrival_ms), run.get(), -1);
      runs_.push_back(std::move(run));
    }
    Push(0, nullptr, -1);
    while (!events_.empty() && (ended_programs_ < runs_.size())) {
      const Event event = events_.top();
      events_.pop();
      now_ms_ = event.at_ms;
      Handle(event);
    }
    return Result();
  }

 private:
  struct Event {
    double at_ms;
    uint64_t sequence;
    ProgramRun* run;  // Set: the program sends its next call.
    int engine;       // >= 0: ends a step; -1 without run: engines report load.
    bool operator<(const Event& other) const {
      return std::pair(at_ms, sequence) >
             std::pair(other.at_ms, other.sequence);
    }
  };

  uint16_t EngineCount() const {
    return static_cast<uint16_t>(engines_.size());
  }

  void Push(double at_ms, ProgramRun* run, int engine) {
    events_.push({at_ms, ++last_sequence_, run, engine});
  }

  void Handle(const Event& event) {
    if (event.run != nullptr) {
      event.run->call_arrival_ms = now_ms_;
      queue_.push_back(event.run);
    } else if (event.engine >= 0) {
      const auto index = static_cast<size_t>(event.engine);
      busy_[index] = false;
      for (const Job& job : engines_[index].EndStep(now_ms_)) {
        OnDone(job, index);
      }
    } else {
      for (size_t i = 0; i < engines_.size(); ++i) {
        estimates_[i].cache_used = engines_[i].used();
      }
      Push(now_ms_ + 1'000, nullptr, -1);
    }
    Decide();
    for (size_t i = 0; i < engines_.size(); ++i) {
      if (!busy_[i]) {
        const double step_ms = engines_[i].BeginStep();
        busy_[i] = step_ms > 0;
        if (busy_[i]) {
          Push(now_ms_ + step_ms, nullptr, static_cast<int>(i));
        }
      }
    }
  }

  void OnDone(const Job& job, size_t index) {
    estimates_[index].OnDone(job, now_ms_);
    output_mean_ += 0.2 * (static_cast<double>(job.output) - output_mean_);
    ProgramRun& run = *job.run;
    run.service_ms += now_ms_ - job.sent_ms;
    run.history = job.prompt + job.output;
    run.cached[static_cast<uint16_t>(index)] = run.history;
    if (++run.step == run.plan.steps.size()) {
      EndProgram(run, true);
      return;
    }
    Push(now_ms_ + static_cast<double>(run.plan.steps[run.step].pause_ms), &run,
         -1);
  }

  void EndProgram(ProgramRun& run, bool finished) {
    ++ended_programs_;
    const double latency = now_ms_ - static_cast<double>(run.plan.arrival_ms);
    if (finished) {
      latencies_.push_back(latency);
      calls_mean_ +=
          0.2 * (static_cast<double>(run.plan.steps.size()) - calls_mean_);
      result_.in_time +=
          latency <= static_cast<double>(run.plan.deadline_ms) ? 1 : 0;
    }
    for (Engine& engine : engines_) {
      engine.Release(run.key);
    }
  }

  CallView ViewOf(const ProgramRun& run) const {
    const load::Step& step = run.plan.steps[run.step];
    CallView view{.ticket = run.key, .program = run.key, .root = run.key};
    view.first_call = run.step == 0;
    view.arrival_ms = static_cast<int64_t>(run.call_arrival_ms);
    view.program_start_ms = run.plan.arrival_ms;
    view.deadline_ms = run.plan.arrival_ms + run.plan.deadline_ms;
    view.used_upstream_ms = static_cast<int64_t>(run.service_ms);
    view.prompt_tokens = run.history + step.new_tokens;
    view.expected_output_tokens =
        std::min(step.answer_tokens + 8, static_cast<int64_t>(output_mean_));
    view.expected_remaining_calls =
        std::max<int64_t>(0, static_cast<int64_t>(calls_mean_) -
                                 static_cast<int64_t>(run.step) - 1);
    for (uint16_t i = 0; i < EngineCount(); ++i) {
      view.candidates.push_back({i});
      const auto found = run.cached.find(i);
      if (found != run.cached.end()) {
        view.cached.push_back({{i}, found->second});
      }
    }
    return view;
  }

  UpstreamView ViewOf(uint16_t index) const {
    UpstreamView view{.handle = {index}};
    const Estimate& estimate = estimates_[index];
    view.limit = static_cast<int32_t>(init_.engines.max_batch);
    view.own_in_flight = static_cast<int32_t>(engines_[index].load());
    engines_[index].ForEach([&view](const Job& job) {
      view.pending_decode_tokens += job.output + 8;
      view.pending_prefill_tokens += job.first_token_ms < 0 ? job.prompt : 0;
    });
    view.cache_capacity_tokens = init_.cache_tokens;
    view.cache_used_tokens = estimate.cache_used;
    view.prefill_tokens_per_ms = estimate.prefill_tokens_per_ms;
    view.decode_ms_per_token = estimate.decode_ms_per_token;
    return view;
  }

  void Decide() {
    if (queue_.empty()) {
      return;
    }
    PolicyInput input{.now_ms = static_cast<int64_t>(now_ms_), .seed = rng_()};
    for (uint16_t i = 0; i < EngineCount(); ++i) {
      input.upstreams.push_back(ViewOf(i));
    }
    for (const ProgramRun* run : queue_) {
      input.queue.push_back(ViewOf(*run));
    }
    const Decision decision = policy_.Decide(input);
    for (const Assignment& assignment : decision.assignments) {
      ProgramRun* run = TakeFromQueue(assignment.ticket);
      const load::Step& step = run->plan.steps[run->step];
      engines_[assignment.upstream.index].Submit(
          {.run = run,
           .prompt = run->history + step.new_tokens,
           .output = step.answer_tokens,
           .sent_ms = now_ms_});
    }
    for (const PolicyRefusal& refusal : decision.refusals) {
      OnRefused(*TakeFromQueue(refusal.ticket), refusal);
    }
  }

  void OnRefused(ProgramRun& run, const PolicyRefusal& refusal) {
    ++result_.refusals;
    ++result_.reasons[refusal.reason];
    const double retry_at_ms =
        now_ms_ + static_cast<double>(refusal.retry_after_ms);
    const auto deadline =
        static_cast<double>(run.plan.arrival_ms + run.plan.deadline_ms);
    if (retry_at_ms < deadline) {
      Push(retry_at_ms, &run, -1);
    } else {
      EndProgram(run, false);
    }
  }

  ProgramRun* TakeFromQueue(uint64_t key) {
    ProgramRun* run = runs_[key - 1].get();
    queue_.erase(std::find(queue_.begin(), queue_.end(), run));
    return run;
  }

  ReplayResult Result() {
    std::sort(latencies_.begin(), latencies_.end());
    const auto percentile = [this](double share) {
      return latencies_.empty()
                 ? 0
                 : latencies_[static_cast<size_t>(
                       share * static_cast<double>(latencies_.size() - 1))];
    };
    result_.started = runs_.size();
    result_.median_ms = percentile(0.5);
    result_.p95_ms = percentile(0.95);
    for (const auto& run : runs_) {
      result_.computed_tokens += run->computed;
      result_.recomputed_tokens +=
          std::max<int64_t>(run->computed - run->longest, 0);
    }
    return result_;
  }

  const ReplayInit init_;
  const PolicyI& policy_;
  Rng rng_;
  std::deque<Engine> engines_;
  std::vector<Estimate> estimates_;
  std::vector<bool> busy_;
  std::vector<std::unique_ptr<ProgramRun>> runs_;
  std::vector<ProgramRun*> queue_;
  std::priority_queue<Event> events_;
  uint64_t last_sequence_ = 0;
  double now_ms_ = 0;
  double output_mean_ = 200;
  double calls_mean_ = 4;
  size_t ended_programs_ = 0;
  std::vector<double> latencies_;
  ReplayResult result_;
};

}  // namespace ring::replay
