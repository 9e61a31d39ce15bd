#include <algorithm>

#include "keeper_group_p.h"

namespace ring {
namespace {

using flatbuffers::FlatBufferBuilder;

// Room for the frame and the reply around a payload.
constexpr size_t kMaxReplyPayload = kMaxFrameBytes - (64u << 10);

std::string Finished(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

template <typename T>
const T* Verified(const std::string& bytes) {
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
  return Finished(builder);
}

void GroupHost::Reply(const Caller& caller, std::string payload) {
  if (payload.size() > kMaxReplyPayload) {
    return Refuse(caller, {Reason::kBodyTooLarge, RunState::kRan,
                           "the result is larger than one frame may be"});
  }
  waiting_requests_.fetch_sub(1);
  outlet_.SendTo(caller.session, {.kind = FrameKind::KeeperReply,
                                  .group = name(),
                                  .correlation = caller.correlation,
                                  .payload = EncodeKeeperReply(
                                      std::move(payload), leader_node_)});
}

void GroupHost::Refuse(const Caller& caller, Refusal refusal) {
  waiting_requests_.fetch_sub(1);
  metrics::CountRefusal(refusal.reason);
  outlet_.SendTo(caller.session, {.kind = FrameKind::KeeperReply,
                                  .group = name(),
                                  .correlation = caller.correlation,
                                  .payload = EncodeKeeperReply(
                                      std::move(refusal), leader_node_)});
}

void GroupHost::Await(const Caller& caller,
                      const Outcome<LogPosition>& proposed) {
  if (!proposed) {
    return Refuse(caller, proposed.refusal());
  }
  const auto [it, added] =
      pending_.try_emplace(proposed->index, Pending{proposed->term, caller});
  if (!added) {
    // An entry of an earlier term was here; another leader had replaced it.
    Refuse(it->second.caller,
           {Reason::kNoQuorum, RunState::kUnknown, "leadership was lost"});
    it->second = {proposed->term, caller};
  }
}

void GroupHost::HandleRaft(const GroupInput& input) {
  const auto message = DecodeRaftMessage(input.payload);
  if (!message) {
    metrics::Count("ring_log_bad_messages_total", {{"group", name()}});
    return;
  }
  nodes_[message->from] = input.node;
  regions_[message->from] = input.region;
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
  const auto* request = Verified<fb::KeeperRequest>(input.payload);
  if (request == nullptr) {
    return Refuse(caller, BadRequest("the request cannot be decoded"));
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
      return Reply(caller, StatusPayload());
    case fb::KeeperOp::AddReplica:
    case fb::KeeperOp::RemoveReplica:
      return HandleChange(caller, request->op(), payload);
    case fb::KeeperOp::Join:
      return HandleJoin(caller, payload);
    case fb::KeeperOp::TransferLeader:
      return HandleTransfer(caller, payload);
    case fb::KeeperOp::ControlPoll:
      return HandleControlPoll(caller, payload);
    case fb::KeeperOp::NodeVersions:
      return HandleNodeVersions(caller, payload);
  }
  Refuse(caller, BadRequest("unknown operation"));
}

void GroupHost::HandleProposal(const Caller& caller, std::string command) {
  Await(caller, replica_->Propose(std::move(command), clock_.WallMs()));
}

void GroupHost::HandleChange(const Caller& caller,
                             fb::KeeperOp op,
                             const std::string& payload) {
  const auto* change = Verified<fb::ReplicaChange>(payload);
  if (change == nullptr ||
      (op == fb::KeeperOp::AddReplica && change->node() == nullptr)) {
    return Refuse(caller, BadRequest("the change cannot be decoded"));
  }
  const int64_t now_ms = clock_.WallMs();
  Await(caller,
        op == fb::KeeperOp::AddReplica
            ? replica_->AddMember(change->id(), change->node()->str(), now_ms)
            : replica_->RemoveMember(change->id(), now_ms));
}

void GroupHost::HandleTransfer(const Caller& caller,
                               const std::string& payload) {
  const auto* change = Verified<fb::ReplicaChange>(payload);
  const Status status =
      replica_->TransferLeader(change == nullptr ? 0 : change->id());
  if (status) {
    Reply(caller, "");
  } else {
    Refuse(caller, status.refusal());
  }
}

// One barrier serves all queries of a pass.
void GroupHost::StartQueries() {
  if (new_queries_.empty()) {
    return;
  }
  std::vector<Query> queries = std::exchange(new_queries_, {});
  const uint64_t id = next_barrier_++;
  if (Status status = replica_->ReadIndex(id); !status) {
    for (const Query& query : queries) {
      Refuse(query.caller, status.refusal());
    }
    return;
  }
  queries_[id] = std::move(queries);
}

void GroupHost::AnswerQuery(const Query& query) {
  Reply(query.caller,
        query.op == fb::KeeperOp::Backup
            ? EncodeSnapshotFile({replica_->AppliedMeta(), machine_->Save()})
            : machine_->Query(query.payload));
}

std::string GroupHost::StatusPayload() const {
  const ReplicaStatus status = replica_->status();
  FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::GroupMember>> members;
  for (const MemberProgress& row : status.members) {
    members.push_back(fb::CreateGroupMember(
        builder, row.member.id, builder.CreateString(row.member.node),
        row.member.voter, row.match_index, row.silent_ticks * init_.tick_ms));
  }
  const auto group = builder.CreateString(name());
  const auto node = builder.CreateString(init_.node);
  const auto role = builder.CreateString(ToString(status.role));
  const auto leader = builder.CreateString(NodeOf(status.leader));
  builder.Finish(fb::CreateGroupStatus(
      builder, group, node, status.id, role, leader, status.term,
      status.commit_index, status.applied_index, status.last_index,
      status.snapshot_index, builder.CreateVector(members)));
  return Finished(builder);
}

void GroupHost::HandleControlPoll(const Caller& caller,
                                  const std::string& payload) {
  const auto* poll = Verified<fb::ControlPoll>(payload);
  if (poll == nullptr || name() != kControlGroup) {
    return Refuse(caller, BadRequest("a poll of the control group is needed"));
  }
  if (poll->node() != nullptr) {
    versions_.Report(poll->node()->str(), poll->have_version(), clock_.NowMs());
  }
  Reply(caller, machine_->Query(control_codec::EncodeView(
                    poll->have_version(), poll->have_quarantine())));
}

// An empty payload asks; a payload is the table of a follower, which wants no
// reply.
void GroupHost::HandleNodeVersions(const Caller& caller,
                                   const std::string& payload) {
  if (payload.empty()) {
    if (!replica_->is_leader()) {
      return Refuse(caller, {Reason::kNotLeader, RunState::kNotRun,
                             "reports are collected by the leader"});
    }
    return Reply(caller, versions_.Encode(clock_.NowMs()));
  }
  waiting_requests_.fetch_sub(1);
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
  outlet_.SendToNode(leader_node_, {.kind = FrameKind::KeeperRequest,
                                    .group = name(),
                                    .payload = Finished(builder)});
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
  outlet_.SendToEntries({.kind = FrameKind::ControlPush,
                         .group = name(),
                         .payload = Finished(builder)});
}

}  // namespace ring
