// Who goes next and where. Whom it stops for that: pool_planner_reclaiming.cc; what is kept free
// for those that wait: pool_planner_holding.cc.
//
// Load patterns: urgent jobs with little time in a pool that others with more have filled (the
// others leave room as long as they can wait); more work than the pool can carry. Within a priority
// those that can still be in time go before those that can't, but for late ones that would soon be
// of no use; workers that fail what they are given get none of it, nor a sound job's last try.
#include <algorithm>
#include <tuple>
#include <utility>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// When several workers are sick at once, a sound job meets three of them in a row and is failed.
// Its last try waits this long for a worker that has not failed anything lately; less than the 3 s
// after which a job that stands still beside free workers counts as forgotten.
constexpr Duration kGuardLastTry = std::chrono::milliseconds(2200);
// Room for a late job is found within this as a rule. Passed over for longer it would be of no use
// to its caller at all, while those that go after it have time left.
constexpr Duration kExpiringJobsFirst = std::chrono::milliseconds(1500);
// With so much of the pool free nothing may stand still for the sake of a better place: a job that
// does for 3 s while under half of the pool is in use counts as forgotten.
constexpr double kIdleShare = 0.4;
// The same goes for work that is kept waiting for the sake of urgent work to come, with nearly half
// of all workers idle, also of those that may not be used now.
constexpr double kHalfIdleShare = 0.45;
constexpr Duration kIdleWait = std::chrono::milliseconds(2300);
// Weighing whom to stop is the dearest decision: with 600 runs in 67 workers it takes 2 ms of a
// processor of which an entry may have an eighth. So it is made for few units a round, and for
// each only so often; what waits meanwhile is tried again within the bound on reclaiming.
constexpr int kReclaimsPerRound = 2;
// A round is made at least this often.
constexpr Duration kLongestPause = std::chrono::milliseconds(100);
// What waits beside what is free is logged so often while anything waits: enough to see why a job
// waited, and no more under load than at rest.
constexpr Duration kLogQueueEvery = std::chrono::seconds(1);

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

int64_t Millis(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

// The share of a pool that is free in whatever there is least of.
double FreeShare(const Room& free, const Room& total) {
  const auto share = [](int64_t part, int64_t all) {
    return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0.0;
  };
  return std::min(share(free.accelerators, total.accelerators),
                  share(free.processor_millis, total.processor_millis));
}

}  // namespace

bool PoolPlanner::LeadershipConfirmed(Time now) const {
  return confirmed_ && now - *confirmed_ < options_.confirm_age_limit;
}

bool PoolPlanner::MayStart(Time now) const {
  return LeadershipConfirmed(now) && operators_read_ &&
         now - *operators_read_ < options_.document_age_limit;
}

bool PoolPlanner::InheritedIsSafe(Time now) const {
  return unheard_.empty() || now >= inherited_safe_at_;
}

void PoolPlanner::Plan(int64_t wall_ms, Time now) {
  lateness_.Update(now);
  ExpireLeases(now);
  TakeBackLateStarts(now);
  DropOldJobs(wall_ms);
  if (!MayStart(now) || !RoundIsDue(now)) return;
  BeginRound(now);
  const std::vector<Unit> units = CollectUnits(wall_ms, now);
  LogQueue(units, now);
  for (const Unit& unit : units) {
    if (!lateness_.MayStartMore(starts_under_way_)) break;
    if (!TryReservation(unit, now)) TryUnit(unit, wall_ms, now);
  }
  std::erase_if(reservations_, [now](const auto& row) { return now >= row.second.until; });
}

void PoolPlanner::LogQueue(const std::vector<Unit>& units, Time now) {
  if (units.empty() || (queue_logged_ && now - *queue_logged_ < kLogQueueEvery)) return;
  queue_logged_ = now;
  Room total;
  Room free;
  int usable = 0;
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || judge_.IsQuarantined(node, now)) continue;
    if (operators_->zones_out.count(worker.zone) > 0) continue;
    ++usable;
    total += worker.facts.capacity;
    free += worker.left;
  }
  std::map<int, int> waiting;
  for (const Unit& unit : units) ++waiting[unit.priority];
  std::vector<std::string> steps;
  steps.reserve(waiting.size());
  for (const auto& [priority, count] : waiting) {
    steps.push_back(std::to_string(priority) + ":" + std::to_string(count));
  }
  LogEvent(LogLevel::kInfo, "queue",
           {{"waiting", steps},
            {"late_s", Seconds(lateness_.lag())},
            {"starts_under_way", starts_under_way_},
            {"workers", usable},
            {"accelerators", total.accelerators},
            {"accelerators_free", free.accelerators},
            {"processor_millis", total.processor_millis},
            {"processor_millis_free", free.processor_millis},
            {"epoch", epoch_}});
}

bool PoolPlanner::RoundIsDue(Time now) const {
  // Pauses, due times and reservations run out without anything else happening.
  return changed_ || !last_round_ || now - *last_round_ >= kLongestPause;
}

Occupancy PoolPlanner::TenantsOf(const WorkerState& worker) {
  if (worker.live.empty()) return Occupancy::kNone;
  const bool saved = std::all_of(worker.live.begin(), worker.live.end(),
                                 [](const auto& row) { return row.second.saved; });
  return saved ? Occupancy::kSaved : Occupancy::kUnsaved;
}

void PoolPlanner::BeginRound(Time now) {
  changed_ = false;
  last_round_ = now;
  reclaims_left_ = kReclaimsPerRound;
  holds_.clear();
  freeing_.clear();
  advice_.BeginRound();
  pool_ = PoolRoom();
  Room all;
  Room all_left;
  std::map<std::string, Room> capacity;
  starts_under_way_ = 0;
  for (auto& [node, worker] : workers_) {
    for (const auto& [id, run] : worker.live) {
      starts_under_way_ += run.phase == RunPhase::kOrdered;
    }
    worker.left = worker.free();
    worker.occupancy = TenantsOf(worker);
    capacity[worker.facts.service] += worker.facts.capacity;
    all += worker.facts.capacity;
    all_left += worker.left;
    if (!worker.usable(now)) continue;
    pool_.total += worker.facts.capacity;
    pool_.free += worker.left;
  }
  idle_ = FreeShare(pool_.free, pool_.total) > kIdleShare;
  if (FreeShare(all_left, all) <= kHalfIdleShare) {
    half_idle_since_.reset();
  } else if (!half_idle_since_) {
    half_idle_since_ = now;
  }
  appraiser_.SetCapacity(capacity);
  appraiser_.ResetJobs();
  for (const auto& [id, job] : jobs_) appraiser_.RecordJob(job.spec);
  urgent_use_.clear();
  urgent_need_.clear();
  Room demand;
  for (const auto& [id, job] : jobs_) {
    if (Terms(job).priority != 0 || IsOver(job.progress.state)) continue;
    const Room need = PeakNeed(job.spec);
    demand += need;
    urgent_need_[job.spec.workspace] += need.accelerators;
    int64_t& use = urgent_use_[job.spec.workspace];
    for (const auto& [place, run] : job.runs) {
      use += job.spec.steps[static_cast<size_t>(place.step)].need.accelerators;
    }
  }
  reserve_.RecordDemand(pool_, demand, now);
}

void PoolPlanner::ExpireLeases(Time now) {
  for (auto& [node, worker] : workers_) {
    // What a late planner has not read yet is no silence of the agent's.
    const bool lapsed = now > worker.lease_until + options_.lease_margin + lateness_.lag();
    if (!worker.known || !lapsed) continue;
    worker.known = false;
    LoseRuns(&worker, "the agent has not been heard for a lease", now);
  }
}

Duration PoolPlanner::StartLimit(bool gang) const {
  if (!gang) return options_.start_timeout + lateness_.lag();
  return std::min(options_.gang_start_timeout + lateness_.lag(), options_.max_gang_start_timeout);
}

void PoolPlanner::TakeBackLateStarts(Time now) {
  for (auto& [node, worker] : workers_) {
    for (auto& [id, run] : worker.live) {
      if (run.phase != RunPhase::kOrdered) continue;
      Job* job = FindJob(id.task.job);
      const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, id.task);
      const bool gang = step != nullptr && step->gang;
      if (now - run.since < StartLimit(gang)) continue;
      LogEvent(LogLevel::kWarning, "start_late",
               {{"job", id.task.job},
                {"task", TaskName(id.task)},
                {"node", node},
                {"unheard_s", Seconds(now - worker.last_report)},
                {"planner_late_s", Seconds(lateness_.lag())}});
      if (lateness_.lag() == Duration::zero()) judge_.OrderFailed(node, now);
      StopRun(&worker, &run);
      if (gang) StopGang(*job, id);
    }
  }
}

std::vector<PoolPlanner::Unit> PoolPlanner::CollectUnits(int64_t wall_ms, Time now) {
  std::vector<Unit> units;
  for (auto& [id, job] : jobs_) {
    if (IsOver(job.progress.state) || job.accepted > outbox_.durable()) continue;
    if (job.inherited && !InheritedIsSafe(now)) continue;
    const Schedule& schedule = job.spec.schedule;
    for (int occurrence = 0; occurrence < job.spec.occurrences(); ++occurrence) {
      if (schedule.first_due_ms + occurrence * schedule.interval_ms > wall_ms) break;
      for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
        CollectStep(&job, {occurrence, step}, wall_ms, now, &units);
      }
    }
  }
  std::stable_sort(units.begin(), units.end(), [](const Unit& left, const Unit& right) {
    return std::make_tuple(left.priority, !left.entitled, left.prospect, left.due_ms) <
           std::make_tuple(right.priority, !right.entitled, right.prospect, right.due_ms);
  });
  return units;
}

PoolPlanner::Prospect PoolPlanner::ProspectOf(const Unit& unit, int64_t wall_ms) const {
  const int64_t over_ms = wall_ms + Millis(unit.timing.remaining);
  if (over_ms <= unit.due_ms) return Prospect::kInTime;
  const int64_t useless_ms = unit.begun_ms + kUselessFactor * (unit.due_ms - unit.begun_ms);
  if (over_ms > useless_ms) return Prospect::kUseless;
  if (!Uses(Mechanism::kExpiringJobsFirst)) return Prospect::kLate;
  return over_ms + Millis(kExpiringJobsFirst) > useless_ms ? Prospect::kExpiringJobsFirst
                                                           : Prospect::kLate;
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
      // A gang starts again only when nothing of its last run is left.
      if (step.gang) return;
      continue;
    }
    if (!job->progress.task_done(task)) unit.waiting.push_back(index);
  }
  if (unit.waiting.empty()) return;
  StepState& state = job->steps[place];
  if (!state.ready_since) state.ready_since = now;
  if (now < state.not_before) return;
  const QueueTerms& terms = Terms(*job);
  unit.job = job;
  unit.place = place;
  unit.priority = terms.priority;
  unit.begun_ms = ReleaseMs(job->spec, place.occurrence);
  unit.timing = appraiser_.TimingOf(job->spec, terms, place, wall_ms);
  unit.expected = appraiser_.ExpectedTime(job->spec, step);
  unit.due_ms = unit.begun_ms + Millis(terms.target_latency) +
                Millis(Scaled(unit.timing.critical_path, terms.stretch));
  unit.prospect = ProspectOf(unit, wall_ms);
  if (terms.priority == 0) {
    const int64_t wanted = step.need.accelerators * static_cast<int64_t>(unit.waiting.size());
    unit.entitled = UrgentUse(job->spec.workspace) + wanted <= GuaranteedFor(job->spec.workspace);
  }
  units->push_back(std::move(unit));
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
  const bool only_sound =
      !empty && Uses(Mechanism::kProtectLastAttempt) && GuardsLastTry(unit, now);
  std::vector<WorkerRoom> rooms;
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || worker.facts.service != service) continue;
    if (operators_->zones_out.count(worker.zone) > 0) continue;
    if (!step.label.empty() && !Contains(worker.facts.labels, step.label)) continue;
    if (!empty && judge_.IsQuarantined(node, now)) continue;
    if (Terms(*unit.job).advised &&
        !advice_.MayRun({unit.job->spec.id, unit.place}, AdvisedWorkerOf(worker))) {
      continue;
    }
    if (only_sound && judge_.IsSuspect(node, now)) continue;
    WorkerRoom room;
    room.node = node;
    room.rack = worker.facts.rack;
    room.free = empty ? worker.facts.capacity : worker.left;
    room.doubtful = judge_.IsSuspect(node, now);
    room.occupancy =
        empty || !Uses(Mechanism::kGroupSimilarTasks) ? Occupancy::kNone : worker.occupancy;
    room.most_tasks = static_cast<int>(unit.waiting.size());
    if (step.max_per_worker > 0) {
      room.most_tasks = step.max_per_worker - TasksOnWorker(*unit.job, unit.place, node);
    }
    rooms.push_back(room);
  }
  if (empty) return rooms;
  LeaveHeldRoom(unit, &rooms, now);
  for (const auto& [key, reservation] : reservations_) {
    if (key.first == unit.job->spec.id && key.second == unit.place) continue;
    for (const std::string& node : reservation.placement) {
      for (WorkerRoom& room : rooms) {
        if (room.node == node) room.free -= reservation.need;
      }
    }
  }
  return rooms;
}

bool PoolPlanner::GuardsLastTry(const Unit& unit, Time now) const {
  if (now - *unit.job->steps.at(unit.place).ready_since > kGuardLastTry) return false;
  const size_t last = static_cast<size_t>(std::max(Terms(*unit.job).max_attempts - 1, 0));
  return std::any_of(unit.waiting.begin(), unit.waiting.end(), [&](int index) {
    const auto failed =
        unit.job->progress.failures.find({unit.place.occurrence, unit.place.step, index});
    return failed != unit.job->progress.failures.end() && failed->second.size() >= last;
  });
}

bool PoolPlanner::TryReservation(const Unit& unit, Time now) {
  const UnitKey key = {unit.job->spec.id, unit.place};
  const auto found = reservations_.find(key);
  if (found == reservations_.end()) return false;
  std::map<std::string, int> wanted;
  for (const std::string& node : found->second.placement) ++wanted[node];
  const std::vector<WorkerRoom> rooms = StartRoomsFor(unit, now);
  const bool free = std::all_of(wanted.begin(), wanted.end(), [&](const auto& row) {
    return std::any_of(rooms.begin(), rooms.end(), [&](const WorkerRoom& room) {
      return room.node == row.first &&
             FitCount(room.free, found->second.need, room.most_tasks) >= row.second;
    });
  });
  if (!free) {
    WantAdvice(unit, now);
    return now < found->second.until;
  }
  const Placement placement = found->second.placement;
  reservations_.erase(found);
  Start(unit, placement, now);
  return true;
}

Placement PoolPlanner::PlaceUnit(const Unit& unit, PlaceWish* wish, Time now) const {
  const std::vector<WorkerRoom> rooms = StartRoomsFor(unit, now);
  Placement placement = Place(*wish, rooms);
  const bool bound_to_rack = wish->step->one_rack || !wish->step->data_rack.empty();
  if (static_cast<int>(placement.size()) == wish->tasks || !bound_to_rack) return placement;
  if (!StraysNow(unit, *wish, now)) return placement;
  wish->may_stray = true;
  return Place(*wish, rooms);
}

void PoolPlanner::TryUnit(const Unit& unit, int64_t wall_ms, Time now) {
  PlaceWish wish;
  wish.step = &unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  const int spare = SpareTasks(unit, now);
  const int all = static_cast<int>(unit.waiting.size());
  if (spare < all && (spare == 0 || wish.step->gang)) return;
  wish.tasks = std::min(all, spare);
  const Placement placement = PlaceUnit(unit, &wish, now);
  if (!placement.empty()) Start(unit, placement, now);
  if (spare < all) return;
  if (static_cast<int>(placement.size()) == wish.tasks) return;
  WantAdvice(unit, now);
  TryReclaim(unit, wish, wall_ms, now);
  if (!lateness_.sheds()) HoldRoom(unit, wish, now);
}

int PoolPlanner::SpareTasks(const Unit& unit, Time now) const {
  const int all = static_cast<int>(unit.waiting.size());
  const StepSpec& step = unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  if (unit.priority == 0 || !Uses(Mechanism::kUrgentReserve)) return all;
  // Tasks that last serve from their start on, so that none of their waiting is free.
  if (step.long_running || !CanWait(unit.timing)) return all;
  // A job that stands still for longer beside idle workers counts as forgotten.
  const Time ready_since = *unit.job->steps.at(unit.place).ready_since;
  if (half_idle_since_ && unit.job->runs.empty() &&
      now - std::max(*half_idle_since_, ready_since) > kIdleWait) {
    return all;
  }
  return reserve_.TasksOutsideReserve(pool_, step.need, all, now);
}

int64_t PoolPlanner::GuaranteedFor(const std::string& workspace) const {
  const Workspace* found = operators_->config.FindWorkspace(workspace);
  return found == nullptr ? 0 : found->guaranteed_accelerators;
}

int64_t PoolPlanner::UrgentUse(const std::string& workspace) const {
  const auto found = urgent_use_.find(workspace);
  return found == urgent_use_.end() ? 0 : found->second;
}

void PoolPlanner::Start(const Unit& unit, const Placement& placement, Time now) {
  // The epoch stands in the high part, so that numbers rise over planners as well.
  constexpr int kStartBits = 24;
  const int64_t number = (epoch_ << kStartBits) + ++starts_;
  Job* job = unit.job;
  const StepSpec& step = job->spec.steps[static_cast<size_t>(unit.place.step)];
  std::set<std::string> racks;
  for (const std::string& node : placement) racks.insert(workers_[node].facts.rack);
  const bool torn = step.one_rack && racks.size() > 1;
  // A planner that follows starts queued jobs at once, without asking what runs; so nothing may run
  // of a job that the store still has as queued.
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
    run.since = now;
    run.payload = job->spec.payload;
    if (Terms(*job).advised) {
      run.ticket =
          advice_.TicketFor({job->spec.id, unit.place}, AdvisedWorkerOf(worker), now).value_or("");
    }
    const bool away = !step.data_rack.empty() && worker.facts.rack != step.data_rack;
    run.estimate = Scaled(unit.expected, torn || away ? options_.off_rack_slowdown : 1.0);
    run.start_after = job->begun;
    const auto saved =
        job->progress.checkpoints.find({place.occurrence, place.step, step.gang ? 0 : index});
    if (saved != job->progress.checkpoints.end()) run.checkpoint = saved->second;
    run.saved = step.checkpoints;
    if (worker.occupancy != Occupancy::kUnsaved) {
      worker.occupancy = step.checkpoints ? Occupancy::kSaved : Occupancy::kUnsaved;
    }
    run.representative = run.checkpoint.empty() && !torn && !away;
    worker.live[run.run] = run;
    worker.left -= run.need;
    pool_.free -= run.need;
    if (run.best_effort) worker.left.processor_millis += run.need.processor_millis;
    if (run.start_after > outbox_.durable()) {
      releases_.emplace(run.start_after, worker.node);
    } else {
      NoteNews(&worker);
    }
    job->runs[place] = {number, worker.node};
    LogEvent(LogLevel::kInfo, "run_placed",
             {{"job", job->spec.id},
              {"task", TaskName(run.run.task)},
              {"run", number},
              {"node", worker.node},
              {"rack", worker.facts.rack},
              {"waited_s", Seconds(now - *job->steps.at(unit.place).ready_since)},
              {"epoch", epoch_}});
  }
  starts_under_way_ += static_cast<int>(next);
  if (next > 0) job->steps.at(unit.place).ready_since.reset();
  if (unit.priority == 0) {
    urgent_use_[job->spec.workspace] += step.need.accelerators * static_cast<int64_t>(next);
  }
}

}  // namespace turmericshift::pool
