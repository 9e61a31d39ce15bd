#pragma once

#include "entry_calls_p.h"
#include "entry_forward_p.h"
#include "entry_http_server_p.h"

namespace ring::entry {

/// HTTP handlers for callers and for announcements of upstreams.
class FrontEnd {
 public:
  FrontEnd(const EntryInit& init,
           const EntryDependencies& deps,
           CallService& calls,
           Forwarder& forwarder,
           std::function<void()> on_program_ended);

  /// Adds the handlers to a server, which must not outlive this object.
  void Register(HttpServer& server);

 private:
  void OpenProgram(const httplib::Request& request,
                   httplib::Response& response);
  void ReadProgram(const httplib::Request& request,
                   httplib::Response& response,
                   bool history);
  void EndProgram(const httplib::Request& request, httplib::Response& response);
  void RunCall(const httplib::Request& request, httplib::Response& response);
  void Announce(const httplib::Request& request, httplib::Response& response);
  /// Waits for the complete answer, or for the first text of a streamed one.
  /// @returns false if the caller has closed the connection
  bool WaitForAnswer(const AnswerStream& answer, bool stream) const;
  void SetAnswer(const std::shared_ptr<AnswerStream>& answer,
                 bool stream,
                 httplib::Response& response);

  const EntryInit& init_;
  const EntryDependencies& deps_;
  CallService& calls_;
  Forwarder& forwarder_;
  std::function<void()> on_program_ended_;
};

}  // namespace ring::entry
