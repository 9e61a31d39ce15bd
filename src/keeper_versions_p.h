#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "persimmonring/core.h"

namespace ring {

/// Configuration versions that nodes have reported in their polls. Each keeper
/// holds its table in memory only and sends it to the leader of the control
/// group. The number of nodes is bounded, and reports older than a minute are
/// dropped. Not thread-safe.
class NodeVersionTable {
 public:
  /// Records the version that a node reported.
  void Report(const std::string& node, uint64_t version, int64_t now_ms);
  /// Merges the table of another keeper; the latest report of a node wins.
  /// @returns corrupt_data if the bytes are not a NodeVersions table
  Status Merge(std::string_view payload, int64_t now_ms);
  /// Drops old reports.
  /// @returns the table, encoded as NodeVersions of schema/keeper.fbs
  std::string Encode(int64_t now_ms);
  bool empty() const { return rows_.empty(); }

 private:
  struct Row {
    uint64_t version = 0;
    int64_t reported_ms = 0;
  };
  void Update(const std::string& node, Row row);

  std::map<std::string, Row> rows_;
};

}  // namespace ring
