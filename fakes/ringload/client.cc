#include "fakes/ringload/client.h"

#include <chrono>

#include <httplib.h>

namespace ring::load {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

// Longer than any program deadline, which ends a call first.
constexpr int kReadTimeoutS = 120;
constexpr int kConnectTimeoutS = 2;

double MsSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

void ParseError(const json& error, Reply& reply) {
  reply.reason = error.value("reason", "unknown");
  reply.run_state = error.value("run_state", "unknown");
  reply.retry_after_ms = error.value("retry_after_ms", int64_t{0});
}

// Collects the events of a streamed response.
class EventReader {
 public:
  EventReader(Clock::time_point start, Reply& reply)
      : start_(start), reply_(reply) {}

  void Feed(const char* data, size_t size) {
    text_.append(data, size);
    size_t end = 0;
    while ((end = text_.find("\n\n")) != std::string::npos) {
      ParseEvent(text_.substr(0, end));
      text_.erase(0, end + 2);
    }
  }
  bool ended() const { return ended_; }
  const std::string& rest() const { return text_; }

 private:
  void ParseEvent(const std::string& event) {
    // In an error event, an "event:" line precedes the data.
    constexpr std::string_view kData = "data: ";
    const size_t at = event.find(kData);
    if (at == std::string::npos) {
      return;
    }
    const std::string data = event.substr(at + kData.size());
    if (data == "[DONE]") {
      ended_ = true;
      return;
    }
    const json value = json::parse(data, nullptr, false);
    if (!value.is_object()) {
      return;
    }
    if (value.contains("error")) {
      ParseError(value["error"], reply_);
    }
    if (value.contains("choices") && !value["choices"].empty()) {
      ParseChoice(value["choices"][0]);
    }
  }

  void ParseChoice(const json& choice) {
    const json delta = choice.value("delta", json::object());
    if (delta.contains("content") && delta["content"].is_string()) {
      if (reply_.first_token_ms < 0) {
        reply_.first_token_ms = MsSince(start_);
      }
      reply_.text += delta["content"].get<std::string>();
    }
    if (delta.contains("tool_calls")) {
      reply_.tool_calls = delta["tool_calls"];
    }
    if (choice.contains("finish_reason") &&
        choice["finish_reason"].is_string()) {
      reply_.finish_reason = choice["finish_reason"];
    }
  }

  const Clock::time_point start_;
  Reply& reply_;
  std::string text_;
  bool ended_ = false;
};

void ConfigureClient(httplib::Client& client) {
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(kConnectTimeoutS);
  client.set_read_timeout(kReadTimeoutS);
  client.set_write_timeout(kReadTimeoutS);
  // An idle connection would occupy an HTTP thread of the entry during tool
  // pauses.
  client.set_keep_alive(false);
}

httplib::Request MakeRequest(const std::string& method,
                             const std::string& path,
                             const CallHeaders& headers,
                             const json& body) {
  httplib::Request request;
  request.method = method;
  request.path = path;
  request.set_header("Content-Type", "application/json");
  if (!headers.program.empty()) {
    request.set_header("Authorization", "Bearer " + headers.program);
  }
  if (headers.sequence > 0) {
    request.set_header("Ring-Sequence", std::to_string(headers.sequence));
    request.set_header("Ring-Deadline-Ms", std::to_string(headers.deadline_ms));
    request.set_header("Idempotency-Key", headers.idempotency_key);
  }
  if (!body.is_null()) {
    request.body = body.dump();
  }
  return request;
}

}  // namespace

Caller::Caller(const std::vector<Endpoint>& entries, size_t start)
    : entries_(entries), current_(start % entries.size()) {}

Reply Caller::Open(const json& body) {
  return Send("POST", "/v1/programs", {}, body);
}

Reply Caller::End(const std::string& program) {
  return Send("DELETE", "/v1/programs/" + program, {}, json());
}

Reply Caller::ModelCall(const CallHeaders& headers, const json& body) {
  return Send("POST", "/v1/chat/completions", headers, body);
}

Reply Caller::ServiceCall(const std::string& path,
                          const CallHeaders& headers,
                          const json& body) {
  return Send("POST", path, headers, body);
}

Reply Caller::Send(const std::string& method,
                   const std::string& path,
                   const CallHeaders& headers,
                   const json& body) {
  Reply reply;
  const auto start = Clock::now();
  EventReader events(start, reply);
  httplib::Client client(entries_[current_].ip, entries_[current_].port);
  ConfigureClient(client);
  httplib::Request request = MakeRequest(method, path, headers, body);
  request.content_receiver = [&](const char* data, size_t size,
                                 uint64_t /*offset*/, uint64_t /*total*/) {
    events.Feed(data, size);
    return true;
  };
  const auto result = client.send(request);
  reply.total_ms = MsSince(start);
  if (!result) {
    reply.reason = "connection";
    reply.run_state = "unknown";
    current_ = (current_ + 1) % entries_.size();
    return reply;
  }
  if (result->get_header_value("Content-Type").find("event-stream") !=
      std::string::npos) {
    reply.ok = events.ended() && reply.reason.empty();
    if (!reply.ok && reply.reason.empty()) {
      reply.reason = "truncated";
    }
    return reply;
  }
  reply.body = json::parse(events.rest(), nullptr, false);
  reply.ok = result->status == 200;
  if (!reply.ok) {
    ParseError(reply.body.is_object()
                   ? reply.body.value("error", json::object())
                   : json::object(),
               reply);
  }
  return reply;
}

json FetchJson(const Endpoint& address, const std::string& path) {
  httplib::Client client(address.ip, address.port);
  ConfigureClient(client);
  client.set_read_timeout(kConnectTimeoutS);
  const auto result = client.Get(path);
  if (!result || result->status != 200) {
    return {};
  }
  json value = json::parse(result->body, nullptr, false);
  return value.is_discarded() ? json() : value;
}

}  // namespace ring::load
