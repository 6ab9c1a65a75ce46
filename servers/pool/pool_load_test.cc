// Worst-case load patterns of a pool, replayed in simulated time.
#include <gtest/gtest.h>

#include <algorithm>

#include "servers/pool/pool_planner.h"
#include "tests/stand_ins/pool_bed.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StepSpec Gang(StepSpec step) {
  step.gang = true;
  return step;
}

StepSpec WithCheckpoints(StepSpec step) {
  step.checkpoints = true;
  return step;
}

// Time from `since` until the last of the job's tasks was started.
Duration StartDelay(const PoolBed& bed, const std::string& job, Time since) {
  Duration after{};
  for (const BedRun& run : bed.RunsOf(job)) after = std::max(after, run.begun - since);
  return after;
}

bool WasStopped(const PoolBed& bed, const std::string& job) {
  const std::vector<BedRun> runs = bed.RunsOf(job);
  return std::any_of(runs.begin(), runs.end(),
                     [](const BedRun& run) { return run.over && run.how == EndKind::kStopped; });
}

// Small tasks of 2 to 5 s keep arriving and fill every gap, so that no worker is ever empty by
// chance. A gang of whole workers would wait as long as they arrive.
TEST(PoolLoad, StartsAGangOfWholeWorkersBesideAStreamOfSmallTasks) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.true_time = [](const TaskId& task) {
    return task.job == "gang" ? milliseconds(2000) : milliseconds(2000 + 1000 * (task.index % 4));
  };
  bed.RunFor(milliseconds(100));
  Time submitted{};
  for (int job = 0; job < 60; ++job) {
    const StepSpec small = BedStep(4, 1, seconds(3));
    bed.Submit(BedJob("small-" + std::to_string(job), "batch", "two", small));
    if (job == 20) {
      submitted = bed.now();
      bed.Submit(BedJob("gang", "batch", "one", Gang(BedStep(3, 8, seconds(2)))));
    }
    bed.RunFor(milliseconds(280));
  }
  EXPECT_EQ(bed.StateOf("gang"), JobState::kCompleted);
  EXPECT_LE(StartDelay(bed, "gang", submitted), seconds(6));
  EXPECT_EQ(bed.violations(), std::vector<std::string>());
}

// A gang waits 10 s for its last worker. Tasks that end by that time may use the workers that are
// empty already; otherwise the pool would be idle for the sake of one gang.
TEST(PoolLoad, BackfillsRoomReservedForAGang) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("long", "batch", "two", BedStep(1, 8, seconds(12))));
  bed.RunFor(seconds(1));
  bed.Submit(BedJob("gang", "batch", "one", Gang(BedStep(3, 8, seconds(2)))));
  bed.RunFor(seconds(1));
  const Time submitted = bed.now();
  bed.Submit(BedJob("short", "bulk", "two", BedStep(16, 1, seconds(3))));
  bed.Submit(BedJob("too-long", "bulk", "two", BedStep(16, 1, seconds(20))));
  ASSERT_TRUE(bed.RunUntil("gang", JobState::kCompleted, seconds(16)));
  EXPECT_LE(StartDelay(bed, "short", submitted), milliseconds(200));
  for (const BedRun& run : bed.RunsOf("too-long")) EXPECT_GT(run.begun - submitted, seconds(9));
}

// A gang wants one rack, and both racks have only one free worker for the next 3 s. Spread over two
// racks it takes three times its 4 s: started immediately it ends after 12 s, and after 7 s if it
// waits.
TEST(PoolLoad, WaitsForARackWhenSpreadingEndsLater) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  for (const char* rack : {"r0", "r1"}) {
    StepSpec fills = BedStep(2, 8, seconds(5));
    fills.data_rack = rack;
    bed.Submit(BedJob(std::string("fills-") + rack, "batch", "two", fills));
  }
  bed.RunFor(seconds(2));
  StepSpec gang = Gang(BedStep(2, 8, seconds(4)));
  gang.one_rack = true;
  bed.Submit(BedJob("gang", "batch", "one", gang));
  ASSERT_TRUE(bed.RunUntil("gang", JobState::kCompleted, seconds(10)));
  std::set<std::string> racks;
  for (const BedRun& run : bed.RunsOf("gang")) racks.insert(run.node.substr(0, 2));
  EXPECT_EQ(racks.size(), 1U);
}

// An urgent gang meets a pool whose tasks end within the gang's slack. Preempting them would lose
// their work without any gain.
TEST(PoolLoad, PreemptsNothingForAnUrgentGangThatIsOnTimeAnyway) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "bulk", "two", WithCheckpoints(BedStep(24, 1, seconds(5)))));
  bed.RunFor(seconds(4));
  bed.Submit(BedJob("urgent", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("urgent", JobState::kCompleted, seconds(6)));
  EXPECT_FALSE(WasStopped(bed, "fills"));
}

// An urgent step is too wide to run at one time, and has time for several waves. Judged as a single
// wave, it would look past due and the work of the whole pool would be lost for it.
TEST(PoolLoad, PreemptsNothingForAnUrgentStepWithTimeForSeveralWaves) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "bulk", "two", BedStep(48, 1, seconds(4))));
  bed.RunFor(milliseconds(500));
  bed.Submit(BedJob("wide", "urgent", "one", BedStep(3, 8, seconds(1))));
  EXPECT_TRUE(bed.RunUntil("wide", JobState::kCompleted, seconds(7)));
  EXPECT_FALSE(WasStopped(bed, "fills"));
}

// Urgent jobs with a slack of about one second arrive from time to time, and batch work with half a
// minute of slack would fill the pool in between. Urgent jobs would then wait for preemption at
// best, and the victims' work would be lost.
TEST(PoolLoad, ReservesRoomForUrgentJobsWhileOthersCanWait) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("seen", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("seen", JobState::kCompleted, seconds(4)));
  bed.Submit(BedJob("batch", "bulk", "two", BedStep(48, 1, seconds(15))));
  bed.RunFor(seconds(1));
  const Time submitted = bed.now();
  bed.Submit(BedJob("urgent", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("urgent", JobState::kCompleted, seconds(4)));
  EXPECT_LE(StartDelay(bed, "urgent", submitted), milliseconds(200));
  EXPECT_FALSE(WasStopped(bed, "batch"));
  // The remaining tasks begin while they can still be on time.
  EXPECT_TRUE(bed.RunUntil("batch", JobState::kCompleted, seconds(46)));
}

// A customer's service runs until it is cancelled. While it waited for possible urgent jobs, its
// users would be without it.
TEST(PoolLoad, DelaysNoLastingTaskForUrgentJobs) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("seen", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("seen", JobState::kCompleted, seconds(4)));
  const Time submitted = bed.now();
  StepSpec service = BedStep(48, 1, seconds(15));
  service.long_running = true;
  bed.Submit(BedJob("service", "bulk", "two", service));
  bed.RunFor(seconds(1));
  EXPECT_EQ(bed.RunsOf("service").size(), 48U);
  EXPECT_LE(StartDelay(bed, "service", submitted), milliseconds(200));
}

// Without urgent work, reserved room would only make other jobs wait.
TEST(PoolLoad, ReservesNoRoomWithoutUrgentJobs) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  const Time submitted = bed.now();
  bed.Submit(BedJob("batch", "bulk", "two", BedStep(48, 1, seconds(15))));
  bed.RunFor(seconds(1));
  EXPECT_EQ(bed.RunsOf("batch").size(), 48U);
  EXPECT_LE(StartDelay(bed, "batch", submitted), milliseconds(200));
}

// The pool is full of tasks that run for another minute and can be resumed from checkpoints. They
// are preempted, so that an urgent gang is on time.
TEST(PoolLoad, PreemptsResumableWorkForAnUrgentGang) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "bulk", "two", WithCheckpoints(BedStep(24, 1, seconds(60)))));
  bed.RunFor(seconds(4));
  bed.Submit(BedJob("urgent", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  EXPECT_TRUE(bed.RunUntil("urgent", JobState::kCompleted, seconds(5)));
}

// Two gangs that have run equally long fill the pool when an urgent gang arrives. The first one had
// waited long before it began and would be past due if restarted; the other has slack. If only the
// lost work counted, either might be preempted, although one of them loses no value.
TEST(PoolLoad, PreemptsTheVictimThatLosesLeastValue) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "batch", "two", Gang(BedStep(6, 8, seconds(18)))));
  bed.RunFor(milliseconds(200));
  bed.Submit(BedJob("pressed", "batch", "two", Gang(BedStep(3, 8, seconds(10)))));
  bed.RunFor(milliseconds(17500));
  bed.Submit(BedJob("at-ease", "batch", "two", Gang(BedStep(3, 8, seconds(10)))));
  bed.RunFor(seconds(4));
  bed.Submit(BedJob("urgent", "urgent", "one", Gang(BedStep(3, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("urgent", JobState::kCompleted, seconds(7)));
  EXPECT_FALSE(WasStopped(bed, "pressed"));
  EXPECT_TRUE(WasStopped(bed, "at-ease"));
}

// Half of the small tasks can be stopped without loss and half cannot. Mixed on every worker, no
// whole worker can be cleared without losing work; grouped by kind, some can.
TEST(PoolLoad, GroupsResumableTasksOnWorkers) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  for (int round = 0; round < 6; ++round) {
    const std::string name = std::to_string(round);
    bed.Submit(BedJob("kept-" + name, "bulk", "two", WithCheckpoints(BedStep(3, 1, seconds(60)))));
    bed.RunFor(seconds(2));
    bed.Submit(BedJob("lost-" + name, "bulk", "two", BedStep(3, 1, seconds(60))));
    bed.RunFor(seconds(2));
  }
  std::map<std::string, std::set<std::string>> kinds;
  for (const BedRun& run : bed.runs()) kinds[run.node].insert(run.run.task.job.substr(0, 4));
  int mixed = 0;
  for (const auto& row : kinds) mixed += row.second.size() > 1;
  EXPECT_LE(mixed, 1);
}

// Callers' estimates in a queue are between a tenth and twice the true run time. A job whose
// estimate is a tenth of its run time soon seems hopelessly past due and would be passed over until
// it really is.
TEST(PoolLoad, UsesLearnedRunTimesWhereEstimatesAreWrong) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.true_time = [](const TaskId&) { return seconds(6); };
  for (int job = 0; job < 6; ++job) {
    const StepSpec guessed = BedStep(4, 1, milliseconds(600 + 2000 * job));
    bed.Submit(BedJob("seen-" + std::to_string(job), "batch", "two", guessed));
  }
  bed.RunFor(seconds(7));
  bed.Submit(BedJob("fills", "batch", "two", BedStep(3, 8, seconds(6))));
  bed.RunFor(milliseconds(200));
  bed.Submit(BedJob("guessed-short", "batch", "one", BedStep(3, 8, milliseconds(600))));
  bed.RunFor(milliseconds(4500));
  bed.Submit(BedJob("guessed-right", "batch", "one", BedStep(3, 8, seconds(6))));
  ASSERT_TRUE(bed.RunUntil("guessed-short", JobState::kCompleted, seconds(10)));
  EXPECT_NE(bed.StateOf("guessed-right"), JobState::kCompleted);
}

// A job is past its due time, and jobs that can still be on time keep arriving and go first. Passed
// over until it is worthless, it would never run; run just before that, it costs the others a
// second of slack.
TEST(PoolLoad, RunsAPastDueJobBeforeItIsWorthless) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "urgent", "one", BedStep(3, 8, seconds(5))));
  bed.RunFor(milliseconds(500));
  const Time submitted = bed.now();
  bed.Submit(BedJob("late", "urgent", "one", Gang(BedStep(3, 8, seconds(1)))));
  bed.RunFor(seconds(4));
  for (int job = 0; job < 16; ++job) {
    const StepSpec step = Gang(BedStep(3, 8, seconds(1)));
    bed.Submit(BedJob("more-" + std::to_string(job), "urgent", "one", step));
    if (job >= 2) bed.RunFor(seconds(1));
  }
  // Its queue allows three times its run time of 1 s plus one second, and the job is worthless
  // after three times that.
  ASSERT_FALSE(bed.RunsOf("late").empty());
  EXPECT_LE(StartDelay(bed, "late", submitted), seconds(11));
}

// A worker stalls while its health is reported as good. Later jobs must not be placed beside its
// stalled runs.
TEST(PoolLoad, PlacesNothingOnAWorkerWhoseRunsAreStalled) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("stuck", "batch", "one", BedStep(1, 1, seconds(8))));
  bed.RunFor(seconds(2));
  const std::string faulty = bed.RunsOf("stuck").at(0).node;
  bed.SetStuck(faulty, true);
  bed.RunFor(seconds(4));
  bed.Submit(BedJob("later", "batch", "one", BedStep(2, 1, seconds(1))));
  bed.RunFor(seconds(2));
  EXPECT_EQ(bed.StateOf("later"), JobState::kCompleted);
  bed.SetStuck(faulty, false);
  EXPECT_TRUE(bed.RunUntil("stuck", JobState::kCompleted, seconds(8)));
}

// A pool of 240 agents whose planner reads a limited number of reports per tick, with more work
// than the pool can carry, including gangs.
class BusyPlanner : public testing::Test {
 protected:
  static constexpr int kRacks = 80;

  BusyPlanner() : bed_(BedRacks(kRacks), BedOperators(0)) {
    bed_.true_time = [](const TaskId& task) { return milliseconds(4000 + 500 * (task.index % 5)); };
    bed_.SetReportsPerTick(kReportsPerTick);
    bed_.RunFor(seconds(3));
  }

  void Submit() {
    StepSpec step = BedStep(8, 4, seconds(5));
    step.gang = jobs_ % 2 == 0;
    const char* queue = jobs_ % 3 == 0 ? "urgent" : "batch";
    bed_.Submit(BedJob("job-" + std::to_string(jobs_), queue, "two", step));
    ++jobs_;
  }

  // Submits jobs of eight tasks each, half of them gangs, for `time`.
  void LoadFor(Duration time) {
    const Time end = bed_.now() + time;
    while (bed_.now() < end) {
      Submit();
      bed_.RunFor(milliseconds(120));
    }
  }

  int EndedSince(Time since, EndKind how) const {
    int ended = 0;
    for (const BedRun& run : bed_.runs()) ended += run.over && run.ended > since && run.how == how;
    return ended;
  }

  // One and a half times the number of reports that the agents send under this load.
  static constexpr int kReportsPerTick = 12;
  PoolBed bed_;
  int jobs_ = 0;
};

// The planner stalls for two seconds. If it took its agents for silent, it would revoke their
// starts and place the work again, which would keep it lagging for good.
TEST_F(BusyPlanner, RevokesNothingAfterAStallOfItsOwn) {
  LoadFor(seconds(6));
  for (int job = 0; job < 20; ++job) Submit();
  bed_.RunFor(milliseconds(20));
  const Time stalled = bed_.now();
  bed_.SetPlannerHeldUp(true);
  bed_.RunFor(seconds(2));
  bed_.SetPlannerHeldUp(false);
  LoadFor(seconds(6));
  EXPECT_EQ(EndedSince(stalled, EndKind::kStopped), 0);
  EXPECT_EQ(EndedSince(stalled, EndKind::kLeaseExpired), 0);
  EXPECT_EQ(EndedSince(stalled, EndKind::kPartialGang), 0);
  EXPECT_EQ(bed_.planner_late(), Duration::zero());
  EXPECT_EQ(bed_.violations(), std::vector<std::string>());
}

// For ten seconds the planner can read only a sixth of the reports sent, then all of them again.
TEST_F(BusyPlanner, RecoversAfterOverload) {
  LoadFor(seconds(4));
  bed_.SetReportsPerTick(kReportsPerTick / 6);
  LoadFor(seconds(10));
  bed_.SetReportsPerTick(kReportsPerTick);
  LoadFor(seconds(6));
  const Time calm = bed_.now();
  LoadFor(seconds(6));
  EXPECT_EQ(bed_.planner_late(), Duration::zero());
  EXPECT_EQ(EndedSince(calm, EndKind::kStopped), 0);
  EXPECT_EQ(EndedSince(calm, EndKind::kLeaseExpired), 0);
  EXPECT_EQ(bed_.violations(), std::vector<std::string>());
}

// A successor receives the first reports of all agents, with all their runs, at the same time.
TEST_F(BusyPlanner, LosesNoLeaseWhenThePlannerIsReplaced) {
  LoadFor(seconds(6));
  const Time replaced = bed_.now();
  bed_.ReplacePlanner();
  LoadFor(seconds(8));
  EXPECT_EQ(EndedSince(replaced, EndKind::kLeaseExpired), 0);
  EXPECT_EQ(EndedSince(replaced, EndKind::kPartialGang), 0);
  EXPECT_EQ(bed_.planner_late(), Duration::zero());
  EXPECT_EQ(bed_.violations(), std::vector<std::string>());
}

// A new planner has reports from a few agents only, no two of one rack. If it concluded that no
// rack can hold the gang, the gang would be spread over racks and take three times as long.
TEST(PoolLoad, SpreadsNoGangBeforeMostAgentsHaveReported) {
  std::vector<BedWorker> workers = BedRacks(40);
  // Agents report in the order of their names, so a whole rack is known only towards the end.
  for (BedWorker& worker : workers) std::reverse(worker.node.begin(), worker.node.end());
  PoolBed bed(workers, BedOperators(0));
  bed.SetReportsPerTick(3);
  StepSpec gang = Gang(BedStep(3, 8, seconds(2)));
  gang.one_rack = true;
  bed.Submit(BedJob("gang", "batch", "one", gang));
  ASSERT_TRUE(bed.RunUntil("gang", JobState::kCompleted, seconds(10)));
  std::set<std::string> racks;
  for (const BedRun& run : bed.RunsOf("gang")) racks.insert(run.node.substr(run.node.find('-')));
  EXPECT_EQ(racks.size(), 1U);
}

}  // namespace
}  // namespace turmericshift::pool
