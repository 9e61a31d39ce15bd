#pragma once

/// Ring state: the replicated state behind request-by-request programs.
/// Configuration documents with versions, upstreams that depart, turns with
/// the chain they continue, token budgets, retire orders. Deterministic; one
/// log group carries it.

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
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

/// Told of changes as they are applied, on the thread of the group.
class StateObserverI {
 public:
  virtual ~StateObserverI() = default;
  virtual void OnConfiguration(uint64_t version,
                               std::shared_ptr<const std::string> document) = 0;
  virtual void OnUpstream(const fb::RegisterUpstreamT& upstream) = 0;
  virtual void OnDeparture(const UpstreamDeparture& departure) = 0;
  virtual void OnRetire(const std::set<std::string>& nodes) = 0;
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
  std::unique_ptr<StateImageI> Freeze() const override;
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
std::string EncodeRetire(const std::string& node);
std::string EncodeExpire();
/// @param configuration include the document in the result
std::string EncodeQuery(bool configuration);
/// @returns corrupt_data if the bytes are not a result
Outcome<fb::StateResultT> DecodeResult(std::string_view bytes);
}  // namespace state_codec

}  // namespace ring
