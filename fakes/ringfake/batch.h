#pragma once

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "fakes/ringfake/answer.h"
#include "fakes/ringfake/prefix_cache.h"

namespace ring::fakes {

/// One model call. The batch thread produces tokens; an HTTP thread consumes
/// them.
class Job {
 public:
  enum class WaitResult : uint8_t { kToken, kEnd, kCancelled, kTimeout };

  /// Waits until the token at `index` has been produced.
  /// @returns kToken once it is ready; kEnd if `index` is past the last token
  ///          of a complete answer; kCancelled after Cancel; else kTimeout
  WaitResult Wait(size_t index, int64_t timeout_ms);
  void Cancel();

  std::string attempt;
  std::string key;
  std::string prompt;
  Answer answer;
  size_t resume_from = 0;

  // Set by the batch before it produces the first token.
  int64_t prompt_tokens = 0;
  int64_t cached_tokens = 0;

 private:
  friend class Batch;
  std::mutex mutex_;
  std::condition_variable changed_;
  size_t produced_ =
      0;  // Tokens of the answer, including those before resume_from.
  bool cancelled_ = false;
  double prefill_left_ = 0;
  int64_t reserved_ = 0;
};

/// Simulates continuous batching on one thread. Each step prefills one chunk of
/// prompt tokens and decodes one token of each sequence whose prefill is done.
class Batch {
 public:
  Batch(const Options& options, PrefixCache& cache);
  ~Batch();

  /// @returns false if the waiting queue is full
  bool Submit(const std::shared_ptr<Job>& job);
  /// @returns false if the attempt is neither waiting nor running
  bool Cancel(const std::string& attempt);
  void SetSlowFactor(double factor);

  struct Load {
    int running = 0;
    int waiting = 0;
  };
  Load load() const;
  nlohmann::json Stats() const;

 private:
  void Run();
  void Admit();
  // Prefills the chunk of this step.
  // @returns number of prompt tokens computed
  double PrefillChunk();
  void ProduceTokens(const std::vector<std::shared_ptr<Job>>& ready);
  void RemoveEnded();
  double StepMs(size_t decoding, double prefill_tokens) const;

  const Options& options_;
  PrefixCache& cache_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::shared_ptr<Job>> waiting_;
  std::vector<std::shared_ptr<Job>> running_;
  double slow_factor_ = 1;
  bool stop_ = false;
  int64_t requests_ = 0;
  int64_t cancelled_ = 0;
  int64_t generated_tokens_ = 0;
  size_t max_batch_seen_ = 0;
  size_t max_waiting_seen_ = 0;
  std::thread thread_;
};

}  // namespace ring::fakes
