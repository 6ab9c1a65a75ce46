#include "servers/pool/pool_planner.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "servers/pool/progress_parts.h"

namespace turmericshift::pool {

Duration StartSettleTime(const PlannerOptions& options) {
  const Duration excess = options.longest_lease - options.lease_duration;
  return options.start_window + options.order_time + std::max(Duration::zero(), excess);
}

PoolPlanner::PoolPlanner(const PlannerOptions& options, int64_t epoch, const JobTable& table,
                         const std::set<std::string>& nodes, Time now,
                         std::optional<int64_t> wall_ms)
    : options_(options),
      epoch_(epoch),
      outbox_(options.max_append_bytes),
      started_at_(now),
      listed_agents_(nodes.size()),
      unreported_agents_(nodes),
      estimator_(options.disabled_mechanisms),
      speeds_(IsEnabled(Mechanism::kWorkerSpeeds) ? speeds::MakeLearnedSpeeds()
                                                  : speeds::MakeEqualSpeeds()),
      releases_(IsEnabled(Mechanism::kAvoidOutdatedWorkers) ? releases::MakeReleaseTracker(now)
                                                            : releases::MakeNoReleases()),
      shares_(IsEnabled(Mechanism::kFairShares) ? shares::MakeDecayingShares()
                                                : shares::MakeEqualShares()),
      admission_(IsEnabled(Mechanism::kAdmission) ? admission::MakeForecastAdmission()
                                                  : admission::MakeAdmitAll()),
      learned_state_(LearnedParts(), now),
      mean_stop_time_(options.max_stop_time) {
  if (wall_ms) LogLoads(learned_state_.Load(table.learned(), *wall_ms, now), epoch);
  for (const auto& [id, entry] : table.jobs()) {
    Job& job = jobs_[id];
    job.spec = entry.spec;
    job.progress = entry.progress;
    job.parts = entry.parts;
    RefreshTerms(&job);
    if (entry.has_own_tasks && IsStoredInParts(job.spec)) SaveAllParts(&job);
    // The record that a job is running is durable before its first start is ordered, so nothing of
    // a queued job can be running anywhere.
    job.inherited = entry.progress.state != JobState::kQueued;
    job.begun = entry.progress.visible_state() != JobState::kQueued;
  }
  // The previous planner may not know yet that it has been replaced. It may grant leases to agents
  // that are partitioned together with it, as long as those agents accept a planner whose
  // leadership is unconfirmed.
  inherited_start_time_ =
      now + options.unconfirmed_limit + options.lease_duration + options.lease_margin;
}

std::vector<learned::LearnedPart*> PoolPlanner::LearnedParts() {
  if (!IsEnabled(Mechanism::kLearnedState)) return {};
  return {speeds_.get(), &estimator_.run_times(), &reserve_, &health_tracker_, shares_.get()};
}

void PoolPlanner::PutLearned(const std::vector<learned::LearnedRecord>& records) {
  for (const learned::LearnedRecord& record : records) outbox_.Put(record.key, record.value);
}

void PoolPlanner::BeginRelease(int64_t wall_ms, Time now) {
  if (!releasing_) PutLearned(learned_state_.TakeLast(wall_ms, now));
  releasing_ = true;
}

void PoolPlanner::ConfirmLeadership(Time sent) {
  if (!leadership_confirmed_ || sent > *leadership_confirmed_) leadership_confirmed_ = sent;
}

void PoolPlanner::SetOperatorState(std::shared_ptr<const OperatorState> state, Time sent) {
  if (state != operator_state_) {
    needs_planning_ = true;
    operator_state_ = std::move(state);
    for (auto& [id, job] : jobs_) RefreshTerms(&job);
    SetSlowFactor();
  }
  if (!operator_state_read_ || sent > *operator_state_read_) operator_state_read_ = sent;
}

void PoolPlanner::PredecessorGone(Time now) {
  inherited_start_time_ =
      std::min(inherited_start_time_, now + options_.lease_duration + options_.lease_margin);
}

Time PoolPlanner::HandoverAllowedAt() const {
  Time allowed{};
  for (const auto& [node, worker] : workers_) {
    const bool has_no_runs = worker.lists_received && worker.live.empty();
    if (has_no_runs) continue;
    const Time leases_until = worker.AllLeasesUntil(options_.longest_lease);
    allowed = std::max(allowed, leases_until - options_.lease_duration);
  }
  return allowed;
}

void PoolPlanner::SetListedAgents(const std::set<std::string>& nodes) {
  listed_now_ = nodes;
  for (auto& [node, worker] : workers_) {
    const bool listed = IsListed(node);
    if (listed == worker.listed) continue;
    worker.listed = listed;
    needs_planning_ = true;
    // Agents learn of it at once, and not when their polls end: until then they report no worker.
    NotePendingOrders(&worker);
  }
}

bool PoolPlanner::IsListed(const std::string& node) const {
  return !listed_now_ || listed_now_->count(node) > 0;
}

Ticket PoolPlanner::Submit(const JobSpec& spec) {
  Job* known = FindJob(spec.id);
  if (known != nullptr) return known->accepted_ticket;
  Job& job = jobs_[spec.id];
  job.spec = spec;
  RefreshTerms(&job);
  outbox_.Put(kSpecPrefix + spec.id, EncodeSpec(spec));
  SaveProgress(&job);
  job.accepted_ticket = job.newest_ticket;
  pending_submissions_.insert(job.accepted_ticket);
  AddJobToLoads(job);
  needs_planning_ = true;
  return job.newest_ticket;
}

bool PoolPlanner::WithdrawSubmission(const std::string& id) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return false;
  // Withdrawing a cancelled job would drop the cancellation too, and a later submission of the same
  // job would run.
  if (IsOver(found->second.progress.state)) return false;
  if (!outbox_.Withdraw(kSpecPrefix + id)) return false;
  outbox_.Withdraw(kProgressPrefix + id);
  DropUnsentRuns(found->second);
  jobs_.erase(found);
  return true;
}

// None of the job's starts has been sent, since each waits for the job's records.
void PoolPlanner::DropUnsentRuns(const Job& job) {
  for (const auto& [place, run] : job.runs) {
    const auto worker = workers_.find(run.node);
    if (worker == workers_.end()) continue;
    const TaskId task = {job.spec.id, place.occurrence, place.step, place.index};
    worker->second.live.erase({task, run.number});
    needs_planning_ = true;
  }
}

CancelResult PoolPlanner::Cancel(const std::string& id, int64_t wall_ms) {
  Job* job = FindJob(id);
  if (job == nullptr) return {false, 0};
  if (IsOver(job->progress.state)) return {true, job->newest_ticket};
  EndJob(job, JobState::kCancelled, wall_ms);
  return {true, job->newest_ticket};
}

bool PoolPlanner::MayHaveRuns(const std::string& node, Time now) const {
  const auto found = workers_.find(node);
  if (found == workers_.end()) return false;
  const WorkerState& worker = found->second;
  return !worker.live.empty() || now <= worker.former_lease_until + options_.lease_margin;
}

bool PoolPlanner::HasPendingOrders(const std::string& node) const {
  const auto found = workers_.find(node);
  return found != workers_.end() && found->second.version > found->second.acked_version;
}

// The runs of a worker that has not been read are not known, so that other agents may be ordered to
// start the same tasks once inherited work may start. Leases granted here must have expired by
// then.
bool PoolPlanner::MayGrantLease(const std::string& node, Time now) const {
  if (!grants_leases_ || !leadership_confirmed_) return false;
  if (now - *leadership_confirmed_ >= options_.unconfirmed_limit) return false;
  if (unreported_agents_.count(node) == 0) return true;
  return now + options_.lease_duration + options_.lease_margin <= inherited_start_time_;
}

AgentOrders PoolPlanner::Orders(const std::string& node, Time now) {
  WorkerState& worker = workers_[node];
  AgentOrders orders;
  orders.epoch = epoch_;
  orders.version = worker.version;
  orders.acked_ends = worker.acked_ends;
  orders.worker_start_time_ms = worker.facts.start_time_ms;
  orders.fence = worker.fence;
  orders.lag = planner_lag_.lag();
  if (MayGrantLease(node, now)) orders.lease = options_.lease_duration;
  if (MayStart(now) && worker.listed) orders.start_window = options_.start_window;
  for (auto& [id, run] : worker.live) {
    if (run.phase == RunPhase::kStopping) orders.stops.push_back(id);
    if (run.phase != RunPhase::kOrdered || run.start_after > outbox_.durable()) continue;
    orders.starts.push_back({id, run.payload, run.checkpoint, run.ticket});
    if (orders.start_window == Duration::zero()) continue;
    run.start_until = now + orders.start_window + options_.order_time;
  }
  return orders;
}

void PoolPlanner::NoteDurable() {
  while (!pending_starts_.empty() && pending_starts_.begin()->first <= outbox_.durable()) {
    NotePendingOrders(&workers_[pending_starts_.begin()->second]);
    pending_starts_.erase(pending_starts_.begin());
  }
  while (!pending_submissions_.empty() && *pending_submissions_.begin() <= outbox_.durable()) {
    pending_submissions_.erase(pending_submissions_.begin());
    needs_planning_ = true;
  }
  for (auto& [node, worker] : workers_) {
    while (!worker.ends.empty() && worker.ends.front().ticket <= outbox_.durable()) {
      worker.acked_ends = worker.ends.front().number;
      worker.ends.pop_front();
      NotePendingOrders(&worker);
    }
  }
}

void PoolPlanner::NotePendingOrders(WorkerState* worker) {
  ++worker->version;
  ++orders_version_;
}

PoolPlanner::Job* PoolPlanner::FindJob(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

void PoolPlanner::RefreshTerms(Job* job) const {
  const Queue* queue = operator_state_->config.FindQueue(job->spec.queue);
  job->terms = queue == nullptr ? &job->spec.terms : &queue->terms;
}

const StepSpec* PoolPlanner::FindStep(const Job& job, const TaskId& task) {
  if (task.step >= static_cast<int>(job.spec.steps.size())) return nullptr;
  if (task.occurrence >= job.spec.occurrences()) return nullptr;
  const StepSpec& step = job.spec.steps[static_cast<size_t>(task.step)];
  return task.index < step.tasks ? &step : nullptr;
}

void PoolPlanner::SaveProgress(Job* job) {
  JobProgress progress = job->progress;
  if (IsStoredInParts(job->spec)) {
    progress = JobProgress();
    progress.state = job->progress.state;
    progress.ended_ms = job->progress.ended_ms;
    progress.none_begun = job->progress.none_begun;
  }
  PutProgress(kProgressPrefix + job->spec.id, std::move(progress), job);
}

void PoolPlanner::SaveTasks(Job* job, const StepPlace& step, int first, int last) {
  if (!IsStoredInParts(job->spec)) return SaveProgress(job);
  const int64_t last_part = PartOf(job->spec, {step.occurrence, step.step, last});
  for (int64_t part = PartOf(job->spec, {step.occurrence, step.step, first}); part <= last_part;
       ++part) {
    job->parts.insert(part);
    PutProgress(PartKey(job->spec.id, part), ProgressOfPart(job->spec, job->progress, part), job);
  }
}

void PoolPlanner::SaveAllParts(Job* job) {
  const JobSpec& spec = job->spec;
  for (int occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
    for (size_t step = 0; step < spec.steps.size(); ++step) {
      SaveTasks(job, {occurrence, static_cast<int>(step)}, 0, spec.steps[step].tasks - 1);
    }
  }
}

void PoolPlanner::PutProgress(const std::string& key, JobProgress progress, Job* job) {
  std::string value = EncodeProgress(progress);
  if (value.size() > options_.max_value_bytes) {
    const size_t removed = RemoveCheckpointsOver(options_.max_value_bytes, &progress);
    value = EncodeProgress(progress);
    LogEvent(LogLevel::kWarning, "checkpoints_not_stored",
             {{"job", job->spec.id},
              {"record", key},
              {"checkpoints", removed},
              {"max_bytes", options_.max_value_bytes}});
  }
  job->newest_ticket = outbox_.Put(key, value);
}

void PoolPlanner::EndJob(Job* job, JobState state, int64_t wall_ms) {
  job->progress.state = state;
  job->progress.ended_ms = wall_ms;
  SaveProgress(job);
  advice_.Forget(job->spec.id);
  StopJob(*job);
  LogEvent(LogLevel::kInfo, "job_ended",
           {{"job", job->spec.id},
            {"state", JobStateName(state)},
            {"queue", job->spec.queue},
            {"priority", Terms(*job).priority},
            {"stretch", Terms(*job).stretch},
            {"target_s", Seconds(Terms(*job).target_latency)},
            {"elapsed_s", static_cast<double>(wall_ms - ReleaseMs(job->spec, 0)) / 1000},
            {"epoch", epoch_}});
}

void PoolPlanner::MarkRunning(Job* job) {
  if (job->progress.state != JobState::kQueued) return;
  job->progress.state = JobState::kRunning;
  job->progress.none_begun = !job->begun;
  SaveProgress(job);
  job->running_ticket = job->newest_ticket;
}

void PoolPlanner::MarkBegun(Job* job) {
  if (job->begun || IsOver(job->progress.state)) return;
  job->begun = true;
  MarkRunning(job);
  if (!job->progress.none_begun) return;
  job->progress.none_begun = false;
  SaveProgress(job);
}

void PoolPlanner::StopRun(WorkerState* worker, LiveRun* run) {
  if (run->phase == RunPhase::kStopping) return;
  run->phase = RunPhase::kStopping;
  NotePendingOrders(worker);
  run->order_version = worker->version;
}

void PoolPlanner::StopGang(const Job& job, const RunId& member) {
  for (const auto& [place, run] : job.runs) {
    if (place.occurrence != member.task.occurrence || place.step != member.task.step) continue;
    if (run.number != member.number) continue;
    WorkerState& worker = workers_[run.node];
    const auto live =
        worker.live.find({{job.spec.id, place.occurrence, place.step, place.index}, run.number});
    if (live != worker.live.end()) StopRun(&worker, &live->second);
  }
}

void PoolPlanner::StopJob(const Job& job) {
  for (const auto& [place, run] : job.runs) {
    WorkerState& worker = workers_[run.node];
    const auto live =
        worker.live.find({{job.spec.id, place.occurrence, place.step, place.index}, run.number});
    if (live != worker.live.end()) StopRun(&worker, &live->second);
  }
}

void PoolPlanner::RemoveRun(const RunId& run, Job* job) {
  const auto found = job->runs.find({run.task.occurrence, run.task.step, run.task.index});
  if (found != job->runs.end() && found->second.number == run.number) job->runs.erase(found);
  needs_planning_ = true;
}

void PoolPlanner::RemoveExpiredJobs(int64_t wall_ms) {
  const int64_t limit =
      duration_cast<std::chrono::milliseconds>(options_.ended_job_retention).count();
  for (auto job = jobs_.begin(); job != jobs_.end();) {
    const JobProgress& progress = job->second.progress;
    const bool old = IsOver(progress.state) && wall_ms - progress.ended_ms > limit;
    if (!old || !job->second.runs.empty()) {
      ++job;
      continue;
    }
    // The job goes last: as long as it is stored, a successor knows which parts are left.
    for (const int64_t part : job->second.parts) outbox_.Put(PartKey(job->first, part), "");
    outbox_.Put(kSpecPrefix + job->first, "");
    outbox_.Put(kProgressPrefix + job->first, "");
    // Advice may have arrived after the job had ended.
    advice_.Forget(job->first);
    job = jobs_.erase(job);
  }
}

}  // namespace turmericshift::pool
