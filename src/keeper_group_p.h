#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "keeper.generated.h"
#include "keeper_versions_p.h"
#include "persimmonring/keeper.h"

namespace ring {

/// What a group needs from its process. Thread-safe.
class GroupOutletI {
 public:
  virtual ~GroupOutletI() = default;
  virtual void SendTo(SessionHandle session, const Frame& frame) = 0;
  virtual void SendToNode(const std::string& node, const Frame& frame) = 0;
  /// Sends to all sessions that are not keepers.
  virtual void SendToEntries(const Frame& frame) = 0;
  /// Sends to all sessions of keepers.
  virtual void SendToKeepers(const Frame& frame) = 0;
};

/// Encodes the reply to a keeper request.
/// @param leader node believed to lead the group; may be empty
std::string EncodeKeeperReply(const Outcome<std::string>& outcome,
                              const std::string& leader);

/// Work for the thread of a group.
struct GroupInput {
  enum class Kind : uint8_t { kRaft, kRequest, kHandOver, kPeerOpened };
  Kind kind = Kind::kRaft;
  SessionHandle session;
  std::string node;  ///< Sender.
  std::string region;
  uint64_t correlation = 0;
  std::string payload;
};

/// Chooses where a compacted log begins. A member that copies entries at
/// present keeps the ones it needs: a snapshot instead would begin its copy
/// anew.
/// @param keep_from first entry that is kept anyway
/// @param most_more bound of the entries kept before it
uint64_t KeepFrom(uint64_t keep_from,
                  uint64_t most_more,
                  const std::vector<MemberProgress>& members);

/// One replica with its disk, its state machine and its thread.
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
    int32_t first_election_ticks = 0;
    size_t max_append_bytes = 1u << 20;
    size_t max_inflight_appends = 64;
    size_t max_pending = 4'096;
    uint64_t snapshot_entries = 20'000;
    uint64_t seed = 1;
    std::function<std::unique_ptr<StateMachineI>()> create_machine;
    bool automatic_members = false;
    size_t max_voters = SIZE_MAX;
    size_t max_learners = SIZE_MAX;
    std::function<void(const std::string& group, const LogConfig& config)>
        on_members;
    std::function<void(const std::string& group)> on_settled;
    std::function<std::set<std::string>()> retired_nodes;
  };

  GroupHost(Init init,
            std::unique_ptr<DiskI> disk,
            GroupOutletI& outlet,
            const ClockI& clock);

  /// Prepares an empty folder for a new replica.
  Status Initialize();
  /// Reads the folder; called before the first Run and after each failure.
  Status Open();
  /// Duty of the group's thread.
  Status Run(const StopToken& stop);
  void Wake() { inbox_.Close(); }

  /// Thread-safe; never waits.
  /// @returns false if too much is waiting; the input is then untouched
  bool TryPush(GroupInput&& input);

  const std::string& name() const { return init_.identity.group; }
  bool has_leader() const { return has_leader_.load(); }
  bool leads() const { return leads_.load(); }

 private:
  struct Caller {
    SessionHandle session;
    uint64_t correlation = 0;
  };
  struct Pending {
    uint64_t term = 0;
    Caller caller;
  };
  struct Query {
    Caller caller;
    fb::KeeperOp op = fb::KeeperOp::Query;
    std::string payload;
  };

  // The loop (keeper_group.cc).
  Status Pass(const std::deque<GroupInput>& inputs);
  void TickIfDue();
  Status ProcessReady();
  Status Persist(Ready& ready);
  Status InstallSnapshot(Snapshot snapshot);
  void SendMessages(const std::vector<RaftMessage>& messages);
  void Apply(const std::vector<LogEntry>& entries);
  void AnswerReads(const Ready& ready);
  Status SnapshotIfDue();
  Status ContinueSnapshot();
  void NoteLeader();
  void NoteSettled();
  /// @param kept_term proposals of this term go on waiting; 0: none
  void FailPending(uint64_t kept_term, const std::string& message);
  void FailQueries(const std::string& message);
  void RefuseWaiting(const Refusal& refusal);
  void ProposeExpire(int64_t now_ms);
  std::string NodeOf(ReplicaNumber id) const;

  // Members that change by themselves (keeper_group_members.cc).
  void MaintainMembers();
  void AskToJoin();
  void HandleJoin(const Caller& caller, const std::string& payload);
  void ChangeMembers();
  void MoveLeadership();

  // Requests (keeper_group_requests.cc).
  void HandleRaft(const GroupInput& input);
  void HandlePeerOpened(const std::string& node);
  void HandleRequest(const GroupInput& input);
  void HandleProposal(const Caller& caller, std::string command);
  void HandleChange(const Caller& caller,
                    fb::KeeperOp op,
                    const std::string& payload);
  void HandleTransfer(const Caller& caller, const std::string& payload);
  void HandleControlPoll(const Caller& caller, const std::string& payload);
  void HandleNodeVersions(const Caller& caller, const std::string& payload);
  void StartQueries();
  void AnswerQuery(const Query& query);
  std::string StatusPayload() const;
  void Await(const Caller& caller, const Outcome<Proposed>& proposed);
  void Reply(const Caller& caller, std::string payload);
  void Refuse(const Caller& caller, Refusal refusal);
  void ForwardVersions();
  void PushControl();

  const Init init_;
  const std::unique_ptr<DiskI> disk_;
  GroupOutletI& outlet_;
  const ClockI& clock_;
  BoundedQueue<GroupInput> inbox_;
  std::atomic<size_t> waiting_requests_{0};
  std::atomic<bool> has_leader_{false};
  std::atomic<bool> leads_{false};

  std::unique_ptr<Wal> wal_;
  std::unique_ptr<Replica> replica_;
  std::unique_ptr<StateMachineI> machine_;
  std::map<ReplicaNumber, std::string> nodes_;    // Learned from messages.
  std::map<ReplicaNumber, std::string> regions_;  // As well.
  int64_t next_move_ms_ = 0;
  std::map<uint64_t, Pending> pending_;  // By log index.
  std::vector<Query> new_queries_;
  std::map<uint64_t, std::vector<Query>> queries_;  // By barrier id.
  uint64_t next_barrier_ = 1;
  bool settled_ = false;  ///< Since the group was opened.
  int64_t next_tick_ms_ = 0;
  int64_t next_second_ms_ = 0;
  uint64_t expire_index_ = 0;
  ReplicaNumber known_leader_ = 0;
  std::string leader_node_;
  uint64_t known_term_ = 0;
  struct HeardJoin {
    JoinRequest request;
    int64_t heard_ms = 0;
  };
  std::map<ReplicaNumber, HeardJoin> joins_;
  int64_t next_maintenance_ms_ = 0;
  uint64_t earlier_commit_ = 0;  ///< At the last look at the members.
  int64_t leader_seen_ms_ = 0;
  NodeVersionTable versions_;
  uint64_t control_version_ = 0;
  uint64_t quarantine_version_ = 0;
};

}  // namespace ring
