#include <algorithm>

#include "persimmonring/gateway.h"

namespace ring {
namespace {

std::string LowerHost(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string lower(host);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

Refusal Invalid(const std::string& text) {
  return {Reason::kBadRequest, RunState::kNotRun, text};
}

// Names and keys of teams are values of headers.
bool IsHeaderValue(std::string_view text) {
  return !text.empty() && text.front() != ' ' && text.back() != ' ' &&
         std::none_of(text.begin(), text.end(), [](char c) {
           constexpr unsigned char kFirstPrintable = 0x20;
           constexpr unsigned char kDelete = 0x7f;
           const auto byte = static_cast<unsigned char>(c);
           return byte < kFirstPrintable || byte == kDelete;
         });
}

}  // namespace

RouteTable::RouteTable(uint64_t version,
                       std::vector<Route> routes,
                       std::vector<ServiceSpec> services,
                       const HttpServerLimits& limits,
                       std::optional<std::vector<Team>> teams)
    : version_(version),
      routes_(std::move(routes)),
      limits_(limits),
      teams_(std::move(teams)) {
  for (ServiceSpec& service : services) {
    const std::string name = service.name;
    services_[name] = std::move(service);
  }
  for (size_t i = 0; i < routes_.size(); ++i) {
    by_host_[LowerHost(routes_[i].host)].emplace(routes_[i].path_prefix, i);
  }
  for (size_t i = 0; teams_ && i < teams_->size(); ++i) {
    const Team& team = (*teams_)[i];
    for (const std::string& key : team.keys) {
      team_by_key_.emplace(key, i);
    }
    if (team.quota.limit > 0) {
      quotas_.emplace(team.name, team.quota);
    }
  }
}

const Team* RouteTable::FindTeam(std::string_view key) const {
  const auto found = team_by_key_.find(key);
  return found == team_by_key_.end() ? nullptr : &(*teams_)[found->second];
}

// Prefixes end with a slash, so only the parts of the path up to one of its
// slashes are looked up, longest first.
const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const auto prefixes = by_host_.find(LowerHost(host));
  if (prefixes == by_host_.end()) {
    return nullptr;
  }
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto found = prefixes->second.find(path.substr(0, end + 1));
    if (found != prefixes->second.end()) {
      return &routes_[found->second];
    }
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

Status RouteTable::Check() const {
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : routes_) {
    int64_t weight = 0;
    for (const RouteTarget& target : route.targets) {
      if (!services_.contains(target.service)) {
        return Invalid("route '" + route.name +
                       "' refers to unknown service '" + target.service + "'");
      }
      if (target.weight < 0) {
        return Invalid("route '" + route.name + "' has a negative weight");
      }
      weight += target.weight;
    }
    if (weight <= 0) {
      return Invalid("the weights of route '" + route.name + "' add up to 0");
    }
    if (route.timeout_ms <= 0) {
      return Invalid("route '" + route.name + "' has no timeout");
    }
    if (!places.emplace(LowerHost(route.host), route.path_prefix).second) {
      return Invalid("route '" + route.name +
                     "' has the same host and path prefix as another route");
    }
  }
  return teams_ ? CheckTeams() : Done{};
}

// Messages do not contain keys, because they are logged.
Status RouteTable::CheckTeams() const {
  std::set<std::string> names;
  for (size_t i = 0; i < teams_->size(); ++i) {
    const Team& team = (*teams_)[i];
    if (!IsHeaderValue(team.name)) {
      return Invalid("the name of a team is empty or no valid header value");
    }
    if (!names.insert(team.name).second) {
      return Invalid("two teams have the name '" + team.name + "'");
    }
    for (const std::string& key : team.keys) {
      if (!IsHeaderValue(key)) {
        return Invalid("a key of team '" + team.name +
                       "' is empty or no valid header value");
      }
      const size_t owner = team_by_key_.at(key);
      if (owner != i) {
        return Invalid("teams '" + (*teams_)[owner].name + "' and '" +
                       team.name + "' have the same key");
      }
    }
  }
  return Done{};
}

}  // namespace ring
