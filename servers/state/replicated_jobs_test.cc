// Jobs and planner epochs as the log's order decides them.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "servers/state/replicated_jobs.h"

namespace turmericshift {
namespace {

constexpr const char* kZone = "bud-a";
constexpr Sequence kFirstEpoch = 10;
constexpr Sequence kSecondEpoch = 20;

class JobFoldTest : public ::testing::Test {
 protected:
  JobFoldTest() {
    JobSubmitted submitted;
    submitted.id = NewRecordId();
    submitted.spec.key = "labels";
    submitted.spec.workspace = "shops";
    submitted.zone = kZone;
    fold_.Apply(submitted, 1);
    Claim("entry-1", kNoSequence, kFirstEpoch);
  }

  bool Claim(const std::string& process, Sequence after, Sequence sequence) {
    return fold_.Apply(PlannerClaimed{NewRecordId(), kZone, process, after}, sequence).accepted;
  }

  bool Starting(int64_t attempt, Sequence epoch, bool resumes = false) {
    return fold_.Apply(JobStarting{NewRecordId(), job_, attempt, epoch, resumes}, 100).accepted;
  }

  const std::string job_ = JobId("shops", "labels");
  ReplicatedJobs fold_;
};

// Two entries notice at the same moment that a planner is silent and both claim. Without an order
// both would plan the zone for a while and every takeover would be followed by another.
TEST_F(JobFoldTest, OnlyTheFirstOfTwoClaimsAfterAnEpochCounts) {
  EXPECT_TRUE(Claim("entry-2", kFirstEpoch, kSecondEpoch));
  EXPECT_FALSE(Claim("entry-3", kFirstEpoch, 30));
  EXPECT_EQ(fold_.Planner(kZone).process, "entry-2");
  EXPECT_EQ(fold_.Planner(kZone).epoch, kSecondEpoch);
}

// An entry that leaves gives its zone up; the goodbye of an entry that was paused in between must
// not take the zone from its successor.
TEST_F(JobFoldTest, OnlyTheHolderReleasesTheZone) {
  EXPECT_TRUE(Claim("entry-2", kFirstEpoch, kSecondEpoch));
  EXPECT_FALSE(fold_.Apply(PlannerReleased{NewRecordId(), kZone, kFirstEpoch}, 30).accepted);
  EXPECT_TRUE(fold_.Apply(PlannerReleased{NewRecordId(), kZone, kSecondEpoch}, 31).accepted);
  EXPECT_EQ(fold_.Planner(kZone).process, "");
  EXPECT_FALSE(Claim("entry-3", kNoSequence, 32));
  EXPECT_TRUE(Claim("entry-3", kSecondEpoch, 33));
}

// A label run may happen once. A second start without proof that the first came to nothing would
// print the labels twice.
TEST_F(JobFoldTest, AJobThatMayNotRepeatStartsOnceUnlessProvedNotStarted) {
  EXPECT_TRUE(Starting(7, kFirstEpoch));
  EXPECT_FALSE(Starting(8, kFirstEpoch));
  EXPECT_TRUE(fold_.Apply(JobNotStarted{NewRecordId(), job_, 7, kFirstEpoch}, 101).accepted);
  EXPECT_TRUE(Starting(8, kFirstEpoch));
  EXPECT_FALSE(fold_.Apply(JobNotStarted{NewRecordId(), job_, 7, kFirstEpoch}, 102).accepted);
  EXPECT_TRUE(Starting(9, kFirstEpoch, true));
}

// The caller cancels while the planner is about to release the job: whichever the log has first
// wins, so a cancelled job never starts.
TEST_F(JobFoldTest, CancelWinsOverAStartThatComesLater) {
  fold_.Apply(JobCancelled{NewRecordId(), job_}, 50);
  EXPECT_FALSE(Starting(7, kFirstEpoch));
}

// A planner that was paused wakes after its successor took the zone and writes what it believed:
// the job must not end as failed while it runs well under the successor.
TEST_F(JobFoldTest, APlannerThatWasReplacedCannotEndStartOrMoveAJob) {
  EXPECT_TRUE(Claim("entry-2", kFirstEpoch, kSecondEpoch));
  JobEnded ended{NewRecordId(), job_, 7, JobState::kFailed, "worker lost", 0, kFirstEpoch};
  EXPECT_FALSE(fold_.Apply(ended, 60).accepted);
  EXPECT_FALSE(Starting(7, kFirstEpoch));
  EXPECT_FALSE(
      fold_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, ""}, 61).accepted);
  ended.epoch = kSecondEpoch;
  EXPECT_TRUE(fold_.Apply(ended, 62).accepted);
}

// While it is unknown whether a job ran, another zone's planner could only guess as well.
TEST_F(JobFoldTest, AJobThatMayHaveStartedMovesOnlyWithACheckpoint) {
  EXPECT_TRUE(Starting(7, kFirstEpoch));
  EXPECT_FALSE(
      fold_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, ""}, 60).accepted);
  EXPECT_TRUE(
      fold_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, "c1"}, 61).accepted);
  EXPECT_EQ(fold_.Find(job_)->zone, "bud-b");
}

// Records written before the newer fields existed must still be read, the same way by everyone.
// A planner asks for the open jobs of its zone many times a second. One that has ended or moved and
// is still listed would be started again; one that is left out would be forgotten.
TEST_F(JobFoldTest, OpenJobsFollowEndsMovesAndRestores) {
  JobSubmitted second;
  second.id = NewRecordId();
  second.spec.key = "blends";
  second.spec.workspace = "shops";
  second.zone = kZone;
  fold_.Apply(second, 40);
  ASSERT_EQ(fold_.OpenJobs(kZone).size(), 2U);
  EXPECT_EQ(fold_.OpenJobs(kZone).front().id, job_);
  fold_.Apply(JobMoved{NewRecordId(), job_, kZone, "bud-b", kFirstEpoch, ""}, 41);
  EXPECT_EQ(fold_.OpenJobs(kZone).size(), 1U);
  EXPECT_EQ(fold_.OpenJobs("bud-b").size(), 1U);
  JobEnded ended;
  ended.job = JobId("shops", "blends");
  fold_.Apply(ended, 42);
  EXPECT_TRUE(fold_.OpenJobs(kZone).empty());
  ReplicatedJobs restored;
  restored.Restore(fold_.Snapshot());
  EXPECT_TRUE(restored.OpenJobs(kZone).empty());
  ASSERT_EQ(restored.OpenJobs("bud-b").size(), 1U);
  EXPECT_EQ(restored.OpenJobs("bud-b").front().id, job_);
}

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
