#include "log_codec_p.h"

#include "raft.generated.h"

namespace ring {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using Bytes = flatbuffers::Vector<uint8_t>;
using Entries = flatbuffers::Vector<Offset<fb::LogEntry>>;

Offset<Bytes> CreateBytes(FlatBufferBuilder& builder, std::string_view bytes) {
  return builder.CreateVector(reinterpret_cast<const uint8_t*>(bytes.data()),
                              bytes.size());
}

std::string ToBytes(const Bytes* bytes) {
  return bytes == nullptr
             ? std::string()
             : std::string(reinterpret_cast<const char*>(bytes->data()),
                           bytes->size());
}

Offset<Entries> CreateEntries(FlatBufferBuilder& builder,
                              const std::vector<LogEntry>& entries) {
  std::vector<Offset<fb::LogEntry>> offsets;
  offsets.reserve(entries.size());
  for (const LogEntry& entry : entries) {
    const auto data = CreateBytes(builder, entry.data);
    offsets.push_back(
        fb::CreateLogEntry(builder, entry.term, entry.index, entry.time_ms,
                           static_cast<fb::EntryKind>(entry.kind), data));
  }
  return builder.CreateVector(offsets);
}

std::vector<LogEntry> ToEntries(const Entries* entries) {
  std::vector<LogEntry> result;
  if (entries == nullptr) {
    return result;
  }
  result.reserve(entries->size());
  for (const fb::LogEntry* entry : *entries) {
    result.push_back({entry->term(), entry->index(), entry->time_ms(),
                      static_cast<LogEntryKind>(entry->kind()),
                      ToBytes(entry->data())});
  }
  return result;
}

Offset<fb::LogConfig> CreateConfig(FlatBufferBuilder& builder,
                                   const LogConfig& config) {
  std::vector<Offset<fb::ReplicaMember>> offsets;
  for (const Member& member : config.members) {
    offsets.push_back(fb::CreateReplicaMember(
        builder, member.id, builder.CreateString(member.node), member.voter));
  }
  return fb::CreateLogConfig(builder, builder.CreateVector(offsets));
}

LogConfig ToConfig(const fb::LogConfig* config) {
  LogConfig result;
  if (config == nullptr || config->members() == nullptr) {
    return result;
  }
  for (const fb::ReplicaMember* member : *config->members()) {
    result.members.push_back({member->id(),
                              member->node() ? member->node()->str() : "",
                              member->voter()});
  }
  return result;
}

std::string Finished(const FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

// Returns nullptr if the bytes are not a valid table. FlatBuffers needs bytes
// aligned to 8 bytes; others are first copied to `copy`.
template <typename T>
const T* Verified(std::string_view bytes, std::string& copy) {
  constexpr size_t kAlignment = 8;
  if (reinterpret_cast<uintptr_t>(bytes.data()) % kAlignment != 0) {
    copy.assign(bytes);
    bytes = copy;
  }
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()),
                                 bytes.size(), {.max_tables = 10'000'000});
  return verifier.VerifyBuffer<T>(nullptr)
             ? flatbuffers::GetRoot<T>(bytes.data())
             : nullptr;
}

Refusal Corrupt(const std::string& what) {
  return {Reason::kCorruptData, RunState::kNotRun, "cannot decode " + what};
}

}  // namespace

std::string EncodeRaftMessage(const RaftMessage& message) {
  FlatBufferBuilder builder;
  const auto entries = CreateEntries(builder, message.entries);
  const auto config = CreateConfig(builder, message.snapshot_config);
  const auto data = CreateBytes(builder, message.snapshot_data);
  builder.Finish(fb::CreateRaftMessage(
      builder, static_cast<fb::RaftKind>(message.kind), message.to,
      message.from, message.term, message.log_term, message.index,
      message.commit, message.reject, message.reject_hint, message.context,
      entries, config, message.snapshot_offset, message.snapshot_total, data,
      message.snapshot_time_ms));
  return Finished(builder);
}

Outcome<RaftMessage> DecodeRaftMessage(std::string_view bytes) {
  std::string copy;
  const auto* table = Verified<fb::RaftMessage>(bytes, copy);
  if (table == nullptr || table->kind() > fb::RaftKind::MAX) {
    return Corrupt("Raft message");
  }
  RaftMessage message;
  message.kind = static_cast<RaftKind>(table->kind());
  message.to = table->to();
  message.from = table->from();
  message.term = table->term();
  message.log_term = table->log_term();
  message.index = table->index();
  message.commit = table->commit();
  message.reject = table->reject();
  message.reject_hint = table->reject_hint();
  message.context = table->context();
  message.entries = ToEntries(table->entries());
  message.snapshot_config = ToConfig(table->snapshot_config());
  message.snapshot_time_ms = table->snapshot_time_ms();
  message.snapshot_offset = table->snapshot_offset();
  message.snapshot_total = table->snapshot_total();
  message.snapshot_data = ToBytes(table->snapshot_data());
  return message;
}

std::string EncodeLogConfig(const LogConfig& config) {
  FlatBufferBuilder builder;
  builder.Finish(CreateConfig(builder, config));
  return Finished(builder);
}

Outcome<LogConfig> DecodeLogConfig(std::string_view bytes) {
  std::string copy;
  const auto* table = Verified<fb::LogConfig>(bytes, copy);
  if (table == nullptr) {
    return Corrupt("log config");
  }
  return ToConfig(table);
}

std::string EncodeWalBatch(const WalBatch& batch) {
  FlatBufferBuilder builder;
  const auto entries = CreateEntries(builder, batch.entries);
  builder.Finish(fb::CreateWalBatch(
      builder, batch.start, batch.start_index, batch.start_term,
      batch.hard_state.has_value(), batch.hard_state.value_or(HardState{}).term,
      batch.hard_state.value_or(HardState{}).voted_for, entries));
  return Finished(builder);
}

Outcome<WalBatch> DecodeWalBatch(std::string_view bytes) {
  std::string copy;
  const auto* table = Verified<fb::WalBatch>(bytes, copy);
  if (table == nullptr) {
    return Corrupt("log record");
  }
  WalBatch batch;
  batch.start = table->start();
  batch.start_index = table->start_index();
  batch.start_term = table->start_term();
  if (table->has_hard_state()) {
    batch.hard_state = HardState{table->term(), table->voted_for()};
  }
  batch.entries = ToEntries(table->entries());
  return batch;
}

std::string EncodeSnapshotMeta(const SnapshotMeta& meta) {
  FlatBufferBuilder builder;
  const auto config = CreateConfig(builder, meta.config);
  builder.Finish(fb::CreateSnapshotHeader(builder, meta.index, meta.term,
                                          meta.time_ms, config));
  return Finished(builder);
}

Outcome<SnapshotMeta> DecodeSnapshotMeta(std::string_view bytes) {
  std::string copy;
  const auto* table = Verified<fb::SnapshotHeader>(bytes, copy);
  if (table == nullptr) {
    return Corrupt("snapshot header");
  }
  return SnapshotMeta{table->index(), table->term(), table->time_ms(),
                      ToConfig(table->config())};
}

const Member* LogConfig::Find(ReplicaId id) const {
  for (const Member& member : members) {
    if (member.id == id) {
      return &member;
    }
  }
  return nullptr;
}

size_t LogConfig::voter_count() const {
  size_t count = 0;
  for (const Member& member : members) {
    count += member.voter ? 1 : 0;
  }
  return count;
}

}  // namespace ring
