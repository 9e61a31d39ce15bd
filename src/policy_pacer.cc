#include <cmath>

#include "persimmonring/policy.h"

namespace ring {
namespace {

constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kUsPer1000S = 1'000'000'000;
// One request in 4 s.
constexpr int64_t kMinLimit = 250;
// Requests of this time may pass at once.
constexpr int64_t kBurstUs = 500'000;
// Requests counted ahead take longer when the limit is lowered, but at most
// this: meanwhile nothing passes that could show that the limit has ended.
constexpr int64_t kMaxAheadUs = 2'000'000;
constexpr double kMsPer1000S = 1'000'000;

}  // namespace

void RequestPacer::SetLimit(int64_t limit, int64_t divisor, int64_t now_ms) {
  Advance(now_ms);
  const int64_t interval_us =
      kUsPer1000S / std::max(limit, kMinLimit) * std::max<int64_t>(divisor, 1);
  if (interval_us_ > 0 && interval_us != interval_us_) {
    const double scale =
        static_cast<double>(interval_us) / static_cast<double>(interval_us_);
    const auto ahead_us = static_cast<int64_t>(
        static_cast<double>(std::max<int64_t>(next_us_ - now_us_, 0)) * scale);
    next_us_ = now_us_ + std::min(ahead_us, kMaxAheadUs);
  }
  interval_us_ = interval_us;
}

void RequestPacer::Shift(double fraction, int64_t now_ms) {
  Advance(now_ms);
  next_us_ = now_us_ + kBurstUs +
             static_cast<int64_t>(static_cast<double>(interval_us_) * fraction);
}

void RequestPacer::Advance(int64_t now_ms) {
  const int64_t now_us = now_ms * kUsPerMs;
  if (now_us < now_us_) {
    next_us_ -= now_us_ - now_us;
  }
  now_us_ = now_us;
}

int64_t RequestPacer::WaitMs(int64_t now_ms) {
  Advance(now_ms);
  const int64_t wait_us = next_us_ - kBurstUs - now_us_;
  return wait_us <= 0 ? 0 : (wait_us + kUsPerMs - 1) / kUsPerMs;
}

void RequestPacer::Take(int64_t now_ms) {
  Advance(now_ms);
  next_us_ = std::max(next_us_, now_us_) + interval_us_;
}

void ProgramPacer::SetRate(int64_t rate, double capacity, int64_t now_ms) {
  Advance(now_ms);
  rate_per_ms_ = static_cast<double>(std::max<int64_t>(rate, 0)) / kMsPer1000S;
  capacity_ = capacity;
}

double ProgramPacer::committed(int64_t now_ms) const {
  const auto passed_ms =
      static_cast<double>(std::max<int64_t>(now_ms - now_ms_, 0));
  return std::max(committed_ - passed_ms * rate_per_ms_, 0.0);
}

void ProgramPacer::Advance(int64_t now_ms) {
  committed_ = committed(now_ms);
  now_ms_ = now_ms;
}

int64_t ProgramPacer::WaitMs(double requests, int64_t now_ms) {
  Advance(now_ms);
  // A program of any length may start while nothing is committed.
  const double excess = committed_ - std::max(capacity_ - requests, 0.0);
  if (excess <= 0) {
    return 0;
  }
  // A rate of 0 names a long time instead of an infinite one.
  constexpr double kMaxWaitMs = 60'000;
  return static_cast<int64_t>(
      std::ceil(rate_per_ms_ > 0 ? std::min(excess / rate_per_ms_, kMaxWaitMs)
                                 : kMaxWaitMs));
}

void ProgramPacer::Take(double requests, int64_t now_ms) {
  Advance(now_ms);
  committed_ += requests;
}

}  // namespace ring
