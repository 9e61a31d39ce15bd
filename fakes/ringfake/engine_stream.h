#pragma once

#include <memory>
#include <optional>
#include <string>

#include "fakes/ringfake/batch.h"
#include "fakes/ringfake/faults.h"
#include "fakes/ringfake/http_common.h"

namespace ring::fakes {

/// Streams one job as server-sent events and applies the stream faults.
class EngineStream {
 public:
  EngineStream(std::shared_ptr<Job> job,
               Faults& faults,
               int local_port,
               int remote_port);
  /// Content provider: writes the next event.
  /// @returns false if the connection must be closed
  bool WriteNext(httplib::DataSink& sink);

 private:
  bool WriteEvent(httplib::DataSink& sink, const nlohmann::json& choice);
  bool WriteEnd(httplib::DataSink& sink);
  bool ApplyFaults(httplib::DataSink& sink, bool& ended);

  const std::shared_ptr<Job> job_;
  const int local_port_;
  const int remote_port_;
  size_t next_token_;
  std::string attempt_;
  bool duplicate_ = false;
  std::optional<nlohmann::json> reset_;
  std::optional<nlohmann::json> truncate_;
  std::optional<nlohmann::json> stall_;
};

}  // namespace ring::fakes
