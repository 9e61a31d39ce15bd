#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "keeper.generated.h"
#include "keeper_versions_p.h"
#include "persimmonring/keeper.h"

namespace ring {

/// Sends the frames of a group to other processes. Frames that cannot be sent
/// are lost. Thread-safe.
class GroupTransportI {
 public:
  virtual ~GroupTransportI() = default;
  virtual void SendTo(SessionHandle session, const Frame& frame) = 0;
  virtual void SendToNode(const std::string& node, const Frame& frame) = 0;
  /// Sends to all connected nodes that are not keepers.
  virtual void SendToEntries(const Frame& frame) = 0;
  /// Sends to all connected keepers.
  virtual void SendToKeepers(const Frame& frame) = 0;
};

/// Encodes the reply to a keeper request.
/// @param leader node believed to lead the group; empty if unknown
std::string EncodeKeeperReply(const Outcome<std::string>& outcome,
                              const std::string& leader);

/// Input to the thread of a group.
struct GroupInput {
  enum class Kind : uint8_t {
    kRaft,
    kRequest,
    kTransferLeadership,
    kPeerOpened
  };
  Kind kind = Kind::kRaft;
  SessionHandle session;
  std::string node;    ///< Sender, or the peer whose session was opened.
  std::string region;  ///< Region of the sender.
  uint64_t correlation = 0;
  std::string payload;
};

/// Chooses the first entry that stays in the log when it is compacted. Entries
/// that a member is still replicating are kept, because the member would
/// otherwise have to start over with a snapshot.
/// @param default_first index of the first entry that is kept in any case
/// @param max_extra_entries bound on the number of entries kept before it
/// @returns the index of the first entry to keep
uint64_t FirstEntryToKeep(uint64_t default_first,
                          uint64_t max_extra_entries,
                          const std::vector<MemberProgress>& members);

/// Runs one replica with its disk and state machine on a thread of its own.
class GroupHost {
 public:
  struct Init {
    WalIdentity identity;
    std::string node;
    std::string region;
    std::vector<Member> initial_members;
    int64_t tick_ms = 50;
    int32_t heartbeat_ticks = 2;
    int32_t election_ticks = 20;
    int32_t min_election_ticks = 0;
    int32_t first_election_ticks = 0;
    bool leader_notice = true;
    size_t max_append_bytes = 1u << 20;
    size_t max_inflight_appends = 64;
    size_t max_pending = 4'096;
    uint64_t snapshot_entries = 20'000;
    uint64_t seed = 1;
    std::function<std::unique_ptr<StateMachineI>()> create_machine;
    bool automatic_membership = false;
    size_t max_voters = SIZE_MAX;
    size_t max_learners = SIZE_MAX;
    std::function<void(const std::string& group, const LogConfig& config)>
        on_members_changed;
    std::function<void(const std::string& group)> on_caught_up;
    std::function<std::set<std::string>()> retired_nodes;
  };

  GroupHost(Init init,
            std::unique_ptr<DiskI> disk,
            GroupTransportI& transport,
            const ClockI& clock);

  /// Creates the data of a new replica in an empty folder.
  Status Initialize();
  /// Loads the replica from its folder. Called before the first Run, and by Run
  /// after a failure.
  Status Open();
  /// Runs the group until it is stopped or fails; worker of the group's thread.
  Status Run(const StopToken& stop);
  /// Ends the wait for inputs when the group is being stopped.
  void Wake() { inbox_.Close(); }

  /// Queues an input. Thread-safe; does not block.
  /// @returns false if the queue is full; the input is then left unchanged
  bool TryPush(GroupInput&& input);

  const std::string& name() const { return init_.identity.group; }
  bool has_leader() const { return has_leader_.load(); }
  bool leads() const { return leads_.load(); }

 private:
  struct Caller {
    SessionHandle session;
    uint64_t correlation = 0;
  };
  /// A proposal that is not yet committed.
  struct Pending {
    uint64_t term = 0;
    Caller caller;
  };
  /// A read that waits for a read barrier.
  struct Query {
    Caller caller;
    fb::KeeperOp op = fb::KeeperOp::Query;
    std::string payload;
  };

  /// A lease request that waits for the confirmation of this leader.
  struct WaitingLease {
    Caller caller;
    std::string payload;
    int64_t arrived_ms = 0;  // On ClockI::NowMs().
  };
  /// When a majority confirmed that this replica led.
  struct Confirmation {
    int64_t begun_ms = 0;  // Of the read barrier, on ClockI::BootMs().
    uint64_t term = 0;
  };

  // Main loop (keeper_group.cc).
  Status ProcessInputs(const std::deque<GroupInput>& inputs);
  void TickIfDue();
  Status ProcessReady();
  Status Persist(Ready& ready);
  Status InstallSnapshot(Snapshot snapshot);
  void SendMessages(const std::vector<RaftMessage>& messages);
  void Apply(const std::vector<LogEntry>& entries);
  void ReplyToReads(const Ready& ready);
  Status SnapshotIfDue();
  Status ContinueSnapshot();
  void UpdateLeader();
  void CheckCaughtUp();
  /// Refuses pending proposals with run state unknown.
  /// @param kept_term proposals of this term stay pending; 0: none do
  void FailPending(uint64_t kept_term, const std::string& message);
  void FailQueries(const std::string& message);
  void RefuseQueued(const Refusal& refusal);
  void ProposeExpiry(int64_t now_ms);
  std::string NodeOf(ReplicaId id) const;

  // Automatic membership (keeper_group_members.cc).
  void MaintainMembership();
  void RequestToJoin();
  void HandleJoin(const Caller& caller, const std::string& payload);
  void ChangeMembership();
  void TransferToPreferredLeader();

  // Requests (keeper_group_requests.cc).
  void HandleRaft(const GroupInput& input);
  void HandlePeerOpened(const std::string& node);
  void HandleRequest(const GroupInput& input);
  void HandleProposal(const Caller& caller, std::string command);
  void HandleReplicaChange(const Caller& caller,
                           fb::KeeperOp op,
                           const std::string& payload);
  void HandleTransferLeader(const Caller& caller, const std::string& payload);
  void HandleControlPoll(const Caller& caller, const std::string& payload);
  void HandleNodeVersions(const Caller& caller, const std::string& payload);
  void StartBarrier();
  void ReplyToQuery(const Query& query);

  // Leases of entries (keeper_group_leases.cc).
  void HandleLease(const Caller& caller, std::string payload);
  bool LeaseBarrierDue() const;
  void OnBarrierConfirmed(uint64_t id);
  bool RecentlyConfirmed() const;
  void AnswerLease(const Caller& caller, const std::string& payload);
  void AnswerLeases();
  void DropLateLeases();
  void RefuseLeases(const Refusal& refusal);
  std::string EncodeStatus() const;
  void ReplyWhenCommitted(const Caller& caller,
                          const Outcome<LogPosition>& proposed);
  void Reply(const Caller& caller, std::string payload);
  void Refuse(const Caller& caller, Refusal refusal);
  void ForwardVersions();
  void PushControl();

  const Init init_;
  const std::unique_ptr<DiskI> disk_;
  GroupTransportI& transport_;
  const ClockI& clock_;
  BoundedQueue<GroupInput> inbox_;
  std::atomic<size_t> unanswered_requests_{0};
  std::atomic<bool> has_leader_{false};
  std::atomic<bool> leads_{false};

  std::unique_ptr<Wal> wal_;
  std::unique_ptr<Replica> replica_;
  std::unique_ptr<StateMachineI> machine_;
  // Nodes and regions of replicas, as given by the sessions of their messages.
  std::map<ReplicaId, std::string> node_of_replica_;
  std::map<ReplicaId, std::string> region_of_replica_;
  int64_t next_leader_check_ms_ = 0;
  std::map<uint64_t, Pending> pending_;  // By log index.
  std::vector<Query> new_queries_;
  std::map<uint64_t, std::vector<Query>> queries_;  // By read barrier id.
  uint64_t next_barrier_ = 1;
  std::map<uint64_t, Confirmation> barriers_;  // Not confirmed yet, by id.
  std::optional<Confirmation> confirmed_;      // The latest one.
  std::deque<WaitingLease> waiting_leases_;
  std::optional<int64_t> last_lease_ms_;  // Arrival of the latest request.
  int64_t last_barrier_ms_ = INT64_MIN / 2;
  bool barrier_allowed_ = true;  // None was begun for leases in this tick.
  bool caught_up_ = false;       // See KeeperHostInit::on_caught_up.
  int64_t next_tick_ms_ = 0;
  int64_t next_housekeeping_ms_ = 0;
  uint64_t expire_index_ = 0;  // Log index of the last proposed expiry.
  ReplicaId known_leader_ = 0;
  std::string leader_node_;
  uint64_t known_term_ = 0;
  struct TimedJoinRequest {
    JoinRequest request;
    int64_t received_ms = 0;
  };
  std::map<ReplicaId, TimedJoinRequest> joins_;
  int64_t next_membership_check_ms_ = 0;
  uint64_t previous_commit_index_ = 0;  // At the previous membership check.
  int64_t last_leader_ms_ = 0;
  NodeVersionTable versions_;
  uint64_t control_version_ = 0;
  uint64_t quarantine_version_ = 0;
};

}  // namespace ring
