#include <iostream>

#include <CLI/CLI.hpp>

#include "health_server.h"
#include "keeper_settings.h"
#include "persimmonring/keeper.h"

namespace ring {
namespace {

constexpr int64_t kHandOverPollMs = 20;
constexpr int64_t kSignalWaitMs = 1'000;
// Period of leadership transfer requests, which are repeated because they may
// be lost. Longer than an election.
constexpr int64_t kHandOverRetryMs = 500;

struct Options {
  std::string config;
  bool check = false;
  bool describe = false;
  bool initialize = false;
};

int ExitCodeFor(const Refusal& refusal) {
  return refusal.reason == Reason::kStorageFailed ||
                 refusal.reason == Reason::kCorruptData
             ? kExitBadData
             : kExitFailure;
}

int Fail(const Refusal& refusal, int code) {
  std::cerr << "ringkeeper: " << ToString(refusal.reason) << ": "
            << refusal.message << "\n";
  return code;
}

// Reads the settings file and prints every error in it.
std::optional<Settings> ReadSettings(const std::string& file) {
  const SettingsResult result =
      LoadSettings(KeeperSettingTable(), file, CheckKeeperSettings);
  for (const SettingError& error : result.errors) {
    std::cerr << error.ToString() << "\n";
  }
  return result.settings;
}

// Transfers leadership of all led groups to other keepers.
void HandOverLeadership(KeeperHost& host, int64_t limit_ms) {
  const int64_t end_ms = SystemClock().NowMs() + limit_ms;
  int64_t next_ms = 0;
  while (host.led_groups() > 0 && SystemClock().NowMs() < end_ms) {
    if (SystemClock().NowMs() >= next_ms) {
      next_ms = SystemClock().NowMs() + kHandOverRetryMs;
      host.TransferLeadership();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(kHandOverPollMs));
  }
  Event(LogLevel::kInfo, "leadership_handed_over")
      .Add("still_led", uint64_t{host.led_groups()});
}

int Serve(const Settings& settings, KeeperHost& host, Hub& hub) {
  std::unique_ptr<HealthServer> health;
  const Endpoint health_address = settings.Address("health_address");
  if (IsValid(health_address)) {
    auto created =
        HealthServer::Create(health_address, [&host] { return host.ready(); });
    if (!created) {
      return Fail(created.refusal(), kExitPortInUse);
    }
    health = std::move(*created);
  }
  host.Attach(hub);
  Supervisor supervisor({.name = "ringkeeper"});
  supervisor.AddWorker(
      "network", [&hub](const StopToken& stop) { return hub.Run(stop); },
      [&hub] { hub.Wake(); });
  auto groups =
      std::make_unique<Supervisor>(Supervisor::Init{.name = "groups"});
  host.AddWorkers(*groups);
  supervisor.AddChild(std::move(groups));
  if (health) {
    supervisor.AddWorker(
        "health",
        [&health](const StopToken& stop) { return health->Run(stop); },
        [&health] { health->Wake(); });
  }
  supervisor.Start();
  Event(LogLevel::kInfo, "keeper_started")
      .Add("listen", settings.Address("listen").ToString());
  while (!WaitStopSignal(kSignalWaitMs)) {
  }
  HandOverLeadership(host, settings.Int("hand_over_ms"));
  supervisor.Stop();
  Event(LogLevel::kInfo, "keeper_stopped").Add("exit_code", int{kExitOk});
  return kExitOk;
}

int Run(const Settings& settings, bool initialize) {
  InitLog(ReadLogInit(settings, "ringkeeper"));
  KeeperHostInit init = ToHostInit(settings);
  init.initialize = initialize;
  auto host = KeeperHost::Create(init, SystemClock());
  if (!host) {
    return Fail(host.refusal(), ExitCodeFor(host.refusal()));
  }
  if (initialize) {
    return kExitOk;
  }
  auto hub = Hub::Create(ToHubInit(settings), **host);
  if (!hub) {
    return Fail(hub.refusal(), kExitPortInUse);
  }
  const Endpoint metrics_address = settings.Address("metrics_address");
  if (IsValid(metrics_address)) {
    if (Status status = metrics::Serve(metrics_address); !status) {
      return Fail(status.refusal(), kExitPortInUse);
    }
  }
  return Serve(settings, **host, **hub);
}

int Main(int argc, char** argv) {
  BlockStopSignals();
  Options options;
  CLI::App app("Runs replicas of the Raft groups of a ring.", "ringkeeper");
  app.add_option("--config", options.config, "Settings file");
  app.add_flag("--check", options.check, "Check the settings and exit");
  app.add_flag("--describe-settings", options.describe,
               "Print all settings as Markdown rows and exit");
  app.add_flag("--initialize", options.initialize,
               "Prepare the data folder for replicas that were never started, "
               "then exit. Never use it for a replica whose data was lost");
  app.set_version_flag("--version", RING_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  if (options.describe) {
    std::cout << DescribeSettings(KeeperSettingTable());
    return kExitOk;
  }
  if (options.config.empty()) {
    std::cerr << "ringkeeper: --config is required\n";
    return kExitUsage;
  }
  const std::optional<Settings> settings = ReadSettings(options.config);
  if (!settings) {
    return kExitBadSettings;
  }
  return options.check ? kExitOk : Run(*settings, options.initialize);
}

}  // namespace
}  // namespace ring

int main(int argc, char** argv) {
  return ring::Main(argc, argv);
}
