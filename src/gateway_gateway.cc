#include <algorithm>

#include "core_flatbuffer_p.h"
#include "directory.generated.h"
#include "gateway_p.h"

namespace ring {
namespace {

// Delay before a failed fetch of the configuration is retried.
constexpr int64_t kConfigRetryMs = 150;
constexpr int64_t kConfigTimeoutMs = 1'000;
// Startup phase: for this time after the start, the configuration or the set of
// upstreams may be incomplete.
constexpr int64_t kStartupMs = 6'000;
constexpr int64_t kDrainCheckMs = 50;
// Entries report a leaving upstream to the keepers after a random delay up to
// this, several times what a departure takes to reach all entries, so that
// usually only one reports it.
constexpr int64_t kMaxLeavingReportDelayMs = 300;
constexpr int64_t kLeavingReportTimeoutMs = 5'000;
// Sessions and prompt parts, about 100 bytes each: enough for the turns of the
// last minutes at the design load of 11 requests per second and entry.
constexpr size_t kAffinityEntries = 4'000;
// Time for the process to exit before it is killed.
constexpr int64_t kGraceMarginMs = 400;
constexpr int64_t kPruneMs = 5'000;
constexpr int64_t kGaugesMs = 1'000;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

UpstreamTable::Report ToReport(const fb::UpstreamRecord& row) {
  UpstreamTable::Report report;
  UpstreamInstance& upstream = report.upstream;
  upstream.instance = TextOf(row.instance());
  upstream.service = TextOf(row.service());
  upstream.address =
      Endpoint::Parse(TextOf(row.address())).value_or(Endpoint{});
  upstream.domain = TextOf(row.domain());
  upstream.version = TextOf(row.version());
  upstream.slots = row.slots();
  upstream.born_ms = row.born_ms();
  upstream.sequence = row.sequence();
  upstream.cold_left_ms = row.cold_left_ms();
  upstream.state = static_cast<UpstreamState>(std::min<uint8_t>(
      row.state(), static_cast<uint8_t>(UpstreamState::kGone)));
  report.heard = row.heard();
  return report;
}

}  // namespace

class Gateway::Impl::ReadyHandler final : public HttpServerHandlerI {
 public:
  explicit ReadyHandler(const Gateway::Impl& gateway) : gateway_(gateway) {}
  // Answers by the head alone, so that no body is held.
  std::optional<HttpEarlyAnswer> OnRequestHead(const HttpHead& head) override {
    if (head.target != "/ready") {
      return HttpEarlyAnswer{kNotFound};
    }
    return HttpEarlyAnswer{gateway_.ready() ? kOk : kUnavailable};
  }
  void OnRequest(HttpServerConnection& /*connection*/,
                 HttpRequest /*request*/) override {}
  void OnPeerDisconnected(HttpServerConnection& /*connection*/) override {}

 private:
  const Gateway::Impl& gateway_;
};

Gateway::Impl::Impl(const GatewayInit& init,
                    const CallerProtocolI& protocol,
                    EventLoop& loop)
    : init_(init),
      protocol_(protocol),
      loop_(loop),
      pool_(loop,
            init.connector,
            [this](const Endpoint& upstream, bool established) {
              RecordConnect(upstream, established);
            }),
      chains_(init.chain_cache_bytes),
      affinity_(kAffinityEntries),
      domain_shares_({.domain = init.domain,
                      .region = init.region,
                      .regions = init.regions,
                      .enabled = init.mechanisms.domain_spill,
                      .observed_times = init.mechanisms.observed_times},
                     SystemClock()),
      probe_timer_(loop),
      next_probe_timer_(loop),
      crash_detector_(
          loop,
          protocol,
          [this](const Endpoint& upstream) {
            const auto relay = ChooseRelay();
            return relay ? pool_.OpenVia(*relay, upstream)
                         : pool_.Open(upstream);
          },
          [this](const Endpoint& upstream, std::function<void(bool)> done) {
            VerifyLinks(upstream, std::move(done));
          },
          [this](const ObservedCrash& crash) { OnCrash(crash); },
          [this](const UpstreamInstance& upstream) {
            RecordLeaving(upstream, "health_check", "");
          }) {}

Gateway::Impl::~Impl() = default;

Status Gateway::Impl::Start(HubI& hub) {
  hub_ = &hub;
  state_ = std::make_unique<StateClient>(StateClient::Init{}, hub, loop_);
  lease_ = init_.lease;
  if (lease_ == nullptr) {
    own_lease_ = std::make_unique<EntryLease>(
        EntryLease::Init{init_.node + "/" + std::to_string(start_),
                         init_.domain, init_.key_revocation_ms},
        loop_, *state_, SystemClock());
    lease_ = own_lease_.get();
  }
  if (init_.mechanisms.domain_spill) {
    lease_->AddPart(&domain_shares_);
  }
  lease_->AddPart(this);
  lease_->OnNewerVersion([this](uint64_t version) {
    leased_version_ = std::max(leased_version_, version);
    FetchConfiguration();
  });
  auto server = HttpServer::Create(loop_, init_.listen, *this);
  if (!server) {
    return server.refusal();
  }
  server_ = std::move(*server);
  server_->SetName("callers");
  SetServerLimits({});
  ready_handler_ = std::make_unique<ReadyHandler>(*this);
  auto ready = HttpServer::Create(loop_, init_.ready_listen, *ready_handler_);
  if (!ready) {
    return ready.refusal();
  }
  ready_server_ = std::move(*ready);
  ready_server_->SetName("ready");
  ready_server_->SetLimits({.max_held_bytes = init_.max_ready_held_bytes,
                            .max_connections = init_.max_ready_connections});
  if (Status relay = StartRelay(); !relay) {
    return relay;
  }
  AddKeepers(init_.keepers);
  startup_end_ms_ = loop_.now_ms() + kStartupMs;
  loop_.Every(kPruneMs, [this] {
    upstreams_.Prune(loop_.now_ms());
    suspects_.Expire(loop_.now_ms());
    crash_detector_.Expire();
    limits_.Expire(loop_.now_ms());
    relays_.Expire(loop_.now_ms());
    domain_shares_.Prune(upstreams_);
  });
  loop_.Every(DomainShares::kStepMs,
              [this] { domain_shares_.Step(upstreams_, times_); });
  loop_.Every(kGaugesMs, [this] {
    SetGauges();
    LogTimes();
  });
  return Done{};
}

void Gateway::Impl::SetServerLimits(HttpServerLimits limits) {
  limits.max_buffered_bytes = init_.max_buffered_bytes;
  limits.max_held_bytes = init_.max_held_bytes;
  limits.max_connections = init_.max_connections;
  server_->SetLimits(limits);
}

void Gateway::Impl::SetGauges() const {
  const auto set = [](const char* name, size_t value) {
    metrics::SetGauge(name, {}, static_cast<double>(value));
  };
  set("ring_requests_open", calls_.size());
  set("ring_configuration_version", table_ ? table_->version() : 0);
  set("ring_keepers_connected", state_->keepers());
  set("ring_upstreams_known", upstreams_.size());
}

void Gateway::Impl::LogTimes() {
  constexpr int64_t kMuchDivisor = 4;
  const auto log = [this](const char* kind, const auto& means) {
    for (const auto& [name, mean] : means) {
      metrics::SetGauge("ring_observed_time", {{"kind", kind}, {"of", name}},
                        static_cast<double>(mean.value()));
      int64_t& logged = logged_times_[std::string(kind) + "/" + name];
      if (std::abs(mean.value() - logged) > logged / kMuchDivisor) {
        logged = mean.value();
        Event(LogLevel::kInfo, "time_observed")
            .Add("kind", kind)
            .Add("of", name)
            .Add("value", mean.value())
            .Add("samples", mean.samples());
      }
    }
  };
  log("round_trip_us", times_.round_trips());
  log("prefill_ns_per_token", times_.prefill_ns());
  log("service_us", times_.service_us());
}

void Gateway::Impl::AddKeepers(const std::vector<Endpoint>& keepers) {
  for (const Endpoint& keeper : keepers) {
    hub_->Connect(keeper);
  }
}

bool Gateway::Impl::starting() const {
  return init_.mechanisms.startup_wait && loop_.now_ms() < startup_end_ms_;
}

bool Gateway::Impl::CanServeFor(int64_t wait_ms) const {
  return !draining_ || loop_.now_ms() + wait_ms <=
                           drain_started_ms_ + init_.grace_ms - kGraceMarginMs;
}

void Gateway::Impl::ResumeWaiting() {
  for (GatewayCall* call : std::exchange(waiting_, {})) {
    call->Resume();
  }
}

bool Gateway::Impl::ready() const {
  return table_ != nullptr && !draining_ && state_->reachable() &&
         key_confirmation().keys_valid;
}

KeyConfirmation Gateway::Impl::key_confirmation() const {
  if (!table_ || !table_->has_teams()) {
    return {};
  }
  return {init_.key_revocation_ms <= 0 || lease_->keys_valid(),
          lease_->confirmed_ms_ago()};
}

// Deferred, so that the lease has taken over the whole reply.
void Gateway::Impl::OnReply(const fb::LeaseReplyT& /*reply*/,
                            int64_t /*asked_ms*/) {
  if (!waiting_.empty()) {
    loop_.Defer([this] { ResumeWaiting(); });
  }
}

void Gateway::Impl::RecordWaiting(const Team* team, int64_t change) {
  const std::string label = team_labels_.LabelOf(team);
  int64_t& waiting = waiting_by_team_[label];
  waiting += change;
  metrics::SetGauge("ring_team_waiting_requests", {{"team", label}},
                    static_cast<double>(waiting));
}

void Gateway::Impl::RecordTeam(const Team* team, const Refusal& refusal) {
  const std::string label = team_labels_.LabelOf(team);
  if (refusal.reason != Reason::kNone &&
      refusal.run_state == RunState::kNotRun) {
    metrics::Count("ring_team_refused_requests_total",
                   {{"team", label}, {"reason", ToString(refusal.reason)}});
  } else {
    metrics::Count("ring_team_admitted_requests_total", {{"team", label}});
  }
}

std::string Gateway::Impl::RegionOf(const std::string& domain) const {
  const auto found = init_.regions.find(domain);
  return found == init_.regions.end() ? domain : found->second;
}

// ------------------------------------------------------------------- keepers

void Gateway::Impl::OnSession(SessionHandle session, const std::string& node) {
  state_->OnOpened(session, node);
  Event(LogLevel::kInfo, "keeper_connected").Add("keeper", node);
}

void Gateway::Impl::OnSessionEnd(SessionHandle session,
                                 const std::string& node) {
  announced_versions_.erase(session);
  state_->OnClosed(session);
  Event(LogLevel::kWarn, "keeper_lost").Add("keeper", node);
}

void Gateway::Impl::OnKeeperFrame(SessionHandle session,
                                  const std::string& node,
                                  const Frame& frame) {
  switch (frame.kind) {
    case FrameKind::KeeperReply:
      return state_->OnReply(session, node, frame.correlation, frame.payload);
    case FrameKind::UpstreamUpdate:
      return OnUpstreamUpdate(node, frame.payload);
    case FrameKind::ConfigNotice:
      return OnConfigNotice(session, frame.payload);
    case FrameKind::KeeperList:
      return OnKeeperList(frame.payload);
    case FrameKind::SuspectList:
      return OnSuspectList(frame.payload);
    case FrameKind::LeaderNotice:
      return state_->OnLeader(session);
    default:
      return;
  }
}

void Gateway::Impl::OnUpstreamUpdate(const std::string& node,
                                     const std::string& payload) {
  const FlatBufferView<fb::UpstreamUpdate> update(payload);
  if (!update) {
    Event(LogLevel::kWarn, "upstream_update_unreadable").Add("keeper", node);
    return;
  }
  std::vector<UpstreamTable::Report> reports;
  if (update->upstreams() != nullptr) {
    for (const fb::UpstreamRecord* row : *update->upstreams()) {
      UpstreamTable::Report report = ToReport(*row);
      if (report.upstream.service.empty()) {
        // The record only reports the departure of an incarnation.
        upstreams_.RecordDeparture(
            {report.upstream.instance, report.upstream.born_ms,
             report.upstream.state == UpstreamState::kGone});
        continue;
      }
      reports.push_back(std::move(report));
    }
  }
  for (const UpstreamTable::Report& report :
       upstreams_.Merge(node, update->whole(), reports)) {
    crash_detector_.OnUpstreamReported(report.upstream);
    Event(LogLevel::kInfo, "upstream_reported")
        .Add("upstream", report.upstream.instance)
        .Add("address", report.upstream.address.ToString())
        .Add("state", int{static_cast<uint8_t>(report.upstream.state)})
        .Add("heard", report.heard)
        .Add("sequence", report.upstream.sequence)
        .Add("keeper", node);
  }
  ResumeWaiting();
}

void Gateway::Impl::OnConfigNotice(SessionHandle session,
                                   const std::string& payload) {
  const FlatBufferView<fb::ConfigNotice> notice(payload);
  if (notice) {
    announced_versions_[session] = notice->version();
    FetchConfiguration();
  }
}

void Gateway::Impl::FetchConfiguration() {
  const uint64_t held =
      std::max(table_ ? table_->version() : 0, unreadable_version_);
  const auto newest = std::max_element(
      announced_versions_.begin(), announced_versions_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  const uint64_t announced =
      newest == announced_versions_.end() ? 0 : newest->second;
  if (fetching_configuration_ || std::max(announced, leased_version_) <= held) {
    return;
  }
  fetching_configuration_ = true;
  const auto callback = [this](const Outcome<fb::StateResultT>& outcome) {
    OnConfigurationFetched(outcome);
  };
  if (announced >= leased_version_) {
    state_->QueryLocal(newest->first, state_codec::EncodeQuery(true),
                       kConfigTimeoutMs, callback);
  } else {
    // No connected keeper has announced the version yet; the leader has it.
    state_->Query(state_codec::EncodeQuery(true), kConfigTimeoutMs, callback);
  }
}

void Gateway::Impl::OnConfigurationFetched(
    const Outcome<fb::StateResultT>& outcome) {
  fetching_configuration_ = false;
  if (!outcome) {
    Event(LogLevel::kWarn, "configuration_not_fetched")
        .Add("detail", outcome.refusal().message);
    loop_.After(kConfigRetryMs, [this] { FetchConfiguration(); });
    return;
  }
  const uint64_t before = table_ ? table_->version() : 0;
  if (!InstallConfiguration(outcome->document)) {
    unreadable_version_ = std::max(unreadable_version_, outcome->version);
  }
  if (table_ && table_->version() > before) {
    return FetchConfiguration();
  }
  loop_.After(kConfigRetryMs, [this] { FetchConfiguration(); });
}

bool Gateway::Impl::InstallConfiguration(const std::string& document) {
  const auto parsed = protocol_.ParseConfiguration(document);
  if (!parsed) {
    Event(LogLevel::kError, "configuration_unreadable")
        .Add("detail", parsed.refusal().message);
    return false;
  }
  const uint64_t held = table_ ? table_->version() : 0;
  if ((*parsed)->version() <= held) {
    return true;
  }
  table_ = *parsed;
  lease_->SetTable(table_);
  SetServerLimits(table_->limits());
  Event(LogLevel::kInfo, "configuration_installed")
      .Add("version", table_->version())
      .Add("before", held)
      .Add("routes", uint64_t{table_->routes().size()})
      .Add("teams", table_->has_teams());
  ResumeWaiting();
  return true;
}

void Gateway::Impl::OnKeeperList(const std::string& payload) {
  const FlatBufferView<fb::KeeperList> list(payload);
  if (!list || list->addresses() == nullptr) {
    return;
  }
  entry_counts_[std::string(TextOf(list->self()))] = list->entries();
  if (list->relays() != nullptr) {
    for (const auto* text : *list->relays()) {
      const auto relay = Endpoint::Parse(TextOf(text));
      if (relay && relay != init_.relay_listen) {
        relays_.OnListed(*relay, loop_.now_ms());
      }
    }
  }
  for (const auto* text : *list->addresses()) {
    if (const auto endpoint = Endpoint::Parse(TextOf(text))) {
      hub_->Connect(*endpoint);
    }
  }
}

// ------------------------------------------------------------------- requests

void Gateway::Impl::OnRequest(HttpServerConnection& connection,
                              HttpRequest request) {
  auto call =
      std::make_unique<GatewayCall>(*this, connection, std::move(request));
  GatewayCall* const raw = call.get();
  calls_[raw] = std::move(call);
  by_connection_[&connection] = raw;
  raw->Begin();
}

void Gateway::Impl::OnPeerDisconnected(HttpServerConnection& connection) {
  const auto found = by_connection_.find(&connection);
  if (found != by_connection_.end()) {
    GatewayCall* const call = found->second;
    by_connection_.erase(found);
    call->OnCallerGone();
  }
}

void Gateway::Impl::OnDrained(HttpServerConnection& connection) {
  const auto found = by_connection_.find(&connection);
  if (found != by_connection_.end()) {
    found->second->OnCallerDrained();
  }
}

void Gateway::Impl::Remove(GatewayCall* call) {
  std::erase_if(by_connection_,
                [call](const auto& item) { return item.second == call; });
  loop_.Defer([this, call] { calls_.erase(call); });
}

void Gateway::Impl::RecordSent(const std::string& instance) {
  ++in_flight_[instance];
  const UpstreamInstance* upstream = upstreams_.Find(instance);
  if (upstream == nullptr) {
    return;
  }
  const ServiceSpec* spec = table_->FindService(upstream->service);
  const bool engine = spec != nullptr && spec->engine.has_value();
  if (!engine) {
    domain_shares_.OnSent(upstream->service, instance);
  }
  const char* const to = upstream->domain == init_.domain ? "domain"
                         : RegionOf(upstream->domain) == init_.region
                             ? "region"
                             : "other_region";
  metrics::Count("ring_upstream_sends_total",
                 {{"kind", engine ? "turn" : "call"}, {"to", to}});
}

void Gateway::Impl::RecordEnded(const std::string& instance) {
  domain_shares_.OnEnded(instance);
  const auto found = in_flight_.find(instance);
  if (found != in_flight_.end() && --found->second <= 0) {
    in_flight_.erase(found);
  }
}

void Gateway::Impl::RecordLeaving(const UpstreamInstance& upstream,
                                  const char* source,
                                  const std::string& request) {
  if (!upstreams_.MarkLeaving(upstream, loop_.now_ms())) {
    return;
  }
  metrics::Count("ring_upstreams_leaving_total", {{"source", source}});
  Event(LogLevel::kInfo, "upstream_leaving")
      .Add("upstream", upstream.instance)
      .Add("born_ms", upstream.born_ms)
      .Add("source", source)
      .Add("request", request)
      .Add("sequence", upstream.sequence);
  pool_.CloseIdle(upstream.address);
  // All entries that use the upstream notice this at about the same time;
  // usually only the first one reports it.
  loop_.After(random_() % kMaxLeavingReportDelayMs, [this, upstream] {
    if (!upstreams_.departed(upstream)) {
      state_->Propose(state_codec::EncodeDeparture(
                          {upstream.instance, upstream.born_ms, false}),
                      kLeavingReportTimeoutMs, nullptr);
    }
  });
}

void Gateway::Impl::RecordLimit(const UpstreamInstance& upstream,
                                const UpstreamResponse& answer) {
  const auto before = limits_.OnAnswer(upstream, answer, loop_.now_ms());
  if (before) {
    Event(LogLevel::kInfo, "upstream_limit")
        .Add("upstream", upstream.instance)
        .Add("born_ms", upstream.born_ms)
        .Add("limit", answer.limit.value_or(-1))
        .Add("before", before->limit.value_or(-1))
        .Add("before_ms_ago",
             before->at_ms == 0 ? -1 : loop_.now_ms() - before->at_ms)
        .Add("request", answer.request_id);
  }
}

void Gateway::Impl::RecordFailure(const UpstreamInstance& upstream,
                                  Reason reason) {
  const int64_t suspected_ms =
      health_.OnFailure(upstream.instance, loop_.now_ms());
  Event(LogLevel::kInfo, "upstream_suspected")
      .Add("upstream", upstream.instance)
      .Add("reason", reason)
      .Add("failing_percent", int{health_.FailurePercent(upstream.instance)})
      .Add("for_ms", suspected_ms);
}

PlacementInput Gateway::Impl::BuildPlacementInput(
    const std::vector<const UpstreamInstance*>& ready,
    const std::string& service,
    const GatewayCall& call) const {
  const ServiceSpec* spec = table_->FindService(service);
  PlacementInput input;
  input.engine = spec != nullptr && spec->engine.has_value();
  input.prompt_tokens = call.info().prompt_tokens;
  input.random = call.random();
  input.service_us =
      input.engine ? ObservedTimes::kTurnUs : ObservedTimes::kCallUs;
  if (init_.mechanisms.observed_times) {
    input.prefill_ns_per_token = times_.PrefillNsPerToken(service);
    input.service_us = times_.ServiceUs(service, input.engine);
  }
  // Retries go where the cost is least.
  const auto drawn = input.engine || !call.tried().empty()
                         ? std::nullopt
                         : domain_shares_.Draw(service, input.random);
  for (const UpstreamInstance* upstream : ready) {
    PlacementCandidate candidate;
    candidate.instance = upstream->instance;
    candidate.same_domain = upstream->domain == init_.domain;
    candidate.same_region = RegionOf(upstream->domain) == init_.region;
    if (init_.mechanisms.observed_times) {
      candidate.round_trip_us = times_.RoundTripUs(upstream->domain);
    }
    candidate.slots = upstream->slots;
    const auto load = in_flight_.find(upstream->instance);
    candidate.in_flight = load == in_flight_.end() ? 0 : load->second;
    if (upstream->instance == call.cached().instance) {
      candidate.cached_tokens = call.cached().tokens;
    }
    candidate.tried = call.tried().contains(upstream->instance);
    if (init_.mechanisms.suspicion) {
      candidate.suspected =
          health_.IsSuspected(upstream->instance, loop_.now_ms());
      candidate.failure_percent = health_.FailurePercent(upstream->instance);
    }
    candidate.cold = upstream->cold_left_ms > 0;
    candidate.limited = limits_.LimitOf(*upstream).has_value();
    candidate.drawn = upstream->domain == drawn;
    if (init_.mechanisms.observed_times) {
      candidate.service_us = domain_shares_.upstream_times()
                                 .ServiceUs(upstream->instance)
                                 .value_or(0);
    }
    input.candidates.push_back(std::move(candidate));
  }
  return input;
}

std::optional<Gateway::Impl::ChosenUpstream> Gateway::Impl::Place(
    const std::string& service,
    const GatewayCall& call) const {
  const auto ready = upstreams_.Ready(service, loop_.now_ms());
  const PlacementInput input = BuildPlacementInput(ready, service, call);
  for (size_t i = 0; i < ready.size() && call.placed() != 0; ++i) {
    const PlacementCandidate& candidate = input.candidates[i];
    if (!candidate.tried && !candidate.suspected &&
        UpstreamKey(candidate.instance) == call.placed()) {
      return ChosenUpstream{*ready[i], call.placed_load(), ready.size(),
                            candidate.limited, true};
    }
  }
  const auto chosen = PlaceRequest(input);
  if (!chosen) {
    return std::nullopt;
  }
  return ChosenUpstream{*ready[*chosen], input.candidates[*chosen].in_flight,
                        ready.size(), input.candidates[*chosen].limited, false};
}

Gateway::Impl::ShareResult Gateway::Impl::PlaceByShare(
    const std::string& service,
    const GatewayCall& call) {
  const int64_t now_ms = loop_.now_ms();
  int64_t entries = 1;
  for (const auto& [keeper, count] : entry_counts_) {
    entries = std::max(entries, count);
  }
  auto ready = upstreams_.Ready(service, now_ms);
  ShareResult result;
  std::erase_if(ready, [&](const UpstreamInstance* upstream) {
    const int64_t wait_ms =
        limits_.ShareWaitMs(*upstream, entries, share_phase_, now_ms);
    result.wait_ms = std::min(result.wait_ms.value_or(wait_ms), wait_ms);
    return wait_ms > 0;
  });
  const PlacementInput input = BuildPlacementInput(ready, service, call);
  if (const auto chosen = PlaceRequest(input)) {
    limits_.TakeShare(*ready[*chosen], now_ms);
    result.chosen =
        ChosenUpstream{*ready[*chosen], input.candidates[*chosen].in_flight,
                       ready.size(), input.candidates[*chosen].limited, true};
  }
  return result;
}

void Gateway::Impl::RecordPlacement(const fb::StateResultT& result,
                                    const std::string& service,
                                    int64_t asked_ms) {
  for (const UpstreamInstance* upstream :
       upstreams_.Ready(service, loop_.now_ms())) {
    if (UpstreamKey(upstream->instance) == result.placed) {
      limits_.OnTold(*upstream,
                     result.placed_limit < 0
                         ? std::nullopt
                         : std::optional(result.placed_limit),
                     asked_ms);
    }
  }
}

void Gateway::Impl::Offer(const std::string& service,
                          const GatewayCall& call,
                          fb::BeginTurnT& begin) const {
  constexpr int64_t kCostUnitUs = 100;
  const auto units = [](int64_t us) {
    return static_cast<uint16_t>(
        std::clamp<int64_t>(us / kCostUnitUs, 0, UINT16_MAX));
  };
  if (!init_.mechanisms.load_balancer) {
    return;
  }
  const auto ready = upstreams_.Ready(service, loop_.now_ms());
  if (init_.mechanisms.shared_limits) {
    for (const UpstreamInstance* upstream : ready) {
      if (const auto known = limits_.Recent(*upstream, loop_.now_ms())) {
        begin.limits.emplace_back(
            UpstreamKey(upstream->instance),
            static_cast<uint32_t>(loop_.now_ms() - known->at_ms),
            known->limit.value_or(-1));
      }
    }
  }
  const PlacementInput input = BuildPlacementInput(ready, service, call);
  for (const UpstreamOffer& offer : OfferPlacements(input)) {
    begin.offers.emplace_back(
        offer.upstream, units(offer.cost_us),
        static_cast<uint8_t>(std::clamp(offer.slots, 1, UINT8_MAX)),
        offer.cached);
  }
  // If this entry does not know where the previous turn ran, the state group
  // does.
  begin.cached_cost =
      call.cached().instance.empty() ? units(CachedSavingUs(input)) : 0;
}

// --------------------------------------------------------------------- ending

void Gateway::Impl::Drain(std::function<void()> done) {
  if (draining_) {
    return;
  }
  draining_ = true;
  drained_ = std::move(done);
  drain_started_ms_ = loop_.now_ms();
  server_->StopKeepAlive();
  Event(LogLevel::kInfo, "draining")
      .Add("connections", uint64_t{server_->connections()})
      .Add("requests", uint64_t{calls_.size()});
  loop_.Every(kDrainCheckMs, [this] { CheckDrained(); });
}

// New connections arrive until the load balancer has noticed, and callers keep
// using the open ones.
void Gateway::Impl::CheckDrained() {
  const int64_t since_ms = loop_.now_ms() - drain_started_ms_;
  const int64_t end_ms = init_.grace_ms - kGraceMarginMs;
  if (since_ms < std::min(init_.drain_notice_ms, end_ms)) {
    return;
  }
  server_->StopListening();
  server_->CloseIdle();
  const bool idle = calls_.empty() && server_->connections() == 0 &&
                    (!relay_server_ || relay_server_->connections() == 0);
  if (!idle && since_ms > end_ms && !std::exchange(ending_, true)) {
    // Their answers are sent before the next check.
    std::vector<GatewayCall*> calls;
    for (const auto& [call, owned] : calls_) {
      calls.push_back(call);
    }
    for (GatewayCall* call : calls) {
      call->OnEntryEnds();
    }
    return;
  }
  if ((idle || since_ms > end_ms) && drained_) {
    Event(LogLevel::kInfo, "drained")
        .Add("requests_left", uint64_t{calls_.size()})
        .Add("took_ms", since_ms);
    std::exchange(drained_, nullptr)();
  }
}

// ---------------------------------------------------------------- public class

Gateway::Gateway(const GatewayInit& init,
                 const CallerProtocolI& protocol,
                 EventLoop& loop)
    : impl_(std::make_unique<Impl>(init, protocol, loop)) {}
Gateway::~Gateway() = default;

Status Gateway::Start(HubI& hub) {
  return impl_->Start(hub);
}

void Gateway::AddKeepers(const std::vector<Endpoint>& keepers) {
  impl_->AddKeepers(keepers);
}

void Gateway::Drain(std::function<void()> done) {
  impl_->Drain(std::move(done));
}

void Gateway::OnOpened(SessionHandle session, const PeerInfo& peer) {
  impl_->loop().Post(
      [this, session, node = peer.node] { impl_->OnSession(session, node); });
}

void Gateway::OnFrame(SessionHandle session,
                      const PeerInfo& peer,
                      const Frame& frame) {
  impl_->loop().Post([this, session, node = peer.node, frame] {
    impl_->OnKeeperFrame(session, node, frame);
  });
}

void Gateway::OnClosed(SessionHandle session,
                       const PeerInfo& peer,
                       Reason /*reason*/) {
  impl_->loop().Post([this, session, node = peer.node] {
    impl_->OnSessionEnd(session, node);
  });
}

}  // namespace ring
