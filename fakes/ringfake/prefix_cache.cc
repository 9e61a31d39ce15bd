#include "fakes/ringfake/prefix_cache.h"

#include <algorithm>

namespace ring::fakes {
namespace {

constexpr size_t kMaxEvents = 10'000;

size_t CommonPrefix(const std::string& a, const std::string& b) {
  const size_t size = std::min(a.size(), b.size());
  return static_cast<size_t>(
      std::mismatch(a.begin(), a.begin() + static_cast<ptrdiff_t>(size),
                    b.begin())
          .first -
      a.begin());
}

// Rounds down, because only complete tokens can be reused.
int64_t WholeTokens(size_t bytes) {
  constexpr size_t kBytesPerToken = 4;
  return static_cast<int64_t>(bytes / kBytesPerToken);
}

}  // namespace

PrefixCache::PrefixCache(const Options& options, const ClockI& clock)
    : options_(options), clock_(clock), rng_(options.seed) {}

std::optional<int64_t> PrefixCache::Begin(const std::string& key,
                                          const std::string& text,
                                          int64_t tokens) {
  std::lock_guard lock(mutex_);
  const int64_t prompt = CountTokens(text.size());
  int64_t cached = 0;
  const auto it = keys_.find(key);
  if (!key.empty() && it != keys_.end()) {
    cached = WholeTokens(CommonPrefix(it->second.text, text));
    ++it->second.pins;  // Keeps MakeRoom from evicting its own prefix.
  }
  // An engine always computes at least the last token of a prompt.
  cached = std::min(cached, prompt - 1);
  if (!MakeRoom(tokens - cached)) {
    if (it != keys_.end()) {
      --it->second.pins;
    }
    return std::nullopt;
  }
  used_ += tokens - cached;
  computed_tokens_ += prompt - cached;
  cached_tokens_ += cached;
  if (!key.empty()) {
    auto& entry = keys_[key];
    if (it == keys_.end()) {
      ++entry.pins;
    }
    MarkRecentlyUsed(key, entry);
    auto& history = history_[key];
    history.computed_tokens += prompt - cached;
    const int64_t seen = std::min(
        WholeTokens(CommonPrefix(history.longest_text, text)), prompt - 1);
    history.recomputed_tokens += std::max<int64_t>(0, seen - cached);
    recomputed_tokens_ += std::max<int64_t>(0, seen - cached);
  }
  return cached;
}

void PrefixCache::Finish(const std::string& key,
                         std::string text,
                         int64_t reserved) {
  std::lock_guard lock(mutex_);
  used_ -= reserved;
  const auto it = keys_.find(key);
  if (key.empty() || it == keys_.end()) {
    return;
  }
  auto& entry = it->second;
  --entry.pins;
  auto& history = history_[key];
  if (text.size() >= history.longest_text.size()) {
    history.longest_text = text;
  }
  const int64_t tokens = CountTokens(text.size());
  used_ += tokens - entry.tokens;
  entry.tokens = tokens;
  entry.text = std::move(text);
  RecordHeldTokens(key, tokens);
  AddEvent(key, tokens);
  if (entry.drop_when_unpinned && entry.pins == 0) {
    Drop(it);
  }
}

bool PrefixCache::Release(const std::string& key) {
  std::lock_guard lock(mutex_);
  ++releases_;
  const auto it = keys_.find(key);
  if (it == keys_.end()) {
    return true;
  }
  if (it->second.pins > 0) {
    it->second.drop_when_unpinned = true;
    return false;
  }
  Drop(it);
  return true;
}

std::optional<std::string> PrefixCache::Export(const std::string& key) {
  std::lock_guard lock(mutex_);
  const auto it = keys_.find(key);
  if (it == keys_.end() || it->second.text.empty()) {
    return std::nullopt;
  }
  return it->second.text;
}

bool PrefixCache::Import(const std::string& key, std::string text) {
  std::lock_guard lock(mutex_);
  const int64_t tokens = CountTokens(text.size());
  auto& entry = keys_[key];
  if (entry.pins > 0) {
    return false;
  }
  ++entry.pins;
  const bool fits = MakeRoom(tokens - entry.tokens);
  --entry.pins;
  if (!fits) {
    return false;
  }
  used_ += tokens - entry.tokens;
  entry.tokens = tokens;
  entry.text = std::move(text);
  auto& history = history_[key];
  if (entry.text.size() >= history.longest_text.size()) {
    history.longest_text = entry.text;
  }
  MarkRecentlyUsed(key, entry);
  RecordHeldTokens(key, tokens);
  AddEvent(key, tokens);
  return true;
}

bool PrefixCache::MakeRoom(int64_t tokens) {
  while (used_ + tokens > options_.cache_tokens) {
    const auto victim = std::find_if(
        lru_.begin(), lru_.end(),
        [this](const auto& name) { return keys_[name].pins == 0; });
    if (victim == lru_.end()) {
      return false;
    }
    ++evictions_;
    Drop(keys_.find(*victim));
  }
  return true;
}

void PrefixCache::Drop(std::map<std::string, CachedText>::iterator it) {
  used_ -= it->second.tokens;
  RecordHeldTokens(it->first, 0);
  AddEvent(it->first, 0);
  if (it->second.in_lru) {
    lru_.erase(it->second.lru_position);
  }
  keys_.erase(it);
}

void PrefixCache::MarkRecentlyUsed(const std::string& name, CachedText& key) {
  if (key.in_lru) {
    lru_.erase(key.lru_position);
  }
  key.lru_position = lru_.insert(lru_.end(), name);
  key.in_lru = true;
}

void PrefixCache::RecordHeldTokens(const std::string& name, int64_t tokens) {
  auto& history = history_[name];
  const int64_t now = clock_.NowMs();
  history.held_token_ms += static_cast<double>(history.held_tokens) *
                           static_cast<double>(now - history.held_since_ms);
  history.held_tokens = tokens;
  history.held_since_ms = now;
}

void PrefixCache::AddEvent(const std::string& name, int64_t tokens) {
  const uint64_t number = next_event_++;
  if (std::uniform_real_distribution<>(0, 1)(rng_) < options_.event_loss) {
    return;
  }
  events_.push_back({number, name, tokens, clock_.NowMs()});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

nlohmann::json PrefixCache::Events(uint64_t since) const {
  std::lock_guard lock(mutex_);
  auto list = nlohmann::json::array();
  const int64_t visible_until_ms = clock_.NowMs() - options_.event_delay_ms;
  for (const auto& event : events_) {
    if (event.number > since && event.at_ms <= visible_until_ms) {
      list.push_back({{"number", event.number},
                      {"cache_key", event.key},
                      {"tokens", event.tokens}});
    }
  }
  return list;
}

int64_t PrefixCache::used_tokens() const {
  std::lock_guard lock(mutex_);
  return used_;
}

nlohmann::json PrefixCache::Stats() const {
  std::lock_guard lock(mutex_);
  return {{"prefill_computed_tokens", computed_tokens_},
          {"prefill_cached_tokens", cached_tokens_},
          {"prefill_recomputed_tokens", recomputed_tokens_},
          {"cache_used_tokens", used_},
          {"cache_capacity_tokens", options_.cache_tokens},
          {"cache_keys", keys_.size()},
          {"evictions", evictions_},
          {"releases", releases_}};
}

nlohmann::json PrefixCache::Keys() const {
  std::lock_guard lock(mutex_);
  auto result = nlohmann::json::object();
  const int64_t now = clock_.NowMs();
  for (const auto& [name, history] : history_) {
    result[name] = {
        {"held_tokens", history.held_tokens},
        {"held_token_ms",
         history.held_token_ms +
             static_cast<double>(history.held_tokens) *
                 static_cast<double>(now - history.held_since_ms)},
        {"computed_tokens", history.computed_tokens},
        {"recomputed_tokens", history.recomputed_tokens},
        {"longest_tokens", CountTokens(history.longest_text.size())}};
  }
  return result;
}

}  // namespace ring::fakes
