#pragma once

#include <map>
#include <mutex>
#include <string>

#include "fakes/ringfake/batch.h"
#include "fakes/ringfake/faults.h"
#include "fakes/ringfake/http_common.h"

namespace ring::fakes {

/// HTTP API of the fake model engine.
class EngineServer {
 public:
  EngineServer(const Options& options, InstanceState& instance, Faults& faults);
  void AddRoutes(httplib::Server& server);
  /// @returns the reported load, refreshed at most once per load_lag_ms
  nlohmann::json Load();
  nlohmann::json Models();
  nlohmann::json Adapters();
  void SetSlowFactor(double factor) { batch_.SetSlowFactor(factor); }

 private:
  void Complete(const httplib::Request& request, httplib::Response& response);
  std::shared_ptr<Job> MakeJob(const nlohmann::json& body,
                               httplib::Response& response);
  void AddCacheRoutes(httplib::Server& server);
  void AddOrderRoutes(httplib::Server& server);
  void Import(const nlohmann::json& body, httplib::Response& response);
  void Order(const nlohmann::json& body, httplib::Response& response);
  void ApplyOrder(const nlohmann::json& body);
  nlohmann::json State();

  const Options& options_;
  InstanceState& instance_;
  Faults& faults_;
  PrefixCache cache_;
  Batch batch_;

  std::mutex mutex_;
  std::map<std::string, std::string> models_;  // Model name to version.
  struct Adapter {
    std::string model;
    std::string version;
  };
  std::map<std::string, Adapter> adapters_;
  std::string role_ = "mixed";
  uint64_t fence_ = 0;
  int64_t orders_ = 0;
  int64_t stale_orders_ = 0;  // Orders applied despite an old fencing token.
  nlohmann::json reported_load_;
  int64_t reported_load_at_ms_ = 0;
};

}  // namespace ring::fakes
