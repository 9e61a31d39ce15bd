#include <algorithm>

#include "log_replica_p.h"

namespace ring {
namespace {

bool IsContiguous(const RaftMessage& message) {
  uint64_t next = message.index + 1;
  for (const LogEntry& entry : message.entries) {
    if (entry.index != next || entry.term > message.term) {
      return false;
    }
    ++next;
  }
  return true;
}

}  // namespace

void Replica::Impl::ReplyAppended(ReplicaId to, uint64_t index) {
  RaftMessage reply;
  reply.kind = RaftKind::kAppendReply;
  reply.to = to;
  reply.index = index;
  Send(std::move(reply));
}

void Replica::Impl::HandleAppend(const RaftMessage& message) {
  if (role_ != ReplicaRole::kFollower) {
    // A term has one leader at most.
    RING_CHECK(!is_leader());
    BecomeFollower(message.term, message.from);
  }
  OnLeaderHeard(message.from);
  if (message.index < commit_index_) {
    return ReplyAppended(message.from, commit_index_);
  }
  if (!log_.Holds(message.index) ||
      log_.TermAt(message.index) != message.log_term ||
      !IsContiguous(message)) {
    return RejectAppend(message);
  }
  for (const LogEntry& entry : message.entries) {
    if (log_.TermAt(entry.index) == entry.term) {
      continue;
    }
    if (entry.index <= log_.last_index()) {
      RING_CHECK(entry.index > commit_index_);
      log_.TruncateFrom(entry.index);
      synced_index_ = std::min(synced_index_, entry.index - 1);
    }
    log_.Append(entry);
  }
  const uint64_t last = message.index + message.entries.size();
  commit_index_ = std::max(commit_index_, std::min(message.commit, last));
  ReplyAppended(message.from, last);
}

// The hint skips all entries of later terms than the leader's log has at this
// index, so that one reply skips a whole term instead of one entry.
void Replica::Impl::RejectAppend(const RaftMessage& message) {
  RaftMessage reply;
  reply.kind = RaftKind::kAppendReply;
  reply.to = message.from;
  reply.index = message.index;
  reply.reject = true;
  reply.reject_hint = log_.FindConflict(message.index, message.log_term);
  reply.log_term = log_.TermAt(reply.reject_hint);
  Send(std::move(reply));
}

void Replica::Impl::HandleHeartbeat(const RaftMessage& message) {
  if (role_ != ReplicaRole::kFollower) {
    RING_CHECK(!is_leader());
    BecomeFollower(message.term, message.from);
  }
  OnLeaderHeard(message.from);
  commit_index_ =
      std::max(commit_index_, std::min(message.commit, log_.last_index()));
  RaftMessage reply;
  reply.kind = RaftKind::kHeartbeatReply;
  reply.to = message.from;
  reply.context = message.context;
  Send(std::move(reply));
}

void Replica::Impl::HandleSnapshot(const RaftMessage& message) {
  if (role_ != ReplicaRole::kFollower) {
    RING_CHECK(!is_leader());
    BecomeFollower(message.term, message.from);
  }
  OnLeaderHeard(message.from);
  if (message.index <= commit_index_) {
    incoming_snapshot_.reset();
    return ReplyAppended(message.from, commit_index_);
  }
  if (message.snapshot_offset == 0) {
    incoming_snapshot_ = Snapshot{};
    incoming_snapshot_->meta.index = message.index;
    incoming_snapshot_from_ = message.from;
  }
  const bool expected = incoming_snapshot_ &&
                        incoming_snapshot_from_ == message.from &&
                        incoming_snapshot_->meta.index == message.index;
  const uint64_t received_bytes =
      expected ? incoming_snapshot_->data.size() : 0;
  if (expected && message.snapshot_offset == received_bytes) {
    incoming_snapshot_->data += message.snapshot_data;
    if (incoming_snapshot_->data.size() == message.snapshot_total) {
      return InstallSnapshot(message);
    }
  }
  RaftMessage reply;
  reply.kind = RaftKind::kSnapshotReply;
  reply.to = message.from;
  reply.index = message.index;
  reply.snapshot_offset = expected ? incoming_snapshot_->data.size() : 0;
  Send(std::move(reply));
}

void Replica::Impl::InstallSnapshot(const RaftMessage& message) {
  Snapshot snapshot = std::move(*incoming_snapshot_);
  incoming_snapshot_.reset();
  snapshot.meta = {message.index, message.log_term, message.snapshot_time_ms,
                   message.snapshot_config};
  if (log_.Holds(message.index) &&
      log_.TermAt(message.index) == message.log_term) {
    // The log already holds these entries; only the commit index was behind.
    commit_index_ = message.index;
    return ReplyAppended(message.from, message.index);
  }
  log_.Reset(snapshot.meta);
  commit_index_ = message.index;
  applied_index_ = message.index;
  synced_index_ = message.index;
  ready_.snapshot = std::move(snapshot);
  ReplyAppended(message.from, message.index);
}

}  // namespace ring
