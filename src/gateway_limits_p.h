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
  /// Records what the leader of the state group knows, unless this entry has
  /// learned something since `sent_ms`.
  void OnTold(const UpstreamInstance& upstream,
              std::optional<int64_t> limit,
              int64_t sent_ms);
  /// @returns the observation, unless it is too old to be reported
  std::optional<Observation> Recent(const UpstreamInstance& upstream,
                                    int64_t now_ms) const;
  /// Equal shares of the limits apply while no leader grants requests.
  /// @param entries number of entries that share the limit
  /// @param phase 0 to 1, different at each entry
  /// @returns time until the share lets a request pass, ms; 0 without a limit
  int64_t ShareWaitMs(const UpstreamInstance& upstream,
                      int64_t entries,
                      double phase,
                      int64_t now_ms);
  void TakeShare(const UpstreamInstance& upstream, int64_t now_ms);
  /// Forgets upstreams that have not answered for a long time.
  void Expire(int64_t now_ms);

 private:
  std::map<std::string, Observation> observations_;  ///< By instance.
  std::map<std::string, RequestPacer> shares_;       ///< By instance.
};

}  // namespace ring
