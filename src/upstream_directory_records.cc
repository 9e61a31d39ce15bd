#include <algorithm>

#include "upstream_directory_p.h"

namespace ring {

using upstream::ContentChecksum;
using upstream::RecordVersionOf;

namespace {

const char* NameOf(MemberState state) {
  static constexpr const char* kNames[] = {"up", "leaving", "down"};
  return kNames[static_cast<size_t>(state)];
}

}  // namespace

Directory::Impl::Member* Directory::Impl::Find(uint64_t key) {
  const auto it = members_.find(key);
  return it == members_.end() ? nullptr : &it->second;
}

// Returns true if the stored record changed and has to be gossiped.
bool Directory::Impl::Merge(const Member& incoming) {
  const uint64_t key = upstream::MemberKey(incoming.is_entry, incoming.name());
  const int64_t age = clock_.NowMs() - incoming.last_heard_ms;
  if (key == self_key_ ||
      (age >= MaxNewMemberAgeMs() && Find(key) == nullptr)) {
    return false;
  }
  const auto [it, added] = members_.try_emplace(key, incoming);
  Member& known = it->second;
  if (added) {
    stale_summary_ = true;
    stale_view_ = true;
    return true;
  }
  if (incoming.incarnation() < known.incarnation()) {
    return false;
  }
  if (incoming.incarnation() > known.incarnation()) {
    known = incoming;
    stale_summary_ = true;
    stale_view_ = true;
    return true;
  }
  MarkHeard(known, incoming.last_heard_ms);
  const auto before = RecordVersionOf(known);
  const auto state = std::max(known.upstream.state, incoming.upstream.state);
  if (RecordVersionOf(incoming) > before) {
    const UpstreamLoad load = known.upstream.load;
    known.upstream = incoming.upstream;
    if (incoming.upstream.load.reported_at_ms == 0) {
      known.upstream.load = load;
    }
    known.version = incoming.version;
    known.content = incoming.content;
  }
  if (known.upstream.state != state) {
    // The newer record has the earlier state. Every entry that merges these two
    // records computes the same new version.
    known.upstream.state = state;
    known.version = std::max(before.version, incoming.version) + 1;
    known.content = ContentChecksum(known);
  }
  const bool changed = RecordVersionOf(known) != before;
  stale_summary_ = stale_summary_ || changed;
  stale_view_ = stale_view_ || changed;
  return changed;
}

void Directory::Impl::MarkHeard(Member& member, int64_t at_ms) {
  at_ms = std::min(at_ms, clock_.NowMs());
  if (at_ms > member.last_heard_ms) {
    member.last_heard_ms = at_ms;
    member.reported_silent = false;
  }
}

MemberState Directory::Impl::DerivedStateOf(const Member& member) const {
  const int64_t now = clock_.NowMs();
  const int64_t limit =
      member.witness ? init_.silence_ms : init_.indirect_silence_ms;
  if (member.reported_silent || now - member.last_heard_ms > limit ||
      now < member.suspect_until_ms) {
    return MemberState::kDown;
  }
  return member.upstream.state;
}

void Directory::Impl::UpdateDerivedState(Member& member) {
  const auto state = DerivedStateOf(member);
  if (state == member.derived_state) {
    return;
  }
  Event(LogLevel::kInfo, "member_state")
      .Add("member", member.name())
      .Add("entry", member.is_entry)
      .Add("incarnation", member.incarnation())
      .Add("state", NameOf(state));
  member.derived_state = state;
  stale_view_ = true;
}

void Directory::Impl::CheckMembers(Outbox& outbox) {
  // Repeated, because a notice may be lost. Stops at indirect_silence_ms, when
  // other entries see the silence without a notice.
  constexpr int64_t kNoticePeriodMs = 1'000;
  const int64_t now = clock_.NowMs();
  for (auto& [key, member] : members_) {
    UpdateDerivedState(member);
    const int64_t age = now - member.last_heard_ms;
    if (member.witness && age > init_.silence_ms &&
        age < init_.indirect_silence_ms && now >= member.next_notice_ms) {
      member.next_notice_ms = now + kNoticePeriodMs;
      PushNotice(member, outbox);
    }
  }
}

void Directory::Impl::DropExpired() {
  const int64_t now = clock_.NowMs();
  for (auto it = members_.begin(); it != members_.end();) {
    if (now - it->second.last_heard_ms < init_.tombstone_ms) {
      ++it;
      continue;
    }
    if (it->second.is_entry) {
      const auto& address = it->second.upstream.address;
      hub_.Disconnect(address);
      connected_.erase(address.ToString());
    }
    it = members_.erase(it);
    stale_summary_ = true;
    stale_view_ = true;
  }
}

uint64_t Directory::Impl::Summary() const {
  // Excludes ages and loads, so it rarely changes.
  if (!stale_summary_) {
    return summary_;
  }
  uint64_t summary = 1;
  for (const auto& [key, member] : members_) {
    const uint64_t parts[] = {key, member.incarnation(), member.version,
                              member.content};
    summary ^= Checksum({reinterpret_cast<const char*>(parts), sizeof(parts)});
  }
  summary_ = summary;
  stale_summary_ = false;
  return summary;
}

std::vector<uint8_t> Directory::Impl::Ages() const {
  std::vector<uint8_t> ages;
  const int64_t now = clock_.NowMs();
  for (const auto& [key, member] : members_) {
    ages.push_back(upstream::PackAge(now - member.last_heard_ms));
  }
  return ages;
}

// Precondition: the peer has the same summary, so both list the same members in
// the same order.
// Returns the members that this entry heard much later than the peer did.
std::vector<fb::FreshItem> Directory::Impl::MergeAges(
    const flatbuffers::Vector<uint8_t>* ages) {
  // Smaller differences are left to later pulls.
  constexpr int64_t kMinDifferenceMs = 1'000;
  std::vector<fb::FreshItem> fresh;
  if (ages == nullptr || ages->size() != members_.size()) {
    return fresh;
  }
  const int64_t now = clock_.NowMs();
  uint16_t index = 0;
  for (auto& [key, member] : members_) {
    const uint8_t age = ages->Get(index);
    const int64_t own_ms = now - member.last_heard_ms;
    if (age * upstream::kAgeUnitMs > own_ms + kMinDifferenceMs) {
      fresh.emplace_back(index, upstream::PackAge(own_ms));
    } else {
      MarkHeardByAge(member, age);
    }
    ++index;
  }
  return fresh;
}

void Directory::Impl::MergeFresh(
    const flatbuffers::Vector<const fb::FreshItem*>* fresh) {
  if (fresh == nullptr) {
    return;
  }
  std::vector<Member*> ordered;
  ordered.reserve(members_.size());
  for (auto& [key, member] : members_) {
    ordered.push_back(&member);
  }
  for (const auto* item : *fresh) {
    if (item->index() < ordered.size()) {
      MarkHeardByAge(*ordered[item->index()], item->age());
    }
  }
}

void Directory::Impl::MarkHeardByAge(Member& member, int64_t age) {
  if (age < upstream::kAgeUnknown) {
    // Rounds up; PackAge rounds down, and an age would shrink with each hop.
    MarkHeard(member, clock_.NowMs() - (age + 1) * upstream::kAgeUnitMs);
  }
}

void Directory::Impl::RebuildView() const {
  auto view = std::make_shared<DirectoryView>();
  view->version = view_ ? view_->version + 1 : 1;
  for (const auto& [key, member] : members_) {
    if (member.is_entry) {
      view->entries.push_back(upstream::ToEntryRecord(member));
    } else {
      view->upstreams.push_back(member.upstream);
      view->upstreams.back().state = member.derived_state;
    }
  }
  std::sort(view->upstreams.begin(), view->upstreams.end(),
            [](const auto& a, const auto& b) { return a.id.name < b.id.name; });
  std::sort(view->entries.begin(), view->entries.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  view_ = std::move(view);
  stale_view_ = false;
}

}  // namespace ring
