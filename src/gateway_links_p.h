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
  /// @param known number of upstreams known
  void OnFailed(const Endpoint& upstream, size_t known);
  /// One upstream of each service was probed.
  /// @param reached any of them accepted a connection
  void OnProbed(bool reached);

  State state() const { return state_; }
  /// @returns upstreams that failed since the last success
  const std::set<Endpoint>& failed() const { return failed_; }

 private:
  State state_ = State::kUp;
  std::set<Endpoint> failed_;
};

}  // namespace ring
