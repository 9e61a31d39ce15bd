#include <algorithm>
#include <thread>

#include "core_flatbuffer_p.h"
#include "keeper.generated.h"
#include "keeper_client_p.h"

namespace ring {
namespace {

/// Pause after all keepers have failed or refused, ms. An election
/// takes one to two seconds.
constexpr int64_t kRoundPauseMs = 50;
constexpr int64_t kRetryAfterMs = 1'000;

/// When an operation may be sent again.
enum class RetryPolicy : uint8_t {
  kReadOnly,    ///< Always; it changes nothing.
  kIdempotent,  ///< Always; state machines ignore repeated commands.
  kNever,       ///< Only after a reply with run state not_run.
};

RetryPolicy RetryPolicyOf(uint8_t op) {
  switch (static_cast<fb::KeeperOp>(op)) {
    case fb::KeeperOp::Query:
    case fb::KeeperOp::QueryLocal:
    case fb::KeeperOp::GroupStatus:
    case fb::KeeperOp::ControlPoll:
    case fb::KeeperOp::NodeVersions:
    case fb::KeeperOp::Backup:
      return RetryPolicy::kReadOnly;
    case fb::KeeperOp::Propose:
      return RetryPolicy::kIdempotent;
    default:
      return RetryPolicy::kNever;
  }
}

bool ShouldAskAnotherKeeper(const Refusal& refusal) {
  return refusal.reason == Reason::kNotLeader ||
         refusal.reason == Reason::kNoQuorum;
}

}  // namespace

class KeeperClient::Impl {
 public:
  Impl(const KeeperClientInit& init, HubI& hub, const ClockI& clock)
      : init_(init), hub_(hub), clock_(clock) {
    for (const Endpoint& keeper : init_.keepers) {
      hub_.Connect(keeper);
    }
  }

  KeeperResult Call(const std::string& group,
                    uint8_t op,
                    const std::string& payload);
  KeeperResult CallNode(const std::string& node,
                        const std::string& group,
                        uint8_t op,
                        const std::string& payload);
  void OnFrame(SessionHandle session, const PeerInfo& peer, const Frame& frame);
  void OnClosed(SessionHandle session) { pending_.CloseSession(session); }
  void SetPushCallback(std::function<void(uint64_t)> callback) {
    std::lock_guard lock(mutex_);
    push_callback_ = std::move(callback);
  }

 private:
  friend class CallInProgress;

  void RememberLeader(const std::string& group, const std::string& node) {
    std::lock_guard lock(mutex_);
    leaders_[group] = node;
  }
  std::string LeaderOf(const std::string& group) {
    std::lock_guard lock(mutex_);
    const auto it = leaders_.find(group);
    return it == leaders_.end() ? std::string() : it->second;
  }
  void HandlePush(const Frame& frame);

  const KeeperClientInit init_;
  HubI& hub_;
  const ClockI& clock_;
  PendingCalls pending_;
  std::mutex mutex_;
  std::map<std::string, std::string> leaders_;  ///< Group to node.
  std::function<void(uint64_t)> push_callback_;
};

/// One call, with all its attempts.
class CallInProgress {
 public:
  CallInProgress(KeeperClient::Impl& client,
                 const std::string& group,
                 uint8_t op,
                 const std::string& payload)
      : client_(client),
        retry_policy_(RetryPolicyOf(op)),
        deadline_ms_(client.clock_.NowMs() + client.init_.timeout_ms) {
    frame_.kind = FrameKind::KeeperRequest;
    frame_.group = group;
    frame_.payload = EncodeKeeperRequest(op, payload);
  }
  ~CallInProgress() { client_.pending_.Remove(call_); }
  CallInProgress(const CallInProgress&) = delete;
  CallInProgress& operator=(const CallInProgress&) = delete;

  KeeperResult RunOnLeader() {
    while (RemainingMs() > 0) {
      const SessionHandle session = ChooseSession();
      if (!IsValid(session) || !Send(session)) {
        PauseAfterFullRound();
        continue;
      }
      if (auto result = WaitForReply(session)) {
        return std::move(*result);
      }
    }
    return GiveUp();
  }

  KeeperResult RunOnNode(const std::string& node) {
    const SessionHandle session = client_.hub_.FindByNode(node);
    if (!IsValid(session) || !Send(session)) {
      last_error_ = "no session to keeper " + node;
      return GiveUp();
    }
    AttemptResult result = client_.pending_.Wait(call_, RemainingMs());
    if (!result.reply) {
      last_error_ = "no reply from keeper " + node;
      return GiveUp();
    }
    return result.reply->ok ? KeeperResult(std::move(result.reply->payload))
                            : KeeperResult(result.reply->refusal);
  }

 private:
  int64_t RemainingMs() const { return deadline_ms_ - client_.clock_.NowMs(); }

  bool IsUnresponsive(SessionHandle session) const {
    const auto it = unresponsive_until_ms_.find(session);
    return it != unresponsive_until_ms_.end() &&
           client_.clock_.NowMs() < it->second;
  }

  /// Chooses the known leader, else the next keeper in turn. A keeper that has
  /// just failed to reply is chosen only if no other is connected.
  SessionHandle ChooseSession() {
    const std::string leader = client_.LeaderOf(frame_.group);
    if (!leader.empty()) {
      const SessionHandle session = client_.hub_.FindByNode(leader);
      if (IsValid(session) && !IsUnresponsive(session)) {
        return session;
      }
    }
    SessionHandle fallback;
    const auto& keepers = client_.init_.keepers;
    for (size_t i = 0; i < keepers.size(); ++i) {
      const SessionHandle session =
          client_.hub_.FindByEndpoint(keepers[next_keeper_]);
      next_keeper_ = (next_keeper_ + 1) % keepers.size();
      if (IsValid(session) && !IsUnresponsive(session)) {
        return session;
      }
      fallback = IsValid(session) ? session : fallback;
    }
    return fallback;
  }

  bool Send(SessionHandle session) {
    frame_.correlation = client_.pending_.AddAttempt(call_, session);
    const Status sent = client_.hub_.Send(session, frame_);
    if (!sent) {
      client_.pending_.RemoveAttempt(call_, frame_.correlation);
      last_error_ = sent.refusal().message;
    }
    return sent.ok();
  }

  /// @returns the result, or nullopt if the call is to be retried
  std::optional<KeeperResult> WaitForReply(SessionHandle session) {
    const int64_t wait_ms =
        retry_policy_ == RetryPolicy::kNever
            ? RemainingMs()
            : std::min(RemainingMs(), client_.init_.attempt_timeout_ms);
    AttemptResult result = client_.pending_.Wait(call_, wait_ms);
    if (result.reply) {
      return HandleReply(*result.reply);
    }
    metrics::CountRetry(result.session_closed ? Reason::kUpstreamReset
                                              : Reason::kUpstreamTimeout);
    last_error_ = result.session_closed ? "the session to the keeper was closed"
                                        : "the keeper did not reply in time";
    client_.RememberLeader(frame_.group, "");
    unresponsive_until_ms_[session] =
        client_.clock_.NowMs() + client_.init_.attempt_timeout_ms;
    if (retry_policy_ == RetryPolicy::kNever) {
      return GiveUp();
    }
    return std::nullopt;
  }

  std::optional<KeeperResult> HandleReply(DecodedReply& reply) {
    if (reply.ok) {
      client_.RememberLeader(frame_.group, reply.node);
      return std::move(reply.payload);
    }
    Refusal refusal = std::move(reply.refusal);
    const bool retryable = retry_policy_ != RetryPolicy::kNever ||
                           refusal.run_state == RunState::kNotRun;
    if (!ShouldAskAnotherKeeper(refusal) || !retryable) {
      if (retry_policy_ != RetryPolicy::kReadOnly &&
          client_.pending_.MayTakeEffect(call_)) {
        refusal.run_state = RunState::kUnknown;
      }
      return refusal;
    }
    last_error_ = refusal.message;
    client_.RememberLeader(frame_.group,
                           reply.leader == reply.node ? "" : reply.leader);
    PauseAfterFullRound();
    return std::nullopt;
  }

  void PauseAfterFullRound() {
    ++failures_;
    const size_t round = std::max<size_t>(client_.init_.keepers.size(), 1);
    if (failures_ % round == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(
          std::clamp<int64_t>(RemainingMs(), 0, kRoundPauseMs)));
    }
  }

  KeeperResult GiveUp() {
    AttemptResult result = client_.pending_.Wait(call_, 0);
    if (result.reply && result.reply->ok) {
      return std::move(result.reply->payload);
    }
    const bool may_take_effect = retry_policy_ != RetryPolicy::kReadOnly &&
                                 client_.pending_.MayTakeEffect(call_);
    return Refusal{Reason::kNoQuorum,
                   may_take_effect ? RunState::kUnknown : RunState::kNotRun,
                   "group " + frame_.group + ": " + last_error_, kRetryAfterMs};
  }

  KeeperClient::Impl& client_;
  const RetryPolicy retry_policy_;
  const int64_t deadline_ms_;
  Frame frame_;
  PendingCall call_;
  std::map<SessionHandle, int64_t> unresponsive_until_ms_;
  size_t next_keeper_ = 0;
  size_t failures_ = 0;
  std::string last_error_ = "no session to a keeper";
};

KeeperResult KeeperClient::Impl::Call(const std::string& group,
                                      uint8_t op,
                                      const std::string& payload) {
  return CallInProgress(*this, group, op, payload).RunOnLeader();
}

KeeperResult KeeperClient::Impl::CallNode(const std::string& node,
                                          const std::string& group,
                                          uint8_t op,
                                          const std::string& payload) {
  return CallInProgress(*this, group, op, payload).RunOnNode(node);
}

void KeeperClient::Impl::OnFrame(SessionHandle session,
                                 const PeerInfo& peer,
                                 const Frame& frame) {
  if (frame.kind == FrameKind::ControlPush) {
    HandlePush(frame);
    return;
  }
  if (frame.kind != FrameKind::KeeperReply) {
    return;
  }
  std::optional<DecodedReply> reply = DecodeKeeperReply(frame.payload);
  if (reply) {
    reply->session = session;
    reply->node = peer.node;
  }
  if (!reply || !pending_.Deliver(frame.correlation, std::move(*reply))) {
    metrics::Count("ring_keeper_dropped_answers_total");
  }
}

void KeeperClient::Impl::HandlePush(const Frame& frame) {
  const FlatBufferView<fb::ControlPush> push(frame.payload);
  std::function<void(uint64_t)> callback;
  {
    std::lock_guard lock(mutex_);
    callback = push_callback_;
  }
  if (push && callback) {
    callback(push->version());
  }
}

KeeperClient::KeeperClient(const KeeperClientInit& init,
                           HubI& hub,
                           const ClockI& clock)
    : impl_(std::make_unique<Impl>(init, hub, clock)) {}

KeeperClient::~KeeperClient() = default;

KeeperResult KeeperClient::Propose(const std::string& group,
                                   const std::string& command) {
  return Call(group, static_cast<uint8_t>(fb::KeeperOp::Propose), command);
}

KeeperResult KeeperClient::Query(const std::string& group,
                                 const std::string& query) {
  return Call(group, static_cast<uint8_t>(fb::KeeperOp::Query), query);
}

KeeperResult KeeperClient::Call(const std::string& group,
                                uint8_t op,
                                const std::string& payload) {
  return impl_->Call(group, op, payload);
}

KeeperResult KeeperClient::CallNode(const std::string& node,
                                    const std::string& group,
                                    uint8_t op,
                                    const std::string& payload) {
  return impl_->CallNode(node, group, op, payload);
}

void KeeperClient::OnFrame(SessionHandle session,
                           const PeerInfo& peer,
                           const Frame& frame) {
  impl_->OnFrame(session, peer, frame);
}

void KeeperClient::OnClosed(SessionHandle session) {
  impl_->OnClosed(session);
}

void KeeperClient::SetControlPushCallback(
    std::function<void(uint64_t version)> callback) {
  impl_->SetPushCallback(std::move(callback));
}

}  // namespace ring
