// Chooses workers for a step's tasks. Answers two load patterns: gangs that want one rack amid many
// small tasks, and bursts of urgent gangs. Small tasks go where least accelerators are left, so
// that whole workers and racks stay free for gangs.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// What runs on a worker, as far as clearing it for a gang goes.
enum class Occupancy {
  kNone,
  // All of it can be stopped and go on later from where it was.
  kSaved,
  // Stopping some of it throws work away.
  kUnsaved,
};

// A worker as a candidate: only those that may run the step at all are offered.
struct WorkerRoom {
  // Names that the caller keeps: candidates are made anew for every step that waits.
  std::string_view node;
  std::string_view rack;
  Room free;
  // How many tasks of this step it may take besides room; from the limit per worker.
  int most_tasks = 0;
  Occupancy tenants = Occupancy::kNone;
  // Set for workers that look slow or unwell; they come last.
  bool doubtful = false;
};

struct PlaceWish {
  const StepSpec* step = nullptr;
  // Tasks to place; all or none for a gang, as many as fit otherwise.
  int tasks = 1;
  // A gang that wants one rack, or a task that wants its data's rack, may go elsewhere.
  bool may_stray = false;
};

// One node for each task placed, in the order of the tasks.
using Placement = std::vector<std::string>;

// Empty when nothing fits.
Placement Place(const PlaceWish& wish, const std::vector<WorkerRoom>& workers);

// How many tasks of `need` fit into `room`, at most `most`.
int FitCount(const Room& room, const Room& need, int most);

// Whether the wish fits without straying once all workers, given with their whole capacity, are
// free.
bool FitsOneRack(const PlaceWish& wish, const std::vector<WorkerRoom>& empty_workers);

}  // namespace turmericshift::pool
