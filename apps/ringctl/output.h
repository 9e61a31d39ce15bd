#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "persimmonring/core.h"

namespace ring {

/// Table with a heading row, printed in aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> headings);
  void Add(std::vector<std::string> cells);
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

void PrintJson(const nlohmann::json& value);

/// Prints a refusal to standard error.
/// @returns the exit code for its reason
int Fail(const Refusal& refusal);
int Fail(int code, const std::string& message);

/// Writes a file atomically and durably: writes and syncs a temporary file,
/// renames it and syncs its folder.
/// @returns storage_failed if one of these steps fails
Status WriteFile(const std::string& path, const std::string& bytes);
/// @returns storage_failed if the file cannot be read
Outcome<std::string> ReadFile(const std::string& path);

}  // namespace ring
