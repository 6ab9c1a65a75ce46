#include "servers/planner/planner_duty.h"

#include <algorithm>
#include <set>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(3);
// Renewed three times in each lease, so that one lost round does not stop a gang.
constexpr int kRenewalsPerLease = 3;

Duration LeaseOf(const ZoneView& view) {
  return view.environment ? view.environment->bounds.lease : Bounds{}.lease;
}

int64_t Milliseconds(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

PlannerDuty::PlannerDuty(const PlannerOptions& options, AgentDirectory* directory,
                         StreamClient* jobs, const JobFold* job_fold, const ConfigFold* config_fold,
                         MetricsRegistry* metrics)
    : options_(options),
      directory_(directory),
      jobs_(jobs),
      job_fold_(job_fold),
      config_fold_(config_fold),
      decide_seconds_(&metrics->distribution("planner_decide_seconds")),
      runner_(directory),
      planner_(std::make_unique<ZonePlanner>(
          options.zone, PlacementPolicyRegistry::Instance().Create(options.policy))) {
  thread_ = Thread("planner", [this] { Run(); });
}

PlannerDuty::~PlannerDuty() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.Join();
}

bool PlannerDuty::holds_duty() const {
  return job_fold_->Planner(options_.zone).process == options_.process;
}

std::string PlannerDuty::WaitReasonFor(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner_->WaitReasonFor(job);
}

int64_t PlannerDuty::RunningAttempt(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const RunningJob& running : planner_->view().running) {
    if (running.id == job) return running.attempt;
  }
  return 0;
}

void PlannerDuty::Run() {
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      if (changed_.wait_for(lock, options_.period, [this] { return stopping_; })) return;
    }
    try {
      if (EnsureDuty()) Step(DefaultClock().Now());
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "planner_step_failed", {{"error", error.what()}});
    }
  }
}

bool PlannerDuty::EnsureDuty() {
  const PlannerEpoch current = job_fold_->Planner(options_.zone);
  if (current.process == options_.process && epoch_ == current.epoch) return true;
  if (!current.process.empty() && current.process != options_.process) return false;
  // Nobody has the duty, or an earlier incarnation of this entry had it.
  const Written written =
      jobs_->Write(PlannerClaimed{NewRecordId(), options_.zone, options_.process, current.epoch},
                   kRecordTimeout);
  epoch_ = written.sequence;
  LogEvent(LogLevel::kInfo, "planner_duty_taken", {{"zone", options_.zone}, {"epoch", epoch_}});
  return job_fold_->Planner(options_.zone).epoch == epoch_;
}

void PlannerDuty::Step(Time now) {
  Plan plan;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto config = config_fold_->current();
    if (!config) return;
    planner_->SetEnvironment(config->environment);
    SyncWorkers(now);
    SyncJobs(now);
  }
  SyncReports(now);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time begun = DefaultClock().Now();
    plan = planner_->Decide(now);
    decide_seconds_->Record(Seconds(DefaultClock().Now() - begun));
  }
  CarryOut(plan, now);
  RenewAll(now);
}

void PlannerDuty::SyncWorkers(Time now) {
  std::set<std::string> present;
  for (const AgentState& agent : directory_->Agents(options_.zone)) {
    if (agent.hello.worker.processors == 0) continue;
    if (now - agent.heard > options_.agent_silence) continue;
    present.insert(agent.hello.process);
    planner_->WorkerUp(agent.hello.process, agent.hello.rack, agent.hello.worker);
    planner_->WorkerUsable(agent.hello.process, !agent.beat.leaving);
  }
  std::vector<std::string> lost;
  for (const WorkerView& worker : planner_->view().workers) {
    if (present.count(worker.name) == 0) lost.push_back(worker.name);
  }
  for (const std::string& worker : lost) planner_->WorkerLost(worker, now);
}

void PlannerDuty::SyncJobs(Time now) {
  std::set<std::string> open;
  for (const JobRecord& job : job_fold_->OpenJobs(options_.zone)) {
    open.insert(job.id);
    planner_->JobAccepted(job, now);
    if (job.cancel_asked) planner_->CancelAsked(job.id);
  }
  std::vector<std::string> gone;
  for (const WaitingJob& job : planner_->view().waiting) {
    if (open.count(job.id) == 0) gone.push_back(job.id);
  }
  for (const std::string& job : gone) planner_->JobGone(job);
}

void PlannerDuty::SyncReports(Time now) {
  std::map<TaskId, TaskReport> reports;
  for (const AgentState& agent : directory_->Agents(options_.zone)) {
    for (const TaskReport& report : agent.beat.tasks) reports[report.id] = report;
  }
  std::vector<RunningJob> running;
  std::vector<WaitingJob> waiting;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    running = planner_->view().running;
    waiting = planner_->view().waiting;
  }
  for (const RunningJob& job : running) Follow(job, reports, now);
  for (const WaitingJob& job : waiting) {
    const std::optional<JobRecord> record = job_fold_->Find(job.id);
    if (!record || !record->cancel_asked || record->state != JobState::kWaiting) continue;
    jobs_->Write(JobEnded{NewRecordId(), job.id, job.last_attempt, JobState::kCancelled,
                          "cancelled by the caller", DefaultClock().WallMillis()},
                 kRecordTimeout);
  }
}

void PlannerDuty::Follow(const RunningJob& job, const std::map<TaskId, TaskReport>& reports,
                         Time now) {
  size_t done = 0;
  size_t seen = 0;
  bool failed = false;
  bool stopped = false;
  double progress = 1;
  std::string checkpoint;
  for (const TaskOnWorker& task : job.tasks) {
    const auto found = reports.find({job.id, job.attempt, task.task});
    if (found == reports.end()) continue;
    ++seen;
    const TaskReport& report = found->second;
    if (report.phase == TaskPhase::kDone) ++done;
    if (report.phase == TaskPhase::kFailed) failed = true;
    if (report.phase == TaskPhase::kStopped) stopped = true;
    progress = std::min(progress, report.progress);
    checkpoint = std::max(checkpoint, report.checkpoint);
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (seen == job.tasks.size()) planner_->Progress(job.id, progress, now);
    if (!checkpoint.empty()) planner_->Checkpointed(job.id, checkpoint, now);
  }
  if (done == job.tasks.size()) return End(job, JobState::kDone, "", now);
  if (failed) return End(job, JobState::kFailed, "a task failed", now);
  if (!stopped) return;
  runner_.Stop(job, epoch_, job.spec.checkpoints);
  runner_.Forget(job, epoch_);
  const std::lock_guard<std::mutex> lock(mutex_);
  planner_->AttemptEnded(job.id, job.attempt, AttemptEnd::kStopped, now);
}

void PlannerDuty::End(const RunningJob& job, JobState state, const std::string& reason, Time now) {
  if (state != JobState::kDone) runner_.Stop(job, epoch_, false);
  // The reports stay with the agents until the end is recorded, so that it can't be lost with
  // this entry.
  jobs_->Write(
      JobEnded{NewRecordId(), job.id, job.attempt, state, reason, DefaultClock().WallMillis()},
      kRecordTimeout);
  LogEvent(LogLevel::kInfo, "job_ended",
           {{"job", job.id},
            {"workspace", job.spec.workspace},
            {"attempt", job.attempt},
            {"state", JobStateName(state)},
            {"declared_ms", Milliseconds(job.spec.declared_run_time)},
            {"took_ms", MillisSinceSubmitted(job.id)}});
  runner_.Forget(job, epoch_);
  const std::lock_guard<std::mutex> lock(mutex_);
  planner_->AttemptEnded(job.id, job.attempt,
                         state == JobState::kDone ? AttemptEnd::kDone : AttemptEnd::kFailed, now);
}

void PlannerDuty::CarryOut(const Plan& plan, Time now) {
  Duration lease;
  std::vector<RunningJob> running;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lease = LeaseOf(planner_->view());
    running = planner_->view().running;
  }
  const auto find = [&running](const std::string& id) {
    return std::find_if(running.begin(), running.end(),
                        [&id](const RunningJob& job) { return job.id == id; });
  };
  for (const StopDecision& stop : plan.stops) {
    const auto job = find(stop.job);
    if (job == running.end()) continue;
    if (stop.reason == StopReason::kCancelled) {
      End(*job, JobState::kCancelled, "cancelled by the caller", now);
    } else {
      LogEvent(LogLevel::kInfo, "job_stopped",
               {{"job", job->id},
                {"workspace", job->spec.workspace},
                {"attempt", job->attempt},
                {"reason", StopReasonName(stop.reason)}});
      runner_.Stop(*job, epoch_, stop.checkpoint);
    }
  }
  for (const StartDecision& start : plan.starts) {
    const auto job = find(start.job);
    const std::optional<JobRecord> record = job_fold_->Find(start.job);
    if (job == running.end() || !record) continue;
    LogEvent(LogLevel::kInfo, "gang_planned",
             {{"job", job->id},
              {"attempt", job->attempt},
              {"tasks", job->tasks.size()},
              {"zone", options_.zone}});
    try {
      runner_.Start(start, job->spec, job->id, record->checkpoint, epoch_, lease);
      LogEvent(LogLevel::kInfo, "job_started",
               {{"job", job->id},
                {"workspace", job->spec.workspace},
                {"attempt", job->attempt},
                {"tasks", job->tasks.size()},
                {"borrowed", job->borrowed},
                {"waited_ms", MillisSinceSubmitted(job->id)}});
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "job_not_started", {{"job", job->id}, {"error", error.what()}});
      const std::lock_guard<std::mutex> lock(mutex_);
      planner_->AttemptEnded(job->id, job->attempt, AttemptEnd::kNotStarted, now);
    }
  }
  for (const RefuseDecision& refusal : plan.refusals) {
    jobs_->Write(JobEnded{NewRecordId(), refusal.job, 0, JobState::kImpossible, refusal.reason,
                          DefaultClock().WallMillis()},
                 kRecordTimeout);
  }
}

int64_t PlannerDuty::MillisSinceSubmitted(const std::string& job) const {
  const std::optional<JobRecord> record = job_fold_->Find(job);
  return record ? DefaultClock().WallMillis() - record->submitted_wall_ms : 0;
}

void PlannerDuty::RenewAll(Time now) {
  std::vector<RunningJob> running;
  Duration lease;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    lease = LeaseOf(planner_->view());
    running = planner_->view().running;
  }
  if (now - renewed_ < lease / kRenewalsPerLease) return;
  renewed_ = now;
  for (const RunningJob& job : running) {
    if (!job.stopping) runner_.Renew(job, epoch_, lease);
  }
}

}  // namespace turmericshift
