#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakes/free_port.h"
#include "wire_frame_p.h"

namespace ring {
namespace {

using fakes::FreePort;

// Records the events of a hub; sends each frame back if echo_ is set.
class Recorder final : public HubListenerI {
 public:
  void OnOpened(SessionHandle session, const PeerInfo& peer) override {
    std::lock_guard lock(mutex_);
    opened_.push_back(peer);
    last_ = session;
  }
  void OnFrame(SessionHandle session,
               const PeerInfo& /*peer*/,
               const Frame& frame) override {
    {
      std::lock_guard lock(mutex_);
      frames_.push_back(frame);
    }
    if (echo_ != nullptr) {
      echo_->Send(session, frame);
    }
  }
  void OnClosed(SessionHandle /*session*/,
                const PeerInfo& /*peer*/,
                Reason reason) override {
    std::lock_guard lock(mutex_);
    closed_.push_back(reason);
  }

  size_t opened() const {
    std::lock_guard lock(mutex_);
    return opened_.size();
  }
  std::vector<Frame> frames() const {
    std::lock_guard lock(mutex_);
    return frames_;
  }
  std::vector<Reason> closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }
  SessionHandle last() const {
    std::lock_guard lock(mutex_);
    return last_;
  }

  Hub* echo_ = nullptr;

 private:
  mutable std::mutex mutex_;
  std::vector<PeerInfo> opened_;
  std::vector<Frame> frames_;
  std::vector<Reason> closed_;
  SessionHandle last_;
};

// Runs a hub on its own thread.
struct RunningHub {
  explicit RunningHub(Hub::Init settings) : init(std::move(settings)) {
    auto created = Hub::Create(init, events);
    RING_CHECK(created.ok());
    hub = std::move(*created);
    thread = std::thread([this] { hub->Run(stop); });
  }
  ~RunningHub() {
    stop.RequestStop();
    hub->Wake();
    thread.join();
  }

  Hub::Init init;
  Recorder events;
  std::unique_ptr<Hub> hub;
  StopToken stop;
  std::thread thread;
};

Hub::Init InitOf(const std::string& name,
                 const std::string& region = "oregon") {
  return {.ring = "test",
          .node = name,
          .domain = region + "-1",
          .region = region,
          .listen = {.ip = "127.0.0.1", .port = FreePort()},
          .ping_period_ms = 50,
          .receive_timeout_ms = 300,
          .reconnect_delay_ms = 20};
}

template <typename Condition>
bool WaitUntil(Condition condition, int64_t timeout_ms = 5'000) {
  const int64_t end = SystemClock().NowMs() + timeout_ms;
  while (!condition()) {
    if (SystemClock().NowMs() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

int ConnectRaw(const Endpoint& endpoint) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
            0);
  return fd;
}

int ListenRaw(const Endpoint& endpoint, int backlog = 16) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
            0);
  EXPECT_EQ(listen(fd, backlog), 0);
  return fd;
}

// Returns true if the peer closes the connection within 5 s.
bool WaitEof(int fd) {
  timeval limit = {.tv_sec = 5, .tv_usec = 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  char buffer[4'096];
  ssize_t got = 0;
  while ((got = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
  }
  return got == 0 || errno == ECONNRESET;
}

std::string HelloBytes(const std::string& ring_name) {
  return EncodeFrame(
      {.kind = FrameKind::Hello,
       .payload = wire::EncodeHello(
           {.ring = ring_name,
            .peer = {.node = "raw", .domain = "d", .region = "oregon"}})},
      "raw", false);
}

// Guards against frames that are lost, reordered or sent to the wrong session.
TEST(WireHubSend, ConnectedPeers_ExchangeFramesInOrder) {
  RunningHub a(InitOf("a"));
  RunningHub b(InitOf("b"));
  b.events.echo_ = b.hub.get();
  a.hub->Connect(b.init.listen);
  ASSERT_TRUE(WaitUntil([&] { return IsValid(a.hub->FindByNode("b")); }));
  const SessionHandle session = a.hub->FindByEndpoint(b.init.listen);
  EXPECT_EQ(session, a.hub->FindByNode("b"));
  constexpr uint64_t kFrames = 2'000;
  for (uint64_t i = 0; i < kFrames; ++i) {
    const Frame frame{.kind = FrameKind::Gossip,
                      .correlation = i,
                      .payload = std::string(i % 5'000, 'p')};
    ASSERT_TRUE(a.hub->Send(session, frame).ok());
  }
  ASSERT_TRUE(
      WaitUntil([&] { return a.events.frames().size() == kFrames; }, 20'000));
  const auto frames = a.events.frames();
  for (uint64_t i = 0; i < kFrames; ++i) {
    EXPECT_EQ(frames[i].correlation, i);
  }
}

// Guards against sessions that are not re-established after a peer restarts.
TEST(WireHubConnect, PeerRestarts_SessionIsOpenedAgain) {
  RunningHub a(InitOf("a"));
  const auto init = InitOf("b");
  a.hub->Connect(init.listen);
  {
    RunningHub b(init);
    ASSERT_TRUE(WaitUntil([&] { return a.events.opened() == 1; }));
  }
  ASSERT_TRUE(WaitUntil([&] { return a.events.closed().size() == 1; }));
  EXPECT_FALSE(IsValid(a.hub->FindByNode("b")));
  EXPECT_EQ(a.hub->Send(a.events.last(), {}).refusal().reason,
            Reason::kOwnerUnreachable);
  RunningHub b(init);
  EXPECT_TRUE(WaitUntil([&] { return a.events.opened() == 2; }));
  a.hub->Disconnect(init.listen);
  ASSERT_TRUE(WaitUntil([&] { return a.events.closed().size() == 2; }));
  EXPECT_EQ(a.events.closed().back(), Reason::kCancelled);
}

// Guards against a reconnect delay that grows too early: entries noticed a
// restarted keeper half a second late, because the delay had doubled while the
// keeper replayed its log.
TEST(WireHubConnect, PeerAwayForASecond_IsRetriedAtConstantDelay) {
  auto init = InitOf("a");
  init.reconnect_delay_ms = 100;
  RunningHub a(init);
  const Endpoint address = {.ip = "127.0.0.1", .port = FreePort()};
  const int listener = ListenRaw(address);
  const int64_t start_ms = SystemClock().NowMs();
  a.hub->Connect(address);
  constexpr int kAttempts = 8;
  for (int i = 0; i < kAttempts; ++i) {
    const int fd = accept(listener, nullptr, nullptr);
    ASSERT_GE(fd, 0);
    close(fd);
  }
  close(listener);
  // With doubling, the delays would add up to 2,700 ms.
  EXPECT_LT(SystemClock().NowMs() - start_ms, 2'000);
}

// Guards against two causes of late reconnects: a connection request that was
// sent while the keeper's VM was down and that TCP retransmits only after 1 s,
// and a timeout too short for links with a high queueing delay.
TEST(WireHubConnect, UnansweredRequests_AreRepeatedWithLongerTimeouts) {
  auto init = InitOf("a");
  init.connect_timeout_ms = 100;
  init.receive_timeout_ms = 800;
  const Endpoint address = {.ip = "127.0.0.1", .port = FreePort()};
  const int listener = ListenRaw(address, 0);
  // Fills the accept queue, so that further connection requests are dropped.
  const int filler = ConnectRaw(address);
  RunningHub a(init);
  const int64_t start_ms = SystemClock().NowMs();
  a.hub->Connect(address);
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  close(accept(listener, nullptr, nullptr));
  const int fd = accept(listener, nullptr, nullptr);
  EXPECT_GE(fd, 0);
  // TCP itself retransmits the first request after 1 s.
  EXPECT_LT(SystemClock().NowMs() - start_ms, 900);
  close(fd);
  close(filler);
  close(listener);
}

// Guards against a lost peer being contacted at the initial rate forever.
TEST(WireHubConnect, PeerAwayForLong_IsRetriedLessOften) {
  auto init = InitOf("a");
  init.reconnect_delay_ms = 20;
  init.fast_reconnect_ms = 200;
  RunningHub a(init);
  const Endpoint address = {.ip = "127.0.0.1", .port = FreePort()};
  const int listener = ListenRaw(address);
  a.hub->Connect(address);
  const int64_t end_ms = SystemClock().NowMs() + 1'500;
  int attempts = 0;
  while (SystemClock().NowMs() < end_ms) {
    const int fd = accept(listener, nullptr, nullptr);
    ASSERT_GE(fd, 0);
    close(fd);
    ++attempts;
  }
  close(listener);
  EXPECT_LT(attempts, 30);
}

// Guards against closing idle sessions whose peer still sends Pings, and
// against keeping sessions whose peer is silent.
TEST(WireHubSilence, OnlySilentPeer_IsClosedAsTimeout) {
  RunningHub a(InitOf("a"));
  RunningHub b(InitOf("b"));
  b.hub->Connect(a.init.listen);
  ASSERT_TRUE(WaitUntil([&] { return a.events.opened() == 1; }));
  const int fd = ConnectRaw(a.init.listen);
  const std::string hello = HelloBytes("test");
  ASSERT_EQ(send(fd, hello.data(), hello.size(), 0),
            static_cast<ssize_t>(hello.size()));
  ASSERT_TRUE(WaitUntil([&] { return a.events.closed().size() == 1; }));
  EXPECT_EQ(a.events.closed()[0], Reason::kUpstreamTimeout);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  EXPECT_TRUE(IsValid(a.hub->FindByNode("b")));
  EXPECT_EQ(a.events.closed().size(), 1u);
  close(fd);
}

// Guards against sessions between processes of different rings.
TEST(WireHubHello, OtherRing_ClosesWithVersionMismatch) {
  RunningHub a(InitOf("a"));
  auto init = InitOf("b");
  init.ring = "other";
  RunningHub b(init);
  a.hub->Connect(init.listen);
  ASSERT_TRUE(WaitUntil([&] { return !a.events.closed().empty(); }));
  EXPECT_EQ(a.events.closed()[0], Reason::kVersionMismatch);
  EXPECT_EQ(a.events.opened(), 0u);
}

// Guards against malformed input that crashes the hub or leaves a session open.
TEST(WireHubInput, DamagedBytes_CloseTheSession) {
  RunningHub a(InitOf("a"));
  std::string wrong_checksum = HelloBytes("test");
  wrong_checksum[5] = static_cast<char>(~wrong_checksum[5]);
  const std::string ping = EncodeFrame({}, "", false);
  std::string damaged = ping;
  damaged.back() = static_cast<char>(~damaged.back());
  const std::pair<const char*, std::string> cases[] = {
      {"http", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
      {"oversized length", std::string(12, '\xff')},
      {"wrong checksum", wrong_checksum},
      {"frame before hello", ping},
      {"second hello", HelloBytes("test") + HelloBytes("test")},
      {"damaged frame", HelloBytes("test") + damaged},
      {"oversized frame", HelloBytes("test") + std::string(12, '\xff')},
  };
  uint64_t refused = 0;
  for (const auto& [name, bytes] : cases) {
    SCOPED_TRACE(name);
    const int fd = ConnectRaw(a.init.listen);
    ASSERT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    EXPECT_TRUE(WaitEof(fd));
    close(fd);
    EXPECT_EQ(a.hub->stats().refused_frames, ++refused);
  }
  EXPECT_EQ(a.events.closed().back(), Reason::kCorruptData);
  EXPECT_TRUE(a.events.frames().empty());
}

// Guards against memory exhaustion by a peer that does not read.
TEST(WireHubSend, PeerDoesNotRead_QueueStaysBounded) {
  auto init = InitOf("a");
  init.max_queue_bytes = 1u << 20;
  init.receive_timeout_ms = 5'000;
  RunningHub a(init);
  const int fd = ConnectRaw(a.init.listen);
  const std::string hello = HelloBytes("test");
  ASSERT_GT(send(fd, hello.data(), hello.size(), 0), 0);
  ASSERT_TRUE(WaitUntil([&] { return a.events.opened() == 1; }));
  const Frame frame{.kind = FrameKind::Raft,
                    .payload = std::string(500'000, 'x')};
  Status status = Done{};
  for (int i = 0; i < 100 && status.ok(); ++i) {
    status = a.hub->Send(a.events.last(), frame);
  }
  EXPECT_EQ(status.refusal().reason, Reason::kQueueFull);
  const Frame large{.kind = FrameKind::Raft,
                    .payload = std::string(kMaxFrameBytes, 'x')};
  EXPECT_EQ(a.hub->Send(a.events.last(), large).refusal().reason,
            Reason::kBodyTooLarge);
  close(fd);
}

// Guards against an unlimited number of connections.
TEST(WireHubAccept, TooManySessions_AreRefused) {
  auto init = InitOf("a");
  init.max_sessions = 2;
  init.receive_timeout_ms = 10'000;
  RunningHub a(init);
  const int first = ConnectRaw(init.listen);
  const int second = ConnectRaw(init.listen);
  const int third = ConnectRaw(init.listen);
  EXPECT_TRUE(WaitEof(third));
  for (const int fd : {first, second, third}) {
    close(fd);
  }
}

// Guards against missing byte counters and uncompressed traffic between
// regions.
TEST(WireHubBytes, OtherRegion_IsCompressedAndCountedByClass) {
  RunningHub a(InitOf("a", "oregon"));
  RunningHub b(InitOf("b", "washington"));
  a.hub->Connect(b.init.listen);
  ASSERT_TRUE(WaitUntil([&] { return IsValid(a.hub->FindByNode("b")); }));
  const Labels labels = {
      {"class", "raft"}, {"link", "other_region"}, {"direction", "sent"}};
  const double before = metrics::Value("ring_wire_bytes_total", labels);
  constexpr size_t kPayload = 100'000;
  const Frame frame{.kind = FrameKind::Raft,
                    .payload = std::string(kPayload, 'x')};
  ASSERT_TRUE(a.hub->Send(a.hub->FindByNode("b"), frame).ok());
  ASSERT_TRUE(WaitUntil([&] { return b.events.frames().size() == 1; }));
  EXPECT_EQ(b.events.frames()[0], frame);
  ASSERT_TRUE(WaitUntil([&] {
    return metrics::Value("ring_wire_bytes_total", labels) > before;
  }));
  EXPECT_LT(metrics::Value("ring_wire_bytes_total", labels) - before, 5'000);
}

}  // namespace
}  // namespace ring
