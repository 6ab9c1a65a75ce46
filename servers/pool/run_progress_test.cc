#include "servers/pool/run_progress.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kStart = Time(std::chrono::hours(1));

TEST(RunProgress, UsesTheEstimateWithoutProgress) {
  const RunProgress progress;
  EXPECT_EQ(progress.RemainingTime(seconds(10), kStart, kStart + seconds(4)), seconds(6));
}

// The estimate is one second and the task takes ten. By the estimate, the task would seem about to
// end for nine seconds, and its room would be promised to a gang all that time.
TEST(RunProgress, UsesReportedProgress) {
  RunProgress progress;
  progress.Update(0, kStart);
  progress.Update(10, kStart + seconds(1));
  progress.Update(20, kStart + seconds(2));
  EXPECT_EQ(progress.RemainingTime(seconds(1), kStart, kStart + seconds(2)), seconds(8));
}

TEST(RunProgress, IgnoresRepeatedPercentages) {
  RunProgress progress;
  for (int i = 0; i < 5; ++i) progress.Update(10, kStart + seconds(i));
  EXPECT_EQ(progress.RemainingTime(seconds(10), kStart, kStart + seconds(4)), seconds(6));
}

// A task stalls at 80 %. Its expected end must not stay imminent forever.
TEST(RunProgress, ExtendsTheRemainingTimeOfAStalledRun) {
  RunProgress progress;
  progress.Update(0, kStart);
  progress.Update(40, kStart + seconds(4));
  progress.Update(80, kStart + seconds(8));
  EXPECT_EQ(progress.RemainingTime(seconds(10), kStart, kStart + seconds(8)), seconds(2));
  EXPECT_EQ(progress.RemainingTime(seconds(10), kStart, kStart + seconds(20)), seconds(5));
  EXPECT_EQ(progress.RemainingTime(seconds(10), kStart, kStart + seconds(40)), seconds(10));
}

// A worker stalls while its health is reported as good; only the missing progress shows it.
TEST(RunProgress, DetectsAStalledRun) {
  RunProgress progress;
  progress.Update(0, kStart);
  EXPECT_FALSE(progress.IsStalled(seconds(10), kStart + seconds(9)));
  progress.Update(10, kStart + seconds(10));
  EXPECT_FALSE(progress.IsStalled(seconds(10), kStart + seconds(12)));
  EXPECT_TRUE(progress.IsStalled(seconds(10), kStart + seconds(13)));
  // One percent of a task of several minutes takes seconds.
  EXPECT_FALSE(progress.IsStalled(seconds(600), kStart + seconds(13)));
}

// A task takes ten times its estimate. Between two percents, half a minute apart, its worker was
// taken for stalled and got no other task.
TEST(RunProgress, CountsNoLongRunAsStalledBetweenTwoPercents) {
  RunProgress progress;
  progress.Update(0, kStart);
  progress.Update(1, kStart + seconds(30));
  EXPECT_FALSE(progress.IsStalled(seconds(300), kStart + seconds(59)));
  progress.Update(2, kStart + seconds(60));
  EXPECT_FALSE(progress.IsStalled(seconds(300), kStart + seconds(119)));
  EXPECT_TRUE(progress.IsStalled(seconds(300), kStart + seconds(121)));
}

// A stall that is over says nothing about the speed of the run.
TEST(RunProgress, DetectsAStallAfterAnEarlierOne) {
  RunProgress progress;
  progress.Update(0, kStart);
  progress.Update(10, kStart + seconds(1));
  progress.Update(11, kStart + seconds(31));
  progress.Update(21, kStart + seconds(32));
  EXPECT_TRUE(progress.IsStalled(seconds(10), kStart + seconds(35)));
}

}  // namespace
}  // namespace turmericshift::pool
