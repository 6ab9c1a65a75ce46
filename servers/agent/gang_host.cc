#include "servers/agent/gang_host.h"

#include <algorithm>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

bool Ended(TaskPhase phase) {
  return phase == TaskPhase::kDone || phase == TaskPhase::kFailed || phase == TaskPhase::kStopped;
}

}  // namespace

GangHost::GangHost(const TaskShape& capacity, WorkerService* worker, const StartGuard* guard,
                   const std::string& name)
    : capacity_(capacity), worker_(worker), guard_(guard), name_(name) {}

void GangHost::Reserve(const GangReserve& reserve, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(reserve.epoch);
  guard_->RequireStart(now);
  const auto found = parts_.find(reserve.job);
  if (found != parts_.end()) {
    // The same message again is no news; another attempt must wait for the first to end.
    if (found->second.reserve.attempt == reserve.attempt) return;
    throw Error(ErrorKind::kConflict, "another attempt of the job is here");
  }
  RequireRoom(reserve);
  parts_[reserve.job] = {reserve, Phase::kReserved, now + reserve.hold, Duration::zero()};
}

void GangHost::Start(const GangStart& start, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(start.epoch);
  guard_->RequireStart(now);
  Part& part = RequirePart(start.job, start.attempt);
  if (part.phase != Phase::kReserved) return;
  const Duration lease = guard_->environment()->bounds.lease;
  for (const TaskPlacement& task : part.reserve.tasks) {
    TaskStart task_start;
    task_start.id = {start.job, start.attempt, task.task};
    task_start.shape = part.reserve.shape;
    task_start.accelerators = task.accelerators;
    task_start.held = true;
    task_start.lease = lease;
    task_start.checkpoint = start.checkpoint;
    task_start.payload = start.payload;
    worker_->Start(task_start);
  }
  part.phase = Phase::kHeld;
  part.until = now + lease;
  part.lease = lease;
}

void GangHost::Release(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch);
  Part& part = RequirePart(action.job, action.attempt);
  if (part.phase == Phase::kReserved) throw Error(ErrorKind::kConflict, "not started yet");
  if (part.phase == Phase::kStopping) throw Error(ErrorKind::kConflict, "stopping");
  if (part.phase == Phase::kHeld) {
    guard_->RequireStart(now);
    for (const TaskPlacement& task : part.reserve.tasks) {
      worker_->Release({action.job, action.attempt, task.task});
    }
    LogMember("gang_released", action.job, part);
  }
  part.phase = Phase::kRunning;
  part.until = now + action.lease;
}

void GangHost::Renew(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch);
  Part& part = RequirePart(action.job, action.attempt);
  if (part.phase == Phase::kStopping) throw Error(ErrorKind::kConflict, "stopping");
  part.until = now + action.lease;
  for (const TaskPlacement& task : part.reserve.tasks) {
    worker_->Renew({action.job, action.attempt, task.task}, action.lease);
  }
}

void GangHost::Stop(const GangAction& action, Time /*now*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch);
  const auto found = parts_.find(action.job);
  if (found == parts_.end() || found->second.reserve.attempt != action.attempt) return;
  if (found->second.phase == Phase::kReserved) {
    parts_.erase(found);
    return;
  }
  StopTasks(action.job, found->second, action.checkpoint);
  LogMember("gang_stopped", action.job, found->second);
  found->second.phase = Phase::kStopping;
}

void GangHost::Forget(const GangAction& action, Time /*now*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch);
  const auto found = parts_.find(action.job);
  if (found == parts_.end() || found->second.reserve.attempt != action.attempt) return;
  for (const TaskPlacement& task : found->second.reserve.tasks) {
    worker_->Forget({action.job, action.attempt, task.task});
  }
  LogMember("gang_forgotten", action.job, found->second);
  parts_.erase(found);
}

void GangHost::Expire(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto part = parts_.begin(); part != parts_.end();) {
    if (now < part->second.until || part->second.phase == Phase::kStopping) {
      ++part;
      continue;
    }
    if (part->second.phase == Phase::kReserved) {
      part = parts_.erase(part);
      continue;
    }
    LogEvent(LogLevel::kWarning, "gang_lease_expired", {{"job", part->first}});
    StopTasks(part->first, part->second, part->second.reserve.checkpoints);
    LogMember("gang_stopped", part->first, part->second);
    part->second.phase = Phase::kStopping;
    ++part;
  }
}

void GangHost::LogMember(const char* event, const std::string& job, const Part& part) const {
  LogEvent(LogLevel::kInfo, event,
           {{"job", job},
            {"attempt", part.reserve.attempt},
            {"worker", name_},
            {"zone", guard_->zone()},
            {"tasks", part.reserve.tasks.size()}});
}

std::vector<TaskReport> GangHost::reports() const { return worker_->Report(); }

Sequence GangHost::epoch() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return epoch_;
}

void GangHost::RequireEpoch(Sequence epoch) {
  // A planner that was paused and has been replaced still thinks it has the duty; obeying it could
  // start a job that its successor started elsewhere.
  if (epoch < epoch_) throw Error(ErrorKind::kFenced, "a newer planner has the zone");
  epoch_ = epoch;
}

GangHost::Part& GangHost::RequirePart(const std::string& job, int64_t attempt) {
  const auto found = parts_.find(job);
  if (found == parts_.end() || found->second.reserve.attempt != attempt) {
    throw Error(ErrorKind::kConflict, "that attempt is not here");
  }
  return found->second;
}

void GangHost::RequireRoom(const GangReserve& reserve) const {
  TaskShape used;
  uint32_t taken = 0;
  for (const auto& [job, part] : parts_) {
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
  if (!fits) throw Error(ErrorKind::kConflict, "the room is taken");
}

void GangHost::StopTasks(const std::string& job, const Part& part, bool checkpoint) {
  const std::vector<TaskReport> all = worker_->Report();
  for (const TaskPlacement& task : part.reserve.tasks) {
    const TaskId id{job, part.reserve.attempt, task.task};
    const auto report = std::find_if(all.begin(), all.end(),
                                     [&id](const TaskReport& each) { return each.id == id; });
    if (report != all.end() && Ended(report->phase)) continue;
    if (checkpoint) worker_->Checkpoint(id);
    worker_->Stop(id);
  }
}

}  // namespace turmericshift
