#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace ring {

/// Compresses a text for the state group, which stores, copies and sends it
/// several times.
std::string CompressText(const std::string& text);
/// @returns the text, or nullopt if the data is corrupt
std::optional<std::string> DecompressText(const std::string& compressed);

/// LRU cache of the bodies of whole chains, by the id of their last turn. Only
/// a hint: the state group decides whether a turn exists.
class ChainCache {
 public:
  using Text = std::shared_ptr<const std::string>;

  explicit ChainCache(size_t max_bytes) : max_bytes_(max_bytes) {}
  Text Find(const std::string& turn);
  /// @returns the instance that ran a turn; empty: unknown
  std::string UpstreamOf(const std::string& turn) const;
  /// @param upstream instance that ran the turn; empty: unknown
  void Put(const std::string& turn, Text text, const std::string& upstream);
  size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    Text text;
    std::string upstream;
    std::list<std::string>::iterator position;
  };
  const size_t max_bytes_;
  size_t bytes_ = 0;
  std::list<std::string> order_;  // Most recently used first.
  std::unordered_map<std::string, Entry> entries_;
};

}  // namespace ring
