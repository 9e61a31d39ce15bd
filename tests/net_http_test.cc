#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <gtest/gtest.h>

#include "fakes/fake_clock.h"
#include "fakes/free_port.h"
#include "persimmonring/net.h"

namespace ring {
namespace {

class Recorder final : public HttpListenerI {
 public:
  void OnHead(HttpHead head) override { head_ = std::move(head); }
  void OnBody(std::string_view bytes) override { body_.append(bytes); }
  void OnMessageEnd() override { ++ends_; }

  HttpHead head_;
  std::string body_;
  int ends_ = 0;
};

constexpr size_t kMaxHeader = 200;

class HttpParserTest : public testing::Test {
 protected:
  using State = HttpParser::State;

  HttpParser::State Feed(HttpParser::Kind kind, const std::string& bytes) {
    recorder_ = {};
    HttpParser parser(kind, recorder_, kMaxHeader);
    const HttpParser::Result result = parser.Feed(bytes);
    consumed_ = result.consumed;
    return result.state;
  }
  State Request(const std::string& bytes) {
    return Feed(HttpParser::Kind::kRequest, bytes);
  }
  State Response(const std::string& bytes) {
    return Feed(HttpParser::Kind::kResponse, bytes);
  }

  Recorder recorder_;
  size_t consumed_ = 0;
};

// Guards against request smuggling: ambiguous framing must not be accepted.
TEST_F(HttpParserTest, AmbiguousFraming_IsAnError) {
  const std::string post = "POST / HTTP/1.1\r\n";
  const std::string bad[] = {
      post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
      post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
      post + "Content-Length: 3x\r\n\r\n",
      post + "Content-Length: -3\r\n\r\n",
      post + "Bad Name: 3\r\n\r\n",
      "NOTHTTP\r\n\r\n",
  };
  for (const std::string& bytes : bad) {
    EXPECT_EQ(Request(bytes), State::kError) << bytes;
  }
}

// Guards against bytes of a pipelined message being added to the previous one.
TEST_F(HttpParserTest, PipelinedMessages_AreParsedSeparately) {
  const std::string first = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
  EXPECT_EQ(Request(first + "GET /b HTTP/1.1\r\n\r\n"), State::kMessageEnd);
  EXPECT_EQ(consumed_, first.size());
  EXPECT_EQ(recorder_.body_, "ab");
  EXPECT_EQ(recorder_.head_.target, "/a");
}

// Guards against a truncated response being reported as complete.
TEST_F(HttpParserTest, ResponseWithoutLength_EndsWithItsConnection) {
  HttpParser parser(HttpParser::Kind::kResponse, recorder_, kMaxHeader);
  EXPECT_EQ(parser.Feed("HTTP/1.1 200 OK\r\n\r\nabc").state, State::kMore);
  EXPECT_TRUE(recorder_.head_.until_close);
  EXPECT_EQ(parser.FeedEof().state, State::kMessageEnd);
  HttpParser cut(HttpParser::Kind::kResponse, recorder_, kMaxHeader);
  EXPECT_EQ(cut.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc").state,
            State::kMore);
  EXPECT_EQ(cut.FeedEof().state, State::kError);
}

// Guards against taking a response whose head was cut for a complete one.
TEST_F(HttpParserTest, ResponseHeadCutAnywhere_IsAnError) {
  for (const char* framing :
       {"", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"}) {
    const std::string whole =
        std::string("HTTP/1.1 200 OK\r\nA: b\r\n") + framing + "\r\n";
    HttpParser parser(HttpParser::Kind::kResponse, recorder_, kMaxHeader);
    for (size_t cut = 1; cut < whole.size(); ++cut) {
      recorder_ = {};
      parser.Reset();
      EXPECT_EQ(parser.Feed(whole.substr(0, cut)).state, State::kMore) << cut;
      EXPECT_EQ(parser.FeedEof().state, State::kError) << cut;
      EXPECT_EQ(recorder_.ends_, 0) << cut;
    }
  }
}

// Guards against headers of unlimited size.
TEST_F(HttpParserTest, HeadersBeyondTheLimit_AreAnError) {
  EXPECT_EQ(Request("GET / HTTP/1.1\r\nA: " + std::string(kMaxHeader, 'x')),
            State::kError);
}

class EchoHandler final : public HttpServerHandlerI {
 public:
  void OnRequest(HttpServerConnection& connection,
                 HttpRequest request) override {
    ++requests_;
    connection.Respond(200, {}, request.head.target + request.body);
  }
  void OnPeerDisconnected(HttpServerConnection& /*connection*/) override {}

  std::atomic<int> requests_{0};
};

class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest() : endpoint_{"127.0.0.1", fakes::FreePort()} {
    auto server = HttpServer::Create(loop_, endpoint_, handler_);
    server_ = std::move(*server);
    server_->SetLimits({.max_header_bytes = 512,
                        .max_body_bytes = 16,
                        .request_timeout_ms = 100,
                        .idle_timeout_ms = 200});
    thread_ = std::thread([this] { loop_.Run(stop_); });
  }
  ~HttpServerTest() override {
    stop_.RequestStop();
    loop_.Wake();
    thread_.join();
  }

  /// Sends bytes and returns what is received until the server closes.
  std::string Exchange(const std::string& bytes) const {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint_.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string text;
    char buffer[1'024];
    for (ssize_t got = 0; (got = recv(fd, buffer, sizeof(buffer), 0)) > 0;) {
      text.append(buffer, static_cast<size_t>(got));
    }
    close(fd);
    return text;
  }

  const Endpoint endpoint_;
  EventLoop loop_{SystemClock()};
  EchoHandler handler_;
  std::unique_ptr<HttpServer> server_;
  StopToken stop_;
  std::thread thread_;
};

// Guards against pipelined requests being answered out of order.
TEST_F(HttpServerTest, RequestsSentAtOnce_AreAnsweredInOrder) {
  const std::string text = Exchange(
      "GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
      "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  const size_t first = text.find("\r\n\r\n/1");
  const size_t second = text.find("\r\n\r\n/2x");
  const size_t third = text.find("\r\n\r\n/3");
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
  EXPECT_NE(third, std::string::npos);
}

// Guards against peers that exhaust memory or hold connections open with
// oversized, slow or malformed requests.
TEST_F(HttpServerTest, BeyondTheLimits_IsRefusedByStatus) {
  EXPECT_TRUE(Exchange("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n"
                       "12345678901234567")
                  .starts_with("HTTP/1.1 413 "));
  EXPECT_TRUE(Exchange("GET / HTTP/1.1\r\nA: " + std::string(600, 'x'))
                  .starts_with("HTTP/1.1 431 "));
  EXPECT_TRUE(Exchange("GET / HTTP/1.1\r\nHalf").starts_with("HTTP/1.1 408 "));
  EXPECT_TRUE(Exchange("\x01\x02\x03\r\n\r\n").starts_with("HTTP/1.1 400 "));
  EXPECT_EQ(Exchange(""), "");
  // Guards against bodies that are each within the limit but together exhaust
  // memory.
  loop_.Post([this] {
    server_->SetLimits({.max_body_bytes = 1'000, .max_buffered_bytes = 20});
  });
  EXPECT_TRUE(Exchange("POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n" +
                       std::string(21, 'x'))
                  .starts_with("HTTP/1.1 503 "));
  EXPECT_EQ(handler_.requests_.load(), 0);
  // A refused body no longer counts towards the limit.
  EXPECT_TRUE(Exchange("POST / HTTP/1.1\r\nConnection: close\r\n"
                       "Content-Length: 20\r\n\r\n" +
                       std::string(20, 'x'))
                  .starts_with("HTTP/1.1 200 "));
}

// Guards against timers that fire twice, never, or after they were cancelled or
// destroyed.
TEST(EventLoopTimers, CancelledAndScoped_DoNotFire) {
  FakeClock clock;
  EventLoop loop(clock);
  int single = 0;
  int repeated = 0;
  int cancelled = 0;
  loop.After(10, [&] { ++single; });
  loop.Cancel(loop.After(10, [&] { ++cancelled; }));
  {
    ScopedTimer scoped(loop);
    scoped.Start(10, [&] { ++cancelled; });
  }
  StopToken stop;
  loop.Every(10, [&] {
    if (++repeated == 3) {
      stop.RequestStop();
    }
  });
  std::thread ticking([&] {
    while (!stop.stopped()) {
      clock.AdvanceMs(5);
      loop.Wake();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  });
  loop.Run(stop);
  ticking.join();
  EXPECT_EQ(single, 1);
  EXPECT_EQ(repeated, 3);
  EXPECT_EQ(cancelled, 0);
}

}  // namespace
}  // namespace ring
