#include <barrier>
#include <thread>

#include <gtest/gtest.h>

#include "fakes/entry_fixture.h"

namespace ring {
namespace {

constexpr size_t kThreads = 16;  // Upper bound of the threads of a test.

class EntryOrder : public ::testing::Test {
 protected:
  FakeBackends ring_;
  TestEntry entry_{ring_, TestEntry::DefaultInit("entry-1")};
  Caller caller_{entry_};
};

// Guards against calls that run out of order or twice, and against a resend, a
// gap and a reused number that are not distinguished.
TEST_F(EntryOrder, DuplicatesGapsAndReuse_AreToldApart) {
  const std::string program = caller_.Open();
  const auto first = caller_.CallService(program, 1, "order/buy", "1");
  EXPECT_EQ(first.status, 200);
  const auto again = caller_.CallService(program, 1, "order/buy", "1");
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(caller_.CallService(program, 1, "order/buy", "2").reason(),
            "sequence_reuse");
  const auto gap = caller_.CallService(program, 3, "order/buy", "3");
  EXPECT_EQ(gap.reason(), "sequence_gap");
  EXPECT_EQ(gap.run_state(), "not_run");
  EXPECT_EQ(ring_.upstreams.runs(), std::vector<std::string>{"1"});
}

// Guards against a second run when a caller resends a call in progress.
TEST_F(EntryOrder, DuplicateDuringCall_JoinsTheAttempt) {
  // Longer than sequence_wait_ms.
  ring_.upstreams.service_delay_ms = 800;
  const std::string program = caller_.Open();
  std::vector<std::string> bodies(4);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::string& body : bodies) {
    threads.emplace_back([&] {
      Caller caller(entry_);
      body = caller.CallService(program, 1, "order/buy", "1").body;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(bodies, std::vector<std::string>(4, "{\"echo\":1}"));
  EXPECT_EQ(ring_.upstreams.runs().size(), 1u);
}

// Guards against calls of a program that run in order of arrival and not of
// their sequence numbers.
TEST_F(EntryOrder, CallsSentInReverse_RunInSequence) {
  const std::string program = caller_.Open();
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int sequence = 4; sequence >= 1; --sequence) {
    threads.emplace_back([this, program, sequence] {
      Caller caller(entry_);
      const auto answer =
          caller.CallService(program, static_cast<uint64_t>(sequence),
                             "order/buy", std::to_string(sequence));
      EXPECT_EQ(answer.status, 200) << answer.body;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(ring_.upstreams.runs(),
            (std::vector<std::string>{"1", "2", "3", "4"}));
}

// Guards against lost or mixed histories: the complete conversation that a
// client sends must continue the stored one.
TEST_F(EntryOrder, WholeConversation_MustContinueHistory) {
  const std::string program = caller_.Open();
  const auto first = caller_.Ask(program, 1, "hello");
  ASSERT_EQ(first.status, 200) << first.body;
  nlohmann::json messages = {{{"role", "user"}, {"content", "hello"}},
                             {{"role", "assistant"},
                              {"content", first.content()},
                              {"tool_calls", nullptr}},
                             {{"role", "user"}, {"content", "next"}}};
  const auto post = [&](const nlohmann::json& list) {
    const nlohmann::json body = {{"model", "m"}, {"messages", list}};
    return caller_.Post("/v1/chat/completions", body.dump(),
                        {{"Authorization", "Bearer " + program}});
  };
  auto other = messages;
  other[0]["content"] = "hullo";
  EXPECT_EQ(post(other).reason(), "history_mismatch");
  EXPECT_EQ(post(messages).status, 200);
  EXPECT_EQ(post(messages).reason(), "history_mismatch");
}

// Guards against programs that spend more than their budget.
TEST_F(EntryOrder, BudgetTooSmall_RefusesNotRun) {
  const std::string program = caller_.Open(58);
  EXPECT_EQ(caller_.Ask(program, 1, "hello").reason(), "budget_exceeded");
  EXPECT_TRUE(ring_.upstreams.attempts().empty());
}

// Guards against a non-idempotent call that runs at two entries which acquire
// the program in turn: each sequence number must run once and in order.
TEST_F(EntryOrder, TwoEntriesAtOnce_EachCallRunsOnceInOrder) {
  TestEntry second(ring_, TestEntry::DefaultInit("entry-2"));
  const std::string program = caller_.Open();
  constexpr uint64_t kCalls = 25;
  // Both entries receive each call at the same time and contend for it.
  std::barrier both(2);
  const auto run = [&](TestEntry& entry) {
    Caller caller(entry);
    for (uint64_t sequence = 1; sequence <= kCalls; ++sequence) {
      both.arrive_and_wait();
      Caller::Answer answer;
      for (int tries = 0; tries < 50; ++tries) {
        answer = caller.CallService(program, sequence, "order/buy",
                                    std::to_string(sequence));
        if (answer.status == 200 || answer.status == 502) {
          break;
        }
      }
      EXPECT_TRUE(answer.status == 200 || answer.status == 502 ||
                  answer.reason() == "answer_expired")
          << answer.body;
    }
  };
  std::thread other([&] { run(second); });
  run(entry_);
  other.join();
  const auto runs = ring_.upstreams.runs();
  std::vector<uint64_t> order;
  order.reserve(runs.size());
  for (const std::string& body : runs) {
    order.push_back(std::stoull(body));
  }
  for (size_t i = 1; i < order.size(); ++i) {
    EXPECT_GT(order[i], order[i - 1]) << "a call ran twice or out of order";
  }
  EXPECT_GT(order.size(), 0u);
  EXPECT_GE(ring_.store.count("acquire"), 2);
}

}  // namespace
}  // namespace ring
