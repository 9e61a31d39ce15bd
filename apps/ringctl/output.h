#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "persimmonring/core.h"

namespace ring {

/// Rows of text under headings, printed with aligned columns.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> headings);
  void Add(std::vector<std::string> cells);
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

void PrintJson(const nlohmann::json& value);

/// Prints a refusal on standard error.
/// @returns the exit code that stands for it
int Fail(const Refusal& refusal);
int Fail(int code, const std::string& message);

/// Writes a file durably: a temporary file is synced, then renamed.
Status WriteFile(const std::string& path, const std::string& bytes);
/// @returns storage_failed if the file cannot be read
Outcome<std::string> ReadFile(const std::string& path);

}  // namespace ring
