#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gossip.generated.h"
#include "persimmonring/upstream.h"

namespace ring::upstream {

// Gossiped record of an upstream or entry, with the liveness as seen by this
// entry.
struct Member {
  bool is_entry = false;
  UpstreamRecord upstream;  // Also holds the fields of an entry, so that both
                            // kinds share one code path.
  uint32_t version = 1;
  uint64_t content = 0;  // Checksum of all fields but id, version and load.

  int64_t last_heard_ms = 0;  // By any witness; monotonic clock of this entry.
  bool witness = false;       // This entry has heard the incarnation directly.
  bool reported_silent = false;  // Another witness has notified of the silence.
  int64_t next_notice_ms = 0;
  int64_t next_refute_ms = 0;
  MemberState derived_state = MemberState::kUp;

  // Failed attempts of this entry; not gossiped.
  int failures = 0;        // Consecutive.
  int64_t suspect_ms = 0;  // Duration of the last suspicion.
  int64_t suspect_until_ms = 0;

  UpstreamLoad pushed_load;  // Load last sent or received by gossip.

  const std::string& name() const { return upstream.id.name; }
  uint64_t incarnation() const { return upstream.id.incarnation; }
};

uint64_t MemberKey(bool is_entry, const std::string& name);
uint64_t ContentChecksum(const Member& member);
// True if the records have the same content apart from the state.
bool SameContent(const UpstreamRecord& a, const UpstreamRecord& b);
EntryRecord ToEntryRecord(const Member& member);

// Total order of the records of one member.
struct RecordVersion {
  uint64_t incarnation = 0;
  uint32_t version = 0;
  uint32_t content = 0;
  auto operator<=>(const RecordVersion&) const = default;  // NOLINT
};
RecordVersion RecordVersionOf(const Member& member);

flatbuffers::Offset<fb::GossipMember> WriteMember(
    flatbuffers::FlatBufferBuilder& builder,
    const Member& member,
    int64_t now_ms,
    bool with_load);
// Returns false if the table is no valid member.
bool ReadMember(const fb::GossipMember& table, int64_t now_ms, Member& member);
fb::LoadItem ToLoadItem(const Member& member, const UpstreamLoad& load);
UpstreamLoad FromLoadItem(const fb::LoadItem& item, int64_t now_ms);
fb::LoadStep ToLoadStep(const Member& member);
// Returns false if the step belongs to another incarnation.
bool ApplyLoadStep(const fb::LoadStep& step, int64_t now_ms, Member& member);

// True if the loads differ enough for a push.
bool IsSignificantChange(const UpstreamLoad& a, const UpstreamLoad& b);

// Ages are sent as one byte each; 255 means old or unknown.
constexpr int64_t kAgeUnitMs = 100;
constexpr uint8_t kAgeUnknown = 255;
uint8_t PackAge(int64_t age_ms);

}  // namespace ring::upstream
