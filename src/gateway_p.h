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
#include "gateway_crash_detector_p.h"
#include "gateway_domains_p.h"
#include "gateway_events_p.h"
#include "gateway_health_p.h"
#include "gateway_lease_p.h"
#include "gateway_limits_p.h"
#include "gateway_links_p.h"
#include "gateway_pool_p.h"
#include "gateway_programs_p.h"
#include "gateway_relay_server_p.h"
#include "gateway_relays_p.h"
#include "gateway_suspects_p.h"
#include "gateway_teams_p.h"
#include "persimmonring/gateway.h"

namespace ring {

class GatewayCall;

/// Retry-After of a refusal that may succeed later.
constexpr int64_t kRetryAfterMs = 300;
/// Longest Retry-After of a refusal because of limits, without its spread.
constexpr int64_t kMaxRetryAfterMs = 5'000;

class Gateway::Impl final : public HttpServerHandlerI, public LeasePartI {
 public:
  Impl(const GatewayInit& init,
       const CallerProtocolI& protocol,
       EventLoop& loop);
  ~Impl() override;

  Status Start(HubI& hub);
  void AddKeepers(const std::vector<Endpoint>& keepers);
  void Drain(std::function<void()> done);

  // Events of the hub, forwarded to the loop thread.
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

  // LeasePartI: requests at a starting entry wait for the first reply.
  void AddTo(fb::LeaseRequestT& /*request*/) override {}
  void OnReply(const fb::LeaseReplyT& reply, int64_t asked_ms) override;
  bool active() const override { return false; }

  // Interface for GatewayCall.
  struct ChosenUpstream {
    UpstreamInstance upstream;
    int32_t in_flight = 0;  ///< Requests in flight there, as far as known.
    size_t candidates = 0;
    bool limited = false;  ///< Has named a limit for its requests.
    /// Chosen by the LoadBalancer or by the share of the limit.
    bool granted = false;
  };
  /// Choice of an upstream by the equal shares of the limits.
  struct ShareResult {
    std::optional<ChosenUpstream> chosen;
    /// Time until a share lets a request pass; nullopt: no upstream is ready.
    std::optional<int64_t> wait_ms;
  };
  /// Chooses the upstream for the next attempt of a call.
  /// @returns nullopt if no upstream of the service is ready
  std::optional<ChosenUpstream> Place(const std::string& service,
                                      const GatewayCall& call) const;
  /// Adds the upstreams that could run a turn as offers to the LoadBalancer.
  void Offer(const std::string& service,
             const GatewayCall& call,
             fb::BeginTurnT& begin) const;
  /// Chooses among the upstreams whose limit, shared equally by all entries,
  /// lets a request pass, and counts the request.
  ShareResult PlaceByShare(const std::string& service, const GatewayCall& call);
  /// Takes over the limit that the leader knows of the chosen upstream.
  /// @param asked_ms when it was asked
  void RecordPlacement(const fb::StateResultT& result,
                       const std::string& service,
                       int64_t asked_ms);
  /// @returns an id for a request to the LoadBalancer that is no turn
  std::string NextPlacementId() {
    return init_.node + "/" + std::to_string(start_) + "/" +
           std::to_string(++placements_);
  }
  void RecordSent(const std::string& instance);
  void RecordEnded(const std::string& instance);
  void RecordFailure(const UpstreamInstance& upstream, Reason reason);
  /// Called when the connection to an upstream failed after it had received a
  /// request.
  void RecordLostConnection(const UpstreamInstance& upstream,
                            const CrashDetector::Request& request);
  /// Called when an upstream has not answered a request for a long time, or
  /// when the attempt is abandoned.
  void RecordUnanswered(const UpstreamInstance& upstream,
                        const CrashDetector::Request& request);
  void RecordActivity(const std::string& instance) {
    crash_detector_.OnActivity(instance);
  }
  /// Called when a request was answered successfully.
  void RecordAnswered(uint64_t digest);
  /// @returns number of crashes that the request may have caused
  int32_t CrashesOf(uint64_t digest) const;
  /// Called when an upstream announced that it is leaving.
  /// @param source "answer" if the response to a request said so, or
  ///        "health_check"
  /// @param request id of the request; empty for health checks
  void RecordLeaving(const UpstreamInstance& upstream,
                     const char* source,
                     const std::string& request);
  /// Called with each answer of an upstream to its request.
  void RecordLimit(const UpstreamInstance& upstream,
                   const UpstreamResponse& answer);
  /// Called when an attempt to connect to an upstream ended or timed out.
  /// @param timed_out the attempt was not answered at all
  void RecordConnect(const Endpoint& upstream,
                     bool established,
                     bool timed_out = false);
  /// Called when a connection through a relay was established or failed.
  /// @param status with which the relay refused; 0: it did not answer
  void RecordRelayed(const Endpoint& relay,
                     const Endpoint& upstream,
                     bool established,
                     int status);
  /// @returns the entry through which upstreams are reached while the own links
  ///          are lost; nullopt: connect directly
  std::optional<Endpoint> ChooseRelay();
  /// @returns false while an attempt that was refused may be due to the links
  ///          of this entry
  bool links_up() const { return links_.state() == UpstreamLinks::State::kUp; }
  bool links_hanging() const { return links_.hanging(); }
  void RecordError(const std::string& instance) { health_.OnError(instance); }
  void RecordSuccess(const std::string& instance) {
    health_.OnSuccess(instance);
  }
  /// @returns false if no keeper has answered for some time
  bool reaches_keepers() const { return state_->reachable(); }
  void Remove(GatewayCall* call);
  /// Resumes the call when the configuration or the set of upstreams changes.
  void WaitForUpdate(GatewayCall* call) { waiting_.insert(call); }
  void StopWaiting(GatewayCall* call) { waiting_.erase(call); }
  /// @returns true shortly after the start, while the configuration or the set
  ///          of upstreams may be incomplete
  bool starting() const;
  /// @returns false if this process may exit before a request with this time
  ///          limit has its response
  bool CanServeFor(int64_t wait_ms) const;

  /// Call after the request was read; see EntryLeaseI::keys_valid().
  KeyConfirmation key_confirmation() const;
  /// @returns true if the newest configuration limits the requests of a team
  bool HasQuota(const std::string& team) const {
    return table_ && table_->quotas().contains(team);
  }
  EntryLeaseI& lease() { return *lease_; }
  /// Counts requests of a team that wait for a grant.
  void RecordWaiting(const Team* team, int64_t change);
  /// Counts a request that has ended.
  void RecordTeam(const Team* team, const Refusal& refusal);

  const GatewayInit& init() const { return init_; }
  const CallerProtocolI& protocol() const { return protocol_; }
  EventLoop& loop() { return loop_; }
  StateClient& state() { return *state_; }
  ConnectionPool& pool() { return pool_; }
  ChainCache& chains() { return chains_; }
  AffinityCache& affinity() { return affinity_; }
  RecentPrograms& programs() { return programs_; }
  ObservedTimes& times() { return times_; }
  DomainShares& domain_shares() { return domain_shares_; }
  std::shared_ptr<const RouteTable> table() const { return table_; }
  std::string RegionOf(const std::string& domain) const;

  /// Counts bytes of responses that calls buffer; negative: released.
  void CountResponseBytes(int64_t bytes) { response_bytes_ += bytes; }
  bool response_bytes_full() const {
    return response_bytes_ > static_cast<int64_t>(init_.max_response_bytes);
  }

 private:
  class ReadyHandler;

  PlacementInput BuildPlacementInput(
      const std::vector<const UpstreamInstance*>& ready,
      const std::string& service,
      const GatewayCall& call) const;
  void OnUpstreamUpdate(const std::string& node, const std::string& payload);
  void OnConfigNotice(SessionHandle session, const std::string& payload);
  void OnKeeperList(const std::string& payload);
  void OnSuspectList(const std::string& payload);
  void OnCrash(ObservedCrash crash);
  /// Tries to connect to one upstream of each service, in turn.
  void ProbeLinks();
  void OnProbed(bool reached, bool timed_out);
  /// Finds out whether this entry reaches any upstream but this one.
  void VerifyLinks(const Endpoint& upstream, std::function<void(bool)> done);
  int AdmitRelayed(const Endpoint& upstream) const;
  Status StartRelay();
  void LogLinks(UpstreamLinks::State before);
  void ReportCrashes();
  void OnCrashesReported(const ObservedCrash& last,
                         const Outcome<fb::StateResultT>& outcome);
  void DropReport(const ObservedCrash& crash, const std::string& detail);
  std::string HealthPathOf(const std::string& service) const;
  void ClearSuspect(uint64_t digest);
  void FetchConfiguration();
  void ResumeWaiting();
  /// @returns false if the document cannot be read
  bool InstallConfiguration(const std::string& document);
  void OnConfigurationFetched(const Outcome<fb::StateResultT>& outcome);
  bool ready() const;
  void CheckDrained();
  void SetGauges() const;
  /// Applies limits of the configuration and those of the settings.
  void SetServerLimits(HttpServerLimits limits);
  /// Logs the observed times that have changed much since they were last
  /// logged.
  void LogTimes();

  const GatewayInit init_;
  const CallerProtocolI& protocol_;
  EventLoop& loop_;
  HubI* hub_ = nullptr;
  std::unique_ptr<StateClient> state_;
  std::unique_ptr<EntryLease> own_lease_;
  EntryLeaseI* lease_ = nullptr;  ///< From init_, or own_lease_.
  TeamLabels team_labels_;
  std::map<std::string, int64_t> waiting_by_team_;  ///< By label.
  ConnectionPool pool_;
  ChainCache chains_;
  AffinityCache affinity_;
  RecentPrograms programs_;
  ObservedTimes times_;
  DomainShares domain_shares_;
  std::map<std::string, int64_t> logged_times_;  ///< By kind and name.
  std::shared_ptr<const RouteTable> table_;
  /// Newest version that each keeper announced.
  std::map<SessionHandle, uint64_t> announced_versions_;
  /// Newest version that a reply to a lease request named.
  uint64_t leased_version_ = 0;
  /// Newest version whose document cannot be read; it is not fetched again.
  uint64_t unreadable_version_ = 0;
  bool fetching_configuration_ = false;
  UpstreamTable upstreams_;
  std::minstd_rand random_{std::random_device{}()};
  /// Requests of this entry, by instance.
  std::unordered_map<std::string, int32_t> in_flight_;
  UpstreamHealth health_;
  UpstreamLinks links_;
  int64_t links_changed_ms_ = 0;
  ScopedTimer probe_timer_;  ///< Limits the probe that is under way.
  ScopedTimer next_probe_timer_;
  std::vector<ConnectionPool::Connection> probes_;
  size_t probes_open_ = 0;  ///< Probes without a result.
  RelayTable relays_;
  std::unique_ptr<RelayServer> relay_server_;
  UpstreamLimits limits_;
  /// Number of entries connected to each keeper, by its address.
  std::map<std::string, int64_t> entry_counts_;
  /// Spreads the first requests of all entries to an upstream with a limit.
  const double share_phase_ = std::uniform_real_distribution<double>()(random_);
  const uint32_t start_ = random_();  ///< Tells starts of the entry apart.
  uint64_t placements_ = 0;
  CrashDetector crash_detector_;
  SuspectTable suspects_;
  std::deque<ObservedCrash> unreported_;  ///< Not yet reported to a keeper.
  bool reporting_crashes_ = false;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<ReadyHandler> ready_handler_;
  std::unique_ptr<HttpServer> ready_server_;
  int64_t response_bytes_ = 0;  ///< Buffered by all calls.
  std::unordered_map<GatewayCall*, std::unique_ptr<GatewayCall>> calls_;
  std::unordered_map<HttpServerConnection*, GatewayCall*> by_connection_;
  std::set<GatewayCall*> waiting_;
  /// End of the startup phase, on the clock of the loop.
  int64_t startup_end_ms_ = 0;
  bool draining_ = false;
  int64_t drain_started_ms_ = 0;
  bool ending_ = false;  ///< The requests that remain have been ended.
  std::function<void()> drained_;
};

/// One request of a caller, from its arrival to its response.
class GatewayCall final : public HttpExchangeListenerI {
 public:
  GatewayCall(Gateway::Impl& gateway,
              HttpServerConnection& caller,
              HttpRequest request);
  ~GatewayCall() override;

  void Begin();
  /// Called when what the call waits for may have arrived.
  void Resume();
  /// Called when the caller has closed its connection.
  void OnCallerGone();
  /// Called when the process is about to exit. Answers the request if that is
  /// still possible.
  void OnEntryEnds();
  /// Called when the caller has received everything written so far.
  void OnCallerDrained();

  const CallerRequest& info() const { return info_; }
  const std::set<std::string>& tried() const { return tried_; }
  const CachedPrompt& cached() const { return cached_; }
  uint64_t random() const { return random_; }
  /// UpstreamKey of the upstream that the LoadBalancer chose; 0: none.
  uint32_t placed() const { return placed_; }
  int32_t placed_load() const { return placed_load_; }

  // HttpExchangeListenerI
  bool OnResponseHead(HttpHead head) override;
  void OnResponseBody(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnExchangeFailed(ExchangeFailure failure) override;

 private:
  /// Turn of a request that the state group records.
  struct Turn {
    ChainCache::Text chain;  ///< Text of all turns before this one.
    std::string body;        ///< Chain and new input, if the route keeps turns.
    int32_t tokens_per_event = 1;
    bool begun = false;  ///< The state group may hold a reservation.
    bool finished = false;
  };
  bool is_stream() const { return route_->kind == RouteKind::kStream; }
  bool may_repeat() const {
    return route_->kind == RouteKind::kIdempotent || route_->resumable;
  }
  int64_t remaining_ms() const;
  /// @returns the priority of the team or else of the route; 0 is the highest
  int32_t priority() const;
  /// @returns name of the team; empty: none
  std::string TeamName() const { return team_ == nullptr ? "" : team_->name; }
  /// @returns key of a turn in the ChainCache. Teams do not share entries:
  ///          another team may name a turn by the same id.
  std::string ChainKey(const std::string& turn) const;
  /// @returns true for the first turn of a program
  bool starts_program() const;
  void AddTeam(fb::BeginTurnT& begin) const;
  /// Checks the key of the request.
  /// @returns true if the request was refused or waits for a confirmation
  bool RefuseByKey();
  /// @returns true if the request needs a grant before it is sent
  bool needs_quota_grant() const;
  /// Asks for a grant of the team's quota and continues with `then`, or refuses
  /// the request.
  void AcquireGrant(std::function<void()> then);
  void CancelGrant();
  void ReturnGrant();
  void RefuseByQuota(const EntryLeaseI::Grant& grant);
  /// Called when an attempt may have run: another one needs another grant.
  void RecordRun();
  void CountByTeam(const Refusal& refusal) const;
  /// @returns the program whose budget the request spends
  const std::string& budget_program() const;
  bool can_send_again() const;

  bool WaitForStartup();
  /// Continues after a wait for the start of the entry.
  void Continue();
  void BeginTurn();
  void OnTurnBegun(const Outcome<fb::StateResultT>& outcome, int64_t asked_ms);
  /// Records the result and the token use of the turn.
  /// @param keep the turn was answered completely and may be continued
  void FinishTurn(bool keep, std::function<void(bool kept)> then);
  void ChooseService();
  /// Refuses the request if it has crashed too many upstreams.
  /// @returns true if the request was refused
  bool RefuseQuarantined();
  CrashDetector::Request UnansweredRequest() const {
    return {digest_, start_ms_ + sent_ms_};
  }
  void Send();
  void SendTo(const Gateway::Impl::ChosenUpstream& placed);
  /// @returns longest wait for an upstream with a limit, ms; shorter for less
  ///          urgent requests, so that urgent ones are served first
  int64_t patience_ms() const;
  /// Asks the leader of the state group where the next attempt goes.
  void RequestPlacement();
  void OnPlaced(const fb::StateResultT& result, int64_t asked_ms);
  void SendByShare();
  void RefuseLimited(int64_t wait_ms);
  void RefuseProgram(const fb::StateResultT& result, int64_t asked_ms);
  void RefuseWithoutUpstream();
  void OnConnectTimeout();
  /// Called when the attempt is abandoned or has waited for a long time.
  void RecordUnanswered();
  /// Called when a repeatable request should be tried at another upstream.
  void OnAttemptTimeout();
  void RestartEvents();
  void SendAgain();
  void RetryOrRefuse(const Refusal& refusal);
  void RecordEventTimes(int64_t events_before);
  /// Reports the times of a complete response to ObservedTimes.
  void RecordTimes();
  /// @returns mean time between events of the upstream, us; 0: unknown
  int64_t EventUs() const;
  /// @returns time from sending the request to its last event, us; 0: unknown
  int64_t UpstreamUs() const;
  bool IsOwnAnswer(const UpstreamResponse& answer) const;
  void StartForwarding();
  void CountBuffered();
  void Forward(std::string_view bytes);
  void ForwardEvents(std::string_view bytes);
  void CompleteForwarding();
  void ReleaseConnection(bool reuse);
  void OnDeadline();
  /// Abandons the current attempt.
  /// @returns whether the request may have run
  RunState StopAttempt();
  /// Responds with an error of the entry itself and ends the call.
  void Refuse(const Refusal& refusal);
  void RespondBuffered();
  /// Aborts a response that has begun, so that it cannot look complete.
  void AbortForwarding(const Refusal& refusal);
  void LogEnd(const char* outcome, const Refusal& refusal, int status) const;
  void End();

  Gateway::Impl& gateway_;
  HttpServerConnection* caller_;
  HttpRequest request_;
  CallerRequest info_;
  std::shared_ptr<const RouteTable> table_;
  const Route* route_ = nullptr;
  const Team* team_ = nullptr;  ///< Of table_; null: none.
  bool key_checked_ = false;
  int64_t key_age_ms_ = 0;  ///< Age of the confirmation of the key.
  std::string service_;
  const uint64_t digest_;
  const uint64_t random_;
  const int64_t start_ms_;
  int64_t deadline_ms_ = 0;
  ScopedTimer deadline_timer_;
  ScopedTimer connect_timer_;
  ScopedTimer wait_timer_;
  ScopedTimer attempt_timer_;
  ScopedTimer slow_response_timer_;

  std::unique_ptr<Turn> turn_;  ///< Set if the state group records the request.
  CachedPrompt cached_;
  uint32_t placed_ = 0;
  int32_t placed_load_ = 0;
  int32_t placement_requests_ = 0;
  int64_t limit_wait_ms_ = 0;  ///< Waited for upstreams with limits.

  // Quota of the team.
  uint64_t grant_ticket_ = 0;  ///< Set while the call waits for a grant.
  bool granted_ = false;       ///< The next attempt needs no further grant.
  bool grant_unsent_ = false;  ///< Nothing was sent with the latest grant.
  bool grant_starts_ = false;  ///< The latest grant is one to start a program.
  int64_t granted_at_ms_ = 0;
  int64_t grant_wait_ms_ = 0;

  // The current attempt.
  UpstreamInstance upstream_;
  int32_t load_ = 0;  ///< Load of the upstream when it was chosen, requests.
  size_t candidates_ = 0;  ///< Number of upstreams to choose from.
  ConnectionPool::Connection connection_;
  std::optional<Endpoint> relay_;  ///< Entry that relays the connection.
  bool sent_ = false;          ///< The upstream may have received the request.
  bool may_have_run_ = false;  ///< Some upstream may have executed the request.
  int32_t runs_ = 0;  ///< Number of upstreams that may have executed it.
  int32_t sends_ = 0;
  std::set<std::string> tried_;  ///< Instances.
  std::set<Endpoint> tried_addresses_;

  // Times since the arrival of the request, for the log.
  int64_t begun_ms_ = 0;  ///< When the state group had answered.
  int64_t sent_ms_ = 0;   ///< When the latest attempt was sent.
  int64_t head_ms_ = 0;   ///< When the head of the response arrived.

  // The upstream's response to the current attempt.
  UpstreamResponse answer_;
  int status_ = 0;
  bool streaming_ = false;  ///< The response is an event stream.
  int32_t foreign_answers_ = 0;
  uint64_t exchange_ = 0;       ///< Number of the request on its connection.
  bool ends_by_close_ = false;  ///< The end of the connection ends the body.
  int send_error_ = 0;          ///< See TcpConnection::send_error().

  // The response to the caller.
  HttpHead head_;
  std::string buffered_;
  size_t counted_response_bytes_ = 0;        ///< Of buffered_, at the gateway.
  std::optional<EventStreamReader> events_;  ///< Only for streams.
  /// Start of an incomplete event, not yet forwarded.
  std::string partial_event_;
  int64_t first_event_ms_ = 0;
  int64_t last_event_ms_ = 0;
  bool slow_caller_ = false;  ///< Reading was paused for a slow caller.
  bool forwarding_ = false;
  bool response_done_ = false;
  bool ended_ = false;
  bool waited_for_startup_ =
      false;  ///< The call has waited for the startup of the entry.
  /// Expires with the call; lets late callbacks detect that.
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace ring
