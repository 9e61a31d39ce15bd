#include <algorithm>

#include "log_replica_p.h"

namespace ring {

// Allows one change at a time, and only after an entry of this term has
// committed: otherwise two leaders could commit different changes with disjoint
// majorities.
Status Replica::Impl::CheckMembershipChange() const {
  if (role_ != ReplicaRole::kLeader || transfer_target_ != 0) {
    return Refusal{Reason::kNotLeader, RunState::kNotRun,
                   "this replica does not lead the group"};
  }
  if (log_.TermAt(commit_index_) != hard_state_.term) {
    return Refusal{Reason::kOverload, RunState::kNotRun,
                   "the leader has not committed an entry of its term yet"};
  }
  if (log_.config_index() > commit_index_) {
    return Refusal{Reason::kConflict, RunState::kNotRun,
                   "another membership change is in progress"};
  }
  return Done{};
}

Outcome<LogPosition> Replica::Impl::ProposeConfig(const LogConfig& config,
                                                  int64_t now_ms) {
  const uint64_t index =
      AppendAsLeader(LogEntryKind::kConfig, EncodeLogConfig(config), now_ms);
  SyncProgress();
  AdvanceCommit();
  return LogPosition{hard_state_.term, index};
}

Outcome<LogPosition> Replica::Impl::AddMember(ReplicaId id,
                                              const std::string& node,
                                              int64_t now_ms) {
  if (Status status = CheckMembershipChange(); !status) {
    return status.refusal();
  }
  if (id == 0 || log_.config().Find(id) != nullptr) {
    return Refusal{Reason::kConflict, RunState::kNotRun,
                   "the replica id is already in use"};
  }
  LogConfig config = log_.config();
  config.members.push_back({id, node, false});
  return ProposeConfig(config, now_ms);
}

Outcome<LogPosition> Replica::Impl::RemoveMember(ReplicaId id, int64_t now_ms) {
  if (Status status = CheckMembershipChange(); !status) {
    return status.refusal();
  }
  const Member* member = log_.config().Find(id);
  if (member == nullptr) {
    return Refusal{Reason::kNotAllowed, RunState::kNotRun,
                   "the replica is not a member"};
  }
  if (member->voter && log_.config().voter_count() == 1) {
    return Refusal{Reason::kNotAllowed, RunState::kNotRun,
                   "the last voter cannot be removed"};
  }
  if (id == init_.id) {
    Status status = TransferLeader(0);
    return status
               ? Refusal{Reason::kNotLeader, RunState::kNotRun,
                         "the leader transfers leadership before it is removed"}
               : status.refusal();
  }
  LogConfig config = log_.config();
  std::erase_if(config.members, [id](const Member& m) { return m.id == id; });
  return ProposeConfig(config, now_ms);
}

Outcome<LogPosition> Replica::Impl::PromoteMember(ReplicaId id,
                                                  int64_t now_ms) {
  if (Status status = CheckMembershipChange(); !status) {
    return status.refusal();
  }
  const Member* member = log_.config().Find(id);
  if (member == nullptr || member->voter) {
    return Refusal{Reason::kNotAllowed, RunState::kNotRun,
                   "the replica is not a learner"};
  }
  LogConfig config = log_.config();
  for (Member& changed : config.members) {
    changed.voter = changed.voter || changed.id == id;
  }
  return ProposeConfig(config, now_ms);
}

void Replica::Impl::SyncProgress() {
  const LogConfig& config = log_.config();
  std::erase_if(progress_, [&](const auto& item) {
    return config.Find(item.first) == nullptr;
  });
  for (const Member& member : config.members) {
    const auto [it, added] = progress_.try_emplace(member.id);
    if (added) {
      it->second.next_index = log_.last_index() + 1;
      it->second.last_message_tick = tick_;
      it->second.recently_active = true;
    }
  }
}

// Promotes a learner that has synced, within one election timeout, every entry
// that was committed at the start of that time. The match index counts synced
// entries only, so a repair never replaces a durable copy by one that still
// lacks entries.
void Replica::Impl::PromoteLearners(int64_t now_ms) {
  if (!init_.promote_learners || !CheckMembershipChange()) {
    return;
  }
  for (const Member& member : log_.config().members) {
    Progress& progress = progress_[member.id];
    if (member.voter || !progress.recently_active) {
      continue;
    }
    const bool expired = tick_ - progress.catch_up_tick > init_.election_ticks;
    if (progress.catch_up_target == 0 ||
        (expired && progress.match_index < progress.catch_up_target)) {
      progress.catch_up_target = commit_index_;
      progress.catch_up_tick = tick_;
    }
    if (progress.match_index >= progress.catch_up_target && !expired) {
      LogConfig config = log_.config();
      for (Member& changed : config.members) {
        changed.voter = changed.voter || changed.id == member.id;
      }
      ProposeConfig(config, now_ms);
      return;
    }
    if (progress.match_index >= progress.catch_up_target) {
      progress.catch_up_target = 0;
    }
  }
}

}  // namespace ring
