#pragma once

#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "fakes/ringfake/options.h"
#include "persimmonring/core.h"

namespace ring::fakes {

/// Prefix cache with one cached text per key and least-recently-used eviction.
/// Memory is counted in tokens. A request in the batch pins its key.
/// Thread-safe.
class PrefixCache {
 public:
  PrefixCache(const Options& options, const ClockI& clock);

  /// Reserves memory for a request and pins its key.
  /// @param text complete prompt
  /// @param tokens tokens of prompt and answer together
  /// @returns number of prompt tokens found in the cache, or nullopt if not
  ///          enough memory is free yet
  std::optional<int64_t> Begin(const std::string& key,
                               const std::string& text,
                               int64_t tokens);
  /// Ends a request: frees its reservation and caches its text for the key.
  void Finish(const std::string& key, std::string text, int64_t reserved);
  /// Drops the cached text of a key.
  /// @returns false if the key is pinned; it is dropped once it is unpinned
  bool Release(const std::string& key);
  std::optional<std::string> Export(const std::string& key);
  bool Import(const std::string& key, std::string text);

  /// @returns events numbered after `since` that are older than event_delay_ms
  nlohmann::json Events(uint64_t since) const;
  int64_t used_tokens() const;
  nlohmann::json Stats() const;
  /// @returns for each key the tokens held now, the token-milliseconds held and
  ///          the tokens computed and recomputed
  nlohmann::json Keys() const;

 private:
  struct CachedText {
    std::string text;
    int64_t tokens = 0;  // Memory held for `text`.
    int pins = 0;
    bool drop_when_unpinned = false;
    std::list<std::string>::iterator lru_position;
    bool in_lru = false;
  };
  // Kept after a key is released or evicted.
  struct History {
    std::string longest_text;
    int64_t computed_tokens = 0;
    int64_t recomputed_tokens = 0;
    double held_token_ms = 0;
    int64_t held_tokens = 0;
    int64_t held_since_ms = 0;
  };
  struct TimedEvent {
    uint64_t number;
    std::string key;
    int64_t tokens;
    int64_t at_ms;
  };

  bool MakeRoom(int64_t tokens);
  void Drop(std::map<std::string, CachedText>::iterator it);
  void MarkRecentlyUsed(const std::string& name, CachedText& key);
  void RecordHeldTokens(const std::string& name, int64_t tokens);
  void AddEvent(const std::string& name, int64_t tokens);

  const Options& options_;
  const ClockI& clock_;
  mutable std::mutex mutex_;
  std::map<std::string, CachedText> keys_;
  std::map<std::string, History> history_;
  std::list<std::string> lru_;  // Front: least recently used.
  std::deque<TimedEvent> events_;
  uint64_t next_event_ = 1;
  int64_t used_ = 0;
  int64_t computed_tokens_ = 0;
  int64_t cached_tokens_ = 0;
  int64_t recomputed_tokens_ = 0;
  int64_t evictions_ = 0;
  int64_t releases_ = 0;
  Rng rng_;
};

}  // namespace ring::fakes
