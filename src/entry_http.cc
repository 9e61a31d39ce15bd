#include "entry_http_p.h"

#include <nlohmann/json.hpp>

namespace ring::entry {

using nlohmann::json;

namespace {

constexpr char kJsonContentType[] = "application/json";
constexpr int64_t kAnswerSliceMs = 100;

void RespondWithRefusal(httplib::Response& response, const Refusal& refusal) {
  metrics::CountRefusal(refusal.reason);
  SetRefusal(response, refusal);
}

Outcome<ProgramId> ProgramIdFromPath(const httplib::Request& request) {
  const auto id = ProgramId::Parse(request.matches[1].str());
  if (!id) {
    return Refuse(Reason::kUnknownProgram,
                  "the path contains no valid program id");
  }
  return *id;
}

RawCall RawCallFrom(const httplib::Request& request) {
  RawCall raw;
  raw.path = request.path;
  raw.authorization = request.get_header_value("Authorization");
  raw.sequence = request.get_header_value("Ring-Sequence");
  raw.idempotency_key = request.get_header_value("Idempotency-Key");
  raw.deadline_ms = request.get_header_value("Ring-Deadline-Ms");
  raw.messages_mode = request.get_header_value("Ring-Messages");
  raw.content_type = request.get_header_value("Content-Type");
  raw.body = request.body;
  return raw;
}

json StateJson(const ProgramState& state) {
  return {{"program", state.id.text()},
          {"team", state.team},
          {"parent", state.parent.text()},
          {"budget_tokens", state.budget_tokens},
          {"used_tokens", state.used_tokens},
          {"reserved_tokens", state.reserved_tokens},
          {"next_sequence", state.next_sequence},
          {"turns", state.turns},
          {"deadline_wall_ms", state.deadline_wall_ms},
          {"ended", state.ended},
          {"end_reason", ToString(state.end_reason)}};
}

// Writes one answer to one caller as server-sent events.
class SseReader {
 public:
  SseReader(std::shared_ptr<AnswerStream> answer, Forwarder& forwarder)
      : answer_(std::move(answer)), forwarder_(forwarder) {}
  ~SseReader() {
    answer_->RemoveReader();
    forwarder_.OnReaderGone(answer_);
  }
  SseReader(const SseReader&) = delete;
  SseReader& operator=(const SseReader&) = delete;

  // Writes the new text, if any; returns false if the caller has gone.
  bool Write(httplib::DataSink& sink) {
    const auto piece = answer_->Read(offset_ + partial_.size(), kAnswerSliceMs);
    const std::string text = partial_ + piece.text;
    const size_t whole = piece.final ? text.size() : Utf8PrefixLength(text);
    partial_ = text.substr(whole);
    offset_ += whole;
    std::string events = whole > 0 ? SseChunk(text.substr(0, whole)) : "";
    if (piece.final) {
      events += SseEnd(*piece.final);
    }
    if (!events.empty()) {
      metrics::Count("ring_caller_bytes_total", {{"direction", "out"}},
                     static_cast<double>(events.size()));
      if (!sink.write(events.data(), events.size())) {
        return false;
      }
    }
    if (piece.final) {
      sink.done();
      return true;
    }
    return sink.is_writable();
  }

 private:
  std::shared_ptr<AnswerStream> answer_;
  Forwarder& forwarder_;
  size_t offset_ = 0;
  std::string partial_;  // First bytes of an incomplete UTF-8 character.
};

}  // namespace

FrontEnd::FrontEnd(const EntryInit& init,
                   const EntryDependencies& deps,
                   CallService& calls,
                   Forwarder& forwarder,
                   std::function<void()> on_program_ended)
    : init_(init),
      deps_(deps),
      calls_(calls),
      forwarder_(forwarder),
      on_program_ended_(std::move(on_program_ended)) {}

void FrontEnd::Register(HttpServer& server) {
  using Request = httplib::Request;
  using Response = httplib::Response;
  server.Post("/v1/programs", [this](const Request& in, Response& out) {
    OpenProgram(in, out);
  });
  server.Get(R"(/v1/programs/([^/]+))",
             [this](const Request& in, Response& out) {
               ReadProgram(in, out, false);
             });
  server.Get(
      R"(/v1/programs/([^/]+)/history)",
      [this](const Request& in, Response& out) { ReadProgram(in, out, true); });
  server.Delete(
      R"(/v1/programs/([^/]+))",
      [this](const Request& in, Response& out) { EndProgram(in, out); });
  const auto call = [this](const Request& in, Response& out) {
    RunCall(in, out);
  };
  server.Post("/v1/chat/completions", call);
  server.Post(R"(/v1/services/[^/]+.*)", call);
  server.Post("/v1/upstreams/announce",
              [this](const Request& in, Response& out) { Announce(in, out); });
}

void FrontEnd::OpenProgram(const httplib::Request& request,
                           httplib::Response& response) {
  const auto open = ParseOpen(request.body, init_.call_limits);
  if (!open) {
    RespondWithRefusal(response, open.refusal());
    return;
  }
  const auto state = calls_.Open(*open);
  if (!state) {
    RespondWithRefusal(response, state.refusal());
    return;
  }
  response.set_content(StateJson(*state).dump(), kJsonContentType);
}

void FrontEnd::ReadProgram(const httplib::Request& request,
                           httplib::Response& response,
                           bool history) {
  const auto id = ProgramIdFromPath(request);
  const auto state =
      id ? calls_.Read(*id) : Outcome<ProgramState>(id.refusal());
  if (!state) {
    RespondWithRefusal(response, state.refusal());
    return;
  }
  if (!history) {
    response.set_content(StateJson(*state).dump(), kJsonContentType);
    return;
  }
  // The messages are already JSON text.
  std::string body = "{\"messages\":[";
  for (const std::string& message : state->history) {
    body += (body.back() == '[' ? "" : ",") + message;
  }
  response.set_content(body + "]}", kJsonContentType);
}

void FrontEnd::EndProgram(const httplib::Request& request,
                          httplib::Response& response) {
  const auto id = ProgramIdFromPath(request);
  const auto ended = id ? calls_.End(*id) : Status(id.refusal());
  if (!ended) {
    RespondWithRefusal(response, ended.refusal());
    return;
  }
  on_program_ended_();
  response.set_content("{\"ended\":true}", kJsonContentType);
}

void FrontEnd::Announce(const httplib::Request& request,
                        httplib::Response& response) {
  auto record = ParseAnnouncement(request.body);
  if (!record) {
    RespondWithRefusal(response, record.refusal());
    return;
  }
  record->load.reported_at_ms = deps_.clock->NowMs();
  const auto taken = deps_.directory->Announce(*record);
  if (!taken) {
    RespondWithRefusal(response, taken.refusal());
    return;
  }
  response.set_content("{\"announced\":true}", kJsonContentType);
}

void FrontEnd::RunCall(const httplib::Request& request,
                       httplib::Response& response) {
  metrics::Count("ring_caller_bytes_total", {{"direction", "in"}},
                 static_cast<double>(request.body.size()));
  const RawCall raw = RawCallFrom(request);
  const auto parsed = ParseCall(raw, init_.call_limits);
  if (!parsed) {
    RespondWithRefusal(response, parsed.refusal());
    return;
  }
  // A call whose program changed owner before the call ran is sent to the new
  // owner.
  constexpr int kMaxOwners = 3;
  for (int owners = 1;; ++owners) {
    const auto answer = forwarder_.Run(raw, *parsed);
    if (!answer) {
      if (answer.refusal().reason == Reason::kLostOwnership &&
          owners < kMaxOwners) {
        continue;
      }
      RespondWithRefusal(response, answer.refusal());
      return;
    }
    (*answer)->AddReader();
    const bool here = WaitForAnswer(**answer, parsed->stream);
    const auto piece = (*answer)->Read(0, 0);
    const bool moved = piece.final && piece.text.empty() &&
                       piece.final->refusal.reason == Reason::kLostOwnership &&
                       piece.final->refusal.run_state == RunState::kNotRun;
    if (here && moved && owners < kMaxOwners) {
      (*answer)->RemoveReader();
      continue;
    }
    if (here) {
      SetAnswer(*answer, parsed->stream, response);
      return;
    }
    (*answer)->RemoveReader();
    forwarder_.OnReaderGone(*answer);
    ConnectionStream::Current()->CloseAfterResponse();
    RespondWithRefusal(response, Refuse(Reason::kCallerGone,
                                        "the caller closed its connection", 0,
                                        RunState::kUnknown));
    return;
  }
}

bool FrontEnd::WaitForAnswer(const AnswerStream& answer, bool stream) const {
  while (true) {
    const size_t offset = stream ? 0 : SIZE_MAX;
    const auto piece = answer.Read(offset, kAnswerSliceMs);
    if (piece.final || (stream && !piece.text.empty())) {
      return true;
    }
    if (ConnectionStream::Current()->PeerClosed()) {
      return false;
    }
  }
}

void FrontEnd::SetAnswer(const std::shared_ptr<AnswerStream>& answer,
                         bool stream,
                         httplib::Response& response) {
  const auto piece = answer->Read(0, 0);
  const bool refused =
      piece.final && piece.final->refusal.reason != Reason::kNone;
  if (stream && !(refused && piece.text.empty())) {
    const auto reader = std::make_shared<SseReader>(answer, forwarder_);
    response.set_chunked_content_provider(
        "text/event-stream", [reader](size_t, httplib::DataSink& sink) {
          return reader->Write(sink);
        });
    return;
  }
  answer->RemoveReader();
  const FinalAnswer& final = *piece.final;
  if (refused) {
    SetRefusal(response, final.refusal);
  }
  response.status = final.http_status;
  response.set_content(final.body, final.content_type);
  metrics::Count("ring_caller_bytes_total", {{"direction", "out"}},
                 static_cast<double>(final.body.size()));
}

}  // namespace ring::entry
