#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/log.h"

namespace ring {

/// A snapshot file that is read in pieces. It holds a record with the metadata,
/// then the state: one record, or several records and a last one with the total
/// size of the state in bytes, as decimal text.
class SnapshotFile final : public SnapshotSourceI {
 public:
  /// Reads the metadata and finds the records of the state.
  /// @returns corrupt_data, storage_failed
  static Outcome<std::shared_ptr<const SnapshotFile>> Open(
      DiskI& disk,
      const std::string& name);
  /// As Open(), for a file that is already open.
  static Outcome<std::shared_ptr<const SnapshotFile>> FromFile(
      std::shared_ptr<const FileI> file);

  const SnapshotMeta& meta() const override { return meta_; }
  uint64_t size() const override { return size_; }
  /// Does not verify the checksums of pieces; the state has its own checksum.
  Outcome<std::string> Read(uint64_t offset, size_t bytes) const override;
  /// @returns the whole snapshot, with verified checksums
  Outcome<Snapshot> ReadAll() const;
  /// Passes each piece to `take` after its checksum was verified, in order.
  /// @returns the first error of reading or of `take`
  Status ForEachPiece(
      const std::function<Status(std::string_view piece)>& take) const;

 private:
  struct Piece {
    uint64_t state_offset = 0;
    uint64_t file_offset = 0;  ///< Offset of the record.
    size_t payload_bytes = 0;
    size_t record_bytes = 0;
  };

  explicit SnapshotFile(std::shared_ptr<const FileI> file)
      : file_(std::move(file)) {}
  Status FindPieces();
  /// @returns the payload of a record, or corrupt_data
  Outcome<std::string> ReadRecord(const Piece& piece) const;

  const std::shared_ptr<const FileI> file_;
  SnapshotMeta meta_;
  std::vector<Piece> pieces_;
  uint64_t size_ = 0;
};

}  // namespace ring
