#include <gtest/gtest.h>

#include "servers/pool/job_value.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two seconds of work that should be done within three and a quarter.
JobTiming Short() {
  JobTiming timing;
  timing.remaining = seconds(2);
  timing.critical_path = seconds(2);
  timing.stretch = 1.5;
  timing.target_latency = milliseconds(250);
  timing.spread = 0.5;
  return timing;
}

TEST(JobWorth, IsSureOfAJobThatIsInTimeHoweverLongItTakes) {
  EXPECT_EQ(CompletionProbability(Short(), 1, Duration::zero()), 1);
  EXPECT_EQ(ExpectedValueShare(Short(), Duration::zero()), 1);
}

TEST(JobWorth, IsLessSureTheLongerTheJobWaits) {
  double before = 1;
  for (int wait = 400; wait <= 6000; wait += 200) {
    const double likely = CompletionProbability(Short(), 1, milliseconds(wait));
    EXPECT_LT(likely, before) << wait;
    before = likely;
  }
  EXPECT_LT(before, 0.01);
}

// By the mean alone a wait of a second and a quarter is just in time, and a moment more is late:
// half of such jobs are late then, and half are not.
TEST(JobWorth, TakesTheMeanForAnEvenChance) {
  EXPECT_NEAR(CompletionProbability(Short(), 1, milliseconds(1250)), 0.5, 0.01);
}

TEST(JobWorth, KeepsSomeWorthWhenLateAndNoneWhenTooLate) {
  const double late = ExpectedValueShare(Short(), seconds(4));
  EXPECT_GT(late, 0.2);
  EXPECT_LT(late, 0.3);
  EXPECT_LT(ExpectedValueShare(Short(), seconds(60)), 0.01);
}

// More is left than the whole should have taken, as after a run that was lost at its very end.
TEST(JobWorth, KnowsAJobThatCanOnlyBeInTimeIfItIsShort) {
  JobTiming timing = Short();
  timing.remaining = seconds(4);
  EXPECT_LT(CompletionProbability(timing, 1, Duration::zero()), 0.2);
  EXPECT_EQ(CompletionProbability(timing, 1, seconds(1)), 0);
}

TEST(JobWorth, RisesWithSizeUpToABound) {
  EXPECT_LT(ValueOnTime(0, 100, 400), ValueOnTime(0, 400, 400));
  EXPECT_EQ(ValueOnTime(0, 4000, 400), ValueOnTime(0, 8000, 400));
  EXPECT_GT(ValueOnTime(0, 400, 400), ValueOnTime(1, 400, 400));
}

}  // namespace
}  // namespace turmericshift::pool
