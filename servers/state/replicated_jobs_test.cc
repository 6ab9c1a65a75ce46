// Checks jobs and planner epochs against the order of records in the log.
#include "servers/state/replicated_jobs.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace turmericshift {
namespace {

constexpr const char* kZone = "bud-a";
constexpr Sequence kFirstEpoch = 10;
constexpr Sequence kSecondEpoch = 20;

class ReplicatedJobsTest : public ::testing::Test {
 protected:
  ReplicatedJobsTest() {
    JobSubmitted submitted;
    submitted.id = NewRecordId();
    submitted.spec.key = "labels";
    submitted.spec.workspace = "shops";
    submitted.zone = kZone;
    jobs_.Apply(submitted, 1);
    Claim("entry-1", kNoSequence, kFirstEpoch);
  }

  bool Claim(const std::string& process, Sequence after, Sequence sequence) {
    return jobs_.Apply(PlannerClaimed{NewRecordId(), kZone, process, after}, sequence).accepted;
  }

  bool Starting(int64_t attempt, Sequence epoch, bool resumes = false) {
    return jobs_.Apply(JobStarting{NewRecordId(), job_, attempt, epoch, resumes}, 100).accepted;
  }

  const std::string job_ = JobId("shops", "labels");
  ReplicatedJobs jobs_;
};

// Two entries detect a silent planner at the same time and both claim the zone. If both claims were
// accepted, both would plan the zone, and each takeover would trigger another.
TEST_F(ReplicatedJobsTest, OnlyFirstClaimAfterAnEpochIsAccepted) {
  EXPECT_TRUE(Claim("entry-2", kFirstEpoch, kSecondEpoch));
  EXPECT_FALSE(Claim("entry-3", kFirstEpoch, 30));
  EXPECT_EQ(jobs_.Planner(kZone).process, "entry-2");
  EXPECT_EQ(jobs_.Planner(kZone).epoch, kSecondEpoch);
}

// An entry that leaves releases its zone. The release of an entry that was paused and replaced
// meanwhile must not take the zone from its successor.
TEST_F(ReplicatedJobsTest, OnlyActivePlannerReleasesTheZone) {
  EXPECT_TRUE(Claim("entry-2", kFirstEpoch, kSecondEpoch));
  EXPECT_FALSE(jobs_.Apply(PlannerReleased{NewRecordId(), kZone, kFirstEpoch}, 30).accepted);
  EXPECT_TRUE(jobs_.Apply(PlannerReleased{NewRecordId(), kZone, kSecondEpoch}, 31).accepted);
  EXPECT_EQ(jobs_.Planner(kZone).process, "");
  EXPECT_FALSE(Claim("entry-3", kNoSequence, 32));
  EXPECT_TRUE(Claim("entry-3", kSecondEpoch, 33));
}

// A job that must not run twice, such as printing labels, is started again only with proof that the
// first start did not take effect.
TEST_F(ReplicatedJobsTest, NonRepeatableJobStartsOnceUnlessRecordedNotStarted) {
  EXPECT_TRUE(Starting(7, kFirstEpoch));
  EXPECT_FALSE(Starting(8, kFirstEpoch));
  EXPECT_TRUE(jobs_.Apply(JobNotStarted{NewRecordId(), job_, 7, kFirstEpoch}, 101).accepted);
  EXPECT_TRUE(Starting(8, kFirstEpoch));
  EXPECT_FALSE(jobs_.Apply(JobNotStarted{NewRecordId(), job_, 7, kFirstEpoch}, 102).accepted);
  EXPECT_TRUE(Starting(9, kFirstEpoch, true));
}

// The caller cancels while the planner is about to release the job. The first record in the log
// wins, so a cancelled job never starts.
TEST_F(ReplicatedJobsTest, CancelledJobCannotStart) {
  jobs_.Apply(JobCancelled{NewRecordId(), job_}, 50);
  EXPECT_FALSE(Starting(7, kFirstEpoch));
}

// A planner that was paused and replaced writes records based on its outdated state. The job must
// not end as failed while it runs under the successor.
TEST_F(ReplicatedJobsTest, ReplacedPlannerCannotEndStartOrMoveAJob) {
  EXPECT_TRUE(Claim("entry-2", kFirstEpoch, kSecondEpoch));
  JobEnded ended{NewRecordId(), job_, 7, JobState::kFailed, "worker lost", 0, kFirstEpoch};
  EXPECT_FALSE(jobs_.Apply(ended, 60).accepted);
  EXPECT_FALSE(Starting(7, kFirstEpoch));
  EXPECT_FALSE(
      jobs_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, ""}, 61).accepted);
  ended.epoch = kSecondEpoch;
  EXPECT_TRUE(jobs_.Apply(ended, 62).accepted);
}

// While it is unknown whether a job ran, another zone's planner can't know either.
TEST_F(ReplicatedJobsTest, AJobThatMayHaveStartedMovesOnlyWithACheckpoint) {
  EXPECT_TRUE(Starting(7, kFirstEpoch));
  EXPECT_FALSE(
      jobs_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, ""}, 60).accepted);
  EXPECT_TRUE(
      jobs_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, "c1"}, 61).accepted);
  EXPECT_EQ(jobs_.Find(job_)->zone, "bud-b");
}

// Planners list the open jobs of their zone many times a second. An ended or moved job that is
// still listed would be started again; an open job that is missing would never run.
TEST_F(ReplicatedJobsTest, OpenJobsFollowEndsMovesAndRestores) {
  JobSubmitted second;
  second.id = NewRecordId();
  second.spec.key = "blends";
  second.spec.workspace = "shops";
  second.zone = kZone;
  jobs_.Apply(second, 40);
  ASSERT_EQ(jobs_.OpenJobs(kZone).size(), 2U);
  EXPECT_EQ(jobs_.OpenJobs(kZone).front().id, job_);
  jobs_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, ""}, 41);
  EXPECT_EQ(jobs_.OpenJobs(kZone).size(), 1U);
  EXPECT_EQ(jobs_.OpenJobs("bud-b").size(), 1U);
  JobEnded ended;
  ended.job = JobId("shops", "blends");
  jobs_.Apply(ended, 42);
  EXPECT_TRUE(jobs_.OpenJobs(kZone).empty());
  ReplicatedJobs restored;
  restored.Restore(jobs_.Snapshot());
  EXPECT_TRUE(restored.OpenJobs(kZone).empty());
  ASSERT_EQ(restored.OpenJobs("bud-b").size(), 1U);
  EXPECT_EQ(restored.OpenJobs("bud-b").front().id, job_);
}

// Records written before the newer fields existed must still be read, with the same result in all
// processes.
TEST(JobRecordsTest, OlderRecordsWithoutTheNewFieldsAreRead) {
  const auto records = DecodeRecords(
      R"([{"type":"planner_claimed","id":"a","zone":"z","process":"p"},)"
      R"({"type":"job_ended","id":"b","job":"w/j","attempt":1,"state":"done","reason":"",)"
      R"("wall_ms":5}])");
  ASSERT_EQ(records.size(), 2U);
  EXPECT_EQ(std::get<PlannerClaimed>(records[0].record).after, kNoSequence);
  EXPECT_EQ(std::get<JobEnded>(records[1].record).epoch, kNoSequence);
}

}  // namespace
}  // namespace turmericshift
