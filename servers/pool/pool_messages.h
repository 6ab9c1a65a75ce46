// Messages between the agents and the planner of a pool. rpc/pool.capnp defines the wire format.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// Identifies one run of one task. Run numbers increase with every start, across planners too,
// because the planner's epoch forms the high part of the number. All members of a gang share one
// number.
struct RunId {
  TaskId task;
  int64_t number = 0;

  auto operator<=>(const RunId&) const = default;
};

struct RunningTask {
  RunId run;
  // Newest saved checkpoint; empty if there is none.
  std::string checkpoint;
  // Share of the work that is done, 0 to 100. For a long-running task: the throughput it reaches,
  // as a percentage.
  int percent = 0;
};

// How a run ended at its worker. kLeaseExpired: its lease expired. kGangBroken: another member of
// the gang ended before the gang was done. kPartialGang: the gang was not complete within its
// waiting time.
enum class EndKind { kDone, kFailed, kStopped, kLeaseExpired, kGangBroken, kPartialGang };
const char* EndKindName(EndKind kind);
// Throws Error(kInvalidInput) if no kind has this name.
EndKind EndKindFromName(const std::string& name);

struct EndedTask {
  // Increases by one with each end within one incarnation of the worker.
  int64_t number = 0;
  RunId run;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
};

// Result of a start that the planner ordered.
enum class StartOutcome {
  kStarted,
  // The task does not run: the worker has no room for it or rejected it for a valid reason.
  kRefused,
  // The task does not run because the worker or its agent is unhealthy.
  kNotRun,
  // The task does not run because the worker rejected the advice service's ticket.
  kTicketRefused,
};

struct StartResult {
  RunId run;
  StartOutcome outcome = StartOutcome::kStarted;
  std::string reason;
};

// Description of an agent's worker, as the worker announces it.
struct WorkerFacts {
  // Worker ID; empty while the agent knows no worker.
  std::string id;
  // Start time of this incarnation of the worker, in milliseconds since 1970.
  int64_t start_time_ms = 0;
  std::string service;
  std::string machine;
  std::string rack;
  std::vector<std::string> labels;
  Room capacity;
  bool draining = false;
  // Minimum time until a draining worker leaves.
  Duration leaves_in{};
  // Whether the worker answers the agent's calls.
  bool reachable = false;
  // Version of the worker's software; empty if it announces none, or its agent is too old to send
  // it.
  std::string version;
};

struct AgentReport {
  std::string node;
  std::string zone;
  // Differs for each start of the agent's process.
  std::string incarnation;
  // Increases with each report. A report that arrives after a newer one is dropped.
  int64_t sequence = 0;
  // Epoch (fencing token) under which the worker was last read. The worker no longer executes
  // orders of older planners once the lists below have been read under this epoch. 0: not yet read
  // under the current epoch.
  int64_t epoch = 0;
  // Fencing token that the agent uses for this incarnation of its worker; see worker_fence.h. 0
  // from agents that use the epoch.
  int64_t fence = 0;
  // Version of the newest orders received; see AgentOrders::version.
  int64_t orders_seen = 0;
  WorkerFacts worker;
  // Remaining time of the longest lease that this agent has granted. Zero: every run that had a
  // lease from this agent has ended.
  Duration lease_left{};
  std::vector<RunningTask> running;
  // How long before the report was sent `running` was read from the worker. Zero from agents that
  // do not report it.
  Duration lists_age{};
  std::vector<EndedTask> ended;
  // Whether the worker has further ends, which the agent reports once these have been acknowledged.
  // Until then, a run that is reported neither as running nor as ended may have ended.
  bool more_ends = false;
  std::vector<StartResult> results;
  // How long the planner may hold the answer back while it has no new orders.
  Duration wait{};
};

struct StartOrder {
  RunId run;
  std::string payload;
  std::string checkpoint;
  // Ticket of the advice service; empty if the queue does not use advice.
  std::string ticket;
  // Start time of the worker incarnation that the order is for; set by the agent on arrival. 0:
  // any.
  int64_t worker_start_time_ms = 0;
  // Epoch of the planner that has ordered the start; set by the agent on arrival. 0: any.
  int64_t epoch = 0;
};

struct AgentOrders {
  int64_t epoch = 0;
  // Increases whenever there are new orders for the agent.
  int64_t version = 0;
  // Duration of the lease for running tasks, counted from when the agent sent its report. Zero: the
  // planner can't currently confirm its leadership and grants no lease.
  Duration lease{};
  // Starts are valid for this long, counted from when the agent sent its report.
  Duration start_window{};
  // Ends up to this number are durable in the store and need not be reported again.
  int64_t acked_ends = 0;
  // Start time of the worker incarnation that `acked_ends`, `fence` and `starts` refer to.
  int64_t worker_start_time_ms = 0;
  // Fencing token for calls to that incarnation; see worker_fence.h. 0 from planners that use their
  // epoch.
  int64_t fence = 0;
  std::vector<StartOrder> starts;
  std::vector<RunId> stops;
  // Planner lag: its next answers take this much longer.
  Duration lag{};
  // Redirect from a process that is no longer the active planner: epoch and address ("ip:port") of
  // the newest planner it knows. All other fields are empty in that case.
  int64_t planner_epoch = 0;
  std::string planner_address;
};

// Name of a task on the callers' and workers' interfaces: "ID.occurrence.step.index".
std::string TaskName(const TaskId& task);
// Throws Error(kInvalidInput) if `name` does not have the form of TaskName().
TaskId ParseTaskName(const std::string& name);

}  // namespace turmericshift::pool
