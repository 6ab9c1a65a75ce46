// Planning of steps that only some workers may run, as the advice service decides.
#include <algorithm>

#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {

AdvisedWorker PoolPlanner::AdvisedWorkerOf(const WorkerState& worker) {
  return {worker.facts.id, worker.facts.start_time_ms};
}

std::vector<WorkerRoom> PoolPlanner::StartRoomsFor(const Unit& unit, Time now) const {
  std::vector<WorkerRoom> rooms = RoomsFor(unit, false, now);
  if (!Terms(*unit.job).advised) return rooms;
  const AdvisedStep step = {unit.job->spec.id, unit.place};
  std::erase_if(rooms, [&](const WorkerRoom& room) {
    const WorkerState& worker = workers_.at(std::string(room.node));
    return !advice_.TicketFor(step, AdvisedWorkerOf(worker), now);
  });
  return rooms;
}

void PoolPlanner::RequestAdvice(const Unit& unit, Time now) {
  if (!Terms(*unit.job).advised) return;
  const StepSpec& step = unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  std::vector<WorkerRoom> rooms = RoomsFor(unit, false, now);
  // Workers with room come first; the others matter where runs can be preempted for the unit.
  const auto others = std::stable_partition(
      rooms.begin(), rooms.end(),
      [&](const WorkerRoom& room) { return FitCount(room.free, step.need, room.max_tasks) > 0; });
  const auto with_room = static_cast<size_t>(others - rooms.begin());
  std::vector<AdvisedWorker> workers;
  workers.reserve(rooms.size());
  for (const WorkerRoom& room : rooms) {
    workers.push_back(AdvisedWorkerOf(workers_.at(std::string(room.node))));
  }
  advice_.RequestTickets({unit.job->spec.id, unit.place}, workers, with_room,
                         Terms(*unit.job).advice_timing, now);
}

}  // namespace turmericshift::pool
