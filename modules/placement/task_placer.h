// Places the tasks of one job on workers: either on free room with the tightest fit, or within
// guaranteed cells with the least lost work.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "servers/planner/zone_room.h"

namespace turmericshift {

// Returns true if the job may be placed on the worker.
using WorkerFilter = std::function<bool(int worker)>;
// Returns the work, in accelerator-seconds, that is lost if the running job of this index is
// stopped now.
using StopCost = std::function<double(int job)>;

// Places the job on free room by best fit: on the fullest workers first, and in the smallest free
// block of each, so that small jobs do not break up empty workers. Returns none if the job does not
// fit.
std::optional<std::vector<TaskOnWorker>> PlaceBestFit(const ZoneRoom& room, const JobSpec& spec,
                                                      const WorkerFilter& allowed);

struct CellPlacement {
  std::vector<TaskOnWorker> tasks;
  // Indices of the running jobs on lent room that must be stopped first. Empty if the room is free
  // now.
  std::vector<int> victims;
};

// Places the job within the cells of its workspace and binds these cells in `room`. Returns none if
// the cells can't hold the job, or if other jobs would have to be stopped and `may_stop` is false.
std::optional<CellPlacement> PlaceInCells(ZoneRoom* room, const ZoneView& view, const JobSpec& spec,
                                          const StopCost& cost, bool may_stop);

}  // namespace turmericshift
