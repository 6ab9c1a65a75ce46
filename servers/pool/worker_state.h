// What the planner knows of its workers: who they are, what runs there, and until when it may go on
// running although nobody hears of it.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/pool/outbox.h"
#include "servers/pool/placer.h"
#include "servers/pool/pool_messages.h"
#include "servers/pool/run_progress.h"

namespace turmericshift::pool {

// Where a run stands, as far as the planner knows.
enum class RunPhase {
  kOrdered,
  // Ordered from an agent whose process has been replaced since: it may run or may not, and the
  // new process can't tell by itself.
  kUncertain,
  kRunning,
  kStopping,
};

struct LiveRun {
  RunId run;
  RunPhase phase = RunPhase::kOrdered;
  Room need;
  // Ordered, or first heard of.
  Time since{};
  std::string checkpoint;
  RunProgress progress;
  // What it should take where it was put.
  Duration estimate{};
  // It can be stopped and go on later from where it was.
  bool saved = false;
  // Begun from nothing, where it takes no longer than it must: its time tells of others.
  bool representative = false;
  // When it was asked to stop for another's sake.
  std::optional<Time> stopping_since;
  // The start is ordered once this record is kept; see PoolPlanner::Start.
  Ticket start_after = 0;
  // What the start hands over; empty for runs that were found running.
  std::string payload;
  std::string ticket;
  // Its processors do not count.
  bool best_effort = false;
};

struct RecordedEnd {
  int64_t number = 0;
  Ticket ticket = 0;
};

struct WorkerState {
  std::string node;
  std::string zone;
  std::string incarnation;
  // When the agent's process was first heard.
  Time incarnation_since{};
  // The newest of the processes before it; see PoolPlanner::AcceptIncarnation.
  std::deque<std::string> former_incarnations;
  int64_t sequence = -1;
  WorkerFacts facts;
  // The lists under this planner's epoch have been heard, so nothing older can start there.
  bool known = false;
  // When the last report came.
  Time last_report{};
  // Whatever runs there has ended by then, unless a lease is renewed.
  Time lease_until{};
  std::map<RunId, LiveRun> live;
  // Ends that were taken in, with the ticket of the record that keeps each.
  std::deque<RecordedEnd> ends;
  int64_t ends_seen = 0;
  int64_t acked_ends = 0;
  // What the agent has been told, and what there is to tell.
  int64_t version = 0;
  int64_t version_seen = 0;

  // What is left as of this round of planning; see PoolPlanner::Plan.
  Room left;
  // What is live, as of this round.
  Occupancy occupancy = Occupancy::kNone;

  // Capacity less what is live; what is being stopped still counts.
  Room free() const;
  bool usable(Time now) const;
};

}  // namespace turmericshift::pool
