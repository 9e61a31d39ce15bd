#include <gtest/gtest.h>

#include "gateway_links_p.h"
#include "gateway_relays_p.h"

namespace ring {
namespace {

class UpstreamLinksTest : public testing::Test {
 protected:
  static Endpoint At(uint16_t port) { return {"10.0.0.1", port}; }

  UpstreamLinks links_;
};

using State = UpstreamLinks::State;

// A silent or crashed upstream says nothing about the links of the entry.
TEST_F(UpstreamLinksTest, OneUpstreamFailsOften_LinksStayUp) {
  for (int i = 0; i < 10; ++i) {
    links_.OnFailed(At(1), true);
  }
  EXPECT_EQ(links_.state(), State::kUp);
}

TEST_F(UpstreamLinksTest, SuccessBetweenFailures_LinksStayUp) {
  links_.OnFailed(At(1), false);
  links_.OnConnected();
  links_.OnFailed(At(2), false);
  EXPECT_EQ(links_.state(), State::kUp);
}

TEST_F(UpstreamLinksTest, OtherServiceIsReached_LinksAreUp) {
  links_.OnFailed(At(1), false);
  links_.OnFailed(At(2), false);
  EXPECT_EQ(links_.state(), State::kDoubtful);
  links_.OnProbed(true, false);
  EXPECT_EQ(links_.state(), State::kUp);
  EXPECT_TRUE(links_.failed().empty());
}

TEST_F(UpstreamLinksTest, NoServiceIsReached_LinksAreLostUntilASuccess) {
  links_.OnFailed(At(1), true);
  links_.OnFailed(At(2), false);
  links_.OnProbed(false, false);
  EXPECT_EQ(links_.state(), State::kLost);
  EXPECT_TRUE(links_.hanging());
  links_.OnProbed(false, false);
  EXPECT_EQ(links_.state(), State::kLost);
  links_.OnConnected();
  EXPECT_EQ(links_.state(), State::kUp);
  EXPECT_FALSE(links_.hanging());
}

class RelayTableTest : public testing::Test {
 protected:
  static Endpoint At(uint16_t port) { return {"10.0.0.2", port}; }

  RelayTable relays_;
};

TEST_F(RelayTableTest, RelayThatFailed_IsAvoidedForSomeTime) {
  relays_.OnListed(At(1), 0);
  relays_.OnListed(At(2), 0);
  relays_.OnResult(At(1), false, 0);
  for (uint64_t random = 0; random < 8; ++random) {
    EXPECT_EQ(relays_.Choose(random, 100), At(2));
  }
  relays_.OnResult(At(2), false, 100);
  EXPECT_EQ(relays_.Choose(0, 100), std::nullopt);
  EXPECT_TRUE(relays_.Choose(0, 10'000).has_value());
}

TEST_F(RelayTableTest, RelayNoLongerListed_IsForgotten) {
  relays_.OnListed(At(1), 0);
  relays_.Expire(1'000'000);
  EXPECT_EQ(relays_.size(), 0u);
}

}  // namespace
}  // namespace ring
