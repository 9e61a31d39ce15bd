#include <mutex>

#include "persimmonring/control.h"

namespace ring {
namespace {

namespace codec = control_codec;

class LocalControlStore final : public ControlStoreI {
 public:
  explicit LocalControlStore(const ClockI& clock)
      : clock_(clock), machine_(CreateControlMachine()) {}

  Outcome<NoteResult> ApplyNote(const ReleaseNote& note) override {
    return codec::DecodeNote(Apply(codec::Encode(note)));
  }
  Outcome<ControlView> Poll(const std::string& node,
                            uint64_t have_version,
                            uint64_t have_quarantine) override {
    std::lock_guard lock(mutex_);
    nodes_[node] = {have_version, clock_.NowMs()};
    return codec::DecodeView(
        machine_->Query(codec::EncodeView(have_version, have_quarantine)));
  }
  Outcome<ReconcilerLease> AcquireLease(const std::string& domain,
                                        const std::string& entry,
                                        int64_t duration_ms) override {
    return codec::DecodeLease(
        Apply(codec::EncodeLease(domain, entry, duration_ms)));
  }
  Status Quarantine(const std::string& digest,
                    const std::string& reason) override {
    return codec::DecodeStatus(Apply(codec::EncodeQuarantine(digest, reason)));
  }
  Status DeclareDomainLost(const std::string& domain,
                           const std::string& operator_id) override {
    return codec::DecodeStatus(
        Apply(codec::EncodeDomainLost(domain, operator_id)));
  }
  Outcome<std::vector<NodeVersion>> NodeVersions() override {
    std::lock_guard lock(mutex_);
    std::vector<NodeVersion> versions;
    for (const auto& [node, report] : nodes_) {
      versions.push_back(
          {node, report.version, clock_.NowMs() - report.time_ms});
    }
    return versions;
  }

 private:
  struct Report {
    uint64_t version = 0;
    int64_t time_ms = 0;
  };

  std::string Apply(const std::string& command) {
    std::lock_guard lock(mutex_);
    return machine_->Apply(++index_, clock_.WallMs(), command);
  }

  const ClockI& clock_;
  std::mutex mutex_;
  std::unique_ptr<StateMachineI> machine_;
  std::map<std::string, Report> nodes_;
  uint64_t index_ = 0;
};

}  // namespace

std::unique_ptr<ControlStoreI> CreateLocalControlStore(const ClockI& clock) {
  return std::make_unique<LocalControlStore>(clock);
}

}  // namespace ring
