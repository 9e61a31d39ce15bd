#include <filesystem>
#include <iostream>
#include <memory>

#include "commands.h"
#include "output.h"

namespace ring {
namespace {

using nlohmann::json;

Refusal Corrupt(const std::string& folder, const std::string& text) {
  return {Reason::kCorruptData, RunState::kNotRun, folder + ": " + text};
}

/// Reads the identity from the folder, so that Wal::Open, which compares it,
/// accepts the log of any ring and group.
Outcome<WalIdentity> ReadIdentity(DiskI& disk, const std::string& folder) {
  const auto text = disk.Read("identity.json");
  if (!text) {
    return text.refusal();
  }
  const json identity = json::parse(*text, nullptr, /*allow_exceptions=*/false);
  if (!identity.is_object()) {
    return Corrupt(folder, "identity.json is not a JSON object");
  }
  return WalIdentity{identity.value("ring", ""), identity.value("group", ""),
                     identity.value("replica", ReplicaId{0})};
}

json MembersJson(const LogConfig& config) {
  json members = json::array();
  for (const Member& member : config.members) {
    members.push_back({{"replica", member.id},
                       {"node", member.node},
                       {"voter", member.voter}});
  }
  return members;
}

json ReportJson(const WalIdentity& identity, const Wal& wal) {
  const DurableState& state = wal.recovered();
  const uint64_t last_index =
      state.entries.empty() ? state.start_index : state.entries.back().index;
  const uint64_t last_term =
      state.entries.empty() ? state.start_term : state.entries.back().term;
  return {{"ring", identity.ring},
          {"group", identity.group},
          {"replica", identity.replica},
          {"term", state.hard_state.term},
          {"voted_for", state.hard_state.voted_for},
          {"snapshot_index", state.snapshot.index},
          {"snapshot_term", state.snapshot.term},
          {"first_index", state.start_index + 1},
          {"last_index", last_index},
          {"last_term", last_term},
          {"entries", state.entries.size()},
          {"log_bytes", wal.log_bytes()},
          {"torn_bytes", wal.torn_bytes()},
          {"members", MembersJson(state.snapshot.config)}};
}

Outcome<json> InspectReplica(const std::string& folder) {
  auto disk = OpenDisk(folder, /*read_only=*/true);
  if (!disk) {
    return disk.refusal();
  }
  const auto identity = ReadIdentity(**disk, folder);
  if (!identity) {
    return identity.refusal();
  }
  const auto wal =
      Wal::Open(**disk, {.identity = *identity, .read_only = true});
  if (!wal) {
    return Corrupt(folder, wal.refusal().message);
  }
  const auto snapshot = (*wal)->LoadSnapshot();
  if (!snapshot) {
    return Corrupt(folder, snapshot.refusal().message);
  }
  json report = ReportJson(*identity, **wal);
  report["snapshot_bytes"] = snapshot->data.size();
  return report;
}

std::string CellText(const json& report, const char* key) {
  const json& value = report[key];
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void PrintReports(const json& reports) {
  TextTable table({"RING", "GROUP", "REPLICA", "TERM", "VOTE", "SNAPSHOT",
                   "FIRST", "LAST", "LOG BYTES", "TORN BYTES"});
  for (const json& report : reports) {
    table.Add({CellText(report, "ring"), CellText(report, "group"),
               CellText(report, "replica"), CellText(report, "term"),
               CellText(report, "voted_for"),
               CellText(report, "snapshot_index"),
               CellText(report, "first_index"), CellText(report, "last_index"),
               CellText(report, "log_bytes"), CellText(report, "torn_bytes")});
  }
  table.Print();
}

int InspectFolder(const std::string& folder, bool as_json) {
  std::vector<std::string> folders;
  std::error_code error;
  if (std::filesystem::exists(folder + "/identity.json", error)) {
    folders.push_back(folder);
  }
  for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
    if (std::filesystem::exists(entry.path() / "identity.json")) {
      folders.push_back(entry.path().string());
    }
  }
  if (error || folders.empty()) {
    return Fail(kExitBadData, folder + " is not a keeper's data folder");
  }
  std::sort(folders.begin(), folders.end());
  json reports = json::array();
  int exit_code = kExitOk;
  for (const std::string& replica : folders) {
    auto report = InspectReplica(replica);
    if (report) {
      reports.push_back(std::move(*report));
    } else {
      exit_code = Fail(report.refusal());
    }
  }
  if (as_json) {
    PrintJson(reports);
  } else {
    PrintReports(reports);
  }
  return exit_code;
}

}  // namespace

void AddInspectCommand(CLI::App& app, GlobalOptions& options, int& exit_code) {
  const auto folder = std::make_shared<std::string>();
  CLI::App* inspect = app.add_subcommand(
      "inspect",
      "Read a keeper's data folder, or that of one group, without changing it");
  inspect->add_option("folder", *folder, "Folder")->required();
  inspect->callback([&options, &exit_code, folder] {
    exit_code = InspectFolder(*folder, options.json);
  });
}

}  // namespace ring
