#include "core_flatbuffer_p.h"
#include "keeper_group_p.h"

namespace ring {
namespace {

// A keeper that has had no leader for this time asks to join, because it may
// have been removed while it was down. Longer than an election.
constexpr int64_t kMaxLeaderlessMs = 1'500;
// Age after which a join request expires. A keeper repeats its request several
// times within this time.
constexpr int64_t kJoinExpiryMs = 1'000;
// A member that is silent for longer counts as lost, and a voter is then
// replaced if a learner is available. Longer than a process takes to restart,
// so that a restart does not copy data.
constexpr int64_t kLostAfterMs = 3'000;
// Interval at which a leader checks whether a voter in another region should
// lead.
constexpr int64_t kLeaderCheckIntervalMs = 2'000;
// Leadership is not transferred to a voter that has been silent for longer.
constexpr int64_t kMaxReadySilenceMs = 300;

}  // namespace

void GroupHost::MaintainMembership() {
  const int64_t now_ms = clock_.NowMs();
  if (has_leader_.load()) {
    last_leader_ms_ = now_ms;
  }
  if (replica_->is_leader()) {
    ChangeMembership();
    TransferToPreferredLeader();
  } else if (replica_->config().Find(init_.identity.replica) == nullptr ||
             now_ms - last_leader_ms_ > kMaxLeaderlessMs) {
    RequestToJoin();
  }
}

void GroupHost::RequestToJoin() {
  flatbuffers::FlatBufferBuilder change;
  change.Finish(fb::CreateReplicaChange(change, init_.identity.replica,
                                        change.CreateString(init_.node)));
  flatbuffers::FlatBufferBuilder builder;
  const auto bytes =
      builder.CreateVector(change.GetBufferPointer(), change.GetSize());
  builder.Finish(fb::CreateKeeperRequest(builder, fb::KeeperOp::Join, bytes));
  transport_.SendToKeepers({.kind = FrameKind::KeeperRequest,
                            .group = name(),
                            .payload = BufferToString(builder)});
}

void GroupHost::HandleJoin(const Caller& caller, const std::string& payload) {
  const FlatBufferView<fb::ReplicaChange> change(payload);
  if (!change || change->node() == nullptr || change->id() == 0) {
    return Refuse(caller, {Reason::kBadRequest, RunState::kNotRun,
                           "cannot decode the join request"});
  }
  if (!replica_->is_leader() || !init_.automatic_membership) {
    return Refuse(caller, {Reason::kNotLeader, RunState::kNotRun,
                           "this replica does not lead the group"});
  }
  joins_[change->id()] = {{change->id(), change->node()->str()},
                          clock_.NowMs()};
  Reply(caller, "");
}

void GroupHost::ChangeMembership() {
  const int64_t now_ms = clock_.NowMs();
  std::erase_if(joins_, [now_ms](const auto& item) {
    return now_ms - item.second.received_ms > kJoinExpiryMs;
  });
  const ReplicaStatus status = replica_->status();
  MembershipInput input;
  input.self = status.id;
  input.commit_index =
      std::exchange(previous_commit_index_, status.commit_index);
  input.members = status.members;
  input.max_voters = init_.max_voters;
  input.max_learners = init_.max_learners;
  input.lost_after_ticks = kLostAfterMs / init_.tick_ms;
  if (init_.retired_nodes) {
    input.retired = init_.retired_nodes();
  }
  for (const auto& [id, join] : joins_) {
    input.joins.push_back(join.request);
  }
  const MembershipChange change = PlanMembership(input);
  if (change.kind == MembershipChange::Kind::kNone) {
    return;
  }
  const int64_t wall_ms = clock_.WallMs();
  const char* action = "remove";
  Outcome<LogPosition> proposed = LogPosition{};
  if (change.kind == MembershipChange::Kind::kAdd) {
    action = "add";
    proposed = replica_->AddMember(change.id, change.node, wall_ms);
  } else if (change.kind == MembershipChange::Kind::kPromote) {
    action = "promote";
    proposed = replica_->PromoteMember(change.id, wall_ms);
  } else {
    proposed = replica_->RemoveMember(change.id, wall_ms);
  }
  Event(LogLevel::kInfo, "member_change")
      .Add("group", name())
      .Add("action", action)
      .Add("replica", change.id)
      .Add("member", change.node)
      .Add("cause", change.cause)
      .Add("outcome", proposed ? Reason::kNone : proposed.refusal().reason);
}

void GroupHost::TransferToPreferredLeader() {
  const int64_t now_ms = clock_.NowMs();
  if (now_ms < next_leader_check_ms_ || !replica_->is_leader()) {
    return;
  }
  next_leader_check_ms_ = now_ms + kLeaderCheckIntervalMs;
  const ReplicaStatus status = replica_->status();
  std::vector<LeaderCandidate> voters;
  for (const MemberProgress& progress : status.members) {
    if (!progress.member.voter) {
      continue;
    }
    const bool self = progress.member.id == status.id;
    const auto region = region_of_replica_.find(progress.member.id);
    voters.push_back(
        {progress.member.id,
         self ? init_.region
              : (region == region_of_replica_.end() ? std::string()
                                                    : region->second),
         progress.silent_ticks * init_.tick_ms < kMaxReadySilenceMs &&
             progress.match_index >= previous_commit_index_});
  }
  const ReplicaId target = PreferredLeader(status.id, voters);
  if (target == 0) {
    return;
  }
  const Status moved = replica_->TransferLeader(target);
  Event(LogLevel::kInfo, "leadership_moved")
      .Add("group", name())
      .Add("to", target)
      .Add("outcome", moved ? Reason::kNone : moved.refusal().reason);
}

}  // namespace ring
