// The room of one zone as guarantees see it. A guaranteed cell is bound to a block of a worker only
// while work of its workspace runs in that block; the rest of the block then stays that workspace's
// to claim. All other room may be lent to work that can be stopped within the reclaim bound. The
// invariant: the cells that are not bound yet can be carved out of the room that is not held, that
// is free or lent. Ends of work keep the invariant, so checking each start is enough.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "servers/planner/guarantee_split.h"
#include "servers/planner/zone_view.h"

namespace turmericshift {

// A guaranteed cell while work of its workspace runs in it.
struct BoundCell {
  int workspace = 0;
  CellLevel level = CellLevel::kAccelerator;
  uint32_t mask = 0;
  uint32_t used = 0;
  // What is left of the cell's part of the worker.
  int processors_left = 0;
  int64_t memory_left = 0;
};

// A task on lent room.
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
  // Accelerators within bound cells, or under work that can't be stopped and has no cell.
  uint32_t held = 0;
  std::vector<BoundCell> cells;
  std::vector<LentTask> lent;
  // Gathered for a waiting gang; other work goes elsewhere if it can.
  bool soft_reserved = false;
};

// Why a start was not admitted.
enum class AdmitRefusal { kNone, kNoRoom, kOverCap, kNotStoppable, kBreaksGuarantee };
const char* AdmitRefusalText(AdmitRefusal refusal);

// Whether work on lent room can be had back within the reclaim bound without harm.
bool CanBeStopped(const JobSpec& spec);

// The tasks are bound to no cell any more.
void ForgetCells(std::vector<TaskOnWorker>* tasks);

class ZoneRoom {
 public:
  // `view` must outlive the room and keep its workers in place.
  explicit ZoneRoom(const ZoneView& view);

  const CellSizes& sizes() const { return sizes_; }
  const std::vector<RoomWorker>& workers() const { return workers_; }
  // Indices of the workers of each rack.
  const std::vector<std::vector<int>>& racks() const { return racks_; }

  // -1 for a worker that the view does not have.
  int WorkerIndex(const TaskOnWorker& task) const;
  // A small number for the workspace, the same until the room is gone.
  int WorkspaceIndex(const std::string& name);
  // Cells of `level` that the workspace has not bound yet.
  int Unbound(int workspace, CellLevel level) const;
  bool HasUnbound(int workspace) const;
  int AcceleratorsUsed(int workspace) const { return shares_[workspace].used; }
  int AcceleratorCap(int workspace) const { return shares_[workspace].cap; }
  int GuaranteedAccelerators(int workspace) const { return shares_[workspace].guaranteed; }

  // Whether every workspace's unbound cells can be had within the reclaim bound.
  bool GuaranteesHold() const;
  // Cells of each level that are missing for that; all zero when it holds.
  CellCounts Deficit() const;

  // Takes room for a start on free room: within the workspace's cells if they allow it and
  // `start->borrowed` is false, else lent. Sets the cell of each task and `borrowed`. Changes
  // nothing unless kNone is returned.
  AdmitRefusal Admit(const JobSpec& spec, StartDecision* start);
  // Whether the tasks could be bound to cells where they are put, lent work aside; binds if so.
  bool BindAll(const JobSpec& spec, std::vector<TaskOnWorker>* tasks);
  // Whether the tasks' room is free on usable workers.
  bool HasFreeRoom(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks) const;
  // Takes free room for tasks that BindAll has bound.
  void Take(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks);
  // Keeps other starts off the free room at these places until the room is built again.
  void Reserve(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks);
  void MarkSoftReserved(int worker) { workers_[worker].soft_reserved = true; }

 private:
  struct Share {
    std::array<int, kCellLevelCount> unbound{};
    int guaranteed = 0;
    int cap = 0;
    int used = 0;
  };
  // Worker states from before a change, to undo it.
  struct Journal {
    std::vector<std::pair<int, RoomWorker>> workers;
    Share share;
    CellCounts demand{};
  };

  void AddWorkers();
  void AddShares();
  void AddRunning();
  void Hold(int worker, uint32_t mask);
  // Adds (sign 1) or takes away (-1) what the worker supplies.
  void Count(int worker, int sign);
  bool RackWhole(int rack) const;
  bool Bind(int workspace, const TaskShape& shape, TaskOnWorker* task, Journal* journal);
  bool Join(int workspace, const TaskShape& shape, int worker, TaskOnWorker* task,
            Journal* journal);
  bool BindNew(int workspace, CellLevel level, const TaskShape& shape, int worker,
               TaskOnWorker* task, Journal* journal);
  void Save(int worker, Journal* journal) const;
  void Undo(int workspace, Journal* journal);
  void TakeFree(const JobSpec& spec, const std::vector<TaskOnWorker>& tasks);

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

// The invariant over what runs now.
bool GuaranteesHold(const ZoneView& view);

}  // namespace turmericshift
