#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "upstream_member_p.h"

namespace ring {

class Directory::Impl {
 public:
  Impl(const Init& init, HubI& hub, const ClockI& clock);

  // Public interface, upstream_directory.cc.
  Status Announce(const UpstreamRecord& record);
  std::shared_ptr<const DirectoryView> View() const;
  void ReportFailure(const UpstreamId& id, Reason reason);
  void ReportSuccess(const UpstreamId& id);
  void SetLeaving();
  void Tick();

  // Messages, upstream_directory_gossip.cc.
  void OnFrame(SessionHandle session, const PeerInfo& peer, const Frame& frame);

 private:
  using Member = upstream::Member;
  using Builder = flatbuffers::FlatBufferBuilder;
  // Messages to send after the lock is released.
  using Outbox = std::vector<std::pair<SessionHandle, std::string>>;

  struct Peer {
    SessionHandle session;
    bool same_domain = false;
  };

  // Records, upstream_directory_records.cc. Called with the lock held.
  Member* Find(uint64_t key);
  bool Merge(const Member& incoming);
  // Age from which an unknown member is not added. Entries drop expired records
  // at slightly different times and would otherwise exchange them for ever.
  int64_t MaxNewMemberAgeMs() const { return init_.tombstone_ms / 10 * 9; }
  void MarkHeard(Member& member, int64_t at_ms);
  MemberState DerivedStateOf(const Member& member) const;
  void UpdateDerivedState(Member& member);
  void CheckMembers(Outbox& outbox);
  void DropExpired();
  uint64_t Summary() const;
  std::vector<uint8_t> Ages() const;
  std::vector<fb::FreshItem> MergeAges(
      const flatbuffers::Vector<uint8_t>* ages);
  void MergeFresh(const flatbuffers::Vector<const fb::FreshItem*>* fresh);
  void MarkHeardByAge(Member& member, int64_t age);
  void RebuildView() const;

  // Periodic work, upstream_directory.cc. Called with the lock held.
  void MarkConnectedEntries();
  void ConnectPeers();
  std::vector<const Member*> PeerEntries() const;
  void PushLoads(Outbox& outbox);

  // Messages, upstream_directory_gossip.cc. Called with the lock held.
  std::vector<Peer> ConnectedPeers() const;
  void PushMember(const Member& member,
                  SessionHandle except,
                  bool own_domain_only,
                  Outbox& outbox);
  void PushNotice(const Member& member, Outbox& outbox);
  void SendPull(Outbox& outbox);
  void OnPush(SessionHandle session,
              const PeerInfo& peer,
              const fb::Gossip& gossip,
              Outbox& outbox);
  void OnPull(SessionHandle session, const fb::Gossip& gossip, Outbox& outbox);
  void OnDigest(SessionHandle session,
                const PeerInfo& peer,
                const fb::Gossip& gossip,
                Outbox& outbox);
  void OnRecords(SessionHandle session,
                 const PeerInfo& peer,
                 const fb::Gossip& gossip,
                 Outbox& outbox);
  std::vector<uint64_t> MergeMembers(const fb::Gossip& gossip);
  void OnNotices(const fb::Gossip& gossip, Outbox& outbox);
  std::string MembersMessage(fb::GossipKind kind,
                             const std::vector<uint64_t>& keys,
                             const std::vector<uint64_t>& wanted,
                             bool with_load) const;
  void Flush(const Outbox& outbox);

  const Init init_;
  HubI& hub_;
  const ClockI& clock_;
  const uint64_t self_key_;

  mutable std::mutex mutex_;
  std::map<uint64_t, Member> members_;
  Rng rng_;
  std::set<std::string> connected_;  // Endpoints passed to HubI::Connect.
  int64_t next_pull_ms_ = 0;
  int64_t next_check_ms_ = 0;
  int64_t next_load_ms_ = 0;
  mutable std::shared_ptr<const DirectoryView> view_;
  mutable bool stale_view_ = true;
  mutable uint64_t summary_ = 0;
  mutable bool stale_summary_ = true;
};

}  // namespace ring
