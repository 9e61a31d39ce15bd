#pragma once

/// Replicated log: disk access, durable store, and the deterministic Raft core.
/// The keeper module provides threads and transport.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

// ------------------------------------------------------------------------ disk

/// A file opened for reading. Its contents stay readable after the file has
/// been replaced, also by a rename.
class FileI {
 public:
  virtual ~FileI() = default;
  /// @returns `bytes` bytes from `offset` on; fewer only at the end of the file
  virtual Outcome<std::string> ReadAt(uint64_t offset, size_t bytes) const = 0;
};

/// A data folder. Written data is durable only after a sync. Errors:
/// storage_failed (full disk, read-only folder, I/O error), corrupt_data.
class DiskI {
 public:
  virtual ~DiskI() = default;
  virtual Outcome<std::vector<std::string>> List() = 0;
  /// @returns the whole file, or storage_failed if it does not exist
  virtual Outcome<std::string> Read(const std::string& name) = 0;
  /// @returns storage_failed if the file does not exist
  virtual Outcome<std::shared_ptr<const FileI>> OpenFile(
      const std::string& name) = 0;
  virtual Status Append(const std::string& name, std::string_view bytes) = 0;
  /// Makes the appended bytes and the folder entry durable.
  virtual Status Sync(const std::string& name) = 0;
  /// Replaces a file durably and atomically (write, sync, rename, sync folder).
  virtual Status Replace(const std::string& name, std::string_view bytes) = 0;
  /// Writes bytes at the offset, truncates the file after them and syncs its
  /// contents. The name of a new file becomes durable only with Rename().
  /// Durable bytes that keep their value survive a power cut during the call.
  virtual Status RewriteTail(const std::string& name,
                             uint64_t offset,
                             std::string_view bytes) = 0;
  /// Renames a durable file, durably and atomically.
  virtual Status Rename(const std::string& from, const std::string& to) = 0;
  virtual Status Remove(const std::string& name) = 0;
};

/// Opens a folder of the file system and locks it against other processes.
/// @param read_only opens an existing folder without a lock, for inspection;
///        nothing may be written
Outcome<std::unique_ptr<DiskI>> OpenDisk(const std::string& folder,
                                         bool read_only);

// ----------------------------------------------------------------- log entries

using ReplicaId = uint64_t;  ///< Identity of a replica; never reused.

enum class LogEntryKind : uint8_t { kEmpty, kCommand, kConfig };

struct LogEntry {
  uint64_t term = 0;
  uint64_t index = 0;
  int64_t time_ms = 0;  ///< Wall clock of the leader; never decreases.
  LogEntryKind kind = LogEntryKind::kEmpty;
  std::string data;

  auto operator<=>(const LogEntry&) const = default;
};

struct Member {
  ReplicaId id = 0;
  std::string node;  ///< Keeper process that runs the replica.
  bool voter = false;

  auto operator<=>(const Member&) const = default;
};

/// Members of a group. Successive configs differ by one member.
struct LogConfig {
  std::vector<Member> members;

  const Member* Find(ReplicaId id) const;
  size_t voter_count() const;
  auto operator<=>(const LogConfig&) const = default;
};

/// Term and vote. Must be durable before any message that depends on them is
/// sent.
struct HardState {
  uint64_t term = 0;
  ReplicaId voted_for = 0;

  auto operator<=>(const HardState&) const = default;
};

struct SnapshotMeta {
  uint64_t index = 0;
  uint64_t term = 0;
  int64_t time_ms = 0;  ///< Time of the last entry in the snapshot.
  LogConfig config;

  auto operator<=>(const SnapshotMeta&) const = default;
};

/// State of the machine after entry meta.index. Empty data stands for the
/// initial state.
struct Snapshot {
  SnapshotMeta meta;
  std::string data;

  auto operator<=>(const Snapshot&) const = default;
};

/// Maximum size of a command, in bytes. An append message that carries one
/// stays far below the frame limit of 8 MiB.
constexpr size_t kMaxCommandBytes = 4u << 20;

// --------------------------------------------------------------- state machine

/// State of a machine at one index, encoded in pieces while the machine goes on
/// applying commands. Used on the thread of the machine.
class StateImageI {
 public:
  virtual ~StateImageI() = default;
  /// Appends the next piece to `out`.
  /// @param bytes target size of the piece
  /// @returns false if this was the last piece
  virtual bool Append(size_t bytes, std::string& out) = 0;
};

/// Loads a saved state in pieces, so that the complete encoded state need not
/// be in memory together with the decoded state. Used on the thread of the
/// machine.
class StateLoaderI {
 public:
  virtual ~StateLoaderI() = default;
  /// @returns corrupt_data if the bytes cannot be decoded
  virtual Status Append(std::string_view bytes) = 0;
  /// Called after the last piece; the machine is usable only if this succeeds.
  virtual Status Finish() = 0;
};

/// A saved snapshot that is read in chunks, to send it to another replica.
class SnapshotSourceI {
 public:
  virtual ~SnapshotSourceI() = default;
  virtual const SnapshotMeta& meta() const = 0;
  /// @returns size of the state in bytes
  virtual uint64_t size() const = 0;
  /// @returns `bytes` bytes from `offset` on; fewer only at the state's end
  virtual Outcome<std::string> Read(uint64_t offset, size_t bytes) const = 0;
};

/// Deterministic state machine that applies the committed entries of a log.
/// Called on one thread.
class StateMachineI {
 public:
  virtual ~StateMachineI() = default;
  /// Called at the leader before it appends a proposed command. What depends
  /// only on the leader's view is decided here, so that the log carries the
  /// decision and not its inputs. The default returns the command as it is.
  virtual std::string Prepare(std::string command, int64_t /*time_ms*/) {
    return command;
  }
  /// Applies a committed command.
  /// @param time_ms LogEntry::time_ms of the entry
  /// @returns the encoded result for the proposer
  virtual std::string Apply(uint64_t index,
                            int64_t time_ms,
                            std::string_view command) = 0;
  /// Answers a read from the applied state.
  virtual std::string Query(std::string_view query) const = 0;
  virtual std::string Save() const = 0;
  /// @returns an image with the bytes of Save(), to be written while further
  ///          commands are applied. The default calls Save() at once.
  virtual std::unique_ptr<StateImageI> BeginSave() const;
  /// @returns corrupt_data if the snapshot cannot be decoded
  virtual Status Load(std::string_view snapshot) = 0;
  /// Loads a saved state in pieces; the machine must be new. The default
  /// buffers them and calls Load().
  virtual std::unique_ptr<StateLoaderI> BeginLoad();
  /// @returns a command that the leader proposes once a second, to expire old
  ///          records; empty: none
  virtual std::string ExpireCommand() const { return {}; }
  /// Answers a lease request of an entry at a confirmed leader. What it changes
  /// is not replicated and must not depend on earlier calls at this replica.
  /// @param now_ms monotonic time
  /// @param age_ms time since a majority confirmed the leader
  /// @returns the encoded reply; empty: leases are not supported
  virtual std::string Lease(std::string_view /*request*/,
                            int64_t /*now_ms*/,
                            int64_t /*age_ms*/) {
    return {};
  }
  /// Drops what earlier calls of Lease() left. Called when this replica begins
  /// or ceases to lead: what another leader has granted since is not known.
  virtual void ResetLeases() {}
};

// --------------------------------------------------------------- durable store

/// Replica that a data folder belongs to. Written once, before the first start.
struct WalIdentity {
  std::string ring;
  std::string group;
  ReplicaId replica = 0;

  auto operator<=>(const WalIdentity&) const = default;
};

/// State that a replica recovers from its disk when it starts.
struct DurableState {
  HardState hard_state;
  SnapshotMeta snapshot;
  /// Position before entries.front(); the snapshot's or an earlier one.
  uint64_t start_index = 0;
  uint64_t start_term = 0;
  std::vector<LogEntry> entries;

  auto operator<=>(const DurableState&) const = default;
};

/// Durable store of one replica: identity, hard state, log and snapshot. Each
/// Append() writes one record with one sync. After a failed write the contents
/// of the file are unknown, so the store refuses all further writes until it is
/// reopened. Used by one thread.
class Wal {
 public:
  /// Prepares an empty folder for a new replica. Idempotent for the same
  /// identity.
  /// @param initial_members members of a new group; empty for a replica that
  ///        joins an existing one
  /// @returns corrupt_data if the folder belongs to another replica or holds a
  ///          log but no identity
  static Status Initialize(DiskI& disk,
                           const WalIdentity& identity,
                           const std::vector<Member>& initial_members);

  /// @returns the replica that the folder belongs to; nullopt if it holds no
  ///          identity
  static Outcome<std::optional<WalIdentity>> ReadIdentity(DiskI& disk);

  struct Init {
    WalIdentity identity;
    bool read_only = false;  ///< Changes no file; for inspection.
  };
  /// Reads and verifies the log and the metadata of the snapshot, truncates a
  /// torn last record, and rewrites the last complete record in place. Every
  /// record is synced before the next is written, so after a failed sync or the
  /// end of the process only that record may not be durable.
  /// @returns corrupt_data for an empty folder, the folder of another replica
  ///          or a damaged record that is not a torn tail; storage_failed
  static Outcome<std::unique_ptr<Wal>> Open(DiskI& disk, const Init& init);

  const DurableState& recovered() const { return recovered_; }
  /// Frees the recovered state once the replica has copied it.
  void DropRecovered() { recovered_ = {}; }
  /// @returns size in bytes of the torn record that Open() found at the end of
  ///          the log; 0: none
  uint64_t torn_bytes() const { return torn_bytes_; }
  /// @returns size of the log file in bytes, without a torn record
  uint64_t log_bytes() const { return log_bytes_; }
  /// @returns bytes written so far of the snapshot that was begun last; 0: none
  uint64_t snapshot_bytes() const { return snapshot_bytes_; }

  /// Appends one record and syncs it. Entries replace those with the same and
  /// higher indexes.
  Status Append(const std::optional<HardState>& hard_state,
                const std::vector<LogEntry>& entries);
  /// Writes a whole snapshot, then replaces the log by the given entries.
  /// @param start_index position before the first of `entries`
  Status SaveSnapshot(const Snapshot& snapshot,
                      const HardState& hard_state,
                      uint64_t start_index,
                      uint64_t start_term,
                      const std::vector<LogEntry>& entries);
  /// Starts to write a snapshot to a temporary file. The current snapshot stays
  /// in effect until FinishSnapshot().
  void BeginSnapshot(const SnapshotMeta& meta,
                     std::unique_ptr<StateImageI> image);
  bool writing_snapshot() const { return image_ != nullptr; }
  const SnapshotMeta& writing_meta() const { return writing_meta_; }
  /// Writes and syncs the next piece, so that an append waits for one piece at
  /// most.
  /// @returns true if it was the last piece
  Outcome<bool> WriteSnapshotPiece();
  /// Makes the written snapshot the current one, then replaces the log by the
  /// given entries.
  Status FinishSnapshot(const HardState& hard_state,
                        uint64_t start_index,
                        uint64_t start_term,
                        const std::vector<LogEntry>& entries);
  /// @returns the saved snapshot, or an empty one with index 0
  Outcome<Snapshot> LoadSnapshot() const;
  Outcome<std::shared_ptr<const SnapshotSourceI>> VerifySnapshot() const;
  /// Loads the saved state into a new machine; an empty state leaves it
  /// unchanged.
  /// @returns corrupt_data, storage_failed
  Status LoadState(StateMachineI& machine) const;

 private:
  explicit Wal(DiskI& disk) : disk_(disk) {}
  Status Recover();
  Status RewriteLog(const DurableState& state);
  Status RewriteLastRecord();
  Status CheckUsable() const;

  DiskI& disk_;
  DurableState recovered_;
  std::unique_ptr<StateImageI> image_;  ///< Snapshot being written.
  SnapshotMeta writing_meta_;
  uint64_t snapshot_bytes_ = 0;
  uint64_t snapshot_state_bytes_ = 0;  ///< Without record framing.
  std::string last_record_;            ///< Empty once Open() has rewritten it.
  uint64_t torn_bytes_ = 0;
  uint64_t log_bytes_ = 0;
  bool failed_ = false;
};

// ------------------------------------------------------------------- Raft core

enum class RaftKind : uint8_t {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kHeartbeat,
  kHeartbeatReply,
  kSnapshot,
  kSnapshotReply,
  kTimeoutNow,
};

/// Message between two replicas of a group; see schema/raft.fbs.
struct RaftMessage {
  RaftKind kind = RaftKind::kHeartbeat;
  ReplicaId to = 0;
  ReplicaId from = 0;
  uint64_t term = 0;
  uint64_t log_term = 0;  ///< Term of the entry at `index` or `reject_hint`.
  uint64_t index = 0;
  uint64_t commit = 0;
  bool reject = false;
  uint64_t reject_hint = 0;
  /// Read barrier round; 1 in a vote request triggered by kTimeoutNow.
  uint64_t context = 0;
  std::vector<LogEntry> entries;
  LogConfig snapshot_config;
  int64_t snapshot_time_ms = 0;
  uint64_t snapshot_offset = 0;
  uint64_t snapshot_total = 0;
  std::string snapshot_data;

  auto operator<=>(const RaftMessage&) const = default;
};

/// Contents of a snapshot file; also the result of a backup.
std::string EncodeSnapshotFile(const Snapshot& snapshot);
/// @returns corrupt_data if a checksum does not match
Outcome<Snapshot> DecodeSnapshotFile(std::string bytes);
std::string EncodeRaftMessage(const RaftMessage& message);
/// @returns corrupt_data if the bytes are not a valid message
Outcome<RaftMessage> DecodeRaftMessage(std::string_view bytes);
/// Data of a kConfig entry.
std::string EncodeLogConfig(const LogConfig& config);
Outcome<LogConfig> DecodeLogConfig(std::string_view bytes);

/// Work that a replica asks its host to do, in this order: install the
/// snapshot, persist hard state and entries with one sync, call Persisted(),
/// send the messages, apply the committed entries, answer the reads.
struct Ready {
  std::optional<Snapshot> snapshot;
  std::optional<HardState> hard_state;
  std::vector<LogEntry> entries;
  std::vector<RaftMessage> messages;
  std::vector<LogEntry> committed;
  std::vector<uint64_t> reads;         ///< Ids of confirmed read barriers.
  std::vector<uint64_t> failed_reads;  ///< Ids of those lost with leadership.
};

enum class ReplicaRole : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  kLearner,
};
/// @returns "follower", "candidate" (both phases), "leader" or "learner"
const char* ToString(ReplicaRole role);

/// Replication progress of a member, as the leader knows it.
struct MemberProgress {
  Member member;
  uint64_t match_index = 0;
  int64_t silent_ticks = 0;  ///< Ticks since the last message from it.

  auto operator<=>(const MemberProgress&) const = default;
};

struct ReplicaStatus {
  ReplicaId id = 0;
  ReplicaRole role = ReplicaRole::kFollower;
  ReplicaId leader = 0;  ///< 0: unknown.
  uint64_t term = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  uint64_t last_index = 0;
  uint64_t snapshot_index = 0;
  int64_t election_ticks = 0;  ///< Election timeout in force.
  std::vector<MemberProgress> members;

  auto operator<=>(const ReplicaStatus&) const = default;
};

/// Position of an entry in the log.
struct LogPosition {
  uint64_t term = 0;
  uint64_t index = 0;

  auto operator<=>(const LogPosition&) const = default;
};

/// Raft replica without threads, clocks or I/O: the same calls give the same
/// outputs. Used by one thread.
class Replica {
 public:
  struct Init {
    ReplicaId id = 0;
    int32_t heartbeat_ticks = 2;
    /// Election timeout, randomized over [n, 2n]. The longest one if
    /// min_election_ticks is set.
    int32_t election_ticks = 20;
    /// Shortest election timeout; 0: always election_ticks. In between, a
    /// follower waits a multiple of the longest recent pause between messages
    /// of its leader.
    int32_t min_election_ticks = 0;
    /// Replaces election_ticks until the replica first hears a leader after its
    /// start; 0: election_ticks applies at once. May be short, because there is
    /// no leader to wait for when all replicas have just started.
    int32_t first_election_ticks = 0;
    uint64_t seed = 1;
    /// Maximum size of the log entries in one append message, bytes.
    size_t max_append_bytes = 1u << 20;
    size_t max_snapshot_chunk = 1u << 20;  ///< At most 1 MiB.
    /// Maximum unacknowledged appends to each member.
    size_t max_inflight_appends = 64;
    /// Promotes learners that have caught up to voters; otherwise only
    /// PromoteMember() does.
    bool promote_learners = true;
    /// Opens the saved snapshot, to send it to a member that needs entries
    /// which the log no longer holds.
    std::function<std::shared_ptr<const SnapshotSourceI>()> open_snapshot;
  };

  Replica(Init init, DurableState state);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Advances the replica's time by one tick.
  /// @param now_ms wall clock, the time of entries that the leader adds itself
  void Tick(int64_t now_ms);
  /// Reports that another replica has become reachable. A candidate repeats a
  /// vote request that may have been lost, instead of waiting for its next
  /// election. A replica that has not heard a leader since its start campaigns
  /// soon after a majority of the voters has become reachable.
  void OnReachable(ReplicaId peer);
  /// Handles a message from another replica.
  void Step(const RaftMessage& message, int64_t now_ms);
  /// @returns not_leader (also while leadership is being transferred),
  ///          body_too_large
  Outcome<LogPosition> Propose(std::string command, int64_t now_ms);
  /// Requests a read barrier. Its id appears in Ready::reads once it is
  /// confirmed, or in Ready::failed_reads.
  /// @param id chosen by the caller, never reused
  /// @returns not_leader
  Status ReadIndex(uint64_t id);
  /// Adds a learner, which becomes a voter once it has caught up.
  /// @returns not_leader, conflict (another change is in progress, the id is in
  ///          use), overload (no entry of this term is committed yet)
  Outcome<LogPosition> AddMember(ReplicaId id,
                                 const std::string& node,
                                 int64_t now_ms);
  /// Promotes a learner to a voter. The caller must have checked that it has
  /// caught up.
  /// @returns as AddMember(); not_allowed if it is not a learner
  Outcome<LogPosition> PromoteMember(ReplicaId id, int64_t now_ms);
  /// @returns as AddMember(); not_allowed for the last voter or an id that is
  ///          not a member; not_leader for the leader itself, which then
  ///          transfers leadership
  Outcome<LogPosition> RemoveMember(ReplicaId id, int64_t now_ms);
  /// Transfers leadership; proposals are refused until that ends.
  /// @param target 0: the most up-to-date voter
  /// @returns not_leader; not_allowed if no other voter can take over
  Status TransferLeader(ReplicaId target);

  bool HasReady() const;
  Ready TakeReady();
  /// Reports that the snapshot, hard state and entries of the last Ready are
  /// durable.
  void Persisted();

  /// Drops entries before `keep_from`, which the saved snapshot covers.
  void Compact(const SnapshotMeta& meta, uint64_t keep_from);
  /// @returns metadata for a snapshot of the state after the last Ready was
  ///          applied
  SnapshotMeta AppliedMeta() const;
  /// @returns the entries in memory after the index
  std::vector<LogEntry> EntriesAfter(uint64_t index) const;
  /// @returns term of the entry, 0 if it is not in memory
  uint64_t TermAt(uint64_t index) const;
  /// @returns index before the first entry in memory
  uint64_t start_index() const;
  HardState hard_state() const;
  bool is_leader() const;
  ReplicaStatus status() const;
  LogConfig config() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
