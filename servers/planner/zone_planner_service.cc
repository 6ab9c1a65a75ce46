#include <algorithm>

#include "core/error.h"
#include "core/logging.h"
#include "servers/planner/zone_choice.h"
#include "servers/planner/zone_planner_service.h"
#include "servers/state/stream_client.h"

namespace turmericshift {
namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(3);
// Shorter than the hold, so that the gang is still held when the record is read back.
constexpr Duration kStartingTimeout = std::chrono::milliseconds(2500);
// Renewed this often in each lease: what is left when a planner dies must last until its successor
// has found the gang.
constexpr int kRenewalsPerLease = 5;
// A beat older than this is no evidence that a member still runs.
constexpr Duration kEvidenceAge = std::chrono::milliseconds(2500);
// A worker whose call timed out takes no new work for this long.
constexpr Duration kAvoidFor = std::chrono::seconds(5);
constexpr size_t kMaxMovesWhenOut = 64;
// So few at a time that a zone that comes back is filled step by step.
constexpr size_t kMaxMovesAtOnce = 4;
constexpr Duration kMovePeriod = std::chrono::seconds(5);

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
                                       RecordWriter* jobs, const JobFold* job_fold,
                                       const ConfigFold* config_fold, GangRunner* runner,
                                       Executor executor, MetricsRegistry* metrics)
    : options_(options),
      directory_(directory),
      jobs_(jobs),
      job_fold_(job_fold),
      config_fold_(config_fold),
      runner_(runner),
      executor_(std::move(executor)),
      decide_seconds_(&metrics->distribution("planner_decide_seconds")),
      claim_rule_(options.process, options.own_zone, options.zone),
      jitter_(static_cast<unsigned>(std::hash<std::string>()(options.process + options.zone))) {}

ZonePlannerService::~ZonePlannerService() {
  std::unique_lock<std::mutex> lock(posted_mutex_);
  posted_changed_.wait(lock, [this] { return in_flight_ == 0; });
}

void ZonePlannerService::Step(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  DrainPosted(now);
  const std::vector<AgentState> agents = directory_->Agents(options_.zone);
  if (!EnsureDuty(agents, now)) return;
  const auto config = config_fold_->current();
  if (!config) return;
  planner_->SetEnvironment(config->environment);
  const std::vector<AgentState> confirmed = Confirmed(agents, now);
  if (epoch_ == kNoSequence) return;
  const ReportTable table(confirmed);
  SyncWorkers(confirmed, now);
  SyncJobs(table, now);
  for (auto attempt = attempts_.begin(); attempt != attempts_.end();) {
    Follow(&attempt->second, table, now);
    const bool over = ContinueEnding(&attempt->second, table, now);
    attempt = over ? attempts_.erase(attempt) : std::next(attempt);
  }
  DropOldReports(table);
  if (!leaving_) {
    const Time begun = DefaultClock().Now();
    const Plan plan = planner_->Decide(now);
    decide_seconds_->Record(Seconds(DefaultClock().Now() - begun));
    CarryOut(plan, now);
    MoveAway(now);
  }
  RenewAll(confirmed, now);
  WriteRecordings(now);
  if (leaving_) ReleaseWhenIdle();
}

void ZonePlannerService::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  leaving_ = true;
}

bool ZonePlannerService::has_news() const {
  const std::lock_guard<std::mutex> lock(posted_mutex_);
  return !posted_.empty();
}

bool ZonePlannerService::holds_duty() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return epoch_ != kNoSequence;
}

std::string ZonePlannerService::WaitReasonFor(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (epoch_ == kNoSequence) return "";
  if (recordings_.count(job) != 0) return "its end is being recorded";
  const auto attempt = attempts_.find(job);
  if (attempt != attempts_.end()) {
    if (attempt->second.stage == AttemptStage::kStarting) return "its tasks are being started";
    if (attempt->second.stage == AttemptStage::kRunning) return "";
    if (attempt->second.stopping.empty()) return "its last attempt is being stopped";
    return "its last attempt does not stop at " + *attempt->second.stopping.begin();
  }
  if (resolved_.count(job) == 0) return "the zone's new planner finds out whether it runs already";
  return planner_->WaitReasonFor(job);
}

int64_t ZonePlannerService::RunningAttempt(const std::string& job) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = attempts_.find(job);
  const bool runs = found != attempts_.end() && found->second.stage == AttemptStage::kRunning;
  return runs ? found->second.order.attempt : 0;
}

void ZonePlannerService::Run(std::function<Posted()> work) {
  {
    const std::lock_guard<std::mutex> lock(posted_mutex_);
    ++in_flight_;
  }
  executor_([this, work = std::move(work), epoch = epoch_] {
    Posted posted = work();
    const std::lock_guard<std::mutex> lock(posted_mutex_);
    posted_.push_back([this, posted = std::move(posted), epoch](Time now) {
      if (epoch == epoch_) posted(now);
    });
    --in_flight_;
    posted_changed_.notify_all();
  });
}

void ZonePlannerService::DrainPosted(Time now) {
  std::vector<Posted> posted;
  {
    const std::lock_guard<std::mutex> lock(posted_mutex_);
    posted.swap(posted_);
  }
  for (const Posted& each : posted) each(now);
}

bool ZonePlannerService::EnsureDuty(const std::vector<AgentState>& agents, Time now) {
  const PlannerEpoch holder = job_fold_->Planner(options_.zone);
  if (epoch_ != kNoSequence) {
    if (holder.epoch == epoch_ && holder.process == options_.process) return true;
    Resign("the log names another planner");
    return false;
  }
  if (claiming_ || leaving_) return false;
  if (claim_rule_.ShouldClaim(holder, agents, now)) Claim(holder.epoch);
  return false;
}

void ZonePlannerService::Claim(Sequence after) {
  claiming_ = true;
  Run([this, after]() -> Posted {
    Sequence epoch = kNoSequence;
    try {
      const PlannerClaimed claim{NewRecordId(), options_.zone, options_.process, after};
      const Written written = jobs_->Write(claim, kRecordTimeout);
      if (written.verdict.accepted) epoch = written.sequence;
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "planner_claim_failed",
               {{"zone", options_.zone}, {"error", error.what()}});
    }
    return [this, epoch](Time now) {
      claiming_ = false;
      if (epoch != kNoSequence) BecomeHolder(epoch, now);
    };
  });
}

void ZonePlannerService::BecomeHolder(Sequence epoch, Time now) {
  epoch_ = epoch;
  claimed_at_ = now;
  all_heard_ = false;
  starts_ = 0;
  planner_ = std::make_unique<ZonePlanner>(
      options_.zone, PlacementPolicyRegistry::Instance().Create(options_.policy));
  LogEvent(LogLevel::kInfo, "planner_duty_taken",
           {{"zone", options_.zone}, {"process", options_.process}, {"epoch", epoch}});
}

void ZonePlannerService::Resign(const std::string& why) {
  LogEvent(LogLevel::kInfo, "planner_duty_lost",
           {{"zone", options_.zone}, {"epoch", epoch_}, {"reason", why}});
  epoch_ = kNoSequence;
  releasing_ = false;
  planner_.reset();
  attempts_.clear();
  resolved_.clear();
  checkpoints_.clear();
  recordings_.clear();
  dropping_.clear();
  avoided_until_.clear();
}

void ZonePlannerService::ReleaseWhenIdle() {
  const bool starting = std::any_of(attempts_.begin(), attempts_.end(), [](const auto& each) {
    return each.second.stage == AttemptStage::kStarting;
  });
  if (starting || releasing_) return;
  releasing_ = true;
  Run([this, epoch = epoch_]() -> Posted {
    try {
      jobs_->Write(PlannerReleased{NewRecordId(), options_.zone, epoch}, kRecordTimeout);
      return [](Time) {};
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "planner_release_failed", {{"error", error.what()}});
      return [this](Time) { releasing_ = false; };
    }
  });
}

std::vector<AgentState> ZonePlannerService::Confirmed(const std::vector<AgentState>& agents,
                                                      Time now) {
  std::vector<AgentState> confirmed;
  for (const AgentState& agent : agents) {
    if (agent.hello.worker.processors == 0) continue;
    if (now - agent.heard + agent.beat.report_age > options_.agent_silence) continue;
    if (agent.beat.planner_epoch > epoch_) {
      Resign("an agent obeys a newer planner");
      return {};
    }
    if (agent.beat.planner_epoch == epoch_) confirmed.push_back(agent);
  }
  const AvailabilityZoneSpec* zone = config_fold_->current()->environment->FindZone(options_.zone);
  const size_t expected = zone == nullptr ? 0 : static_cast<size_t>(zone->workers);
  all_heard_ = all_heard_ || confirmed.size() >= expected || now >= UnheardLapsesAt();
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
  for (const auto& [job, attempt] : attempts_) needed.merge(attempt.order.workers());
  std::vector<std::string> silent;
  for (const WorkerView& worker : planner_->view().workers) {
    if (present.count(worker.name) == 0) silent.push_back(worker.name);
  }
  for (const std::string& worker : silent) {
    // What ran there may run on; its attempts are ended with proof before the worker is given up.
    if (needed.count(worker) == 0) planner_->WorkerLost(worker, now);
    if (needed.count(worker) != 0) planner_->WorkerUsable(worker, false);
  }
}

void ZonePlannerService::SyncJobs(const ReportTable& table, Time now) {
  std::set<std::string> open;
  for (const JobRecord& job : job_fold_->OpenJobs(options_.zone)) {
    open.insert(job.id);
    if (recordings_.count(job.id) != 0) continue;
    if (resolved_.count(job.id) == 0) {
      if (!Resolve(job, table, now)) continue;
      resolved_.insert(job.id);
    }
    if (job.cancel_asked) planner_->CancelAsked(job.id);
    if (attempts_.count(job.id) != 0 || recordings_.count(job.id) != 0) continue;
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
  for (const std::string& job : gone) planner_->JobGone(job);
  std::erase_if(resolved_, [&](const std::string& job) { return open.count(job) == 0; });
}

void ZonePlannerService::CarryOut(const Plan& plan, Time now) {
  for (const StopDecision& stop : plan.stops) Stop(stop, now);
  for (const StartDecision& start : plan.starts) Begin(start, now);
  for (const RefuseDecision& refusal : plan.refusals) {
    EndJob(refusal.job, 0, JobState::kImpossible, refusal.reason, {});
  }
}

void ZonePlannerService::Begin(const StartDecision& start, Time now) {
  const auto& running = planner_->view().running;
  const auto job = std::find_if(running.begin(), running.end(),
                                [&](const RunningJob& each) { return each.id == start.job; });
  const std::optional<JobRecord> record = job_fold_->Find(start.job);
  if (job == running.end()) return;
  // A job whose move is being recorded may belong to another planner already.
  const bool leaving = recordings_.count(start.job) != 0;
  if (!record || leaving || attempts_.count(start.job) != 0) {
    planner_->AttemptEnded(start.job, job->attempt, AttemptEnd::kNotStarted, now);
    return;
  }
  LiveAttempt attempt;
  attempt.view_attempt = job->attempt;
  attempt.since = now;
  attempt.order.job = start.job;
  attempt.order.attempt = AttemptNumber(epoch_, ++starts_);
  attempt.order.epoch = epoch_;
  attempt.order.lease = lease();
  attempt.order.borrowed = job->borrowed;
  attempt.order.spec = job->spec;
  attempt.order.tasks = job->tasks;
  const auto saved = checkpoints_.find(start.job);
  attempt.order.checkpoint = saved == checkpoints_.end() ? record->checkpoint : saved->second;
  attempts_[start.job] = attempt;
  LogJob("gang_planned", attempt.order);
  Run([this, order = attempt.order]() -> Posted {
    bool recorded = false;
    const auto before_release = [&] {
      const std::optional<JobRecord> latest = job_fold_->Find(order.job);
      if (!latest || latest->state != JobState::kWaiting || latest->cancel_asked) {
        throw Error(ErrorKind::kCancelled, "the job is no longer wanted");
      }
      if (job_fold_->Planner(options_.zone).epoch != order.epoch) {
        throw Error(ErrorKind::kFenced, "a newer planner has the zone");
      }
      if (order.spec.repeatable) return;
      // It may run once. Whoever plans the zone next must know that it may have begun.
      recorded = true;
      const JobStarting starting{NewRecordId(), order.job, order.attempt, order.epoch,
                                 !order.checkpoint.empty()};
      const Written written = jobs_->Write(starting, kStartingTimeout);
      if (written.verdict.accepted) return;
      recorded = false;
      throw Error(ErrorKind::kConflict, written.verdict.reason);
    };
    const GangStartResult result = runner_->Start(order, before_release);
    return [this, order, result, recorded](Time then) {
      OnStarted(order.job, order.attempt, result, recorded, then);
    };
  });
}

void ZonePlannerService::OnStarted(const std::string& job, int64_t number,
                                   const GangStartResult& result, bool recorded, Time now) {
  LiveAttempt* attempt = Find(job, number);
  if (attempt == nullptr) return;
  if (AnyFenced(result.failures)) return Resign("an agent obeys a newer planner");
  attempt->recorded = recorded;
  attempt->since = now;
  // A release that is still on its way can only land while the hold lasts.
  attempt->lapses_at = LapsesAt(now + kGangHold + kFirstLease);
  if (result.ok()) {
    attempt->stage = AttemptStage::kRunning;
    LogJob("job_started", attempt->order);
    if (attempt->stop_asked) Stop(*attempt->stop_asked, now);
    return;
  }
  for (const MemberFailure& failure : result.failures) {
    if (TimedOut(failure.error)) avoided_until_[failure.worker] = now + kAvoidFor;
  }
  const std::optional<JobRecord> record = job_fold_->Find(job);
  if (record && record->cancel_asked) {
    attempt->final_state = JobState::kCancelled;
    attempt->reason = "cancelled by the caller";
  }
  attempt->may_have_run = result.may_run;
  if (!result.may_run) attempt->over = attempt->order.workers();
  BeginEnding(attempt, result.may_run ? AttemptEnd::kStopped : AttemptEnd::kNotStarted, now);
}

void ZonePlannerService::Stop(const StopDecision& stop, Time now) {
  const auto found = attempts_.find(stop.job);
  if (found == attempts_.end()) return;
  LiveAttempt& attempt = found->second;
  if (attempt.stage == AttemptStage::kStarting) attempt.stop_asked = stop;
  if (attempt.stage != AttemptStage::kRunning) return;
  LogEvent(LogLevel::kInfo, "job_stopped",
           {{"job", stop.job},
            {"workspace", attempt.order.spec.workspace},
            {"attempt", attempt.order.attempt},
            {"reason", StopReasonName(stop.reason)}});
  attempt.checkpoint = stop.checkpoint;
  if (stop.reason == StopReason::kCancelled) {
    attempt.final_state = JobState::kCancelled;
    attempt.reason = "cancelled by the caller";
  }
  BeginEnding(&attempt, AttemptEnd::kStopped, now);
}

void ZonePlannerService::RenewAll(const std::vector<AgentState>& confirmed, Time now) {
  if (now - renewed_ < lease() / kRenewalsPerLease) return;
  renewed_ = now;
  std::map<std::string, const AgentState*> fresh;
  for (const AgentState& agent : confirmed) {
    if (now - agent.heard + agent.beat.report_age > kEvidenceAge) continue;
    fresh[agent.hello.process] = &agent;
  }
  std::vector<AgentState> evidence;
  evidence.reserve(fresh.size());
  for (const auto& [name, agent] : fresh) evidence.push_back(*agent);
  const ReportTable table(evidence);
  for (auto& [job, attempt] : attempts_) {
    if (attempt.stage != AttemptStage::kRunning || attempt.renewing) continue;
    const ReportedAttempt* found = table.Find(job, attempt.order.attempt);
    const int total = static_cast<int>(attempt.order.tasks.size());
    const bool whole =
        found != nullptr && found->running() + found->Count(TaskPhase::kDone) == total;
    // Prolonging the rest of a gang whose member may be lost would let it run in part.
    if (!whole) continue;
    BeatTimes beats;
    for (const std::string& worker : attempt.order.workers()) {
      beats[worker] = fresh[worker]->beat.sent_at;
      attempt.lapses_at = std::max(attempt.lapses_at, LapsesAt(fresh[worker]->heard));
    }
    attempt.renewing = true;
    Run([this, order = attempt.order, beats]() -> Posted {
      const std::vector<MemberFailure> failures = runner_->Renew(order, beats);
      return [this, order, failures](Time) {
        LiveAttempt* renewed = Find(order.job, order.attempt);
        if (renewed != nullptr) renewed->renewing = false;
        if (AnyFenced(failures)) Resign("an agent obeys a newer planner");
      };
    });
  }
}

void ZonePlannerService::MoveAway(Time now) {
  if (now < next_move_) return;
  next_move_ = now + kMovePeriod;
  const std::vector<WaitingJob> waiting = planner_->view().waiting;
  if (waiting.empty()) return;
  const auto environment = planner_->view().environment;
  const Feasibility feasibility(environment);
  ZoneLoads loads = LoadsOf(*environment, *job_fold_);
  const size_t most = planner_->view().in ? kMaxMovesAtOnce : kMaxMovesWhenOut;
  size_t moves = 0;
  for (const WaitingJob& job : waiting) {
    if (attempts_.count(job.id) != 0 || recordings_.count(job.id) != 0) continue;
    const std::string to = BetterZone(*environment, feasibility, job.spec, options_.zone, loads);
    if (to.empty()) continue;
    loads[options_.zone].Remove(job.spec);
    loads[to].Add(job.spec);
    const auto saved = checkpoints_.find(job.id);
    const std::string checkpoint = saved == checkpoints_.end() ? job.checkpoint : saved->second;
    WriteLater(job.id, JobMoved{NewRecordId(), job.id, options_.zone, to, epoch_, checkpoint}, {});
    if (++moves >= most) return;
  }
}

LiveAttempt* ZonePlannerService::Find(const std::string& job, int64_t number) {
  const auto found = attempts_.find(job);
  const bool same = found != attempts_.end() && found->second.order.attempt == number;
  return same ? &found->second : nullptr;
}

Duration ZonePlannerService::lease() const {
  const auto config = config_fold_->current();
  return config ? config->environment->bounds.lease : Bounds{}.lease;
}

}  // namespace turmericshift
