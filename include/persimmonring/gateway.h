#pragma once

/// Gateway: the event-driven data path of an entry. Callers' requests come in
/// by HTTP, are matched with a route, continue their chain of turns if the
/// route keeps it, and are forwarded to an upstream.

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
#include "persimmonring/runtime.h"
#include "persimmonring/state.h"
#include "persimmonring/wire.h"

namespace ring {

// --------------------------------------------------------------- configuration

/// What may be repeated.
enum class RepeatKind : uint8_t {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStream,         ///< A non-idempotent request answered by an event stream.
};

struct EngineSpec {
  int32_t slots = 0;         ///< Requests that run at once.
  int64_t cache_tokens = 0;  ///< Memory for running and cached prompts.
  int32_t tokens_per_event = 1;

  auto operator<=>(const EngineSpec&) const = default;
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  int32_t max_connections = 0;       ///< Of one upstream, from all callers.
  std::optional<EngineSpec> engine;  ///< Empty: a plain service.

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
  std::string path_prefix;  ///< Begins and ends with '/'.
  RepeatKind kind = RepeatKind::kNonIdempotent;
  int64_t timeout_ms = 0;   ///< Longest time until the answer.
  int64_t goal_ms = 0;      ///< Time until the answer (first event) is on time.
  int64_t gap_goal_ms = 0;  ///< Longest pause between events; 0: none.
  int32_t priority = 0;     ///< 0 is the most urgent.
  std::vector<RouteTarget> targets;
  int32_t max_attempts = 1;  ///< Upstreams that may run one request.
  bool keeps_turns = false;  ///< Requests carry only new input; see state.h.
  int64_t retention_ms = 0;  ///< How long a turn is kept.
  bool sticky = false;       ///< Upstreams cache what requests share.
  bool resumable = false;    ///< A stream may go on after an event's id.

  auto operator<=>(const Route&) const = default;
};

/// One version of the configuration. Immutable once built.
class RouteTable {
 public:
  RouteTable() = default;
  RouteTable(uint64_t version,
             std::vector<Route> routes,
             std::vector<ServiceSpec> services,
             const HttpServerLimits& limits);

  /// @param host with or without a port
  /// @param path without a query
  /// @returns the route with the longest matching prefix, or null
  const Route* Match(std::string_view host, std::string_view path) const;
  const ServiceSpec* FindService(const std::string& name) const;
  uint64_t version() const { return version_; }
  const std::vector<Route>& routes() const { return routes_; }
  const HttpServerLimits& limits() const { return limits_; }

  /// @returns what is wrong: an unknown service, two routes at one place, no
  ///          weight, no timeout
  Status Check() const;

 private:
  uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<std::string, ServiceSpec> services_;
  HttpServerLimits limits_;
  std::map<std::string, std::map<std::string, size_t, std::less<>>, std::less<>>
      by_host_;
};

// -------------------------------------------------------------------- protocol

/// A part of a prompt; requests with the same leading parts share cache.
struct PromptPart {
  std::string id;
  int64_t tokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

/// What the headers of a caller's request say.
struct CallerRequest {
  std::string id;  ///< Of this attempt of the caller; unique.
  std::string host;
  std::string path;                ///< Without the query.
  std::optional<int64_t> wait_ms;  ///< How long the caller will wait.
  std::string program;             ///< Empty: no program.
  std::string session;             ///< Line of turns within the program.
  std::optional<int64_t> program_wait_ms;  ///< Until the program should end.
  std::optional<int64_t> budget_tokens;    ///< Of the whole program.
  int64_t prompt_tokens = 0;
  int64_t max_output_tokens = 0;
  std::string previous_turn;  ///< Turn that this one continues; empty: none.
  std::vector<PromptPart> prompt;
  std::string affinity;               ///< Object that the request concerns.
  std::optional<int64_t> last_event;  ///< Resumes a stream after this event.
  std::string malformed;  ///< Header whose value cannot be used; empty: none.

  auto operator<=>(const CallerRequest&) const = default;
};

/// What is set on a request towards an upstream.
struct UpstreamSend {
  std::string instance;  ///< Only this incarnation may run it.
  int64_t wait_ms = 0;   ///< Time that is left.
  size_t body_bytes = 0;
  std::optional<int64_t> last_event;  ///< The stream goes on after this event.

  auto operator<=>(const UpstreamSend&) const = default;
};

/// What the headers of an upstream's response say.
struct UpstreamAnswer {
  std::string request_id;  ///< Of the request that is answered; may be empty.
  bool not_run = false;    ///< The upstream says that it ran nothing.
  bool other_instance = false;  ///< Another server has this address now.
  std::string instance;         ///< That answers a health check; may be empty.
  bool leaving = false;         ///< The upstream will end.

  auto operator<=>(const UpstreamAnswer&) const = default;
};

struct UpstreamInstance;

/// Translates between the headers of a deployment's HTTP dialect and the types
/// above.
class CallerProtocolI {
 public:
  virtual ~CallerProtocolI() = default;
  virtual CallerRequest DecodeRequest(const HttpHead& head) const = 0;
  /// @returns start line and headers of the request to an upstream
  virtual std::string EncodeSend(const HttpHead& head,
                                 const CallerRequest& request,
                                 const UpstreamSend& send) const = 0;
  /// @returns a whole health check
  virtual std::string EncodeHealthCheck(const UpstreamInstance& upstream,
                                        const std::string& path) const = 0;
  virtual UpstreamAnswer DecodeAnswer(const HttpHead& head) const = 0;
  /// @returns the configuration; bad_request with the first mistake
  virtual Outcome<std::shared_ptr<const RouteTable>> ParseConfiguration(
      const std::string& document) const = 0;
};

// ------------------------------------------------------------------- upstreams

enum class UpstreamState : uint8_t { kReady, kDraining, kGone };

/// One incarnation of an upstream as it announced itself.
struct UpstreamInstance {
  std::string instance;  ///< Id; mostly new for each start.
  std::string service;
  Endpoint address;
  std::string domain;
  std::string version;    ///< Of its software.
  int32_t slots = 0;      ///< Requests that run at once.
  int64_t born_ms = 0;    ///< Unix milliseconds of its start.
  uint64_t sequence = 0;  ///< Of the announcement.
  UpstreamState state = UpstreamState::kReady;
  int64_t cold_left_ms = 0;

  auto operator<=>(const UpstreamInstance&) const = default;
};

/// All that an entry believes of upstreams: what keepers say, which departures
/// the log holds, and which upstreams said in an answer that they leave. An
/// incarnation never returns from draining or gone; of two incarnations with
/// one id or address, the one that started later counts.
class UpstreamTable {
 public:
  /// A keeper's word about one upstream.
  struct Report {
    UpstreamInstance upstream;
    bool heard = false;  ///< The keeper hears announcements at present.

    auto operator<=>(const Report&) const = default;
  };

  /// @param whole these are all that the keeper hears
  /// @returns the reports that changed what requests are placed by
  std::vector<Report> Merge(const std::string& keeper,
                            bool whole,
                            const std::vector<Report>& reports);
  /// Takes in a state that came with the replicated log.
  void Depart(const UpstreamDeparture& departure);
  /// Takes in that an upstream said itself that it leaves.
  /// @returns true if that is new
  bool Leave(const UpstreamInstance& upstream, int64_t now_ms);
  /// @returns true if the log holds a departure of the incarnation
  bool departed(const UpstreamInstance& upstream) const {
    return departures_.contains({upstream.instance, upstream.born_ms});
  }
  /// The link to a keeper is lost; what it said last stays until others or it
  /// say more.
  void ForgetKeeper(const std::string& keeper);
  /// @returns ready upstreams of a service that at least one keeper hears; if
  ///          there are none, those that have said a moment ago that they leave
  std::vector<const UpstreamInstance*> Ready(const std::string& service,
                                             int64_t now_ms) const;
  const UpstreamInstance* Find(const std::string& instance) const;
  size_t size() const { return entries_.size(); }
  /// Drops what is gone and no longer heard of.
  void Prune(int64_t now_ms);

 private:
  struct Entry {
    UpstreamInstance upstream;
    std::set<std::string> heard_by;

    /// Whether requests may be placed here, and on which incarnation.
    std::tuple<int64_t, UpstreamState, bool> usable() const {
      return {upstream.born_ms, upstream.state, !heard_by.empty()};
    }
  };
  bool MergeOne(const std::string& keeper, const Report& report);
  void ResolveAddress(const UpstreamInstance& newest);

  std::unordered_map<std::string, Entry> entries_;
  std::map<std::pair<std::string, int64_t>, bool> departures_;  // true: gone
  /// Incarnations that said that they leave, with the time.
  std::map<std::pair<std::string, int64_t>, int64_t> leaving_ms_;
};

// ------------------------------------------------------------------- placement

/// An upstream as a placement decision sees it.
struct PlacementCandidate {
  std::string instance;
  bool same_domain = false;
  bool same_region = false;
  int32_t slots = 1;
  int32_t in_flight = 0;        ///< Requests of all entries, as far as known.
  int64_t cached_tokens = 0;    ///< Of this prompt, believed to be cached.
  bool tried = false;           ///< Has answered this request before.
  bool suspected = false;       ///< Failed a moment ago.
  int32_t failure_percent = 0;  ///< Of recent requests of this entry.
  bool cold = false;            ///< Started a moment ago and is still slow.

  auto operator<=>(const PlacementCandidate&) const = default;
};

struct PlacementInput {
  bool engine = false;
  int64_t prompt_tokens = 0;
  std::vector<PlacementCandidate> candidates;
  uint64_t random = 0;  ///< Breaks ties.

  auto operator<=>(const PlacementInput&) const = default;
};

/// Chooses the upstream with the least expected time to the first byte.
/// @returns its position, or nullopt if all are excluded
std::optional<size_t> PlaceRequest(const PlacementInput& input);

/// Chooses what is offered to the load board of the state group, which knows
/// the turns of all entries.
/// @returns the best few candidates by their cost apart from load
std::vector<UpstreamOffer> OfferPlacements(const PlacementInput& input);
/// @returns the prefill that the upstream of the previous turn would save
int64_t CachedSavingUs(const PlacementInput& input);

// --------------------------------------------------------------------- gateway

struct GatewayInit {
  std::string node;
  std::string domain;
  std::string region;
  std::map<std::string, std::string> regions;  ///< Domain to region.
  Endpoint listen;                             ///< For callers.
  Endpoint ready_listen;                       ///< Serves GET /ready.
  std::vector<Endpoint> keepers;    ///< Some keepers; others are learned.
  int64_t drain_notice_ms = 2'500;  ///< Until the balancer has noticed a stop.
  int64_t grace_ms = 8'000;         ///< From the stop request to the kill.
  size_t chain_cache_bytes = 16u << 20;
  size_t max_buffered_bytes = 32u << 20;  ///< Bodies of callers' requests.
  size_t max_event_bytes = 256u << 10;    ///< One event of a stream.
  size_t max_turn_bytes = 2u << 20;       ///< Data of all events of a turn.
};

/// The data path. Its duties are the loop and the hub's network thread.
class Gateway final : public HubListenerI {
 public:
  Gateway(const GatewayInit& init,
          const CallerProtocolI& protocol,
          EventLoop& loop);
  ~Gateway() override;

  /// Opens the listeners and starts to connect to keepers.
  Status Start(HubI& hub);
  /// Further keepers, after the settings have changed. On the loop thread.
  void AddKeepers(const std::vector<Endpoint>& keepers);
  /// Ends work in order and calls `done` when nothing is left. On the loop
  /// thread.
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
