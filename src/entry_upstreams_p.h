#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "entry_call_p.h"

namespace ring::entry {

/// Calls that this entry has in flight on each upstream, and the prefill and
/// decode rates estimated from completed calls. Thread-safe.
class UpstreamTable {
 public:
  explicit UpstreamTable(const EntryInit& init);

  /// Counts a call as in flight.
  /// @param alone reserves the upstream for this call until End
  void Start(const UpstreamId& id, const CallPtr& call, bool alone);
  void OnFirstToken(const UpstreamId& id, uint64_t ticket);
  void End(const UpstreamId& id, uint64_t ticket);
  /// Updates the rates from a completed model call.
  void OnResult(const UpstreamId& id, const EngineResult& result);
  /// Marks all calls in flight on a crashed upstream as suspects, because any
  /// of them may have crashed it.
  /// @returns number of calls that were not suspects before
  int MarkSuspects(const UpstreamId& id);

  /// Reserves an upstream for a suspect, which must run without other calls.
  /// Has no effect if it is already reserved.
  void Reserve(const UpstreamId& id, uint64_t ticket);
  void Unreserve(const UpstreamId& id, uint64_t ticket);
  /// @returns true if a suspect runs on the upstream or waits for it
  bool reserved(const UpstreamId& id) const;
  int in_flight(const UpstreamId& id) const;
  int total_in_flight() const;

  /// Fills the fields of `view` that this entry knows.
  void Describe(const UpstreamRecord& record,
                int64_t now_ms,
                UpstreamView& view) const;
  /// Removes upstream incarnations that are not in the list and have no calls.
  void RemoveMissing(const std::vector<UpstreamRecord>& records);

 private:
  struct Running {
    CallPtr call;
    bool waits_for_first_token = true;
  };
  struct IncarnationState {
    std::map<uint64_t, Running> running;  ///< By ticket.
    uint64_t reserved_for = 0;            ///< Ticket of a suspect, or 0.
    double prefill_tokens_per_ms = 8;
    double decode_ms_per_token = 20;
  };

  const EntryInit& init_;
  mutable std::mutex mutex_;
  std::map<UpstreamId, IncarnationState> incarnations_;
};

/// Moving averages of output tokens per model call and of calls per program,
/// from which the policy gets its expectations. Thread-safe.
class CallStatistics {
 public:
  void OnOutput(int64_t tokens);
  void OnProgramEnd(uint64_t calls);
  int64_t ExpectedOutput(int64_t max_tokens) const;
  int64_t ExpectedRemaining(uint64_t calls_so_far) const;

 private:
  mutable std::mutex mutex_;
  double output_tokens_ = 200;
  double calls_per_program_ = 4;
};

}  // namespace ring::entry
