#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "persimmonring/policy.h"
#include "persimmonring/state.h"

namespace ring {

class RingStateMachine::Impl {
 public:
  Impl(const Init& init, StateObserverI* observer)
      : init_(init), observer_(observer) {
    ResetLeases();
  }

  std::string Prepare(std::string command, int64_t time_ms);
  std::string Apply(int64_t time_ms, std::string_view command);
  std::string Query(std::string_view query) const;
  std::unique_ptr<StateImageI> BeginSave() const;
  std::unique_ptr<StateLoaderI> BeginLoad();
  std::string Lease(std::string_view request, int64_t now_ms, int64_t age_ms);
  void ResetLeases();

 private:
  class Image;
  class Loader;
  /// A completed turn. Immutable, so that images share it with the machine.
  struct KeptTurn {
    std::string id;
    std::string previous;
    std::string text;
    std::string upstream;
    std::string team;          ///< Empty: none.
    bool knows_teams = false;  ///< false: any team may continue the turn.
  };
  struct RetainedTurn {
    std::shared_ptr<const KeptTurn> turn;
    int64_t expires_ms = 0;
  };
  struct Program {
    int64_t spent_tokens = 0;
    std::map<std::string, int64_t> open;  ///< Turn to its reserved tokens.
    int64_t touched_ms = 0;               ///< When a turn last began or ended.

    int64_t reserved_tokens() const;
  };
  struct Departure {
    UpstreamDeparture value;
    int64_t recorded_ms = 0;  ///< 0 after loading a snapshot.
  };

  struct Registration {
    fb::RegisterUpstreamT value;
    int64_t recorded_ms = 0;  ///< 0 after loading a snapshot.
  };

  /// Requests of an entry in flight, as it reported them last.
  struct EntryDemand {
    std::string domain;
    std::map<std::string, uint32_t> busy;  ///< By service, in thousandths.
    int64_t reported_ms = 0;
  };
  using GrantRows = flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<fb::TeamGrant>>>;
  using DemandRows = flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<fb::DomainDemand>>>;

  fb::StateResultT Dispatch(const fb::StateCommand& command);
  fb::StateResultT PutConfiguration(const fb::PutConfiguration& command);
  fb::StateResultT Register(const fb::RegisterUpstream& command);
  fb::StateResultT Depart(const fb::DepartUpstream& command);
  fb::StateResultT Begin(const fb::BeginTurn& command);
  fb::StateResultT Finish(const fb::FinishTurn& command);
  fb::StateResultT Retire(const fb::OrderRetire& command);
  fb::StateResultT ReportCrashes(const fb::ReportCrashes& command);
  fb::StateResultT ClearSuspect(const fb::ClearSuspect& command);
  /// Notifies the observer if the list of suspected requests has changed.
  void NotifySuspects();
  /// Drops everything that is past its retention.
  void Expire();
  std::vector<UpstreamOffer> OffersOf(const fb::BeginTurn& command) const;
  /// Decides whether a turn may start its program.
  /// @param refusal set to the inputs of the decision
  TurnAdmission Admit(const fb::BeginTurn& command,
                      int64_t now_ms,
                      fb::StartRefusal& refusal);
  /// Assigns a turn to one of the offered upstreams.
  std::optional<LoadBalancer::Placement> PlaceTurn(const fb::BeginTurn& command,
                                                   int64_t now_ms,
                                                   const TurnUrgency& urgency);
  /// Records the limits that the entry has observed.
  void SetLimits(const fb::BeginTurn& command, int64_t now_ms);
  /// @returns true if the turn belongs to the team that the command names, or
  ///          if one of them is from a time without teams
  static bool MayContinue(const KeptTurn& turn, const fb::BeginTurn& command);
  /// Stores a completed turn, so that later turns can continue it.
  void StoreTurn(const fb::FinishTurn& command);
  /// Extends the retention of a turn and its ancestors to at least
  /// `expires_ms`.
  void ExtendRetention(const std::string& turn, int64_t expires_ms);
  /// Collects the turns of the chain that ends with `turn`, oldest first.
  /// @param known id of the newest turn that the entry already holds; only the
  ///              turns after it are collected
  void CollectChain(const std::string& turn,
                    std::string_view known,
                    fb::StateResultT& result) const;
  fb::StateResultT Result(fb::StateCode code) const;
  /// Passes the whole state to the observer, after a snapshot was loaded.
  void NotifyAll() const;
  fb::RingStateSnapshotT SaveHeader() const;
  static fb::ProgramLedgerT SaveProgram(const std::string& id,
                                        const Program& program);
  static fb::KeptTurnT SaveTurn(const RetainedTurn& retained);
  void LoadHeader(fb::RingStateSnapshotT head);
  void LoadSuspects(const fb::SuspectBoardRecordT& record);

  // Leases of entries (state_lease.cc).
  GrantRows GrantTeams(flatbuffers::FlatBufferBuilder& builder,
                       const std::string& entry,
                       const fb::LeaseRequest& request);
  /// Replaces what the entry reported before.
  void RecordDemand(const std::string& entry, const fb::LeaseRequest& request);
  DemandRows SumDemands(flatbuffers::FlatBufferBuilder& builder,
                        const fb::LeaseRequest& request) const;
  void ExpireLeases();

  const Init init_;
  StateObserverI* const observer_;
  int64_t now_ms_ = 0;  ///< Time of the command being applied.
  uint64_t version_ = 0;
  std::shared_ptr<const std::string> document_ =
      std::make_shared<const std::string>();
  std::map<std::string, Registration> registrations_;  ///< By instance.
  std::map<std::string, Departure> departures_;  ///< By "instance/born_ms".
  std::map<std::string, Program> programs_;
  std::map<std::string_view, RetainedTurn> turns_;  ///< Keys view KeptTurn::id.
  std::set<std::string> retired_;                   ///< As "<vm>@<address>".
  CrashTracker suspects_;
  std::vector<SuspectedRequest> notified_suspects_;  ///< As last notified.
  uint64_t suspects_version_ = 0;
  LoadBalancer load_balancer_;  ///< Not part of snapshots.

  // Leases of entries; not replicated. Their times are monotonic.
  std::unique_ptr<QuotaLedger> quota_ledger_;
  std::map<std::string, EntryDemand> demands_;  ///< By entry.
  size_t demand_rows_ = 0;                      ///< In all of `demands_`.
  int64_t lease_now_ms_ = 0;                    ///< Of the latest request.
  int64_t next_lease_expiry_ms_ = 0;
};

}  // namespace ring
