#include "persimmonring/keeper.h"

#include <algorithm>
#include <mutex>
#include <set>

#include "keeper_group_p.h"

namespace ring {
namespace {

Refusal WithGroupName(const std::string& group, Refusal refusal) {
  refusal.message = "group '" + group + "': " + refusal.message;
  return refusal;
}

uint64_t RandomSeed() {
  constexpr size_t kSeedBytes = 8;
  constexpr int kHexBase = 16;
  return std::stoull(RandomHex(kSeedBytes), nullptr, kHexBase);
}

std::unique_ptr<StateMachineI> CreateDefaultMachine(
    const std::string& group,
    const ProgramLimits& limits) {
  return group == kControlGroup ? CreateControlMachine()
                                : CreateProgramMachine(group, limits);
}

}  // namespace

class KeeperHost::Impl final : public GroupTransportI {
 public:
  Impl(const KeeperHostInit& init, const ClockI& clock)
      : init_(init), clock_(clock) {}

  Status Open();
  void Attach(HubI& hub);
  void AddWorkers(Supervisor& supervisor);
  bool ready() const;
  void TransferLeadership();
  size_t led_groups() const;

  void AddSession(SessionHandle session, const PeerInfo& peer);
  void RemoveSession(SessionHandle session);
  void HandleFrame(SessionHandle session,
                   const PeerInfo& peer,
                   const Frame& frame);

  void SendTo(SessionHandle session, const Frame& frame) override;
  void SendToNode(const std::string& node, const Frame& frame) override;
  void SendToEntries(const Frame& frame) override;
  void SendToKeepers(const Frame& frame) override;

 private:
  bool IsKeeper(const std::string& node) const {
    return init_.is_keeper ? init_.is_keeper(node)
                           : init_.keepers.contains(node);
  }
  void SendToAll(const std::set<SessionHandle>& sessions, const Frame& frame);
  Status OpenGroup(const ReplicaSpec& spec);
  GroupHost* FindGroup(const std::string& group) const;
  void Refuse(SessionHandle session, const Frame& frame, Refusal refusal);

  const KeeperHostInit init_;
  const ClockI& clock_;
  HubI* hub_ = nullptr;
  std::unique_ptr<DiskI> data_disk_;  // Locks the data folder.
  std::vector<std::unique_ptr<GroupHost>> groups_;
  std::mutex mutex_;
  std::set<SessionHandle> entry_sessions_;
  std::set<SessionHandle> keeper_sessions_;
};

Status KeeperHost::Impl::Open() {
  const auto open_disk =
      init_.open_disk ? init_.open_disk : [](const std::string& folder) {
        return OpenDisk(folder, false);
      };
  auto folder = open_disk(init_.data_folder);
  if (!folder) {
    return folder.refusal();
  }
  data_disk_ = std::move(*folder);
  for (const ReplicaSpec& spec : init_.replicas) {
    auto disk = open_disk(init_.data_folder + "/" + spec.group);
    if (!disk) {
      return WithGroupName(spec.group, disk.refusal());
    }
    GroupHost::Init group;
    group.identity = {init_.ring, spec.group, spec.id};
    group.node = init_.node;
    group.region = init_.region;
    group.initial_members = spec.initial_members;
    group.tick_ms = init_.tick_ms;
    group.heartbeat_ticks = init_.heartbeat_ticks;
    group.election_ticks = init_.election_ticks;
    group.min_election_ticks = init_.min_election_ticks;
    group.first_election_ticks = init_.first_election_ticks;
    group.leader_notice = init_.leader_notice;
    group.max_append_bytes = init_.max_append_bytes;
    group.max_inflight_appends = init_.max_inflight_appends;
    group.max_pending = init_.max_pending_proposals;
    group.snapshot_entries = init_.snapshot_entries;
    group.automatic_membership = init_.automatic_membership;
    group.max_voters = init_.max_voters;
    group.max_learners = init_.max_learners;
    group.on_members_changed = init_.on_members_changed;
    group.on_caught_up = init_.on_caught_up;
    group.retired_nodes = init_.retired_nodes;
    group.seed = init_.seed == 0 ? RandomSeed() : init_.seed + groups_.size();
    group.create_machine = [this, name = spec.group] {
      return init_.create_machine
                 ? init_.create_machine(name)
                 : CreateDefaultMachine(name, init_.program_limits);
    };
    groups_.push_back(std::make_unique<GroupHost>(
        std::move(group), std::move(*disk), *this, clock_));
    if (Status status = OpenGroup(spec); !status) {
      return WithGroupName(spec.group, status.refusal());
    }
  }
  return Done{};
}

Status KeeperHost::Impl::OpenGroup(const ReplicaSpec& spec) {
  GroupHost& group = *groups_.back();
  const auto self =
      std::find_if(spec.initial_members.begin(), spec.initial_members.end(),
                   [&](const Member& member) { return member.id == spec.id; });
  if (!spec.initial_members.empty() &&
      (self == spec.initial_members.end() || self->node != init_.node)) {
    return Refusal{Reason::kBadRequest, RunState::kNotRun,
                   "the initial members do not include this node with its "
                   "replica id"};
  }
  if (init_.initialize) {
    if (Status status = group.Initialize(); !status) {
      return status;
    }
  }
  return group.Open();
}

void KeeperHost::Impl::Attach(HubI& hub) {
  hub_ = &hub;
  for (const auto& [node, endpoint] : init_.keepers) {
    if (node != init_.node) {
      hub.Connect(endpoint);
    }
  }
}

void KeeperHost::Impl::AddWorkers(Supervisor& supervisor) {
  for (const auto& group : groups_) {
    supervisor.AddWorker(
        "log-" + group->name(),
        [raw = group.get()](const StopToken& stop) { return raw->Run(stop); },
        [raw = group.get()] { raw->Wake(); });
  }
}

bool KeeperHost::Impl::ready() const {
  return std::all_of(groups_.begin(), groups_.end(),
                     [](const auto& group) { return group->has_leader(); });
}

void KeeperHost::Impl::TransferLeadership() {
  for (const auto& group : groups_) {
    GroupInput input;
    input.kind = GroupInput::Kind::kTransferLeadership;
    group->TryPush(std::move(input));
  }
}

size_t KeeperHost::Impl::led_groups() const {
  return static_cast<size_t>(
      std::count_if(groups_.begin(), groups_.end(),
                    [](const auto& group) { return group->leads(); }));
}

GroupHost* KeeperHost::Impl::FindGroup(const std::string& name) const {
  for (const auto& group : groups_) {
    if (group->name() == name) {
      return group.get();
    }
  }
  return nullptr;
}

void KeeperHost::Impl::AddSession(SessionHandle session, const PeerInfo& peer) {
  const bool keeper = IsKeeper(peer.node);
  {
    std::lock_guard lock(mutex_);
    (keeper ? keeper_sessions_ : entry_sessions_).insert(session);
  }
  for (const auto& group : groups_) {
    GroupInput input;
    input.kind = GroupInput::Kind::kPeerOpened;
    input.node = peer.node;
    if (keeper && !group->TryPush(std::move(input))) {
      metrics::Count("ring_log_dropped_messages_total",
                     {{"group", group->name()}});
    }
  }
}

void KeeperHost::Impl::RemoveSession(SessionHandle session) {
  std::lock_guard lock(mutex_);
  entry_sessions_.erase(session);
  keeper_sessions_.erase(session);
}

void KeeperHost::Impl::HandleFrame(SessionHandle session,
                                   const PeerInfo& peer,
                                   const Frame& frame) {
  const bool raft = frame.kind == FrameKind::Raft;
  if (!raft && frame.kind != FrameKind::KeeperRequest) {
    return;
  }
  GroupHost* group = FindGroup(frame.group);
  if (group == nullptr) {
    if (!raft) {
      Refuse(session, frame,
             {Reason::kNotLeader, RunState::kNotRun,
              "this keeper has no replica of the group"});
    }
    return;
  }
  GroupInput input;
  input.kind = raft ? GroupInput::Kind::kRaft : GroupInput::Kind::kRequest;
  input.session = session;
  input.node = peer.node;
  input.region = peer.region;
  input.correlation = frame.correlation;
  input.payload = frame.payload;
  if (group->TryPush(std::move(input))) {
    return;
  }
  if (raft) {
    metrics::Count("ring_log_dropped_messages_total", {{"group", frame.group}});
  } else {
    Refuse(session, frame,
           {Reason::kQueueFull, RunState::kNotRun,
            "too many requests are queued for the group"});
  }
}

void KeeperHost::Impl::Refuse(SessionHandle session,
                              const Frame& frame,
                              Refusal refusal) {
  metrics::CountRefusal(refusal.reason);
  SendTo(session, {.kind = FrameKind::KeeperReply,
                   .group = frame.group,
                   .correlation = frame.correlation,
                   .payload = EncodeKeeperReply(std::move(refusal), "")});
}

// A frame that cannot be sent is lost; Raft and the clients send again.
void KeeperHost::Impl::SendTo(SessionHandle session, const Frame& frame) {
  if (session == kLocalSession) {
    if (init_.on_local_reply) {
      init_.on_local_reply(frame);
    }
    return;
  }
  if (Status status = hub_->Send(session, frame); !status) {
    metrics::Count("ring_keeper_unsent_frames_total",
                   {{"reason", ToString(status.refusal().reason)}});
  }
}

void KeeperHost::Impl::SendToNode(const std::string& node, const Frame& frame) {
  const SessionHandle session = hub_->FindByNode(node);
  if (IsValid(session)) {
    SendTo(session, frame);
  }
}

void KeeperHost::Impl::SendToEntries(const Frame& frame) {
  std::set<SessionHandle> sessions;
  {
    std::lock_guard lock(mutex_);
    sessions = entry_sessions_;
  }
  SendToAll(sessions, frame);
}

void KeeperHost::Impl::SendToKeepers(const Frame& frame) {
  std::set<SessionHandle> sessions;
  {
    std::lock_guard lock(mutex_);
    sessions = keeper_sessions_;
  }
  SendToAll(sessions, frame);
}

void KeeperHost::Impl::SendToAll(const std::set<SessionHandle>& sessions,
                                 const Frame& frame) {
  for (const SessionHandle session : sessions) {
    SendTo(session, frame);
  }
}

Outcome<std::unique_ptr<KeeperHost>> KeeperHost::Create(
    const KeeperHostInit& init,
    const ClockI& clock) {
  auto impl = std::make_unique<Impl>(init, clock);
  if (Status status = impl->Open(); !status) {
    return status.refusal();
  }
  return std::unique_ptr<KeeperHost>(new KeeperHost(std::move(impl)));
}

KeeperHost::KeeperHost(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
KeeperHost::~KeeperHost() = default;

void KeeperHost::Attach(HubI& hub) {
  impl_->Attach(hub);
}

void KeeperHost::AddWorkers(Supervisor& supervisor) {
  impl_->AddWorkers(supervisor);
}

bool KeeperHost::ready() const {
  return impl_->ready();
}

void KeeperHost::TransferLeadership() {
  impl_->TransferLeadership();
}

size_t KeeperHost::led_groups() const {
  return impl_->led_groups();
}

void KeeperHost::OnOpened(SessionHandle session, const PeerInfo& peer) {
  impl_->AddSession(session, peer);
}

void KeeperHost::OnFrame(SessionHandle session,
                         const PeerInfo& peer,
                         const Frame& frame) {
  impl_->HandleFrame(session, peer, frame);
}

void KeeperHost::OnClosed(SessionHandle session,
                          const PeerInfo& /*peer*/,
                          Reason /*reason*/) {
  impl_->RemoveSession(session);
}

}  // namespace ring
