#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "persimmonring/core.h"

namespace ring {

/// Configuration versions that nodes reported when they polled: soft state,
/// kept by each keeper and passed on to the leader of the control group.
/// Bounded; a node that has been silent for a minute is dropped. Used by one
/// thread.
class NodeVersionTable {
 public:
  void Report(const std::string& node, uint64_t version, int64_t now_ms);
  /// Takes in the table of another keeper; the latest report of a node counts.
  /// @returns corrupt_data if the bytes are not a NodeVersions table
  Status Merge(std::string_view payload, int64_t now_ms);
  /// @returns an encoded NodeVersions table
  std::string Encode(int64_t now_ms);
  bool empty() const { return rows_.empty(); }

 private:
  struct Row {
    uint64_t version = 0;
    int64_t reported_ms = 0;
  };
  void Take(const std::string& node, Row row);

  std::map<std::string, Row> rows_;
};

}  // namespace ring
