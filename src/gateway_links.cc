#include "gateway_links_p.h"

#include <algorithm>

namespace ring {
namespace {

// Upstreams that fail one after the other before the links are doubted. One
// alone may have crashed or fallen silent.
constexpr size_t kFailedToDoubt = 2;

}  // namespace

void UpstreamLinks::OnConnected() {
  state_ = State::kUp;
  failed_.clear();
}

void UpstreamLinks::OnFailed(const Endpoint& upstream, size_t known) {
  failed_.insert(upstream);
  if (state_ == State::kUp &&
      failed_.size() >= std::min(kFailedToDoubt, known)) {
    state_ = State::kDoubtful;
  }
}

void UpstreamLinks::OnProbed(bool reached) {
  if (reached) {
    OnConnected();
  } else if (state_ == State::kDoubtful) {
    state_ = State::kLost;
  }
}

}  // namespace ring
