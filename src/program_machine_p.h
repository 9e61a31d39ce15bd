#pragma once

/// State machine of a program group. A command is either applied completely or
/// refused without changing the state; the exception is Finish after the end of
/// the program, see RefuseFinishAfterEnd.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "persimmonring/program.h"
#include "program_state_p.h"

namespace ring {

class ProgramMachine final : public StateMachineI {
 public:
  ProgramMachine(std::string domain, const ProgramLimits& limits);

  std::string Apply(uint64_t index,
                    int64_t time_ms,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::string Save() const override;
  Status Load(std::string_view snapshot) override;
  std::string ExpireCommand() const override;

 private:
  using Programs = std::map<std::string, StoredProgram, std::less<>>;
  /// Ended programs as (end time, id), oldest first.
  using EndedIndex = std::set<std::pair<int64_t, std::string>>;

  // Program lifecycle (program_machine.cc).
  Outcome<const StoredProgram*> Open(const fb::ProgramOpen& command);
  Status CheckOpen(const fb::ProgramOpen& command) const;
  Outcome<const StoredProgram*> HandleRepeatedOpen(
      const StoredProgram& existing,
      const fb::ProgramOpen& command);
  Outcome<const StoredProgram*> Acquire(const fb::ProgramAcquire& command);
  Status End(const fb::ProgramEnd& command);
  Status ConfirmRelease(const fb::ProgramConfirmRelease& command);
  /// @returns true if a call in progress may still fill the cache of `upstream`
  bool MayStillFillCache(const StoredProgram& program,
                         const UpstreamId& upstream) const;
  void Expire();
  /// Ends a program and its descendants, children before parents.
  void EndTree(const std::string& id, Reason reason);
  void EndProgram(StoredProgram& program, Reason reason);
  void DropOldTombstones();
  bool IsIdle(const StoredProgram& program) const;
  void IndexTombstone(const StoredProgram& program);

  // Calls of a program (program_machine_calls.cc).
  Status Begin(const fb::ProgramBegin& command);
  Status CheckNewCall(const StoredProgram& program,
                      const fb::ProgramBegin& command) const;
  /// Handles BeginCall for a sequence number that already has a call. A new
  /// owner may begin an idempotent call again.
  Status HandleRepeatedBegin(StoredProgram& program,
                             CallRecord& call,
                             const fb::ProgramBegin& command);
  /// @param returned_tokens reserved by the call's previous attempt
  Status CheckBudget(const StoredProgram& program,
                     const fb::ProgramBegin& command,
                     int64_t returned_tokens) const;
  void RecordNewCall(StoredProgram& program, const fb::ProgramBegin& command);
  Status Retry(const fb::ProgramRetry& command);
  Status Abort(const fb::ProgramAbort& command);
  Status Finish(const fb::ProgramFinish& command);
  /// Records the cache holder again, because the call may have filled the
  /// cache after its release was confirmed.
  /// @returns program_ended
  Status RefuseFinishAfterEnd(StoredProgram& program,
                              const fb::ProgramFinish& command);
  /// Charges a call and marks it as finished.
  void ChargeAndFinish(StoredProgram& program,
                       CallRecord& call,
                       int64_t used_tokens);
  /// Charges all reserved tokens, as the call may have used them.
  void FinishWithUnknownOutcome(StoredProgram& program, CallRecord& call);

  /// @returns the program, or unknown_program or stale_epoch
  Outcome<StoredProgram*> FindOwned(const flatbuffers::String* id,
                                    uint64_t epoch);
  StoredProgram* Find(std::string_view id);
  const StoredProgram* Find(std::string_view id) const;
  std::string ListReleases(size_t limit) const;

  const std::string domain_;
  const ProgramLimits limits_;
  int64_t now_ms_ = 0;  ///< Time of the command being applied.
  Programs programs_;
  EndedIndex tombstones_;
  EndedIndex pending_releases_;  ///< Tombstones with unconfirmed releases.
};

/// @returns a refusal with run state kNotRun
Refusal Refuse(Reason reason, std::string message);
/// @returns program_expired if the deadline or idle limit ended the program,
///          else program_ended
Refusal RefuseEnded(const ProgramState& state);
/// Adds a cache holder and removes its older incarnations, whose cache was lost
/// with the process.
void AddHolder(std::vector<UpstreamId>& holders, const UpstreamId& upstream);

}  // namespace ring
