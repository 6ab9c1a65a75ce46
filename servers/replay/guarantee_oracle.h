// Which waiting jobs their workspace's guarantee covers, worked out from the document and the room
// in use alone, without the policy's own books: a promise is not checked by what it is kept with.
// It errs on the side of fewer claims.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "servers/planner/zone_view.h"

namespace turmericshift {

// Accelerators that one cell has in the zone.
int CellAccelerators(CellLevel level, const AvailabilityZoneSpec& zone);

// Ids of the waiting jobs of `view` that, in order of arrival and together with all that their
// workspaces run there, fit in `cells`: the cells that the zone hosts for that workspace.
std::set<std::string> CoveredJobs(const ZoneView& view, const std::string& workspace,
                                  const std::vector<CellCount>& cells);

}  // namespace turmericshift
