#pragma once

/// Control state of a ring: release notes, the configuration that results from
/// them, reconciler leases with fencing tokens, quarantined requests and lost
/// domains.

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/core.h"
#include "persimmonring/log.h"

namespace ring {

/// A release note: a numbered configuration change submitted by an operator
/// (not documentation). The body is JSON:
/// {"added": [item...], "changed": [item...], "withdrawn": [item...]}; an item
/// is {"kind": "model|adapter|service|team|limit", "name": "...", ...}. A
/// changed item replaces the previous one completely. PlanOrders uses these
/// fields of models and adapters: "version", "model" (required for an adapter),
/// "role" and "upstreams" (names; all engines if absent).
struct ReleaseNote {
  uint64_t number = 0;  ///< Consecutive, starting at 1.
  std::string operator_id;
  std::string body;

  auto operator<=>(const ReleaseNote&) const = default;
};

/// @returns hex SHA-256 of the number, operator and body in canonical JSON form
std::string DigestOf(const ReleaseNote& note);

/// Validates the form of a note, independently of the current configuration.
/// @returns bad_request with the JSON path of the first invalid field
Status CheckNote(const ReleaseNote& note);

/// Answer to an accepted note.
struct NoteResult {
  uint64_t number = 0;
  uint64_t version = 0;  ///< Configuration version created by the note.
  std::string digest;
  bool repeated = false;  ///< The note had already been accepted.

  auto operator<=>(const NoteResult&) const = default;
};

/// Exclusive right to send orders to the upstreams of one domain. Each grant,
/// including a renewal, gets a higher fence. A restarted holder keeps its name,
/// so the fence is what makes upstreams refuse delayed orders from before the
/// restart.
struct ReconcilerLease {
  std::string domain;
  std::string entry;
  uint64_t fence = 0;       ///< Fencing token; increases with each grant.
  int64_t duration_ms = 0;  ///< Counted by the holder from the time it sent its
                            ///< request.

  auto operator<=>(const ReconcilerLease&) const = default;
};

/// Configuration as distributed to nodes. A node never replaces it with a lower
/// version.
struct ControlView {
  uint64_t version = 0;      ///< Number of accepted notes.
  uint64_t note_number = 0;  ///< Number of the latest note.
  std::string note_digest;
  /// 0: `items` is the complete configuration. Otherwise `items` and
  /// `withdrawn` hold the changes since this version.
  uint64_t base_version = 0;
  std::map<std::string, std::string> items;  ///< "kind/name" to JSON text.
  std::vector<std::string> withdrawn;  ///< Keys; empty if `base_version` is 0.
  /// Increases with each change of the two lists below.
  uint64_t quarantine_version = 0;
  /// Digests of refused requests, oldest first, at most kMaxQuarantined.
  std::vector<std::string> quarantined;
  std::vector<std::string> lost_domains;

  auto operator<=>(const ControlView&) const = default;
};

/// Limit of quarantined digests; a further one evicts the oldest. The limit
/// keeps the list that each node holds under 70 KB. A digest is added only
/// after at least two crashes (see SuspectTracker), so a full list points to a
/// fault that needs an operator.
constexpr size_t kMaxQuarantined = 1'024;

/// Configuration version that a node last reported.
struct NodeVersion {
  std::string node;
  uint64_t version = 0;
  int64_t age_ms = 0;  ///< Time since the report.

  auto operator<=>(const NodeVersion&) const = default;
};

/// Access to the control state of a ring. Thread-safe. A command blocks until
/// it is committed and applied.
class ControlStoreI {
 public:
  virtual ~ControlStoreI() = default;
  /// Accepts the next note. Repeating an accepted note returns its result.
  /// @returns conflict (with the accepted digest in the message) if the latest
  ///          note has this number and another digest, stale_number for an
  ///          older number with another digest, sequence_gap if a number is
  ///          skipped, no_quorum with unknown run state: send the note again
  virtual Outcome<NoteResult> ApplyNote(const ReleaseNote& note) = 0;
  /// @param node that uses `have_version`, which is recorded for NodeVersions
  /// @returns the changes or the complete view; version 0 if nothing changed
  virtual Outcome<ControlView> Poll(const std::string& node,
                                    uint64_t have_version,
                                    uint64_t have_quarantine) = 0;
  /// Grants or renews a lease.
  /// @returns conflict if another entry holds an unexpired lease
  virtual Outcome<ReconcilerLease> AcquireLease(const std::string& domain,
                                                const std::string& entry,
                                                int64_t duration_ms) = 0;
  /// Adds a request digest that nodes refuse from now on. Idempotent.
  virtual Status Quarantine(const std::string& digest,
                            const std::string& reason) = 0;
  /// Adds a domain to `lost_domains`. Idempotent.
  virtual Status DeclareDomainLost(const std::string& domain,
                                   const std::string& operator_id) = 0;
  virtual Outcome<std::vector<NodeVersion>> NodeVersions() = 0;
};

/// Updates a complete view from a poll result, which is complete or holds only
/// changes. Versions never decrease.
/// @returns false if `update` is not newer, or if its changes are based on
///          another version
bool MergeControlView(ControlView& view, const ControlView& update);

/// Creates the state machine of the control group.
std::unique_ptr<StateMachineI> CreateControlMachine();

/// Encodes commands and queries of the control state machine and decodes its
/// results. Decoding fails with the refusal that the result holds, or with
/// corrupt_data.
namespace control_codec {
std::string Encode(const ReleaseNote& note);
std::string EncodeLease(const std::string& domain,
                        const std::string& entry,
                        int64_t duration_ms);
std::string EncodeQuarantine(const std::string& digest,
                             const std::string& reason);
std::string EncodeDomainLost(const std::string& domain,
                             const std::string& operator_id);
std::string EncodeView(uint64_t have_version, uint64_t have_quarantine);

Outcome<NoteResult> DecodeNote(std::string_view result);
Outcome<ReconcilerLease> DecodeLease(std::string_view result);
Outcome<ControlView> DecodeView(std::string_view result);
Status DecodeStatus(std::string_view result);
}  // namespace control_codec

/// Creates a store on one in-memory state machine without replication, for
/// tests and local tools.
std::unique_ptr<ControlStoreI> CreateLocalControlStore(const ClockI& clock);

/// State reported by an engine: {"models": [{"name", "version"}...],
/// "adapters": [{"name", "model", "version"}...], "role": "..."}. A list may
/// also hold plain names, which match any version, and "models" and "adapters"
/// may be objects that map names to versions.
struct UpstreamReport {
  std::string upstream;
  std::string state;  ///< JSON text of GET /v1/state.

  auto operator<=>(const UpstreamReport&) const = default;
};

/// An order that brings an upstream closer to the configuration.
struct PlannedOrder {
  std::string upstream;
  uint64_t fence = 0;
  /// "unload" (of `model` or of `adapter`), "load_model", "load_adapter" or
  /// "set_role"
  std::string action;
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;

  auto operator<=>(const PlannedOrder&) const = default;
};

/// Plans the orders that turn the reported state of engines into the configured
/// one. Deterministic. Orders are idempotent: one that was executed is not
/// planned again. Nothing is unloaded while the configuration has no model, and
/// an engine with a malformed report gets no orders.
/// @param items configuration of ControlView
/// @param fence of the lease under which the orders are sent
/// @param max_loads limit of load orders, because the weight store is
///        rate-limited; other orders do not count
/// @returns orders sorted by upstream, in sending order
std::vector<PlannedOrder> PlanOrders(
    const std::map<std::string, std::string>& items,
    const std::vector<UpstreamReport>& reports,
    uint64_t fence,
    size_t max_loads);

}  // namespace ring
