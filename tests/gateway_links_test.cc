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
    peer_ = std::make_unique<TestEntry>(init, protocol_);
    for (int i = 0; i < 4; ++i) {
      ServeTool([](const std::string& request) {
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

INSTANTIATE_TEST_SUITE_P(Cuts,
                         GatewayCutLinksTest,
                         testing::Values(Cut::kRefused, Cut::kHanging),
                         [](const auto& cut) {
                           return cut.param == Cut::kRefused ? "Refused"
                                                             : "Hanging";
                         });

}  // namespace
}  // namespace ring
