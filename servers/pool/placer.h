// Chooses workers for a step's tasks. Designed for two load patterns: gangs that want one rack amid
// many small tasks, and bursts of urgent gangs. Small tasks go to the workers with the fewest free
// accelerators, so that whole workers and racks stay free for gangs. Urgent gangs, which a single
// failing worker makes late, get the fewest workers. A gang is as slow as its slowest member, so it
// gets the rack on which the worst rank by speed is the lowest.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// What runs on a worker, with regard to clearing it for a gang.
enum class Occupancy {
  kNone,
  // All runs can be stopped and resumed later from a checkpoint.
  kResumable,
  // Stopping at least one of the runs loses its work.
  kNotResumable,
};

// A candidate worker for a step. Only workers that may run the step are passed in.
struct WorkerRoom {
  // Owned by the caller, because candidates are rebuilt for every waiting step.
  std::string_view node;
  std::string_view rack;
  Room free;
  // How many more tasks of the step the step's limit per worker allows on this worker, regardless
  // of free room.
  int max_tasks = 0;
  Occupancy occupancy = Occupancy::kNone;
  // The worker seems unhealthy and is chosen last.
  bool suspect = false;
  // The worker will soon be replaced, and the step's work would be lost with it. Chosen after the
  // others.
  bool outdated = false;
  // Preference by speed, lower first; see speeds::SpeedRank.
  int speed_rank = 0;
};

struct PlacementRequest {
  const StepSpec* step = nullptr;
  // Number of tasks to place: all or none for a gang, as many as fit otherwise.
  int tasks = 1;
  // Allows placement of a one-rack gang over several racks, and of tasks outside their data's rack.
  bool allow_off_rack = false;
  // Places a gang on the fewest workers. For gangs with little time beyond their run time: each
  // further worker may be slow, fail or leave, and any of that holds for the whole gang.
  bool few_workers = false;
  // Places single tasks by their other needs only, on the workers with the most free processors.
  // For best-effort steps, which may use processors that others leave unused.
  bool ignore_processors = false;
};

// The node of each placed task, in the order of the tasks.
using Placement = std::vector<std::string>;

// Returns an empty placement if nothing fits.
Placement Place(const PlacementRequest& request, const std::vector<WorkerRoom>& workers);

// How many tasks of `need` fit into `room`, at most `max_tasks`.
int FitCount(const Room& room, const Room& need, int max_tasks);

// Whether the request fits without off-rack placement once all workers are empty. `empty_workers`
// have their whole capacity free.
bool FitsOneRack(const PlacementRequest& request, const std::vector<WorkerRoom>& empty_workers);

}  // namespace turmericshift::pool
