// What stopping a run costs: the work that is lost, and the value that the run's own job loses by
// ending later.
#pragma once

#include "core/clock.h"
#include "servers/pool/job_model.h"
#include "servers/pool/job_value.h"
#include "servers/pool/mechanism.h"

namespace turmericshift::pool {

struct RunToStop {
  const StepSpec* step = nullptr;
  Room need;
  // Time since the run was ordered, expected run time, and the rest of it.
  Duration elapsed{};
  Duration whole{};
  Duration left{};
  // Timing of the job from the run's step on.
  JobTiming timing;
  // Value of finishing the job on time, in core-seconds.
  double value = 0;
  // How often the step has been preempted.
  int preemptions = 0;
};

struct StopTimes {
  // Time that a stop takes, and that resuming from a checkpoint takes.
  Duration stop{};
  Duration restore{};
  // How long the room is needed by others.
  Duration room_taken_for{};
};

// Cost in core-seconds; for a member of a gang, the member's share of the gang's cost.
double PreemptionCost(const RunToStop& run, const StopTimes& times,
                      const DisabledMechanisms& mechanisms_off);

}  // namespace turmericshift::pool
