#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "fakes/ringfake/options.h"

namespace ring::fakes {

inline void ReplyJson(httplib::Response& response,
                      const nlohmann::json& body,
                      int status = 200) {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

/// Sends an error with run_state not_run.
inline void ReplyNotRun(httplib::Response& response,
                        int status,
                        const std::string& reason,
                        const std::string& message) {
  ReplyJson(
      response,
      {{"error",
        {{"run_state", "not_run"}, {"reason", reason}, {"message", message}}}},
      status);
}

/// Parses a JSON object, or answers 400.
/// @returns false if the body is not a JSON object
inline bool ParseBody(const httplib::Request& request,
                      httplib::Response& response,
                      nlohmann::json& body) {
  body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    ReplyNotRun(response, 400, "bad_request", "body is not a JSON object");
    return false;
  }
  return true;
}

/// Sets the limits and timeouts shared by the HTTP servers of the fakes.
inline void ConfigureServer(httplib::Server& server, int threads) {
  constexpr int kTimeoutS = 60;
  constexpr size_t kMaxBodyBytes = 64u << 20;
  server.new_task_queue = [threads] {
    return new httplib::ThreadPool(static_cast<size_t>(threads));
  };
  server.set_tcp_nodelay(true);
  server.set_read_timeout(kTimeoutS);
  server.set_write_timeout(kTimeoutS);
  server.set_keep_alive_max_count(1'000'000);
  // An idle connection occupies a thread of the pool.
  server.set_keep_alive_timeout(1);
  server.set_payload_max_length(kMaxBodyBytes);
}

/// State of the process, shared by both kinds of upstream.
struct InstanceState {
  uint64_t incarnation = 0;
  std::atomic<bool> leaving{false};
  std::atomic<int> in_flight{0};
};

}  // namespace ring::fakes
