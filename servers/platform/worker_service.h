// The platform's worker beside an agent: it runs tasks under leases. docs/PLATFORM.md states the
// protocol.
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

// What identifies one try of one task.
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
  // Bit i is set when the task owns accelerator i of the worker.
  uint32_t accelerators = 0;
  // Held tasks are set up but make no progress until released.
  bool held = false;
  // The worker stops the task by itself when the lease is not renewed for this long.
  Duration lease = std::chrono::seconds(10);
  // What to resume from; empty for a fresh start.
  std::string checkpoint;
  // Handed to the task as it is.
  std::string payload;
  // Kept by the worker and reported back, so that an agent that restarts knows what runs: the
  // planner epoch that it was started under, whose work it is, and how it may be stopped.
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
  // Share of the work done, 0 to 1, as last reported; it lags.
  double progress = 0;
  // Newest checkpoint; empty if none.
  std::string checkpoint;
  // As they were given at the start.
  int64_t epoch = -1;
  std::string workspace;
  bool guaranteed = false;
  bool checkpoints = false;
  // Until the worker stops the task by itself; zero once it has ended.
  Duration lease_left{};
};

// Every call may throw Error(kUnavailable), with outcome unknown if it may have taken effect. All
// are idempotent by task id.
class WorkerService {
 public:
  virtual ~WorkerService() = default;
  virtual void Start(const TaskStart& start) = 0;
  // Lets a held task make progress.
  virtual void Release(const TaskId& id) = 0;
  virtual void Renew(const TaskId& id, Duration lease) = 0;
  // Asks for a checkpoint; it appears in a later report.
  virtual void Checkpoint(const TaskId& id) = 0;
  // `share` of full speed, 0 to 1.
  virtual void Throttle(const TaskId& id, double share) = 0;
  virtual void Stop(const TaskId& id) = 0;
  // All tasks that run, and those that ended and were not yet forgotten.
  virtual std::vector<TaskReport> Report() = 0;
  // Drops an ended task from the reports.
  virtual void Forget(const TaskId& id) = 0;
};

// Clients of workers by name; the argument is the worker's address.
using WorkerServiceRegistry = PluginRegistry<WorkerService, const std::string&>;

}  // namespace turmericshift
