#include "gateway_links_p.h"

namespace ring {
namespace {

// Upstreams that fail one after the other before the links are doubted. One
// alone may have crashed or fallen silent.
constexpr size_t kFailedToDoubt = 2;

}  // namespace

void UpstreamLinks::OnConnected() {
  state_ = State::kUp;
  failed_.clear();
  timed_out_ = false;
}

void UpstreamLinks::OnFailed(const Endpoint& upstream, bool timed_out) {
  failed_.insert(upstream);
  timed_out_ = timed_out_ || timed_out;
  if (state_ == State::kUp && failed_.size() >= kFailedToDoubt) {
    state_ = State::kDoubtful;
  }
}

void UpstreamLinks::OnProbed(bool reached, bool timed_out) {
  if (reached) {
    return OnConnected();
  }
  timed_out_ = timed_out_ || timed_out;
  if (state_ == State::kDoubtful) {
    state_ = State::kLost;
  }
}

}  // namespace ring
