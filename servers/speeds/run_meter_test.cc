#include "servers/speeds/run_meter.h"

#include <gtest/gtest.h>

#include <cmath>

namespace turmericshift::speeds {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(std::chrono::hours(1));

double WholeSeconds(const RunMeter& meter) { return std::exp(meter.measurement()->log_time); }

TEST(RunMeter, MeasuresTheWholeTimeFromProgress) {
  RunMeter meter;
  for (int second = 1; second <= 4; ++second) meter.Record(10 * second, kStart + seconds(second));
  EXPECT_NEAR(WholeSeconds(meter), 10, 0.01);
}

// The first reading of a worker may be from before the run began. Counted as its begin, it would
// make the worker look slow.
TEST(RunMeter, IgnoresTheTimeBeforeTheRunHasBegun) {
  RunMeter meter;
  meter.Record(0, kStart);
  meter.Record(20, kStart + seconds(5));
  meter.Record(40, kStart + seconds(6));
  EXPECT_NEAR(WholeSeconds(meter), 5, 0.01);
}

// A member on a fast worker has done its part and waits for its gang. Counted as work, the wait
// would make the fastest workers look like the slowest member.
TEST(RunMeter, IgnoresTheWaitForTheGangAtTheEnd) {
  RunMeter meter;
  meter.Record(20, kStart);
  meter.Record(60, kStart + seconds(1));
  meter.Record(100, kStart + seconds(9));
  EXPECT_NEAR(WholeSeconds(meter), 2.5, 0.01);
}

TEST(RunMeter, IsMoreCertainTheMoreProgressItHasSeen) {
  RunMeter meter;
  meter.Record(10, kStart);
  meter.Record(20, kStart + seconds(1));
  const double early = meter.measurement()->variance;
  meter.Record(60, kStart + seconds(5));
  EXPECT_LT(meter.measurement()->variance, early);
}

TEST(RunMeter, MeasuresRunsThatEndBeforeTheirProgressIsSeen) {
  RunMeter meter;
  meter.RecordDone(milliseconds(800));
  EXPECT_NEAR(WholeSeconds(meter), 0.8, 0.01);
}

// A worker turns five times slower for seconds. Work that is placed on it meanwhile ends late, so
// the change has to be seen within about two seconds of work.
TEST(RunMeter, DetectsASlowdownWithinTwoSeconds) {
  RunMeter meter;
  meter.Record(10, kStart);
  meter.Record(20, kStart + seconds(1));
  meter.Record(30, kStart + seconds(2));
  EXPECT_EQ(meter.Record(32, kStart + seconds(3)), Pace::kUnknown);
  EXPECT_EQ(meter.Record(34, kStart + seconds(4)), Pace::kSlowed);
  EXPECT_EQ(meter.Record(44, kStart + seconds(5)), Pace::kUnknown);
  EXPECT_EQ(meter.Record(54, kStart + seconds(6)), Pace::kSteady);
}

// A passing slowdown must not be taken for the worker's lasting speed.
TEST(RunMeter, KeepsTheLastingSpeedThroughASlowdown) {
  RunMeter meter;
  meter.Record(10, kStart);
  meter.Record(20, kStart + seconds(1));
  meter.Record(30, kStart + seconds(2));
  for (int second = 3; second < 9; ++second) {
    meter.Record(28 + 2 * (second - 1), kStart + seconds(second));
  }
  EXPECT_NEAR(WholeSeconds(meter), 10, 1);
}

// The whole time of a run that was slowed for a while is not the time that its worker takes.
TEST(RunMeter, IgnoresTheWholeTimeOfARunThatWasSlowed) {
  RunMeter meter;
  meter.Record(10, kStart);
  meter.Record(20, kStart + seconds(1));
  meter.Record(30, kStart + seconds(2));
  meter.Record(32, kStart + seconds(4));
  meter.Record(42, kStart + seconds(5));
  meter.Record(52, kStart + seconds(6));
  meter.RecordDone(seconds(14));
  EXPECT_NEAR(WholeSeconds(meter), 10, 1);
}

// Reports that come late or out of order show less progress than has been seen.
TEST(RunMeter, IgnoresProgressThatGoesBack) {
  RunMeter meter;
  meter.Record(10, kStart);
  meter.Record(30, kStart + seconds(2));
  EXPECT_EQ(meter.Record(20, kStart + seconds(3)), Pace::kUnknown);
  EXPECT_NEAR(WholeSeconds(meter), 10, 0.01);
}

}  // namespace
}  // namespace turmericshift::speeds
