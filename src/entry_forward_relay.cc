// Forwarding, on the owner of a program, and calls taken over from lost owners.

#include <algorithm>

#include "entry_forward_p.h"
#include "forward.generated.h"

namespace ring::entry {
namespace {

std::string Pack(flatbuffers::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string EncodeChunk(size_t offset, const std::string& text) {
  fb::ForwardChunkT table;
  table.offset = offset;
  table.text.assign(text.begin(), text.end());
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::ForwardChunk::Pack(builder, &table));
  return Pack(builder);
}

std::string EncodeEnd(const FinalAnswer& final) {
  fb::ForwardEndT table;
  table.http_status = final.http_status;
  table.content_type = final.content_type;
  table.body.assign(final.body.begin(), final.body.end());
  table.finish_reason = final.finish_reason;
  table.tool_calls = final.tool_calls;
  table.usage = final.usage;
  table.reason = ToString(final.refusal.reason);
  table.run_state = static_cast<uint8_t>(final.refusal.run_state);
  table.message = final.refusal.message;
  table.retry_after_ms = final.refusal.retry_after_ms;
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::ForwardEnd::Pack(builder, &table));
  return Pack(builder);
}

}  // namespace

Status Forwarder::RunSubmit(const StopToken& stop) {
  while (!stop.stopped()) {
    const auto job = jobs_.Pop(100);
    if (job && IsValid(job->session)) {
      RunInbound(*job);
    } else if (job) {
      RunTakeover(*job);
    }
  }
  return Done{};
}

bool Forwarder::IsPending(const SubmitJob& job) const {
  std::lock_guard lock(mutex_);
  return inbound_.contains({job.session, job.correlation});
}

void Forwarder::RunInbound(const SubmitJob& job) {
  // The forwarding entry was lost or its caller has gone. That entry may
  // already have taken over the program, and submitting the call would acquire
  // it back.
  if (!IsPending(job)) {
    return;
  }
  const auto refuse = [&](const Refusal& refusal) {
    metrics::CountRefusal(refusal.reason);
    SendEnd(job.session, job.correlation, AnswerFromRefusal(refusal));
  };
  const auto request = ParseCall(job.raw, init_.call_limits);
  if (!request) {
    refuse(request.refusal());
    return;
  }
  const auto submitted = calls_.Submit(*request, {});
  if (!submitted) {
    refuse(submitted.refusal());
    return;
  }
  if (submitted->remote) {
    refuse(Refuse(Reason::kLostOwnership, "another entry owns the program", 1));
    return;
  }
  const CallPtr call = submitted->call;
  Relay relay;
  relay.session = job.session;
  relay.correlation = job.correlation;
  relay.source = std::shared_ptr<AnswerStream>(call, &call->answer);
  AddRelay(std::move(relay));
}

void Forwarder::RunTakeover(const SubmitJob& job) {
  const std::string prefix = job.answer->text();
  const auto submitted = calls_.Submit(job.request, {true, prefix});
  if (!submitted) {
    Refusal refusal = submitted.refusal();
    if (!job.owner_drained) {
      // The lost owner may have run the call.
      refusal.run_state = RunState::kUnknown;
    }
    job.answer->Finish(AnswerFromRefusal(refusal));
    takeovers_.fetch_sub(1);
    return;
  }
  const CallPtr call = submitted->call;
  Relay relay;
  relay.source = std::shared_ptr<AnswerStream>(call, &call->answer);
  relay.target = job.answer;
  // The source holds only the text after the prefix that the call was started
  // with, which may be shorter or longer than what this caller has received.
  const std::string& base = call->prefix;
  const size_t common = std::min(base.size(), prefix.size());
  if (base.compare(0, common, prefix, 0, common) != 0) {
    FailTakeover(*job.answer);
    return;
  }
  job.answer->Append(base.substr(common));
  relay.expected = prefix.substr(common);
  relay.offset = relay.expected.size();
  AddRelay(std::move(relay));
}

void Forwarder::FailTakeover(AnswerStream& answer) {
  answer.Finish(AnswerFromRefusal(
      Refuse(Reason::kUpstreamError,
             "the call was repeated after its owner was lost, and the new text "
             "differs from the text already sent",
             0, RunState::kUnknown)));
  takeovers_.fetch_sub(1);
}

void Forwarder::AddRelay(Relay relay) {
  const auto source = relay.source;
  source->AddReader();
  {
    std::lock_guard lock(mutex_);
    relays_.push_back(std::move(relay));
  }
  source->Observe([this] { relay_wake_.TryPush(1); });
  relay_wake_.TryPush(1);
}

Status Forwarder::RunRelay(const StopToken& stop) {
  while (!stop.stopped()) {
    relay_wake_.Pop(50);
    std::vector<Relay> relays;
    {
      std::lock_guard lock(mutex_);
      relays = relays_;
    }
    for (Relay& relay : relays) {
      if (!relay.done) {
        RelayNewText(relay);
      }
    }
    std::lock_guard lock(mutex_);
    for (const Relay& updated : relays) {
      for (Relay& relay : relays_) {
        if (relay.source == updated.source &&
            relay.correlation == updated.correlation &&
            relay.session == updated.session) {
          relay.offset = updated.offset;
          relay.done = relay.done || updated.done;
        }
      }
    }
    std::erase_if(relays_, [](const Relay& relay) {
      if (relay.done) {
        relay.source->RemoveReader();
      }
      return relay.done;
    });
  }
  return Done{};
}

void Forwarder::RelayNewText(Relay& relay) {
  const auto piece = relay.source->Read(relay.offset, 0);
  if (relay.target) {
    RelayToLocal(relay, piece);
  } else {
    RelayToRemote(relay, piece);
  }
}

void Forwarder::RelayToLocal(Relay& relay, const AnswerStream::Piece& piece) {
  const bool refused =
      piece.final && piece.final->refusal.reason != Reason::kNone;
  if (!refused && !relay.expected.empty() &&
      (piece.final || !piece.text.empty()) &&
      !relay.source->text().starts_with(relay.expected)) {
    relay.done = true;
    FailTakeover(*relay.target);
    return;
  }
  relay.target->Append(piece.text);
  relay.offset += piece.text.size();
  if (piece.final) {
    relay.target->Finish(*piece.final);
    relay.done = true;
    takeovers_.fetch_sub(1);
  }
}

void Forwarder::RelayToRemote(Relay& relay, const AnswerStream::Piece& piece) {
  // Well below the largest frame size.
  constexpr size_t kChunkBytes = 1u << 20;
  for (size_t done = 0; done < piece.text.size(); done += kChunkBytes) {
    const std::string text = piece.text.substr(done, kChunkBytes);
    const auto sent = hub_->Send(
        relay.session, {FrameKind::ForwardChunk, "", relay.correlation,
                        EncodeChunk(relay.offset, text)});
    if (!sent) {
      // With a full queue the next pass tries again. OnClosed reports a closed
      // session.
      relay.done = sent.refusal().reason != Reason::kQueueFull;
      return;
    }
    relay.offset += text.size();
  }
  if (piece.final && SendEnd(relay.session, relay.correlation, *piece.final)) {
    relay.done = true;
  }
}

bool Forwarder::SendEnd(SessionHandle session,
                        uint64_t correlation,
                        const FinalAnswer& final) {
  Frame frame{FrameKind::ForwardEnd, "", correlation, EncodeEnd(final)};
  auto sent = hub_->Send(session, frame);
  if (!sent && sent.refusal().reason == Reason::kBodyTooLarge) {
    frame.payload = EncodeEnd(AnswerFromRefusal(
        Refuse(Reason::kBodyTooLarge, "the answer is too large to be forwarded",
               0, RunState::kRan)));
    sent = hub_->Send(session, frame);
  }
  if (!sent && sent.refusal().reason == Reason::kQueueFull) {
    return false;
  }
  std::lock_guard lock(mutex_);
  inbound_.erase({session, correlation});
  return true;
}

}  // namespace ring::entry
