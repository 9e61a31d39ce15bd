#include <algorithm>
#include <set>

#include "core_flatbuffer_p.h"
#include "keeper.generated.h"
#include "keeper_client_p.h"

namespace ring {
namespace {

// Interval at which the timeouts of calls are checked while any is in progress.
constexpr int64_t kTimeoutCheckIntervalMs = 20;

std::function<void(const Outcome<std::string>&)> DecodeTo(
    StateClient::Callback callback) {
  if (!callback) {
    return nullptr;
  }
  return [callback = std::move(callback)](const Outcome<std::string>& result) {
    callback(result ? state_codec::DecodeResult(*result)
                    : Outcome<fb::StateResultT>(result.refusal()));
  };
}

Outcome<fb::LeaseReplyT> DecodeLeaseReply(std::string_view bytes) {
  const FlatBufferView<fb::LeaseReply> view(bytes);
  if (!view) {
    return Refusal{Reason::kCorruptData, RunState::kUnknown,
                   "cannot decode the lease reply"};
  }
  fb::LeaseReplyT reply;
  view->UnPackTo(&reply);
  return reply;
}

}  // namespace

class StateClient::Impl {
 public:
  Impl(const Init& init, HubI& hub, EventLoop& loop)
      : init_(init), hub_(hub), loop_(loop), timeout_timer_(loop) {}

  /// Receives the result of the state machine, encoded.
  using ResultCallback = std::function<void(const Outcome<std::string>&)>;

  struct Call {
    fb::KeeperOp op = fb::KeeperOp::Propose;
    std::string payload;
    int64_t start_ms = 0;
    int64_t deadline_ms = 0;
    SessionHandle required_session;  ///< If valid, only this keeper is asked.
    int64_t attempt_timeout_ms = INT64_MAX;  ///< If below that of the client.
    ResultCallback callback;
    /// Keepers of an older build, which do not know the operation.
    std::set<SessionHandle> unsupported;
    // The latest attempt.
    uint64_t correlation = 0;
    SessionHandle session;
    int64_t attempt_deadline_ms = 0;
    int64_t retry_at_ms = 0;  ///< 0: an attempt is in progress.
    size_t refusals = 0;
    bool may_take_effect = false;
    std::string last_error = "no keeper is connected";
  };
  using CallPtr = std::shared_ptr<Call>;

  void Start(const CallPtr& call) {
    call->start_ms = loop_.now_ms();
    calls_.push_back(call);
    Attempt(call);
    if (!timeout_timer_.active()) {
      CheckTimeouts();
    }
  }

  void OnOpened(SessionHandle session, const std::string& node) {
    keepers_[session] = node;
    OnKeeperHeard();
    for (const CallPtr& call : std::vector<CallPtr>(calls_)) {
      if (call->retry_at_ms > 0) {
        Attempt(call);
      }
    }
  }

  void OnClosed(SessionHandle session) {
    keepers_.erase(session);
    for (const CallPtr& call : std::vector<CallPtr>(calls_)) {
      if (call->retry_at_ms == 0 && call->session == session) {
        call->may_take_effect = true;
        call->last_error = "the session to the keeper was closed";
        RetryAfter(call, 0);
      }
    }
  }

  void OnReply(SessionHandle session,
               const std::string& node,
               uint64_t correlation,
               const std::string& payload) {
    OnKeeperHeard();
    const auto found = by_correlation_.find(correlation);
    const auto reply = DecodeKeeperReply(payload);
    if (found == by_correlation_.end() || !reply) {
      return;
    }
    const CallPtr call = found->second;
    by_correlation_.erase(found);
    if (reply->ok) {
      if (!IsValid(call->required_session)) {
        leader_ = session;
      }
      return Complete(call, std::string(reply->payload));
    }
    if (correlation != call->correlation) {
      return;
    }
    call->last_error = reply->refusal.message;
    call->may_take_effect =
        call->may_take_effect || reply->refusal.run_state != RunState::kNotRun;
    const Reason reason = reply->refusal.reason;
    const bool lease = call->op == fb::KeeperOp::Lease;
    const bool unsupported = lease && reason == Reason::kBadRequest;
    if (IsValid(call->required_session) ||
        (reason != Reason::kNotLeader && reason != Reason::kNoQuorum &&
         !unsupported)) {
      return Complete(call, reply->refusal);
    }
    if (unsupported) {
      // It may still lead: other operations go on to it.
      call->unsupported.insert(session);
    } else if (leader_ == session) {
      leader_ = {};
    }
    ++call->refusals;
    const size_t round = std::max<size_t>(keepers_.size(), 1);
    const bool round_complete = call->refusals % round == 0;
    const SessionHandle named_leader = FindSession(reply->leader);
    if (IsValid(named_leader) && named_leader != session &&
        reply->leader != node) {
      leader_ = named_leader;
      // While a keeper of an older build leads, the others name it.
      if (!lease ||
          (!round_complete && !call->unsupported.contains(named_leader))) {
        return RetryAfter(call, 0);
      }
    }
    // During an upgrade lease requests may be refused for minutes, so their
    // pauses grow.
    const auto rounds = static_cast<int64_t>(call->refusals / round);
    const int64_t pause_ms = init_.round_pause_ms * (lease ? rounds : 1);
    RetryAfter(call, round_complete ? pause_ms : 0);
  }

  void OnLeader(SessionHandle session) {
    OnKeeperHeard();
    if (!keepers_.contains(session)) {
      return;
    }
    leader_ = session;
    for (const CallPtr& call : std::vector<CallPtr>(calls_)) {
      const bool waiting = call->retry_at_ms > 0;
      if (!IsValid(call->required_session) &&
          (waiting || call->session != session)) {
        call->may_take_effect = call->may_take_effect || !waiting;
        Attempt(call);
      }
    }
  }

  size_t keepers() const { return keepers_.size(); }
  bool reachable() const { return !keepers_.empty() && !unreachable_; }

 private:
  void OnKeeperHeard() {
    last_heard_ms_ = loop_.now_ms();
    if (std::exchange(unreachable_, false)) {
      Event(LogLevel::kInfo, "keepers_heard_again");
    }
  }

  SessionHandle FindSession(const std::string& node) const {
    for (const auto& [session, name] : keepers_) {
      if (name == node) {
        return session;
      }
    }
    return {};
  }

  // Chooses the known leader, else the next keeper in turn.
  SessionHandle ChooseSession(const Call& call) {
    if (IsValid(call.required_session)) {
      return keepers_.contains(call.required_session) ? call.required_session
                                                      : SessionHandle{};
    }
    if (IsValid(leader_) && keepers_.contains(leader_) &&
        !call.unsupported.contains(leader_)) {
      return leader_;
    }
    auto it = keepers_.upper_bound(last_asked_);
    for (size_t i = 0; i < keepers_.size(); ++i, ++it) {
      if (it == keepers_.end()) {
        it = keepers_.begin();
      }
      if (!call.unsupported.contains(it->first)) {
        return it->first;
      }
    }
    return keepers_.empty() ? SessionHandle{} : keepers_.begin()->first;
  }

  void Attempt(const CallPtr& call) {
    const SessionHandle session = ChooseSession(*call);
    call->retry_at_ms = 0;
    if (IsValid(session)) {
      last_asked_ = session;
      call->session = session;
      call->correlation = next_correlation_++;
      call->attempt_deadline_ms =
          loop_.now_ms() +
          std::min(init_.attempt_timeout_ms, call->attempt_timeout_ms);
      by_correlation_[call->correlation] = call;
      const Status sent = hub_.Send(
          session, {.kind = FrameKind::KeeperRequest,
                    .group = kStateGroup,
                    .correlation = call->correlation,
                    .payload = EncodeKeeperRequest(
                        static_cast<uint8_t>(call->op), call->payload)});
      if (sent) {
        return;
      }
      by_correlation_.erase(call->correlation);
      call->last_error = sent.refusal().message;
    }
    call->retry_at_ms = loop_.now_ms() + init_.round_pause_ms;
  }

  void RetryAfter(const CallPtr& call, int64_t pause_ms) {
    if (pause_ms > 0) {
      call->retry_at_ms = loop_.now_ms() + pause_ms;
    } else {
      Attempt(call);
    }
  }

  void Complete(const CallPtr& call, const Outcome<std::string>& outcome) {
    std::erase(calls_, call);
    std::erase_if(by_correlation_,
                  [&](const auto& item) { return item.second == call; });
    if (call->callback) {
      std::exchange(call->callback, nullptr)(outcome);
    }
  }

  void CheckTimeouts() {
    const int64_t now_ms = loop_.now_ms();
    for (const CallPtr& call : std::vector<CallPtr>(calls_)) {
      const bool unreachable =
          !IsValid(call->required_session) &&
          now_ms - std::max(call->start_ms, last_heard_ms_) >
              init_.unreachable_after_ms;
      if (unreachable && !unreachable_) {
        unreachable_ = true;
        Event(LogLevel::kWarn, "keepers_silent")
            .Add("heard_ms_ago", now_ms - last_heard_ms_);
      }
      if (unreachable || now_ms >= call->deadline_ms) {
        const bool may_take_effect =
            call->may_take_effect || call->retry_at_ms == 0;
        if (call->op == fb::KeeperOp::Lease && call->retry_at_ms == 0 &&
            leader_ == call->session) {
          // The next lease request would otherwise wait for it as well.
          leader_ = {};
        }
        Complete(call, Refusal{Reason::kNoQuorum,
                               may_take_effect ? RunState::kUnknown
                                               : RunState::kNotRun,
                               call->last_error});
      } else if (call->retry_at_ms > 0) {
        if (now_ms >= call->retry_at_ms) {
          Attempt(call);
        }
      } else if (now_ms >= call->attempt_deadline_ms) {
        metrics::CountRetry(Reason::kUpstreamTimeout);
        call->may_take_effect = true;
        call->last_error = "the keeper did not reply in time";
        if (leader_ == call->session) {
          leader_ = {};
        }
        Attempt(call);
      }
    }
    if (!calls_.empty()) {
      timeout_timer_.Start(kTimeoutCheckIntervalMs,
                           [this] { CheckTimeouts(); });
    }
  }

  const Init init_;
  HubI& hub_;
  EventLoop& loop_;
  ScopedTimer timeout_timer_;
  std::map<SessionHandle, std::string> keepers_;
  SessionHandle leader_;
  SessionHandle last_asked_;
  std::vector<CallPtr> calls_;
  std::unordered_map<uint64_t, CallPtr> by_correlation_;
  uint64_t next_correlation_ = 1;
  int64_t last_heard_ms_ = 0;  // When any keeper was last heard from.
  bool unreachable_ =
      false;  // No keeper has been heard from for unreachable_after_ms.
};

StateClient::StateClient(const Init& init, HubI& hub, EventLoop& loop)
    : impl_(std::make_unique<Impl>(init, hub, loop)) {}
StateClient::~StateClient() = default;

void StateClient::Propose(const std::string& command,
                          int64_t timeout_ms,
                          Callback callback) {
  auto call = std::make_shared<Impl::Call>();
  call->payload = command;
  call->deadline_ms = SystemClock().NowMs() + timeout_ms;
  call->callback = DecodeTo(std::move(callback));
  impl_->Start(call);
}

void StateClient::QueryLocal(SessionHandle session,
                             const std::string& query,
                             int64_t timeout_ms,
                             Callback callback) {
  auto call = std::make_shared<Impl::Call>();
  call->op = fb::KeeperOp::QueryLocal;
  call->payload = query;
  call->required_session = session;
  call->deadline_ms = SystemClock().NowMs() + timeout_ms;
  call->callback = DecodeTo(std::move(callback));
  impl_->Start(call);
}

void StateClient::Query(const std::string& query,
                        int64_t timeout_ms,
                        Callback callback) {
  auto call = std::make_shared<Impl::Call>();
  call->op = fb::KeeperOp::Query;
  call->payload = query;
  call->deadline_ms = SystemClock().NowMs() + timeout_ms;
  call->callback = DecodeTo(std::move(callback));
  impl_->Start(call);
}

void StateClient::Lease(const std::string& request,
                        int64_t timeout_ms,
                        LeaseCallback callback) {
  auto call = std::make_shared<Impl::Call>();
  call->op = fb::KeeperOp::Lease;
  call->payload = request;
  call->deadline_ms = SystemClock().NowMs() + timeout_ms;
  // Leaves time for another keeper.
  call->attempt_timeout_ms = timeout_ms / 2;
  call->callback =
      [callback = std::move(callback)](const Outcome<std::string>& result) {
        callback(result ? DecodeLeaseReply(*result)
                        : Outcome<fb::LeaseReplyT>(result.refusal()));
      };
  impl_->Start(call);
}

void StateClient::OnOpened(SessionHandle session, const std::string& node) {
  impl_->OnOpened(session, node);
}

void StateClient::OnClosed(SessionHandle session) {
  impl_->OnClosed(session);
}

void StateClient::OnReply(SessionHandle session,
                          const std::string& node,
                          uint64_t correlation,
                          const std::string& payload) {
  impl_->OnReply(session, node, correlation, payload);
}

void StateClient::OnLeader(SessionHandle session) {
  impl_->OnLeader(session);
}

size_t StateClient::keepers() const {
  return impl_->keepers();
}

bool StateClient::reachable() const {
  return impl_->reachable();
}

}  // namespace ring
