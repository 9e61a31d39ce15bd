#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "persimmonring/upstream.h"

namespace ring {

/// Directory whose records are set by the test. Thread-safe.
class FakeDirectory final : public DirectoryI {
 public:
  Status Announce(const UpstreamRecord& record) override {
    Set(record);
    return Done{};
  }
  std::shared_ptr<const DirectoryView> View() const override {
    std::lock_guard lock(mutex_);
    return view_;
  }
  void ReportFailure(const UpstreamId&, Reason) override {}
  void ReportSuccess(const UpstreamId&) override {}

  void Set(const UpstreamRecord& record) {
    std::lock_guard lock(mutex_);
    auto next = std::make_shared<DirectoryView>(*view_);
    std::erase_if(next->upstreams, [&](const UpstreamRecord& old) {
      return old.id.name == record.id.name;
    });
    next->upstreams.push_back(record);
    std::sort(next->upstreams.begin(), next->upstreams.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    ++next->version;
    view_ = next;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const DirectoryView> view_ =
      std::make_shared<DirectoryView>();
};

/// Scripted behavior of one attempt at a fake engine.
struct EngineFault {
  enum class Kind : uint8_t {
    kNone,
    kRefuse,     ///< Connection refused, nothing sent.
    kReset,      ///< Reset after `after_tokens` tokens.
    kTruncate,   ///< Ends without the end marker after `after_tokens`.
    kHang,       ///< Sends nothing; times out after `delay_ms` or on cancel.
    kOtherText,  ///< Answers a different prompt.
    kCrash,      ///< Resets this and all running attempts of the upstream.
  };
  Kind kind = Kind::kNone;
  int64_t after_tokens = 0;
  int64_t delay_ms = 0;  ///< Delay before the first token.
};

/// In-memory engines and services. An answer depends only on the text of its
/// prompt. A callback chooses the engine faults, a list gives the service
/// faults. Thread-safe.
class FakeUpstreams final : public EngineClientI, public ServiceClientI {
 public:
  using ChooseFault =
      std::function<EngineFault(const UpstreamRecord&, const EngineRequest&)>;

  std::atomic<int64_t> tokens = 6;            ///< Tokens per answer.
  std::atomic<int64_t> token_delay_ms = 0;    ///< Delay before each token.
  std::atomic<int64_t> service_delay_ms = 0;  ///< Duration of a service call.

  void OnAttempt(ChooseFault choose) {
    std::lock_guard lock(mutex_);
    choose_fault_ = std::move(choose);
  }
  /// Makes the next service calls fail with these refusals, in this order.
  void FailService(std::vector<Refusal> failures) {
    std::lock_guard lock(mutex_);
    service_failures_ = std::move(failures);
  }

  static std::string TokenText(const std::string& prompt, int64_t index) {
    return "w" + std::to_string(Checksum(prompt) % 1'000) + "." +
           std::to_string(index) + " ";
  }
  std::string AnswerTo(const std::string& prompt) const {
    std::string text;
    for (int64_t i = 0; i < tokens; ++i) {
      text += TokenText(prompt, i);
    }
    return text;
  }

  Outcome<EngineResult> Complete(const UpstreamRecord& upstream,
                                 const EngineRequest& request,
                                 const TextSink& sink,
                                 const CancelToken& cancel) override {
    EngineFault fault;
    {
      std::lock_guard lock(mutex_);
      attempts_.push_back(request);
      cached_keys_.insert({upstream.id.name, request.cache_key});
      running_[upstream.id.name] += 1;
      max_running_[upstream.id.name] =
          std::max(max_running_[upstream.id.name], running_[upstream.id.name]);
      if (choose_fault_) {
        fault = choose_fault_(upstream, request);
      }
      if (fault.kind == EngineFault::Kind::kCrash) {
        crash_tokens_[upstream.id.name].Cancel();
        crash_tokens_.erase(upstream.id.name);
      }
    }
    auto result = Produce(request, fault, sink, cancel,
                          CrashTokenOf(upstream.id.name, fault));
    std::lock_guard lock(mutex_);
    running_[upstream.id.name] -= 1;
    return result;
  }

  Status Cancel(const UpstreamRecord&, const std::string& attempt) override {
    std::lock_guard lock(mutex_);
    cancelled_.insert(attempt);
    return Done{};
  }
  Status ReleaseCache(const UpstreamRecord& upstream,
                      const std::string& cache_key) override {
    std::lock_guard lock(mutex_);
    if (failing_releases > 0) {
      --failing_releases;
      return Refusal{Reason::kUpstreamTimeout, RunState::kUnknown, "lost"};
    }
    cached_keys_.erase({upstream.id.name, cache_key});
    return Done{};
  }
  Status MoveCache(const UpstreamRecord&,
                   const UpstreamRecord&,
                   const std::string&) override {
    return Done{};
  }
  Status Order(const UpstreamRecord&, const UpstreamOrder& order) override {
    std::lock_guard lock(mutex_);
    orders_.push_back(order);
    return Done{};
  }
  Outcome<std::string> ReadState(const UpstreamRecord&) override {
    std::lock_guard lock(mutex_);
    return state;
  }
  Outcome<std::vector<CacheEvent>> CacheEvents(const UpstreamRecord&,
                                               uint64_t) override {
    return std::vector<CacheEvent>{};
  }

  Outcome<ServiceResult> Call(const UpstreamRecord&,
                              const ServiceRequest& request) override {
    std::this_thread::sleep_for(std::chrono::milliseconds(service_delay_ms));
    std::lock_guard lock(mutex_);
    if (!service_failures_.empty()) {
      const Refusal failure = service_failures_.front();
      service_failures_.erase(service_failures_.begin());
      if (failure.run_state != RunState::kNotRun) {
        runs_.push_back(request.body);
      }
      return failure;
    }
    runs_.push_back(request.body);
    return ServiceResult{200, "application/json",
                         "{\"echo\":" + request.body + "}"};
  }

  /// Bodies of the service calls that were executed, in order.
  std::vector<std::string> runs() const {
    std::lock_guard lock(mutex_);
    return runs_;
  }
  std::vector<EngineRequest> attempts() const {
    std::lock_guard lock(mutex_);
    return attempts_;
  }
  std::vector<UpstreamOrder> orders() const {
    std::lock_guard lock(mutex_);
    return orders_;
  }
  size_t held_caches() const {
    std::lock_guard lock(mutex_);
    return cached_keys_.size();
  }
  size_t cancelled() const {
    std::lock_guard lock(mutex_);
    return cancelled_.size();
  }
  int max_running(const std::string& upstream) const {
    std::lock_guard lock(mutex_);
    const auto found = max_running_.find(upstream);
    return found == max_running_.end() ? 0 : found->second;
  }

  int failing_releases = 0;  ///< Number of cache releases that fail next.
  std::string state = "{}";  ///< State that every engine reports, as JSON.

 private:
  static Refusal Fail(Reason reason, RunState run_state) {
    return {reason, run_state, "scripted fault"};
  }

  // @returns a token that is cancelled when the upstream crashes
  CancelToken CrashTokenOf(const std::string& name, const EngineFault& fault) {
    if (fault.kind == EngineFault::Kind::kCrash) {
      CancelToken crashed;
      crashed.Cancel();
      return crashed;
    }
    std::lock_guard lock(mutex_);
    return crash_tokens_[name];
  }

  Outcome<EngineResult> Produce(const EngineRequest& request,
                                const EngineFault& fault,
                                const TextSink& sink,
                                const CancelToken& cancel,
                                const CancelToken& crash_token) const {
    using Kind = EngineFault::Kind;
    if (fault.kind == Kind::kRefuse) {
      return Fail(Reason::kUpstreamRefused, RunState::kNotRun);
    }
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(fault.delay_ms);
    while (std::chrono::steady_clock::now() < end && !cancel.cancelled() &&
           !crash_token.cancelled()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    if (fault.kind == Kind::kHang) {
      return Fail(Reason::kUpstreamTimeout, RunState::kUnknown);
    }
    const std::string prompt =
        request.messages + (fault.kind == Kind::kOtherText ? "other" : "");
    EngineResult result;
    for (int64_t i = request.resume_from; i < tokens; ++i) {
      const bool interrupted =
          fault.kind == Kind::kReset || fault.kind == Kind::kTruncate;
      if (interrupted && i >= fault.after_tokens) {
        return Fail(fault.kind == Kind::kReset ? Reason::kUpstreamReset
                                               : Reason::kUpstreamTruncated,
                    RunState::kUnknown);
      }
      if (crash_token.cancelled()) {
        return Fail(Reason::kUpstreamReset, RunState::kUnknown);
      }
      if (cancel.cancelled()) {
        return Fail(Reason::kCancelled, RunState::kUnknown);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(token_delay_ms));
      sink(i, TokenText(prompt, i));
      result.text += TokenText(prompt, i);
    }
    result.finish_reason = "stop";
    result.prompt_tokens = CountTokens(request.messages.size());
    result.output_tokens = tokens - request.resume_from;
    return result;
  }

  mutable std::mutex mutex_;
  ChooseFault choose_fault_;
  std::vector<Refusal> service_failures_;
  std::vector<std::string> runs_;
  std::vector<EngineRequest> attempts_;
  std::vector<UpstreamOrder> orders_;
  std::set<std::pair<std::string, std::string>> cached_keys_;
  std::set<std::string> cancelled_;
  std::map<std::string, CancelToken> crash_tokens_;
  std::map<std::string, int> running_;
  std::map<std::string, int> max_running_;
};

}  // namespace ring
