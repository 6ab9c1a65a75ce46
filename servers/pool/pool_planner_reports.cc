// What agents report: which workers there are, what runs, what became of starts, how runs ended.
#include <algorithm>
#include <deque>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// A gang's failures and saved state are kept at its first task.
TaskPlace KeptAt(const StepSpec& step, const TaskId& task) {
  return {task.occurrence, task.step, step.gang ? 0 : task.index};
}

// Processes of one agent that are remembered as replaced. A report of one is on its way for seconds
// at most, in which a process that crashes at each start is replaced some ten times.
constexpr size_t kFormerIncarnations = 16;

// After a start was turned away: the cause is mostly over within this.
constexpr Duration kPauseAfterRefusal = std::chrono::milliseconds(150);

}  // namespace

void PoolPlanner::ApplyReport(const AgentReport& report, int64_t wall_ms, Time now) {
  WorkerState& worker = workers_[report.node];
  worker.node = report.node;
  if (!AcceptIncarnation(report, &worker, now)) return;
  if (report.sequence <= worker.sequence) return;
  worker.sequence = report.sequence;
  lateness_.Returned(report.node, now);
  if (report.wait > Duration::zero()) lateness_.Heard(report.node, now + report.wait);
  worker.zone = report.zone;
  worker.last_report = now;
  // The answer will grant a lease from here on, and a planner before may have granted one just now.
  worker.lease_until = std::max(worker.lease_until, now + options_.lease);
  worker.version_seen = report.orders_seen;
  TakeFacts(report, &worker, now);
  if (report.epoch != epoch_ || report.worker.start_time_ms != worker.facts.start_time_ms) return;
  unheard_.erase(report.node);
  if (!worker.known) {
    worker.known = true;
    changed_ = true;
    LogEvent(LogLevel::kInfo, "worker_known",
             {{"node", report.node},
              {"worker", worker.facts.id},
              {"running", report.running.size()},
              {"unheard", unheard_.size()},
              {"epoch", epoch_}});
  }
  // A new process of the agent does not know what leases the one before has passed on.
  const bool leases_known = now > worker.incarnation_since + options_.lease + options_.lease_margin;
  const bool over =
      !worker.facts.reachable && leases_known && report.lease_left <= Duration::zero();
  // The list of a worker that is gone is an old one. Taken for news, each report would have its
  // runs stopped anew, be answered at once and follow the next one within milliseconds.
  if (!over) TakeRunning(report, &worker, now);
  for (const StartResult& result : report.results) TakeResult(result, &worker, now);
  for (const EndedTask& end : report.ended) TakeEnd(end, &worker, wall_ms, now);
  StopUnclearRuns(&worker);
  JudgeStandstill(worker, now);
  if (over) LoseRuns(&worker, "the worker is away and its lease has run out", now);
}

bool PoolPlanner::AcceptIncarnation(const AgentReport& report, WorkerState* worker, Time now) {
  if (worker->incarnation == report.incarnation) return true;
  std::deque<std::string>& former = worker->former_incarnations;
  if (std::find(former.begin(), former.end(), report.incarnation) != former.end()) {
    LogEvent(LogLevel::kWarning, "report_late",
             {{"node", report.node}, {"incarnation", report.incarnation}});
    return false;
  }
  if (!worker->incarnation.empty()) former.push_back(worker->incarnation);
  if (former.size() > kFormerIncarnations) former.pop_front();
  // A new process of the agent has seen none of the orders.
  worker->incarnation = report.incarnation;
  worker->incarnation_since = now;
  worker->sequence = -1;
  NoteNews(worker);
  for (auto& [id, run] : worker->live) {
    if (run.phase == RunPhase::kOrdered) run.phase = RunPhase::kUncertain;
  }
  return true;
}

void PoolPlanner::TakeFacts(const AgentReport& report, WorkerState* worker, Time now) {
  const WorkerFacts& facts = report.worker;
  if (facts.start_time_ms != worker->facts.start_time_ms) {
    // An agent that has just started does not know its worker yet; nothing has changed there.
    if (facts.start_time_ms == 0) return;
    if (worker->facts.start_time_ms != 0) LoseRuns(worker, "the worker began a new life", now);
    worker->facts = facts;
    changed_ = true;
    worker->ends.clear();
    worker->ends_seen = 0;
    worker->acked_ends = 0;
    NoteNews(worker);
    judge_.Forget(worker->node);
    LogEvent(LogLevel::kInfo, "worker_reported",
             {{"node", report.node},
              {"worker", facts.id},
              {"rack", facts.rack},
              {"accelerators", facts.capacity.accelerators},
              {"processor_millis", facts.capacity.processor_millis}});
    return;
  }
  if (facts.id.empty()) {
    worker->facts.reachable = facts.reachable;
    return;
  }
  if (facts.draining && !worker->facts.draining) {
    LogEvent(LogLevel::kInfo, "worker_draining",
             {{"node", report.node}, {"leaves_in_s", Seconds(facts.leaves_in)}});
  }
  changed_ = changed_ || facts.draining != worker->facts.draining ||
             facts.reachable != worker->facts.reachable;
  worker->facts = facts;
}

void PoolPlanner::TakeRunning(const AgentReport& report, WorkerState* worker, Time now) {
  for (const RunningTask& running : report.running) {
    const auto known = worker->live.find(running.run);
    if (known == worker->live.end()) {
      Adopt(running, worker, now);
      continue;
    }
    known->second.checkpoint = running.checkpoint;
    known->second.progress.Note(running.percent, now);
    const RunPhase phase = known->second.phase;
    if (phase != RunPhase::kOrdered && phase != RunPhase::kUncertain) continue;
    known->second.phase = RunPhase::kRunning;
    Job* job = FindJob(running.run.task.job);
    if (job != nullptr) MarkRunning(job);
  }
}

// A worker that is stuck shows nothing but that its runs get no further; it seems to have room, and
// more would be put there to stand still as well.
void PoolPlanner::JudgeStandstill(const WorkerState& worker, Time now) {
  if (!worker.facts.reachable) return;
  int running = 0;
  for (const auto& [id, run] : worker.live) {
    if (run.phase != RunPhase::kRunning) continue;
    ++running;
    if (!run.progress.StandsStill(run.estimate, now)) return;
  }
  if (running > 0 && Uses(Mechanism::kExcludeStalledWorkers)) judge_.StandsStill(worker.node, now);
}

// What the worker lists neither as running nor as ended may still begin: the call that the agent's
// process before sent can be carried out seconds later. A stop makes the worker refuse it then.
void PoolPlanner::StopUnclearRuns(WorkerState* worker) {
  if (!worker->facts.reachable) return;
  for (auto& [id, run] : worker->live) {
    if (run.phase != RunPhase::kUncertain) continue;
    StopRun(worker, &run);
    Job* job = FindJob(id.task.job);
    const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, id.task);
    if (step != nullptr && step->gang) StopGang(*job, id);
  }
}

void PoolPlanner::Adopt(const RunningTask& running, WorkerState* worker, Time now) {
  const TaskId& task = running.run.task;
  LiveRun live;
  live.run = running.run;
  live.since = now;
  live.checkpoint = running.checkpoint;
  live.progress.Note(running.percent, now);
  Job* job = FindJob(task.job);
  const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, task);
  const TaskPlace place = {task.occurrence, task.step, task.index};
  const bool wanted = step != nullptr && !IsOver(job->progress.state) &&
                      !job->progress.task_done(place) && job->runs.count(place) == 0;
  if (step != nullptr) {
    live.need = step->need;
    live.best_effort = step->best_effort;
    live.estimate = step->estimate;
    live.saved = step->checkpoints;
  }
  live.phase = wanted ? RunPhase::kRunning : RunPhase::kStopping;
  if (wanted) {
    job->runs[place] = {running.run.number, worker->node};
    MarkRunning(job);
  }
  NoteNews(worker);
  changed_ = true;
  worker->live[running.run] = live;
  LogEvent(LogLevel::kInfo, wanted ? "run_adopted" : "run_unwanted",
           {{"task", TaskName(task)},
            {"run", running.run.number},
            {"node", worker->node},
            {"epoch", epoch_}});
}

void PoolPlanner::TakeResult(const StartResult& result, WorkerState* worker, Time now) {
  const auto live = worker->live.find(result.run);
  if (live == worker->live.end()) return;
  Job* job = FindJob(result.run.task.job);
  if (result.outcome == StartOutcome::kStarted) {
    if (live->second.phase == RunPhase::kOrdered) live->second.phase = RunPhase::kRunning;
    if (job != nullptr) MarkRunning(job);
    return;
  }
  const bool was_ordered = live->second.phase == RunPhase::kOrdered;
  worker->live.erase(live);
  changed_ = true;
  if (job == nullptr) return;
  const TaskId& task = result.run.task;
  const StepSpec* step = FindStep(*job, task);
  ForgetRun(result.run, job);
  if (!was_ordered) return;
  if (result.outcome == StartOutcome::kTicketRefused) {
    advice_.TicketRefused({task.job, {task.occurrence, task.step}}, AdvisedWorkerOf(*worker));
  }
  if (result.outcome == StartOutcome::kNotRun) judge_.OrderFailed(worker->node, now);
  job->steps[{task.occurrence, task.step}].not_before = now + kPauseAfterRefusal;
  if (step != nullptr && step->gang) StopGang(*job, result.run);
  LogEvent(LogLevel::kWarning, "start_not_taken",
           {{"job", task.job},
            {"task", TaskName(task)},
            {"run", result.run.number},
            {"node", worker->node},
            {"reason", result.reason}});
}

void PoolPlanner::TakeEnd(const EndedTask& end, WorkerState* worker, int64_t wall_ms, Time now) {
  if (end.number <= worker->ends_seen) return;
  worker->ends_seen = end.number;
  changed_ = true;
  const Ticket before = outbox_.newest();
  const auto live = worker->live.find(end.run);
  const bool asked_to_stop =
      live != worker->live.end() && live->second.phase == RunPhase::kStopping;
  std::optional<Duration> clean_time;
  if (live != worker->live.end()) {
    if (live->second.representative) clean_time = now - live->second.since;
    if (asked_to_stop && end.kind == EndKind::kStopped) NoteStop(live->second, now);
    worker->live.erase(live);
  }
  const TaskId& task = end.run.task;
  Job* job = FindJob(task.job);
  const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, task);
  if (step != nullptr && !IsOver(job->progress.state)) {
    const auto current = job->runs.find({task.occurrence, task.step, task.index});
    const bool replaced = current != job->runs.end() && current->second.number != end.run.number;
    ForgetRun(end.run, job);
    if (end.kind == EndKind::kDone) {
      judge_.RunDone(worker->node);
      if (clean_time) appraiser_.RecordRun(job->spec.queue, step->estimate, *clean_time);
      // A run that was given up when its lease ran out; another has been started since.
      if (!replaced) TakeDone(end, job, wall_ms);
    } else if (end.kind == EndKind::kFailed) {
      if (Uses(Mechanism::kExcludeFailingWorkers)) judge_.RunFailed(worker->node, task.job, now);
      SaveCheckpoint(end.run, end.checkpoint, job);
      TakeFailed(end, job, wall_ms);
    } else {
      SaveCheckpoint(end.run, end.checkpoint, job);
    }
    if (step->gang && end.kind != EndKind::kDone && !replaced) StopGang(*job, end.run);
  } else if (job != nullptr) {
    ForgetRun(end.run, job);
  }
  // Ends that changed nothing are kept as soon as all before them are.
  const Ticket ticket = outbox_.newest() > before ? outbox_.newest()
                        : job != nullptr          ? job->changed
                                                  : Ticket{0};
  worker->ends.push_back({end.number, ticket});
  LogEvent(LogLevel::kInfo, "run_ended",
           {{"job", task.job},
            {"task", TaskName(task)},
            {"run", end.run.number},
            {"how", EndKindName(end.kind)},
            {"asked", asked_to_stop},
            {"node", worker->node}});
  NoteDurable();
}

void PoolPlanner::NoteStop(const LiveRun& run, Time now) {
  constexpr int kMemory = 16;
  if (!run.stopping_since) return;
  stop_takes_ += (now - *run.stopping_since - stop_takes_) / kMemory;
}

void PoolPlanner::TakeDone(const EndedTask& end, Job* job, int64_t wall_ms) {
  const TaskId& task = end.run.task;
  const StepSpec& step = *FindStep(*job, task);
  if (step.long_running) return;
  std::set<int>& done = job->progress.done[{task.occurrence, task.step}];
  if (step.gang) {
    for (int index = 0; index < step.tasks; ++index) done.insert(index);
  } else {
    done.insert(task.index);
  }
  job->progress.checkpoints.erase(KeptAt(step, task));
  if (job->progress.all_done(job->spec)) {
    EndJob(job, JobState::kCompleted, wall_ms);
    return;
  }
  if (job->progress.state == JobState::kQueued) job->progress.state = JobState::kRunning;
  Save(job);
}

void PoolPlanner::TakeFailed(const EndedTask& end, Job* job, int64_t wall_ms) {
  const TaskId& task = end.run.task;
  const StepSpec& step = *FindStep(*job, task);
  // A lasting task is started again however often it fails.
  if (step.long_running) return;
  std::set<int64_t>& failed = job->progress.failures[KeptAt(step, task)];
  if (!failed.insert(end.run.number).second) return;
  if (static_cast<int>(failed.size()) >= Terms(*job).max_attempts) {
    EndJob(job, JobState::kFailed, wall_ms);
    return;
  }
  Save(job);
}

void PoolPlanner::SaveCheckpoint(const RunId& run, const std::string& checkpoint, Job* job) {
  const StepSpec& step = *FindStep(*job, run.task);
  if (!step.checkpoints || checkpoint.empty()) return;
  std::string& saved = job->progress.checkpoints[KeptAt(step, run.task)];
  if (saved == checkpoint) return;
  saved = checkpoint;
  Save(job);
}

void PoolPlanner::LoseRuns(WorkerState* worker, const char* why, Time now) {
  if (worker->live.empty()) return;
  LogEvent(LogLevel::kWarning, "runs_lost",
           {{"node", worker->node}, {"runs", worker->live.size()}, {"reason", why}});
  const std::map<RunId, LiveRun> lost = std::move(worker->live);
  worker->live.clear();
  changed_ = true;
  for (const auto& [id, run] : lost) {
    Job* job = FindJob(id.task.job);
    if (job == nullptr) continue;
    ForgetRun(id, job);
    const StepSpec* step = FindStep(*job, id.task);
    if (step == nullptr || IsOver(job->progress.state)) continue;
    SaveCheckpoint(id, run.checkpoint, job);
    if (step->gang) StopGang(*job, id);
    job->steps[{id.task.occurrence, id.task.step}].not_before = now;
  }
}

}  // namespace turmericshift::pool
