#include "output.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <fcntl.h>
#include <unistd.h>

#include "persimmonring/runtime.h"

namespace ring {
namespace {

Refusal FileRefusal(const std::string& path, const char* what) {
  return {Reason::kStorageFailed, RunState::kNotRun,
          path + ": " + what + ": " + std::strerror(errno)};
}

bool WriteAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno != EINTR) {
      return false;
    }
    bytes.remove_prefix(written < 0 ? 0 : static_cast<size_t>(written));
  }
  return true;
}

}  // namespace

TextTable::TextTable(std::vector<std::string> headings) {
  rows_.push_back(std::move(headings));
}

void TextTable::Add(std::vector<std::string> cells) {
  rows_.push_back(std::move(cells));
}

void TextTable::Print() const {
  std::vector<size_t> widths(rows_[0].size());
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) {
        line.append(widths[i] + 2 - row[i].size(), ' ');
      }
    }
    std::cout << line << "\n";
  }
}

void PrintJson(const nlohmann::json& value) {
  std::cout << value.dump(2, ' ', false,
                          nlohmann::json::error_handler_t::replace)
            << "\n";
}

int Fail(const Refusal& refusal) {
  std::cerr << "ringctl: " << ToString(refusal.reason) << ": "
            << refusal.message << "\n";
  if (refusal.run_state == RunState::kUnknown) {
    std::cerr << "The command may have taken effect. Run the same command "
                 "again to learn its result.\n";
  }
  switch (refusal.reason) {
    case Reason::kNoQuorum:
    case Reason::kOwnerUnreachable:
      return kExitUnreachable;
    case Reason::kStorageFailed:
    case Reason::kCorruptData:
      return kExitBadData;
    default:
      return kExitFailure;
  }
}

int Fail(int code, const std::string& message) {
  std::cerr << "ringctl: " << message << "\n";
  return code;
}

Status WriteFile(const std::string& path, const std::string& bytes) {
  const std::string temporary = path + ".tmp";
  const int file =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) {
    return FileRefusal(temporary, "cannot be created");
  }
  const bool written = WriteAll(file, bytes) && ::fsync(file) == 0;
  if (!written || ::rename(temporary.c_str(), path.c_str()) != 0) {
    const Refusal refusal = FileRefusal(path, "cannot be written");
    ::close(file);
    ::unlink(temporary.c_str());
    return refusal;
  }
  ::close(file);
  const std::filesystem::path absolute_path = std::filesystem::absolute(path);
  const int folder = ::open(absolute_path.parent_path().c_str(),
                            O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = folder >= 0 && ::fsync(folder) == 0;
  Status status =
      synced ? Status(Done{}) : Status(FileRefusal(path, "cannot be synced"));
  if (folder >= 0) {
    ::close(folder);
  }
  return status;
}

Outcome<std::string> ReadFile(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) {
    return FileRefusal(path, "cannot be opened");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  if (stream.bad()) {
    return FileRefusal(path, "cannot be read");
  }
  return text.str();
}

}  // namespace ring
