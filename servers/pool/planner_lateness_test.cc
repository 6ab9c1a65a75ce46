#include "servers/pool/planner_lateness.h"

#include <gtest/gtest.h>

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
  EXPECT_EQ(lateness.late(), Duration::zero());
  EXPECT_FALSE(lateness.sheds());
}

// A planner that stood still for two seconds took every agent for silent when it went on.
TEST(PlannerLateness, SeesThatItStoodStill) {
  PlannerLateness lateness = Holding(20, kNow);
  lateness.Update(kNow + seconds(2));
  EXPECT_GT(lateness.late(), milliseconds(1800));
  EXPECT_TRUE(lateness.sheds());
}

// A zone is cut off. That is the agents' silence and no lateness of the planner's.
TEST(PlannerLateness, BlamesFewSilentAgentsOnThemselves) {
  PlannerLateness lateness = Holding(20, kNow + seconds(3));
  for (int agent = 0; agent < 4; ++agent) lateness.Answered(Node(agent), kNow);
  lateness.Update(kNow + seconds(2));
  EXPECT_EQ(lateness.late(), Duration::zero());
}

// Half of the pool has gone for good: it must not pass for lateness for ever, or nothing that ran
// there would be started again.
TEST(PlannerLateness, ForgetsAgentsThatAreGone) {
  PlannerLateness lateness = Holding(20, kNow + seconds(60));
  for (int agent = 0; agent < 12; ++agent) lateness.Answered(Node(agent), kNow);
  for (int tenth = 1; tenth <= 90; ++tenth) lateness.Update(kNow + milliseconds(100) * tenth);
  EXPECT_EQ(lateness.late(), Duration::zero());
}

// Reports that came during a stall are read one after the other, so that some are still unread when
// most have been heard.
TEST(PlannerLateness, FallsNoFasterThanTimePasses) {
  PlannerLateness lateness = Holding(20, kNow);
  const Time end = kNow + seconds(2);
  lateness.Update(end);
  const Duration stalled = lateness.late();
  for (int agent = 0; agent < 15; ++agent) lateness.Heard(Node(agent), end + milliseconds(500));
  lateness.Update(end + milliseconds(400));
  EXPECT_EQ(lateness.late(), stalled - milliseconds(400));
  lateness.Update(end + seconds(2));
  EXPECT_LE(lateness.late(), milliseconds(1600));
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

}  // namespace
}  // namespace turmericshift::pool
