// Decides which runs are preempted, for which unit, and at what cost.
//
// Load pattern: bursts of urgent gangs in a pool full of long tasks. Within their workspace's
// guarantee they get the room back within the operators' bound. Beyond it, runs are preempted only
// where the expected gain, compared with waiting for runs to end, exceeds the cost, which includes
// the value that the victims' jobs lose by ending later.
#include <algorithm>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"
#include "servers/pool/preemption_cost.h"

namespace turmericshift::pool {
namespace {

// Preemption for the same unit is considered again after this time, well within the bound on
// reclaiming.
constexpr Duration kReclaimInterval = std::chrono::milliseconds(300);
// Guaranteed room is reclaimed at any cost.
constexpr double kUnlimitedCost = 1e9;

}  // namespace

double PoolPlanner::MaxReclaimCost(const Unit& unit, const PlacementRequest& remaining,
                                   double share_now, Time now) const {
  const std::optional<RoomForecast> forecast = ForecastRoom(remaining, FutureRoomsFor(unit, now));
  // A request that never fits has a wait beyond any due time.
  const Duration wait = forecast ? forecast->delay : Duration(std::chrono::hours(1));
  const double share_otherwise = std::max(share_now, ExpectedValueShare(unit.timing, wait));
  const double gain =
      std::max(0.0, ExpectedValueShare(unit.timing, mean_stop_time_) - share_otherwise);
  // A unit that can begin at once has its guarantee, also on slow workers.
  if (unit.within_guarantee && share_now <= 0) {
    const Duration waited = now - *unit.job->steps.at(unit.place).ready_since;
    const bool frees_up_anyway = IsEnabled(Mechanism::kWaitForGuaranteedRoom) &&
                                 waited + wait < options_.guaranteed_wait_limit;
    return frees_up_anyway ? 0 : kUnlimitedCost;
  }
  return IsEnabled(Mechanism::kPreemptForBorrowedRoom)
             ? gain * estimator_.ValueOf(unit.job->spec, Terms(*unit.job))
             : 0;
}

double PoolPlanner::CostOfStopping(const Job& job, const LiveRun& run, Duration room_taken_for,
                                   int64_t wall_ms, Time now) const {
  const StepPlace place = {run.run.task.occurrence, run.run.task.step};
  RunToStop stop;
  stop.step = &job.spec.steps[static_cast<size_t>(place.step)];
  stop.need = run.need;
  stop.elapsed = now - run.since;
  stop.whole = estimator_.ExpectedTime(job.spec, *stop.step);
  stop.left = RemainingTime(run, now);
  stop.timing = estimator_.TimingOf(job.spec, Terms(job), place, wall_ms);
  stop.value = estimator_.ValueOf(job.spec, Terms(job));
  const auto state = job.steps.find(place);
  if (state != job.steps.end()) stop.preemptions = state->second.preemptions;
  return PreemptionCost(stop, {mean_stop_time_, options_.restore_time, room_taken_for},
                        options_.disabled_mechanisms);
}

std::vector<Victim> PoolPlanner::VictimsFor(const Unit& unit, int64_t wall_ms, Time now) const {
  std::vector<Victim> victims;
  for (const auto& [node, worker] : workers_) {
    for (const auto& [id, run] : worker.live) {
      if (run.phase == RunPhase::kStopping) continue;
      const auto job = jobs_.find(id.task.job);
      if (job == jobs_.end() || IsOver(job->second.progress.state)) continue;
      const StepSpec* step = FindStep(job->second, id.task);
      if (step == nullptr) continue;
      const std::string& workspace = job->second.spec.workspace;
      const int priority = Terms(job->second).priority;
      const bool urgent = priority == 0;
      if (unit.priority > 0 && priority <= unit.priority) continue;
      // Urgent runs beyond their own workspace's guarantee occupy borrowed room, which a unit
      // within its guarantee may reclaim.
      const bool borrowed = unit.within_guarantee && workspace != unit.job->spec.workspace &&
                            UrgentUse(workspace) > GuaranteedFor(workspace);
      if (urgent && !borrowed) continue;
      Victim victim;
      victim.run = id;
      victim.node = node;
      victim.need = run.need;
      victim.cost = CostOfStopping(job->second, run, unit.expected, wall_ms, now) *
                    shares_->PreemptionWeight(workspace, now);
      victim.over_share = shares_->Level(workspace, now) > 0;
      if (step->gang) {
        victim.gang = id.task.job + "/" + std::to_string(id.task.occurrence) + "/" +
                      std::to_string(id.task.step);
      }
      victims.push_back(std::move(victim));
    }
  }
  return victims;
}

bool PoolPlanner::TryReclaim(const Unit& unit, const PlacementRequest& request, double share_now,
                             int64_t wall_ms, Time now) {
  StepState& state = unit.job->steps.at(unit.place);
  const bool tried_recently =
      state.last_reclaim_attempt && now - *state.last_reclaim_attempt < kReclaimInterval;
  if (reclaims_left_ == 0 || tried_recently) return false;
  // A job that is not durable may still be withdrawn, and the work of others would be lost for it.
  if (unit.job->accepted_ticket > outbox_.durable()) return false;
  if (planner_lag_.overloaded() && !unit.within_guarantee) return false;
  --reclaims_left_;
  state.last_reclaim_attempt = now;
  PlacementRequest remaining = request;
  if (!request.step->gang) {
    // The tasks that fit have been started already, so only the others need room.
    remaining.tasks = 0;
    for (const int index : unit.waiting) {
      remaining.tasks += unit.job->runs.count({unit.place.occurrence, unit.place.step, index}) == 0;
    }
  }
  const double limit = MaxReclaimCost(unit, remaining, share_now, now);
  state.reclaim_outcome = ReclaimOutcome::kNoGain;
  if (limit <= 0) return false;
  const std::optional<ReclaimPlan> plan =
      ChooseVictims(remaining, StartRoomsFor(unit, now), VictimsFor(unit, wall_ms, now));
  state.reclaim_outcome = plan ? ReclaimOutcome::kTooCostly : ReclaimOutcome::kNotEnoughRoom;
  if (!plan || plan->cost > limit) return false;
  state.reclaim_outcome = ReclaimOutcome::kOrdered;
  RecordPreemption(plan->stops, unit, wall_ms, now);
  for (const RunId& stop : plan->stops) {
    for (auto& [node, worker] : workers_) {
      const auto live = worker.live.find(stop);
      if (live == worker.live.end()) continue;
      Job* job = FindJob(stop.task.job);
      ++job->steps[{stop.task.occurrence, stop.task.step}].preemptions;
      live->second.stopping_since = now;
      StopRun(&worker, &live->second);
    }
  }
  reclaim_reservations_.Add(
      KeyOf(unit), {plan->placement, request.step->need, now + options_.reservation_limit});
  LogEvent(LogLevel::kInfo, "room_reclaimed",
           {{"job", unit.job->spec.id},
            {"entitled", unit.within_guarantee},
            {"stops", plan->stops.size()},
            {"lost_core_s", plan->cost},
            {"limit_core_s", limit},
            {"epoch", epoch_}});
  return true;
}

}  // namespace turmericshift::pool
