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
  call.current = correlation;
  if (call.answer && !call.answer->ok) {
    call.answer.reset();
  }
  call.current_closed = false;
  calls_[correlation] = &call;
  return correlation;
}

void PendingCalls::DropAttempt(PendingCall& call, uint64_t correlation) {
  std::lock_guard lock(mutex_);
  call.attempts.erase(correlation);
  calls_.erase(correlation);
}

bool PendingCalls::MayTakeEffect(const PendingCall& call) {
  std::lock_guard lock(mutex_);
  return call.answered_unknown || !call.attempts.empty();
}

AttemptEnd PendingCalls::Wait(PendingCall& call, int64_t timeout_ms) {
  std::unique_lock lock(mutex_);
  call.changed.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                        [&call] { return call.answer || call.current_closed; });
  return {std::exchange(call.answer, std::nullopt), call.current_closed};
}

void PendingCalls::Remove(PendingCall& call) {
  std::lock_guard lock(mutex_);
  for (const auto& [correlation, session] : call.attempts) {
    calls_.erase(correlation);
  }
  call.attempts.clear();
}

bool PendingCalls::Deliver(uint64_t correlation, KeeperAnswer answer) {
  std::lock_guard lock(mutex_);
  const auto it = calls_.find(correlation);
  if (it == calls_.end()) {
    return false;
  }
  PendingCall& call = *it->second;
  const auto attempt = call.attempts.find(correlation);
  if (attempt->second != answer.session) {
    return false;
  }
  const bool current = correlation == call.current;
  if (!answer.ok && answer.refusal.run_state != RunState::kNotRun) {
    call.answered_unknown = true;
  }
  call.attempts.erase(attempt);
  calls_.erase(it);
  // The refusal of an earlier attempt says nothing about the latest one.
  const bool succeeded = call.answer && call.answer->ok;
  if (answer.ok || (current && !succeeded)) {
    call.answer = std::move(answer);
    call.changed.notify_all();
  }
  return true;
}

void PendingCalls::CloseSession(SessionHandle session) {
  std::lock_guard lock(mutex_);
  for (const auto& [correlation, call] : calls_) {
    if (correlation == call->current &&
        call->attempts[correlation] == session) {
      call->current_closed = true;
      call->changed.notify_all();
    }
  }
}

std::optional<KeeperAnswer> DecodeKeeperAnswer(std::string_view payload) {
  const FlatBufferView<fb::KeeperReply> reply(payload);
  if (!reply || reply->run_state() > static_cast<uint8_t>(RunState::kUnknown)) {
    return std::nullopt;
  }
  KeeperAnswer answer;
  answer.ok = reply->ok();
  if (!answer.ok) {
    answer.refusal = {
        ReasonFromString(TextOf(reply->reason())).value_or(Reason::kInternal),
        static_cast<RunState>(reply->run_state()),
        std::string(TextOf(reply->message()))};
  }
  answer.leader = TextOf(reply->leader());
  if (reply->payload() != nullptr) {
    answer.payload.assign(
        reinterpret_cast<const char*>(reply->payload()->data()),
        reply->payload()->size());
  }
  return answer;
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
