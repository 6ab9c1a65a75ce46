#include "modules/placement/first_fit.h"

#include <bit>
#include <optional>

namespace turmericshift {
namespace {

// The lowest `count` bits that are set in `mask`.
uint32_t LowestBits(uint32_t mask, int count) {
  uint32_t chosen = 0;
  for (int taken = 0; taken < count; ++taken) {
    const uint32_t lowest = mask & (~mask + 1);
    chosen |= lowest;
    mask &= ~lowest;
  }
  return chosen;
}

bool Fits(const WorkerView& worker, const TaskShape& shape) {
  return worker.usable && worker.free_processors >= shape.processors &&
         worker.free_memory_bytes >= shape.memory_bytes &&
         std::popcount(worker.free_accelerators) >= shape.accelerators;
}

bool Adjacent(Adjacency adjacency, const WorkerView& first, const WorkerView& other) {
  if (adjacency == Adjacency::kSameWorker) return first.name == other.name;
  if (adjacency == Adjacency::kSameRack) return first.rack == other.rack;
  return true;
}

// Places all tasks on workers adjacent to `first` and takes their room from `workers`. If they
// don't fit, changes nothing and returns none.
std::optional<std::vector<TaskOnWorker>> PlaceNear(size_t first, const JobSpec& spec,
                                                   std::vector<WorkerView>* workers) {
  std::vector<WorkerView> trial = *workers;
  std::vector<TaskOnWorker> tasks;
  for (size_t index = first; index < trial.size(); ++index) {
    WorkerView& worker = trial[index];
    if (!Adjacent(spec.adjacency, trial[first], worker)) continue;
    while (static_cast<int>(tasks.size()) < spec.tasks && Fits(worker, spec.shape)) {
      const uint32_t mask = LowestBits(worker.free_accelerators, spec.shape.accelerators);
      worker.free_accelerators &= ~mask;
      worker.free_processors -= spec.shape.processors;
      worker.free_memory_bytes -= spec.shape.memory_bytes;
      tasks.push_back({static_cast<int>(tasks.size()), worker.name, mask});
    }
  }
  if (static_cast<int>(tasks.size()) < spec.tasks) return std::nullopt;
  *workers = std::move(trial);
  return tasks;
}

}  // namespace

Plan FirstFit::Decide(const ZoneView& view, Time /*now*/) {
  Plan plan;
  if (!view.in) return plan;
  std::vector<WorkerView> workers = view.workers;
  for (const WaitingJob& job : view.waiting) {
    if (job.cancel_asked || !job.obstacle.empty()) continue;
    std::optional<std::vector<TaskOnWorker>> tasks;
    for (size_t first = 0; first < workers.size() && !tasks; ++first) {
      tasks = PlaceNear(first, job.spec, &workers);
    }
    if (!tasks) {
      plan.waits.push_back({job.id, "no room for all of its tasks at present"});
      return plan;
    }
    plan.starts.push_back({job.id, job.last_attempt + 1, false, *tasks});
  }
  return plan;
}

}  // namespace turmericshift
