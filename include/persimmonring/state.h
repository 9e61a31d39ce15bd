#pragma once

/// Ring state: the replicated state behind request-by-request programs.
/// Configuration documents with versions, upstreams that depart, turns with
/// the chain they continue, token budgets, retire orders. Deterministic; one
/// log group carries it.

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
#include "state.generated.h"

namespace ring {

/// Name of the group that holds the ring state.
constexpr char kStateGroup[] = "state";

/// An upstream that drains or is gone, as recorded in the log.
struct UpstreamDeparture {
  std::string instance;
  int64_t born_ms = 0;
  bool gone = false;

  auto operator<=>(const UpstreamDeparture&) const = default;
};

/// Short name of an upstream instance in placements; never 0. Two instances
/// with one key share their load, which costs a wait at most.
uint32_t UpstreamKey(std::string_view instance);

/// An upstream that could run a turn.
struct UpstreamOffer {
  uint32_t upstream = 0;  ///< UpstreamKey of the instance.
  int64_t cost_us = 0;  ///< Expected wait for the first event, apart from load.
  int32_t slots = 1;    ///< Requests that it runs at once.

  auto operator<=>(const UpstreamOffer&) const = default;
};

/// Expected wait at an engine for the turns that are under way there.
/// @param running turns under way
/// @param slots turns that it runs at once
int64_t EngineWaitUs(int32_t running, int32_t slots);

/// Turns under way by upstream, over all entries, and how fast upstreams are
/// compared with each other. A hint: it is not part of snapshots and decides
/// nothing but where turns wait the least.
///
/// Answers the load of a burst over many entries, each of which sees a
/// hundredth of it, and of engines of which some have become slow.
class LoadBoard {
 public:
  /// A place where a turn is to run.
  struct Placement {
    uint32_t upstream = 0;
    int32_t load = 0;  ///< Turns that are under way there.

    auto operator<=>(const Placement&) const = default;
  };

  /// Chooses the offer with the least expected wait and counts the turn there
  /// until it ends or `expires_ms` has passed.
  /// @returns nullopt without offers
  std::optional<Placement> Place(const std::string& turn,
                                 const std::vector<UpstreamOffer>& offers,
                                 int64_t expires_ms);
  /// @param upstream that ran the turn
  /// @param event_us mean time between its events; 0: not known
  void End(const std::string& turn, uint32_t upstream, int64_t event_us);
  /// Drops turns whose entry has not said how they ended. Called each second.
  void Expire(int64_t now_ms);
  int32_t load(uint32_t upstream) const;

 private:
  struct Turn {
    uint32_t upstream = 0;
    int64_t expires_ms = 0;
  };
  int64_t WaitUs(const UpstreamOffer& offer, int64_t usual_event_us) const;
  int64_t UsualEventUs(const std::vector<UpstreamOffer>& offers) const;

  std::map<std::string, Turn> turns_;
  std::map<uint32_t, int32_t> loads_;
  std::map<uint32_t, int64_t> event_us_;  ///< Moving means by upstream.
};

/// A request that was under way when upstreams crashed.
struct SuspectedRequest {
  uint64_t digest = 0;  ///< Of method, path, object and body.
  int32_t crashes = 0;  ///< Upstreams that crashed under it.

  auto operator<=>(const SuspectedRequest&) const = default;
};

/// A request that crashed this many upstreams is run no more.
constexpr int32_t kCrashesToQuarantine = 3;

/// A crashed upstream is not back sooner than this; signs or reports that lie
/// closer together are of one crash.
constexpr int64_t kSameCrashMs = 1'000;

/// An upstream that crashed and the requests that were under way there.
struct UpstreamCrash {
  uint32_t upstream = 0;  ///< UpstreamKey of the incarnation.
  int64_t at_ms = 0;      ///< On the clock of the board that it is reported to.
  /// Digest to the time at which the upstream got the request, at the latest.
  /// None: explained by a quarantined request.
  std::map<uint64_t, int64_t> requests;

  auto operator<=>(const UpstreamCrash&) const = default;
};

/// Finds the requests that crash whatever runs them, from crashes and the
/// requests that were under way. A request that is sent again and again after a
/// crash and meets another one is quarantined; these crashes count no more
/// against those beside it. Crashes of several upstreams that had the same
/// request at the same time count as one: they may have another cause. A
/// success clears a request. Kept by the state group for all entries, and by
/// each entry for what it has seen itself.
///
/// Answers the load of callers who repeat such a request at any entry.
class SuspectBoard {
 public:
  /// Reports of one crash by several entries are joined.
  void Report(const UpstreamCrash& report);
  /// @returns true if something changed
  bool Clear(uint64_t digest);
  void Expire(int64_t now_ms);
  /// @param open crashes that are not confirmed, in the order of their times
  /// @returns crashes that the request may have caused, one after the other
  int32_t crashes(uint64_t digest,
                  const std::vector<UpstreamCrash>& open = {}) const;
  /// @returns requests with more than one crash, in the order of their digests
  std::vector<SuspectedRequest> List() const;
  bool empty() const { return crashes_.empty() && quarantined_.empty(); }

  const std::vector<UpstreamCrash>& recent() const { return crashes_; }
  /// @returns digests with the time of the last crash
  const std::map<uint64_t, int64_t>& quarantined() const {
    return quarantined_;
  }
  void Load(std::vector<UpstreamCrash> recent,
            std::map<uint64_t, int64_t> quarantined) {
    crashes_ = std::move(recent);
    quarantined_ = std::move(quarantined);
  }

 private:
  void Quarantine(const UpstreamCrash& latest);

  std::vector<UpstreamCrash> crashes_;  ///< In the order of their times.
  std::map<uint64_t, int64_t> quarantined_;
};

/// Told of changes as they are applied, on the thread of the group.
class StateObserverI {
 public:
  virtual ~StateObserverI() = default;
  virtual void OnConfiguration(uint64_t version,
                               std::shared_ptr<const std::string> document) = 0;
  virtual void OnUpstream(const fb::RegisterUpstreamT& upstream) = 0;
  virtual void OnDeparture(const UpstreamDeparture& departure) = 0;
  virtual void OnRetire(const std::set<std::string>& nodes) = 0;
  /// @param version grows with each change of the list
  virtual void OnSuspects(uint64_t version,
                          const std::vector<SuspectedRequest>& requests) = 0;
};

/// State machine of the group.
class RingStateMachine final : public StateMachineI {
 public:
  struct Init {
    /// Added to each retention time, because leaders stamp entries with wall
    /// clocks that may be set forward.
    int64_t clock_slack_ms = 15'000;
    /// A program without open turns is forgotten after this time.
    int64_t program_retention_ms = 180'000;
    /// Registrations are kept this long without being repeated.
    int64_t registration_retention_ms = 600'000;
    /// Departures are kept this long; an address is used again much earlier.
    int64_t departure_retention_ms = 600'000;
  };

  /// @param observer may be null; else outlives the machine
  RingStateMachine(const Init& init, StateObserverI* observer);
  ~RingStateMachine() override;

  std::string Apply(uint64_t index,
                    int64_t time_ms,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::string Save() const override;
  std::unique_ptr<StateImageI> BeginSave() const override;
  Status Load(std::string_view snapshot) override;
  std::unique_ptr<StateLoaderI> BeginLoad() override;
  std::string ExpireCommand() const override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Commands and queries of the machine.
namespace state_codec {
std::string EncodePutConfiguration(uint64_t version,
                                   const std::string& document);
std::string EncodeRegister(const fb::RegisterUpstreamT& upstream);
std::string EncodeDeparture(const UpstreamDeparture& departure);
std::string EncodeBegin(const fb::BeginTurnT& begin);
std::string EncodeFinish(const fb::FinishTurnT& finish);
std::string EncodeCrashes(const fb::ReportCrashesT& crashes);
std::string EncodeClearSuspect(uint64_t digest);
std::string EncodeRetire(const std::string& node);
std::string EncodeExpire();
/// @param configuration include the document in the result
std::string EncodeQuery(bool configuration);
/// @returns corrupt_data if the bytes are not a result
Outcome<fb::StateResultT> DecodeResult(std::string_view bytes);
}  // namespace state_codec

}  // namespace ring
