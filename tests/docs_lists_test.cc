#include <filesystem>
#include <fstream>
#include <regex>
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

// Guards against a reason without documentation for operators and callers.
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

// @returns the first capture group of each match in the sources
std::set<std::string> NamesInSources(const std::regex& pattern) {
  std::set<std::string> names;
  for (const char* folder : {"/src", "/apps", "/platform"}) {
    for (const auto& file : std::filesystem::recursive_directory_iterator(
             std::string(RING_SOURCE_DIR) + folder)) {
      if (file.path().extension() != ".cc") {
        continue;
      }
      std::ifstream input(file.path());
      std::ostringstream text;
      text << input.rdbuf();
      const std::string source = text.str();
      for (std::sregex_iterator it(source.begin(), source.end(), pattern), end;
           it != end; ++it) {
        names.insert((*it)[1]);
      }
    }
  }
  return names;
}

// Guards against a metric without documentation.
TEST(MetricsPage, EveryMetricOfTheCode_IsListed) {
  const std::string page = ReadDoc("metrics.md");
  const auto names = NamesInSources(
      std::regex("(?:Count|SetGauge|ObserveMs)\\(\\s*\"(ring_[a-z_]+)\""));
  EXPECT_GT(names.size(), 30u);
  for (const std::string& name : names) {
    EXPECT_NE(page.find("`" + name + "`"), std::string::npos) << name;
  }
}

// Guards against a log event without documentation.
TEST(EventsPage, EveryEventOfTheCode_IsListed) {
  const std::string page = ReadDoc("metrics.md");
  const auto names = NamesInSources(
      std::regex("Event\\(\\s*LogLevel::k[A-Za-z]+,\\s*\"([a-z_]+)\""));
  EXPECT_GT(names.size(), 20u);
  for (const std::string& name : names) {
    EXPECT_NE(page.find("`" + name + "`"), std::string::npos) << name;
  }
}

}  // namespace
}  // namespace ring
