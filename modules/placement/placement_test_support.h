// Generated clusters, and the invariants of every plan, for the property tests of placement.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "servers/planner/zone_planner.h"

namespace turmericshift {

inline constexpr const char* kTestZone = "zone-a";

// Returns an environment with one zone, and workspaces whose guarantees fit in it. Deterministic.
Environment SmallEnvironment(int workers, int accelerators, const std::vector<int>& cells);

// Returns a planner of kTestZone with all workers up.
std::unique_ptr<ZonePlanner> PlannerWithWorkers(const Environment& environment,
                                                std::unique_ptr<PlacementPolicy> policy);

JobRecord TestJob(int number, const JobSpec& spec);
// Returns a job whose shape and properties are derived from the numbers.
JobSpec TestSpec(const std::string& workspace, int size, int tasks, int flags);

// Describes how `plan` violates an invariant in `view`: it starts part of a gang, gives room twice,
// starts a job while the zone is out, or makes a guarantee impossible to meet. Returns "" if it
// violates none.
std::string PlanProblem(const ZoneView& view, const Plan& plan);

}  // namespace turmericshift
