#pragma once

#include <string>
#include <unordered_map>

#include "persimmonring/gateway.h"

namespace ring {

/// Upstream that probably has the start of a prompt in its cache.
struct CachedPrompt {
  std::string instance;  ///< Empty: unknown.
  int64_t tokens = 0;    ///< Length of the cached start of the prompt, tokens.

  auto operator<=>(const CachedPrompt&) const = default;
};

/// Remembers which upstream last ran the turns of a session or processed the
/// parts of a prompt. Also serves sub-agents, whose prompt begins with that of
/// their parent, and turns that the ring does not keep. Only a hint; bounded in
/// size.
class AffinityCache {
 public:
  explicit AffinityCache(size_t max_entries) : max_entries_(max_entries) {}

  CachedPrompt Find(const CallerRequest& request) const;
  /// Records that an upstream has answered a request.
  void Record(const CallerRequest& request, const std::string& instance);

 private:
  const std::string* FindKey(const std::string& key) const;

  const size_t max_entries_;  // Limit for each generation.
  // When the newer generation is full, it replaces the older one.
  std::unordered_map<std::string, std::string> newer_;
  std::unordered_map<std::string, std::string> older_;
};

}  // namespace ring
