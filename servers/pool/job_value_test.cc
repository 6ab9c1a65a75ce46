#include "servers/pool/job_value.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two seconds of work, due within 3.25 s.
JobTiming ShortJob() {
  JobTiming timing;
  timing.remaining = seconds(2);
  timing.critical_path = seconds(2);
  timing.stretch = 1.5;
  timing.target_latency = milliseconds(250);
  timing.spread = 0.5;
  return timing;
}

TEST(JobValue, IsCertainForAJobThatIsOnTimeAtAnyRunTime) {
  EXPECT_EQ(CompletionProbability(ShortJob(), 1, Duration::zero()), 1);
  EXPECT_EQ(ExpectedValueShare(ShortJob(), Duration::zero()), 1);
}

TEST(JobValue, ProbabilityFallsWithTheWait) {
  double before = 1;
  for (int wait = 400; wait <= 6000; wait += 200) {
    const double probability = CompletionProbability(ShortJob(), 1, milliseconds(wait));
    EXPECT_LT(probability, before) << wait;
    before = probability;
  }
  EXPECT_LT(before, 0.01);
}

// If the job takes exactly the expected time, a wait of 1.25 s uses up its slack of 3.25 s - 2 s.
// Run times are as often longer as shorter, so half of such jobs finish on time.
TEST(JobValue, ProbabilityIsOneHalfAtTheExpectedTime) {
  EXPECT_NEAR(CompletionProbability(ShortJob(), 1, milliseconds(1250)), 0.5, 0.01);
}

TEST(JobValue, KeepsAShareOfTheValueUntilUseless) {
  const double late = ExpectedValueShare(ShortJob(), seconds(4));
  EXPECT_GT(late, 0.2);
  EXPECT_LT(late, 0.3);
  EXPECT_LT(ExpectedValueShare(ShortJob(), seconds(60)), 0.01);
}

// More work remains than the whole job was expected to take, as after a run that failed at its very
// end.
TEST(JobValue, LowProbabilityIfMoreRemainsThanExpected) {
  JobTiming timing = ShortJob();
  timing.remaining = seconds(4);
  EXPECT_LT(CompletionProbability(timing, 1, Duration::zero()), 0.2);
  EXPECT_EQ(CompletionProbability(timing, 1, seconds(1)), 0);
}

TEST(JobValue, ValueRisesWithSizeUpToALimit) {
  EXPECT_LT(ValueOnTime(0, 100, 400), ValueOnTime(0, 400, 400));
  EXPECT_EQ(ValueOnTime(0, 4000, 400), ValueOnTime(0, 8000, 400));
  EXPECT_GT(ValueOnTime(0, 400, 400), ValueOnTime(1, 400, 400));
}

}  // namespace
}  // namespace turmericshift::pool
