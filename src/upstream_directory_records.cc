#include <algorithm>

#include "upstream_directory_p.h"

namespace ring {

using upstream::ContentOf;
using upstream::RankOf;

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

// Returns true if the record changed, so that others should hear of it.
bool Directory::Impl::Merge(const Member& incoming) {
  const uint64_t key = upstream::KeyOf(incoming.is_entry, incoming.name());
  const int64_t age = clock_.NowMs() - incoming.last_heard_ms;
  if (key == self_key_ || (age >= MaxNewAgeMs() && Find(key) == nullptr)) {
    return false;
  }
  const auto [it, added] = members_.try_emplace(key, incoming);
  Member& known = it->second;
  if (added) {
    dirty_ = true;
    return true;
  }
  if (incoming.incarnation() < known.incarnation()) {
    return false;
  }
  if (incoming.incarnation() > known.incarnation()) {
    known = incoming;
    dirty_ = true;
    return true;
  }
  Heard(known, incoming.last_heard_ms);
  const auto before = RankOf(known);
  const auto state = std::max(known.upstream.state, incoming.upstream.state);
  if (RankOf(incoming) > before) {
    const UpstreamLoad load = known.upstream.load;
    known.upstream = incoming.upstream;
    if (incoming.upstream.load.reported_at_ms == 0) {
      known.upstream.load = load;
    }
    known.version = incoming.version;
    known.content = incoming.content;
  }
  if (known.upstream.state != state) {
    // The winner lacks the later state. Both sides get the same new version.
    known.upstream.state = state;
    known.version = std::max(before.version, incoming.version) + 1;
    known.content = ContentOf(known);
  }
  const bool changed = RankOf(known) != before;
  dirty_ = dirty_ || changed;
  return changed;
}

void Directory::Impl::Heard(Member& member, int64_t at_ms) {
  at_ms = std::min(at_ms, clock_.NowMs());
  if (at_ms > member.last_heard_ms) {
    member.last_heard_ms = at_ms;
    member.reported_silent = false;
  }
}

MemberState Directory::Impl::StateOf(const Member& member) const {
  const int64_t now = clock_.NowMs();
  const bool told = member.witness || member.reported_silent;
  const int64_t limit = told ? init_.silence_ms : init_.indirect_silence_ms;
  if (now - member.last_heard_ms > limit || now < member.suspect_until_ms) {
    return MemberState::kDown;
  }
  return member.upstream.state;
}

void Directory::Impl::UpdateShown(Outbox& outbox) {
  // A notice may be lost; after some repetitions, the indirect limit applies.
  constexpr int64_t kNoticePeriodMs = 1'000;
  const int64_t now = clock_.NowMs();
  for (auto& [key, member] : members_) {
    const auto state = StateOf(member);
    if (state != member.shown) {
      Event(LogLevel::kInfo, "member_state")
          .Add("member", member.name())
          .Add("entry", member.is_entry)
          .Add("incarnation", member.incarnation())
          .Add("state", NameOf(state));
      member.shown = state;
      dirty_ = true;
    }
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
    dirty_ = true;
  }
}

uint64_t Directory::Impl::Summary() const {
  uint64_t summary = 1;
  for (const auto& [key, member] : members_) {
    const uint64_t parts[] = {key, member.incarnation(), member.version,
                              member.content};
    summary ^= Checksum({reinterpret_cast<const char*>(parts), sizeof(parts)});
  }
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

// Precondition: the peer has an equal summary, so that the orders agree.
void Directory::Impl::MergeAges(const flatbuffers::Vector<uint8_t>* ages) {
  if (ages == nullptr || ages->size() != members_.size()) {
    return;
  }
  const int64_t now = clock_.NowMs();
  size_t index = 0;
  for (auto& [key, member] : members_) {
    const uint8_t age = ages->Get(static_cast<uint32_t>(index++));
    if (age != upstream::kAgeUnknown) {
      // Rounded up, so that an age does not shrink with each hop.
      Heard(member, now - (age + 1) * upstream::kAgeUnitMs);
    }
  }
}

void Directory::Impl::Rebuild() const {
  auto view = std::make_shared<DirectoryView>();
  view->version = view_ ? view_->version + 1 : 1;
  for (const auto& [key, member] : members_) {
    if (member.is_entry) {
      view->entries.push_back(upstream::ToEntryRecord(member));
    } else {
      view->upstreams.push_back(member.upstream);
      view->upstreams.back().state = member.shown;
    }
  }
  std::sort(view->upstreams.begin(), view->upstreams.end(),
            [](const auto& a, const auto& b) { return a.id.name < b.id.name; });
  std::sort(view->entries.begin(), view->entries.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  view_ = std::move(view);
  dirty_ = false;
}

}  // namespace ring
