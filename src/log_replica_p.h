#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "log_raft_log_p.h"
#include "persimmonring/log.h"

namespace ring {

enum class SendState : uint8_t {
  kProbe,      ///< Sends one append at a time until the match index is known.
  kReplicate,  ///< Sends appends without waiting for replies.
  kSnapshot,   ///< Sends chunks of a snapshot.
};

/// What a leader keeps for each member, itself included.
struct Progress {
  uint64_t match_index = 0;  ///< Highest index that the member has synced.
  uint64_t next_index = 1;   ///< First index of the next append.
  SendState state = SendState::kProbe;
  bool probe_sent = false;         ///< An append is unanswered in state kProbe.
  bool force_append = false;       ///< Send an append even without new entries.
  std::vector<uint64_t> inflight;  ///< Last indexes of unanswered appends.
  uint64_t sent_commit_index = 0;  ///< Commit index of the last append.
  uint64_t read_round = 0;  ///< Highest read barrier round that it confirmed.
  bool recently_active = false;   ///< Heard from since the last quorum check.
  int64_t last_message_tick = 0;  ///< Time of its last message.
  std::shared_ptr<const SnapshotSourceI> snapshot;
  uint64_t snapshot_offset = 0;  ///< Of the next chunk.
  bool chunk_due = false;
  int64_t chunk_sent_tick = 0;  ///< Time at which the last chunk was sent.
  /// Commit index at the start of the catch-up round of a learner; 0: no round.
  uint64_t catch_up_target = 0;
  int64_t catch_up_tick = 0;  ///< Start of the catch-up round.
};

class Replica::Impl {
 public:
  Impl(Init init, DurableState state);

  void Tick(int64_t now_ms);
  void OnReachable(ReplicaId peer);
  void Step(const RaftMessage& message, int64_t now_ms);
  Outcome<LogPosition> Propose(std::string command, int64_t now_ms);
  Status ReadIndex(uint64_t id);
  Outcome<LogPosition> AddMember(ReplicaId id,
                                 const std::string& node,
                                 int64_t now_ms);
  Outcome<LogPosition> PromoteMember(ReplicaId id, int64_t now_ms);
  Outcome<LogPosition> RemoveMember(ReplicaId id, int64_t now_ms);
  Status TransferLeader(ReplicaId target);
  bool HasReady() const;
  Ready TakeReady();
  void Persisted();
  ReplicaStatus GetStatus() const;
  SnapshotMeta AppliedMeta() const;

  RaftLog& log() { return log_; }
  HardState hard_state() const { return hard_state_; }
  bool is_leader() const { return role_ == ReplicaRole::kLeader; }

 private:
  // A read barrier that waits for heartbeat replies of its round.
  struct PendingRead {
    uint64_t id = 0;
    uint64_t round = 0;
  };

  // Roles and elections (log_replica_election.cc).
  bool IsVoter() const;
  bool HasLease() const;
  int64_t ElectionTicks() const;
  void OnLeaderHeard(ReplicaId leader);
  void DrawElectionTimeout(int64_t ticks);
  size_t Quorum() const { return log_.config().voter_count() / 2 + 1; }
  void ResetElection();
  void BecomeFollower(uint64_t term, ReplicaId leader);
  void BecomeLeader(int64_t now_ms);
  void Campaign(ReplicaRole role, bool forced, int64_t now_ms);
  void RequestVote(ReplicaId voter, bool forced);
  void CampaignSoon();
  void CountVotes(int64_t now_ms);
  bool CheckTerm(const RaftMessage& message);
  void RejectOldTerm(const RaftMessage& message);
  void HandleVoteRequest(const RaftMessage& message);
  void HandleVoteReply(const RaftMessage& message, int64_t now_ms);
  void TickLeader(int64_t now_ms);
  void CheckQuorum();

  // Followers (log_replica_follower.cc).
  void HandleAppend(const RaftMessage& message);
  void RejectAppend(const RaftMessage& message);
  void HandleHeartbeat(const RaftMessage& message);
  void HandleSnapshot(const RaftMessage& message);
  void InstallSnapshot(const RaftMessage& message);
  void ReplyAppended(ReplicaId to, uint64_t index);

  // Leaders (log_replica_leader.cc).
  uint64_t AppendAsLeader(LogEntryKind kind, std::string data, int64_t now_ms);
  void HandleAppendReply(const RaftMessage& message);
  void HandleRejectedAppend(Progress& progress, const RaftMessage& message);
  void HandleHeartbeatReply(const RaftMessage& message);
  void HandleSnapshotReply(const RaftMessage& message);
  Progress* MarkActive(const RaftMessage& message);
  void AdvanceCommit();
  void BroadcastHeartbeat();
  void SendAppends();
  void SendAppendsTo(ReplicaId id, Progress& progress);
  void SendAppend(ReplicaId id, Progress& progress);
  void StartSnapshot(ReplicaId id, Progress& progress);
  void SendChunk(ReplicaId id, Progress& progress);
  void StartReads();
  void ConfirmReads();
  void SendTimeoutNowIfCaughtUp();

  // Membership (log_replica_members.cc).
  Status CheckMembershipChange() const;
  Outcome<LogPosition> ProposeConfig(const LogConfig& config, int64_t now_ms);
  void SyncProgress();
  void PromoteLearners(int64_t now_ms);

  void Send(RaftMessage message);

  const Init init_;
  HardState hard_state_;
  HardState persisted_hard_state_;
  RaftLog log_;
  Rng rng_;
  uint64_t commit_index_ = 0;
  uint64_t applied_index_ = 0;
  uint64_t synced_index_ = 0;      // Last index that is synced on this replica.
  bool awaiting_persist_ = false;  // Between TakeReady and Persisted.
  uint64_t persisting_index_ = 0;  // Last index of the Ready being persisted.

  ReplicaRole role_ = ReplicaRole::kFollower;  // kFollower for learners.
  ReplicaId leader_ = 0;
  int64_t tick_ = 0;
  int64_t election_elapsed_ = 0;  // Ticks since the election timer was reset.
  int64_t election_timeout_ = 0;  // Election timeout in ticks, randomized.
  bool heard_leader_ = false;     // Since this replica started.
  // Longest recent pause between messages of the leader, in ticks, times
  // kPauseScale; 0: not known yet.
  int64_t leader_pause_ = 0;
  std::set<ReplicaId> reachable_;  // Peers that became reachable until then.
  int64_t heartbeat_elapsed_ = 0;
  std::map<ReplicaId, bool> votes_;
  std::map<ReplicaId, Progress> progress_;
  ReplicaId transfer_target_ = 0;
  int64_t transfer_elapsed_ = 0;

  uint64_t read_round_ = 0;
  std::vector<uint64_t> waiting_reads_;  // No entry of this term committed yet.
  std::vector<PendingRead> reads_;       // Their round is under way.

  std::optional<Snapshot> incoming_snapshot_;  // Snapshot received in part.
  ReplicaId incoming_snapshot_from_ = 0;

  bool sends_pending_ = false;  // A reply may allow further appends.
  Ready ready_;
};

}  // namespace ring
