#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

/// Frames a payload as a record of a log or snapshot file, little endian:
/// uint32 payload length | uint32 checksum of the length | uint64 xxh3 of the
/// payload | payload | end marker byte.
std::string EncodeRecord(std::string_view payload);
/// Appends a record to the contents of a file.
void AppendRecord(std::string& out, std::string_view payload);
/// Upper bound of the bytes of a record besides its payload, for buffer sizes.
constexpr size_t kRecordOverhead = 32;

/// Result of ScanRecords().
struct RecordScan {
  std::vector<std::string_view> payloads;  ///< Point into the scanned bytes.
  uint64_t last_record_offset = 0;         ///< Offset of the last valid one.
  uint64_t valid_bytes = 0;  ///< Offset of a torn record, if there is one.
};

/// Fields in front of the payload of a record.
struct RecordHeader {
  static constexpr size_t kBytes = 16;
  size_t payload_bytes = 0;
  size_t record_bytes = 0;  ///< With header and end marker.
  uint64_t checksum = 0;

  /// @returns nullopt if the bytes are not a valid header
  static std::optional<RecordHeader> Read(std::string_view bytes);
  /// @param record all bytes of the record, with the header
  /// @returns the payload, nullopt if the record is damaged
  std::optional<std::string_view> VerifiedPayload(
      std::string_view record) const;
};

/// Reads all records. Each record is synced before the next is written, so only
/// the last one can be torn: truncated, or with a sector that was never written
/// and reads as zeros.
/// @returns corrupt_data with the offset of a damaged record that is not a torn
///          tail
Outcome<RecordScan> ScanRecords(std::string_view bytes);

}  // namespace ring
