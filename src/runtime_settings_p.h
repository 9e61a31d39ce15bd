#pragma once

#include <map>
#include <string>
#include <vector>

namespace ring {

/// Line numbers of the keys of a JSON text with comments. Paths consist of
/// object keys joined with '.' and list indexes as "[i]", for example
/// "keepers[0].address".
struct KeyPositions {
  std::map<std::string, int> line_of_path;
  struct Duplicate {
    std::string path;
    int line = 0;
  };
  std::vector<Duplicate> duplicates;
};

/// Finds the line of each key. The text must be well-formed JSON.
KeyPositions LocateKeys(const std::string& text);

}  // namespace ring
