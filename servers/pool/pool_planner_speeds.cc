// Uses workers' speeds: which workers are fast enough for a unit, and whether an urgent unit that
// fits only on workers that are too slow begins there, waits, or preempts runs on faster ones.
//
// Load pattern: urgent gangs with little slack in a pool whose workers differ in speed by factors.
#include <algorithm>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// Waiting for faster workers has to be worth at least this share of the job's value: forecasts of
// free room are often wrong.
constexpr double kMinWaitGain = 0.15;
// Stretch that is assumed where there is no urgent queue.
constexpr double kDefaultStretch = 3;

}  // namespace

void PoolPlanner::UpdateSpeeds(Time now) {
  for (const speeds::SpeedChange& change : speeds_->Update(now)) {
    LogEvent(LogLevel::kInfo, "worker_speed",
             {{"node", change.worker},
              {"speed", speeds::SpeedClassName(change.speed)},
              {"time_factor", change.factor},
              {"deviation", change.deviation},
              {"uneven", speeds_->uneven()},
              {"epoch", epoch_}});
  }
}

void PoolPlanner::SetSlowFactor() {
  double stretch = 0;
  for (const Queue& queue : operator_state_->config.queues) {
    if (queue.terms.priority != 0) continue;
    stretch = stretch == 0 ? queue.terms.stretch : std::min(stretch, queue.terms.stretch);
  }
  speeds_->SetSlowFactor(speeds::SlowFactorFor(stretch > 0 ? stretch : kDefaultStretch));
}

bool PoolPlanner::IsFastEnough(const std::string& node, Time now) const {
  if (!speeds_->uneven()) return true;
  const speeds::SpeedLimits urgent = {speeds::SpeedPreference::kFast, speeds_->slow_factor()};
  return RankOf(urgent, node, now) < speeds::kTooSlowRank;
}

int PoolPlanner::RankOf(const speeds::SpeedLimits& limits, const std::string& node,
                        Time now) const {
  if (!speeds_->uneven()) return 0;
  return speeds::SpeedRank(limits, speeds_->TimeFactor(node, now),
                           speeds_->CautiousFactor(node, now));
}

void PoolPlanner::BeginSpeedRun(const Job& job, const StepSpec& step, const std::string& node,
                                double slowdown, Time now, LiveRun* run) {
  // The percentage of a long-running task is its throughput.
  if (step.long_running) return;
  const TaskId& task = run->run.task;
  const std::string name = task.job + "." + std::to_string(task.occurrence) + "." +
                           std::to_string(task.step) + (slowdown > 1 ? ".off_rack" : "");
  const Duration expected = Scaled(estimator_.ExpectedTime(job.spec, step), slowdown);
  run->speed_run =
      speeds_->BeginRun({name, job.spec.queue, Terms(job).service, node, expected}, now);
}

double PoolPlanner::TimeFactorOf(const LiveRun& run, const std::string& node, Time now) const {
  if (!run.gang_workers) return speeds_->TimeFactor(node, now);
  double slowest = 0;
  for (const std::string& member : *run.gang_workers) {
    slowest = std::max(slowest, speeds_->TimeFactor(member, now));
  }
  return slowest;
}

// Members of a gang on fast workers have done their part early, but their room stays in use until
// the slowest member has ended.
Duration PoolPlanner::RemainingTime(const LiveRun& run, Time now) const {
  const Duration own = run.progress.RemainingTime(run.estimate, run.since, now);
  const auto job = jobs_.find(run.run.task.job);
  if (!run.gang_workers || !speeds_->uneven() || job == jobs_.end()) return own;
  Duration longest = own;
  for (const auto& [place, member] : job->second.runs) {
    if (member.number != run.run.number) continue;
    const auto worker = workers_.find(member.node);
    if (worker == workers_.end()) continue;
    const auto live = worker->second.live.find(
        {{run.run.task.job, place.occurrence, place.step, place.index}, member.number});
    if (live == worker->second.live.end()) continue;
    const LiveRun& other = live->second;
    longest = std::max(longest, other.progress.RemainingTime(other.estimate, other.since, now));
  }
  return longest;
}

// After a change of planner, the members of a gang are reported one by one.
void PoolPlanner::JoinAdoptedGang(const Job& job, const std::string& node, LiveRun* run) {
  std::set<std::string> nodes = {node};
  std::vector<LiveRun*> members = {run};
  for (const auto& [place, member] : job.runs) {
    if (member.number != run->run.number || place.step != run->run.task.step) continue;
    const auto worker = workers_.find(member.node);
    if (worker == workers_.end()) continue;
    const auto live = worker->second.live.find(
        {{job.spec.id, place.occurrence, place.step, place.index}, member.number});
    if (live == worker->second.live.end()) continue;
    nodes.insert(member.node);
    members.push_back(&live->second);
  }
  if (nodes.size() < 2) return;
  const auto gang_workers = std::make_shared<const std::set<std::string>>(nodes);
  for (LiveRun* member : members) member->gang_workers = gang_workers;
}

int PoolPlanner::TasksOnSlowWorkers(const Unit& unit, Time now) const {
  if (!speeds_->uneven() || unit.speed.preference == speeds::SpeedPreference::kFast) return 0;
  const StepSpec& step = unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  int tasks = 0;
  for (const WorkerRoom& room : StartRoomsFor(unit, now)) {
    if (workers_.at(std::string(room.node)).fast_enough) continue;
    tasks += FitCount(room.free, step.need, room.max_tasks);
  }
  return tasks;
}

bool PoolPlanner::TryWithoutSlowWorkers(const Unit& unit, const PlacementRequest& request,
                                        int64_t wall_ms, Time now) {
  if (unit.speed.preference != speeds::SpeedPreference::kFast) return false;
  Unit in_time = unit;
  in_time.only_in_time = true;
  // Off its rack the gang would take longer than on slow workers.
  const Placement placement = Place(request, StartRoomsFor(in_time, now));
  if (static_cast<int>(placement.size()) == request.tasks) {
    Start(unit, placement, now);
    return true;
  }
  if (!request.step->gang) return false;
  PlacementRequest slow = request;
  const Placement now_slow = PlaceUnit(unit, &slow, now);
  if (now_slow.empty()) return false;
  double factor = 1;
  for (const std::string& node : now_slow) {
    factor = std::max(factor, speeds_->TimeFactor(node, now));
  }
  JobTiming slow_timing = unit.timing;
  slow_timing.remaining += Scaled(unit.expected, factor - 1);
  const double slow_share = ExpectedValueShare(slow_timing, Duration::zero());
  if (planner_lag_.overloaded() || 1 - slow_share < kMinWaitGain) return false;
  if (TryReclaim(in_time, request, slow_share, wall_ms, now)) return true;
  const std::optional<RoomForecast> forecast = ForecastRoom(request, FutureRoomsFor(in_time, now));
  if (!forecast) return false;
  const Duration waited = now - *unit.job->steps.at(unit.place).ready_since;
  const bool may_wait =
      !NeedsFitGuarantee(unit) || waited + forecast->delay < options_.guaranteed_wait_limit;
  if (!may_wait || ExpectedValueShare(unit.timing, forecast->delay) - slow_share < kMinWaitGain) {
    return false;
  }
  RequestAdvice(in_time, now);
  LogWait(unit, request, WaitReason::kFasterWorkers, now);
  ReserveForBackfill(in_time, request, now);
  return true;
}

}  // namespace turmericshift::pool
