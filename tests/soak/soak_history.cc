#include "tests/soak/soak_history.h"

#include <algorithm>

#include "core/logging.h"

namespace turmericshift::soak {
namespace {

using pool::EndKind;
using pool::JobSpec;
using pool::JobState;
using pool::TaskId;
using pool::TaskName;

// No task of a job may start later than this after its cancellation was answered.
constexpr Duration kCancelLimit = std::chrono::seconds(3);
// No task may start in a zone later than this after operators took the zone out.
constexpr Duration kZoneOutLimit = std::chrono::seconds(5);
// All entries know an accepted job after this time.
constexpr Duration kVisibilityLimit = std::chrono::seconds(3);

}  // namespace

class SoakHistory::IncarnationWatch : public pool::WorkerHooks {
 public:
  IncarnationWatch(SoakHistory* history, std::string node, std::string zone)
      : history_(history), node_(std::move(node)), zone_(std::move(zone)) {}

  void OnStarted(const pool::StartCall& call) override { history_->OnStarted(this, call); }
  void OnEnded(const pool::EndedTask& end) override { history_->OnEnded(this, end); }
  void OnEndsAcknowledged(int64_t number) override {
    const std::lock_guard<std::mutex> lock(history_->mutex_);
    while (last_acknowledged_ < number) acknowledged_at_[++last_acknowledged_] = LeaseClock().Now();
  }
  void OnLeaseExpired() override {
    const std::lock_guard<std::mutex> lock(history_->mutex_);
    lease_expirations_.push_back(LeaseClock().Now());
  }
  int GangSize(const TaskId& task) override { return history_->GangSize(task); }
  bool ShouldFail(const pool::RunId& run) override { return history_->ShouldFail(run); }
  bool SavesCheckpoints(const TaskId& task) override { return history_->SavesCheckpoints(task); }
  void OnCheckpointSaved(const TaskId& task, const std::string& checkpoint) override {
    history_->OnCheckpointSaved(task, checkpoint);
  }

  const std::string& node() const { return node_; }
  const std::string& zone() const { return zone_; }
  // Whether the end `number`, which occurred at `ended`, was acknowledged under a valid lease.
  bool Acknowledged(int64_t number, Time ended) const {
    const auto acknowledged = acknowledged_at_.find(number);
    if (acknowledged == acknowledged_at_.end()) return false;
    return std::none_of(lease_expirations_.begin(), lease_expirations_.end(), [&](Time expiration) {
      return expiration > ended && expiration < acknowledged->second;
    });
  }

 private:
  SoakHistory* const history_;
  const std::string node_;
  const std::string zone_;
  // The fields below are guarded by the history's mutex.
  int64_t last_acknowledged_ = 0;
  std::map<int64_t, Time> acknowledged_at_;
  std::vector<Time> lease_expirations_;
};

void SoakHistory::RecordJob(const SoakJob& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job.spec.id].job = job;
}

void SoakHistory::RecordSubmission(const std::string& id, platform::CallOutcome outcome, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  JobRecord& job = jobs_.at(id);
  if (outcome == platform::CallOutcome::kDone && !job.accepted) job.accepted = now;
  if (outcome == platform::CallOutcome::kOutcomeUnknown) job.outcome_unknown = true;
  if (outcome == platform::CallOutcome::kRefused) ++refused_;
}

void SoakHistory::RecordCancelSent(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_.at(id).cancel_sent = true;
}

void SoakHistory::RecordCancelled(const std::string& id, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_.at(id).cancelled = now;
}

bool SoakHistory::StepDone(const JobSpec& spec, int step) const {
  const pool::StepSpec& wanted = spec.steps[static_cast<size_t>(step)];
  int done = 0;
  for (int index = 0; index < wanted.tasks; ++index) {
    const auto task = tasks_.find({spec.id, 0, step, index});
    if (task != tasks_.end() && !task->second.done.empty()) ++done;
  }
  // The members of a gang end together, so one end is sufficient.
  return wanted.gang ? done > 0 : done == wanted.tasks;
}

void SoakHistory::RecordState(const std::string& id, JobState state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  JobRecord& job = jobs_.at(id);
  const bool first = !job.final_state && pool::IsOver(state);
  if (job.final_state && *job.final_state != state) {
    ViolationLocked(id + " was reported as " + pool::JobStateName(*job.final_state) +
                    " and then as " + pool::JobStateName(state));
  }
  if (!first) return;
  job.final_state = state;
  const JobSpec& spec = job.job.spec;
  if (state == JobState::kCompleted) {
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      if (!StepDone(spec, step)) {
        ViolationLocked(id + " is reported as completed but has unfinished tasks");
      }
    }
  }
  if (state == JobState::kCancelled && !job.cancel_sent) {
    ViolationLocked(id + " is reported as cancelled without a cancellation request");
  }
  if (state == JobState::kFailed && job.job.failures < max_attempts_) {
    ViolationLocked(id + " is reported as failed without enough failed runs");
  }
}

void SoakHistory::RecordUnknown(const std::string& id, Time sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const JobRecord& job = jobs_.at(id);
  if (job.accepted && sent - *job.accepted > kVisibilityLimit) {
    ViolationLocked(id + " was accepted but is reported as unknown");
  }
}

std::unique_ptr<pool::WorkerHooks> SoakHistory::Watch(const std::string& node,
                                                      const std::string& zone) {
  return std::make_unique<IncarnationWatch>(this, node, zone);
}

void SoakHistory::EndIncarnation(pool::WorkerHooks* watch) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [task, record] : tasks_) {
    std::erase_if(record.live, [&](const auto& row) { return row.second == watch; });
  }
}

void SoakHistory::RecordZoneOut(const std::string& zone, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  zones_out_[zone] = now;
}

void SoakHistory::RecordZoneIn(const std::string& zone) {
  const std::lock_guard<std::mutex> lock(mutex_);
  zones_out_.erase(zone);
}

void SoakHistory::SuspendTimeLimits(Time until) {
  const std::lock_guard<std::mutex> lock(mutex_);
  time_limits_suspended_until_ = std::max(time_limits_suspended_until_, until);
}

void SoakHistory::OnStarted(IncarnationWatch* incarnation, const pool::StartCall& call) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Time now = LeaseClock().Now();
  const TaskId& task = call.run.task;
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end()) {
    return ViolationLocked(TaskName(task) + " starts but its job was never submitted");
  }
  CheckStart(*incarnation, call, found->second, now);
  ++found->second.starts;
  if (!call.checkpoint.empty()) ++resumed_;
  TaskRecord& record = tasks_[task];
  record.live[call.run.number] = incarnation;
  record.starts.push_back(now);
}

void SoakHistory::CheckStart(const IncarnationWatch& incarnation, const pool::StartCall& call,
                             const JobRecord& job, Time now) {
  const TaskId& task = call.run.task;
  const std::string name = TaskName(task);
  const JobSpec& spec = job.job.spec;
  if (task.step >= static_cast<int>(spec.steps.size())) {
    return ViolationLocked(name + " starts but its step does not exist");
  }
  if (!call.checkpoint.empty() &&
      checkpoints_[CheckpointOwner(spec, task)].count(call.checkpoint) == 0) {
    ViolationLocked(name + " starts from a checkpoint that it never saved");
  }
  if (call.payload != spec.payload) ViolationLocked(name + " starts with a wrong payload");
  for (const auto& [number, other] : tasks_[task].live) {
    ViolationLocked(name + " starts at " + incarnation.node() + " while its run " +
                    std::to_string(number) + " still runs at " + other->node());
  }
  for (const int earlier : spec.steps[static_cast<size_t>(task.step)].after) {
    if (!StepDone(spec, earlier)) {
      ViolationLocked(name + " starts before a step that it depends on has completed");
    }
  }
  CheckTimeLimits(incarnation, task, job, now);
}

void SoakHistory::CheckTimeLimits(const IncarnationWatch& incarnation, const TaskId& task,
                                  const JobRecord& job, Time now) {
  if (now < time_limits_suspended_until_) return;
  if (job.cancelled && now - *job.cancelled > kCancelLimit) {
    ViolationLocked(TaskName(task) + " starts too long after its job was cancelled");
  }
  const auto out = zones_out_.find(incarnation.zone());
  if (out != zones_out_.end() && now - out->second > kZoneOutLimit) {
    ViolationLocked(TaskName(task) + " starts in zone " + incarnation.zone() + ", which is out");
  }
}

void SoakHistory::OnEnded(IncarnationWatch* incarnation, const pool::EndedTask& end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  TaskRecord& record = tasks_[end.run.task];
  record.live.erase(end.run.number);
  const ListedEnd listed = {incarnation, end.number, LeaseClock().Now()};
  if (end.kind == EndKind::kFailed) record.failed.push_back(listed);
  if (end.kind == EndKind::kDone) record.done.push_back(listed);
}

bool SoakHistory::ShouldFail(const pool::RunId& run) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto job = jobs_.find(run.task.job);
  if (job == jobs_.end() || run.task.step != 0 || run.task.index != 0) return false;
  return static_cast<int>(tasks_[run.task].failed.size()) < job->second.job.failures;
}

TaskId SoakHistory::CheckpointOwner(const JobSpec& spec, const TaskId& task) {
  const bool gang = spec.steps[static_cast<size_t>(task.step)].gang;
  return {task.job, task.occurrence, task.step, gang ? 0 : task.index};
}

const pool::StepSpec* SoakHistory::FindStep(const TaskId& task) const {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return nullptr;
  const std::vector<pool::StepSpec>& steps = job->second.job.spec.steps;
  return task.step < static_cast<int>(steps.size()) ? &steps[static_cast<size_t>(task.step)]
                                                    : nullptr;
}

bool SoakHistory::SavesCheckpoints(const TaskId& task) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const pool::StepSpec* step = FindStep(task);
  return step != nullptr && step->checkpoints;
}

void SoakHistory::OnCheckpointSaved(const TaskId& task, const std::string& checkpoint) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto job = jobs_.find(task.job);
  if (job != jobs_.end()) {
    checkpoints_[CheckpointOwner(job->second.job.spec, task)].insert(checkpoint);
  }
}

int SoakHistory::GangSize(const TaskId& task) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const pool::StepSpec* step = FindStep(task);
  return step != nullptr && step->gang ? step->tasks : 0;
}

std::vector<std::string> SoakHistory::Pending() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> pending;
  for (const auto& [id, job] : jobs_) {
    if (job.accepted && !job.final_state) pending.push_back(id);
  }
  return pending;
}

JobSpec SoakHistory::SpecOf(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return jobs_.at(id).job.spec;
}

void SoakHistory::CheckJob(const std::string& id, const JobRecord& job) {
  if (job.accepted && !job.final_state) ViolationLocked(id + " was accepted but never ended");
  const bool refused = !job.accepted && !job.outcome_unknown;
  if (refused && job.starts > 0) ViolationLocked(id + " was refused each time but ran");
}

std::optional<Time> SoakHistory::AcknowledgedAt(const std::vector<ListedEnd>& ends, int count) {
  for (const ListedEnd& end : ends) {
    if (end.incarnation->Acknowledged(end.number, end.at)) --count;
    if (count == 0) return end.at;
  }
  return std::nullopt;
}

void SoakHistory::CheckTask(const TaskId& task, const TaskRecord& record) {
  const auto starts_after = [&](std::optional<Time> time) {
    return time && std::any_of(record.starts.begin(), record.starts.end(),
                               [&](Time starts) { return starts > *time; });
  };
  if (starts_after(AcknowledgedAt(record.done, 1))) {
    ViolationLocked(TaskName(task) + " starts again after its end was acknowledged");
  }
  if (starts_after(AcknowledgedAt(record.failed, max_attempts_))) {
    ViolationLocked(TaskName(task) + " starts after its maximum number of failed runs");
  }
}

void SoakHistory::CheckAtEnd() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [id, job] : jobs_) CheckJob(id, job);
  for (const auto& [task, record] : tasks_) CheckTask(task, record);
}

void SoakHistory::RecordViolation(const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ViolationLocked(what);
}

void SoakHistory::ViolationLocked(const std::string& what) {
  violations_.push_back(what);
  LogEvent(LogLevel::kError, "violation", {{"what", what}});
}

std::vector<std::string> SoakHistory::violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return violations_;
}

std::string SoakHistory::Summary() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  int accepted = 0;
  std::map<std::string, int> ends;
  for (const auto& [id, job] : jobs_) {
    accepted += job.accepted ? 1 : 0;
    if (job.final_state) ++ends[pool::JobStateName(*job.final_state)];
  }
  size_t starts = 0;
  for (const auto& [task, record] : tasks_) starts += record.starts.size();
  std::string out = std::to_string(jobs_.size()) + " jobs, " + std::to_string(accepted) +
                    " accepted, " + std::to_string(refused_) + " calls refused, " +
                    std::to_string(starts) + " runs, " + std::to_string(resumed_) +
                    " from a checkpoint";
  for (const auto& [state, count] : ends) out += ", " + std::to_string(count) + " " + state;
  return out;
}

}  // namespace turmericshift::soak
