// Which availability zone hosts which guaranteed cells, and how each workspace's accelerator cap is
// split between zones. Pure functions of the document, so that planners of different zones agree
// without talking. Each cell has a home that does not depend on which zones are in; a cell whose
// home is out is hosted in the zones that are in as far as they hold it. A zone that leaves thus
// moves no cell of another zone.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "servers/planner/cells.h"

namespace turmericshift {

// What one zone holds for one workspace.
struct ZoneShare {
  // By level, in descending order, each level at most once.
  std::vector<CellCount> cells;
  int accelerator_cap = 0;
};

// A cell that no zone that is in can host.
struct UnhostedCell {
  std::string workspace;
  CellLevel level = CellLevel::kAccelerator;
  int count = 0;
};

struct GuaranteeSplit {
  // By zone, then by workspace. A zone that is out hosts nothing.
  std::map<std::string, std::map<std::string, ZoneShare>> zones;
  std::vector<UnhostedCell> unhosted;

  // An empty share when the zone holds nothing for the workspace.
  const ZoneShare& Share(const std::string& zone, const std::string& workspace) const;
};

GuaranteeSplit SplitGuarantees(const Environment& environment);

// Cell sizes on the zone's workers.
CellSizes SizesOf(const AvailabilityZoneSpec& zone);
// Accelerators of all the zone's workers.
int AcceleratorsOf(const AvailabilityZoneSpec& zone);

}  // namespace turmericshift
