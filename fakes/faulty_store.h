#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "persimmonring/program.h"

namespace ring {

/// Scripted fault of one store command.
enum class StoreFault : uint8_t {
  kNone,
  kNoQuorum,    ///< Not committed; the answer is no_quorum, "unknown".
  kLostAnswer,  ///< Committed, but the answer is no_quorum, "unknown".
  kStaleEpoch,  ///< Refused as if another entry owned the program.
};

/// Store that forwards commands and injects faults by command name ("open",
/// "acquire", "begin", "retry", "abort", "finish", "end", "locate", "read",
/// "confirm", "pending"). Several entries can share a store. Thread-safe.
class FaultyStore final : public ProgramStoreI {
 public:
  explicit FaultyStore(std::unique_ptr<ProgramStoreI> store)
      : store_(std::move(store)) {}

  /// Injects the fault into the next `count` commands of this name.
  void Fail(const std::string& command, StoreFault fault, int count = 1) {
    std::lock_guard lock(mutex_);
    faults_[command].insert(faults_[command].end(), static_cast<size_t>(count),
                            fault);
  }
  int count(const std::string& command) const {
    std::lock_guard lock(mutex_);
    const auto found = counts_.find(command);
    return found == counts_.end() ? 0 : found->second;
  }
  /// Sets a hook that runs after each forwarded command, with its name.
  void OnCommand(std::function<void(const std::string&)> hook) {
    std::lock_guard lock(mutex_);
    hook_ = std::move(hook);
  }
  ProgramStoreI& inner() { return *store_; }

  Outcome<ProgramState> Open(const OpenProgram& command) override {
    return Run<ProgramState>("open", [&] { return store_->Open(command); });
  }
  Outcome<ProgramState> Acquire(const ProgramId& id,
                                const std::string& entry) override {
    return Run<ProgramState>("acquire",
                             [&] { return store_->Acquire(id, entry); });
  }
  Status Begin(const BeginCall& command) override {
    return Run<Done>("begin", [&] { return store_->Begin(command); });
  }
  Status Retry(const RetryCall& command) override {
    return Run<Done>("retry", [&] { return store_->Retry(command); });
  }
  Status Abort(const AbortCall& command) override {
    return Run<Done>("abort", [&] { return store_->Abort(command); });
  }
  Status Finish(const FinishCall& command) override {
    return Run<Done>("finish", [&] { return store_->Finish(command); });
  }
  Status End(const ProgramId& id, Reason reason) override {
    return Run<Done>("end", [&] { return store_->End(id, reason); });
  }
  Status ConfirmRelease(const ProgramId& id,
                        const UpstreamId& upstream) override {
    return Run<Done>("confirm",
                     [&] { return store_->ConfirmRelease(id, upstream); });
  }
  Outcome<ProgramState> Read(const ProgramId& id) override {
    return Run<ProgramState>("read", [&] { return store_->Read(id); });
  }
  Outcome<Ownership> Locate(const ProgramId& id) override {
    return Run<Ownership>("locate", [&] { return store_->Locate(id); });
  }
  Outcome<std::vector<PendingRelease>> PendingReleases(
      const std::string& domain,
      size_t limit) override {
    return Run<std::vector<PendingRelease>>(
        "pending", [&] { return store_->PendingReleases(domain, limit); });
  }

 private:
  template <typename T, typename Command>
  Outcome<T> Run(const std::string& name, const Command& command) {
    StoreFault fault = StoreFault::kNone;
    std::function<void(const std::string&)> hook;
    {
      std::lock_guard lock(mutex_);
      ++counts_[name];
      auto& waiting = faults_[name];
      if (!waiting.empty()) {
        fault = waiting.front();
        waiting.pop_front();
      }
      hook = hook_;
    }
    if (fault == StoreFault::kStaleEpoch) {
      return Refusal{Reason::kStaleEpoch, RunState::kNotRun, "scripted fault"};
    }
    if (fault == StoreFault::kNoQuorum) {
      return Refusal{Reason::kNoQuorum, RunState::kUnknown, "scripted fault"};
    }
    auto result = command();
    if (hook) {
      hook(name);
    }
    if (fault == StoreFault::kLostAnswer) {
      return Refusal{Reason::kNoQuorum, RunState::kUnknown, "scripted fault"};
    }
    return result;
  }

  const std::unique_ptr<ProgramStoreI> store_;
  mutable std::mutex mutex_;
  std::map<std::string, std::deque<StoreFault>> faults_;
  std::map<std::string, int> counts_;
  std::function<void(const std::string&)> hook_;
};

}  // namespace ring
