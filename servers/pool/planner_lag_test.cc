#include "servers/pool/planner_lag.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = Time(std::chrono::hours(1));

std::string Node(int number) { return "n" + std::to_string(number); }

// A planner that holds the polls of `count` agents, to be answered at `until`.
PlannerLag LagWithHeldPolls(int count, Time until) {
  PlannerLag planner_lag;
  for (int agent = 0; agent < count; ++agent) planner_lag.NotePollHeld(Node(agent), until);
  return planner_lag;
}

TEST(PlannerLag, IsZeroWhilePollsAreAnsweredOnTime) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow + milliseconds(300));
  planner_lag.Update(kNow);
  EXPECT_EQ(planner_lag.lag(), Duration::zero());
  EXPECT_FALSE(planner_lag.overloaded());
}

// Guards against a planner that was stalled for two seconds and takes every agent for silent.
TEST(PlannerLag, DetectsAStall) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow);
  planner_lag.Update(kNow + seconds(2));
  EXPECT_GT(planner_lag.lag(), milliseconds(1800));
  EXPECT_TRUE(planner_lag.overloaded());
}

// A zone is partitioned. The silence of its agents is not the planner's lag.
TEST(PlannerLag, IgnoresAFewSilentAgents) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow + seconds(3));
  for (int agent = 0; agent < 4; ++agent) planner_lag.NotePollAnswered(Node(agent), kNow);
  planner_lag.Update(kNow + seconds(2));
  EXPECT_EQ(planner_lag.lag(), Duration::zero());
}

// Half of the pool has gone for good. If their silence counted as lag forever, it would prevent the
// lost tasks from being started again.
TEST(PlannerLag, IgnoresAgentsThatAreGone) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow + seconds(60));
  for (int agent = 0; agent < 12; ++agent) planner_lag.NotePollAnswered(Node(agent), kNow);
  for (int tenth = 1; tenth <= 90; ++tenth) planner_lag.Update(kNow + milliseconds(100) * tenth);
  EXPECT_EQ(planner_lag.lag(), Duration::zero());
}

// Reports that arrived during a stall are read one after the other, so some are still unread when
// most agents have been updated.
TEST(PlannerLag, FallsNoFasterThanTimePasses) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow);
  const Time end = kNow + seconds(2);
  planner_lag.Update(end);
  const Duration stalled = planner_lag.lag();
  for (int i = 0; i < 15; ++i) planner_lag.NotePollHeld(Node(i), end + milliseconds(500));
  planner_lag.Update(end + milliseconds(400));
  EXPECT_EQ(planner_lag.lag(), stalled - milliseconds(400));
  planner_lag.Update(end + seconds(2));
  EXPECT_LE(planner_lag.lag(), milliseconds(1600));
}

TEST(PlannerLag, LimitsStartsWhileLagging) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow);
  constexpr int kMany = 100;
  planner_lag.Update(kNow);
  EXPECT_TRUE(planner_lag.MayStartMore(kMany));
  Time now = kNow;
  for (int tenth = 0; tenth < 20; ++tenth) planner_lag.Update(now += milliseconds(100));
  EXPECT_FALSE(planner_lag.MayStartMore(kMany));
  EXPECT_TRUE(planner_lag.MayStartMore(0));
  for (int tenth = 0; tenth < 50; ++tenth) {
    now += milliseconds(100);
    for (int i = 0; i < 20; ++i) planner_lag.NotePollHeld(Node(i), now + milliseconds(500));
    planner_lag.Update(now);
  }
  EXPECT_TRUE(planner_lag.MayStartMore(kMany));
}

// Updates the lag every 100 ms for `length`, while agents `from` to 19 report immediately, have
// their polls held for 200 ms and are answered.
void RunWithPromptReports(PlannerLag* planner_lag, int from, Time begin, Duration length) {
  constexpr int kTenthsHeld = 2;
  for (int tenth = 0; begin + milliseconds(100) * tenth <= begin + length; ++tenth) {
    const Time now = begin + milliseconds(100) * tenth;
    for (int agent = from; agent < 20 && tenth % kTenthsHeld == 0; ++agent) {
      planner_lag->NotePollAnswered(Node(agent), now);
      planner_lag->NoteReportRead(Node(agent), now + milliseconds(10));
      planner_lag->NotePollHeld(Node(agent), now + milliseconds(100) * kTenthsHeld);
    }
    planner_lag->Update(now + milliseconds(20));
  }
}

// Most of the pool loses power at the same moment. If an idle planner counted this as lag, it would
// stop reserving room and delay the restart of the lost tasks.
TEST(PlannerLag, IgnoresManySilentAgentsWhileOthersReportPromptly) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow);
  planner_lag.Update(kNow);
  for (int tenth = 1; tenth <= 40; ++tenth) {
    RunWithPromptReports(&planner_lag, 12, kNow + milliseconds(100) * tenth, Duration::zero());
    EXPECT_EQ(planner_lag.lag(), Duration::zero()) << tenth;
  }
}

TEST(PlannerLag, DetectsAStallAfterPromptReports) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow);
  RunWithPromptReports(&planner_lag, 0, kNow, seconds(2));
  planner_lag.Update(kNow + seconds(4));
  EXPECT_GT(planner_lag.lag(), milliseconds(1700));
}

// After a stall the waiting reports are read one after the other. The reports read so far have
// waited since the stall, so they must not count as prompt.
TEST(PlannerLag, KeepsLaggingWhileReportsFromAStallAreRead) {
  PlannerLag planner_lag = LagWithHeldPolls(20, kNow);
  const Time end = kNow + seconds(2);
  for (int agent = 0; agent < 8; ++agent) {
    planner_lag.NoteReportRead(Node(agent), end);
    planner_lag.NotePollHeld(Node(agent), end + milliseconds(500));
  }
  planner_lag.Update(end);
  EXPECT_GT(planner_lag.lag(), milliseconds(1800));
}

}  // namespace
}  // namespace turmericshift::pool
