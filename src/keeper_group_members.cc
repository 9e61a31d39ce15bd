#include "core_flatbuffer_p.h"
#include "keeper_group_p.h"

namespace ring {
namespace {

// A keeper without a leader for this time asks for a place: it may have been
// replaced while it was away. Longer than an election.
constexpr int64_t kLeaderlessMs = 1'500;
// Requests for a place are repeated several times in this time.
constexpr int64_t kJoinHeardMs = 1'000;
// Silence after which a voter is replaced if a learner stands ready. Longer
// than a restart of a process, so that restarts move no data.
constexpr int64_t kLostMs = 3'000;
// How often a leader looks for a better place; a new leader first settles.
constexpr int64_t kMoveMs = 2'000;
// A voter that was silent longer does not get the leadership.
constexpr int64_t kReadyMs = 300;

}  // namespace

void GroupHost::MaintainMembers() {
  const int64_t now_ms = clock_.NowMs();
  if (has_leader_.load()) {
    leader_seen_ms_ = now_ms;
  }
  if (replica_->is_leader()) {
    ChangeMembers();
    MoveLeadership();
  } else if (replica_->config().Find(init_.identity.replica) == nullptr ||
             now_ms - leader_seen_ms_ > kLeaderlessMs) {
    AskToJoin();
  }
}

void GroupHost::AskToJoin() {
  flatbuffers::FlatBufferBuilder change;
  change.Finish(fb::CreateReplicaChange(change, init_.identity.replica,
                                        change.CreateString(init_.node)));
  flatbuffers::FlatBufferBuilder builder;
  const auto bytes =
      builder.CreateVector(change.GetBufferPointer(), change.GetSize());
  builder.Finish(fb::CreateKeeperRequest(builder, fb::KeeperOp::Join, bytes));
  outlet_.SendToKeepers({.kind = FrameKind::KeeperRequest,
                         .group = name(),
                         .payload = BufferToString(builder)});
}

void GroupHost::HandleJoin(const Caller& caller, const std::string& payload) {
  const FlatBufferView<fb::ReplicaChange> change(payload);
  if (!change || change->node() == nullptr || change->id() == 0) {
    return Refuse(caller, {Reason::kBadRequest, RunState::kNotRun,
                           "the request to join cannot be decoded"});
  }
  if (!replica_->is_leader() || !init_.automatic_members) {
    return Refuse(caller, {Reason::kNotLeader, RunState::kNotRun,
                           "this replica does not lead the group"});
  }
  joins_[change->id()] = {{change->id(), change->node()->str()},
                          clock_.NowMs()};
  Reply(caller, "");
}

void GroupHost::ChangeMembers() {
  const int64_t now_ms = clock_.NowMs();
  std::erase_if(joins_, [now_ms](const auto& item) {
    return now_ms - item.second.heard_ms > kJoinHeardMs;
  });
  const ReplicaStatus status = replica_->status();
  MembershipInput input;
  input.self = status.id;
  input.commit_index = std::exchange(earlier_commit_, status.commit_index);
  input.members = status.members;
  input.max_voters = init_.max_voters;
  input.max_learners = init_.max_learners;
  input.lost_ticks = kLostMs / init_.tick_ms;
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
  Outcome<Proposed> proposed = Proposed{};
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
      .Add("cause", change.why)
      .Add("outcome", proposed ? Reason::kNone : proposed.refusal().reason);
}

void GroupHost::MoveLeadership() {
  const int64_t now_ms = clock_.NowMs();
  if (now_ms < next_move_ms_ || !replica_->is_leader()) {
    return;
  }
  next_move_ms_ = now_ms + kMoveMs;
  const ReplicaStatus status = replica_->status();
  std::vector<LeaderCandidate> voters;
  for (const MemberProgress& row : status.members) {
    if (!row.member.voter) {
      continue;
    }
    const bool self = row.member.id == status.id;
    const auto region = regions_.find(row.member.id);
    voters.push_back(
        {row.member.id,
         self ? init_.region
              : (region == regions_.end() ? std::string() : region->second),
         row.silent_ticks * init_.tick_ms < kReadyMs &&
             row.match_index >= earlier_commit_});
  }
  const ReplicaNumber target = PreferredLeader(status.id, voters);
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
