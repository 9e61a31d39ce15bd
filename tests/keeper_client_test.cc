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

/// Scripted reaction of a keeper to one request.
struct Step {
  enum Kind : uint8_t {
    kOk,
    kRefuse,
    kNoReply,
    kCloseSession,
    kSendFails
  } kind = kOk;
  Reason reason = Reason::kNone;
  RunState run_state = RunState::kNotRun;
  std::string leader = {};
};

const Step kOkReply{Step::kOk};
const Step kNoReply{Step::kNoReply};
const Step kCloseSession{Step::kCloseSession};
const Step kSendFails{Step::kSendFails};

Step NotLeader(const std::string& leader) {
  return {Step::kRefuse, Reason::kNotLeader, RunState::kNotRun, leader};
}
Step Refuses(Reason reason, RunState run_state) {
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

/// Simulates sessions to the keepers k1, k2 and k3, which follow scripts. The
/// last step of a script repeats. A keeper without a script has no session.
class ScriptedHub final : public HubI {
 public:
  using Scripts = std::map<std::string, std::vector<Step>>;

  explicit ScriptedHub(Scripts scripts) : scripts_(std::move(scripts)) {}

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
      case Step::kCloseSession:
        client_->OnClosed(session);
        break;
      case Step::kNoReply:
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
  void Start(ScriptedHub::Scripts scripts) {
    hub_ = std::make_unique<ScriptedHub>(std::move(scripts));
    KeeperClientInit init;
    init.keepers = {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
    init.timeout_ms = 200;
    init.attempt_timeout_ms = 40;
    client_ = std::make_unique<KeeperClient>(init, *hub_, SystemClock());
    hub_->client_ = client_.get();
  }

  std::unique_ptr<ScriptedHub> hub_;
  std::unique_ptr<KeeperClient> client_;
};

struct Case {
  const char* description;
  ScriptedHub::Scripts scripts;
  uint8_t op;
  Reason reason;
  RunState run_state;
  const char* first_sent;  ///< Keepers of the first attempts, in order.
};

// Guards against a client that does not find the leader, retries an operation
// that must not be retried, or returns a wrong run state.
TEST_F(KeeperClientTest, FaultTable_ReturnsCorrectOutcome) {
  const RunState not_run = RunState::kNotRun;
  const RunState unknown = RunState::kUnknown;
  const Case cases[] = {
      {"no session", {}, kPropose, Reason::kNoQuorum, not_run, ""},
      {"the leader named by a follower is asked",
       {{"k1", {NotLeader("k3")}}, {"k2", {kNoReply}}, {"k3", {kOkReply}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k3 "},
      {"keepers are asked in turn if none names a leader",
       {{"k1", {NotLeader("")}}, {"k2", {NotLeader("")}}, {"k3", {kOkReply}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 k3 "},
      {"the named leader has no session",
       {{"k1", {NotLeader("k2")}}, {"k3", {kOkReply}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k3 "},
      {"the leader does not reply: not asked again at once when another keeper "
       "names it",
       {{"k1", {kNoReply}}, {"k2", {NotLeader("k1")}}, {"k3", {kOkReply}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 k3 "},
      {"leader change during the attempt: the command is retried",
       {{"k1", {Refuses(Reason::kNoQuorum, unknown), NotLeader("k2")}},
        {"k2", {kOkReply}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 "},
      {"session closed: the command is retried",
       {{"k1", {kCloseSession}}, {"k2", {kOkReply}}},
       kPropose,
       Reason::kNone,
       not_run,
       "k1 k2 "},
      {"no leader, and no keeper accepted the command",
       {{"k1", {NotLeader("")}}, {"k2", {NotLeader("k1")}}},
       kPropose,
       Reason::kNoQuorum,
       not_run,
       "k1 k2 "},
      {"no attempt could be sent",
       {{"k1", {kSendFails}}, {"k2", {kSendFails}}},
       kPropose,
       Reason::kNoQuorum,
       not_run,
       "k1 k2 "},
      {"no reply: the command may be committed",
       {{"k1", {kNoReply}}},
       kPropose,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"session closed, then refused: the first attempt may be committed",
       {{"k1", {kCloseSession, NotLeader("")}}},
       kPropose,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"leadership lost during the attempt: the command may be committed",
       {{"k1", {Refuses(Reason::kNoQuorum, unknown), NotLeader("")}}},
       kPropose,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"queue full after an attempt without reply: the first attempt may be "
       "committed",
       {{"k1", {kNoReply}}, {"k2", {Refuses(Reason::kQueueFull, not_run)}}},
       kPropose,
       Reason::kQueueFull,
       unknown,
       "k1 k2 "},
      {"queue full: the command is not retried",
       {{"k1", {Refuses(Reason::kQueueFull, not_run)}}, {"k2", {kOkReply}}},
       kPropose,
       Reason::kQueueFull,
       not_run,
       "k1 "},
      {"no reply to a query: it is never executed",
       {{"k1", {kNoReply}}},
       kQuery,
       Reason::kNoQuorum,
       not_run,
       "k1 "},
      {"a replica change is retried after not_leader",
       {{"k1", {NotLeader("k2")}}, {"k2", {kOkReply}}},
       kAdd,
       Reason::kNone,
       not_run,
       "k1 k2 "},
      {"a replica change without a reply is not retried",
       {{"k1", {kCloseSession}}, {"k2", {kOkReply}}},
       kAdd,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
      {"a replica change that may be committed is not retried",
       {{"k1", {Refuses(Reason::kNoQuorum, unknown)}}, {"k2", {kOkReply}}},
       kAdd,
       Reason::kNoQuorum,
       unknown,
       "k1 "},
  };
  for (const Case& c : cases) {
    Start(c.scripts);
    const auto result = client_->Call("salem", c.op, "payload");
    EXPECT_EQ(result.refusal().reason, c.reason) << c.description;
    EXPECT_EQ(result.refusal().run_state, c.run_state) << c.description;
    EXPECT_EQ(hub_->sent_.rfind(c.first_sent, 0), 0u)
        << c.description << ": " << hub_->sent_;
    if (c.op == kAdd) {
      EXPECT_EQ(hub_->sent_, c.first_sent) << c.description;
    }
  }
}

// Guards against a client that searches for the leader in each request.
TEST_F(KeeperClientTest, KnownLeader_IsAskedFirst) {
  Start({{"k1", {NotLeader("k2")}}, {"k2", {kOkReply}}});
  ASSERT_TRUE(client_->Propose("salem", "a").ok());
  ASSERT_TRUE(client_->Query("salem", "b").ok());
  EXPECT_EQ(hub_->sent_, "k1 k2 k2 ");
}

// Guards against a client that drops the reply to an earlier attempt because it
// has already started another.
TEST_F(KeeperClientTest, LateReplyToEarlierAttempt_CompletesTheCall) {
  Start({{"k1", {kNoReply}}, {"k2", {kNoReply}}});
  std::thread keeper([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    hub_->Deliver({1}, 1, Reply(kOkReply, "late"));
  });
  const auto result = client_->Propose("salem", "a");
  keeper.join();
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(*result, "late");
}

// Guards against a call that accepts a reply that is not its own: a reply to a
// call that has timed out, from another session, with an unknown correlation id
// or with malformed content.
TEST_F(KeeperClientTest, RepliesToOtherCalls_AreDropped) {
  Start({{"k1", {kNoReply}}});
  EXPECT_FALSE(client_->Propose("salem", "a").ok());
  const uint64_t old_correlation = hub_->last_.correlation;
  std::thread keeper([this, old_correlation] {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    hub_->Deliver({1}, old_correlation, Reply(kOkReply, "too late"));
    hub_->Deliver({2}, old_correlation + 1, Reply(kOkReply, "wrong session"));
    hub_->Deliver({1}, old_correlation + 99, Reply(kOkReply, "never asked"));
    hub_->Deliver({1}, old_correlation + 1, "not a reply");
    hub_->Deliver({1}, old_correlation + 1, Reply(kOkReply, "right"));
  });
  const auto result = client_->Propose("salem", "b");
  keeper.join();
  ASSERT_TRUE(result.ok());
  EXPECT_EQ(*result, "right");
}

// Guards against concurrent calls that receive each other's replies when these
// arrive out of order.
TEST_F(KeeperClientTest, RepliesOutOfOrder_ReachTheirCalls) {
  Start({{"k1", {kNoReply}}});
  std::vector<KeeperResult> results(2, Refusal{});
  std::thread first(
      [&] { results[0] = client_->CallNode("k1", "salem", kQuery, "a"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  std::thread second(
      [&] { results[1] = client_->CallNode("k1", "salem", kQuery, "b"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  hub_->Deliver({1}, 2, Reply(kOkReply, "second"));
  hub_->Deliver({1}, 1, Reply(kOkReply, "first"));
  first.join();
  second.join();
  EXPECT_EQ(*results[0], "first");
  EXPECT_EQ(*results[1], "second");
}

// Guards against control pushes that do not reach the callback.
TEST_F(KeeperClientTest, ControlPush_RunsTheCallback) {
  Start({});
  uint64_t seen = 0;
  client_->SetControlPushCallback([&](uint64_t version) { seen = version; });
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateControlPush(builder, 7, 1));
  client_->OnFrame(
      {1}, {}, {FrameKind::ControlPush, "control", 0, BufferToString(builder)});
  EXPECT_EQ(seen, 7u);
}

// Guards against a store that sends requests to a group other than the home
// domain of the program, or that accepts results that cannot be decoded.
TEST_F(KeeperClientTest, ProgramStore_AsksTheHomeDomain) {
  Start({{"k1", {kOkReply}}});
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
