#include "gateway_suspects_p.h"

namespace ring {
namespace {

// A crashed process's port refuses within a round trip between regions (16 ms);
// a machine without power does not answer at all.
constexpr int64_t kProbeMs = 300;
// Connections opened at once to look for crashes; a cut of many upstreams needs
// no look at each.
constexpr size_t kMaxProbes = 16;

}  // namespace

class CrashWatch::Probe final : public ConnectionListenerI {
 public:
  Probe(CrashWatch& watch, const UpstreamInstance& upstream)
      : watch_(watch), upstream_(upstream), timer_(watch.loop_) {
    connection_ = TcpConnection::Connect(watch.loop_, {}, upstream.address);
    if (connection_) {
      connection_->SetListener(this);
    }
    timer_.Start(kProbeMs, [this] { End("silent"); });
  }

  void OnConnected() override { End("accepted"); }
  void OnBytes(std::string_view /*bytes*/) override {}
  void OnClosed(CloseKind kind) override {
    End(kind == CloseKind::kRefused ? kRefused : "closed");
  }

  const UpstreamInstance& upstream() const { return upstream_; }
  std::set<uint64_t>& digests() { return digests_; }

 private:
  void End(const char* verdict) {
    metrics::Count("ring_upstream_checks_total", {{"verdict", verdict}});
    Event(LogLevel::kInfo, "upstream_checked")
        .Add("upstream", upstream_.instance)
        .Add("verdict", verdict)
        .Add("requests", uint64_t{digests_.size()})
        .Add("digest", digests_.empty() ? 0 : *digests_.begin());
    watch_.EndProbe(upstream_.instance, std::string_view(verdict) == kRefused);
  }

  static constexpr char kRefused[] = "refused";
  CrashWatch& watch_;
  const UpstreamInstance upstream_;
  std::unique_ptr<TcpConnection> connection_;
  std::set<uint64_t> digests_;
  ScopedTimer timer_;
};

CrashWatch::CrashWatch(EventLoop& loop, Crashed crashed)
    : loop_(loop), crashed_(std::move(crashed)) {}
CrashWatch::~CrashWatch() = default;

void CrashWatch::OnBroken(const UpstreamInstance& upstream, uint64_t digest) {
  auto found = probes_.find(upstream.instance);
  if (found == probes_.end()) {
    if (probes_.size() >= kMaxProbes) {
      return;
    }
    found = probes_
                .emplace(upstream.instance,
                         std::make_unique<Probe>(*this, upstream))
                .first;
  }
  found->second->digests().insert(digest);
}

void CrashWatch::EndProbe(const std::string& instance, bool crashed) {
  const auto found = probes_.find(instance);
  if (found == probes_.end()) {
    return;
  }
  // Called by the probe, which is destroyed after the current callbacks.
  const std::shared_ptr<Probe> probe = std::move(found->second);
  probes_.erase(found);
  loop_.Defer([probe] {});
  if (crashed) {
    crashed_(probe->upstream(), probe->digests());
  }
}

void SuspectTable::Set(const std::vector<SuspectedRequest>& requests) {
  crashes_.clear();
  for (const SuspectedRequest& request : requests) {
    crashes_[request.digest] = request.crashes;
  }
}

int32_t SuspectTable::crashes(uint64_t digest) const {
  const auto found = crashes_.find(digest);
  return found == crashes_.end() ? 0 : found->second;
}

uint64_t RequestDigest(const HttpRequest& request, const CallerRequest& info) {
  RunningChecksum sum;
  for (const std::string* part :
       {&request.head.method, &request.head.target, &info.affinity}) {
    sum.Add(*part);
    sum.Add("\n");
  }
  sum.Add(request.body);
  return sum.value();
}

}  // namespace ring
