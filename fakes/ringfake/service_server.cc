#include "fakes/ringfake/service_server.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "persimmonring/core.h"

namespace ring::fakes {

ServiceServer::ServiceServer(const Options& options,
                             InstanceState& instance,
                             Faults& faults)
    : options_(options), instance_(instance), faults_(faults) {}

void ServiceServer::AddRoutes(httplib::Server& server) {
  server.Post(R"(/v1/services/([^/]+)(/.*))",
              [this](const auto& request, auto& response) {
                instance_.in_flight.fetch_add(1);
                Execute(request, response);
                instance_.in_flight.fetch_sub(1);
              });
  server.Get("/v1/fake/executions", [this](const auto& /*request*/,
                                           auto& response) {
    std::lock_guard lock(mutex_);
    ReplyJson(
        response,
        {{"total", total_}, {"by_key", by_key_}, {"by_digest", by_digest_}});
  });
  server.Get("/v1/fake/stats", [this](const auto& /*request*/, auto& response) {
    std::lock_guard lock(mutex_);
    ReplyJson(response, {{"requests", total_}});
  });
}

bool ServiceServer::ApplyConnectionFault(const std::string& phase,
                                         const httplib::Request& request) {
  const auto applies = [&](const std::string& mode) {
    const std::string kind = mode + "_" + phase;
    return options_.break_mode == kind || faults_.Take(kind).has_value();
  };
  if (applies("die")) {
    Crash();
  }
  if (applies("close")) {
    ResetConnection(request.local_port, request.remote_port);
    return true;
  }
  return false;
}

void ServiceServer::Execute(const httplib::Request& request,
                            httplib::Response& response) {
  if (faults_.Crashes(request.body)) {
    Crash();
  }
  const std::string service = request.matches[1];
  if (std::find(options_.services.begin(), options_.services.end(), service) ==
      options_.services.end()) {
    ReplyNotRun(response, 404, "unknown_service", "service is not served here");
    return;
  }
  if (faults_.Take("refuse")) {
    ReplyNotRun(response, 503, "overload", "refused by an injected fault");
    return;
  }
  if (ApplyConnectionFault("before", request)) {
    return;
  }
  const std::string digest = Sha256Hex(request.body);
  const std::string key = request.get_header_value("Idempotency-Key");
  int64_t number = 0;
  {
    std::lock_guard lock(mutex_);
    number = ++total_;
    ++by_key_[key];
    ++by_digest_[digest];
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(options_.delay_ms));
  if (const auto stall = faults_.Take("stall")) {
    std::this_thread::sleep_for(
        std::chrono::milliseconds(stall->value("ms", int64_t{1'000})));
  }
  if (ApplyConnectionFault("after", request)) {
    return;
  }
  ReplyJson(response, {{"service", service},
                       {"path", std::string(request.matches[2])},
                       {"execution", number},
                       {"digest", digest}});
}

}  // namespace ring::fakes
