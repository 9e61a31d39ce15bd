#include "control.generated.h"
#include "control_result_p.h"
#include "core_flatbuffer_p.h"

namespace ring {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template <typename T>
std::string EncodeCommand(FlatBufferBuilder& builder, Offset<T> action) {
  builder.Finish(fb::CreateControlCommand(
      builder, fb::ControlActionTraits<T>::enum_value, action.Union()));
  return BufferToString(builder);
}

Refusal MalformedResult() {
  return {Reason::kCorruptData, RunState::kUnknown,
          "malformed result of the control group"};
}

/// @returns the refusal that the result holds, or nullopt for success
std::optional<Refusal> ExtractRefusal(
    const FlatBufferView<fb::ControlResult>& result) {
  if (!result) {
    return MalformedResult();
  }
  const std::string_view name = TextOf(result->reason());
  if (name.empty()) {
    return std::nullopt;
  }
  return Refusal{ReasonFromString(name).value_or(Reason::kInternal),
                 RunState::kNotRun, std::string(TextOf(result->message()))};
}

}  // namespace

namespace control_result {

std::string Encode(const Refusal& refusal) {
  FlatBufferBuilder builder;
  const auto reason = CreateOptionalString(
      builder, refusal.reason == Reason::kNone
                   ? std::string_view()
                   : std::string_view(ToString(refusal.reason)));
  const auto message = CreateOptionalString(builder, refusal.message);
  builder.Finish(fb::CreateControlResult(builder, reason, message));
  return BufferToString(builder);
}

std::string Encode(const Outcome<NoteResult>& outcome) {
  if (!outcome) {
    return Encode(outcome.refusal());
  }
  FlatBufferBuilder builder;
  const auto digest = CreateOptionalString(builder, outcome->digest);
  const auto note = fb::CreateControlNoteResult(
      builder, outcome->number, outcome->version, digest, outcome->repeated);
  builder.Finish(fb::CreateControlResult(builder, 0, 0, note));
  return BufferToString(builder);
}

std::string Encode(const Outcome<ReconcilerLease>& outcome) {
  if (!outcome) {
    return Encode(outcome.refusal());
  }
  FlatBufferBuilder builder;
  const auto domain = CreateOptionalString(builder, outcome->domain);
  const auto entry = CreateOptionalString(builder, outcome->entry);
  const auto lease = fb::CreateControlLeaseResult(
      builder, domain, entry, outcome->fence, outcome->duration_ms);
  builder.Finish(fb::CreateControlResult(builder, 0, 0, 0, lease));
  return BufferToString(builder);
}

std::string Encode(const ControlView& view) {
  FlatBufferBuilder builder;
  std::vector<Offset<fb::ControlItem>> items;
  for (const auto& [key, text] : view.items) {
    const auto key_offset = builder.CreateString(key);
    items.push_back(
        fb::CreateControlItem(builder, key_offset, builder.CreateString(text)));
  }
  const auto digest = CreateOptionalString(builder, view.note_digest);
  const auto items_offset = builder.CreateVector(items);
  const auto quarantined = builder.CreateVectorOfStrings(view.quarantined);
  const auto lost = builder.CreateVectorOfStrings(view.lost_domains);
  const auto withdrawn = builder.CreateVectorOfStrings(view.withdrawn);
  const auto result = fb::CreateControlViewResult(
      builder, view.version, view.note_number, digest, items_offset,
      view.quarantine_version, quarantined, lost, view.base_version, withdrawn);
  builder.Finish(fb::CreateControlResult(builder, 0, 0, 0, 0, result));
  return BufferToString(builder);
}

}  // namespace control_result

namespace control_codec {

std::string Encode(const ReleaseNote& note) {
  FlatBufferBuilder builder;
  const auto operator_id = CreateOptionalString(builder, note.operator_id);
  const auto body = CreateOptionalString(builder, note.body);
  return EncodeCommand(
      builder, fb::CreateControlNote(builder, note.number, operator_id, body));
}

std::string EncodeLease(const std::string& domain,
                        const std::string& entry,
                        int64_t duration_ms) {
  FlatBufferBuilder builder;
  const auto domain_offset = CreateOptionalString(builder, domain);
  const auto entry_offset = CreateOptionalString(builder, entry);
  return EncodeCommand(
      builder, fb::CreateControlLease(builder, domain_offset, entry_offset,
                                      duration_ms));
}

std::string EncodeQuarantine(const std::string& digest,
                             const std::string& reason) {
  FlatBufferBuilder builder;
  const auto digest_offset = CreateOptionalString(builder, digest);
  const auto reason_offset = CreateOptionalString(builder, reason);
  return EncodeCommand(builder, fb::CreateControlQuarantine(
                                    builder, digest_offset, reason_offset));
}

std::string EncodeDomainLost(const std::string& domain,
                             const std::string& operator_id) {
  FlatBufferBuilder builder;
  const auto domain_offset = CreateOptionalString(builder, domain);
  const auto operator_offset = CreateOptionalString(builder, operator_id);
  return EncodeCommand(builder, fb::CreateControlDomainLost(
                                    builder, domain_offset, operator_offset));
}

std::string EncodeView(uint64_t have_version, uint64_t have_quarantine) {
  FlatBufferBuilder builder;
  builder.Finish(
      fb::CreateControlQuery(builder, have_version, have_quarantine));
  return BufferToString(builder);
}

Outcome<NoteResult> DecodeNote(std::string_view result) {
  const FlatBufferView<fb::ControlResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  const fb::ControlNoteResult* note = view->note();
  if (note == nullptr) {
    return MalformedResult();
  }
  return NoteResult{note->number(), note->version(),
                    std::string(TextOf(note->digest())), note->repeated()};
}

Outcome<ReconcilerLease> DecodeLease(std::string_view result) {
  const FlatBufferView<fb::ControlResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  const fb::ControlLeaseResult* lease = view->lease();
  if (lease == nullptr) {
    return MalformedResult();
  }
  return ReconcilerLease{std::string(TextOf(lease->domain())),
                         std::string(TextOf(lease->entry())), lease->fence(),
                         lease->duration_ms()};
}

Outcome<ControlView> DecodeView(std::string_view result) {
  const FlatBufferView<fb::ControlResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  const fb::ControlViewResult* in = view->view();
  if (in == nullptr) {
    return MalformedResult();
  }
  ControlView out;
  out.version = in->version();
  out.note_number = in->note_number();
  out.note_digest = TextOf(in->note_digest());
  out.quarantine_version = in->quarantine_version();
  if (in->items() != nullptr) {
    for (const fb::ControlItem* item : *in->items()) {
      out.items.emplace(TextOf(item->key()), TextOf(item->text()));
    }
  }
  out.base_version = in->base_version();
  if (in->withdrawn() != nullptr) {
    for (const flatbuffers::String* key : *in->withdrawn()) {
      out.withdrawn.emplace_back(TextOf(key));
    }
  }
  if (in->quarantined() != nullptr) {
    for (const flatbuffers::String* digest : *in->quarantined()) {
      out.quarantined.emplace_back(TextOf(digest));
    }
  }
  if (in->lost_domains() != nullptr) {
    for (const flatbuffers::String* domain : *in->lost_domains()) {
      out.lost_domains.emplace_back(TextOf(domain));
    }
  }
  return out;
}

Status DecodeStatus(std::string_view result) {
  const FlatBufferView<fb::ControlResult> view(result);
  if (const auto refusal = ExtractRefusal(view)) {
    return *refusal;
  }
  return Done{};
}

}  // namespace control_codec
}  // namespace ring
