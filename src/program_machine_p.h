#pragma once

/// The state machine of a program group. Every command either changes the
/// state completely or is refused without any change.

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
  /// Time of the end and id, so that the oldest comes first.
  using EndedIndex = std::set<std::pair<int64_t, std::string>>;

  // Commands of the life of a program (program_machine.cc).
  Outcome<const StoredProgram*> Open(const fb::ProgramOpen& command);
  Status CheckOpen(const fb::ProgramOpen& command) const;
  Outcome<const StoredProgram*> RepeatOpen(const StoredProgram& existing,
                                           const fb::ProgramOpen& command);
  Outcome<const StoredProgram*> Acquire(const fb::ProgramAcquire& command);
  Status End(const fb::ProgramEnd& command);
  Status ConfirmRelease(const fb::ProgramConfirmRelease& command);
  bool MayStillReach(const StoredProgram& program,
                     const UpstreamId& upstream) const;
  void Expire();
  void EndTree(const std::string& id, Reason reason);
  void EndOne(StoredProgram& program, Reason reason);
  void DropOldTombstones();
  bool IsIdle(const StoredProgram& program) const;
  void IndexTombstone(const StoredProgram& program);

  // Commands of calls (program_machine_calls.cc).
  Status Begin(const fb::ProgramBegin& command);
  Status CheckNewCall(const StoredProgram& program,
                      const fb::ProgramBegin& command) const;
  Status BeginAgain(StoredProgram& program,
                    CallRecord& call,
                    const fb::ProgramBegin& command);
  Status CheckBudget(const StoredProgram& program,
                     const fb::ProgramBegin& command,
                     int64_t returned_tokens) const;
  void RecordNewCall(StoredProgram& program, const fb::ProgramBegin& command);
  Status Retry(const fb::ProgramRetry& command);
  Status Abort(const fb::ProgramAbort& command);
  Status Finish(const fb::ProgramFinish& command);
  Status RefuseFinishAfterEnd(StoredProgram& program,
                              const fb::ProgramFinish& command);
  void Settle(StoredProgram& program, CallRecord& call, int64_t used_tokens);
  void FinishAsUnknown(StoredProgram& program, CallRecord& call);

  /// Finds a program and checks the epoch of its owner.
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
  EndedIndex pending_;  ///< Tombstones with unconfirmed holders.
};

/// @returns a refusal of a command, which then has changed nothing
Refusal Refuse(Reason reason, std::string message);
/// @returns program_expired after a deadline or idle limit, else program_ended
Refusal RefuseEnded(const ProgramState& state);
/// Adds a holder; a new incarnation replaces older ones, whose memory is gone.
void AddHolder(std::vector<UpstreamId>& holders, const UpstreamId& upstream);

}  // namespace ring
