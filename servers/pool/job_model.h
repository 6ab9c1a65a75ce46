// Jobs that callers submit to a pool: a dependency graph of steps, each a set of equal tasks; a
// step may be a gang.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift::pool {

// Resources that one task needs, or that a worker has.
struct Room {
  int64_t processor_millis = 0;
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  bool Holds(const Room& need) const;
  Room& operator+=(const Room& other);
  Room& operator-=(const Room& other);
};

struct StepSpec {
  int tasks = 1;
  Room need;
  // The caller's estimate of a task's run time. Estimates are often far off, so no guarantee rests
  // on them.
  Duration estimate{};
  // Numbers of the earlier steps that this step depends on: all tasks of those steps must be done
  // first.
  std::vector<int> after;
  // The tasks of a gang make progress only while all of them run.
  bool gang = false;
  // The gang is slowed down if its tasks are spread over several racks.
  bool one_rack = false;
  bool checkpoints = false;
  // Several copies of a task may run at the same time (speculative execution); the first to finish
  // counts.
  bool copies_allowed = false;
  // The task runs until the job is cancelled, and is restarted however it ends.
  bool long_running = false;
  // The task uses only what others leave unused, so its processors do not count against the
  // worker's capacity.
  bool best_effort = false;
  // Label that the worker must carry; empty: any worker.
  std::string label;
  // Rack of the step's data: tasks are slowed down on any other rack. Empty: no preference.
  std::string data_rack;
  // Upper limit on tasks of the step on one worker; 0: no limit.
  int max_per_worker = 0;
  std::string image;

  // What a task of the step takes from the capacity of its worker.
  Room counted_need() const {
    return {best_effort ? 0 : need.processor_millis, need.memory_mib, need.accelerators};
  }
};

// Schedule of a job whose steps run more than once.
struct Schedule {
  int occurrences = 0;
  // Milliseconds since 1970.
  int64_t first_due_ms = 0;
  int64_t interval_ms = 0;
};

// How long the advice service takes for a queue, as the operators state it. Zero where they do not.
struct AdviceTiming {
  // Time of a call, and what each worker that it names adds.
  Duration decision{};
  Duration per_worker{};
  // How long a ticket is valid.
  Duration validity{};
};

// Terms that a queue sets for its jobs. They are stored with each job because operators may remove
// the queue before the job is done.
struct QueueTerms {
  // The group of workers that runs the queue's tasks.
  std::string service;
  // Priority 0 is the highest; its jobs may preempt others.
  int priority = 0;
  // Number of failed runs of a task or gang after which the job fails.
  int max_attempts = 1;
  // A job is due after `stretch` times its critical path plus `target_latency`.
  double stretch = 1.0;
  Duration target_latency{};
  // Only workers that the advice service allows may run the queue's steps.
  bool advised = false;
  AdviceTiming advice_timing = {};
};

struct JobSpec {
  std::string id;
  std::string queue;
  std::string workspace;
  QueueTerms terms;
  // Passed unchanged to every task.
  std::string payload;
  std::vector<StepSpec> steps;
  Schedule schedule;
  // Milliseconds since 1970 when an entry accepted the job. Used to order jobs; no guarantee
  // depends on the accuracy of this time.
  int64_t accepted_ms = 0;

  int occurrences() const { return schedule.occurrences > 0 ? schedule.occurrences : 1; }
};

// Tasks and accelerators of all steps of one occurrence.
int64_t TotalTasks(const JobSpec& spec);
int64_t TotalAccelerators(const JobSpec& spec);
// Peak demand per resource: the maximum over the steps, each with all its tasks running.
Room PeakNeed(const JobSpec& spec);
// Critical path of the job's steps, by the caller's estimates.
Duration EstimatedCriticalPath(const JobSpec& spec);
// Critical path of the job's steps, with `time_of` giving the time of each.
Duration CriticalPath(const JobSpec& spec,
                      const std::function<Duration(const StepSpec& step)>& time_of);
// Length of the longest path through the steps that begins with `step` (an index from 0), including
// `step`.
Duration CriticalPathFrom(const JobSpec& spec, int step,
                          const std::function<Duration(const StepSpec& step)>& time_of);

// Identifies a task by job, occurrence, step and index within the step.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskId&) const = default;
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
// Returns the state's stored name, from the table in job_model.cc.
const char* JobStateName(JobState state);
// Throws Error(kInvalidInput) for an unknown name.
JobState JobStateFromName(const std::string& name);

inline bool IsOver(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

}  // namespace turmericshift::pool
