#include "servers/speeds/speed_preference.h"

#include <algorithm>

namespace turmericshift::speeds {
namespace {

// Time from the decision until the run's end is known, beyond the run itself.
constexpr Duration kOverhead = std::chrono::milliseconds(250);
// Workers below this factor are fast, and below the other one about typical.
constexpr double kFastFactor = 0.8;
constexpr double kTypicalFactor = 1.2;
// A job with at least this much slack can run on any but the very slowest workers.
constexpr double kAmpleSlack = 2;
// Tasks differ from what is expected of them, so a job with slack keeps some of it.
constexpr double kSlackMargin = 0.8;
constexpr double kSlackUsed = 0.75;
// Without a queue that is due soon, only workers with twice the usual run time count as slow.
constexpr double kMaxSlowFactor = 2;
constexpr double kMinSlowFactor = 1.2;

}  // namespace

SpeedLimits LimitsFor(bool urgent, Duration until_due, Duration remaining) {
  SpeedLimits limits;
  if (remaining <= Duration::zero()) return limits;
  limits.max_factor = std::max(0.0, Seconds(until_due - kOverhead) / Seconds(remaining));
  if (urgent) {
    limits.preference = SpeedPreference::kFast;
    // A job that no worker can end in time should still end soon.
    if (limits.max_factor < kFastFactor) limits.max_factor = kTypicalFactor;
  } else if (limits.max_factor >= kAmpleSlack) {
    limits.preference = SpeedPreference::kSlow;
    limits.max_factor *= kSlackMargin;
  }
  return limits;
}

int SpeedRank(const SpeedLimits& limits, double factor, double cautious_factor) {
  constexpr int kTypicalRank = 1;
  constexpr int kMiddleRank = 2;
  switch (limits.preference) {
    case SpeedPreference::kNone:
      return 0;
    case SpeedPreference::kFast:
      if (cautious_factor < kFastFactor) return 0;
      if (cautious_factor < std::min(kTypicalFactor, limits.max_factor)) return kTypicalRank;
      return factor <= limits.max_factor ? kMiddleRank : kTooSlowRank;
    case SpeedPreference::kSlow:
      if (cautious_factor > limits.max_factor) return kTooSlowRank;
      if (factor > kTypicalFactor) return 0;
      return factor > kFastFactor ? kTypicalRank : kMiddleRank;
  }
  return 0;
}

double SlowFactorFor(double stretch) {
  return std::clamp(1 + kSlackUsed * (stretch - 1), kMinSlowFactor, kMaxSlowFactor);
}

}  // namespace turmericshift::speeds
