// The room of one zone, divided by guarantees. A guaranteed cell is bound while work of its
// workspace runs in it: a block of a worker is then reserved for that workspace. Room outside bound
// cells may be lent to work that can be stopped within the reclaim bound, the time in which lent
// room must be returned. The invariant: all unbound cells can be carved out of the room that is not
// held, that is, free or lent room. Work that ends never breaks the invariant, so it is enough to
// check each start.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "servers/planner/guarantee_split.h"
#include "servers/planner/zone_view.h"

namespace turmericshift {

// A guaranteed cell in which work of its workspace runs.
struct BoundCell {
  int workspace = 0;
  CellLevel level = CellLevel::kAccelerator;
  uint32_t mask = 0;
  uint32_t used = 0;
  // The unused part of the processors and memory that belong to the cell.
  int processors_left = 0;
  int64_t memory_left = 0;
};

// A task on lent room, which may be preempted when a guarantee needs the room.
struct LentTask {
  // Index into ZoneView::running.
  int job = 0;
  uint32_t mask = 0;
};

struct RoomWorker {
  std::string_view name;
  int rack = 0;
  bool usable = true;
  int accelerators = 0;
  int free_processors = 0;
  int64_t free_memory_bytes = 0;
  uint32_t free_accelerators = 0;
  // Accelerators in bound cells, or of work that keeps its room although it fits in no cell.
  uint32_t held = 0;
  std::vector<BoundCell> cells;
  std::vector<LentTask> lent;
  // True if the worker is reserved for a waiting gang; other jobs use this worker only if
  // necessary.
  bool soft_reserved = false;
};

// Why a start was not admitted.
enum class AdmitRefusal { kNone, kNoRoom, kOverCap, kNotStoppable, kBreaksGuarantee };
const char* AdmitRefusalText(AdmitRefusal refusal);

// True if work on lent room can be stopped within the reclaim bound without harm, because the job
// is repeatable or checkpointed.
bool CanBeStopped(const JobSpec& spec);

// Unbinds the tasks from their cells.
void ClearCells(std::vector<TaskOnWorker>* tasks);

class ZoneRoom {
 public:
  // `view` must outlive this object and must not move its workers.
  explicit ZoneRoom(const ZoneView& view);

  const CellSizes& sizes() const { return sizes_; }
  const std::vector<RoomWorker>& workers() const { return workers_; }
  // Indices of the workers of each rack.
  const std::vector<std::vector<int>>& racks() const { return racks_; }

  // Returns -1 if the view does not have the worker.
  int WorkerIndex(const TaskOnWorker& task) const;
  // Returns an index for the workspace that stays the same during the lifetime of this object.
  int WorkspaceIndex(const std::string& name);
  // The number of cells of `level` that the workspace has not bound.
  int Unbound(int workspace, CellLevel level) const;
  bool HasUnbound(int workspace) const;
  int AcceleratorsUsed(int workspace) const { return shares_[workspace].used; }
  int AcceleratorCap(int workspace) const { return shares_[workspace].cap; }
  int GuaranteedAccelerators(int workspace) const { return shares_[workspace].guaranteed; }

  // True if every workspace's unbound cells can be provided within the reclaim bound.
  bool GuaranteesHold() const;
  // The number of cells of each level that are missing to meet all guarantees; all zero if
  // GuaranteesHold().
  CellCounts Deficit() const;

  // Allocates free room for a start: within the workspace's cells if they have room and
  // `start->borrowed` is false, else as lent room. Sets `borrowed` and the cell of each task.
  // Changes nothing unless the result is kNone.
  AdmitRefusal Admit(const JobSpec& spec, StartDecision* start);
  // Binds the tasks to cells of their workspace that contain the tasks' accelerators, even where
  // tasks on lent room use these accelerators now. Returns false and changes nothing if some task
  // can't be bound.
  bool BindAll(const JobSpec& spec, std::vector<TaskOnWorker>* tasks);
  // True if the room that the tasks need is free on usable workers.
  bool HasFreeRoom(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks) const;
  // Subtracts from the free room what tasks that BindAll has bound to cells need.
  void Allocate(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks);
  // Reserves the free room at these places for the lifetime of this object.
  void Reserve(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks);
  void MarkSoftReserved(int worker) { workers_[worker].soft_reserved = true; }

 private:
  struct Share {
    std::array<int, kCellLevelCount> unbound{};
    int guaranteed = 0;
    int cap = 0;
    int used = 0;
  };
  // The state before a change, needed to undo it.
  struct Journal {
    std::vector<std::pair<int, RoomWorker>> workers;
    Share share;
    CellCounts demand{};
  };

  void AddWorkers();
  void AddShares();
  void AddRunning();
  void MarkHeld(int worker, uint32_t mask);
  // Adds the worker's blocks that are not held to the supply (sign 1) or subtracts them (sign -1).
  void UpdateSupply(int worker, int sign);
  bool IsRackAvailable(int rack) const;
  bool Bind(int workspace, const TaskShape& shape, TaskOnWorker* task, Journal* journal);
  bool JoinCell(int workspace, const TaskShape& shape, int worker, TaskOnWorker* task,
                Journal* journal);
  bool BindNewCell(int workspace, CellLevel level, const TaskShape& shape, int worker,
                   TaskOnWorker* task, Journal* journal);
  void Save(int worker, Journal* journal) const;
  void Undo(int workspace, Journal* journal);
  void SubtractFree(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks);

  const ZoneView& view_;
  CellSizes sizes_;
  std::vector<RoomWorker> workers_;
  std::vector<std::vector<int>> racks_;
  std::unordered_map<std::string_view, int> worker_index_;
  std::unordered_map<std::string, int> workspace_index_;
  std::vector<Share> shares_;
  CellCounts supply_{};
  CellCounts demand_{};
};

// True if the running jobs of `view` leave every guarantee attainable.
bool GuaranteesHold(const ZoneView& view);

}  // namespace turmericshift
