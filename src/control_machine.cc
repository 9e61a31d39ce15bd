#include <algorithm>

#include "control_note_p.h"
#include "control_result_p.h"
#include "control_state_p.h"
#include "core_flatbuffer_p.h"

namespace ring {
namespace {

constexpr size_t kRawDigestBytes = 32;
constexpr uint32_t kSnapshotMagic = 0x4c544350;  // "PCTL"
constexpr uint32_t kSnapshotVersion = 1;
constexpr int64_t kMaxLeaseMs = 3'600'000;
constexpr size_t kMaxDigestBytes = 128;
// Number of latest notes whose changes are kept. A node that missed more gets
// the complete view.
constexpr size_t kMaxStoredChanges = 1'024;

Refusal Refuse(Reason reason, std::string message) {
  return {reason, RunState::kNotRun, std::move(message)};
}

int HexValue(char c) {
  return c <= '9' ? c - '0' : c - 'a' + 10;
}

void AppendRawDigest(std::string& out, const std::string& hex) {
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    out.push_back(
        static_cast<char>(HexValue(hex[i]) * 16 + HexValue(hex[i + 1])));
  }
}

}  // namespace

uint64_t ControlMachine::version() const {
  return note_digests_.size() / kRawDigestBytes;
}

std::string ControlMachine::DigestOfNote(uint64_t number) const {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  const size_t start = (number - 1) * kRawDigestBytes;
  for (size_t i = start; i < start + kRawDigestBytes; ++i) {
    const auto byte = static_cast<unsigned char>(note_digests_[i]);
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 15]);
  }
  return hex;
}

Outcome<NoteResult> ControlMachine::CompareWithAccepted(
    const ReleaseNote& note,
    const std::string& digest) const {
  const std::string accepted = DigestOfNote(note.number);
  if (digest == accepted) {
    return NoteResult{note.number, note.number, digest, true};
  }
  const std::string text = "note " + std::to_string(note.number) +
                           " was already accepted with digest " + accepted;
  return note.number == version()
             ? Refuse(Reason::kConflict, text)
             : Refuse(Reason::kStaleNumber, text + "; the next number is " +
                                                std::to_string(version() + 1));
}

Outcome<NoteResult> ControlMachine::ApplyNote(const fb::ControlNote& command) {
  const ReleaseNote note{command.number(),
                         std::string(TextOf(command.operator_id())),
                         std::string(TextOf(command.body()))};
  if (Status status = CheckNote(note); !status) {
    return status.refusal();
  }
  const std::string digest = DigestOf(note);
  if (note.number <= version()) {
    return CompareWithAccepted(note, digest);
  }
  if (note.number > version() + 1) {
    return Refuse(Reason::kSequenceGap,
                  "the next number is " + std::to_string(version() + 1));
  }
  if (Status status = ApplyNoteBody(note.body, items_); !status) {
    return status.refusal();
  }
  AppendRawDigest(note_digests_, digest);
  changed_keys_.push_back(KeysOfNote(note.body));
  if (changed_keys_.size() > kMaxStoredChanges) {
    changed_keys_.pop_front();
  }
  return NoteResult{note.number, version(), digest, false};
}

Outcome<ReconcilerLease> ControlMachine::GrantLease(
    const fb::ControlLease& command) {
  const std::string domain(TextOf(command.domain()));
  const std::string entry(TextOf(command.entry()));
  const int64_t duration_ms = command.duration_ms();
  if (domain.empty() || entry.empty() || duration_ms <= 0 ||
      duration_ms > kMaxLeaseMs) {
    return Refuse(Reason::kBadRequest,
                  "domain, entry and a duration of 1 ms to 1 h are required");
  }
  Lease& lease = leases_[domain];
  if (lease.entry != entry && now_ms_ < lease.expires_wall_ms) {
    return Refuse(Reason::kConflict, lease.entry + " holds an unexpired lease");
  }
  lease = {entry, next_fence_++, now_ms_ + duration_ms};
  return ReconcilerLease{domain, entry, lease.fence, duration_ms};
}

Status ControlMachine::AddQuarantine(const fb::ControlQuarantine& command) {
  const std::string digest(TextOf(command.digest()));
  if (digest.empty() || digest.size() > kMaxDigestBytes) {
    return Refuse(Reason::kBadRequest,
                  "a digest of 1 to 128 bytes is required");
  }
  const bool known =
      std::any_of(quarantined_.begin(), quarantined_.end(),
                  [&](const Quarantined& q) { return q.digest == digest; });
  if (known) {
    return Done{};
  }
  if (quarantined_.size() >= kMaxQuarantined) {
    quarantined_.pop_front();
  }
  quarantined_.push_back({digest, std::string(TextOf(command.reason()))});
  ++quarantine_version_;
  return Done{};
}

Status ControlMachine::MarkDomainLost(const fb::ControlDomainLost& command) {
  const std::string domain(TextOf(command.domain()));
  if (domain.empty() || TextOf(command.operator_id()).empty()) {
    return Refuse(Reason::kBadRequest, "domain and operator are required");
  }
  if (lost_domains_.insert(domain).second) {
    ++quarantine_version_;
  }
  return Done{};
}

std::string ControlMachine::Apply(uint64_t /*index*/,
                                  int64_t time_ms,
                                  std::string_view command) {
  now_ms_ = time_ms;
  const FlatBufferView<fb::ControlCommand> view(command);
  if (!view || view->action() == nullptr) {
    return control_result::Encode(
        Refuse(Reason::kBadRequest, "the command is malformed"));
  }
  switch (view->action_type()) {
    case fb::ControlAction::ControlNote:
      return control_result::Encode(ApplyNote(*view->action_as_ControlNote()));
    case fb::ControlAction::ControlLease:
      return control_result::Encode(
          GrantLease(*view->action_as_ControlLease()));
    case fb::ControlAction::ControlQuarantine:
      return control_result::Encode(
          AddQuarantine(*view->action_as_ControlQuarantine()).refusal());
    case fb::ControlAction::ControlDomainLost:
      return control_result::Encode(
          MarkDomainLost(*view->action_as_ControlDomainLost()).refusal());
    case fb::ControlAction::NONE:
      break;
  }
  return control_result::Encode(
      Refuse(Reason::kBadRequest, "the command type is unknown"));
}

std::string ControlMachine::Query(std::string_view query) const {
  const FlatBufferView<fb::ControlQuery> view(query);
  if (!view) {
    return control_result::Encode(
        Refuse(Reason::kBadRequest, "the query is malformed"));
  }
  const bool has_changes = view->have_version() < version() ||
                           view->have_quarantine() < quarantine_version_;
  return control_result::Encode(
      has_changes ? ViewSince(view->have_version(), view->have_quarantine())
                  : ControlView());
}

ControlView ControlMachine::ViewSince(uint64_t have_version,
                                      uint64_t have_quarantine) const {
  ControlView view = CurrentView();
  if (have_quarantine >= quarantine_version_) {
    view.quarantined.clear();
  }
  const uint64_t missed = version() - std::min(have_version, version());
  if (have_version == 0 || missed > changed_keys_.size()) {
    return view;
  }
  view.base_version = have_version;
  view.items.clear();
  for (size_t i = changed_keys_.size() - missed; i < changed_keys_.size();
       ++i) {
    for (const std::string& key : changed_keys_[i]) {
      const auto found = items_.find(key);
      if (found != items_.end()) {
        view.items[key] = found->second;
      } else {
        view.withdrawn.push_back(key);
      }
    }
  }
  return view;
}

ControlView ControlMachine::CurrentView() const {
  ControlView view;
  view.version = version();
  view.note_number = version();
  view.note_digest = version() == 0 ? "" : DigestOfNote(version());
  view.items = items_;
  view.quarantine_version = quarantine_version_;
  for (const Quarantined& entry : quarantined_) {
    view.quarantined.push_back(entry.digest);
  }
  view.lost_domains.assign(lost_domains_.begin(), lost_domains_.end());
  return view;
}

std::string ControlMachine::Save() const {
  fb::ControlSnapshotT snapshot;
  snapshot.digests.assign(note_digests_.begin(), note_digests_.end());
  for (const auto& [key, text] : items_) {
    auto item = std::make_unique<fb::ControlItemT>();
    item->key = key;
    item->text = text;
    snapshot.items.push_back(std::move(item));
  }
  for (const auto& [domain, lease] : leases_) {
    auto record = std::make_unique<fb::ControlLeaseRecordT>();
    record->domain = domain;
    record->entry = lease.entry;
    record->fence = lease.fence;
    record->expires_wall_ms = lease.expires_wall_ms;
    snapshot.leases.push_back(std::move(record));
  }
  snapshot.next_fence = next_fence_;
  snapshot.quarantine_version = quarantine_version_;
  for (const Quarantined& entry : quarantined_) {
    auto record = std::make_unique<fb::ControlQuarantineRecordT>();
    record->digest = entry.digest;
    record->reason = entry.reason;
    snapshot.quarantined.push_back(std::move(record));
  }
  snapshot.lost_domains.assign(lost_domains_.begin(), lost_domains_.end());
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(fb::ControlSnapshot::Pack(builder, &snapshot));
  std::string out =
      BeginSnapshot(kSnapshotMagic, kSnapshotVersion, builder.GetSize());
  out += BufferToString(builder);
  AppendSnapshotChecksum(out);
  return out;
}

bool ControlMachine::ReadSnapshot(const fb::ControlSnapshotT& snapshot) {
  if (snapshot.digests.size() % kRawDigestBytes != 0 ||
      snapshot.next_fence == 0) {
    return false;
  }
  note_digests_.assign(snapshot.digests.begin(), snapshot.digests.end());
  for (const auto& item : snapshot.items) {
    items_[item->key] = item->text;
  }
  for (const auto& lease : snapshot.leases) {
    leases_[lease->domain] = {lease->entry, lease->fence,
                              lease->expires_wall_ms};
  }
  next_fence_ = snapshot.next_fence;
  quarantine_version_ = snapshot.quarantine_version;
  for (const auto& entry : snapshot.quarantined) {
    quarantined_.push_back({entry->digest, entry->reason});
  }
  lost_domains_.insert(snapshot.lost_domains.begin(),
                       snapshot.lost_domains.end());
  return true;
}

Status ControlMachine::Load(std::string_view snapshot) {
  const auto body = VerifySnapshot(kSnapshotMagic, kSnapshotVersion, snapshot);
  if (!body) {
    return body.refusal();
  }
  const FlatBufferView<fb::ControlSnapshot> view(*body);
  ControlMachine loaded;
  if (!view || !loaded.ReadSnapshot(
                   *std::unique_ptr<fb::ControlSnapshotT>(view->UnPack()))) {
    return Refuse(Reason::kCorruptData, "the control snapshot is corrupt");
  }
  *this = std::move(loaded);
  return Done{};
}

bool MergeControlView(ControlView& view, const ControlView& update) {
  bool changed = false;
  const bool fits =
      update.base_version == 0 || update.base_version == view.version;
  if (update.version > view.version && fits) {
    if (update.base_version == 0) {
      view.items = update.items;
    }
    for (const auto& [key, text] : update.items) {
      view.items[key] = text;
    }
    for (const std::string& key : update.withdrawn) {
      view.items.erase(key);
    }
    view.version = update.version;
    view.note_number = update.note_number;
    view.note_digest = update.note_digest;
    changed = true;
  }
  if (update.quarantine_version > view.quarantine_version) {
    view.quarantine_version = update.quarantine_version;
    view.quarantined = update.quarantined;
    view.lost_domains = update.lost_domains;
    changed = true;
  }
  return changed;
}

std::unique_ptr<StateMachineI> CreateControlMachine() {
  return std::make_unique<ControlMachine>();
}

}  // namespace ring
