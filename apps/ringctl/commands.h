#pragma once

#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "connection.h"

namespace ring {

/// Options that every subcommand accepts.
struct GlobalOptions {
  std::string config;
  std::string ring;
  std::vector<std::string> keepers;
  int64_t timeout_ms = 0;  ///< 0: use the settings file's value.
  bool json = false;
};

/// Connects to the keepers given by --keepers or --config; prints errors.
/// @param exit_code set on failure
/// @returns nullptr on failure
std::unique_ptr<Connection> Connect(const GlobalOptions& options,
                                    int& exit_code);

/// Connects to the keepers and runs a command on the connection.
/// @returns exit code of the command, or of the failed connection
int WithConnection(const GlobalOptions& options,
                   const std::function<int(Connection&)>& command);

/// Each function registers its subcommands. The subcommand that the command
/// line selects stores its result in `exit_code`.
void AddReleaseCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddGroupCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddProgramCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddBackupCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddInspectCommand(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddExplainCommand(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddEntryCommands(CLI::App& app, GlobalOptions& options, int& exit_code);

}  // namespace ring
