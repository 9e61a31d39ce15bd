#include <algorithm>

#include "keeper.generated.h"
#include "keeper_client_p.h"

namespace ring {
namespace {

// Interval at which the timeouts of calls are checked while any is in progress.
constexpr int64_t kSweepMs = 20;

}  // namespace

class StateClient::Impl {
 public:
  Impl(const Init& init, HubI& hub, EventLoop& loop)
      : init_(init), hub_(hub), loop_(loop), sweep_(loop) {}

  struct Call {
    fb::KeeperOp op = fb::KeeperOp::Propose;
    std::string payload;
    int64_t start_ms = 0;
    int64_t deadline_ms = 0;
    SessionHandle fixed;  ///< If valid, only this keeper is asked.
    Callback callback;
    // The latest attempt.
    uint64_t correlation = 0;
    SessionHandle session;
    int64_t attempt_until_ms = 0;
    int64_t retry_at_ms = 0;  ///< 0: an attempt is in progress.
    size_t refusals = 0;
    bool may_take_effect = false;
    std::string problem = "no keeper is connected";
  };
  using CallPtr = std::shared_ptr<Call>;

  void Start(const CallPtr& call) {
    call->start_ms = loop_.now_ms();
    calls_.push_back(call);
    Attempt(call);
    if (!sweep_.active()) {
      Sweep();
    }
  }

  void OnOpened(SessionHandle session, const std::string& node) {
    keepers_[session] = node;
    Hear();
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
        call->problem = "the session to the keeper was closed";
        Again(call, 0);
      }
    }
  }

  void OnReply(SessionHandle session,
               const std::string& node,
               uint64_t correlation,
               const std::string& payload) {
    Hear();
    const auto found = by_correlation_.find(correlation);
    const auto answer = DecodeKeeperAnswer(payload);
    if (found == by_correlation_.end() || !answer) {
      return;
    }
    const CallPtr call = found->second;
    by_correlation_.erase(found);
    if (answer->ok) {
      if (!isValid(call->fixed)) {
        leader_ = session;
      }
      return End(call, state_codec::DecodeResult(answer->payload));
    }
    if (correlation != call->correlation) {
      return;
    }
    call->problem = answer->refusal.message;
    call->may_take_effect =
        call->may_take_effect || answer->refusal.run_state != RunState::kNotRun;
    const Reason reason = answer->refusal.reason;
    if (isValid(call->fixed) ||
        (reason != Reason::kNotLeader && reason != Reason::kNoQuorum)) {
      return End(call, answer->refusal);
    }
    if (leader_ == session) {
      leader_ = {};
    }
    ++call->refusals;
    const SessionHandle hinted = FindNode(answer->leader);
    if (isValid(hinted) && hinted != session && answer->leader != node) {
      leader_ = hinted;
      return Again(call, 0);
    }
    const size_t round = std::max<size_t>(keepers_.size(), 1);
    Again(call, call->refusals % round == 0 ? init_.round_pause_ms : 0);
  }

  size_t keepers() const { return keepers_.size(); }
  bool reachable() const { return !keepers_.empty() && !silent_; }

 private:
  void Hear() {
    heard_ms_ = loop_.now_ms();
    if (std::exchange(silent_, false)) {
      Event(LogLevel::kInfo, "keepers_heard_again");
    }
  }

  SessionHandle FindNode(const std::string& node) const {
    for (const auto& [session, name] : keepers_) {
      if (name == node) {
        return session;
      }
    }
    return {};
  }

  // Chooses the known leader, else the next keeper in turn.
  SessionHandle Choose(const Call& call) {
    if (isValid(call.fixed)) {
      return keepers_.contains(call.fixed) ? call.fixed : SessionHandle{};
    }
    if (isValid(leader_) && keepers_.contains(leader_)) {
      return leader_;
    }
    auto it = keepers_.upper_bound(last_asked_);
    if (it == keepers_.end()) {
      it = keepers_.begin();
    }
    return it == keepers_.end() ? SessionHandle{} : it->first;
  }

  void Attempt(const CallPtr& call) {
    const SessionHandle session = Choose(*call);
    call->retry_at_ms = 0;
    if (isValid(session)) {
      last_asked_ = session;
      call->session = session;
      call->correlation = next_correlation_++;
      call->attempt_until_ms = loop_.now_ms() + init_.attempt_timeout_ms;
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
      call->problem = sent.refusal().message;
    }
    call->retry_at_ms = loop_.now_ms() + init_.round_pause_ms;
  }

  void Again(const CallPtr& call, int64_t pause_ms) {
    if (pause_ms > 0) {
      call->retry_at_ms = loop_.now_ms() + pause_ms;
    } else {
      Attempt(call);
    }
  }

  void End(const CallPtr& call, const Outcome<fb::StateResultT>& outcome) {
    std::erase(calls_, call);
    std::erase_if(by_correlation_,
                  [&](const auto& item) { return item.second == call; });
    if (call->callback) {
      std::exchange(call->callback, nullptr)(outcome);
    }
  }

  void Sweep() {
    const int64_t now_ms = loop_.now_ms();
    for (const CallPtr& call : std::vector<CallPtr>(calls_)) {
      const bool silent =
          !isValid(call->fixed) &&
          now_ms - std::max(call->start_ms, heard_ms_) > init_.silence_ms;
      if (silent && !silent_) {
        silent_ = true;
        Event(LogLevel::kWarn, "keepers_silent")
            .Add("heard_ms_ago", now_ms - heard_ms_);
      }
      if (silent || now_ms >= call->deadline_ms) {
        const bool unknown = call->may_take_effect || call->retry_at_ms == 0;
        End(call, Refusal{Reason::kNoQuorum,
                          unknown ? RunState::kUnknown : RunState::kNotRun,
                          call->problem});
      } else if (call->retry_at_ms > 0) {
        if (now_ms >= call->retry_at_ms) {
          Attempt(call);
        }
      } else if (now_ms >= call->attempt_until_ms) {
        metrics::CountRetry(Reason::kUpstreamTimeout);
        call->may_take_effect = true;
        call->problem = "the keeper did not reply in time";
        if (leader_ == call->session) {
          leader_ = {};
        }
        Attempt(call);
      }
    }
    if (!calls_.empty()) {
      sweep_.Start(kSweepMs, [this] { Sweep(); });
    }
  }

  const Init init_;
  HubI& hub_;
  EventLoop& loop_;
  ScopedTimer sweep_;
  std::map<SessionHandle, std::string> keepers_;
  SessionHandle leader_;
  SessionHandle last_asked_;
  std::vector<CallPtr> calls_;
  std::unordered_map<uint64_t, CallPtr> by_correlation_;
  uint64_t next_correlation_ = 1;
  int64_t heard_ms_ = 0;  // When any keeper was last heard from.
  bool silent_ = false;   // No keeper has been heard from for silence_ms.
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
  call->callback = std::move(callback);
  impl_->Start(call);
}

void StateClient::QueryLocal(SessionHandle session,
                             const std::string& query,
                             int64_t timeout_ms,
                             Callback callback) {
  auto call = std::make_shared<Impl::Call>();
  call->op = fb::KeeperOp::QueryLocal;
  call->payload = query;
  call->fixed = session;
  call->deadline_ms = SystemClock().NowMs() + timeout_ms;
  call->callback = std::move(callback);
  impl_->Start(call);
}

void StateClient::Query(const std::string& query,
                        int64_t timeout_ms,
                        Callback callback) {
  auto call = std::make_shared<Impl::Call>();
  call->op = fb::KeeperOp::Query;
  call->payload = query;
  call->deadline_ms = SystemClock().NowMs() + timeout_ms;
  call->callback = std::move(callback);
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

size_t StateClient::keepers() const {
  return impl_->keepers();
}

bool StateClient::reachable() const {
  return impl_->reachable();
}

}  // namespace ring
