#pragma once

/// Control state: release notes, the ring description they add up to, leases
/// with fencing tokens, quarantined requests, lost domains.

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "persimmonring/core.h"
#include "persimmonring/log.h"

namespace ring {

/// An operator's change. The body is JSON text:
/// {"added": [item...], "changed": [item...], "withdrawn": [item...]}; an item
/// is {"kind": "model|adapter|service|team|limit", "name": "...", ...}. A
/// changed item replaces the former one completely. Fields of models and
/// adapters that PlanOrders uses: "version", "model" (of an adapter, required),
/// "role", "upstreams" (names; absent: all engines).
struct ReleaseNote {
  uint64_t number = 0;  ///< From 1; the next note has the next number.
  std::string operator_id;
  std::string body;

  auto operator<=>(const ReleaseNote&) const = default;
};

/// @returns SHA-256 over number, operator and the body in canonical JSON form
std::string DigestOf(const ReleaseNote& note);

/// Checks a note without applying it.
/// @returns bad_request with the path of the first mistake
Status CheckNote(const ReleaseNote& note);

struct NoteResult {
  uint64_t number = 0;
  uint64_t version = 0;  ///< Configuration version the note created.
  std::string digest;
  bool repeated = false;  ///< The same note had been accepted before.

  auto operator<=>(const NoteResult&) const = default;
};

/// Right to send orders to the upstreams of one domain. Each grant, also a
/// renewal, raises the fence: a restarted holder keeps its name, and orders of
/// its former life that are still on the way must not be accepted.
struct ReconcilerLease {
  std::string domain;
  std::string entry;
  uint64_t fence = 0;       ///< Fencing token; grows with each grant.
  int64_t duration_ms = 0;  ///< Counted by the holder from before it asked.

  auto operator<=>(const ReconcilerLease&) const = default;
};

/// Configuration as nodes use it. A node never replaces it by a lower version.
struct ControlView {
  uint64_t version = 0;      ///< Number of accepted notes.
  uint64_t note_number = 0;  ///< Number of the latest note.
  std::string note_digest;
  /// 0: `items` is the whole description. Else `items` and `withdrawn` are what
  /// changed since this version.
  uint64_t base_version = 0;
  std::map<std::string, std::string> items;  ///< "kind/name" to JSON text.
  std::vector<std::string> withdrawn;        ///< Keys; only in changes.
  /// Grows with each change of the two lists below.
  uint64_t quarantine_version = 0;
  /// Digests of refused requests, oldest first, at most kMaxQuarantined.
  std::vector<std::string> quarantined;
  std::vector<std::string> lost_domains;

  auto operator<=>(const ControlView&) const = default;
};

/// Most quarantined digests; a further one drops the oldest. A digest enters
/// only after two crashes, so a full list means a fault that needs an operator,
/// and the bound keeps the view that each node holds under 70 KB.
constexpr size_t kMaxQuarantined = 1'024;

/// Version that a node last reported.
struct NodeVersion {
  std::string node;
  uint64_t version = 0;
  int64_t age_ms = 0;  ///< Since the report.

  auto operator<=>(const NodeVersion&) const = default;
};

/// Control state of a ring. Calls wait for the log and are thread-safe.
class ControlStoreI {
 public:
  virtual ~ControlStoreI() = default;
  /// @returns conflict (message holds the accepted digest) for an equal number
  ///          with another digest, stale_number for a lower number,
  ///          sequence_gap for a number that leaves a gap, no_quorum with
  ///          unknown run state: send the same note again
  virtual Outcome<NoteResult> ApplyNote(const ReleaseNote& note) = 0;
  /// @param node reports the version it has in force
  /// @returns the view, which is empty (version 0) if nothing changed since
  virtual Outcome<ControlView> Poll(const std::string& node,
                                    uint64_t have_version,
                                    uint64_t have_quarantine) = 0;
  /// @returns conflict if another entry holds an unexpired lease
  virtual Outcome<ReconcilerLease> AcquireLease(const std::string& domain,
                                                const std::string& entry,
                                                int64_t duration_ms) = 0;
  virtual Status Quarantine(const std::string& digest,
                            const std::string& reason) = 0;
  virtual Status DeclareDomainLost(const std::string& domain,
                                   const std::string& operator_id) = 0;
  virtual Outcome<std::vector<NodeVersion>> NodeVersions() = 0;
};

/// Brings a whole view up to date with a poll's answer, which may be whole or
/// only the changes. Versions never go back.
/// @returns false if there was nothing newer, or if changes do not fit the view
bool MergeControlView(ControlView& view, const ControlView& news);

std::unique_ptr<StateMachineI> CreateControlMachine();

/// Encoded commands and queries of the control state machine.
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

std::unique_ptr<ControlStoreI> CreateLocalControlStore(const ClockI& clock);

// ------------------------------------------------------------- reconciler plan

/// What an engine reports: {"models": [{"name", "version"}...], "adapters":
/// [{"name", "model", "version"}...], "role": "..."}. Instead of objects, a
/// list may hold names, whose version is then taken as right, and "models" and
/// "adapters" may be objects of names and versions.
struct UpstreamReport {
  std::string upstream;
  std::string state;  ///< JSON text of GET /v1/state.

  auto operator<=>(const UpstreamReport&) const = default;
};

/// An order to an upstream that brings it closer to the ring description.
struct PlannedOrder {
  std::string upstream;
  uint64_t fence = 0;
  /// "unload" (of the model or of the adapter), "load_model", "load_adapter",
  /// "set_role"
  std::string action;
  std::string model;
  std::string version;
  std::string adapter;
  std::string role;

  auto operator<=>(const PlannedOrder&) const = default;
};

/// Compares the ring description with what engines report. Deterministic; safe
/// to send again, because an order that was carried out is not planned again.
/// Nothing is unloaded while the description names no model, and an engine
/// whose report cannot be read gets no orders.
/// @param items of ControlView
/// @param fence of the lease under which the orders are sent
/// @param load_tokens most load orders, because the weight store is
///        rate-limited; the other orders need none
/// @returns orders sorted by upstream, in the order in which to send them
std::vector<PlannedOrder> PlanOrders(
    const std::map<std::string, std::string>& items,
    const std::vector<UpstreamReport>& reports,
    uint64_t fence,
    size_t load_tokens);

}  // namespace ring
