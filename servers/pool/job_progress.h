// How far a job has come, as it is kept in the store: which tasks are done, which failed how often,
// where an interrupted one goes on.
#pragma once

#include <map>
#include <set>
#include <string>

#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// A task within its job.
struct TaskPlace {
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto operator<=>(const TaskPlace&) const = default;
};

// A step within its job, once for each occurrence.
struct StepPlace {
  int occurrence = 0;
  int step = 0;

  auto operator<=>(const StepPlace&) const = default;
};

struct JobProgress {
  JobState state = JobState::kQueued;
  // Tasks that ended done. A gang that ended done counts all its tasks.
  std::map<StepPlace, std::set<int>> done;
  // Numbers of the runs that ended failed; a gang's are counted at index 0. Ends are reported until
  // they are known to be kept, so a new planner hears again of some that are counted already, and
  // of others for the first time, in any order. A count beside the newest number misses an older
  // failure that is heard later, and the task is run more often than its queue allows. There are at
  // most as many as its queue allows tries.
  std::map<TaskPlace, std::set<int64_t>> failures;
  // Newest saved state of tasks that were interrupted; a gang's at index 0.
  std::map<TaskPlace, std::string> checkpoints;
  // Milliseconds since 1970 when the job ended; 0 while it has not.
  int64_t ended_ms = 0;

  int done_count(const StepPlace& place) const;
  bool task_done(const TaskPlace& place) const;
  bool step_done(const JobSpec& spec, const StepPlace& place) const;
  // All earlier steps that `place` waits for are done.
  bool dependencies_done(const JobSpec& spec, const StepPlace& place) const;
  bool all_done(const JobSpec& spec) const;
};

}  // namespace turmericshift::pool
