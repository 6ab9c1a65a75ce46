#include "servers/speeds/speed_preference.h"

#include <gtest/gtest.h>

namespace turmericshift::speeds {
namespace {

using std::chrono::milliseconds;

constexpr double kFast = 0.6;
constexpr double kTypical = 1;
constexpr double kSlow = 1.6;

int RankFor(const SpeedLimits& limits, double factor) { return SpeedRank(limits, factor, factor); }

// An urgent job with half of its run time as slack ends late on workers that take 1.6 times as
// long.
TEST(SpeedPreference, UrgentJobsGetFastWorkersAndAvoidThoseThatMakeThemLate) {
  const SpeedLimits limits = LimitsFor(true, milliseconds(3300), milliseconds(2100));
  EXPECT_LT(RankFor(limits, kFast), RankFor(limits, kTypical));
  EXPECT_LT(RankFor(limits, kTypical), kTooSlowRank);
  EXPECT_EQ(RankFor(limits, kSlow), kTooSlowRank);
}

// A typical worker may make a job late that has waited for long.
TEST(SpeedPreference, LimitsShrinkWhileAJobWaits) {
  const SpeedLimits limits = LimitsFor(true, milliseconds(2200), milliseconds(2100));
  EXPECT_LT(RankFor(limits, kFast), kTooSlowRank);
  EXPECT_EQ(RankFor(limits, kTypical), kTooSlowRank);
}

// If no worker can end the job in time, it must not be kept from all of them.
TEST(SpeedPreference, JobsThatAreLateAnywayStillGetTheFasterWorkers) {
  const SpeedLimits limits = LimitsFor(true, milliseconds(-500), milliseconds(2100));
  EXPECT_LT(RankFor(limits, kTypical), kTooSlowRank);
  EXPECT_EQ(RankFor(limits, kSlow), kTooSlowRank);
}

// Jobs with slack on fast workers would leave only slow ones to the next urgent gang.
TEST(SpeedPreference, JobsWithSlackTakeTheSlowWorkers) {
  const SpeedLimits limits = LimitsFor(false, milliseconds(18'000), milliseconds(6'000));
  EXPECT_LT(RankFor(limits, kSlow), RankFor(limits, kTypical));
  EXPECT_LT(RankFor(limits, kTypical), RankFor(limits, kFast));
}

TEST(SpeedPreference, JobsWithoutMuchSlackTakeAnyWorker) {
  const SpeedLimits limits = LimitsFor(false, milliseconds(9'000), milliseconds(6'000));
  EXPECT_EQ(RankFor(limits, kSlow), RankFor(limits, kFast));
}

// An unknown worker may be slow, so an urgent job prefers one that is known to be typical.
TEST(SpeedPreference, UrgentJobsPreferKnownWorkers) {
  const SpeedLimits limits = LimitsFor(true, milliseconds(3300), milliseconds(2100));
  EXPECT_LT(SpeedRank(limits, kTypical, 1.05), SpeedRank(limits, kTypical, 1.25));
}

TEST(SpeedPreference, TheSlowFactorFollowsTheSlackOfTheTerms) {
  EXPECT_DOUBLE_EQ(SlowFactorFor(1.5), 1.375);
  EXPECT_LE(SlowFactorFor(10), 2);
  EXPECT_GT(SlowFactorFor(1), 1);
}

}  // namespace
}  // namespace turmericshift::speeds
