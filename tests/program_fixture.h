#pragma once

#include <string>

#include <gtest/gtest.h>

#include "persimmonring/program.h"

namespace ring {

namespace codec = program_codec;

inline ProgramId TestId(int number) {
  std::string digits = std::to_string(number);
  return *ProgramId::Parse("salem." + std::string(32 - digits.size(), '0') +
                           digits);
}

inline std::string AttemptId(int number) {
  return "a" + std::to_string(number);
}

inline const UpstreamId kEngine{"engine-1", 7};
inline const UpstreamId kOtherEngine{"engine-2", 3};

inline OpenProgram MakeOpen(const ProgramId& id,
                            int64_t budget,
                            const ProgramId& parent = {}) {
  return {id, "team", budget, 1'000'000, 60'000, parent, "entry-1"};
}

inline BeginCall MakeBegin(const ProgramId& id,
                           uint64_t sequence,
                           int attempt,
                           uint64_t epoch = 1) {
  BeginCall call;
  call.id = id;
  call.epoch = epoch;
  call.sequence = sequence;
  call.digest = "digest-" + std::to_string(sequence);
  call.attempt = AttemptId(attempt);
  call.reserve_tokens = 10;
  call.upstream = kEngine;
  call.holds_cache = true;
  return call;
}

inline FinishCall MakeFinish(const ProgramId& id,
                             uint64_t sequence,
                             int attempt,
                             uint64_t epoch = 1) {
  FinishCall call;
  call.id = id;
  call.epoch = epoch;
  call.sequence = sequence;
  call.attempt = AttemptId(attempt);
  call.used_tokens = 4;
  call.history_delta = {"question " + std::to_string(sequence),
                        "answer " + std::to_string(sequence)};
  call.answer = "body " + std::to_string(sequence);
  return call;
}

/// Applies commands to a state machine at the simulated time `now_ms_`.
class ProgramMachineTest : public testing::Test {
 protected:
  template <typename T>
  Reason Apply(const T& command) {
    return ApplyBytes(codec::Encode(command));
  }
  Reason ApplyBytes(const std::string& bytes) {
    last_result_ = machine_->Apply(++index_, now_ms_, bytes);
    return codec::DecodeStatus(last_result_).refusal().reason;
  }
  Reason Acquire(const ProgramId& id, const std::string& entry) {
    return ApplyBytes(codec::EncodeAcquire(id, entry));
  }
  Reason End(const ProgramId& id) {
    return ApplyBytes(codec::EncodeEnd(id, Reason::kNone));
  }
  Reason Confirm(const ProgramId& id, const UpstreamId& upstream) {
    return ApplyBytes(codec::EncodeConfirmRelease(id, upstream));
  }
  void Expire() { ApplyBytes(codec::EncodeExpire()); }
  Outcome<ProgramState> Read(const ProgramId& id) const {
    return codec::DecodeState(machine_->Query(codec::EncodeRead(id)));
  }
  size_t PendingCount() const {
    return codec::DecodeReleases(
               machine_->Query(codec::EncodePendingReleases(100)))
        ->size();
  }

  ProgramLimits limits_;
  int64_t now_ms_ = 1'000;
  uint64_t index_ = 0;
  std::string last_result_;
  std::unique_ptr<StateMachineI> machine_ =
      CreateProgramMachine("salem", limits_);
  const ProgramId id_ = TestId(1);
  const ProgramId child_ = TestId(2);
};

}  // namespace ring
