#pragma once

/// Keepers: log groups hosted in a process (KeeperHost), and the client that
/// entries and ringctl use to reach the leaders of groups (KeeperClient).

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "persimmonring/control.h"
#include "persimmonring/log.h"
#include "persimmonring/net.h"
#include "persimmonring/program.h"
#include "persimmonring/runtime.h"
#include "persimmonring/state.h"
#include "persimmonring/wire.h"

namespace ring {

/// Name of the group that holds the control state.
constexpr char kControlGroup[] = "control";

/// Session of requests that a keeper sends to itself.
constexpr SessionHandle kLocalSession{UINT64_MAX};

// -------------------------------------------------------------- keeper process

/// A replica that this process runs.
struct ReplicaSpec {
  std::string group;  ///< "control" or the name of a domain.
  ReplicaId id = 0;
  std::vector<Member> initial_members;  ///< Of a new group; empty: join.

  auto operator<=>(const ReplicaSpec&) const = default;
};

struct KeeperHostInit {
  std::string ring;
  std::string node;
  std::string region;  ///< Of this VM; for the choice of leaders.
  std::string data_folder;
  std::vector<ReplicaSpec> replicas;
  std::map<std::string, Endpoint> keepers;  ///< Node to address, all keepers.
  int64_t tick_ms = 50;
  int32_t heartbeat_ticks = 2;
  int32_t election_ticks = 20;           ///< Randomized over [n, 2n].
  int32_t first_election_ticks = 0;      ///< See Replica::Init.
  size_t max_append_bytes = 1u << 20;    ///< Entries of one message.
  size_t max_inflight_appends = 64;      ///< Unanswered, for each member.
  size_t max_pending_proposals = 4'096;  ///< For each group.
  uint64_t snapshot_entries = 20'000;  ///< Log length that triggers a snapshot.
  ProgramLimits program_limits;
  uint64_t seed = 0;  ///< 0: from the system's generator.
  /// Prepares folders of replicas that were never started. Only for the first
  /// start of a replica id: a replica whose data was lost has forgotten its
  /// vote, and must not come back under its old id.
  bool initialize = false;
  /// Members change by themselves: keepers without a place ask to join, lost
  /// and retired voters are replaced by learners. Only for groups that this
  /// holds for on each of their keepers.
  bool automatic_members = false;
  size_t max_voters = SIZE_MAX;    ///< Further members stay learners.
  size_t max_learners = SIZE_MAX;  ///< Further keepers hold no replica data.
  /// Tells keepers from entries by their node name. Empty: those in `keepers`.
  std::function<bool(const std::string& node)> is_keeper;
  /// Called on the thread of a group after its members have changed.
  std::function<void(const std::string& group, const LogConfig& config)>
      on_members;
  /// Called by a group's thread when its state is as new as the ring's was when
  /// the group was opened; until then it may lack what was committed.
  std::function<void(const std::string& group)> on_settled;
  /// Addresses whose voters are to be replaced; called on the thread of a
  /// group.
  std::function<std::set<std::string>()> retired_nodes;
  /// Receives the replies to frames that came with kLocalSession.
  std::function<void(const Frame& frame)> on_local_reply;
  /// Empty: the control and program state machines.
  std::function<std::unique_ptr<StateMachineI>(const std::string& group)>
      create_machine;
  /// Empty: OpenDisk.
  std::function<Outcome<std::unique_ptr<DiskI>>(const std::string& folder)>
      open_disk;
};

/// A keeper that asks for a place in a group.
struct JoinRequest {
  ReplicaId id = 0;
  std::string node;

  auto operator<=>(const JoinRequest&) const = default;
};

/// What a leader decides a change of members from.
struct MembershipInput {
  ReplicaId self = 0;
  /// What was committed a moment ago; a learner that has it keeps up.
  uint64_t commit_index = 0;
  std::vector<MemberProgress> members;
  std::vector<JoinRequest> joins;  ///< Heard a moment ago.
  std::set<std::string> retired;   ///< Addresses to be emptied.
  size_t max_voters = SIZE_MAX;
  size_t max_learners = SIZE_MAX;  ///< Each costs a copy of all data.
  int64_t lost_ticks = 0;          ///< Silence after which one is lost.

  auto operator<=>(const MembershipInput&) const = default;
};

struct MembershipChange {
  enum class Kind : uint8_t { kNone, kAdd, kPromote, kRemove };
  Kind kind = Kind::kNone;
  ReplicaId id = 0;
  std::string node;
  std::string why;

  auto operator<=>(const MembershipChange&) const = default;
};

/// @returns the address of a keeper named "keeper@<ip>:<port>", else the whole
///          name
std::string AddressOfKeeper(const std::string& node);

/// A voter as the choice of a leader sees it.
struct LeaderCandidate {
  ReplicaId id = 0;
  std::string region;
  bool ready = false;  ///< Heard a moment ago and up to date.

  auto operator<=>(const LeaderCandidate&) const = default;
};

/// Chooses a better leader: one in the region of most voters, because commits
/// and most entries are then reached without the link between regions.
/// @returns 0 if the present leader should stay
ReplicaId PreferredLeader(ReplicaId leader,
                          const std::vector<LeaderCandidate>& voters);

/// Chooses the next change of members, one at a time. A voter is removed only
/// if its disk is known to be lost or its successor votes already, so that a
/// further loss in between does not take the majority.
MembershipChange PlanMembership(const MembershipInput& input);

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

// ---------------------------------------------------------------- state client

/// Non-blocking client of the state group, for one loop. Finds the leader and
/// repeats a command until it is answered; commands are safe to repeat.
class StateClient {
 public:
  struct Init {
    /// Wait for one keeper before the next is asked.
    int64_t attempt_timeout_ms = 500;
    /// Pause after each known keeper has refused.
    int64_t round_pause_ms = 30;
    /// Without a word of any keeper for this time, calls are given up.
    int64_t silence_ms = 900;
  };
  using Callback = std::function<void(const Outcome<fb::StateResultT>&)>;

  StateClient(const Init& init, HubI& hub, EventLoop& loop);
  ~StateClient();
  StateClient(const StateClient&) = delete;
  StateClient& operator=(const StateClient&) = delete;

  /// Proposes a command. The callback runs on the loop; after a failure the
  /// command may still take effect unless the run state is not_run.
  void Propose(const std::string& command,
               int64_t timeout_ms,
               Callback callback);
  /// Asks a certain keeper for what it has applied.
  void QueryLocal(SessionHandle session,
                  const std::string& query,
                  int64_t timeout_ms,
                  Callback callback);
  /// Asks the leader, which confirms that it still leads.
  void Query(const std::string& query, int64_t timeout_ms, Callback callback);

  // Events of the hub, on the loop thread.
  void OnOpened(SessionHandle session, const std::string& node);
  void OnClosed(SessionHandle session);
  void OnReply(SessionHandle session,
               const std::string& node,
               uint64_t correlation,
               const std::string& payload);
  /// @returns false if no keeper is connected, or none has answered lately
  bool reachable() const;
  /// @returns keepers with an open session
  size_t keepers() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
