#pragma once

#include <atomic>
#include <functional>
#include <vector>

#include "entry_config_p.h"
#include "entry_sessions_p.h"
#include "entry_upstreams_p.h"

namespace ring::entry {

/// Task of an attempt worker: run a call on an upstream, or end a begun call
/// that will not run again.
struct AttemptTask {
  CallPtr call;
  UpstreamRecord upstream;
  bool alone = false;  ///< Run without other calls on the upstream (a suspect).
  std::optional<Refusal> give_up;  ///< Set: end the call with this refusal.
};

/// Owns the queue of waiting calls and assigns them to upstreams. One thread
/// runs the decisions; calls can be submitted from any thread.
class Scheduler {
 public:
  Scheduler(const EntryInit& init,
            const EntryDependencies& deps,
            UpstreamTable& upstreams,
            CallStatistics& statistics,
            BoundedQueue<AttemptTask>& tasks);

  /// Sets the handler for calls that are refused before they have begun.
  /// @param refuse called on the scheduler thread; must not block on the
  ///        program store
  void SetRefusalHandler(
      std::function<void(const CallPtr&, const Refusal&)> refuse);

  /// Queues a new call.
  /// @returns false if the queue is full
  bool Submit(const CallPtr& call);
  /// Queues a begun call again. Never refuses: the number of such calls is
  /// bounded by the number of attempts in progress.
  void Resubmit(const CallPtr& call);
  /// Triggers a decision, for example because a slot became free.
  void Wake();
  void Stop();

  size_t waiting() const { return waiting_.load(); }
  /// @returns expected time until a call queued now would start, ms
  int64_t ExpectedWaitMs() const;
  /// Updates the mean duration of calls, on which ExpectedWaitMs is based.
  void OnCallDuration(int64_t total_ms);

  /// Thread loop.
  Status Run(const StopToken& stop);
  /// One pass: takes submissions and decides. Public for tests.
  /// @param wait_ms longest wait for a submission, ms
  void Step(int64_t wait_ms);

 private:
  struct DecisionPass {
    std::shared_ptr<const DirectoryView> directory;
    PolicyInput input;
    std::vector<CallPtr> calls;  ///< In the order of input.queue.
    size_t free_workers = 0;
  };
  DecisionPass BuildPass();
  CallView MakeCallView(const CallPtr& call, const DecisionPass& pass) const;
  void RejectUnservable();
  void DispatchSuspects();
  bool DispatchSuspect(const CallPtr& call, const DirectoryView& directory);
  void Apply(const DecisionPass& pass, const Decision& decision);
  bool Dispatch(const CallPtr& call,
                const UpstreamRecord& upstream,
                bool alone);
  void Reject(const CallPtr& call, const Refusal& refusal);
  void Remove(uint64_t ticket);

  const EntryInit& init_;
  const EntryDependencies& deps_;
  UpstreamTable& upstreams_;
  CallStatistics& statistics_;
  BoundedQueue<AttemptTask>& tasks_;
  std::function<void(const CallPtr&, const Refusal&)> refusal_handler_;
  /// A null pointer only wakes the thread.
  BoundedQueue<CallPtr> submissions_;
  std::mutex resubmitted_mutex_;
  std::vector<CallPtr> resubmitted_;
  std::vector<CallPtr> queue_;  ///< In order of arrival; only used on the
  ///< scheduler thread.
  std::map<uint64_t, UpstreamId> reservations_;  ///< Upstreams reserved for
  ///< suspects, by ticket.
  std::atomic<size_t> waiting_{0};
  std::atomic<int64_t> mean_call_ms_{1'000};
  uint64_t passes_ = 0;
  Rng rng_;
};

/// @returns true if the upstream serves the call's model or service
bool Serves(const UpstreamRecord& record, const CallRequest& request);

}  // namespace ring::entry
