// Backfilling reservations for waiting units, and the choice between waiting and off-rack
// placement.
//
// Load patterns: gangs of whole workers beside a stream of small tasks that fill every gap (tasks
// that would end too late are kept off the gang's workers); gangs that want one rack of a full pool
// (spread over several racks they take three times as long, so they wait for a rack unless that
// wait would make them end later still).
#include <algorithm>

#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// Gangs are spread over several racks after this time while much of the pool is free: a job that
// waits for 3 s beside idle workers is counted as forgotten by the scheduler.
constexpr Duration kIdleOffRackDelay = std::chrono::milliseconds(2200);
// Long-running tasks begin outside the rack that they want after this time.
constexpr Duration kLongRunningOffRackDelay = std::chrono::seconds(1);
// All healthy agents have reported to a new planner after this time. Until then, or until no more
// than one in kUnreportedDivisor agents is missing, the planner cannot tell whether any rack can
// hold a gang.
constexpr Duration kAgentsReportWithin = std::chrono::milliseconds(1500);
constexpr size_t kUnreportedDivisor = 10;
// At most the fraction 1 / kMaxReservedDivisor of the workers is reserved for waiting units;
// otherwise a few wide gangs would empty the pool.
constexpr size_t kMaxReservedDivisor = 2;
// Single tasks with fewer accelerators soon find room without a reservation.
constexpr int64_t kMinReservedAccelerators = 2;

}  // namespace

bool PoolPlanner::NeedsFitGuarantee(const Unit& unit) const {
  if (unit.priority != 0) return false;
  const auto need = urgent_need_.find(unit.job->spec.workspace);
  return need != urgent_need_.end() && need->second <= GuaranteedFor(unit.job->spec.workspace);
}

const std::vector<RoomRelease>& PoolPlanner::ReleasesOn(const WorkerState& worker, Time now) const {
  const auto [found, inserted] = room_releases_.try_emplace(worker.node);
  std::vector<RoomRelease>& ends = found->second;
  if (!inserted) return ends;
  for (const auto& [id, run] : worker.live) {
    const bool stopping = run.phase == RunPhase::kStopping;
    // A long-running task holds its room for as long as its job lasts.
    if (run.long_running && !stopping) continue;
    Room room = run.need;
    if (run.best_effort) room.processor_millis = 0;
    ends.push_back({room, stopping ? Duration::zero() : RemainingTime(run, now)});
  }
  std::sort(ends.begin(), ends.end(), [](const RoomRelease& left, const RoomRelease& right) {
    return left.delay < right.delay;
  });
  return ends;
}

std::vector<FutureRoom> PoolPlanner::FutureRoomsFor(const Unit& unit, Time now) const {
  std::vector<FutureRoom> future;
  for (const WorkerRoom& room : RoomsFor(unit, false, now)) {
    const std::string node(room.node);
    if (backfill_reservations_.Covers(node)) continue;
    future.push_back({room, &ReleasesOn(workers_.at(node), now)});
  }
  return future;
}

bool PoolPlanner::KnowsMostAgents(Time now) const {
  return unreported_agents_.size() * kUnreportedDivisor <= listed_agents_ ||
         now - started_at_ > kAgentsReportWithin;
}

bool PoolPlanner::ShouldGoOffRack(const Unit& unit, const PlacementRequest& strict,
                                  Time now) const {
  const Duration waited = now - *unit.job->steps.at(unit.place).ready_since;
  if (NeedsFitGuarantee(unit) && waited > options_.guaranteed_off_rack_delay) return true;
  if (!KnowsMostAgents(now)) return false;
  // A service is missed for as long as it waits, and the estimate is no run time.
  if (strict.step->long_running && waited > kLongRunningOffRackDelay) return true;
  const bool mostly_idle = ServiceRoomOf(Terms(*unit.job).service).mostly_idle;
  if (mostly_idle && waited > kIdleOffRackDelay) return true;
  // Not even an empty rack can hold the unit, so waiting for one is pointless.
  if (!FitsOneRack(strict, RoomsFor(unit, true, now))) return true;
  if (!IsEnabled(Mechanism::kOffRackByForecast) || planner_lag_.overloaded()) return false;
  const std::optional<RoomForecast> forecast = ForecastRoom(strict, FutureRoomsFor(unit, now));
  return !forecast || forecast->delay > Scaled(unit.expected, options_.off_rack_slowdown - 1);
}

void PoolPlanner::ReserveForBackfill(const Unit& unit, const PlacementRequest& request, Time now) {
  if (!IsEnabled(Mechanism::kBackfilling)) return;
  if (reclaim_reservations_.Find(KeyOf(unit)) != nullptr) return;
  if (!request.step->gang && request.step->need.accelerators < kMinReservedAccelerators) return;
  if (backfill_reservations_.size() * kMaxReservedDivisor >= workers_.size()) return;
  const std::vector<FutureRoom> future = FutureRoomsFor(unit, now);
  PlacementRequest first = request;
  if (!request.step->gang) first.tasks = 1;
  const std::optional<RoomForecast> forecast = ForecastRoom(first, future);
  if (!forecast) return;
  backfill_reservations_.Add(KeyOf(unit), *forecast, future, request.step->need, now);
}

}  // namespace turmericshift::pool
