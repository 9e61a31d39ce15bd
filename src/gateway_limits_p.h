#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "persimmonring/gateway.h"

namespace ring {

/// Limits that upstreams name in their answers, as this entry knows them.
class UpstreamLimits {
 public:
  /// What is known of an incarnation of an upstream.
  struct Observation {
    int64_t born_ms = 0;           ///< Start of the incarnation.
    std::optional<int64_t> limit;  ///< Requests per 1,000 s; nullopt: none.
    int64_t at_ms = 0;             ///< When it was learned.

    auto operator<=>(const Observation&) const = default;
  };

  /// Records what the answer of an upstream says. An answer without a limit
  /// ends the limit, one whose limit is unreadable changes nothing.
  /// @returns the earlier observation if the limit has changed
  std::optional<Observation> OnAnswer(const UpstreamInstance& upstream,
                                      const UpstreamResponse& answer,
                                      int64_t now_ms);
  /// @returns requests per 1,000 s; nullopt: the incarnation named no limit
  std::optional<int64_t> LimitOf(const UpstreamInstance& upstream) const;
  /// Forgets upstreams that have not answered for a long time.
  void Expire(int64_t now_ms);

 private:
  std::map<std::string, Observation> observations_;  ///< By instance.
};

}  // namespace ring
