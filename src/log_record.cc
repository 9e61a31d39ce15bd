#include "log_record_p.h"

#include <algorithm>
#include <cstring>

namespace ring {
namespace {

constexpr size_t kLengthBytes = 4;
constexpr size_t kHeaderBytes = RecordHeader::kBytes;
constexpr size_t kMarkerBytes = 1;
// Not zero, so that the last sector of a complete record is never all zeros.
constexpr char kEndMarker = '\xA5';
// Unit in which a disk writes. A sector of a file that has grown but was never
// written reads as zeros.
constexpr size_t kSectorBytes = 512;

template <typename T>
void AppendLittleEndian(std::string& out, T value) {
  for (size_t i = 0; i < sizeof(T); ++i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
}

template <typename T>
T ReadLittleEndian(std::string_view bytes) {
  T value = 0;
  for (size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<uint8_t>(bytes[i])) << (8 * i);
  }
  return value;
}

uint32_t LengthChecksum(std::string_view length) {
  return static_cast<uint32_t>(Checksum(length));
}

enum class RecordState { kValid, kTruncated, kDamaged };

struct RecordView {
  RecordState state = RecordState::kDamaged;
  std::string_view payload;
  size_t size = 0;
};

RecordView ReadRecord(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) {
    return {RecordState::kTruncated, {}, bytes.size()};
  }
  const auto header = RecordHeader::Read(bytes);
  if (!header) {
    return {RecordState::kDamaged, {}, bytes.size()};
  }
  if (bytes.size() < header->record_bytes) {
    return {RecordState::kTruncated, {}, bytes.size()};
  }
  const auto payload =
      header->VerifiedPayload(bytes.substr(0, header->record_bytes));
  return {payload ? RecordState::kValid : RecordState::kDamaged,
          payload.value_or(std::string_view()), header->record_bytes};
}

// True if a sector from `begin` to the end of the file is all zeros. The header
// and the end of a completely written record never are.
bool HasUnwrittenSector(std::string_view file, size_t begin) {
  size_t at = begin;
  while (at < file.size()) {
    const size_t end =
        std::min(file.size(), (at / kSectorBytes + 1) * kSectorBytes);
    const std::string_view sector = file.substr(at, end - at);
    if (std::all_of(sector.begin(), sector.end(),
                    [](char c) { return c == 0; })) {
      return true;
    }
    at = end;
  }
  return false;
}

}  // namespace

std::optional<RecordHeader> RecordHeader::Read(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const std::string_view length = bytes.substr(0, kLengthBytes);
  if (ReadLittleEndian<uint32_t>(bytes.substr(kLengthBytes)) !=
      LengthChecksum(length)) {
    return std::nullopt;
  }
  const size_t size = ReadLittleEndian<uint32_t>(length);
  return RecordHeader{
      size, kHeaderBytes + size + kMarkerBytes,
      ReadLittleEndian<uint64_t>(bytes.substr(2 * kLengthBytes))};
}

std::optional<std::string_view> RecordHeader::VerifiedPayload(
    std::string_view record) const {
  if (record.size() != record_bytes || record.back() != kEndMarker) {
    return std::nullopt;
  }
  const std::string_view payload = record.substr(kHeaderBytes, payload_bytes);
  return checksum == Checksum(payload) ? std::optional(payload) : std::nullopt;
}

void AppendRecord(std::string& out, std::string_view payload) {
  std::string size;
  AppendLittleEndian(size, static_cast<uint32_t>(payload.size()));
  out += size;
  AppendLittleEndian(out, LengthChecksum(size));
  AppendLittleEndian(out, Checksum(payload));
  out += payload;
  out.push_back(kEndMarker);
}

std::string EncodeRecord(std::string_view payload) {
  std::string out;
  out.reserve(payload.size() + kRecordOverhead);
  AppendRecord(out, payload);
  return out;
}

Outcome<RecordScan> ScanRecords(std::string_view bytes) {
  RecordScan scan;
  while (scan.valid_bytes < bytes.size()) {
    const size_t offset = scan.valid_bytes;
    const RecordView record = ReadRecord(bytes.substr(offset));
    if (record.state == RecordState::kValid) {
      scan.payloads.push_back(record.payload);
      scan.last_record_offset = offset;
      scan.valid_bytes += record.size;
      continue;
    }
    const bool last = offset + record.size == bytes.size();
    if (record.state == RecordState::kTruncated ||
        (last && HasUnwrittenSector(bytes, offset))) {
      return scan;
    }
    return Refusal{Reason::kCorruptData, RunState::kNotRun,
                   "the synced record at offset " + std::to_string(offset) +
                       " is damaged; rebuild this replica under a new id"};
  }
  return scan;
}

}  // namespace ring
