#include "health_server.h"

#include <httplib.h>

namespace ring {
namespace {

constexpr time_t kTimeoutSeconds = 1;
constexpr size_t kMaxBodyBytes = 1'024;

// Serves connections one at a time on the accepting thread: probes are few and
// short, and the kernel's backlog bounds the number that wait.
class InlineTaskQueue final : public httplib::TaskQueue {
 public:
  void enqueue(std::function<void()> task) override { task(); }
  void shutdown() override {}
};

}  // namespace

class HealthServer::Impl {
 public:
  explicit Impl(std::function<bool()> ready) : ready_(std::move(ready)) {
    server_.new_task_queue = [] { return new InlineTaskQueue; };
    server_.set_tcp_nodelay(true);
    server_.set_read_timeout(kTimeoutSeconds);
    server_.set_write_timeout(kTimeoutSeconds);
    server_.set_idle_interval(0, 100'000);
    server_.set_keep_alive_max_count(1);
    server_.set_keep_alive_timeout(kTimeoutSeconds);
    server_.set_payload_max_length(kMaxBodyBytes);
    server_.Get("/healthz", [](const auto&, httplib::Response& response) {
      response.set_content("ok\n", "text/plain");
    });
    server_.Get("/readyz", [this](const auto&, httplib::Response& response) {
      const bool is_ready = ready_();
      response.status = is_ready ? 200 : 503;
      response.set_content(is_ready ? "ready\n" : "not ready\n", "text/plain");
    });
  }

  httplib::Server& server() { return server_; }

 private:
  const std::function<bool()> ready_;
  httplib::Server server_;
};

Outcome<std::unique_ptr<HealthServer>> HealthServer::Create(
    const Endpoint& endpoint,
    std::function<bool()> ready) {
  auto impl = std::make_unique<Impl>(std::move(ready));
  if (!impl->server().bind_to_port(endpoint.ip, endpoint.port)) {
    return Refusal{Reason::kStorageFailed, RunState::kNotRun,
                   "cannot listen on " + endpoint.ToString()};
  }
  return std::unique_ptr<HealthServer>(new HealthServer(std::move(impl)));
}

HealthServer::HealthServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
HealthServer::~HealthServer() = default;

Status HealthServer::Run(const StopToken& /*stop*/) {
  impl_->server().listen_after_bind();
  return Done{};
}

void HealthServer::Wake() {
  impl_->server().stop();
}

}  // namespace ring
