// What is kept free for whom, and who goes to a worse place rather than wait.
//
// Load patterns: gangs of whole workers beside a stream of small tasks that fill every hole (their
// workers are kept from tasks that would end too late); gangs that want one rack of a full pool
// (over several they take three times as long, so that they wait for the rack unless even that ends
// later).
#include <algorithm>

#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// Gangs go over several racks after this while the pool is idle: leaving workers idle for 3 s
// beside a task that waits counts as a job forgotten.
constexpr Duration kIdleStrayAfter = std::chrono::milliseconds(2200);
// A new planner has heard of all agents that are well after this; until then, or until no more than
// one in so many is missing, it can't tell what no rack would hold.
constexpr Duration kMeetAgents = std::chrono::milliseconds(1500);
constexpr size_t kUnheardShare = 10;
// At most one in so many workers is kept for units that wait; else a few
// wide gangs would empty the pool.
constexpr size_t kMostHeldShare = 2;
// Callers' estimates are taken this much longer when a task is to end before a gang begins.
constexpr double kEstimateMargin = 1.1;
// Single tasks of fewer accelerators find a hole soon.
constexpr int64_t kHoldFromAccelerators = 2;

Room Least(const Room& left, const Room& right) {
  return {std::min(left.processor_millis, right.processor_millis),
          std::min(left.memory_mib, right.memory_mib),
          std::min(left.accelerators, right.accelerators)};
}

}  // namespace

bool PoolPlanner::IsOwed(const Unit& unit) const {
  if (unit.priority != 0) return false;
  const auto need = urgent_need_.find(unit.job->spec.workspace);
  return need != urgent_need_.end() && need->second <= GuaranteedFor(unit.job->spec.workspace);
}

const std::vector<Freeing>& PoolPlanner::FreeingOn(const WorkerState& worker, Time now) const {
  const auto [found, made] = freeing_.try_emplace(worker.node);
  std::vector<Freeing>& ends = found->second;
  if (!made) return ends;
  for (const auto& [id, run] : worker.live) {
    Room room = run.need;
    if (run.best_effort) room.processor_millis = 0;
    const bool stopping = run.phase == RunPhase::kStopping;
    ends.push_back(
        {room, stopping ? Duration::zero() : run.progress.Left(run.estimate, run.since, now)});
  }
  std::sort(ends.begin(), ends.end(),
            [](const Freeing& left, const Freeing& right) { return left.in < right.in; });
  return ends;
}

std::vector<FutureRoom> PoolPlanner::FutureRoomsFor(const Unit& unit, Time now) const {
  std::vector<FutureRoom> future;
  for (const WorkerRoom& room : RoomsFor(unit, false, now)) {
    const std::string node(room.node);
    if (holds_.count(node) > 0) continue;
    future.push_back({room, &FreeingOn(workers_.at(node), now)});
  }
  return future;
}

bool PoolPlanner::KnowsPool(Time now) const {
  return unheard_.size() * kUnheardShare <= listed_ || now - begun_ > kMeetAgents;
}

bool PoolPlanner::StraysNow(const Unit& unit, const PlaceWish& strict, Time now) const {
  const Duration waited = now - *unit.job->steps.at(unit.place).ready_since;
  if (IsOwed(unit) && waited > options_.guaranteed_off_rack_delay) return true;
  if (!KnowsPool(now)) return false;
  if (idle_ && waited > kIdleStrayAfter) return true;
  // No rack would ever hold it, so that waiting for one is pointless.
  if (!FitsOneRack(strict, RoomsFor(unit, true, now))) return true;
  if (!Uses(Mechanism::kOffRackByForecast) || lateness_.sheds()) return false;
  const std::optional<RoomForecast> forecast = ForecastRoom(strict, FutureRoomsFor(unit, now));
  return !forecast || forecast->in > Scaled(unit.expected, options_.off_rack_slowdown - 1);
}

void PoolPlanner::HoldRoom(const Unit& unit, const PlaceWish& wish, Time now) {
  if (!Uses(Mechanism::kBackfilling)) return;
  const UnitKey key = {unit.job->spec.id, unit.place};
  if (reservations_.count(key) > 0) return;
  if (!wish.step->gang && wish.step->need.accelerators < kHoldFromAccelerators) return;
  if (holds_.size() * kMostHeldShare >= workers_.size()) return;
  const std::vector<FutureRoom> future = FutureRoomsFor(unit, now);
  PlaceWish first = wish;
  if (!wish.step->gang) first.tasks = 1;
  const std::optional<RoomForecast> forecast = ForecastRoom(first, future);
  if (!forecast) return;
  for (const FutureRoom& worker : future) {
    const auto share = forecast->tasks.find(std::string(worker.now.node));
    if (share == forecast->tasks.end()) continue;
    holds_[share->first] = {key, now + forecast->in,
                            SpareRoom(worker, wish.step->need, share->second, forecast->in)};
  }
}

void PoolPlanner::LeaveHeldRoom(const Unit& unit, std::vector<WorkerRoom>* rooms, Time now) const {
  if (holds_.empty()) return;
  const UnitKey key = {unit.job->spec.id, unit.place};
  const Time over_at = now + Scaled(unit.expected, kEstimateMargin);
  for (WorkerRoom& room : *rooms) {
    const auto hold = holds_.find(std::string(room.node));
    if (hold == holds_.end() || hold->second.key == key) continue;
    if (over_at > hold->second.ready_at) room.free = Least(room.free, hold->second.spare);
  }
}

}  // namespace turmericshift::pool
