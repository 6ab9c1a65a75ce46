// Planners, their takeover and gangs, under faults in passed-in time.
#include <gtest/gtest.h>

#include "modules/placement/register_types.h"
#include "servers/planner/planner_simulation.h"
#include "servers/planner/report_table.h"
#include "servers/planner/zone_planner_service.h"

namespace turmericshift {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeeds = 60;

JobSpec Spec(const std::string& key, int tasks, const std::string& run_time) {
  JobSpec spec;
  spec.key = key;
  spec.workspace = "boxes";
  spec.tasks = tasks;
  spec.shape = {1, int64_t{1} << 30, 2};
  spec.payload = run_time;
  return spec;
}

class PlannerDutyTest : public ::testing::Test {
 protected:
  static void SetUpTestSuite() { RegisterPlacementTypes(); }
};

std::string First(const PlannerSimulation& world) {
  return world.violations().empty() ? "" : world.violations().front();
}

JobState StateOf(const PlannerSimulation& world, const std::string& job) {
  return world.Job(job)->state;
}

TEST_F(PlannerDutyTest, TheZonesOwnEntryPlansAndAJobRunsOnce) {
  PlannerSimulation world(1, {});
  EXPECT_EQ(world.planner(), "entry-0");
  const std::string job = world.Submit(Spec("weekly", 4, "5s"));
  world.Run(seconds(1), false);
  EXPECT_TRUE(world.Runs(job));
  world.Run(seconds(8), false);
  EXPECT_EQ(StateOf(world, job), JobState::kDone);
  EXPECT_EQ(world.AttemptsReleased(job), 1U);
}

// The entry that plans the zone dies while a gang runs. Another takes over, finds the gang and
// keeps its lease; the family's plan is neither lost nor begun anew.
TEST_F(PlannerDutyTest, ASuccessorFindsWhatRunsAndKeepsIt) {
  PlannerSimulation world(1, {});
  const std::string job = world.Submit(Spec("weekly", 4, "60s"));
  world.Run(seconds(3), false);
  world.KillEntry("entry-0");
  world.Run(seconds(8), false);
  EXPECT_NE(world.planner(), "");
  EXPECT_NE(world.planner(), "entry-0");
  EXPECT_TRUE(world.Runs(job));
  world.Run(seconds(60), false);
  world.Heal();
  world.Run(seconds(2), false);
  EXPECT_EQ(StateOf(world, job), JobState::kDone);
  EXPECT_EQ(world.AttemptsReleased(job), 1U);
  EXPECT_EQ(First(world), "");
}

// The log is down for minutes. Accepted plans still run to their end and the next ones start;
// their ends are kept until the log can take them.
TEST_F(PlannerDutyTest, RepeatableJobsGoOnThroughALogOutage) {
  PlannerSimulation world(1, {});
  const std::string running = world.Submit(Spec("running", 8, "20s"));
  const std::string waiting = world.Submit(Spec("waiting", 8, "20s"));
  world.Run(seconds(2), false);
  world.SetLogDown(true);
  world.Run(seconds(60), false);
  EXPECT_EQ(world.AttemptsReleased(waiting), 1U);
  EXPECT_EQ(StateOf(world, running), JobState::kWaiting);
  world.SetLogDown(false);
  world.Run(seconds(5), false);
  EXPECT_EQ(StateOf(world, running), JobState::kDone);
  EXPECT_EQ(StateOf(world, waiting), JobState::kDone);
  EXPECT_EQ(First(world), "");
}

// A label run may happen once, so its start must be on record first; in an outage it waits.
TEST_F(PlannerDutyTest, AJobThatMayNotRepeatIsNotStartedWhileTheLogIsDown) {
  PlannerSimulation world(1, {});
  JobSpec spec = Spec("labels", 2, "5s");
  spec.repeatable = false;
  // Takes all room until after the log has gone.
  world.Submit(Spec("busy", 8, "5s"));
  world.Run(seconds(1), false);
  const std::string job = world.Submit(spec);
  world.Run(seconds(1), false);
  world.SetLogDown(true);
  world.Run(seconds(30), false);
  EXPECT_EQ(world.AttemptsReleased(job), 0U);
  world.SetLogDown(false);
  world.Run(seconds(15), false);
  EXPECT_EQ(StateOf(world, job), JobState::kDone) << world.Job(job)->reason;
  EXPECT_EQ(world.AttemptsReleased(job), 1U);
}

// The caller cancels a running plan and one that waits for its room.
TEST_F(PlannerDutyTest, CancelEndsRunningAndWaitingJobs) {
  PlannerSimulation world(1, {});
  const std::string running = world.Submit(Spec("running", 8, "600s"));
  const std::string waiting = world.Submit(Spec("waiting", 8, "600s"));
  world.Run(seconds(3), false);
  world.Cancel(running);
  world.Cancel(waiting);
  world.Run(seconds(3), false);
  EXPECT_EQ(StateOf(world, running), JobState::kCancelled);
  EXPECT_EQ(StateOf(world, waiting), JobState::kCancelled);
  EXPECT_EQ(world.AttemptsReleased(waiting), 0U);
  EXPECT_FALSE(world.Runs(running));
}

// A gang lost two tasks at one worker. Only that worker is to blame, and once.
TEST(ReportTableTest, FailedOnNamesEachWorkerOnce) {
  ReportedAttempt attempt;
  const auto add = [&attempt](const std::string& worker, TaskPhase phase) {
    ReportedTask task;
    task.worker = worker;
    task.report.phase = phase;
    attempt.tasks.push_back(task);
  };
  add("b", TaskPhase::kFailed);
  add("a", TaskPhase::kRunning);
  add("b", TaskPhase::kFailed);
  EXPECT_EQ(attempt.FailedOn(), std::vector<std::string>{"b"});
}

struct SeedResult {
  std::string violation;
  int unfinished = 0;
};

// Jobs arrive while everything fails, then all heals: what is open must end.
SeedResult RunSeed(uint64_t seed) {
  PlannerSimulation world(seed, {});
  std::vector<std::string> jobs;
  for (int round = 0; round < 6; ++round) {
    const std::string number = std::to_string(round);
    jobs.push_back(world.Submit(Spec("gang-" + number, 4, "15s")));
    JobSpec once = Spec("once-" + number, 2, "4s");
    once.repeatable = false;
    JobSpec saved = Spec("saved-" + number, 2, "20s");
    saved.checkpoints = true;
    jobs.push_back(world.Submit(once));
    jobs.push_back(world.Submit(saved));
    world.Run(seconds(15), true);
    if (round == 2) world.Cancel(jobs.front());
    if (round == 3) world.SetZoneIn(false);
    if (round == 4) world.SetZoneIn(true);
    if (!world.violations().empty()) return {First(world), 0};
    world.SetLogDown(false);
  }
  world.Heal();
  world.Run(seconds(240), false);
  SeedResult result{First(world), 0};
  for (const std::string& job : jobs) {
    if (StateOf(world, job) == JobState::kWaiting) ++result.unfinished;
  }
  return result;
}

// Entries die, pause in the middle of a start, lose the log or their agents; agents restart,
// machines go; calls and answers are lost or come half a minute late. Through all of it no two
// attempts of a job run at once, no part of a gang runs on alone, what may run once runs once, and
// nothing is forgotten.
TEST_F(PlannerDutyTest, PromisesHoldUnderFaults) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const SeedResult result = RunSeed(seed);
    EXPECT_EQ(result.violation, "") << "seed " << seed;
    EXPECT_EQ(result.unfinished, 0) << "seed " << seed;
  }
}

// The planner's entry stands still just before it reserves a gang's room. One agent can't be heard
// by the others; they wait its leases out and start the gang elsewhere. Then all is reached again
// and the first entry wakes and goes on.
std::string RunPausedPlanner(const PlantedFaults& planted) {
  PlannerSimulation world(1, planted);
  world.CutAgent("worker-3", {"entry-1", "entry-2"}, seconds(35));
  world.PauseNextCall(seconds(38));
  const std::string job = world.Submit(Spec("weekly", 2, "120s"));
  world.Run(seconds(60), false);
  EXPECT_TRUE(world.Runs(job));
  return First(world);
}

TEST_F(PlannerDutyTest, APausedPlannerThatWakesStartsNothing) {
  EXPECT_EQ(RunPausedPlanner({}), "");
}

// Without the agents' fence its calls take effect beside its successor's. The checks must see that,
// or they would prove nothing.
TEST_F(PlannerDutyTest, TheChecksNoticeAMissingFence) {
  PlantedFaults planted;
  planted.no_fencing = true;
  EXPECT_EQ(RunPausedPlanner(planted), "two attempts of boxes/weekly run at once");
}

}  // namespace
}  // namespace turmericshift
