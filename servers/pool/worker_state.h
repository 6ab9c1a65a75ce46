// The planner's record of each worker: identity, live runs, and the time until which those runs may
// continue although the agent has not reported.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "servers/pool/outbox.h"
#include "servers/pool/placer.h"
#include "servers/pool/pool_messages.h"
#include "servers/pool/run_progress.h"
#include "servers/speeds/worker_speeds.h"

namespace turmericshift::pool {

// State of a run as known to the planner.
enum class RunPhase {
  kOrdered,
  // The start was ordered from an agent process that has since been replaced. The run may exist or
  // not; the new process cannot tell.
  kUncertain,
  kRunning,
  kStopping,
};
const char* RunPhaseName(RunPhase phase);

struct LiveRun {
  RunId run;
  RunPhase phase = RunPhase::kOrdered;
  Room need;
  // Time when the start was ordered, or the run was first reported.
  Time since{};
  std::string checkpoint;
  RunProgress progress;
  // For a gang with members on several workers: those workers.
  std::shared_ptr<const std::set<std::string>> gang_workers;
  speeds::RunHandle speed_run = 0;
  // Expected run time with its placement.
  Duration estimate{};
  // The run can be stopped and later continue from a checkpoint.
  bool resumable = false;
  // The run began without a checkpoint and with a placement that does not slow it down, so its run
  // time is a valid sample for other estimates.
  bool representative = false;
  // Time when the run was asked to stop to make room for others.
  std::optional<Time> stopping_since;
  // The start is ordered once the record with this ticket is durable; see PoolPlanner::Start.
  Ticket start_after = 0;
  // Version of the agent's orders that contains the newest order for this run. An agent that has
  // not received that version yet may still carry out an earlier order.
  int64_t order_version = 0;
  // Latest time at which the agent may still send the start to its worker; unset once the outcome
  // or the run itself has been reported. Until then nobody knows which incarnation of the worker
  // has executed it, and a new one grants the longest lease.
  std::optional<Time> start_until;
  // Sent with the start order; empty for runs that were found running.
  std::string payload;
  std::string ticket;
  // The run's processors do not count against the worker's capacity.
  bool best_effort = false;
  // The run ends only by a failure or an order.
  bool long_running = false;
};

struct RecordedEnd {
  int64_t number = 0;
  Ticket ticket = 0;
};

struct WorkerState {
  std::string node;
  std::string zone;
  std::string incarnation;
  // Time of the first report of the agent's process.
  Time incarnation_since{};
  // The most recent previous incarnations; see PoolPlanner::AcceptIncarnation.
  std::deque<std::string> former_incarnations;
  int64_t sequence = -1;
  // Whether the agent is listed in the members topic; see PoolPlanner::SetListedAgents.
  bool listed = true;
  WorkerFacts facts;
  // Newest ID of the worker that is known; its current incarnation may not have told its own yet.
  std::string newest_id;
  // Fencing token of this planner for the worker's current incarnation; see worker_fence.h.
  int64_t fence = 0;
  // The worker's task lists under `fence` have been received, so no order of an older planner or
  // for a former incarnation can start anything on the worker.
  bool lists_received = false;
  // Time of the last report.
  Time last_report{};
  // When the newest lists were read from the worker, without the time that reports are in transit.
  Time lists_read_at{};
  // All live runs have ended by this time unless a lease is renewed.
  Time lease_until{};
  // The same for leases that a delayed order for a former incarnation may have granted.
  Time former_lease_until{};
  // The same for the leases that the agent has granted, as of its newest report.
  Time reported_lease_until{};
  // Set while the agent can't reach the worker and has no lease left: all leases of its runs had
  // ended by this time.
  std::optional<Time> leases_ended_at;
  std::map<RunId, LiveRun> live;
  // Processed ends, each with the ticket of the record that makes it durable.
  std::deque<RecordedEnd> ends;
  int64_t ends_seen = 0;
  int64_t acked_ends = 0;
  // Version of the newest orders for the agent, and the newest version that it has acknowledged.
  int64_t version = 0;
  int64_t acked_version = 0;

  // Free room in the current planning round; see PoolPlanner::Plan.
  Room remaining_room;
  // Kind of the runs that occupy the worker in the current planning round.
  Occupancy occupancy = Occupancy::kNone;
  // Whether urgent jobs can end in time on the worker, as of the current planning round.
  bool fast_enough = true;

  // Capacity less the room of live runs. Runs that are being stopped still count.
  Room free() const;
  bool usable(Time now) const;
  // All live runs have ended by this time unless a lease is renewed, whatever the worker has done
  // with the starts that are under way. `longest_lease`: longest lease that a worker grants.
  Time AllLeasesUntil(Duration longest_lease) const;
};

}  // namespace turmericshift::pool
