#include <gtest/gtest.h>

#include "persimmonring/policy.h"

namespace ring {
namespace {

// Guards against a settings value that silently selects no policy.
TEST(PolicyFactory, KnownNames_CreateThatPolicy) {
  for (const char* name :
       {"program", "fcfs-round-robin", "fcfs-least-in-flight"}) {
    const auto policy = CreatePolicy(name, {});
    ASSERT_NE(policy, nullptr);
    EXPECT_STREQ(policy->name(), name);
  }
  EXPECT_EQ(CreatePolicy("other", {}), nullptr);
}

}  // namespace
}  // namespace ring
