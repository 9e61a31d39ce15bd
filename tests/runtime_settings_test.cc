#include "persimmonring/runtime.h"

#include <gtest/gtest.h>

namespace ring {
namespace {

SettingTable Table() {
  return {
      {.key = "node",
       .type = SettingType::kString,
       .required = true,
       .min = 1,
       .max = 8,
       .doc = "Name."},
      {.key = "limits.max_body_bytes",
       .type = SettingType::kInt,
       .unit = "bytes",
       .default_value = "1024",
       .min = 1,
       .max = 4096,
       .doc = "Size."},
      {.key = "placement",
       .type = SettingType::kChoice,
       .default_value = "spread",
       .choices = {"spread", "home"},
       .doc = ""},
      {.key = "keepers",
       .type = SettingType::kObjectList,
       .min = 0,
       .max = 3,
       .items = {{.key = "address",
                  .type = SettingType::kEndpoint,
                  .required = true,
                  .doc = ""}},
       .doc = ""},
  };
}

// Guards against comments that break parsing, and against missing defaults.
TEST(SettingsParse, ValidTextWithComments_FillsDefaults) {
  const auto result = ParseSettings(Table(), "f.json", R"({
    // comment
    "node": "e1", /* block */ "keepers": [{"address": "127.0.0.1:1"}]
  })");
  ASSERT_TRUE(result.settings.has_value());
  EXPECT_EQ(result.settings->String("node"), "e1");
  EXPECT_EQ(result.settings->Int("limits.max_body_bytes"), 1024);
  EXPECT_EQ(result.settings->ObjectList("keepers")[0].Address("address").port,
            1);
}

// Guards against only the first error being reported, and against wrong lines.
TEST(SettingsParse, SeveralMistakes_AreAllReportedWithLineAndKey) {
  const auto result = ParseSettings(Table(), "f.json",
                                    "{\n"
                                    "  \"nod\": 1,\n"
                                    "  \"limits\": {\n"
                                    "    \"max_body_bytes\": 0\n"
                                    "  },\n"
                                    "  \"placement\": \"both\",\n"
                                    "  \"placement\": \"home\",\n"
                                    "  \"keepers\": [\n"
                                    "    {\"address\": \"localhost:1\"}]\n"
                                    "}\n");
  ASSERT_FALSE(result.settings.has_value());
  std::vector<std::pair<int, std::string>> found;
  for (const auto& error : result.errors) {
    found.emplace_back(error.line, error.key);
  }
  const std::vector<std::pair<int, std::string>> expected = {
      {1, "node"},
      {2, "nod"},
      {4, "limits.max_body_bytes"},
      {7, "placement"},
      {9, "keepers[0].address"}};
  EXPECT_EQ(found, expected);
}

// Guards against a dotted key that is accepted but ignored, because settings
// are read from nested objects.
TEST(SettingsParse, DottedKey_IsRefused) {
  const auto result = ParseSettings(
      Table(), "f.json", R"({"node": "e1", "limits.max_body_bytes": 5})");
  ASSERT_EQ(result.errors.size(), 1u);
  EXPECT_EQ(result.errors[0].key, "limits.max_body_bytes");
}

// Guards against syntax errors without a line number.
TEST(SettingsParse, BrokenJson_NamesTheLine) {
  const auto result = ParseSettings(Table(), "f.json", "{\n\"node\": \n}");
  ASSERT_EQ(result.errors.size(), 1u);
  EXPECT_EQ(result.errors[0].line, 3);
}

}  // namespace
}  // namespace ring
