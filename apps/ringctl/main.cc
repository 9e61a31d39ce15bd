#include <iostream>

#include "commands.h"
#include "output.h"

namespace ring {
namespace {

constexpr char kExitCodesHelp[] =
    "Exit codes:\n"
    "  0  done\n"
    "  1  the operation failed or was refused\n"
    "  2  bad command line\n"
    "  3  settings file missing or invalid\n"
    "  5  file or data folder missing, corrupt or of another ring or\n"
    "     replica\n"
    "  6  no keeper or entry answered, or no majority; a command that may\n"
    "     have taken effect says so and can be run again\n"
    "With --json, results go to standard output as JSON; errors always go to\n"
    "standard error as 'ringctl: <reason>: <message>'.";

SettingTable RingctlSettingTable() {
  return {
      {.key = "ring",
       .type = SettingType::kString,
       .required = true,
       .min = 1,
       .doc = "Name of the ring."},
      {.key = "keepers",
       .type = SettingType::kObjectList,
       .required = true,
       .min = 1,
       .items = {{.key = "address",
                  .type = SettingType::kEndpoint,
                  .required = true,
                  .doc = "Address of the keeper."},
                 {.key = "node",
                  .type = SettingType::kString,
                  .doc = "Node name; not used by ringctl."},
                 {.key = "domain",
                  .type = SettingType::kString,
                  .doc = "Failure domain; not used by ringctl."}},
       .doc =
           "Keepers to connect to; the same list as in the keepers' settings."},
      {.key = "timeout_ms",
       .type = SettingType::kInt,
       .unit = "ms",
       .default_value = "3000",
       .min = 10,
       .max = 600'000,
       .doc = "Longest wait for an answer."}};
}

/// Reads the settings file and prints every error in it.
/// @returns false if there is an error
bool ReadConfig(const std::string& file, ConnectionInit& init) {
  const SettingsResult result = LoadSettings(RingctlSettingTable(), file);
  for (const SettingError& error : result.errors) {
    std::cerr << error.ToString() << "\n";
  }
  if (!result.settings) {
    return false;
  }
  init.ring = result.settings->String("ring");
  for (const Settings& keeper : result.settings->ObjectList("keepers")) {
    init.keepers.push_back(keeper.Address("address"));
  }
  init.timeout_ms = result.settings->Int("timeout_ms");
  return true;
}

int Main(int argc, char** argv) {
  BlockStopSignals();
  InitLog({.process = "ringctl", .node = "", .level = LogLevel::kError});
  GlobalOptions options;
  int exit_code = kExitOk;
  bool describe = false;
  CLI::App app("Administers a ring.", "ringctl");
  app.footer(kExitCodesHelp);
  app.fallthrough();
  app.add_option("--config", options.config,
                 "Settings file with ring, keepers, timeout_ms");
  app.add_option("--ring", options.ring, "Name of the ring");
  app.add_option("--keepers", options.keepers,
                 "Addresses of keepers, ip:port,...")
      ->delimiter(',');
  app.add_option("--timeout-ms", options.timeout_ms,
                 "Longest wait for an answer")
      ->check(CLI::Range(10, 600'000));
  app.add_flag("--json", options.json, "Print results as JSON");
  app.add_flag("--describe-settings", describe,
               "Print all settings as Markdown rows and exit");
  app.set_version_flag("--version", RING_VERSION);
  AddReleaseCommands(app, options, exit_code);
  AddGroupCommands(app, options, exit_code);
  AddProgramCommands(app, options, exit_code);
  AddBackupCommands(app, options, exit_code);
  AddInspectCommand(app, options, exit_code);
  AddExplainCommand(app, options, exit_code);
  AddEntryCommands(app, options, exit_code);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  if (describe) {
    std::cout << DescribeSettings(RingctlSettingTable());
  } else if (app.get_subcommands().empty()) {
    std::cerr << app.help();
    return kExitUsage;
  }
  return exit_code;
}

}  // namespace

std::unique_ptr<Connection> Connect(const GlobalOptions& options,
                                    int& exit_code) {
  ConnectionInit init;
  if (!options.config.empty() && !ReadConfig(options.config, init)) {
    exit_code = kExitBadSettings;
    return nullptr;
  }
  if (!options.ring.empty()) {
    init.ring = options.ring;
  }
  if (!options.keepers.empty()) {
    init.keepers.clear();
  }
  for (const std::string& text : options.keepers) {
    const auto endpoint = Endpoint::Parse(text);
    if (!endpoint) {
      exit_code = Fail(kExitUsage,
                       "--keepers: '" + text + "' is not of the form ip:port");
      return nullptr;
    }
    init.keepers.push_back(*endpoint);
  }
  if (init.ring.empty() || init.keepers.empty()) {
    exit_code =
        Fail(kExitUsage,
             "either --config or both --ring and --keepers are required");
    return nullptr;
  }
  if (options.timeout_ms > 0) {
    init.timeout_ms = options.timeout_ms;
  }
  auto connection = Connection::Open(init);
  if (!connection) {
    exit_code = Fail(connection.refusal());
    return nullptr;
  }
  return std::move(*connection);
}

int WithConnection(const GlobalOptions& options,
                   const std::function<int(Connection&)>& command) {
  int exit_code = kExitOk;
  const auto connection = Connect(options, exit_code);
  return connection ? command(*connection) : exit_code;
}

}  // namespace ring

int main(int argc, char** argv) {
  return ring::Main(argc, argv);
}
