#include "persimmonring/core.h"

#include <set>

#include <gtest/gtest.h>

namespace ring {
namespace {

// Guards against a reason without a name, and against two reasons that share a
// name and therefore a metric label.
TEST(ReasonNames, EveryValue_HasOneNameThatParsesBack) {
  std::set<std::string> names;
  for (size_t i = 0; i < static_cast<size_t>(Reason::kCount); ++i) {
    const auto reason = static_cast<Reason>(i);
    ASSERT_TRUE(names.insert(ToString(reason)).second) << ToString(reason);
    EXPECT_EQ(ReasonFromString(ToString(reason)), reason);
  }
}

// Guards against program ids of a wrong length, alphabet or domain name being
// accepted.
TEST(ProgramIdParse, MalformedText_IsRefused) {
  const std::string digits(32, 'a');
  for (const std::string& text :
       {std::string(), digits, "." + digits, "Salem." + digits,
        "salem." + digits + "a", "salem." + std::string(32, 'G'),
        "salem/x." + digits, std::string(65, 'a') + "." + digits}) {
    EXPECT_FALSE(ProgramId::Parse(text).has_value()) << text;
  }
}

// Guards against generated ids that Parse rejects or that lose their domain.
TEST(ProgramIdGenerate, NewId_ParsesBackAndNamesItsDomain) {
  const ProgramId id = ProgramId::Generate("salem");
  EXPECT_EQ(ProgramId::Parse(id.text()), id);
  EXPECT_EQ(id.home_domain(), "salem");
  EXPECT_EQ(id.log_prefix().size(), 8u);
}

// Guards against host names and out-of-range ports being accepted.
TEST(EndpointParse, NamesAndBadPorts_AreRefused) {
  EXPECT_TRUE(Endpoint::Parse("127.0.0.1:80").has_value());
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000",
        "localhost:80", "127.0.0.1:8x", "1.2.3:80"}) {
    EXPECT_FALSE(Endpoint::Parse(text).has_value()) << text;
  }
}

}  // namespace
}  // namespace ring
