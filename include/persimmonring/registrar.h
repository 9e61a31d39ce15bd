#pragma once

/// Registrar: what a keeper does besides its replica of the ring state. It
/// hears the announcements of upstreams, tells entries what changes, and takes
/// the orders of operators into the replicated log.

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "persimmonring/gateway.h"
#include "persimmonring/keeper.h"
#include "persimmonring/net.h"

namespace ring {

struct RegistrarInit {
  std::string node;               ///< "keeper@<ip>:<port>".
  std::string vm;                 ///< Name of this VM.
  std::vector<Endpoint> keepers;  ///< Some others; more are learned.
  int64_t announce_period_ms = 1'200;
  /// Announcements that may be missing before an upstream counts as silent;
  /// one may come seconds late.
  int64_t missed_announcements = 5;
  size_t min_members = 3;          ///< A retire order must leave as many.
  int64_t order_timeout_ms = 900;  ///< Callers try elsewhere after a second.
};

/// State of a retire order.
enum class RetireState : uint8_t { kUnknown, kRunning, kCompleted };

/// Runs on the loop thread, except for the interfaces of hub and state, whose
/// events it posts to the loop.
class Registrar final : public HubListenerI, public StateObserverI {
 public:
  using Answer = std::function<void(const Status&)>;
  using RetireAnswer = std::function<void(const Outcome<RetireState>&)>;
  using DocumentAnswer = std::function<void(const Outcome<std::string>&)>;

  Registrar(const RegistrarInit& init, EventLoop& loop);
  ~Registrar() override;

  /// @param host must outlive the registrar, as must the hub
  void Start(KeeperHost& host, HubI& hub);

  /// An upstream says that it is there. A draining one is answered only once
  /// the log holds that it drains, so that every entry learns of it.
  void Announce(const UpstreamInstance& upstream, const Answer& answer);
  /// An upstream says that it ends.
  void Deregister(const std::string& instance,
                  std::optional<int64_t> born_ms,
                  const Answer& answer);
  /// A version that is not higher than the one held is accepted and changes
  /// nothing.
  void PutConfiguration(uint64_t version,
                        const std::string& document,
                        const Answer& answer);
  /// @returns the newest configuration, confirmed by a majority
  void ReadConfiguration(const DocumentAnswer& answer);
  /// @returns not_allowed if too few keepers would be left, unknown_path for
  ///          an unknown VM, no_quorum if this keeper does not know the members
  void Retire(const std::string& vm, const Answer& answer);
  /// @returns the state as a majority knows it; no_quorum if this keeper has
  ///          not applied the order itself
  void ReadRetire(const std::string& vm, const RetireAnswer& answer);
  /// Further keepers, after the settings have changed.
  void AddKeepers(const std::vector<Endpoint>& keepers);

  // For the host's settings; thread-safe.
  void OnMembers(const LogConfig& config);
  /// Entries are told nothing before this, or before a bound of some seconds.
  void OnSettled();
  /// @returns addresses of keepers that are to be emptied
  std::set<std::string> retired() const;
  void OnLocalReply(const Frame& frame);

  void OnOpened(SessionHandle session, const PeerInfo& peer) override;
  void OnFrame(SessionHandle session,
               const PeerInfo& peer,
               const Frame& frame) override;
  void OnClosed(SessionHandle session,
                const PeerInfo& peer,
                Reason reason) override;

  void OnConfiguration(uint64_t version,
                       std::shared_ptr<const std::string> document) override;
  void OnUpstream(const fb::RegisterUpstreamT& upstream) override;
  void OnDeparture(const UpstreamDeparture& departure) override;
  void OnRetire(const std::set<std::string>& nodes) override;
  void OnSuspects(uint64_t version,
                  const std::vector<SuspectedRequest>& requests) override;

 private:
  class Impl;
  Outcome<RetireState> StateOf(const std::string& ordered) const;

  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
