#pragma once

#include <atomic>
#include <optional>

#include "entry_attempts_p.h"

namespace ring::entry {

/// Result of a submission: a call of this entry, or the entry that owns the
/// program.
struct Submitted {
  CallPtr call;
  std::optional<RemoteOwner> remote;
};

struct SubmitOptions {
  bool take_over = false;  ///< Take over the program if another entry owns
                           ///< it.
  std::string prefix;      ///< Text the caller received from the lost owner.
};

/// Opens, reads and ends programs; validates calls and submits them to the
/// scheduler. Thread-safe.
class CallService {
 public:
  CallService(const EntryInit& init,
              const EntryDependencies& deps,
              SessionTable& sessions,
              RingConfig& config,
              CallStatistics& statistics,
              Scheduler& scheduler,
              AttemptRunner& attempts);

  /// Checks sequence number, duplicates, history and limits of a call, then
  /// queues it or joins the same call if that is in progress. May block on the
  /// program store, and up to sequence_wait_ms on earlier calls of the program.
  Outcome<Submitted> Submit(const CallRequest& request,
                            const SubmitOptions& options);
  Outcome<ProgramState> Open(const OpenRequest& request);
  Status End(const ProgramId& id);
  Outcome<ProgramState> Read(const ProgramId& id);

  /// Refuses new programs from now on; calls are still accepted.
  void RefusePrograms() { refuse_programs_.store(true); }
  /// Refuses calls as well.
  void RefuseCalls() { refuse_calls_.store(true); }
  /// @returns random time from base_ms to 2 * base_ms, ms, so that
  ///          refused callers do not return all at once
  int64_t JitteredMs(int64_t base_ms);

 private:
  enum class SequenceAction : uint8_t { kRun, kDone, kWait };
  struct SequencePosition {
    SequenceAction action = SequenceAction::kRun;
    CallPtr call;  ///< With kDone: the call joined, or its recorded answer.
    uint64_t sequence = 0;
  };
  Outcome<Submitted> SubmitWithoutProgram(const CallRequest& request);
  Outcome<CallPtr> SubmitOwned(const CallRequest& request,
                               const SubmitOptions& options,
                               const SessionPtr& session);
  Outcome<SequencePosition> LocateInSequence(const CallRequest& request,
                                             Session& session);
  Outcome<SequencePosition> PositionOfRecord(const CallRequest& request,
                                             const CallRecord& record);
  Status FinishOrphanedCall(Session& session, const CallRecord& record);
  Outcome<CallPtr> Start(const CallRequest& request,
                         const SubmitOptions& options,
                         const SessionPtr& session,
                         uint64_t sequence);
  Status CheckHistory(const CallRequest& request,
                      const Session& session,
                      Call& call) const;
  Status CheckUpstreamKnown(const CallRequest& request);
  /// Checks the limits that the ring's configuration sets.
  Status CheckLimits(const Call& call) const;
  CallPtr NewCall(const CallRequest& request);
  void FillPromptAndTokens(Call& call) const;
  Status Enqueue(const CallPtr& call);

  const EntryInit& init_;
  const EntryDependencies& deps_;
  SessionTable& sessions_;
  RingConfig& config_;
  CallStatistics& statistics_;
  Scheduler& scheduler_;
  AttemptRunner& attempts_;
  std::atomic<uint64_t> next_ticket_{1};
  std::atomic<bool> refuse_programs_{false};
  std::atomic<bool> refuse_calls_{false};
  std::mutex rng_mutex_;
  Rng rng_;
};

}  // namespace ring::entry
