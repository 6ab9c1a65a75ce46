// Which workers a unit prefers by their speed.
//
// Load pattern: urgent gangs with little slack beside jobs with much slack in a pool of unequal
// workers. Urgent gangs get workers on which they end in time; jobs with slack take the slow
// workers and leave the fast ones.
#pragma once

#include "core/clock.h"

namespace turmericshift::speeds {

enum class SpeedPreference {
  // Speed does not matter.
  kNone,
  kFast,
  // The slowest workers on which the job still ends in time.
  kSlow,
};

struct SpeedLimits {
  SpeedPreference preference = SpeedPreference::kNone;
  // Largest time factor with which the job still ends in time.
  double max_factor = 0;
};

// Ranks of workers; a lower rank is chosen first. On workers of kTooSlowRank the job would be late.
inline constexpr int kTooSlowRank = 3;

// Limits of a unit. `until_due`: time until its job is due; `remaining`: expected time of the
// remaining steps on typical workers.
SpeedLimits LimitsFor(bool urgent, Duration until_due, Duration remaining);

// Rank of a worker with these factors (see WorkerSpeeds) for a unit with these limits.
int SpeedRank(const SpeedLimits& limits, double factor, double cautious_factor);

// Time factor from which on workers are too slow for jobs that are due `stretch` times their run
// time after they were submitted: three quarters of the slack, the rest is needed to begin.
double SlowFactorFor(double stretch);

}  // namespace turmericshift::speeds
