// Whether a run on a worker that leaves should be started again elsewhere at once.
//
// Load pattern: workers are replaced one after the other under gangs that can't be saved. A worker
// announces that it leaves just after a gang was placed on it; the gang would run until shortly
// before its end and be lost with all members.
#pragma once

#include "core/clock.h"

namespace turmericshift::releases {

struct DepartingRun {
  // Expected time until the run ends.
  Duration left{};
  // Time for which the run has worked; a stop loses it.
  Duration elapsed{};
  // Minimum time until its worker leaves.
  Duration leaves_in{};
};

// Likelihood from 0 to 1 that the worker leaves before the run ends. Workers often stay longer than
// they announce, and run times are estimates.
double LossLikelihood(const DepartingRun& run);

// Whether stopping the run now is expected to lose less work than letting it go on. False if it is
// not known when the worker leaves.
bool ShouldMove(const DepartingRun& run);

}  // namespace turmericshift::releases
