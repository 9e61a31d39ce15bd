#include <iostream>
#include <memory>

#include "commands.h"
#include "keeper.generated.h"
#include "output.h"

namespace ring {
namespace {

struct BackupOptions {
  std::string group;
  std::string file;
};

std::string ChecksumFile(const std::string& file) {
  return file + ".sha256";
}

/// Decodes a backup. If a group is given and the backup holds data, also loads
/// it into a state machine of that group.
/// @returns corrupt_data if either fails
Outcome<Snapshot> CheckBackup(const std::string& bytes,
                              const std::string& group) {
  auto snapshot = DecodeSnapshotFile(bytes);
  if (!snapshot || group.empty() || snapshot->data.empty()) {
    return snapshot;
  }
  const auto machine = group == kControlGroup
                           ? CreateControlMachine()
                           : CreateProgramMachine(group, ProgramLimits());
  const Status loaded = machine->Load(snapshot->data);
  return loaded ? snapshot : Outcome<Snapshot>(loaded.refusal());
}

int PrintBackup(const Snapshot& snapshot,
                const BackupOptions& options,
                const std::string& bytes,
                bool as_json) {
  const std::string digest = Sha256Hex(bytes);
  if (as_json) {
    PrintJson({{"file", options.file},
               {"bytes", bytes.size()},
               {"index", snapshot.meta.index},
               {"term", snapshot.meta.term},
               {"members", snapshot.meta.config.members.size()},
               {"sha256", digest}});
  } else {
    std::cout << options.file << ": " << bytes.size() << " bytes, index "
              << snapshot.meta.index << ", term " << snapshot.meta.term
              << ", sha256 " << digest << "\n";
  }
  return kExitOk;
}

int SaveBackup(Connection& connection,
               const BackupOptions& options,
               bool as_json) {
  const auto bytes = connection.client().Call(
      options.group, static_cast<uint8_t>(fb::KeeperOp::Backup), "");
  if (!bytes) {
    return Fail(bytes.refusal());
  }
  const auto snapshot = CheckBackup(*bytes, options.group);
  if (!snapshot) {
    return Fail(snapshot.refusal());
  }
  Status written = WriteFile(options.file, *bytes);
  if (written) {
    written = WriteFile(ChecksumFile(options.file),
                        Sha256Hex(*bytes) + "  " + options.file + "\n");
  }
  return written ? PrintBackup(*snapshot, options, *bytes, as_json)
                 : Fail(written.refusal());
}

int VerifyBackup(const BackupOptions& options, bool as_json) {
  const auto bytes = ReadFile(options.file);
  if (!bytes) {
    return Fail(bytes.refusal());
  }
  const auto expected = ReadFile(ChecksumFile(options.file));
  if (!expected) {
    return Fail(expected.refusal());
  }
  if (expected->substr(0, expected->find(' ')) != Sha256Hex(*bytes)) {
    return Fail(kExitBadData, options.file + ": SHA-256 does not match " +
                                  ChecksumFile(options.file));
  }
  const auto snapshot = CheckBackup(*bytes, options.group);
  if (!snapshot) {
    return Fail(snapshot.refusal());
  }
  return PrintBackup(*snapshot, options, *bytes, as_json);
}

}  // namespace

void AddBackupCommands(CLI::App& app, GlobalOptions& options, int& exit_code) {
  const auto command_options = std::make_shared<BackupOptions>();
  CLI::App* backup =
      app.add_subcommand("backup", "Save the state of a group to a file");
  CLI::App* verify = backup->add_subcommand(
      "verify",
      "Check a backup against its .sha256 file and its own checksums");
  verify->add_option("file", command_options->file, "Backup file")->required();
  verify->add_option("--group", command_options->group,
                     "Also load it into a state machine of this group");
  verify->callback([&options, &exit_code, command_options] {
    exit_code = VerifyBackup(*command_options, options.json);
  });
  backup->add_option("group", command_options->group, "Log group");
  backup->add_option("file", command_options->file,
                     "File to write; FILE.sha256 is written beside it");
  backup->callback([&options, &exit_code, command_options, verify] {
    if (verify->parsed()) {
      return;
    }
    if (command_options->group.empty() || command_options->file.empty()) {
      throw CLI::RequiredError("backup: group and file");
    }
    exit_code =
        WithConnection(options, [&options, command_options](Connection& c) {
          return SaveBackup(c, *command_options, options.json);
        });
  });
}

}  // namespace ring
