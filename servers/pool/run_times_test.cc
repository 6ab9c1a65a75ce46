#include "servers/pool/run_times.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RunTimes, UsesTheEstimateWithFewRuns) {
  RunTimes times;
  times.Record("q", seconds(1), seconds(9));
  EXPECT_EQ(times.ExpectedTime("q", seconds(2)), seconds(2));
  EXPECT_EQ(times.ExpectedTime("other", seconds(2)), seconds(2));
}

// Callers' estimates are between a tenth and twice the run time, while all tasks take nearly the
// same time.
TEST(RunTimes, UsesTheQueueMeanWhereEstimatesAreUnrelated) {
  RunTimes times;
  for (int i = 0; i < 12; ++i) {
    times.Record("q", milliseconds(900 + 1400 * i), seconds(8) + milliseconds(100 * i));
  }
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(1))), 8.5, 0.3);
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(17))), 8.5, 0.3);
}

// Run times differ by up to ten times, as the estimates predict, but all tasks take one and a half
// times their estimate.
TEST(RunTimes, ScalesTheEstimateWhereItPredictsBetter) {
  RunTimes times;
  for (int i = 1; i <= 12; ++i) times.Record("q", seconds(i), milliseconds(1500 * i));
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(2))), 3.0, 0.1);
  EXPECT_NEAR(Seconds(times.ExpectedTime("q", seconds(10))), 15.0, 0.1);
}

}  // namespace
}  // namespace turmericshift::pool
