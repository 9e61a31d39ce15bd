#pragma once

#include <atomic>

#include "entry_scheduler_p.h"
#include "entry_text_p.h"

namespace ring::entry {

/// Runs attempts of calls: records the begin, sends the request, reads and
/// resumes the answer, commits the outcome, and handles failures. Run is the
/// loop of each attempt worker thread.
class AttemptRunner {
 public:
  AttemptRunner(const EntryInit& init,
                const EntryDependencies& deps,
                SessionTable& sessions,
                UpstreamTable& upstreams,
                CallStatistics& statistics,
                RingConfig& config,
                Scheduler& scheduler,
                BoundedQueue<AttemptTask>& tasks);

  Status Run(const StopToken& stop);
  void RunTask(const AttemptTask& task);
  /// Aborts attempts that were never sent and commits the outcome that could
  /// not be committed earlier because the domain had no quorum. The caller must
  /// hold the session's lock.
  /// @returns no_quorum if the domain still has none
  Status CommitPendingOutcome(Session& session);
  /// Refuses a call that has no open attempt in the program store.
  void RefuseBeforeBegin(const CallPtr& call, const Refusal& refusal);
  size_t busy() const { return busy_.load(); }

 private:
  Status Begin(const AttemptTask& task);
  void OnBeginRefused(const AttemptTask& task, Refusal refusal);
  void ResetSessionAfterRefusal(const Call& call,
                                bool ownership_lost,
                                bool begin_uncertain);
  void Attempt(const AttemptTask& task);
  Outcome<EngineResult> RunModel(const AttemptTask& task, TextAssembler& text);
  Outcome<EngineResult> SendModel(const AttemptTask& task,
                                  TextAssembler& text,
                                  int64_t resume_from);
  bool CanResume(const UpstreamRecord& upstream) const;
  Outcome<ServiceResult> RunService(const AttemptTask& task);
  void FinishModel(const AttemptTask& task,
                   const EngineResult& result,
                   TextAssembler& text);
  void FinishService(const AttemptTask& task, const ServiceResult& result);
  /// @returns true if the outcome is committed or needs no commit; otherwise
  ///          the call has been answered with the reason of the failure
  bool Commit(const CallPtr& call, FinishCall finish);
  void Complete(const CallPtr& call, FinalAnswer final);

  void OnFailure(const AttemptTask& task, Refusal failure, bool may_retry);
  void RecordCrash(const AttemptTask& task, const Refusal& failure);
  void QuarantineCall(const CallPtr& call);
  /// Ends a call that will not be retried: a begun call of a program or a call
  /// without program. Commits the refusal if the call may have run, else aborts
  /// the attempt.
  void GiveUp(const CallPtr& call, Refusal refusal);
  int64_t RemainingMs(const Call& call) const;

  const EntryInit& init_;
  const EntryDependencies& deps_;
  SessionTable& sessions_;
  UpstreamTable& upstreams_;
  CallStatistics& statistics_;
  RingConfig& config_;
  Scheduler& scheduler_;
  BoundedQueue<AttemptTask>& tasks_;
  std::atomic<size_t> busy_{0};
};

}  // namespace ring::entry
