#include <thread>

#include <gtest/gtest.h>

#include "fakes/entry_fixture.h"
#include "fakes/free_port.h"

namespace ring {
namespace {

// Entry with its own hub. A hub needs its listener at construction and the
// entry needs the hub, so this class is the listener and passes events to the
// entry.
class Node final : public HubListenerI {
 public:
  Node(FakeBackends& ring, const std::string& name)
      : address{"127.0.0.1", fakes::FreePort()}, network_({.name = "hub"}) {
    Hub::Init init;
    init.ring = "test";
    init.node = name;
    init.domain = "salem";
    init.region = "oregon";
    init.listen = address;
    init.reconnect_delay_ms = 20;
    init.ping_period_ms = 50;
    init.receive_timeout_ms = 300;
    auto hub = Hub::Create(init, *this);
    RING_CHECK(hub.ok());
    hub_ = std::move(*hub);
    network_.AddWorker(
        "hub", [this](const StopToken& stop) { return hub_->Run(stop); },
        [this] { hub_->Wake(); });
    entry = std::make_unique<TestEntry>(ring, TestEntry::DefaultInit(name),
                                        hub_.get());
    target_.store(&entry->entry());
    network_.Start();
  }
  ~Node() override {
    network_.Stop();
    target_.store(nullptr);
    entry.reset();
  }
  // Stops serving the network, like a suspended process.
  void Freeze() { network_.Stop(); }
  HubI& hub() { return *hub_; }

  void OnOpened(SessionHandle, const PeerInfo&) override {}
  void OnFrame(SessionHandle session,
               const PeerInfo& peer,
               const Frame& frame) override {
    if (Entry* target = target_.load()) {
      target->OnFrame(session, peer, frame);
    }
  }
  void OnClosed(SessionHandle session,
                const PeerInfo& peer,
                Reason reason) override {
    if (Entry* target = target_.load()) {
      target->OnClosed(session, peer, reason);
    }
  }

  const Endpoint address;
  std::unique_ptr<TestEntry> entry;

 private:
  std::unique_ptr<Hub> hub_;
  Supervisor network_;
  std::atomic<Entry*> target_{nullptr};
};

class EntryForward : public ::testing::Test {
 protected:
  EntryForward() {
    second_.hub().Connect(first_.address);
    for (int i = 0; i < 200 && !IsValid(second_.hub().FindByNode("entry-1"));
         ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    EXPECT_TRUE(IsValid(second_.hub().FindByNode("entry-1")));
  }

  FakeBackends ring_;
  Node first_{ring_, "entry-1"};
  Node second_{ring_, "entry-2"};
  Caller owner_{*first_.entry};
  Caller caller_{*second_.entry};
};

// Guards against ownership that moves to the entry that the caller happens to
// reach, and against incomplete forwarded answers.
TEST_F(EntryForward, CallAtOtherEntry_RunsAtOwner) {
  ring_.upstreams.tokens = 40;
  const std::string program = owner_.Open();
  const auto streamed = caller_.Ask(program, 1, "hello", true);
  const std::string whole =
      ring_.upstreams.AnswerTo(ring_.upstreams.attempts().at(0).messages);
  EXPECT_TRUE(streamed.complete()) << streamed.body;
  EXPECT_EQ(streamed.streamed_text(), whole);
  const auto service = caller_.CallService(program, 2, "order/buy", "2");
  EXPECT_EQ(service.body, "{\"echo\":2}");
  const auto gap = caller_.CallService(program, 9, "order/buy", "9");
  EXPECT_EQ(gap.reason(), "sequence_gap");
  EXPECT_EQ(gap.run_state(), "not_run");
  EXPECT_EQ(ring_.store.count("acquire"), 0);
}

// Guards against a streamed answer that breaks off when the owner fails.
TEST_F(EntryForward, OwnerFreezesInStream_OtherEntryContinuesSameText) {
  ring_.upstreams.tokens = 30;
  ring_.upstreams.token_delay_ms = 30;
  const std::string program = owner_.Open();
  std::thread freeze([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    first_.Freeze();
  });
  const auto streamed = caller_.Ask(program, 1, "hello", true);
  freeze.join();
  const auto attempts = ring_.upstreams.attempts();
  EXPECT_EQ(attempts.size(), 2u);
  EXPECT_TRUE(streamed.complete()) << streamed.body;
  EXPECT_EQ(streamed.streamed_text(),
            ring_.upstreams.AnswerTo(attempts.at(0).messages));
}

// Guards against a non-idempotent call that the new owner runs a second time.
TEST_F(EntryForward, OwnerLostInNonIdempotentCall_OutcomeUnknownAndRunOnce) {
  ring_.upstreams.service_delay_ms = 1'000;
  const std::string program = owner_.Open();
  std::thread freeze([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    first_.Freeze();
  });
  const auto answer = caller_.CallService(program, 1, "order/buy", "1");
  freeze.join();
  EXPECT_EQ(answer.reason(), "outcome_unknown") << answer.body;
  EXPECT_EQ(answer.run_state(), "unknown");
  ring_.upstreams.service_delay_ms = 0;
  EXPECT_EQ(caller_.CallService(program, 2, "order/buy", "2").status, 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  EXPECT_EQ(ring_.upstreams.runs(), (std::vector<std::string>{"2", "1"}));
}

// Guards against a drain that refuses calls of open programs instead of letting
// another entry take them over.
TEST_F(EntryForward, OwnerDrained_HandsProgramOver) {
  const std::string program = owner_.Open();
  EXPECT_EQ(owner_.CallService(program, 1, "order/buy", "1").status, 200);
  first_.entry->entry().BeginDrain();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const auto answer = caller_.CallService(program, 2, "order/buy", "2");
  EXPECT_EQ(answer.status, 200) << answer.body;
  EXPECT_EQ(ring_.store.count("acquire"), 1);
}

// Guards against a former owner whose writes are accepted after another entry
// has acquired the program.
TEST_F(EntryForward, FormerOwnerResumes_WritesAreFencedAndCallsMove) {
  const std::string program = owner_.Open();
  EXPECT_EQ(owner_.CallService(program, 1, "order/buy", "1").status, 200);
  first_.Freeze();
  EXPECT_EQ(caller_.CallService(program, 2, "order/buy", "2").status, 200);
  // The former owner's session still expects sequence number 2.
  const auto stale = owner_.CallService(program, 2, "order/buy", "2");
  EXPECT_EQ(stale.body, "{\"echo\":2}");
  EXPECT_EQ(ring_.upstreams.runs(), (std::vector<std::string>{"1", "2"}));
}

}  // namespace
}  // namespace ring
