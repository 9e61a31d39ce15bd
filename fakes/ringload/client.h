#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "persimmonring/core.h"

namespace ring::load {

/// Complete response to one request, or the connection error.
struct Reply {
  bool ok = false;
  std::string reason;  ///< Of a refusal; "connection" if there is no response.
  std::string run_state;  ///< Of a refusal.
  int64_t retry_after_ms = 0;
  nlohmann::json body;  ///< Of a non-streamed response.
  std::string text;     ///< Of a streamed model call.
  nlohmann::json tool_calls = nlohmann::json::array();
  std::string finish_reason;
  double first_token_ms = -1;
  double total_ms = 0;
};

struct CallHeaders {
  std::string program;
  int64_t sequence = 0;
  int64_t deadline_ms = 0;
  std::string idempotency_key;
};

/// HTTP client of one program. Stays with one entry, like a client behind a
/// load balancer, and switches to the next entry when a connection fails. Not
/// thread-safe.
class Caller {
 public:
  Caller(const std::vector<Endpoint>& entries, size_t start);

  Reply Open(const nlohmann::json& body);
  Reply End(const std::string& program);
  Reply ModelCall(const CallHeaders& headers, const nlohmann::json& body);
  Reply ServiceCall(const std::string& path,
                    const CallHeaders& headers,
                    const nlohmann::json& body);

 private:
  Reply Send(const std::string& method,
             const std::string& path,
             const CallHeaders& headers,
             const nlohmann::json& body);

  const std::vector<Endpoint>& entries_;
  size_t current_;
};

/// @returns the JSON body of a GET request, or null
nlohmann::json FetchJson(const Endpoint& address, const std::string& path);

}  // namespace ring::load
