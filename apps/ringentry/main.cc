#include <atomic>
#include <iostream>

#include <CLI/CLI.hpp>

#include "entry_settings.h"

namespace ring {
namespace {

constexpr int64_t kDrainPollMs = 50;

struct Options {
  std::string config;
  bool check = false;
  bool describe = false;
};

int Fail(const Refusal& refusal, int code) {
  std::cerr << "ringentry: " << ToString(refusal.reason) << ": "
            << refusal.message << "\n";
  return code;
}

// Dispatches the frames of the hub to the components that handle them. A
// component is null before it is created and after shutdown.
class FrameDispatcher final : public HubListenerI {
 public:
  void OnOpened(SessionHandle, const PeerInfo&) override {}
  void OnFrame(SessionHandle session,
               const PeerInfo& peer,
               const Frame& frame) override {
    switch (frame.kind) {
      case FrameKind::KeeperReply:
      case FrameKind::ControlPush:
        if (KeeperClient* target = client.load()) {
          target->OnFrame(session, peer, frame);
        }
        break;
      case FrameKind::Gossip:
        if (Directory* target = directory.load()) {
          target->OnFrame(session, peer, frame);
        }
        break;
      default:
        if (Entry* target = entry.load()) {
          target->OnFrame(session, peer, frame);
        }
        break;
    }
  }
  void OnClosed(SessionHandle session,
                const PeerInfo& peer,
                Reason reason) override {
    if (KeeperClient* target = client.load()) {
      target->OnClosed(session);
    }
    if (Entry* target = entry.load()) {
      target->OnClosed(session, peer, reason);
    }
  }

  std::atomic<KeeperClient*> client{nullptr};
  std::atomic<Directory*> directory{nullptr};
  std::atomic<Entry*> entry{nullptr};
};

Directory::Init ToDirectoryInit(const Settings& settings) {
  Directory::Init init;
  init.node = settings.String("node");
  init.domain = settings.String("domain");
  init.region = settings.String("region");
  init.wire = settings.Address("wire_address");
  init.seeds = ToEndpoints(settings.StringList("seeds"));
  return init;
}

// Drains the entry after a stop signal. Further signals have no effect: a drain
// never aborts a request.
void WaitUntilDrained(Entry& entry, Directory& directory) {
  bool leaving_announced = false;
  while (!entry.drained()) {
    if (WaitStopSignal(kDrainPollMs)) {
      entry.BeginDrain();
    }
    if (entry.draining() && !leaving_announced) {
      directory.SetLeaving();
      leaving_announced = true;
    }
  }
}

int Serve(const Settings& settings, FrameDispatcher& dispatcher, Hub& hub) {
  const ClockI& clock = SystemClock();
  KeeperClient client(ToKeeperClientInit(settings), hub, clock);
  dispatcher.client.store(&client);
  const auto programs = CreateProgramStore(client);
  const auto control = CreateControlStore(client);
  Directory directory(ToDirectoryInit(settings), hub, clock);
  dispatcher.directory.store(&directory);
  const auto engine = CreateHttpEngineClient();
  const auto service = CreateHttpServiceClient();
  PolicyInit policy_init;
  policy_init.max_queue = settings.Int("calls.max_queue");
  policy_init.aging_ms = settings.Int("policy.aging_ms");
  const auto policy = CreatePolicy(settings.String("policy.name"), policy_init);
  constexpr double kPercent = 100;
  RetryInit retry_init;
  retry_init.budget_share =
      static_cast<double>(settings.Int("retry.budget_percent")) / kPercent;
  retry_init.min_retries_per_s =
      static_cast<int32_t>(settings.Int("retry.min_per_s"));
  retry_init.max_attempts =
      static_cast<int32_t>(settings.Int("retry.max_attempts"));
  const auto retries = CreateRetryPolicy(retry_init);

  EntryDependencies parts{&clock,       programs.get(), control.get(),
                          &directory,   engine.get(),   service.get(),
                          policy.get(), retries.get(),  &hub};
  auto created = Entry::Create(ToEntryInit(settings), parts);
  if (!created) {
    return Fail(created.refusal(), kExitPortInUse);
  }
  Entry& entry = **created;
  dispatcher.entry.store(&entry);
  client.SetControlPushCallback(
      [&entry](uint64_t /*version*/) { entry.OnControlPush(); });

  Supervisor supervisor({.name = "ringentry"});
  supervisor.AddWorker(
      "network", [&hub](const StopToken& stop) { return hub.Run(stop); },
      [&hub] { hub.Wake(); });
  supervisor.AddWorker("membership", [&directory](const StopToken& stop) {
    return directory.Run(stop);
  });
  auto calls = std::make_unique<Supervisor>(Supervisor::Init{.name = "calls"});
  entry.AddWorkers(*calls);
  supervisor.AddChild(std::move(calls));
  supervisor.Start();
  Event(LogLevel::kInfo, "entry_started")
      .Add("http", settings.Address("http_address").ToString())
      .Add("wire", settings.Address("wire_address").ToString());
  WaitUntilDrained(entry, directory);
  supervisor.Stop();
  dispatcher.entry.store(nullptr);
  dispatcher.directory.store(nullptr);
  dispatcher.client.store(nullptr);
  Event(LogLevel::kInfo, "entry_stopped")
      .Add("duty_restarts", supervisor.restarts());
  return kExitOk;
}

int Run(const Settings& settings) {
  InitLog(ReadLogInit(settings, "ringentry"));
  FrameDispatcher dispatcher;
  auto hub = Hub::Create(ToHubInit(settings), dispatcher);
  if (!hub) {
    return Fail(hub.refusal(), kExitPortInUse);
  }
  const Endpoint metrics_address = settings.Address("metrics_address");
  if (IsValid(metrics_address)) {
    if (const Status status = metrics::Serve(metrics_address); !status) {
      return Fail(status.refusal(), kExitPortInUse);
    }
  }
  return Serve(settings, dispatcher, **hub);
}

int Main(int argc, char** argv) {
  BlockStopSignals();
  Options options;
  CLI::App app("Serves callers of a ring and schedules their programs.",
               "ringentry");
  app.add_option("--config", options.config, "Settings file");
  app.add_flag("--check", options.check, "Check the settings and exit");
  app.add_flag("--describe-settings", options.describe,
               "Print all settings as Markdown rows and exit");
  app.set_version_flag("--version", RING_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  if (options.describe) {
    std::cout << DescribeSettings(EntrySettingTable());
    return kExitOk;
  }
  if (options.config.empty()) {
    std::cerr << "ringentry: --config is required\n";
    return kExitUsage;
  }
  const SettingsResult result =
      LoadSettings(EntrySettingTable(), options.config, CheckEntrySettings);
  for (const SettingError& error : result.errors) {
    std::cerr << error.ToString() << "\n";
  }
  if (!result.settings) {
    return kExitBadSettings;
  }
  return options.check ? kExitOk : Run(*result.settings);
}

}  // namespace
}  // namespace ring

int main(int argc, char** argv) {
  return ring::Main(argc, argv);
}
