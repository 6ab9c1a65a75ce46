// Jobs of a pool as callers hand them in: steps of equal tasks, in an order, some of them gangs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift::pool {

// Room that one task takes, or that a worker has.
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
  // What the caller thinks a task takes; often far off, so no promise rests on it.
  Duration estimate{};
  // Numbers of earlier steps whose tasks must all be done first.
  std::vector<int> after;
  // Tasks work only while all of them run.
  bool gang = false;
  // The gang is slowed down when it spans racks.
  bool one_rack = false;
  bool checkpoints = false;
  // Copies of a task may run side by side; the first to finish counts.
  bool copies_allowed = false;
  // Runs until the job is cancelled, and is started again however it ends.
  bool long_running = false;
  // Takes what others leave unused; its processors do not count against a worker.
  bool best_effort = false;
  // The worker must carry this label; empty: any.
  std::string label;
  // Tasks are slowed down on any other rack; empty: none.
  std::string data_rack;
  // At most so many tasks of the step on one worker; 0: any number.
  int max_per_worker = 0;
  std::string image;
};

// When a job's steps run more than once.
struct Schedule {
  int occurrences = 0;
  // Milliseconds since 1970.
  int64_t first_due_ms = 0;
  int64_t interval_ms = 0;
};

// What a queue lays down for its jobs. Kept with each job, since operators may drop the queue
// before the job is done.
struct QueueTerms {
  // The group of workers that runs the queue's tasks.
  std::string service;
  // 0 comes first and may interrupt others.
  int priority = 0;
  // Runs of a task, or a gang, that may end failed before its job is failed.
  int max_attempts = 1;
  // A job should be done within its longest chain of work times this,
  double stretch = 1.0;
  // and so much more.
  Duration target_latency{};
  // Only workers that the advice service names may run the queue's steps.
  bool advised = false;
};

struct JobSpec {
  std::string id;
  std::string queue;
  std::string workspace;
  QueueTerms terms;
  // Handed to every task as it came.
  std::string payload;
  std::vector<StepSpec> steps;
  Schedule schedule;
  // Milliseconds since 1970 when an entry took the job in; orders jobs, decides no safety.
  int64_t accepted_ms = 0;

  int occurrences() const { return schedule.occurrences > 0 ? schedule.occurrences : 1; }
};

// Tasks and accelerators of all steps of one occurrence.
int64_t TotalTasks(const JobSpec& spec);
int64_t TotalAccelerators(const JobSpec& spec);
// The most of each kind that a step needs when all its tasks run at once.
Room PeakNeed(const JobSpec& spec);
// The longest chain of steps by the caller's estimates.
Duration EstimatedCriticalPath(const JobSpec& spec);
// The longest chain of steps by `time_of` each.
Duration CriticalPath(const JobSpec& spec,
                      const std::function<Duration(const StepSpec& step)>& time_of);
// The longest chain that begins with `step` (counted from 0), that step included.
Duration CriticalPathFrom(const JobSpec& spec, int step,
                          const std::function<Duration(const StepSpec& step)>& time_of);

// Names one task: occurrence, step and index within the step.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskId&) const = default;
};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCancelled };
// The names of the table in job_model.cc.
const char* JobStateName(JobState state);
// Throws Error(kInvalidInput) for a name that is none of ours.
JobState JobStateFromName(const std::string& name);

inline bool IsOver(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

}  // namespace turmericshift::pool
