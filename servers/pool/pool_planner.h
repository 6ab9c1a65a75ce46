// Plans one pool: takes jobs in, gives tasks to workers, takes their ends in. Plain decisions with
// the time passed in; PlannerService has the threads, the store and the sessions.
//
// What the planner knows of running tasks is not in the store. A new planner learns it from the
// agents, and starts nothing that an older planner may have running until it has heard every agent
// or their leases have run out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "servers/pool/advice_cache.h"
#include "servers/pool/job_estimator.h"
#include "servers/pool/job_table.h"
#include "servers/pool/mechanism.h"
#include "servers/pool/outbox.h"
#include "servers/pool/placer.h"
#include "servers/pool/planner_lag.h"
#include "servers/pool/pool_config.h"
#include "servers/pool/pool_messages.h"
#include "servers/pool/reclaimer.h"
#include "servers/pool/room_forecast.h"
#include "servers/pool/urgent_reserve.h"
#include "servers/pool/worker_health_tracker.h"
#include "servers/pool/worker_state.h"

namespace turmericshift::pool {

// Times within the bounds of a platform: pool_bounds.h works them out.
struct PlannerOptions {
  // What a running task may outlive the last word of its planner by. Below what workers grant at
  // most; above the time that a successor needs to take over and reach the agents (silence of 1.4 s
  // at most, a claim, a poll of 0.5 s that ends by its patience of 0.7 s).
  Duration lease = std::chrono::milliseconds(4000);
  // Added before a lease counts as run out: workers' clocks run slow, and the stop takes its time.
  Duration lease_margin = std::chrono::milliseconds(600);
  // How long an agent may go on obeying a planner whose duty nobody confirms.
  Duration unconfirmed_limit = std::chrono::seconds(10);
  // No starts when the planner's own duty was last confirmed longer ago than this,
  Duration confirm_age_limit = std::chrono::milliseconds(1200);
  // or the operators' documents were last read longer ago than this.
  Duration document_age_limit = std::chrono::milliseconds(2000);
  // Starts are carried out at most so long after the agent asked. Together with the two limits it
  // stays below the bounds on cancelled jobs and on zones that are out.
  Duration start_window = std::chrono::milliseconds(1500);
  // A gang whose members have not all started by then is stopped; its workers wait longer.
  Duration gang_start_timeout = std::chrono::milliseconds(1300);
  // The same at most, whatever the planner is late by: they would be waiting alone by then.
  Duration max_gang_start_timeout = std::chrono::milliseconds(2100);
  // A single start that is not answered by then is taken back.
  Duration start_timeout = std::chrono::milliseconds(2500);
  // An urgent gang within its workspace's guarantee that finds no rack goes over several after
  // this, so that it begins within the bound on reclaiming with time to spare for the start.
  Duration guaranteed_off_rack_delay = std::chrono::milliseconds(1300);
  // Room that comes free by itself within this is waited for also by those to whom it is owed.
  Duration guaranteed_wait_limit = std::chrono::milliseconds(800);
  // A stop takes so long at most.
  Duration stop = std::chrono::milliseconds(400);
  // Room that is being freed is held for so long for the one it is freed for.
  Duration reservation_limit = std::chrono::milliseconds(1500);
  // Going on from a saved state takes so long.
  Duration restore = std::chrono::milliseconds(600);
  // Ended jobs are known for so long.
  Duration ended_job_retention = std::chrono::seconds(130);
  // Tasks away from their data, and gangs over several racks that want one, take so many times as
  // long.
  double off_rack_slowdown = 3;
  // Left out of the policy.
  DisabledMechanisms disabled_mechanisms;
  // What one append may carry.
  size_t max_append_bytes = size_t{1} << 20;
};

// What became of a cancellation.
struct CancelResult {
  bool known = false;
  // The cancellation holds once this is kept; 0: the job was over already.
  Ticket ticket = 0;
};

class PoolPlanner {
 public:
  // `book`: everything in the work topic when the duty was claimed. `nodes`: agents that may have
  // something running.
  PoolPlanner(const PlannerOptions& options, int64_t epoch, const JobTable& book,
              const std::set<std::string>& nodes, Time now);

  int64_t epoch() const { return epoch_; }
  Outbox& outbox() { return outbox_; }

  // The store has confirmed the duty by an answer to what was asked at `asked`.
  void ConfirmLeadership(Time asked);
  // Whether the duty was confirmed so lately that nobody can have taken it over since.
  bool LeadershipConfirmed(Time now) const;
  void SetOperatorState(std::shared_ptr<const OperatorState> state, Time asked);
  // The planner before has been heard to plan no more, so it grants no lease from now on.
  void PredecessorGone(Time now);

  // Takes a job in; idempotent by id. The job is accepted once the ticket is kept.
  Ticket Submit(const JobSpec& spec);
  bool HasJob(const std::string& id) const { return jobs_.count(id) > 0; }
  // Takes a submission back that is not accepted yet; false when its record may be on its way or
  // the job has been cancelled.
  bool WithdrawSubmission(const std::string& id);
  CancelResult Cancel(const std::string& id, int64_t wall_ms);

  void ApplyReport(const AgentReport& report, int64_t wall_ms, Time now);
  // Whether there is something that the agent has not been told.
  bool HasPendingOrders(const std::string& node) const;
  // Rises whenever there is something new for any agent.
  int64_t news() const { return news_; }
  // A round of planning may bring something new.
  bool changed() const { return changed_; }
  // The agent's poll is answered.
  void NotePollAnswered(const std::string& node, Time now) { lateness_.Answered(node, now); }
  Duration lag() const { return lateness_.lag(); }
  // The answer to one of the agent's reports. The lease in it counts from that report on.
  AgentOrders Orders(const std::string& node, Time now);

  // Gives out what can be given out. Call after every change and at least each 100 ms; a call
  // without a change since the last costs next to nothing.
  void Plan(int64_t wall_ms, Time now);
  // Records have been kept since the last call.
  void NoteDurable();

  // What the advice service should be asked now, and its answers.
  AdviceCache& advice() { return advice_; }
  // Advice has come in that bears on placing.
  void NoteAdvice() { changed_ = true; }

  const std::map<std::string, WorkerState>& workers() const { return workers_; }
  size_t job_count() const { return jobs_.size(); }

 private:
  struct TaskRun {
    int64_t number = 0;
    std::string node;
  };
  // What the planner remembers of a step while it waits or runs.
  struct StepState {
    std::optional<Time> ready_since;
    // Not before this: something went wrong a moment ago.
    Time not_before{};
    int interrupted = 0;
    // When stopping others for it was weighed last.
    std::optional<Time> reclaim_tried;
  };
  struct Job {
    JobSpec spec;
    JobProgress progress;
    // Nothing of the job is started until this is kept.
    Ticket accepted = 0;
    // The record that tells that it may run; nothing is ordered before that is kept.
    Ticket begun = 0;
    // Its newest record.
    Ticket changed = 0;
    // An older planner may have parts of it running.
    bool inherited = false;
    // What its queue lays down now.
    const QueueTerms* terms = nullptr;
    std::map<TaskPlace, TaskRun> runs;
    std::map<StepPlace, StepState> steps;
  };
  // What a job can still be, were it started now. In the order in which work of one priority goes:
  // the last call is for one that is late and would soon be of no use.
  enum class Prospect { kExpiringJobsFirst, kInTime, kLate, kUseless };
  // Tasks of one step that could start now.
  struct Unit {
    Job* job = nullptr;
    StepPlace place;
    std::vector<int> waiting;
    int priority = 0;
    bool entitled = false;
    // Milliseconds since 1970 at which its job came or was due to begin, and by when it should be
    // done.
    int64_t begun_ms = 0;
    int64_t due_ms = 0;
    // What bears on whether its job comes in time.
    JobTiming timing;
    // What one of the tasks should take.
    Duration expected{};
    Prospect prospect = Prospect::kInTime;
  };
  struct Reservation {
    Placement placement;
    Room need;
    Time until{};
  };
  using UnitKey = std::pair<std::string, StepPlace>;
  // A worker that is kept for a unit which can begin there at `ready_at`.
  struct Hold {
    UnitKey key;
    Time ready_at{};
    // What others may take beyond that moment.
    Room spare;
  };

  // Reports: pool_planner_reports.cc.
  // Notes which process of the agent reports. False for one that has been replaced: its connection
  // may hold reports that are read after the first of its successor's, and whose lists and worker
  // are those of before. Taken for news they would have what runs now taken for lost.
  bool AcceptIncarnation(const AgentReport& report, WorkerState* worker, Time now);
  void TakeFacts(const AgentReport& report, WorkerState* worker, Time now);
  void TakeRunning(const AgentReport& report, WorkerState* worker, Time now);
  void StopUnclearRuns(WorkerState* worker);
  void JudgeStandstill(const WorkerState& worker, Time now);
  void Adopt(const RunningTask& running, WorkerState* worker, Time now);
  void TakeResult(const StartResult& result, WorkerState* worker, Time now);
  void TakeEnd(const EndedTask& end, WorkerState* worker, int64_t wall_ms, Time now);
  // Learns from a stop that has ended the run how long stops take.
  void NoteStop(const LiveRun& run, Time now);
  void TakeDone(const EndedTask& end, Job* job, int64_t wall_ms);
  void TakeFailed(const EndedTask& end, Job* job, int64_t wall_ms);
  void SaveCheckpoint(const RunId& run, const std::string& checkpoint, Job* job);
  // Whatever ran there is over.
  void LoseRuns(WorkerState* worker, const char* why, Time now);
  // The run is over or was never begun; its task may start again.
  void ForgetRun(const RunId& run, Job* job);
  void StopRun(WorkerState* worker, LiveRun* run);
  // There is something that the agent has not been told.
  void NoteNews(WorkerState* worker);
  // Stops what else runs of a gang's run.
  void StopGang(const Job& job, const RunId& member);
  void StopJob(const Job& job);
  void MarkRunning(Job* job);
  void Save(Job* job);
  void EndJob(Job* job, JobState state, int64_t wall_ms);

  bool Uses(Mechanism mechanism) const {
    return options_.disabled_mechanisms.count(mechanism) == 0;
  }

  // Planning: pool_planner_planning.cc.
  bool MayStart(Time now) const;
  bool InheritedIsSafe(Time now) const;
  void ExpireLeases(Time now);
  void TakeBackLateStarts(Time now);
  // How long a start may go unanswered; longer while it is this planner that is late.
  Duration StartLimit(bool gang) const;
  void DropOldJobs(int64_t wall_ms);
  std::vector<Unit> CollectUnits(int64_t wall_ms, Time now);
  // Of a unit that begins at `wall_ms` (milliseconds since 1970).
  Prospect ProspectOf(const Unit& unit, int64_t wall_ms) const;
  void CollectStep(Job* job, const StepPlace& place, int64_t wall_ms, Time now,
                   std::vector<Unit>* units);
  // Room on the workers that the unit may come to run on, on empty ones if `empty`.
  std::vector<WorkerRoom> RoomsFor(const Unit& unit, bool empty, Time now) const;
  // Room on those on which it may be started at once: pool_planner_advice.cc.
  std::vector<WorkerRoom> StartRoomsFor(const Unit& unit, Time now) const;
  // Has the advice service asked about the workers that a unit without enough room might go to.
  void WantAdvice(const Unit& unit, Time now);
  static AdvisedWorker AdvisedWorkerOf(const WorkerState& worker);
  Placement PlaceUnit(const Unit& unit, PlaceWish* wish, Time now) const;
  int TasksOnWorker(const Job& job, const StepPlace& place, const std::string& node) const;
  // Whether a unit that wants one rack, or its data's, does better elsewhere now than by waiting.
  bool StraysNow(const Unit& unit, const PlaceWish& strict, Time now) const;
  // Nearly all agents have been heard since this planner began, or had the time to come.
  bool KnowsPool(Time now) const;
  // One more failed run fails the job, and it has not waited long yet: it should not be risked on a
  // worker that has failed something lately.
  bool GuardsLastTry(const Unit& unit, Time now) const;
  bool TryReservation(const Unit& unit, Time now);
  void TryUnit(const Unit& unit, int64_t wall_ms, Time now);
  // How many of its tasks the unit may take free room for; the rest is kept for urgent work.
  int SpareTasks(const Unit& unit, Time now) const;
  // Keeps the workers on which a unit can begin the soonest from those that come after it in this
  // round and would end too late: pool_planner_holding.cc.
  void HoldRoom(const Unit& unit, const PlaceWish& wish, Time now);
  std::vector<FutureRoom> FutureRoomsFor(const Unit& unit, Time now) const;
  const std::vector<Freeing>& FreeingOn(const WorkerState& worker, Time now) const;
  // Takes off what is held for others that go before.
  void LeaveHeldRoom(const Unit& unit, std::vector<WorkerRoom>* rooms, Time now) const;
  // The workspace's urgent jobs need no more than its guarantee, so that this one has to begin
  // within the operators' bound.
  bool IsOwed(const Unit& unit) const;
  // Stops others for the unit if that is owed to it or worth it: pool_planner_reclaiming.cc.
  void TryReclaim(const Unit& unit, const PlaceWish& wish, int64_t wall_ms, Time now);
  // Core-seconds of others' work that may be thrown away for the unit.
  double ReclaimLimit(const Unit& unit, const PlaceWish& rest, Time now) const;
  // What stopping a run for a unit that takes its room for `away` costs, in core-seconds: what is
  // thrown away, and what its own job is worth less for coming later.
  double CostOfStop(const Job& job, const LiveRun& run, Duration away, int64_t wall_ms,
                    Time now) const;
  std::vector<Victim> VictimsFor(const Unit& unit, int64_t wall_ms, Time now) const;
  void Start(const Unit& unit, const Placement& placement, Time now);
  int64_t GuaranteedFor(const std::string& workspace) const;
  // Accelerators that the workspace's urgent jobs hold, as of this round.
  int64_t UrgentUse(const std::string& workspace) const;
  // Whether there is anything to weigh anew at `now`.
  bool RoundIsDue(Time now) const;
  void BeginRound(Time now);
  static Occupancy TenantsOf(const WorkerState& worker);
  void LogQueue(const std::vector<Unit>& units, Time now);

  Job* FindJob(const std::string& id);
  static const QueueTerms& Terms(const Job& job) { return *job.terms; }
  void RefreshTerms(Job* job) const;
  static const StepSpec* FindStep(const Job& job, const TaskId& task);

  const PlannerOptions options_;
  const int64_t epoch_;
  Outbox outbox_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, WorkerState> workers_;
  const Time begun_;
  // Agents that were listed when this planner began.
  const size_t listed_;
  // Of them, those that must be heard before inherited work is started.
  std::set<std::string> unheard_;
  AdviceCache advice_;
  Time inherited_safe_at_{};
  std::shared_ptr<const OperatorState> operators_ = std::make_shared<OperatorState>();
  std::optional<Time> operators_read_;
  std::optional<Time> confirmed_;
  WorkerHealthTracker judge_;
  JobEstimator appraiser_;
  std::map<UnitKey, Reservation> reservations_;
  int64_t starts_ = 0;
  // Something that bears on placing has changed since the last round.
  bool changed_ = true;
  std::optional<Time> last_round_;
  std::optional<Time> queue_logged_;
  // Submissions that are not kept yet.
  std::set<Ticket> unkept_;
  // Workers for which starts wait for a record.
  std::multimap<Ticket, std::string> releases_;
  std::map<std::string, int64_t> urgent_use_;
  // Accelerators that all unended urgent jobs of a workspace need.
  std::map<std::string, int64_t> urgent_need_;
  // Room on all workers that may be used.
  PoolRoom pool_;
  UrgentReserve reserve_;
  // So much of the pool is free that nothing may stand still for the sake of a better place,
  bool idle_ = false;
  // Since when nearly half of all workers is idle, also of those that may not be used now.
  std::optional<Time> half_idle_since_;
  // What stops have taken of late.
  Duration stop_takes_;
  std::map<std::string, Hold> holds_;
  // Ends to come on each worker as of this round, made when first asked for.
  mutable std::map<std::string, std::vector<Freeing>> freeing_;
  int reclaims_left_ = 0;
  PlannerLateness lateness_;
  int64_t news_ = 0;
  // Starts that have been ordered and not answered, as of this round.
  int starts_under_way_ = 0;
};

}  // namespace turmericshift::pool
