// TCP relay on loopback that simulates a network link between machines. It can
// delay, cut, refuse and reset TCP connections. It does not model packet loss,
// reordering, limited bandwidth or UDP. While cut, it accepts new connections
// and drops their bytes, whereas on a real link the connect would time out.
//
// Commands (HTTP on the control port): POST /cut, /refuse, /reset, /heal,
// /delay?ms=N; GET /stats.

#include <cstdio>
#include <cstdlib>

#include <CLI/CLI.hpp>

#include "fakes/ringfake/http_common.h"
#include "fakes/ringlink/relay.h"
#include "persimmonring/runtime.h"

namespace ring::fakes {
namespace {

void AddRoutes(httplib::Server& server, Relay& relay) {
  const auto add = [&](const char* path, auto action) {
    server.Post(path, [&relay, action](const auto& request, auto& response) {
      action(request);
      ReplyJson(response, relay.Stats());
    });
  };
  add("/cut", [&](const auto&) { relay.SetMode(Relay::Mode::kCut); });
  add("/refuse", [&](const auto&) { relay.SetMode(Relay::Mode::kRefuse); });
  add("/heal", [&](const auto&) { relay.SetMode(Relay::Mode::kOpen); });
  add("/reset", [&](const auto&) { relay.Reset(); });
  add("/delay", [&](const auto& request) {
    const std::string ms = request.get_param_value("ms");
    relay.SetDelay(std::strtoll(ms.c_str(), nullptr, 10));
  });
  server.Get("/stats", [&relay](const auto& /*request*/, auto& response) {
    ReplyJson(response, relay.Stats());
  });
}

int Serve(const Relay::Init& init, int control_port) {
  auto relay = Relay::Create(init);
  httplib::Server server;
  constexpr int kThreads = 8;
  ConfigureServer(server, kThreads);
  if (control_port == 0) {
    control_port = server.bind_to_any_port("127.0.0.1");
  } else if (!server.bind_to_port("127.0.0.1", control_port)) {
    control_port = -1;
  }
  if (!relay || control_port < 0) {
    std::fprintf(stderr, "cannot listen: relay or control port is in use\n");
    return kExitPortInUse;
  }
  AddRoutes(server, **relay);
  std::printf("port=%d control=%d\n", (*relay)->port(), control_port);
  std::fflush(stdout);
  std::thread http([&] { server.listen_after_bind(); });
  constexpr int64_t kSignalPollMs = 1'000;
  while (!WaitStopSignal(kSignalPollMs)) {
  }
  server.stop();
  http.join();
  return kExitOk;
}

}  // namespace
}  // namespace ring::fakes

int main(int argc, char** argv) {
  ring::BlockStopSignals();
  std::string listen = "127.0.0.1:0";
  std::string target;
  int control_port = 0;
  ring::fakes::Relay::Init init;
  CLI::App app("TCP relay that simulates a network link");
  app.add_option("--listen", listen, "ip:port; port 0: any free port");
  app.add_option("--target", target, "ip:port")->required();
  app.add_option("--control-port", control_port, "0: any free port");
  app.add_option("--delay-ms", init.delay_ms, "one-way delay");
  CLI11_PARSE(app, argc, argv);
  const auto to = ring::Endpoint::Parse(target);
  const size_t colon = listen.find(':');
  if (!to || colon == std::string::npos) {
    std::fprintf(stderr, "--listen and --target must have the form ip:port\n");
    return ring::kExitUsage;
  }
  init.target = *to;
  init.listen.ip = listen.substr(0, colon);
  init.listen.port = static_cast<uint16_t>(
      std::strtoul(listen.c_str() + colon + 1, nullptr, 10));
  return ring::fakes::Serve(init, control_port);
}
