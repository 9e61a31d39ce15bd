#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonring/log.h"

namespace ring {

/// One record of the log file.
struct WalBatch {
  /// Set in the first record of the file only; start_index and start_term are
  /// then the position before the first entry.
  bool start = false;
  uint64_t start_index = 0;
  uint64_t start_term = 0;
  std::optional<HardState> hard_state;
  std::vector<LogEntry> entries;
};

std::string EncodeWalBatch(const WalBatch& batch);
Outcome<WalBatch> DecodeWalBatch(std::string_view bytes);
std::string EncodeSnapshotMeta(const SnapshotMeta& meta);
Outcome<SnapshotMeta> DecodeSnapshotMeta(std::string_view bytes);

}  // namespace ring
