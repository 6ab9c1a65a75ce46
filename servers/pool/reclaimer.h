// Chooses the runs to preempt for work of higher priority. Designed for bursts of urgent jobs in a
// full pool: the guaranteed room has to be reclaimed within the operators' bound, at the least loss
// of work.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "servers/pool/placer.h"
#include "servers/pool/pool_messages.h"

namespace turmericshift::pool {

// A run that may be preempted.
struct Victim {
  RunId run;
  std::string node;
  Room need;
  // Shared by the members of a gang, whose runs end together; empty for a single task.
  std::string gang;
  // Work lost by stopping the run, in core-seconds, with an accelerator counted as several cores.
  // For a member of a gang, the member's share of the gang's cost.
  double cost = 0;
  // The run's workspace uses more than its share; at equal cost such victims are chosen first.
  bool over_share = false;
};

// Outcome of the last decision on preemption for a unit.
enum class ReclaimOutcome {
  kNotConsidered,
  // Waiting costs the unit nothing, or nothing that preemption would save.
  kNoGain,
  // Stopping all possible victims would not make enough room.
  kNotEnoughRoom,
  kTooCostly,
  kOrdered,
};
const char* ReclaimOutcomeName(ReclaimOutcome outcome);

struct ReclaimPlan {
  Placement placement;
  std::vector<RunId> stops;
  double cost = 0;
  // All victims are of workspaces that use more than their share.
  bool over_share = false;
};

// Victims whose stop makes the request fit, within one rack if possible, otherwise anywhere if the
// request allows off-rack placement. Empty if stopping all victims would not be enough.
std::optional<ReclaimPlan> ChooseVictims(const PlacementRequest& request,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<Victim>& victims);

}  // namespace turmericshift::pool
