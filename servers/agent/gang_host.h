// This worker's part of gangs: what is reserved, held and running here, under which planner epoch.
// The authority over the worker's accelerators. docs/notes/gangs.md gives the protocol.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "servers/agent/planner_tracker.h"
#include "servers/agent/start_guard.h"
#include "servers/platform/worker_service.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class GangHost {
 public:
  // `worker` and `guard` must outlive the host. Refuses everything until Expire has found out what
  // runs at the worker. `name` is the worker's, for log lines.
  GangHost(const TaskShape& capacity, WorkerService* worker, const StartGuard* guard,
           const std::string& name = "");

  void HandleHeartbeatReply(const std::string& entry, const EntryBeat& beat, Time sent);

  // The steps of AgentPort.
  void Reserve(const GangReserve& reserve, Time now);
  void Start(const GangStart& start, Time now);
  void Release(const GangAction& action, Time now);
  void Renew(const GangAction& action, Time now);
  void Stop(const GangAction& action, Time now);
  void Forget(const GangAction& action, Time now);

  // Asks the worker what runs, drops reservations that were not started in time, and stops gangs
  // whose lease is about to run out, with a checkpoint first. Call it often.
  // Returns whether a task has changed its phase since the last call.
  bool Expire(Time now);

  // Fills in what a beat says of tasks and planner.
  void FillHeartbeat(AgentBeat* beat, Time now) const;
  Sequence epoch() const;
  // Nothing is reserved, held or running.
  bool idle() const;

 private:
  enum class Phase { kReserved, kHeld, kRunning, kStopping };
  struct Part {
    GangReserve reserve;
    Phase phase = Phase::kReserved;
    // Reserved and held parts lapse, running ones stop, when this passes.
    Time until{};
    Duration lease{};
    // The round of reports in which the stop was asked for.
    int64_t stop_round = 0;
  };
  // Job and attempt.
  using PartKey = std::pair<std::string, int64_t>;

  void RequireKnown() const;
  void RequireEpoch(Sequence epoch, Time now);
  // The planner may start or prolong work.
  void RequireTrust(Time now) const;
  Part& RequirePart(const std::string& job, int64_t attempt);
  void RequireRoom(const GangReserve& reserve) const;
  Duration lease() const;

  // Whether each task of the part has ended, by the newest reports.
  bool Ended(const Part& part) const;
  bool Reported(const Part& part) const;
  void Rebuild(Time now);
  // Returns whether a task's phase has changed.
  bool Refresh(Time now);
  void BeginStop(Part* part, bool checkpoint);
  // Asks the worker to stop what still runs; faults are left to the next round.
  void StopTasks(const Part& part, bool checkpoint);
  // One line of the history of a gang's member.
  void LogMember(const char* event, const std::string& job, const Part& part) const;

  const TaskShape capacity_;
  WorkerService* const worker_;
  const StartGuard* const guard_;
  const std::string name_;

  mutable std::mutex mutex_;
  PlannerWatch watch_;
  std::map<PartKey, Part> parts_;
  // What the worker last reported, the epoch known before it was asked, and when that was.
  std::map<TaskId, TaskReport> reports_;
  Sequence reports_epoch_ = kNoSequence;
  Time reports_at_{};
  int64_t round_ = 0;
  int64_t reported_round_ = 0;
  bool known_ = false;
};

}  // namespace turmericshift
