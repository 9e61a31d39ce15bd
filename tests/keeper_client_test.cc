#include <map>
#include <thread>

#include <gtest/gtest.h>

#include "core_flatbuffer_p.h"
#include "keeper.generated.h"
#include "persimmonring/keeper.h"

namespace ring {
namespace {

constexpr auto kPropose = static_cast<uint8_t>(fb::KeeperOp::Propose);
constexpr auto kQuery = static_cast<uint8_t>(fb::KeeperOp::Query);
constexpr auto kAdd = static_cast<uint8_t>(fb::KeeperOp::AddReplica);

/// What a keeper does with a request.
struct Step {
  enum Kind : uint8_t { kOk, kRefuse, kSilent, kClose, kSendFails } kind = kOk;
  Reason reason = Reason::kNone;
  RunState run_state = RunState::kNotRun;
  std::string leader = {};
};

const Step kAnswer{Step::kOk};
const Step kSilent{Step::kSilent};
const Step kClose{Step::kClose};
const Step kSendFails{Step::kSendFails};

Step NotLeader(const std::string& leader) {
  return {Step::kRefuse, Reason::kNotLeader, RunState::kNotRun, leader};
}
Step Refused(Reason reason, RunState run_state) {
  return {Step::kRefuse, reason, run_state};
}

std::string Reply(const Step& step, const std::string& payload) {
  flatbuffers::FlatBufferBuilder builder;
  const auto reason = builder.CreateString(ToString(step.reason));
  const auto leader = builder.CreateString(step.leader);
  const auto bytes = builder.CreateVector(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size());
  builder.Finish(fb::CreateKeeperReply(builder, step.kind == Step::kOk, reason,
                                       static_cast<uint8_t>(step.run_state), 0,
                                       leader, bytes));
  return BufferToString(builder);
}

/// Keepers k1, k2, k3 with scripts; the last step of a script repeats. A keeper
/// without a script has no session.
class FakeHub final : public HubI {
 public:
  using Scripts = std::map<std::string, std::vector<Step>>;

  explicit FakeHub(Scripts scripts) : scripts_(std::move(scripts)) {}

  void Connect(const Endpoint& /*endpoint*/) override {}
  void Disconnect(const Endpoint& /*endpoint*/) override {}
  SessionHandle FindByEndpoint(const Endpoint& endpoint) const override {
    return FindByNode("k" + std::to_string(endpoint.port));
  }
  SessionHandle FindByNode(const std::string& node) const override {
    return scripts_.contains(node)
               ? SessionHandle{static_cast<uint64_t>(node[1] - '0')}
               : SessionHandle();
  }
  Status Send(SessionHandle session, const Frame& frame) override {
    const std::string node = "k" + std::to_string(session.value);
    auto& script = scripts_.at(node);
    const Step step = script.front();
    if (script.size() > 1) {
      script.erase(script.begin());
    }
    sent_ += node + " ";
    last_ = frame;
    switch (step.kind) {
      case Step::kSendFails:
        return Refusal{Reason::kOwnerUnreachable, RunState::kNotRun, "closed"};
      case Step::kClose:
        client_->OnClosed(session);
        break;
      case Step::kSilent:
        break;
      default:
        Deliver(session, frame.correlation, Reply(step, "from " + node));
    }
    return Done{};
  }
  void Deliver(SessionHandle session,
               uint64_t correlation,
               const std::string& reply) {
    const PeerInfo peer{"k" + std::to_string(session.value)};
    client_->OnFrame(session, peer,
                     {FrameKind::KeeperReply, "salem", correlation, reply});
  }

  KeeperClient* client_ = nullptr;
  std::string sent_;
  Frame last_;

 private:
  Scripts scripts_;
};

class KeeperClientTest : public testing::Test {
 protected:
  void Start(FakeHub::Scripts scripts) {
    hub_ = std::make_unique<FakeHub>(std::move(scripts));
    KeeperClientInit init;
    init.keepers = {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
    init.timeout_ms = 200;
    init.attempt_timeout_ms = 40;
    client_ = std::make_unique<KeeperClient>(init, *hub_, SystemClock());
    hub_->client_ = client_.get();
  }

  std::unique_ptr<FakeHub> hub_;
  std::unique_ptr<KeeperClient> client_;
};

struct Case {
  const char* what;
  FakeHub::Scripts scripts;
  uint8_t op;
  Reason reason;
  RunState run_state;
  const char* first_sent;  ///< Keepers asked first, in order.
};

// Guards against a leader that is not found, a repetition of what must not be
// repeated, and a wrong run state.
TEST_F(KeeperClientTest, FaultTable_GivesTrueOutcome) {
  const RunState not_run = RunState::kNotRun;
  const RunState unknown = RunState::kUnknown;
  const Case cases[] = {
      {"no session", {}, kPropose, Reason::kNoQuorum, not_run, ""},
      {"hint is followed",
       {{"k1", {NotLeader("k3")}}, {"k2", {kSilent}}, {"k3", {kAnswer}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k3 "},
      {"all are asked in turn without a hint",
       {{"k1", {NotLeader("")}}, {"k2", {NotLeader("")}}, {"k3", {kAnswer}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 k3 "},
      {"hint to a keeper without session",
       {{"k1", {NotLeader("k2")}}, {"k3", {kAnswer}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k3 "},
      {"silent leader: another is asked, the hint back is not followed",
       {{"k1", {kSilent}}, {"k2", {NotLeader("k1")}}, {"k3", {kAnswer}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 k3 "},
      {"leader change in flight: the command is repeated",
       {{"k1", {Refused(Reason::kNoQuorum, unknown), NotLeader("k2")}},
        {"k2", {kAnswer}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 "},
      {"session ends: the command is repeated",
       {{"k1", {kClose}}, {"k2", {kAnswer}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 "},
      {"nobody leads and nothing was taken",
       {{"k1", {NotLeader("")}}, {"k2", {NotLeader("k1")}}},
       kPropose,
       Reason::kNoQuorum,
       not_run,
       "k1 k2 "},
      {"never handed to a session",
       {{"k1", {kSendFails}}, {"k2", {kSendFails}}},
       kPropose,
       Reason::kNoQuorum,
       not_run,
       "k1 k2 "},
      {"silent: the command may commit",
       {{"k1", {kSilent}}},
       kPropose,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"closed once, then refused: the first may commit",
       {{"k1", {kClose, NotLeader("")}}},
       kPropose,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"dropped by a former leader: may commit",
       {{"k1", {Refused(Reason::kNoQuorum, unknown), NotLeader("")}}},
       kPropose,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"refused as full after a silent attempt: the first may commit",
       {{"k1", {kSilent}}, {"k2", {Refused(Reason::kQueueFull, not_run)}}},
       kPropose,
       Reason::kQueueFull,
       unknown,
       "k1 k2 "},
      {"refused as full is not repeated",
       {{"k1", {Refused(Reason::kQueueFull, not_run)}}, {"k2", {kAnswer}}},
       kPropose,
       Reason::kQueueFull,
       not_run,
       "k1 "},
      {"a read runs nothing",
       {{"k1", {kSilent}}},
       kQuery,
       Reason::kNoQuorum,
       not_run,
       "k1 "},
      {"a replica change is repeated after not_leader",
       {{"k1", {NotLeader("k2")}}, {"k2", {kAnswer}}},
       kAdd,
       Reason::kNone,
       not_run,
       "k1 k2 "},
      {"a replica change is not repeated without an answer",
       {{"k1", {kClose}}, {"k2", {kAnswer}}},
       kAdd,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"a replica change that may commit is not repeated",
       {{"k1", {Refused(Reason::kNoQuorum, unknown)}}, {"k2", {kAnswer}}},
       kAdd,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
  };
  for (const Case& c : cases) {
    Start(c.scripts);
    const auto result = client_->Call("salem", c.op, "payload");
    EXPECT_EQ(result.refusal().reason, c.reason) << c.what;
    EXPECT_EQ(result.refusal().run_state, c.run_state) << c.what;
    EXPECT_EQ(hub_->sent_.rfind(c.first_sent, 0), 0u)
        << c.what << ": " << hub_->sent_;
    if (c.op == kAdd) {
      EXPECT_EQ(hub_->sent_, c.first_sent) << c.what;
    }
  }
}

// Guards against asking all keepers for each request.
TEST_F(KeeperClientTest, KnownLeader_IsAskedFirst) {
  Start({{"k1", {NotLeader("k2")}}, {"k2", {kAnswer}}});
  ASSERT_TRUE(client_->Propose("salem", "a").ok());
  ASSERT_TRUE(client_->Query("salem", "b").ok());
  EXPECT_EQ(hub_->sent_, "k1 k2 k2 ");
}

// Guards against an answer that is lost because the client already asks
// another keeper.
TEST_F(KeeperClientTest, LateAnswerOfEarlierAttempt_EndsTheCall) {
  Start({{"k1", {kSilent}}, {"k2", {kSilent}}});
  std::thread keeper([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    hub_->Deliver({1}, 1, Reply(kAnswer, "late"));
  });
  const auto result = client_->Propose("salem", "a");
  keeper.join();
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(*result, "late");
}

// Guards against one call that takes the answer of another: crossed answers,
// answers on another session and answers after the timeout.
TEST_F(KeeperClientTest, ForeignAnswers_AreDropped) {
  Start({{"k1", {kSilent}}});
  EXPECT_FALSE(client_->Propose("salem", "a").ok());
  const uint64_t old_correlation = hub_->last_.correlation;
  std::thread keeper([this, old_correlation] {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    hub_->Deliver({1}, old_correlation, Reply(kAnswer, "too late"));
    hub_->Deliver({2}, old_correlation + 1, Reply(kAnswer, "wrong session"));
    hub_->Deliver({1}, old_correlation + 99, Reply(kAnswer, "never asked"));
    hub_->Deliver({1}, old_correlation + 1, "not a reply");
    hub_->Deliver({1}, old_correlation + 1, Reply(kAnswer, "right"));
  });
  const auto result = client_->Propose("salem", "b");
  keeper.join();
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(*result, "right");
}

// Guards against calls of several threads that get each other's answers.
TEST_F(KeeperClientTest, CrossedAnswers_ReachTheirCalls) {
  Start({{"k1", {kSilent}}});
  std::vector<KeeperResult> results(2, Refusal{});
  std::thread first(
      [&] { results[0] = client_->CallNode("k1", "salem", kQuery, "a"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  std::thread second(
      [&] { results[1] = client_->CallNode("k1", "salem", kQuery, "b"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  hub_->Deliver({1}, 2, Reply(kAnswer, "second"));
  hub_->Deliver({1}, 1, Reply(kAnswer, "first"));
  first.join();
  second.join();
  EXPECT_EQ(*results[0], "first");
  EXPECT_EQ(*results[1], "second");
}

// Guards against a push that is lost on its way to its subscriber.
TEST_F(KeeperClientTest, ControlPush_CallsTheSubscriber) {
  Start({});
  uint64_t seen = 0;
  client_->OnControlPush([&](uint64_t version) { seen = version; });
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateControlPush(builder, 7, 1));
  client_->OnFrame(
      {1}, {}, {FrameKind::ControlPush, "control", 0, BufferToString(builder)});
  EXPECT_EQ(seen, 7u);
}

// Guards against a store that asks another group than the program's home
// domain or passes results on undecoded.
TEST_F(KeeperClientTest, ProgramStore_AsksTheHomeDomain) {
  Start({{"k1", {kAnswer}}});
  const auto store = CreateProgramStore(*client_);
  const auto id = ProgramId::Generate("salem");
  EXPECT_EQ(store->End(id, Reason::kNone).refusal().reason,
            Reason::kCorruptData);
  EXPECT_EQ(hub_->last_.group, "salem");
  EXPECT_EQ(store->Read(ProgramId()).refusal().reason, Reason::kUnknownProgram);
  EXPECT_EQ(CreateControlStore(*client_)->NodeVersions().refusal().reason,
            Reason::kCorruptData);
  EXPECT_EQ(hub_->last_.group, kControlGroup);
}

}  // namespace
}  // namespace ring
