// Forwarding, on the entry that received the call from the caller.

#include <thread>

#include "entry_forward_p.h"
#include "forward.generated.h"

namespace ring::entry {
namespace {

constexpr size_t kMaxJobs = 4'096;

std::string Pack(flatbuffers::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string Encode(const RawCall& raw) {
  fb::ForwardCallT table;
  table.path = raw.path;
  table.authorization = raw.authorization;
  table.sequence = raw.sequence;
  table.idempotency_key = raw.idempotency_key;
  table.deadline_ms = raw.deadline_ms;
  table.messages_mode = raw.messages_mode;
  table.content_type = raw.content_type;
  table.body.assign(raw.body.begin(), raw.body.end());
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::ForwardCall::Pack(builder, &table));
  return Pack(builder);
}

std::string TextOf(const flatbuffers::Vector<uint8_t>* bytes) {
  return bytes == nullptr ? "" : std::string(bytes->begin(), bytes->end());
}

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? "" : text->str();
}

template <typename Table>
const Table* Verify(const std::string& payload) {
  flatbuffers::Verifier verifier(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size());
  return verifier.VerifyBuffer<Table>()
             ? flatbuffers::GetRoot<Table>(payload.data())
             : nullptr;
}

FinalAnswer Decode(const fb::ForwardEnd& end) {
  FinalAnswer final;
  final.http_status = end.http_status();
  final.content_type = TextOf(end.content_type());
  final.body = TextOf(end.body());
  final.finish_reason = TextOf(end.finish_reason());
  final.tool_calls = TextOf(end.tool_calls());
  final.usage = TextOf(end.usage());
  final.refusal.reason =
      ReasonFromString(TextOf(end.reason())).value_or(Reason::kInternal);
  final.refusal.run_state =
      static_cast<RunState>(std::min<uint8_t>(end.run_state(), 2));
  final.refusal.message = TextOf(end.message());
  final.refusal.retry_after_ms = end.retry_after_ms();
  return final;
}

}  // namespace

Forwarder::Forwarder(const EntryInit& init,
                     const EntryDependencies& deps,
                     CallService& calls)
    : init_(init),
      deps_(deps),
      calls_(calls),
      jobs_(kMaxJobs),
      relay_wake_(1) {}

void Forwarder::Attach(HubI& hub) {
  hub_ = &hub;
}

// Sessions are opened on demand. A permanent one to every other entry would
// exceed a node's budget for control traffic by its pings alone.
SessionHandle Forwarder::ConnectToEntry(const std::string& owner) const {
  constexpr int64_t kConnectWaitMs = 500;
  constexpr int64_t kSliceMs = 5;
  if (hub_ == nullptr) {
    return {};
  }
  SessionHandle session = hub_->FindByNode(owner);
  const auto directory = deps_.directory->View();
  for (const EntryRecord& entry : directory->entries) {
    if (IsValid(session) || entry.name != owner ||
        entry.state == MemberState::kDown) {
      continue;
    }
    hub_->Connect(entry.wire);
    const int64_t end_ms = deps_.clock->NowMs() + kConnectWaitMs;
    while (!IsValid(session) && deps_.clock->NowMs() < end_ms) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kSliceMs));
      session = hub_->FindByNode(owner);
    }
  }
  return session;
}

Outcome<std::shared_ptr<AnswerStream>> Forwarder::Run(
    const RawCall& raw,
    const CallRequest& request) {
  auto submitted = calls_.Submit(request, {});
  if (submitted && submitted->remote) {
    if (auto answer = ForwardToOwner(raw, request, submitted->remote->entry)) {
      return answer;
    }
    // No session to the owner could be opened: take over the program.
    submitted = calls_.Submit(request, {true, ""});
  }
  if (!submitted) {
    return submitted.refusal();
  }
  const CallPtr call = submitted->call;
  std::shared_ptr<AnswerStream> answer(call, &call->answer);
  std::lock_guard lock(mutex_);
  std::erase_if(local_calls_, [](const auto& item) {
    return item.second->answer.finished();
  });
  if (!call->answer.finished()) {
    call->no_reader_since_ms.store(0);
    local_calls_[answer.get()] = call;
  }
  return answer;
}

std::shared_ptr<AnswerStream> Forwarder::ForwardToOwner(
    const RawCall& raw,
    const CallRequest& request,
    const std::string& owner) {
  const SessionHandle session = ConnectToEntry(owner);
  if (!IsValid(session)) {
    return nullptr;
  }
  auto answer = std::make_shared<AnswerStream>();
  Frame frame;
  frame.kind = FrameKind::ForwardCall;
  frame.payload = Encode(raw);
  {
    std::lock_guard lock(mutex_);
    frame.correlation = next_correlation_++;
    outbound_[{session, frame.correlation}] = {session, raw, request, answer};
  }
  if (!hub_->Send(session, frame)) {
    std::lock_guard lock(mutex_);
    // If the map has no such call, OnClosed has already taken it over.
    return outbound_.erase({session, frame.correlation}) > 0 ? nullptr : answer;
  }
  metrics::Count("ring_forwarded_calls_total", {{"direction", "out"}});
  return answer;
}

void Forwarder::OnReaderGone(const std::shared_ptr<AnswerStream>& answer) {
  if (answer->readers() > 0 || answer->finished()) {
    return;
  }
  std::unique_lock lock(mutex_);
  const auto local = local_calls_.find(answer.get());
  if (local != local_calls_.end()) {
    const CallPtr call = local->second;
    call->no_reader_since_ms.store(deps_.clock->NowMs());
    // The answer of a call without program cannot be requested again.
    if (!call->session) {
      call->cancel.Cancel();
    }
    return;
  }
  for (auto it = outbound_.begin(); it != outbound_.end(); ++it) {
    if (it->second.answer != answer) {
      continue;
    }
    const Key key = it->first;
    outbound_.erase(it);
    lock.unlock();
    fb::CancelForwardT table;
    table.gone = true;
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::CancelForward::Pack(builder, &table));
    hub_->Send(key.first,
               {FrameKind::CancelForward, "", key.second, Pack(builder)});
    return;
  }
}

size_t Forwarder::active_calls() const {
  std::lock_guard lock(mutex_);
  return outbound_.size() + inbound_.size() + takeovers_.load();
}

void Forwarder::OnFrame(SessionHandle session, const Frame& frame) {
  switch (frame.kind) {
    case FrameKind::ForwardCall:
      OnCall(session, frame);
      break;
    case FrameKind::ForwardChunk:
      OnChunk(session, frame);
      break;
    case FrameKind::ForwardEnd:
      OnEnd(session, frame);
      break;
    case FrameKind::CancelForward:
      OnCancel(session, frame);
      break;
    default:
      break;
  }
}

void Forwarder::OnChunk(SessionHandle session, const Frame& frame) {
  const auto* chunk = Verify<fb::ForwardChunk>(frame.payload);
  std::shared_ptr<AnswerStream> answer;
  {
    std::lock_guard lock(mutex_);
    const auto found = outbound_.find({session, frame.correlation});
    if (chunk == nullptr || found == outbound_.end()) {
      return;
    }
    answer = found->second.answer;
  }
  // Sessions deliver frames once and in order. The check is cheap and keeps a
  // fault there from corrupting the answer.
  if (answer->text().size() == chunk->offset()) {
    answer->Append(TextOf(chunk->text()));
  }
}

void Forwarder::OnEnd(SessionHandle session, const Frame& frame) {
  const auto* end = Verify<fb::ForwardEnd>(frame.payload);
  OutboundCall outbound;
  {
    std::lock_guard lock(mutex_);
    const auto found = outbound_.find({session, frame.correlation});
    if (end == nullptr || found == outbound_.end()) {
      return;
    }
    outbound = std::move(found->second);
    outbound_.erase(found);
  }
  FinalAnswer final = Decode(*end);
  if (final.refusal.reason == Reason::kDraining &&
      final.refusal.run_state == RunState::kNotRun) {
    TakeOver(std::move(outbound), true);  // The owner drains.
    return;
  }
  outbound.answer->Finish(std::move(final));
}

void Forwarder::OnClosed(SessionHandle session) {
  std::vector<OutboundCall> lost;
  {
    std::lock_guard lock(mutex_);
    for (auto it = outbound_.begin(); it != outbound_.end();) {
      if (it->first.first == session) {
        lost.push_back(std::move(it->second));
        it = outbound_.erase(it);
      } else {
        ++it;
      }
    }
    std::erase_if(inbound_,
                  [&](const Key& key) { return key.first == session; });
    for (Relay& relay : relays_) {
      if (relay.session == session && IsValid(session)) {
        relay.done = true;
      }
    }
  }
  for (OutboundCall& outbound : lost) {
    TakeOver(std::move(outbound), false);
  }
}

void Forwarder::TakeOver(OutboundCall outbound, bool owner_drained) {
  takeovers_.fetch_add(1);
  metrics::Count("ring_forward_takeovers_total");
  const auto answer = outbound.answer;
  SubmitJob job;
  job.raw = std::move(outbound.raw);
  job.request = std::move(outbound.request);
  job.answer = answer;
  job.owner_drained = owner_drained;
  if (!jobs_.TryPush(std::move(job))) {
    takeovers_.fetch_sub(1);
    answer->Finish(AnswerFromRefusal(
        Refuse(Reason::kOwnerUnreachable,
               "the owner of the program was lost during the call", 0,
               RunState::kUnknown)));
  }
}

void Forwarder::OnCall(SessionHandle session, const Frame& frame) {
  const auto* table = Verify<fb::ForwardCall>(frame.payload);
  if (table == nullptr) {
    return;
  }
  metrics::Count("ring_forwarded_calls_total", {{"direction", "in"}});
  SubmitJob job;
  job.session = session;
  job.correlation = frame.correlation;
  job.raw = {TextOf(table->path()),         TextOf(table->authorization()),
             TextOf(table->sequence()),     TextOf(table->idempotency_key()),
             TextOf(table->deadline_ms()),  TextOf(table->messages_mode()),
             TextOf(table->content_type()), TextOf(table->body())};
  {
    std::lock_guard lock(mutex_);
    inbound_.insert({session, frame.correlation});
  }
  if (!jobs_.TryPush(std::move(job))) {
    SendEnd(session, frame.correlation,
            AnswerFromRefusal(Refuse(Reason::kQueueFull,
                                     "too many forwarded calls are waiting",
                                     calls_.JitteredMs(1'000))));
  }
}

void Forwarder::OnCancel(SessionHandle session, const Frame& frame) {
  std::lock_guard lock(mutex_);
  inbound_.erase({session, frame.correlation});
  for (Relay& relay : relays_) {
    if (relay.session == session && relay.correlation == frame.correlation) {
      relay.done = true;
    }
  }
  relay_wake_.TryPush(1);
}

}  // namespace ring::entry
