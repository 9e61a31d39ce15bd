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
/// is {"kind": "model|adapter|service|team|limit", "name": "...", ...}.
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

/// Right to send orders to the upstreams of one domain.
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
  std::map<std::string, std::string> items;  ///< "kind/name" to JSON text.
  uint64_t quarantine_version = 0;
  std::vector<std::string> quarantined;  ///< Digests of refused requests.
  std::vector<std::string> lost_domains;

  auto operator<=>(const ControlView&) const = default;
};

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

}  // namespace ring
