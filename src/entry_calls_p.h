#pragma once

#include <atomic>
#include <optional>

#include "entry_attempts_p.h"

namespace ring::entry {

/// What a submitted request became: a call to read here, or a remote owner.
struct Submitted {
  CallPtr call;
  std::optional<RemoteOwner> remote;
};

struct SubmitOptions {
  bool take = false;   ///< Take the program over if another entry owns it.
  std::string prefix;  ///< Text the caller has from the lost owner.
};

/// Checks calls and programs and hands calls to the scheduler. Thread-safe.
class CallService {
 public:
  CallService(const EntryInit& init,
              const EntryParts& parts,
              SessionTable& sessions,
              RingConfig& config,
              CallStatistics& statistics,
              Scheduler& scheduler,
              AttemptRunner& attempts);

  /// Checks order, duplicates, history and admission, then queues the call or
  /// joins the one under way. May wait for the store and briefly for order.
  Outcome<Submitted> Submit(const CallRequest& request,
                            const SubmitOptions& options);
  Outcome<ProgramState> Open(const OpenRequest& request);
  Status End(const ProgramId& id);
  Outcome<ProgramState> Read(const ProgramId& id);

  /// New programs are refused; calls are still taken.
  void RefusePrograms() { refuse_programs_.store(true); }
  /// Calls are refused as well.
  void RefuseCalls() { refuse_calls_.store(true); }
  int64_t SpreadMs(int64_t base_ms);

 private:
  enum class Verdict : uint8_t { kRun, kDone, kWait };
  struct Place {
    Verdict verdict = Verdict::kRun;
    CallPtr call;  ///< With kDone: joined or recorded.
    uint64_t sequence = 0;
  };
  Outcome<Submitted> SubmitSingle(const CallRequest& request);
  Outcome<CallPtr> SubmitOwned(const CallRequest& request,
                               const SubmitOptions& options,
                               const SessionPtr& session);
  Outcome<Place> FindPlace(const CallRequest& request, Session& session);
  Outcome<Place> PlaceOfRecord(const CallRequest& request,
                               const CallRecord& record);
  Status CloseOrphan(Session& session, const CallRecord& record);
  Outcome<CallPtr> Start(const CallRequest& request,
                         const SubmitOptions& options,
                         const SessionPtr& session,
                         uint64_t sequence);
  Status CheckHistory(const CallRequest& request,
                      const Session& session,
                      Call& call) const;
  Status CheckServed(const CallRequest& request);
  /// Limits of the ring description.
  Status CheckLimits(const Call& call) const;
  CallPtr NewCall(const CallRequest& request);
  void Measure(Call& call) const;
  Status Enqueue(const CallPtr& call);

  const EntryInit& init_;
  const EntryParts& parts_;
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
