#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "entry_call_p.h"

namespace ring::entry {

/// What this entry has in flight on each upstream, and rates estimated from
/// completed calls. Thread-safe.
class UpstreamTable {
 public:
  explicit UpstreamTable(const EntryInit& init);

  /// Counts a call as in flight. `alone` keeps all other work away until End.
  void Start(const UpstreamId& id, const CallPtr& call, bool alone);
  void OnFirstToken(const UpstreamId& id, uint64_t ticket);
  void End(const UpstreamId& id, uint64_t ticket);
  /// Takes rates from a complete model call.
  void OnResult(const UpstreamId& id, const EngineResult& result);
  /// Marks all calls in flight on a crashed upstream as suspects.
  /// @returns number of calls newly marked
  int MarkSuspects(const UpstreamId& id);

  /// Keeps an upstream free of new work until a suspect has run alone on it.
  void Reserve(const UpstreamId& id, uint64_t ticket);
  void Unreserve(const UpstreamId& id, uint64_t ticket);
  /// @returns true if a suspect runs alone on it or waits for it
  bool reserved(const UpstreamId& id) const;
  int in_flight(const UpstreamId& id) const;
  int total_in_flight() const;

  /// Fills the fields that this entry knows.
  void Describe(const UpstreamRecord& record,
                int64_t now_ms,
                UpstreamView& view) const;
  /// Forgets lives of upstreams that are not in the list and have no calls.
  void Keep(const std::vector<UpstreamRecord>& records);

 private:
  struct Running {
    CallPtr call;
    bool waits_for_first_token = true;
  };
  struct Life {
    std::map<uint64_t, Running> running;  ///< By ticket.
    uint64_t reserved_for = 0;            ///< Ticket of a suspect.
    double prefill_tokens_per_ms = 8;
    double decode_ms_per_token = 20;
  };

  const EntryInit& init_;
  mutable std::mutex mutex_;
  std::map<UpstreamId, Life> lives_;
};

/// Running mean of the output of model calls and of calls per program, for
/// expectations of the policy. Thread-safe.
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
