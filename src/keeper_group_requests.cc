#include <algorithm>

#include "keeper_group_p.h"

namespace ring {
namespace {

using flatbuffers::FlatBufferBuilder;

// Leaves 64 KB of the frame for its header and the other fields of the reply.
constexpr size_t kMaxReplyPayload = kMaxFrameBytes - (64u << 10);

std::string FinishedBytes(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

template <typename T>
const T* VerifiedRoot(const std::string& bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size());
  return verifier.VerifyBuffer<T>(nullptr)
             ? flatbuffers::GetRoot<T>(bytes.data())
             : nullptr;
}

Refusal BadRequest(const std::string& text) {
  return {Reason::kBadRequest, RunState::kNotRun, text};
}

}  // namespace

std::string EncodeKeeperReply(const Outcome<std::string>& outcome,
                              const std::string& leader) {
  FlatBufferBuilder builder;
  const std::string empty;
  const std::string& payload = outcome ? *outcome : empty;
  const auto reason = builder.CreateString(ToString(outcome.refusal().reason));
  const auto message = builder.CreateString(outcome.refusal().message);
  const auto leader_offset = builder.CreateString(leader);
  const auto bytes = builder.CreateVector(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size());
  builder.Finish(
      fb::CreateKeeperReply(builder, outcome.ok(), reason,
                            static_cast<uint8_t>(outcome.refusal().run_state),
                            message, leader_offset, bytes));
  return FinishedBytes(builder);
}

void GroupHost::Reply(const Caller& caller, std::string payload) {
  if (payload.size() > kMaxReplyPayload) {
    return Refuse(caller, {Reason::kBodyTooLarge, RunState::kRan,
                           "the result exceeds the frame size limit"});
  }
  unanswered_requests_.fetch_sub(1);
  transport_.SendTo(caller.session, {.kind = FrameKind::KeeperReply,
                                     .group = name(),
                                     .correlation = caller.correlation,
                                     .payload = EncodeKeeperReply(
                                         std::move(payload), leader_node_)});
}

void GroupHost::Refuse(const Caller& caller, Refusal refusal) {
  unanswered_requests_.fetch_sub(1);
  metrics::CountRefusal(refusal.reason);
  transport_.SendTo(caller.session, {.kind = FrameKind::KeeperReply,
                                     .group = name(),
                                     .correlation = caller.correlation,
                                     .payload = EncodeKeeperReply(
                                         std::move(refusal), leader_node_)});
}

void GroupHost::ReplyWhenCommitted(const Caller& caller,
                                   const Outcome<LogPosition>& proposed) {
  if (!proposed) {
    return Refuse(caller, proposed.refusal());
  }
  const auto [it, added] =
      pending_.try_emplace(proposed->index, Pending{proposed->term, caller});
  if (!added) {
    // A proposal of an earlier term is still pending at this index; another
    // leader has replaced its entry.
    Refuse(it->second.caller,
           {Reason::kNoQuorum, RunState::kUnknown,
            "leadership was lost before the log entry was committed"});
    it->second = {proposed->term, caller};
  }
}

void GroupHost::HandleRaft(const GroupInput& input) {
  const auto message = DecodeRaftMessage(input.payload);
  if (!message) {
    metrics::Count("ring_log_bad_messages_total", {{"group", name()}});
    return;
  }
  node_of_replica_[message->from] = input.node;
  region_of_replica_[message->from] = input.region;
  replica_->Step(*message, clock_.WallMs());
}

void GroupHost::HandlePeerOpened(const std::string& node) {
  const LogConfig config = replica_->config();
  for (const Member& member : config.members) {
    if (member.node == node) {
      replica_->OnReachable(member.id);
    }
  }
}

void GroupHost::HandleRequest(const GroupInput& input) {
  const Caller caller{input.session, input.correlation};
  const auto* request = VerifiedRoot<fb::KeeperRequest>(input.payload);
  if (request == nullptr) {
    return Refuse(caller, BadRequest("cannot decode the keeper request"));
  }
  std::string payload;
  if (request->payload() != nullptr) {
    payload.assign(reinterpret_cast<const char*>(request->payload()->data()),
                   request->payload()->size());
  }
  switch (request->op()) {
    case fb::KeeperOp::Propose:
      return HandleProposal(caller, std::move(payload));
    case fb::KeeperOp::Query:
    case fb::KeeperOp::Backup:
      new_queries_.push_back({caller, request->op(), std::move(payload)});
      return;
    case fb::KeeperOp::QueryLocal:
      return Reply(caller, machine_->Query(payload));
    case fb::KeeperOp::GroupStatus:
      return Reply(caller, EncodeStatus());
    case fb::KeeperOp::AddReplica:
    case fb::KeeperOp::RemoveReplica:
      return HandleReplicaChange(caller, request->op(), payload);
    case fb::KeeperOp::Join:
      return HandleJoin(caller, payload);
    case fb::KeeperOp::TransferLeader:
      return HandleTransferLeader(caller, payload);
    case fb::KeeperOp::Lease:
      return HandleLease(caller, std::move(payload));
    case fb::KeeperOp::ControlPoll:
      return HandleControlPoll(caller, payload);
    case fb::KeeperOp::NodeVersions:
      return HandleNodeVersions(caller, payload);
  }
  Refuse(caller, BadRequest("unknown keeper operation"));
}

void GroupHost::HandleProposal(const Caller& caller, std::string command) {
  const int64_t now_ms = clock_.WallMs();
  if (replica_->is_leader()) {
    command = machine_->Prepare(std::move(command), now_ms);
  }
  ReplyWhenCommitted(caller, replica_->Propose(std::move(command), now_ms));
}

void GroupHost::HandleReplicaChange(const Caller& caller,
                                    fb::KeeperOp op,
                                    const std::string& payload) {
  const auto* change = VerifiedRoot<fb::ReplicaChange>(payload);
  if (change == nullptr ||
      (op == fb::KeeperOp::AddReplica && change->node() == nullptr)) {
    return Refuse(caller, BadRequest("cannot decode the replica change"));
  }
  const int64_t now_ms = clock_.WallMs();
  ReplyWhenCommitted(
      caller,
      op == fb::KeeperOp::AddReplica
          ? replica_->AddMember(change->id(), change->node()->str(), now_ms)
          : replica_->RemoveMember(change->id(), now_ms));
}

void GroupHost::HandleTransferLeader(const Caller& caller,
                                     const std::string& payload) {
  const auto* change = VerifiedRoot<fb::ReplicaChange>(payload);
  const Status status =
      replica_->TransferLeader(change == nullptr ? 0 : change->id());
  if (status) {
    Reply(caller, "");
  } else {
    Refuse(caller, status.refusal());
  }
}

// All queries of one iteration share a read barrier. It also confirms this
// leader for leases. Its time is read first: what is committed later need not
// be seen by it.
void GroupHost::StartBarrier() {
  if (new_queries_.empty() && !LeaseBarrierDue()) {
    return;
  }
  std::vector<Query> queries = std::exchange(new_queries_, {});
  const uint64_t id = next_barrier_++;
  const int64_t begun_ms = clock_.BootMs();
  if (Status status = replica_->ReadIndex(id); !status) {
    for (const Query& query : queries) {
      Refuse(query.caller, status.refusal());
    }
    return;
  }
  barrier_allowed_ = false;
  last_barrier_ms_ = clock_.NowMs();
  barriers_[id] = {begun_ms, replica_->hard_state().term};
  if (queries.empty()) {
    metrics::Count("ring_lease_barriers_total", {{"group", name()}});
  } else {
    queries_[id] = std::move(queries);
  }
}

void GroupHost::ReplyToQuery(const Query& query) {
  Reply(query.caller,
        query.op == fb::KeeperOp::Backup
            ? EncodeSnapshotFile({replica_->AppliedMeta(), machine_->Save()})
            : machine_->Query(query.payload));
}

std::string GroupHost::EncodeStatus() const {
  const ReplicaStatus status = replica_->status();
  FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::GroupMember>> members;
  for (const MemberProgress& progress : status.members) {
    members.push_back(fb::CreateGroupMember(
        builder, progress.member.id, builder.CreateString(progress.member.node),
        progress.member.voter, progress.match_index,
        progress.silent_ticks * init_.tick_ms));
  }
  const auto group = builder.CreateString(name());
  const auto node = builder.CreateString(init_.node);
  const auto role = builder.CreateString(ToString(status.role));
  const auto leader = builder.CreateString(NodeOf(status.leader));
  builder.Finish(fb::CreateGroupStatus(
      builder, group, node, status.id, role, leader, status.term,
      status.commit_index, status.applied_index, status.last_index,
      status.snapshot_index, builder.CreateVector(members)));
  return FinishedBytes(builder);
}

void GroupHost::HandleControlPoll(const Caller& caller,
                                  const std::string& payload) {
  const auto* poll = VerifiedRoot<fb::ControlPoll>(payload);
  if (poll == nullptr || name() != kControlGroup) {
    return Refuse(
        caller,
        BadRequest(
            "cannot decode the poll, or the group is not the control group"));
  }
  if (poll->node() != nullptr) {
    versions_.Report(poll->node()->str(), poll->have_version(), clock_.NowMs());
  }
  Reply(caller, machine_->Query(control_codec::EncodeView(
                    poll->have_version(), poll->have_quarantine())));
}

// A request with an empty payload reads the table. Other payloads are the table
// of a follower and get no reply.
void GroupHost::HandleNodeVersions(const Caller& caller,
                                   const std::string& payload) {
  if (payload.empty()) {
    if (!replica_->is_leader()) {
      return Refuse(caller, {Reason::kNotLeader, RunState::kNotRun,
                             "only the leader collects node versions"});
    }
    return Reply(caller, versions_.Encode(clock_.NowMs()));
  }
  unanswered_requests_.fetch_sub(1);
  if (!versions_.Merge(payload, clock_.NowMs())) {
    metrics::Count("ring_log_bad_messages_total", {{"group", name()}});
  }
}

void GroupHost::ForwardVersions() {
  if (name() != kControlGroup || replica_->is_leader() || versions_.empty()) {
    return;
  }
  if (leader_node_.empty()) {
    return;
  }
  const std::string table = versions_.Encode(clock_.NowMs());
  FlatBufferBuilder builder;
  const auto bytes = builder.CreateVector(
      reinterpret_cast<const uint8_t*>(table.data()), table.size());
  builder.Finish(
      fb::CreateKeeperRequest(builder, fb::KeeperOp::NodeVersions, bytes));
  transport_.SendToNode(leader_node_, {.kind = FrameKind::KeeperRequest,
                                       .group = name(),
                                       .payload = FinishedBytes(builder)});
}

void GroupHost::PushControl() {
  const auto view = control_codec::DecodeView(machine_->Query(
      control_codec::EncodeView(control_version_, quarantine_version_)));
  if (!view || (view->version <= control_version_ &&
                view->quarantine_version <= quarantine_version_)) {
    return;
  }
  control_version_ = std::max(control_version_, view->version);
  quarantine_version_ = std::max(quarantine_version_, view->quarantine_version);
  FlatBufferBuilder builder;
  builder.Finish(
      fb::CreateControlPush(builder, control_version_, quarantine_version_));
  transport_.SendToEntries({.kind = FrameKind::ControlPush,
                            .group = name(),
                            .payload = FinishedBytes(builder)});
}

}  // namespace ring
