#include "modules/placement/task_placer.h"

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>

namespace turmericshift {
namespace {

constexpr int kMaxAccelerators = 32;
// The cost of using a soft-reserved worker. It is lower than the cost of stopping any job, so that
// it only matters in the choice between free sites.
constexpr double kSoftReservedCost = 1;

uint32_t LowestBits(uint32_t mask, int count) {
  uint32_t chosen = 0;
  for (int taken = 0; taken < count; ++taken) {
    const uint32_t lowest = mask & (~mask + 1);
    chosen |= lowest;
    mask &= ~lowest;
  }
  return chosen;
}

// Takes `count` accelerators from the smallest and fullest aligned block that has enough free ones.
uint32_t ChooseBits(const CellSizes& sizes, uint32_t free, int count) {
  if (count == 0) return 0;
  for (const CellLevel level :
       {CellLevel::kAccelerator, CellLevel::kPair, CellLevel::kHalf, CellLevel::kWorker}) {
    uint32_t best = 0;
    int least = kMaxAccelerators + 1;
    for (const uint32_t block : sizes.Blocks(level)) {
      const int here = std::popcount(block & free);
      if (here < count || here >= least) continue;
      least = here;
      best = block & free;
    }
    if (best != 0) return LowestBits(best, count);
  }
  return LowestBits(free, count);
}

int TasksThatFit(const RoomWorker& worker, const TaskShape& shape) {
  if (!worker.usable) return 0;
  int fit = kMaxTasksPerJob;
  if (shape.accelerators > 0) {
    fit = std::min(fit, std::popcount(worker.free_accelerators) / shape.accelerators);
  }
  if (shape.processors > 0) fit = std::min(fit, worker.free_processors / shape.processors);
  if (shape.memory_bytes > 0) {
    fit = std::min(fit, static_cast<int>(std::min<int64_t>(
                            kMaxTasksPerJob, worker.free_memory_bytes / shape.memory_bytes)));
  }
  return std::max(0, fit);
}

// Orders `candidates` by the number of free accelerators, the fullest workers first.
std::vector<int> FullestFirst(const ZoneRoom& room, const std::vector<int>& candidates) {
  std::array<std::vector<int>, kMaxAccelerators + 1> buckets;
  for (const int worker : candidates) {
    buckets[std::popcount(room.workers()[worker].free_accelerators)].push_back(worker);
  }
  std::vector<int> order;
  for (const std::vector<int>& bucket : buckets) {
    order.insert(order.end(), bucket.begin(), bucket.end());
  }
  return order;
}

void AppendTasks(const ZoneRoom& room, int worker, int count, const JobSpec& spec,
                 std::vector<TaskOnWorker>* tasks) {
  const RoomWorker& target = room.workers()[worker];
  uint32_t free = target.free_accelerators;
  for (int index = 0; index < count; ++index) {
    const uint32_t mask = ChooseBits(room.sizes(), free, spec.shape.accelerators);
    free &= ~mask;
    tasks->push_back(
        {static_cast<int>(tasks->size()), std::string(target.name), mask, std::nullopt, 0, worker});
  }
}

// Places all tasks on `candidates`, or returns none.
std::optional<std::vector<TaskOnWorker>> PlaceAmong(const ZoneRoom& room, const JobSpec& spec,
                                                    const std::vector<int>& candidates) {
  int total = 0;
  std::vector<int> fitting;
  for (const int worker : candidates) {
    const int fit = TasksThatFit(room.workers()[worker], spec.shape);
    if (fit == 0) continue;
    total += fit;
    fitting.push_back(worker);
  }
  if (total < spec.tasks) return std::nullopt;
  std::vector<TaskOnWorker> tasks;
  for (const int worker : FullestFirst(room, fitting)) {
    const int left = spec.tasks - static_cast<int>(tasks.size());
    if (left == 0) break;
    const int fit = TasksThatFit(room.workers()[worker], spec.shape);
    AppendTasks(room, worker, std::min(left, fit), spec, &tasks);
  }
  return tasks;
}

std::vector<int> FilterWorkers(const std::vector<int>& workers, const WorkerFilter& allowed) {
  std::vector<int> result;
  for (const int worker : workers) {
    if (!allowed || allowed(worker)) result.push_back(worker);
  }
  return result;
}

std::vector<int> AllWorkers(const ZoneRoom& room) {
  std::vector<int> all(room.workers().size());
  for (size_t index = 0; index < all.size(); ++index) all[index] = static_cast<int>(index);
  return all;
}

int FreeAccelerators(const ZoneRoom& room, const std::vector<int>& workers) {
  int free = 0;
  for (const int worker : workers) free += std::popcount(room.workers()[worker].free_accelerators);
  return free;
}

// An aligned block of a worker's accelerators in which one or more of the job's units could run.
struct Site {
  int worker = 0;
  CellLevel level = CellLevel::kAccelerator;
  uint32_t block = 0;
  // The accelerators of the block that the job may use.
  uint32_t mask = 0;
  TaskShape room;
  // True if the block already belongs to a bound cell of the workspace.
  bool bound = false;
  double cost = 0;
  // The size, in accelerators, of the largest aligned block that overlaps this site and has no
  // accelerators in RoomWorker::held. Binding the site makes that block unavailable as a whole.
  int broken_block_size = 0;
};

class CellSearch {
 public:
  CellSearch(ZoneRoom* room, const ZoneView& view, const JobSpec& spec, const StopCost& cost,
             bool may_stop)
      : room_(room), view_(view), spec_(spec), cost_(cost), may_stop_(may_stop) {
    workspace_ = room->WorkspaceIndex(spec.workspace);
    same_worker_ = spec.adjacency == Adjacency::kSameWorker;
    unit_ = same_worker_ ? MultiplyShape(spec.shape, spec.tasks) : spec.shape;
    unit_count_ = same_worker_ ? 1 : spec.tasks;
  }

  std::optional<CellPlacement> Run() {
    const std::optional<CellLevel> least = room_->sizes().LevelFor(unit_);
    if (!least) return std::nullopt;
    for (int worker = 0; worker < static_cast<int>(room_->workers().size()); ++worker) {
      if (room_->workers()[worker].usable) AddSites(worker, *least);
    }
    // The first pass prefers sites where the least work is lost. If that breaks up room that other
    // guarantees need, the second pass prefers the tightest fit.
    for (const bool tightest : {false, true}) {
      Sort(tightest);
      for (const std::vector<Site>& group : SiteGroups()) {
        std::optional<CellPlacement> placement = PlaceUnits(group);
        const bool free_now =
            placement && placement->victims.empty() && room_->HasFreeRoom(spec_, placement->tasks);
        if (!may_stop_ && !free_now) continue;
        if (placement && room_->BindAll(spec_, &placement->tasks)) return placement;
      }
    }
    return std::nullopt;
  }

 private:
  void AddSites(int index, CellLevel least) {
    const RoomWorker& worker = room_->workers()[index];
    for (const BoundCell& cell : worker.cells) {
      if (cell.workspace != workspace_) continue;
      const uint32_t mask = cell.mask & ~cell.used;
      const TaskShape left = {cell.processors_left, cell.memory_left, std::popcount(mask)};
      if (FitsIn(unit_, left)) AddSite({index, cell.level, cell.mask, mask, left, true, 0, 0});
    }
    for (int level = static_cast<int>(least); level < kCellLevelCount; ++level) {
      const auto cell = static_cast<CellLevel>(level);
      if (room_->sizes().Normalize(cell) != cell || room_->Unbound(workspace_, cell) <= 0) continue;
      const TaskShape shape = room_->sizes().Shape(std::min(cell, CellLevel::kWorker));
      for (const uint32_t block : room_->sizes().Blocks(cell)) {
        if ((block & worker.held) == 0) AddSite({index, cell, block, block, shape, false, 0, 0});
      }
    }
  }

  void AddSite(Site site) {
    const RoomWorker& worker = room_->workers()[site.worker];
    // A unit that fits in the block's free accelerators preempts no jobs on lent room.
    if (std::popcount(worker.free_accelerators & site.mask) < unit_.accelerators) {
      for (const LentTask& lent : worker.lent) {
        if ((lent.mask & site.mask) != 0) site.cost += Cost(lent.job);
      }
    }
    if (worker.soft_reserved) site.cost += kSoftReservedCost;
    if (!site.bound) {
      for (const CellLevel level : {CellLevel::kPair, CellLevel::kHalf, CellLevel::kWorker}) {
        for (const uint32_t block : room_->sizes().Blocks(level)) {
          if ((block & site.mask) == 0 || (block & worker.held) != 0) continue;
          site.broken_block_size = std::max(site.broken_block_size, std::popcount(block));
        }
      }
    }
    sites_.push_back(site);
  }

  double Cost(int job) const { return view_.running[job].stopping ? 0 : cost_(job); }

  void Sort(bool tightest) {
    std::stable_sort(sites_.begin(), sites_.end(), [tightest](const Site& a, const Site& b) {
      const double cost_a = tightest ? 0 : a.cost;
      const double cost_b = tightest ? 0 : b.cost;
      return std::tuple(!a.bound, cost_a, a.level, a.broken_block_size, a.cost) <
             std::tuple(!b.bound, cost_b, b.level, b.broken_block_size, b.cost);
    });
  }

  // Groups the sites by rack if the job must stay within one rack; otherwise returns all sites as
  // one group.
  std::vector<std::vector<Site>> SiteGroups() const {
    if (spec_.adjacency != Adjacency::kSameRack) return {sites_};
    std::vector<std::vector<Site>> groups(room_->racks().size());
    for (const Site& site : sites_) groups[room_->workers()[site.worker].rack].push_back(site);
    return groups;
  }

  std::optional<CellPlacement> PlaceUnits(const std::vector<Site>& sites) {
    CellPlacement placement;
    std::array<int, kCellLevelCount> bound{};
    std::map<int, uint32_t> taken;
    std::map<int, TaskShape> needed;
    int placed = 0;
    for (const Site& site : sites) {
      if (placed == unit_count_) break;
      if ((taken[site.worker] & site.mask) != 0) continue;
      int& used = bound[static_cast<size_t>(site.level)];
      if (!site.bound && used >= room_->Unbound(workspace_, site.level)) continue;
      uint32_t mask = site.mask;
      TaskShape left = site.room;
      int here = 0;
      while (placed < unit_count_ && FitsIn(unit_, left)) {
        PlaceUnit(site, &mask, &placement.tasks);
        left = {left.processors - unit_.processors, left.memory_bytes - unit_.memory_bytes,
                left.accelerators - unit_.accelerators};
        ++placed;
        ++here;
      }
      if (here == 0) continue;
      taken[site.worker] |= site.mask;
      const TaskShape more = MultiplyShape(unit_, here);
      TaskShape& sum = needed[site.worker];
      sum.processors += more.processors;
      sum.memory_bytes += more.memory_bytes;
      // A rack's cell is bound only once, at the first of its workers.
      if (!site.bound) ++used;
    }
    if (placed < unit_count_) return std::nullopt;
    placement.victims = Victims(placement.tasks, needed);
    return placement;
  }

  void PlaceUnit(const Site& site, uint32_t* mask, std::vector<TaskOnWorker>* tasks) {
    const int count = same_worker_ ? spec_.tasks : 1;
    for (int index = 0; index < count; ++index) {
      const uint32_t chosen = CheapestBits(site.worker, *mask);
      *mask &= ~chosen;
      tasks->push_back({static_cast<int>(tasks->size()),
                        std::string(room_->workers()[site.worker].name), chosen, site.level,
                        site.block, site.worker});
    }
  }

  // Chooses free accelerators first, then the accelerators of the jobs on lent room that are
  // cheapest to stop.
  uint32_t CheapestBits(int index, uint32_t mask) const {
    const RoomWorker& worker = room_->workers()[index];
    const int count = spec_.shape.accelerators;
    const uint32_t free = mask & worker.free_accelerators;
    if (std::popcount(free) >= count) return ChooseBits(room_->sizes(), free, count);
    uint32_t chosen = free;
    std::vector<LentTask> lent = worker.lent;
    std::stable_sort(lent.begin(), lent.end(), [this](const LentTask& a, const LentTask& b) {
      return Cost(a.job) < Cost(b.job);
    });
    for (const LentTask& task : lent) {
      const int missing = count - std::popcount(chosen);
      const uint32_t more = task.mask & mask & ~chosen;
      chosen |= LowestBits(more, std::min(missing, std::popcount(more)));
    }
    const int missing = count - std::popcount(chosen);
    return chosen | LowestBits(mask & ~chosen, std::min(missing, std::popcount(mask & ~chosen)));
  }

  std::vector<int> Victims(const std::vector<TaskOnWorker>& tasks,
                           const std::map<int, TaskShape>& needed) const {
    std::set<int> victims;
    for (const TaskOnWorker& task : tasks) {
      const int worker = room_->WorkerIndex(task);
      for (const LentTask& lent : room_->workers()[worker].lent) {
        if ((lent.mask & task.accelerators) != 0) victims.insert(lent.job);
      }
    }
    for (const auto& [worker, shape] : needed) AddVictimsForShape(worker, shape, &victims);
    return {victims.begin(), victims.end()};
  }

  // Adds further victims if the processors or memory do not suffice: jobs on lent room may use more
  // processors or memory than the share that belongs to their accelerators.
  void AddVictimsForShape(int index, const TaskShape& shape, std::set<int>* victims) const {
    const RoomWorker& worker = room_->workers()[index];
    int processors = worker.free_processors;
    int64_t memory = worker.free_memory_bytes;
    std::vector<LentTask> lent = worker.lent;
    std::stable_sort(lent.begin(), lent.end(), [this](const LentTask& a, const LentTask& b) {
      return Cost(a.job) < Cost(b.job);
    });
    for (const bool chosen : {true, false}) {
      for (const LentTask& task : lent) {
        const bool is_victim = victims->count(task.job) != 0;
        if (is_victim != chosen) continue;
        const bool enough = processors >= shape.processors && memory >= shape.memory_bytes;
        if (!chosen && enough) break;
        const JobSpec& spec = view_.running[task.job].spec;
        processors += spec.shape.processors;
        memory += spec.shape.memory_bytes;
        victims->insert(task.job);
      }
    }
  }

  ZoneRoom* const room_;
  const ZoneView& view_;
  const JobSpec& spec_;
  const StopCost& cost_;
  const bool may_stop_;
  int workspace_ = 0;
  bool same_worker_ = false;
  TaskShape unit_;
  int unit_count_ = 0;
  std::vector<Site> sites_;
};

}  // namespace

std::optional<std::vector<TaskOnWorker>> PlaceBestFit(const ZoneRoom& room, const JobSpec& spec,
                                                      const WorkerFilter& allowed) {
  if (spec.adjacency == Adjacency::kSameWorker) {
    for (const int worker : FullestFirst(room, FilterWorkers(AllWorkers(room), allowed))) {
      if (TasksThatFit(room.workers()[worker], spec.shape) < spec.tasks) continue;
      return PlaceAmong(room, spec, {worker});
    }
    return std::nullopt;
  }
  if (spec.adjacency != Adjacency::kSameRack) {
    return PlaceAmong(room, spec, FilterWorkers(AllWorkers(room), allowed));
  }
  std::optional<std::vector<TaskOnWorker>> best;
  int least = 0;
  for (const std::vector<int>& rack : room.racks()) {
    const std::vector<int> members = FilterWorkers(rack, allowed);
    const int free = FreeAccelerators(room, members);
    if (best && free >= least) continue;
    std::optional<std::vector<TaskOnWorker>> tasks = PlaceAmong(room, spec, members);
    if (!tasks) continue;
    best = std::move(tasks);
    least = free;
  }
  return best;
}

std::optional<CellPlacement> PlaceInCells(ZoneRoom* room, const ZoneView& view, const JobSpec& spec,
                                          const StopCost& cost, bool may_stop) {
  return CellSearch(room, view, spec, cost, may_stop).Run();
}

}  // namespace turmericshift
