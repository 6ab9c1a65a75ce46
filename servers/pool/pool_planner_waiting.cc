// Logs why units wait: once when a unit begins to wait, and again when the reason changes. No
// decision depends on it.
#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// A changed reason is logged within this time. Classifying a wait takes several placements.
constexpr Duration kWaitCheckInterval = std::chrono::milliseconds(500);

}  // namespace

WaitReason PoolPlanner::ReasonForWait(const Unit& unit, const PlacementRequest& request,
                                      Time now) const {
  WaitRooms rooms;
  rooms.unreserved = RoomsFor(unit, false, now);
  rooms.usable = rooms.unreserved;
  for (WorkerRoom& room : rooms.usable) {
    room.free = workers_.at(std::string(room.node)).remaining_room;
  }
  rooms.all = RoomsFor(unit, true, now);
  for (WorkerRoom& room : rooms.all) {
    room.free = workers_.at(std::string(room.node)).remaining_room;
  }
  return ClassifyWait(request, rooms);
}

void PoolPlanner::LogWait(const Unit& unit, const PlacementRequest& request,
                          std::optional<WaitReason> known, Time now) {
  StepState& state = unit.job->steps.at(unit.place);
  if (state.wait_checked && now - *state.wait_checked < kWaitCheckInterval) return;
  if (planner_lag_.overloaded() || wait_checks_left_ == 0) return;
  --wait_checks_left_;
  state.wait_checked = now;
  const WaitReason reason = known ? *known : ReasonForWait(unit, request, now);
  if (state.wait_reason == reason) return;
  state.wait_reason = reason;
  const std::vector<WorkerRoom> rooms = RoomsFor(unit, false, now);
  int64_t free = 0;
  for (const WorkerRoom& room : rooms) free += room.free.accelerators;
  LogEvent(LogLevel::kInfo, "unit_waits",
           {{"job", unit.job->spec.id},
            {"step", unit.place.step},
            {"reason", WaitReasonName(reason)},
            {"tasks", request.tasks},
            {"accelerators", request.step->need.accelerators},
            {"free_accelerators", free},
            {"largest_free", LargestFreeAccelerators(rooms)},
            {"preemption", ReclaimOutcomeName(state.reclaim_outcome)},
            {"epoch", epoch_}});
}

}  // namespace turmericshift::pool
