// Assigns guaranteed cells to availability zones and splits each workspace's accelerator cap
// between zones. The functions are pure functions of the document, so planners of different zones
// agree without communicating. Each cell has a home zone that does not depend on which zones are
// in. A cell whose home zone is out is hosted by zones that are in, as far as they have capacity.
// Taking a zone out therefore moves no cell of another zone.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "servers/planner/cells.h"

namespace turmericshift {

// The guaranteed cells and the accelerator cap of one workspace in one zone.
struct ZoneShare {
  // In descending order of level, each level at most once.
  std::vector<CellCount> cells;
  int accelerator_cap = 0;
};

// Guaranteed cells that no zone that is in can host.
struct UnhostedCell {
  std::string workspace;
  CellLevel level = CellLevel::kAccelerator;
  int count = 0;
};

struct GuaranteeSplit {
  // By zone, then by workspace. A zone that is out hosts no cells.
  std::map<std::string, std::map<std::string, ZoneShare>> zones;
  std::vector<UnhostedCell> unhosted;

  // Returns an empty share if the zone hosts nothing for the workspace.
  const ZoneShare& Share(const std::string& zone, const std::string& workspace) const;
};

GuaranteeSplit SplitGuarantees(const Environment& environment);

// The sizes of cells on the zone's workers.
CellSizes SizesOf(const AvailabilityZoneSpec& zone);
// The total number of accelerators of the zone's workers.
int AcceleratorsOf(const AvailabilityZoneSpec& zone);

}  // namespace turmericshift
