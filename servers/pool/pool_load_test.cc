// Load patterns that a pool meets at its worst, replayed in passed-in time.
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

StepSpec Saving(StepSpec step) {
  step.checkpoints = true;
  return step;
}

// When the last of the job's tasks was begun, counted from `since`.
Duration BegunAfter(const PoolBed& bed, const std::string& job, Time since) {
  Duration after{};
  for (const BedRun& run : bed.RunsOf(job)) after = std::max(after, run.begun - since);
  return after;
}

bool WasStopped(const PoolBed& bed, const std::string& job) {
  const std::vector<BedRun> runs = bed.RunsOf(job);
  return std::any_of(runs.begin(), runs.end(),
                     [](const BedRun& run) { return run.over && run.how == EndKind::kStopped; });
}

// Small tasks of 2 to 5 s keep coming and fill every hole, so that no worker is ever empty by
// chance. A gang of whole workers waits for as long as they come, and its caller gives up.
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
  EXPECT_LE(BegunAfter(bed, "gang", submitted), seconds(6));
  EXPECT_EQ(bed.violations(), std::vector<std::string>());
}

// The same gang waits for its last worker, which is busy for 10 s more. Tasks that are over by then
// may use the workers that are empty already; were those left idle, the pool would stand still for
// one gang.
TEST(PoolLoad, LetsTasksThatEndInTimeUseTheRoomThatAGangWaitsFor) {
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
  EXPECT_LE(BegunAfter(bed, "short", submitted), milliseconds(200));
  for (const BedRun& run : bed.RunsOf("too-long")) EXPECT_GT(run.begun - submitted, seconds(9));
}

// A gang wants one rack, and both are full for 3 s more but for a worker each. Over two racks it
// takes three times its 4 s; begun at once it would be over after 12 s, and after 7 if it waits.
TEST(PoolLoad, WaitsForARackRatherThanTakeThreeTimesAsLongOverTwo) {
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

// An urgent gang meets a pool whose tasks end within the time that it can wait. Stopping them would
// throw away what they have done and gain its caller nothing.
TEST(PoolLoad, StopsNobodyForAnUrgentGangThatIsInTimeAnyway) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "bulk", "two", Saving(BedStep(24, 1, seconds(5)))));
  bed.RunFor(seconds(4));
  bed.Submit(BedJob("urgent", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("urgent", JobState::kCompleted, seconds(6)));
  EXPECT_FALSE(WasStopped(bed, "fills"));
}

// An urgent step is wider than its caller can expect the pool to give it at once, so that it has
// time for several goes. Taken for one that has to run in one go it seems late at once, and the
// work of the whole pool is thrown away for it.
TEST(PoolLoad, StopsNobodyForAnUrgentStepThatHasTimeForSeveralGoes) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "bulk", "two", BedStep(48, 1, seconds(4))));
  bed.RunFor(milliseconds(500));
  bed.Submit(BedJob("wide", "urgent", "one", BedStep(3, 8, seconds(1))));
  EXPECT_TRUE(bed.RunUntil("wide", JobState::kCompleted, seconds(7)));
  EXPECT_FALSE(WasStopped(bed, "fills"));
}

// Urgent jobs come from time to time, with about a second to spare, and batch work that has half a
// minute to spare would fill the pool in between. The urgent caller would wait for a stop at best,
// and what is stopped would be thrown away.
TEST(PoolLoad, KeepsRoomForUrgentJobsWhileOthersCanWait) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("seen", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("seen", JobState::kCompleted, seconds(4)));
  bed.Submit(BedJob("batch", "bulk", "two", BedStep(48, 1, seconds(15))));
  bed.RunFor(seconds(1));
  const Time submitted = bed.now();
  bed.Submit(BedJob("urgent", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  ASSERT_TRUE(bed.RunUntil("urgent", JobState::kCompleted, seconds(4)));
  EXPECT_LE(BegunAfter(bed, "urgent", submitted), milliseconds(200));
  EXPECT_FALSE(WasStopped(bed, "batch"));
  // The other tasks begin while they can still be in time.
  EXPECT_TRUE(bed.RunUntil("batch", JobState::kCompleted, seconds(46)));
}

// A service of the customer's own runs until it is cancelled. Kept waiting for urgent jobs that may
// come, it would be missed by its users for as long.
TEST(PoolLoad, KeepsNoLastingTaskWaitingForUrgentJobs) {
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
  EXPECT_LE(BegunAfter(bed, "service", submitted), milliseconds(200));
}

// Nobody has urgent work, so that room kept for it would only make others wait.
TEST(PoolLoad, KeepsNoRoomWhereNoUrgentJobsCome) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  const Time submitted = bed.now();
  bed.Submit(BedJob("batch", "bulk", "two", BedStep(48, 1, seconds(15))));
  bed.RunFor(seconds(1));
  EXPECT_EQ(bed.RunsOf("batch").size(), 48U);
  EXPECT_LE(BegunAfter(bed, "batch", submitted), milliseconds(200));
}

// The same, and the tasks run for a minute more. They can go on later from where they were, so that
// an urgent caller need not come too late for them.
TEST(PoolLoad, StopsSavedWorkForAnUrgentGangThatWouldBeTooLate) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("fills", "bulk", "two", Saving(BedStep(24, 1, seconds(60)))));
  bed.RunFor(seconds(4));
  bed.Submit(BedJob("urgent", "urgent", "one", Gang(BedStep(2, 8, seconds(2)))));
  EXPECT_TRUE(bed.RunUntil("urgent", JobState::kCompleted, seconds(5)));
}

// Two gangs that have run equally long fill the pool when an urgent one comes. The first had waited
// long before it began and would be late if it had to begin again, the other has time left. Were
// only the work that is thrown away weighed, either might be stopped, and a caller would wait in
// vain for whom the other could have made way at no loss.
TEST(PoolLoad, StopsTheOneWhoseCallerLosesLeast) {
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

// Half of the small tasks can be stopped without loss and half can't. Mixed on every worker, whole
// ones can't be had back but by throwing work away; kept to their like, some can.
TEST(PoolLoad, KeepsTasksThatStopWithoutLossOnWorkersOfTheirOwn) {
  PoolBed bed(BedRacks(2), BedOperators(0));
  bed.RunFor(milliseconds(100));
  for (int round = 0; round < 6; ++round) {
    const std::string name = std::to_string(round);
    bed.Submit(BedJob("kept-" + name, "bulk", "two", Saving(BedStep(3, 1, seconds(60)))));
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

// Callers of one queue guess their run times anywhere between a tenth and twice of the truth. One
// who guessed a tenth soon looks hopelessly late; passed over for that, the job comes too late
// indeed.
TEST(PoolLoad, GoesByLearnedTimesWhereGuessesAreWild) {
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

// A job is late already, and others that can still be in time keep coming and go first. Passed over
// until it is of no use to its caller, it would never be served; served just before that, it costs
// the others a second of the time they have.
TEST(PoolLoad, ServesALateJobBeforeItIsOfNoUse) {
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
  // Its queue allows it three times its second and one more, and three times that at the very most.
  ASSERT_FALSE(bed.RunsOf("late").empty());
  EXPECT_LE(BegunAfter(bed, "late", submitted), seconds(11));
}

// A worker stands still for ten seconds with its health good. Its runs end no sooner for it, but
// jobs that come meanwhile must not be put beside them to stand still as well.
TEST(PoolLoad, PutsNothingOnAWorkerWhoseRunsStandStill) {
  PoolBed bed(BedRacks(1), BedOperators(0));
  bed.RunFor(milliseconds(100));
  bed.Submit(BedJob("stuck", "batch", "one", BedStep(1, 1, seconds(8))));
  bed.RunFor(seconds(2));
  const std::string sick = bed.RunsOf("stuck").at(0).node;
  bed.SetStuck(sick, true);
  bed.RunFor(seconds(4));
  bed.Submit(BedJob("later", "batch", "one", BedStep(2, 1, seconds(1))));
  bed.RunFor(seconds(2));
  EXPECT_EQ(bed.StateOf("later"), JobState::kCompleted);
  bed.SetStuck(sick, false);
  EXPECT_TRUE(bed.RunUntil("stuck", JobState::kCompleted, seconds(8)));
}

// A pool of 240 agents whose planner takes so many reports a second, with more work than it can
// carry and gangs among it.
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

  // Jobs of eight tasks each, half of them gangs, for `time`.
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

  // Half as many again as the agents send under this load.
  static constexpr int kReportsPerTick = 12;
  PoolBed bed_;
  int jobs_ = 0;
};

// The planner stood still for two seconds. It took its agents for silent, took back what they had
// begun, and placed all of it anew, which kept it late for good.
TEST_F(BusyPlanner, TakesNothingBackForAStallOfItsOwn) {
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

// For ten seconds the planner can read a sixth of what its agents send, then all of it again.
TEST_F(BusyPlanner, RecoversByItselfOnceTheLoadIsOver) {
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

// A planner's successor meets all agents and everything that runs at once.
TEST_F(BusyPlanner, LosesNoLeaseToASuccessor) {
  LoadFor(seconds(6));
  const Time replaced = bed_.now();
  bed_.ReplacePlanner();
  LoadFor(seconds(8));
  EXPECT_EQ(EndedSince(replaced, EndKind::kLeaseExpired), 0);
  EXPECT_EQ(EndedSince(replaced, EndKind::kPartialGang), 0);
  EXPECT_EQ(bed_.planner_late(), Duration::zero());
  EXPECT_EQ(bed_.violations(), std::vector<std::string>());
}

// A planner has just begun and has heard of a few agents only, none of them beside another. It took
// the pool for one without a rack that holds the gang, which ran torn, three times as long.
TEST(PoolLoad, TearsNoGangBeforeItKnowsThePool) {
  std::vector<BedWorker> workers = BedRacks(40);
  // Agents come in the order of their names: a whole rack is known only towards the end.
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
