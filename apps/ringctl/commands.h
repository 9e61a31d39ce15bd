#pragma once

#include <functional>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include "connection.h"

namespace ring {

/// Options of all subcommands.
struct GlobalOptions {
  std::string config;
  std::string ring;
  std::vector<std::string> keepers;
  int64_t timeout_ms = 0;  ///< 0: from the settings file.
  bool json = false;
};

/// Opens a connection to the keepers that the options name. Prints errors.
/// @param exit_code set if there is no connection
std::unique_ptr<Connection> Connect(const GlobalOptions& options,
                                    int& exit_code);

/// Runs a command that needs keepers.
/// @returns exit code
int WithConnection(const GlobalOptions& options,
                   const std::function<int(Connection&)>& command);

/// Each adds subcommands; the one that is chosen sets `exit_code`.
void AddReleaseCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddGroupCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddProgramCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddBackupCommands(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddInspectCommand(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddExplainCommand(CLI::App& app, GlobalOptions& options, int& exit_code);
void AddEntryCommands(CLI::App& app, GlobalOptions& options, int& exit_code);

}  // namespace ring
