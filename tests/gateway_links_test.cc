#include "gateway_fixture.h"

namespace ring {
namespace {

using fakes::ScriptedReply;

/// How the links of an entry to all upstreams fail.
enum class Cut : uint8_t { kRefused, kHanging };

/// Runs a second entry, whose links stay sound while those of the first one are
/// cut.
class GatewayLinksTest : public GatewayCallTest {
 protected:
  GatewayLinksTest() {
    black_hole_.StopAnswering();
    GatewayInit init = EntryInit();
    init.node = "peer";
    init.listen = {"127.0.0.1", fakes::FreePort()};
    init.ready_listen = {"127.0.0.1", fakes::FreePort()};
    init.connector = nullptr;
    init.relay_listen = peer_relay_;
    peer_ = std::make_unique<TestEntry>(init, protocol_);
    for (int i = 0; i < 4; ++i) {
      ServeTool([](const std::string& request) {
        if (request.starts_with("POST /order/slow")) {
          return ScriptedReply{{}, ScriptedReply::Then::kStall};
        }
        return ScriptedReply{
            {FullResponse(200, request, "ok", "Connection: close\r\n")},
            ScriptedReply::Then::kClose};
      });
      ServeEngine(
          [](const std::string& request) { return Events(request, {"a"}); });
    }
    ConfigureAll();
  }
  ~GatewayLinksTest() override { peer_.reset(); }

  void CutLinks(Cut cut) {
    connector_.Replace(cut == Cut::kRefused
                           ? Endpoint{"127.0.0.1", fakes::FreePort()}
                           : black_hole_.endpoint());
  }
  void RestoreLinks() { connector_.Replace(std::nullopt); }

  /// Sends requests one after the other.
  /// @returns how many of them were served
  int SendMany(const std::string& path, int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = "r" + std::to_string(++sent_);
      const CallerResponse answer =
          Post(path, "Request-Id: " + id + ", Deadline-Ms: 2000", "x");
      served += answer.status() == 200 ? 1 : 0;
    }
    return served;
  }

  fakes::ScriptedUpstream black_hole_{
      [](const std::string&) { return ScriptedReply{}; }};
  const Endpoint peer_relay_{"127.0.0.1", fakes::FreePort()};
  std::unique_ptr<TestEntry> peer_;
  int sent_ = 0;
};

class GatewayCutLinksTest : public GatewayLinksTest,
                            public testing::WithParamInterface<Cut> {};

// Guards against an entry that refuses requests that another entry could pass
// on.
TEST_P(GatewayCutLinksTest, AnotherEntryReachesTheUpstreams_CallsAreServed) {
  EXPECT_EQ(SendMany("/order/1", 3), 3);
  CutLinks(GetParam());
  SendMany("/order/1", 1);
  const size_t before = Requests();
  EXPECT_EQ(SendMany("/order/1", 10), 10);
  EXPECT_EQ(Requests() - before, 10u);
}

TEST_P(GatewayCutLinksTest, AnotherEntryReachesTheUpstreams_TurnsAreServed) {
  CutLinks(GetParam());
  SendMany("/turn/1", 1);
  EXPECT_EQ(SendMany("/turn/1", 10), 10);
}

// Guards against links that are not used again, and against requests that go
// on taking the way through another entry.
TEST_P(GatewayCutLinksTest, LinksAreBack_UsedAgain) {
  CutLinks(GetParam());
  SendMany("/order/1", 2);
  RestoreLinks();
  std::this_thread::sleep_for(std::chrono::milliseconds(1'000));
  peer_.reset();
  EXPECT_EQ(SendMany("/order/1", 10), 10);
}

// Guards against an entry that takes its own fault for crashes of upstreams.
TEST_P(GatewayCutLinksTest, OwnLinksLost_NoRequestIsSuspected) {
  for (const auto& upstream : upstreams_) {
    upstream->StopAnswering();
  }
  CutLinks(GetParam());
  for (int i = 0; i < 6; ++i) {
    Post("/order/1", "Request-Id: k" + std::to_string(i) + ", Deadline-Ms: 700",
         "same");
  }
  RestoreLinks();
  const CallerResponse answer =
      Post("/order/1", "Request-Id: last, Deadline-Ms: 700", "same");
  EXPECT_EQ(answer.text.find("quarantined"), std::string::npos);
}

// Guards against a request that runs twice because the connection through
// another entry broke after it was sent.
TEST_F(GatewayLinksTest, RelayEndsDuringARequest_OrderIsNotRepeated) {
  const std::string path = "/order/slow";
  CutLinks(Cut::kRefused);
  SendMany("/order/1", 2);
  std::thread stop([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    peer_.reset();
  });
  const size_t before = Requests();
  const CallerResponse answer =
      Post(path, "Request-Id: slow, Deadline-Ms: 2000", "x");
  stop.join();
  EXPECT_EQ(Requests() - before, 1u);
  EXPECT_NE(answer.status(), 200);
  EXPECT_NE(answer.status(), 503);
}

// Guards against an entry that relays connections to any address.
TEST_F(GatewayLinksTest, UnknownAddress_IsNotRelayed) {
  const int fd = Connect(peer_relay_);
  const std::string request =
      "CONNECT " + listen_.ToString() + " HTTP/1.1\r\nHost: h\r\n\r\n";
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  char buffer[256];
  const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
  close(fd);
  ASSERT_GT(got, 0);
  EXPECT_TRUE(std::string(buffer, static_cast<size_t>(got))
                  .starts_with("HTTP/1.1 502"));
}

INSTANTIATE_TEST_SUITE_P(Cuts,
                         GatewayCutLinksTest,
                         testing::Values(Cut::kRefused, Cut::kHanging),
                         [](const auto& cut) {
                           return cut.param == Cut::kRefused ? "Refused"
                                                             : "Hanging";
                         });

}  // namespace
}  // namespace ring
