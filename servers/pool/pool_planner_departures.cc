// Moves runs off workers that have announced that they leave; see releases/departure.h.
#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"
#include "servers/releases/departure.h"

namespace turmericshift::pool {

void PoolPlanner::MoveRunsOfLeavingWorkers(Time now) {
  const std::set<std::string> leaving = std::exchange(newly_leaving_, {});
  if (!IsEnabled(Mechanism::kMoveFromLeavingWorkers)) return;
  for (const std::string& node : leaving) MoveRunsFrom(&workers_[node], now);
}

void PoolPlanner::MoveRunsFrom(WorkerState* worker, Time now) {
  for (auto& [id, run] : worker->live) {
    // A run with checkpoints loses little with its worker.
    if (run.phase == RunPhase::kStopping || run.resumable) continue;
    Job* job = FindJob(id.task.job);
    const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, id.task);
    if (step == nullptr || step->long_running || IsOver(job->progress.state)) continue;
    releases::DepartingRun departing;
    departing.left = RemainingTime(run, now);
    departing.elapsed = now - run.since;
    departing.leaves_in = worker->facts.leaves_in;
    if (!releases::ShouldMove(departing) || !HasRoomElsewhere(*worker, *job, *step, now)) continue;
    LogEvent(LogLevel::kInfo, "run_moved",
             {{"job", id.task.job},
              {"task", TaskName(id.task)},
              {"run", id.number},
              {"node", worker->node},
              {"left_s", Seconds(departing.left)},
              {"elapsed_s", Seconds(departing.elapsed)},
              {"leaves_in_s", Seconds(departing.leaves_in)},
              {"epoch", epoch_}});
    StopRun(worker, &run);
    if (step->gang) StopGang(*job, id);
  }
}

// The other members of a gang free their own room when they are stopped, so that only one worker is
// missing.
bool PoolPlanner::HasRoomElsewhere(const WorkerState& from, const Job& job, const StepSpec& step,
                                   Time now) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& row) {
    const WorkerState& other = row.second;
    if (&other == &from || !other.usable(now) || !other.free().Holds(step.need)) return false;
    if (other.facts.service != Terms(job).service) return false;
    if (step.one_rack && other.facts.rack != from.facts.rack) return false;
    if (operator_state_->zones_out.count(other.zone) > 0) return false;
    if (health_tracker_.IsQuarantined(other.node, now)) return false;
    const std::vector<std::string>& labels = other.facts.labels;
    return step.label.empty() || std::count(labels.begin(), labels.end(), step.label) > 0;
  });
}

}  // namespace turmericshift::pool
