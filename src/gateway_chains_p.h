#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace ring {

/// Packs a text for the state group, which keeps, copies and sends it several
/// times.
std::string PackText(const std::string& text);
/// @returns the text, or nullopt if the bytes are damaged
std::optional<std::string> UnpackText(const std::string& packed);

/// Bodies of whole chains by the turn they end with, least recently used first
/// out. A hint: the state group decides whether a turn exists.
class ChainCache {
 public:
  using Text = std::shared_ptr<const std::string>;

  explicit ChainCache(size_t max_bytes) : max_bytes_(max_bytes) {}
  Text Find(const std::string& turn);
  /// @returns the instance that ran a turn; empty if it is not known
  std::string UpstreamOf(const std::string& turn) const;
  /// @param upstream instance that ran the turn; empty: not known
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
