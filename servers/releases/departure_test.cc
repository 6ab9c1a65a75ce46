#include "servers/releases/departure.h"

#include <gtest/gtest.h>

namespace turmericshift::releases {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A gang was lost 6.9 s after its start, since one of its workers had announced its end 0.2 s after
// the start.
TEST(Departure, ARunThatHasJustStartedMoves) {
  EXPECT_TRUE(ShouldMove({milliseconds(7000), milliseconds(200), milliseconds(6500)}));
}

// A stop would lose the work of a run that ends in time.
TEST(Departure, ARunThatEndsInTimeStays) {
  EXPECT_FALSE(ShouldMove({milliseconds(3000), milliseconds(200), milliseconds(6500)}));
  EXPECT_EQ(LossLikelihood({milliseconds(3000), {}, milliseconds(6500)}), 0);
}

// Most of the work is done, and workers often stay longer than they announce.
TEST(Departure, ARunNearItsEndStays) {
  EXPECT_FALSE(ShouldMove({milliseconds(7000), seconds(30), milliseconds(6500)}));
}

TEST(Departure, ARunThatCertainlyIsLostMoves) {
  EXPECT_TRUE(ShouldMove({seconds(60), seconds(30), milliseconds(6500)}));
  EXPECT_EQ(LossLikelihood({seconds(60), {}, milliseconds(6500)}), 1);
}

// Without an announced time nothing is known that justifies a stop.
TEST(Departure, ARunStaysWhereTheTimeIsNotKnown) {
  EXPECT_FALSE(ShouldMove({seconds(60), seconds(1), Duration::zero()}));
}

}  // namespace
}  // namespace turmericshift::releases
