#include <iostream>
#include <memory>
#include <set>

#include "commands.h"
#include "core_flatbuffer_p.h"
#include "keeper.generated.h"
#include "output.h"

namespace ring {
namespace {

using nlohmann::json;

struct GroupOptions {
  std::vector<std::string> groups;
  std::string group;
  uint64_t replica = 0;
  std::string node;
  std::string domain;
  std::string operator_id;
};

/// Status of one group as reported by its replicas.
struct GroupReport {
  std::string group;
  std::vector<fb::GroupStatusT> replicas;

  /// @returns the leader of the highest term, because a deposed leader may
  ///          still report itself; nullptr if there is none
  const fb::GroupStatusT* Leader() const {
    const fb::GroupStatusT* leader = nullptr;
    for (const fb::GroupStatusT& replica : replicas) {
      if (replica.role == "leader" &&
          (leader == nullptr || replica.term > leader->term)) {
        leader = &replica;
      }
    }
    return leader;
  }
};

GroupReport ReadGroup(Connection& connection, const std::string& group) {
  GroupReport report;
  report.group = group;
  for (const auto& [node, peer] : connection.peers()) {
    const auto result = connection.client().CallNode(
        node, group, static_cast<uint8_t>(fb::KeeperOp::GroupStatus), "");
    if (!result) {
      continue;  // Usually a keeper without a replica of the group.
    }
    const FlatBufferView<fb::GroupStatus> view(*result);
    if (view) {
      fb::GroupStatusT status;
      view->UnPackTo(&status);
      report.replicas.push_back(std::move(status));
    }
  }
  return report;
}

json GroupJson(const GroupReport& report) {
  json replicas = json::array();
  for (const fb::GroupStatusT& replica : report.replicas) {
    replicas.push_back({{"node", replica.node},
                        {"replica", replica.replica},
                        {"role", replica.role},
                        {"term", replica.term},
                        {"commit_index", replica.commit_index},
                        {"applied_index", replica.applied_index},
                        {"last_index", replica.last_index},
                        {"snapshot_index", replica.snapshot_index}});
  }
  json members = json::array();
  const fb::GroupStatusT* leader = report.Leader();
  if (leader != nullptr) {
    for (const auto& member : leader->members) {
      members.push_back({{"replica", member->id},
                         {"node", member->node},
                         {"voter", member->voter},
                         {"match_index", member->match_index},
                         {"last_heard_ms", member->last_heard_ms}});
    }
  }
  return {{"group", report.group},
          {"leader", leader == nullptr ? "" : leader->node},
          {"term", leader == nullptr ? 0 : leader->term},
          {"commit_index", leader == nullptr ? 0 : leader->commit_index},
          {"members", members},
          {"replicas", replicas}};
}

void AddRows(const GroupReport& report, TextTable& table) {
  const fb::GroupStatusT* leader = report.Leader();
  if (leader == nullptr) {
    table.Add({report.group, "-", "-", "no leader", "-", "-", "-"});
    return;
  }
  for (const auto& member : leader->members) {
    const bool is_leader = member->id == leader->replica;
    table.Add(
        {report.group, member->node, std::to_string(member->id),
         is_leader       ? "leader"
         : member->voter ? "voter"
                         : "learner",
         std::to_string(leader->term),
         std::to_string(is_leader ? leader->commit_index : member->match_index),
         is_leader ? "-" : std::to_string(member->last_heard_ms) + " ms"});
  }
}

/// @returns the groups of the command line; by default the control group and
///          the groups of all connected keepers' domains
std::set<std::string> GroupsOf(Connection& connection,
                               const GroupOptions& options) {
  std::set<std::string> groups(options.groups.begin(), options.groups.end());
  if (groups.empty()) {
    groups.insert(kControlGroup);
    for (const auto& [node, peer] : connection.peers()) {
      groups.insert(peer.domain);
    }
  }
  return groups;
}

int ShowStatus(Connection& connection,
               const GroupOptions& options,
               bool as_json) {
  json groups = json::array();
  TextTable table(
      {"GROUP", "NODE", "REPLICA", "ROLE", "TERM", "INDEX", "LAST HEARD"});
  bool all_have_leader = true;
  for (const std::string& group : GroupsOf(connection, options)) {
    const GroupReport report = ReadGroup(connection, group);
    all_have_leader = all_have_leader && report.Leader() != nullptr;
    groups.push_back(GroupJson(report));
    AddRows(report, table);
  }
  json unreachable = json::array();
  for (const Endpoint& endpoint : connection.unreachable()) {
    unreachable.push_back(endpoint.ToString());
  }
  if (as_json) {
    PrintJson({{"groups", groups}, {"unreachable_keepers", unreachable}});
  } else {
    table.Print();
    for (const json& endpoint : unreachable) {
      std::cout << "keeper " << endpoint.get<std::string>()
                << " does not answer\n";
    }
  }
  return all_have_leader ? kExitOk : kExitFailure;
}

int ChangeReplicas(Connection& connection,
                   const GroupOptions& options,
                   fb::KeeperOp op) {
  flatbuffers::FlatBufferBuilder builder;
  const auto node = CreateOptionalString(builder, options.node);
  builder.Finish(fb::CreateReplicaChange(builder, options.replica, node));
  const auto result = connection.client().Call(
      options.group, static_cast<uint8_t>(op), BufferToString(builder));
  if (!result) {
    return Fail(result.refusal());
  }
  std::cout << "done\n";
  return kExitOk;
}

int DeclareDomainLost(Connection& connection, const GroupOptions& options) {
  const Status status =
      CreateControlStore(connection.client())
          ->DeclareDomainLost(options.domain, options.operator_id);
  if (!status) {
    return Fail(status.refusal());
  }
  std::cout << "domain " << options.domain << " is declared lost\n";
  return kExitOk;
}

void AddReplicaCommand(CLI::App& replica,
                       const char* name,
                       const char* doc,
                       fb::KeeperOp op,
                       GlobalOptions& options,
                       int& exit_code) {
  const auto command_options = std::make_shared<GroupOptions>();
  CLI::App* command = replica.add_subcommand(name, doc);
  const bool transfer = op == fb::KeeperOp::TransferLeader;
  const bool add = op == fb::KeeperOp::AddReplica;
  command->add_option("group", command_options->group, "Log group")->required();
  command->add_option("id", command_options->replica, "Replica id")
      ->required(!transfer);
  if (!transfer) {
    command
        ->add_option("node", command_options->node,
                     "Keeper that runs the replica")
        ->required(add);
  }
  command->callback([&options, &exit_code, command_options, op] {
    exit_code =
        WithConnection(options, [command_options, op](Connection& connection) {
          return ChangeReplicas(connection, *command_options, op);
        });
  });
}

}  // namespace

void AddGroupCommands(CLI::App& app, GlobalOptions& options, int& exit_code) {
  const auto command_options = std::make_shared<GroupOptions>();
  CLI::App* status = app.add_subcommand(
      "status",
      "Show the Raft groups: leader, term, commit index, members. Exit code 1 "
      "if a group has no leader");
  status
      ->add_option("--groups", command_options->groups,
                   "Groups, a,b,...; default: control and the domains of "
                   "the keepers")
      ->delimiter(',');
  status->callback([&options, &exit_code, command_options] {
    exit_code =
        WithConnection(options, [&options, command_options](Connection& c) {
          return ShowStatus(c, *command_options, options.json);
        });
  });
  CLI::App* replica =
      app.add_subcommand("replica", "Change the replicas of a group");
  replica->require_subcommand(1);
  AddReplicaCommand(*replica, "add",
                    "Add a replica; it votes once it has caught up",
                    fb::KeeperOp::AddReplica, options, exit_code);
  AddReplicaCommand(*replica, "remove",
                    "Remove a replica; its id is never used again",
                    fb::KeeperOp::RemoveReplica, options, exit_code);
  AddReplicaCommand(
      *replica, "transfer",
      "Transfer leadership to a replica, by default to any up-to-date one",
      fb::KeeperOp::TransferLeader, options, exit_code);
  CLI::App* domain = app.add_subcommand("domain", "Failure domains");
  domain->require_subcommand(1);
  CLI::App* lost = domain->add_subcommand(
      "lost", "Declare a domain lost; this cannot be undone");
  lost->add_option("domain", command_options->domain, "Domain")->required();
  lost->add_option("--operator", command_options->operator_id,
                   "Who declares it")
      ->required();
  lost->callback([&options, &exit_code, command_options] {
    exit_code =
        WithConnection(options, [command_options](Connection& connection) {
          return DeclareDomainLost(connection, *command_options);
        });
  });
}

}  // namespace ring
