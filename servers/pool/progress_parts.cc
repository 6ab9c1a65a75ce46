#include "servers/pool/progress_parts.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "servers/pool/job_records.h"

namespace turmericshift::pool {
namespace {

// Number of the task in the order of occurrence, step and index.
int64_t NumberOf(const JobSpec& spec, const TaskPlace& task) {
  int64_t number = task.occurrence * TotalTasks(spec) + task.index;
  for (int step = 0; step < task.step; ++step) {
    number += spec.steps[static_cast<size_t>(step)].tasks;
  }
  return number;
}

}  // namespace

bool IsStoredInParts(const JobSpec& spec) {
  return spec.occurrences() * TotalTasks(spec) > kTasksPerPart;
}

int64_t PartOf(const JobSpec& spec, const TaskPlace& task) {
  return NumberOf(spec, task) / kTasksPerPart;
}

JobProgress ProgressOfPart(const JobSpec& spec, const JobProgress& progress, int64_t part) {
  JobProgress tasks;
  for (const auto& [step, indices] : progress.done) {
    const int64_t first = NumberOf(spec, {step.occurrence, step.step, 0});
    const int64_t low = std::max<int64_t>(part * kTasksPerPart - first, 0);
    const int64_t high = (part + 1) * kTasksPerPart - first;
    if (high <= 0 || indices.empty() || low > *indices.rbegin()) continue;
    std::set<int> inside(
        indices.lower_bound(static_cast<int>(low)),
        high > *indices.rbegin() ? indices.end() : indices.lower_bound(static_cast<int>(high)));
    if (!inside.empty()) tasks.done[step] = std::move(inside);
  }
  for (const auto& row : progress.failures) {
    if (PartOf(spec, row.first) == part) tasks.failures.insert(row);
  }
  for (const auto& row : progress.checkpoints) {
    if (PartOf(spec, row.first) == part) tasks.checkpoints.insert(row);
  }
  return tasks;
}

void MergeTasks(const JobProgress& part, JobProgress* progress) {
  for (const auto& [step, indices] : part.done) {
    progress->done[step].insert(indices.begin(), indices.end());
  }
  for (const auto& [task, runs] : part.failures) {
    progress->failures[task].insert(runs.begin(), runs.end());
  }
  for (const auto& [task, saved] : part.checkpoints) progress->checkpoints[task] = saved;
  std::erase_if(progress->checkpoints,
                [&](const auto& row) { return progress->task_done(row.first); });
}

size_t RemoveCheckpointsOver(size_t max_bytes, JobProgress* progress) {
  size_t removed = 0;
  while (!progress->checkpoints.empty()) {
    const size_t bytes = EncodeProgress(*progress).size();
    if (bytes <= max_bytes) break;
    std::vector<std::pair<size_t, TaskPlace>> by_size;
    for (const auto& [task, saved] : progress->checkpoints) {
      by_size.push_back({EncodedBytes(saved), task});
    }
    std::sort(by_size.rbegin(), by_size.rend());
    size_t excess = bytes - max_bytes;
    for (const auto& [size, task] : by_size) {
      progress->checkpoints.erase(task);
      ++removed;
      if (size >= excess) break;
      excess -= size;
    }
  }
  return removed;
}

}  // namespace turmericshift::pool
