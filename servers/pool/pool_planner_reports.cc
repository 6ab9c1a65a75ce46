// Processes the agents' reports: workers, running tasks, results of starts, and ends of runs.
#include <algorithm>
#include <deque>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"
#include "servers/pool/worker_fence.h"

namespace turmericshift::pool {
namespace {

// The failures and checkpoints of a gang are stored under its first task.
TaskPlace StoredAt(const StepSpec& step, const TaskId& task) {
  return {task.occurrence, task.step, step.gang ? 0 : task.index};
}

// Number of replaced processes of an agent that are remembered. A report is in transit for seconds
// at most, in which a process that crashes at each start is replaced about ten times.
constexpr size_t kMaxFormerIncarnations = 16;

// An order that a worker left unanswered may be executed this much later.
constexpr Duration kMaxOrderDelay = std::chrono::seconds(12);

// Delay after a refused start: the cause is usually over within this time.
constexpr Duration kStartRetryDelay = std::chrono::milliseconds(150);

// A worker that has not been read for this long is unreachable, so a higher age is an error.
constexpr Duration kMaxListsAge = std::chrono::seconds(10);

Duration ListsAge(const AgentReport& report) {
  const bool valid = report.lists_age >= Duration::zero() && report.lists_age <= kMaxListsAge;
  return valid ? report.lists_age : Duration::zero();
}

// Time since the end of a lease for the log, negative before it; null if there is no such lease.
nlohmann::json SecondsSince(Time lease_until, Time now) {
  if (lease_until == Time{}) return nullptr;
  return Seconds(now - lease_until);
}

void RecordVersion(const std::string& node, const WorkerFacts& facts,
                   releases::ReleaseTracker* releases, Time now) {
  // An agent that has read a new incarnation before its first announcement knows only its start.
  if (facts.id.empty()) return;
  releases->RecordWorker(node, facts.service, facts.version, facts.start_time_ms, now);
  if (facts.draining) releases->RecordGone(node, now);
}

}  // namespace

bool PoolPlanner::ApplyReport(const AgentReport& report, int64_t wall_ms, Time now) {
  WorkerState& worker = workers_[report.node];
  worker.node = report.node;
  worker.listed = IsListed(report.node);
  if (!AcceptIncarnation(report, &worker, now)) return false;
  if (report.sequence <= worker.sequence) return true;
  worker.sequence = report.sequence;
  planner_lag_.NoteReportRead(report.node, now);
  if (report.wait > Duration::zero()) planner_lag_.NotePollHeld(report.node, now + report.wait);
  worker.zone = report.zone;
  const bool first_report = worker.last_report == Time{};
  const Time known_leases_until =
      first_report ? now : worker.AllLeasesUntil(options_.longest_lease);
  worker.last_report = now;
  // The answer will grant a lease that counts from now, and a previous planner may just have
  // granted one.
  worker.lease_until = std::max(worker.lease_until, now + options_.lease_duration);
  worker.reported_lease_until = now + std::min(report.lease_left, options_.longest_lease);
  worker.acked_version = report.orders_seen;
  ApplyWorkerFacts(report, &worker, now);
  RecordFence(report, &worker);
  if (!ContainsLists(report, worker)) {
    if (worker.lists_received) RecordEndOfLeases(report, known_leases_until, &worker, now);
    DropRunsOfUnreadWorker(&worker, now);
    return true;
  }
  unreported_agents_.erase(report.node);
  const bool first_lists = !worker.lists_received;
  if (first_lists) {
    worker.lists_received = true;
    needs_planning_ = true;
    LogEvent(LogLevel::kInfo, "worker_known",
             {{"node", report.node},
              {"worker", worker.facts.id},
              {"born_ms", worker.facts.start_time_ms},
              {"running", report.running.size()},
              {"unheard", unreported_agents_.size()},
              {"ended", report.ended.size()},
              {"more_ends", report.more_ends},
              {"fence", worker.fence},
              {"epoch", epoch_}});
  }
  RecordReportedEnds(report, first_lists);
  RecordEndOfLeases(report, known_leases_until, &worker, now);
  const bool runs_over = LapsedRunsHaveEnded(worker, now);
  // The list of a worker that is gone is outdated. If it were applied, each report would stop the
  // runs again, be answered immediately and be followed by the next one within milliseconds.
  if (!runs_over) ApplyRunning(report, &worker, now);
  for (const StartResult& result : report.results) ApplyStartResult(result, &worker, now);
  for (const EndedTask& end : report.ended) ApplyEnd(end, &worker, wall_ms, now);
  if (first_lists) {
    DropUnlistedRuns(report, &worker, now);
    if (worker.former_lease_until > Time{}) {
      worker.former_lease_until = now + options_.longest_lease;
    }
  }
  StopUncertainRuns(&worker);
  CheckForStall(worker, now);
  if (runs_over) DropRunsOfUnreachableWorker(&worker, now);
  return true;
}

bool PoolPlanner::AcceptIncarnation(const AgentReport& report, WorkerState* worker, Time now) {
  if (worker->incarnation == report.incarnation) return true;
  std::deque<std::string>& former = worker->former_incarnations;
  const auto replaced = std::find(former.begin(), former.end(), report.incarnation);
  // The first reports of two processes may be read in the wrong order. The one that ended is silent
  // from then on, and its runs are given up after this time.
  const bool silent = now - worker->last_report > options_.lease_duration + options_.lease_margin;
  if (replaced != former.end() && silent) {
    former.erase(replaced);
  } else if (replaced != former.end()) {
    LogEvent(LogLevel::kWarning, "report_late",
             {{"node", report.node}, {"incarnation", report.incarnation}});
    return false;
  }
  if (!worker->incarnation.empty()) former.push_back(worker->incarnation);
  if (former.size() > kMaxFormerIncarnations) former.pop_front();
  // A new process of the agent has seen none of the orders.
  worker->incarnation = report.incarnation;
  worker->incarnation_since = now;
  worker->leases_ended_at.reset();
  worker->sequence = -1;
  NotePendingOrders(worker);
  for (auto& [id, run] : worker->live) {
    if (run.phase == RunPhase::kOrdered) run.phase = RunPhase::kUncertain;
  }
  return true;
}

void PoolPlanner::ApplyWorkerFacts(const AgentReport& report, WorkerState* worker, Time now) {
  const WorkerFacts& facts = report.worker;
  if (facts.start_time_ms != worker->facts.start_time_ms) {
    // An agent that has just started does not know its worker yet, or has heard only a delayed
    // announcement of a former start. Nothing has changed on the worker, but that it answered a
    // former process of the agent does not show that it still runs.
    const bool names_former_start =
        facts.start_time_ms < worker->facts.start_time_ms && report.epoch != epoch_;
    if (facts.start_time_ms == 0 || names_former_start) return SetReachable(worker, false);
    BeginIncarnation(facts, worker, now);
    return;
  }
  if (facts.id.empty()) return SetReachable(worker, facts.reachable);
  if (facts.draining && !worker->facts.draining) {
    LogEvent(LogLevel::kInfo, "worker_draining",
             {{"node", report.node}, {"leaves_in_s", Seconds(facts.leaves_in)}});
    newly_leaving_.insert(report.node);
  }
  needs_planning_ = needs_planning_ || facts.draining != worker->facts.draining ||
                    facts.reachable != worker->facts.reachable;
  worker->facts = facts;
  worker->newest_id = facts.id;
  RecordVersion(report.node, facts, releases_.get(), now);
}

void PoolPlanner::SetReachable(WorkerState* worker, bool reachable) {
  if (worker->facts.reachable == reachable) return;
  worker->facts.reachable = reachable;
  needs_planning_ = true;
  LogEvent(LogLevel::kInfo, reachable ? "worker_read_again" : "worker_not_read",
           {{"node", worker->node},
            {"incarnation", worker->incarnation},
            {"worker", worker->facts.id},
            {"born_ms", worker->facts.start_time_ms},
            {"runs", worker->live.size()},
            {"lease_left_s", Seconds(worker->reported_lease_until - worker->last_report)},
            {"epoch", epoch_}});
}

void PoolPlanner::BeginIncarnation(const WorkerFacts& facts, WorkerState* worker, Time now) {
  const WorkerFacts former = worker->facts;
  if (former.start_time_ms != 0) {
    worker->fence = NextFence(worker->fence);
    if (IsLastFence(worker->fence)) {
      LogEvent(LogLevel::kError, "worker_unusable",
               {{"node", worker->node},
                {"fence", worker->fence},
                {"epoch", epoch_},
                {"reason", "no fencing token of this epoch is left for its next restart"}});
    }
    worker->lists_received = false;
    const bool may_have_former_id = facts.id.empty() || facts.id == worker->newest_id;
    if (may_have_former_id) {
      worker->former_lease_until = now + options_.longest_lease;
    } else {
      // The new incarnation refuses every order for the former one by its ID.
      DropLostRuns(worker, "the worker has restarted", now);
    }
    for (auto& [id, run] : worker->live) {
      if (run.phase == RunPhase::kOrdered) run.phase = RunPhase::kUncertain;
    }
  }
  worker->leases_ended_at.reset();
  worker->facts = facts;
  if (!facts.id.empty()) worker->newest_id = facts.id;
  needs_planning_ = true;
  agents_with_more_ends_.erase(worker->node);
  worker->ends.clear();
  worker->ends_seen = 0;
  worker->acked_ends = 0;
  NotePendingOrders(worker);
  health_tracker_.BeginIncarnation(worker->node, facts.start_time_ms);
  speeds_->BeginIncarnation(worker->node, facts.start_time_ms);
  RecordVersion(worker->node, facts, releases_.get(), now);
  LogEvent(LogLevel::kInfo, "worker_reported",
           {{"node", worker->node},
            {"worker", facts.id},
            {"born_ms", facts.start_time_ms},
            {"before_ms", former.start_time_ms},
            {"runs_before", worker->live.size()},
            {"fence", worker->fence},
            {"version", facts.version},
            {"rack", facts.rack},
            {"accelerators", facts.capacity.accelerators},
            {"processor_millis", facts.capacity.processor_millis}});
}

void PoolPlanner::RecordFence(const AgentReport& report, WorkerState* worker) const {
  if (worker->fence == 0) worker->fence = epoch_;
  if (report.worker.start_time_ms != worker->facts.start_time_ms) return;
  // Until the agent has heard of this planner it uses a token of another epoch.
  if (report.fence <= worker->fence || report.fence >= NextEpoch(epoch_)) return;
  worker->fence = report.fence;
}

bool PoolPlanner::ContainsLists(const AgentReport& report, const WorkerState& worker) const {
  if (report.epoch != epoch_) return false;
  if (report.worker.start_time_ms != worker.facts.start_time_ms) return false;
  // The next incarnation would have to share the token.
  if (IsLastFence(worker.fence)) return false;
  const bool agent_uses_epoch = report.fence == 0;
  return agent_uses_epoch || report.fence >= worker.fence;
}

// Runs that end after the first lists were read are known from these lists or from the planner's
// own orders, so only the ends before them matter.
void PoolPlanner::RecordReportedEnds(const AgentReport& report, bool first_lists) {
  if (report.more_ends) {
    if (first_lists) agents_with_more_ends_.insert(report.node);
    return;
  }
  if (agents_with_more_ends_.erase(report.node) == 0) return;
  needs_planning_ = true;
  LogEvent(LogLevel::kInfo, "worker_ends_known",
           {{"node", report.node},
            {"agents_with_more_ends", agents_with_more_ends_.size()},
            {"epoch", epoch_}});
}

void PoolPlanner::ApplyRunning(const AgentReport& report, WorkerState* worker, Time now) {
  // A report that was in transit for less time than the one before may seem to have older lists.
  worker->lists_read_at = std::max(worker->lists_read_at, now - ListsAge(report));
  for (const RunningTask& running : report.running) {
    const auto known = worker->live.find(running.run);
    if (known == worker->live.end()) {
      AdoptRun(running, worker, now);
      continue;
    }
    known->second.start_until.reset();
    known->second.checkpoint = running.checkpoint;
    known->second.progress.Update(running.percent, worker->lists_read_at);
    speeds_->RecordProgress(known->second.speed_run, running.percent, worker->lists_read_at);
    RunPhase& phase = known->second.phase;
    if (phase == RunPhase::kRunning) continue;
    if (phase != RunPhase::kStopping) phase = RunPhase::kRunning;
    Job* job = FindJob(running.run.task.job);
    if (job != nullptr) MarkBegun(job);
  }
}

// A stalled worker is recognized only by its runs, which make no progress. The worker seems to have
// room, and further tasks placed on it would stall too.
void PoolPlanner::CheckForStall(const WorkerState& worker, Time now) {
  if (!worker.facts.reachable) return;
  int running = 0;
  for (const auto& [id, run] : worker.live) {
    if (run.phase != RunPhase::kRunning) continue;
    ++running;
    if (!run.progress.IsStalled(run.estimate, worker.lists_read_at)) return;
  }
  if (running > 0 && IsEnabled(Mechanism::kExcludeStalledWorkers)) {
    health_tracker_.RunsStalled(worker.node, now);
  }
}

// A run that the worker lists neither as running nor as ended may still begin: the call sent by the
// agent's previous process can be carried out seconds later. After a stop the worker refuses it.
void PoolPlanner::StopUncertainRuns(WorkerState* worker) {
  if (!worker->facts.reachable) return;
  for (auto& [id, run] : worker->live) {
    if (run.phase != RunPhase::kUncertain) continue;
    StopRun(worker, &run);
    Job* job = FindJob(id.task.job);
    const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, id.task);
    if (step != nullptr && step->gang) StopGang(*job, id);
  }
}

void PoolPlanner::AdoptRun(const RunningTask& running, WorkerState* worker, Time now) {
  const TaskId& task = running.run.task;
  LiveRun live;
  live.run = running.run;
  live.since = now;
  live.checkpoint = running.checkpoint;
  live.progress.Update(running.percent, worker->lists_read_at);
  Job* job = FindJob(task.job);
  const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, task);
  const TaskPlace place = {task.occurrence, task.step, task.index};
  const bool wanted = step != nullptr && !IsOver(job->progress.state) &&
                      !job->progress.task_done(place) && job->runs.count(place) == 0;
  if (step != nullptr) {
    live.need = step->need;
    live.best_effort = step->best_effort;
    live.long_running = step->long_running;
    live.estimate = step->estimate;
    live.resumable = step->checkpoints;
    // Whether the gang runs off-rack is not known, but its members are slowed down alike.
    BeginSpeedRun(*job, *step, worker->node, 1, now, &live);
    if (wanted && step->gang) JoinAdoptedGang(*job, worker->node, &live);
  }
  live.phase = wanted ? RunPhase::kRunning : RunPhase::kStopping;
  if (wanted) {
    job->runs[place] = {running.run.number, worker->node};
    MarkBegun(job);
  }
  NotePendingOrders(worker);
  needs_planning_ = true;
  worker->live[running.run] = live;
  LogEvent(LogLevel::kInfo, wanted ? "run_adopted" : "run_unwanted",
           {{"job", task.job},
            {"task", TaskName(task)},
            {"run", running.run.number},
            {"node", worker->node},
            {"born_ms", worker->facts.start_time_ms},
            {"epoch", epoch_}});
}

void PoolPlanner::ApplyStartResult(const StartResult& result, WorkerState* worker, Time now) {
  const auto live = worker->live.find(result.run);
  if (live == worker->live.end()) return;
  Job* job = FindJob(result.run.task.job);
  if (result.outcome == StartOutcome::kStarted) {
    live->second.start_until.reset();
    if (live->second.phase == RunPhase::kOrdered) live->second.phase = RunPhase::kRunning;
    if (job != nullptr) MarkBegun(job);
    return;
  }
  const bool was_ordered = live->second.phase == RunPhase::kOrdered;
  worker->live.erase(live);
  needs_planning_ = true;
  if (job == nullptr) return;
  const TaskId& task = result.run.task;
  const StepSpec* step = FindStep(*job, task);
  RemoveRun(result.run, job);
  if (!was_ordered) return;
  if (result.outcome == StartOutcome::kTicketRefused) {
    advice_.TicketRefused({task.job, {task.occurrence, task.step}}, AdvisedWorkerOf(*worker));
  }
  if (result.outcome == StartOutcome::kNotRun) health_tracker_.OrderFailed(worker->node, now);
  job->steps[{task.occurrence, task.step}].retry_after = now + kStartRetryDelay;
  if (step != nullptr && step->gang) StopGang(*job, result.run);
  LogEvent(LogLevel::kWarning, "start_not_taken",
           {{"job", task.job},
            {"task", TaskName(task)},
            {"run", result.run.number},
            {"node", worker->node},
            {"reason", result.reason}});
}

void PoolPlanner::ApplyEnd(const EndedTask& end, WorkerState* worker, int64_t wall_ms, Time now) {
  if (end.number <= worker->ends_seen) return;
  worker->ends_seen = end.number;
  needs_planning_ = true;
  const Ticket before = outbox_.newest();
  const auto live = worker->live.find(end.run);
  const bool asked_to_stop =
      live != worker->live.end() && live->second.phase == RunPhase::kStopping;
  std::optional<Duration> clean_time;
  double time_factor = 1;
  if (live != worker->live.end()) {
    if (live->second.representative) clean_time = now - live->second.since;
    time_factor = TimeFactorOf(live->second, worker->node, now);
    const bool own_time = clean_time && !live->second.gang_workers;
    if (own_time && end.kind == EndKind::kDone) {
      speeds_->RecordDone(live->second.speed_run, *clean_time, now);
    }
    if (asked_to_stop && end.kind == EndKind::kStopped) RecordStopTime(live->second, now);
    worker->live.erase(live);
  }
  const TaskId& task = end.run.task;
  Job* job = FindJob(task.job);
  const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, task);
  if (step != nullptr && !IsOver(job->progress.state)) {
    const auto current = job->runs.find({task.occurrence, task.step, task.index});
    const bool replaced = current != job->runs.end() && current->second.number != end.run.number;
    RemoveRun(end.run, job);
    MarkBegun(job);
    if (end.kind == EndKind::kDone) {
      health_tracker_.RunDone(worker->node);
      if (clean_time) {
        estimator_.RecordRun(job->spec.queue, step->estimate, Scaled(*clean_time, 1 / time_factor));
      }
      ApplyDone(end, job, wall_ms);
    } else if (end.kind == EndKind::kFailed) {
      if (IsEnabled(Mechanism::kExcludeFailingWorkers)) {
        health_tracker_.RunFailed(worker->node, task.job, now);
      }
      SaveCheckpoint(end.run, end.checkpoint, job);
      ApplyFailure(end, job, wall_ms);
    } else {
      SaveCheckpoint(end.run, end.checkpoint, job);
    }
    if (step->gang && end.kind != EndKind::kDone && !replaced) StopGang(*job, end.run);
  } else if (job != nullptr) {
    RemoveRun(end.run, job);
  }
  // If the end changed nothing, it counts as durable as soon as the job's newest record is durable.
  const Ticket ticket = outbox_.newest() > before ? outbox_.newest()
                        : job != nullptr          ? job->newest_ticket
                                                  : Ticket{0};
  worker->ends.push_back({end.number, ticket});
  LogEvent(LogLevel::kInfo, "run_ended",
           {{"job", task.job},
            {"task", TaskName(task)},
            {"run", end.run.number},
            {"how", EndKindName(end.kind)},
            {"asked", asked_to_stop},
            {"time_factor", time_factor},
            {"node", worker->node}});
  NoteDurable();
}

void PoolPlanner::RecordStopTime(const LiveRun& run, Time now) {
  constexpr int kAveragedStops = 16;
  if (!run.stopping_since) return;
  mean_stop_time_ += (now - *run.stopping_since - mean_stop_time_) / kAveragedStops;
}

void PoolPlanner::ApplyDone(const EndedTask& end, Job* job, int64_t wall_ms) {
  const TaskId& task = end.run.task;
  const StepSpec& step = *FindStep(*job, task);
  if (step.long_running) return;
  const int first = step.gang ? 0 : task.index;
  const int last = step.gang ? step.tasks - 1 : task.index;
  std::set<int>& done = job->progress.done[{task.occurrence, task.step}];
  for (int index = first; index <= last; ++index) done.insert(index);
  job->progress.checkpoints.erase(StoredAt(step, task));
  StopOtherRuns(*job, end.run, first, last);
  if (job->progress.all_done(job->spec)) {
    EndJob(job, JobState::kCompleted, wall_ms);
    return;
  }
  SaveTasks(job, {task.occurrence, task.step}, first, last);
}

// The run was given up when its lease expired, and its end was read after another run had started.
void PoolPlanner::StopOtherRuns(const Job& job, const RunId& done, int first, int last) {
  for (int index = first; index <= last; ++index) {
    const auto other = job.runs.find({done.task.occurrence, done.task.step, index});
    if (other == job.runs.end() || other->second.number == done.number) continue;
    const TaskId task = {job.spec.id, done.task.occurrence, done.task.step, index};
    WorkerState& worker = workers_[other->second.node];
    const auto live = worker.live.find({task, other->second.number});
    if (live == worker.live.end() || live->second.phase == RunPhase::kStopping) continue;
    StopRun(&worker, &live->second);
    LogEvent(LogLevel::kInfo, "run_superseded",
             {{"job", task.job},
              {"task", TaskName(task)},
              {"run", other->second.number},
              {"done_run", done.number},
              {"node", other->second.node},
              {"epoch", epoch_}});
  }
}

void PoolPlanner::ApplyFailure(const EndedTask& end, Job* job, int64_t wall_ms) {
  const TaskId& task = end.run.task;
  const StepSpec& step = *FindStep(*job, task);
  // A long-running task is restarted however often it fails.
  if (step.long_running) return;
  if (job->progress.task_done({task.occurrence, task.step, task.index})) return;
  std::set<int64_t>& failed = job->progress.failures[StoredAt(step, task)];
  if (!failed.insert(end.run.number).second) return;
  if (static_cast<int>(failed.size()) >= Terms(*job).max_attempts) {
    EndJob(job, JobState::kFailed, wall_ms);
    return;
  }
  SaveTask(job, StoredAt(step, task));
}

void PoolPlanner::SaveCheckpoint(const RunId& run, const std::string& checkpoint, Job* job) {
  const StepSpec& step = *FindStep(*job, run.task);
  if (!step.checkpoints || checkpoint.empty()) return;
  if (job->progress.task_done({run.task.occurrence, run.task.step, run.task.index})) return;
  std::string& saved = job->progress.checkpoints[StoredAt(step, run.task)];
  if (saved == checkpoint) return;
  saved = checkpoint;
  SaveTask(job, StoredAt(step, run.task));
}

void PoolPlanner::DropRunsOfUnreadWorker(WorkerState* worker, Time now) {
  if (worker->lists_received || worker->former_lease_until == Time{}) return;
  if (now <= worker->former_lease_until + kMaxOrderDelay + options_.lease_margin) return;
  DropLostRuns(worker, "the worker has restarted and answers no calls", now);
}

void PoolPlanner::DropUnlistedRuns(const AgentReport& report, WorkerState* worker, Time now) {
  // An agent that uses the epoch as its token may pass a start on to the next incarnation after it
  // has read the lists of that one.
  const bool token_is_shared = report.fence == 0;
  std::vector<RunId> over;
  for (auto& [id, run] : worker->live) {
    const bool listed =
        std::any_of(report.running.begin(), report.running.end(),
                    [&id = id](const RunningTask& running) { return running.run == id; });
    if (listed) continue;
    const bool is_start = run.phase == RunPhase::kOrdered || run.phase == RunPhase::kUncertain;
    if (!report.more_ends && !(token_is_shared && is_start)) {
      over.push_back(id);
    } else if (run.phase != RunPhase::kStopping) {
      run.phase = RunPhase::kUncertain;
    }
  }
  DropRuns(over, worker, "the worker has restarted", now);
}

void PoolPlanner::DropLostRuns(WorkerState* worker, const char* why, Time now) {
  std::vector<RunId> runs;
  for (const auto& [id, run] : worker->live) runs.push_back(id);
  DropRuns(runs, worker, why, now);
}

void PoolPlanner::RecordEndOfLeases(const AgentReport& report, Time known_leases_until,
                                    WorkerState* worker, Time now) {
  const bool may_have_lease = worker->facts.reachable || report.lease_left > Duration::zero();
  // The run may have begun, and its lease have ended, since the former report.
  const bool has_started = std::any_of(
      report.results.begin(), report.results.end(),
      [](const StartResult& result) { return result.outcome == StartOutcome::kStarted; });
  if (may_have_lease || has_started) worker->leases_ended_at.reset();
  // A renewed lease does not keep runs alive whose lease has ended, so the first time counts.
  if (may_have_lease || worker->leases_ended_at) return;
  worker->leases_ended_at = std::min(now, known_leases_until);
}

bool PoolPlanner::LapsedRunsHaveEnded(const WorkerState& worker, Time now) const {
  // A new process of the agent does not know the leases that its predecessor has passed on.
  const bool leases_known =
      now > worker.incarnation_since + options_.lease_duration + options_.lease_margin;
  return leases_known && worker.leases_ended_at &&
         now > *worker.leases_ended_at + options_.lease_margin &&
         now > worker.former_lease_until + options_.lease_margin;
}

void PoolPlanner::DropRunsOfUnreachableWorker(WorkerState* worker, Time now) {
  std::vector<RunId> over;
  for (auto& [id, run] : worker->live) {
    if (run.phase == RunPhase::kRunning || run.order_version <= worker->acked_version) {
      over.push_back(id);
    } else {
      StopRun(worker, &run);
    }
  }
  DropRuns(over, worker, "the worker is unreachable and its lease has expired", now);
}

void PoolPlanner::DropRuns(const std::vector<RunId>& runs, WorkerState* worker, const char* why,
                           Time now) {
  if (runs.empty()) return;
  LogEvent(LogLevel::kWarning, "runs_lost",
           {{"node", worker->node},
            {"born_ms", worker->facts.start_time_ms},
            {"fence", worker->fence},
            {"runs", runs.size()},
            {"reason", why},
            {"unheard_s", Seconds(now - worker->last_report)},
            {"lease_over_s", Seconds(now - worker->lease_until)},
            {"reported_lease_over_s", Seconds(now - worker->reported_lease_until)},
            {"former_lease_over_s", SecondsSince(worker->former_lease_until, now)},
            {"epoch", epoch_}});
  std::map<RunId, LiveRun> lost;
  for (const RunId& id : runs) lost.insert(worker->live.extract(id));
  needs_planning_ = true;
  for (const auto& [id, run] : lost) {
    LogEvent(LogLevel::kInfo, "run_given_up",
             {{"job", id.task.job},
              {"task", TaskName(id.task)},
              {"run", id.number},
              {"phase", RunPhaseName(run.phase)},
              {"node", worker->node},
              {"epoch", epoch_}});
    Job* job = FindJob(id.task.job);
    if (job == nullptr) continue;
    RemoveRun(id, job);
    const StepSpec* step = FindStep(*job, id.task);
    if (step == nullptr || IsOver(job->progress.state)) continue;
    SaveCheckpoint(id, run.checkpoint, job);
    if (step->gang) StopGang(*job, id);
    job->steps[{id.task.occurrence, id.task.step}].retry_after = now;
  }
}

}  // namespace turmericshift::pool
