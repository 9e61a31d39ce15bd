#include <algorithm>
#include <map>
#include <unordered_map>

#include "core_flatbuffer_p.h"
#include "upstream_directory_p.h"

namespace ring {

using upstream::RecordVersion;
using upstream::RecordVersionOf;

std::vector<Directory::Impl::Peer> Directory::Impl::ConnectedPeers() const {
  std::map<uint64_t, Peer> peers;
  std::set<std::string> known;
  for (const auto& [key, member] : members_) {
    if (member.is_entry) {
      known.insert(member.upstream.address.ToString());
    }
  }
  for (const auto& seed : init_.seeds) {
    const auto session = hub_.FindByEndpoint(seed);
    if (IsValid(session) && !known.contains(seed.ToString())) {
      peers[session.value] = {session, false};
    }
  }
  for (const Member* member : PeerEntries()) {
    const auto session = hub_.FindByNode(member->name());
    if (IsValid(session)) {
      peers[session.value] = {session, member->upstream.domain == init_.domain};
    }
  }
  std::vector<Peer> result;
  result.reserve(peers.size());
  for (const auto& [value, peer] : peers) {
    result.push_back(peer);
  }
  return result;
}

void Directory::Impl::Flush(const Outbox& outbox) {
  for (const auto& [session, payload] : outbox) {
    const auto status =
        hub_.Send(session, {.kind = FrameKind::Gossip, .payload = payload});
    if (!status.ok()) {  // Repaired by a later pull.
      metrics::Count("ring_gossip_lost_total",
                     {{"reason", ToString(status.refusal().reason)}});
    }
  }
}

std::string Directory::Impl::MembersMessage(fb::GossipKind kind,
                                            const std::vector<uint64_t>& keys,
                                            const std::vector<uint64_t>& wanted,
                                            bool with_load) const {
  Builder builder;
  std::vector<flatbuffers::Offset<fb::GossipMember>> offsets;
  for (const uint64_t key : keys) {
    const auto it = members_.find(key);
    if (it != members_.end()) {
      offsets.push_back(
          upstream::WriteMember(builder, it->second, clock_.NowMs(),
                                with_load && !it->second.is_entry));
    }
  }
  const auto members = builder.CreateVector(offsets);
  const auto wanted_at = builder.CreateVector(wanted);
  fb::GossipBuilder gossip(builder);
  gossip.add_kind(kind);
  gossip.add_members(members);
  gossip.add_wanted(wanted_at);
  builder.Finish(gossip.Finish());
  return BufferToString(builder);
}

void Directory::Impl::PushMember(const Member& member,
                                 SessionHandle except,
                                 bool own_domain_only,
                                 Outbox& outbox) {
  const uint64_t key = upstream::MemberKey(member.is_entry, member.name());
  const std::string with_load =
      MembersMessage(fb::GossipKind::Push, {key}, {}, true);
  const std::string without =
      MembersMessage(fb::GossipKind::Push, {key}, {}, false);
  for (const auto& peer : ConnectedPeers()) {
    if (peer.session != except && (peer.same_domain || !own_domain_only)) {
      outbox.emplace_back(peer.session, peer.same_domain ? with_load : without);
    }
  }
}

void Directory::Impl::PushNotice(const Member& member, Outbox& outbox) {
  Builder builder;
  const int64_t age = clock_.NowMs() - member.last_heard_ms;
  const std::vector<fb::Notice> items = {
      {upstream::MemberKey(member.is_entry, member.name()),
       member.incarnation(),
       static_cast<uint32_t>(std::clamp<int64_t>(age, 0, UINT32_MAX))}};
  const auto notices = builder.CreateVectorOfStructs(items);
  fb::GossipBuilder gossip(builder);
  gossip.add_notices(notices);
  builder.Finish(gossip.Finish());
  for (const auto& peer : ConnectedPeers()) {
    outbox.emplace_back(peer.session, BufferToString(builder));
  }
}

void Directory::Impl::SendPull(Outbox& outbox) {
  const auto peers = ConnectedPeers();
  if (peers.empty()) {
    return;
  }
  Builder builder;
  const auto ages = builder.CreateVector(Ages());
  fb::GossipBuilder gossip(builder);
  gossip.add_kind(fb::GossipKind::Pull);
  gossip.add_summary(Summary());
  gossip.add_ages(ages);
  builder.Finish(gossip.Finish());
  const auto index = static_cast<size_t>(
      UniformInt(rng_, 0, static_cast<int64_t>(peers.size()) - 1));
  outbox.emplace_back(peers[index].session, BufferToString(builder));
}

void Directory::Impl::OnFrame(SessionHandle session,
                              const PeerInfo& peer,
                              const Frame& frame) {
  if (frame.kind != FrameKind::Gossip) {
    return;
  }
  const FlatBufferView<fb::Gossip> gossip(frame.payload);
  if (!gossip) {
    metrics::Count("ring_gossip_malformed_total");
    return;
  }
  Outbox outbox;
  {
    std::lock_guard lock(mutex_);
    switch (gossip->kind()) {
      case fb::GossipKind::Push:
        OnPush(session, peer, *gossip.get(), outbox);
        break;
      case fb::GossipKind::Pull:
        OnPull(session, *gossip.get(), outbox);
        break;
      case fb::GossipKind::PullReply:
        if (gossip->summary() == Summary()) {
          MergeFresh(gossip->fresh());
        }
        break;
      case fb::GossipKind::Digest:
        OnDigest(session, peer, *gossip.get(), outbox);
        break;
      case fb::GossipKind::Records:
        OnRecords(session, peer, *gossip.get(), outbox);
        break;
    }
  }
  Flush(outbox);
}

std::vector<uint64_t> Directory::Impl::MergeMembers(const fb::Gossip& gossip) {
  std::vector<uint64_t> changed;
  if (gossip.members() == nullptr) {
    return changed;
  }
  for (const auto* table : *gossip.members()) {
    Member incoming;
    if (upstream::ReadMember(*table, clock_.NowMs(), incoming) &&
        Merge(incoming)) {
      const uint64_t key =
          upstream::MemberKey(incoming.is_entry, incoming.name());
      UpdateDerivedState(*Find(key));
      changed.push_back(key);
    }
  }
  return changed;
}

void Directory::Impl::OnPush(SessionHandle session,
                             const PeerInfo& peer,
                             const fb::Gossip& gossip,
                             Outbox& outbox) {
  // A sender from another domain has sessions to only some entries of this
  // domain.
  const bool forward = peer.domain != init_.domain;
  for (const uint64_t key : MergeMembers(gossip)) {
    if (forward) {
      PushMember(*Find(key), session, true, outbox);
    }
  }
  if (gossip.loads() != nullptr) {
    for (const auto* item : *gossip.loads()) {
      Member* member = Find(item->key());
      if (member != nullptr &&
          upstream::ApplyLoadStep(*item, clock_.NowMs(), *member)) {
        member->pushed_load = member->upstream.load;
        stale_view_ = true;
      }
    }
  }
  OnNotices(gossip, outbox);
}

void Directory::Impl::OnNotices(const fb::Gossip& gossip, Outbox& outbox) {
  if (gossip.notices() == nullptr) {
    return;
  }
  constexpr int64_t kRefutePeriodMs = 500;
  const int64_t now = clock_.NowMs();
  for (const auto* notice : *gossip.notices()) {
    Member* member = Find(notice->key());
    if (member == nullptr || member->incarnation() != notice->incarnation()) {
      continue;
    }
    MarkHeard(*member, now - notice->age_ms());
    const int64_t age = now - member->last_heard_ms;
    if (notice->age_ms() <= init_.silence_ms) {
      continue;  // Refutes an earlier notice: the member has been heard.
    }
    if (age + init_.pull_period_ms >= notice->age_ms()) {
      member->reported_silent = true;
      UpdateDerivedState(*member);
    } else if (now >= member->next_refute_ms) {
      member->next_refute_ms = now + kRefutePeriodMs;
      PushNotice(*member, outbox);
    }
  }
}

void Directory::Impl::OnPull(SessionHandle session,
                             const fb::Gossip& gossip,
                             Outbox& outbox) {
  Builder builder;
  const uint64_t summary = Summary();
  if (gossip.summary() == summary) {
    const auto fresh = builder.CreateVectorOfStructs(MergeAges(gossip.ages()));
    fb::GossipBuilder reply(builder);
    reply.add_kind(fb::GossipKind::PullReply);
    reply.add_summary(summary);
    reply.add_fresh(fresh);
    builder.Finish(reply.Finish());
  } else {
    std::vector<fb::DigestItem> items;
    for (const auto& [key, member] : members_) {
      const auto record_version = RecordVersionOf(member);
      const int64_t age = clock_.NowMs() - member.last_heard_ms;
      items.emplace_back(
          key, record_version.incarnation, record_version.version,
          record_version.content,
          static_cast<uint32_t>(std::clamp<int64_t>(age, 0, UINT32_MAX)));
    }
    const auto digest = builder.CreateVectorOfStructs(items);
    fb::GossipBuilder reply(builder);
    reply.add_kind(fb::GossipKind::Digest);
    reply.add_digest(digest);
    builder.Finish(reply.Finish());
  }
  outbox.emplace_back(session, BufferToString(builder));
}

void Directory::Impl::OnDigest(SessionHandle session,
                               const PeerInfo& peer,
                               const fb::Gossip& gossip,
                               Outbox& outbox) {
  std::unordered_map<uint64_t, RecordVersion> peer_versions;
  std::vector<uint64_t> wanted;
  std::vector<uint64_t> newer;
  if (gossip.digest() != nullptr) {
    for (const auto* item : *gossip.digest()) {
      const RecordVersion record_version{item->incarnation(), item->version(),
                                         item->content()};
      peer_versions[item->key()] = record_version;
      Member* member = Find(item->key());
      if (member == nullptr) {
        if (item->age_ms() < MaxNewMemberAgeMs()) {
          wanted.push_back(item->key());
        }
        continue;
      }
      if (member->incarnation() == record_version.incarnation) {
        MarkHeard(*member, clock_.NowMs() - item->age_ms());
      }
      if (RecordVersionOf(*member) < record_version) {
        wanted.push_back(item->key());
      }
    }
  }
  for (const auto& [key, member] : members_) {
    const auto it = peer_versions.find(key);
    if (it == peer_versions.end() || it->second < RecordVersionOf(member)) {
      newer.push_back(key);
    }
  }
  if (!wanted.empty() || !newer.empty()) {
    outbox.emplace_back(session,
                        MembersMessage(fb::GossipKind::Records, newer, wanted,
                                       peer.domain == init_.domain));
  }
}

void Directory::Impl::OnRecords(SessionHandle session,
                                const PeerInfo& peer,
                                const fb::Gossip& gossip,
                                Outbox& outbox) {
  // A record that arrives by a pull was missed as a push, so other entries may
  // lack it as well.
  for (const uint64_t key : MergeMembers(gossip)) {
    PushMember(*Find(key), session, false, outbox);
  }
  if (gossip.wanted() != nullptr && gossip.wanted()->size() > 0) {
    const std::vector<uint64_t> keys(gossip.wanted()->begin(),
                                     gossip.wanted()->end());
    outbox.emplace_back(session,
                        MembersMessage(fb::GossipKind::Records, keys, {},
                                       peer.domain == init_.domain));
  }
}

}  // namespace ring
