#pragma once

/// Keepers: log groups hosted in a process (KeeperHost), and the client that
/// entries and ringctl use to reach the leaders of groups (KeeperClient).

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/control.h"
#include "persimmonring/log.h"
#include "persimmonring/program.h"
#include "persimmonring/runtime.h"
#include "persimmonring/wire.h"

namespace ring {

/// Name of the group that holds the control state.
constexpr char kControlGroup[] = "control";

// -------------------------------------------------------------- keeper process

/// A replica that this process runs.
struct ReplicaSpec {
  std::string group;  ///< "control" or the name of a domain.
  ReplicaNumber id = 0;
  std::vector<Member> initial_members;  ///< Of a new group; empty: join.

  auto operator<=>(const ReplicaSpec&) const = default;
};

struct KeeperHostInit {
  std::string ring;
  std::string node;
  std::string data_folder;
  std::vector<ReplicaSpec> replicas;
  std::map<std::string, Endpoint> keepers;  ///< Node to address, all keepers.
  int64_t tick_ms = 50;
  int32_t heartbeat_ticks = 2;
  int32_t election_ticks = 20;           ///< Randomized over [n, 2n].
  size_t max_pending_proposals = 4'096;  ///< For each group.
  uint64_t snapshot_entries = 20'000;  ///< Log length that triggers a snapshot.
  ProgramLimits program_limits;
  uint64_t seed = 0;  ///< 0: from the system's generator.
  /// Prepares folders of replicas that were never started. Only for the first
  /// start of a replica id: a replica whose data was lost has forgotten its
  /// vote, and must not come back under its old id.
  bool initialize = false;
  /// Empty: the control and program state machines.
  std::function<std::unique_ptr<StateMachineI>(const std::string& group)>
      create_machine;
  /// Empty: OpenDisk.
  std::function<Outcome<std::unique_ptr<DiskI>>(const std::string& folder)>
      open_disk;
};

/// Runs the replicas of one process: a thread for each group. Raft and keeper
/// frames go in by OnFrame, answers go out through the hub.
class KeeperHost final : public HubListenerI {
 public:
  /// Opens the data folder and all replicas.
  /// @returns storage_failed, corrupt_data (foreign or damaged folder)
  static Outcome<std::unique_ptr<KeeperHost>> Create(const KeeperHostInit& init,
                                                     const ClockI& clock);
  ~KeeperHost() override;

  /// Must be called before Start; the hub must outlive the host.
  void Attach(HubI& hub);
  /// Adds one duty for each group.
  void AddDuties(Supervisor& supervisor);
  /// @returns true if each group has a leader that this process hears
  bool ready() const;
  /// Asks all groups to pass leadership to another process.
  void HandOver();
  /// @returns number of groups that this process leads
  size_t led_groups() const;

  void OnOpened(SessionHandle session, const PeerInfo& peer) override;
  void OnFrame(SessionHandle session,
               const PeerInfo& peer,
               const Frame& frame) override;
  void OnClosed(SessionHandle session,
                const PeerInfo& peer,
                Reason reason) override;

 private:
  class Impl;
  explicit KeeperHost(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

// --------------------------------------------------------------- keeper client

struct KeeperClientInit {
  std::string node;
  std::vector<Endpoint> keepers;
  /// Longest wait for a leader and its answer.
  int64_t timeout_ms = 3'000;
  /// Wait before the next keeper is asked when one does not answer.
  int64_t attempt_timeout_ms = 1'000;
};

/// Result of one request to a group.
using KeeperResult = Outcome<std::string>;

/// Finds the leader of each group and keeps asking until the timeout. A request
/// that may have been committed is repeated only because commands are safe to
/// repeat (see BeginCall::attempt). Thread-safe.
class KeeperClient {
 public:
  KeeperClient(const KeeperClientInit& init, HubI& hub, const ClockI& clock);
  ~KeeperClient();
  KeeperClient(const KeeperClient&) = delete;
  KeeperClient& operator=(const KeeperClient&) = delete;

  /// @returns the result of the state machine; no_quorum (run state unknown for
  ///          a proposal that was sent, else not_run)
  KeeperResult Propose(const std::string& group, const std::string& command);
  KeeperResult Query(const std::string& group, const std::string& query);
  /// Sends one request with the given operation (see schema/keeper.fbs) to the
  /// leader of the group.
  KeeperResult Call(const std::string& group,
                    uint8_t op,
                    const std::string& payload);
  /// Sends one request to one keeper, without looking for the leader.
  KeeperResult CallNode(const std::string& node,
                        const std::string& group,
                        uint8_t op,
                        const std::string& payload);

  /// The process's hub listener passes on KeeperReply and ControlPush frames
  /// and closed sessions.
  void OnFrame(SessionHandle session, const PeerInfo& peer, const Frame& frame);
  void OnClosed(SessionHandle session);
  /// @param callback runs on the network thread when a push names a new version
  void OnControlPush(std::function<void(uint64_t version)> callback);

 private:
  friend class CallInProgress;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Stores over a client; the client must outlive them.
std::unique_ptr<ProgramStoreI> CreateProgramStore(KeeperClient& client);
std::unique_ptr<ControlStoreI> CreateControlStore(KeeperClient& client);

}  // namespace ring
