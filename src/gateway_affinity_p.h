#pragma once

#include <string>
#include <unordered_map>

#include "persimmonring/gateway.h"

namespace ring {

/// Where the start of a prompt is believed to be cached.
struct CachedPrompt {
  std::string instance;  ///< Empty: not known.
  int64_t tokens = 0;    ///< Of the prompt, from its start.

  auto operator<=>(const CachedPrompt&) const = default;
};

/// Remembers which upstream ran the turns of a session and read the parts of a
/// prompt last. Answers sub-agents, whose prompt begins with that of their
/// parent, and turns whose chain the ring does not keep. A hint, bounded.
class AffinityCache {
 public:
  explicit AffinityCache(size_t max_entries) : max_entries_(max_entries) {}

  CachedPrompt Find(const CallerRequest& request) const;
  /// An upstream has answered a request.
  void Note(const CallerRequest& request, const std::string& instance);

 private:
  const std::string* FindKey(const std::string& key) const;

  const size_t max_entries_;  // Of each generation.
  // The older generation is dropped when the newer one is full.
  std::unordered_map<std::string, std::string> newer_;
  std::unordered_map<std::string, std::string> older_;
};

}  // namespace ring
