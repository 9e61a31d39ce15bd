#include "log_snapshot_file_p.h"

#include <algorithm>

#include "log_codec_p.h"
#include "log_record_p.h"

namespace ring {
namespace {

Refusal Damaged() {
  return {Reason::kCorruptData, RunState::kNotRun,
          "the snapshot file is damaged"};
}

}  // namespace

Outcome<std::shared_ptr<const SnapshotFile>> SnapshotFile::Open(
    DiskI& disk,
    const std::string& name) {
  const auto file = disk.OpenFile(name);
  return file ? FromFile(*file) : file.refusal();
}

Outcome<std::shared_ptr<const SnapshotFile>> SnapshotFile::FromFile(
    std::shared_ptr<const FileI> file) {
  std::shared_ptr<SnapshotFile> snapshot(new SnapshotFile(std::move(file)));
  if (Status status = snapshot->FindPieces(); !status) {
    return status.refusal();
  }
  return std::shared_ptr<const SnapshotFile>(std::move(snapshot));
}

Status SnapshotFile::FindPieces() {
  constexpr size_t kMinRecords = 2;
  uint64_t offset = 0;
  while (true) {
    const auto head = file_->ReadAt(offset, RecordHeader::kBytes);
    if (!head) {
      return head.refusal();
    }
    if (head->empty()) {
      break;
    }
    const auto header = RecordHeader::Read(*head);
    if (!header) {
      return Damaged();
    }
    pieces_.push_back({0, offset, header->payload_bytes, header->record_bytes});
    offset += header->record_bytes;
  }
  if (pieces_.size() < kMinRecords) {
    return Damaged();
  }
  const auto meta_bytes = ReadRecord(pieces_.front());
  const auto last = ReadRecord(pieces_.back());
  if (!meta_bytes || !last) {
    return Damaged();
  }
  auto meta = DecodeSnapshotMeta(*meta_bytes);
  if (!meta) {
    return meta.refusal();
  }
  meta_ = std::move(*meta);
  const bool in_pieces = pieces_.size() > kMinRecords;
  pieces_.erase(pieces_.begin());
  if (in_pieces) {
    pieces_.pop_back();
  }
  for (Piece& piece : pieces_) {
    piece.state_offset = size_;
    size_ += piece.payload_bytes;
  }
  return !in_pieces || *last == std::to_string(size_) ? Status(Done{})
                                                      : Status(Damaged());
}

Outcome<std::string> SnapshotFile::ReadRecord(const Piece& piece) const {
  auto record = file_->ReadAt(piece.file_offset, piece.record_bytes);
  if (!record) {
    return record.refusal();
  }
  const auto header = RecordHeader::Read(*record);
  const auto payload = header ? header->VerifiedPayload(*record) : std::nullopt;
  if (!payload) {
    return Damaged();
  }
  return std::string(*payload);
}

Outcome<std::string> SnapshotFile::Read(uint64_t offset, size_t bytes) const {
  std::string found;
  auto piece = std::upper_bound(
      pieces_.begin(), pieces_.end(), offset,
      [](uint64_t at, const Piece& item) { return at < item.state_offset; });
  if (piece != pieces_.begin()) {
    --piece;
  }
  for (; piece != pieces_.end() && found.size() < bytes; ++piece) {
    const uint64_t skipped = offset + found.size() - piece->state_offset;
    if (skipped >= piece->payload_bytes) {
      continue;
    }
    const size_t wanted =
        std::min<size_t>(bytes - found.size(), piece->payload_bytes - skipped);
    const auto part = file_->ReadAt(
        piece->file_offset + RecordHeader::kBytes + skipped, wanted);
    if (!part) {
      return part.refusal();
    }
    if (part->size() != wanted) {
      return Damaged();
    }
    found += *part;
  }
  return found;
}

Status SnapshotFile::ForEachPiece(
    const std::function<Status(std::string_view piece)>& take) const {
  for (const Piece& piece : pieces_) {
    const auto payload = ReadRecord(piece);
    if (!payload) {
      return payload.refusal();
    }
    if (Status status = take(*payload); !status) {
      return status;
    }
  }
  return Done{};
}

Outcome<Snapshot> SnapshotFile::ReadAll() const {
  Snapshot snapshot{meta_, {}};
  snapshot.data.reserve(size_);
  const Status status = ForEachPiece([&](std::string_view piece) {
    snapshot.data += piece;
    return Status(Done{});
  });
  return status ? Outcome<Snapshot>(std::move(snapshot)) : status.refusal();
}

}  // namespace ring
