#include <mutex>

#include "persimmonring/program.h"

namespace ring {
namespace {

namespace codec = program_codec;

class LocalProgramStore final : public ProgramStoreI {
 public:
  LocalProgramStore(const std::string& domain,
                    const ProgramLimits& limits,
                    const ClockI& clock)
      : domain_(domain),
        clock_(clock),
        machine_(CreateProgramMachine(domain, limits)) {}

  Outcome<ProgramState> Open(const OpenProgram& command) override {
    return codec::DecodeState(Apply(codec::Encode(command)));
  }
  Outcome<ProgramState> Acquire(const ProgramId& id,
                                const std::string& entry) override {
    return codec::DecodeState(Apply(codec::EncodeAcquire(id, entry)));
  }
  Status Begin(const BeginCall& command) override {
    return codec::DecodeStatus(Apply(codec::Encode(command)));
  }
  Status Retry(const RetryCall& command) override {
    return codec::DecodeStatus(Apply(codec::Encode(command)));
  }
  Status Abort(const AbortCall& command) override {
    return codec::DecodeStatus(Apply(codec::Encode(command)));
  }
  Status Finish(const FinishCall& command) override {
    return codec::DecodeStatus(Apply(codec::Encode(command)));
  }
  Status End(const ProgramId& id, Reason reason) override {
    return codec::DecodeStatus(Apply(codec::EncodeEnd(id, reason)));
  }
  Status ConfirmRelease(const ProgramId& id,
                        const UpstreamId& upstream) override {
    return codec::DecodeStatus(
        Apply(codec::EncodeConfirmRelease(id, upstream)));
  }
  Outcome<ProgramState> Read(const ProgramId& id) override {
    return codec::DecodeState(Query(codec::EncodeRead(id)));
  }
  Outcome<Ownership> Locate(const ProgramId& id) override {
    return codec::DecodeOwnership(Query(codec::EncodeLocate(id)));
  }
  Outcome<std::vector<PendingRelease>> PendingReleases(
      const std::string& domain,
      size_t limit) override {
    if (domain != domain_) {
      return std::vector<PendingRelease>();
    }
    return codec::DecodeReleases(Query(codec::EncodePendingReleases(limit)));
  }

 private:
  /// Expires programs before each command; in a replicated group the leader
  /// does so periodically.
  std::string Apply(const std::string& command) {
    std::lock_guard lock(mutex_);
    machine_->Apply(++index_, clock_.WallMs(), codec::EncodeExpire());
    return machine_->Apply(++index_, clock_.WallMs(), command);
  }
  std::string Query(const std::string& query) {
    std::lock_guard lock(mutex_);
    machine_->Apply(++index_, clock_.WallMs(), codec::EncodeExpire());
    return machine_->Query(query);
  }

  const std::string domain_;
  const ClockI& clock_;
  std::mutex mutex_;
  std::unique_ptr<StateMachineI> machine_;
  uint64_t index_ = 0;
};

}  // namespace

std::unique_ptr<ProgramStoreI> CreateLocalProgramStore(
    const std::string& domain,
    const ProgramLimits& limits,
    const ClockI& clock) {
  return std::make_unique<LocalProgramStore>(domain, limits, clock);
}

}  // namespace ring
