#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <thread>

#include "commands.h"
#include "output.h"

namespace ring {
namespace {

using nlohmann::json;

struct ReleaseOptions {
  std::string file;
  uint64_t number = 0;
  std::string operator_id;
  uint64_t version = 0;
  int64_t timeout_s = 30;
  std::vector<std::string> nodes;
};

std::string DefaultOperator() {
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "operator" : user;
}

/// Reads the configuration. A query, unlike ControlPoll, does not list
/// ringctl among the nodes that report their version.
Outcome<ControlView> ReadView(Connection& connection) {
  const auto result =
      connection.client().Query(kControlGroup, control_codec::EncodeView(0, 0));
  return result ? control_codec::DecodeView(*result)
                : Outcome<ControlView>(result.refusal());
}

/// Reads a release note from a JSON file. The command line takes precedence
/// over "number" and "operator" in the file, which are not part of the body.
Outcome<ReleaseNote> ReadNote(const ReleaseOptions& options) {
  const auto text = ReadFile(options.file);
  if (!text) {
    return text.refusal();
  }
  json body = json::parse(*text, nullptr, /*allow_exceptions=*/false);
  ReleaseNote note;
  note.number = options.number;
  note.operator_id = options.operator_id;
  if (!body.is_object()) {
    return Refusal{Reason::kBadRequest, RunState::kNotRun,
                   options.file + " does not hold a JSON object"};
  }
  if (note.number == 0 && body.contains("number") &&
      body["number"].is_number_unsigned()) {
    note.number = body["number"].get<uint64_t>();
  }
  if (note.operator_id.empty() && body.contains("operator") &&
      body["operator"].is_string()) {
    note.operator_id = body["operator"].get<std::string>();
  }
  if (note.operator_id.empty()) {
    note.operator_id = DefaultOperator();
  }
  body.erase("number");
  body.erase("operator");
  note.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return note;
}

int ApplyNote(Connection& connection, ReleaseNote note, bool as_json) {
  if (note.number == 0) {
    const auto view = ReadView(connection);
    if (!view) {
      return Fail(view.refusal());
    }
    note.number = view->note_number + 1;
    std::cerr << "ringctl: number " << note.number << " is used; pass --number "
              << note.number << " to send this note again\n";
  }
  const auto result = CreateControlStore(connection.client())->ApplyNote(note);
  if (!result) {
    return Fail(result.refusal());
  }
  if (as_json) {
    PrintJson({{"number", result->number},
               {"version", result->version},
               {"digest", result->digest},
               {"repeated", result->repeated}});
  } else {
    std::cout << "note " << result->number
              << (result->repeated ? " had been accepted" : " accepted")
              << ", version " << result->version << ", digest "
              << result->digest << "\n";
  }
  return kExitOk;
}

int ApplyFile(const GlobalOptions& global, const ReleaseOptions& options) {
  const auto note = ReadNote(options);
  if (!note) {
    return Fail(note.refusal());
  }
  // Number 0: ApplyNote uses the next number of the ring, so check the rest of
  // the note with any valid number.
  ReleaseNote checked = *note;
  checked.number = std::max<uint64_t>(note->number, 1);
  if (Status status = CheckNote(checked); !status) {
    Refusal refusal = status.refusal();
    refusal.message = options.file + ": " + refusal.message;
    return Fail(refusal);
  }
  return WithConnection(global, [&](Connection& connection) {
    return ApplyNote(connection, *note, global.json);
  });
}

json StatusJson(const ControlView& view,
                const std::vector<NodeVersion>& nodes) {
  json rows = json::array();
  for (const NodeVersion& node : nodes) {
    rows.push_back({{"node", node.node},
                    {"version", node.version},
                    {"age_ms", node.age_ms},
                    {"in_force", node.version >= view.version}});
  }
  json items = json::object();
  for (const auto& [key, text] : view.items) {
    items[key] = json::parse(text, nullptr, /*allow_exceptions=*/false);
  }
  return {{"version", view.version},
          {"note_digest", view.note_digest},
          {"quarantine_version", view.quarantine_version},
          {"quarantined", view.quarantined},
          {"lost_domains", view.lost_domains},
          {"nodes", rows},
          {"items", items}};
}

void PrintStatus(const ControlView& view,
                 const std::vector<NodeVersion>& nodes) {
  std::cout << "version " << view.version << ", digest "
            << (view.note_digest.empty() ? "-" : view.note_digest) << ", "
            << view.items.size() << " items, " << view.quarantined.size()
            << " quarantined digests\n";
  for (const std::string& domain : view.lost_domains) {
    std::cout << "lost domain: " << domain << "\n";
  }
  TextTable table({"NODE", "VERSION", "IN FORCE", "REPORTED"});
  for (const NodeVersion& node : nodes) {
    table.Add({node.node, std::to_string(node.version),
               node.version >= view.version ? "yes" : "no",
               std::to_string(node.age_ms) + " ms ago"});
  }
  table.Print();
  if (view.items.empty()) {
    return;
  }
  TextTable items({"ITEM", "VALUE"});
  for (const auto& [key, text] : view.items) {
    items.Add({key, text});
  }
  std::cout << "\n";
  items.Print();
}

int ShowStatus(Connection& connection, bool as_json) {
  const auto view = ReadView(connection);
  if (!view) {
    return Fail(view.refusal());
  }
  const auto nodes = CreateControlStore(connection.client())->NodeVersions();
  if (!nodes) {
    return Fail(nodes.refusal());
  }
  if (as_json) {
    PrintJson(StatusJson(*view, *nodes));
  } else {
    PrintStatus(*view, *nodes);
  }
  return kExitOk;
}

/// @returns nodes on which the version is not yet in force
std::set<std::string> LaggingNodes(const ReleaseOptions& options,
                                   const std::vector<NodeVersion>& nodes) {
  std::set<std::string> lagging(options.nodes.begin(), options.nodes.end());
  for (const NodeVersion& node : nodes) {
    if (node.version >= options.version) {
      lagging.erase(node.node);
    } else if (options.nodes.empty()) {
      lagging.insert(node.node);
    }
  }
  return lagging;
}

int WaitForVersion(Connection& connection, const ReleaseOptions& options) {
  constexpr int64_t kPollMs = 200;
  constexpr int64_t kMsPerSecond = 1'000;
  const auto store = CreateControlStore(connection.client());
  const int64_t end_ms =
      SystemClock().NowMs() + options.timeout_s * kMsPerSecond;
  while (true) {
    const auto nodes = store->NodeVersions();
    const bool no_reports = !nodes || (nodes->empty() && options.nodes.empty());
    const auto lagging =
        nodes ? LaggingNodes(options, *nodes) : std::set<std::string>();
    if (!no_reports && lagging.empty()) {
      std::cout << "version " << options.version << " is in force on "
                << (options.nodes.empty() ? nodes->size()
                                          : options.nodes.size())
                << " nodes\n";
      return kExitOk;
    }
    if (SystemClock().NowMs() >= end_ms) {
      if (!nodes) {
        return Fail(nodes.refusal());
      }
      std::string text = "version " + std::to_string(options.version) +
                         (no_reports ? " has not been reported by any node"
                                     : " is not in force on:");
      for (const std::string& node : lagging) {
        text += " " + node;
      }
      return Fail(kExitFailure, text);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
  }
}

}  // namespace

void AddReleaseCommands(CLI::App& app, GlobalOptions& options, int& exit_code) {
  const auto command_options = std::make_shared<ReleaseOptions>();
  CLI::App* release = app.add_subcommand("release", "Release notes");
  release->require_subcommand(1);
  CLI::App* apply = release->add_subcommand(
      "apply",
      "Apply a release note. Sending the same note again is safe: it returns "
      "the first result");
  apply->add_option("file", command_options->file, "JSON file with the note")
      ->required();
  apply->add_option("--number", command_options->number,
                    "Number of the note; default: from the file, else the "
                    "next number of the ring");
  apply->add_option("--operator", command_options->operator_id,
                    "Operator; default: from the file, else $USER");
  apply->callback([&options, &exit_code, command_options] {
    exit_code = ApplyFile(options, *command_options);
  });
  CLI::App* status = release->add_subcommand(
      "status", "Show the configuration and its version on each node");
  status->callback([&options, &exit_code] {
    exit_code = WithConnection(options, [&options](Connection& connection) {
      return ShowStatus(connection, options.json);
    });
  });
  CLI::App* wait = release->add_subcommand(
      "wait", "Wait until a version is in force on all nodes");
  wait->add_option("--version", command_options->version, "Version to wait for")
      ->required();
  wait->add_option("--timeout", command_options->timeout_s,
                   "Longest wait, seconds")
      ->check(CLI::Range(0, 86'400));
  wait->add_option("--nodes", command_options->nodes,
                   "Nodes that must report, a,b,...; default: all that have "
                   "reported in the last minute")
      ->delimiter(',');
  wait->callback([&options, &exit_code, command_options] {
    exit_code =
        WithConnection(options, [command_options](Connection& connection) {
          return WaitForVersion(connection, *command_options);
        });
  });
}

}  // namespace ring
