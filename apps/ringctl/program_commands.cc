#include <memory>

#include "commands.h"
#include "output.h"

namespace ring {
namespace {

using nlohmann::json;

struct ProgramOptions {
  std::string id;
  bool with_history = false;
};

json UpstreamsJson(const std::vector<UpstreamId>& upstreams) {
  json names = json::array();
  for (const UpstreamId& upstream : upstreams) {
    names.push_back(
        {{"name", upstream.name}, {"incarnation", upstream.incarnation}});
  }
  return names;
}

json CallJson(const CallRecord& call) {
  return {{"sequence", call.sequence},
          {"digest", call.digest},
          {"state", call.state == CallState::kBegun ? "begun" : "finished"},
          {"idempotent", call.idempotent},
          {"epoch", call.epoch},
          {"attempt", call.attempt},
          {"tried", UpstreamsJson(call.tried_upstreams)},
          {"reserved_tokens", call.reserved_tokens},
          {"used_tokens", call.used_tokens},
          {"run_state", ToString(call.run_state)},
          {"reason", ToString(call.reason)},
          {"http_status", call.http_status},
          {"answer_bytes", call.answer.size()}};
}

/// Lists children by the id prefix that logs use, because a whole id is the
/// bearer token of the program's caller.
json StateJson(const ProgramState& state, bool with_history) {
  json children = json::array();
  for (const ProgramId& child : state.children) {
    children.push_back(child.log_prefix());
  }
  json calls = json::array();
  for (const CallRecord& call : state.calls) {
    calls.push_back(CallJson(call));
  }
  json out = {{"domain", state.id.home_domain()},
              {"team", state.team},
              {"children", children},
              {"opened_wall_ms", state.opened_wall_ms},
              {"deadline_wall_ms", state.deadline_wall_ms},
              {"idle_limit_ms", state.idle_limit_ms},
              {"last_activity_wall_ms", state.last_activity_wall_ms},
              {"budget_tokens", state.budget_tokens},
              {"used_tokens", state.used_tokens},
              {"reserved_tokens", state.reserved_tokens},
              {"epoch", state.epoch},
              {"owner", state.owner},
              {"next_sequence", state.next_sequence},
              {"turns", state.turns},
              {"history_messages", state.history.size()},
              {"calls", calls},
              {"cache_holders", UpstreamsJson(state.cache_holders)},
              {"ended", state.ended}};
  if (state.ended) {
    out["end_reason"] = ToString(state.end_reason);
  }
  if (with_history) {
    out["history"] = state.history;
  }
  return out;
}

int ShowProgram(const GlobalOptions& global, const ProgramOptions& options) {
  const auto id = ProgramId::Parse(options.id);
  if (!id) {
    return Fail(kExitUsage, "the id must be <domain>.<32 hex digits>");
  }
  return WithConnection(global, [&](Connection& connection) {
    const auto state = CreateProgramStore(connection.client())->Read(*id);
    if (!state) {
      return Fail(state.refusal());
    }
    PrintJson(StateJson(*state, options.with_history));
    return static_cast<int>(kExitOk);
  });
}

}  // namespace

void AddProgramCommands(CLI::App& app, GlobalOptions& options, int& exit_code) {
  const auto command_options = std::make_shared<ProgramOptions>();
  CLI::App* program = app.add_subcommand("program", "Programs");
  program->require_subcommand(1);
  CLI::App* show =
      program->add_subcommand("show", "Show the state of a program as JSON");
  show->add_option("id", command_options->id, "Program id")->required();
  show->add_flag("--history", command_options->with_history,
                 "Include the message history");
  show->callback([&options, &exit_code, command_options] {
    exit_code = ShowProgram(options, *command_options);
  });
}

}  // namespace ring
