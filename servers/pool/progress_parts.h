// Parts of a job's progress. A job of many tasks has its progress stored in parts, each of
// kTasksPerPart successive tasks, so that no record grows with the number of tasks and a change
// rewrites one part only.
#pragma once

#include <cstddef>
#include <cstdint>

#include "servers/pool/job_progress.h"

namespace turmericshift::pool {

// A part holds some 500 bytes a task if a record has 256 KiB. Jobs of up to this many tasks are
// stored whole, as former versions store all jobs.
inline constexpr int kTasksPerPart = 512;

bool IsStoredInParts(const JobSpec& spec);
// Number of the part, from 0, that holds the task. Tasks are counted in the order of occurrence,
// step and index.
int64_t PartOf(const JobSpec& spec, const TaskPlace& task);
// The progress of the part's tasks, without the job's state.
JobProgress ProgressOfPart(const JobSpec& spec, const JobProgress& progress, int64_t part);
// Adds the progress of tasks in `part` to `progress`, whose checkpoints it replaces. Tasks that are
// done stay done, so that parts may be added in any order.
void MergeTasks(const JobProgress& part, JobProgress* progress);
// Removes the largest checkpoints until the encoded progress has at most `max_bytes`. Returns how
// many were removed; without a checkpoint a task starts from its beginning.
size_t RemoveCheckpointsOver(size_t max_bytes, JobProgress* progress);

}  // namespace turmericshift::pool
