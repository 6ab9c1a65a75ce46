#include "modules/placement/cell_policy.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace turmericshift {
namespace {

// Gangs with at least this many accelerators get workers reserved.
constexpr int kLargeGang = 8;
constexpr double kReserveWorkersAfterSeconds = 60;
constexpr double kReserveCapAfterSeconds = 600;
constexpr size_t kMaxReservations = 4;
// Other jobs may backfill reserved workers if they are expected to end within this share of the
// time until the workers are free, because estimates are often far off.
constexpr double kBackfillShare = 0.5;
// The cost of a checkpointed stop and the restart, in seconds for each accelerator.
constexpr double kCheckpointSeconds = 60;
// Stopping recently started jobs costs more, so that the same jobs are not stopped repeatedly.
constexpr double kRecentStartSeconds = 300;
constexpr double kRecentStartFactor = 4;
constexpr double kUrgentPenalty = 1e9;
constexpr double kSparedCost = 1e12;
// Defragmentation pays off only if its cost is below this share of the wait that it saves.
constexpr double kMaxDefragmentCostShare = 0.5;
constexpr int kMaxMoves = 3;
constexpr double kNever = std::numeric_limits<double>::infinity();

int AcceleratorsOf(const JobSpec& spec) { return spec.shape.accelerators * spec.tasks; }

// Jobs with equal keys have the same chance of placement: if one of them could not be placed, the
// others can't be placed either.
using PlacementKey = std::tuple<int, int, int64_t, int, int, Adjacency, bool>;

PlacementKey PlacementKeyOf(const JobSpec& spec, int workspace) {
  return {workspace,  spec.shape.processors, spec.shape.memory_bytes, spec.shape.accelerators,
          spec.tasks, spec.adjacency,        CanBeStopped(spec)};
}

struct Candidate {
  const WaitingJob* job;
  int workspace;
  bool guaranteed;
  double remaining_seconds;
  double priority;
};

// The stages in which jobs within the guarantee of their workspace are placed. Guaranteed cells are
// room that belongs to a workspace; lent room is room outside the cells in use.
// - kFree: jobs start only in cells of their workspace whose room is free.
// - kReclaim: jobs that are urgent or can't be stopped may preempt jobs on lent room.
// - kAnywhere: the other jobs start on free lent room, or else preempt jobs on lent room.
enum class GuaranteeStage { kFree, kReclaim, kAnywhere };

// One scheduling pass over the waiting jobs.
class SchedulingPass {
 public:
  SchedulingPass(const ZoneView& view, const RunTimeEstimator& estimator, Time now,
                 Reservations* reservations)
      : view_(view), estimator_(estimator), now_(now), room_(view), reservations_(*reservations) {
    reserved_until_.assign(view.workers.size(), kNever);
    reserved_by_.assign(view.workers.size(), nullptr);
    stopped_.assign(view.running.size(), false);
    cost_ = [this](int job) { return StopCostOf(job); };
  }

  Plan Run() {
    const std::vector<Candidate> candidates = Candidates();
    RefreshReservations(candidates);
    ReserveCaps(candidates);
    std::vector<const Candidate*> open;
    open.reserve(candidates.size());
    for (const Candidate& candidate : candidates) open.push_back(&candidate);
    // Every guarantee is served before any room is lent: jobs whose cells are free first, then jobs
    // that have to reclaim room, then jobs that may also run on lent room.
    for (const GuaranteeStage stage :
         {GuaranteeStage::kFree, GuaranteeStage::kReclaim, GuaranteeStage::kAnywhere}) {
      std::erase_if(open, [&](const Candidate* each) { return ServeGuarantee(*each, stage); });
      failed_keys_.clear();
    }
    for (const Candidate* candidate : open) StartLentOrWait(*candidate);
    return std::move(plan_);
  }

 private:
  std::vector<Candidate> Candidates() {
    std::vector<Candidate> candidates;
    candidates.reserve(view_.waiting.size());
    for (const WaitingJob& job : view_.waiting) {
      if (job.cancel_asked || !job.obstacle.empty()) continue;
      Candidate candidate{&job, room_.WorkspaceIndex(job.spec.workspace), false,
                          estimator_.RemainingSeconds(job), 0};
      candidate.guaranteed = room_.HasUnbound(candidate.workspace);
      candidate.priority = Priority(candidate);
      candidates.push_back(candidate);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate& a, const Candidate& b) { return Rank(a) < Rank(b); });
    return candidates;
  }

  static std::tuple<bool, bool, double> Rank(const Candidate& candidate) {
    return {!candidate.job->spec.urgent, !candidate.guaranteed, -candidate.priority};
  }

  // Grows with the ratio of the wait to the job's remaining run time, so that short jobs go first
  // and long jobs do not starve. Falls with the accelerators that the workspace already uses
  // relative to its guarantee.
  double Priority(const Candidate& candidate) const {
    const double waited = Seconds(now_ - candidate.job->accepted);
    const double ratio = (waited + candidate.remaining_seconds) / candidate.remaining_seconds;
    const double guaranteed = std::max(1, room_.GuaranteedAccelerators(candidate.workspace));
    const double share = room_.AcceleratorsUsed(candidate.workspace) / guaranteed;
    return ratio / (1 + share);
  }

  // Reserves the caps of workspaces for large gangs: a gang that waits for its workspace's cap
  // would never start if shorter jobs of the workspace kept using the cap up.
  void ReserveCaps(const std::vector<Candidate>& candidates) {
    for (const Candidate& candidate : candidates) {
      const bool waited = Seconds(now_ - candidate.job->accepted) > kReserveCapAfterSeconds;
      if (!waited || AcceleratorsOf(candidate.job->spec) < kLargeGang) continue;
      if (!IsOverCap(candidate)) continue;
      double& reserved = cap_reservations_[candidate.workspace];
      reserved = std::max(reserved, candidate.priority);
    }
  }

  bool IsCapReservedForOther(const Candidate& candidate) const {
    const auto reserved = cap_reservations_.find(candidate.workspace);
    return reserved != cap_reservations_.end() && !candidate.job->spec.urgent &&
           candidate.priority < reserved->second;
  }

  bool IsOverCap(const Candidate& candidate) const {
    return room_.AcceleratorsUsed(candidate.workspace) + AcceleratorsOf(candidate.job->spec) >
           room_.AcceleratorCap(candidate.workspace);
  }

  // Returns true if the job starts within its workspace's cells or waits for them to become free.
  bool ServeGuarantee(const Candidate& candidate, GuaranteeStage stage) {
    const WaitingJob& job = *candidate.job;
    const int guaranteed = room_.GuaranteedAccelerators(candidate.workspace);
    if (guaranteed == 0 || AcceleratorsOf(job.spec) > guaranteed) return false;
    if (IsCapReservedForOther(candidate)) return false;
    const PlacementKey key = PlacementKeyOf(job.spec, candidate.workspace);
    if (failed_keys_.count(key) != 0) return false;
    if (TryStartInCells(candidate, stage)) return true;
    failed_keys_.emplace(key, "");
    return false;
  }

  // Stops the jobs of a workspace at its cap that run on lent room and are cheapest to stop.
  // Otherwise these jobs would keep the workspace from using its own guarantee.
  void StopOwnLentWorkOverCap(const Candidate& candidate) {
    int excess = room_.AcceleratorsUsed(candidate.workspace) + AcceleratorsOf(candidate.job->spec) -
                 room_.AcceleratorCap(candidate.workspace);
    std::vector<int> own_lent;
    for (size_t index = 0; index < view_.running.size(); ++index) {
      const RunningJob& job = view_.running[index];
      if (!job.borrowed || job.spec.workspace != candidate.job->spec.workspace) continue;
      if (job.stopping || stopped_[index]) {
        excess -= AcceleratorsOf(job.spec);
      } else {
        own_lent.push_back(static_cast<int>(index));
      }
    }
    std::stable_sort(own_lent.begin(), own_lent.end(),
                     [this](int a, int b) { return StopCostOf(a) < StopCostOf(b); });
    for (const int index : own_lent) {
      if (excess <= 0) return;
      excess -= AcceleratorsOf(view_.running[index].spec);
      Stop(index, StopReason::kReclaim);
    }
  }

  // Starts the job on lent room, or records why it waits.
  void StartLentOrWait(const Candidate& candidate) {
    const WaitingJob& job = *candidate.job;
    if (IsCapReservedForOther(candidate)) {
      return Wait(job,
                  "its workspace's accelerator cap is reserved for a gang that has waited longer");
    }
    const PlacementKey key = PlacementKeyOf(job.spec, candidate.workspace);
    const auto failed = failed_keys_.find(key);
    if (failed != failed_keys_.end()) return Wait(job, failed->second);
    if (IsOverCap(candidate)) return WaitFailed(job, key, AdmitRefusalText(AdmitRefusal::kOverCap));
    if (!CanBeStopped(job.spec)) {
      return WaitFailed(job, key, AdmitRefusalText(AdmitRefusal::kNotStoppable));
    }
    if (TryStartLent(candidate)) return;
    if (AcceleratorsOf(job.spec) >= kLargeGang) ReserveWorkers(candidate);
    // A failure is not remembered while reservations exist: whether a job may backfill reserved
    // workers depends on its run time, which is not part of the key.
    if (reservations_.empty()) failed_keys_.emplace(key, AdmitRefusalText(AdmitRefusal::kNoRoom));
    Wait(job, AdmitRefusalText(AdmitRefusal::kNoRoom));
  }

  bool TryStartInCells(const Candidate& candidate, GuaranteeStage stage) {
    const WaitingJob& job = *candidate.job;
    const bool over_cap = IsOverCap(candidate);
    if (stage == GuaranteeStage::kFree) {
      return !over_cap && TryStartBound(job, PlaceInCells(&room_, view_, job.spec, cost_, false));
    }
    // Running and waiting jobs of a workspace have the same value, so only a job that is urgent or
    // can't be stopped may preempt jobs of its own workspace.
    const bool deferrable = CanBeStopped(job.spec) && !job.spec.urgent;
    if (deferrable != (stage == GuaranteeStage::kAnywhere)) return false;
    // Free room elsewhere is preferred to preempting other jobs.
    if (deferrable && !over_cap && TryStartLent(candidate)) return true;
    spared_workspace_ = deferrable ? &job.spec.workspace : nullptr;
    if (over_cap && spared_workspace_ != nullptr) return false;
    const std::optional<CellPlacement> placement =
        PlaceInCells(&room_, view_, job.spec, cost_, true);
    if (!placement) return false;
    if (over_cap) StopOwnLentWorkOverCap(candidate);
    for (const int victim : placement->victims) {
      // The victim belongs to the candidate's own workspace and must not be stopped. The candidate
      // waits for it to end; PlaceInCells has bound the cells, so no other workspace gets their
      // room in this pass.
      if (!IsSpared(victim)) continue;
      Wait(job, "other jobs of its workspace use the guaranteed room");
      return true;
    }
    if (!over_cap && TryStartBound(job, placement)) return true;
    for (const int victim : placement->victims) Stop(victim, StopReason::kReclaim);
    room_.Reserve(job.spec, placement->tasks);
    Wait(job, "its guaranteed room is being reclaimed from borrowing jobs");
    return true;
  }

  bool TryStartBound(const WaitingJob& job, const std::optional<CellPlacement>& placement) {
    if (!placement || !placement->victims.empty()) return false;
    if (!room_.HasFreeRoom(job.spec, placement->tasks)) return false;
    room_.Allocate(job.spec, placement->tasks);
    plan_.starts.push_back({job.id, job.last_attempt + 1, false, placement->tasks});
    return true;
  }

  bool TryStartLent(const Candidate& candidate) {
    const JobSpec& spec = candidate.job->spec;
    const auto tasks = PlaceBestFit(room_, spec, [&](int worker) {
      return reserved_by_[worker] == nullptr || *reserved_by_[worker] == candidate.job->id ||
             candidate.remaining_seconds <= kBackfillShare * reserved_until_[worker];
    });
    if (!tasks) return false;
    StartDecision start{candidate.job->id, candidate.job->last_attempt + 1, true, *tasks};
    if (room_.Admit(spec, &start) != AdmitRefusal::kNone) return false;
    plan_.starts.push_back(std::move(start));
    return true;
  }

  void Stop(int index, StopReason reason) {
    const RunningJob& job = view_.running[index];
    if (job.stopping || stopped_[index]) return;
    stopped_[index] = true;
    plan_.stops.push_back({job.id, job.attempt, job.spec.checkpoints, reason});
  }

  bool IsSpared(int index) const {
    const RunningJob& job = view_.running[index];
    return spared_workspace_ != nullptr && job.spec.workspace == *spared_workspace_ &&
           !job.stopping && !stopped_[index];
  }

  double StopCostOf(int index) const {
    const RunningJob& job = view_.running[index];
    if (stopped_[index]) return 0;
    if (IsSpared(index)) return kSparedCost;
    const double ran = Seconds(now_ - job.started);
    const double lost =
        job.spec.checkpoints ? kCheckpointSeconds : Seconds(now_ - job.last_checkpoint);
    double cost = lost * std::max(1, AcceleratorsOf(job.spec)) * (1 + job.restarts);
    if (ran < kRecentStartSeconds) cost *= kRecentStartFactor;
    if (job.spec.urgent) cost += kUrgentPenalty;
    return cost;
  }

  // Keeps the reservations of jobs that still wait and whose workers are all still usable; drops
  // the others.
  void RefreshReservations(const std::vector<Candidate>& candidates) {
    std::set<std::string> waiting;
    for (const Candidate& candidate : candidates) waiting.insert(candidate.job->id);
    std::erase_if(reservations_,
                  [&](const auto& entry) { return waiting.count(entry.first) == 0; });
    if (reservations_.empty()) return;
    ComputeDrainTimes();
    for (auto& [job, names] : reservations_) {
      std::vector<int> workers;
      for (const std::string& name : names) workers.push_back(room_.WorkerIndex({0, name}));
      const bool gone = std::any_of(workers.begin(), workers.end(), [this](int worker) {
        return worker < 0 || !room_.workers()[worker].usable;
      });
      if (gone) {
        names.clear();
      } else {
        MarkReserved(job, workers);
      }
    }
    std::erase_if(reservations_, [](const auto& entry) { return entry.second.empty(); });
  }

  double MarkReserved(const std::string& job, const std::vector<int>& workers) {
    const auto entry = reservations_.find(job);
    double ready = 0;
    for (const int worker : workers) ready = std::max(ready, drain_seconds_[worker]);
    for (const int worker : workers) {
      reserved_until_[worker] = ready;
      reserved_by_[worker] = &entry->first;
      room_.MarkSoftReserved(worker);
    }
    return ready;
  }

  // Reserves for a large gang the workers that are expected to be free first. An existing
  // reservation is kept.
  void ReserveWorkers(const Candidate& candidate) {
    const WaitingJob& job = *candidate.job;
    const double waited = Seconds(now_ - job.accepted);
    if (drain_seconds_.empty()) ComputeDrainTimes();
    const auto found = reservations_.find(job.id);
    std::vector<int> workers;
    if (found != reservations_.end()) {
      for (const std::string& name : found->second) workers.push_back(room_.WorkerIndex({0, name}));
    } else {
      if (reservations_.size() >= kMaxReservations) return;
      if (!job.spec.urgent && waited < kReserveWorkersAfterSeconds) return;
      workers = EarliestFreeWorkers(job.spec);
      if (workers.empty()) return;
      std::vector<std::string>& names = reservations_[job.id];
      for (const int worker : workers) names.emplace_back(room_.workers()[worker].name);
    }
    const double ready = MarkReserved(job.id, workers);
    Defragment(candidate, workers, ready);
  }

  void ComputeDrainTimes() {
    drain_seconds_.assign(view_.workers.size(), 0);
    jobs_on_.assign(view_.workers.size(), {});
    for (size_t index = 0; index < view_.running.size(); ++index) {
      const RunningJob& job = view_.running[index];
      const double remaining_seconds = estimator_.RemainingSeconds(job, now_);
      for (const TaskOnWorker& task : job.tasks) {
        const int worker = room_.WorkerIndex(task);
        if (worker < 0) continue;
        drain_seconds_[worker] = std::max(drain_seconds_[worker], remaining_seconds);
        jobs_on_[worker].push_back(static_cast<int>(index));
      }
    }
  }

  // Returns the workers that are free earliest, as many as the job needs; all in one rack if the
  // job requires it.
  std::vector<int> EarliestFreeWorkers(const JobSpec& spec) const {
    std::vector<int> best;
    double least_seconds = kNever;
    std::vector<std::vector<int>> groups = room_.racks();
    if (spec.adjacency != Adjacency::kSameRack) {
      groups.assign(1, {});
      for (size_t worker = 0; worker < view_.workers.size(); ++worker) {
        groups[0].push_back(static_cast<int>(worker));
      }
    }
    for (std::vector<int>& group : groups) {
      const std::vector<int> chosen = EarliestFreeIn(&group, spec);
      double ready = 0;
      for (const int worker : chosen) ready = std::max(ready, drain_seconds_[worker]);
      if (chosen.empty() || ready >= least_seconds) continue;
      least_seconds = ready;
      best = chosen;
    }
    return best;
  }

  std::vector<int> EarliestFreeIn(std::vector<int>* group, const JobSpec& spec) const {
    std::erase_if(*group, [this](int worker) {
      return !room_.workers()[worker].usable || reserved_until_[worker] != kNever;
    });
    std::stable_sort(group->begin(), group->end(),
                     [this](int a, int b) { return drain_seconds_[a] < drain_seconds_[b]; });
    const int on_worker = spec.shape.accelerators == 0
                              ? 1
                              : room_.sizes().worker().accelerators / spec.shape.accelerators;
    const size_t needed = (spec.tasks + std::max(1, on_worker) - 1) / std::max(1, on_worker);
    if (group->size() < needed) return {};
    return {group->begin(), group->begin() + static_cast<std::ptrdiff_t>(needed)};
  }

  // Stops checkpointable jobs on lent room on the gang's workers if stopping them costs less than
  // the wait that it saves the gang. The stopped jobs restart on other workers that are already
  // partly used.
  void Defragment(const Candidate& candidate, const std::vector<int>& workers, double ready) {
    double cost = 0;
    int moved = 0;
    std::set<int> victims;
    for (const int worker : workers) {
      for (const int index : jobs_on_[worker]) {
        const RunningJob& job = view_.running[index];
        if (job.stopping) return;
        const bool movable = job.borrowed && job.spec.checkpoints && !job.spec.urgent &&
                             job.restarts < kMaxMoves &&
                             Seconds(now_ - job.started) >= kRecentStartSeconds;
        if (!movable) return;
        if (!victims.insert(index).second) continue;
        cost += kCheckpointSeconds * AcceleratorsOf(job.spec);
        moved += AcceleratorsOf(job.spec);
      }
    }
    int free = 0;
    for (const RoomWorker& worker : room_.workers()) {
      if (worker.usable) free += std::popcount(worker.free_accelerators);
    }
    const int needed = AcceleratorsOf(candidate.job->spec);
    // The zone must have room for both the gang and the moved jobs; otherwise the gang would only
    // displace these jobs.
    if (free < needed || moved > needed) return;
    const double saved = ready * needed;
    if (cost > saved * kMaxDefragmentCostShare) return;
    for (const int victim : victims) Stop(victim, StopReason::kDefragment);
  }

  void WaitFailed(const WaitingJob& job, const PlacementKey& key, const std::string& reason) {
    failed_keys_.emplace(key, reason);
    Wait(job, reason);
  }

  void Wait(const WaitingJob& job, const std::string& reason) {
    plan_.waits.push_back({job.id, reason});
  }

  const ZoneView& view_;
  const RunTimeEstimator& estimator_;
  const Time now_;
  ZoneRoom room_;
  Plan plan_;
  StopCost cost_;
  std::map<PlacementKey, std::string> failed_keys_;
  // The priority of the gang for which a workspace's accelerator cap is reserved, by workspace
  // index.
  std::map<int, double> cap_reservations_;
  std::vector<bool> stopped_;
  // While set, running jobs of this workspace must not be stopped for the current candidate.
  const std::string* spared_workspace_ = nullptr;
  Reservations& reservations_;
  // For each worker, the id of the job it is reserved for, or null.
  std::vector<const std::string*> reserved_by_;
  // Seconds from now until each reserved worker is expected to be free. Other jobs must end before
  // that time.
  std::vector<double> reserved_until_;
  std::vector<double> drain_seconds_;
  std::vector<std::vector<int>> jobs_on_;
};

}  // namespace

Plan CellPolicy::Decide(const ZoneView& view, Time now) {
  if (!view.in) return DrainZone(view, now);
  out_since_.reset();
  return SchedulingPass(view, estimator_, now, &reservations_).Run();
}

Plan CellPolicy::DrainZone(const ZoneView& view, Time now) {
  if (!out_since_) out_since_ = now;
  Plan plan;
  // Jobs that are stopped immediately would wait for room in zones that are full at that time,
  // while their own workers are idle. Many of them end by themselves before the zone has to be
  // empty.
  if (now - *out_since_ < view.environment->bounds.zone_drain) return plan;
  for (const RunningJob& job : view.running) {
    // Jobs that can't be checkpointed would lose all their work if stopped, so they may finish in
    // this zone.
    if (job.stopping || !job.spec.checkpoints) continue;
    plan.stops.push_back({job.id, job.attempt, true, StopReason::kZoneOut});
  }
  return plan;
}

void CellPolicy::Learn(const JobSpec& spec, Duration run_time, Time /*now*/) {
  estimator_.Learn(spec, run_time);
}

}  // namespace turmericshift
