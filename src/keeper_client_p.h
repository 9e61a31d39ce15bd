#pragma once

/// Requests of KeeperClient that wait for answers.

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "persimmonring/keeper.h"

namespace ring {

/// Answer of a keeper to one attempt.
struct KeeperAnswer {
  bool ok = false;
  Refusal refusal;
  std::string leader;  ///< Node believed to lead; empty if unknown.
  std::string payload;
  SessionHandle session;
  std::string node;  ///< That answered.
};

/// How the wait for an attempt ended. Without an answer, either the session
/// was closed and the request may have been handled, or time was up; a later
/// answer then still counts for the call.
struct AttemptEnd {
  std::optional<KeeperAnswer> answer;
  bool closed = false;
};

/// A call that waits. All its attempts share it, so that the late answer of an
/// earlier attempt ends the call, too.
struct PendingCall {
  std::condition_variable changed;
  /// Attempts without an answer, by correlation.
  std::map<uint64_t, SessionHandle> attempts;
  uint64_t current = 0;                ///< Latest attempt.
  std::optional<KeeperAnswer> answer;  ///< Of the latest attempt, or ok.
  bool current_closed = false;
  /// An attempt was answered with an unknown run state.
  bool answered_unknown = false;
};

/// Pairs answers with calls. Thread-safe.
class PendingCalls {
 public:
  /// Registers a new attempt of a call.
  /// @returns its correlation
  uint64_t AddAttempt(PendingCall& call, SessionHandle session);
  /// Takes back an attempt that was never handed to a session.
  void DropAttempt(PendingCall& call, uint64_t correlation);
  /// Waits until the latest attempt is answered, its session is closed or the
  /// time is over.
  /// @param timeout_ms longest wait, milliseconds; 0 takes what has come
  AttemptEnd Wait(PendingCall& call, int64_t timeout_ms);
  /// @returns true if an attempt may still take effect
  bool MayTakeEffect(const PendingCall& call);
  /// Forgets the call; answers that come later are dropped.
  void Remove(PendingCall& call);

  /// @returns false if no call waits for the answer on this session
  bool Deliver(uint64_t correlation, KeeperAnswer answer);
  void CloseSession(SessionHandle session);

 private:
  std::mutex mutex_;
  uint64_t next_correlation_ = 1;
  std::map<uint64_t, PendingCall*> calls_;
};

/// @returns the answer, or nullopt if the bytes cannot be decoded
std::optional<KeeperAnswer> DecodeKeeperAnswer(std::string_view payload);
std::string EncodeKeeperRequest(uint8_t op, std::string_view payload);

}  // namespace ring
