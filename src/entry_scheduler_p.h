#pragma once

#include <atomic>
#include <functional>
#include <vector>

#include "entry_config_p.h"
#include "entry_sessions_p.h"
#include "entry_upstreams_p.h"

namespace ring::entry {

/// Work of an attempt worker: run a call on an upstream, or end a begun call
/// that will not run again.
struct AttemptTask {
  CallPtr call;
  UpstreamRecord upstream;
  bool alone = false;  ///< A suspect, without other calls on the upstream.
  std::optional<Refusal> give_up;
};

/// Owns the queue of waiting calls. One thread decides; any thread submits.
class Scheduler {
 public:
  Scheduler(const EntryInit& init,
            const EntryParts& parts,
            UpstreamTable& upstreams,
            CallStatistics& statistics,
            BoundedQueue<AttemptTask>& tasks);

  /// @param refuse ends a call that the store has not begun; called on the
  ///        scheduler thread, must not wait for the store
  void OnRefusal(std::function<void(const CallPtr&, const Refusal&)> refuse);

  /// @returns false if too many calls wait
  bool Submit(const CallPtr& call);
  /// Queues a begun call again. Never refused: its number is bounded by the
  /// attempts under way.
  void Resubmit(const CallPtr& call);
  /// Runs a decision soon, because a slot became free.
  void Wake();
  void Stop();

  size_t waiting() const { return waiting_.load(); }
  /// @returns expected time until a queued call would start, milliseconds
  int64_t ExpectedWaitMs() const;
  void OnCallTime(int64_t total_ms);

  /// Duty.
  Status Run(const StopToken& stop);
  /// One pass: takes submissions and decides. For the duty and tests.
  void Step(int64_t wait_ms);

 private:
  struct Cycle {
    std::shared_ptr<const DirectoryView> directory;
    PolicyInput input;
    std::vector<CallPtr> calls;  ///< In the order of input.queue.
    size_t free_workers = 0;
  };
  Cycle BuildCycle();
  CallView ViewOf(const CallPtr& call, const Cycle& cycle) const;
  void RefuseUnservable();
  void RunSuspects();
  bool RunSuspect(const CallPtr& call, const DirectoryView& directory);
  void Apply(const Cycle& cycle, const Decision& decision);
  bool Grant(const CallPtr& call, const UpstreamRecord& upstream, bool alone);
  void Reject(const CallPtr& call, const Refusal& refusal);
  void Remove(uint64_t ticket);

  const EntryInit& init_;
  const EntryParts& parts_;
  UpstreamTable& upstreams_;
  CallStatistics& statistics_;
  BoundedQueue<AttemptTask>& tasks_;
  std::function<void(const CallPtr&, const Refusal&)> refuse_;
  /// Null pointers only wake the thread.
  BoundedQueue<CallPtr> submissions_;
  std::mutex resubmitted_mutex_;
  std::vector<CallPtr> resubmitted_;
  std::vector<CallPtr> queue_;  ///< In order of arrival; scheduler thread.
  std::map<uint64_t, UpstreamId> reservations_;  ///< Of suspects, by ticket.
  std::atomic<size_t> waiting_{0};
  std::atomic<int64_t> mean_call_ms_{1'000};
  uint64_t cycles_ = 0;
  Rng rng_;
};

/// @returns true if the upstream serves the call's model or service
bool Serves(const UpstreamRecord& record, const CallRequest& request);

}  // namespace ring::entry
