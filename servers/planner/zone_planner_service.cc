#include "servers/planner/zone_planner_service.h"

#include <algorithm>

#include "core/error.h"
#include "core/logging.h"
#include "servers/planner/zone_choice.h"
#include "servers/state/stream_client.h"

namespace turmericshift {
namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(3);
// Time-out for writing the job_starting record. Shorter than kGangHoldTimeout, so that the agents
// still hold the gang's tasks when the record has been read back.
constexpr Duration kStartRecordTimeout = std::chrono::milliseconds(2500);
// Leases are renewed this many times per lease. The time left when a planner dies must last until
// its successor has adopted the gang.
constexpr int kRenewalsPerLease = 5;
// A heartbeat older than this does not prove that a member still runs.
constexpr Duration kMaxEvidenceAge = std::chrono::milliseconds(2500);
// A worker whose call timed out gets no new work for this long.
constexpr Duration kWorkerAvoidancePeriod = std::chrono::seconds(5);
constexpr size_t kMaxMovesWhenOut = 64;
// Limits how many waiting jobs move to other zones while this zone is in service, so that a zone
// that operators put back into service is filled gradually.
constexpr size_t kMaxMovesPerInterval = 4;
constexpr Duration kMoveInterval = std::chrono::seconds(5);

bool TimedOut(const Error& error) {
  return error.kind() == ErrorKind::kDeadlineExceeded || error.kind() == ErrorKind::kConnectionLost;
}

bool AnyFenced(const std::vector<MemberFailure>& failures) {
  return std::any_of(failures.begin(), failures.end(), [](const MemberFailure& failure) {
    return failure.error.kind() == ErrorKind::kFenced;
  });
}

}  // namespace

ZonePlannerService::ZonePlannerService(const PlannerOptions& options, AgentDirectory* directory,
                                       RecordWriter* jobs, const ReplicatedJobs* replicated_jobs,
                                       const ReplicatedConfig* replicated_config,
                                       GangRunner* runner, Executor executor,
                                       MetricsRegistry* metrics)
    : options_(options),
      directory_(directory),
      jobs_(jobs),
      replicated_jobs_(replicated_jobs),
      replicated_config_(replicated_config),
      runner_(runner),
      executor_(std::move(executor)),
      decide_seconds_(&metrics->distribution("planner_decide_seconds")),
      claim_rule_(options.process, options.own_zone, options.zone),
      jitter_(static_cast<unsigned>(std::hash<std::string>()(options.process + options.zone))),
      work_starts_("planner_work_start", {{"zone", options.zone}}) {}

ZonePlannerService::~ZonePlannerService() {
  std::unique_lock<std::mutex> lock(completions_mutex_);
  completions_changed_.wait(lock, [this] { return in_flight_ == 0; });
}

void ZonePlannerService::Step(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  RunCompletions(now);
  PassWaitingWork();
  const std::vector<AgentState> agents = directory_->Agents(options_.zone);
  if (!EnsureLeadership(agents, now)) return;
  const auto config = replicated_config_->current();
  if (!config) return;
  planner_->SetEnvironment(config->environment);
  const std::vector<AgentState> confirmed = ConfirmedAgents(agents, now);
  if (epoch_ == kNoSequence) return;
  const ReportTable table(confirmed);
  SyncWorkers(confirmed, now);
  SyncJobs(table, now);
  for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
    TrackAttempt(&attempt->second, table, now);
    const bool ended = ContinueEnding(&attempt->second, table, now);
    attempt = ended ? attempts_.erase(attempt) : std::next(attempt);
  }
  DropStaleReports(table);
  if (!leaving_) {
    const Time begun = DefaultClock().Now();
    const Plan plan = planner_->Decide(now);
    decide_seconds_->Record(Seconds(DefaultClock().Now() - begun));
    CarryOut(plan, now);
    MoveWaitingJobs(now);
  }
  RenewLeases(confirmed, now);
  WritePendingRecords(now);
  if (leaving_) ReleaseLeadershipWhenIdle();
}

void ZonePlannerService::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  leaving_ = true;
}

bool ZonePlannerService::has_completions() const {
  const std::lock_guard<std::mutex> lock(completions_mutex_);
  return !completions_.empty();
}

bool ZonePlannerService::is_leader() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return epoch_ != kNoSequence;
}

std::string ZonePlannerService::WaitReasonFor(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (epoch_ == kNoSequence) return "";
  if (pending_records_.count(job) != 0) return "its end is being recorded";
  const auto attempt = attempts_.find(job);
  if (attempt != attempts_.end()) {
    if (attempt->second.stage == AttemptStage::kStarting) return "its tasks are being started";
    if (attempt->second.stage == AttemptStage::kRunning) return "";
    if (attempt->second.active_members.empty()) return "its last attempt is being stopped";
    return "its last attempt has not stopped on worker " + *attempt->second.active_members.begin();
  }
  if (resolved_.count(job) == 0) return "the zone's new planner checks whether it already runs";
  return planner_->WaitReasonFor(job);
}

int64_t ZonePlannerService::RunningAttempt(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = attempts_.find(job);
  const bool runs = found != attempts_.end() && found->second.stage == AttemptStage::kRunning;
  return runs ? found->second.gang.attempt : 0;
}

void ZonePlannerService::RunAsync(std::function<Completion()> work) {
  waiting_work_.emplace_back([this, work = std::move(work), epoch = epoch_] {
    Completion completion;
    try {
      completion = work();
    } catch (const std::exception& error) {
      LogEvent(LogLevel::kError, "planner_work_failed",
               {{"zone", options_.zone}, {"error", error.what()}});
      completion = [this](Time) { OnWorkFailed(); };
    }
    const std::lock_guard<std::mutex> lock(completions_mutex_);
    --in_flight_;
    completions_changed_.notify_all();
    completions_.push_back([this, completion = std::move(completion), epoch](Time now) {
      if (epoch == epoch_) completion(now);
    });
  });
  PassWaitingWork();
}

void ZonePlannerService::PassWaitingWork() {
  while (!waiting_work_.empty()) {
    ChangeInFlight(1);
    try {
      executor_(waiting_work_.front());
    } catch (const std::exception& error) {
      ChangeInFlight(-1);
      work_starts_.NoteFailure(error.what());
      return;
    }
    work_starts_.NoteSuccess();
    waiting_work_.pop_front();
  }
}

void ZonePlannerService::ChangeInFlight(int change) {
  const std::lock_guard<std::mutex> lock(completions_mutex_);
  in_flight_ += change;
}

void ZonePlannerService::OnWorkFailed() {
  claiming_ = false;
  if (epoch_ != kNoSequence) StepDown("a call or record has failed in an unknown way");
}

void ZonePlannerService::RunCompletions(Time now) {
  std::vector<Completion> finished;
  {
    const std::lock_guard<std::mutex> lock(completions_mutex_);
    finished.swap(completions_);
  }
  for (const Completion& each : finished) each(now);
}

bool ZonePlannerService::EnsureLeadership(const std::vector<AgentState>& agents, Time now) {
  const PlannerEpoch leader = replicated_jobs_->Planner(options_.zone);
  if (epoch_ != kNoSequence) {
    if (leader.epoch == epoch_ && leader.process == options_.process) return true;
    StepDown("the log names another active planner");
    return false;
  }
  if (claiming_ || leaving_) return false;
  if (claim_rule_.ShouldClaim(leader, agents, now)) Claim(leader.epoch);
  return false;
}

void ZonePlannerService::Claim(Sequence after) {
  claiming_ = true;
  RunAsync([this, after]() -> Completion {
    Sequence epoch = kNoSequence;
    try {
      const PlannerClaimed claim{NewRecordId(), options_.zone, options_.process, after};
      const WriteResult written = jobs_->Write(claim, kRecordTimeout);
      if (written.verdict.accepted) epoch = written.sequence;
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "planner_claim_failed",
               {{"zone", options_.zone}, {"error", error.what()}});
    }
    return [this, epoch](Time now) {
      claiming_ = false;
      if (epoch != kNoSequence) BecomeLeader(epoch, now);
    };
  });
}

void ZonePlannerService::BecomeLeader(Sequence epoch, Time now) {
  planner_ = std::make_unique<ZonePlanner>(
      options_.zone, PlacementPolicyRegistry::Instance().Create(options_.policy));
  epoch_ = epoch;
  claimed_at_ = now;
  all_agents_reported_ = false;
  start_count_ = 0;
  LogEvent(LogLevel::kInfo, "planner_duty_taken",
           {{"zone", options_.zone}, {"process", options_.process}, {"epoch", epoch}});
}

void ZonePlannerService::StepDown(const std::string& reason) {
  LogEvent(LogLevel::kInfo, "planner_duty_lost",
           {{"zone", options_.zone}, {"epoch", epoch_}, {"reason", reason}});
  epoch_ = kNoSequence;
  releasing_ = false;
  planner_.reset();
  attempts_.clear();
  resolved_.clear();
  checkpoints_.clear();
  pending_records_.clear();
  reports_being_dropped_.clear();
  avoided_until_.clear();
  waiting_work_.clear();
}

void ZonePlannerService::ReleaseLeadershipWhenIdle() {
  const bool starting = std::any_of(attempts_.begin(), attempts_.end(), [](const auto& each) {
    return each.second.stage == AttemptStage::kStarting;
  });
  if (starting || releasing_) return;
  releasing_ = true;
  RunAsync([this, epoch = epoch_]() -> Completion {
    try {
      jobs_->Write(PlannerReleased{NewRecordId(), options_.zone, epoch}, kRecordTimeout);
      return [](Time) {};
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "planner_release_failed", {{"error", error.what()}});
      return [this](Time) { releasing_ = false; };
    }
  });
}

std::vector<AgentState> ZonePlannerService::ConfirmedAgents(const std::vector<AgentState>& agents,
                                                            Time now) {
  std::vector<AgentState> confirmed;
  for (const AgentState& agent : agents) {
    if (agent.hello.worker.processors == 0) continue;
    if (now - agent.last_contact_at + agent.beat.report_age > options_.agent_timeout) continue;
    if (agent.beat.planner_epoch > epoch_) {
      StepDown("an agent follows a newer planner");
      return {};
    }
    if (agent.beat.planner_epoch == epoch_) confirmed.push_back(agent);
  }
  const AvailabilityZoneSpec* zone =
      replicated_config_->current()->environment->FindZone(options_.zone);
  const size_t expected = zone == nullptr ? 0 : static_cast<size_t>(zone->workers);
  all_agents_reported_ =
      all_agents_reported_ || confirmed.size() >= expected || now >= UnreportedLeaseExpiry();
  return confirmed;
}

void ZonePlannerService::SyncWorkers(const std::vector<AgentState>& confirmed, Time now) {
  std::set<std::string> present;
  for (const AgentState& agent : confirmed) {
    const std::string& name = agent.hello.process;
    present.insert(name);
    planner_->WorkerUp(name, agent.hello.rack, agent.hello.worker);
    const auto avoided = avoided_until_.find(name);
    const bool avoid = avoided != avoided_until_.end() && now < avoided->second;
    planner_->WorkerUsable(name, !agent.beat.leaving && !avoid);
  }
  std::set<std::string> needed;
  for (const auto& [job, attempt] : attempts_) needed.merge(attempt.gang.workers());
  std::vector<std::string> silent;
  for (const WorkerView& worker : planner_->view().workers) {
    if (present.count(worker.name) == 0) silent.push_back(worker.name);
  }
  for (const std::string& worker : silent) {
    // Tasks on this worker may still be running. The worker is removed only after its attempts have
    // provably ended.
    if (needed.count(worker) == 0) planner_->WorkerLost(worker, now);
    if (needed.count(worker) != 0) planner_->WorkerUsable(worker, false);
  }
}

void ZonePlannerService::SyncJobs(const ReportTable& table, Time now) {
  std::set<std::string> open;
  for (const JobRecord& job : replicated_jobs_->OpenJobs(options_.zone)) {
    open.insert(job.id);
    if (pending_records_.count(job.id) != 0) continue;
    if (resolved_.count(job.id) == 0) {
      if (!ResolvePreviousAttempt(job, table, now)) continue;
      resolved_.insert(job.id);
    }
    if (job.cancel_asked) planner_->RequestCancel(job.id);
    if (attempts_.count(job.id) != 0 || pending_records_.count(job.id) != 0) continue;
    if (job.cancel_asked) {
      EndJob(job.id, 0, JobState::kCancelled, "cancelled by the caller", {});
      continue;
    }
    planner_->JobAccepted(job, now);
  }
  std::vector<std::string> gone;
  for (const WaitingJob& job : planner_->view().waiting) {
    if (open.count(job.id) == 0) gone.push_back(job.id);
  }
  for (const std::string& job : gone) planner_->RemoveJob(job);
  std::erase_if(resolved_, [&](const std::string& job) { return open.count(job) == 0; });
}

void ZonePlannerService::CarryOut(const Plan& plan, Time now) {
  for (const StopDecision& stop : plan.stops) Stop(stop, now);
  for (const StartDecision& start : plan.starts) BeginStart(start, now);
  for (const RefuseDecision& refusal : plan.refusals) {
    EndJob(refusal.job, 0, JobState::kImpossible, refusal.reason, {});
  }
}

void ZonePlannerService::BeginStart(const StartDecision& start, Time now) {
  const auto& running = planner_->view().running;
  const auto job = std::find_if(running.begin(), running.end(),
                                [&](const RunningJob& each) { return each.id == start.job; });
  const std::optional<JobRecord> record = replicated_jobs_->Find(start.job);
  if (job == running.end()) return;
  // A job with a pending record, such as a move to another zone, may already belong to another
  // planner.
  const bool leaving = pending_records_.count(start.job) != 0;
  if (!record || leaving || attempts_.count(start.job) != 0) {
    planner_->AttemptEnded(start.job, job->attempt, AttemptEnd::kNotStarted, now);
    return;
  }
  LiveAttempt attempt;
  attempt.view_attempt = job->attempt;
  attempt.stage_since = now;
  attempt.gang.job = start.job;
  attempt.gang.attempt = AttemptNumber(epoch_, ++start_count_);
  attempt.gang.epoch = epoch_;
  attempt.gang.lease = lease();
  attempt.gang.borrowed = job->borrowed;
  attempt.gang.spec = job->spec;
  attempt.gang.tasks = job->tasks;
  const auto saved = checkpoints_.find(start.job);
  attempt.gang.checkpoint = saved == checkpoints_.end() ? record->checkpoint : saved->second;
  attempts_[start.job] = attempt;
  LogJob("gang_planned", attempt.gang);
  RunAsync([this, gang = attempt.gang]() -> Completion {
    bool start_recorded = false;
    const auto before_release = [&] {
      const std::optional<JobRecord> latest = replicated_jobs_->Find(gang.job);
      if (!latest || latest->state != JobState::kWaiting || latest->cancel_asked) {
        throw Error(ErrorKind::kCancelled, "the job is no longer wanted");
      }
      if (replicated_jobs_->Planner(options_.zone).epoch != gang.epoch) {
        throw Error(ErrorKind::kFenced, "a newer planner has the zone");
      }
      if (gang.spec.repeatable) return;
      // A job that is not repeatable may run only once, so the next planner must know that it may
      // have started.
      start_recorded = true;
      const JobStarting starting{NewRecordId(), gang.job, gang.attempt, gang.epoch,
                                 !gang.checkpoint.empty()};
      const WriteResult written = jobs_->Write(starting, kStartRecordTimeout);
      if (written.verdict.accepted) return;
      start_recorded = false;
      throw Error(ErrorKind::kConflict, written.verdict.reason);
    };
    const GangStartResult result = runner_->Start(gang, before_release);
    return [this, gang, result, start_recorded](Time then) {
      OnStartFinished(gang.job, gang.attempt, result, start_recorded, then);
    };
  });
}

void ZonePlannerService::OnStartFinished(const std::string& job, int64_t number,
                                         const GangStartResult& result, bool start_recorded,
                                         Time now) {
  LiveAttempt* attempt = Find(job, number);
  if (attempt == nullptr) return;
  if (AnyFenced(result.failures)) return StepDown("an agent follows a newer planner");
  attempt->start_recorded = start_recorded;
  attempt->stage_since = now;
  // A release call that is still in flight takes effect only while the agent holds the tasks, which
  // it does for kGangHoldTimeout at most.
  attempt->leases_expire_at = LeaseExpiry(now + kGangHoldTimeout + kInitialLease);
  if (result.ok()) {
    attempt->stage = AttemptStage::kRunning;
    LogJob("job_started", attempt->gang);
    if (attempt->requested_stop) Stop(*attempt->requested_stop, now);
    return;
  }
  for (const MemberFailure& failure : result.failures) {
    if (TimedOut(failure.error)) avoided_until_[failure.worker] = now + kWorkerAvoidancePeriod;
  }
  const std::optional<JobRecord> record = replicated_jobs_->Find(job);
  if (record && record->cancel_asked) {
    attempt->final_state = JobState::kCancelled;
    attempt->reason = "cancelled by the caller";
  }
  attempt->may_have_run = result.may_have_run;
  if (!result.may_have_run) attempt->ended_members = attempt->gang.workers();
  BeginEnding(attempt, result.may_have_run ? AttemptEnd::kStopped : AttemptEnd::kNotStarted, now);
}

void ZonePlannerService::Stop(const StopDecision& stop, Time now) {
  const auto found = attempts_.find(stop.job);
  if (found == attempts_.end()) return;
  LiveAttempt& attempt = found->second;
  if (attempt.stage == AttemptStage::kStarting) attempt.requested_stop = stop;
  if (attempt.stage != AttemptStage::kRunning) return;
  LogEvent(LogLevel::kInfo, "job_stopped",
           {{"job", stop.job},
            {"workspace", attempt.gang.spec.workspace},
            {"attempt", attempt.gang.attempt},
            {"reason", StopReasonName(stop.reason)}});
  attempt.checkpoint = stop.checkpoint;
  if (stop.reason == StopReason::kCancelled) {
    attempt.final_state = JobState::kCancelled;
    attempt.reason = "cancelled by the caller";
  }
  BeginEnding(&attempt, AttemptEnd::kStopped, now);
}

void ZonePlannerService::RenewLeases(const std::vector<AgentState>& confirmed, Time now) {
  if (now - last_renewal_ < lease() / kRenewalsPerLease) return;
  last_renewal_ = now;
  std::map<std::string, const AgentState*> recent_reports;
  for (const AgentState& agent : confirmed) {
    if (now - agent.last_contact_at + agent.beat.report_age > kMaxEvidenceAge) continue;
    recent_reports[agent.hello.process] = &agent;
  }
  std::vector<AgentState> evidence;
  evidence.reserve(recent_reports.size());
  for (const auto& [name, agent] : recent_reports) evidence.push_back(*agent);
  const ReportTable table(evidence);
  for (auto& [job, attempt] : attempts_) {
    if (attempt.stage != AttemptStage::kRunning || attempt.renewing) continue;
    const ReportedAttempt* found = table.Find(job, attempt.gang.attempt);
    const int total = static_cast<int>(attempt.gang.tasks.size());
    const bool whole =
        found != nullptr && found->running() + found->Count(TaskPhase::kDone) == total;
    // A member of the gang may be lost. Renewing the leases of the other members would let part of
    // the gang keep running.
    if (!whole) continue;
    HeartbeatTimes heartbeat_times;
    for (const std::string& worker : attempt.gang.workers()) {
      heartbeat_times[worker] = recent_reports[worker]->beat.sent_at;
      attempt.leases_expire_at =
          std::max(attempt.leases_expire_at, LeaseExpiry(recent_reports[worker]->last_contact_at));
    }
    attempt.renewing = true;
    RunAsync([this, gang = attempt.gang, heartbeat_times]() -> Completion {
      const std::vector<MemberFailure> failures = runner_->Renew(gang, heartbeat_times);
      return [this, gang, failures](Time) {
        LiveAttempt* renewed = Find(gang.job, gang.attempt);
        if (renewed != nullptr) renewed->renewing = false;
        if (AnyFenced(failures)) StepDown("an agent follows a newer planner");
      };
    });
  }
}

void ZonePlannerService::MoveWaitingJobs(Time now) {
  if (now < next_move_at_) return;
  next_move_at_ = now + kMoveInterval;
  const std::vector<WaitingJob> waiting = planner_->view().waiting;
  if (waiting.empty()) return;
  const auto environment = planner_->view().environment;
  const Feasibility feasibility(environment);
  ZoneLoads loads = LoadsOf(*environment, *replicated_jobs_);
  const size_t most = planner_->view().in ? kMaxMovesPerInterval : kMaxMovesWhenOut;
  size_t moves = 0;
  for (const WaitingJob& job : waiting) {
    if (attempts_.count(job.id) != 0 || pending_records_.count(job.id) != 0) continue;
    const std::string to = BetterZone(*environment, feasibility, job.spec, options_.zone, loads);
    if (to.empty()) continue;
    loads[options_.zone].Remove(job.spec);
    loads[to].Add(job.spec);
    const auto saved = checkpoints_.find(job.id);
    const std::string checkpoint = saved == checkpoints_.end() ? job.checkpoint : saved->second;
    QueueRecord(job.id, JobMoved{NewRecordId(), job.id, options_.zone, to, epoch_, checkpoint}, {});
    if (++moves >= most) return;
  }
}

LiveAttempt* ZonePlannerService::Find(const std::string& job, int64_t number) {
  const auto found = attempts_.find(job);
  const bool same = found != attempts_.end() && found->second.gang.attempt == number;
  return same ? &found->second : nullptr;
}

Duration ZonePlannerService::lease() const {
  const auto config = replicated_config_->current();
  return config ? config->environment->bounds.lease : Bounds{}.lease;
}

}  // namespace turmericshift
