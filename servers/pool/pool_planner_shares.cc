// Uses the workspaces' shares of the pool: records what each workspace occupies and loses to
// preemption, and sets the level of overuse by which waiting units are ordered.
//
// Load pattern: callers compete for too little capacity, and one workspace sends half of all jobs.
#include <algorithm>

#include "core/logging.h"
#include "servers/pool/job_value.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

shares::Resources ResourcesOf(const Room& room) {
  return {room.processor_millis, room.memory_mib, room.accelerators};
}

}  // namespace

bool PoolPlanner::HasWork(const Job& job) {
  if (!job.runs.empty()) return true;
  // Later occurrences of a scheduled job are no work yet.
  return !IsOver(job.progress.state) &&
         std::any_of(job.steps.begin(), job.steps.end(),
                     [](const auto& row) { return row.second.ready_since.has_value(); });
}

void PoolPlanner::RecordWorkspaceUse(const Room& total, Time now) {
  std::map<std::string, shares::WorkspaceUse> by_workspace;
  for (const Workspace& workspace : operator_state_->config.workspaces) {
    by_workspace[workspace.name].guaranteed_accelerators = workspace.guaranteed_accelerators;
  }
  for (const auto& [id, job] : jobs_) {
    if (!HasWork(job)) continue;
    shares::WorkspaceUse& use = by_workspace[job.spec.workspace];
    use.has_work = true;
    for (const auto& [place, run] : job.runs) {
      const StepSpec& step = job.spec.steps[static_cast<size_t>(place.step)];
      // A task without end would keep its workspace's jobs behind all others for good.
      if (step.long_running) continue;
      use.in_use.processor_millis += step.best_effort ? 0 : step.need.processor_millis;
      use.in_use.memory_mib += step.need.memory_mib;
      use.in_use.accelerators += step.need.accelerators;
    }
  }
  const shares::PoolCapacity capacity = {ResourcesOf(total), CoreEquivalent(total)};
  for (const shares::LevelChange& change : shares_->RecordUse(by_workspace, capacity, now)) {
    LogEvent(LogLevel::kInfo, "workspace_overuse",
             {{"workspace", change.workspace},
              {"former_level", change.former_level},
              {"level", change.level},
              {"overuse", change.overuse},
              {"used_share", change.used},
              {"fair_share", change.fair_share},
              {"epoch", epoch_}});
  }
}

bool PoolPlanner::MustWait(const std::vector<Unit>& units, Time now) const {
  Room wanted;
  for (const Unit& unit : units) {
    // An earlier round had no room for it.
    if (*unit.job->steps.at(unit.place).ready_since < now) return true;
    const StepSpec& step = unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
    for (size_t i = 0; i < unit.waiting.size(); ++i) wanted += step.need;
  }
  return !free_room_.Holds(wanted);
}

void PoolPlanner::SetOveruseLevels(std::vector<Unit>* units, Time now) const {
  if (!MustWait(*units, now)) return;
  bool any_over_share = false;
  for (Unit& unit : *units) {
    // A job that would soon be worthless has waited its turn, so that no workspace starves.
    if (unit.prospect == Prospect::kExpiring) continue;
    unit.overuse_level = shares_->Level(unit.job->spec.workspace, now);
    any_over_share = any_over_share || unit.overuse_level > 0;
  }
  if (!any_over_share) return;
  // Jobs that can still be of value go before those that can't, whoever sent them.
  for (Unit& unit : *units) {
    if (unit.prospect == Prospect::kWorthless) unit.overuse_level = shares::kMaxOveruseLevel + 1;
  }
}

void PoolPlanner::RecordPreemption(const std::vector<RunId>& stops, const Unit& unit,
                                   int64_t wall_ms, Time now) {
  for (const RunId& stop : stops) {
    const Job* job = FindJob(stop.task.job);
    for (const auto& [node, worker] : workers_) {
      const auto live = worker.live.find(stop);
      if (live == worker.live.end()) continue;
      const double cost = CostOfStopping(*job, live->second, unit.expected, wall_ms, now);
      shares_->RecordPreempted(job->spec.workspace, cost, now);
    }
  }
}

}  // namespace turmericshift::pool
