#include "keeper_settings.h"

#include <algorithm>
#include <set>

namespace ring {
namespace {

constexpr int64_t kMaxNameBytes = 64;
constexpr int64_t kMaxKeepers = 64;
constexpr int64_t kMaxGroups = 64;
constexpr int64_t kMaxMembers = 9;

SettingSpec Name(const std::string& key, const std::string& doc) {
  return {.key = key,
          .type = SettingType::kString,
          .required = true,
          .min = 1,
          .max = kMaxNameBytes,
          .doc = doc};
}

SettingSpec Number(const std::string& key,
                   const std::string& unit,
                   const std::string& value,
                   int64_t min,
                   int64_t max,
                   const std::string& doc) {
  return {.key = key,
          .type = SettingType::kInt,
          .unit = unit,
          .default_value = value,
          .min = min,
          .max = max,
          .doc = doc};
}

SettingTable MemberTable() {
  SettingSpec replica =
      Number("replica", "", "", 1, 0, "Replica id; never reused.");
  replica.required = true;
  return {replica, Name("node", "Keeper that runs the replica.")};
}

SettingTable GroupTable() {
  SettingSpec replica =
      Number("replica", "", "", 1, 0,
             "Id of the replica that this keeper runs. A replica whose data "
             "was lost gets a new id.");
  replica.required = true;
  return {
      Name("name", "\"control\" or the name of a domain."),
      replica,
      {.key = "initial_members",
       .type = SettingType::kObjectList,
       .min = 0,
       .max = kMaxMembers,
       .items = MemberTable(),
       .doc = "Voters of a new group, the same on each of them; empty for a "
              "replica that joins an existing group."}};
}

SettingTable KeeperTable() {
  return {Name("node", "Node name of the keeper."),
          {.key = "address",
           .type = SettingType::kEndpoint,
           .required = true,
           .doc = "Address where the keeper listens."},
          Name("domain", "Failure domain of the keeper.")};
}

std::vector<SettingSpec> LimitRows() {
  return {
      Number("limits.max_pending_proposals", "", "4096", 1, 1'000'000,
             "Requests that may wait for one group; more are refused with "
             "queue_full."),
      Number("limits.max_turns", "", "512", 1, 0,
             "Largest number of calls of a program."),
      Number("limits.max_history_tokens", "tokens", "200000", 1, 0,
             "Largest history of a program."),
      Number("limits.max_budget_tokens", "tokens", "100000000", 1, 0,
             "Largest budget of a program."),
      Number("limits.tombstone_ms", "ms", "600000", 0, 0,
             "Time for which the record of an ended program is kept."),
  };
}

std::string ItemPath(const std::string& list, size_t i) {
  return list + "[" + std::to_string(i) + "]";
}

void CheckMembers(const Settings& settings,
                  const Settings& group,
                  const std::set<std::string>& keepers,
                  const std::string& path,
                  SettingErrorList& errors) {
  std::set<int64_t> ids;
  bool lists_self = group.ObjectList("initial_members").empty();
  size_t i = 0;
  for (const Settings& member : group.ObjectList("initial_members")) {
    const std::string item = ItemPath(path + ".initial_members", i++);
    if (!ids.insert(member.Int("replica")).second) {
      errors.Add(item + ".replica", "is used by another member");
    }
    if (!keepers.contains(member.String("node"))) {
      errors.Add(item + ".node", "is not in the list of keepers");
    }
    lists_self =
        lists_self || (member.Int("replica") == group.Int("replica") &&
                       member.String("node") == settings.String("node"));
  }
  if (!lists_self) {
    errors.Add(path + ".initial_members",
               "must list this node with its replica id, or be empty for a "
               "replica that joins");
  }
}

}  // namespace

SettingTable KeeperSettingTable() {
  SettingTable table = {
      Name("ring", "Name of the ring; peers of another ring are refused."),
      Name("node", "Name of this keeper, unique in the ring."),
      Name("domain", "Failure domain of this VM."),
      Name("region", "Region of this VM."),
      {.key = "listen",
       .type = SettingType::kEndpoint,
       .required = true,
       .doc = "Address for keepers, entries and operators."},
      {.key = "data_folder",
       .type = SettingType::kString,
       .required = true,
       .min = 1,
       .doc = "Data folder; holds a folder for each group."},
      {.key = "metrics_address",
       .type = SettingType::kEndpoint,
       .doc = "Serves /metrics; empty: not served."},
      {.key = "health_address",
       .type = SettingType::kEndpoint,
       .doc = "Serves /healthz and /readyz; empty: not served."},
      {.key = "keepers",
       .type = SettingType::kObjectList,
       .required = true,
       .min = 1,
       .max = kMaxKeepers,
       .items = KeeperTable(),
       .doc = "All keepers of the ring."},
      {.key = "groups",
       .type = SettingType::kObjectList,
       .required = true,
       .min = 1,
       .max = kMaxGroups,
       .items = GroupTable(),
       .doc = "Replicas that this keeper runs."},
      Number("tick_ms", "ms", "50", 5, 1'000, "Length of a Raft tick."),
      Number("heartbeat_ticks", "ticks", "2", 1, 100,
             "Time between heartbeats of a leader."),
      Number("election_ticks", "ticks", "20", 3, 1'000,
             "Shortest election timeout; the longest is twice as long. At "
             "least 3 * heartbeat_ticks."),
      Number("snapshot_entries", "", "20000", 16, 10'000'000,
             "Log length that triggers a snapshot."),
      Number("hand_over_ms", "ms", "3000", 0, 60'000,
             "Longest wait for another keeper to take over leadership at a "
             "graceful shutdown.")};
  for (const SettingTable& rows : {LogSettings(), LimitRows()}) {
    table.insert(table.end(), rows.begin(), rows.end());
  }
  return table;
}

void CheckKeeperSettings(const Settings& settings, SettingErrorList& errors) {
  constexpr int64_t kMinHeartbeatsPerElection = 3;
  std::set<std::string> keepers;
  size_t i = 0;
  for (const Settings& keeper : settings.ObjectList("keepers")) {
    if (!keepers.insert(keeper.String("node")).second) {
      errors.Add(ItemPath("keepers", i) + ".node", "is listed twice");
    }
    ++i;
  }
  if (!keepers.contains(settings.String("node"))) {
    errors.Add("node", "is not in the list of keepers");
  }
  std::set<std::string> groups;
  i = 0;
  for (const Settings& group : settings.ObjectList("groups")) {
    const std::string path = ItemPath("groups", i++);
    if (!groups.insert(group.String("name")).second) {
      errors.Add(path + ".name", "is listed twice");
    }
    if (group.String("name").find_first_not_of(
            "abcdefghijklmnopqrstuvwxyz0123456789-") != std::string::npos) {
      errors.Add(path + ".name", "must consist of a-z, 0-9 and '-'");
    }
    CheckMembers(settings, group, keepers, path, errors);
  }
  if (settings.Int("election_ticks") <
      kMinHeartbeatsPerElection * settings.Int("heartbeat_ticks")) {
    errors.Add("election_ticks", "must be at least 3 * heartbeat_ticks");
  }
}

KeeperHostInit ToHostInit(const Settings& settings) {
  KeeperHostInit init;
  init.ring = settings.String("ring");
  init.node = settings.String("node");
  init.data_folder = settings.String("data_folder");
  for (const Settings& keeper : settings.ObjectList("keepers")) {
    init.keepers[keeper.String("node")] = keeper.Address("address");
  }
  for (const Settings& group : settings.ObjectList("groups")) {
    ReplicaSpec spec;
    spec.group = group.String("name");
    spec.id = static_cast<ReplicaId>(group.Int("replica"));
    for (const Settings& member : group.ObjectList("initial_members")) {
      spec.initial_members.push_back(
          {static_cast<ReplicaId>(member.Int("replica")), member.String("node"),
           true});
    }
    init.replicas.push_back(std::move(spec));
  }
  init.tick_ms = settings.Int("tick_ms");
  init.heartbeat_ticks = static_cast<int32_t>(settings.Int("heartbeat_ticks"));
  init.election_ticks = static_cast<int32_t>(settings.Int("election_ticks"));
  init.snapshot_entries =
      static_cast<uint64_t>(settings.Int("snapshot_entries"));
  init.max_pending_proposals =
      static_cast<size_t>(settings.Int("limits.max_pending_proposals"));
  init.program_limits.max_turns =
      static_cast<uint64_t>(settings.Int("limits.max_turns"));
  init.program_limits.max_history_tokens =
      settings.Int("limits.max_history_tokens");
  init.program_limits.max_budget_tokens =
      settings.Int("limits.max_budget_tokens");
  init.program_limits.tombstone_ms = settings.Int("limits.tombstone_ms");
  return init;
}

Hub::Init ToHubInit(const Settings& settings) {
  Hub::Init init;
  init.ring = settings.String("ring");
  init.node = settings.String("node");
  init.domain = settings.String("domain");
  init.region = settings.String("region");
  init.listen = settings.Address("listen");
  return init;
}

}  // namespace ring
