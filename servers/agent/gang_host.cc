#include "servers/agent/gang_host.h"

#include <algorithm>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

// The agent stops a gang 1/10 of the lease before the worker would, so that there is time for a
// checkpoint.
constexpr int kCheckpointShare = 10;

bool HasEnded(TaskPhase phase) {
  return phase == TaskPhase::kDone || phase == TaskPhase::kFailed || phase == TaskPhase::kStopped;
}

}  // namespace

GangHost::GangHost(const TaskShape& capacity, WorkerService* worker, const StartGuard* guard,
                   const std::string& name)
    : capacity_(capacity), worker_(worker), guard_(guard), name_(name) {}

void GangHost::HandleHeartbeatReply(const std::string& entry, const HeartbeatReply& reply,
                                    Time sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  planner_.HandleHeartbeatReply(entry, reply, sent);
}

void GangHost::Reserve(const GangReserve& reserve, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(reserve.epoch, now);
  RequireCurrentPlanner(now);
  guard_->RequireStartAllowed(now);
  const auto found = parts_.find({reserve.job, reserve.attempt});
  if (found != parts_.end()) {
    // A duplicate of the message is ignored.
    if (found->second.phase == Phase::kReserved) return;
    throw Error(ErrorKind::kConflict, "the attempt was already started on this worker");
  }
  for (const auto& [key, part] : parts_) {
    if (key.first != reserve.job || AllTasksEnded(part)) continue;
    throw Error(ErrorKind::kConflict, "another attempt of the job is on this worker");
  }
  RequireResources(reserve);
  Part part;
  part.reserve = reserve;
  part.expires_at = now + reserve.hold_timeout;
  parts_[{reserve.job, reserve.attempt}] = part;
}

void GangHost::Start(const GangStart& start, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(start.epoch, now);
  RequireCurrentPlanner(now);
  guard_->RequireStartAllowed(now);
  Part& part = RequirePart(start.job, start.attempt);
  if (part.phase != Phase::kReserved) return;
  // The phase is set before the calls to the worker, so that a stop after a failed call also
  // reaches the tasks that the worker has already started.
  part.phase = Phase::kHeld;
  part.expires_at = now + part.reserve.hold_timeout;
  for (const TaskPlacement& task : part.reserve.tasks) {
    TaskStart task_start;
    task_start.id = {start.job, start.attempt, task.task};
    task_start.shape = part.reserve.shape;
    task_start.accelerators = task.accelerators;
    task_start.held = true;
    task_start.lease = part.reserve.hold_timeout;
    task_start.checkpoint = start.checkpoint;
    task_start.payload = start.payload;
    task_start.epoch = start.epoch;
    task_start.workspace = part.reserve.workspace;
    task_start.guaranteed = part.reserve.guaranteed;
    task_start.checkpoints = part.reserve.checkpoints;
    worker_->Start(task_start);
  }
}

void GangHost::Release(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch, now);
  Part& part = RequirePart(action.job, action.attempt);
  if (part.phase == Phase::kRunning) return;
  if (part.phase == Phase::kReserved) {
    throw Error(ErrorKind::kConflict, "the tasks are not started yet");
  }
  if (part.phase == Phase::kStopping) {
    throw Error(ErrorKind::kConflict, "the tasks are being stopped");
  }
  if (now >= part.expires_at) throw Error(ErrorKind::kConflict, "the hold has expired");
  RequireCurrentPlanner(now);
  guard_->RequireStartAllowed(now);
  part.phase = Phase::kRunning;
  part.lease = action.lease;
  part.expires_at = now + action.lease;
  for (const TaskPlacement& task : part.reserve.tasks) {
    const TaskId id{action.job, action.attempt, task.task};
    // Until now the worker has the hold time-out as the task's lease. The gang's lease replaces it
    // before the release, so that a released task never outlives the gang's lease.
    worker_->Renew(id, action.lease);
    worker_->Release(id);
  }
  LogGangEvent("gang_released", action.job, part);
}

void GangHost::Renew(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch, now);
  RequireCurrentPlanner(now);
  Part& part = RequirePart(action.job, action.attempt);
  if (part.phase != Phase::kRunning) throw Error(ErrorKind::kConflict, "the tasks are not running");
  // A delayed renewal may arrive after the planner has treated the lease as expired.
  if (now >= part.expires_at) throw Error(ErrorKind::kConflict, "the lease has expired");
  const Time from = action.heartbeat_sent_at < 0 ? now : Time(Duration(action.heartbeat_sent_at));
  const Time expires_at = std::min(now, from) + action.lease;
  if (expires_at <= part.expires_at) return;
  part.expires_at = expires_at;
  part.lease = action.lease;
  for (const TaskPlacement& task : part.reserve.tasks) {
    worker_->Renew({action.job, action.attempt, task.task}, expires_at - now);
  }
}

void GangHost::Stop(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch, now);
  const auto found = parts_.find({action.job, action.attempt});
  if (found == parts_.end()) return;
  Part& part = found->second;
  if (part.phase == Phase::kReserved) {
    parts_.erase(found);
    return;
  }
  if (part.phase != Phase::kStopping) {
    BeginStop(&part, action.checkpoint);
  } else {
    StopTasks(part, false);
  }
  for (const TaskReport& report : worker_->Report()) reports_[report.id] = report;
  if (AnyTaskReported(part) && !AllTasksEnded(part)) {
    throw Error(ErrorKind::kConflict, "the tasks are still stopping");
  }
}

void GangHost::Forget(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch, now);
  const auto found = parts_.find({action.job, action.attempt});
  if (found == parts_.end()) return;
  // The resources of a task that does not stop must not be allocated again.
  if (AnyTaskReported(found->second) && !AllTasksEnded(found->second)) {
    throw Error(ErrorKind::kConflict, "the tasks have not ended");
  }
  for (const TaskPlacement& task : found->second.reserve.tasks) {
    const TaskId id{action.job, action.attempt, task.task};
    worker_->Forget(id);
    reports_.erase(id);
  }
  LogGangEvent("gang_forgotten", action.job, found->second);
  parts_.erase(found);
}

bool GangHost::Expire(Time now) {
  const bool changed = RefreshReports(now);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto each = parts_.begin(); each != parts_.end();) {
    Part& part = each->second;
    const bool expired = now >= part.expires_at - part.lease / kCheckpointShare;
    if (part.phase == Phase::kStopping) {
      StopTasks(part, false);
      // True if the worker reports none of the tasks after the stop, so it never received them.
      const bool never_started = reported_round_ > part.stop_round && !AnyTaskReported(part);
      each = never_started ? parts_.erase(each) : std::next(each);
      continue;
    }
    if (expired && part.phase == Phase::kReserved) {
      each = parts_.erase(each);
      continue;
    }
    if (expired && !AllTasksEnded(part)) {
      LogEvent(LogLevel::kWarning, "gang_lease_expired",
               {{"job", each->first.first}, {"attempt", each->first.second}});
      BeginStop(&part, part.phase == Phase::kRunning && part.reserve.checkpoints);
    }
    ++each;
  }
  return changed;
}

void GangHost::FillHeartbeat(AgentHeartbeat* heartbeat, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  heartbeat->planner_epoch = worker_state_known_ ? reports_epoch_ : kNoSequence;
  heartbeat->planner_silence = planner_.silence(now);
  heartbeat->sent_at = now.time_since_epoch().count();
  heartbeat->report_age = now - reports_at_;
  for (const auto& [id, report] : reports_) heartbeat->tasks.push_back(report);
}

Sequence GangHost::epoch() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner_.epoch();
}

bool GangHost::idle() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::all_of(parts_.begin(), parts_.end(),
                     [this](const auto& each) { return AllTasksEnded(each.second); });
}

void GangHost::LogGangEvent(const char* event, const std::string& job, const Part& part) const {
  LogEvent(LogLevel::kInfo, event,
           {{"job", job},
            {"attempt", part.reserve.attempt},
            {"worker", name_},
            {"zone", guard_->zone()},
            {"tasks", part.reserve.tasks.size()}});
}

void GangHost::RequireWorkerState() const {
  // A restarted agent does not know yet which accelerators are in use. Allocating one of them again
  // would run two tasks on it.
  if (!worker_state_known_) {
    throw Error(ErrorKind::kStale, "the tasks on the worker are not known yet");
  }
}

void GangHost::RequireEpoch(Sequence epoch, Time now) {
  RequireWorkerState();
  // A planner that was paused and replaced still considers itself the active planner. Obeying its
  // calls could start a job that its successor has started elsewhere.
  if (epoch < planner_.epoch()) throw Error(ErrorKind::kFenced, "a newer planner has the zone");
  planner_.RecordCall(epoch, now);
}

void GangHost::RequireCurrentPlanner(Time now) const {
  // An agent that is partitioned from the other entries together with a replaced planner would
  // otherwise obey that planner indefinitely, while the successor starts the same jobs elsewhere.
  if (planner_.IsPlannerCurrent(lease(), now)) return;
  throw Error(ErrorKind::kStale, "a newer planner may exist that is not known here");
}

GangHost::Part& GangHost::RequirePart(const std::string& job, int64_t attempt) {
  const auto found = parts_.find({job, attempt});
  if (found == parts_.end()) throw Error(ErrorKind::kConflict, "the attempt is not on this worker");
  return found->second;
}

void GangHost::RequireResources(const GangReserve& reserve) const {
  TaskShape used;
  uint32_t taken = 0;
  for (const auto& [key, part] : parts_) {
    // An ended part stays listed until the planner has recorded its end, but uses no resources.
    if (AllTasksEnded(part)) continue;
    const int tasks = static_cast<int>(part.reserve.tasks.size());
    used.processors += part.reserve.shape.processors * tasks;
    used.memory_bytes += part.reserve.shape.memory_bytes * tasks;
    for (const TaskPlacement& task : part.reserve.tasks) taken |= task.accelerators;
  }
  const int tasks = static_cast<int>(reserve.tasks.size());
  uint32_t wanted = 0;
  for (const TaskPlacement& task : reserve.tasks) {
    if ((wanted & task.accelerators) != 0) {
      throw Error(ErrorKind::kInvalidInput, "two tasks share an accelerator");
    }
    wanted |= task.accelerators;
  }
  const uint32_t present = (uint32_t{1} << capacity_.accelerators) - 1;
  const bool fits =
      (wanted & taken) == 0 && (wanted & ~present) == 0 &&
      used.processors + reserve.shape.processors * tasks <= capacity_.processors &&
      used.memory_bytes + reserve.shape.memory_bytes * tasks <= capacity_.memory_bytes;
  if (!fits) {
    throw Error(ErrorKind::kConflict, "the requested resources are not free on this worker");
  }
}

Duration GangHost::lease() const {
  const auto environment = guard_->environment();
  return environment ? environment->bounds.lease : Bounds{}.lease;
}

bool GangHost::AllTasksEnded(const Part& part) const {
  return std::all_of(
      part.reserve.tasks.begin(), part.reserve.tasks.end(), [&](const TaskPlacement& task) {
        const auto found = reports_.find({part.reserve.job, part.reserve.attempt, task.task});
        return found != reports_.end() && HasEnded(found->second.phase);
      });
}

bool GangHost::AnyTaskReported(const Part& part) const {
  return std::any_of(
      part.reserve.tasks.begin(), part.reserve.tasks.end(), [&](const TaskPlacement& task) {
        return reports_.count({part.reserve.job, part.reserve.attempt, task.task}) != 0;
      });
}

bool GangHost::RefreshReports(Time now) {
  Sequence epoch = kNoSequence;
  int64_t round = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    epoch = planner_.epoch();
    round = ++round_;
  }
  std::vector<TaskReport> all;
  try {
    // Called without the lock, so that a worker that hangs does not block heartbeats.
    all = worker_->Report();
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "worker_unheard", {{"error", error.what()}});
    return false;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  // A new epoch counts as a change too, since a new planner waits for confirmation that its
  // predecessor is no longer obeyed.
  const bool changed = epoch != reports_epoch_ || all.size() != reports_.size() ||
                       std::any_of(all.begin(), all.end(), [this](const TaskReport& report) {
                         const auto found = reports_.find(report.id);
                         return found == reports_.end() || found->second.phase != report.phase;
                       });
  reports_.clear();
  for (const TaskReport& report : all) reports_[report.id] = report;
  reports_epoch_ = epoch;
  reports_at_ = now;
  reported_round_ = round;
  if (!worker_state_known_) RebuildParts(now);
  return changed;
}

void GangHost::RebuildParts(Time now) {
  for (const auto& [id, report] : reports_) {
    const auto [slot, inserted] = parts_.try_emplace({id.job, id.attempt});
    Part& part = slot->second;
    if (inserted) part.phase = Phase::kStopping;
    part.reserve.job = id.job;
    part.reserve.attempt = id.attempt;
    part.reserve.epoch = report.epoch;
    part.reserve.workspace = report.workspace;
    part.reserve.shape = report.shape;
    part.reserve.checkpoints = report.checkpoints;
    part.reserve.guaranteed = report.guaranteed;
    part.lease = lease();
    part.reserve.tasks.push_back({id.task, report.accelerators});
    planner_.RecordTaskEpoch(report.epoch);
    if (HasEnded(report.phase)) continue;
    const Time expires_at = now + report.lease_left;
    const bool first = part.phase == Phase::kStopping;
    part.expires_at = first ? expires_at : std::min(part.expires_at, expires_at);
    // A part with a task that is still held counts as held, since its gang is incomplete. The part
    // expires when its held tasks do.
    if (part.phase != Phase::kHeld) {
      part.phase = report.phase == TaskPhase::kHeld ? Phase::kHeld : Phase::kRunning;
    }
  }
  worker_state_known_ = true;
  reports_epoch_ = planner_.epoch();
  LogEvent(LogLevel::kInfo, "worker_known",
           {{"parts", parts_.size()}, {"epoch", planner_.epoch()}});
}

void GangHost::BeginStop(Part* part, bool checkpoint) {
  part->phase = Phase::kStopping;
  part->stop_round = round_;
  LogGangEvent("gang_stopped", part->reserve.job, *part);
  StopTasks(*part, checkpoint);
}

void GangHost::StopTasks(const Part& part, bool checkpoint) {
  for (const TaskPlacement& task : part.reserve.tasks) {
    const TaskId id{part.reserve.job, part.reserve.attempt, task.task};
    const auto report = reports_.find(id);
    if (report != reports_.end() && HasEnded(report->second.phase)) continue;
    try {
      if (checkpoint) worker_->Checkpoint(id);
      worker_->Stop(id);
    } catch (const Error& error) {
      // Retried in the next round. The worker's own lease ends the task in any case.
      LogEvent(LogLevel::kWarning, "task_not_stopped", {{"job", id.job}, {"error", error.what()}});
    }
  }
}

}  // namespace turmericshift
