#include "servers/planner/zone_planner.h"

#include <algorithm>

#include "core/logging.h"
#include "servers/planner/zone_room.h"

namespace turmericshift {
namespace {

constexpr double kMinAttemptShare = 0.1;

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
  if (environment == view_.environment) return;
  const AvailabilityZoneSpec* zone = environment->FindZone(view_.zone);
  view_.in = zone != nullptr && zone->in;
  view_.split = std::make_shared<const GuaranteeSplit>(SplitGuarantees(*environment));
  feasibility_ = std::make_unique<Feasibility>(environment);
  checked_jobs_.clear();
  refused_jobs_.clear();
  rebind_needed_ = true;
  view_.environment = std::move(environment);
}

void ZonePlanner::WorkerUp(const std::string& name, const std::string& rack,
                           const TaskShape& capacity) {
  if (WorkerView* known = FindWorker(name)) {
    known->reachable = true;
    return;
  }
  WorkerView worker;
  worker.name = name;
  worker.rack = rack;
  worker.capacity = capacity;
  worker.free_processors = capacity.processors;
  worker.free_memory_bytes = capacity.memory_bytes;
  worker.free_accelerators = AllAccelerators(capacity);
  worker_index_[name] = view_.workers.size();
  view_.workers.push_back(worker);
}

void ZonePlanner::WorkerUsable(const std::string& name, bool usable) {
  WorkerView* worker = FindWorker(name);
  if (worker == nullptr) return;
  worker->reachable = usable;
  worker->usable = worker->usable && usable;
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
  health_.ForgetWorker(name);
  worker_index_.clear();
  for (size_t index = 0; index < view_.workers.size(); ++index) {
    worker_index_[view_.workers[index].name] = index;
  }
  for (RunningJob& job : view_.running) UpdatePositions(&job.tasks);
}

void ZonePlanner::JobAccepted(const JobRecord& job, Time now) {
  if (waiting_ids_.count(job.id) != 0 || FindRunning(job.id) != nullptr) return;
  WaitingJob waiting;
  waiting.id = job.id;
  waiting.spec = job.spec;
  waiting.sequence = job.sequence;
  waiting.waiting_since = now;
  waiting.accepted = now;
  waiting.checkpoint = job.checkpoint;
  waiting_ids_.insert(job.id);
  view_.waiting.push_back(waiting);
}

void ZonePlanner::RequestCancel(const std::string& job) {
  if (!cancel_requested_.emplace(job, true).second) return;
  const auto found = FindById(&view_.waiting, job);
  if (found != view_.waiting.end()) found->cancel_asked = true;
}

void ZonePlanner::RemoveJob(const std::string& job) {
  if (waiting_ids_.erase(job) != 0) view_.waiting.erase(FindById(&view_.waiting, job));
  cancel_requested_.erase(job);
  health_.ForgetJob(job);
  checked_jobs_.erase(job);
  refused_jobs_.erase(job);
  checkpoints_.erase(job);
  wait_reasons_.erase(job);
}

void ZonePlanner::FoundRunning(const JobRecord& job, int64_t attempt,
                               const std::vector<TaskOnWorker>& tasks, bool borrowed, Time now) {
  if (waiting_ids_.erase(job.id) != 0) view_.waiting.erase(FindById(&view_.waiting, job.id));
  if (FindRunning(job.id) != nullptr) return;
  RunningJob running;
  running.id = job.id;
  running.spec = job.spec;
  running.sequence = job.sequence;
  running.attempt = attempt;
  running.started = now;
  running.accepted = now;
  running.last_checkpoint = now;
  running.borrowed = borrowed;
  running.tasks = tasks;
  for (const TaskOnWorker& task : tasks) AllocateRoom(job.spec.shape, task);
  UpdatePositions(&running.tasks);
  running_index_[job.id] = view_.running.size();
  view_.running.push_back(running);
  rebind_needed_ = true;
}

void ZonePlanner::Progress(const std::string& job, double progress, Time /*now*/) {
  if (RunningJob* running = FindRunning(job)) running->progress = progress;
}

void ZonePlanner::Checkpointed(const std::string& job, const std::string& checkpoint, Time now) {
  checkpoints_[job] = checkpoint;
  RunningJob* running = FindRunning(job);
  if (running == nullptr) return;
  running->last_checkpoint = now;
  running->saved_progress = running->progress;
}

void ZonePlanner::AttemptEnded(const std::string& job, int64_t attempt, AttemptEnd end, Time now) {
  const RunningJob* found = FindRunning(job);
  if (found == nullptr || found->attempt != attempt) return;
  const RunningJob ended = *found;
  view_.running.erase(view_.running.begin() + (found - view_.running.data()));
  running_index_stale_ = true;
  for (const TaskOnWorker& task : ended.tasks) ReleaseRoom(ended.spec.shape, task);
  if (end == AttemptEnd::kDone) {
    // An attempt that continued from a checkpoint ran only a share of the work.
    const double share = std::max(kMinAttemptShare, 1 - ended.started_progress);
    policy_->Learn(ended.spec, FromSeconds(Seconds(now - ended.started) / share), now);
    std::vector<std::string> workers;
    for (const TaskOnWorker& task : ended.tasks) workers.push_back(task.worker);
    health_.AttemptDone(job, workers);
  }
  if (end == AttemptEnd::kDone || end == AttemptEnd::kFailed) return RemoveJob(job);
  WaitingJob waiting;
  waiting.id = job;
  waiting.spec = ended.spec;
  waiting.sequence = ended.sequence;
  waiting.waiting_since = now;
  waiting.accepted = ended.accepted;
  waiting.last_attempt = attempt;
  waiting.restarts = ended.restarts + (end == AttemptEnd::kNotStarted ? 0 : 1);
  waiting.checkpoint = checkpoints_[job];
  waiting.progress = ended.saved_progress;
  waiting.cancel_asked = cancel_requested_.count(job) != 0;
  waiting_ids_.insert(job);
  view_.waiting.push_back(waiting);
}

Plan ZonePlanner::Decide(Time now) {
  Plan plan;
  UpdateQuarantine(now);
  if (rebind_needed_) RebindCells();
  BindBorrowed();
  if (view_.environment) {
    CheckFeasibility(&plan);
    Plan decided = policy_->Decide(view_, now);
    decided.refusals.insert(decided.refusals.end(), plan.refusals.begin(), plan.refusals.end());
    plan = std::move(decided);
  }
  ApplyCancels(&plan);
  DropUnsafeStarts(&plan);
  for (const StartDecision& start : plan.starts) ApplyStart(start, now);
  for (const StopDecision& stop : plan.stops) {
    if (RunningJob* running = FindRunning(stop.job)) running->stopping = true;
  }
  AddWaitReasons(plan);
  return plan;
}

FailureVerdict ZonePlanner::AttemptFailedOn(const std::string& job,
                                            const std::vector<std::string>& workers, Time now) {
  const FailureVerdict verdict = health_.AttemptFailed(job, workers, view_.workers.size(), now);
  const RunningJob* running = FindRunning(job);
  const bool may_repeat = running != nullptr && running->spec.repeatable;
  return may_repeat ? verdict : FailureVerdict::kJobAtFault;
}

void ZonePlanner::UpdateQuarantine(Time now) {
  for (WorkerView& worker : view_.workers) {
    worker.usable = worker.reachable && !health_.IsQuarantined(worker.name, now);
  }
}

void ZonePlanner::CheckFeasibility(Plan* plan) {
  for (WaitingJob& job : view_.waiting) {
    if (checked_jobs_.insert(job.id).second) {
      const std::optional<Refusal> here = feasibility_->InZone(view_.zone, job.spec);
      job.obstacle = here ? here->Text() : "";
      if (here) {
        const std::optional<Refusal> anywhere = feasibility_->Anywhere(job.spec);
        if (anywhere) refused_jobs_[job.id] = anywhere->Text();
      }
    }
    const auto refused = refused_jobs_.find(job.id);
    if (refused != refused_jobs_.end()) plan->refusals.push_back({job.id, refused->second});
  }
}

void ZonePlanner::AddWaitReasons(const Plan& plan) {
  wait_reasons_.clear();
  for (const WaitReason& wait : plan.waits) wait_reasons_[wait.job] = wait.reason;
  for (const WaitingJob& job : view_.waiting) {
    std::string& reason = wait_reasons_[job.id];
    if (job.cancel_asked) {
      reason = "its cancellation is being recorded";
    } else if (!view_.in) {
      reason = "its availability zone is out";
    } else if (!job.obstacle.empty()) {
      reason = job.obstacle;
    } else if (reason.empty()) {
      reason = "jobs ahead of it are waiting for room";
    }
  }
}

std::string ZonePlanner::WaitReasonFor(const std::string& job) const {
  const auto found = wait_reasons_.find(job);
  return found == wait_reasons_.end() ? "" : found->second;
}

void ZonePlanner::ApplyCancels(Plan* plan) {
  std::erase_if(plan->starts, [this](const StartDecision& start) {
    return cancel_requested_.count(start.job) != 0;
  });
  for (const auto& [job, asked] : cancel_requested_) {
    const RunningJob* running = FindRunning(job);
    if (running == nullptr || running->stopping) continue;
    plan->stops.push_back({job, running->attempt, false, StopReason::kCancelled});
  }
}

void ZonePlanner::UpdatePositions(std::vector<TaskOnWorker>* tasks) const {
  for (TaskOnWorker& task : *tasks) {
    const auto found = worker_index_.find(task.worker);
    task.position = found == worker_index_.end() ? -1 : static_cast<int>(found->second);
  }
}

void ZonePlanner::RebindCells() {
  rebind_needed_ = false;
  if (!view_.environment) return;
  std::vector<RunningJob> running;
  running.swap(view_.running);
  {
    ZoneRoom room(view_);
    // Jobs with recorded cells are bound first, so that adopted jobs don't take cells that are in
    // use.
    for (const bool recorded : {true, false}) {
      for (RunningJob& job : running) {
        if (job.borrowed || job.tasks.front().cell.has_value() != recorded) continue;
        if (room.BindAll(job.spec, &job.tasks)) continue;
        ClearCells(&job.tasks);
        if (room.BindAll(job.spec, &job.tasks)) continue;
        job.borrowed = CanBeStopped(job.spec);
      }
    }
  }
  view_.running.swap(running);
}

void ZonePlanner::BindBorrowed() {
  const auto may_bind = [](const RunningJob& job) { return job.borrowed && !job.stopping; };
  if (std::none_of(view_.running.begin(), view_.running.end(), may_bind)) return;
  ZoneRoom room(view_);
  for (RunningJob& job : view_.running) {
    if (!may_bind(job) || !room.HasUnbound(room.WorkspaceIndex(job.spec.workspace))) continue;
    if (room.BindAll(job.spec, &job.tasks)) job.borrowed = false;
  }
}

void ZonePlanner::DropUnsafeStarts(Plan* plan) {
  if (plan->starts.empty()) return;
  ZoneRoom room(view_);
  std::vector<StartDecision> safe;
  for (StartDecision& start : plan->starts) {
    const auto job = FindById(&view_.waiting, start.job);
    if (job == view_.waiting.end()) continue;
    if (!job->obstacle.empty() || job->cancel_asked) continue;
    const bool whole = static_cast<int>(start.tasks.size()) == job->spec.tasks;
    const AdmitRefusal refusal =
        view_.in && whole ? room.Admit(job->spec, &start) : AdmitRefusal::kNoRoom;
    if (refusal == AdmitRefusal::kNone) {
      safe.push_back(std::move(start));
      continue;
    }
    plan->waits.push_back({start.job, AdmitRefusalText(refusal)});
    if (WaitReasonFor(start.job) == AdmitRefusalText(refusal)) continue;
    LogEvent(LogLevel::kWarning, "unsafe_start_dropped",
             {{"job", start.job}, {"reason", AdmitRefusalText(refusal)}});
  }
  plan->starts = std::move(safe);
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
  running.accepted = found->accepted;
  running.restarts = found->restarts;
  running.progress = found->progress;
  running.started_progress = found->progress;
  running.saved_progress = found->progress;
  running.borrowed = start.borrowed;
  running.tasks = start.tasks;
  for (const TaskOnWorker& task : start.tasks) AllocateRoom(running.spec.shape, task);
  view_.waiting.erase(found);
  waiting_ids_.erase(start.job);
  checked_jobs_.erase(start.job);
  UpdatePositions(&running.tasks);
  running_index_[start.job] = view_.running.size();
  view_.running.push_back(running);
}

WorkerView* ZonePlanner::FindWorker(const std::string& name) {
  const auto found = worker_index_.find(name);
  return found == worker_index_.end() ? nullptr : &view_.workers[found->second];
}

RunningJob* ZonePlanner::FindRunning(const std::string& job) {
  if (running_index_stale_) {
    running_index_.clear();
    for (size_t index = 0; index < view_.running.size(); ++index) {
      running_index_[view_.running[index].id] = index;
    }
    running_index_stale_ = false;
  }
  const auto found = running_index_.find(job);
  return found == running_index_.end() ? nullptr : &view_.running[found->second];
}

void ZonePlanner::AllocateRoom(const TaskShape& shape, const TaskOnWorker& task) {
  WorkerView* worker = FindWorker(task.worker);
  if (worker == nullptr) return;
  worker->free_processors -= shape.processors;
  worker->free_memory_bytes -= shape.memory_bytes;
  worker->free_accelerators &= ~task.accelerators;
}

void ZonePlanner::ReleaseRoom(const TaskShape& shape, const TaskOnWorker& task) {
  WorkerView* worker = FindWorker(task.worker);
  if (worker == nullptr) return;
  worker->free_processors += shape.processors;
  worker->free_memory_bytes += shape.memory_bytes;
  worker->free_accelerators |= task.accelerators;
}

}  // namespace turmericshift
