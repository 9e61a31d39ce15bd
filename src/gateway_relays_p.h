#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "persimmonring/core.h"

namespace ring {

/// Other entries that relay connections to upstreams, as keepers list them.
class RelayTable {
 public:
  /// A keeper has listed the relay.
  void OnListed(const Endpoint& relay, int64_t now_ms);
  /// A connection through the relay was established, or the relay failed or
  /// cannot reach upstreams itself.
  void OnResult(const Endpoint& relay, bool established, int64_t now_ms);
  /// @returns a relay that has not failed lately; nullopt: none is known
  std::optional<Endpoint> Choose(uint64_t random, int64_t now_ms) const;
  /// Drops relays that no keeper has listed for a long time.
  void Expire(int64_t now_ms);
  size_t size() const { return relays_.size(); }

 private:
  struct Relay {
    int64_t listed_ms = 0;
    int64_t avoided_until_ms = 0;
  };
  std::map<Endpoint, Relay> relays_;
};

}  // namespace ring
