#include "gateway_chains_p.h"

namespace ring {

ChainCache::Text ChainCache::Find(const std::string& turn) {
  const auto found = entries_.find(turn);
  if (found == entries_.end()) {
    return nullptr;
  }
  order_.splice(order_.begin(), order_, found->second.position);
  return found->second.text;
}

void ChainCache::Put(const std::string& turn, Text text) {
  if (entries_.contains(turn) || text->size() > max_bytes_) {
    return;
  }
  bytes_ += text->size();
  order_.push_front(turn);
  entries_[turn] = {std::move(text), order_.begin()};
  while (bytes_ > max_bytes_) {
    const auto oldest = entries_.find(order_.back());
    bytes_ -= oldest->second.text->size();
    entries_.erase(oldest);
    order_.pop_back();
  }
}

}  // namespace ring
