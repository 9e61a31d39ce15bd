#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>

#include "entry_call_p.h"

namespace ring::entry {

/// Socket of one connection. Enforces limits that the library lacks: total time
/// to receive the headers and the body, number and size of headers.
class ConnectionStream final : public httplib::Stream {
 public:
  ConnectionStream(socket_t socket, const EntryHttpLimits& limits);

  /// Resets the limits for the next request of the connection.
  void BeginRequest();
  /// @returns true if data can be read within `timeout_ms`
  bool WaitReadable(int64_t timeout_ms) const;
  /// @returns true if the peer has closed the connection
  bool PeerClosed() const;
  /// Closes the connection after the current response.
  void CloseAfterResponse() { close_after_response_ = true; }
  bool close_after_response() const { return close_after_response_; }
  /// @returns the connection that the calling thread serves, or nullptr
  static ConnectionStream* Current();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, size_t size) override;
  ssize_t write(const char* data, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  bool FillBuffer();
  void CountHeaderByte(char byte);
  void RejectRequest(const Refusal& refusal);

  const socket_t socket_;
  const EntryHttpLimits& limits_;
  std::string buffer_;
  size_t buffer_position_ = 0;
  bool in_header_ = true;
  int64_t headers_ = 0;
  int64_t header_bytes_ = 0;
  int64_t line_bytes_ = 0;
  int64_t deadline_ms_ = 0;
  bool rejected_ = false;
  bool close_after_response_ = false;
};

/// Thread pool with a bounded queue for the library's tasks, one per
/// connection. Connections beyond the bound go to a thread that only refuses
/// them.
class ConnectionQueue final : public httplib::TaskQueue {
 public:
  explicit ConnectionQueue(const EntryHttpLimits& limits);
  ~ConnectionQueue() override;
  void enqueue(std::function<void()> task) override;
  void shutdown() override;
  size_t waiting() const { return waiting_.load(); }
  /// @returns true if the calling thread must refuse its connection
  static bool IsRefusalThread();

 private:
  void Work(BoundedQueue<std::function<void()>>& tasks, bool refusing);

  std::atomic<size_t> waiting_{0};
  BoundedQueue<std::function<void()>> tasks_;
  BoundedQueue<std::function<void()>> refusal_tasks_;
  std::vector<std::thread> threads_;
};

/// HTTP server with limits on connections, headers, bodies and times.
class HttpServer final : public httplib::Server {
 public:
  explicit HttpServer(const EntryHttpLimits& limits);

  /// @returns the bound port, or storage_failed if it cannot be bound
  Outcome<uint16_t> Bind(const Endpoint& endpoint);
  /// Closes every connection after its current request.
  void CloseAfterRequests() { closing_.store(true); }
  /// @returns number of requests being read, run or answered
  int active() const { return active_.load(); }

 private:
  bool process_and_close_socket(socket_t socket) override;
  void ServeConnection(ConnectionStream& stream);
  bool WaitForRequest(const ConnectionStream& stream) const;
  void RefuseConnection(ConnectionStream& stream) const;
  HandlerResponse CheckHeaders(const httplib::Request& request,
                               httplib::Response& response) const;

  const EntryHttpLimits limits_;
  ConnectionQueue* queue_ = nullptr;  ///< Owned by the library while it runs.
  std::atomic<bool> closing_{false};
  std::atomic<int> active_{0};
};

/// Sets status, body and Retry-After header for a refusal.
void SetRefusal(httplib::Response& response, const Refusal& refusal);

}  // namespace ring::entry
