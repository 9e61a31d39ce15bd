#include <algorithm>
#include <cmath>

#include "persimmonring/policy.h"

namespace ring {
namespace {

constexpr double kUsPerMs = 1'000;
// Part of the time to its deadline that a program may be expected to wait. A
// deadline is 1.4 to 1.6 times the time on idle upstreams plus a constant, so a
// third would be left for waiting. Half of it is kept for what the wait does
// not show: larger batches are slower, and programs between two turns come
// back. In tests/state_admission_test.cc, a third leaves 166 of 566 programs
// late, a sixth 7.
constexpr double kWaitShare = 1.0 / 6;
// A team with more than its max-min share gives way to the others.
constexpr double kAboveShareFactor = 0.5;
// Each level of priority shortens the wait at which starts are refused.
constexpr double kPriorityDivisor = 4;
constexpr int64_t kMinRetryMs = 100;

// Longest total wait with which the program is started, ms.
double AcceptedWaitMs(const TurnAdmissionInput& input) {
  const bool above_share =
      input.active_teams > 1 &&
      static_cast<double>(input.team_open_turns + 1) > input.team_share;
  return static_cast<double>(input.program_wait_ms) * kWaitShare *
         (above_share ? kAboveShareFactor : 1) /
         (1 + std::max(input.priority, 0) / kPriorityDivisor);
}

}  // namespace

TurnAdmission AdmitTurn(const TurnAdmissionInput& input) {
  const int64_t slots = std::max<int64_t>(input.slots, 1);
  const int64_t excess = std::max<int64_t>(input.open_turns - slots + 1, 0);
  const double wait_ms = static_cast<double>(excess) *
                         static_cast<double>(input.turn_us) / kUsPerMs /
                         static_cast<double>(slots);
  const auto limit_ms =
      static_cast<double>(std::max<int64_t>(input.limit_wait_ms, 0));
  TurnAdmission admission{.wait_ms = std::llround(wait_ms)};
  const double total_ms = std::max(wait_ms * input.turns_per_program, limit_ms);
  if (!input.starts_program || input.program_wait_ms <= 0 || total_ms <= 0 ||
      total_ms <= AcceptedWaitMs(input)) {
    return admission;
  }
  admission.admitted = false;
  const int64_t soonest_ms = std::max(
      std::llround(std::max(wait_ms, limit_ms - AcceptedWaitMs(input))),
      static_cast<long long>(kMinRetryMs));
  admission.retry_after_ms =
      soonest_ms +
      static_cast<int64_t>(input.random % static_cast<uint64_t>(soonest_ms));
  return admission;
}

}  // namespace ring
