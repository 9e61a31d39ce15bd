#include <algorithm>
#include <thread>

#include "core_flatbuffer_p.h"
#include "keeper.generated.h"
#include "keeper_client_p.h"

namespace ring {
namespace {

/// Wait after all keepers refused; an election takes a second or two.
constexpr int64_t kRoundPauseMs = 50;
constexpr int64_t kRetryAfterMs = 1'000;

/// Which operations may be sent again when their answer is missing.
enum class Repeat : uint8_t {
  kRead,     ///< Always; nothing runs.
  kCommand,  ///< Always; state machines ignore repeated commands.
  kNever,    ///< Only after an answer that says "not run".
};

Repeat RepeatOf(uint8_t op) {
  switch (static_cast<fb::KeeperOp>(op)) {
    case fb::KeeperOp::Query:
    case fb::KeeperOp::QueryLocal:
    case fb::KeeperOp::GroupStatus:
    case fb::KeeperOp::ControlPoll:
    case fb::KeeperOp::NodeVersions:
    case fb::KeeperOp::Backup:
      return Repeat::kRead;
    case fb::KeeperOp::Propose:
      return Repeat::kCommand;
    default:
      return Repeat::kNever;
  }
}

bool AsksForAnotherKeeper(const Refusal& refusal) {
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

/// One request until its answer or the timeout.
class CallInProgress {
 public:
  CallInProgress(KeeperClient::Impl& client,
                 const std::string& group,
                 uint8_t op,
                 const std::string& payload)
      : client_(client),
        repeat_(RepeatOf(op)),
        deadline_ms_(client.clock_.NowMs() + client.init_.timeout_ms) {
    frame_.kind = FrameKind::KeeperRequest;
    frame_.group = group;
    frame_.payload = EncodeKeeperRequest(op, payload);
  }
  ~CallInProgress() { client_.pending_.Remove(call_); }
  CallInProgress(const CallInProgress&) = delete;
  CallInProgress& operator=(const CallInProgress&) = delete;

  KeeperResult RunAtLeader() {
    while (RemainingMs() > 0) {
      const SessionHandle session = ChooseSession();
      if (!isValid(session) || !Send(session)) {
        PauseAfterRound();
        continue;
      }
      if (auto result = WaitForAnswer(session)) {
        return std::move(*result);
      }
    }
    return GiveUp();
  }

  KeeperResult RunAt(const std::string& node) {
    const SessionHandle session = client_.hub_.FindByNode(node);
    if (!isValid(session) || !Send(session)) {
      last_problem_ = "no session to keeper " + node;
      return GiveUp();
    }
    AttemptEnd end = client_.pending_.Wait(call_, RemainingMs());
    if (!end.answer) {
      last_problem_ = "no answer from keeper " + node;
      return GiveUp();
    }
    return end.answer->ok ? KeeperResult(std::move(end.answer->payload))
                          : KeeperResult(end.answer->refusal);
  }

 private:
  int64_t RemainingMs() const { return deadline_ms_ - client_.clock_.NowMs(); }

  bool IsSilent(SessionHandle session) const {
    const auto it = silent_until_ms_.find(session);
    return it != silent_until_ms_.end() && client_.clock_.NowMs() < it->second;
  }

  /// Takes the known leader, else the next keeper in turn. Keepers that did
  /// not answer a moment ago are asked only if there is no other.
  SessionHandle ChooseSession() {
    const std::string leader = client_.LeaderOf(frame_.group);
    if (!leader.empty()) {
      const SessionHandle session = client_.hub_.FindByNode(leader);
      if (isValid(session) && !IsSilent(session)) {
        return session;
      }
    }
    SessionHandle fallback;
    const auto& keepers = client_.init_.keepers;
    for (size_t i = 0; i < keepers.size(); ++i) {
      const SessionHandle session =
          client_.hub_.FindByEndpoint(keepers[next_keeper_]);
      next_keeper_ = (next_keeper_ + 1) % keepers.size();
      if (isValid(session) && !IsSilent(session)) {
        return session;
      }
      fallback = isValid(session) ? session : fallback;
    }
    return fallback;
  }

  bool Send(SessionHandle session) {
    frame_.correlation = client_.pending_.AddAttempt(call_, session);
    const Status sent = client_.hub_.Send(session, frame_);
    if (!sent) {
      client_.pending_.DropAttempt(call_, frame_.correlation);
      last_problem_ = sent.refusal().message;
    }
    return sent.ok();
  }

  /// @returns the result, or nullopt to try again
  std::optional<KeeperResult> WaitForAnswer(SessionHandle session) {
    const int64_t wait_ms =
        repeat_ == Repeat::kNever
            ? RemainingMs()
            : std::min(RemainingMs(), client_.init_.attempt_timeout_ms);
    AttemptEnd end = client_.pending_.Wait(call_, wait_ms);
    if (end.answer) {
      return Judge(*end.answer);
    }
    metrics::CountRetry(end.closed ? Reason::kUpstreamReset
                                   : Reason::kUpstreamTimeout);
    last_problem_ = end.closed ? "the session to the keeper ended"
                               : "the keeper did not answer";
    client_.RememberLeader(frame_.group, "");
    silent_until_ms_[session] =
        client_.clock_.NowMs() + client_.init_.attempt_timeout_ms;
    if (repeat_ == Repeat::kNever) {
      return GiveUp();
    }
    return std::nullopt;
  }

  std::optional<KeeperResult> Judge(KeeperAnswer& answer) {
    if (answer.ok) {
      client_.RememberLeader(frame_.group, answer.node);
      return std::move(answer.payload);
    }
    Refusal refusal = std::move(answer.refusal);
    const bool repeatable =
        repeat_ != Repeat::kNever || refusal.run_state == RunState::kNotRun;
    if (!AsksForAnotherKeeper(refusal) || !repeatable) {
      if (repeat_ != Repeat::kRead && client_.pending_.MayTakeEffect(call_)) {
        refusal.run_state = RunState::kUnknown;
      }
      return refusal;
    }
    last_problem_ = refusal.message;
    client_.RememberLeader(frame_.group,
                           answer.leader == answer.node ? "" : answer.leader);
    PauseAfterRound();
    return std::nullopt;
  }

  void PauseAfterRound() {
    ++failures_;
    const size_t round = std::max<size_t>(client_.init_.keepers.size(), 1);
    if (failures_ % round == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(
          std::clamp<int64_t>(RemainingMs(), 0, kRoundPauseMs)));
    }
  }

  KeeperResult GiveUp() {
    AttemptEnd end = client_.pending_.Wait(call_, 0);
    if (end.answer && end.answer->ok) {
      return std::move(end.answer->payload);
    }
    const bool may_take_effect =
        repeat_ != Repeat::kRead && client_.pending_.MayTakeEffect(call_);
    return Refusal{Reason::kNoQuorum,
                   may_take_effect ? RunState::kUnknown : RunState::kNotRun,
                   "group " + frame_.group + ": " + last_problem_,
                   kRetryAfterMs};
  }

  KeeperClient::Impl& client_;
  const Repeat repeat_;
  const int64_t deadline_ms_;
  Frame frame_;
  PendingCall call_;
  std::map<SessionHandle, int64_t> silent_until_ms_;
  size_t next_keeper_ = 0;
  size_t failures_ = 0;
  std::string last_problem_ = "no session to a keeper";
};

KeeperResult KeeperClient::Impl::Call(const std::string& group,
                                      uint8_t op,
                                      const std::string& payload) {
  return CallInProgress(*this, group, op, payload).RunAtLeader();
}

KeeperResult KeeperClient::Impl::CallNode(const std::string& node,
                                          const std::string& group,
                                          uint8_t op,
                                          const std::string& payload) {
  return CallInProgress(*this, group, op, payload).RunAt(node);
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
  std::optional<KeeperAnswer> answer = DecodeKeeperAnswer(frame.payload);
  if (answer) {
    answer->session = session;
    answer->node = peer.node;
  }
  if (!answer || !pending_.Deliver(frame.correlation, std::move(*answer))) {
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

void KeeperClient::OnControlPush(
    std::function<void(uint64_t version)> callback) {
  impl_->SetPushCallback(std::move(callback));
}

}  // namespace ring
