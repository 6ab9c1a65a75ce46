// Computes the load that decides whether a new job is accepted; see servers/admission.
//
// Load pattern: bursts of submissions to a pool with more accepted work than it can do in time. The
// load is therefore computed at most once per planning round, and accepted jobs are added to it.
#include <algorithm>

#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// Agents poll twice a second, and repeat a poll that is unanswered for 1.2 s.
constexpr Duration kKnownWithin = std::chrono::seconds(3);
constexpr double kMillisPerCore = 1000;
// Computing the load of a large pool takes tens of milliseconds. Jobs that are accepted meanwhile
// count at once.
constexpr Duration kLoadInterval = std::chrono::milliseconds(500);

admission::Work WorkOf(const Room& need, bool best_effort, double task_seconds) {
  const double cores = static_cast<double>(need.processor_millis) / kMillisPerCore;
  return {best_effort ? 0 : cores * task_seconds,
          static_cast<double>(need.accelerators) * task_seconds};
}

bool HasLabel(const WorkerState& worker, const std::string& label) {
  const std::vector<std::string>& labels = worker.facts.labels;
  return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool RunsWithoutEnd(const JobSpec& spec) {
  return std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

}  // namespace

std::optional<Error> PoolPlanner::RejectionFor(const JobSpec& spec, Time now) {
  UpdateLoads(kLoadInterval, now);
  const Queue* queue = operator_state_->config.FindQueue(spec.queue);
  const QueueTerms& terms = queue == nullptr ? spec.terms : queue->terms;
  const auto load = loads_.find(terms.service);
  if (load == loads_.end()) return std::nullopt;
  const admission::AdmissionRequest request = RequestFor(spec, terms, now);
  const std::optional<admission::Refusal> refusal = admission_->Decide(request, load->second, now);
  if (!refusal) return std::nullopt;
  rejection_log_.Record(request, *refusal, load->second, epoch_, now);
  Error error(ErrorKind::kOverloaded, Outcome::kNotRun,
              std::string("refused for load: ") + admission::RefusalReasonName(refusal->reason));
  error.set_retry_after(refusal->retry_after);
  return error;
}

Duration PoolPlanner::admission_backlog() const {
  Duration longest{};
  for (const auto& [service, load] : loads_) longest = std::max(longest, load.backlog());
  return longest;
}

admission::AdmissionRequest PoolPlanner::RequestFor(const JobSpec& spec, const QueueTerms& terms,
                                                    Time now) const {
  const auto time_of = [&](const StepSpec& step) { return estimator_.ExpectedTime(spec, step); };
  admission::AdmissionRequest request;
  request.id = spec.id;
  request.workspace = spec.workspace;
  request.queue = spec.queue;
  request.service = terms.service;
  request.priority = terms.priority;
  for (const StepSpec& step : spec.steps) {
    request.work += WorkOf(step.need, step.best_effort, step.tasks * Seconds(time_of(step)));
  }
  request.accelerators = PeakNeed(spec).accelerators;
  request.critical_path = CriticalPath(spec, time_of);
  const JobTiming timing = estimator_.TimingOf(spec, terms, {0, 0}, spec.accepted_ms);
  request.until_due = timing.target_latency + Scaled(timing.critical_path, timing.stretch);
  request.until_worthless = kWorthlessFactor * request.until_due;
  request.exempt = spec.schedule.occurrences > 0 || RunsWithoutEnd(spec);
  request.has_free_room = [this, &spec, &terms, now] { return HasFreeRoom(spec, terms, now); };
  return request;
}

void PoolPlanner::UpdateLoads(Duration max_age, Time now) {
  if (!admission_->needs_load() || !last_round_) return;
  if (loads_at_ && (*loads_at_ >= *last_round_ || now - *loads_at_ < max_age)) return;
  loads_at_ = *last_round_;
  loads_.clear();
  queued_need_.clear();
  service_workers_.clear();
  const double known_agents = KnownAgents(now);
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || operator_state_->zones_out.count(worker.zone) > 0) continue;
    admission::PoolLoad& load = loads_[worker.facts.service];
    // What has started or ended since the round is known, but not what it would have placed.
    load.at = *last_round_;
    load.planner_age = now - started_at_;
    load.known_agents = known_agents;
    const admission::Capacity capacity = CapacityOf(worker, now);
    load.capacity.processors += capacity.processors;
    load.capacity.accelerators += capacity.accelerators;
    ServiceWorkers& workers = service_workers_[worker.facts.service];
    const Room& room = worker.facts.capacity;
    workers.total += room;
    workers.largest = {std::max(workers.largest.processor_millis, room.processor_millis),
                       std::max(workers.largest.memory_mib, room.memory_mib),
                       std::max(workers.largest.accelerators, room.accelerators)};
    workers.labels.insert(worker.facts.labels.begin(), worker.facts.labels.end());
  }
  for (auto& [service, load] : loads_) {
    for (const Workspace& workspace : operator_state_->config.workspaces) {
      load.workspaces[workspace.name].guaranteed_accelerators = workspace.guaranteed_accelerators;
    }
  }
  for (const auto& [id, job] : jobs_) AddJobToLoads(job);
  AddRunsToLoads(now);
}

// A fast worker does more work than a typical one in the same time.
admission::Capacity PoolPlanner::CapacityOf(const WorkerState& worker, Time now) const {
  const Room& capacity = worker.facts.capacity;
  const double factor = speeds_->TimeFactor(worker.node, now);
  return {static_cast<double>(capacity.processor_millis) / kMillisPerCore / factor,
          static_cast<double>(capacity.accelerators) / factor};
}

double PoolPlanner::KnownAgents(Time now) const {
  const size_t listed =
      listed_now_ ? listed_now_->size() : std::max(listed_agents_, workers_.size());
  if (listed == 0) return 0;
  const auto known = std::count_if(workers_.begin(), workers_.end(), [&](const auto& row) {
    const WorkerState& worker = row.second;
    // A new process of an agent reads its worker within this time, unless the worker is lost.
    const bool begins = !worker.facts.reachable && now - worker.incarnation_since < kKnownWithin;
    return IsListed(row.first) && worker.lists_received && !begins &&
           now - worker.last_report < kKnownWithin;
  });
  return static_cast<double>(known) / static_cast<double>(listed);
}

bool PoolPlanner::IsPlaceable(const StepSpec& step, const std::string& service) const {
  const auto found = service_workers_.find(service);
  if (found == service_workers_.end()) return false;
  const ServiceWorkers& workers = found->second;
  if (!step.label.empty() && workers.labels.count(step.label) == 0) return false;
  if (!workers.largest.Holds(step.need)) return false;
  return !step.gang || FitCount(workers.total, step.need, step.tasks) == step.tasks;
}

// How much a stored checkpoint saves is not known. The forecast has to be optimistic, so tasks that
// have one count as nearly done until they run. The work of later occurrences has no known begin.
void PoolPlanner::AddJobToLoads(const Job& job) {
  if (IsOver(job.progress.state)) return;
  const QueueTerms& terms = Terms(job);
  const auto load = loads_.find(terms.service);
  if (load == loads_.end()) return;
  admission::WorkspaceLoad& workspace = load->second.workspaces[job.spec.workspace];
  if (job.spec.schedule.occurrences > 0) return;
  // Work that no worker can do keeps nobody waiting.
  const bool placeable =
      std::all_of(job.spec.steps.begin(), job.spec.steps.end(),
                  [&](const StepSpec& step) { return IsPlaceable(step, terms.service); });
  if (!placeable) return;
  const Room peak = PeakNeed(job.spec);
  if (terms.priority == 0) workspace.urgent_accelerators += peak.accelerators;
  if (job.progress.state == JobState::kQueued) queued_need_[terms.service][terms.priority] += peak;
  std::vector<int> started(job.spec.steps.size());
  for (const auto& [place, run] : job.runs) ++started[static_cast<size_t>(place.step)];
  for (const auto& [place, checkpoint] : job.progress.checkpoints) {
    const size_t step = static_cast<size_t>(place.step);
    if (step >= started.size()) continue;
    if (job.spec.steps[step].gang) {
      started[step] = job.spec.steps[step].tasks;
    } else if (job.runs.count(place) == 0) {
      ++started[step];
    }
  }
  admission::Work left;
  for (size_t index = 0; index < job.spec.steps.size(); ++index) {
    const StepSpec& step = job.spec.steps[index];
    if (step.long_running) continue;
    const int done = job.progress.done_count({0, static_cast<int>(index)});
    const int waiting = std::max(step.tasks - done - started[index], 0);
    const double seconds = Seconds(estimator_.ExpectedTime(job.spec, step));
    left += WorkOf(step.need, step.best_effort, waiting * seconds);
  }
  workspace.by_priority[terms.priority] += left;
  if (IsOverdue(job, terms)) workspace.overdue[terms.priority] += left;
}

bool PoolPlanner::IsOverdue(const Job& job, const QueueTerms& terms) const {
  StepPlace place;
  const int last = static_cast<int>(job.spec.steps.size()) - 1;
  while (place.step < last && job.progress.step_done(job.spec, place)) ++place.step;
  const JobTiming timing = estimator_.TimingOf(job.spec, terms, place, last_round_wall_ms_);
  const Duration due = timing.target_latency + Scaled(timing.critical_path, timing.stretch);
  return timing.elapsed + timing.remaining > due;
}

void PoolPlanner::AddRunsToLoads(Time now) {
  for (const auto& [node, worker] : workers_) {
    const auto load = loads_.find(worker.facts.service);
    if (load == loads_.end()) continue;
    for (const auto& [id, run] : worker.live) {
      if (run.phase == RunPhase::kStopping) continue;
      const auto job = jobs_.find(id.task.job);
      if (job == jobs_.end() || IsOver(job->second.progress.state)) continue;
      const StepSpec* step = FindStep(job->second, id.task);
      if (step == nullptr || step->long_running) continue;
      const double typical_seconds =
          Seconds(RemainingTime(run, now)) / TimeFactorOf(run, node, now);
      load->second.workspaces[job->second.spec.workspace]
          .by_priority[Terms(job->second).priority] +=
          WorkOf(run.need, run.best_effort, typical_seconds);
    }
  }
}

// Room that is left while jobs wait for it is not free: jobs would be accepted for it again and
// again.
bool PoolPlanner::HasFreeRoom(const JobSpec& spec, const QueueTerms& terms, Time now) const {
  std::vector<const WorkerState*> candidates;
  Room free;
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || worker.facts.service != terms.service) continue;
    if (operator_state_->zones_out.count(worker.zone) > 0) continue;
    if (health_tracker_.IsQuarantined(node, now)) continue;
    candidates.push_back(&worker);
    free += worker.remaining_room;
  }
  const auto queued = queued_need_.find(terms.service);
  if (queued != queued_need_.end()) {
    for (const auto& [priority, need] : queued->second) {
      if (priority <= terms.priority) free -= need;
    }
  }
  return free.Holds(PeakNeed(spec)) &&
         std::all_of(spec.steps.begin(), spec.steps.end(), [&](const StepSpec& step) {
           return !step.after.empty() ||
                  StepFits(step, terms.priority, terms.service, candidates, now);
         });
}

bool PoolPlanner::StepFits(const StepSpec& step, int priority, const std::string& service,
                           const std::vector<const WorkerState*>& candidates, Time now) const {
  int fitting = 0;
  int on_slow_workers = 0;
  for (const WorkerState* worker : candidates) {
    if (!HasLabel(*worker, step.label)) continue;
    const int most = step.max_per_worker > 0 ? step.max_per_worker : step.tasks;
    const int count = FitCount(worker->remaining_room, step.need, most);
    fitting += count;
    if (!IsFastEnough(worker->node, now)) on_slow_workers += count;
  }
  if (fitting < step.tasks) return false;
  if (priority == 0 || !IsEnabled(Mechanism::kUrgentReserve)) return true;
  const ServiceRoom& room = ServiceRoomOf(service);
  if (room.half_idle_since) return true;
  const int outside = reserve_.TasksOutsideReserve(service, room.fast, step.need, step.tasks, now);
  return on_slow_workers + outside >= step.tasks;
}

}  // namespace turmericshift::pool
