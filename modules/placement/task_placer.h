// Puts the tasks of one job on workers: on free room as tightly as they fit, or within guaranteed
// cells with the least lent work in the way.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "servers/planner/zone_room.h"

namespace turmericshift {

// Whether a job may be put on the worker.
using WorkerFilter = std::function<bool(int worker)>;
// Work that is lost, in accelerator seconds, if the running job of that index is stopped now.
using StopCost = std::function<double(int job)>;

// Tightest fit on free room, small work on workers that are already broken.
std::optional<std::vector<TaskOnWorker>> PlaceBestFit(const ZoneRoom& room, const JobSpec& spec,
                                                      const WorkerFilter& allowed);

struct CellPlacement {
  std::vector<TaskOnWorker> tasks;
  // Indices of running jobs on lent room that must stop first; none: the room is free now.
  std::vector<int> victims;
};

// Within cells of the job's workspace, bound in `room` if found. None if its cells can't hold the
// job, or not without stopping other work when `may_stop` is false.
std::optional<CellPlacement> PlaceInCells(ZoneRoom* room, const ZoneView& view, const JobSpec& spec,
                                          const StopCost& cost, bool may_stop);

}  // namespace turmericshift
