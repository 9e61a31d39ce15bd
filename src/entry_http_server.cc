#include "entry_http_server_p.h"

#include <algorithm>
#include <charconv>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ring::entry {
namespace {

thread_local bool is_refusal_thread = false;

constexpr int64_t kRetryAfterMs = 1'000;

std::string RetryAfterSeconds(int64_t retry_after_ms) {
  constexpr int64_t kMsPerSecond = 1'000;
  return std::to_string((retry_after_ms + kMsPerSecond - 1) / kMsPerSecond);
}

}  // namespace

void SetRefusal(httplib::Response& response, const Refusal& refusal) {
  response.status = HttpStatusFor(refusal.reason);
  if (refusal.retry_after_ms > 0) {
    response.set_header("Retry-After",
                        RetryAfterSeconds(refusal.retry_after_ms));
  }
  response.set_content(ErrorBody(refusal), "application/json");
}

// ----------------------------------------------------------------------- queue

ConnectionQueue::ConnectionQueue(const EntryHttpLimits& limits)
    : tasks_(static_cast<size_t>(limits.max_waiting)),
      refusal_tasks_(static_cast<size_t>(limits.max_waiting)) {
  for (int64_t i = 0; i < limits.threads; ++i) {
    threads_.emplace_back([this] { Work(tasks_, false); });
  }
  threads_.emplace_back([this] { Work(refusal_tasks_, true); });
}

ConnectionQueue::~ConnectionQueue() = default;

bool ConnectionQueue::IsRefusalThread() {
  return is_refusal_thread;
}

void ConnectionQueue::Work(BoundedQueue<std::function<void()>>& tasks,
                           bool refusing) {
  is_refusal_thread = refusing;
  while (true) {
    auto task = tasks.Pop(1'000);
    if (task) {
      waiting_.fetch_sub(refusing ? 0 : 1);
      (*task)();
    } else if (tasks.closed()) {
      return;
    }
  }
}

void ConnectionQueue::enqueue(std::function<void()> task) {
  waiting_.fetch_add(1);
  if (tasks_.TryPush(std::function<void()>(task))) {
    return;
  }
  waiting_.fetch_sub(1);
  if (!refusal_tasks_.TryPush(std::function<void()>(task))) {
    // The refusal queue is full too: refuse on the accepting thread, which
    // slows down accepts.
    is_refusal_thread = true;
    task();
    is_refusal_thread = false;
  }
}

void ConnectionQueue::shutdown() {
  tasks_.Close();
  refusal_tasks_.Close();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

// ---------------------------------------------------------------------- server

HttpServer::HttpServer(const EntryHttpLimits& limits) : limits_(limits) {
  set_tcp_nodelay(true);
  // The library uses these two only for the Keep-Alive header; ServeConnection
  // enforces them.
  set_keep_alive_max_count(static_cast<size_t>(limits.keep_alive_requests));
  set_keep_alive_timeout(
      std::max<time_t>(1, static_cast<time_t>(limits.keep_alive_ms / 1'000)));
  set_payload_max_length(static_cast<size_t>(limits.max_body_bytes));
  // The library sets SO_REUSEPORT by default, with which a second process can
  // bind the same port unnoticed.
  set_socket_options([](socket_t socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  new_task_queue = [this] {
    queue_ = new ConnectionQueue(limits_);
    return queue_;
  };
  set_pre_routing_handler(
      [this](const httplib::Request& request, httplib::Response& response) {
        return CheckHeaders(request, response);
      });
  set_error_handler([](const httplib::Request&, httplib::Response& response) {
    if (!response.body.empty()) {
      return;
    }
    const int status = response.status;
    const Reason reason = status == 404   ? Reason::kUnknownPath
                          : status == 413 ? Reason::kBodyTooLarge
                          : status >= 500 ? Reason::kInternal
                                          : Reason::kBadRequest;
    metrics::CountRefusal(reason);
    const char* message = status == 404   ? "the path is unknown"
                          : status == 413 ? "the body is too large"
                          : status >= 500 ? "internal error"
                                          : "the request is malformed";
    SetRefusal(response, Refuse(reason, message));
  });
  set_exception_handler([](const httplib::Request&, httplib::Response& response,
                           const std::exception_ptr&) {
    SetRefusal(response, Refuse(Reason::kInternal, "internal error", 0,
                                RunState::kUnknown));
  });
}

Outcome<uint16_t> HttpServer::Bind(const Endpoint& endpoint) {
  int port = endpoint.port;
  if (port == 0) {
    port = bind_to_any_port(endpoint.ip);
  } else if (!bind_to_port(endpoint.ip, port)) {
    port = -1;
  }
  if (port <= 0) {
    return Refuse(Reason::kStorageFailed,
                  "cannot listen on " + endpoint.ip + ":" +
                      std::to_string(endpoint.port) +
                      ": the port is in use or the address is not local");
  }
  return static_cast<uint16_t>(port);
}

httplib::Server::HandlerResponse HttpServer::CheckHeaders(
    const httplib::Request& request,
    httplib::Response& response) const {
  const auto refuse = [&](Reason reason, const char* message) {
    metrics::CountRefusal(reason);
    SetRefusal(response, Refuse(reason, message));
    // The body is still unread and must not be parsed as the next request.
    response.set_header("Connection", "close");
    ConnectionStream::Current()->CloseAfterResponse();
    return HandlerResponse::Handled;
  };
  const bool sized = request.has_header("Content-Length");
  const bool chunked = request.has_header("Transfer-Encoding");
  if (request.method == "POST" && !sized && !chunked) {
    return refuse(Reason::kBadRequest, "Content-Length is missing");
  }
  if (sized) {
    const std::string text = request.get_header_value("Content-Length");
    int64_t length = -1;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), length);
    if (error != std::errc() || end != text.data() + text.size() ||
        length < 0 || request.get_header_value_count("Content-Length") > 1 ||
        chunked) {
      return refuse(Reason::kBadRequest, "Content-Length is malformed");
    }
    if (length > limits_.max_body_bytes) {
      return refuse(Reason::kBodyTooLarge, "the body is too large");
    }
  }
  if (request.is_multipart_form_data()) {
    return refuse(Reason::kBadRequest, "multipart bodies are not supported");
  }
  return HandlerResponse::Unhandled;
}

bool HttpServer::process_and_close_socket(socket_t socket) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  ConnectionStream stream(socket, limits_);
  if (ConnectionQueue::IsRefusalThread()) {
    RefuseConnection(stream);
  } else {
    ServeConnection(stream);
  }
  shutdown(socket, SHUT_RDWR);
  close(socket);
  return true;
}

bool HttpServer::WaitForRequest(const ConnectionStream& stream) const {
  constexpr int64_t kSliceMs = 50;
  for (int64_t waited_ms = 0; waited_ms < limits_.keep_alive_ms;
       waited_ms += kSliceMs) {
    if (stream.WaitReadable(kSliceMs)) {
      return true;
    }
    // Give up an idle connection if others wait for its thread.
    if (closing_.load() || svr_sock_ == INVALID_SOCKET ||
        queue_->waiting() > 0) {
      return false;
    }
  }
  return false;
}

void HttpServer::ServeConnection(ConnectionStream& stream) {
  for (int64_t left = limits_.keep_alive_requests; left > 0; --left) {
    if (!WaitForRequest(stream)) {
      return;
    }
    active_.fetch_add(1);
    stream.BeginRequest();
    bool closed = false;
    const bool last = left == 1 || closing_.load();
    const bool ok = process_request(stream, last, closed, nullptr);
    active_.fetch_sub(1);
    if (!ok || closed || last || stream.close_after_response()) {
      return;
    }
  }
}

void HttpServer::RefuseConnection(ConnectionStream& stream) const {
  const Refusal refusal =
      Refuse(Reason::kConnectionLimit, "too many connections", kRetryAfterMs);
  metrics::CountRefusal(refusal.reason);
  const std::string body = ErrorBody(refusal);
  const std::string text =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
      "Connection: close\r\nRetry-After: " +
      RetryAfterSeconds(refusal.retry_after_ms) +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  stream.write(text.data(), text.size());
  shutdown(stream.socket(), SHUT_WR);
  // Closing with unread data sends RST, which can discard the response at the
  // client.
  constexpr int64_t kLingerMs = 20;
  char discarded[4096];
  constexpr int kMaxReads = 16;
  for (int reads = 0; reads < kMaxReads && stream.WaitReadable(kLingerMs);
       ++reads) {
    if (recv(stream.socket(), discarded, sizeof(discarded), MSG_DONTWAIT) <=
        0) {
      return;
    }
  }
}

}  // namespace ring::entry
