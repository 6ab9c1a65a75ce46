#include "servers/planner/feasibility.h"

#include <algorithm>

#include "servers/planner/zone_room.h"

namespace turmericshift {
namespace {

std::string ShapeText(const TaskShape& shape) {
  constexpr int64_t kMebibyte = int64_t{1} << 20;
  return std::to_string(shape.processors) + " processors, " +
         std::to_string(shape.memory_bytes / kMebibyte) + " MiB and " +
         std::to_string(shape.accelerators) + " accelerators";
}

// The number of tasks of `shape` that fit together in `room`.
int TasksThatFit(const TaskShape& shape, const TaskShape& room) {
  int64_t tasks = kMaxTasksPerJob;
  if (shape.processors > 0) tasks = std::min<int64_t>(tasks, room.processors / shape.processors);
  if (shape.memory_bytes > 0) tasks = std::min(tasks, room.memory_bytes / shape.memory_bytes);
  if (shape.accelerators > 0) {
    tasks = std::min<int64_t>(tasks, room.accelerators / shape.accelerators);
  }
  return static_cast<int>(tasks);
}

Environment WithAllZonesIn(Environment environment) {
  for (auto& [name, zone] : environment.zones) zone.in = true;
  return environment;
}

// The maximum number of tasks that the adjacency allows on the zone's workers.
int MaxTasks(const AvailabilityZoneSpec& zone, const JobSpec& spec) {
  const int on_worker = TasksThatFit(spec.shape, zone.worker);
  if (spec.adjacency == Adjacency::kSameWorker) return zone.workers > 0 ? on_worker : 0;
  if (spec.adjacency == Adjacency::kSameRack) {
    return on_worker * std::min(zone.workers, zone.workers_per_rack);
  }
  return on_worker * zone.workers;
}

// The maximum number of tasks that fit in the cells. Tasks of a same-worker job must share one
// cell.
int MaxTasksInCells(const CellSizes& sizes, const std::vector<CellCount>& cells,
                    const JobSpec& spec) {
  int total = 0;
  int largest = 0;
  for (const CellCount& cell : cells) {
    const int workers = cell.level == CellLevel::kRack ? sizes.workers_per_rack() : 1;
    const TaskShape shape = sizes.Shape(std::min(cell.level, CellLevel::kWorker));
    const int here = TasksThatFit(spec.shape, shape);
    total += here * workers * cell.count;
    if (cell.count > 0) largest = std::max(largest, here);
  }
  return spec.adjacency == Adjacency::kSameWorker ? largest : total;
}

Refusal RefuseTaskCount(const std::string& reason, int max_tasks, const JobSpec& spec) {
  Refusal refusal{reason, ""};
  if (max_tasks > 0) {
    refusal.nearest = std::to_string(std::min(max_tasks, spec.tasks)) + " tasks of the same shape";
  }
  return refusal;
}

}  // namespace

std::string Refusal::Text() const {
  return nearest.empty() ? reason : reason + "; the nearest that can run: " + nearest;
}

Feasibility::Feasibility(std::shared_ptr<const Environment> environment)
    : environment_(std::move(environment)),
      split_(SplitGuarantees(*environment_)),
      split_all_in_(SplitGuarantees(WithAllZonesIn(*environment_))) {}

std::optional<Refusal> Feasibility::InZone(const std::string& zone, const JobSpec& spec) const {
  const AvailabilityZoneSpec* known = environment_->FindZone(zone);
  // A zone that is out hosts no cells, so the check uses the cells that the zone hosts once it is
  // back in.
  return Check(zone, spec, known != nullptr && known->in ? split_ : split_all_in_);
}

std::optional<Refusal> Feasibility::Anywhere(const JobSpec& spec) const {
  std::optional<Refusal> nearest;
  for (const auto& [name, zone] : environment_->zones) {
    for (const GuaranteeSplit* split : {&split_all_in_, &split_}) {
      std::optional<Refusal> refusal = Check(name, spec, *split);
      if (!refusal) return std::nullopt;
      if (!nearest || (nearest->nearest.empty() && !refusal->nearest.empty())) nearest = refusal;
    }
  }
  return nearest;
}

int Feasibility::GuaranteedAccelerators(const std::string& zone,
                                        const std::string& workspace) const {
  const AvailabilityZoneSpec* known = environment_->FindZone(zone);
  if (known == nullptr) return 0;
  const CellSizes sizes = SizesOf(*known);
  int total = 0;
  for (const CellCount& cell : split_.Share(zone, workspace).cells) {
    total += cell.count * sizes.Accelerators(cell.level);
  }
  return total;
}

std::optional<Refusal> Feasibility::Check(const std::string& name, const JobSpec& spec,
                                          const GuaranteeSplit& split) const {
  const AvailabilityZoneSpec* zone = environment_->FindZone(name);
  if (zone == nullptr) return Refusal{"there is no availability zone " + name, ""};
  const bool allowed = spec.zones.empty() ||
                       std::find(spec.zones.begin(), spec.zones.end(), name) != spec.zones.end();
  if (!allowed) return Refusal{"the job does not allow availability zone " + name, ""};
  if (!FitsIn(spec.shape, zone->worker)) {
    return Refusal{"one task asks for " + ShapeText(spec.shape) + ", a worker of " + name +
                       " has " + ShapeText(zone->worker),
                   "tasks of at most " + ShapeText(zone->worker)};
  }
  const int max_tasks = MaxTasks(*zone, spec);
  if (max_tasks < spec.tasks) {
    return RefuseTaskCount(std::to_string(spec.tasks) + " tasks with adjacency " +
                               AdjacencyName(spec.adjacency) + " don't fit in " + name,
                           max_tasks, spec);
  }
  const ZoneShare& share = split.Share(name, spec.workspace);
  const int each = spec.shape.accelerators;
  if (each * spec.tasks > share.accelerator_cap) {
    return RefuseTaskCount("its workspace may use at most " +
                               std::to_string(share.accelerator_cap) + " accelerators in " + name,
                           share.accelerator_cap / std::max(1, each), spec);
  }
  if (CanBeStopped(spec)) return std::nullopt;
  const int in_cells = MaxTasksInCells(SizesOf(*zone), share.cells, spec);
  if (in_cells >= spec.tasks) return std::nullopt;
  return RefuseTaskCount(
      "it can be neither repeated nor checkpointed, so it may run only within its workspace's "
      "guaranteed cells, and those in " +
          name + " don't hold it",
      in_cells, spec);
}

}  // namespace turmericshift
