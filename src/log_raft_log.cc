#include "log_raft_log_p.h"

#include <algorithm>
#include <limits>

namespace ring {

RaftLog::RaftLog(DurableState state)
    : start_index_(state.start_index),
      start_term_(state.start_term),
      snapshot_(std::move(state.snapshot)) {
  configs_.emplace_back(snapshot_.index, snapshot_.config);
  for (LogEntry& entry : state.entries) {
    Append(std::move(entry));
  }
}

int64_t RaftLog::last_time_ms() const {
  const int64_t last = entries_.empty() ? 0 : entries_.back().time_ms;
  return std::max(last, snapshot_.time_ms);
}

bool RaftLog::Holds(uint64_t index) const {
  return index >= start_index_ && index <= last_index();
}

uint64_t RaftLog::TermAt(uint64_t index) const {
  if (!Holds(index)) {
    return 0;
  }
  return index == start_index_ ? start_term_ : EntryAt(index).term;
}

const LogEntry& RaftLog::EntryAt(uint64_t index) const {
  RING_CHECK(index > start_index_ && index <= last_index());
  return entries_[index - start_index_ - 1];
}

const LogConfig& RaftLog::ConfigAt(uint64_t index) const {
  const LogConfig* found = &configs_.front().second;
  for (const auto& [at, config] : configs_) {
    if (at <= index) {
      found = &config;
    }
  }
  return *found;
}

void RaftLog::Append(LogEntry entry) {
  RING_CHECK(entry.index == last_index() + 1);
  TrackConfig(entry);
  entries_.push_back(std::move(entry));
}

void RaftLog::TrackConfig(const LogEntry& entry) {
  if (entry.kind != LogEntryKind::kConfig || entry.index <= snapshot_.index) {
    return;
  }
  auto config = DecodeLogConfig(entry.data);
  // The entry passed its checksum, so a config that does not decode is a bug.
  RING_CHECK(config.ok());
  configs_.emplace_back(entry.index, std::move(*config));
}

void RaftLog::TruncateFrom(uint64_t index) {
  RING_CHECK(index > start_index_);
  if (index > last_index()) {
    return;
  }
  entries_.resize(index - start_index_ - 1);
  while (configs_.size() > 1 && configs_.back().first >= index) {
    configs_.pop_back();
  }
}

std::vector<LogEntry> RaftLog::Slice(uint64_t from, size_t max_bytes) const {
  std::vector<LogEntry> result;
  size_t bytes = 0;
  for (uint64_t index = from; index <= last_index(); ++index) {
    const LogEntry& entry = EntryAt(index);
    bytes += entry.data.size();
    if (!result.empty() && bytes > max_bytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

void RaftLog::Compact(const SnapshotMeta& meta, uint64_t keep_from) {
  RING_CHECK(Holds(meta.index) && keep_from <= meta.index + 1);
  LogConfig config = ConfigAt(meta.index);
  std::erase_if(configs_,
                [&](const auto& item) { return item.first <= meta.index; });
  configs_.insert(configs_.begin(), {meta.index, std::move(config)});
  snapshot_ = meta;
  const uint64_t start = std::max(start_index_, keep_from - 1);
  start_term_ = TermAt(start);
  entries_.erase(
      entries_.begin(),
      entries_.begin() + static_cast<std::ptrdiff_t>(start - start_index_));
  start_index_ = start;
}

void RaftLog::Reset(const SnapshotMeta& meta) {
  snapshot_ = meta;
  start_index_ = meta.index;
  start_term_ = meta.term;
  entries_.clear();
  configs_.assign(1, {meta.index, meta.config});
}

uint64_t RaftLog::FindConflict(uint64_t index, uint64_t term) const {
  index = std::min(index, last_index());
  while (index > start_index_ && TermAt(index) > term) {
    --index;
  }
  return index;
}

}  // namespace ring
