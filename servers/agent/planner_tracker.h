// Tracks an agent's knowledge of its zone's planner: the highest epoch, the time since the active
// planner's last call or heartbeat reply, and whether a higher epoch could exist that the agent has
// not received. docs/notes/planner-duty.md explains the rule.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "servers/ports/messages.h"

namespace turmericshift {

// Not thread-safe; GangHost holds its mutex around all calls.
class PlannerTracker {
 public:
  // Handles the reply of the entry at address `entry` to a heartbeat sent at `sent`.
  void HandleHeartbeatReply(const std::string& entry, const HeartbeatReply& reply, Time sent);
  // Records a call from the planner with `epoch`.
  void RecordCall(Sequence epoch, Time now);
  // Records the epoch under which a task found on the worker was started.
  void RecordTaskEpoch(Sequence epoch);

  Sequence epoch() const { return epoch_; }
  // Time since the last call or heartbeat reply of the active planner. Negative if there was none.
  Duration silence(Time now) const;

  // Whether the planner may be obeyed. True if a reply shows that an entry had read the jobs stream
  // to its head within `limit`, or if all entries that replied within `limit` report that the log
  // is down, so that no planner can have claimed the zone meanwhile. One entry could be cut off
  // together with this agent, so a single report that the log is down does not suffice where more
  // entries are known.
  bool IsPlannerCurrent(Duration limit, Time now) const;

 private:
  struct EntryReply {
    Time sent{};
    bool failing = false;
  };

  Sequence epoch_ = kNoSequence;
  std::optional<Time> planner_last_seen_;
  // The newest time at which an entry had read the jobs stream to its head, as far as known here.
  std::optional<Time> jobs_read_at_;
  size_t known_entries_ = 0;
  std::map<std::string, EntryReply> entries_;
};

}  // namespace turmericshift
