// Who has to make way, for whom, and for how much.
//
// Load pattern: bursts of urgent gangs over a pool full of long tasks. Within their workspace's
// guarantee they have the room back within the operators' bound; beyond it, others are stopped only
// where that is likely to gain more than it costs: against waiting for what ends anyway, and with
// what those who are stopped lose by coming later.
#include <algorithm>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// The same unit is weighed again after this, well within the bound on reclaiming.
constexpr Duration kReclaimPause = std::chrono::milliseconds(300);
// Work that has been interrupted before is dearer to interrupt again, so that two urgent streams do
// not stop the same job for ever.
constexpr double kAgainFactor = 2.0;
// Starting again what has just been started wastes the start as well.
constexpr double kLeastLostSeconds = 0.3;

// A guarantee is had back at any price.
constexpr double kNoLimit = 1e9;

// Seconds of work that stopping the run throws away.
double LostSeconds(const LiveRun& run, const StepSpec& step, Duration restore, Time now) {
  if (step.checkpoints) return Seconds(restore);
  return std::max(kLeastLostSeconds, Seconds(now - run.since));
}

}  // namespace

double PoolPlanner::ReclaimLimit(const Unit& unit, const PlaceWish& remaining, Time now) const {
  const std::optional<RoomForecast> forecast = ForecastRoom(remaining, FutureRoomsFor(unit, now));
  // Far beyond any time of use, for what never fits.
  const Duration wait = forecast ? forecast->in : Duration(std::chrono::hours(1));
  const double gain = std::max(
      0.0, ExpectedValueShare(unit.timing, stop_takes_) - ExpectedValueShare(unit.timing, wait));
  if (unit.entitled) {
    const Duration waited = now - *unit.job->steps.at(unit.place).ready_since;
    const bool comes_anyway =
        Uses(Mechanism::kWaitForGuaranteedRoom) && waited + wait < options_.guaranteed_wait_limit;
    return comes_anyway ? 0 : kNoLimit;
  }
  return Uses(Mechanism::kPreemptForBorrowedRoom)
             ? gain * appraiser_.ValueOf(unit.job->spec, Terms(*unit.job))
             : 0;
}

double PoolPlanner::CostOfStop(const Job& job, const LiveRun& run, Duration away, int64_t wall_ms,
                               Time now) const {
  const StepPlace place = {run.run.task.occurrence, run.run.task.step};
  const StepSpec& step = job.spec.steps[static_cast<size_t>(place.step)];
  JobTiming timing = appraiser_.TimingOf(job.spec, Terms(job), place, wall_ms);
  const Duration whole = appraiser_.ExpectedTime(job.spec, step);
  const Duration left = run.progress.Left(run.estimate, run.since, now);
  const Duration later = timing.remaining - whole;
  timing.remaining = later + left;
  const double share_now = ExpectedValueShare(timing, Duration::zero());
  timing.remaining = later + (step.checkpoints ? left + options_.restore : whole);
  const double share_then = ExpectedValueShare(timing, stop_takes_ + away);
  double loss = std::max(0.0, share_now - share_then) * appraiser_.ValueOf(job.spec, Terms(job));
  if (!Uses(Mechanism::kVictimLoss)) loss = 0;
  // The members of a gang are stopped together and lose it once.
  if (step.gang) loss /= step.tasks;
  double thrown = CoreEquivalent(run.need) * LostSeconds(run, step, options_.restore, now);
  const auto state = job.steps.find(place);
  if (state != job.steps.end() && Uses(Mechanism::kRepeatPreemptionCost)) {
    thrown *= 1 + kAgainFactor * state->second.interrupted;
  }
  return thrown + loss;
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
      // Urgent work beyond its workspace's guarantee is borrowed room for one within its own.
      const bool borrowed = unit.entitled && workspace != unit.job->spec.workspace &&
                            UrgentUse(workspace) > GuaranteedFor(workspace);
      if (urgent && !borrowed) continue;
      Victim victim;
      victim.run = id;
      victim.node = node;
      victim.need = run.need;
      victim.cost = CostOfStop(job->second, run, unit.expected, wall_ms, now);
      if (step->gang) {
        victim.gang = id.task.job + "/" + std::to_string(id.task.occurrence) + "/" +
                      std::to_string(id.task.step);
      }
      victims.push_back(std::move(victim));
    }
  }
  return victims;
}

void PoolPlanner::TryReclaim(const Unit& unit, const PlaceWish& wish, int64_t wall_ms, Time now) {
  StepState& state = unit.job->steps.at(unit.place);
  const bool just_tried = state.reclaim_tried && now - *state.reclaim_tried < kReclaimPause;
  if (reclaims_left_ == 0 || just_tried) return;
  if (lateness_.sheds() && !unit.entitled) return;
  --reclaims_left_;
  state.reclaim_tried = now;
  PlaceWish remaining = wish;
  if (!wish.step->gang) {
    // What fitted has been started above.
    remaining.tasks = 0;
    for (const int index : unit.waiting) {
      remaining.tasks += unit.job->runs.count({unit.place.occurrence, unit.place.step, index}) == 0;
    }
  }
  const double limit = ReclaimLimit(unit, remaining, now);
  if (limit <= 0) return;
  const std::optional<ReclaimPlan> plan =
      ChooseVictims(remaining, StartRoomsFor(unit, now), VictimsFor(unit, wall_ms, now));
  if (!plan || plan->cost > limit) return;
  for (const RunId& stop : plan->stops) {
    for (auto& [node, worker] : workers_) {
      const auto live = worker.live.find(stop);
      if (live == worker.live.end()) continue;
      Job* job = FindJob(stop.task.job);
      ++job->steps[{stop.task.occurrence, stop.task.step}].interrupted;
      live->second.stopping_since = now;
      StopRun(&worker, &live->second);
    }
  }
  reservations_[{unit.job->spec.id, unit.place}] = {plan->placement, wish.step->need,
                                                    now + options_.reservation_limit};
  LogEvent(LogLevel::kInfo, "room_reclaimed",
           {{"job", unit.job->spec.id},
            {"entitled", unit.entitled},
            {"stops", plan->stops.size()},
            {"lost_core_s", plan->cost},
            {"limit_core_s", limit},
            {"epoch", epoch_}});
}

}  // namespace turmericshift::pool
