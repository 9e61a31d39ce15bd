#include "gateway_p.h"

namespace ring {
namespace {

// Time limit of a probe: more than a round trip between regions (16 ms).
constexpr int64_t kProbeTimeoutMs = 300;
// Pause between probes while the links are lost; how much later than possible
// the entry uses them again.
constexpr int64_t kProbePeriodMs = 250;

const char* NameOf(UpstreamLinks::State state) {
  switch (state) {
    case UpstreamLinks::State::kUp:
      return "up";
    case UpstreamLinks::State::kDoubtful:
      return "doubtful";
    case UpstreamLinks::State::kLost:
      return "lost";
  }
  return "";
}

}  // namespace

void Gateway::Impl::RecordConnect(const Endpoint& upstream, bool established) {
  const UpstreamLinks::State before = links_.state();
  if (established) {
    links_.OnConnected();
  } else {
    links_.OnFailed(upstream, upstreams_.size());
  }
  LogLinks(before);
  if (before == UpstreamLinks::State::kUp &&
      links_.state() == UpstreamLinks::State::kDoubtful) {
    ProbeLinks();
  }
}

void Gateway::Impl::ProbeLinks() {
  probes_.clear();
  probes_open_ = 0;
  for (const auto& [service, ready] : upstreams_.ReadyByService()) {
    std::vector<const UpstreamInstance*> untried;
    std::copy_if(ready.begin(), ready.end(), std::back_inserter(untried),
                 [this](const UpstreamInstance* upstream) {
                   return !links_.failed().contains(upstream->address);
                 });
    const auto& candidates = untried.empty() ? ready : untried;
    const Endpoint address = candidates[random_() % candidates.size()]->address;
    if (auto probe = pool_.Open(address)) {
      probe->OnConnectResult([this](bool established) {
        --probes_open_;
        if (established || probes_open_ == 0) {
          OnProbed(established);
        }
      });
      ++probes_open_;
      probes_.push_back(std::move(probe));
    }
  }
  probe_timer_.Start(kProbeTimeoutMs, [this] { OnProbed(false); });
}

void Gateway::Impl::OnProbed(bool reached) {
  probe_timer_.Stop();
  for (ConnectionPool::Connection& probe : probes_) {
    pool_.Discard(std::move(probe));
  }
  probes_.clear();
  const UpstreamLinks::State before = links_.state();
  links_.OnProbed(reached);
  LogLinks(before);
  if (links_.state() != UpstreamLinks::State::kUp) {
    next_probe_timer_.Start(kProbePeriodMs, [this] { ProbeLinks(); });
  }
}

void Gateway::Impl::LogLinks(UpstreamLinks::State before) {
  if (links_.state() == before) {
    return;
  }
  metrics::SetGauge("ring_upstream_links_lost", {},
                    links_.state() == UpstreamLinks::State::kLost ? 1 : 0);
  Event(LogLevel::kWarn, "upstream_links")
      .Add("state", NameOf(links_.state()))
      .Add("before", NameOf(before))
      .Add("before_ms", loop_.now_ms() - links_changed_ms_)
      .Add("failed", uint64_t{links_.failed().size()})
      .Add("known", uint64_t{upstreams_.size()});
  links_changed_ms_ = loop_.now_ms();
}

}  // namespace ring
