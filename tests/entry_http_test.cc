#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakes/entry_fixture.h"

namespace ring {
namespace {

constexpr size_t kThreads = 16;  // Upper bound of the threads of a test.

EntryInit SmallInit() {
  EntryInit init = TestEntry::DefaultInit("entry-1");
  init.http_limits.threads = 4;
  init.http_limits.max_waiting = 2;
  init.http_limits.max_body_bytes = 10'000;
  init.http_limits.header_timeout_ms = 200;
  init.http_limits.body_timeout_ms = 200;
  return init;
}

class EntryHttp : public ::testing::Test {
 protected:
  // Sends raw bytes, one at a time if gap_ms > 0, and reads until the server
  // closes the connection.
  std::string SendRaw(const std::string& bytes, int64_t gap_ms = 0) const {
    const int fd = Connect();
    for (size_t i = 0; i<bytes.size(); i += gap_ms> 0 ? 1 : bytes.size()) {
      const size_t count = gap_ms > 0 ? 1 : bytes.size();
      if (send(fd, bytes.data() + i, count, MSG_NOSIGNAL) < 0) {
        break;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(gap_ms));
    }
    std::string answer = ReadAll(fd);
    close(fd);
    return answer;
  }
  int Connect() const {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(entry_.entry_port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    const timeval limit = {3, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    return fd;
  }
  static std::string ReadAll(int fd) {
    std::string answer;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
      answer.append(buffer, static_cast<size_t>(count));
    }
    return answer;
  }

  FakeBackends ring_;
  TestEntry entry_{ring_, SmallInit()};
  Caller caller_{entry_};
};

struct InputRow {
  const char* name;
  const char* path;
  std::string body;
  const char* reason;
};

class EntryHttpInput : public EntryHttp,
                       public ::testing::WithParamInterface<InputRow> {};

// Guards against invalid input that is executed, crashes the entry or breaks
// the program.
TEST_P(EntryHttpInput, BadInput_IsRefusedNotRunAndNothingIsLost) {
  const InputRow row = GetParam();
  const std::string program = caller_.Open();
  const auto answer = caller_.Post(row.path, row.body,
                                   {{"Authorization", "Bearer " + program}});
  EXPECT_GE(answer.status, 400) << answer.body;
  EXPECT_LT(answer.status, 500) << answer.body;
  EXPECT_EQ(answer.reason(), row.reason) << answer.body;
  EXPECT_EQ(answer.run_state(), "not_run");
  EXPECT_TRUE(ring_.upstreams.attempts().empty());
  Caller other(entry_);
  EXPECT_EQ(other.Ask(program, 1, "hello").status, 200);
}

constexpr char kChat[] = "/v1/chat/completions";
constexpr char kPrograms[] = "/v1/programs";
INSTANTIATE_TEST_SUITE_P(
    Table,
    EntryHttpInput,
    ::testing::Values(
        InputRow{"not_json", kChat, "{\"model\":", "bad_request"},
        InputRow{"list", kChat, "[]", "bad_request"},
        InputRow{"nested", kChat,
                 R"({"model":"m","messages":[{"role":"user","content":)" +
                     std::string(1'000, '[') + std::string(1'000, ']') + "}]}",
                 "bad_request"},
        InputRow{"not_utf8", kChat,
                 "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
                 "\"content\":\"\xff\xfe\"}]}",
                 "bad_request"},
        InputRow{"no_messages", kChat, "{\"model\":\"m\"}", "bad_request"},
        InputRow{"messages_of_numbers", kChat,
                 "{\"model\":\"m\",\"messages\":[1]}", "bad_request"},
        InputRow{"model_is_number", kChat,
                 "{\"model\":1,\"messages\":[{\"role\":\"user\"}]}",
                 "bad_request"},
        InputRow{"unknown_model", kChat,
                 "{\"model\":\"x\",\"messages\":[{\"role\":\"user\"}]}",
                 "unknown_model"},
        InputRow{"huge_max_tokens", kChat,
                 "{\"model\":\"m\",\"max_tokens\":99999999999999999999,"
                 "\"messages\":[{\"role\":\"user\"}]}",
                 "bad_request"},
        InputRow{"stream_is_text", kChat,
                 "{\"model\":\"m\",\"stream\":\"yes\","
                 "\"messages\":[{\"role\":\"user\"}]}",
                 "bad_request"},
        InputRow{"body_too_large", kChat, std::string(20'000, ' '),
                 "body_too_large"},
        InputRow{"deep_json", kChat, std::string(9'000, '['), "bad_request"},
        InputRow{"negative_budget", kPrograms,
                 "{\"team\":\"t\",\"budget_tokens\":-1}", "bad_request"},
        InputRow{"budget_is_text", kPrograms,
                 "{\"team\":\"t\",\"budget_tokens\":\"9\"}", "bad_request"},
        InputRow{"no_team", kPrograms, "{\"budget_tokens\":5}", "bad_request"},
        InputRow{"unknown_service", "/v1/services/nothing/x", "{}",
                 "unknown_service"},
        InputRow{"service_body_not_json", "/v1/services/stock/x", "{",
                 "bad_request"},
        InputRow{"unknown_path", "/v2/nothing", "{}", "unknown_path"}),
    [](const auto& row) { return std::string(row.param.name); });

// Guards against slow clients that occupy a thread without limit.
TEST_F(EntryHttp, SlowOrEndlessSender_IsRefusedInTime) {
  const std::string head =
      "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9\r\n";
  const auto start = std::chrono::steady_clock::now();
  const std::string answer = SendRaw(head + "X: " + std::string(90, 'x'), 5);
  EXPECT_NE(answer.find("HTTP/1.1 400 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("too slowly"), std::string::npos) << answer;
  const std::string body = SendRaw(head + "\r\n1234");
  EXPECT_NE(body.find("HTTP/1.1 400 "), std::string::npos) << body;
  EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(3));
}

// Guards against clients that exhaust memory with headers.
TEST_F(EntryHttp, TooManyHeaders_AreRefused) {
  std::string request = "GET /v1/programs/x HTTP/1.1\r\n";
  for (int i = 0; i < 100; ++i) {
    request += "A" + std::to_string(i) + ": b\r\n";
  }
  const std::string answer = SendRaw(request + "\r\n");
  EXPECT_NE(answer.find("too many headers"), std::string::npos) << answer;
}

// Guards against an unbounded queue of connections when all threads are busy.
TEST_F(EntryHttp, MoreConnectionsThanThreads_AreRefusedAtOnce) {
  ring_.upstreams.service_delay_ms = 600;
  const std::string program = caller_.Open();
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  for (int i = 0; i < 12; ++i) {
    threads.emplace_back([&] {
      Caller caller(entry_);
      const auto answer = caller.CallService(program, 1, "order/buy", "1");
      served += answer.status == 200 ? 1 : 0;
      refused += answer.status == 503 &&
                         answer.reason() == "connection_limit" &&
                         answer.headers.count("Retry-After") > 0
                     ? 1
                     : 0;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(served + refused, 12);
  EXPECT_GE(refused.load(), 4);
  EXPECT_GE(served.load(), 4);
  EXPECT_EQ(ring_.upstreams.runs().size(), 1u);
}

// Guards against two processes that bind the same port unnoticed.
TEST_F(EntryHttp, PortInUse_IsReportedWithAddress) {
  EntryInit init = TestEntry::DefaultInit("entry-2");
  init.http.port = entry_.entry_port();
  FakeBackends ring;
  const auto policy = CreatePolicy("fcfs-round-robin", {});
  const auto retries = CreateRetryPolicy({});
  EntryDependencies deps{&SystemClock(),  &ring.store,     ring.control.get(),
                         &ring.directory, &ring.upstreams, &ring.upstreams,
                         policy.get(),    retries.get()};
  const auto entry = Entry::Create(init, deps);
  ASSERT_FALSE(entry.ok());
  EXPECT_NE(entry.refusal().message.find(std::to_string(init.http.port)),
            std::string::npos);
}

}  // namespace
}  // namespace ring
