#include "gateway_teams_p.h"

namespace ring {

KeyCheck CheckKey(const RouteTable& table,
                  const Route& route,
                  const std::string& key,
                  const KeyConfirmation& confirmation) {
  if (!table.has_teams()) {
    return {};
  }
  const Team* team = table.FindTeam(key);
  if (team != nullptr) {
    return {confirmation.keys_valid ? KeyVerdict::kAccepted
                                    : KeyVerdict::kUnconfirmed,
            team};
  }
  if (route.anonymous) {
    return {};
  }
  const bool confirmed = confirmation.keys_valid && confirmation.age_ms >= 0 &&
                         confirmation.age_ms <= kMaxUnknownKeyAgeMs;
  return {confirmed ? KeyVerdict::kUnknown : KeyVerdict::kUnconfirmed, nullptr};
}

std::string TeamLabels::LabelOf(const Team* team) {
  if (team == nullptr) {
    return "none";
  }
  if (labels_.contains(team->name)) {
    return team->name;
  }
  if (labels_.size() >= kMaxLabels) {
    return "other";
  }
  labels_.insert(team->name);
  return team->name;
}

}  // namespace ring
