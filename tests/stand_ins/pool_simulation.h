// Simulates a pool in virtual time: the real planner and agent states drive simple simulated
// workers, so that a load pattern or failure is replayed deterministically within milliseconds.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "servers/pool/agent_state.h"
#include "servers/pool/announcement_verifier.h"
#include "servers/pool/pool_bounds.h"
#include "servers/pool/pool_planner.h"
#include "servers/pool/worker_fence.h"
#include "tests/stand_ins/pool_faults.h"
#include "tests/stand_ins/pool_worker_model.h"

namespace turmericshift::pool {

struct SimulatedWorker {
  std::string node;
  std::string rack;
  std::string zone = "a";
  std::string service = "plans";
  Room capacity = {64'000, 131'072, 8};
  // Factor on the run time of its tasks. The members of a gang progress at the speeds of their
  // workers, and end together once the slowest one is done.
  double time_factor = 1;
  // Empty: the worker announces no version.
  std::string version = {};
};

// One run of a task as its worker saw it.
struct SimulatedRun {
  RunId run;
  std::string node;
  Time started{};
  Time ended{};
  EndKind end_kind = EndKind::kDone;
  bool finished = false;
};

class PoolSimulation {
 public:
  // `faults` must outlive the simulation; null: no faults beside those that the test injects.
  // `mechanisms_off`: mechanisms that all planners leave out.
  PoolSimulation(const std::vector<SimulatedWorker>& workers, const OperatorState& operators,
                 const PoolBounds& bounds = {}, PoolFaults* faults = nullptr,
                 const DisabledMechanisms& mechanisms_off = {});
  ~PoolSimulation();

  // Run time of a task on a healthy worker; the step's estimate if unset.
  std::function<Duration(const TaskId&)> actual_duration;
  // Whether a run fails when its time is over; no run fails if unset.
  std::function<bool(const RunId&, const std::string& node)> fails;
  // Whether the advice service allows a worker for an advised job; all workers if unset.
  std::function<bool(const std::string& job, const std::string& node)> advises;
  // How long the advice service works on a call that names `workers` workers; 100 ms if unset. It
  // also works on calls that were given up.
  std::function<Duration(size_t workers)> advice_time;

  void Submit(const JobSpec& spec);
  // Submits the job unless the planner refuses it for load; returns the refusal.
  std::optional<Error> TrySubmit(const JobSpec& spec);
  bool Cancel(const std::string& id);
  void RunFor(Duration time);
  // Runs until the job is in `state`; false when that takes longer than `limit`.
  bool RunUntil(const std::string& id, JobState state, Duration limit);
  JobState StateOf(const std::string& id) const;
  // The jobs whose records are durable in the store.
  const JobTable& job_table() const { return job_table_; }
  const std::vector<SimulatedRun>& runs() const { return runs_; }
  std::vector<SimulatedRun> RunsOf(const std::string& job) const;
  Time now() const { return now_; }
  // Number of requests sent to the advice service.
  int advice_requests() const { return advice_requests_; }
  // Number of starts that workers rejected because of an invalid ticket.
  int rejected_tickets() const { return rejected_tickets_; }
  // Number of calls that reached a worker in a later life than they were sent in.
  int calls_of_former_lives() const { return calls_of_former_lives_; }
  // Number of answers with starts that were read in a later life of the worker than the report that
  // they answer.
  int starts_for_former_lives() const { return starts_for_former_lives_; }

  // Replaces the planner immediately; its successor recovers from the durable records.
  void ReplacePlanner();
  // Replaces the planner by one that is told when the former one has stepped down.
  void HandOverPlanner();
  const PoolPlanner& planner() const { return *planner_; }
  // Moves the wall clock of all processes, without time going by.
  void ShiftWallClock(Duration shift) { wall_shift_ += shift; }
  // Stops all messages between the agent and any planner; the worker keeps running.
  void Isolate(const std::string& node) { isolated_.insert(node); }
  void Heal(const std::string& node) { isolated_.erase(node); }
  // The worker dies with all its runs and restarts as a new incarnation, under a new ID unless the
  // faults make it keep the old one.
  void RestartWorker(const std::string& node);
  // The same, with a worker that does not drain and has this version.
  void ReplaceWorker(const std::string& node, const std::string& version);
  // The worker is lost for good, with all its runs; its agent goes on.
  void LoseWorker(const std::string& node);
  // A worker on a VM that is new to the pool starts, with its agent.
  void AddWorker(const SimulatedWorker& spec);
  // Replaces the agent's process; the worker keeps running.
  void RestartAgent(const std::string& node);
  // The node's agent hears an announcement of a writer that is no worker: an ID and a service that
  // nothing else names, and a start time of now.
  void AnnounceAsOtherWriter(const std::string& node);
  // The same under the worker's own ID and start time, with a sequence number far ahead. It says
  // that the worker leaves.
  void AnnounceOtherService(const std::string& node);
  void Drain(const std::string& node);
  // While a worker is stuck, its runs make no progress.
  void SetStuck(const std::string& node, bool stuck);
  // Sets the worker's SimulatedWorker::time_factor from now on.
  void SetTimeFactor(const std::string& node, double factor);
  // Limits the planner to `reports` reports per tick of 10 ms, in order of arrival; the others
  // wait. Agents poll every 500 ms and repeat a poll that is unanswered for 1.2 s, as real agents
  // do; the planner still reads the report of the abandoned poll.
  void SetReportsPerTick(int reports) { reports_per_tick_ = reports; }
  // While paused, the planner does nothing.
  void SetPlannerPaused(bool paused) { planner_paused_ = paused; }
  Duration planner_lag() const { return planner_->lag(); }
  // While the store is down, appends are not answered.
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetOperators(const OperatorState& operators);

  // Violated invariants as sentences; empty if all invariants held.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Worker;
  struct SentReport {
    std::string node;
    AgentReport report;
    Time sent{};
  };

  // Something that happens after a delay.
  using Event = std::function<void()>;
  using AnswerHandler = std::function<void(OrderAnswer answer)>;

  void Tick();
  void RunDueEvents();
  void Schedule(Duration delay, Event event);
  void TickFaults(Worker* worker);
  void RestartBesideChange(const std::string& rack, const RestartBesidePlannerChange& change);
  void BeginNextLife(Worker* worker, bool keeps_id);
  void TickStore();
  // Checks what callers are shown of the job whose progress has been stored under `key`.
  void NoteShownState(const std::string& key);
  // Checks that the job may be shown as completed.
  void CheckCompleted(const JobSpec& spec);
  // Whether a run of each task of the step has ended as done.
  bool HasEndedDone(const std::string& job, const StepPlace& place) const;
  void TickAdvice();
  bool TicketIsValid(const Worker& worker, const StartCall& call) const;
  void TickWorker(Worker* worker);
  void TickAgent(Worker* worker);
  WorkerAnnouncement AnnouncementOf(Worker* worker) const;
  void Announce(Worker* worker);
  void HearAnnouncement(Worker* worker, const WorkerAnnouncement& announcement);
  void VerifyAnnouncement(Worker* worker);
  // Exchange of reports and orders whose messages take time.
  void SendSlowReport(Worker* worker);
  void HandleOrders(Worker* worker, const AgentOrders& orders, Time sent);
  // Exchange of reports and orders when SetReportsPerTick limits the planner.
  void SendReport(Worker* worker);
  void ReadReports();
  void Answer(const SentReport& sent);
  void TickHold(Worker* worker);
  void SendHold(Worker* worker);
  void StartRun(Worker* worker, const StartOrder& order, Time until);
  void StopRun(Worker* worker, const RunId& run);
  OrderAnswer ExecuteStart(Worker* worker, const StartCall& call);
  // Sends a call of the agent to its worker. `execute` carries it out at the worker; `complete` is
  // called unless the agent's process is replaced before the answer.
  void Call(Worker* worker, WorkerCall kind, Duration timeout,
            const std::function<OrderAnswer()>& execute, const AnswerHandler& complete);
  // Executes a call that was sent in the given life of the worker and has been in transit.
  void ExecuteDelayed(Worker* worker, WorkerCall kind, int life, const Event& execute);
  // Sends an order as OrderSender does: up to kMaxAttempts times.
  void SendOrder(Worker* worker, WorkerCall kind, int attempt,
                 const std::function<OrderAnswer()>& execute, const AnswerHandler& complete);
  void NoteStarted(Worker* worker, const RunId& run);
  void NoteAcknowledged(Worker* worker, const EndedTask& end);
  void EndRun(Worker* worker, const RunId& run, EndKind end_kind);
  // Ends all runs of a worker that dies, without telling anyone.
  void EndAllRuns(Worker* worker);
  void EndBrokenGangs();
  void ForgetUnreportedEnds(const Worker& worker);
  // The task that stands for all tasks that end together: for a gang its first one.
  TaskId UnitOf(const TaskId& task) const;
  bool GangComplete(const RunId& run) const;
  // Whether the run, and for a gang each member, has done its work.
  bool IsDone(const RunId& run) const;
  const StepSpec* StepOf(const TaskId& task) const;
  Duration DurationOf(const TaskId& task) const;
  int64_t wall_ms() const;
  Worker& worker(const std::string& node);

  const PoolBounds bounds_;
  const PlannerOptions options_;
  PoolFaults no_faults_;
  PoolFaults* const faults_;
  std::multimap<Time, Event> events_;
  OperatorState operators_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, JobSpec> specs_;
  std::unique_ptr<PoolPlanner> planner_;
  JobTable job_table_;
  Offset offset_ = 0;
  int64_t epoch_ = NextEpoch(0);
  Time now_{};
  Duration wall_shift_{};
  int ticks_ = 0;
  int incarnations_ = 0;
  int exchanges_ = 0;
  bool store_down_ = false;
  // From when on all former planners are known to grant no leases.
  Time predecessors_gone_at_{};
  // The pending request to the advice service, and when it was sent.
  std::optional<AdviceRequest> advice_request_;
  Time advice_requested_at_{};
  // When the advice service has worked off all calls.
  Time advice_done_at_{};
  int advice_requests_ = 0;
  int rejected_tickets_ = 0;
  int calls_of_former_lives_ = 0;
  int starts_for_former_lives_ = 0;
  std::set<std::string> isolated_;
  // If unset, the planner reads each report immediately.
  std::optional<int> reports_per_tick_;
  bool planner_paused_ = false;
  std::deque<SentReport> unread_reports_;
  // Polls that wait for pending orders, with the time at which they are answered anyway.
  std::map<std::string, std::pair<SentReport, Time>> waiting_polls_;
  std::vector<SimulatedRun> runs_;
  // A run that ended as done. Starting its task again is correct only if the end is never
  // acknowledged.
  struct DoneEnd {
    RunId run;
    std::string node;
    bool acknowledged = false;
    bool started_again = false;
  };
  std::vector<DoneEnd> done_ends_;
  // The tasks of which a run has ended as done, a gang by its first task.
  std::set<TaskId> done_units_;
  std::vector<std::string> violations_;
};

// A step of equal tasks, each with `accelerators` accelerators and a share of the processors.
StepSpec SampleStep(int tasks, int accelerators, Duration estimate);
// A job with a single step.
JobSpec SampleJob(const std::string& id, const std::string& queue, const std::string& workspace,
                  const StepSpec& step);
// Queues "urgent" (priority 0), "batch" (1) and "bulk" (2) of service "plans"; workspaces "one" and
// "two", of which "one" is guaranteed `guaranteed` accelerators.
OperatorState SampleOperatorState(int64_t guaranteed);
// `racks` racks of three workers in zones a, b and c.
std::vector<SimulatedWorker> SampleRacks(int racks);

}  // namespace turmericshift::pool
