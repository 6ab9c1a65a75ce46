#include "servers/pool/job_table.h"

#include <gtest/gtest.h>

#include "core/error.h"
#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

JobSpec FullJob() {
  StepSpec step = SampleStep(4, 2, std::chrono::milliseconds(700));
  step.gang = true;
  step.one_rack = true;
  step.checkpoints = true;
  step.label = "big";
  step.data_rack = "r1";
  step.max_per_worker = 2;
  JobSpec spec = SampleJob("0123456789abcdef", "batch", "one", step);
  spec.payload = "text with \"quotes\" and \n";
  spec.terms = {"plans", 1, 3, 2.5, std::chrono::seconds(1)};
  spec.schedule = {3, 1'700'000'000'000, 2000};
  spec.accepted_ms = 1'700'000'000'123;
  return spec;
}

TEST(JobRecords, RoundTripASpec) {
  const JobSpec spec = FullJob();
  const JobSpec read = DecodeSpec(spec.id, EncodeSpec(spec));
  EXPECT_EQ(EncodeSpec(read), EncodeSpec(spec));
  EXPECT_EQ(read.payload, spec.payload);
  EXPECT_EQ(read.steps[0].need.accelerators, 2);
  EXPECT_EQ(read.terms.max_attempts, 3);
  EXPECT_EQ(read.schedule.interval_ms, 2000);
}

TEST(JobRecords, RoundTripProgress) {
  JobProgress progress;
  progress.state = JobState::kRunning;
  progress.done[{0, 0}] = {0, 2};
  progress.failures[{0, 0, 1}] = {54, 77};
  progress.checkpoints[{0, 0, 1}] = "00ab";
  const JobProgress read = DecodeProgress(EncodeProgress(progress));
  EXPECT_EQ(EncodeProgress(read), EncodeProgress(progress));
  EXPECT_TRUE(read.task_done({0, 0, 2}));
  EXPECT_EQ(read.failures.at({0, 0, 1}), (std::set<int64_t>{54, 77}));
}

TEST(JobRecords, RejectMalformedBytes) {
  for (const char* bytes : {"", "{", "[]", "{\"queue\":1}", "null"}) {
    EXPECT_THROW(DecodeSpec("id", bytes), Error) << bytes;
    EXPECT_THROW(DecodeProgress(bytes), Error) << bytes;
    EXPECT_THROW(DecodePlanner(bytes), Error) << bytes;
  }
}

TEST(JobTable, AppliesProgressThatPrecedesItsJob) {
  JobTable table;
  JobProgress progress;
  progress.state = JobState::kCompleted;
  table.Apply({"p/x", EncodeProgress(progress), 7});
  table.Apply({"j/x", EncodeSpec(FullJob()), 6});
  ASSERT_NE(table.Find("x"), nullptr);
  EXPECT_EQ(table.Find("x")->progress.state, JobState::kCompleted);
}

// Pages of the newest records overlap with the history that is read after them. An older record
// that is read later must not reset a finished job to running.
TEST(JobTable, IgnoresOlderRecords) {
  JobTable table;
  JobProgress progress;
  table.Apply({"j/x", EncodeSpec(FullJob()), 1});
  progress.state = JobState::kCompleted;
  table.Apply({"p/x", EncodeProgress(progress), 9});
  progress.state = JobState::kRunning;
  table.Apply({"p/x", EncodeProgress(progress), 5});
  EXPECT_EQ(table.Find("x")->progress.state, JobState::kCompleted);
}

TEST(JobTable, RemovesADeletedJob) {
  JobTable table;
  table.Apply({"j/x", EncodeSpec(FullJob()), 1});
  table.Apply({"j/x", "", 2});
  table.Apply({"p/x", "", 3});
  EXPECT_EQ(table.Find("x"), nullptr);
}

// Records of learned state may be malformed or written by a planner of another version. They must
// throw away no job, and the newest one counts.
TEST(JobTable, KeepsTheNewestLearnedRecordsBesideJobs) {
  JobTable table;
  table.Apply({"j/x", EncodeSpec(FullJob()), 1});
  for (const char* text : {"{", "null", "\xff"}) {
    EXPECT_NO_THROW(table.Apply({"l/speeds", text, table.newest_offset() + 1}));
    EXPECT_EQ(table.learned().at("speeds"), text);
  }
  table.Apply({"l/foreign", "older", 20});
  table.Apply({"l/foreign", "newer", 22});
  table.Apply({"l/foreign", "older", 21});
  table.Apply({"l/", "no name", 23});
  EXPECT_EQ(table.learned().at("foreign"), "newer");
  table.Apply({"l/speeds", "", 24});
  EXPECT_EQ(table.learned().count("speeds"), 0U);
  EXPECT_NE(table.Find("x"), nullptr);
  EXPECT_EQ(table.jobs().size(), 1U);
}

}  // namespace
}  // namespace turmericshift::pool
