// Decides which tasks start next and where. Preemption: pool_planner_reclaiming.cc; room reserved
// for waiting units: pool_planner_backfilling.cc.
//
// Load patterns: urgent jobs with little slack in a pool filled by jobs with more slack (these
// leave room for as long as they can wait); more work than the pool can carry. Within a priority,
// jobs that can still be on time go before jobs that cannot, except for jobs past their due time
// that would soon be worthless. Workers that fail their tasks get no new ones, and a job's last
// attempt avoids workers that failed recently.
#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// When several workers are faulty at the same time, a job can hit three of them in a row and fail
// without a fault of its own. Its last attempt waits this long for a worker without recent
// failures; less than the 3 s after which a job that waits beside free workers is counted as
// forgotten by the scheduler.
constexpr Duration kLastAttemptWait = std::chrono::milliseconds(2200);
// A job past its due time is started first once it would become worthless within this time, which
// is usually enough to find room for it. The jobs that it overtakes still have slack.
constexpr Duration kExpiringWindow = std::chrono::milliseconds(1500);
// With this share of the pool free, no job may wait for a better place: a job that waits for 3 s
// while less than half of the pool is in use is counted as forgotten by the scheduler.
constexpr double kMostlyIdleShare = 0.4;
// Jobs that wait to leave room for future urgent jobs must not wait 3 s either while nearly half of
// all workers, including currently unusable ones, are idle.
constexpr double kHalfIdleShare = 0.45;
constexpr Duration kMaxWaitWhenIdle = std::chrono::milliseconds(2300);
// A best-effort task waits this long for a worker with all processors that it can use; then it
// begins with those that it gets.
constexpr Duration kMaxWaitForProcessors = std::chrono::milliseconds(2200);
// Choosing victims is the most expensive decision: with 600 runs on 67 workers it takes 2 ms of a
// processor of which an entry may have an eighth. It is therefore made for few units per round, and
// for each unit only every kReclaimInterval; units left out are tried again within the bound on
// reclaiming.
constexpr int kReclaimsPerRound = 2;
// Determining why a unit waits takes several placements, which only the log needs.
constexpr int kWaitChecksPerRound = 2;
// Longest time between two rounds of planning.
constexpr Duration kMaxRoundInterval = std::chrono::milliseconds(100);
// Interval at which the load of the pool is computed for the metrics while no job is submitted.
constexpr Duration kIdleLoadInterval = std::chrono::seconds(1);
// Safety factor on run times when a task is to end before a gang begins.
constexpr double kEstimateMargin = 1.1;

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

int64_t Millis(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

// Free share of the pool's scarcest resource.
double FreeShare(const Room& free, const Room& total) {
  const auto share = [](int64_t part, int64_t all) {
    return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0.0;
  };
  return std::min(share(free.accelerators, total.accelerators),
                  share(free.processor_millis, total.processor_millis));
}

void LogReleases(const std::vector<releases::ReleaseChange>& changes, int64_t epoch) {
  for (const releases::ReleaseChange& change : changes) {
    LogEvent(LogLevel::kInfo, change.began ? "release_began" : "release_ended",
             {{"service", change.service},
              {"version", change.version},
              {"reason", change.began ? releases::ReleaseSignName(change.sign)
                                      : releases::ReleaseEndName(change.end)},
              {"outdated", change.outdated},
              {"updated", change.updated},
              {"evidence_age_s", Seconds(change.evidence_age)},
              {"epoch", epoch}});
  }
}

}  // namespace

bool PoolPlanner::LeadershipConfirmed(Time now) const {
  return leadership_confirmed_ && now - *leadership_confirmed_ < options_.confirm_age_limit;
}

bool PoolPlanner::MayStart(Time now) const {
  return !releasing_ && LeadershipConfirmed(now) && operator_state_read_ &&
         now - *operator_state_read_ < options_.document_age_limit;
}

bool PoolPlanner::MayStartInherited(Time now) const {
  if (!agents_with_more_ends_.empty()) return false;
  return unreported_agents_.empty() || now >= inherited_start_time_;
}

void PoolPlanner::Plan(int64_t wall_ms, Time now) {
  planner_lag_.Update(now);
  ExpireLeases(now);
  RevokeOverdueStarts(now);
  RemoveExpiredJobs(wall_ms);
  if (!releasing_) PutLearned(learned_state_.TakeDue(wall_ms, now));
  if (!MayStart(now) || !RoundIsDue(now)) return;
  BeginRound(now);
  last_round_wall_ms_ = wall_ms;
  MoveRunsOfLeavingWorkers(now);
  const std::vector<Unit> units = CollectUnits(wall_ms, now);
  LogQueue(units, now);
  for (const Unit& unit : units) {
    if (!planner_lag_.MayStartMore(starts_in_flight_)) break;
    if (!TryReservedRoom(unit, now)) TryUnit(unit, wall_ms, now);
  }
  reclaim_reservations_.RemoveExpired(now);
  UpdateLoads(kIdleLoadInterval, now);
}

void PoolPlanner::LogQueue(const std::vector<Unit>& units, Time now) {
  if (units.empty() || !queue_log_.IsDue(now)) return;
  QueueSnapshot snapshot;
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || health_tracker_.IsQuarantined(node, now)) continue;
    if (operator_state_->zones_out.count(worker.zone) > 0) continue;
    ++snapshot.workers;
    snapshot.room.total += worker.facts.capacity;
    snapshot.room.free += worker.remaining_room;
  }
  for (const Unit& unit : units) ++snapshot.waiting[unit.priority];
  snapshot.lag = planner_lag_.lag();
  snapshot.starts_in_flight = starts_in_flight_;
  snapshot.epoch = epoch_;
  queue_log_.Log(snapshot, now);
}

bool PoolPlanner::RoundIsDue(Time now) const {
  // Delays, due times and reservations expire without any other event.
  return needs_planning_ || !last_round_ || now - *last_round_ >= kMaxRoundInterval;
}

Occupancy PoolPlanner::OccupancyOf(const WorkerState& worker) {
  if (worker.live.empty()) return Occupancy::kNone;
  const bool resumable = std::all_of(worker.live.begin(), worker.live.end(),
                                     [](const auto& row) { return row.second.resumable; });
  return resumable ? Occupancy::kResumable : Occupancy::kNotResumable;
}

void PoolPlanner::BeginRound(Time now) {
  needs_planning_ = false;
  last_round_ = now;
  reclaims_left_ = kReclaimsPerRound;
  wait_checks_left_ = kWaitChecksPerRound;
  FindServicesWithoutHealthyWorkers(now);
  backfill_reservations_.Clear();
  room_releases_.clear();
  advice_.BeginRound();
  UpdateSpeeds(now);
  LogReleases(releases_->Update(now), epoch_);
  Room all;
  std::map<std::string, Room> capacity;
  starts_in_flight_ = 0;
  for (auto& [node, worker] : workers_) {
    for (const auto& [id, run] : worker.live) {
      starts_in_flight_ += run.phase == RunPhase::kOrdered;
    }
    worker.remaining_room = worker.free();
    worker.occupancy = OccupancyOf(worker);
    capacity[worker.facts.service] += worker.facts.capacity;
    all += worker.facts.capacity;
  }
  ComputeServiceRooms(now);
  estimator_.SetCapacity(capacity);
  estimator_.ResetJobs();
  for (const auto& [id, job] : jobs_) estimator_.RecordJob(job.spec);
  urgent_use_.clear();
  urgent_need_.clear();
  std::map<std::string, Room> demand;
  for (const auto& [id, job] : jobs_) {
    if (Terms(job).priority != 0 || IsOver(job.progress.state)) continue;
    const Room need = PeakNeed(job.spec);
    demand[Terms(job).service] += need;
    urgent_need_[job.spec.workspace] += need.accelerators;
    int64_t& use = urgent_use_[job.spec.workspace];
    for (const auto& [place, run] : job.runs) {
      use += job.spec.steps[static_cast<size_t>(place.step)].need.accelerators;
    }
  }
  // The demand of all jobs is too large a share of the few workers that a new planner knows.
  if (KnowsMostAgents(now)) {
    for (const auto& [service, room] : service_rooms_) {
      reserve_.RecordDemand(service, room.fast, demand[service], now);
    }
  }
  RecordWorkspaceUse(all, now);
}

void PoolPlanner::ComputeServiceRooms(Time now) {
  struct Sums {
    PoolRoom all;
    PoolRoom usable;
    PoolRoom fast;
  };
  const auto add = [](const WorkerState& worker, PoolRoom* sum) {
    sum->total += worker.facts.capacity;
    sum->free += worker.remaining_room;
  };
  std::map<std::string, Sums> sums;
  free_room_ = Room();
  for (auto& [node, worker] : workers_) {
    Sums& service = sums[worker.facts.service];
    add(worker, &service.all);
    if (!worker.usable(now)) continue;
    add(worker, &service.usable);
    free_room_ += worker.remaining_room;
    worker.fast_enough = IsFastEnough(node, now);
    if (worker.fast_enough) add(worker, &service.fast);
  }
  std::map<std::string, ServiceRoom> rooms;
  for (const auto& [service, sum] : sums) {
    ServiceRoom& room = rooms[service];
    room.fast = sum.fast;
    room.mostly_idle = FreeShare(sum.usable.free, sum.usable.total) > kMostlyIdleShare;
    if (FreeShare(sum.all.free, sum.all.total) <= kHalfIdleShare) continue;
    room.half_idle_since = ServiceRoomOf(service).half_idle_since.value_or(now);
  }
  service_rooms_ = std::move(rooms);
}

const PoolPlanner::ServiceRoom& PoolPlanner::ServiceRoomOf(const std::string& service) const {
  static const ServiceRoom kNone;
  const auto found = service_rooms_.find(service);
  return found == service_rooms_.end() ? kNone : found->second;
}

void PoolPlanner::ExpireLeases(Time now) {
  for (auto& [node, worker] : workers_) {
    // Reports that a lagging planner has not read yet do not mean that the agent is silent.
    const Time lease_until = worker.AllLeasesUntil(options_.longest_lease);
    const bool expired = now > lease_until + options_.lease_margin + planner_lag_.lag();
    if (worker.lists_received && LapsedRunsHaveEnded(worker, now)) {
      DropRunsOfUnreachableWorker(&worker, now);
    }
    const bool known = worker.lists_received || !worker.live.empty();
    if (!known || !expired) continue;
    DropLostRuns(&worker, "no report from the agent within its lease", now);
    // Calls for a former incarnation are executed until the lists of the present one are read.
    if (worker.lists_received) worker.former_lease_until = Time{};
    worker.lists_received = false;
    agents_with_more_ends_.erase(node);
  }
}

Duration PoolPlanner::StartTimeout(bool gang) const {
  if (!gang) return options_.start_timeout + planner_lag_.lag();
  return std::min(options_.gang_start_timeout + planner_lag_.lag(),
                  options_.max_gang_start_timeout);
}

void PoolPlanner::RevokeOverdueStarts(Time now) {
  for (auto& [node, worker] : workers_) {
    for (auto& [id, run] : worker.live) {
      if (run.phase != RunPhase::kOrdered) continue;
      Job* job = FindJob(id.task.job);
      const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, id.task);
      const bool gang = step != nullptr && step->gang;
      if (now - run.since < StartTimeout(gang)) continue;
      LogEvent(LogLevel::kWarning, "start_late",
               {{"job", id.task.job},
                {"task", TaskName(id.task)},
                {"node", node},
                {"unheard_s", Seconds(now - worker.last_report)},
                {"planner_late_s", Seconds(planner_lag_.lag())}});
      if (planner_lag_.lag() == Duration::zero()) health_tracker_.OrderFailed(node, now);
      StopRun(&worker, &run);
      if (gang) StopGang(*job, id);
    }
  }
}

std::vector<PoolPlanner::Unit> PoolPlanner::CollectUnits(int64_t wall_ms, Time now) {
  std::vector<Unit> units;
  for (auto& [id, job] : jobs_) {
    if (IsOver(job.progress.state)) continue;
    if (job.inherited && !MayStartInherited(now)) continue;
    const Schedule& schedule = job.spec.schedule;
    for (int occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
      if (schedule.first_due_ms + occurrence * schedule.interval_ms > wall_ms) break;
      for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
        CollectStep(&job, {occurrence, step}, wall_ms, now, &units);
      }
    }
  }
  SetOveruseLevels(&units, now);
  const auto rank = [](const Unit& unit) {
    return std::make_tuple(unit.priority, !unit.within_guarantee, unit.overuse_level, unit.prospect,
                           unit.due_ms);
  };
  std::stable_sort(units.begin(), units.end(),
                   [&](const Unit& left, const Unit& right) { return rank(left) < rank(right); });
  return units;
}

PoolPlanner::Prospect PoolPlanner::ProspectOf(const Unit& unit, int64_t wall_ms) const {
  const int64_t over_ms = wall_ms + Millis(unit.timing.remaining);
  if (over_ms <= unit.due_ms) return Prospect::kOnTime;
  const int64_t worthless_ms = unit.start_ms + kWorthlessFactor * (unit.due_ms - unit.start_ms);
  if (over_ms > worthless_ms) return Prospect::kWorthless;
  if (!IsEnabled(Mechanism::kExpiringJobsFirst)) return Prospect::kPastDue;
  return over_ms + Millis(kExpiringWindow) > worthless_ms ? Prospect::kExpiring
                                                          : Prospect::kPastDue;
}

void PoolPlanner::CollectStep(Job* job, const StepPlace& place, int64_t wall_ms, Time now,
                              std::vector<Unit>* units) {
  const StepSpec& step = job->spec.steps[static_cast<size_t>(place.step)];
  if (job->progress.step_done(job->spec, place)) return;
  if (!job->progress.dependencies_done(job->spec, place)) return;
  Unit unit;
  for (int index = 0; index < step.tasks; ++index) {
    const TaskPlace task = {place.occurrence, place.step, index};
    if (job->runs.count(task) > 0) {
      // A gang starts again only after its last run has ended completely.
      if (step.gang) return;
      continue;
    }
    if (!job->progress.task_done(task)) unit.waiting.push_back(index);
  }
  if (unit.waiting.empty()) return;
  StepState& state = job->steps[place];
  if (!state.ready_since) state.ready_since = now;
  if (now < state.retry_after) return;
  const QueueTerms& terms = Terms(*job);
  unit.job = job;
  unit.place = place;
  unit.priority = terms.priority;
  unit.start_ms = ReleaseMs(job->spec, place.occurrence);
  unit.timing = estimator_.TimingOf(job->spec, terms, place, wall_ms);
  unit.expected = estimator_.ExpectedTime(job->spec, step);
  unit.due_ms = unit.start_ms + Millis(terms.target_latency) +
                Millis(Scaled(unit.timing.critical_path, terms.stretch));
  unit.prospect = ProspectOf(unit, wall_ms);
  if (speeds_->uneven()) {
    const Duration until_due = std::chrono::milliseconds(unit.due_ms - wall_ms);
    unit.speed = speeds::LimitsFor(terms.priority == 0, until_due, unit.timing.remaining);
  }
  if (terms.priority == 0) {
    const int64_t wanted = step.need.accelerators * static_cast<int64_t>(unit.waiting.size());
    unit.within_guarantee =
        UrgentUse(job->spec.workspace) + wanted <= GuaranteedFor(job->spec.workspace);
  }
  units->push_back(std::move(unit));
}

// Where every worker of a service fails runs, the cause is more likely in the tasks.
void PoolPlanner::FindServicesWithoutHealthyWorkers(Time now) {
  services_without_healthy_workers_.clear();
  std::set<std::string> healthy;
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || operator_state_->zones_out.count(worker.zone) > 0) continue;
    services_without_healthy_workers_.insert(worker.facts.service);
    if (!health_tracker_.IsQuarantined(node, now)) healthy.insert(worker.facts.service);
  }
  for (const std::string& service : healthy) services_without_healthy_workers_.erase(service);
}

// Other tasks wait: each failed run uses up one of their attempts.
bool PoolPlanner::IsLeftOut(const WorkerState& worker, const StepSpec& step, Time now) const {
  if (!health_tracker_.IsQuarantined(worker.node, now)) return false;
  if (!step.long_running || health_tracker_.IsPaused(worker.node, now)) return true;
  return services_without_healthy_workers_.count(worker.facts.service) == 0;
}

int PoolPlanner::TasksOnWorker(const Job& job, const StepPlace& place,
                               const std::string& node) const {
  return static_cast<int>(std::count_if(job.runs.begin(), job.runs.end(), [&](const auto& row) {
    return row.first.occurrence == place.occurrence && row.first.step == place.step &&
           row.second.node == node;
  }));
}

std::vector<WorkerRoom> PoolPlanner::RoomsFor(const Unit& unit, bool empty, Time now) const {
  const StepSpec& step = unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  const std::string& service = Terms(*unit.job).service;
  const bool only_healthy =
      !empty && IsEnabled(Mechanism::kProtectLastAttempt) && ProtectsLastAttempt(unit, now);
  std::vector<WorkerRoom> rooms;
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || worker.facts.service != service) continue;
    if (operator_state_->zones_out.count(worker.zone) > 0) continue;
    if (!step.label.empty() && !Contains(worker.facts.labels, step.label)) continue;
    if (!empty && IsLeftOut(worker, step, now)) continue;
    if (Terms(*unit.job).advised &&
        !advice_.MayRun({unit.job->spec.id, unit.place}, AdvisedWorkerOf(worker))) {
      continue;
    }
    if (only_healthy && health_tracker_.IsSuspect(node, now)) continue;
    WorkerRoom room;
    room.node = node;
    room.rack = worker.facts.rack;
    room.free = empty ? worker.facts.capacity : worker.remaining_room;
    room.suspect = health_tracker_.IsSuspect(node, now) || speeds_->IsSlowed(node, now);
    room.outdated = !step.checkpoints && releases_->IsOutdated(node, now);
    room.speed_rank = RankOf(unit.speed, node, now);
    if (unit.only_in_time && room.speed_rank == speeds::kTooSlowRank) continue;
    room.occupancy =
        empty || !IsEnabled(Mechanism::kGroupSimilarTasks) ? Occupancy::kNone : worker.occupancy;
    room.max_tasks = static_cast<int>(unit.waiting.size());
    if (step.max_per_worker > 0) {
      room.max_tasks = step.max_per_worker - TasksOnWorker(*unit.job, unit.place, node);
    }
    rooms.push_back(room);
  }
  if (empty) return rooms;
  const bool on_slow_workers = unit.speed.preference == speeds::SpeedPreference::kSlow;
  const double margin = kEstimateMargin * (on_slow_workers ? speeds_->slow_factor() : 1);
  const Time over_at = now + Scaled(unit.expected, margin);
  // A long-running task that has run before is restarted at once; the room was its own until then.
  const bool restarts = step.long_running && unit.job->begun;
  if (!restarts) backfill_reservations_.Subtract(KeyOf(unit), over_at, &rooms);
  reclaim_reservations_.Subtract(KeyOf(unit), &rooms);
  return rooms;
}

bool PoolPlanner::ProtectsLastAttempt(const Unit& unit, Time now) const {
  if (now - *unit.job->steps.at(unit.place).ready_since > kLastAttemptWait) return false;
  const size_t last = static_cast<size_t>(std::max(Terms(*unit.job).max_attempts - 1, 0));
  return std::any_of(unit.waiting.begin(), unit.waiting.end(), [&](int index) {
    const auto failed =
        unit.job->progress.failures.find({unit.place.occurrence, unit.place.step, index});
    return failed != unit.job->progress.failures.end() && failed->second.size() >= last;
  });
}

bool PoolPlanner::TryReservedRoom(const Unit& unit, Time now) {
  const ReclaimReservation* reserved = reclaim_reservations_.Find(KeyOf(unit));
  if (reserved == nullptr) return false;
  const StepSpec& step = unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  const int all = static_cast<int>(unit.waiting.size());
  std::map<std::string, int> wanted;
  for (const std::string& node : reserved->placement) ++wanted[node];
  const std::vector<WorkerRoom> rooms = StartRoomsFor(unit, now);
  const bool fits = std::all_of(wanted.begin(), wanted.end(), [&](const auto& row) {
    return std::any_of(rooms.begin(), rooms.end(), [&](const WorkerRoom& room) {
      return room.node == row.first &&
             FitCount(room.free, reserved->need, room.max_tasks) >= row.second;
    });
  });
  if (!fits) {
    RequestAdvice(unit, now);
    const bool waits = now < reserved->until;
    if (waits) LogWait(unit, {&step, all}, WaitReason::kPreempting, now);
    return waits;
  }
  const Placement placement = reserved->placement;
  reclaim_reservations_.Remove(KeyOf(unit));
  Start(unit, placement, now);
  return true;
}

Placement PoolPlanner::PlaceUnit(const Unit& unit, PlacementRequest* request, Time now) const {
  const std::vector<WorkerRoom> rooms = StartRoomsFor(unit, now);
  Placement placement = Place(*request, rooms);
  if (static_cast<int>(placement.size()) == request->tasks) return placement;
  const bool needs_rack = request->step->one_rack || !request->step->data_rack.empty();
  if (needs_rack && ShouldGoOffRack(unit, *request, now)) {
    request->allow_off_rack = true;
    placement = Place(*request, rooms);
  }
  return placement.empty() ? PlaceOnUnusedProcessors(unit, *request, now) : placement;
}

Placement PoolPlanner::PlaceOnUnusedProcessors(const Unit& unit, PlacementRequest request,
                                               Time now) const {
  const Time ready_since = *unit.job->steps.at(unit.place).ready_since;
  if (!request.step->best_effort || request.step->gang) return {};
  if (now - ready_since <= kMaxWaitForProcessors) return {};
  std::vector<WorkerRoom> rooms = StartRoomsFor(unit, now);
  std::erase_if(rooms, [this](const WorkerRoom& room) {
    const WorkerState& worker = workers_.at(std::string(room.node));
    return std::any_of(worker.live.begin(), worker.live.end(),
                       [](const auto& row) { return row.second.long_running; });
  });
  request.ignore_processors = true;
  return Place(request, rooms);
}

void PoolPlanner::TryUnit(const Unit& unit, int64_t wall_ms, Time now) {
  PlacementRequest request;
  request.step = &unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  request.few_workers = unit.priority == 0 && IsEnabled(Mechanism::kUrgentOnFewWorkers);
  const int spare = MaxTasksNow(unit, now);
  const int all = static_cast<int>(unit.waiting.size());
  request.tasks = all;
  if (spare < all && (spare == 0 || request.step->gang)) {
    LogWait(unit, request, WaitReason::kUrgentReserve, now);
    return;
  }
  request.tasks = std::min(all, spare);
  if (TryWithoutSlowWorkers(unit, request, wall_ms, now)) return;
  const Placement placement = PlaceUnit(unit, &request, now);
  if (!placement.empty()) Start(unit, placement, now);
  if (spare < all) return;
  if (static_cast<int>(placement.size()) == request.tasks) return;
  RequestAdvice(unit, now);
  TryReclaim(unit, request, 0, wall_ms, now);
  LogWait(unit, request, std::nullopt, now);
  if (!planner_lag_.overloaded()) ReserveForBackfill(unit, request, now);
}

int PoolPlanner::MaxTasksNow(const Unit& unit, Time now) const {
  const int all = static_cast<int>(unit.waiting.size());
  const StepSpec& step = unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  if (unit.priority == 0 || !IsEnabled(Mechanism::kUrgentReserve)) return all;
  // A long-running task provides its service only from its start on, so it is never delayed.
  if (step.long_running || !CanWait(unit.timing)) return all;
  // A job that waits longer beside idle workers is counted as forgotten by the scheduler.
  const Time ready_since = *unit.job->steps.at(unit.place).ready_since;
  const std::string& service = Terms(*unit.job).service;
  const ServiceRoom& room = ServiceRoomOf(service);
  if (room.half_idle_since && unit.job->runs.empty() &&
      now - std::max(*room.half_idle_since, ready_since) > kMaxWaitWhenIdle) {
    return all;
  }
  const int outside =
      reserve_.TasksOutsideReserve(service, room.fast, step.counted_need(), all, now);
  return std::min(all, TasksOnSlowWorkers(unit, now) + outside);
}

int64_t PoolPlanner::GuaranteedFor(const std::string& workspace) const {
  const Workspace* found = operator_state_->config.FindWorkspace(workspace);
  return found == nullptr ? 0 : found->guaranteed_accelerators;
}

int64_t PoolPlanner::UrgentUse(const std::string& workspace) const {
  const auto found = urgent_use_.find(workspace);
  return found == urgent_use_.end() ? 0 : found->second;
}

void PoolPlanner::Start(const Unit& unit, const Placement& placement, Time now) {
  // The epoch is in the high bits, so that run numbers increase across planners as well.
  constexpr int kStartBits = 24;
  const int64_t number = (epoch_ << kStartBits) + ++start_count_;
  Job* job = unit.job;
  const StepSpec& step = job->spec.steps[static_cast<size_t>(unit.place.step)];
  std::set<std::string> racks;
  double time_factor = 0;
  for (const std::string& node : placement) {
    racks.insert(workers_[node].facts.rack);
    time_factor = std::max(time_factor, speeds_->TimeFactor(node, now));
  }
  const std::set<std::string> nodes(placement.begin(), placement.end());
  const auto gang_workers = step.gang && nodes.size() > 1
                                ? std::make_shared<const std::set<std::string>>(nodes)
                                : nullptr;
  const bool over_racks = step.one_rack && racks.size() > 1;
  // A successor starts queued jobs immediately, without asking what runs. So no task of a job may
  // run while the stored state of the job is "queued".
  MarkRunning(job);
  size_t next = 0;
  for (const int index : unit.waiting) {
    if (next >= placement.size()) break;
    const TaskPlace place = {unit.place.occurrence, unit.place.step, index};
    WorkerState& worker = workers_[placement[next++]];
    LiveRun run;
    run.run = {{job->spec.id, place.occurrence, place.step, place.index}, number};
    run.need = step.need;
    run.best_effort = step.best_effort;
    run.long_running = step.long_running;
    run.since = now;
    run.payload = job->spec.payload;
    if (Terms(*job).advised) {
      run.ticket =
          advice_.TicketFor({job->spec.id, unit.place}, AdvisedWorkerOf(worker), now).value_or("");
    }
    const bool away_from_data = !step.data_rack.empty() && worker.facts.rack != step.data_rack;
    const double slowdown = over_racks || away_from_data ? options_.off_rack_slowdown : 1.0;
    run.gang_workers = gang_workers;
    const double run_factor = step.gang ? time_factor : speeds_->TimeFactor(worker.node, now);
    run.estimate = Scaled(unit.expected, slowdown * run_factor);
    BeginSpeedRun(*job, step, worker.node, slowdown, now, &run);
    run.start_after = job->running_ticket;
    const auto saved =
        job->progress.checkpoints.find({place.occurrence, place.step, step.gang ? 0 : index});
    if (saved != job->progress.checkpoints.end()) run.checkpoint = saved->second;
    run.resumable = step.checkpoints;
    if (worker.occupancy != Occupancy::kNotResumable) {
      worker.occupancy = step.checkpoints ? Occupancy::kResumable : Occupancy::kNotResumable;
    }
    run.representative = run.checkpoint.empty() && !over_racks && !away_from_data;
    // An order that waits for a record is sent with a later version.
    const bool waits = run.start_after > outbox_.durable();
    run.order_version = waits ? std::numeric_limits<int64_t>::max() : worker.version + 1;
    worker.live[run.run] = run;
    worker.remaining_room -= step.counted_need();
    if (worker.fast_enough) {
      service_rooms_[worker.facts.service].fast.free -= step.counted_need();
    }
    if (waits) {
      pending_starts_.emplace(run.start_after, worker.node);
    } else {
      NotePendingOrders(&worker);
    }
    job->runs[place] = {number, worker.node};
    LogEvent(LogLevel::kInfo, "run_placed",
             {{"job", job->spec.id},
              {"task", TaskName(run.run.task)},
              {"run", number},
              {"node", worker.node},
              {"born_ms", worker.facts.start_time_ms},
              {"rack", worker.facts.rack},
              {"slowdown", slowdown},
              {"time_factor", run_factor},
              {"waited_s", Seconds(now - *job->steps.at(unit.place).ready_since)},
              {"epoch", epoch_}});
  }
  starts_in_flight_ += static_cast<int>(next);
  if (next > 0) {
    StepState& state = job->steps.at(unit.place);
    state.ready_since.reset();
    state.wait_reason.reset();
  }
  if (unit.priority == 0) {
    urgent_use_[job->spec.workspace] += step.need.accelerators * static_cast<int64_t>(next);
  }
}

}  // namespace turmericshift::pool
