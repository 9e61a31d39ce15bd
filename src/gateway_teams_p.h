#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "persimmonring/gateway.h"

namespace ring {

/// What an entry knows about its table of keys.
struct KeyConfirmation {
  bool keys_valid = true;  ///< Keys of the table may be accepted.
  int64_t age_ms =
      0;  ///< Since the table was known to be the newest; -1: never.

  auto operator<=>(const KeyConfirmation&) const = default;
};

enum class KeyVerdict : uint8_t {
  kAccepted,
  kUnknown,      ///< No team has the key, or there is none.
  kUnconfirmed,  ///< A newer configuration may say otherwise.
};

struct KeyCheck {
  KeyVerdict verdict = KeyVerdict::kAccepted;
  const Team* team = nullptr;  ///< Of the table; null: none.

  auto operator<=>(const KeyCheck&) const = default;
};

/// A key counts as unknown only if the table was the newest one at most this
/// long ago. Shorter than the 3,000 ms within which a new key comes into force
/// everywhere, because the caller of an unknown key gives up; longer than the
/// 1,000 ms between two leases of an idle entry.
constexpr int64_t kMaxUnknownKeyAgeMs = 2'500;

/// Decides whether a request may run. Needs only fields of the head, so that
/// the request can be refused before its body is read.
/// @param key see CallerRequest::key
KeyCheck CheckKey(const RouteTable& table,
                  const Route& route,
                  const std::string& key,
                  const KeyConfirmation& confirmation);

/// Labels of teams in metrics. Bounded: a configuration may name thousands of
/// teams, and each label is kept until the process exits.
class TeamLabels {
 public:
  static constexpr size_t kMaxLabels = 200;

  /// @param team null: none
  /// @returns the name of the team, "none", or "other" once there are
  ///          kMaxLabels names
  std::string LabelOf(const Team* team);

 private:
  std::set<std::string> labels_;
};

}  // namespace ring
