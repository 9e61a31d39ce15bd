// Construction, threads, drain and status of an entry.

#include <nlohmann/json.hpp>

#include "entry_http_p.h"
#include "entry_maintenance_p.h"

namespace ring {

using nlohmann::json;

class Entry::Impl {
 public:
  Impl(const EntryInit& entry_init, const EntryDependencies& entry_deps)
      : init(entry_init),
        deps(entry_deps),
        tasks(static_cast<size_t>(init.call_limits.attempt_threads)),
        upstreams(init),
        sessions(init, deps),
        scheduler(init, deps, upstreams, statistics, tasks),
        attempts(init,
                 deps,
                 sessions,
                 upstreams,
                 statistics,
                 config,
                 scheduler,
                 tasks),
        calls(init, deps, sessions, config, statistics, scheduler, attempts),
        forwarder(init, deps, calls),
        maintenance(init, deps, config, sessions),
        front_end(init,
                  deps,
                  calls,
                  forwarder,
                  [this] { maintenance.ReleaseSoon(); }),
        http(init.http_limits),
        admin(AdminLimits(init.http_limits)) {
    scheduler.SetRefusalHandler(
        [this](const entry::CallPtr& call, const Refusal& refusal) {
          attempts.RefuseBeforeBegin(call, refusal);
        });
    if (deps.hub != nullptr) {
      forwarder.Attach(*deps.hub);
    }
    front_end.Register(http);
    RegisterAdmin();
  }

  static EntryHttpLimits AdminLimits(EntryHttpLimits limits) {
    constexpr int64_t kAdminThreads = 4;
    limits.threads = kAdminThreads;
    limits.max_waiting = kAdminThreads * 2;
    return limits;
  }

  void RegisterAdmin() {
    using Request = httplib::Request;
    using Response = httplib::Response;
    admin.Get("/healthz", [](const Request&, Response& out) {
      out.set_content("ok\n", "text/plain");
    });
    admin.Get("/readyz", [this](const Request&, Response& out) {
      const bool draining = drain_started_ms.load() != 0;
      const bool ready = !draining && HasConfig();
      out.status = ready ? 200 : 503;
      out.set_content(ready      ? "ready\n"
                      : draining ? "draining\n"
                                 : "no configuration yet\n",
                      "text/plain");
    });
    admin.Get("/admin/status", [this](const Request&, Response& out) {
      out.set_content(StatusText(), "application/json");
    });
    admin.Post("/admin/drain", [this](const Request&, Response& out) {
      BeginDrain();
      out.set_content("{\"draining\":true}", "application/json");
    });
  }

  // Bounds the wait for the first configuration: an entry that is partitioned
  // from the control group becomes ready after kConfigWaitMs and serves what it
  // can.
  bool HasConfig() const {
    constexpr int64_t kConfigWaitMs = 10'000;
    return maintenance.has_polled() ||
           deps.clock->NowMs() - created_ms >= kConfigWaitMs;
  }

  void BeginDrain() {
    int64_t none = 0;
    const int64_t now_ms = std::max<int64_t>(1, deps.clock->NowMs());
    if (drain_started_ms.compare_exchange_strong(none, now_ms)) {
      calls.RefusePrograms();
      Event(LogLevel::kInfo, "drain_started");
    }
  }

  // Accepts calls of open programs for drain_notice_ms, in which the load
  // balancer notices the drain. Then refuses calls and closes each connection
  // after its current request.
  void StepDrain() {
    const int64_t started_ms = drain_started_ms.load();
    if (started_ms == 0 || closing.load() ||
        deps.clock->NowMs() - started_ms < init.drain_notice_ms) {
      return;
    }
    calls.RefuseCalls();
    http.CloseAfterRequests();
    closing.store(true);
  }

  bool Idle() const {
    return http.active() == 0 && forwarder.active_calls() == 0 &&
           scheduler.waiting() == 0 && upstreams.total_in_flight() == 0 &&
           attempts.busy() == 0;
  }

  std::string StatusText() const {
    json list = json::array();
    for (const UpstreamRecord& record : deps.directory->View()->upstreams) {
      list.push_back({{"name", record.id.name},
                      {"incarnation", record.id.incarnation},
                      {"domain", record.domain},
                      {"leaving", record.state == MemberState::kLeaving},
                      {"up", record.state == MemberState::kUp},
                      {"isolated", upstreams.reserved(record.id)},
                      {"in_flight", upstreams.in_flight(record.id)}});
    }
    const auto view = config.View();
    const json status = {{"node", init.node},
                         {"domain", init.domain},
                         {"draining", drain_started_ms.load() != 0},
                         {"queue", scheduler.waiting()},
                         {"in_flight", upstreams.total_in_flight()},
                         {"programs", sessions.size()},
                         {"forwarded", forwarder.active_calls()},
                         {"control_version", view->version},
                         {"note_number", view->note_number},
                         {"quarantined", view->quarantined.size()},
                         {"fence", maintenance.fence()},
                         {"upstreams", list}};
    return status.dump();
  }

  void AddWorkers(Supervisor& supervisor) {
    constexpr int kSubmitThreads = 16;
    const auto stop_http = [](entry::HttpServer& server) {
      return [&server] { server.stop(); };
    };
    supervisor.AddWorker(
        "scheduler",
        [this](const StopToken& stop) { return scheduler.Run(stop); },
        [this] { scheduler.Wake(); });
    for (int64_t i = 0; i < init.call_limits.attempt_threads; ++i) {
      supervisor.AddWorker("attempt", [this](const StopToken& stop) {
        return attempts.Run(stop);
      });
    }
    for (int i = 0; i < kSubmitThreads; ++i) {
      supervisor.AddWorker("forward", [this](const StopToken& stop) {
        return forwarder.RunSubmit(stop);
      });
    }
    supervisor.AddWorker("relay", [this](const StopToken& stop) {
      return forwarder.RunRelay(stop);
    });
    const auto wake_maintenance = [this] { maintenance.WakeAll(); };
    supervisor.AddWorker(
        "releases",
        [this](const StopToken& stop) { return maintenance.RunReleases(stop); },
        wake_maintenance);
    supervisor.AddWorker(
        "control",
        [this](const StopToken& stop) { return maintenance.RunControl(stop); },
        wake_maintenance);
    supervisor.AddWorker(
        "orders",
        [this](const StopToken& stop) { return maintenance.RunOrders(stop); },
        wake_maintenance);
    supervisor.AddWorker("drain", [this](const StopToken& stop) {
      constexpr int64_t kPeriodMs = 20;
      while (!stop.WaitFor(kPeriodMs)) {
        StepDrain();
      }
      return Status(Done{});
    });
    supervisor.AddWorker(
        "http", [this](const StopToken& stop) { return Listen(http, stop); },
        stop_http(http));
    supervisor.AddWorker(
        "admin", [this](const StopToken& stop) { return Listen(admin, stop); },
        stop_http(admin));
  }

  static Status Listen(entry::HttpServer& server, const StopToken& stop) {
    const bool served = server.listen_after_bind();
    if (served || stop.stopped()) {
      return Done{};
    }
    return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                   "the HTTP listener failed"};
  }

  const EntryInit init;
  const EntryDependencies deps;
  entry::RingConfig config;
  entry::CallStatistics statistics;
  BoundedQueue<entry::AttemptTask> tasks;
  entry::UpstreamTable upstreams;
  entry::SessionTable sessions;
  entry::Scheduler scheduler;
  entry::AttemptRunner attempts;
  entry::CallService calls;
  entry::Forwarder forwarder;
  entry::Maintenance maintenance;
  entry::FrontEnd front_end;
  entry::HttpServer http;
  entry::HttpServer admin;
  uint16_t http_port = 0;
  uint16_t admin_port = 0;
  const int64_t created_ms = deps.clock->NowMs();
  std::atomic<int64_t> drain_started_ms{0};
  std::atomic<bool> closing{false};
};

Outcome<std::unique_ptr<Entry>> Entry::Create(const EntryInit& init,
                                              const EntryDependencies& deps) {
  RING_CHECK(deps.clock && deps.programs && deps.control && deps.directory &&
             deps.engine && deps.service && deps.policy && deps.retries);
  auto impl = std::make_unique<Impl>(init, deps);
  const auto http_port = impl->http.Bind(init.http);
  if (!http_port) {
    return http_port.refusal();
  }
  const auto admin_port = impl->admin.Bind(init.admin);
  if (!admin_port) {
    return admin_port.refusal();
  }
  impl->http_port = *http_port;
  impl->admin_port = *admin_port;
  return std::unique_ptr<Entry>(new Entry(std::move(impl)));
}

Entry::Entry(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Entry::~Entry() = default;

void Entry::AddWorkers(Supervisor& supervisor) {
  impl_->AddWorkers(supervisor);
}

void Entry::Attach(HubI& hub) {
  impl_->forwarder.Attach(hub);
}

void Entry::BeginDrain() {
  impl_->BeginDrain();
}

bool Entry::draining() const {
  return impl_->drain_started_ms.load() != 0;
}

bool Entry::drained() const {
  return impl_->closing.load() && impl_->Idle();
}

uint16_t Entry::http_port() const {
  return impl_->http_port;
}

uint16_t Entry::admin_port() const {
  return impl_->admin_port;
}

std::string Entry::StatusJson() const {
  return impl_->StatusText();
}

void Entry::OnControlPush() {
  impl_->maintenance.OnControlPush();
}

void Entry::OnOpened(SessionHandle, const PeerInfo&) {}

void Entry::OnFrame(SessionHandle session,
                    const PeerInfo&,
                    const Frame& frame) {
  impl_->forwarder.OnFrame(session, frame);
}

void Entry::OnClosed(SessionHandle session, const PeerInfo&, Reason) {
  impl_->forwarder.OnClosed(session);
}

}  // namespace ring
