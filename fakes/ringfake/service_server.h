#pragma once

#include <map>
#include <mutex>
#include <string>

#include "fakes/ringfake/faults.h"
#include "fakes/ringfake/http_common.h"

namespace ring::fakes {

/// HTTP API of a fake service: POST /v1/services/<name>/<path>. Executes every
/// request that it receives, without deduplication, and counts executions by
/// idempotency key, so that tests detect duplicate executions.
class ServiceServer {
 public:
  ServiceServer(const Options& options,
                InstanceState& instance,
                Faults& faults);
  void AddRoutes(httplib::Server& server);

 private:
  void Execute(const httplib::Request& request, httplib::Response& response);
  // Applies the faults close_<phase> and die_<phase>, whether injected or set
  // by --break.
  // @returns true if the connection was reset
  bool ApplyConnectionFault(const std::string& phase,
                            const httplib::Request& request);

  const Options& options_;
  InstanceState& instance_;
  Faults& faults_;
  std::mutex mutex_;
  std::map<std::string, int64_t> by_key_;
  std::map<std::string, int64_t> by_digest_;
  int64_t total_ = 0;
};

}  // namespace ring::fakes
