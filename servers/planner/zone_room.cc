#include "servers/planner/zone_room.h"

#include <algorithm>

namespace turmericshift {
namespace {

size_t At(CellLevel level) { return static_cast<size_t>(level); }

bool IsSubset(uint32_t mask, uint32_t block) { return (mask & ~block) == 0; }

}  // namespace

const char* AdmitRefusalText(AdmitRefusal refusal) {
  static constexpr std::array<const char*, 5> kTexts = {
      "", "no room for all of its tasks at present",
      "its workspace has reached its accelerator cap in this zone",
      "its workspace's guaranteed cells are in use, and work that can be neither repeated nor "
      "checkpointed may not run on borrowed room",
      "starting it would make a workspace's guarantee impossible to meet"};
  return kTexts.at(static_cast<size_t>(refusal));
}

void ClearCells(std::vector<TaskOnWorker>* tasks) {
  for (TaskOnWorker& task : *tasks) {
    task.cell.reset();
    task.cell_mask = 0;
  }
}

bool CanBeStopped(const JobSpec& spec) { return spec.checkpoints || spec.repeatable; }

ZoneRoom::ZoneRoom(const ZoneView& view) : view_(view) {
  AddShares();
  AddWorkers();
  AddRunning();
}

void ZoneRoom::AddShares() {
  if (!view_.environment) return;
  if (const AvailabilityZoneSpec* zone = view_.environment->FindZone(view_.zone)) {
    sizes_ = SizesOf(*zone);
  }
  GuaranteeSplit computed;
  if (!view_.split) computed = SplitGuarantees(*view_.environment);
  const GuaranteeSplit& split = view_.split ? *view_.split : computed;
  const auto zone = split.zones.find(view_.zone);
  if (zone == split.zones.end()) return;
  for (const auto& [name, share] : zone->second) {
    Share& limits = shares_[WorkspaceIndex(name)];
    limits.cap = share.accelerator_cap;
    for (const CellCount& cell : share.cells) {
      limits.unbound[At(cell.level)] += cell.count;
      limits.guaranteed += cell.count * sizes_.Accelerators(cell.level);
    }
    const CellCounts cells = sizes_.Cumulative(share.cells);
    for (size_t level = 0; level < cells.size(); ++level) demand_[level] += cells[level];
  }
}

void ZoneRoom::AddWorkers() {
  std::unordered_map<std::string_view, int> racks;
  workers_.reserve(view_.workers.size());
  worker_index_.reserve(view_.workers.size());
  for (const WorkerView& worker : view_.workers) {
    const int index = static_cast<int>(workers_.size());
    const auto [rack, is_new] = racks.emplace(worker.rack, static_cast<int>(racks_.size()));
    if (is_new) racks_.emplace_back();
    racks_[rack->second].push_back(index);
    RoomWorker room;
    room.name = worker.name;
    room.rack = rack->second;
    room.usable = worker.usable;
    room.accelerators = worker.capacity.accelerators;
    room.free_processors = worker.free_processors;
    room.free_memory_bytes = worker.free_memory_bytes;
    room.free_accelerators = worker.free_accelerators;
    // A worker that is smaller than the document states supplies no cells.
    if (!FitsIn(sizes_.worker(), worker.capacity)) room.held = ~uint32_t{0};
    workers_.push_back(std::move(room));
    worker_index_.emplace(worker.name, index);
  }
  for (size_t index = 0; index < workers_.size(); ++index) UpdateSupply(static_cast<int>(index), 1);
  for (size_t rack = 0; rack < racks_.size(); ++rack) {
    if (IsRackAvailable(static_cast<int>(rack))) ++supply_[At(CellLevel::kRack)];
  }
}

void ZoneRoom::AddRunning() {
  for (size_t index = 0; index < view_.running.size(); ++index) {
    const RunningJob& job = view_.running[index];
    const int workspace = WorkspaceIndex(job.spec.workspace);
    shares_[workspace].used += job.spec.shape.accelerators * static_cast<int>(job.tasks.size());
    for (TaskOnWorker task : job.tasks) {
      const int worker = WorkerIndex(task);
      if (worker < 0) continue;
      if (job.borrowed) {
        workers_[worker].lent.push_back({static_cast<int>(index), task.accelerators});
        continue;
      }
      if (Bind(workspace, job.spec.shape, &task, nullptr)) continue;
      // A job that was started under an earlier document or by an earlier planner may fit in no
      // cell. Such a job keeps its room without a cell.
      const CellLevel level = sizes_.LevelFor(job.spec.shape).value_or(CellLevel::kWorker);
      uint32_t mask = task.accelerators;
      for (const uint32_t block : sizes_.Blocks(level)) {
        if ((block & task.accelerators) != 0 || mask == 0) mask |= block;
      }
      MarkHeld(worker, mask);
    }
  }
}

int ZoneRoom::WorkerIndex(const TaskOnWorker& task) const {
  const bool known = task.position >= 0 && task.position < static_cast<int>(workers_.size()) &&
                     workers_[task.position].name == task.worker;
  if (known) return task.position;
  const auto found = worker_index_.find(task.worker);
  return found == worker_index_.end() ? -1 : found->second;
}

int ZoneRoom::WorkspaceIndex(const std::string& name) {
  const auto [found, is_new] = workspace_index_.emplace(name, static_cast<int>(shares_.size()));
  if (is_new) shares_.emplace_back();
  return found->second;
}

int ZoneRoom::Unbound(int workspace, CellLevel level) const {
  return shares_[workspace].unbound[At(level)];
}

bool ZoneRoom::HasUnbound(int workspace) const {
  const auto& unbound = shares_[workspace].unbound;
  return std::any_of(unbound.begin(), unbound.end(), [](int cells) { return cells > 0; });
}

bool ZoneRoom::GuaranteesHold() const { return Deficit() == CellCounts{}; }

CellCounts ZoneRoom::Deficit() const {
  CellCounts deficit{};
  for (size_t level = 0; level < deficit.size(); ++level) {
    deficit[level] = std::max<int64_t>(0, demand_[level] - supply_[level]);
  }
  return deficit;
}

AdmitRefusal ZoneRoom::Admit(const JobSpec& spec, StartDecision* start) {
  if (!HasFreeRoom(spec, start->tasks)) return AdmitRefusal::kNoRoom;
  const int workspace = WorkspaceIndex(spec.workspace);
  const int accelerators = spec.shape.accelerators * static_cast<int>(start->tasks.size());
  if (shares_[workspace].used + accelerators > shares_[workspace].cap) {
    return AdmitRefusal::kOverCap;
  }
  if (start->borrowed || !BindAll(spec, &start->tasks)) {
    if (!CanBeStopped(spec)) return AdmitRefusal::kNotStoppable;
    start->borrowed = true;
    ClearCells(&start->tasks);
  }
  shares_[workspace].used += accelerators;
  SubtractFree(spec, start->tasks);
  return AdmitRefusal::kNone;
}

bool ZoneRoom::BindAll(const JobSpec& spec, std::vector<TaskOnWorker>* tasks) {
  const int workspace = WorkspaceIndex(spec.workspace);
  const CellCounts before = Deficit();
  const std::vector<TaskOnWorker> requested = *tasks;
  Journal journal;
  journal.share = shares_[workspace];
  journal.demand = demand_;
  bool bound = true;
  for (TaskOnWorker& task : *tasks) {
    bound = bound && Bind(workspace, spec.shape, &task, &journal);
  }
  const CellCounts after = Deficit();
  for (size_t level = 0; level < after.size(); ++level) {
    bound = bound && after[level] <= before[level];
  }
  if (bound) return true;
  Undo(workspace, &journal);
  *tasks = requested;
  return false;
}

void ZoneRoom::Reserve(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks) {
  SubtractFree(spec, tasks);
}

void ZoneRoom::Allocate(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks) {
  shares_[WorkspaceIndex(spec.workspace)].used +=
      spec.shape.accelerators * static_cast<int>(tasks.size());
  SubtractFree(spec, tasks);
}

void ZoneRoom::MarkHeld(int worker, uint32_t mask) {
  RoomWorker& room = workers_[worker];
  const bool was_available = IsRackAvailable(room.rack);
  UpdateSupply(worker, -1);
  room.held |= mask;
  UpdateSupply(worker, 1);
  if (was_available && !IsRackAvailable(room.rack)) --supply_[At(CellLevel::kRack)];
}

void ZoneRoom::UpdateSupply(int worker, int sign) {
  const RoomWorker& room = workers_[worker];
  if (!room.usable) return;
  for (const CellLevel level :
       {CellLevel::kAccelerator, CellLevel::kPair, CellLevel::kHalf, CellLevel::kWorker}) {
    if (sizes_.Normalize(level) != level) continue;
    for (const uint32_t block : sizes_.Blocks(level)) {
      if ((block & room.held) == 0) supply_[At(level)] += sign;
    }
  }
}

bool ZoneRoom::IsRackAvailable(int rack) const {
  const std::vector<int>& members = racks_[rack];
  if (static_cast<int>(members.size()) < sizes_.workers_per_rack()) return false;
  return std::all_of(members.begin(), members.end(), [this](int worker) {
    return workers_[worker].usable && workers_[worker].held == 0;
  });
}

bool ZoneRoom::Bind(int workspace, const TaskShape& shape, TaskOnWorker* task, Journal* journal) {
  const int worker = WorkerIndex(*task);
  if (worker < 0) return false;
  if (JoinCell(workspace, shape, worker, task, journal)) return true;
  const std::optional<CellLevel> least = sizes_.LevelFor(shape);
  if (!least) return false;
  if (task->cell) return BindNewCell(workspace, *task->cell, shape, worker, task, journal);
  for (int level = static_cast<int>(*least); level < kCellLevelCount; ++level) {
    if (BindNewCell(workspace, static_cast<CellLevel>(level), shape, worker, task, journal)) {
      return true;
    }
  }
  return false;
}

bool ZoneRoom::JoinCell(int workspace, const TaskShape& shape, int worker, TaskOnWorker* task,
                        Journal* journal) {
  for (size_t index = 0; index < workers_[worker].cells.size(); ++index) {
    const BoundCell& cell = workers_[worker].cells[index];
    if (cell.workspace != workspace || (task->cell && *task->cell != cell.level)) continue;
    if (task->cell_mask != 0 && task->cell_mask != cell.mask) continue;
    if (!IsSubset(task->accelerators, cell.mask) || (task->accelerators & cell.used) != 0) continue;
    if (cell.processors_left < shape.processors || cell.memory_left < shape.memory_bytes) continue;
    Save(worker, journal);
    BoundCell& joined = workers_[worker].cells[index];
    joined.used |= task->accelerators;
    joined.processors_left -= shape.processors;
    joined.memory_left -= shape.memory_bytes;
    task->cell = joined.level;
    task->cell_mask = joined.mask;
    return true;
  }
  return false;
}

bool ZoneRoom::BindNewCell(int workspace, CellLevel level, const TaskShape& shape, int worker,
                           TaskOnWorker* task, Journal* journal) {
  if (sizes_.Normalize(level) != level || shares_[workspace].unbound[At(level)] <= 0) return false;
  const TaskShape cell_shape = sizes_.Shape(std::min(level, CellLevel::kWorker));
  if (!FitsIn(shape, cell_shape)) return false;
  const std::vector<uint32_t>& blocks = sizes_.Blocks(level);
  const auto block = std::find_if(blocks.begin(), blocks.end(), [&](uint32_t mask) {
    // A task without accelerators fits in any block, so a block recorded for the task, in
    // `cell_mask`, must be compared explicitly.
    const bool matches_recorded_block = task->cell_mask == 0 || task->cell_mask == mask;
    return matches_recorded_block && IsSubset(task->accelerators, mask) &&
           (mask & workers_[worker].held) == 0;
  });
  if (block == blocks.end()) return false;
  std::vector<int> members = {worker};
  if (level == CellLevel::kRack) {
    if (!IsRackAvailable(workers_[worker].rack)) return false;
    members = racks_[workers_[worker].rack];
  }
  for (const int member : members) {
    Save(member, journal);
    MarkHeld(member, *block);
    workers_[member].cells.push_back(
        {workspace, level, *block, 0, cell_shape.processors, cell_shape.memory_bytes});
  }
  --shares_[workspace].unbound[At(level)];
  const CellCounts cost = sizes_.Cumulative({{level, 1}});
  for (size_t each = 0; each < cost.size(); ++each) demand_[each] -= cost[each];
  task->cell = level;
  return JoinCell(workspace, shape, worker, task, journal);
}

void ZoneRoom::Save(int worker, Journal* journal) const {
  if (journal != nullptr) journal->workers.emplace_back(worker, workers_[worker]);
}

void ZoneRoom::Undo(int workspace, Journal* journal) {
  for (auto saved = journal->workers.rbegin(); saved != journal->workers.rend(); ++saved) {
    const int rack = saved->second.rack;
    const bool was_available = IsRackAvailable(rack);
    UpdateSupply(saved->first, -1);
    workers_[saved->first] = saved->second;
    UpdateSupply(saved->first, 1);
    if (!was_available && IsRackAvailable(rack)) ++supply_[At(CellLevel::kRack)];
  }
  shares_[workspace] = journal->share;
  demand_ = journal->demand;
}

bool ZoneRoom::HasFreeRoom(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks) const {
  // The remaining resources of each worker that the tasks use.
  std::map<int, RoomWorker> left;
  for (const TaskOnWorker& task : tasks) {
    const int index = WorkerIndex(task);
    if (index < 0 || !workers_[index].usable) return false;
    RoomWorker& room = left.emplace(index, workers_[index]).first->second;
    const bool enough = room.free_processors >= spec.shape.processors &&
                        room.free_memory_bytes >= spec.shape.memory_bytes &&
                        IsSubset(task.accelerators, room.free_accelerators) &&
                        __builtin_popcount(task.accelerators) == spec.shape.accelerators;
    if (!enough) return false;
    room.free_processors -= spec.shape.processors;
    room.free_memory_bytes -= spec.shape.memory_bytes;
    room.free_accelerators &= ~task.accelerators;
  }
  return true;
}

void ZoneRoom::SubtractFree(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks) {
  for (const TaskOnWorker& task : tasks) {
    const int index = WorkerIndex(task);
    if (index < 0) continue;
    RoomWorker& room = workers_[index];
    room.free_processors -= spec.shape.processors;
    room.free_memory_bytes -= spec.shape.memory_bytes;
    room.free_accelerators &= ~task.accelerators;
  }
}

bool GuaranteesHold(const ZoneView& view) { return ZoneRoom(view).GuaranteesHold(); }

}  // namespace turmericshift
