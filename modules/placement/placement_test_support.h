// Generated clusters and what must hold of every plan, for the property tests of placement.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "servers/planner/zone_planner.h"

namespace turmericshift {

inline constexpr const char* kTestZone = "zone-a";

// One zone and some workspaces with guarantees that fit in it; the same for the same numbers.
Environment SmallEnvironment(int workers, int accelerators, const std::vector<int>& cells);

// A planner of that zone with all its workers up.
std::unique_ptr<ZonePlanner> PlannerWithWorkers(const Environment& environment,
                                                std::unique_ptr<PlacementPolicy> policy);

JobRecord TestJob(int number, const JobSpec& spec);
// A job of some shape that the numbers choose.
JobSpec TestSpec(const std::string& workspace, int size, int tasks, int flags);

// What is wrong with `plan` for that view: a gang in part, room given twice, a start while the zone
// is out, a start that puts a guarantee out of reach. "" if nothing is.
std::string PlanProblem(const ZoneView& view, const Plan& plan);

}  // namespace turmericshift
