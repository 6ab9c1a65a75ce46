#include "servers/pool/progress_parts.h"

#include <gtest/gtest.h>

#include "servers/pool/job_records.h"
#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

using std::chrono::seconds;

// 3 occurrences of steps of 700 and 900 tasks, so that parts span steps and occurrences.
JobSpec LargeJob() {
  JobSpec spec = SampleJob("j", "batch", "one", SampleStep(700, 1, seconds(1)));
  spec.steps.push_back(SampleStep(900, 1, seconds(1)));
  spec.schedule.occurrences = 3;
  return spec;
}

constexpr int64_t kPartsOfLargeJob = (3 * 1600 + kTasksPerPart - 1) / kTasksPerPart;

// Progress in every third task of the job.
JobProgress AnyProgress(const JobSpec& spec) {
  JobProgress progress;
  for (int occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
    for (int step = 0; step < 2; ++step) {
      for (int index = 0; index < spec.steps[static_cast<size_t>(step)].tasks; index += 3) {
        progress.done[{occurrence, step}].insert(index);
        progress.failures[{occurrence, step, index + 1}] = {index + 7};
        progress.checkpoints[{occurrence, step, index + 1}] = std::to_string(index);
      }
    }
  }
  return progress;
}

// A task that belonged to no part would run again after a change of planner.
TEST(ProgressParts, TogetherHoldAllTasks) {
  const JobSpec spec = LargeJob();
  const JobProgress progress = AnyProgress(spec);
  JobProgress merged;
  for (int64_t part = kPartsOfLargeJob - 1; part >= 0; --part) {
    const JobProgress tasks = ProgressOfPart(spec, progress, part);
    EXPECT_LT(EncodeProgress(tasks).size(), EncodeProgress(progress).size() / 4);
    MergeTasks(tasks, &merged);
  }
  EXPECT_EQ(EncodeProgress(merged), EncodeProgress(progress));
}

TEST(ProgressParts, HoldEachTaskOnce) {
  const JobSpec spec = LargeJob();
  const JobProgress progress = AnyProgress(spec);
  size_t done = 0;
  for (int64_t part = 0; part < kPartsOfLargeJob; ++part) {
    for (const auto& row : ProgressOfPart(spec, progress, part).done) done += row.second.size();
  }
  size_t expected = 0;
  for (const auto& row : progress.done) expected += row.second.size();
  EXPECT_EQ(done, expected);
}

// Former versions read only jobs that are stored whole.
TEST(ProgressParts, AreNotUsedForSmallJobs) {
  EXPECT_FALSE(IsStoredInParts(SampleJob("j", "q", "w", SampleStep(kTasksPerPart, 1, seconds(1)))));
  EXPECT_TRUE(
      IsStoredInParts(SampleJob("j", "q", "w", SampleStep(kTasksPerPart + 1, 1, seconds(1)))));
}

// The checkpoint of a task that is done may come with an older part than the task's end.
TEST(ProgressParts, KeepNoCheckpointOfATaskThatIsDone) {
  JobProgress merged;
  merged.done[{0, 0}] = {3};
  JobProgress older;
  older.checkpoints[{0, 0, 3}] = "x";
  MergeTasks(older, &merged);
  EXPECT_TRUE(merged.checkpoints.empty());
}

// The store refuses a record that is too large for ever. Whatever else it holds must be kept.
TEST(ProgressParts, LeaveOutOnlyTheLargestCheckpoints) {
  JobProgress progress;
  progress.done[{0, 0}] = {1, 2};
  progress.checkpoints[{0, 0, 3}] = std::string(3000, 'a');
  progress.checkpoints[{0, 0, 4}] = std::string(2000, '\0');
  progress.checkpoints[{0, 0, 5}] = "small";
  // Each zero character takes six bytes in the record.
  EXPECT_EQ(RemoveCheckpointsOver(4000, &progress), 1U);
  EXPECT_EQ(progress.checkpoints.size(), 2U);
  EXPECT_EQ(progress.checkpoints.count({0, 0, 4}), 0U);
  EXPECT_EQ(progress.done.size(), 1U);
  EXPECT_EQ(RemoveCheckpointsOver(4000, &progress), 0U);
}

}  // namespace
}  // namespace turmericshift::pool
