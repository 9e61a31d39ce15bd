#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "entry_call_p.h"

namespace ring::entry {

/// A program that this entry owns, or is about to own. All members are guarded
/// by `mutex`, which is held while ownership is taken.
class Session {
 public:
  std::mutex mutex;
  std::condition_variable changed;
  ProgramState state;
  bool owned = false;
  CallPtr active;  ///< The one call under way.
  /// Outcome that could not be committed for lack of a quorum; committed before
  /// the next call.
  std::optional<FinishCall> uncommitted;
  CallPtr uncommitted_call;
  /// Attempts that were never sent although their begin may have committed;
  /// aborted before the next call.
  std::vector<AbortCall> unsent;
  std::map<UpstreamId, int64_t> cached;  ///< Prefix tokens by engine.
  int64_t attained_service_ms = 0;
  std::atomic<uint64_t> root_key{0};
  int64_t start_ms = 0;     ///< Monotonic.
  int64_t deadline_ms = 0;  ///< Monotonic.
  int64_t last_used_ms = 0;

  const CallRecord* FindRecord(uint64_t sequence) const;
  const CallRecord* FindKey(const std::string& idempotency_key) const;
  /// Takes over what a committed outcome changed.
  void ApplyFinish(const FinishCall& finish, const Call& call);
};
using SessionPtr = std::shared_ptr<Session>;

/// Refuses calls of domains without quorum at once, between probes.
class QuorumGate {
 public:
  QuorumGate(const ClockI& clock, int64_t retry_ms);
  /// @returns no_quorum while the last probe failed recently
  Status Check(const std::string& domain);
  void Report(const std::string& domain, Reason reason);

 private:
  const ClockI& clock_;
  const int64_t retry_ms_;
  std::mutex mutex_;
  std::map<std::string, int64_t> failed_at_ms_;
};

/// Another entry that owns a program.
struct RemoteOwner {
  std::string entry;
};

/// Sessions of this entry. Thread-safe.
class SessionTable {
 public:
  SessionTable(const EntryInit& init, const EntryParts& parts);

  /// Caches a program that this entry has just opened.
  void Add(const ProgramState& state);
  /// Finds who owns a program.
  /// @param take acquire the program even if another entry owns it
  /// @returns the owned session, or the other entry
  Outcome<std::variant<SessionPtr, RemoteOwner>> Find(const ProgramId& id,
                                                      bool take);
  SessionPtr FindCached(const ProgramId& id) const;
  /// Forgets a session, so that the next call reads the group's state.
  void Drop(const ProgramId& id);
  /// Drops ended sessions and those unused for `idle_ms`.
  void Evict(int64_t idle_ms);

  size_t size() const;
  QuorumGate& gate() { return gate_; }

 private:
  SessionPtr GetOrCreate(const ProgramId& id);
  Status Acquire(const ProgramId& id, Session& session);
  void Fill(Session& session, const ProgramState& state);
  uint64_t RootKeyOf(const ProgramState& state) const;
  static std::map<UpstreamId, int64_t> CachedAfter(const ProgramState& state);

  const EntryInit& init_;
  const EntryParts& parts_;
  QuorumGate gate_;
  mutable std::mutex mutex_;
  std::map<std::string, SessionPtr> sessions_;
};

}  // namespace ring::entry
