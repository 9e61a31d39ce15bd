#pragma once

/// Replicated log: disk access, durable store, and the deterministic raft core.
/// Threads and transport are added by the keeper module.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

// ------------------------------------------------------------------------ disk

/// One data folder. Contents last only once they are synced. Errors:
/// storage_failed (full disk, read-only folder, I/O error), corrupt_data.
class DiskI {
 public:
  virtual ~DiskI() = default;
  virtual Outcome<std::vector<std::string>> List() = 0;
  /// @returns the whole file, or storage_failed if it does not exist
  virtual Outcome<std::string> Read(const std::string& name) = 0;
  virtual Status Append(const std::string& name, std::string_view bytes) = 0;
  /// Makes the appended bytes and the folder entry durable.
  virtual Status Sync(const std::string& name) = 0;
  /// Replaces a file durably and atomically (write, sync, rename, sync folder).
  virtual Status Replace(const std::string& name, std::string_view bytes) = 0;
  virtual Status Truncate(const std::string& name, uint64_t size) = 0;
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
  LogConfig config;

  auto operator<=>(const SnapshotMeta&) const = default;
};

// --------------------------------------------------------------- state machine

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
  /// @returns corrupt_data if the snapshot cannot be decoded
  virtual Status Load(std::string_view snapshot) = 0;
};

}  // namespace ring
