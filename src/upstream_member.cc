#include "upstream_member_p.h"

#include <algorithm>
#include <cstdlib>

#include "core_flatbuffer_p.h"

namespace ring::upstream {
namespace {

constexpr size_t kMaxNameBytes = 128;

uint32_t AgeMs(const Member& member, int64_t now_ms) {
  return static_cast<uint32_t>(
      std::clamp<int64_t>(now_ms - member.last_heard_ms, 0, UINT32_MAX));
}

std::vector<std::string> ReadTexts(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>*
        texts) {
  std::vector<std::string> result;
  if (texts != nullptr) {
    for (const auto* text : *texts) {
      result.push_back(text->str());
    }
  }
  return result;
}

}  // namespace

uint64_t MemberKey(bool is_entry, const std::string& name) {
  return Checksum((is_entry ? "e/" : "u/") + name);
}

uint64_t ContentChecksum(const Member& member) {
  const auto& record = member.upstream;
  std::string text;
  const auto add = [&text](const std::string& part) {
    text += part;
    text += '\0';
  };
  add(record.address.ToString());
  add(record.domain);
  add(record.region);
  for (const auto& model : record.models) {
    add(model);
  }
  add("");
  for (const auto& service : record.services) {
    add(service);
  }
  add(std::to_string(record.max_in_flight));
  text += static_cast<char>('0' + static_cast<int>(record.kind));
  text += static_cast<char>('0' + static_cast<int>(record.state));
  text += record.checks_fence ? '1' : '0';
  return Checksum(text);
}

bool SameContent(const UpstreamRecord& a, const UpstreamRecord& b) {
  return a.address == b.address && a.domain == b.domain &&
         a.region == b.region && a.models == b.models &&
         a.services == b.services && a.max_in_flight == b.max_in_flight &&
         a.kind == b.kind && a.checks_fence == b.checks_fence;
}

EntryRecord ToEntryRecord(const Member& member) {
  return {.name = member.name(),
          .incarnation = member.incarnation(),
          .domain = member.upstream.domain,
          .region = member.upstream.region,
          .wire = member.upstream.address,
          .state = member.derived_state};
}

RecordVersion RecordVersionOf(const Member& member) {
  return {member.incarnation(), member.version,
          static_cast<uint32_t>(member.content)};
}

flatbuffers::Offset<fb::GossipMember> WriteMember(
    flatbuffers::FlatBufferBuilder& builder,
    const Member& member,
    int64_t now_ms,
    bool with_load) {
  const auto& record = member.upstream;
  const auto name = builder.CreateString(record.id.name);
  const auto ip = builder.CreateString(record.address.ip);
  const auto domain = builder.CreateSharedString(record.domain);
  const auto region = builder.CreateSharedString(record.region);
  using Texts = flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>;
  const Texts models = record.models.empty()
                           ? Texts()
                           : builder.CreateVectorOfStrings(record.models);
  const Texts services = record.services.empty()
                             ? Texts()
                             : builder.CreateVectorOfStrings(record.services);
  const auto load = ToLoadItem(member, record.load);
  return fb::CreateGossipMember(
      builder, member.is_entry, name, record.id.incarnation, member.version,
      static_cast<uint8_t>(record.state), AgeMs(member, now_ms), ip,
      record.address.port, domain, region, static_cast<uint8_t>(record.kind),
      models, services, record.max_in_flight, record.checks_fence,
      with_load ? &load : nullptr);
}

bool ReadMember(const fb::GossipMember& table, int64_t now_ms, Member& member) {
  auto& record = member.upstream;
  member.is_entry = table.entry();
  record.id.name = TextOf(table.name());
  record.id.incarnation = table.incarnation();
  member.version = table.version();
  record.address.ip = TextOf(table.ip());
  record.address.port = table.port();
  record.domain = TextOf(table.domain());
  record.region = TextOf(table.region());
  record.models = ReadTexts(table.models());
  record.services = ReadTexts(table.services());
  record.max_in_flight = table.max_in_flight();
  record.checks_fence = table.checks_fence();
  const bool valid =
      IsValid(record.id) && record.id.name.size() <= kMaxNameBytes &&
      IsValid(record.address) &&
      table.state() <= static_cast<uint8_t>(MemberState::kLeaving) &&
      table.kind() <= static_cast<uint8_t>(UpstreamKind::kService);
  if (!valid) {
    return false;
  }
  record.state = static_cast<MemberState>(table.state());
  record.kind = static_cast<UpstreamKind>(table.kind());
  if (table.load() != nullptr) {
    record.load = FromLoadItem(*table.load(), now_ms);
  }
  member.last_heard_ms = now_ms - table.age_ms();
  member.content = ContentChecksum(member);
  return true;
}

fb::LoadItem ToLoadItem(const Member& member, const UpstreamLoad& load) {
  return {MemberKey(member.is_entry, member.name()),
          member.incarnation(),
          load.running,
          load.waiting,
          load.cache_used_tokens,
          load.cache_capacity_tokens};
}

UpstreamLoad FromLoadItem(const fb::LoadItem& item, int64_t now_ms) {
  return {.running = item.running(),
          .waiting = item.waiting(),
          .cache_used_tokens = item.cache_used_tokens(),
          .cache_capacity_tokens = item.cache_capacity_tokens(),
          .reported_at_ms = now_ms};
}

fb::LoadStep ToLoadStep(const Member& member) {
  const auto& load = member.upstream.load;
  const auto saturate = [](int64_t value) {
    return static_cast<uint16_t>(std::clamp<int64_t>(value, 0, UINT16_MAX));
  };
  const int64_t share =
      load.cache_capacity_tokens > 0
          ? load.cache_used_tokens * UINT16_MAX / load.cache_capacity_tokens
          : 0;
  return {MemberKey(member.is_entry, member.name()),
          static_cast<uint16_t>(member.incarnation()), saturate(load.running),
          saturate(load.waiting), saturate(share)};
}

bool ApplyLoadStep(const fb::LoadStep& step, int64_t now_ms, Member& member) {
  if (static_cast<uint16_t>(member.incarnation()) != step.incarnation()) {
    return false;
  }
  auto& load = member.upstream.load;
  load.running = step.running();
  load.waiting = step.waiting();
  load.cache_used_tokens =
      load.cache_capacity_tokens * step.cache_share() / UINT16_MAX;
  load.reported_at_ms = now_ms;
  return true;
}

bool IsSignificantChange(const UpstreamLoad& a, const UpstreamLoad& b) {
  // One request more or less does not affect placement at batch sizes of tens,
  // but a change from or to idle does.
  constexpr int kRequestStep = 2;
  constexpr int64_t kCacheSteps = 20;
  const int requests_a = a.running + a.waiting;
  const int requests_b = b.running + b.waiting;
  const int64_t cache_step = a.cache_capacity_tokens / kCacheSteps;
  return std::abs(requests_a - requests_b) >= kRequestStep ||
         (requests_a == 0) != (requests_b == 0) ||
         std::llabs(a.cache_used_tokens - b.cache_used_tokens) > cache_step ||
         a.cache_capacity_tokens != b.cache_capacity_tokens;
}

uint8_t PackAge(int64_t age_ms) {
  return static_cast<uint8_t>(
      std::clamp<int64_t>(age_ms / kAgeUnitMs, 0, kAgeUnknown));
}

}  // namespace ring::upstream
