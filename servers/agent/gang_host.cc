#include "servers/agent/gang_host.h"

#include <algorithm>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

// The agent stops a gang this share of the lease before the worker would by itself, so that there
// is time for a checkpoint.
constexpr int kCheckpointShare = 10;

bool HasEnded(TaskPhase phase) {
  return phase == TaskPhase::kDone || phase == TaskPhase::kFailed || phase == TaskPhase::kStopped;
}

}  // namespace

GangHost::GangHost(const TaskShape& capacity, WorkerService* worker, const StartGuard* guard,
                   const std::string& name)
    : capacity_(capacity), worker_(worker), guard_(guard), name_(name) {}

void GangHost::HandleHeartbeatReply(const std::string& entry, const EntryBeat& beat, Time sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  watch_.HandleHeartbeatReply(entry, beat, sent);
}

void GangHost::Reserve(const GangReserve& reserve, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(reserve.epoch, now);
  RequireTrust(now);
  guard_->RequireStartAllowed(now);
  const auto found = parts_.find({reserve.job, reserve.attempt});
  if (found != parts_.end()) {
    // The same message again is no news.
    if (found->second.phase == Phase::kReserved) return;
    throw Error(ErrorKind::kConflict, "the attempt is past its reservation");
  }
  for (const auto& [key, part] : parts_) {
    if (key.first != reserve.job || Ended(part)) continue;
    throw Error(ErrorKind::kConflict, "another attempt of the job is here");
  }
  RequireRoom(reserve);
  Part part;
  part.reserve = reserve;
  part.until = now + reserve.hold;
  parts_[{reserve.job, reserve.attempt}] = part;
}

void GangHost::Start(const GangStart& start, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(start.epoch, now);
  RequireTrust(now);
  guard_->RequireStartAllowed(now);
  Part& part = RequirePart(start.job, start.attempt);
  if (part.phase != Phase::kReserved) return;
  // Marked first: if the worker takes some tasks and then fails, the stop must reach them.
  part.phase = Phase::kHeld;
  part.until = now + part.reserve.hold;
  for (const TaskPlacement& task : part.reserve.tasks) {
    TaskStart task_start;
    task_start.id = {start.job, start.attempt, task.task};
    task_start.shape = part.reserve.shape;
    task_start.accelerators = task.accelerators;
    task_start.held = true;
    task_start.lease = part.reserve.hold;
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
  if (part.phase == Phase::kReserved) throw Error(ErrorKind::kConflict, "not started yet");
  if (part.phase == Phase::kStopping) throw Error(ErrorKind::kConflict, "stopping");
  if (now >= part.until) throw Error(ErrorKind::kConflict, "the hold has run out");
  RequireTrust(now);
  guard_->RequireStartAllowed(now);
  part.phase = Phase::kRunning;
  part.lease = action.lease;
  part.until = now + action.lease;
  for (const TaskPlacement& task : part.reserve.tasks) {
    const TaskId id{action.job, action.attempt, task.task};
    // The lease first: a task that is released must never run longer than the gang allows.
    worker_->Renew(id, action.lease);
    worker_->Release(id);
  }
  LogMember("gang_released", action.job, part);
}

void GangHost::Renew(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch, now);
  RequireTrust(now);
  Part& part = RequirePart(action.job, action.attempt);
  if (part.phase != Phase::kRunning) throw Error(ErrorKind::kConflict, "not running");
  // A renewal that was long on its way comes after the planner has counted the lease out.
  if (now >= part.until) throw Error(ErrorKind::kConflict, "the lease has run out");
  const Time from = action.beat_sent_at < 0 ? now : Time(Duration(action.beat_sent_at));
  const Time until = std::min(now, from) + action.lease;
  if (until <= part.until) return;
  part.until = until;
  part.lease = action.lease;
  for (const TaskPlacement& task : part.reserve.tasks) {
    worker_->Renew({action.job, action.attempt, task.task}, until - now);
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
  if (Reported(part) && !Ended(part)) throw Error(ErrorKind::kConflict, "still stopping");
}

void GangHost::Forget(const GangAction& action, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RequireEpoch(action.epoch, now);
  const auto found = parts_.find({action.job, action.attempt});
  if (found == parts_.end()) return;
  // Room of a task that won't stop must not be given out.
  if (Reported(found->second) && !Ended(found->second)) {
    throw Error(ErrorKind::kConflict, "it has not ended");
  }
  for (const TaskPlacement& task : found->second.reserve.tasks) {
    const TaskId id{action.job, action.attempt, task.task};
    worker_->Forget(id);
    reports_.erase(id);
  }
  LogMember("gang_forgotten", action.job, found->second);
  parts_.erase(found);
}

bool GangHost::Expire(Time now) {
  const bool changed = Refresh(now);
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto each = parts_.begin(); each != parts_.end();) {
    Part& part = each->second;
    const bool lapsed = now >= part.until - part.lease / kCheckpointShare;
    if (part.phase == Phase::kStopping) {
      StopTasks(part, false);
      // The worker never had it.
      const bool never = reported_round_ > part.stop_round && !Reported(part);
      each = never ? parts_.erase(each) : std::next(each);
      continue;
    }
    if (lapsed && part.phase == Phase::kReserved) {
      each = parts_.erase(each);
      continue;
    }
    if (lapsed && !Ended(part)) {
      LogEvent(LogLevel::kWarning, "gang_lease_expired",
               {{"job", each->first.first}, {"attempt", each->first.second}});
      BeginStop(&part, part.phase == Phase::kRunning && part.reserve.checkpoints);
    }
    ++each;
  }
  return changed;
}

void GangHost::FillHeartbeat(AgentBeat* beat, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  beat->planner_epoch = known_ ? reports_epoch_ : kNoSequence;
  beat->planner_silence = watch_.silence(now);
  beat->sent_at = now.time_since_epoch().count();
  beat->report_age = now - reports_at_;
  for (const auto& [id, report] : reports_) beat->tasks.push_back(report);
}

Sequence GangHost::epoch() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return watch_.epoch();
}

bool GangHost::idle() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::all_of(parts_.begin(), parts_.end(),
                     [this](const auto& each) { return Ended(each.second); });
}

void GangHost::LogMember(const char* event, const std::string& job, const Part& part) const {
  LogEvent(LogLevel::kInfo, event,
           {{"job", job},
            {"attempt", part.reserve.attempt},
            {"worker", name_},
            {"zone", guard_->zone()},
            {"tasks", part.reserve.tasks.size()}});
}

void GangHost::RequireKnown() const {
  // An agent that has just started doesn't know yet which accelerators are taken; giving one out
  // would run two tasks on it.
  if (!known_) throw Error(ErrorKind::kStale, "it is not known yet what runs at the worker");
}

void GangHost::RequireEpoch(Sequence epoch, Time now) {
  RequireKnown();
  // A planner that was paused and has been replaced still thinks it has the duty; obeying it could
  // start a job that its successor started elsewhere.
  if (epoch < watch_.epoch()) throw Error(ErrorKind::kFenced, "a newer planner has the zone");
  watch_.Called(epoch, now);
}

void GangHost::RequireTrust(Time now) const {
  // Cut off together with an old planner, this agent would go on for it for ever while the
  // successor starts the same jobs elsewhere.
  if (watch_.Trusts(lease(), now)) return;
  throw Error(ErrorKind::kStale, "a newer planner could exist unheard");
}

GangHost::Part& GangHost::RequirePart(const std::string& job, int64_t attempt) {
  const auto found = parts_.find({job, attempt});
  if (found == parts_.end()) throw Error(ErrorKind::kConflict, "that attempt is not here");
  return found->second;
}

void GangHost::RequireRoom(const GangReserve& reserve) const {
  TaskShape used;
  uint32_t taken = 0;
  for (const auto& [key, part] : parts_) {
    // What has ended keeps its report until the planner has recorded it, and no room.
    if (Ended(part)) continue;
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

Duration GangHost::lease() const {
  const auto environment = guard_->environment();
  return environment ? environment->bounds.lease : Bounds{}.lease;
}

bool GangHost::Ended(const Part& part) const {
  return std::all_of(
      part.reserve.tasks.begin(), part.reserve.tasks.end(), [&](const TaskPlacement& task) {
        const auto found = reports_.find({part.reserve.job, part.reserve.attempt, task.task});
        return found != reports_.end() && HasEnded(found->second.phase);
      });
}

bool GangHost::Reported(const Part& part) const {
  return std::any_of(
      part.reserve.tasks.begin(), part.reserve.tasks.end(), [&](const TaskPlacement& task) {
        return reports_.count({part.reserve.job, part.reserve.attempt, task.task}) != 0;
      });
}

bool GangHost::Refresh(Time now) {
  Sequence epoch = kNoSequence;
  int64_t round = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    epoch = watch_.epoch();
    round = ++round_;
  }
  std::vector<TaskReport> all;
  try {
    // Outside the lock: a worker that hangs must not keep beats from going out.
    all = worker_->Report();
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "worker_unheard", {{"error", error.what()}});
    return false;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  // A new planner waits to hear that its predecessor is obeyed no more.
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
  if (!known_) Rebuild(now);
  return changed;
}

void GangHost::Rebuild(Time now) {
  for (const auto& [id, report] : reports_) {
    const auto [slot, fresh] = parts_.try_emplace({id.job, id.attempt});
    Part& part = slot->second;
    if (fresh) part.phase = Phase::kStopping;
    part.reserve.job = id.job;
    part.reserve.attempt = id.attempt;
    part.reserve.epoch = report.epoch;
    part.reserve.workspace = report.workspace;
    part.reserve.shape = report.shape;
    part.reserve.checkpoints = report.checkpoints;
    part.reserve.guaranteed = report.guaranteed;
    part.lease = lease();
    part.reserve.tasks.push_back({id.task, report.accelerators});
    watch_.Found(report.epoch);
    if (HasEnded(report.phase)) continue;
    const Time until = now + report.lease_left;
    const bool first = part.phase == Phase::kStopping;
    part.until = first ? until : std::min(part.until, until);
    // A gang with a member that was not released yet is not whole; it lapses with its hold.
    if (part.phase != Phase::kHeld) {
      part.phase = report.phase == TaskPhase::kHeld ? Phase::kHeld : Phase::kRunning;
    }
  }
  known_ = true;
  reports_epoch_ = watch_.epoch();
  LogEvent(LogLevel::kInfo, "worker_known", {{"parts", parts_.size()}, {"epoch", watch_.epoch()}});
}

void GangHost::BeginStop(Part* part, bool checkpoint) {
  part->phase = Phase::kStopping;
  part->stop_round = round_;
  LogMember("gang_stopped", part->reserve.job, *part);
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
      // Tried again with the next round; the worker's own lease ends it in any case.
      LogEvent(LogLevel::kWarning, "task_not_stopped", {{"job", id.job}, {"error", error.what()}});
    }
  }
}

}  // namespace turmericshift
