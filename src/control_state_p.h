#pragma once

/// State machine of the control group.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "control.generated.h"
#include "persimmonring/control.h"

namespace ring {

class ControlMachine final : public StateMachineI {
 public:
  std::string Apply(uint64_t index,
                    int64_t time_ms,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::string Save() const override;
  Status Load(std::string_view snapshot) override;

 private:
  struct Lease {
    std::string entry;
    uint64_t fence = 0;
    int64_t expires_wall_ms = 0;
  };
  struct Quarantined {
    std::string digest;
    std::string reason;
  };

  Outcome<NoteResult> ApplyNote(const fb::ControlNote& command);
  /// @returns the result of an accepted note, or conflict or stale_number if
  ///          another note was accepted under the number
  Outcome<NoteResult> CompareWithAccepted(const ReleaseNote& note,
                                          const std::string& digest) const;
  Outcome<ReconcilerLease> GrantLease(const fb::ControlLease& command);
  Status AddQuarantine(const fb::ControlQuarantine& command);
  Status MarkDomainLost(const fb::ControlDomainLost& command);
  ControlView CurrentView() const;
  /// @returns the changes, or the complete view if `have_version` is too old
  ControlView ViewSince(uint64_t have_version, uint64_t have_quarantine) const;
  /// @returns false if the snapshot is inconsistent
  bool ReadSnapshot(const fb::ControlSnapshotT& snapshot);
  /// @returns the number of accepted notes
  uint64_t version() const;
  /// @returns the hex digest of an accepted note
  std::string DigestOfNote(uint64_t number) const;

  int64_t now_ms_ = 0;  ///< Time of the command being applied.
  /// Raw SHA-256 digests (32 bytes) of all accepted notes, in order, so that a
  /// repeated note of any age gets its original result. 5,100 notes a day take
  /// 163 KB.
  std::string note_digests_;
  std::map<std::string, std::string> items_;  ///< "kind/name" to JSON text.
  /// Keys changed by each of the latest notes, newest last. Not part of the
  /// snapshot: after loading one, a replica returns complete views.
  std::deque<std::set<std::string>> changed_keys_;
  std::map<std::string, Lease> leases_;
  uint64_t next_fence_ = 1;
  uint64_t quarantine_version_ = 0;
  std::deque<Quarantined> quarantined_;
  std::set<std::string> lost_domains_;
};

}  // namespace ring
