#include <algorithm>

#include "registrar_p.h"

namespace ring {
namespace {

constexpr int64_t kSilenceCheckPeriodMs = 500;
// A keeper that starts without a majority sends its state to entries after this
// time, which is several election timeouts. Entries then serve tool calls with
// an old configuration rather than not at all.
constexpr int64_t kMaxCatchUpMs = 3'000;
// The keeper list and the configuration version are resent at this interval,
// because a message may have been lost with its session.
constexpr int64_t kResendMs = 2'000;

Refusal MembersUnknown() {
  return {Reason::kNoQuorum, RunState::kNotRun,
          "this keeper does not know all members of the ring and their VMs"};
}

}  // namespace

void Registrar::Impl::Start(KeeperHost& host, HubI& hub) {
  host_ = &host;
  hub_ = &hub;
  loopback_hub_ = std::make_unique<LoopbackHub>(hub, host, init_.node);
  state_ =
      std::make_unique<StateClient>(StateClient::Init{}, *loopback_hub_, loop_);
  state_->OnOpened(kLocalSession, init_.node);
  AddKeepers(init_.keepers);
  loop_.After(kMaxCatchUpMs, [this] { OnCaughtUp(); });
  loop_.Every(kSilenceCheckPeriodMs, [this] { DetectSilentUpstreams(); });
  loop_.Every(kResendMs, [this] {
    SendKeeperList();
    if (version_ > 0) {
      SendToEntries(ConfigNoticeFrame());
    }
  });
}

void Registrar::Impl::AddKeepers(const std::vector<Endpoint>& keepers) {
  for (const Endpoint& keeper : keepers) {
    hub_->Connect(keeper);
  }
}

Registrar::Registrar(const RegistrarInit& init, EventLoop& loop)
    : impl_(std::make_unique<Impl>(init, loop)) {}
Registrar::~Registrar() = default;

void Registrar::Start(KeeperHost& host, HubI& hub) {
  impl_->Start(host, hub);
}

void Registrar::Announce(const UpstreamInstance& upstream,
                         const StatusCallback& callback) {
  impl_->Announce(upstream, callback);
}

void Registrar::Deregister(const std::string& instance,
                           std::optional<int64_t> born_ms,
                           const StatusCallback& callback) {
  impl_->Deregister(instance, born_ms, callback);
}

void Registrar::PutConfiguration(uint64_t version,
                                 const std::string& document,
                                 const StatusCallback& callback) {
  impl_->state().Propose(
      state_codec::EncodePutConfiguration(version, document),
      impl_->init().request_timeout_ms,
      [version, callback](const Outcome<fb::StateResultT>& outcome) {
        const bool accepted =
            outcome && (outcome->code == fb::StateCode::Done ||
                        outcome->code == fb::StateCode::Outdated);
        Event(LogLevel::kInfo, "configuration_ordered")
            .Add("version", version)
            .Add("held", outcome ? outcome->version : 0)
            .Add("outcome", accepted ? "accepted" : "not_confirmed");
        if (accepted) {
          callback(Done{});
        } else {
          callback(NotConfirmed(outcome));
        }
      });
}

void Registrar::ReadConfiguration(const DocumentCallback& callback) {
  impl_->state().Query(state_codec::EncodeQuery(true),
                       impl_->init().request_timeout_ms,
                       [callback](const Outcome<fb::StateResultT>& outcome) {
                         if (!outcome || outcome->version == 0) {
                           callback(NotConfirmed(outcome));
                         } else {
                           callback(outcome->document);
                         }
                       });
}

void Registrar::Retire(const std::string& vm, const StatusCallback& callback) {
  const std::string node = impl_->FindVm(vm);
  if (impl_->members().members.empty() ||
      (node.empty() && !impl_->all_vms_known())) {
    return callback(MembersUnknown());
  }
  std::set<std::string> retiring = retired();
  const bool already_requested = retiring.contains(KeeperAddress(node));
  if (node.empty()) {
    return callback(Refusal{Reason::kUnknownPath, RunState::kNotRun,
                            "no known keeper runs on this VM"});
  }
  retiring.insert(KeeperAddress(node));
  const auto remaining = static_cast<size_t>(
      std::count_if(impl_->members().members.begin(),
                    impl_->members().members.end(), [&](const Member& member) {
                      return !retiring.contains(KeeperAddress(member.node));
                    }));
  if (!already_requested && remaining < impl_->init().min_members) {
    return callback(Refusal{Reason::kNotAllowed, RunState::kNotRun,
                            "too few keepers would remain"});
  }
  impl_->state().Propose(state_codec::EncodeRetire(node),
                         impl_->init().request_timeout_ms,
                         [callback](const Outcome<fb::StateResultT>& outcome) {
                           if (outcome) {
                             callback(Done{});
                           } else {
                             callback(outcome.refusal());
                           }
                         });
}

// The platform removes the VM once the retire request reads as completed. A
// keeper that has not applied the request itself may not know yet that the VM
// is a member, so it must not report completion.
Outcome<RetireState> Registrar::RetireStateOf(
    const std::string& retired_keeper) const {
  const std::string address = KeeperAddress(retired_keeper);
  if (impl_->IsMember(address)) {
    return RetireState::kRunning;
  }
  if (impl_->members().members.empty() || !retired().contains(address)) {
    return MembersUnknown();
  }
  return RetireState::kCompleted;
}

void Registrar::ReadRetire(const std::string& vm,
                           const RetireCallback& callback) {
  impl_->state().Query(
      state_codec::EncodeQuery(false), impl_->init().request_timeout_ms,
      [this, vm, callback](const Outcome<fb::StateResultT>& outcome) {
        if (!outcome) {
          return callback(outcome.refusal());
        }
        for (const std::string& retired_keeper : outcome->retired) {
          if (retired_keeper.starts_with(vm + "@")) {
            return callback(RetireStateOf(retired_keeper));
          }
        }
        callback(RetireState::kUnknown);
      });
}

void Registrar::AddKeepers(const std::vector<Endpoint>& keepers) {
  impl_->AddKeepers(keepers);
}

void Registrar::OnMembers(const LogConfig& config) {
  impl_->loop().Post([this, config] { impl_->OnMembers(config); });
}

void Registrar::OnCaughtUp() {
  impl_->loop().Post([this] { impl_->OnCaughtUp(); });
}

std::set<std::string> Registrar::retired() const {
  std::lock_guard lock(impl_->mutex);
  std::set<std::string> addresses;
  for (const std::string& retired_keeper : impl_->retired) {
    addresses.insert(KeeperAddress(retired_keeper));
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
      [this, session, peer] { impl_->OnSession(session, peer); });
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

void Registrar::OnSuspects(uint64_t version,
                           const std::vector<SuspectedRequest>& requests) {
  impl_->loop().Post(
      [this, version, requests] { impl_->OnSuspects(version, requests); });
}

void Registrar::OnRetire(const std::set<std::string>& retired_keepers) {
  std::lock_guard lock(impl_->mutex);
  impl_->retired = retired_keepers;
}

}  // namespace ring
