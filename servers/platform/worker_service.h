// Interface to the platform's worker on an agent's VM, which runs tasks under leases.
// docs/PLATFORM.md specifies the protocol.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"
#include "servers/jobs/job.h"

namespace turmericshift {

enum class TaskPhase { kHeld, kRunning, kThrottled, kStopping, kDone, kFailed, kStopped };
const char* TaskPhaseName(TaskPhase phase);

// Identifies one attempt of one task.
struct TaskId {
  std::string job;
  int64_t attempt = 0;
  int task = 0;

  bool operator==(const TaskId&) const = default;
  auto operator<=>(const TaskId&) const = default;
};

struct TaskStart {
  TaskId id;
  TaskShape shape;
  // Bit i is set if the task owns accelerator i of the worker.
  uint32_t accelerators = 0;
  // A held task is set up, but makes no progress until it is released.
  bool held = false;
  // The worker stops the task on its own if the lease is not renewed within this time.
  Duration lease = std::chrono::seconds(10);
  // Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  // Passed to the task unchanged.
  std::string payload;
  // The worker stores this and the following members and reports them back, so that a restarted
  // agent knows the planner epoch that started the task, its workspace and how it may be stopped.
  int64_t epoch = -1;
  std::string workspace;
  bool guaranteed = false;
  bool checkpoints = false;
};

struct TaskReport {
  TaskId id;
  TaskPhase phase = TaskPhase::kHeld;
  uint32_t accelerators = 0;
  TaskShape shape;
  // Share of the work done, 0 to 1, as last reported; lags the actual progress.
  double progress = 0;
  // Newest checkpoint; empty if none.
  std::string checkpoint;
  // From here to `checkpoints`: the values given in TaskStart.
  int64_t epoch = -1;
  std::string workspace;
  bool guaranteed = false;
  bool checkpoints = false;
  // Time until the worker stops the task on its own; zero once the task has ended.
  Duration lease_left{};
};

// Every call may throw Error(kUnavailable), with outcome unknown if the call may have taken effect.
// All calls are idempotent by task id.
class WorkerService {
 public:
  virtual ~WorkerService() = default;
  virtual void Start(const TaskStart& start) = 0;
  // Lets a held task make progress.
  virtual void Release(const TaskId& id) = 0;
  virtual void Renew(const TaskId& id, Duration lease) = 0;
  // Requests a checkpoint, which appears in a later report.
  virtual void Checkpoint(const TaskId& id) = 0;
  // Limits the task to `share` of full speed, 0 to 1.
  virtual void Throttle(const TaskId& id, double share) = 0;
  virtual void Stop(const TaskId& id) = 0;
  // Returns all running tasks, and the ended tasks for which Forget has not been called.
  virtual std::vector<TaskReport> Report() = 0;
  // Drops an ended task from the reports.
  virtual void Forget(const TaskId& id) = 0;
};

// Worker clients by name. The factory's argument is the worker's address.
using WorkerServiceRegistry = PluginRegistry<WorkerService, const std::string&>;

}  // namespace turmericshift
