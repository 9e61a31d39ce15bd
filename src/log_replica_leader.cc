#include <algorithm>

#include "log_replica_p.h"

namespace ring {
namespace {

Refusal NotLeader() {
  return {Reason::kNotLeader, RunState::kNotRun,
          "this replica does not lead the group"};
}

}  // namespace

Outcome<LogPosition> Replica::Impl::Propose(std::string command,
                                            int64_t now_ms) {
  if (!is_leader() || transfer_target_ != 0) {
    return NotLeader();
  }
  if (command.size() > kMaxCommandBytes) {
    return Refusal{Reason::kBodyTooLarge, RunState::kNotRun,
                   "the command exceeds the size limit of a log entry"};
  }
  return LogPosition{
      hard_state_.term,
      AppendAsLeader(LogEntryKind::kCommand, std::move(command), now_ms)};
}

uint64_t Replica::Impl::AppendAsLeader(LogEntryKind kind,
                                       std::string data,
                                       int64_t now_ms) {
  LogEntry entry;
  entry.term = hard_state_.term;
  entry.index = log_.last_index() + 1;
  entry.time_ms = std::max(now_ms, log_.last_time_ms());
  entry.kind = kind;
  entry.data = std::move(data);
  log_.Append(std::move(entry));
  return log_.last_index();
}

Progress* Replica::Impl::MarkActive(const RaftMessage& message) {
  const auto found = progress_.find(message.from);
  if (!is_leader() || found == progress_.end()) {
    return nullptr;
  }
  found->second.recently_active = true;
  found->second.last_message_tick = tick_;
  sends_pending_ = true;
  return &found->second;
}

void Replica::Impl::HandleAppendReply(const RaftMessage& message) {
  Progress* progress = MarkActive(message);
  if (progress == nullptr) {
    return;
  }
  if (message.reject) {
    return HandleRejectedAppend(*progress, message);
  }
  if (message.index > log_.last_index()) {
    return;
  }
  std::erase_if(progress->inflight,
                [&](uint64_t index) { return index <= message.index; });
  progress->probe_sent = false;
  if (progress->state == SendState::kSnapshot &&
      message.index >= progress->snapshot->meta().index) {
    progress->state = SendState::kProbe;
    progress->snapshot.reset();
    progress->next_index = message.index + 1;
    progress->force_append = true;
  }
  if (message.index <= progress->match_index) {
    return;
  }
  progress->match_index = message.index;
  progress->next_index = std::max(progress->next_index, message.index + 1);
  if (progress->state == SendState::kProbe) {
    progress->state = SendState::kReplicate;
  }
  AdvanceCommit();
  SendTimeoutNowIfCaughtUp();
}

void Replica::Impl::HandleRejectedAppend(Progress& progress,
                                         const RaftMessage& message) {
  const bool stale = progress.state == SendState::kProbe
                         ? message.index + 1 != progress.next_index
                         : message.index <= progress.match_index;
  if (stale || progress.state == SendState::kSnapshot) {
    return;
  }
  const uint64_t agreed =
      message.reject_hint >= log_.start_index()
          ? log_.FindConflict(message.reject_hint, message.log_term)
          : message.reject_hint;
  progress.next_index =
      std::max(std::min(message.index, agreed + 1), progress.match_index + 1);
  progress.state = SendState::kProbe;
  progress.probe_sent = false;
  progress.force_append = true;
  progress.inflight.clear();
}

void Replica::Impl::HandleHeartbeatReply(const RaftMessage& message) {
  Progress* progress = MarkActive(message);
  if (progress == nullptr) {
    return;
  }
  progress->read_round = std::max(progress->read_round, message.context);
  progress->probe_sent = false;
  if (!progress->inflight.empty()) {
    progress->inflight.erase(progress->inflight.begin());
  }
  // A lost append is detected only when a later one is rejected.
  progress->force_append = progress->match_index < log_.last_index();
  // A chunk or its reply may be lost. Half an election timeout is far longer
  // than a chunk and its reply take.
  if (progress->state == SendState::kSnapshot &&
      tick_ - progress->chunk_sent_tick >= init_.election_ticks / 2) {
    progress->chunk_due = true;
  }
  ConfirmReads();
}

void Replica::Impl::HandleSnapshotReply(const RaftMessage& message) {
  Progress* progress = MarkActive(message);
  if (progress == nullptr || progress->state != SendState::kSnapshot ||
      progress->snapshot->meta().index != message.index ||
      message.snapshot_offset > progress->snapshot->size()) {
    return;
  }
  progress->snapshot_offset = message.snapshot_offset;
  progress->chunk_due = true;
}

void Replica::Impl::AdvanceCommit() {
  std::vector<uint64_t> matches;
  for (const Member& member : log_.config().members) {
    if (member.voter) {
      matches.push_back(progress_[member.id].match_index);
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const uint64_t index = matches[Quorum() - 1];
  if (index > commit_index_ && log_.TermAt(index) == hard_state_.term) {
    commit_index_ = index;
    StartReads();
  }
}

void Replica::Impl::BroadcastHeartbeat() {
  for (const auto& [id, progress] : progress_) {
    if (id == init_.id) {
      continue;
    }
    RaftMessage heartbeat;
    heartbeat.kind = RaftKind::kHeartbeat;
    heartbeat.to = id;
    heartbeat.commit = std::min(progress.match_index, commit_index_);
    heartbeat.context = read_round_;
    Send(std::move(heartbeat));
  }
}

void Replica::Impl::SendAppends() {
  for (auto& [id, progress] : progress_) {
    if (id != init_.id) {
      SendAppendsTo(id, progress);
    }
  }
}

void Replica::Impl::SendAppendsTo(ReplicaId id, Progress& progress) {
  if (progress.state == SendState::kSnapshot) {
    if (progress.chunk_due) {
      SendChunk(id, progress);
    }
    return;
  }
  if (progress.state == SendState::kProbe) {
    if (!progress.probe_sent &&
        (progress.next_index <= log_.last_index() || progress.force_append)) {
      SendAppend(id, progress);
      progress.probe_sent = true;
    }
    return;
  }
  bool sent = false;
  while (progress.state == SendState::kReplicate &&
         progress.next_index <= log_.last_index() &&
         progress.inflight.size() < init_.max_inflight_appends) {
    SendAppend(id, progress);
    sent = true;
  }
  const bool commit_news = progress.sent_commit_index < commit_index_ &&
                           progress.sent_commit_index < progress.match_index;
  if (!sent && (progress.force_append || commit_news) &&
      progress.state == SendState::kReplicate) {
    SendAppend(id, progress);
  }
}

void Replica::Impl::SendAppend(ReplicaId id, Progress& progress) {
  progress.force_append = false;
  const uint64_t previous = progress.next_index - 1;
  if (!log_.Holds(previous)) {
    return StartSnapshot(id, progress);
  }
  RaftMessage append;
  append.kind = RaftKind::kAppend;
  append.to = id;
  append.index = previous;
  append.log_term = log_.TermAt(previous);
  append.commit = commit_index_;
  append.entries = log_.Slice(progress.next_index, init_.max_append_bytes);
  progress.sent_commit_index = commit_index_;
  if (progress.state == SendState::kReplicate && !append.entries.empty()) {
    progress.next_index = append.entries.back().index + 1;
    progress.inflight.push_back(append.entries.back().index);
  }
  Send(std::move(append));
}

void Replica::Impl::StartSnapshot(ReplicaId id, Progress& progress) {
  progress.snapshot = init_.open_snapshot ? init_.open_snapshot() : nullptr;
  if (!progress.snapshot) {
    progress.state = SendState::kProbe;
    progress.probe_sent = true;
    return;
  }
  progress.state = SendState::kSnapshot;
  progress.snapshot_offset = 0;
  progress.inflight.clear();
  SendChunk(id, progress);
}

void Replica::Impl::SendChunk(ReplicaId id, Progress& progress) {
  progress.chunk_due = false;
  progress.chunk_sent_tick = tick_;
  const SnapshotSourceI& snapshot = *progress.snapshot;
  auto data = snapshot.Read(progress.snapshot_offset, init_.max_snapshot_chunk);
  if (!data) {
    // Retried after half an election timeout; the source reports the error.
    return;
  }
  const SnapshotMeta& meta = snapshot.meta();
  RaftMessage chunk;
  chunk.kind = RaftKind::kSnapshot;
  chunk.to = id;
  chunk.index = meta.index;
  chunk.log_term = meta.term;
  chunk.snapshot_time_ms = meta.time_ms;
  chunk.snapshot_config = meta.config;
  chunk.snapshot_offset = progress.snapshot_offset;
  chunk.snapshot_total = snapshot.size();
  chunk.snapshot_data = std::move(*data);
  Send(std::move(chunk));
}

Status Replica::Impl::ReadIndex(uint64_t id) {
  if (!is_leader()) {
    return NotLeader();
  }
  waiting_reads_.push_back(id);
  StartReads();
  return Done{};
}

// A new leader knows the commit index only after an entry of its own term has
// committed. Until then read barriers wait.
void Replica::Impl::StartReads() {
  if (waiting_reads_.empty() ||
      log_.TermAt(commit_index_) != hard_state_.term) {
    return;
  }
  ++read_round_;
  for (const uint64_t id : waiting_reads_) {
    reads_.push_back({id, read_round_});
  }
  waiting_reads_.clear();
  progress_[init_.id].read_round = read_round_;
  BroadcastHeartbeat();
  ConfirmReads();
}

void Replica::Impl::ConfirmReads() {
  progress_[init_.id].read_round = read_round_;
  std::vector<uint64_t> rounds;
  for (const Member& member : log_.config().members) {
    if (member.voter) {
      rounds.push_back(progress_[member.id].read_round);
    }
  }
  if (rounds.empty() || reads_.empty()) {
    return;
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  const uint64_t confirmed = rounds[Quorum() - 1];
  std::erase_if(reads_, [&](const PendingRead& read) {
    if (read.round <= confirmed) {
      ready_.reads.push_back(read.id);
    }
    return read.round <= confirmed;
  });
}

Status Replica::Impl::TransferLeader(ReplicaId target) {
  if (!is_leader()) {
    return NotLeader();
  }
  if (target == 0) {
    for (const Member& member : log_.config().members) {
      if (member.voter && member.id != init_.id &&
          progress_[member.id].recently_active &&
          (target == 0 ||
           progress_[member.id].match_index > progress_[target].match_index)) {
        target = member.id;
      }
    }
  }
  const Member* member = log_.config().Find(target);
  if (member == nullptr || !member->voter || target == init_.id) {
    return Refusal{Reason::kNotAllowed, RunState::kNotRun,
                   "no other voter can take over leadership"};
  }
  transfer_target_ = target;
  transfer_elapsed_ = 0;
  SendTimeoutNowIfCaughtUp();
  return Done{};
}

void Replica::Impl::SendTimeoutNowIfCaughtUp() {
  if (transfer_target_ == 0 ||
      progress_[transfer_target_].match_index < log_.last_index()) {
    return;
  }
  RaftMessage timeout_now;
  timeout_now.kind = RaftKind::kTimeoutNow;
  timeout_now.to = transfer_target_;
  Send(std::move(timeout_now));
}

}  // namespace ring
