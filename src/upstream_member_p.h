#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gossip.generated.h"
#include "persimmonring/upstream.h"

namespace ring::upstream {

// Record of an upstream or entry, with what this entry knows of its life.
struct Member {
  bool is_entry = false;
  UpstreamRecord upstream;  // Also holds name, domain, region and address of an
                            // entry, so that both share one code path.
  uint32_t version = 1;
  uint64_t content = 0;  // Checksum of everything but id, version, load.

  int64_t last_heard_ms = 0;     // By any witness, on this entry's clock.
  bool witness = false;          // This entry has heard this incarnation.
  bool reported_silent = false;  // A witness has reported the silence.
  int64_t next_notice_ms = 0;
  int64_t next_refute_ms = 0;
  MemberState shown = MemberState::kUp;

  // Failures of attempts, known to this entry only.
  int failures = 0;
  int64_t suspect_ms = 0;  // Length of the last suspicion.
  int64_t suspect_until_ms = 0;

  UpstreamLoad pushed_load;  // Last load sent or received.

  const std::string& name() const { return upstream.id.name; }
  uint64_t incarnation() const { return upstream.id.incarnation; }
};

uint64_t KeyOf(bool is_entry, const std::string& name);
uint64_t ContentOf(const Member& member);
// Same content apart from state.
bool SameContent(const UpstreamRecord& a, const UpstreamRecord& b);
EntryRecord ToEntryRecord(const Member& member);

// Order of records of one member: (incarnation, version, content).
struct Rank {
  uint64_t incarnation = 0;
  uint32_t version = 0;
  uint32_t content = 0;
  auto operator<=>(const Rank&) const = default;  // NOLINT: clang-tidy 14
};
Rank RankOf(const Member& member);

flatbuffers::Offset<fb::GossipMember> Write(
    flatbuffers::FlatBufferBuilder& builder,
    const Member& member,
    int64_t now_ms,
    bool with_load);
// Returns false if the table is not valid as a member.
bool Read(const fb::GossipMember& table, int64_t now_ms, Member& member);
fb::LoadItem ToItem(const Member& member, const UpstreamLoad& load);
UpstreamLoad FromItem(const fb::LoadItem& item, int64_t now_ms);
fb::LoadStep ToStep(const Member& member);
// Returns false if the step is not for this incarnation.
bool ApplyStep(const fb::LoadStep& step, int64_t now_ms, Member& member);

// True if the difference is worth sending.
bool DiffersMuch(const UpstreamLoad& a, const UpstreamLoad& b);

// Ages in one byte each; 255 means old or unknown.
constexpr int64_t kAgeUnitMs = 100;
constexpr uint8_t kAgeUnknown = 255;
uint8_t PackAge(int64_t age_ms);

}  // namespace ring::upstream
