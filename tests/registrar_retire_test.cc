#include "tests/gateway_fixture.h"

namespace ring {
namespace {

/// Retire requests at a keeper that learns the members step by step.
class RegistrarRetireTest : public GatewayTest {
 protected:
  using Result = Outcome<RetireState>;

  void SetMembers(const std::vector<std::string>& addresses) {
    LogConfig config;
    ReplicaId id = 0;
    for (const std::string& address : addresses) {
      config.members.push_back({++id, "keeper@" + address, true});
    }
    registrar_->OnMembers(config);
  }
  Reason Retire(const std::string& vm) {
    std::atomic<bool> done{false};
    Reason reason = Reason::kNone;
    WaitFor([&] {
      keeper_loop_.Post([&] {
        registrar_->Retire(vm, [&](const Status& status) {
          reason = status.refusal().reason;
          done = true;
        });
      });
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      return done.load();
    });
    return reason;
  }
  Result Read(const std::string& vm) {
    std::atomic<bool> done{false};
    Result result = RetireState::kUnknown;
    keeper_loop_.Post([&] {
      registrar_->ReadRetire(vm, [&](const Result& outcome) {
        result = outcome;
        done = true;
      });
    });
    WaitFor([&] { return done.load(); });
    return result;
  }

  const std::string self_ = wire_.ToString();
};

// Guards against removing a VM while its keeper still votes: a keeper without a
// replica knows no members and must not report the request as completed.
TEST_F(RegistrarRetireTest, MembersUnknown_OrderIsNotCompleted) {
  Configure(1, RouteOf("read", "safe", "tool"));
  SetMembers({self_, "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"});
  ASSERT_EQ(Retire("vm"), Reason::kNone);
  const Result running = Read("vm");
  ASSERT_TRUE(running.ok());
  EXPECT_EQ(*running, RetireState::kRunning);
  SetMembers({});
  EXPECT_FALSE(Read("vm").ok());
  SetMembers({"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"});
  const Result completed = Read("vm");
  ASSERT_TRUE(completed.ok());
  EXPECT_EQ(*completed, RetireState::kCompleted);
}

// Guards against the final errors not_allowed and unknown_path from a keeper
// that does not know the members yet. The operator would not retry after them.
TEST_F(RegistrarRetireTest, MembersOrVmsUnknown_RefusalIsTemporary) {
  Configure(1, RouteOf("read", "safe", "tool"));
  EXPECT_EQ(Retire("vm"), Reason::kNoQuorum);
  SetMembers({self_, "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"});
  EXPECT_EQ(Retire("unheard"), Reason::kNoQuorum);
  SetMembers({self_});
  EXPECT_EQ(Retire("unheard"), Reason::kUnknownPath);
  EXPECT_EQ(Retire("vm"), Reason::kNotAllowed);
}

}  // namespace
}  // namespace ring
