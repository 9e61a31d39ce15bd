#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonring/core.h"

namespace ring {

/// Frames a payload as a record of the log file:
/// uint32 payload length | uint32 check of the length | uint64 xxh3 of the
/// payload | payload | end marker byte.
std::string EncodeRecord(std::string_view payload);
/// Appends a record to a file under construction.
void AppendRecord(std::string& out, std::string_view payload);
/// At least the bytes of a record besides its payload.
constexpr size_t kRecordOverhead = 32;

/// Records of a log file.
struct RecordScan {
  std::vector<std::string_view> payloads;  ///< Point into the scanned bytes.
  uint64_t last_record = 0;                ///< Offset of the last whole record.
  uint64_t valid_bytes = 0;  ///< A torn record, if any, begins here.
};

/// First bytes of a record.
struct RecordHeader {
  static constexpr size_t kBytes = 16;
  size_t payload_bytes = 0;
  size_t record_bytes = 0;  ///< With header and end marker.
  uint64_t checksum = 0;

  /// @returns nullopt if the bytes are no header
  static std::optional<RecordHeader> Read(std::string_view bytes);
  /// @returns the payload of a whole record, nullopt if it is damaged
  std::optional<std::string_view> PayloadOf(std::string_view record) const;
};

/// Reads all records. One record is written by each synced append, so only the
/// last one can be torn: it is cut short, or a sector of it was never written
/// and reads as zeros.
/// @returns corrupt_data with the offset of a damaged record that is not a torn
///          tail
Outcome<RecordScan> ScanRecords(std::string_view bytes);

}  // namespace ring
