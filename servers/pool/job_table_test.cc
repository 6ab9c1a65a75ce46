#include "servers/pool/job_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>

#include "core/error.h"
#include "servers/pool/progress_parts.h"
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
  spec.terms.advised = true;
  spec.terms.advice_timing = {std::chrono::seconds(1), std::chrono::milliseconds(400),
                              std::chrono::seconds(5)};
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
  EXPECT_EQ(read.terms.advice_timing.per_worker, std::chrono::milliseconds(400));
  EXPECT_EQ(read.schedule.interval_ms, 2000);
}

TEST(JobRecords, RoundTripProgress) {
  JobProgress progress;
  progress.state = JobState::kRunning;
  progress.done[{0, 0}] = {0, 2};
  progress.failures[{0, 0, 1}] = {54, 77};
  progress.checkpoints[{0, 0, 1}] = "00ab";
  progress.none_begun = true;
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

// A job whose tasks are stored in parts, with one task done in each of its two parts.
struct JobInParts {
  JobInParts() {
    spec = SampleJob("a/b", "batch", "one",
                     SampleStep(2 * kTasksPerPart, 1, std::chrono::milliseconds(700)));
    first.done[{0, 0}] = {1};
    second.done[{0, 0}] = {kTasksPerPart + 1};
    state.state = JobState::kRunning;
    records = {{"j/a/b", EncodeSpec(spec), 1},
               {PartKey("a/b", 0), EncodeProgress(first), 2},
               {PartKey("a/b", 1), EncodeProgress(second), 3},
               {"p/a/b", EncodeProgress(state), 4}};
  }
  JobSpec spec;
  JobProgress first;
  JobProgress second;
  JobProgress state;
  std::vector<KeyedRecord> records;
};

// Pages of the newest records come in the order of keys, the history in that of offsets. A part
// that were lost in one of them would run its tasks again.
TEST(JobTable, JoinsThePartsOfAJobInAnyOrder) {
  JobInParts job;
  std::sort(job.records.begin(), job.records.end(),
            [](const auto& left, const auto& right) { return left.key < right.key; });
  do {
    JobTable table;
    for (const KeyedRecord& record : job.records) table.Apply(record);
    ASSERT_NE(table.Find("a/b"), nullptr);
    const StoredJob& stored = *table.Find("a/b");
    EXPECT_EQ(stored.progress.state, JobState::kRunning);
    EXPECT_EQ(stored.progress.done_count({0, 0}), 2);
    EXPECT_EQ(stored.parts, (std::set<int64_t>{0, 1}));
    EXPECT_FALSE(stored.has_own_tasks);
  } while (std::next_permutation(
      job.records.begin(), job.records.end(),
      [](const auto& left, const auto& right) { return left.key < right.key; }));
}

// A job that is handed in again under its id after it was forgotten must not inherit old parts.
TEST(JobTable, RemovesTheParts) {
  JobInParts job;
  JobTable table;
  for (const KeyedRecord& record : job.records) table.Apply(record);
  Offset offset = 10;
  for (const char* key : {"t/a/b/0", "t/a/b/1", "j/a/b", "p/a/b"}) table.Apply({key, "", ++offset});
  EXPECT_EQ(table.Find("a/b"), nullptr);
  table.Apply({"j/a/b", EncodeSpec(job.spec), 20});
  EXPECT_EQ(table.Find("a/b")->progress.done_count({0, 0}), 0);
  EXPECT_TRUE(table.Find("a/b")->parts.empty());
}

TEST(JobTable, RejectsMalformedPartKeys) {
  for (const char* key : {"t/", "t/x", "t/x/", "t/x/y", "t/x/-1"}) {
    EXPECT_THROW(JobTable().Apply({key, EncodeProgress({}), 1}), Error) << key;
  }
}

// The record of a job within the limit on bodies was up to 1.8 times as large as its body, too
// large for the store, which refused it for ever.
TEST(JobRecords, StoreAJobInNoMoreSpaceThanItsBodyTook) {
  JobSpec spec = SampleJob("j", "batch", "one", StepSpec());
  spec.steps.clear();
  StepSpec step;
  step.tasks = 1;
  step.need.processor_millis = 5;
  size_t body = 0;
  while (body < 260'000) {
    spec.steps.push_back(step);
    body += std::strlen(R"({"count":1,"cpu":5},)");
  }
  const std::string bytes = EncodeSpec(spec);
  EXPECT_LT(bytes.size(), 262'144 - kRecordKeyBytes);
  const JobSpec read = DecodeSpec("j", bytes);
  EXPECT_EQ(read.steps.size(), spec.steps.size());
  EXPECT_EQ(read.steps[0].need.processor_millis, 5);
  EXPECT_EQ(read.steps[0].need.accelerators, 0);
  EXPECT_EQ(read.steps[0].tasks, 1);
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
