#include "fakes/ringfake/batch.h"

#include <algorithm>
#include <chrono>

namespace ring::fakes {

Job::WaitResult Job::Wait(size_t index, int64_t timeout_ms) {
  std::unique_lock lock(mutex_);
  const bool end = index >= answer.tokens.size();
  const size_t needed = end ? answer.tokens.size() : index + 1;
  changed_.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                    [&] { return cancelled_ || produced_ >= needed; });
  if (cancelled_) {
    return WaitResult::kCancelled;
  }
  if (produced_ < needed) {
    return WaitResult::kTimeout;
  }
  return end ? WaitResult::kEnd : WaitResult::kToken;
}

void Job::Cancel() {
  {
    std::lock_guard lock(mutex_);
    cancelled_ = true;
  }
  changed_.notify_all();
}

Batch::Batch(const Options& options, PrefixCache& cache)
    : options_(options), cache_(cache), thread_([this] { Run(); }) {}

Batch::~Batch() {
  {
    std::lock_guard lock(mutex_);
    stop_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

bool Batch::Submit(const std::shared_ptr<Job>& job) {
  {
    std::lock_guard lock(mutex_);
    if (waiting_.size() >= static_cast<size_t>(options_.max_waiting)) {
      return false;
    }
    ++requests_;
    waiting_.push_back(job);
    max_waiting_seen_ = std::max(max_waiting_seen_, waiting_.size());
  }
  changed_.notify_all();
  return true;
}

bool Batch::Cancel(const std::string& attempt) {
  std::lock_guard lock(mutex_);
  const auto cancel = [&](const auto& jobs) {
    const auto it =
        std::find_if(jobs.begin(), jobs.end(),
                     [&](const auto& job) { return job->attempt == attempt; });
    if (it == jobs.end()) {
      return false;
    }
    (*it)->Cancel();
    return true;
  };
  return cancel(waiting_) || cancel(running_);
}

void Batch::SetSlowFactor(double factor) {
  std::lock_guard lock(mutex_);
  slow_factor_ = factor;
}

Batch::Load Batch::load() const {
  std::lock_guard lock(mutex_);
  return {.running = static_cast<int>(running_.size()),
          .waiting = static_cast<int>(waiting_.size())};
}

nlohmann::json Batch::Stats() const {
  std::lock_guard lock(mutex_);
  return {{"requests", requests_},
          {"cancelled", cancelled_},
          {"generated_tokens", generated_tokens_},
          {"max_batch", max_batch_seen_},
          {"max_waiting", max_waiting_seen_},
          {"running", running_.size()},
          {"waiting", waiting_.size()}};
}

void Batch::Run() {
  std::unique_lock lock(mutex_);
  auto step_end = std::chrono::steady_clock::now();
  while (!stop_) {
    RemoveEnded();
    Admit();
    if (running_.empty()) {
      // Polls, because a release or an import can free the cache memory that a
      // job waits for without notifying the batch.
      constexpr auto kRecheck = std::chrono::milliseconds(20);
      changed_.wait_for(lock, kRecheck);
      step_end = std::chrono::steady_clock::now();
      continue;
    }
    std::vector<std::shared_ptr<Job>> ready;
    for (const auto& job : running_) {
      if (job->prefill_left_ <= 0) {
        ready.push_back(job);
      }
    }
    const double chunk = PrefillChunk();
    step_end += std::chrono::microseconds(
        static_cast<int64_t>(StepMs(ready.size(), chunk) * 1'000));
    lock.unlock();
    std::this_thread::sleep_until(step_end);
    lock.lock();
    ProduceTokens(ready);
  }
}

double Batch::StepMs(size_t decoding, double prefill_tokens) const {
  const double decode = decoding == 0 ? 0
                                      : options_.decode_base_ms +
                                            options_.decode_per_sequence_ms *
                                                static_cast<double>(decoding);
  return slow_factor_ *
         (decode + prefill_tokens / options_.prefill_tokens_per_ms);
}

void Batch::Admit() {
  while (!waiting_.empty() &&
         running_.size() < static_cast<size_t>(options_.max_batch)) {
    const auto job = waiting_.front();
    const int64_t prompt = CountTokens(job->prompt.size());
    const int64_t total_tokens =
        prompt + static_cast<int64_t>(job->answer.tokens.size());
    const auto cached = cache_.Begin(job->key, job->prompt, total_tokens);
    if (!cached) {
      return;
    }
    job->prompt_tokens = prompt;
    job->cached_tokens = *cached;
    job->prefill_left_ = static_cast<double>(prompt - *cached);
    job->reserved_ = total_tokens - *cached;
    {
      std::lock_guard lock(job->mutex_);
      job->produced_ = std::min(job->resume_from, job->answer.tokens.size());
    }
    running_.push_back(job);
    waiting_.pop_front();
    max_batch_seen_ = std::max(max_batch_seen_, running_.size());
  }
}

double Batch::PrefillChunk() {
  auto left = static_cast<double>(options_.prefill_chunk_tokens);
  for (const auto& job : running_) {
    const double part = std::min(left, job->prefill_left_);
    job->prefill_left_ -= part;
    left -= part;
  }
  return static_cast<double>(options_.prefill_chunk_tokens) - left;
}

void Batch::ProduceTokens(const std::vector<std::shared_ptr<Job>>& ready) {
  for (const auto& job : ready) {
    {
      std::lock_guard lock(job->mutex_);
      if (job->cancelled_ || job->produced_ >= job->answer.tokens.size()) {
        continue;
      }
      ++job->produced_;
    }
    ++generated_tokens_;
    job->changed_.notify_all();
  }
}

void Batch::RemoveEnded() {
  std::erase_if(waiting_, [this](const auto& job) {
    std::lock_guard lock(job->mutex_);
    cancelled_ += job->cancelled_ ? 1 : 0;
    return job->cancelled_;
  });
  std::erase_if(running_, [this](const auto& job) {
    std::lock_guard lock(job->mutex_);
    const bool done =
        job->produced_ >= job->answer.tokens.size() && job->prefill_left_ <= 0;
    if (!done && !job->cancelled_) {
      return false;
    }
    cancelled_ += job->cancelled_ ? 1 : 0;
    std::string text = job->prompt;
    if (done) {
      text += AssistantMessage(job->answer).dump() + '\n';
    } else {
      constexpr size_t kBytesPerToken = 4;
      const auto computed = static_cast<size_t>(
          static_cast<double>(job->prompt_tokens) - job->prefill_left_);
      text.resize(std::min(text.size(), computed * kBytesPerToken));
    }
    cache_.Finish(job->key, std::move(text), job->reserved_);
    return true;
  });
}

}  // namespace ring::fakes
