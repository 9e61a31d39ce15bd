#pragma once

/// Replicated log: disk access, durable store, and the deterministic raft core.
/// Threads and transport are added by the keeper module.

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

/// A file opened for reading. Keeps its contents when another file takes its
/// name.
class FileI {
 public:
  virtual ~FileI() = default;
  /// @returns the bytes at the offset; fewer at the end of the file
  virtual Outcome<std::string> ReadAt(uint64_t offset, size_t bytes) const = 0;
};

/// One data folder. Contents last only once they are synced. Errors:
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
  /// Writes bytes at the offset, ends the file after them and makes its
  /// contents durable; the name of a new file only with Rename. Bytes that are
  /// durable already survive a power cut in between.
  virtual Status RewriteTail(const std::string& name,
                             uint64_t offset,
                             std::string_view bytes) = 0;
  /// Gives a durable file another name, durably and atomically.
  virtual Status Rename(const std::string& from, const std::string& to) = 0;
  virtual Status Remove(const std::string& name) = 0;
};

/// Opens a folder on the file system and locks it against a second process.
/// @param read_only never writes, takes no lock; for inspection
Outcome<std::unique_ptr<DiskI>> OpenDisk(const std::string& folder,
                                         bool read_only);

// ----------------------------------------------------------------- log entries

using ReplicaNumber = uint64_t;  ///< Identity of a replica; never reused.

enum class EntryKind : uint8_t { kEmpty, kCommand, kConfig };

struct LogEntry {
  uint64_t term = 0;
  uint64_t index = 0;
  int64_t time_ms = 0;  ///< Wall clock of the leader; never goes back.
  EntryKind kind = EntryKind::kEmpty;
  std::string data;

  auto operator<=>(const LogEntry&) const = default;
};

struct Member {
  ReplicaNumber id = 0;
  std::string node;  ///< Keeper process that runs the replica.
  bool voter = false;

  auto operator<=>(const Member&) const = default;
};

/// Members of a group. Two successive configs differ by one member.
struct LogConfig {
  std::vector<Member> members;

  const Member* Find(ReplicaNumber id) const;
  size_t voter_count() const;
  auto operator<=>(const LogConfig&) const = default;
};

/// Term and vote; durable before any answer that depends on them.
struct HardState {
  uint64_t term = 0;
  ReplicaNumber voted_for = 0;

  auto operator<=>(const HardState&) const = default;
};

struct SnapshotMeta {
  uint64_t index = 0;
  uint64_t term = 0;
  int64_t time_ms = 0;  ///< Time of the last entry in the snapshot.
  LogConfig config;

  auto operator<=>(const SnapshotMeta&) const = default;
};

/// State machine contents up to meta.index. Empty data stands for the initial
/// state of the machine.
struct Snapshot {
  SnapshotMeta meta;
  std::string data;

  auto operator<=>(const Snapshot&) const = default;
};

/// Largest command of one entry; an append message with it stays far below the
/// frame limit of 8 MiB.
constexpr size_t kMaxCommandBytes = 4u << 20;

// --------------------------------------------------------------- state machine

/// State of a machine at one index, written piece by piece while the machine
/// goes on. Used by the thread of the machine.
class StateImageI {
 public:
  virtual ~StateImageI() = default;
  /// Appends the next piece.
  /// @param bytes size that the piece should have
  /// @returns false if this was the last piece
  virtual bool Append(size_t bytes, std::string& out) = 0;
};

/// Takes in a saved state piece by piece, so that a start does not hold it
/// twice. Used by the thread of the machine.
class StateLoaderI {
 public:
  virtual ~StateLoaderI() = default;
  /// @returns corrupt_data if the bytes cannot be decoded
  virtual Status Append(std::string_view bytes) = 0;
  /// Called after the last piece; the machine is usable only if this succeeds.
  virtual Status Finish() = 0;
};

/// A saved snapshot that is read in parts, to send it to another replica.
class SnapshotSourceI {
 public:
  virtual ~SnapshotSourceI() = default;
  virtual const SnapshotMeta& meta() const = 0;
  /// @returns bytes of the state
  virtual uint64_t size() const = 0;
  /// @returns the bytes of the state at the offset; fewer at its end
  virtual Outcome<std::string> Read(uint64_t offset, size_t bytes) const = 0;
};

/// Deterministic state behind a log. Called by one thread.
class StateMachineI {
 public:
  virtual ~StateMachineI() = default;
  /// Applies a committed command.
  /// @param time_ms wall milliseconds stamped by the leader; never goes back
  /// @returns the encoded result for the proposer
  virtual std::string Apply(uint64_t index,
                            int64_t time_ms,
                            std::string_view command) = 0;
  /// Answers a read at the applied state.
  virtual std::string Query(std::string_view query) const = 0;
  virtual std::string Save() const = 0;
  /// @returns the bytes of Save, to be written while commands are applied. The
  ///          default saves at once.
  virtual std::unique_ptr<StateImageI> Freeze() const;
  /// @returns corrupt_data if the snapshot cannot be decoded
  virtual Status Load(std::string_view snapshot) = 0;
  /// Loads a new machine in pieces. The default collects them for Load.
  virtual std::unique_ptr<StateLoaderI> BeginLoad();
  /// @returns a command that the leader proposes once a second, to expire old
  ///          records; empty: none
  virtual std::string ExpireCommand() const { return {}; }
};

// --------------------------------------------------------------- durable store

/// Whose data a folder holds. Written once, before the first start.
struct WalIdentity {
  std::string ring;
  std::string group;
  ReplicaNumber replica = 0;

  auto operator<=>(const WalIdentity&) const = default;
};

/// What a replica finds on its disk when it starts.
struct DurableState {
  HardState hard_state;
  SnapshotMeta snapshot;
  /// Entry before entries.front(); at or before the snapshot.
  uint64_t start_index = 0;
  uint64_t start_term = 0;
  std::vector<LogEntry> entries;

  auto operator<=>(const DurableState&) const = default;
};

/// Durable store of one replica: identity, hard state, log and snapshot. Each
/// Append is one record with one sync. After a failed write the store refuses
/// all further writes, because the state of the file is then unknown; it must
/// be opened again. Used by one thread.
class Wal {
 public:
  /// Prepares an empty folder for a new replica. Idempotent for the same
  /// identity.
  /// @param initial_members of a new group; empty for a replica that joins
  /// @returns corrupt_data if the folder belongs to another replica or holds a
  ///          log without identity
  static Status Initialize(DiskI& disk,
                           const WalIdentity& identity,
                           const std::vector<Member>& initial_members);

  /// @returns whose data the folder holds, or nullopt if it holds none
  static Outcome<std::optional<WalIdentity>> ReadIdentity(DiskI& disk);

  struct Init {
    WalIdentity identity;
    bool read_only = false;  ///< Cuts and rewrites nothing; for inspection.
  };
  /// Reads and checks everything, cuts a torn last record, and rewrites the
  /// last whole one in place: it alone may not be durable, after a failed sync
  /// or the end of a process, because every record is synced before the next.
  /// @returns corrupt_data for an empty folder, a foreign folder or a damaged
  ///          record that is not a torn tail; storage_failed
  static Outcome<std::unique_ptr<Wal>> Open(DiskI& disk, const Init& init);

  const DurableState& recovered() const { return recovered_; }
  /// Frees the recovered entries once the replica has taken them.
  void DropRecovered() { recovered_ = {}; }
  /// @returns bytes of the torn record that Open cut
  uint64_t cut_bytes() const { return cut_bytes_; }
  /// @returns bytes of the log file
  uint64_t log_bytes() const { return log_bytes_; }
  /// @returns bytes of the snapshot that was written last
  uint64_t snapshot_bytes() const { return written_bytes_; }

  /// Appends and syncs once. Entries replace those with the same and higher
  /// indexes.
  Status Append(const std::optional<HardState>& hard_state,
                const std::vector<LogEntry>& entries);
  /// Saves a snapshot at once, then replaces the log by the given remainder.
  Status SaveSnapshot(const Snapshot& snapshot,
                      const HardState& hard_state,
                      uint64_t start_index,
                      uint64_t start_term,
                      const std::vector<LogEntry>& entries);
  /// Begins to write a snapshot beside the one in place.
  void BeginSnapshot(const SnapshotMeta& meta,
                     std::unique_ptr<StateImageI> image);
  bool writing_snapshot() const { return image_ != nullptr; }
  const SnapshotMeta& writing_meta() const { return writing_meta_; }
  /// Writes and syncs the next piece, so that appends wait for one piece at
  /// most.
  /// @returns true if it was the last one
  Outcome<bool> WriteSnapshotPiece();
  /// Puts the written snapshot in place, then replaces the log by the given
  /// remainder.
  Status FinishSnapshot(const HardState& hard_state,
                        uint64_t start_index,
                        uint64_t start_term,
                        const std::vector<LogEntry>& entries);
  /// @returns the saved snapshot, or an empty one with index 0
  Outcome<Snapshot> LoadSnapshot() const;
  Outcome<std::shared_ptr<const SnapshotSourceI>> VerifySnapshot() const;
  /// Loads the saved state into a new machine; an empty one leaves it as it is.
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
  std::unique_ptr<StateImageI> image_;  ///< Of the snapshot being written.
  SnapshotMeta writing_meta_;
  uint64_t written_bytes_ = 0;
  uint64_t written_state_bytes_ = 0;  ///< Without framing.
  std::string last_record_;           ///< Until Open has rewritten it.
  uint64_t cut_bytes_ = 0;
  uint64_t log_bytes_ = 0;
  bool failed_ = false;
};

// ------------------------------------------------------------------- raft core

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
  ReplicaNumber to = 0;
  ReplicaNumber from = 0;
  uint64_t term = 0;
  uint64_t log_term = 0;  ///< Term of the entry at `index` or `reject_hint`.
  uint64_t index = 0;
  uint64_t commit = 0;
  bool reject = false;
  uint64_t reject_hint = 0;
  uint64_t context = 0;  ///< Read barrier round; 1 in a forced vote.
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
  std::vector<uint64_t> reads;         ///< Barrier ids that are confirmed.
  std::vector<uint64_t> failed_reads;  ///< Barrier ids lost with leadership.
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

/// What a leader knows about a member.
struct MemberProgress {
  Member member;
  uint64_t match_index = 0;
  int64_t silent_ticks = 0;  ///< Since the last message.

  auto operator<=>(const MemberProgress&) const = default;
};

struct ReplicaStatus {
  ReplicaNumber id = 0;
  ReplicaRole role = ReplicaRole::kFollower;
  ReplicaNumber leader = 0;  ///< 0: unknown.
  uint64_t term = 0;
  uint64_t commit_index = 0;
  uint64_t applied_index = 0;
  uint64_t last_index = 0;
  uint64_t snapshot_index = 0;
  std::vector<MemberProgress> members;

  auto operator<=>(const ReplicaStatus&) const = default;
};

/// Position of a proposed entry.
struct Proposed {
  uint64_t term = 0;
  uint64_t index = 0;

  auto operator<=>(const Proposed&) const = default;
};

/// Raft replica without threads, clocks or I/O: the same calls give the same
/// outputs. Used by one thread.
class Replica {
 public:
  struct Init {
    ReplicaNumber id = 0;
    int32_t heartbeat_ticks = 2;
    int32_t election_ticks = 20;  ///< Randomized over [n, 2n].
    /// Used instead until a leader has been heard since the start; 0: none.
    /// There is nothing to wait for when all replicas have just started.
    int32_t first_election_ticks = 0;
    uint64_t seed = 1;
    size_t max_append_bytes = 1u << 20;    ///< Entries of one message.
    size_t max_snapshot_chunk = 1u << 20;  ///< At most 1 MiB.
    size_t max_inflight_appends = 64;      ///< Unanswered, for each member.
    /// Learners that have caught up become voters by themselves; else only by
    /// PromoteMember.
    bool promote_learners = true;
    /// Opens the saved snapshot for a member that is too far behind.
    std::function<std::shared_ptr<const SnapshotSourceI>()> load_snapshot;
  };

  Replica(Init init, DurableState state);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Advances the replica's time by one tick.
  /// @param now_ms wall clock, for entries that the leader adds by itself
  void Tick(int64_t now_ms);
  /// Messages to another replica arrive from now on: a candidate asks again for
  /// a vote that may have been lost, instead of waiting for its next election.
  void OnReachable(ReplicaNumber peer);
  /// Takes in a message from another replica.
  void Step(const RaftMessage& message, int64_t now_ms);
  /// @returns not_leader (also while leadership is being transferred),
  ///          body_too_large
  Outcome<Proposed> Propose(std::string command, int64_t now_ms);
  /// Asks for a read barrier; Ready::reads names it when it is confirmed.
  /// @param id chosen by the caller, never reused
  Status ReadIndex(uint64_t id);
  /// Adds a learner, which becomes a voter once it has caught up.
  /// @returns not_leader, conflict (another change is under way, the id is in
  ///          use), overload (no entry of this term is committed yet)
  Outcome<Proposed> AddMember(ReplicaNumber id,
                              const std::string& node,
                              int64_t now_ms);
  /// Makes a learner a voter. The caller has checked that it has caught up.
  /// @returns as AddMember; not_allowed if it is no learner
  Outcome<Proposed> PromoteMember(ReplicaNumber id, int64_t now_ms);
  /// @returns as AddMember; not_allowed for the last voter; not_leader for the
  ///          leader itself, which then hands over leadership
  Outcome<Proposed> RemoveMember(ReplicaNumber id, int64_t now_ms);
  /// @param target 0: the most up-to-date voter
  Status TransferLeader(ReplicaNumber target);

  bool HasReady() const;
  Ready TakeReady();
  /// Everything of the last Ready that had to be persisted is durable.
  void Persisted();

  /// Drops entries up to the index; a snapshot that covers them is saved.
  void Compact(const SnapshotMeta& meta, uint64_t keep_from);
  /// @returns meta of a snapshot of the state after the last Ready was applied
  SnapshotMeta AppliedMeta() const;
  /// @returns entries held in memory after the index
  std::vector<LogEntry> EntriesAfter(uint64_t index) const;
  /// @returns term of the entry, 0 if it is not held
  uint64_t TermAt(uint64_t index) const;
  /// @returns index before the first entry held
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
