#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "gateway_affinity_p.h"
#include "gateway_chains_p.h"
#include "gateway_crash_watch_p.h"
#include "gateway_events_p.h"
#include "gateway_health_p.h"
#include "gateway_pool_p.h"
#include "gateway_suspects_p.h"
#include "persimmonring/gateway.h"

namespace ring {

class GatewayCall;

/// When a caller may come back after a refusal that asks for patience.
constexpr int64_t kRetryAfterMs = 300;

class Gateway::Impl final : public HttpServerHandlerI {
 public:
  Impl(const GatewayInit& init,
       const CallerProtocolI& protocol,
       EventLoop& loop);
  ~Impl() override;

  Status Start(HubI& hub);
  void AddKeepers(const std::vector<Endpoint>& keepers);
  void Drain(std::function<void()> done);

  // Events of the hub, on the loop thread.
  void OnSession(SessionHandle session, const std::string& node);
  void OnSessionEnd(SessionHandle session, const std::string& node);
  void OnKeeperFrame(SessionHandle session,
                     const std::string& node,
                     const Frame& frame);

  // HttpServerHandlerI
  void OnRequest(HttpServerConnection& connection,
                 HttpRequest request) override;
  void OnPeerDisconnected(HttpServerConnection& connection) override;
  void OnDrained(HttpServerConnection& connection) override;

  // For calls.
  struct Placed {
    UpstreamInstance upstream;
    int32_t in_flight = 0;  ///< Requests there, as far as known.
    size_t candidates = 0;
  };
  /// @param service where the call is to run
  /// @param tried instances that have answered this call before
  std::optional<Placed> Place(const std::string& service,
                              const GatewayCall& call) const;
  /// Adds the upstreams that could run a turn.
  void Offer(const std::string& service,
             const GatewayCall& call,
             fb::BeginTurnT& begin) const;
  void NoteSent(const std::string& instance) { ++in_flight_[instance]; }
  void NoteEnded(const std::string& instance);
  void NoteFailure(const UpstreamInstance& upstream, Reason reason);
  /// The connection to an upstream broke while it had a request.
  void NoteLost(const UpstreamInstance& upstream,
                const CrashWatch::Request& request);
  /// An upstream has not answered a request for long, or it is given up.
  void NoteUnanswered(const UpstreamInstance& upstream,
                      const CrashWatch::Request& request);
  void NoteHeard(const std::string& instance) {
    crash_watch_.OnHeard(instance);
  }
  /// A request was answered with success.
  void NoteAnswered(uint64_t digest);
  /// @returns crashes that the request may have caused
  int32_t CrashesOf(uint64_t digest) const;
  /// An upstream said that it leaves.
  /// @param source what it answered: a request or a health check
  /// @param request id of the request that it answered
  void NoteLeaving(const UpstreamInstance& upstream,
                   const char* source,
                   const std::string& request);
  void NoteError(const std::string& instance) { health_.OnError(instance); }
  void NoteSuccess(const std::string& instance) { health_.OnSuccess(instance); }
  /// @returns false if no keeper has answered for a while
  bool reaches_keepers() const { return state_->reachable(); }
  void Remove(GatewayCall* call);
  /// Resumes the call when the configuration or the upstreams change.
  void WaitForNews(GatewayCall* call) { waiting_.insert(call); }
  void StopWaiting(GatewayCall* call) { waiting_.erase(call); }
  /// @returns true while what is known may still be incomplete
  bool starting() const;
  /// @returns false if this process may end before a request that waits so
  ///          long has its answer
  bool LastsFor(int64_t wait_ms) const;

  const GatewayInit& init() const { return init_; }
  const CallerProtocolI& protocol() const { return protocol_; }
  EventLoop& loop() { return loop_; }
  StateClient& state() { return *state_; }
  ConnectionPool& pool() { return pool_; }
  ChainCache& chains() { return chains_; }
  AffinityCache& affinity() { return affinity_; }
  std::shared_ptr<const RouteTable> table() const { return table_; }
  std::string RegionOf(const std::string& domain) const;

 private:
  class ReadyHandler;

  PlacementInput InputFor(const std::vector<const UpstreamInstance*>& ready,
                          const std::string& service,
                          const GatewayCall& call) const;
  void OnUpstreamUpdate(const std::string& node, const std::string& payload);
  void OnConfigNotice(SessionHandle session, const std::string& payload);
  void OnKeeperList(const std::string& payload);
  void OnSuspectList(const std::string& payload);
  void OnCrash(ObservedCrash crash);
  void ReportCrashes();
  void OnCrashesReported(const ObservedCrash& last,
                         const Outcome<fb::StateResultT>& outcome);
  void LoseReport(const ObservedCrash& crash, const std::string& detail);
  std::string HealthPathOf(const std::string& service) const;
  void ClearSuspect(uint64_t digest);
  void FetchConfiguration();
  void ResumeWaiting();
  void Install(const std::string& document);
  bool ready() const;
  void CheckDrained();
  void SetGauges() const;

  const GatewayInit init_;
  const CallerProtocolI& protocol_;
  EventLoop& loop_;
  HubI* hub_ = nullptr;
  std::unique_ptr<StateClient> state_;
  ConnectionPool pool_;
  ChainCache chains_;
  AffinityCache affinity_;
  std::shared_ptr<const RouteTable> table_;
  std::map<SessionHandle, uint64_t> announced_;  ///< Versions by keeper.
  bool fetching_ = false;
  UpstreamTable upstreams_;
  std::minstd_rand random_{std::random_device{}()};
  std::unordered_map<std::string, int32_t> in_flight_;  ///< By instance.
  UpstreamHealth health_;
  CrashWatch crash_watch_;
  SuspectTable suspects_;
  std::deque<ObservedCrash> unconfirmed_;  ///< No keeper knows them yet.
  bool reporting_crashes_ = false;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<ReadyHandler> ready_handler_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unordered_map<GatewayCall*, std::unique_ptr<GatewayCall>> calls_;
  std::unordered_map<HttpServerConnection*, GatewayCall*> by_connection_;
  std::set<GatewayCall*> waiting_;
  int64_t news_until_ms_ = 0;  ///< News of a start is expected until then.
  bool draining_ = false;
  int64_t drain_started_ms_ = 0;
  std::function<void()> drained_;
};

/// One request of a caller, from its arrival to its answer.
class GatewayCall final : public HttpExchangeListenerI {
 public:
  GatewayCall(Gateway::Impl& gateway,
              HttpServerConnection& caller,
              HttpRequest request);
  ~GatewayCall() override;

  void Begin();
  /// What the call waited for may be there.
  void Resume();
  /// The caller has left.
  void OnCallerGone();
  /// The caller has taken what was written.
  void OnCallerDrained();

  const CallerRequest& info() const { return info_; }
  const std::set<std::string>& tried() const { return tried_; }
  const CachedPrompt& cached() const { return cached_; }
  uint64_t random() const { return random_; }
  /// UpstreamKey of the place that the load board chose; 0: none.
  uint32_t placed() const { return placed_; }
  int32_t placed_load() const { return placed_load_; }

  // HttpExchangeListenerI
  bool OnResponseHead(HttpHead head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

 private:
  /// What the state group records of a request.
  struct Turn {
    ChainCache::Text chain;  ///< All before this turn.
    std::string body;        ///< Chain and new input, if turns are kept.
    int32_t tokens_per_event = 1;
    bool begun = false;  ///< The state group holds a reservation.
    bool finished = false;
  };
  bool is_stream() const { return route_->kind == RepeatKind::kStream; }
  bool may_repeat() const {
    return route_->kind == RepeatKind::kIdempotent || route_->resumable;
  }
  int64_t left_ms() const;
  /// Program whose budget the request spends.
  const std::string& ledger() const;
  bool can_send_again() const;

  bool WaitForStart();
  void BeginTurn();
  void OnTurnBegun(const Outcome<fb::StateResultT>& outcome);
  /// Records what the turn spent.
  /// @param keep the turn was answered whole and may be continued
  void FinishTurn(bool keep, std::function<void(bool kept)> then);
  void ChooseService();
  /// Refuses a request that has crashed too many upstreams.
  /// @returns true if it did
  bool RefuseQuarantined();
  CrashWatch::Request LostRequest() const {
    return {digest_, start_ms_ + sent_ms_};
  }
  void Send();
  void SendTo(const Gateway::Impl::Placed& placed);
  void OnConnectTimeout();
  /// The attempt is given up, or has waited long.
  void NoteUnanswered();
  /// An idempotent request has waited long enough for this upstream.
  void OnPatienceOver();
  void RestartEvents();
  void SendAgain();
  void RetryOrRefuse(const Refusal& refusal);
  void NoteEvents(int64_t events_before);
  /// @returns mean time between the events of the upstream; 0: not known
  int64_t EventUs() const;
  bool IsOwnAnswer(const UpstreamAnswer& answer) const;
  void StartForwarding();
  void Forward(std::string_view bytes);
  void ForwardEvents(std::string_view bytes);
  void CompleteForwarding();
  void ReleaseConnection(bool reuse);
  void OnDeadline();
  /// Gives the final answer of this system's own and ends the call.
  void Refuse(const Refusal& refusal);
  void RespondWhole();
  /// Ends a response that has begun so that it cannot look complete.
  void BreakOff(const Refusal& refusal);
  void LogEnd(const char* outcome, const Refusal& refusal, int status) const;
  void End();

  Gateway::Impl& gateway_;
  HttpServerConnection* caller_;
  HttpRequest request_;
  CallerRequest info_;
  std::shared_ptr<const RouteTable> table_;
  const Route* route_ = nullptr;
  std::string service_;
  const uint64_t digest_;
  const uint64_t random_;
  const int64_t start_ms_;
  int64_t deadline_ms_ = 0;
  ScopedTimer deadline_timer_;
  ScopedTimer connect_timer_;
  ScopedTimer wait_timer_;
  ScopedTimer patience_timer_;
  ScopedTimer slow_timer_;

  std::unique_ptr<Turn> turn_;  ///< If the state group records the request.
  CachedPrompt cached_;
  uint32_t placed_ = 0;
  int32_t placed_load_ = 0;

  // The attempt under way.
  UpstreamInstance upstream_;
  int32_t load_ = 0;       ///< Requests at the upstream when it was chosen.
  size_t candidates_ = 0;  ///< Upstreams it was chosen from.
  ConnectionPool::Connection connection_;
  bool sent_ = false;       ///< The upstream may have the request.
  bool maybe_run_ = false;  ///< Some upstream may have run it.
  int32_t runs_ = 0;        ///< Upstreams that may have run it.
  int32_t sends_ = 0;
  std::set<std::string> tried_;

  // Times since the arrival, for the log.
  int64_t begun_ms_ = 0;  ///< Until the state group had answered.
  int64_t sent_ms_ = 0;   ///< Until the latest send.
  int64_t head_ms_ = 0;   ///< Until the head of the response.

  // The answer of the attempt under way.
  UpstreamAnswer answer_;
  int status_ = 0;
  bool streaming_ = false;  ///< It is an event stream.
  int32_t foreign_answers_ = 0;

  // The response.
  HttpHead head_;
  std::string buffered_;
  std::optional<EventStreamReader> events_;  ///< Of streams.
  std::string open_event_;  ///< Start of an event that may be resumed.
  int64_t first_event_ms_ = 0;
  int64_t last_event_ms_ = 0;
  bool held_back_ = false;  ///< The caller took the response slowly.
  bool forwarding_ = false;
  bool response_done_ = false;
  bool ended_ = false;
  bool waited_ = false;  ///< For the start of the entry.
  /// Expires with the call, for answers that come later.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ring
