#include "core_flatbuffer_p.h"
#include "keeper.generated.h"
#include "persimmonring/keeper.h"

namespace ring {
namespace {

/// Decodes a successful result, or returns the refusal.
template <typename T>
Outcome<T> DecodeResult(const KeeperResult& result,
                        Outcome<T> (*decode)(std::string_view)) {
  return result ? decode(*result) : Outcome<T>(result.refusal());
}

class ReplicatedProgramStore final : public ProgramStoreI {
 public:
  explicit ReplicatedProgramStore(KeeperClient& client) : client_(client) {}

  Outcome<ProgramState> Open(const OpenProgram& command) override {
    return DecodeResult(Propose(command.id, program_codec::Encode(command)),
                        program_codec::DecodeState);
  }
  Outcome<ProgramState> Acquire(const ProgramId& id,
                                const std::string& entry) override {
    return DecodeResult(Propose(id, program_codec::EncodeAcquire(id, entry)),
                        program_codec::DecodeState);
  }
  Status Begin(const BeginCall& command) override {
    return ProposeForStatus(command.id, program_codec::Encode(command));
  }
  Status Retry(const RetryCall& command) override {
    return ProposeForStatus(command.id, program_codec::Encode(command));
  }
  Status Abort(const AbortCall& command) override {
    return ProposeForStatus(command.id, program_codec::Encode(command));
  }
  Status Finish(const FinishCall& command) override {
    return ProposeForStatus(command.id, program_codec::Encode(command));
  }
  Status End(const ProgramId& id, Reason reason) override {
    return ProposeForStatus(id, program_codec::EncodeEnd(id, reason));
  }
  Status ConfirmRelease(const ProgramId& id,
                        const UpstreamId& upstream) override {
    return ProposeForStatus(id,
                            program_codec::EncodeConfirmRelease(id, upstream));
  }
  Outcome<ProgramState> Read(const ProgramId& id) override {
    return DecodeResult(Query(id, program_codec::EncodeRead(id)),
                        program_codec::DecodeState);
  }
  Outcome<Ownership> Locate(const ProgramId& id) override {
    return DecodeResult(Query(id, program_codec::EncodeLocate(id)),
                        program_codec::DecodeOwnership);
  }
  Outcome<std::vector<PendingRelease>> PendingReleases(
      const std::string& domain,
      size_t limit) override {
    return DecodeResult(
        client_.Query(domain, program_codec::EncodePendingReleases(limit)),
        program_codec::DecodeReleases);
  }

 private:
  static Refusal UnknownProgram() {
    return {Reason::kUnknownProgram, RunState::kNotRun, "malformed program id"};
  }
  KeeperResult Propose(const ProgramId& id, const std::string& command) {
    return IsValid(id) ? client_.Propose(std::string(id.home_domain()), command)
                       : UnknownProgram();
  }
  KeeperResult Query(const ProgramId& id, const std::string& query) {
    return IsValid(id) ? client_.Query(std::string(id.home_domain()), query)
                       : UnknownProgram();
  }
  Status ProposeForStatus(const ProgramId& id, const std::string& command) {
    return DecodeResult(Propose(id, command), program_codec::DecodeStatus);
  }

  KeeperClient& client_;
};

class ReplicatedControlStore final : public ControlStoreI {
 public:
  explicit ReplicatedControlStore(KeeperClient& client) : client_(client) {}

  Outcome<NoteResult> ApplyNote(const ReleaseNote& note) override {
    return DecodeResult(Propose(control_codec::Encode(note)),
                        control_codec::DecodeNote);
  }
  Outcome<ControlView> Poll(const std::string& node,
                            uint64_t have_version,
                            uint64_t have_quarantine) override {
    flatbuffers::FlatBufferBuilder builder;
    const auto name = CreateOptionalString(builder, node);
    builder.Finish(
        fb::CreateControlPoll(builder, name, have_version, have_quarantine));
    const auto polled =
        DecodeResult(Call(fb::KeeperOp::ControlPoll, BufferToString(builder)),
                     control_codec::DecodeView);
    return have_version == 0 ? ReadFirstView(polled) : polled;
  }
  Outcome<ReconcilerLease> AcquireLease(const std::string& domain,
                                        const std::string& entry,
                                        int64_t duration_ms) override {
    return DecodeResult(
        Propose(control_codec::EncodeLease(domain, entry, duration_ms)),
        control_codec::DecodeLease);
  }
  Status Quarantine(const std::string& digest,
                    const std::string& reason) override {
    return DecodeResult(
        Propose(control_codec::EncodeQuarantine(digest, reason)),
        control_codec::DecodeStatus);
  }
  Status DeclareDomainLost(const std::string& domain,
                           const std::string& operator_id) override {
    return DecodeResult(
        Propose(control_codec::EncodeDomainLost(domain, operator_id)),
        control_codec::DecodeStatus);
  }
  Outcome<std::vector<NodeVersion>> NodeVersions() override {
    return DecodeResult(Call(fb::KeeperOp::NodeVersions, ""), DecodeVersions);
  }

 private:
  // A node that has no version yet has just started. Its poll may reach a
  // keeper that is partitioned and returns an older version than the node used
  // before its restart, so the first view is read from the leader, which
  // confirms that it still leads. The polled view is used only if there is no
  // majority.
  Outcome<ControlView> ReadFirstView(const Outcome<ControlView>& polled) {
    auto confirmed = DecodeResult(
        client_.Query(kControlGroup, control_codec::EncodeView(0, 0)),
        control_codec::DecodeView);
    if (confirmed) {
      return confirmed;
    }
    if (polled) {
      Event(LogLevel::kWarn, "control_version_unconfirmed")
          .Add("version", polled->version)
          .Add("reason", confirmed.refusal().reason);
    }
    return polled;
  }

  static Outcome<std::vector<NodeVersion>> DecodeVersions(
      std::string_view payload) {
    const FlatBufferView<fb::NodeVersions> view(payload);
    if (!view) {
      return Refusal{Reason::kCorruptData, RunState::kNotRun,
                     "cannot decode the configuration versions of nodes"};
    }
    std::vector<NodeVersion> versions;
    if (view->nodes() != nullptr) {
      for (const fb::NodeVersion* node : *view->nodes()) {
        versions.push_back({std::string(TextOf(node->node())), node->version(),
                            node->age_ms()});
      }
    }
    return versions;
  }
  KeeperResult Call(fb::KeeperOp op, const std::string& payload) {
    return client_.Call(kControlGroup, static_cast<uint8_t>(op), payload);
  }
  KeeperResult Propose(const std::string& command) {
    return client_.Propose(kControlGroup, command);
  }

  KeeperClient& client_;
};

}  // namespace

std::unique_ptr<ProgramStoreI> CreateProgramStore(KeeperClient& client) {
  return std::make_unique<ReplicatedProgramStore>(client);
}

std::unique_ptr<ControlStoreI> CreateControlStore(KeeperClient& client) {
  return std::make_unique<ReplicatedControlStore>(client);
}

}  // namespace ring
