// Who goes next, where, and who has to make way.
//
// Load patterns: bursts of urgent gangs over a pool full of long tasks (they go first and, within
// their workspace's guarantee, stop the work that loses least); many small tasks beside gangs that
// want one rack (small ones fill broken workers first, a gang that has waited long holds a rack);
// jobs whose data rack is full (they wait a little, since elsewhere they take three times as long).
#include <algorithm>
#include <tuple>
#include <utility>

#include "core/logging.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

// An urgent gang that finds no rack goes over several after this, so that it begins within the
// bound on reclaiming (2.9 s) with a second to spare for the start.
constexpr Duration kUrgentStrayAfter = std::chrono::milliseconds(1300);
// Others wait longer for one rack or their data: straying costs twice the run time more, but
// leaving workers idle for 3 s while a task waits counts as a job forgotten.
constexpr Duration kStrayAfter = std::chrono::milliseconds(2200);
// A gang that is not urgent lets smaller work pass for this long before it keeps free room for
// itself; else it would wait for as long as small work keeps coming.
constexpr Duration kHoldAfter = std::chrono::milliseconds(1000);
// When several workers are sick at once, a sound job meets three of them in a row and is failed.
// Its last try waits this long for a worker that has not failed anything lately; less than the 3 s
// after which a job that stands still beside free workers counts as forgotten.
constexpr Duration kGuardLastTry = std::chrono::milliseconds(2200);
// Room that is being freed is held for the one it is freed for; a stop takes 0.4 s and two calls.
constexpr Duration kReservationLimit = std::chrono::milliseconds(1500);
// A job that takes this many times as long as it should is of no more use to its caller. Under a
// burst that the pool can't carry, starting in the order of due times would make every job late;
// those that can still be in time go before those that can't, and these before the useless ones.
constexpr int64_t kUselessAfter = 3;
// A round is made at least this often.
constexpr Duration kLongestPause = std::chrono::milliseconds(100);
// Weighing whom to stop is the dearest decision: with 600 runs in 67 workers it takes 2 ms of a
// processor of which an entry may have an eighth. So it is made for few units a round, and for
// each only so often; what waits meanwhile is tried again within the bound on reclaiming.
constexpr int kReclaimsPerRound = 2;
constexpr Duration kReclaimPause = std::chrono::milliseconds(300);
// An accelerator weighs as much as so many cores in work thrown away; the operators' own price.
constexpr double kCoresPerAccelerator = 8;
// Reading a checkpoint back takes a quarter to over half a second of the gang's time.
constexpr double kRestoreSeconds = 0.5;
// Work that has been interrupted before is dearer to interrupt again, so that two urgent streams do
// not stop the same job for ever.
constexpr double kAgainFactor = 2.0;
// Starting again what has just been started wastes the start as well.
constexpr double kLeastLostSeconds = 0.3;

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// Seconds of work that stopping the run throws away.
double LostSeconds(const LiveRun& run, const StepSpec& step, Time now) {
  if (step.checkpoints) return kRestoreSeconds;
  return std::max(kLeastLostSeconds, Seconds(now - run.since));
}

// The longest chain of steps by the caller's estimates.
Duration EstimatedChain(const JobSpec& spec) {
  std::vector<Duration> ends;
  Duration longest{};
  for (const StepSpec& step : spec.steps) {
    Duration begin{};
    for (const int earlier : step.after) {
      begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
    }
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

double Cores(const Room& need) {
  return static_cast<double>(need.processor_millis) / 1000 +
         kCoresPerAccelerator * static_cast<double>(need.accelerators);
}

// Core-seconds that the tasks to place take by the caller's estimate.
double OwnWork(const PlaceWish& wish) {
  return Cores(wish.step->need) * wish.tasks * Seconds(wish.step->estimate);
}

int64_t Millis(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

bool PoolPlanner::MayStart(Time now) const {
  return confirmed_ && now - *confirmed_ < options_.confirm_limit && operators_read_ &&
         now - *operators_read_ < options_.document_limit;
}

bool PoolPlanner::InheritedIsSafe(Time now) const {
  return unheard_.empty() || now >= inherited_safe_at_;
}

void PoolPlanner::Plan(int64_t wall_ms, Time now) {
  ExpireLeases(now);
  TakeBackLateStarts(now);
  DropOldJobs(wall_ms);
  if (!MayStart(now) || !RoundIsDue(now)) return;
  BeginRound(now);
  const std::vector<Unit> units = CollectUnits(wall_ms, now);
  for (const Unit& unit : units) {
    if (!TryReservation(unit, now)) TryUnit(unit, now);
  }
  std::erase_if(reservations_, [now](const auto& row) { return now >= row.second.until; });
}

bool PoolPlanner::RoundIsDue(Time now) const {
  // Pauses, due times and reservations run out without anything else happening.
  return changed_ || !last_round_ || now - *last_round_ >= kLongestPause;
}

void PoolPlanner::BeginRound(Time now) {
  changed_ = false;
  last_round_ = now;
  reclaims_left_ = kReclaimsPerRound;
  for (auto& [node, worker] : workers_) worker.left = worker.free();
  urgent_use_.clear();
  for (const auto& [id, job] : jobs_) {
    if (job.runs.empty() || Terms(job).priority != 0) continue;
    int64_t& use = urgent_use_[job.spec.workspace];
    for (const auto& [place, run] : job.runs) {
      use += job.spec.steps[static_cast<size_t>(place.step)].need.accelerators;
    }
  }
}

void PoolPlanner::ExpireLeases(Time now) {
  for (auto& [node, worker] : workers_) {
    const bool lapsed = now > worker.lease_until + options_.lease_margin;
    if (!worker.known || !lapsed) continue;
    worker.known = false;
    LoseRuns(&worker, "the agent has not been heard for a lease", now);
  }
}

void PoolPlanner::TakeBackLateStarts(Time now) {
  for (auto& [node, worker] : workers_) {
    for (auto& [id, run] : worker.live) {
      if (run.phase != RunPhase::kOrdered) continue;
      Job* job = FindJob(id.task.job);
      const StepSpec* step = job == nullptr ? nullptr : FindStep(*job, id.task);
      const bool gang = step != nullptr && step->gang;
      if (now - run.since < (gang ? options_.gang_start_limit : options_.start_limit)) continue;
      LogEvent(LogLevel::kWarning, "start_late",
               {{"job", id.task.job}, {"task", TaskName(id.task)}, {"node", node}});
      judge_.OrderNotTaken(node, now);
      StopRun(&worker, &run);
      if (gang) StopGang(*job, id);
    }
  }
}

std::vector<PoolPlanner::Unit> PoolPlanner::CollectUnits(int64_t wall_ms, Time now) {
  std::vector<Unit> units;
  for (auto& [id, job] : jobs_) {
    if (IsOver(job.progress.state) || job.accepted > outbox_.kept()) continue;
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

PoolPlanner::Prospect PoolPlanner::ProspectOf(const JobSpec& spec, int64_t begun_ms, int64_t due_ms,
                                              int64_t wall_ms) {
  const int64_t over_ms = wall_ms + Millis(EstimatedChain(spec));
  if (over_ms <= due_ms) return Prospect::kInTime;
  return over_ms <= begun_ms + kUselessAfter * (due_ms - begun_ms) ? Prospect::kLate
                                                                   : Prospect::kUseless;
}

void PoolPlanner::CollectStep(Job* job, const StepPlace& place, int64_t wall_ms, Time now,
                              std::vector<Unit>* units) {
  const StepSpec& step = job->spec.steps[static_cast<size_t>(place.step)];
  if (job->progress.step_done(job->spec, place)) return;
  if (!job->progress.turn_has_come(job->spec, place)) return;
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
  const Schedule& schedule = job->spec.schedule;
  const int64_t begun = schedule.occurrences > 0
                            ? schedule.first_due_ms + place.occurrence * schedule.interval_ms
                            : job->spec.accepted_ms;
  unit.due_ms =
      begun + Millis(terms.target_latency) +
      static_cast<int64_t>(terms.stretch * static_cast<double>(Millis(EstimatedChain(job->spec))));
  unit.prospect = ProspectOf(job->spec, begun, unit.due_ms, wall_ms);
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
  const bool only_sound = !empty && GuardsLastTry(unit, now);
  std::vector<WorkerRoom> rooms;
  for (const auto& [node, worker] : workers_) {
    if (!worker.usable(now) || worker.facts.service != service) continue;
    if (operators_->zones_out.count(worker.zone) > 0) continue;
    if (!step.label.empty() && !Contains(worker.facts.labels, step.label)) continue;
    if (!empty && judge_.SetAside(node, now)) continue;
    if (only_sound && judge_.Doubtful(node, now)) continue;
    WorkerRoom room;
    room.node = node;
    room.rack = worker.facts.rack;
    room.free = empty ? worker.facts.capacity : worker.left;
    room.doubtful = judge_.Doubtful(node, now);
    room.most_tasks = static_cast<int>(unit.waiting.size());
    if (step.most_per_worker > 0) {
      room.most_tasks = step.most_per_worker - TasksOnWorker(*unit.job, unit.place, node);
    }
    rooms.push_back(room);
  }
  if (empty) return rooms;
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
  const int last = Terms(*unit.job).max_attempts - 1;
  return std::any_of(unit.waiting.begin(), unit.waiting.end(), [&](int index) {
    const auto failed =
        unit.job->progress.failures.find({unit.place.occurrence, unit.place.step, index});
    return failed != unit.job->progress.failures.end() && failed->second.count >= last;
  });
}

bool PoolPlanner::MayStray(const Unit& unit, Time now) const {
  const StepState& state = unit.job->steps.at(unit.place);
  const Duration waited = now - *state.ready_since;
  return waited > (unit.priority == 0 ? kUrgentStrayAfter : kStrayAfter);
}

bool PoolPlanner::TryReservation(const Unit& unit, Time now) {
  const UnitKey key = {unit.job->spec.id, unit.place};
  const auto found = reservations_.find(key);
  if (found == reservations_.end()) return false;
  std::map<std::string, int> wanted;
  for (const std::string& node : found->second.placement) ++wanted[node];
  const std::vector<WorkerRoom> rooms = RoomsFor(unit, false, now);
  const bool free = std::all_of(wanted.begin(), wanted.end(), [&](const auto& row) {
    return std::any_of(rooms.begin(), rooms.end(), [&](const WorkerRoom& room) {
      return room.node == row.first &&
             FitCount(room.free, found->second.need, room.most_tasks) >= row.second;
    });
  });
  if (!free) return now < found->second.until;
  const Placement placement = found->second.placement;
  reservations_.erase(found);
  Start(unit, placement, now);
  return true;
}

Placement PoolPlanner::PlaceUnit(const Unit& unit, PlaceWish* wish, Time now) const {
  const std::vector<WorkerRoom> rooms = RoomsFor(unit, false, now);
  wish->may_stray = MayStray(unit, now);
  Placement placement = Place(*wish, rooms);
  const bool bound_to_rack = wish->step->one_rack || !wish->step->data_rack.empty();
  if (static_cast<int>(placement.size()) == wish->tasks || wish->may_stray || !bound_to_rack) {
    return placement;
  }
  // No rack would ever hold it, so that waiting for one is pointless.
  wish->may_stray = !FitsOneRack(*wish, RoomsFor(unit, true, now));
  return wish->may_stray ? Place(*wish, rooms) : placement;
}

void PoolPlanner::TryUnit(const Unit& unit, Time now) {
  PlaceWish wish;
  wish.step = &unit.job->spec.steps[static_cast<size_t>(unit.place.step)];
  wish.tasks = static_cast<int>(unit.waiting.size());
  const Placement placement = PlaceUnit(unit, &wish, now);
  if (!placement.empty()) Start(unit, placement, now);
  if (static_cast<int>(placement.size()) == wish.tasks) return;
  if (unit.priority == 0) TryReclaim(unit, wish, now);
  if (wish.step->gang) HoldRoom(unit, wish, now);
}

void PoolPlanner::HoldRoom(const Unit& unit, const PlaceWish& wish, Time now) {
  const UnitKey key = {unit.job->spec.id, unit.place};
  if (reservations_.count(key) > 0) return;
  const Duration waited = now - *unit.job->steps.at(unit.place).ready_since;
  if (unit.priority > 0 && waited < kHoldAfter) return;
  const Placement part = PlacePart(wish, RoomsFor(unit, false, now));
  // Ends with this round.
  if (!part.empty()) reservations_[key] = {part, wish.step->need, now};
}

int64_t PoolPlanner::GuaranteedFor(const std::string& workspace) const {
  const Workspace* found = operators_->config.FindWorkspace(workspace);
  return found == nullptr ? 0 : found->guaranteed_accelerators;
}

int64_t PoolPlanner::UrgentUse(const std::string& workspace) const {
  const auto found = urgent_use_.find(workspace);
  return found == urgent_use_.end() ? 0 : found->second;
}

std::vector<Victim> PoolPlanner::VictimsFor(const Unit& unit, Time now) const {
  std::vector<Victim> victims;
  for (const auto& [node, worker] : workers_) {
    for (const auto& [id, run] : worker.live) {
      if (run.phase == RunPhase::kStopping) continue;
      const auto job = jobs_.find(id.task.job);
      if (job == jobs_.end() || IsOver(job->second.progress.state)) continue;
      const StepSpec* step = FindStep(job->second, id.task);
      if (step == nullptr) continue;
      const std::string& workspace = job->second.spec.workspace;
      const bool urgent = Terms(job->second).priority == 0;
      // Urgent work beyond its workspace's guarantee is borrowed room for one within its own.
      const bool borrowed = unit.entitled && workspace != unit.job->spec.workspace &&
                            UrgentUse(workspace) > GuaranteedFor(workspace);
      if (urgent && !borrowed) continue;
      Victim victim;
      victim.run = id;
      victim.node = node;
      victim.need = run.need;
      victim.cost = Cores(run.need) * LostSeconds(run, *step, now);
      const auto state = job->second.steps.find({id.task.occurrence, id.task.step});
      if (state != job->second.steps.end()) {
        victim.cost *= 1 + kAgainFactor * state->second.interrupted;
      }
      if (step->gang) {
        victim.gang = id.task.job + "/" + std::to_string(id.task.occurrence) + "/" +
                      std::to_string(id.task.step);
      }
      victims.push_back(std::move(victim));
    }
  }
  return victims;
}

void PoolPlanner::TryReclaim(const Unit& unit, const PlaceWish& wish, Time now) {
  StepState& state = unit.job->steps.at(unit.place);
  const bool just_tried = state.reclaim_tried && now - *state.reclaim_tried < kReclaimPause;
  if (reclaims_left_ == 0 || just_tried) return;
  --reclaims_left_;
  state.reclaim_tried = now;
  PlaceWish rest = wish;
  if (!wish.step->gang) {
    // What fitted has been started above.
    rest.tasks = 0;
    for (const int index : unit.waiting) {
      rest.tasks += unit.job->runs.count({unit.place.occurrence, unit.place.step, index}) == 0;
    }
  }
  const std::optional<ReclaimPlan> plan =
      ChooseVictims(rest, RoomsFor(unit, false, now), VictimsFor(unit, now));
  if (!plan) return;
  // Borrowed room is not worth more than what is done with it.
  if (!unit.entitled && plan->cost > OwnWork(rest)) return;
  for (const RunId& stop : plan->stops) {
    for (auto& [node, worker] : workers_) {
      const auto live = worker.live.find(stop);
      if (live == worker.live.end()) continue;
      Job* job = FindJob(stop.task.job);
      ++job->steps[{stop.task.occurrence, stop.task.step}].interrupted;
      StopRun(&worker, &live->second);
    }
  }
  reservations_[{unit.job->spec.id, unit.place}] = {plan->placement, wish.step->need,
                                                    now + kReservationLimit};
  LogEvent(LogLevel::kInfo, "room_reclaimed",
           {{"job", unit.job->spec.id},
            {"entitled", unit.entitled},
            {"stops", plan->stops.size()},
            {"lost_core_s", plan->cost},
            {"epoch", epoch_}});
}

void PoolPlanner::Start(const Unit& unit, const Placement& placement, Time now) {
  // The epoch stands in the high part, so that numbers rise over planners as well.
  constexpr int kStartBits = 24;
  const int64_t number = (epoch_ << kStartBits) + ++starts_;
  Job* job = unit.job;
  const StepSpec& step = job->spec.steps[static_cast<size_t>(unit.place.step)];
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
    run.fills = step.fills;
    run.since = now;
    run.payload = job->spec.payload;
    run.released_by = job->begun;
    const auto saved =
        job->progress.checkpoints.find({place.occurrence, place.step, step.gang ? 0 : index});
    if (saved != job->progress.checkpoints.end()) run.checkpoint = saved->second;
    worker.live[run.run] = run;
    worker.left -= run.need;
    if (run.fills) worker.left.processor_millis += run.need.processor_millis;
    if (run.released_by > outbox_.kept()) {
      releases_.emplace(run.released_by, worker.node);
    } else {
      ++worker.version;
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
  if (next > 0) job->steps.at(unit.place).ready_since.reset();
  if (unit.priority == 0) {
    urgent_use_[job->spec.workspace] += step.need.accelerators * static_cast<int64_t>(next);
  }
}

}  // namespace turmericshift::pool
