#include <algorithm>

#include "upstream_directory_p.h"

namespace ring {
namespace {

constexpr int64_t kTickMs = 100;
// Less often than each tick, because a check visits all members.
constexpr int64_t kCheckPeriodMs = 200;
constexpr int kFailuresToSuspect = 3;
constexpr int64_t kMinSuspectMs = 1'000;
constexpr int64_t kMaxSuspectMs = 16'000;

Rng MakeRng(uint64_t seed) {
  return Rng(seed != 0 ? seed : std::random_device{}());
}

}  // namespace

Directory::Impl::Impl(const Init& init, HubI& hub, const ClockI& clock)
    : init_(init),
      hub_(hub),
      clock_(clock),
      self_key_(upstream::MemberKey(true, init.node)),
      rng_(MakeRng(init.seed)) {
  Member self;
  self.is_entry = true;
  self.upstream = {.id = {.name = init.node, .incarnation = init.incarnation},
                   .address = init.wire,
                   .domain = init.domain,
                   .region = init.region};
  if (self.upstream.id.incarnation == 0) {
    self.upstream.id.incarnation = static_cast<uint64_t>(clock.WallMs());
  }
  self.content = upstream::ContentChecksum(self);
  self.witness = true;
  self.last_heard_ms = clock.NowMs();
  members_[self_key_] = self;
  // Random, so that entries that start together do not all pull at once.
  next_pull_ms_ = clock.NowMs() + UniformInt(rng_, 0, init.pull_period_ms);
}

Status Directory::Impl::Announce(const UpstreamRecord& record) {
  if (!IsValid(record.id) || !IsValid(record.address) ||
      record.state == MemberState::kDown) {
    return Refusal{
        Reason::kBadRequest, RunState::kNotRun,
        "the announcement has no valid name, incarnation, address or "
        "state"};
  }
  Outbox outbox;
  {
    std::lock_guard lock(mutex_);
    const uint64_t key = upstream::MemberKey(false, record.id.name);
    Member* known = Find(key);
    if (known != nullptr && record.id.incarnation < known->incarnation()) {
      return Refusal{Reason::kStaleEpoch, RunState::kNotRun,
                     "a newer incarnation of the upstream is known"};
    }
    Member announced;
    announced.upstream = record;
    announced.upstream.load.reported_at_ms = clock_.NowMs();
    announced.last_heard_ms = clock_.NowMs();
    if (known != nullptr && known->incarnation() == record.id.incarnation) {
      announced.upstream.state = std::max(record.state, known->upstream.state);
      const bool same = upstream::SameContent(record, known->upstream) &&
                        announced.upstream.state == known->upstream.state;
      announced.version = known->version + (same ? 0 : 1);
    }
    announced.content = upstream::ContentChecksum(announced);
    const bool changed = Merge(announced);
    Member& member = *Find(key);
    member.witness = true;
    member.upstream.load = announced.upstream.load;
    if (changed) {
      member.pushed_load = member.upstream.load;
      UpdateDerivedState(member);
      PushMember(member, {}, false, outbox);
    }
  }
  Flush(outbox);
  return Done{};
}

std::shared_ptr<const DirectoryView> Directory::Impl::View() const {
  std::lock_guard lock(mutex_);
  if (stale_view_ || !view_) {
    RebuildView();
  }
  return view_;
}

void Directory::Impl::ReportFailure(const UpstreamId& id, Reason reason) {
  if (reason != Reason::kUpstreamRefused && reason != Reason::kUpstreamReset &&
      reason != Reason::kUpstreamTimeout) {
    return;
  }
  std::lock_guard lock(mutex_);
  Member* member = Find(upstream::MemberKey(false, id.name));
  if (member == nullptr || member->incarnation() != id.incarnation ||
      ++member->failures < kFailuresToSuspect) {
    return;
  }
  // A single further failure suspects the upstream again.
  member->failures = kFailuresToSuspect - 1;
  member->suspect_ms =
      std::clamp(member->suspect_ms * 2, kMinSuspectMs, kMaxSuspectMs);
  member->suspect_until_ms = clock_.NowMs() + member->suspect_ms;
  UpdateDerivedState(*member);
  Event(LogLevel::kWarn, "upstream_suspected")
      .Add("upstream", id.name)
      .Add("reason", reason)
      .Add("for_ms", member->suspect_ms);
}

void Directory::Impl::ReportSuccess(const UpstreamId& id) {
  std::lock_guard lock(mutex_);
  Member* member = Find(upstream::MemberKey(false, id.name));
  if (member != nullptr && member->incarnation() == id.incarnation) {
    member->failures = 0;
    member->suspect_ms = 0;
    member->suspect_until_ms = 0;
    UpdateDerivedState(*member);
  }
}

void Directory::Impl::SetLeaving() {
  Outbox outbox;
  {
    std::lock_guard lock(mutex_);
    Member& self = *Find(self_key_);
    if (self.upstream.state == MemberState::kLeaving) {
      return;
    }
    self.upstream.state = MemberState::kLeaving;
    self.derived_state = MemberState::kLeaving;
    ++self.version;
    self.content = upstream::ContentChecksum(self);
    stale_summary_ = true;
    stale_view_ = true;
    PushMember(self, {}, false, outbox);
  }
  Flush(outbox);
}

void Directory::Impl::Tick() {
  Outbox outbox;
  {
    std::lock_guard lock(mutex_);
    if (clock_.NowMs() >= next_check_ms_) {
      next_check_ms_ = clock_.NowMs() + kCheckPeriodMs;
      MarkConnectedEntries();
      CheckMembers(outbox);
    }
    if (clock_.NowMs() >= next_load_ms_) {
      PushLoads(outbox);
    }
    if (clock_.NowMs() >= next_pull_ms_) {
      next_pull_ms_ = clock_.NowMs() + init_.pull_period_ms;
      DropExpired();
      ConnectPeers();
      SendPull(outbox);
    }
  }
  Flush(outbox);
}

// The hub closes sessions that are silent, so a peer with an open session
// counts as heard.
void Directory::Impl::MarkConnectedEntries() {
  for (auto& [key, member] : members_) {
    if (key == self_key_) {
      MarkHeard(member, clock_.NowMs());
    } else if (member.is_entry && IsValid(hub_.FindByNode(member.name()))) {
      MarkHeard(member, clock_.NowMs());
      member.witness = true;
    }
  }
}

// Returns all entries of the own domain and links_per_domain entries of each
// other domain. They are chosen by a hash of both names, which spreads the
// sessions between two domains over their entries.
std::vector<const Directory::Impl::Member*> Directory::Impl::PeerEntries()
    const {
  std::vector<const Member*> chosen;
  std::map<std::string, std::map<uint64_t, const Member*>> others;
  for (const auto& [key, member] : members_) {
    if (!member.is_entry || key == self_key_ ||
        member.derived_state == MemberState::kDown) {
      continue;
    }
    if (member.upstream.domain == init_.domain) {
      chosen.push_back(&member);
    } else {
      others[member.upstream.domain][Checksum(init_.node + member.name())] =
          &member;
    }
  }
  for (const auto& [domain, ranked] : others) {
    size_t count = 0;
    for (const auto& [rank, member] : ranked) {
      if (count++ == init_.links_per_domain) {
        break;
      }
      chosen.push_back(member);
    }
  }
  return chosen;
}

void Directory::Impl::ConnectPeers() {
  const auto connect = [this](const Endpoint& endpoint) {
    if (endpoint != init_.wire &&
        connected_.insert(endpoint.ToString()).second) {
      hub_.Connect(endpoint);
    }
  };
  for (const auto& seed : init_.seeds) {
    connect(seed);
  }
  for (const Member* member : PeerEntries()) {
    connect(member->upstream.address);
  }
}

void Directory::Impl::PushLoads(Outbox& outbox) {
  std::vector<fb::LoadStep> items;
  for (auto& [key, member] : members_) {
    const auto& load = member.upstream.load;
    if (member.is_entry || !member.witness ||
        member.upstream.domain != init_.domain ||
        !upstream::IsSignificantChange(load, member.pushed_load)) {
      continue;
    }
    member.pushed_load = load;
    items.push_back(upstream::ToLoadStep(member));
    stale_view_ = true;
  }
  if (items.empty()) {
    return;
  }
  next_load_ms_ = clock_.NowMs() + init_.load_period_ms;
  Builder builder;
  const auto loads = builder.CreateVectorOfStructs(items);
  fb::GossipBuilder gossip(builder);
  gossip.add_loads(loads);
  builder.Finish(gossip.Finish());
  const std::string payload(
      reinterpret_cast<const char*>(builder.GetBufferPointer()),
      builder.GetSize());
  for (const auto& peer : ConnectedPeers()) {
    if (peer.same_domain) {
      outbox.emplace_back(peer.session, payload);
    }
  }
}

Directory::Directory(const Init& init, HubI& hub, const ClockI& clock)
    : impl_(std::make_unique<Impl>(init, hub, clock)) {}
Directory::~Directory() = default;

Status Directory::Announce(const UpstreamRecord& record) {
  return impl_->Announce(record);
}

std::shared_ptr<const DirectoryView> Directory::View() const {
  return impl_->View();
}

void Directory::ReportFailure(const UpstreamId& id, Reason reason) {
  impl_->ReportFailure(id, reason);
}

void Directory::ReportSuccess(const UpstreamId& id) {
  impl_->ReportSuccess(id);
}

void Directory::OnFrame(SessionHandle session,
                        const PeerInfo& peer,
                        const Frame& frame) {
  impl_->OnFrame(session, peer, frame);
}

void Directory::SetLeaving() {
  impl_->SetLeaving();
}

void Directory::Tick() {
  impl_->Tick();
}

Status Directory::Run(const StopToken& stop) {
  while (!stop.WaitFor(kTickMs)) {
    impl_->Tick();
  }
  return Done{};
}

}  // namespace ring
