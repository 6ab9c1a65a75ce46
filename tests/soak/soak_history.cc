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

// Nothing of a job begins later than this after its cancellation was answered.
constexpr Duration kCancelBound = std::chrono::seconds(3);
// Nothing begins in a zone later than this after operators took it out.
constexpr Duration kZoneBound = std::chrono::seconds(5);
// An accepted job is known everywhere after this.
constexpr Duration kVisibleBound = std::chrono::seconds(3);

}  // namespace

class SoakHistory::LifeWatch : public pool::WorkerHooks {
 public:
  LifeWatch(SoakHistory* history, std::string node, std::string zone)
      : history_(history), node_(std::move(node)), zone_(std::move(zone)) {}

  void OnStarted(const pool::StartCall& call) override { history_->OnStarted(this, call); }
  void OnEnded(const pool::EndedTask& end) override { history_->OnEnded(this, end); }
  void OnEndsAcknowledged(int64_t number) override {
    const std::lock_guard<std::mutex> lock(history_->mutex_);
    while (kept_ < number) kept_at_[++kept_] = LeaseClock().Now();
  }
  void OnLeaseExpired() override {
    const std::lock_guard<std::mutex> lock(history_->mutex_);
    lapses_.push_back(LeaseClock().Now());
  }
  int GangSize(const TaskId& task) override { return history_->GangSize(task); }
  bool ShouldFail(const pool::RunId& run) override { return history_->ShouldFail(run); }
  bool SavesCheckpoints(const TaskId& task) override { return history_->SavesCheckpoints(task); }
  void OnCheckpointSaved(const TaskId& task, const std::string& checkpoint) override {
    history_->OnCheckpointSaved(task, checkpoint);
  }

  const std::string& node() const { return node_; }
  const std::string& zone() const { return zone_; }
  // Whether the end `number`, which came about at `ended`, was taken in.
  bool TookIn(int64_t number, Time ended) const {
    const auto kept = kept_at_.find(number);
    if (kept == kept_at_.end()) return false;
    return std::none_of(lapses_.begin(), lapses_.end(),
                        [&](Time lapse) { return lapse > ended && lapse < kept->second; });
  }

 private:
  SoakHistory* const history_;
  const std::string node_;
  const std::string zone_;
  // Guarded by the history's lock.
  int64_t kept_ = 0;
  std::map<int64_t, Time> kept_at_;
  std::vector<Time> lapses_;
};

void SoakHistory::Made(const SoakJob& job) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_[job.spec.id].job = job;
}

void SoakHistory::Submitted(const std::string& id, platform::CallOutcome outcome, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  JobRecord& job = jobs_.at(id);
  if (outcome == platform::CallOutcome::kDone && !job.accepted) job.accepted = now;
  if (outcome == platform::CallOutcome::kOutcomeUnknown) job.unclear = true;
  if (outcome == platform::CallOutcome::kRefused) ++refused_;
}

void SoakHistory::CancelSent(const std::string& id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  jobs_.at(id).cancel_sent = true;
}

void SoakHistory::Cancelled(const std::string& id, Time now) {
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
  // One end of a gang stands for all of them.
  return wanted.gang ? done > 0 : done == wanted.tasks;
}

void SoakHistory::Shown(const std::string& id, JobState state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  JobRecord& job = jobs_.at(id);
  const bool first = !job.over && pool::IsOver(state);
  if (job.over && *job.over != state) {
    ViolationLocked(id + " was shown as " + pool::JobStateName(*job.over) + " and then as " +
                    pool::JobStateName(state));
  }
  if (!first) return;
  job.over = state;
  const JobSpec& spec = job.job.spec;
  if (state == JobState::kCompleted) {
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      if (!StepDone(spec, step)) ViolationLocked(id + " is shown as completed and is not");
    }
  }
  if (state == JobState::kCancelled && !job.cancel_sent) {
    ViolationLocked(id + " is shown as cancelled and nobody asked for it");
  }
  if (state == JobState::kFailed && job.job.failures < max_attempts_) {
    ViolationLocked(id + " is shown as failed without cause");
  }
}

void SoakHistory::ShownUnknown(const std::string& id, Time sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const JobRecord& job = jobs_.at(id);
  if (job.accepted && sent - *job.accepted > kVisibleBound) {
    ViolationLocked(id + " was accepted and is called unknown");
  }
}

std::unique_ptr<pool::WorkerHooks> SoakHistory::Watch(const std::string& node,
                                                      const std::string& zone) {
  return std::make_unique<LifeWatch>(this, node, zone);
}

void SoakHistory::LifeOver(pool::WorkerHooks* watch) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [task, record] : tasks_) {
    std::erase_if(record.live, [&](const auto& row) { return row.second == watch; });
  }
}

void SoakHistory::ZoneOut(const std::string& zone, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  zones_out_[zone] = now;
}

void SoakHistory::ZoneIn(const std::string& zone) {
  const std::lock_guard<std::mutex> lock(mutex_);
  zones_out_.erase(zone);
}

void SoakHistory::Disturbed(Time until) {
  const std::lock_guard<std::mutex> lock(mutex_);
  disturbed_until_ = std::max(disturbed_until_, until);
}

void SoakHistory::OnStarted(LifeWatch* life, const pool::StartCall& call) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Time now = LeaseClock().Now();
  const TaskId& task = call.run.task;
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end()) return ViolationLocked(TaskName(task) + " begins; nobody sent its job");
  CheckBegin(*life, call, found->second, now);
  ++found->second.begun;
  if (!call.checkpoint.empty()) ++resumed_;
  TaskRecord& record = tasks_[task];
  record.live[call.run.number] = life;
  record.begun.push_back(now);
}

void SoakHistory::CheckBegin(const LifeWatch& life, const pool::StartCall& call,
                             const JobRecord& job, Time now) {
  const TaskId& task = call.run.task;
  const std::string name = TaskName(task);
  const JobSpec& spec = job.job.spec;
  if (task.step >= static_cast<int>(spec.steps.size())) {
    return ViolationLocked(name + " begins; there is no such step");
  }
  if (!call.checkpoint.empty() && checkpoints_[KeptAs(spec, task)].count(call.checkpoint) == 0) {
    ViolationLocked(name + " begins from a checkpoint that it never saved");
  }
  if (call.payload != spec.payload) ViolationLocked(name + " begins with another payload");
  for (const auto& [number, other] : tasks_[task].live) {
    ViolationLocked(name + " begins at " + life.node() + " while its run " +
                    std::to_string(number) + " goes on at " + other->node());
  }
  for (const int earlier : spec.steps[static_cast<size_t>(task.step)].after) {
    if (!StepDone(spec, earlier)) ViolationLocked(name + " begins before its turn");
  }
  CheckBounds(life, task, job, now);
}

void SoakHistory::CheckBounds(const LifeWatch& life, const TaskId& task, const JobRecord& job,
                              Time now) {
  if (now < disturbed_until_) return;
  if (job.cancelled && now - *job.cancelled > kCancelBound) {
    ViolationLocked(TaskName(task) + " begins long after its job was cancelled");
  }
  const auto out = zones_out_.find(life.zone());
  if (out != zones_out_.end() && now - out->second > kZoneBound) {
    ViolationLocked(TaskName(task) + " begins in zone " + life.zone() + ", which is out");
  }
}

void SoakHistory::OnEnded(LifeWatch* life, const pool::EndedTask& end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  TaskRecord& record = tasks_[end.run.task];
  record.live.erase(end.run.number);
  const ListedEnd listed = {life, end.number, LeaseClock().Now()};
  if (end.kind == EndKind::kFailed) record.failed.push_back(listed);
  if (end.kind == EndKind::kDone) record.done.push_back(listed);
}

bool SoakHistory::ShouldFail(const pool::RunId& run) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto job = jobs_.find(run.task.job);
  if (job == jobs_.end() || run.task.step != 0 || run.task.index != 0) return false;
  return static_cast<int>(tasks_[run.task].failed.size()) < job->second.job.failures;
}

TaskId SoakHistory::KeptAs(const JobSpec& spec, const TaskId& task) {
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
  if (job != jobs_.end()) checkpoints_[KeptAs(job->second.job.spec, task)].insert(checkpoint);
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
    if (job.accepted && !job.over) pending.push_back(id);
  }
  return pending;
}

JobSpec SoakHistory::SpecOf(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return jobs_.at(id).job.spec;
}

void SoakHistory::CheckJob(const std::string& id, const JobRecord& job) {
  if (job.accepted && !job.over) ViolationLocked(id + " was accepted and never ends");
  const bool refused = !job.accepted && !job.unclear;
  if (refused && job.begun > 0) ViolationLocked(id + " was refused each time and runs");
}

std::optional<Time> SoakHistory::TakenIn(const std::vector<ListedEnd>& ends, int count) {
  for (const ListedEnd& end : ends) {
    if (end.life->TookIn(end.number, end.at)) --count;
    if (count == 0) return end.at;
  }
  return std::nullopt;
}

void SoakHistory::CheckTask(const TaskId& task, const TaskRecord& record) {
  const auto begins_after = [&](std::optional<Time> time) {
    return time && std::any_of(record.begun.begin(), record.begun.end(),
                               [&](Time begun) { return begun > *time; });
  };
  if (begins_after(TakenIn(record.done, 1))) {
    ViolationLocked(TaskName(task) + " begins again after its end was taken in");
  }
  if (begins_after(TakenIn(record.failed, max_attempts_))) {
    ViolationLocked(TaskName(task) + " begins beyond its tries");
  }
}

void SoakHistory::CheckWhole() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [id, job] : jobs_) CheckJob(id, job);
  for (const auto& [task, record] : tasks_) CheckTask(task, record);
}

void SoakHistory::Violation(const std::string& what) {
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
    if (job.over) ++ends[pool::JobStateName(*job.over)];
  }
  size_t begun = 0;
  for (const auto& [task, record] : tasks_) begun += record.begun.size();
  std::string out = std::to_string(jobs_.size()) + " jobs, " + std::to_string(accepted) +
                    " accepted, " + std::to_string(refused_) + " calls refused, " +
                    std::to_string(begun) + " runs, " + std::to_string(resumed_) +
                    " from a checkpoint";
  for (const auto& [state, count] : ends) out += ", " + std::to_string(count) + " " + state;
  return out;
}

}  // namespace turmericshift::soak
