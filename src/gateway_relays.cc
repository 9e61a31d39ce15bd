#include "gateway_relays_p.h"

#include <vector>

namespace ring {
namespace {

// Time for which a relay is not used after it failed.
constexpr int64_t kAvoidedMs = 2'000;
// Keepers list each relay several times within this time.
constexpr int64_t kListedMs = 60'000;

}  // namespace

void RelayTable::OnListed(const Endpoint& relay, int64_t now_ms) {
  relays_[relay].listed_ms = now_ms;
}

void RelayTable::OnResult(const Endpoint& relay,
                          bool established,
                          int64_t now_ms) {
  const auto found = relays_.find(relay);
  if (found != relays_.end()) {
    found->second.avoided_until_ms = established ? 0 : now_ms + kAvoidedMs;
  }
}

std::optional<Endpoint> RelayTable::Choose(uint64_t random,
                                           int64_t now_ms) const {
  std::vector<Endpoint> usable;
  for (const auto& [address, relay] : relays_) {
    if (relay.avoided_until_ms <= now_ms) {
      usable.push_back(address);
    }
  }
  return usable.empty() ? std::nullopt
                        : std::optional(usable[random % usable.size()]);
}

void RelayTable::Expire(int64_t now_ms) {
  std::erase_if(relays_, [now_ms](const auto& item) {
    return item.second.listed_ms + kListedMs < now_ms;
  });
}

}  // namespace ring
