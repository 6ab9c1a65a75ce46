// A job's progress as stored in the log: which tasks are done, the failed runs of each task, and
// the checkpoints of interrupted tasks.
#pragma once

#include <map>
#include <set>
#include <string>

#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// Position of a task within its job.
struct TaskPlace {
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskPlace&) const = default;
};

// Position of a step within its job, one for each occurrence.
struct StepPlace {
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const StepPlace&) const = default;
};

struct JobProgress {
  JobState state = JobState::kQueued;
  // Indices of the tasks that are done. When a gang is done, all its tasks are.
  std::map<StepPlace, std::set<int>> done;
  // Numbers of the runs that failed; a gang's are stored at index 0. The set is at most as large as
  // the number of attempts that the queue allows.
  //
  // Ends are reported until they are known to be durable, so a new planner may receive ends that
  // are already counted and ends that are new, in any order. A counter with the newest number would
  // miss an older failure that is reported later, and the task would run more often than its queue
  // allows.
  std::map<TaskPlace, std::set<int64_t>> failures;
  // Newest checkpoints of interrupted tasks; a gang's is stored at index 0.
  std::map<TaskPlace, std::string> checkpoints;
  // Milliseconds since 1970 when the job ended; 0 if the job has not ended.
  int64_t ended_ms = 0;
  // No worker has reported yet that it has begun a task of the job. The state is kRunning
  // nevertheless: it says that tasks may be running, and is stored before the first start is
  // ordered.
  bool none_begun = false;

  // The state as callers see it: a job of which no task is known to have begun is still queued.
  JobState visible_state() const {
    return state == JobState::kRunning && none_begun ? JobState::kQueued : state;
  }
  int done_count(const StepPlace& place) const;
  bool task_done(const TaskPlace& place) const;
  bool step_done(const JobSpec& spec, const StepPlace& place) const;
  // Whether all steps that the step at `place` depends on are done.
  bool dependencies_done(const JobSpec& spec, const StepPlace& place) const;
  bool all_done(const JobSpec& spec) const;
};

}  // namespace turmericshift::pool
