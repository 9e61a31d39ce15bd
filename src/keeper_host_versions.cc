#include "keeper.generated.h"
#include "keeper_versions_p.h"

namespace ring {
namespace {

constexpr int64_t kMaxReportAgeMs = 60'000;
// Well above the 330 nodes that a ring is designed for. The bound prevents a
// faulty sender of many node names from exhausting memory.
constexpr size_t kMaxNodes = 4'096;

}  // namespace

void NodeVersionTable::Report(const std::string& node,
                              uint64_t version,
                              int64_t now_ms) {
  Update(node, {version, now_ms});
}

void NodeVersionTable::Update(const std::string& node, Row row) {
  const auto found = rows_.find(node);
  if (found == rows_.end()) {
    if (rows_.size() < kMaxNodes) {
      rows_.emplace(node, row);
    }
  } else if (row.reported_ms >= found->second.reported_ms) {
    found->second = row;
  }
}

Status NodeVersionTable::Merge(std::string_view payload, int64_t now_ms) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size());
  if (!verifier.VerifyBuffer<fb::NodeVersions>(nullptr)) {
    return Refusal{Reason::kCorruptData, RunState::kNotRun,
                   "cannot decode node versions"};
  }
  const auto* table = flatbuffers::GetRoot<fb::NodeVersions>(payload.data());
  if (table->nodes() == nullptr) {
    return Done{};
  }
  for (const fb::NodeVersion* row : *table->nodes()) {
    if (row->node() != nullptr) {
      Update(row->node()->str(), {row->version(), now_ms - row->age_ms()});
    }
  }
  return Done{};
}

std::string NodeVersionTable::Encode(int64_t now_ms) {
  std::erase_if(rows_, [now_ms](const auto& item) {
    return now_ms - item.second.reported_ms > kMaxReportAgeMs;
  });
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<fb::NodeVersion>> rows;
  for (const auto& [node, row] : rows_) {
    rows.push_back(fb::CreateNodeVersion(builder, builder.CreateString(node),
                                         row.version,
                                         now_ms - row.reported_ms));
  }
  builder.Finish(fb::CreateNodeVersions(builder, builder.CreateVector(rows)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

}  // namespace ring
