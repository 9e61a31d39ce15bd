#include <iostream>
#include <memory>

#include <httplib.h>

#include "commands.h"
#include "output.h"

namespace ring {
namespace {

using nlohmann::json;

constexpr int64_t kDefaultTimeoutMs = 5'000;
constexpr size_t kMaxBodyBytes = 64u << 20;

/// Sends one request to the admin port of an entry.
/// @returns the JSON body; owner_unreachable without a response, upstream_error
///          for a status other than 200 or a body that is not JSON
Outcome<json> SendAdminRequest(const std::string& address,
                               const char* method,
                               const char* path,
                               int64_t timeout_ms) {
  const auto endpoint = Endpoint::Parse(address);
  if (!endpoint) {
    return Refusal{Reason::kBadRequest, RunState::kNotRun,
                   "'" + address + "' is not of the form ip:port"};
  }
  const std::chrono::milliseconds timeout(timeout_ms > 0 ? timeout_ms
                                                         : kDefaultTimeoutMs);
  httplib::Client client(endpoint->ip, endpoint->port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(timeout);
  client.set_read_timeout(timeout);
  client.set_write_timeout(timeout);
  std::string body;
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.content_receiver = [&body](const char* data, size_t size, uint64_t,
                                     uint64_t) {
    body.append(data, size);
    return body.size() <= kMaxBodyBytes;
  };
  const auto result = client.send(request);
  if (!result) {
    return Refusal{
        Reason::kOwnerUnreachable, RunState::kNotRun,
        address + " cannot be reached: " + httplib::to_string(result.error())};
  }
  json answer = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (result->status != 200 || answer.is_discarded()) {
    return Refusal{Reason::kUpstreamError, RunState::kNotRun,
                   address + " answered " + std::to_string(result->status)};
  }
  return answer;
}

int Drain(const std::string& address, const GlobalOptions& options) {
  const auto answer =
      SendAdminRequest(address, "POST", "/admin/drain", options.timeout_ms);
  if (!answer) {
    return Fail(answer.refusal());
  }
  if (options.json) {
    PrintJson(*answer);
  } else {
    std::cout << address << " drains\n";
  }
  return kExitOk;
}

std::string CellText(const json& row, const char* key) {
  const auto it = row.find(key);
  if (it == row.end()) {
    return "-";
  }
  return it->is_string() ? it->get<std::string>() : it->dump();
}

int ShowUpstreams(const std::string& address, const GlobalOptions& options) {
  const auto answer =
      SendAdminRequest(address, "GET", "/admin/status", options.timeout_ms);
  if (!answer) {
    return Fail(answer.refusal());
  }
  const json upstreams = answer->value("upstreams", json::array());
  if (options.json) {
    PrintJson(upstreams);
    return kExitOk;
  }
  TextTable table({"NAME", "INCARNATION", "DOMAIN", "UP", "LEAVING", "ISOLATED",
                   "IN FLIGHT"});
  for (const json& row : upstreams) {
    table.Add({CellText(row, "name"), CellText(row, "incarnation"),
               CellText(row, "domain"), CellText(row, "up"),
               CellText(row, "leaving"), CellText(row, "isolated"),
               CellText(row, "in_flight")});
  }
  table.Print();
  return kExitOk;
}

}  // namespace

void AddEntryCommands(CLI::App& app, GlobalOptions& options, int& exit_code) {
  const auto address = std::make_shared<std::string>();
  CLI::App* drain = app.add_subcommand(
      "drain", "Let an entry finish its calls and refuse new programs");
  drain->add_option("address", *address, "Admin address of the entry, ip:port")
      ->required();
  drain->callback([&options, &exit_code, address] {
    exit_code = Drain(*address, options);
  });
  CLI::App* upstreams =
      app.add_subcommand("upstreams", "Show the upstreams that an entry knows");
  upstreams
      ->add_option("address", *address, "Admin address of the entry, ip:port")
      ->required();
  upstreams->callback([&options, &exit_code, address] {
    exit_code = ShowUpstreams(*address, options);
  });
}

}  // namespace ring
