// A pool in passed-in time: the planner's and the agents' own decisions over workers of a few
// lines, so that a load pattern or a failure is replayed in milliseconds and always in the same
// way.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "servers/pool/agent_state.h"
#include "servers/pool/pool_bounds.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {

struct SimulatedWorker {
  std::string node;
  std::string rack;
  std::string zone = "a";
  Room capacity = {64'000, 131'072, 8};
};

// One run as a worker saw it.
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
  PoolSimulation(const std::vector<SimulatedWorker>& workers, const OperatorState& operators,
                 const PoolBounds& bounds = {});
  ~PoolSimulation();

  // How long a run of a task takes on a sound worker; the step's estimate unless set.
  std::function<Duration(const TaskId&)> actual_duration;
  // Whether a run ends failed.
  std::function<bool(const RunId&, const std::string& node)> fails;
  // Whom the advice service names for an advised job; everybody unless set.
  std::function<bool(const std::string& job, const std::string& node)> advises;

  void Submit(const JobSpec& spec);
  bool Cancel(const std::string& id);
  void RunFor(Duration time);
  // Runs until the job is in `state`; false when that takes longer than `limit`.
  bool RunUntil(const std::string& id, JobState state, Duration limit);
  JobState StateOf(const std::string& id) const;
  // All that the store has kept.
  const JobTable& job_table() const { return job_table_; }
  const std::vector<SimulatedRun>& runs() const { return runs_; }
  std::vector<SimulatedRun> RunsOf(const std::string& job) const;
  Time now() const { return now_; }
  // Questions that the advice service has been asked.
  int advice_requests() const { return advice_requests_; }
  // Starts that a worker turned away for their ticket.
  int rejected_tickets() const { return rejected_tickets_; }

  // The planner is gone at once and another takes over from what the store has kept.
  void ReplacePlanner();
  // No word between the agent and any planner; the worker runs on.
  void Isolate(const std::string& node) { cut_.insert(node); }
  void Heal(const std::string& node) { cut_.erase(node); }
  // The worker dies with all that it runs and comes back as a new life.
  void RestartWorker(const std::string& node);
  // The agent's process is replaced; the worker runs on.
  void RestartAgent(const std::string& node);
  void Drain(const std::string& node);
  // What runs at the worker makes no progress.
  void SetStuck(const std::string& node, bool stuck);
  // The planner takes so many reports each hundredth of a second, in the order in which they came;
  // the others wait. Agents poll each half second and, unanswered for 1.2 s, ask anew, as the real
  // ones do; the report that they gave up is read all the same.
  void SetReportsPerTick(int reports) { reports_per_tick_ = reports; }
  // The planner does nothing at all.
  void SetPlannerPaused(bool held_up) { planner_held_up_ = held_up; }
  Duration planner_lag() const { return planner_->lag(); }
  // Appends are not answered.
  void SetStoreDown(bool down) { store_down_ = down; }
  void SetOperators(const OperatorState& operators);

  // What must never be, as sentences; empty when all was well.
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Worker;
  struct SentReport {
    std::string node;
    AgentReport report;
    Time sent{};
  };

  void Tick();
  void TickStore();
  void TickAdvice();
  bool TicketHolds(const Worker& worker, const StartCall& call) const;
  void TickWorker(Worker* worker);
  void TickAgent(Worker* worker);
  void Announce(Worker* worker);
  void HandleOrders(Worker* worker, const AgentOrders& orders, Time sent);
  // Agents and planner that talk by SetReportsPerTick.
  void SendReport(Worker* worker);
  void ReadReports();
  void Answer(const SentReport& sent);
  void TickHold(Worker* worker);
  void StartRun(Worker* worker, const StartOrder& order, Time until);
  void EndRun(Worker* worker, const RunId& run, EndKind end_kind);
  void BreakGangs();
  void ForgetUnreportedEnds(const Worker& worker);
  bool GangComplete(const RunId& run) const;
  const StepSpec* StepOf(const TaskId& task) const;
  Duration TimeOf(const TaskId& task) const;
  int64_t wall_ms() const;
  Worker& worker(const std::string& node);

  const PoolBounds bounds_;
  const PlannerOptions options_;
  OperatorState operators_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, JobSpec> specs_;
  std::unique_ptr<PoolPlanner> planner_;
  JobTable job_table_;
  Offset offset_ = 0;
  int64_t epoch_ = 1;
  Time now_{};
  int ticks_ = 0;
  int incarnations_ = 0;
  bool store_down_ = false;
  // What the advice service is asked now, and since when.
  std::optional<AdviceRequest> question_;
  Time asked_{};
  int advice_requests_ = 0;
  int rejected_tickets_ = 0;
  std::set<std::string> cut_;
  // Without a number every report is taken at once.
  std::optional<int> reports_per_tick_;
  bool planner_held_up_ = false;
  std::deque<SentReport> mailbox_;
  // Polls that wait for news, and until when.
  std::map<std::string, std::pair<SentReport, Time>> held_;
  std::vector<SimulatedRun> runs_;
  std::set<TaskId> done_;
  std::vector<std::string> violations_;
};

// A step of equal tasks of an accelerator each and a share of the processors.
StepSpec SampleStep(int tasks, int accelerators, Duration estimate);
// A job of one step.
JobSpec SampleJob(const std::string& id, const std::string& queue, const std::string& workspace,
                  const StepSpec& step);
// Queues "urgent" (priority 0), "batch" (1) and "bulk" (2) of service "plans"; workspaces "one" and
// "two", of which "one" is guaranteed `guaranteed` accelerators.
OperatorState SampleOperatorState(int64_t guaranteed);
// `racks` racks of three workers in zones a, b and c.
std::vector<SimulatedWorker> SampleRacks(int racks);

}  // namespace turmericshift::pool
