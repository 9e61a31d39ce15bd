#include "gateway_p.h"

namespace ring {
namespace {

// Time limit of a probe: more than a round trip between regions (16 ms).
constexpr int64_t kProbeTimeoutMs = 300;
// Pause between probes while the links are lost; how much later than possible
// the entry uses them again.
constexpr int64_t kProbePeriodMs = 250;
constexpr int kOk = 200;

// Upstreams that are probed before another one counts as crashed. Several, as
// some of them may have crashed as well.
constexpr size_t kVerifyProbes = 4;

/// Probes several upstreams until one of them accepts a connection. The probes
/// and the timer keep it alive.
class Verification final : public std::enable_shared_from_this<Verification> {
 public:
  Verification(EventLoop& loop, std::function<void(bool)> done)
      : loop_(loop), done_(std::move(done)) {}

  void Add(ConnectionPool::Connection probe) {
    probes_.push_back(std::move(probe));
  }
  void Start() {
    open_ = probes_.size();
    if (open_ == 0) {
      return End(true);
    }
    timeout_ = loop_.After(kProbeTimeoutMs,
                           [self = shared_from_this()] { self->End(false); });
  }
  void OnResult(bool established) {
    --open_;
    if (established || open_ == 0) {
      End(established);
    }
  }

 private:
  void End(bool reached) {
    if (!done_) {
      return;
    }
    loop_.Cancel(timeout_);
    for (ConnectionPool::Connection& probe : probes_) {
      probe->Cancel();
    }
    // A probe may be the caller.
    loop_.Defer([self = shared_from_this()] { self->probes_.clear(); });
    std::exchange(done_, nullptr)(reached);
  }

  EventLoop& loop_;
  std::function<void(bool)> done_;
  std::vector<ConnectionPool::Connection> probes_;
  size_t open_ = 0;
  TimerHandle timeout_;
};

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

void Gateway::Impl::RecordConnect(const Endpoint& upstream,
                                  bool established,
                                  bool timed_out) {
  const UpstreamLinks::State before = links_.state();
  if (established) {
    links_.OnConnected();
  } else {
    links_.OnFailed(upstream, timed_out);
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
          OnProbed(established, false);
        }
      });
      ++probes_open_;
      probes_.push_back(std::move(probe));
    }
  }
  probe_timer_.Start(kProbeTimeoutMs, [this] { OnProbed(false, true); });
}

void Gateway::Impl::OnProbed(bool reached, bool timed_out) {
  probe_timer_.Stop();
  for (ConnectionPool::Connection& probe : probes_) {
    pool_.Discard(std::move(probe));
  }
  probes_.clear();
  const UpstreamLinks::State before = links_.state();
  links_.OnProbed(reached, timed_out);
  LogLinks(before);
  if (links_.state() != UpstreamLinks::State::kUp) {
    next_probe_timer_.Start(kProbePeriodMs, [this] { ProbeLinks(); });
  }
}

void Gateway::Impl::VerifyLinks(const Endpoint& upstream,
                                std::function<void(bool)> done) {
  std::vector<Endpoint> others;
  for (const auto& [service, ready] : upstreams_.ReadyByService()) {
    for (const UpstreamInstance* other : ready) {
      if (other->address != upstream) {
        others.push_back(other->address);
      }
    }
  }
  // With a single upstream the two cannot be told apart.
  if (others.empty()) {
    return done(true);
  }
  if (!links_up()) {
    return done(false);
  }
  std::vector<Endpoint> probed;
  std::sample(others.begin(), others.end(), std::back_inserter(probed),
              kVerifyProbes, random_);
  const auto verification =
      std::make_shared<Verification>(loop_, std::move(done));
  for (const Endpoint& address : probed) {
    if (auto probe = pool_.Open(address)) {
      probe->OnConnectResult([verification](bool established) {
        verification->OnResult(established);
      });
      verification->Add(std::move(probe));
    }
  }
  verification->Start();
}

std::optional<Endpoint> Gateway::Impl::ChooseRelay() {
  if (!init_.mechanisms.relays ||
      links_.state() != UpstreamLinks::State::kLost) {
    return std::nullopt;
  }
  return relays_.Choose(random_(), loop_.now_ms());
}

void Gateway::Impl::RecordRelayed(const Endpoint& relay,
                                  const Endpoint& upstream,
                                  bool established,
                                  int status) {
  // The relay may be sound although the upstream is not.
  const bool sound = established || status == kRelayUpstreamUnreachable;
  relays_.OnResult(relay, sound, loop_.now_ms());
  if (!established) {
    Event(LogLevel::kInfo, "relay_failed")
        .Add("relay", relay.ToString())
        .Add("upstream", upstream.ToString())
        .Add("status", status)
        .Add("relays", uint64_t{relays_.size()});
  }
}

int Gateway::Impl::AdmitRelayed(const Endpoint& upstream) const {
  if (draining_ || !links_up()) {
    return kRelayUnavailable;
  }
  return upstreams_.KnowsAddress(upstream) ? kOk : kRelayUpstreamUnreachable;
}

Status Gateway::Impl::StartRelay() {
  if (!init_.relay_listen) {
    return Done{};
  }
  auto server = RelayServer::Create(
      loop_,
      {*init_.relay_listen,
       [this](const Endpoint& upstream) { return AdmitRelayed(upstream); },
       [this](const Endpoint& upstream, bool established) {
         RecordConnect(upstream, established);
       },
       init_.max_tunnels, init_.max_relayed_bytes});
  if (!server) {
    return server.refusal();
  }
  relay_server_ = std::move(*server);
  return Done{};
}

void Gateway::Impl::LogLinks(UpstreamLinks::State before) {
  if (links_.state() == before) {
    return;
  }
  if (links_.state() == UpstreamLinks::State::kLost) {
    // What failed so far says nothing about the upstreams.
    health_.ForgetFailures();
    if (links_.hanging()) {
      pool_.CloseAllIdle();
    }
  }
  metrics::SetGauge("ring_upstream_links_lost", {},
                    links_.state() == UpstreamLinks::State::kLost ? 1 : 0);
  Event(LogLevel::kWarn, "upstream_links")
      .Add("state", NameOf(links_.state()))
      .Add("before", NameOf(before))
      .Add("before_ms", loop_.now_ms() - links_changed_ms_)
      .Add("failed", uint64_t{links_.failed().size()})
      .Add("hanging", links_.hanging())
      .Add("known", uint64_t{upstreams_.size()})
      .Add("relays", uint64_t{relays_.size()});
  links_changed_ms_ = loop_.now_ms();
}

}  // namespace ring
