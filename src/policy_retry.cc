#include <algorithm>
#include <mutex>

#include "persimmonring/policy.h"

namespace ring {
namespace {

// The budget is capped at this many seconds of the minimum rate, so that an
// outage after a long idle time does not start with a burst of retries.
constexpr double kMaxBudgetSeconds = 10;

class RetryPolicy final : public RetryPolicyI {
 public:
  explicit RetryPolicy(const RetryInit& init)
      : init_(init), budget_(init.min_retries_per_s) {}

  void OnCall(int64_t now_ms) override {
    std::lock_guard lock(mutex_);
    Refill(now_ms);
    AddBudget(init_.budget_share);
  }

  RetryAction OnFailure(const AttemptFailure& failure) override {
    if (!IsRetryable(failure)) {
      return RetryAction::kGiveUp;
    }
    std::lock_guard lock(mutex_);
    Refill(failure.now_ms);
    if (budget_ < 1) {
      return RetryAction::kGiveUp;
    }
    budget_ -= 1;
    return IsCrash(failure.reason) && failure.run_state != RunState::kNotRun
               ? RetryAction::kRetryAlone
               : RetryAction::kRetry;
  }

 private:
  static bool IsCrash(Reason reason) {
    return reason == Reason::kUpstreamReset ||
           reason == Reason::kUpstreamTruncated;
  }

  bool IsRetryable(const AttemptFailure& failure) const {
    if (failure.attempts >= init_.max_attempts ||
        failure.run_state == RunState::kRan) {
      return false;
    }
    if (failure.deadline_ms > 0 && failure.now_ms >= failure.deadline_ms) {
      return false;
    }
    return failure.idempotent || failure.run_state == RunState::kNotRun;
  }

  void Refill(int64_t now_ms) {
    if (last_refill_ms_ < 0) {
      last_refill_ms_ = now_ms;
    }
    const int64_t elapsed = std::max<int64_t>(now_ms - last_refill_ms_, 0);
    last_refill_ms_ = std::max(last_refill_ms_, now_ms);
    AddBudget(static_cast<double>(elapsed) / 1'000 * init_.min_retries_per_s);
  }

  void AddBudget(double amount) {
    const double max_budget =
        std::max(1.0, kMaxBudgetSeconds * std::max(init_.min_retries_per_s, 1));
    budget_ = std::min(budget_ + amount, max_budget);
  }

  const RetryInit init_;
  std::mutex mutex_;
  double budget_;
  int64_t last_refill_ms_ = -1;
};

}  // namespace

std::unique_ptr<RetryPolicyI> CreateRetryPolicy(const RetryInit& init) {
  return std::make_unique<RetryPolicy>(init);
}

}  // namespace ring
