#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/log.h"

namespace ring {

/// A snapshot file that is read in pieces. It holds the meta data, then the
/// state as one record, or as several that are followed by a record with their
/// total size.
class SnapshotFile final : public SnapshotSourceI {
 public:
  /// Reads the meta data and the places of the pieces.
  /// @returns corrupt_data, storage_failed
  static Outcome<std::shared_ptr<const SnapshotFile>> Open(
      DiskI& disk,
      const std::string& name);
  /// The same for a file that is open.
  static Outcome<std::shared_ptr<const SnapshotFile>> FromFile(
      std::shared_ptr<const FileI> file);

  const SnapshotMeta& meta() const override { return meta_; }
  uint64_t size() const override { return size_; }
  /// Checksums of pieces are left to the state's own checksum.
  Outcome<std::string> Read(uint64_t offset, size_t bytes) const override;
  /// @returns the whole snapshot, checked
  Outcome<Snapshot> ReadAll() const;
  /// Hands out each piece after its checksum was compared.
  Status ForEachPiece(
      const std::function<Status(std::string_view piece)>& take) const;

 private:
  struct Piece {
    uint64_t state_offset = 0;
    uint64_t file_offset = 0;  ///< Of the record.
    size_t payload_bytes = 0;
    size_t record_bytes = 0;
  };

  explicit SnapshotFile(std::shared_ptr<const FileI> file)
      : file_(std::move(file)) {}
  Status ReadPlaces();
  /// @returns the payload of a record, or corrupt_data
  Outcome<std::string> ReadRecord(const Piece& piece) const;

  const std::shared_ptr<const FileI> file_;
  SnapshotMeta meta_;
  std::vector<Piece> pieces_;
  uint64_t size_ = 0;
};

}  // namespace ring
