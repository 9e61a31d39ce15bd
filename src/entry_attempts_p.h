#pragma once

#include <atomic>

#include "entry_scheduler_p.h"
#include "entry_text_p.h"

namespace ring::entry {

/// Runs attempts: begin, send, read, resume, finish, and what follows a
/// failure. The duty runs on each attempt worker.
class AttemptRunner {
 public:
  AttemptRunner(const EntryInit& init,
                const EntryParts& parts,
                SessionTable& sessions,
                UpstreamTable& upstreams,
                CallStatistics& statistics,
                RingConfig& config,
                Scheduler& scheduler,
                BoundedQueue<AttemptTask>& tasks);

  Status Run(const StopToken& stop);
  void RunTask(const AttemptTask& task);
  /// Commits the outcome that a session could not commit for lack of a quorum.
  /// The session's lock must be held.
  Status CommitLeftover(Session& session);
  /// Ends a call that the store has not begun.
  void RefuseUnbegun(const CallPtr& call, const Refusal& refusal);
  size_t busy() const { return busy_.load(); }

 private:
  Status Begin(const AttemptTask& task);
  void OnBeginRefused(const AttemptTask& task, Refusal refusal);
  void LeaveCall(const Call& call, bool lost, bool uncertain);
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
  /// @returns true if the outcome is committed (or needs no commit); else the
  ///          call has been answered with the reason
  bool Commit(const CallPtr& call, FinishCall finish);
  void Complete(const CallPtr& call, FinalAnswer final);

  void OnFailure(const AttemptTask& task, Refusal failure, bool may_retry);
  void NoteCrash(const AttemptTask& task, const Refusal& failure);
  void QuarantineCall(const CallPtr& call);
  /// Gives the final refusal of a begun call or of a single call.
  void GiveUp(const CallPtr& call, Refusal refusal);
  int64_t RemainingMs(const Call& call) const;

  const EntryInit& init_;
  const EntryParts& parts_;
  SessionTable& sessions_;
  UpstreamTable& upstreams_;
  CallStatistics& statistics_;
  RingConfig& config_;
  Scheduler& scheduler_;
  BoundedQueue<AttemptTask>& tasks_;
  std::atomic<size_t> busy_{0};
};

}  // namespace ring::entry
