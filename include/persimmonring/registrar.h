#pragma once

/// Registrar: the part of a keeper that serves upstreams, entries and
/// operators. It receives announcements of upstreams, notifies entries of
/// changes, and proposes configurations and retire requests to the
/// replicated log.

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
  std::string node;  ///< "keeper@<ip>:<port>".
  std::string vm;    ///< Name of this VM.
  /// Some keepers to connect to first; the others are learned from them.
  std::vector<Endpoint> keepers;
  int64_t announce_period_ms = 1'200;  ///< Between announcements.
  /// An upstream counts as silent after this many announcement periods. A
  /// single announcement may be seconds late.
  int64_t max_missed_announcements = 5;
  size_t min_members = 3;  ///< A retire request must leave at least this many.
  /// Timeout of proposals and queries. Callers turn to another keeper after
  /// 1,000 ms.
  int64_t request_timeout_ms = 900;
};

/// State of a retire request.
enum class RetireState : uint8_t { kUnknown, kRunning, kCompleted };

/// Runs on the loop thread. Events of the hub and of the ring state arrive on
/// other threads and are posted to the loop.
class Registrar final : public HubListenerI, public StateObserverI {
 public:
  using StatusCallback = std::function<void(const Status&)>;
  using RetireCallback = std::function<void(const Outcome<RetireState>&)>;
  using DocumentCallback = std::function<void(const Outcome<std::string>&)>;

  Registrar(const RegistrarInit& init, EventLoop& loop);
  ~Registrar() override;

  /// @param host must outlive the registrar
  /// @param hub must outlive the registrar
  void Start(KeeperHost& host, HubI& hub);

  /// Processes an announcement of an upstream. If the upstream is draining or
  /// gone, the result is reported only after the log has recorded the
  /// departure, so that every entry is notified.
  void Announce(const UpstreamInstance& upstream,
                const StatusCallback& callback);
  /// Records that an upstream has ended.
  /// @param born_ms start time of the incarnation; nullopt: the one announced
  ///                last
  void Deregister(const std::string& instance,
                  std::optional<int64_t> born_ms,
                  const StatusCallback& callback);
  /// Proposes a configuration. A version that is not higher than the stored one
  /// is accepted but has no effect.
  void PutConfiguration(uint64_t version,
                        const std::string& document,
                        const StatusCallback& callback);
  /// Reads the newest configuration, confirmed by a majority.
  void ReadConfiguration(const DocumentCallback& callback);
  /// Proposes to retire the keeper of a VM. Fails with not_allowed if too few
  /// keepers would remain, unknown_path if the VM is unknown, and no_quorum if
  /// this keeper does not know the members or their VMs.
  void Retire(const std::string& vm, const StatusCallback& callback);
  /// Reads the state of a retire request, confirmed by a majority. Fails with
  /// no_quorum if this keeper has not applied the request itself.
  void ReadRetire(const std::string& vm, const RetireCallback& callback);
  /// Connects to further keepers, after the settings have changed.
  void AddKeepers(const std::vector<Endpoint>& keepers);

  // Callbacks of the KeeperHost; thread-safe.

  void OnMembers(const LogConfig& config);
  /// Called once the state machine has applied everything that was committed
  /// before the group was opened. Entries get no updates before this, or before
  /// a timeout of a few seconds.
  void OnCaughtUp();
  /// @returns addresses of the keepers with a retire request
  std::set<std::string> retired() const;
  /// Takes the reply of the local replica to a request of this keeper.
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
  void OnRetire(const std::set<std::string>& retired_keepers) override;
  void OnSuspects(uint64_t version,
                  const std::vector<SuspectedRequest>& requests) override;

 private:
  class Impl;
  /// @param retired_keeper "<vm>@<address>" of a keeper with a retire request
  Outcome<RetireState> RetireStateOf(const std::string& retired_keeper) const;

  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
