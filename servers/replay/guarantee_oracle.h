// Determines which waiting jobs are covered by their workspace's guarantee. Uses only the document
// and the resources in use, not the accounting of the policy, so that the policy's accounting is
// not checked against itself. In doubt, a job counts as not covered.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "servers/planner/zone_view.h"

namespace turmericshift {

// Returns the number of accelerators of one cell in the zone.
int CellAccelerators(CellLevel level, const AvailabilityZoneSpec& zone);

// Returns the ids of the waiting jobs of `view` that fit in `cells` together with all running jobs
// of the workspace. Jobs are placed in order of arrival. `cells`: the cells that the zone hosts for
// the workspace.
std::set<std::string> CoveredJobs(const ZoneView& view, const std::string& workspace,
                                  const std::vector<CellCount>& cells);

}  // namespace turmericshift
