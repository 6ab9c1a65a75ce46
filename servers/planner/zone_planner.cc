#include "servers/planner/zone_planner.h"

#include <algorithm>

namespace turmericshift {
namespace {

uint32_t AllAccelerators(const TaskShape& capacity) {
  return (uint32_t{1} << capacity.accelerators) - 1;
}

template <typename Job>
auto FindById(std::vector<Job>* jobs, const std::string& id) {
  return std::find_if(jobs->begin(), jobs->end(), [&id](const Job& job) { return job.id == id; });
}

}  // namespace

ZonePlanner::ZonePlanner(const std::string& zone, std::unique_ptr<PlacementPolicy> policy)
    : policy_(std::move(policy)) {
  view_.zone = zone;
}

void ZonePlanner::SetEnvironment(std::shared_ptr<const Environment> environment) {
  const AvailabilityZoneSpec* zone = environment->FindZone(view_.zone);
  view_.in = zone != nullptr && zone->in;
  view_.environment = std::move(environment);
}

void ZonePlanner::WorkerUp(const std::string& name, const std::string& rack,
                           const TaskShape& capacity) {
  if (WorkerView* known = FindWorker(name)) {
    known->usable = true;
    return;
  }
  WorkerView worker;
  worker.name = name;
  worker.rack = rack;
  worker.capacity = capacity;
  worker.free_processors = capacity.processors;
  worker.free_memory_bytes = capacity.memory_bytes;
  worker.free_accelerators = AllAccelerators(capacity);
  view_.workers.push_back(worker);
}

void ZonePlanner::WorkerUsable(const std::string& name, bool usable) {
  if (WorkerView* worker = FindWorker(name)) worker->usable = usable;
}

void ZonePlanner::WorkerLost(const std::string& name, Time now) {
  std::vector<std::pair<std::string, int64_t>> lost;
  for (const RunningJob& job : view_.running) {
    const bool here = std::any_of(job.tasks.begin(), job.tasks.end(),
                                  [&](const TaskOnWorker& task) { return task.worker == name; });
    if (here) lost.emplace_back(job.id, job.attempt);
  }
  for (const auto& [job, attempt] : lost) {
    AttemptEnded(job, attempt, AttemptEnd::kWorkerLost, now);
  }
  std::erase_if(view_.workers, [&](const WorkerView& worker) { return worker.name == name; });
}

void ZonePlanner::JobAccepted(const JobRecord& job, Time now) {
  if (FindById(&view_.waiting, job.id) != view_.waiting.end()) return;
  if (FindRunning(job.id) != nullptr) return;
  WaitingJob waiting;
  waiting.id = job.id;
  waiting.spec = job.spec;
  waiting.sequence = job.sequence;
  waiting.waiting_since = now;
  waiting.checkpoint = job.checkpoint;
  view_.waiting.push_back(waiting);
}

void ZonePlanner::CancelAsked(const std::string& job) { cancel_asked_[job] = true; }

void ZonePlanner::JobGone(const std::string& job) {
  std::erase_if(view_.waiting, [&](const WaitingJob& waiting) { return waiting.id == job; });
  cancel_asked_.erase(job);
  checkpoints_.erase(job);
  wait_reasons_.erase(job);
}

void ZonePlanner::FoundRunning(const JobRecord& job, int64_t attempt,
                               const std::vector<TaskOnWorker>& tasks, bool borrowed, Time now) {
  std::erase_if(view_.waiting, [&](const WaitingJob& waiting) { return waiting.id == job.id; });
  if (FindRunning(job.id) != nullptr) return;
  RunningJob running;
  running.id = job.id;
  running.spec = job.spec;
  running.sequence = job.sequence;
  running.attempt = attempt;
  running.started = now;
  running.last_checkpoint = now;
  running.borrowed = borrowed;
  running.tasks = tasks;
  for (const TaskOnWorker& task : tasks) Take(job.spec.shape, task);
  view_.running.push_back(running);
}

void ZonePlanner::Progress(const std::string& job, double progress, Time /*now*/) {
  if (RunningJob* running = FindRunning(job)) running->progress = progress;
}

void ZonePlanner::Checkpointed(const std::string& job, const std::string& checkpoint, Time now) {
  checkpoints_[job] = checkpoint;
  if (RunningJob* running = FindRunning(job)) running->last_checkpoint = now;
}

void ZonePlanner::AttemptEnded(const std::string& job, int64_t attempt, AttemptEnd end, Time now) {
  const auto found = FindById(&view_.running, job);
  if (found == view_.running.end() || found->attempt != attempt) return;
  const RunningJob ended = *found;
  view_.running.erase(found);
  for (const TaskOnWorker& task : ended.tasks) GiveBack(ended.spec.shape, task);
  if (end == AttemptEnd::kDone) policy_->Learn(ended.spec, now - ended.started, now);
  if (end == AttemptEnd::kDone || end == AttemptEnd::kFailed) return JobGone(job);
  WaitingJob waiting;
  waiting.id = job;
  waiting.spec = ended.spec;
  waiting.sequence = ended.sequence;
  waiting.waiting_since = now;
  waiting.last_attempt = attempt;
  waiting.checkpoint = checkpoints_[job];
  view_.waiting.push_back(waiting);
}

Plan ZonePlanner::Decide(Time now) {
  Plan plan;
  if (view_.environment) plan = policy_->Decide(view_, now);
  ApplyCancels(&plan);
  for (const StartDecision& start : plan.starts) ApplyStart(start, now);
  for (const StopDecision& stop : plan.stops) {
    if (RunningJob* running = FindRunning(stop.job)) running->stopping = true;
  }
  wait_reasons_.clear();
  for (const WaitReason& wait : plan.waits) wait_reasons_[wait.job] = wait.reason;
  return plan;
}

std::string ZonePlanner::WaitReasonFor(const std::string& job) const {
  const auto found = wait_reasons_.find(job);
  return found == wait_reasons_.end() ? "" : found->second;
}

void ZonePlanner::ApplyCancels(Plan* plan) {
  std::erase_if(plan->starts,
                [this](const StartDecision& start) { return cancel_asked_.count(start.job) != 0; });
  for (const auto& [job, asked] : cancel_asked_) {
    const RunningJob* running = FindRunning(job);
    if (running == nullptr || running->stopping) continue;
    plan->stops.push_back({job, running->attempt, false, StopReason::kCancelled});
  }
}

void ZonePlanner::ApplyStart(const StartDecision& start, Time now) {
  const auto found = FindById(&view_.waiting, start.job);
  if (found == view_.waiting.end()) return;
  RunningJob running;
  running.id = found->id;
  running.spec = found->spec;
  running.sequence = found->sequence;
  running.attempt = start.attempt;
  running.started = now;
  running.last_checkpoint = now;
  running.borrowed = start.borrowed;
  running.tasks = start.tasks;
  for (const TaskOnWorker& task : start.tasks) Take(running.spec.shape, task);
  view_.waiting.erase(found);
  view_.running.push_back(running);
}

WorkerView* ZonePlanner::FindWorker(const std::string& name) {
  for (WorkerView& worker : view_.workers) {
    if (worker.name == name) return &worker;
  }
  return nullptr;
}

RunningJob* ZonePlanner::FindRunning(const std::string& job) {
  const auto found = FindById(&view_.running, job);
  return found == view_.running.end() ? nullptr : &*found;
}

void ZonePlanner::Take(const TaskShape& shape, const TaskOnWorker& task) {
  WorkerView* worker = FindWorker(task.worker);
  if (worker == nullptr) return;
  worker->free_processors -= shape.processors;
  worker->free_memory_bytes -= shape.memory_bytes;
  worker->free_accelerators &= ~task.accelerators;
}

void ZonePlanner::GiveBack(const TaskShape& shape, const TaskOnWorker& task) {
  WorkerView* worker = FindWorker(task.worker);
  if (worker == nullptr) return;
  worker->free_processors += shape.processors;
  worker->free_memory_bytes += shape.memory_bytes;
  worker->free_accelerators |= task.accelerators;
}

}  // namespace turmericshift
