#include <algorithm>
#include <optional>

#include "core_flatbuffer_p.h"
#include "directory.generated.h"
#include "persimmonring/registrar.h"

namespace ring {
namespace {

constexpr int64_t kSilenceCheckMs = 500;
// A started keeper without a majority tells entries what it holds after this
// time: several elections. Tool calls are then served with an old configuration
// rather than not at all.
constexpr int64_t kSettleMs = 3'000;
// Registrations are repeated long before the log forgets them (10 minutes).
constexpr int64_t kRegisterAgainMs = 240'000;
// Keepers and entries are told of keepers and the configuration again after
// this time, in case a message was lost with its session.
constexpr int64_t kRepeatMs = 2'000;

constexpr std::string_view kKeeperPrefix = "keeper@";

bool IsKeeper(const std::string& node) {
  return node.starts_with(kKeeperPrefix);
}

std::optional<Endpoint> EndpointOf(const std::string& node) {
  return Endpoint::Parse(AddressOfKeeper(node));
}

Refusal NotConfirmed(const Outcome<fb::StateResultT>& outcome) {
  return outcome ? Refusal{Reason::kInternal, RunState::kUnknown,
                           "the state group refused the command"}
                 : outcome.refusal();
}

}  // namespace

// Sends requests of this keeper to its own replica without a connection.
class LocalHub final : public HubI {
 public:
  LocalHub(HubI& hub, KeeperHost& host, std::string node)
      : hub_(hub), host_(host), self_{.node = std::move(node)} {}

  void Connect(const Endpoint& endpoint) override { hub_.Connect(endpoint); }
  void Disconnect(const Endpoint& endpoint) override {
    hub_.Disconnect(endpoint);
  }
  Status Send(SessionHandle session, const Frame& frame) override {
    if (session != kLocalSession) {
      return hub_.Send(session, frame);
    }
    host_.OnFrame(kLocalSession, self_, frame);
    return Done{};
  }
  SessionHandle FindByEndpoint(const Endpoint& endpoint) const override {
    return hub_.FindByEndpoint(endpoint);
  }
  SessionHandle FindByNode(const std::string& node) const override {
    return node == self_.node ? kLocalSession : hub_.FindByNode(node);
  }

 private:
  HubI& hub_;
  KeeperHost& host_;
  const PeerInfo self_;
};

class Registrar::Impl {
 public:
  Impl(const RegistrarInit& init, EventLoop& loop) : init_(init), loop_(loop) {}

  void Start(KeeperHost& host, HubI& hub);
  void Announce(const UpstreamInstance& upstream, const Answer& answer);
  void Deregister(const std::string& instance,
                  std::optional<int64_t> born_ms,
                  const Answer& answer);
  void AddKeepers(const std::vector<Endpoint>& keepers);
  void OnSession(SessionHandle session, const std::string& node);
  void OnSessionEnd(SessionHandle session);
  void OnKeeperList(const std::string& payload);
  void OnMembers(const LogConfig& config);
  void OnSettled();
  void OnConfiguration(uint64_t version);
  void OnDeparture(const UpstreamDeparture& departure);
  void OnRegistered(const fb::RegisterUpstreamT& upstream);

  StateClient& state() { return *state_; }
  const RegistrarInit& init() const { return init_; }
  EventLoop& loop() { return loop_; }
  KeeperHost* host() { return host_; }
  const LogConfig& members() const { return members_; }
  bool IsMember(const std::string& address) const {
    return std::any_of(members_.members.begin(), members_.members.end(),
                       [&](const Member& row) {
                         return AddressOfKeeper(row.node) == address;
                       });
  }
  /// @returns "<vm>@<address>" of a keeper's VM, or an empty text
  std::string FindVm(const std::string& vm) const;

  mutable std::mutex mutex;
  std::set<std::string> retired;  // Guarded by the mutex.

 private:
  struct Heard {
    UpstreamInstance upstream;
    int64_t heard_ms = 0;
    bool heard = true;
  };
  using Key = std::pair<std::string, int64_t>;

  void Register(const UpstreamInstance& upstream);
  void RecordDeparture(const UpstreamDeparture& departure,
                       const Answer& answer);
  bool IsDeparted(const UpstreamDeparture& departure) const;
  void CheckSilence();
  void PushUpstreams(const std::vector<const Heard*>& rows,
                     bool whole,
                     std::optional<SessionHandle> only);
  void PushDeparture(const UpstreamDeparture& departure,
                     std::optional<SessionHandle> only);
  void PushConfigNotice(std::optional<SessionHandle> only);
  void PushKeepers(std::optional<SessionHandle> only);
  /// Tells an entry all that is known.
  void Welcome(SessionHandle session);
  void SendToEntries(const Frame& frame, std::optional<SessionHandle> only);

  const RegistrarInit init_;
  EventLoop& loop_;
  KeeperHost* host_ = nullptr;
  HubI* hub_ = nullptr;
  std::unique_ptr<LocalHub> local_hub_;
  std::unique_ptr<StateClient> state_;
  std::map<std::string, Heard> upstreams_;  // By instance.
  std::map<Key, bool> departures_;          // true: gone
  std::map<Key, int64_t> registered_ms_;    // When the log was told or heard.
  std::map<SessionHandle, std::string> entries_;
  std::map<SessionHandle, std::string> keepers_;
  std::map<std::string, std::string> vms_;  // VM to the address of its keeper.
  LogConfig members_;
  uint64_t version_ = 0;
  bool settled_ = false;
};

void Registrar::Impl::Start(KeeperHost& host, HubI& hub) {
  host_ = &host;
  hub_ = &hub;
  local_hub_ = std::make_unique<LocalHub>(hub, host, init_.node);
  state_ =
      std::make_unique<StateClient>(StateClient::Init{}, *local_hub_, loop_);
  state_->OnOpened(kLocalSession, init_.node);
  AddKeepers(init_.keepers);
  loop_.After(kSettleMs, [this] { OnSettled(); });
  loop_.Every(kSilenceCheckMs, [this] { CheckSilence(); });
  loop_.Every(kRepeatMs, [this] {
    PushKeepers(std::nullopt);
    PushConfigNotice(std::nullopt);
  });
}

void Registrar::Impl::AddKeepers(const std::vector<Endpoint>& keepers) {
  for (const Endpoint& keeper : keepers) {
    hub_->Connect(keeper);
  }
}

// ------------------------------------------------------------------ upstreams

void Registrar::Impl::Announce(const UpstreamInstance& upstream,
                               const Answer& answer) {
  const auto [it, added] =
      upstreams_.try_emplace(upstream.instance, Heard{upstream});
  Heard& known = it->second;
  const bool older = !added && (upstream.born_ms < known.upstream.born_ms ||
                                (upstream.born_ms == known.upstream.born_ms &&
                                 upstream.sequence <= known.upstream.sequence));
  if (older) {
    // A delayed message; what came later stands.
    return answer(Done{});
  }
  UpstreamInstance comparable = upstream;
  comparable.sequence = known.upstream.sequence;
  comparable.cold_left_ms = known.upstream.cold_left_ms;
  const bool changed = added || !known.heard || comparable != known.upstream;
  known.upstream = upstream;
  known.heard_ms = loop_.now_ms();
  known.heard = true;
  if (changed) {
    Event(LogLevel::kInfo, "upstream_announced")
        .Add("upstream", upstream.instance)
        .Add("service", upstream.service)
        .Add("address", upstream.address.ToString())
        .Add("state", int{static_cast<uint8_t>(upstream.state)})
        .Add("born_ms", upstream.born_ms)
        .Add("sequence", upstream.sequence);
    PushUpstreams({&known}, false, std::nullopt);
  }
  if (upstream.state == UpstreamState::kReady) {
    Register(upstream);
    return answer(Done{});
  }
  RecordDeparture({upstream.instance, upstream.born_ms,
                   upstream.state == UpstreamState::kGone},
                  answer);
}

// The log holds who was there, so that a ring that restarts whole can serve
// before every upstream has announced itself again.
void Registrar::Impl::Register(const UpstreamInstance& upstream) {
  int64_t& registered_ms =
      registered_ms_[{upstream.instance, upstream.born_ms}];
  if (registered_ms != 0 && loop_.now_ms() - registered_ms < kRegisterAgainMs) {
    return;
  }
  registered_ms = loop_.now_ms();
  fb::RegisterUpstreamT record;
  record.instance = upstream.instance;
  record.service = upstream.service;
  record.address = upstream.address.ToString();
  record.domain = upstream.domain;
  record.version = upstream.version;
  record.slots = upstream.slots;
  record.born_ms = upstream.born_ms;
  state_->Propose(state_codec::EncodeRegister(record), init_.order_timeout_ms,
                  [this, key = Key(upstream.instance, upstream.born_ms)](
                      const Outcome<fb::StateResultT>& outcome) {
                    if (!outcome) {
                      // The next announcement tries again.
                      registered_ms_.erase(key);
                    }
                  });
}

// Counts as heard for a while, until it announces itself or stays silent.
void Registrar::Impl::OnRegistered(const fb::RegisterUpstreamT& record) {
  registered_ms_[{record.instance, record.born_ms}] = loop_.now_ms();
  const auto known = upstreams_.find(record.instance);
  if (known != upstreams_.end() &&
      known->second.upstream.born_ms >= record.born_ms) {
    return;
  }
  UpstreamInstance upstream;
  upstream.instance = record.instance;
  upstream.service = record.service;
  upstream.address = Endpoint::Parse(record.address).value_or(Endpoint{});
  upstream.domain = record.domain;
  upstream.version = record.version;
  upstream.slots = record.slots;
  upstream.born_ms = record.born_ms;
  Heard& row = upstreams_[record.instance];
  row = {upstream, loop_.now_ms(), true};
  PushUpstreams({&row}, false, std::nullopt);
}

void Registrar::Impl::Deregister(const std::string& instance,
                                 std::optional<int64_t> born_ms,
                                 const Answer& answer) {
  const auto found = upstreams_.find(instance);
  int64_t born = born_ms.value_or(0);
  if (!born_ms && found != upstreams_.end()) {
    born = found->second.upstream.born_ms;
  }
  if (found != upstreams_.end() && found->second.upstream.born_ms <= born) {
    found->second.upstream.state = UpstreamState::kGone;
    PushUpstreams({&found->second}, false, std::nullopt);
  }
  RecordDeparture({instance, born, true}, answer);
}

bool Registrar::Impl::IsDeparted(const UpstreamDeparture& departure) const {
  const auto known = departures_.find({departure.instance, departure.born_ms});
  return known != departures_.end() && (known->second || !departure.gone);
}

void Registrar::Impl::RecordDeparture(const UpstreamDeparture& departure,
                                      const Answer& answer) {
  if (IsDeparted(departure)) {
    return answer(Done{});
  }
  state_->Propose(state_codec::EncodeDeparture(departure),
                  init_.order_timeout_ms,
                  [answer](const Outcome<fb::StateResultT>& outcome) {
                    if (outcome && outcome->code == fb::StateCode::Done) {
                      answer(Done{});
                    } else {
                      answer(NotConfirmed(outcome));
                    }
                  });
}

void Registrar::Impl::CheckSilence() {
  const int64_t limit_ms =
      init_.announce_period_ms * init_.missed_announcements;
  std::vector<const Heard*> lost;
  for (auto& [instance, row] : upstreams_) {
    if (row.heard && loop_.now_ms() - row.heard_ms > limit_ms) {
      row.heard = false;
      lost.push_back(&row);
      Event(LogLevel::kInfo, "upstream_silent")
          .Add("upstream", instance)
          .Add("silent_ms", loop_.now_ms() - row.heard_ms);
    }
  }
  if (!lost.empty()) {
    PushUpstreams(lost, false, std::nullopt);
  }
  std::erase_if(registered_ms_, [&](const auto& item) {
    return loop_.now_ms() - item.second > 2 * kRegisterAgainMs;
  });
  constexpr int64_t kForgetPeriods = 100;
  std::erase_if(upstreams_, [&](const auto& item) {
    return !item.second.heard && loop_.now_ms() - item.second.heard_ms >
                                     init_.announce_period_ms * kForgetPeriods;
  });
}

// --------------------------------------------------------------------- pushes

void Registrar::Impl::SendToEntries(const Frame& frame,
                                    std::optional<SessionHandle> only) {
  const auto send = [&](SessionHandle session) {
    if (const Status sent = hub_->Send(session, frame); !sent) {
      metrics::Count("ring_keeper_unsent_frames_total",
                     {{"reason", ToString(sent.refusal().reason)}});
    }
  };
  if (only) {
    return send(*only);
  }
  // Entries that wait are told all at once by Welcome.
  if (settled_) {
    for (const auto& [session, node] : entries_) {
      send(session);
    }
  }
}

void Registrar::Impl::PushUpstreams(const std::vector<const Heard*>& rows,
                                    bool whole,
                                    std::optional<SessionHandle> only) {
  fb::UpstreamUpdateT update;
  update.whole = whole;
  for (const Heard* row : rows) {
    auto record = std::make_unique<fb::UpstreamRecordT>();
    record->instance = row->upstream.instance;
    record->service = row->upstream.service;
    record->address = row->upstream.address.ToString();
    record->domain = row->upstream.domain;
    record->version = row->upstream.version;
    record->slots = row->upstream.slots;
    record->born_ms = row->upstream.born_ms;
    record->sequence = row->upstream.sequence;
    record->state = static_cast<uint8_t>(row->upstream.state);
    record->cold_left_ms = row->upstream.cold_left_ms;
    record->heard = row->heard;
    update.upstreams.push_back(std::move(record));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateUpstreamUpdate(builder, &update));
  SendToEntries(
      {.kind = FrameKind::UpstreamUpdate, .payload = BytesOf(builder)}, only);
}

void Registrar::Impl::PushDeparture(const UpstreamDeparture& departure,
                                    std::optional<SessionHandle> only) {
  fb::UpstreamUpdateT update;
  auto record = std::make_unique<fb::UpstreamRecordT>();
  record->instance = departure.instance;
  record->born_ms = departure.born_ms;
  record->state = static_cast<uint8_t>(
      departure.gone ? UpstreamState::kGone : UpstreamState::kDraining);
  update.upstreams.push_back(std::move(record));
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateUpstreamUpdate(builder, &update));
  SendToEntries(
      {.kind = FrameKind::UpstreamUpdate, .payload = BytesOf(builder)}, only);
}

void Registrar::Impl::PushConfigNotice(std::optional<SessionHandle> only) {
  if (version_ == 0) {
    return;
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateConfigNotice(builder, version_));
  SendToEntries({.kind = FrameKind::ConfigNotice, .payload = BytesOf(builder)},
                only);
}

void Registrar::Impl::PushKeepers(std::optional<SessionHandle> only) {
  fb::KeeperListT list;
  for (const Member& member : members_.members) {
    if (const auto endpoint = EndpointOf(member.node)) {
      list.addresses.push_back(endpoint->ToString());
    }
  }
  // Keepers without a replica hear announcements as well.
  for (const auto& [session, node] : keepers_) {
    if (const auto endpoint = EndpointOf(node)) {
      list.addresses.push_back(endpoint->ToString());
    }
  }
  if (const auto self = EndpointOf(init_.node)) {
    list.addresses.push_back(self->ToString());
    list.self = self->ToString();
  }
  list.vm = init_.vm;
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateKeeperList(builder, &list));
  const Frame frame{.kind = FrameKind::KeeperList, .payload = BytesOf(builder)};
  SendToEntries(frame, only);
  if (!only) {
    for (const auto& [session, node] : keepers_) {
      SendToEntries(frame, session);
    }
  }
}

void Registrar::Impl::OnSession(SessionHandle session,
                                const std::string& node) {
  Event(LogLevel::kInfo, "peer_connected").Add("peer", node);
  if (IsKeeper(node)) {
    keepers_[session] = node;
    state_->OnOpened(session, node);
    return PushKeepers(session);
  }
  entries_[session] = node;
  if (settled_) {
    Welcome(session);
  }
}

// A keeper that has read its snapshot, but has not applied its log yet, knows
// an old configuration and upstreams that have left since.
void Registrar::Impl::OnSettled() {
  if (std::exchange(settled_, true)) {
    return;
  }
  for (const auto& [session, node] : entries_) {
    Welcome(session);
  }
}

void Registrar::Impl::Welcome(SessionHandle session) {
  std::vector<const Heard*> rows;
  for (const auto& [instance, row] : upstreams_) {
    rows.push_back(&row);
  }
  PushUpstreams(rows, true, session);
  for (const auto& [key, gone] : departures_) {
    PushDeparture({key.first, key.second, gone}, session);
  }
  PushConfigNotice(session);
  PushKeepers(session);
}

void Registrar::Impl::OnSessionEnd(SessionHandle session) {
  for (auto* sessions : {&keepers_, &entries_}) {
    const auto found = sessions->find(session);
    if (found != sessions->end()) {
      Event(LogLevel::kWarn, "peer_lost").Add("peer", found->second);
      sessions->erase(found);
    }
  }
  state_->OnClosed(session);
}

void Registrar::Impl::OnKeeperList(const std::string& payload) {
  const FlatView<fb::KeeperList> list(payload);
  if (!list || list->addresses() == nullptr) {
    return;
  }
  vms_[std::string(TextOf(list->vm()))] = TextOf(list->self());
  const auto self = EndpointOf(init_.node);
  for (const auto* text : *list->addresses()) {
    const auto endpoint = Endpoint::Parse(TextOf(text));
    if (endpoint && endpoint != self) {
      hub_->Connect(*endpoint);
    }
  }
}

std::string Registrar::Impl::FindVm(const std::string& vm) const {
  if (vm == init_.vm) {
    return vm + "@" + AddressOfKeeper(init_.node);
  }
  const auto found = vms_.find(vm);
  return found == vms_.end() ? std::string() : vm + "@" + found->second;
}

void Registrar::Impl::OnMembers(const LogConfig& config) {
  const auto self = EndpointOf(init_.node);
  for (const Member& before : members_.members) {
    const bool stays =
        std::any_of(config.members.begin(), config.members.end(),
                    [&](const Member& now) { return now.node == before.node; });
    const auto endpoint = EndpointOf(before.node);
    if (!stays && endpoint && endpoint != self) {
      hub_->Disconnect(*endpoint);
    }
  }
  members_ = config;
  for (const Member& member : config.members) {
    const auto endpoint = EndpointOf(member.node);
    if (endpoint && endpoint != self) {
      hub_->Connect(*endpoint);
    }
  }
  PushKeepers(std::nullopt);
}

void Registrar::Impl::OnConfiguration(uint64_t version) {
  version_ = std::max(version_, version);
  Event(LogLevel::kInfo, "configuration_applied").Add("version", version);
  PushConfigNotice(std::nullopt);
}

void Registrar::Impl::OnDeparture(const UpstreamDeparture& departure) {
  bool& gone = departures_[{departure.instance, departure.born_ms}];
  gone = gone || departure.gone;
  Event(LogLevel::kInfo, "upstream_departs")
      .Add("upstream", departure.instance)
      .Add("born_ms", departure.born_ms)
      .Add("gone", departure.gone);
  PushDeparture(departure, std::nullopt);
}

// --------------------------------------------------------------- public class

Registrar::Registrar(const RegistrarInit& init, EventLoop& loop)
    : impl_(std::make_unique<Impl>(init, loop)) {}
Registrar::~Registrar() = default;

void Registrar::Start(KeeperHost& host, HubI& hub) {
  impl_->Start(host, hub);
}

void Registrar::Announce(const UpstreamInstance& upstream,
                         const Answer& answer) {
  impl_->Announce(upstream, answer);
}

void Registrar::Deregister(const std::string& instance,
                           std::optional<int64_t> born_ms,
                           const Answer& answer) {
  impl_->Deregister(instance, born_ms, answer);
}

void Registrar::PutConfiguration(uint64_t version,
                                 const std::string& document,
                                 const Answer& answer) {
  impl_->state().Propose(
      state_codec::EncodePutConfiguration(version, document),
      impl_->init().order_timeout_ms,
      [version, answer](const Outcome<fb::StateResultT>& outcome) {
        const bool held = outcome && (outcome->code == fb::StateCode::Done ||
                                      outcome->code == fb::StateCode::Outdated);
        Event(LogLevel::kInfo, "configuration_ordered")
            .Add("version", version)
            .Add("held", outcome ? outcome->version : 0)
            .Add("outcome", held ? "accepted" : "not_confirmed");
        if (held) {
          answer(Done{});
        } else {
          answer(NotConfirmed(outcome));
        }
      });
}

void Registrar::ReadConfiguration(const DocumentAnswer& answer) {
  impl_->state().Query(state_codec::EncodeQuery(true),
                       impl_->init().order_timeout_ms,
                       [answer](const Outcome<fb::StateResultT>& outcome) {
                         if (!outcome || outcome->version == 0) {
                           answer(NotConfirmed(outcome));
                         } else {
                           answer(outcome->document);
                         }
                       });
}

void Registrar::Retire(const std::string& vm, const Answer& answer) {
  const std::string ordered = impl_->FindVm(vm);
  std::set<std::string> leaving = retired();
  const bool repeated = leaving.contains(AddressOfKeeper(ordered));
  if (ordered.empty()) {
    return answer(Refusal{Reason::kUnknownPath, RunState::kNotRun,
                          "no keeper is known on this VM"});
  }
  leaving.insert(AddressOfKeeper(ordered));
  const auto left = static_cast<size_t>(
      std::count_if(impl_->members().members.begin(),
                    impl_->members().members.end(), [&](const Member& member) {
                      return !leaving.contains(AddressOfKeeper(member.node));
                    }));
  if (!repeated && left < impl_->init().min_members) {
    return answer(Refusal{Reason::kNotAllowed, RunState::kNotRun,
                          "too few keepers would be left"});
  }
  impl_->state().Propose(state_codec::EncodeRetire(ordered),
                         impl_->init().order_timeout_ms,
                         [answer](const Outcome<fb::StateResultT>& outcome) {
                           if (outcome) {
                             answer(Done{});
                           } else {
                             answer(outcome.refusal());
                           }
                         });
}

void Registrar::ReadRetire(const std::string& vm, const RetireAnswer& answer) {
  impl_->state().Query(
      state_codec::EncodeQuery(false), impl_->init().order_timeout_ms,
      [this, vm, answer](const Outcome<fb::StateResultT>& outcome) {
        if (!outcome) {
          return answer(outcome.refusal());
        }
        for (const std::string& ordered : outcome->retired) {
          if (ordered.starts_with(vm + "@")) {
            return answer(impl_->IsMember(AddressOfKeeper(ordered))
                              ? RetireState::kRunning
                              : RetireState::kCompleted);
          }
        }
        answer(RetireState::kUnknown);
      });
}

void Registrar::AddKeepers(const std::vector<Endpoint>& keepers) {
  impl_->AddKeepers(keepers);
}

void Registrar::OnMembers(const LogConfig& config) {
  impl_->loop().Post([this, config] { impl_->OnMembers(config); });
}

void Registrar::OnSettled() {
  impl_->loop().Post([this] { impl_->OnSettled(); });
}

std::set<std::string> Registrar::retired() const {
  std::lock_guard lock(impl_->mutex);
  std::set<std::string> addresses;
  for (const std::string& ordered : impl_->retired) {
    addresses.insert(AddressOfKeeper(ordered));
  }
  return addresses;
}

void Registrar::OnLocalReply(const Frame& frame) {
  impl_->loop().Post([this, frame] {
    impl_->state().OnReply(kLocalSession, impl_->init().node, frame.correlation,
                           frame.payload);
  });
}

void Registrar::OnOpened(SessionHandle session, const PeerInfo& peer) {
  impl_->host()->OnOpened(session, peer);
  impl_->loop().Post(
      [this, session, node = peer.node] { impl_->OnSession(session, node); });
}

void Registrar::OnFrame(SessionHandle session,
                        const PeerInfo& peer,
                        const Frame& frame) {
  if (frame.kind == FrameKind::KeeperReply) {
    impl_->loop().Post([this, session, node = peer.node, frame] {
      impl_->state().OnReply(session, node, frame.correlation, frame.payload);
    });
  } else if (frame.kind == FrameKind::KeeperList) {
    impl_->loop().Post(
        [this, payload = frame.payload] { impl_->OnKeeperList(payload); });
  } else {
    impl_->host()->OnFrame(session, peer, frame);
  }
}

void Registrar::OnClosed(SessionHandle session,
                         const PeerInfo& peer,
                         Reason reason) {
  impl_->host()->OnClosed(session, peer, reason);
  impl_->loop().Post([this, session] { impl_->OnSessionEnd(session); });
}

void Registrar::OnConfiguration(uint64_t version,
                                std::shared_ptr<const std::string> /*text*/) {
  impl_->loop().Post([this, version] { impl_->OnConfiguration(version); });
}

void Registrar::OnUpstream(const fb::RegisterUpstreamT& upstream) {
  impl_->loop().Post([this, upstream] { impl_->OnRegistered(upstream); });
}

void Registrar::OnDeparture(const UpstreamDeparture& departure) {
  impl_->loop().Post([this, departure] { impl_->OnDeparture(departure); });
}

void Registrar::OnRetire(const std::set<std::string>& nodes) {
  std::lock_guard lock(impl_->mutex);
  impl_->retired = nodes;
}

}  // namespace ring
