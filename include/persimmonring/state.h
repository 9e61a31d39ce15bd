#pragma once

/// Ring state: the replicated state that all entries and keepers share. It
/// holds the versioned configuration document, registered and departing
/// upstreams, completed turns and their chains, the token budgets of programs,
/// retire requests, and requests suspected of crashing upstreams. A turn is one
/// request and its answer; a chain is a turn with all the turns it continues.
/// The state machine is deterministic and is replicated by one Raft group.

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonring/log.h"
#include "persimmonring/policy.h"
#include "state.generated.h"

namespace ring {

/// Name of the Raft group that replicates the ring state (the state group).
constexpr char kStateGroup[] = "state";

/// One incarnation of an upstream that is draining or gone, as recorded in the
/// log.
struct UpstreamDeparture {
  std::string instance;
  int64_t born_ms = 0;  ///< Start time; tells incarnations apart.
  bool gone = false;    ///< false: draining.

  auto operator<=>(const UpstreamDeparture&) const = default;
};

/// Hash that identifies an upstream instance in placements and crash reports;
/// never 0. Two instances whose keys collide are counted as one in placements,
/// which may make a turn wait but not fail.
uint32_t UpstreamKey(std::string_view instance);

/// An upstream that can run a turn, offered for placement by the entry.
struct UpstreamOffer {
  uint32_t upstream = 0;  ///< UpstreamKey of the instance.
  /// Expected time to the first event without queueing, us.
  int64_t cost_us = 0;
  int32_t slots = 1;  ///< Requests that the upstream runs concurrently.
  bool cached =
      false;  ///< The upstream probably has most of the prompt cached.

  auto operator<=>(const UpstreamOffer&) const = default;
};

/// Expected queueing delay of a new turn, caused by the turns already assigned
/// to the engine, us.
/// @param running turns running or queued at the engine
/// @param slots turns that the engine runs concurrently
/// @param turn_us time of one turn that does not wait
int64_t EngineWaitUs(int32_t running, int32_t slots, int64_t turn_us);

/// Longest age at which an observed limit of an upstream counts.
constexpr int64_t kMaxLimitAgeMs = 5'000;

/// Limit that an upstream named in an answer, for the requests of all entries
/// together.
struct UpstreamLimit {
  uint32_t upstream = 0;         ///< UpstreamKey of the instance.
  std::optional<int64_t> limit;  ///< Requests per 1,000 s; nullopt: none.
  int64_t at_ms = 0;             ///< When the answer arrived.

  auto operator<=>(const UpstreamLimit&) const = default;
};

/// How a turn waits for upstreams with a limit.
struct TurnUrgency {
  int64_t patience_ms = INT64_MAX;  ///< Longest wait.
  int32_t priority = 0;  ///< 0 is the highest; it waits for no lower one.

  auto operator<=>(const TurnUrgency&) const = default;
};

/// Assigns turns to the upstream with the least expected wait. Counts the open
/// turns of all entries by upstream and tracks the speed of each upstream.
///
/// A burst of requests is spread over many entries (about a hundred). Each sees
/// only a small share of it and cannot balance load on its own. Engines that
/// have become slow get fewer turns.
///
/// This data only affects placement, so snapshots do not include it.
class LoadBalancer {
 public:
  LoadBalancer();

  /// The upstream that a turn is assigned to.
  struct Placement {
    /// UpstreamKey of the instance; 0: no offer takes the turn in time.
    uint32_t upstream = 0;
    /// Other open turns at the upstream.
    int32_t load = 0;
    /// Time until the limit of the upstream lets the turn pass, ms.
    int64_t wait_ms = 0;

    auto operator<=>(const Placement&) const = default;
  };

  /// Chooses the offer with the least expected wait and counts the turn at its
  /// upstream until the turn ends or `expires_ms` has passed. A turn that is
  /// already assigned keeps its upstream.
  /// @param urgency offers whose limit lets the turn pass only after its
  ///        patience are not chosen; if none is left, the placement has no
  ///        upstream and the shortest of these times
  /// @returns nullopt if the turn is not assigned and there are no offers
  std::optional<Placement> Place(const std::string& turn,
                                 const std::vector<UpstreamOffer>& offers,
                                 int64_t now_ms,
                                 int64_t expires_ms,
                                 const TurnUrgency& urgency = {},
                                 const std::string& team = {});
  /// Decides whether the first turn of a program is placed. Called before
  /// Place().
  /// @param offers as for Place()
  /// @param start the values that the load balancer does not know
  TurnAdmission Admit(const std::vector<UpstreamOffer>& offers,
                      const std::string& team,
                      const TurnAdmissionInput& start,
                      int64_t now_ms);
  /// @returns the complete input of that decision
  TurnAdmissionInput AdmissionInput(const std::vector<UpstreamOffer>& offers,
                                    const std::string& team,
                                    const TurnAdmissionInput& start,
                                    int64_t now_ms);
  /// Counts a turn that began, for the mean number of turns per program.
  /// @param program_wait_ms time until the deadline of the program; 0: unknown
  void ObserveTurn(const std::string& program,
                   int64_t program_wait_ms,
                   int64_t now_ms);
  /// @returns true if a turn of the program has begun before, also in another
  ///          chain: sub-agents continue no turn of their parent
  bool is_running(const std::string& program) const {
    return programs_.contains(program);
  }
  /// @returns true if the turn has been placed and has not ended
  bool is_open(const std::string& turn) const { return turns_.contains(turn); }
  /// @returns turns that a program with this time is expected to have; the
  ///          mean over all programs if the time is 0
  double TurnsOf(int64_t program_wait_ms) const;
  /// Records what an entry has learned of an upstream. The latest observation
  /// counts, and none that is older than kMaxLimitAgeMs.
  void SetLimit(const UpstreamLimit& limit, int64_t now_ms);
  /// @returns requests per 1,000 s; nullopt: the upstream has no limit
  std::optional<int64_t> limit(uint32_t upstream) const;
  /// @returns what is known of an upstream that has named a limit at some time
  std::optional<UpstreamLimit> observed(uint32_t upstream) const;
  /// Removes a turn from the load and records its time and the speed of its
  /// upstream.
  /// @param upstream key of the upstream that ran the turn
  /// @param event_us mean time between events of the turn, us; 0: unknown
  /// @param upstream_us time from sending the request to the last event, us; 0:
  ///        unknown
  void End(const std::string& turn,
           uint32_t upstream,
           int64_t event_us,
           int64_t now_ms,
           int64_t upstream_us = 0);
  /// @returns part of the time for which a turn is open that it spends at its
  ///          upstream; the rest is for the log, the links and the entry
  double upstream_share() const {
    return std::min(static_cast<double>(upstream_us_.value()) /
                        static_cast<double>(open_us_.value()),
                    1.0);
  }
  /// Removes a turn that did not run.
  void Cancel(const std::string& turn);
  /// Removes turns whose entry did not report their end in time, and moves the
  /// mean of each upstream towards the median. Called once per second.
  void Expire(int64_t now_ms);
  /// @returns open turns at an upstream
  int32_t load(uint32_t upstream) const;
  /// @returns mean time of the turns that did not wait, us
  int64_t turn_us() const { return turn_us_.value(); }

 private:
  struct Turn {
    uint32_t upstream = 0;
    int64_t expires_ms = 0;
    int64_t placed_ms = 0;
    bool queued = false;  ///< The upstream had no free slot.
    int64_t due_ms = 0;   ///< When the limit of the upstream lets it pass.
    std::string team;     ///< Empty: none.
  };
  /// Order in which turns get the requests of a limit. Turns whose prompt is
  /// cached come first: elsewhere it would have to be processed again, which
  /// delays all turns there.
  enum Level : uint8_t { kCachedUrgent, kCached, kUrgent, kOther, kLevels };
  struct Limit {
    UpstreamLimit observed;
    /// Each counts the turns of its own level and of those before it.
    std::array<RequestPacer, kLevels> pacers;
  };
  static Level LevelOf(const UpstreamOffer& offer, int32_t priority);
  int64_t LimitWaitMs(uint32_t upstream, Level level, int64_t now_ms);
  void TakeLimit(uint32_t upstream, Level level, int64_t now_ms);
  /// @returns the pacer for the starts of programs at upstreams that all name
  ///          a limit; null: some name none
  ProgramPacer* PacerOf(const std::vector<UpstreamOffer>& offers,
                        int64_t open_turns,
                        int64_t now_ms);
  double TeamShare(int64_t slots) const;
  int64_t WaitUs(const UpstreamOffer& offer, int64_t median_event_us) const;
  int64_t MedianEventUs(const std::vector<UpstreamOffer>& offers) const;

  std::map<std::string, Turn> turns_;
  std::map<uint32_t, int32_t> loads_;
  /// Moving mean of the time between events by upstream, us.
  std::map<uint32_t, int64_t> event_us_;
  BoundedMean turn_us_;
  // Of the turns whose time at the upstream is known.
  BoundedMean open_us_;
  BoundedMean upstream_us_;
  std::map<uint32_t, Limit> limits_;           ///< By UpstreamKey.
  std::map<std::string, int64_t> team_turns_;  ///< Open turns by team.
  /// By the lowest key of the offered upstreams, which is the same for all
  /// offers of a service unless that upstream is in trouble.
  std::map<uint32_t, ProgramPacer> start_pacers_;
  /// Started programs with the time at which they are forgotten.
  std::map<std::string, int64_t> programs_;
  double observed_turns_ = 0;
  double observed_starts_ = 0;
  BoundedMean program_wait_ms_;
};

/// A request that was in flight when upstreams crashed.
struct SuspectedRequest {
  uint64_t digest = 0;  ///< Hash of method, path, object and body.
  int32_t crashes = 0;  ///< Crashes that the request may have caused.

  auto operator<=>(const SuspectedRequest&) const = default;
};

/// A request is quarantined, that is, refused by entries, after it has been in
/// flight at this many successive crashes. Applies to CrashTracker only;
/// SuspectTracker (policy.h) has its own rule.
constexpr int32_t kCrashesToQuarantine = 3;

/// Reports about the same upstream within this time are merged into one crash,
/// because a restart takes longer.
constexpr int64_t kCrashMergeWindowMs = 1'000;

/// A crash of an upstream and the requests that were in flight there.
struct UpstreamCrash {
  uint32_t upstream = 0;  ///< UpstreamKey of the instance.
  int64_t at_ms = 0;      ///< On the clock of the CrashTracker that records it.
  /// Request digest to the latest time at which the upstream can have received
  /// the request, ms. Empty once the crash is attributed to a quarantined
  /// request.
  std::map<uint64_t, int64_t> requests;

  auto operator<=>(const UpstreamCrash&) const = default;
};

/// Finds requests that crash every upstream that runs them, from reported
/// crashes and the requests that were in flight.
///
/// A request that is resent after a crash and is in flight at the next one is
/// counted; at kCrashesToQuarantine it is quarantined, and the crashes
/// attributed to it no longer count against the other requests that were in
/// flight. Crashes of several upstreams that held the request at the same time
/// count as one, because they may have another cause. A successful answer
/// clears a request.
///
/// Callers resend such a request through any entry, so the state group keeps
/// one instance for all entries. Each entry keeps another for the crashes that
/// it observes itself.
class CrashTracker {
 public:
  /// Records a crash. Reports of the same crash by several entries are merged.
  void Report(const UpstreamCrash& report);
  /// Forgets the crashes and the quarantine of a request that has succeeded.
  /// @returns true if something changed
  bool Clear(uint64_t digest);
  /// Drops crashes and quarantines that are past their retention.
  void Expire(int64_t now_ms);
  /// @param unconfirmed crashes that are not confirmed yet, ordered by time
  /// @returns number of successive crashes that the request may have caused;
  ///          kCrashesToQuarantine if it is quarantined
  int32_t crashes(uint64_t digest,
                  const std::vector<UpstreamCrash>& unconfirmed = {}) const;
  /// @returns requests with more than one crash, ordered by digest
  std::vector<SuspectedRequest> List() const;
  bool empty() const { return crashes_.empty() && quarantined_.empty(); }

  /// @returns retained crashes, ordered by time
  const std::vector<UpstreamCrash>& recent() const { return crashes_; }
  /// @returns quarantined digests with the time of their last crash, ms
  const std::map<uint64_t, int64_t>& quarantined() const {
    return quarantined_;
  }
  /// Replaces the contents by those of a snapshot.
  void Load(std::vector<UpstreamCrash> recent,
            std::map<uint64_t, int64_t> quarantined) {
    crashes_ = std::move(recent);
    quarantined_ = std::move(quarantined);
  }

 private:
  /// Quarantines requests of a crash that have reached the limit.
  void Quarantine(const UpstreamCrash& latest);

  std::vector<UpstreamCrash> crashes_;  ///< Ordered by time.
  /// Digest to the time of the last crash, ms.
  std::map<uint64_t, int64_t> quarantined_;
};

/// Receives changes of the ring state as they are applied, on the thread of the
/// state group.
class StateObserverI {
 public:
  virtual ~StateObserverI() = default;
  virtual void OnConfiguration(uint64_t version,
                               std::shared_ptr<const std::string> document) = 0;
  virtual void OnUpstream(const fb::RegisterUpstreamT& upstream) = 0;
  virtual void OnDeparture(const UpstreamDeparture& departure) = 0;
  /// @param retired_keepers all retired keepers, each as "<vm>@<address>"
  virtual void OnRetire(const std::set<std::string>& retired_keepers) = 0;
  /// @param version increases with each change of the list
  virtual void OnSuspects(uint64_t version,
                          const std::vector<SuspectedRequest>& requests) = 0;
};

/// State machine of the state group.
class RingStateMachine final : public StateMachineI {
 public:
  struct Init {
    /// Added to the retention of turns. Leaders stamp log entries with their
    /// wall clock, which may be set forward.
    int64_t clock_slack_ms = 15'000;
    /// A program is dropped this long after its last turn began or ended.
    int64_t program_retention_ms = 180'000;
    /// A registration is dropped this long after it was last repeated.
    int64_t registration_retention_ms = 600'000;
    /// A departure is dropped after this time. Addresses are reused much
    /// earlier.
    int64_t departure_retention_ms = 600'000;
    bool upstream_speed = true;  ///< See KeeperSettingTable().
    int64_t quota_slack = 0;     ///< See QuotaLedger::Init::slack.
  };

  /// @param observer may be null; otherwise it must outlive the state machine
  RingStateMachine(const Init& init, StateObserverI* observer);
  ~RingStateMachine() override;

  /// Replaces the offers of a turn that begins by the chosen one.
  std::string Prepare(std::string command, int64_t time_ms) override;
  std::string Apply(uint64_t index,
                    int64_t time_ms,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::string Save() const override;
  std::unique_ptr<StateImageI> BeginSave() const override;
  Status Load(std::string_view snapshot) override;
  std::unique_ptr<StateLoaderI> BeginLoad() override;
  std::string ExpireCommand() const override;
  /// Takes an fb::LeaseRequest: grants requests of teams with a quota, and sums
  /// the demand of the services that the entry reports over all entries of each
  /// failure domain.
  std::string Lease(std::string_view request,
                    int64_t now_ms,
                    int64_t age_ms) override;
  void ResetLeases() override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Encodes commands and queries of the state machine and decodes its results.
namespace state_codec {
/// @param version must be higher than the stored one to take effect
std::string EncodePutConfiguration(uint64_t version,
                                   const std::string& document);
std::string EncodeRegister(const fb::RegisterUpstreamT& upstream);
std::string EncodeDeparture(const UpstreamDeparture& departure);
std::string EncodeBegin(const fb::BeginTurnT& begin);
std::string EncodeFinish(const fb::FinishTurnT& finish);
std::string EncodeCrashes(const fb::ReportCrashesT& crashes);
std::string EncodeClearSuspect(uint64_t digest);
/// @param retired_keeper "<vm>@<address>" of the keeper to retire
std::string EncodeRetire(const std::string& retired_keeper);
std::string EncodeExpire();
/// @param configuration true to include the configuration document
std::string EncodeQuery(bool configuration);
/// @returns corrupt_data if the bytes cannot be decoded
Outcome<fb::StateResultT> DecodeResult(std::string_view bytes);
}  // namespace state_codec

}  // namespace ring
