#include "modules/placement/cell_policy.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace turmericshift {
namespace {

// Gangs of this many accelerators and more get workers reserved.
constexpr int kLargeGang = 8;
constexpr double kReserveAfterSeconds = 60;
constexpr double kHoldCapAfterSeconds = 600;
constexpr size_t kMaxReservations = 4;
// Other work may use reserved workers if it is expected to end within this share of the time until
// they are free: estimates are often far off.
constexpr double kBackfillShare = 0.5;
// What stopping with a checkpoint and starting again costs each accelerator.
constexpr double kCheckpointSeconds = 60;
// Work that was started this recently goes last, so that it is not stopped again and again.
constexpr double kSettleSeconds = 300;
constexpr double kSettleFactor = 4;
constexpr double kUrgentPenalty = 1e9;
constexpr double kSparedCost = 1e12;
// Moving work together pays only if it costs less than this share of the wait that it saves.
constexpr double kDefragmentShare = 0.5;
constexpr int kMaxMoves = 3;
constexpr double kNever = std::numeric_limits<double>::infinity();

int AcceleratorsOf(const JobSpec& spec) { return spec.shape.accelerators * spec.tasks; }

// Jobs of one kind fail to be placed together.
using Kind = std::tuple<int, int, int64_t, int, int, Adjacency, bool>;

Kind KindOf(const JobSpec& spec, int workspace) {
  return {workspace,  spec.shape.processors, spec.shape.memory_bytes, spec.shape.accelerators,
          spec.tasks, spec.adjacency,        CanBeStopped(spec)};
}

struct Candidate {
  const WaitingJob* job;
  int workspace;
  bool guaranteed;
  double remaining;
  double priority;
};

// How a job may come by its workspace's cells.
enum class Serve { kFree, kReclaim, kAnywhere };

// One pass over the waiting jobs.
class Pass {
 public:
  Pass(const ZoneView& view, const RunTimeEstimator& estimator, Time now,
       Reservations* reservations)
      : view_(view), estimator_(estimator), now_(now), room_(view), reservations_(*reservations) {
    reserved_until_.assign(view.workers.size(), kNever);
    gatherer_.assign(view.workers.size(), nullptr);
    stopped_.assign(view.running.size(), false);
    cost_ = [this](int job) { return StopCostOf(job); };
  }

  Plan Run() {
    const std::vector<Candidate> candidates = Candidates();
    KeepReservations(candidates);
    HoldCaps(candidates);
    std::vector<const Candidate*> open;
    open.reserve(candidates.size());
    for (const Candidate& candidate : candidates) open.push_back(&candidate);
    // Every guarantee is served before any room is lent: those that find their cells free, then
    // those that must have room back, then those that may run on lent room as well.
    for (const Serve serve : {Serve::kFree, Serve::kReclaim, Serve::kAnywhere}) {
      std::erase_if(open, [&](const Candidate* each) { return ServeGuarantee(*each, serve); });
      failed_.clear();
    }
    for (const Candidate* candidate : open) Lend(*candidate);
    return std::move(plan_);
  }

 private:
  std::vector<Candidate> Candidates() {
    std::vector<Candidate> candidates;
    candidates.reserve(view_.waiting.size());
    for (const WaitingJob& job : view_.waiting) {
      if (job.cancel_asked || !job.obstacle.empty()) continue;
      Candidate candidate{&job, room_.WorkspaceIndex(job.spec.workspace), false,
                          estimator_.Remaining(job), 0};
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

  // Grows with the wait measured in the job's own length, so that short work goes first and long
  // work is not forgotten; falls with what the workspace already has.
  double Priority(const Candidate& candidate) const {
    const double waited = Seconds(now_ - candidate.job->accepted);
    const double ratio = (waited + candidate.remaining) / candidate.remaining;
    const double guaranteed = std::max(1, room_.GuaranteedAccelerators(candidate.workspace));
    const double share = room_.AcceleratorsUsed(candidate.workspace) / guaranteed;
    return ratio / (1 + share);
  }

  // A gang that its workspace's cap keeps waiting would never start if shorter work of the
  // workspace kept using the cap up.
  void HoldCaps(const std::vector<Candidate>& candidates) {
    for (const Candidate& candidate : candidates) {
      const bool waited = Seconds(now_ - candidate.job->accepted) > kHoldCapAfterSeconds;
      if (!waited || AcceleratorsOf(candidate.job->spec) < kLargeGang) continue;
      if (!OverCap(candidate)) continue;
      double& held = cap_held_[candidate.workspace];
      held = std::max(held, candidate.priority);
    }
  }

  bool MustLeaveCap(const Candidate& candidate) const {
    const auto held = cap_held_.find(candidate.workspace);
    return held != cap_held_.end() && !candidate.job->spec.urgent &&
           candidate.priority < held->second;
  }

  bool OverCap(const Candidate& candidate) const {
    return room_.AcceleratorsUsed(candidate.workspace) + AcceleratorsOf(candidate.job->spec) >
           room_.AcceleratorCap(candidate.workspace);
  }

  // Returns whether the job starts within its workspace's cells or waits for them to come free.
  bool ServeGuarantee(const Candidate& candidate, Serve serve) {
    const WaitingJob& job = *candidate.job;
    const int guaranteed = room_.GuaranteedAccelerators(candidate.workspace);
    if (guaranteed == 0 || AcceleratorsOf(job.spec) > guaranteed) return false;
    if (MustLeaveCap(candidate)) return false;
    const Kind kind = KindOf(job.spec, candidate.workspace);
    if (failed_.count(kind) != 0) return false;
    if (StartInCells(candidate, serve)) return true;
    failed_.emplace(kind, "");
    return false;
  }

  // Lent work of a workspace at its cap must not keep it from its own guarantee: the cheapest goes.
  void MakeRoomUnderCap(const Candidate& candidate) {
    int over = room_.AcceleratorsUsed(candidate.workspace) + AcceleratorsOf(candidate.job->spec) -
               room_.AcceleratorCap(candidate.workspace);
    std::vector<int> own;
    for (size_t index = 0; index < view_.running.size(); ++index) {
      const RunningJob& job = view_.running[index];
      if (!job.borrowed || job.spec.workspace != candidate.job->spec.workspace) continue;
      if (job.stopping || stopped_[index]) {
        over -= AcceleratorsOf(job.spec);
      } else {
        own.push_back(static_cast<int>(index));
      }
    }
    std::stable_sort(own.begin(), own.end(),
                     [this](int a, int b) { return StopCostOf(a) < StopCostOf(b); });
    for (const int index : own) {
      if (over <= 0) return;
      over -= AcceleratorsOf(view_.running[index].spec);
      Stop(index, StopReason::kReclaim);
    }
  }

  // Starts the job on room that is lent to it.
  void Lend(const Candidate& candidate) {
    const WaitingJob& job = *candidate.job;
    if (MustLeaveCap(candidate)) {
      return Wait(job, "its workspace's accelerator cap is kept for a gang that has waited longer");
    }
    const Kind kind = KindOf(job.spec, candidate.workspace);
    const auto failed = failed_.find(kind);
    if (failed != failed_.end()) return Wait(job, failed->second);
    if (OverCap(candidate)) return Fail(job, kind, AdmitRefusalText(AdmitRefusal::kOverCap));
    if (!CanBeStopped(job.spec)) {
      return Fail(job, kind, AdmitRefusalText(AdmitRefusal::kNotStoppable));
    }
    if (StartLent(candidate)) return;
    if (AcceleratorsOf(job.spec) >= kLargeGang) Gather(candidate);
    // What short work may use of reserved workers depends on its length, so it is not remembered.
    if (reservations_.empty()) failed_.emplace(kind, AdmitRefusalText(AdmitRefusal::kNoRoom));
    Wait(job, AdmitRefusalText(AdmitRefusal::kNoRoom));
  }

  bool StartInCells(const Candidate& candidate, Serve serve) {
    const WaitingJob& job = *candidate.job;
    const bool over_cap = OverCap(candidate);
    if (serve == Serve::kFree) {
      return !over_cap && StartBound(job, PlaceInCells(&room_, view_, job.spec, cost_, false));
    }
    // What a workspace runs already is as good as what it wants to run: only work that has no other
    // way stops other work of its own workspace.
    const bool patient = CanBeStopped(job.spec) && !job.spec.urgent;
    if (patient != (serve == Serve::kAnywhere)) return false;
    // Free room elsewhere is better than having room back from other work.
    if (patient && !over_cap && StartLent(candidate)) return true;
    spare_workspace_ = patient ? &job.spec.workspace : nullptr;
    if (over_cap && spare_workspace_ != nullptr) return false;
    const std::optional<CellPlacement> placement =
        PlaceInCells(&room_, view_, job.spec, cost_, true);
    if (!placement) return false;
    if (over_cap) MakeRoomUnderCap(candidate);
    for (const int victim : placement->victims) {
      // The cells are bound in this pass, so the room is kept until some of that work ends.
      if (!Spared(victim)) continue;
      Wait(job, "its workspace's other work holds its guaranteed room");
      return true;
    }
    if (!over_cap && StartBound(job, placement)) return true;
    for (const int victim : placement->victims) Stop(victim, StopReason::kReclaim);
    room_.Reserve(job.spec, placement->tasks);
    Wait(job, "its guaranteed room is being had back from borrowed work");
    return true;
  }

  bool StartBound(const WaitingJob& job, const std::optional<CellPlacement>& placement) {
    if (!placement || !placement->victims.empty()) return false;
    if (!room_.HasFreeRoom(job.spec, placement->tasks)) return false;
    room_.Take(job.spec, placement->tasks);
    plan_.starts.push_back({job.id, job.last_attempt + 1, false, placement->tasks});
    return true;
  }

  bool StartLent(const Candidate& candidate) {
    const JobSpec& spec = candidate.job->spec;
    const auto tasks = PlaceTight(room_, spec, [&](int worker) {
      return gatherer_[worker] == nullptr || *gatherer_[worker] == candidate.job->id ||
             candidate.remaining <= kBackfillShare * reserved_until_[worker];
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

  bool Spared(int index) const {
    const RunningJob& job = view_.running[index];
    return spare_workspace_ != nullptr && job.spec.workspace == *spare_workspace_ &&
           !job.stopping && !stopped_[index];
  }

  double StopCostOf(int index) const {
    const RunningJob& job = view_.running[index];
    if (stopped_[index]) return 0;
    if (Spared(index)) return kSparedCost;
    const double ran = Seconds(now_ - job.started);
    const double lost =
        job.spec.checkpoints ? kCheckpointSeconds : Seconds(now_ - job.last_checkpoint);
    double cost = lost * std::max(1, AcceleratorsOf(job.spec)) * (1 + job.restarts);
    if (ran < kSettleSeconds) cost *= kSettleFactor;
    if (job.spec.urgent) cost += kUrgentPenalty;
    return cost;
  }

  // Reservations of jobs that still wait, on workers that are still there.
  void KeepReservations(const std::vector<Candidate>& candidates) {
    std::set<std::string> waiting;
    for (const Candidate& candidate : candidates) waiting.insert(candidate.job->id);
    std::erase_if(reservations_,
                  [&](const auto& entry) { return waiting.count(entry.first) == 0; });
    if (reservations_.empty()) return;
    ComputeDrains();
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
      gatherer_[worker] = &entry->first;
      room_.MarkSoftReserved(worker);
    }
    return ready;
  }

  // Reserves for a large gang the workers that are expected to be free first, and keeps them.
  void Gather(const Candidate& candidate) {
    const WaitingJob& job = *candidate.job;
    const double waited = Seconds(now_ - job.accepted);
    if (drain_seconds_.empty()) ComputeDrains();
    const auto kept = reservations_.find(job.id);
    std::vector<int> workers;
    if (kept != reservations_.end()) {
      for (const std::string& name : kept->second) workers.push_back(room_.WorkerIndex({0, name}));
    } else {
      if (reservations_.size() >= kMaxReservations) return;
      if (!job.spec.urgent && waited < kReserveAfterSeconds) return;
      workers = SoonestFree(job.spec);
      if (workers.empty()) return;
      std::vector<std::string>& names = reservations_[job.id];
      for (const int worker : workers) names.emplace_back(room_.workers()[worker].name);
    }
    const double ready = MarkReserved(job.id, workers);
    Defragment(candidate, workers, ready);
  }

  void ComputeDrains() {
    drain_seconds_.assign(view_.workers.size(), 0);
    tasks_on_.assign(view_.workers.size(), {});
    for (size_t index = 0; index < view_.running.size(); ++index) {
      const RunningJob& job = view_.running[index];
      const double remaining = estimator_.Remaining(job, now_);
      for (const TaskOnWorker& task : job.tasks) {
        const int worker = room_.WorkerIndex(task);
        if (worker < 0) continue;
        drain_seconds_[worker] = std::max(drain_seconds_[worker], remaining);
        tasks_on_[worker].push_back(static_cast<int>(index));
      }
    }
  }

  // Enough workers for the job, soonest free first; of one rack where it must stay in one.
  std::vector<int> SoonestFree(const JobSpec& spec) const {
    std::vector<int> best;
    double least = kNever;
    std::vector<std::vector<int>> groups = room_.racks();
    if (spec.adjacency != Adjacency::kSameRack) {
      groups.assign(1, {});
      for (size_t worker = 0; worker < view_.workers.size(); ++worker) {
        groups[0].push_back(static_cast<int>(worker));
      }
    }
    for (std::vector<int>& group : groups) {
      const std::vector<int> chosen = SoonestOf(&group, spec);
      double ready = 0;
      for (const int worker : chosen) ready = std::max(ready, drain_seconds_[worker]);
      if (chosen.empty() || ready >= least) continue;
      least = ready;
      best = chosen;
    }
    return best;
  }

  std::vector<int> SoonestOf(std::vector<int>* group, const JobSpec& spec) const {
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

  // Stops checkpointable lent work on the gang's workers when that costs less than the wait it
  // saves; the moved work goes on elsewhere, on workers that are broken already.
  void Defragment(const Candidate& candidate, const std::vector<int>& workers, double ready) {
    double cost = 0;
    int moved = 0;
    std::set<int> victims;
    for (const int worker : workers) {
      for (const int index : tasks_on_[worker]) {
        const RunningJob& job = view_.running[index];
        if (job.stopping) return;
        const bool movable = job.borrowed && job.spec.checkpoints && !job.spec.urgent &&
                             job.restarts < kMaxMoves &&
                             Seconds(now_ - job.started) >= kSettleSeconds;
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
    const int gang = AcceleratorsOf(candidate.job->spec);
    // What is moved must find room beside the gang, or the gang merely takes its place.
    if (free < gang || moved > gang) return;
    const double gain = ready * gang;
    if (cost > gain * kDefragmentShare) return;
    for (const int victim : victims) Stop(victim, StopReason::kDefragment);
  }

  void Fail(const WaitingJob& job, const Kind& kind, const std::string& reason) {
    failed_.emplace(kind, reason);
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
  std::map<Kind, std::string> failed_;
  // By workspace, the priority of the gang that waits for its cap.
  std::map<int, double> cap_held_;
  std::vector<bool> stopped_;
  // Its work is not to be stopped for the job that is looked at.
  const std::string* spare_workspace_ = nullptr;
  Reservations& reservations_;
  // The job that gathers each worker, if any.
  std::vector<const std::string*> gatherer_;
  // Work may be put on the worker only if it is gone by then, in seconds from now.
  std::vector<double> reserved_until_;
  std::vector<double> drain_seconds_;
  std::vector<std::vector<int>> tasks_on_;
};

}  // namespace

Plan CellPolicy::Decide(const ZoneView& view, Time now) {
  if (!view.in) return LeaveZone(view, now);
  out_since_.reset();
  return Pass(view, estimator_, now, &reservations_).Run();
}

Plan CellPolicy::LeaveZone(const ZoneView& view, Time now) {
  if (!out_since_) out_since_ = now;
  Plan plan;
  // Stopped at once, work would wait for room in zones that are full just then, while its own
  // workers stand idle; much of it ends by itself before the zone has to be empty.
  if (now - *out_since_ < view.environment->bounds.zone_drain) return plan;
  for (const RunningJob& job : view.running) {
    // Work that can't be checkpointed would be lost whole; it may finish here.
    if (job.stopping || !job.spec.checkpoints) continue;
    plan.stops.push_back({job.id, job.attempt, true, StopReason::kZoneOut});
  }
  return plan;
}

void CellPolicy::Learn(const JobSpec& spec, Duration run_time, Time /*now*/) {
  estimator_.Learn(spec, run_time);
}

}  // namespace turmericshift
