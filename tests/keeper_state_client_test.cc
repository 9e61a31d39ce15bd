#include <gtest/gtest.h>

#include "fakes/fake_hub.h"
#include "persimmonring/keeper.h"

namespace ring {
namespace {

/// Keeper that records requests and never replies.
class SilentKeeper final : public HubListenerI {
 public:
  void OnOpened(SessionHandle session, const PeerInfo& /*peer*/) override {
    session_ = session;
  }
  void OnFrame(SessionHandle /*session*/,
               const PeerInfo& /*peer*/,
               const Frame& frame) override {
    requests_.push_back(frame.payload);
  }
  void OnClosed(SessionHandle /*session*/,
                const PeerInfo& /*peer*/,
                Reason /*reason*/) override {}

  const std::vector<std::string>& requests() const { return requests_; }

 private:
  SessionHandle session_;
  std::vector<std::string> requests_;
};

class StateClientTest : public ::testing::Test {
 protected:
  StateClientTest() : loop_(SystemClock()), hub_(net_, "entry") {
    for (const auto& [node, keeper] : {std::pair{"a", &a_}, {"b", &b_}}) {
      net_.Add(node, *keeper);
      client_.OnOpened(net_.SessionOf("entry", node), node);
    }
  }

  SilentKeeper& Asked() { return a_.requests().empty() ? b_ : a_; }
  SilentKeeper& Other() { return a_.requests().empty() ? a_ : b_; }
  SessionHandle SessionOf(const SilentKeeper& keeper) {
    return net_.SessionOf("entry", &keeper == &a_ ? "a" : "b");
  }

  SyncFakeNet net_;
  EventLoop loop_;
  FakeHub hub_;
  SilentKeeper a_;
  SilentKeeper b_;
  StateClient client_{StateClient::Init{}, hub_, loop_};
};

// Guards against turns that wait for the reply of a frozen leader although
// another keeper has taken over.
TEST_F(StateClientTest, OtherKeeperBecomesLeader_WaitingCallIsSentThereAtOnce) {
  client_.Propose("command", 10'000, nullptr);
  ASSERT_EQ(Asked().requests().size(), 1u);
  ASSERT_TRUE(Other().requests().empty());
  SilentKeeper& leader = Other();
  client_.OnLeader(SessionOf(leader));
  ASSERT_EQ(leader.requests().size(), 1u);
  client_.Propose("command", 10'000, nullptr);
  EXPECT_EQ(leader.requests().size(), 2u);
}

TEST_F(StateClientTest, AskedKeeperIsConfirmedAsLeader_CallIsNotRepeated) {
  client_.Propose("command", 10'000, nullptr);
  client_.OnLeader(SessionOf(Asked()));
  EXPECT_EQ(a_.requests().size() + b_.requests().size(), 1u);
}

TEST_F(StateClientTest, NoticeOfAClosedSession_IsIgnored) {
  client_.Propose("command", 10'000, nullptr);
  const SessionHandle other = SessionOf(Other());
  client_.OnClosed(other);
  client_.OnLeader(other);
  EXPECT_TRUE(Other().requests().empty());
}

}  // namespace
}  // namespace ring
