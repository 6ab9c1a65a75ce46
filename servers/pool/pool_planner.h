// Plans one pool: accepts jobs, assigns tasks to workers and processes the ends of runs. Makes
// decisions only, with the time passed in; PlannerService owns the threads, the store and the
// sessions.
//
// The store does not record which tasks are running. A new planner learns it from the agents'
// reports. It does not start work that a previous planner may have running until every agent has
// reported or the agents' leases have expired.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "servers/admission/admission_policy.h"
#include "servers/learned/learned_state.h"
#include "servers/pool/advice_cache.h"
#include "servers/pool/job_estimator.h"
#include "servers/pool/job_table.h"
#include "servers/pool/mechanism.h"
#include "servers/pool/outbox.h"
#include "servers/pool/placer.h"
#include "servers/pool/planner_lag.h"
#include "servers/pool/pool_config.h"
#include "servers/pool/pool_messages.h"
#include "servers/pool/queue_log.h"
#include "servers/pool/reclaimer.h"
#include "servers/pool/rejection_log.h"
#include "servers/pool/room_forecast.h"
#include "servers/pool/room_reservations.h"
#include "servers/pool/urgent_reserve.h"
#include "servers/pool/wait_reason.h"
#include "servers/pool/worker_health_tracker.h"
#include "servers/pool/worker_state.h"
#include "servers/releases/release_tracker.h"
#include "servers/shares/workspace_shares.h"
#include "servers/speeds/speed_preference.h"
#include "servers/speeds/worker_speeds.h"

namespace turmericshift::pool {

// Room in a record for the length of the key, one byte, and a key of up to 255 bytes.
inline constexpr size_t kRecordKeyBytes = 256;

// Limits and timings of a planner. PlannerOptionsFor in pool_bounds.h derives them from the
// platform's bounds.
struct PlannerOptions {
  // How long a running task may go on after the last contact with its planner. Must be below the
  // longest lease that workers grant, and above the time in which a successor takes over and
  // reaches the agents (1.4 s of silence at most, a claim, and a poll of 0.5 s with a timeout of
  // 0.7 s).
  Duration lease_duration = std::chrono::milliseconds(4000);
  // Added to a lease before it counts as expired: workers' clocks may run slow, and the stop itself
  // takes time.
  Duration lease_margin = std::chrono::milliseconds(600);
  // Longest lease that a worker grants, on a clock that may run slow. A delayed order for a former
  // incarnation of a worker can grant it: the order's expiry refers to the former clock.
  Duration longest_lease = std::chrono::milliseconds(6120);
  // How long an agent may obey a planner whose leadership is not confirmed.
  Duration unconfirmed_limit = std::chrono::seconds(10);
  // Nothing is started when this planner's leadership was last confirmed longer ago than this.
  Duration confirm_age_limit = std::chrono::milliseconds(1200);
  // Nothing is started when the operators' documents were last read longer ago than this.
  Duration document_age_limit = std::chrono::milliseconds(2000);
  // An agent carries out a start at most this long after the report that the start answers. The sum
  // with confirm_age_limit or document_age_limit stays below the bounds on cancelled jobs and on
  // zones that are out.
  Duration start_window = std::chrono::milliseconds(1500);
  // How long an agent repeats a start that its worker leaves unanswered.
  Duration order_time = std::chrono::milliseconds(810);
  // A gang whose members have not all started within this time is stopped; its workers wait longer
  // than that for the missing members.
  Duration gang_start_timeout = std::chrono::milliseconds(1300);
  // Upper limit of the gang's timeout, however large the planner's lag is: after this time the
  // members that did start would be waiting alone.
  Duration max_gang_start_timeout = std::chrono::milliseconds(2100);
  // A start of a single task that is not answered within this time is revoked.
  Duration start_timeout = std::chrono::milliseconds(2500);
  // An urgent gang within its workspace's guarantee that fits into no rack is spread over several
  // racks after this time, so that it begins within the bound on reclaiming, with time to spare for
  // the start.
  Duration guaranteed_off_rack_delay = std::chrono::milliseconds(1300);
  // If room is due to come free within this time, units wait for it instead of preempting others,
  // even where a guarantee applies.
  Duration guaranteed_wait_limit = std::chrono::milliseconds(800);
  // Longest time that stopping a run takes.
  Duration max_stop_time = std::chrono::milliseconds(400);
  // How long room freed by preemption stays reserved for the unit that it was freed for.
  Duration reservation_limit = std::chrono::milliseconds(1500);
  // Time to resume a task from a checkpoint.
  Duration restore_time = std::chrono::milliseconds(600);
  // How long an ended job is retained.
  Duration ended_job_retention = std::chrono::seconds(130);
  // Factor on the run time of tasks outside their data's rack and of gangs that want one rack but
  // are spread over several.
  double off_rack_slowdown = 3;
  // Mechanisms that are disabled.
  DisabledMechanisms disabled_mechanisms;
  // Largest size of one append to the store.
  size_t max_append_bytes = size_t{1} << 20;
  // Largest value of a record.
  size_t max_value_bytes = (size_t{256} << 10) - kRecordKeyBytes;
};

// How long after a planner's last start order its leases have to be waited for as if they had been
// granted then, if it is not known which starts were under way.
Duration StartSettleTime(const PlannerOptions& options);

struct CancelResult {
  bool job_exists = false;
  // The cancellation takes effect once the record of this ticket is durable; 0 if the job had
  // already ended.
  Ticket ticket = 0;
};

class PoolPlanner {
 public:
  // `table`: the contents of the work topic when this planner became the active one. `nodes`:
  // agents that may have tasks running. `wall_ms`: the present time in milliseconds since 1970, by
  // which the age of learned state is known; if unset, none is loaded.
  PoolPlanner(const PlannerOptions& options, int64_t epoch, const JobTable& table,
              const std::set<std::string>& nodes, Time now,
              std::optional<int64_t> wall_ms = std::nullopt);

  int64_t epoch() const { return epoch_; }
  Outbox& outbox() { return outbox_; }

  // The store has confirmed this planner's leadership in its answer to a request that was sent at
  // `sent`.
  void ConfirmLeadership(Time sent);
  // Whether leadership was confirmed so recently that no other planner can have taken over since.
  bool LeadershipConfirmed(Time now) const;
  // Call before the leadership is released in the store. Nothing is started from then on: a
  // successor may already have read the agents, and waits for those only.
  void BeginRelease(int64_t wall_ms, Time now);
  // Call before the record that releases the leadership is sent. A successor may have read that
  // record long before this planner learns so, and does not wait for leases granted after it.
  void EndLeases() { grants_leases_ = false; }
  void SetOperatorState(std::shared_ptr<const OperatorState> state, Time sent);
  // Sets the agents that are listed in the store beyond doubt. A successor waits for these only, so
  // nothing is started on the worker of any other agent. Until the first call, all are listed.
  void SetListedAgents(const std::set<std::string>& nodes);
  // Time from which on no run outlives the leases that this planner grants, so that a successor
  // need not wait longer than these. Before that, a worker may have taken a longer lease from a
  // start, whether it has been answered or not.
  Time HandoverAllowedAt() const;
  // Call when the previous planner has confirmed that it has stepped down, so that it grants no
  // leases from `now` on.
  void PredecessorGone(Time now);

  // Returns why the pool's load forbids to accept the job, with the time after which it may be
  // submitted again; empty if it may be accepted. Only for jobs that are not known.
  std::optional<Error> RejectionFor(const JobSpec& spec, Time now);
  // Refusals for load since the last call, by reason.
  std::map<admission::RefusalReason, int64_t> TakeRejections() {
    return rejection_log_.TakeCounts();
  }
  // Time that the most loaded service needs for its accepted work, as last computed.
  Duration admission_backlog() const;
  // Submits a job; idempotent by id. The job is accepted once the record of the returned ticket is
  // durable.
  Ticket Submit(const JobSpec& spec);
  bool HasJob(const std::string& id) const { return jobs_.count(id) > 0; }
  // Withdraws a submission that is not accepted yet. Returns false if the submission's record may
  // already be on its way to the store or the job has been cancelled.
  bool WithdrawSubmission(const std::string& id);
  CancelResult Cancel(const std::string& id, int64_t wall_ms);

  // Returns whether the report is one of the agent's current process. No other process may be
  // granted leases.
  bool ApplyReport(const AgentReport& report, int64_t wall_ms, Time now);
  // Whether runs may go on at the agent's worker, as far as this planner knows.
  bool MayHaveRuns(const std::string& node, Time now) const;
  // Whether there are orders that the agent has not seen.
  bool HasPendingOrders(const std::string& node) const;
  // Increases whenever there are new orders for any agent.
  int64_t orders_version() const { return orders_version_; }
  // Whether anything has changed since the last round of planning.
  bool needs_planning() const { return needs_planning_; }
  // Call when the agent's poll has been answered.
  void NotePollAnswered(const std::string& node, Time now) {
    planner_lag_.NotePollAnswered(node, now);
  }
  Duration lag() const { return planner_lag_.lag(); }
  // The answer to a report of the agent. The lease that it grants counts from that report on.
  AgentOrders Orders(const std::string& node, Time now);

  // Runs a round of planning: starts the tasks that can be started. Call after every change and at
  // least every 100 ms; a call without a change since the last one costs next to nothing.
  void Plan(int64_t wall_ms, Time now);
  // Call after records have become durable.
  void NoteDurable();

  // The pending requests to the advice service, and its answers.
  AdviceCache& advice() { return advice_; }
  // Call after an answer of the advice service has been stored; it may affect placement.
  void NoteAdvice() { needs_planning_ = true; }

  const std::map<std::string, WorkerState>& workers() const { return workers_; }
  size_t job_count() const { return jobs_.size(); }
  const speeds::WorkerSpeeds& worker_speeds() const { return *speeds_; }
  const JobEstimator& estimator() const { return estimator_; }
  learned::LearnedState& learned_state() { return learned_state_; }
  const releases::ReleaseTracker& releases() const { return *releases_; }
  const shares::WorkspaceShares& workspace_shares() const { return *shares_; }

 private:
  struct TaskRun {
    int64_t number = 0;
    std::string node;
  };
  // The planner's state of a step that is waiting or running.
  struct StepState {
    std::optional<Time> ready_since;
    // Earliest time of the next start after a failed start or lost runs.
    Time retry_after{};
    int preemptions = 0;
    // When preemption for this step was last considered, and the outcome.
    std::optional<Time> last_reclaim_attempt;
    ReclaimOutcome reclaim_outcome = ReclaimOutcome::kNotConsidered;
    // When it was last determined why the step waits, and the reason last logged.
    std::optional<Time> wait_checked;
    std::optional<WaitReason> wait_reason;
  };
  struct Job {
    JobSpec spec;
    JobProgress progress;
    // The record that accepts the job; nothing of the job is started before it is durable.
    Ticket accepted_ticket = 0;
    // The record that marks the job as running; no start is ordered before it is durable.
    Ticket running_ticket = 0;
    // The job's newest record.
    Ticket newest_ticket = 0;
    // Numbers of the stored parts of the progress; see progress_parts.h.
    std::set<int64_t> parts;
    // A previous planner may have parts of the job running.
    bool inherited = false;
    // Whether a task is known to have begun.
    bool begun = false;
    // The current terms of the job's queue.
    const QueueTerms* terms = nullptr;
    std::map<TaskPlace, TaskRun> runs;
    std::map<StepPlace, StepState> steps;
  };
  // The outcome of a job if it were started now, in the order in which work of equal priority is
  // started. Jobs that are past due and will soon be worthless (kExpiring) come first.
  enum class Prospect { kExpiring, kOnTime, kPastDue, kWorthless };
  // Unit of scheduling: the tasks of one step that could start now.
  struct Unit {
    Job* job = nullptr;
    StepPlace place;
    std::vector<int> waiting;
    int priority = 0;
    bool within_guarantee = false;
    // Level of overuse of the job's workspace; 0 unless units have to wait.
    int overuse_level = 0;
    // Milliseconds since 1970 at which the job arrived or was due to begin, and by which it should
    // be done.
    int64_t start_ms = 0;
    int64_t due_ms = 0;
    // Inputs to the probability that the job is on time.
    JobTiming timing;
    // Expected run time of one task.
    Duration expected{};
    Prospect prospect = Prospect::kOnTime;
    speeds::SpeedLimits speed;
    // Leaves out workers on which the job would be late.
    bool only_in_time = false;
  };
  // The workers of one service, as of this round.
  struct ServiceRoom {
    // Room on the usable workers that are fast enough for urgent jobs, where the reserve is kept.
    PoolRoom fast;
    // Whether so much of the service is free that no unit may wait for a better place.
    bool mostly_idle = false;
    // Since when nearly half of all its workers, including currently unusable ones, have been idle.
    std::optional<Time> half_idle_since;
  };
  static UnitKey KeyOf(const Unit& unit) { return {unit.job->spec.id, unit.place}; }

  // Processing of reports; defined in pool_planner_reports.cc.

  // Records which process of the agent sent the report. Returns false for a process that has been
  // replaced: its connection may hold reports that are read after the first report of its successor
  // and describe an earlier state. Applied, they would make current runs look lost.
  bool AcceptIncarnation(const AgentReport& report, WorkerState* worker, Time now);
  void ApplyWorkerFacts(const AgentReport& report, WorkerState* worker, Time now);
  // Records whether the agent's current process gets answers from the worker.
  void SetReachable(WorkerState* worker, bool reachable);
  // A newer incarnation of the worker has been reported. What ran on the former one stays known
  // until the worker has been read under a new token: an order for the former incarnation may still
  // be executed.
  void BeginIncarnation(const WorkerFacts& facts, WorkerState* worker, Time now);
  // Records the token that the agent uses for the worker's current incarnation.
  void RecordFence(const AgentReport& report, WorkerState* worker) const;
  // Whether the report contains the worker's lists as read under this planner's token.
  bool ContainsLists(const AgentReport& report, const WorkerState& worker) const;
  // Gives up the runs of a former incarnation if the current one has not been read for so long that
  // no order for the former one can have kept a run going.
  void DropRunsOfUnreadWorker(WorkerState* worker, Time now);
  // Records whether all ends that preceded the worker's first lists have been reported.
  void RecordReportedEnds(const AgentReport& report, bool first_lists);
  // Gives up the runs of a former incarnation that the report does not list as running. Those that
  // may have ended, or may still begin, become uncertain instead.
  void DropUnlistedRuns(const AgentReport& report, WorkerState* worker, Time now);
  void ApplyRunning(const AgentReport& report, WorkerState* worker, Time now);
  void StopUncertainRuns(WorkerState* worker);
  void CheckForStall(const WorkerState& worker, Time now);
  void AdoptRun(const RunningTask& running, WorkerState* worker, Time now);
  void ApplyStartResult(const StartResult& result, WorkerState* worker, Time now);
  void ApplyEnd(const EndedTask& end, WorkerState* worker, int64_t wall_ms, Time now);
  // Updates the mean time of a stop, once a stop has ended the run.
  void RecordStopTime(const LiveRun& run, Time now);
  void ApplyDone(const EndedTask& end, Job* job, int64_t wall_ms);
  // Stops the runs of the step's tasks from `first` to `last` other than the one that is done.
  void StopOtherRuns(const Job& job, const RunId& done, int first, int last);
  void ApplyFailure(const EndedTask& end, Job* job, int64_t wall_ms);
  void SaveCheckpoint(const RunId& run, const std::string& checkpoint, Job* job);
  // Removes all runs of the worker, because they are known to be over.
  void DropLostRuns(WorkerState* worker, const char* why, Time now);
  // Gives up the runs of a worker that does not answer and whose leases have expired. A run with an
  // order that the agent has not received yet is stopped first.
  void DropRunsOfUnreachableWorker(WorkerState* worker, Time now);
  // Records since when the agent has had no lease left for a worker that it can't reach, or that
  // its current process has never read. `known_leases_until`: AllLeasesUntil before this report.
  void RecordEndOfLeases(const AgentReport& report, Time known_leases_until, WorkerState* worker,
                         Time now);
  // Whether the runs whose leases ended while the agent could not reach the worker have ended too,
  // which takes the time of a stop.
  bool LapsedRunsHaveEnded(const WorkerState& worker, Time now) const;
  // Removes these runs, because they are known to be over.
  void DropRuns(const std::vector<RunId>& runs, WorkerState* worker, const char* why, Time now);
  // Removes a run that is over or never began, so that its task may start again.
  void RemoveRun(const RunId& run, Job* job);
  void StopRun(WorkerState* worker, LiveRun* run);
  // Records that there are new orders for the agent.
  void NotePendingOrders(WorkerState* worker);
  // Stops the other members of the gang's run.
  void StopGang(const Job& job, const RunId& member);
  void StopJob(const Job& job);
  // Called before the first start of the job is ordered. Callers see the job as queued until
  // MarkBegun: a start that is ordered may still be refused or lost.
  void MarkRunning(Job* job);
  // Called when a task of the job is known to have begun.
  void MarkBegun(Job* job);
  // Saves the state of the job, and its tasks too unless they are stored in parts.
  void SaveProgress(Job* job);
  // Saves the progress of the step's tasks from `first` to `last`.
  void SaveTasks(Job* job, const StepPlace& step, int first, int last);
  void SaveTask(Job* job, const TaskPlace& task) {
    SaveTasks(job, {task.occurrence, task.step}, task.index, task.index);
  }
  // Saves all parts of a job whose tasks a former version has stored with its state.
  void SaveAllParts(Job* job);
  void PutProgress(const std::string& key, JobProgress progress, Job* job);
  void EndJob(Job* job, JobState state, int64_t wall_ms);

  bool IsEnabled(Mechanism mechanism) const {
    return options_.disabled_mechanisms.count(mechanism) == 0;
  }

  // Planning rounds; defined in pool_planner_planning.cc.

  bool IsListed(const std::string& node) const;
  bool MayGrantLease(const std::string& node, Time now) const;
  bool MayStart(Time now) const;
  bool MayStartInherited(Time now) const;
  // Finds the services whose workers are all quarantined, as of this round.
  void FindServicesWithoutHealthyWorkers(Time now);
  // Whether the worker gets no task of the step because of its failures. Long-running tasks use a
  // worker that fails runs if its service has no other.
  bool IsLeftOut(const WorkerState& worker, const StepSpec& step, Time now) const;
  // Forgets the runs of a job whose records have not been sent.
  void DropUnsentRuns(const Job& job);
  void ExpireLeases(Time now);
  void RevokeOverdueStarts(Time now);
  // How long a start may stay unanswered, extended by the planner's own lag.
  Duration StartTimeout(bool gang) const;
  void RemoveExpiredJobs(int64_t wall_ms);
  std::vector<Unit> CollectUnits(int64_t wall_ms, Time now);
  // Prospect of a unit that begins at `wall_ms` (milliseconds since 1970).
  Prospect ProspectOf(const Unit& unit, int64_t wall_ms) const;
  void CollectStep(Job* job, const StepPlace& place, int64_t wall_ms, Time now,
                   std::vector<Unit>* units);
  // Room on all workers that the unit may run on; with `empty`, their whole capacity.
  std::vector<WorkerRoom> RoomsFor(const Unit& unit, bool empty, Time now) const;
  // Room on the workers on which the unit may be started immediately: pool_planner_advice.cc.
  std::vector<WorkerRoom> StartRoomsFor(const Unit& unit, Time now) const;
  // Requests advice about the workers that a unit without enough room might run on.
  void RequestAdvice(const Unit& unit, Time now);
  static AdvisedWorker AdvisedWorkerOf(const WorkerState& worker);
  Placement PlaceUnit(const Unit& unit, PlacementRequest* request, Time now) const;
  // Places tasks of a best-effort step that has waited, beside others that use part of the
  // processors, but not beside long-running tasks: it would disturb what they serve.
  Placement PlaceOnUnusedProcessors(const Unit& unit, PlacementRequest request, Time now) const;
  int TasksOnWorker(const Job& job, const StepPlace& place, const std::string& node) const;
  // Whether a unit that wants one rack, or its data's rack, ends sooner when placed off-rack now
  // than when it waits. Units that must not wait go off-rack after a delay.
  bool ShouldGoOffRack(const Unit& unit, const PlacementRequest& strict, Time now) const;
  // Whether nearly all agents have reported to this planner, or have had time to.
  bool KnowsMostAgents(Time now) const;
  // Whether one more failed run would fail the job while it has not waited long yet. Such a unit
  // must not be risked on a worker that has failed tasks recently.
  bool ProtectsLastAttempt(const Unit& unit, Time now) const;
  bool TryReservedRoom(const Unit& unit, Time now);
  void TryUnit(const Unit& unit, int64_t wall_ms, Time now);
  // How many of the unit's tasks may use free room; the rest of the room is reserved for urgent
  // work.
  int MaxTasksNow(const Unit& unit, Time now) const;
  // Reserves room on the workers on which the unit can begin soonest. Later units of this round
  // whose tasks would end too late cannot use it: pool_planner_backfilling.cc.
  void ReserveForBackfill(const Unit& unit, const PlacementRequest& request, Time now);
  std::vector<FutureRoom> FutureRoomsFor(const Unit& unit, Time now) const;
  const std::vector<RoomRelease>& ReleasesOn(const WorkerState& worker, Time now) const;
  // Whether the unit is urgent and the urgent jobs of its workspace together need no more than the
  // guarantee, so that the unit has to begin within PoolBounds::reclaim.
  bool NeedsFitGuarantee(const Unit& unit) const;
  // Preempts runs for the unit if its guarantee demands it or the gain exceeds the cost:
  // pool_planner_reclaiming.cc. `share_now`: the share of its value that the job is expected to
  // have if the unit begins now where it fits; 0 if it does not fit. Returns whether runs were
  // stopped.
  bool TryReclaim(const Unit& unit, const PlacementRequest& request, double share_now,
                  int64_t wall_ms, Time now);
  // Core-seconds of other jobs' work that may be lost to make room for the unit.
  double MaxReclaimCost(const Unit& unit, const PlacementRequest& rest, double share_now,
                        Time now) const;
  // Cost, in core-seconds, of preempting a run for a unit that needs its room for `room_taken_for`.
  double CostOfStopping(const Job& job, const LiveRun& run, Duration room_taken_for,
                        int64_t wall_ms, Time now) const;
  std::vector<Victim> VictimsFor(const Unit& unit, int64_t wall_ms, Time now) const;
  void Start(const Unit& unit, const Placement& placement, Time now);
  int64_t GuaranteedFor(const std::string& workspace) const;
  // Accelerators in use by the workspace's urgent jobs, as of this round.
  int64_t UrgentUse(const std::string& workspace) const;
  // Stops runs on workers that have announced since the last round that they leave, where more
  // would be lost with the worker.
  void MoveRunsOfLeavingWorkers(Time now);
  void MoveRunsFrom(WorkerState* worker, Time now);
  // Whether a worker other than `from` could take over a task of the step now.
  bool HasRoomElsewhere(const WorkerState& from, const Job& job, const StepSpec& step,
                        Time now) const;
  // Whether a round of planning is due at `now`.
  bool RoundIsDue(Time now) const;
  void BeginRound(Time now);
  // Computes the room of each service, as of the begin of the round.
  void ComputeServiceRooms(Time now);
  // Empty if no worker of the service is known.
  const ServiceRoom& ServiceRoomOf(const std::string& service) const;
  static Occupancy OccupancyOf(const WorkerState& worker);
  void LogQueue(const std::vector<Unit>& units, Time now);
  // Logs why the unit waits if the reason has changed; determines the reason unless `known`:
  // pool_planner_waiting.cc.
  void LogWait(const Unit& unit, const PlacementRequest& request, std::optional<WaitReason> known,
               Time now);
  WaitReason ReasonForWait(const Unit& unit, const PlacementRequest& request, Time now) const;

  // Use of workers' speeds: pool_planner_speeds.cc.

  void UpdateSpeeds(Time now);
  // Derives from the queues' terms which workers are slow.
  void SetSlowFactor();
  // Whether urgent jobs can end in time on the worker.
  bool IsFastEnough(const std::string& node, Time now) const;
  int RankOf(const speeds::SpeedLimits& limits, const std::string& node, Time now) const;
  void BeginSpeedRun(const Job& job, const StepSpec& step, const std::string& node, double slowdown,
                     Time now, LiveRun* run);
  // Records which workers the members of an adopted gang run on, as far as they have been reported.
  void JoinAdoptedGang(const Job& job, const std::string& node, LiveRun* run);
  // How many of the tasks of a unit that is not urgent fit on workers that are too slow for urgent
  // jobs.
  int TasksOnSlowWorkers(const Unit& unit, Time now) const;
  // Time factor of the run, for a gang that of its slowest worker.
  double TimeFactorOf(const LiveRun& run, const std::string& node, Time now) const;
  // Expected time until the run ends.
  Duration RemainingTime(const LiveRun& run, Time now) const;
  // Starts an urgent unit without workers that are too slow for it, or makes it wait for others if
  // that is better than to begin on slow ones. Returns whether either was done.
  bool TryWithoutSlowWorkers(const Unit& unit, const PlacementRequest& request, int64_t wall_ms,
                             Time now);

  // The parts whose state outlives this planner; none if the mechanism is disabled.
  std::vector<learned::LearnedPart*> LearnedParts();
  void PutLearned(const std::vector<learned::LearnedRecord>& records);
  // Use of workspaces' shares: pool_planner_shares.cc.

  // Whether any task of the job runs or could start.
  static bool HasWork(const Job& job);
  // `total`: capacity of all workers.
  void RecordWorkspaceUse(const Room& total, Time now);
  // Whether some of the units that could start have to wait for room.
  bool MustWait(const std::vector<Unit>& units, Time now) const;
  void SetOveruseLevels(std::vector<Unit>* units, Time now) const;
  // Records the cost of preempting the runs for the unit with their workspaces.
  void RecordPreemption(const std::vector<RunId>& stops, const Unit& unit, int64_t wall_ms,
                        Time now);

  // Refusals for load: pool_planner_admission.cc.

  // Computes the loads if they are older than `max_age` and a round was planned since.
  void UpdateLoads(Duration max_age, Time now);
  // Adds what is left of the job beside its runs.
  void AddJobToLoads(const Job& job);
  // Whether the step could run on the service's workers if they were empty.
  bool IsPlaceable(const StepSpec& step, const std::string& service) const;
  // Whether the job can't be on time any more, as of the last round.
  bool IsOverdue(const Job& job, const QueueTerms& terms) const;
  void AddRunsToLoads(Time now);
  admission::Capacity CapacityOf(const WorkerState& worker, Time now) const;
  double KnownAgents(Time now) const;
  // Whether all tasks of the steps that the job begins with fit on free room, and the room isn't
  // needed by waiting jobs of the same or a more urgent priority.
  bool HasFreeRoom(const JobSpec& spec, const QueueTerms& terms, Time now) const;
  // `candidates`: the workers of `service` that may be used.
  bool StepFits(const StepSpec& step, int priority, const std::string& service,
                const std::vector<const WorkerState*>& candidates, Time now) const;
  admission::AdmissionRequest RequestFor(const JobSpec& spec, const QueueTerms& terms,
                                         Time now) const;

  Job* FindJob(const std::string& id);
  static const QueueTerms& Terms(const Job& job) { return *job.terms; }
  void RefreshTerms(Job* job) const;
  static const StepSpec* FindStep(const Job& job, const TaskId& task);

  const PlannerOptions options_;
  const int64_t epoch_;
  Outbox outbox_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, WorkerState> workers_;
  const Time started_at_;
  // Number of agents that were listed when this planner began.
  const size_t listed_agents_;
  std::optional<std::set<std::string>> listed_now_;
  // Listed agents that must report before inherited work is started.
  std::set<std::string> unreported_agents_;
  // Agents whose first lists left out ends of their workers, until a report leaves out none. A task
  // of inherited work that seems not to run may be among those ends.
  std::set<std::string> agents_with_more_ends_;
  AdviceCache advice_;
  Time inherited_start_time_{};
  std::shared_ptr<const OperatorState> operator_state_ = std::make_shared<OperatorState>();
  std::optional<Time> operator_state_read_;
  std::optional<Time> leadership_confirmed_;
  bool releasing_ = false;
  bool grants_leases_ = true;
  WorkerHealthTracker health_tracker_;
  std::set<std::string> services_without_healthy_workers_;
  JobEstimator estimator_;
  std::unique_ptr<speeds::WorkerSpeeds> speeds_;
  std::unique_ptr<releases::ReleaseTracker> releases_;
  // Workers that have announced since the last round that they leave.
  std::set<std::string> newly_leaving_;
  std::unique_ptr<shares::WorkspaceShares> shares_;
  std::unique_ptr<admission::AdmissionPolicy> admission_;
  // Load by service, and when it was computed.
  std::map<std::string, admission::PoolLoad> loads_;
  std::optional<Time> loads_at_;
  // Room that accepted jobs need that have not begun, by service and priority. Like the loads, as
  // of the last round and with the jobs accepted since.
  std::map<std::string, std::map<int, Room>> queued_need_;
  // Usable workers of a service, empty.
  struct ServiceWorkers {
    Room largest;
    Room total;
    std::set<std::string> labels;
  };
  std::map<std::string, ServiceWorkers> service_workers_;
  RejectionLog rejection_log_;
  ReclaimReservations reclaim_reservations_;
  int64_t start_count_ = 0;
  // Whether something that affects placement has changed since the last round.
  bool needs_planning_ = true;
  std::optional<Time> last_round_;
  // Milliseconds since 1970 of the last round.
  int64_t last_round_wall_ms_ = 0;
  QueueLog queue_log_;
  // Submissions that are not durable yet.
  std::set<Ticket> pending_submissions_;
  // Workers whose starts wait until the record of the ticket is durable.
  std::multimap<Ticket, std::string> pending_starts_;
  std::map<std::string, int64_t> urgent_use_;
  // Accelerators that all unfinished urgent jobs of a workspace need.
  std::map<std::string, int64_t> urgent_need_;
  // By service.
  std::map<std::string, ServiceRoom> service_rooms_;
  // Free room on all usable workers at the begin of the round.
  Room free_room_;
  UrgentReserve reserve_;
  // Declared after the parts that it writes and loads.
  learned::LearnedState learned_state_;
  // Moving average of the time that stops take.
  Duration mean_stop_time_;
  BackfillReservations backfill_reservations_;
  // Expected ends of runs on each worker as of this round, computed on first use.
  mutable std::map<std::string, std::vector<RoomRelease>> room_releases_;
  int reclaims_left_ = 0;
  int wait_checks_left_ = 0;
  PlannerLag planner_lag_;
  int64_t orders_version_ = 0;
  // Starts ordered but not yet answered, as of this round.
  int starts_in_flight_ = 0;
};

}  // namespace turmericshift::pool
