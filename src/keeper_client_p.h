#pragma once

/// Calls of KeeperClient that wait for replies.

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

/// Decoded reply of a keeper to one attempt.
struct DecodedReply {
  bool ok = false;
  Refusal refusal;      ///< Set unless ok.
  std::string leader;   ///< Node believed to lead the group; may be empty.
  std::string payload;  ///< Encoded result.
  SessionHandle session;
  std::string node;  ///< Keeper that replied.
};

/// Result of the wait for an attempt. Without a reply, either the session was
/// closed and the request may have been handled, or the wait timed out; a later
/// successful reply to the attempt then still completes the call.
struct AttemptResult {
  std::optional<DecodedReply> reply;
  bool session_closed = false;
};

/// A call in progress, shared by all its attempts, so that a late successful
/// reply to an earlier attempt completes the call.
struct PendingCall {
  std::condition_variable changed;
  /// Attempts without a reply: correlation id to session.
  std::map<uint64_t, SessionHandle> attempts;
  uint64_t latest_correlation = 0;  ///< Correlation id of the latest attempt.
  /// A successful reply to any attempt, else the latest attempt's refusal.
  std::optional<DecodedReply> reply;
  /// The session of the latest attempt was closed.
  bool latest_session_closed = false;
  /// An attempt was refused, but its command may still be applied.
  bool has_unknown_outcome = false;
};

/// Matches replies with calls by correlation id. Thread-safe.
class PendingCalls {
 public:
  /// Registers a new attempt of a call.
  /// @returns its correlation id
  uint64_t AddAttempt(PendingCall& call, SessionHandle session);
  /// Unregisters an attempt that could not be sent.
  void RemoveAttempt(PendingCall& call, uint64_t correlation);
  /// Waits until the call has a reply, the session of the latest attempt is
  /// closed or the timeout has passed.
  /// @param timeout_ms longest wait, ms; 0 does not wait
  AttemptResult Wait(PendingCall& call, int64_t timeout_ms);
  /// @returns true if the command of any attempt may still be applied
  bool MayTakeEffect(const PendingCall& call);
  /// Unregisters the call; later replies to it are dropped.
  void Remove(PendingCall& call);

  /// Passes a reply to its call.
  /// @returns false if no call waits for this reply on this session
  bool Deliver(uint64_t correlation, DecodedReply reply);
  /// Wakes the calls whose latest attempt used the session.
  void CloseSession(SessionHandle session);

 private:
  std::mutex mutex_;
  uint64_t next_correlation_ = 1;
  std::map<uint64_t, PendingCall*> calls_;
};

/// Decodes a KeeperReply of schema/keeper.fbs; session and node stay empty.
/// @returns nullopt if the bytes cannot be decoded
std::optional<DecodedReply> DecodeKeeperReply(std::string_view payload);
/// @param op operation, a KeeperOp of schema/keeper.fbs
std::string EncodeKeeperRequest(uint8_t op, std::string_view payload);

}  // namespace ring
