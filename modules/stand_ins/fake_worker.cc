#include "modules/stand_ins/fake_worker.h"

#include <algorithm>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift {
namespace {

constexpr Duration kDefaultRunTime = std::chrono::seconds(1);

Duration RunTimeFrom(const std::string& payload) {
  try {
    return ParseDuration(payload);
  } catch (const Error&) {
    return kDefaultRunTime;
  }
}

bool IsRunning(TaskPhase phase) {
  return phase == TaskPhase::kRunning || phase == TaskPhase::kThrottled;
}

bool IsActive(TaskPhase phase) { return IsRunning(phase) || phase == TaskPhase::kHeld; }

}  // namespace

void FakeWorker::Start(const TaskStart& start) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireReachable();
  const Time now = clock_->Now();
  const auto [slot, inserted] = tasks_.try_emplace(start.id);
  if (!inserted) return;
  Task& task = slot->second;
  task.start = start;
  task.phase = start.held ? TaskPhase::kHeld : TaskPhase::kRunning;
  task.run_time = RunTimeFrom(start.payload);
  task.since = now;
  task.lease_until = now + start.lease;
  task.checkpoint = start.checkpoint;
  if (!start.checkpoint.empty()) task.work_done = RunTimeFrom(start.checkpoint);
}

void FakeWorker::Release(const TaskId& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Task& task = RequireTask(id);
  if (task.phase != TaskPhase::kHeld) return;
  task.phase = faults_.fails_everything ? TaskPhase::kFailed : TaskPhase::kRunning;
  task.since = clock_->Now();
}

void FakeWorker::Renew(const TaskId& id, Duration lease) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Task& task = RequireTask(id);
  Advance(&task, clock_->Now());
  task.lease_until = clock_->Now() + lease;
}

void FakeWorker::Checkpoint(const TaskId& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Task& task = RequireTask(id);
  Advance(&task, clock_->Now());
  task.checkpoint = FormatDuration(task.work_done);
}

void FakeWorker::Throttle(const TaskId& id, double share) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Task& task = RequireTask(id);
  Advance(&task, clock_->Now());
  task.share = std::clamp(share, 0.0, 1.0);
  if (IsRunning(task.phase)) task.phase = share < 1 ? TaskPhase::kThrottled : TaskPhase::kRunning;
}

void FakeWorker::Stop(const TaskId& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.ignores_stop) return;
  Task& task = RequireTask(id);
  Advance(&task, clock_->Now());
  if (IsActive(task.phase)) task.phase = TaskPhase::kStopped;
}

std::vector<TaskReport> FakeWorker::Report() {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireReachable();
  std::vector<TaskReport> reports;
  for (auto& [id, task] : tasks_) {
    Advance(&task, clock_->Now());
    TaskReport report;
    report.id = id;
    report.phase = task.phase;
    report.accelerators = task.start.accelerators;
    report.shape = task.start.shape;
    report.progress = std::min(1.0, Seconds(task.work_done) / Seconds(task.run_time));
    report.checkpoint = task.checkpoint;
    report.epoch = task.start.epoch;
    report.workspace = task.start.workspace;
    report.guaranteed = task.start.guaranteed;
    report.checkpoints = task.start.checkpoints;
    if (IsActive(task.phase)) report.lease_left = task.lease_until - clock_->Now();
    reports.push_back(report);
  }
  return reports;
}

void FakeWorker::Forget(const TaskId& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireReachable();
  tasks_.erase(id);
}

void FakeWorker::SetFaults(const WorkerFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

void FakeWorker::RequireReachable() const {
  if (faults_.unreachable) throw Error(ErrorKind::kUnavailable, "the worker does not answer");
}

FakeWorker::Task& FakeWorker::RequireTask(const TaskId& id) {
  RequireReachable();
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) throw Error(ErrorKind::kNotFound, "no such task");
  return found->second;
}

void FakeWorker::Advance(Task* task, Time now) const {
  const bool lease_expired = now >= task->lease_until;
  const Time until = lease_expired ? task->lease_until : now;
  if (IsRunning(task->phase) && until > task->since) {
    task->work_done += FromSeconds(Seconds(until - task->since) * task->share);
    task->since = until;
    if (task->work_done >= task->run_time) task->phase = TaskPhase::kDone;
  }
  if (lease_expired && IsActive(task->phase)) task->phase = TaskPhase::kStopped;
}

}  // namespace turmericshift
