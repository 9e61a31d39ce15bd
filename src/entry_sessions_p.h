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

/// Session of a program that this entry owns or is acquiring. Members are
/// guarded by `mutex`, which is also held while ownership is acquired, except
/// for the atomic root_key and last_used_ms, which the session table guards.
class Session {
 public:
  std::mutex mutex;
  std::condition_variable changed;
  ProgramState state;
  bool owned = false;
  CallPtr active;  ///< The call in progress, at most one.
  /// Outcome that could not be committed because the domain had no quorum. Must
  /// be committed before the next call.
  std::optional<FinishCall> uncommitted_finish;
  CallPtr uncommitted_call;
  /// Attempts that were never sent but whose begin may have been committed.
  /// Must be aborted before the next call.
  std::vector<AbortCall> unsent_attempts;
  std::map<UpstreamId, int64_t> cached;  ///< Cached prompt tokens by engine.
  int64_t used_upstream_ms = 0;
  /// Checksum of the id of the program at the root of this one's ancestors.
  std::atomic<uint64_t> root_key{0};
  int64_t start_ms = 0;     ///< Monotonic.
  int64_t deadline_ms = 0;  ///< Monotonic.
  int64_t last_used_ms = 0;

  const CallRecord* FindRecord(uint64_t sequence) const;
  const CallRecord* FindKey(const std::string& idempotency_key) const;
  /// Applies a committed outcome to `state`.
  void ApplyFinish(const FinishCall& finish, const Call& call);
};
using SessionPtr = std::shared_ptr<Session>;

/// Circuit breaker for domains without quorum: after a failure, lets one probe
/// per retry_ms pass and refuses all other requests at once.
class QuorumBreaker {
 public:
  QuorumBreaker(const ClockI& clock, int64_t retry_ms);
  /// @returns no_quorum if a request must be refused
  Status Check(const std::string& domain);
  /// Records the result of a store request. Any reason but kNoQuorum shows that
  /// the domain has a quorum.
  void Report(const std::string& domain, Reason reason);

 private:
  const ClockI& clock_;
  const int64_t retry_ms_;
  std::mutex mutex_;
  std::map<std::string, int64_t> failed_at_ms_;
};

/// The other entry that owns a program.
struct RemoteOwner {
  std::string entry;
};

/// Sessions of this entry. Thread-safe.
class SessionTable {
 public:
  SessionTable(const EntryInit& init, const EntryDependencies& deps);

  /// Adds the session of a program that this entry has just opened.
  void Add(const ProgramState& state);
  /// Finds the owner of a program and acquires the program if it has none.
  /// @param take_over acquires the program even if another entry owns it
  /// @returns the session if this entry owns the program, else its owner
  Outcome<std::variant<SessionPtr, RemoteOwner>> Find(const ProgramId& id,
                                                      bool take_over);
  SessionPtr FindCached(const ProgramId& id) const;
  /// Removes a session, so that the next call reads the state from the program
  /// store.
  void Drop(const ProgramId& id);
  /// Removes sessions that were not used for `idle_ms` and have no pending
  /// work.
  void Evict(int64_t idle_ms);

  size_t size() const;
  QuorumBreaker& breaker() { return breaker_; }

 private:
  SessionPtr GetOrCreate(const ProgramId& id);
  Status Acquire(const ProgramId& id, Session& session);
  void Fill(Session& session, const ProgramState& state);
  uint64_t RootKeyOf(const ProgramState& state) const;
  static std::map<UpstreamId, int64_t> EstimateCached(
      const ProgramState& state);

  const EntryInit& init_;
  const EntryDependencies& deps_;
  QuorumBreaker breaker_;
  mutable std::mutex mutex_;
  std::map<std::string, SessionPtr> sessions_;
};

}  // namespace ring::entry
