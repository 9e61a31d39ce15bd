#pragma once

/// Gateway: the event-driven data path of an entry. Accepts HTTP requests of
/// callers, matches each with a route, prepends the earlier turns of its chain
/// if the route keeps turns (see state.h), and forwards it to an upstream.
///
/// A process runs either a Gateway (routes) or an Entry (agent programs, see
/// entry.h), never both. UpstreamInstance belongs to the Gateway,
/// UpstreamRecord (upstream.h) to the Entry.

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "persimmonring/core.h"
#include "persimmonring/keeper.h"
#include "persimmonring/net.h"
#include "persimmonring/policy.h"
#include "persimmonring/runtime.h"
#include "persimmonring/state.h"
#include "persimmonring/wire.h"

namespace ring {

// --------------------------------------------------------------- configuration

/// How a route may run and answer a request.
enum class RouteKind : uint8_t {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStream,         ///< Non-idempotent and answered by an event stream.
};

struct EngineSpec {
  int32_t slots = 0;  ///< Maximum number of requests that run concurrently.
  /// Cache capacity for running and cached prompts, tokens.
  int64_t cache_tokens = 0;
  int32_t tokens_per_event = 1;  ///< Output tokens in one stream event.

  auto operator<=>(const EngineSpec&) const = default;
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  int32_t max_connections = 0;  ///< Limit of one upstream, over all callers.
  std::optional<EngineSpec> engine;  ///< Not set for plain services.

  auto operator<=>(const ServiceSpec&) const = default;
};

struct RouteTarget {
  std::string service;
  int32_t weight = 1;

  auto operator<=>(const RouteTarget&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Starts and ends with '/'.
  RouteKind kind = RouteKind::kNonIdempotent;
  int64_t timeout_ms = 0;  ///< Time limit for the whole response.
  int64_t goal_ms = 0;  ///< Latency target for the response or, of streams, for
                        ///< the first event.
  /// Target for the longest gap between events; 0: none.
  int64_t gap_goal_ms = 0;
  int32_t priority = 0;  ///< 0 is the highest priority.
  std::vector<RouteTarget> targets;
  /// Maximum number of upstreams that may execute one request.
  int32_t max_attempts = 1;
  /// Requests carry only the new input of a turn; see state.h.
  bool keeps_turns = false;
  int64_t retention_ms = 0;  ///< How long a turn can be continued.
  bool sticky = false;  ///< Upstreams cache state that related requests share.
  /// A broken stream can be resumed after a given event id.
  bool resumable = false;
  bool anonymous = false;  ///< Requests need no key of a team.

  auto operator<=>(const Route&) const = default;
};

/// A group of callers with keys of its own.
struct Team {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int32_t> priority;  ///< Replaces the priority of the route.
  TeamQuota quota;

  auto operator<=>(const Team&) const = default;
};

/// One version of the configuration. Immutable.
class RouteTable {
 public:
  RouteTable() = default;
  /// @param teams nullopt: requests need no keys
  RouteTable(uint64_t version,
             std::vector<Route> routes,
             std::vector<ServiceSpec> services,
             const HttpServerLimits& limits,
             std::optional<std::vector<Team>> teams = std::nullopt);

  /// @param host with or without a port
  /// @param path without a query
  /// @returns the route with the longest matching prefix, or null
  const Route* Match(std::string_view host, std::string_view path) const;
  const ServiceSpec* FindService(const std::string& name) const;
  uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const HttpServerLimits& limits() const { return limits_; }
  bool has_teams() const { return teams_.has_value(); }
  /// @returns null if no team has the key
  const Team* FindTeam(std::string_view key) const;
  /// @returns the quotas of the teams that have one, by name
  const std::map<std::string, TeamQuota>& quotas() const { return quotas_; }

  /// @returns a refusal with the first error: a target names an unknown
  ///          service, weights are negative or add up to 0, the timeout is
  ///          missing, two routes have the same host and path prefix, two
  ///          teams have the same key or name, or one of these cannot be the
  ///          value of a header
  Status Check() const;

 private:
  Status CheckTeams() const;

  uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSpec> services_;
  HttpServerLimits limits_;
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
      by_host_;
  std::optional<std::vector<Team>> teams_;
  std::map<std::string, size_t, std::less<>> team_by_key_;
  std::map<std::string, TeamQuota> quotas_;
};

// -------------------------------------------------------------------- protocol

/// One part of a prompt. Requests whose prompts begin with the same parts can
/// share cache entries.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

/// Contents of the headers of a caller's request.
struct CallerRequest {
  std::string id;  ///< Unique for each attempt of the caller.
  std::string host;
  std::string path;                ///< Without the query.
  std::optional<int64_t> wait_ms;  ///< Time until the caller gives up.
  std::string program;             ///< Empty: no program.
  /// Id of a sequence of turns within the program; unrelated to hub sessions.
  std::string session;
  /// Time until the deadline of the program.
  std::optional<int64_t> program_wait_ms;
  std::optional<int64_t> budget_tokens;  ///< Token budget of the whole program.
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  /// Id of the turn that this one continues; empty: none.
  std::string previous_turn;
  std::vector<PromptPart> prompt;
  std::string affinity;  ///< Key of the object that the request concerns.
  /// Key of the caller's team; empty: none. Several different keys in one
  /// request are decoded as a text that is no valid key.
  std::string key;
  /// Resume the stream after the event with this id.
  std::optional<int64_t> last_event;
  /// Name of a header with an invalid value; empty: none.
  std::string malformed;

  auto operator<=>(const CallerRequest&) const = default;
};

/// Values that are set in the headers of a request to an upstream.
struct UpstreamRequest {
  /// Id of the upstream instance; other instances refuse the request.
  std::string instance;
  int64_t wait_ms = 0;  ///< Time until the deadline.
  size_t body_bytes = 0;
  /// Resume the stream after the event with this id.
  std::optional<int64_t> last_event;
  /// The configuration has teams: the caller's key and any team that it names
  /// are dropped.
  bool has_teams = false;
  std::string team;  ///< Team of the caller; empty: none.

  auto operator<=>(const UpstreamRequest&) const = default;
};

/// Contents of the headers of an upstream's response.
struct UpstreamResponse {
  /// Id of the request that this responds to; may be empty.
  std::string request_id;
  bool has_signature = false;  ///< Present on every success.
  bool not_run = false;        ///< The upstream did not execute the request.
  /// The address now belongs to another instance.
  bool other_instance = false;
  /// Instance that responds to a health check; may be empty.
  std::string instance;
  bool leaving = false;  ///< The upstream is about to shut down.
  /// The upstream names a limit for its requests, readable or not.
  bool names_limit = false;
  /// Requests that it takes from all entries together, per 1,000 s.
  std::optional<int64_t> limit;

  auto operator<=>(const UpstreamResponse&) const = default;
};

struct UpstreamInstance;

/// Translates between the HTTP headers and documents of a deployment and the
/// types above.
class CallerProtocolI {
 public:
  virtual ~CallerProtocolI() = default;
  virtual CallerRequest DecodeRequest(const HttpHead& head) const = 0;
  /// @returns start line and headers of the request to the upstream
  virtual std::string EncodeUpstreamRequest(
      const HttpHead& head,
      const CallerRequest& request,
      const UpstreamRequest& send) const = 0;
  /// @returns a complete health check request
  virtual std::string EncodeHealthCheck(const UpstreamInstance& upstream,
                                        const std::string& path) const = 0;
  virtual UpstreamResponse DecodeUpstreamResponse(
      const HttpHead& head) const = 0;
  /// @returns the configuration; bad_request with the first error
  virtual Outcome<std::shared_ptr<const RouteTable>> ParseConfiguration(
      const std::string& document) const = 0;
};

// ------------------------------------------------------------------- upstreams

enum class UpstreamState : uint8_t { kReady, kDraining, kGone };

/// One incarnation (process start) of an upstream, as it announced itself.
struct UpstreamInstance {
  /// Id of the upstream instance; usually new for each start.
  std::string instance;
  std::string service;
  Endpoint address;
  std::string domain;
  std::string version;    ///< Software version.
  int32_t slots = 0;      ///< Maximum number of requests that run concurrently.
  int64_t born_ms = 0;    ///< Time of its start, Unix milliseconds.
  uint64_t sequence = 0;  ///< Sequence number of the announcement.
  UpstreamState state = UpstreamState::kReady;
  /// Announced time until the upstream is warmed up; 0: warm.
  int64_t cold_left_ms = 0;

  auto operator<=>(const UpstreamInstance&) const = default;
};

/// The upstreams that an entry knows, merged from three sources: reports of
/// keepers, departures recorded in the replicated log, and upstreams that
/// announced in a response that they are leaving. An incarnation never returns
/// from draining or gone. Of two incarnations with the same id or address, the
/// one that started later replaces the other.
class UpstreamTable {
 public:
  /// A keeper's report about one upstream.
  struct Report {
    UpstreamInstance upstream;
    bool heard = false;  ///< The keeper currently receives announcements.

    auto operator<=>(const Report&) const = default;
  };

  /// @param complete true if the reports list every upstream that the keeper
  ///        receives announcements of; the others then count as not heard by it
  /// @returns the reports that changed whether or where requests may be placed
  std::vector<Report> Merge(const std::string& keeper,
                            bool complete,
                            const std::vector<Report>& reports);
  /// Applies a departure recorded in the replicated log.
  void RecordDeparture(const UpstreamDeparture& departure);
  /// Marks an upstream that announced in a response that it is leaving.
  /// @returns true if that was not known yet
  bool MarkLeaving(const UpstreamInstance& upstream, int64_t now_ms);
  /// @returns true if the log records a departure of the incarnation
  bool departed(const UpstreamInstance& upstream) const {
    return departures_.contains({upstream.instance, upstream.born_ms});
  }
  /// Removes the keeper as a source, for example after its session was lost.
  /// The states that it reported remain until newer reports arrive.
  void ForgetKeeper(const std::string& keeper);
  /// @returns the ready upstreams of a service that at least one keeper
  ///          receives announcements of, ordered by instance id; if there are
  ///          none, those that announced a short time ago that they are leaving
  std::vector<const UpstreamInstance*> Ready(const std::string& service,
                                             int64_t now_ms) const;
  const UpstreamInstance* Find(const std::string& instance) const;
  /// @returns the ready upstreams of all services that at least one keeper
  ///          receives announcements of, by service
  std::map<std::string, std::vector<const UpstreamInstance*>> ReadyByService()
      const;
  size_t size() const { return rows_.size(); }
  /// @returns true if an upstream that is not gone has the address
  bool KnowsAddress(const Endpoint& address) const;
  /// Removes upstreams that are gone and that no keeper receives announcements
  /// of any more.
  void Prune(int64_t now_ms);

 private:
  struct Row {
    UpstreamInstance upstream;
    std::set<std::string> heard_by;

    /// Determines whether requests may be placed here, and on which
    /// incarnation.
    std::tuple<int64_t, UpstreamState, bool> placement_key() const {
      return {upstream.born_ms, upstream.state, !heard_by.empty()};
    }
  };
  bool MergeOne(const std::string& keeper, const Report& report);
  void RetireOlderAtAddress(const UpstreamInstance& newest);

  std::unordered_map<std::string, Row> rows_;
  std::map<std::pair<std::string, int64_t>, bool>
      departures_;  // By instance id and start time; true: gone.
  /// Incarnations that announced that they are leaving, and when.
  std::map<std::pair<std::string, int64_t>, int64_t> leaving_ms_;
};

// ------------------------------------------------------------------- placement

/// Input of a placement decision about one upstream.
struct PlacementCandidate {
  std::string instance;
  bool same_domain = false;
  bool same_region = false;
  /// Round trip as observed, us; nullopt: no connection to its failure domain
  /// has been opened yet.
  std::optional<int64_t> round_trip_us;
  int32_t slots = 1;
  int32_t in_flight = 0;  ///< Requests of this entry that are in flight there.
  /// Tokens of this prompt that are probably cached there.
  int64_t cached_tokens = 0;
  bool tried = false;  ///< An earlier attempt of this request was sent there.
  bool suspected = false;  ///< Failed recently.
  /// Share of this entry's recent requests that failed.
  int32_t failure_percent = 0;
  bool cold = false;     ///< Started recently and is still slow.
  bool limited = false;  ///< Has named a limit for its requests.
  /// In the failure domain that was drawn for the request.
  bool drawn = false;
  /// Time of one request there, us; 0: not observed.
  int64_t service_us = 0;

  auto operator<=>(const PlacementCandidate&) const = default;
};

struct PlacementInput {
  bool engine = false;
  int64_t prompt_tokens = 0;
  /// Time to process one prompt token, ns.
  int64_t prefill_ns_per_token = ObservedTimes::kPrefillNsPerToken;
  /// Time of one request at an upstream, us.
  int64_t service_us = ObservedTimes::kTurnUs;
  std::vector<PlacementCandidate> candidates;
  uint64_t random = 0;  ///< Breaks ties.

  auto operator<=>(const PlacementInput&) const = default;
};

/// Chooses the upstream with the lowest expected time to the first byte. Of the
/// usable upstreams in a domain that was drawn, the one with the fewest
/// requests of this entry in proportion to its speed.
/// @returns its index, or nullopt if there are no candidates
std::optional<size_t> PlaceRequest(const PlacementInput& input);

/// Chooses the candidates that are offered to the LoadBalancer of the state
/// group, which counts the open turns of all entries.
/// @returns the candidates with the lowest cost, not counting load
std::vector<UpstreamOffer> OfferPlacements(const PlacementInput& input);
/// @returns prefill time saved if the turn runs at the upstream of the previous
///          turn, us
int64_t CachedSavingUs(const PlacementInput& input);

// --------------------------------------------------------------------- gateway

/// Opens connections to upstreams.
class UpstreamConnectorI {
 public:
  virtual ~UpstreamConnectorI() = default;
  /// @returns null if the attempt could not be started
  virtual std::unique_ptr<HttpClientConnection> Connect(
      EventLoop& loop,
      const TcpConnection::Init& init,
      const Endpoint& endpoint) = 0;
};

class EntryLeaseI;

/// Mechanisms of deciding. Experiments switch one off to measure its worth.
struct GatewayMechanisms {
  /// Turns are placed by the open turns of all entries.
  bool load_balancer = true;
  /// Sessions and prompt parts return to the upstream that has them cached.
  bool affinity = true;
  /// Upstreams that failed recently are avoided.
  bool suspicion = true;
  /// Repeatable requests are sent elsewhere if an upstream takes long.
  bool attempt_timeouts = true;
  /// Requests wait briefly at an entry that has just started.
  bool startup_wait = true;
  /// Placement rests on observed times instead of defaults.
  bool observed_times = true;
  /// An entry without links to upstreams reaches them through other entries.
  bool relays = true;
  /// The leader of the state group grants requests to upstreams with a limit.
  bool shared_limits = true;
  /// Calls leave the failure domain by shares that all its entries agree on.
  bool domain_spill = true;
  /// Programs start only if the engines can finish them in time.
  bool admission = true;

  auto operator<=>(const GatewayMechanisms&) const = default;
};

struct GatewayInit {
  std::string node;
  std::string domain;
  std::string region;
  std::map<std::string, std::string> regions;  ///< Region of each domain.
  Endpoint listen;                             ///< Serves callers.
  Endpoint ready_listen;                       ///< Serves GET /ready.
  /// Relays connections of other entries to upstreams; unset: does not.
  std::optional<Endpoint> relay_listen;
  /// Some keepers to connect to first; the others are learned from them.
  std::vector<Endpoint> keepers;
  int64_t drain_notice_ms = 2'500;  ///< Time until the load balancer notices
                                    ///< that this entry is not ready.
  /// Time from the stop request until the process is killed.
  int64_t grace_ms = 8'000;
  size_t chain_cache_bytes = 16u << 20;
  /// Buffer limit for bodies of callers' requests.
  size_t max_buffered_bytes = 32u << 20;
  /// Memory held for callers; see HttpServerLimits::max_held_bytes.
  size_t max_held_bytes = 64u << 20;
  /// Open connections of callers; 0: no further bound.
  size_t max_connections = 0;
  /// The same for the clients of `ready_listen`.
  size_t max_ready_held_bytes = 8u << 20;
  size_t max_ready_connections = 0;
  /// Connections relayed for other entries, two descriptors each, and the
  /// memory that their unsent bytes take.
  size_t max_tunnels = 512;
  size_t max_relayed_bytes = 16u << 20;
  /// Responses of upstreams that are received completely before they are
  /// forwarded, all together. Beyond it a response is forwarded as it arrives.
  size_t max_response_bytes = 16u << 20;
  size_t max_event_bytes = 256u << 10;  ///< Limit for one event of a stream.
  /// Limit for the data of all events of a turn.
  size_t max_turn_bytes = 2u << 20;
  GatewayMechanisms mechanisms;
  /// Time after the acknowledgement of a configuration from which no entry may
  /// accept a key that it removed, ms; 0: no bound.
  int64_t key_revocation_ms = 0;
  /// Confirms keys and grants requests of teams; null: exchanged with the
  /// leader of the state group. Must outlive the gateway.
  EntryLeaseI* lease = nullptr;
  /// Opens the connections to upstreams; null: over TCP. Must outlive the
  /// gateway.
  UpstreamConnectorI* connector = nullptr;
};

/// The data path. Runs on the event loop and receives frames on the hub's
/// network thread.
class Gateway final : public HubListenerI {
 public:
  Gateway(const GatewayInit& init,
          const CallerProtocolI& protocol,
          EventLoop& loop);
  ~Gateway() override;

  /// Opens the listeners and starts connecting to keepers.
  Status Start(HubI& hub);
  /// Connects to further keepers after a change of the settings. Call on the
  /// loop thread.
  void AddKeepers(const std::vector<Endpoint>& keepers);
  /// Stops accepting work and calls `done` once all requests have ended, or
  /// shortly before the grace period is over. Call on the loop thread.
  void Drain(std::function<void()> done);

  void OnOpened(SessionHandle session, const PeerInfo& peer) override;
  void OnFrame(SessionHandle session,
               const PeerInfo& peer,
               const Frame& frame) override;
  void OnClosed(SessionHandle session,
                const PeerInfo& peer,
                Reason reason) override;

 private:
  friend class GatewayCall;
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace ring
