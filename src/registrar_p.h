#pragma once

#include <mutex>
#include <optional>
#include <random>

#include "persimmonring/registrar.h"

namespace ring {

/// @returns the error of a request to the state group that did not succeed; a
///          proposal may have taken effect nevertheless
Refusal NotConfirmed(const Outcome<fb::StateResultT>& outcome);

/// Delivers requests of this keeper to its own replica without a connection.
class LoopbackHub final : public HubI {
 public:
  LoopbackHub(HubI& hub, KeeperHost& host, std::string node)
      : hub_(hub), host_(host), self_{.node = std::move(node)} {}

  void Connect(const Endpoint& endpoint) override { hub_.Connect(endpoint); }
  void Disconnect(const Endpoint& endpoint) override {
    hub_.Disconnect(endpoint);
  }
  Status Send(SessionHandle session, const Frame& frame) override {
    if (session != kLocalSession) {
      return hub_.Send(session, frame);
    }
    host_.OnFrame(kLocalSession, self_, frame);
    return Done{};
  }
  SessionHandle FindByEndpoint(const Endpoint& endpoint) const override {
    return hub_.FindByEndpoint(endpoint);
  }
  SessionHandle FindByNode(const std::string& node) const override {
    return node == self_.node ? kLocalSession : hub_.FindByNode(node);
  }

 private:
  HubI& hub_;
  KeeperHost& host_;
  const PeerInfo self_;
};

class Registrar::Impl {
 public:
  Impl(const RegistrarInit& init, EventLoop& loop) : init_(init), loop_(loop) {}

  void Start(KeeperHost& host, HubI& hub);
  void Announce(const UpstreamInstance& upstream,
                const StatusCallback& callback);
  void Deregister(const std::string& instance,
                  std::optional<int64_t> born_ms,
                  const StatusCallback& callback);
  void AddKeepers(const std::vector<Endpoint>& keepers);
  void OnSession(SessionHandle session, const PeerInfo& peer);
  void OnSessionEnd(SessionHandle session);
  void OnKeeperList(const std::string& payload);
  void OnMembers(const LogConfig& config);
  void OnCaughtUp();
  void OnConfiguration(uint64_t version);
  void OnDeparture(const UpstreamDeparture& departure);
  void OnSuspects(uint64_t version,
                  const std::vector<SuspectedRequest>& requests);
  void OnRegistered(const fb::RegisterUpstreamT& upstream);

  StateClient& state() { return *state_; }
  const RegistrarInit& init() const { return init_; }
  EventLoop& loop() { return loop_; }
  KeeperHost* host() { return host_; }
  const LogConfig& members() const { return members_; }
  /// @returns true if the VM of every member is known
  bool all_vms_known() const;
  bool IsMember(const std::string& address) const {
    return std::any_of(
        members_.members.begin(), members_.members.end(),
        [&](const Member& row) { return KeeperAddress(row.node) == address; });
  }
  /// @returns "<vm>@<address>" of the keeper on a VM; empty if unknown
  std::string FindVm(const std::string& vm) const;

  mutable std::mutex mutex;
  /// "<vm>@<address>" of keepers with a retire request; guarded by `mutex`.
  std::set<std::string> retired;

 private:
  struct KnownUpstream {
    UpstreamInstance upstream;
    int64_t last_announced_ms = 0;  ///< Loop time.
    bool heard = true;              ///< false: announcements have stopped.
  };
  /// An incarnation of an upstream: instance and start time.
  using IncarnationKey = std::pair<std::string, int64_t>;

  void Register(const UpstreamInstance& upstream);
  void RecordDeparture(const UpstreamDeparture& departure,
                       const StatusCallback& callback);
  bool IsDeparted(const UpstreamDeparture& departure) const;
  /// Marks upstreams whose announcements have stopped as silent and drops those
  /// that have been silent for long.
  void DetectSilentUpstreams();
  /// @param whole true if the frame replaces all that the entry knows
  static Frame UpstreamUpdateFrame(
      const std::vector<const KnownUpstream*>& rows,
      const std::vector<UpstreamDeparture>& departures,
      bool whole);
  Frame ConfigNoticeFrame() const;
  Frame SuspectListFrame() const;
  Frame KeeperListFrame();
  /// @returns the frames that bring a newly connected entry up to date
  std::vector<Frame> InitialFrames();
  void Send(SessionHandle session, const Frame& frame);
  void SendToEntries(const Frame& frame);
  /// Sends the list of known keepers to entries and keepers.
  void SendKeeperList();

  const RegistrarInit init_;
  EventLoop& loop_;
  KeeperHost* host_ = nullptr;
  HubI* hub_ = nullptr;
  std::unique_ptr<LoopbackHub> loopback_hub_;
  std::unique_ptr<StateClient> state_;
  std::map<std::string, KnownUpstream> upstreams_;  ///< By instance.
  std::map<IncarnationKey, bool> departures_;  ///< true: gone; false: draining.
  /// When the registration was last proposed or applied, loop time.
  std::map<IncarnationKey, int64_t> registered_ms_;
  std::map<SessionHandle, std::string> entries_;  ///< Session to node name.
  std::map<SessionHandle, std::string> relays_;   ///< Of connected entries.
  std::minstd_rand random_{std::random_device{}()};
  std::map<SessionHandle, std::string> keepers_;  ///< Session to node name.
  std::map<std::string, std::string> vms_;  ///< VM to address of its keeper.
  LogConfig members_;
  std::vector<SuspectedRequest> suspects_;
  uint64_t suspects_version_ = 0;
  uint64_t version_ = 0;
  bool caught_up_ = false;
};

}  // namespace ring
