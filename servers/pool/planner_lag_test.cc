#include <gtest/gtest.h>

#include "servers/pool/planner_lag.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = Time(std::chrono::hours(1));

std::string Node(int number) { return "n" + std::to_string(number); }

// Polls of `count` agents wait here, to be answered at `until`.
PlannerLateness Holding(int count, Time until) {
  PlannerLateness lateness;
  for (int agent = 0; agent < count; ++agent) lateness.Heard(Node(agent), until);
  return lateness;
}

TEST(PlannerLateness, IsNoneWhileThePollsAreAnsweredInTime) {
  PlannerLateness lateness = Holding(20, kNow + milliseconds(300));
  lateness.Update(kNow);
  EXPECT_EQ(lateness.lag(), Duration::zero());
  EXPECT_FALSE(lateness.sheds());
}

// A planner that stood still for two seconds took every agent for silent when it went on.
TEST(PlannerLateness, SeesThatItStoodStill) {
  PlannerLateness lateness = Holding(20, kNow);
  lateness.Update(kNow + seconds(2));
  EXPECT_GT(lateness.lag(), milliseconds(1800));
  EXPECT_TRUE(lateness.sheds());
}

// A zone is cut off. That is the agents' silence and no lateness of the planner's.
TEST(PlannerLateness, BlamesFewSilentAgentsOnThemselves) {
  PlannerLateness lateness = Holding(20, kNow + seconds(3));
  for (int agent = 0; agent < 4; ++agent) lateness.Answered(Node(agent), kNow);
  lateness.Update(kNow + seconds(2));
  EXPECT_EQ(lateness.lag(), Duration::zero());
}

// Half of the pool has gone for good: it must not pass for lateness for ever, or nothing that ran
// there would be started again.
TEST(PlannerLateness, ForgetsAgentsThatAreGone) {
  PlannerLateness lateness = Holding(20, kNow + seconds(60));
  for (int agent = 0; agent < 12; ++agent) lateness.Answered(Node(agent), kNow);
  for (int tenth = 1; tenth <= 90; ++tenth) lateness.Update(kNow + milliseconds(100) * tenth);
  EXPECT_EQ(lateness.lag(), Duration::zero());
}

// Reports that came during a stall are read one after the other, so that some are still unread when
// most have been heard.
TEST(PlannerLateness, FallsNoFasterThanTimePasses) {
  PlannerLateness lateness = Holding(20, kNow);
  const Time end = kNow + seconds(2);
  lateness.Update(end);
  const Duration stalled = lateness.lag();
  for (int agent = 0; agent < 15; ++agent) lateness.Heard(Node(agent), end + milliseconds(500));
  lateness.Update(end + milliseconds(400));
  EXPECT_EQ(lateness.lag(), stalled - milliseconds(400));
  lateness.Update(end + seconds(2));
  EXPECT_LE(lateness.lag(), milliseconds(1600));
}

TEST(PlannerLateness, StartsLessWhileItIsLateAndMoreOnceItIsNot) {
  PlannerLateness lateness = Holding(20, kNow);
  constexpr int kMany = 100;
  lateness.Update(kNow);
  EXPECT_TRUE(lateness.MayStartMore(kMany));
  Time now = kNow;
  for (int tenth = 0; tenth < 20; ++tenth) lateness.Update(now += milliseconds(100));
  EXPECT_FALSE(lateness.MayStartMore(kMany));
  EXPECT_TRUE(lateness.MayStartMore(0));
  for (int tenth = 0; tenth < 50; ++tenth) {
    now += milliseconds(100);
    for (int agent = 0; agent < 20; ++agent) lateness.Heard(Node(agent), now + milliseconds(500));
    lateness.Update(now);
  }
  EXPECT_TRUE(lateness.MayStartMore(kMany));
}

// Looks at the agents each tenth of a second for `length`, while agents `from` to 19 come back at
// once, hold their polls for 200 ms and are answered.
void PassWithReturns(PlannerLateness* lateness, int from, Time begin, Duration length) {
  constexpr int kTenthsHeld = 2;
  for (int tenth = 0; begin + milliseconds(100) * tenth <= begin + length; ++tenth) {
    const Time now = begin + milliseconds(100) * tenth;
    for (int agent = from; agent < 20 && tenth % kTenthsHeld == 0; ++agent) {
      lateness->Answered(Node(agent), now);
      lateness->Returned(Node(agent), now + milliseconds(10));
      lateness->Heard(Node(agent), now + milliseconds(100) * kTenthsHeld);
    }
    lateness->Update(now + milliseconds(20));
  }
}

// Most of the pool loses power at once, and the planner, idle, gave up holding room and waited
// longer before it started the lost tasks again.
TEST(PlannerLateness, BlamesManySilentAgentsOnThemselvesWhileOthersComeBackAtOnce) {
  PlannerLateness lateness = Holding(20, kNow);
  lateness.Update(kNow);
  for (int tenth = 1; tenth <= 40; ++tenth) {
    PassWithReturns(&lateness, 12, kNow + milliseconds(100) * tenth, Duration::zero());
    EXPECT_EQ(lateness.lag(), Duration::zero()) << tenth;
  }
}

TEST(PlannerLateness, SeesAStallAfterAgentsHaveComeBackAtOnce) {
  PlannerLateness lateness = Holding(20, kNow);
  PassWithReturns(&lateness, 0, kNow, seconds(2));
  lateness.Update(kNow + seconds(4));
  EXPECT_GT(lateness.lag(), milliseconds(1700));
}

// After a stall the reports are read one after the other; those that have been read came late.
TEST(PlannerLateness, StaysLateWhileReportsThatCameInAStallAreRead) {
  PlannerLateness lateness = Holding(20, kNow);
  const Time end = kNow + seconds(2);
  for (int agent = 0; agent < 8; ++agent) {
    lateness.Returned(Node(agent), end);
    lateness.Heard(Node(agent), end + milliseconds(500));
  }
  lateness.Update(end);
  EXPECT_GT(lateness.lag(), milliseconds(1800));
}

}  // namespace
}  // namespace turmericshift::pool
