#include "gateway_chains_p.h"

#include <zstd.h>

namespace ring {
namespace {

// The repetitions of prompts are already found at the fastest levels.
constexpr int kCompressionLevel = 1;
// Upper bound of one turn: the largest request body and its response.
constexpr unsigned long long kMaxTextBytes = 64ull << 20;

}  // namespace

std::string CompressText(const std::string& text) {
  std::string compressed(ZSTD_compressBound(text.size()), '\0');
  const size_t size =
      ZSTD_compress(compressed.data(), compressed.size(), text.data(),
                    text.size(), kCompressionLevel);
  // Cannot fail: the buffer has the size that ZSTD_compressBound() returned.
  compressed.resize(size);
  return compressed;
}

std::optional<std::string> DecompressText(const std::string& compressed) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(compressed.data(), compressed.size());
  if (size > kMaxTextBytes) {
    return std::nullopt;
  }
  std::string text(size, '\0');
  const size_t got = ZSTD_decompress(text.data(), text.size(),
                                     compressed.data(), compressed.size());
  return got == text.size() ? std::optional(std::move(text)) : std::nullopt;
}

ChainCache::Text ChainCache::Find(const std::string& turn) {
  const auto found = entries_.find(turn);
  if (found == entries_.end()) {
    return nullptr;
  }
  order_.splice(order_.begin(), order_, found->second.position);
  return found->second.text;
}

std::string ChainCache::UpstreamOf(const std::string& turn) const {
  const auto found = entries_.find(turn);
  return found == entries_.end() ? std::string() : found->second.upstream;
}

void ChainCache::Put(const std::string& turn,
                     Text text,
                     const std::string& upstream) {
  if (entries_.contains(turn) || text->size() > max_bytes_) {
    return;
  }
  bytes_ += text->size();
  order_.push_front(turn);
  entries_[turn] = {std::move(text), upstream, order_.begin()};
  while (bytes_ > max_bytes_) {
    const auto oldest = entries_.find(order_.back());
    bytes_ -= oldest->second.text->size();
    entries_.erase(oldest);
    order_.pop_back();
  }
}

}  // namespace ring
