// Who has to make way, for whom, and for how much.
//
// Load pattern: bursts of urgent gangs over a pool full of long tasks. Within their workspace's
// guarantee they have the room back within the operators' bound; beyond it, others' work is stopped
// only where being in time is worth more than what is thrown away. Nothing is stopped for a unit
// that is still in time when it waits for what ends anyway.
#include <algorithm>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// The same unit is weighed again after this, well within the bound on reclaiming.
constexpr Duration kReclaimPause = std::chrono::milliseconds(300);
// An accelerator weighs as much as so many cores in work thrown away; the operators' own price.
constexpr double kCoresPerAccelerator = 8;
// Work that has been interrupted before is dearer to interrupt again, so that two urgent streams do
// not stop the same job for ever.
constexpr double kAgainFactor = 2.0;
// Starting again what has just been started wastes the start as well.
constexpr double kLeastLostSeconds = 0.3;

// Borrowed room: an urgent job that comes in time instead of late is worth so many core-seconds of
// others' work, whatever its size, and so much for each core-second of its own. A job that comes
// late is worth a fifth to its caller, and one that comes too late nothing.
constexpr double kWorthOfAJob = 350;
constexpr double kWorthOfWork = 1.4;
constexpr double kWorthOfLate = 0.2;
// A guarantee is had back at any price.
constexpr double kNoLimit = 1e9;
// Seconds of work that stopping the run throws away.
double LostSeconds(const LiveRun& run, const StepSpec& step, Duration restore, Time now) {
  if (step.checkpoints) return Seconds(restore);
  return std::max(kLeastLostSeconds, Seconds(now - run.since));
}

double Cores(const Room& need) {
  return static_cast<double>(need.processor_millis) / 1000 +
         kCoresPerAccelerator * static_cast<double>(need.accelerators);
}

// Core-seconds that the tasks to place take.
double OwnWork(const PlaceWish& wish, Duration each) {
  return Cores(wish.step->need) * wish.tasks * Seconds(each);
}

}  // namespace

double PoolPlanner::GainOfNow(const Unit& unit, Duration wait, int64_t wall_ms) {
  const auto worth = [](Prospect prospect) {
    if (prospect == Prospect::kInTime) return 1.0;
    return prospect == Prospect::kUseless ? 0.0 : kWorthOfLate;
  };
  const int64_t wait_ms = duration_cast<std::chrono::milliseconds>(wait).count();
  return worth(ProspectOf(unit, wall_ms)) - worth(ProspectOf(unit, wall_ms + wait_ms));
}

double PoolPlanner::ReclaimLimit(const Unit& unit, const PlaceWish& rest, int64_t wall_ms,
                                 Time now) const {
  const std::optional<RoomForecast> forecast = ForecastRoom(rest, FutureRoomsFor(unit, now));
  // Far beyond any time of use, for what never fits.
  const Duration wait = forecast ? forecast->in : Duration(std::chrono::hours(1));
  const double gain = GainOfNow(unit, wait, wall_ms);
  if (unit.entitled) {
    const Duration waited = now - *unit.job->steps.at(unit.place).ready_since;
    const bool comes_anyway = gain <= 0 && waited + wait < options_.owed_patience;
    return comes_anyway ? 0 : kNoLimit;
  }
  const double worth = kWorthOfAJob + kWorthOfWork * OwnWork(rest, unit.expected);
  return gain * worth / (1 + unit.priority);
}

std::vector<Victim> PoolPlanner::VictimsFor(const Unit& unit, Time now) const {
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
      victim.cost = Cores(run.need) * LostSeconds(run, *step, options_.restore, now);
      const auto state = job->second.steps.find({id.task.occurrence, id.task.step});
      if (state != job->second.steps.end()) {
        victim.cost *= 1 + kAgainFactor * state->second.interrupted;
      }
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
  --reclaims_left_;
  state.reclaim_tried = now;
  PlaceWish rest = wish;
  if (!wish.step->gang) {
    // What fitted has been started above.
    rest.tasks = 0;
    for (const int index : unit.waiting) {
      rest.tasks += unit.job->runs.count({unit.place.occurrence, unit.place.step, index}) == 0;
    }
  }
  const double limit = ReclaimLimit(unit, rest, wall_ms, now);
  if (limit <= 0) return;
  const std::optional<ReclaimPlan> plan =
      ChooseVictims(rest, StartRoomsFor(unit, now), VictimsFor(unit, now));
  if (!plan || plan->cost > limit) return;
  for (const RunId& stop : plan->stops) {
    for (auto& [node, worker] : workers_) {
      const auto live = worker.live.find(stop);
      if (live == worker.live.end()) continue;
      Job* job = FindJob(stop.task.job);
      ++job->steps[{stop.task.occurrence, stop.task.step}].interrupted;
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
