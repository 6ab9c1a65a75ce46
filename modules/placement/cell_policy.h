// Placement policy based on guaranteed cells (accelerators, workers or racks that are guaranteed to
// a workspace). Jobs within their workspace's guarantee are placed first and may preempt jobs on
// lent room (room outside the cells in use). Other jobs run on lent room: shortest expected run
// time first, with aging and fairness between workspaces. A large gang that has waited long enough
// gets workers reserved; until they are free, smaller jobs that should end in time backfill them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/placement/run_time_estimator.h"
#include "modules/placement/task_placer.h"
#include "servers/planner/placement_policy.h"

namespace turmericshift {

using Reservations = std::map<std::string, std::vector<std::string>>;

class CellPolicy : public PlacementPolicy {
 public:
  Plan Decide(const ZoneView& view, Time now) override;
  void Learn(const JobSpec& spec, Duration run_time, Time now) override;

 private:
  // Returns the stops for a zone that operators have taken out.
  Plan DrainZone(const ZoneView& view, Time now);

  RunTimeEstimator estimator_;
  // When this policy first found its zone taken out by operators. Not replicated: a planner that
  // takes over starts counting anew.
  std::optional<Time> out_since_;
  // The names of the workers that are reserved for each waiting large gang, by job id.
  Reservations reservations_;
};

}  // namespace turmericshift
