#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "persimmonring/log.h"

namespace ring {

/// Entries of a replica in memory, with the configs they contain. A config is
/// in effect as soon as its entry is in the log, committed or not, and no
/// longer when that entry is replaced.
class RaftLog {
 public:
  explicit RaftLog(DurableState state);

  uint64_t start_index() const { return start_index_; }
  uint64_t last_index() const { return start_index_ + entries_.size(); }
  uint64_t last_term() const { return TermAt(last_index()); }
  /// @returns time of the last entry, even if it was compacted
  int64_t last_time_ms() const;
  const SnapshotMeta& snapshot() const { return snapshot_; }
  /// @returns true if the term of this index is known
  bool Holds(uint64_t index) const;
  /// @returns 0 if the term of this index is not known
  uint64_t TermAt(uint64_t index) const;
  const LogEntry& EntryAt(uint64_t index) const;

  const LogConfig& config() const { return configs_.back().second; }
  uint64_t config_index() const { return configs_.back().first; }
  const LogConfig& ConfigAt(uint64_t index) const;

  void Append(LogEntry entry);
  /// Removes the entries from the index on.
  void TruncateFrom(uint64_t index);
  /// @returns entries from the index on with at most max_bytes of data, but at
  ///          least one if there is one
  std::vector<LogEntry> Slice(uint64_t from, size_t max_bytes) const;
  /// Removes the entries before `keep_from`, which the snapshot covers.
  void Compact(const SnapshotMeta& meta, uint64_t keep_from);
  /// Replaces all entries and configs by an installed snapshot.
  void Reset(const SnapshotMeta& meta);
  /// Finds the last entry that can agree with a log that has `term` at `index`.
  /// @returns highest index, at most `index`, whose term is at most `term`;
  ///          start_index() if there is none above it
  uint64_t FindConflict(uint64_t index, uint64_t term) const;

 private:
  void TrackConfig(const LogEntry& entry);

  uint64_t start_index_ = 0;
  uint64_t start_term_ = 0;
  SnapshotMeta snapshot_;
  std::deque<LogEntry> entries_;
  std::vector<std::pair<uint64_t, LogConfig>> configs_;
};

}  // namespace ring
