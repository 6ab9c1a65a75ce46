#include "modules/placement/placement_test_support.h"

#include <algorithm>
#include <bit>
#include <map>
#include <set>

#include "servers/planner/zone_room.h"

namespace turmericshift {
namespace {

constexpr int64_t kGibibyte = int64_t{1} << 30;
constexpr int kWorkersPerRack = 3;
constexpr int kProcessorsEach = 4;

std::string RoomProblem(const ZoneView& view, const Plan& plan) {
  std::map<std::string, WorkerView> workers;
  for (const WorkerView& worker : view.workers) workers[worker.name] = worker;
  for (const StartDecision& start : plan.starts) {
    const auto job = std::find_if(view.waiting.begin(), view.waiting.end(),
                                  [&](const WaitingJob& each) { return each.id == start.job; });
    if (job == view.waiting.end()) return "starts a job that is not waiting";
    std::set<int> members;
    for (const TaskOnWorker& task : start.tasks) members.insert(task.task);
    const auto whole = static_cast<size_t>(job->spec.tasks);
    if (members.size() != whole || start.tasks.size() != whole) return "starts part of a gang";
    for (const TaskOnWorker& task : start.tasks) {
      WorkerView& worker = workers[task.worker];
      const bool free = worker.usable && (task.accelerators & ~worker.free_accelerators) == 0;
      worker.free_accelerators &= ~task.accelerators;
      worker.free_processors -= job->spec.shape.processors;
      worker.free_memory_bytes -= job->spec.shape.memory_bytes;
      const bool right_count = std::popcount(task.accelerators) == job->spec.shape.accelerators;
      if (!free || !right_count || worker.free_processors < 0 || worker.free_memory_bytes < 0) {
        return "gives room twice";
      }
    }
  }
  return "";
}

std::string GuaranteeProblem(const ZoneView& view, const Plan& plan) {
  ZoneView after = view;
  for (const StartDecision& start : plan.starts) {
    const auto job = std::find_if(view.waiting.begin(), view.waiting.end(),
                                  [&](const WaitingJob& each) { return each.id == start.job; });
    RunningJob running;
    running.id = job->id;
    running.spec = job->spec;
    running.borrowed = start.borrowed;
    running.tasks = start.tasks;
    if (start.borrowed && !CanBeStopped(job->spec)) return "borrows room but can't be stopped";
    after.running.push_back(running);
  }
  return GuaranteesHold(view) && !GuaranteesHold(after) ? "makes a guarantee impossible to meet"
                                                        : "";
}

}  // namespace

Environment SmallEnvironment(int workers, int accelerators, const std::vector<int>& cells) {
  Environment environment;
  environment.deployment = "test";
  AvailabilityZoneSpec zone;
  zone.name = kTestZone;
  zone.workers = workers;
  zone.workers_per_rack = kWorkersPerRack;
  zone.worker = {accelerators * kProcessorsEach, accelerators * kGibibyte, accelerators};
  environment.zones[zone.name] = zone;
  for (size_t index = 0; index < cells.size(); ++index) {
    WorkspaceSpec& workspace = environment.workspaces["ws" + std::to_string(index % 3)];
    workspace.name = "ws" + std::to_string(index % 3);
    workspace.accelerator_cap = workers * accelerators;
    workspace.guarantee.push_back({static_cast<CellLevel>(cells[index] % kCellLevelCount), 1});
  }
  return environment;
}

std::unique_ptr<ZonePlanner> PlannerWithWorkers(const Environment& environment,
                                                std::unique_ptr<PlacementPolicy> policy) {
  auto planner = std::make_unique<ZonePlanner>(kTestZone, std::move(policy));
  planner->SetEnvironment(std::make_shared<const Environment>(environment));
  const AvailabilityZoneSpec& zone = *environment.FindZone(kTestZone);
  for (int index = 0; index < zone.workers; ++index) {
    planner->WorkerUp("w" + std::to_string(index),
                      "r" + std::to_string(index / zone.workers_per_rack), zone.worker);
  }
  return planner;
}

JobRecord TestJob(int number, const JobSpec& spec) {
  JobRecord job;
  job.id = "job" + std::to_string(number);
  job.spec = spec;
  job.zone = kTestZone;
  job.sequence = static_cast<Sequence>(number);
  return job;
}

JobSpec TestSpec(const std::string& workspace, int size, int tasks, int flags) {
  JobSpec spec;
  spec.workspace = workspace;
  spec.tasks = tasks;
  spec.shape = {std::max(1, size * kProcessorsEach / ((flags & 8) != 0 ? 1 : 2)),
                std::max(1, size) * kGibibyte / 2, size};
  spec.repeatable = (flags & 1) != 0;
  spec.checkpoints = (flags & 2) != 0;
  spec.urgent = (flags & 4) != 0;
  spec.adjacency = static_cast<Adjacency>((flags >> 4) % 4);
  return spec;
}

std::string PlanProblem(const ZoneView& view, const Plan& plan) {
  if (!view.in && !plan.starts.empty()) return "starts a job while the zone is out";
  const std::string room = RoomProblem(view, plan);
  return room.empty() ? GuaranteeProblem(view, plan) : room;
}

}  // namespace turmericshift
