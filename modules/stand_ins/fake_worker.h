// A fake of the platform's worker. Its tasks are timers, which run for the time given in their
// payload. For tests and dev mode only.
#pragma once

#include <map>
#include <mutex>

#include "servers/platform/worker_service.h"

namespace turmericshift {

struct WorkerFaults {
  // Every task fails as soon as it is released.
  bool fails_everything = false;
  // Calls throw Error(kUnavailable).
  bool unreachable = false;
  // Stop returns without an error but does not stop the task.
  bool ignores_stop = false;
};

// The payload of a task is its actual run time ("400ms", "3s"). A task with any other payload runs
// for one second.
class FakeWorker : public WorkerService {
 public:
  explicit FakeWorker(const Clock* clock = &DefaultClock()) : clock_(clock) {}

  void Start(const TaskStart& start) override;
  void Release(const TaskId& id) override;
  void Renew(const TaskId& id, Duration lease) override;
  void Checkpoint(const TaskId& id) override;
  void Throttle(const TaskId& id, double share) override;
  void Stop(const TaskId& id) override;
  std::vector<TaskReport> Report() override;
  void Forget(const TaskId& id) override;

  void SetFaults(const WorkerFaults& faults);

 private:
  struct Task {
    TaskStart start;
    TaskPhase phase = TaskPhase::kHeld;
    Duration run_time{};
    Duration work_done{};
    Time since{};
    double share = 1;
    Time lease_until{};
    std::string checkpoint;
  };

  void RequireReachable() const;
  Task& RequireTask(const TaskId& id);
  // Updates the task's phase and progress to `now`, or to the end of its lease if that was earlier.
  void Advance(Task* task, Time now) const;

  const Clock* const clock_;
  mutable std::mutex mutex_;
  WorkerFaults faults_;
  std::map<TaskId, Task> tasks_;
};

}  // namespace turmericshift
