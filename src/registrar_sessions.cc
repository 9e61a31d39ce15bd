#include <algorithm>

#include "core_flatbuffer_p.h"
#include "directory.generated.h"
#include "registrar_p.h"

namespace ring {
namespace {

constexpr std::string_view kKeeperPrefix = "keeper@";
// Relays that one list names; each list names others.
constexpr size_t kMaxListedRelays = 12;

bool IsKeeper(const std::string& node) {
  return node.starts_with(kKeeperPrefix);
}

std::optional<Endpoint> EndpointOf(const std::string& node) {
  return Endpoint::Parse(KeeperAddress(node));
}

}  // namespace

void Registrar::Impl::Send(SessionHandle session, const Frame& frame) {
  if (const Status sent = hub_->Send(session, frame); !sent) {
    metrics::Count("ring_keeper_unsent_frames_total",
                   {{"reason", ToString(sent.refusal().reason)}});
  }
}

void Registrar::Impl::SendToEntries(const Frame& frame) {
  // OnCaughtUp sends the whole state to entries that connected earlier.
  if (caught_up_) {
    for (const auto& [session, node] : entries_) {
      Send(session, frame);
    }
  }
}

Frame Registrar::Impl::UpstreamUpdateFrame(
    const std::vector<const KnownUpstream*>& rows,
    const std::vector<UpstreamDeparture>& departures,
    bool whole) {
  fb::UpstreamUpdateT update;
  update.whole = whole;
  for (const KnownUpstream* row : rows) {
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
  for (const UpstreamDeparture& departure : departures) {
    auto record = std::make_unique<fb::UpstreamRecordT>();
    record->instance = departure.instance;
    record->born_ms = departure.born_ms;
    record->state = static_cast<uint8_t>(
        departure.gone ? UpstreamState::kGone : UpstreamState::kDraining);
    update.upstreams.push_back(std::move(record));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateUpstreamUpdate(builder, &update));
  return {.kind = FrameKind::UpstreamUpdate,
          .payload = BufferToString(builder)};
}

Frame Registrar::Impl::ConfigNoticeFrame() const {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateConfigNotice(builder, version_));
  return {.kind = FrameKind::ConfigNotice, .payload = BufferToString(builder)};
}

void Registrar::Impl::OnSuspects(
    uint64_t version,
    const std::vector<SuspectedRequest>& requests) {
  if (version != suspects_version_) {
    suspects_version_ = version;
    suspects_ = requests;
    SendToEntries(SuspectListFrame());
  }
}

Frame Registrar::Impl::SuspectListFrame() const {
  fb::SuspectListT list;
  list.version = suspects_version_;
  for (const SuspectedRequest& request : suspects_) {
    list.requests.emplace_back(request.digest,
                               static_cast<uint32_t>(request.crashes));
  }
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateSuspectList(builder, &list));
  return {.kind = FrameKind::SuspectList, .payload = BufferToString(builder)};
}

Frame Registrar::Impl::KeeperListFrame() {
  fb::KeeperListT list;
  for (const Member& member : members_.members) {
    if (const auto endpoint = EndpointOf(member.node)) {
      list.addresses.push_back(endpoint->ToString());
    }
  }
  // Keepers without a replica receive announcements as well.
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
  list.entries = static_cast<uint32_t>(entries_.size());
  std::vector<std::string> relays;
  for (const auto& [session, address] : relays_) {
    relays.push_back(address);
  }
  std::sample(relays.begin(), relays.end(), std::back_inserter(list.relays),
              kMaxListedRelays, random_);
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::CreateKeeperList(builder, &list));
  return {.kind = FrameKind::KeeperList, .payload = BufferToString(builder)};
}

void Registrar::Impl::SendKeeperList() {
  const Frame frame = KeeperListFrame();
  SendToEntries(frame);
  for (const auto& [session, node] : keepers_) {
    Send(session, frame);
  }
}

void Registrar::Impl::OnSession(SessionHandle session, const PeerInfo& peer) {
  const std::string& node = peer.node;
  Event(LogLevel::kInfo, "peer_connected").Add("peer", node);
  if (IsKeeper(node)) {
    keepers_[session] = node;
    state_->OnOpened(session, node);
    return Send(session, KeeperListFrame());
  }
  entries_[session] = node;
  if (!peer.relay.empty()) {
    relays_[session] = peer.relay;
  }
  if (caught_up_) {
    for (const Frame& frame : InitialFrames()) {
      Send(session, frame);
    }
  }
}

// Sends nothing to entries earlier: between loading the snapshot and applying
// the log, a keeper has an old configuration and upstreams that have left.
void Registrar::Impl::OnCaughtUp() {
  if (std::exchange(caught_up_, true)) {
    return;
  }
  for (const Frame& frame : InitialFrames()) {
    SendToEntries(frame);
  }
}

std::vector<Frame> Registrar::Impl::InitialFrames() {
  std::vector<Frame> frames;
  // First, because the entry needs another round trip to fetch the document.
  if (version_ > 0) {
    frames.push_back(ConfigNoticeFrame());
  }
  std::vector<const KnownUpstream*> rows;
  for (const auto& [instance, row] : upstreams_) {
    rows.push_back(&row);
  }
  std::vector<UpstreamDeparture> departures;
  for (const auto& [key, gone] : departures_) {
    departures.push_back({key.first, key.second, gone});
  }
  frames.push_back(UpstreamUpdateFrame(rows, departures, true));
  if (suspects_version_ > 0) {
    frames.push_back(SuspectListFrame());
  }
  frames.push_back(KeeperListFrame());
  return frames;
}

void Registrar::Impl::OnSessionEnd(SessionHandle session) {
  for (auto* sessions : {&keepers_, &entries_}) {
    const auto found = sessions->find(session);
    if (found != sessions->end()) {
      Event(LogLevel::kWarn, "peer_lost").Add("peer", found->second);
      sessions->erase(found);
    }
  }
  relays_.erase(session);
  state_->OnClosed(session);
}

void Registrar::Impl::OnKeeperList(const std::string& payload) {
  const FlatBufferView<fb::KeeperList> list(payload);
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

bool Registrar::Impl::all_vms_known() const {
  return std::all_of(members_.members.begin(), members_.members.end(),
                     [this](const Member& member) {
                       const std::string address = KeeperAddress(member.node);
                       return address == KeeperAddress(init_.node) ||
                              std::any_of(vms_.begin(), vms_.end(),
                                          [&address](const auto& item) {
                                            return item.second == address;
                                          });
                     });
}

std::string Registrar::Impl::FindVm(const std::string& vm) const {
  if (vm == init_.vm) {
    return vm + "@" + KeeperAddress(init_.node);
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
  SendKeeperList();
}

void Registrar::Impl::OnConfiguration(uint64_t version) {
  version_ = std::max(version_, version);
  Event(LogLevel::kInfo, "configuration_applied").Add("version", version);
  SendToEntries(ConfigNoticeFrame());
}

void Registrar::Impl::OnDeparture(const UpstreamDeparture& departure) {
  bool& gone = departures_[{departure.instance, departure.born_ms}];
  gone = gone || departure.gone;
  Event(LogLevel::kInfo, "upstream_departs")
      .Add("upstream", departure.instance)
      .Add("born_ms", departure.born_ms)
      .Add("gone", departure.gone);
  SendToEntries(UpstreamUpdateFrame({}, {departure}, false));
}

}  // namespace ring
