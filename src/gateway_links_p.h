#pragma once

#include <cstdint>
#include <set>

#include "persimmonring/gateway.h"

namespace ring {

/// Whether this entry can open connections to upstreams, as its own attempts
/// show. Tells a loss of the entry's own links from the failure of single
/// upstreams or of one service.
class UpstreamLinks {
 public:
  enum class State : uint8_t {
    kUp,
    kDoubtful,  ///< Attempts at several upstreams failed; others are probed.
    kLost,      ///< No upstream of any service could be reached.
  };

  /// An attempt to open a connection to an upstream succeeded.
  void OnConnected();
  /// An attempt was refused or timed out.
  /// @param timed_out the attempt was not answered at all
  void OnFailed(const Endpoint& upstream, bool timed_out);
  /// One upstream of each service was probed.
  /// @param reached any of them accepted a connection
  void OnProbed(bool reached, bool timed_out);

  State state() const { return state_; }
  /// @returns true if attempts hang, so that open connections may hang as well
  bool hanging() const { return timed_out_; }
  /// @returns upstreams that failed since the last success
  const std::set<Endpoint>& failed() const { return failed_; }

 private:
  State state_ = State::kUp;
  bool timed_out_ = false;  ///< Some attempt since the last success.
  std::set<Endpoint> failed_;
};

}  // namespace ring
