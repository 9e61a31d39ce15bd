#include <algorithm>
#include <chrono>
#include <utility>

#include "core_flatbuffer_p.h"
#include "keeper.generated.h"
#include "keeper_client_p.h"

namespace ring {

uint64_t PendingCalls::AddAttempt(PendingCall& call, SessionHandle session) {
  std::lock_guard lock(mutex_);
  const uint64_t correlation = next_correlation_++;
  call.attempts[correlation] = session;
  call.latest_correlation = correlation;
  if (call.reply && !call.reply->ok) {
    call.reply.reset();
  }
  call.latest_session_closed = false;
  calls_[correlation] = &call;
  return correlation;
}

void PendingCalls::RemoveAttempt(PendingCall& call, uint64_t correlation) {
  std::lock_guard lock(mutex_);
  call.attempts.erase(correlation);
  calls_.erase(correlation);
}

bool PendingCalls::MayTakeEffect(const PendingCall& call) {
  std::lock_guard lock(mutex_);
  return call.has_unknown_outcome || !call.attempts.empty();
}

AttemptResult PendingCalls::Wait(PendingCall& call, int64_t timeout_ms) {
  std::unique_lock lock(mutex_);
  call.changed.wait_for(lock, std::chrono::milliseconds(timeout_ms), [&call] {
    return call.reply || call.latest_session_closed;
  });
  return {std::exchange(call.reply, std::nullopt), call.latest_session_closed};
}

void PendingCalls::Remove(PendingCall& call) {
  std::lock_guard lock(mutex_);
  for (const auto& [correlation, session] : call.attempts) {
    calls_.erase(correlation);
  }
  call.attempts.clear();
}

bool PendingCalls::Deliver(uint64_t correlation, DecodedReply reply) {
  std::lock_guard lock(mutex_);
  const auto it = calls_.find(correlation);
  if (it == calls_.end()) {
    return false;
  }
  PendingCall& call = *it->second;
  const auto attempt = call.attempts.find(correlation);
  if (attempt->second != reply.session) {
    return false;
  }
  const bool is_latest = correlation == call.latest_correlation;
  if (!reply.ok && reply.refusal.run_state != RunState::kNotRun) {
    call.has_unknown_outcome = true;
  }
  call.attempts.erase(attempt);
  calls_.erase(it);
  // A refusal of an earlier attempt does not end the latest one.
  const bool succeeded = call.reply && call.reply->ok;
  if (reply.ok || (is_latest && !succeeded)) {
    call.reply = std::move(reply);
    call.changed.notify_all();
  }
  return true;
}

void PendingCalls::CloseSession(SessionHandle session) {
  std::lock_guard lock(mutex_);
  for (const auto& [correlation, call] : calls_) {
    if (correlation == call->latest_correlation &&
        call->attempts[correlation] == session) {
      call->latest_session_closed = true;
      call->changed.notify_all();
    }
  }
}

std::optional<DecodedReply> DecodeKeeperReply(std::string_view payload) {
  const FlatBufferView<fb::KeeperReply> encoded(payload);
  if (!encoded ||
      encoded->run_state() > static_cast<uint8_t>(RunState::kUnknown)) {
    return std::nullopt;
  }
  DecodedReply reply;
  reply.ok = encoded->ok();
  if (!reply.ok) {
    reply.refusal = {
        ReasonFromString(TextOf(encoded->reason())).value_or(Reason::kInternal),
        static_cast<RunState>(encoded->run_state()),
        std::string(TextOf(encoded->message()))};
  }
  reply.leader = TextOf(encoded->leader());
  if (encoded->payload() != nullptr) {
    reply.payload.assign(
        reinterpret_cast<const char*>(encoded->payload()->data()),
        encoded->payload()->size());
  }
  return reply;
}

std::string EncodeKeeperRequest(uint8_t op, std::string_view payload) {
  flatbuffers::FlatBufferBuilder builder(payload.size() + 64);
  const auto bytes = builder.CreateVector(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size());
  builder.Finish(
      fb::CreateKeeperRequest(builder, static_cast<fb::KeeperOp>(op), bytes));
  return BufferToString(builder);
}

}  // namespace ring
