// Keeps track of the gang members on this worker: which are reserved, held (tasks set up, but not
// released yet) or running, and under which planner epoch. Decides alone which accelerators of the
// worker are in use. docs/notes/gangs.md describes the protocol.
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
  // `worker` and `guard` must outlive the host. All requests are refused until Expire has found out
  // which tasks run on the worker. `name` identifies the worker in log lines.
  GangHost(const TaskShape& capacity, WorkerService* worker, const StartGuard* guard,
           const std::string& name = "");

  void HandleHeartbeatReply(const std::string& entry, const HeartbeatReply& reply, Time sent);

  // The gang operations of AgentPort.
  void Reserve(const GangReserve& reserve, Time now);
  void Start(const GangStart& start, Time now);
  void Release(const GangAction& action, Time now);
  void Renew(const GangAction& action, Time now);
  void Stop(const GangAction& action, Time now);
  void Forget(const GangAction& action, Time now);

  // Refreshes the worker's task reports, drops expired reservations, and stops gangs whose lease is
  // about to expire, after a checkpoint. To be called several times a second. Returns whether a
  // task's phase has changed since the last call.
  bool Expire(Time now);

  // Fills in the tasks and planner epoch of a heartbeat.
  void FillHeartbeat(AgentHeartbeat* heartbeat, Time now) const;
  Sequence epoch() const;
  // Whether nothing is reserved, held or running.
  bool idle() const;

 private:
  enum class Phase { kReserved, kHeld, kRunning, kStopping };
  struct Part {
    GangReserve reserve;
    Phase phase = Phase::kReserved;
    // Reserved and held parts are dropped at this time; running parts are stopped.
    Time expires_at{};
    Duration lease{};
    // Round of reports in which the stop was requested.
    int64_t stop_round = 0;
  };
  // Job id and attempt.
  using PartKey = std::pair<std::string, int64_t>;

  void RequireWorkerState() const;
  void RequireEpoch(Sequence epoch, Time now);
  // Throws Error(kStale) unless the planner is known to be current, so that it may start or extend
  // work.
  void RequireCurrentPlanner(Time now) const;
  Part& RequirePart(const std::string& job, int64_t attempt);
  void RequireResources(const GangReserve& reserve) const;
  Duration lease() const;

  // Whether every task of the part has ended, according to the newest reports.
  bool AllTasksEnded(const Part& part) const;
  bool AnyTaskReported(const Part& part) const;
  void RebuildParts(Time now);
  // Fetches the worker's reports. Returns whether a task's phase has changed.
  bool RefreshReports(Time now);
  void BeginStop(Part* part, bool checkpoint);
  // Stops the tasks that still run. Failures are retried in the next round.
  void StopTasks(const Part& part, bool checkpoint);
  // Logs an event in the history of this worker's part of a gang.
  void LogGangEvent(const char* event, const std::string& job, const Part& part) const;

  const TaskShape capacity_;
  WorkerService* const worker_;
  const StartGuard* const guard_;
  const std::string name_;

  mutable std::mutex mutex_;
  PlannerTracker planner_;
  std::map<PartKey, Part> parts_;
  // The worker's newest reports, the planner epoch known before they were requested, and the time
  // at which they were requested.
  std::map<TaskId, TaskReport> reports_;
  Sequence reports_epoch_ = kNoSequence;
  Time reports_at_{};
  int64_t round_ = 0;
  int64_t reported_round_ = 0;
  bool worker_state_known_ = false;
};

}  // namespace turmericshift
