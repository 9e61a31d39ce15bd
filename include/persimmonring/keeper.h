#pragma once

/// Keepers replicate the state of the ring. KeeperHost runs the replicas of the
/// Raft groups of one process. KeeperClient (blocking) and StateClient
/// (non-blocking) send requests to the leaders of these groups.

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

/// Name of the Raft group that replicates the control state.
constexpr char kControlGroup[] = "control";

/// Session handle of requests that a process sends to its own KeeperHost.
/// Replies go to KeeperHostInit::on_local_reply.
constexpr SessionHandle kLocalSession{UINT64_MAX};

// -------------------------------------------------------------- keeper process

/// Identifies a replica that this process runs.
struct ReplicaSpec {
  std::string group;  ///< "control" or the name of a failure domain.
  ReplicaId id = 0;
  /// Members of a new group; must include this replica. Empty: the replica
  /// joins an existing group.
  std::vector<Member> initial_members;

  auto operator<=>(const ReplicaSpec&) const = default;
};

/// Options of a KeeperHost.
struct KeeperHostInit {
  std::string ring;    ///< Name of the ring, stored with each replica.
  std::string node;    ///< Name of this keeper.
  std::string region;  ///< Region of this VM, used to choose leaders.
  std::string data_folder;
  std::vector<ReplicaSpec> replicas;
  std::map<std::string, Endpoint> keepers;  ///< All keepers, by node name.
  int64_t tick_ms = 50;                     ///< Raft tick, ms.
  int32_t heartbeat_ticks = 2;
  int32_t election_ticks = 20;       ///< Randomized over [n, 2n].
  int32_t min_election_ticks = 0;    ///< See Replica::Init.
  int32_t first_election_ticks = 0;  ///< See Replica::Init.
  bool leader_notice = true;         ///< New leaders tell the entries.
  /// Maximum size of the log entries in one append message, bytes.
  size_t max_append_bytes = 1u << 20;
  /// Maximum unacknowledged appends to each member.
  size_t max_inflight_appends = 64;
  size_t max_pending_proposals = 4'096;  ///< For each group.
  uint64_t snapshot_entries = 20'000;  ///< Log length that triggers a snapshot.
  ProgramLimits program_limits;
  uint64_t seed = 0;  ///< Seed of the random generator; 0: random seed.
  /// Creates the data of replicas that have never been started. Use it only for
  /// the first start of a replica id: a replica that lost its data no longer
  /// knows how it voted and must not return under its old id.
  bool initialize = false;
  /// Groups manage their own membership: keepers that are not members ask to
  /// join, and learners replace lost and retired voters. All keepers of a group
  /// must have the same value.
  bool automatic_membership = false;
  size_t max_voters = SIZE_MAX;    ///< Members beyond it remain learners.
  size_t max_learners = SIZE_MAX;  ///< Keepers beyond it are not added.
  /// Returns true if the node is a keeper. If empty, the nodes in `keepers` are
  /// the keepers.
  std::function<bool(const std::string& node)> is_keeper;
  /// Called on the thread of a group after its membership has changed.
  std::function<void(const std::string& group, const LogConfig& config)>
      on_members_changed;
  /// Called on the thread of a group once its state machine has applied
  /// everything that was committed before the group was opened. Until then its
  /// state may be outdated.
  std::function<void(const std::string& group)> on_caught_up;
  /// @returns addresses of keepers whose voters are to be replaced. Called on
  ///          the thread of a group.
  std::function<std::set<std::string>()> retired_nodes;
  /// Receives the replies to requests that arrived with kLocalSession.
  std::function<void(const Frame& frame)> on_local_reply;
  /// If empty, the host creates the control or program state machine, depending
  /// on the group.
  std::function<std::unique_ptr<StateMachineI>(const std::string& group)>
      create_machine;
  /// If empty, OpenDisk() is used.
  std::function<Outcome<std::unique_ptr<DiskI>>(const std::string& folder)>
      open_disk;
};

/// Request of a keeper to become a member of a group.
struct JoinRequest {
  ReplicaId id = 0;
  std::string node;

  auto operator<=>(const JoinRequest&) const = default;
};

/// State of a group from which its leader plans the next membership change.
struct MembershipInput {
  ReplicaId self = 0;  ///< The leader.
  /// Commit index at the previous check; a learner that has replicated it is
  /// up to date.
  uint64_t commit_index = 0;
  std::vector<MemberProgress> members;
  std::vector<JoinRequest> joins;  ///< Recent requests.
  std::set<std::string> retired;   ///< Addresses of keepers to be replaced.
  size_t max_voters = SIZE_MAX;
  size_t max_learners = SIZE_MAX;  ///< Each learner stores a copy of all data.
  /// A member silent for more than this many ticks counts as lost.
  int64_t lost_after_ticks = 0;

  auto operator<=>(const MembershipInput&) const = default;
};

/// A change of one member.
struct MembershipChange {
  enum class Kind : uint8_t { kNone, kAdd, kPromote, kRemove };
  Kind kind = Kind::kNone;
  ReplicaId id = 0;
  std::string node;
  std::string cause;  ///< For the log.

  auto operator<=>(const MembershipChange&) const = default;
};

/// @returns "<ip>:<port>" for a node named "keeper@<ip>:<port>", or the whole
///          name if it contains no '@'
std::string KeeperAddress(const std::string& node);

/// A voter that may become the leader.
struct LeaderCandidate {
  ReplicaId id = 0;
  std::string region;
  bool ready = false;  ///< Heard from recently and up to date.

  auto operator<=>(const LeaderCandidate&) const = default;
};

/// Chooses a leader in the region that has the majority of voters. Such a
/// leader commits, and reaches most entry nodes, without crossing the link
/// between regions.
/// @returns 0 if the current leader should stay
ReplicaId PreferredLeader(ReplicaId leader,
                          const std::vector<LeaderCandidate>& voters);

/// Plans the next membership change; each changes one member. A voter is
/// removed only if its data is known to be lost or if its replacement is
/// already a voter, so that the group keeps its majority if another member is
/// lost during the change.
MembershipChange PlanMembership(const MembershipInput& input);

/// Runs the replicas of one process, each on its own thread. Receives Raft
/// messages and keeper requests by OnFrame and sends replies through the hub.
class KeeperHost final : public HubListenerI {
 public:
  /// Opens the data folder and all replicas.
  /// @returns storage_failed; corrupt_data if a folder is damaged or belongs to
  ///          another replica; bad_request if the initial members of a replica
  ///          do not include it
  static Outcome<std::unique_ptr<KeeperHost>> Create(const KeeperHostInit& init,
                                                     const ClockI& clock);
  ~KeeperHost() override;

  /// Connects to the other keepers. Must be called before the supervisor starts
  /// the workers; the hub must outlive the host.
  void Attach(HubI& hub);
  /// Adds one worker for each group.
  void AddWorkers(Supervisor& supervisor);
  /// @returns true if this process knows a current leader of each group
  bool ready() const;
  /// Asks each group that this process leads to transfer leadership to another
  /// voter. Does not wait for the transfer; see led_groups.
  void TransferLeadership();
  /// @returns the number of groups that this process leads
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

/// Options of a KeeperClient.
struct KeeperClientInit {
  std::string node;
  std::vector<Endpoint> keepers;
  /// Time limit of a request over all its attempts, ms.
  int64_t timeout_ms = 3'000;
  /// Time limit of one attempt, after which the next keeper is tried, ms.
  int64_t attempt_timeout_ms = 1'000;
};

/// Result of one request to a group: the encoded result or a refusal.
using KeeperResult = Outcome<std::string>;

/// Blocking client of Raft groups. Finds the leader of a group and retries
/// until the timeout. Commands are idempotent (see BeginCall::attempt), so they
/// are retried even if an earlier attempt may have been committed. Thread-safe.
class KeeperClient {
 public:
  KeeperClient(const KeeperClientInit& init, HubI& hub, const ClockI& clock);
  ~KeeperClient();
  KeeperClient(const KeeperClient&) = delete;
  KeeperClient& operator=(const KeeperClient&) = delete;

  /// Proposes a command.
  /// @returns the result of the state machine; no_quorum if no leader replied
  ///          in time, with run state unknown if the command may still be
  ///          applied
  KeeperResult Propose(const std::string& group, const std::string& command);
  /// Reads from the leader, which first confirms that it still leads.
  /// @returns the result of the state machine; no_quorum if no leader replied
  ///          in time
  KeeperResult Query(const std::string& group, const std::string& query);
  /// Sends a request to the leader of the group.
  /// @param op operation, a KeeperOp of schema/keeper.fbs
  KeeperResult Call(const std::string& group,
                    uint8_t op,
                    const std::string& payload);
  /// Sends a request to one keeper and does not retry.
  KeeperResult CallNode(const std::string& node,
                        const std::string& group,
                        uint8_t op,
                        const std::string& payload);

  /// Handles KeeperReply and ControlPush frames and ignores others. To be
  /// called by the hub listener of the process.
  void OnFrame(SessionHandle session, const PeerInfo& peer, const Frame& frame);
  /// To be called by the hub listener of the process.
  void OnClosed(SessionHandle session);
  /// Sets the callback for pushed control versions.
  /// @param callback runs on the network thread
  void SetControlPushCallback(std::function<void(uint64_t version)> callback);

 private:
  friend class CallInProgress;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Creates a store that sends its requests through the client, which must
/// outlive it.
std::unique_ptr<ProgramStoreI> CreateProgramStore(KeeperClient& client);
/// Creates a store that sends its requests through the client, which must
/// outlive it.
std::unique_ptr<ControlStoreI> CreateControlStore(KeeperClient& client);

// ---------------------------------------------------------------- state client

/// Non-blocking client of the state group, used on the thread of one event
/// loop. Finds the leader and retries until the timeout. Commands are
/// idempotent, so they are retried even if an earlier attempt may have been
/// committed.
class StateClient {
 public:
  struct Init {
    /// Time limit of one attempt, after which the next keeper is tried, ms.
    int64_t attempt_timeout_ms = 500;
    /// Pause after all connected keepers have refused a call, ms.
    int64_t round_pause_ms = 30;
    /// If no keeper has been heard from for this time, calls fail early, ms.
    int64_t unreachable_after_ms = 900;
  };
  using Callback = std::function<void(const Outcome<fb::StateResultT>&)>;

  StateClient(const Init& init, HubI& hub, EventLoop& loop);
  ~StateClient();
  StateClient(const StateClient&) = delete;
  StateClient& operator=(const StateClient&) = delete;

  /// Proposes a command.
  /// @param timeout_ms time limit over all attempts, ms
  /// @param callback runs on the loop; receives no_quorum after a timeout.
  ///        After a failure the command may still be applied unless the run
  ///        state is not_run.
  void Propose(const std::string& command,
               int64_t timeout_ms,
               Callback callback);
  /// Reads the applied state of one keeper, which may be outdated.
  void QueryLocal(SessionHandle session,
                  const std::string& query,
                  int64_t timeout_ms,
                  Callback callback);
  /// Reads from the leader, which first confirms that it still leads.
  void Query(const std::string& query, int64_t timeout_ms, Callback callback);

  using LeaseCallback = std::function<void(const Outcome<fb::LeaseReplyT>&)>;
  /// Sends a lease request to the leader. The same bytes are sent again to the
  /// next keeper if there is no reply; replies after the callback are dropped.
  void Lease(const std::string& request,
             int64_t timeout_ms,
             LeaseCallback callback);

  // Events of keeper sessions, to be called on the loop thread.
  void OnOpened(SessionHandle session, const std::string& node);
  void OnClosed(SessionHandle session);
  void OnReply(SessionHandle session,
               const std::string& node,
               uint64_t correlation,
               const std::string& payload);
  /// The keeper has become the leader: calls that wait for another one are
  /// sent to it at once.
  void OnLeader(SessionHandle session);
  /// @returns false if no keeper is connected, or if a call failed because no
  ///          keeper was heard from for `unreachable_after_ms`, until one is
  ///          heard again
  bool reachable() const;
  /// @returns the number of keepers with an open session
  size_t keepers() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
