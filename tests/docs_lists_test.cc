#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "persimmonring/core.h"

namespace ring {
namespace {

std::string ReadDoc(const std::string& name) {
  std::ifstream input(std::string(RING_SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

// Guards against a reason that operators and callers cannot look up.
TEST(ReasonsPage, EveryReason_HasExactlyOneRow) {
  const std::string page = ReadDoc("reasons.md");
  for (size_t i = 0; i < static_cast<size_t>(Reason::kCount); ++i) {
    const std::string row =
        std::string("| `") + ToString(static_cast<Reason>(i)) + "` |";
    const size_t first = page.find(row);
    ASSERT_NE(first, std::string::npos) << row;
    EXPECT_EQ(page.find(row, first + 1), std::string::npos) << row;
  }
}

}  // namespace
}  // namespace ring
