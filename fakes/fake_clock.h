#pragma once

#include <atomic>

#include "persimmonring/core.h"

namespace ring {

/// Clock that advances only by AdvanceMs. Thread-safe.
class FakeClock final : public ClockI {
 public:
  int64_t NowMs() const override { return now_ms_.load(); }
  int64_t WallMs() const override { return kWallStartMs + now_ms_.load(); }
  void AdvanceMs(int64_t by_ms) { now_ms_.fetch_add(by_ms); }

 private:
  static constexpr int64_t kWallStartMs = 1'700'000'000'000;
  std::atomic<int64_t> now_ms_{1'000};
};

}  // namespace ring
