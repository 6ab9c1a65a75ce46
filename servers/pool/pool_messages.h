// What agents and the planner of a pool tell each other. rpc/pool.capnp has the same on the wire.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// One run of one task. Numbers rise with every start, also over planners: the planner's epoch is
// their high part. Members of a gang share the number.
struct RunId {
  TaskId task;
  int64_t number = 0;

  auto operator<=>(const RunId&) const = default;
};

struct RunningTask {
  RunId run;
  // Newest saved state; empty: none.
  std::string checkpoint;
  // How much of its work is done, 0 to 100; for a lasting task, the share at which it works.
  int percent = 0;
};

// How a run ended at its worker.
enum class EndKind { kDone, kFailed, kStopped, kLeaseExpired, kGangBroken, kPartialGang };
const char* EndKindName(EndKind kind);
// Throws Error(kInvalidInput) for a name that is none of ours.
EndKind EndKindFromName(const std::string& name);

struct EndedTask {
  // Rises by one with each end in one life of the worker.
  int64_t number = 0;
  RunId run;
  EndKind kind = EndKind::kDone;
  std::string checkpoint;
};

// What became of a start that the planner ordered.
enum class StartOutcome {
  kStarted,
  // The worker has no room for it, or does not take it for good reason; it does not run.
  kRefused,
  // The worker or its agent is not well; it does not run.
  kNotRun,
  // The worker does not take the ticket of the advice service; it does not run.
  kTicketRefused,
};

struct StartResult {
  RunId run;
  StartOutcome outcome = StartOutcome::kStarted;
  std::string reason;
};

// What the worker beside an agent says of itself.
struct WorkerFacts {
  // Empty while the agent knows no worker.
  std::string id;
  // Milliseconds since 1970 when this life of the worker began.
  int64_t start_time_ms = 0;
  std::string service;
  std::string machine;
  std::string rack;
  std::vector<std::string> labels;
  Room capacity;
  bool draining = false;
  // While it drains: the least time left until it is gone.
  Duration leaves_in{};
  // The agent can talk to it.
  bool reachable = false;
};

struct AgentReport {
  std::string node;
  std::string zone;
  // Differs for each start of the agent's process.
  std::string incarnation;
  // Rises with each report; an older one that comes later is dropped.
  int64_t sequence = 0;
  // The epoch that the lists below were taken under: no order of an older planner can be carried
  // out after them.
  int64_t epoch = 0;
  // The newest orders that have arrived; see AgentOrders::version.
  int64_t orders_seen = 0;
  WorkerFacts worker;
  // How long whatever runs may still run on a lease that this agent has passed on; zero: all of it
  // has surely ended.
  Duration lease_left{};
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
  std::vector<StartResult> results;
  // How long the planner may wait for news before it answers.
  Duration wait{};
};

struct StartOrder {
  RunId run;
  std::string payload;
  std::string checkpoint;
  // Of the advice service; empty where the queue asks none.
  std::string ticket;
};

struct AgentOrders {
  int64_t epoch = 0;
  // Rises whenever there is something new for the agent.
  int64_t version = 0;
  // What runs may go on for so long, counted from when the agent sent its report. Zero: the
  // planner may not vouch for it now.
  Duration lease{};
  // Starts may be carried out for so long, counted from the same moment.
  Duration start_window{};
  // Ends up to this number are in the store and need not be reported again.
  int64_t acked_ends = 0;
  // The life of the worker that `acked_ends` counts in.
  int64_t worker_start_time_ms = 0;
  std::vector<StartOrder> starts;
  std::vector<RunId> stops;
  // How far the planner is behind; its next answers take so much longer.
  Duration lag{};
  // Told by a process that plans no more and knows who does, all else being empty: the newest
  // epoch and where its planner is reached, "ip:port".
  int64_t planner_epoch = 0;
  std::string planner_address;
};

// "ID.occurrence.step.index", as callers and workers know a task.
std::string TaskName(const TaskId& task);
// Throws Error(kInvalidInput) for a name of another form.
TaskId ParseTaskName(const std::string& name);

}  // namespace turmericshift::pool
