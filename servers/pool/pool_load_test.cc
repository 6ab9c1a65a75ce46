// Worst-case load patterns of a pool, replayed in simulated time.
#include <gtest/gtest.h>

#include <algorithm>

#include "servers/pool/pool_planner.h"
#include "tests/stand_ins/pool_simulation.h"

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
Duration StartDelay(const PoolSimulation& simulation, const std::string& job, Time since) {
  Duration wait{};
  for (const SimulatedRun& run : simulation.RunsOf(job)) wait = std::max(wait, run.started - since);
  return wait;
}

bool WasStopped(const PoolSimulation& simulation, const std::string& job) {
  const std::vector<SimulatedRun> runs = simulation.RunsOf(job);
  return std::any_of(runs.begin(), runs.end(), [](const SimulatedRun& run) {
    return run.finished && run.end_kind == EndKind::kStopped;
  });
}

// Small tasks of 2 to 5 s keep arriving and fill every gap, so that no worker is ever empty by
// chance. A gang of whole workers would wait as long as such tasks arrive.
TEST(PoolLoad, StartsAGangOfWholeWorkersBesideAStreamOfSmallTasks) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.actual_duration = [](const TaskId& task) {
    return task.job == "gang" ? milliseconds(2000) : milliseconds(2000 + 1000 * (task.index % 4));
  };
  simulation.RunFor(milliseconds(100));
  Time submitted{};
  for (int job = 0; job < 60; ++job) {
    const StepSpec small = SampleStep(4, 1, seconds(3));
    simulation.Submit(SampleJob("small-" + std::to_string(job), "batch", "two", small));
    if (job == 20) {
      submitted = simulation.now();
      simulation.Submit(SampleJob("gang", "batch", "one", Gang(SampleStep(3, 8, seconds(2)))));
    }
    simulation.RunFor(milliseconds(280));
  }
  EXPECT_EQ(simulation.StateOf("gang"), JobState::kCompleted);
  EXPECT_LE(StartDelay(simulation, "gang", submitted), seconds(6));
  EXPECT_EQ(simulation.violations(), std::vector<std::string>());
}

// A gang waits 10 s for its last worker. Tasks that end by that time may use the workers that are
// empty already; otherwise the pool would be idle for the sake of one gang.
TEST(PoolLoad, BackfillsRoomReservedForAGang) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("long", "batch", "two", SampleStep(1, 8, seconds(12))));
  simulation.RunFor(seconds(1));
  simulation.Submit(SampleJob("gang", "batch", "one", Gang(SampleStep(3, 8, seconds(2)))));
  simulation.RunFor(seconds(1));
  const Time submitted = simulation.now();
  simulation.Submit(SampleJob("short", "bulk", "two", SampleStep(16, 1, seconds(3))));
  simulation.Submit(SampleJob("too-long", "bulk", "two", SampleStep(16, 1, seconds(20))));
  ASSERT_TRUE(simulation.RunUntil("gang", JobState::kCompleted, seconds(16)));
  EXPECT_LE(StartDelay(simulation, "short", submitted), milliseconds(200));
  for (const SimulatedRun& run : simulation.RunsOf("too-long")) {
    EXPECT_GT(run.started - submitted, seconds(9));
  }
}

// A gang wants one rack, and both racks have only one free worker for the next 3 s. Spread over two
// racks it takes three times its 4 s: started immediately it ends after 12 s, and after 7 s if it
// waits.
TEST(PoolLoad, WaitsForARackWhenSpreadingEndsLater) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  for (const char* rack : {"r0", "r1"}) {
    StepSpec fills = SampleStep(2, 8, seconds(5));
    fills.data_rack = rack;
    simulation.Submit(SampleJob(std::string("fills-") + rack, "batch", "two", fills));
  }
  simulation.RunFor(seconds(2));
  StepSpec gang = Gang(SampleStep(2, 8, seconds(4)));
  gang.one_rack = true;
  simulation.Submit(SampleJob("gang", "batch", "one", gang));
  ASSERT_TRUE(simulation.RunUntil("gang", JobState::kCompleted, seconds(10)));
  std::set<std::string> racks;
  for (const SimulatedRun& run : simulation.RunsOf("gang")) racks.insert(run.node.substr(0, 2));
  EXPECT_EQ(racks.size(), 1U);
}

// An urgent gang meets a pool whose tasks end within the gang's slack. Preempting them would lose
// their work without any gain.
TEST(PoolLoad, PreemptsNothingForAnUrgentGangThatIsOnTimeAnyway) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(
      SampleJob("fills", "bulk", "two", WithCheckpoints(SampleStep(24, 1, seconds(5)))));
  simulation.RunFor(seconds(4));
  simulation.Submit(SampleJob("urgent", "urgent", "one", Gang(SampleStep(2, 8, seconds(2)))));
  ASSERT_TRUE(simulation.RunUntil("urgent", JobState::kCompleted, seconds(6)));
  EXPECT_FALSE(WasStopped(simulation, "fills"));
}

// An urgent step is too wide to run at one time, and has time for several waves. If a single wave
// were assumed, the step would look past due and the work of the whole pool would be lost for it.
TEST(PoolLoad, PreemptsNothingForAnUrgentStepWithTimeForSeveralWaves) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("fills", "bulk", "two", SampleStep(48, 1, seconds(4))));
  simulation.RunFor(milliseconds(500));
  simulation.Submit(SampleJob("wide", "urgent", "one", SampleStep(3, 8, seconds(1))));
  EXPECT_TRUE(simulation.RunUntil("wide", JobState::kCompleted, seconds(7)));
  EXPECT_FALSE(WasStopped(simulation, "fills"));
}

// Urgent jobs with a slack of about one second arrive from time to time, and batch work with half a
// minute of slack would fill the pool in between. Urgent jobs would then wait for preemption at
// best, and the victims' work would be lost.
TEST(PoolLoad, ReservesRoomForUrgentJobsWhileOthersCanWait) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("seen", "urgent", "one", Gang(SampleStep(2, 8, seconds(2)))));
  ASSERT_TRUE(simulation.RunUntil("seen", JobState::kCompleted, seconds(4)));
  simulation.Submit(SampleJob("batch", "bulk", "two", SampleStep(48, 1, seconds(15))));
  simulation.RunFor(seconds(1));
  const Time submitted = simulation.now();
  simulation.Submit(SampleJob("urgent", "urgent", "one", Gang(SampleStep(2, 8, seconds(2)))));
  ASSERT_TRUE(simulation.RunUntil("urgent", JobState::kCompleted, seconds(4)));
  EXPECT_LE(StartDelay(simulation, "urgent", submitted), milliseconds(200));
  EXPECT_FALSE(WasStopped(simulation, "batch"));
  // The remaining tasks begin while they can still be on time.
  EXPECT_TRUE(simulation.RunUntil("batch", JobState::kCompleted, seconds(46)));
}

// Urgent jobs fill one service. A job of another service, all of whose workers were idle, waited
// for as long as they ran.
TEST(PoolLoad, ReservesNoRoomForUrgentJobsOfAnotherService) {
  std::vector<SimulatedWorker> workers = SampleRacks(1);
  workers[2].service = "labels";
  OperatorState operators = SampleOperatorState(0);
  Queue labels = operators.config.queues[1];
  labels.name = "labels";
  labels.path_prefix = "/labels/";
  labels.terms.service = "labels";
  operators.config.queues.push_back(labels);
  PoolSimulation simulation(workers, operators);
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("urgent", "urgent", "one", SampleStep(2, 8, seconds(60))));
  simulation.RunFor(seconds(1));
  ASSERT_EQ(simulation.RunsOf("urgent").size(), 2U);
  const Time submitted = simulation.now();
  simulation.Submit(SampleJob("idle", "labels", "two", SampleStep(1, 1, seconds(30))));
  simulation.RunFor(seconds(3));
  ASSERT_EQ(simulation.RunsOf("idle").size(), 1U);
  EXPECT_LE(StartDelay(simulation, "idle", submitted), milliseconds(200));
}

// A customer's service runs until it is cancelled. If the service were delayed to leave room for
// urgent jobs, its users would be without it.
TEST(PoolLoad, DelaysNoLongRunningTaskForUrgentJobs) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("seen", "urgent", "one", Gang(SampleStep(2, 8, seconds(2)))));
  ASSERT_TRUE(simulation.RunUntil("seen", JobState::kCompleted, seconds(4)));
  const Time submitted = simulation.now();
  StepSpec service = SampleStep(48, 1, seconds(15));
  service.long_running = true;
  simulation.Submit(SampleJob("service", "bulk", "two", service));
  simulation.RunFor(seconds(1));
  EXPECT_EQ(simulation.RunsOf("service").size(), 48U);
  EXPECT_LE(StartDelay(simulation, "service", submitted), milliseconds(200));
}

// A gang waited for three whole workers, each of which ran a long-running task that was taken to
// end soon. Their room was kept for the gang, and a task that failed was never restarted.
TEST(PoolLoad, RestartsALongRunningTaskBesideAWaitingGang) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.actual_duration = [](const TaskId& task) {
    return task.index == 0 ? seconds(8) : seconds(1000);
  };
  simulation.fails = [](const RunId& /*run*/, const std::string& /*node*/) { return true; };
  StepSpec service = SampleStep(3, 1, seconds(600));
  service.long_running = true;
  service.max_per_worker = 1;
  simulation.Submit(SampleJob("service", "batch", "two", service));
  simulation.RunFor(seconds(1));
  ASSERT_EQ(simulation.RunsOf("service").size(), 3U);
  simulation.Submit(SampleJob("gang", "batch", "one", Gang(SampleStep(3, 8, seconds(60)))));
  simulation.RunFor(seconds(16));
  EXPECT_GE(simulation.RunsOf("service").size(), 4U);
}

// The rack with the data of a service is full, or lost. The service waited for room there for twice
// the estimate of its tasks, which says nothing about a task without end.
TEST(PoolLoad, RestartsALongRunningTaskOutsideItsDatasRack) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.actual_duration = [](const TaskId& /*task*/) { return seconds(1000); };
  simulation.RunFor(milliseconds(100));
  StepSpec service = SampleStep(1, 1, seconds(30));
  service.long_running = true;
  service.data_rack = "r0";
  simulation.Submit(SampleJob("service", "batch", "one", service));
  simulation.RunFor(seconds(1));
  ASSERT_EQ(simulation.RunsOf("service").size(), 1U);
  StepSpec rest = SampleStep(23, 1, seconds(50));
  rest.data_rack = "r0";
  simulation.Submit(SampleJob("rest", "batch", "two", rest));
  // Leaves less than two fifths of the pool free.
  StepSpec other = SampleStep(10, 1, seconds(50));
  other.data_rack = "r1";
  simulation.Submit(SampleJob("other", "batch", "two", other));
  simulation.RunFor(seconds(4));
  ASSERT_EQ(simulation.RunsOf("rest").size(), 23U);
  ASSERT_EQ(simulation.RunsOf("other").size(), 10U);
  simulation.Isolate(simulation.RunsOf("service")[0].node);
  simulation.RunFor(seconds(8));
  ASSERT_EQ(simulation.RunsOf("service").size(), 2U);
  EXPECT_EQ(simulation.violations(), std::vector<std::string>());
}

// The same tasks failed on each worker in turn. All workers were quarantined at the same time, for
// up to 12 s, and none of the tasks was restarted.
TEST(PoolLoad, RestartsLongRunningTasksThatFailOnAllWorkers) {
  for (const size_t workers : {size_t{1}, size_t{3}}) {
    std::vector<SimulatedWorker> rack = SampleRacks(1);
    rack.resize(workers);
    PoolSimulation simulation(rack, SampleOperatorState(0));
    simulation.actual_duration = [](const TaskId& /*task*/) { return milliseconds(500); };
    simulation.fails = [](const RunId& /*run*/, const std::string& /*node*/) { return true; };
    StepSpec service = SampleStep(1, 1, seconds(2));
    service.long_running = true;
    simulation.Submit(SampleJob("one", "batch", "one", service));
    simulation.Submit(SampleJob("two", "batch", "two", service));
    Time last_start = simulation.now();
    for (int i = 0; i < 400; ++i) {
      simulation.RunFor(milliseconds(100));
      for (const SimulatedRun& run : simulation.runs()) {
        last_start = std::max(last_start, run.started);
      }
      ASSERT_LT(simulation.now() - last_start, seconds(6)) << workers << " workers";
    }
  }
}

// A step whose processors are not counted against the workers' capacity waited for a worker on
// which they would have fitted if they were.
TEST(PoolLoad, StartsBestEffortTasksBesideTasksThatTakeHalfOfAWorker) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.actual_duration = [](const TaskId& /*task*/) { return seconds(1000); };
  simulation.RunFor(milliseconds(100));
  StepSpec half = SampleStep(3, 1, seconds(100));
  half.need.processor_millis = 30'000;
  half.max_per_worker = 1;
  simulation.Submit(SampleJob("half", "batch", "one", half));
  simulation.RunFor(seconds(1));
  ASSERT_EQ(simulation.RunsOf("half").size(), 3U);
  const Time submitted = simulation.now();
  StepSpec rest = SampleStep(3, 1, seconds(100));
  rest.need.processor_millis = 40'000;
  rest.best_effort = true;
  simulation.Submit(SampleJob("rest", "bulk", "two", rest));
  simulation.RunFor(seconds(4));
  ASSERT_EQ(simulation.RunsOf("rest").size(), 3U);
  EXPECT_LE(StartDelay(simulation, "rest", submitted), seconds(3));
  // Each gets the processors that one worker's other tasks leave unused.
  std::set<std::string> nodes;
  for (const SimulatedRun& run : simulation.RunsOf("rest")) nodes.insert(run.node);
  EXPECT_EQ(nodes.size(), 3U);
}

// Such tasks disturb what serves on their worker, so that they stay off workers that would not have
// held them anyway.
TEST(PoolLoad, StartsNoBestEffortTaskBesideALongRunningTaskForWantOfProcessors) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  StepSpec service = SampleStep(3, 1, seconds(100));
  service.need.processor_millis = 30'000;
  service.max_per_worker = 1;
  service.long_running = true;
  simulation.Submit(SampleJob("service", "batch", "one", service));
  simulation.RunFor(seconds(1));
  ASSERT_EQ(simulation.RunsOf("service").size(), 3U);
  StepSpec rest = SampleStep(1, 1, seconds(100));
  rest.need.processor_millis = 40'000;
  rest.best_effort = true;
  simulation.Submit(SampleJob("rest", "bulk", "two", rest));
  simulation.RunFor(seconds(6));
  EXPECT_EQ(simulation.RunsOf("rest").size(), 0U);
}

// Without urgent work, reserved room would only make other jobs wait.
TEST(PoolLoad, ReservesNoRoomWithoutUrgentJobs) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  const Time submitted = simulation.now();
  simulation.Submit(SampleJob("batch", "bulk", "two", SampleStep(48, 1, seconds(15))));
  simulation.RunFor(seconds(1));
  EXPECT_EQ(simulation.RunsOf("batch").size(), 48U);
  EXPECT_LE(StartDelay(simulation, "batch", submitted), milliseconds(200));
}

// The pool is full of tasks that run for another minute and can be resumed from checkpoints. They
// are preempted, so that an urgent gang is on time.
TEST(PoolLoad, PreemptsResumableWorkForAnUrgentGang) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(
      SampleJob("fills", "bulk", "two", WithCheckpoints(SampleStep(24, 1, seconds(60)))));
  simulation.RunFor(seconds(4));
  simulation.Submit(SampleJob("urgent", "urgent", "one", Gang(SampleStep(2, 8, seconds(2)))));
  EXPECT_TRUE(simulation.RunUntil("urgent", JobState::kCompleted, seconds(5)));
}

// Two gangs that have run equally long fill the pool when an urgent gang arrives. The first gang
// had waited long before it began and would be past due if restarted; the second gang has slack. If
// only the lost work counted, either might be preempted, although the second gang loses no value.
TEST(PoolLoad, PreemptsTheVictimThatLosesLeastValue) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("fills", "batch", "two", Gang(SampleStep(6, 8, seconds(18)))));
  simulation.RunFor(milliseconds(200));
  simulation.Submit(SampleJob("pressed", "batch", "two", Gang(SampleStep(3, 8, seconds(10)))));
  simulation.RunFor(milliseconds(17500));
  simulation.Submit(SampleJob("at-ease", "batch", "two", Gang(SampleStep(3, 8, seconds(10)))));
  simulation.RunFor(seconds(4));
  simulation.Submit(SampleJob("urgent", "urgent", "one", Gang(SampleStep(3, 8, seconds(2)))));
  ASSERT_TRUE(simulation.RunUntil("urgent", JobState::kCompleted, seconds(7)));
  EXPECT_FALSE(WasStopped(simulation, "pressed"));
  EXPECT_TRUE(WasStopped(simulation, "at-ease"));
}

// Half of the small tasks can be stopped without loss and half cannot. Mixed on every worker, no
// whole worker can be cleared without losing work; grouped by kind, some can.
TEST(PoolLoad, GroupsResumableTasksOnWorkers) {
  PoolSimulation simulation(SampleRacks(2), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  for (int round = 0; round < 6; ++round) {
    const std::string name = std::to_string(round);
    simulation.Submit(
        SampleJob("kept-" + name, "bulk", "two", WithCheckpoints(SampleStep(3, 1, seconds(60)))));
    simulation.RunFor(seconds(2));
    simulation.Submit(SampleJob("lost-" + name, "bulk", "two", SampleStep(3, 1, seconds(60))));
    simulation.RunFor(seconds(2));
  }
  std::map<std::string, std::set<std::string>> kinds;
  for (const SimulatedRun& run : simulation.runs()) {
    kinds[run.node].insert(run.run.task.job.substr(0, 4));
  }
  int mixed = 0;
  for (const auto& row : kinds) mixed += row.second.size() > 1;
  EXPECT_LE(mixed, 1);
}

// Callers' estimates in a queue are between a tenth and twice the true run time. A job whose
// estimate is a tenth of its run time soon seems hopelessly past due. Other jobs would be preferred
// until the job is in fact hopelessly past due.
TEST(PoolLoad, UsesLearnedRunTimesWhereEstimatesAreWrong) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.actual_duration = [](const TaskId&) { return seconds(6); };
  for (int job = 0; job < 6; ++job) {
    const StepSpec guessed = SampleStep(4, 1, milliseconds(600 + 2000 * job));
    simulation.Submit(SampleJob("seen-" + std::to_string(job), "batch", "two", guessed));
  }
  simulation.RunFor(seconds(7));
  simulation.Submit(SampleJob("fills", "batch", "two", SampleStep(3, 8, seconds(6))));
  simulation.RunFor(milliseconds(200));
  simulation.Submit(
      SampleJob("guessed-short", "batch", "one", SampleStep(3, 8, milliseconds(600))));
  simulation.RunFor(milliseconds(4500));
  simulation.Submit(SampleJob("guessed-right", "batch", "one", SampleStep(3, 8, seconds(6))));
  ASSERT_TRUE(simulation.RunUntil("guessed-short", JobState::kCompleted, seconds(10)));
  EXPECT_NE(simulation.StateOf("guessed-right"), JobState::kCompleted);
}

// A job is past its due time, and jobs that can still be on time keep arriving and go first. If the
// job were passed over until it is worthless, it would never run. Started just before that time, it
// costs the other jobs a second of slack.
TEST(PoolLoad, RunsAPastDueJobBeforeItIsWorthless) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("fills", "urgent", "one", SampleStep(3, 8, seconds(5))));
  simulation.RunFor(milliseconds(500));
  const Time submitted = simulation.now();
  simulation.Submit(SampleJob("late", "urgent", "one", Gang(SampleStep(3, 8, seconds(1)))));
  simulation.RunFor(seconds(4));
  for (int job = 0; job < 16; ++job) {
    const StepSpec step = Gang(SampleStep(3, 8, seconds(1)));
    simulation.Submit(SampleJob("more-" + std::to_string(job), "urgent", "one", step));
    if (job >= 2) simulation.RunFor(seconds(1));
  }
  // The queue of the job "late" allows three times the run time of 1 s plus one second, 4 s in all.
  // The job is worthless after three times that, 12 s.
  ASSERT_FALSE(simulation.RunsOf("late").empty());
  EXPECT_LE(StartDelay(simulation, "late", submitted), seconds(11));
}

// A worker stalls while its health is reported as good. Later jobs must not be placed beside its
// stalled runs.
TEST(PoolLoad, PlacesNothingOnAWorkerWhoseRunsAreStalled) {
  PoolSimulation simulation(SampleRacks(1), SampleOperatorState(0));
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("stuck", "batch", "one", SampleStep(1, 1, seconds(8))));
  simulation.RunFor(seconds(2));
  const std::string faulty = simulation.RunsOf("stuck").at(0).node;
  simulation.SetStuck(faulty, true);
  simulation.RunFor(seconds(4));
  simulation.Submit(SampleJob("later", "batch", "one", SampleStep(2, 1, seconds(1))));
  simulation.RunFor(seconds(2));
  EXPECT_EQ(simulation.StateOf("later"), JobState::kCompleted);
  simulation.SetStuck(faulty, false);
  EXPECT_TRUE(simulation.RunUntil("stuck", JobState::kCompleted, seconds(8)));
}

// A pool of 240 agents whose planner reads a limited number of reports per tick, with more work
// than the pool can carry, including gangs.
class BusyPlanner : public testing::Test {
 protected:
  static constexpr int kRacks = 80;

  BusyPlanner() : simulation_(SampleRacks(kRacks), SampleOperatorState(0)) {
    simulation_.actual_duration = [](const TaskId& task) {
      return milliseconds(4000 + 500 * (task.index % 5));
    };
    simulation_.SetReportsPerTick(kReportsPerTick);
    simulation_.RunFor(seconds(3));
  }

  void Submit() {
    StepSpec step = SampleStep(8, 4, seconds(5));
    step.gang = jobs_ % 2 == 0;
    const char* queue = jobs_ % 3 == 0 ? "urgent" : "batch";
    simulation_.Submit(SampleJob("job-" + std::to_string(jobs_), queue, "two", step));
    ++jobs_;
  }

  // Submits jobs of eight tasks each, half of them gangs, for `time`.
  void LoadFor(Duration time) {
    const Time end = simulation_.now() + time;
    while (simulation_.now() < end) {
      Submit();
      simulation_.RunFor(milliseconds(120));
    }
  }

  int EndedSince(Time since, EndKind end_kind) const {
    int ended = 0;
    for (const SimulatedRun& run : simulation_.runs()) {
      ended += run.finished && run.ended > since && run.end_kind == end_kind;
    }
    return ended;
  }

  // One and a half times the number of reports that the agents send under this load.
  static constexpr int kReportsPerTick = 12;
  PoolSimulation simulation_;
  int jobs_ = 0;
};

// The planner stalls for two seconds. If the planner took its agents for silent, it would revoke
// their starts and place the work again, which would keep the planner lagging for good.
TEST_F(BusyPlanner, RevokesNothingAfterAStallOfItsOwn) {
  LoadFor(seconds(6));
  for (int job = 0; job < 20; ++job) Submit();
  simulation_.RunFor(milliseconds(20));
  const Time stalled = simulation_.now();
  simulation_.SetPlannerPaused(true);
  simulation_.RunFor(seconds(2));
  simulation_.SetPlannerPaused(false);
  LoadFor(seconds(6));
  EXPECT_EQ(EndedSince(stalled, EndKind::kStopped), 0);
  EXPECT_EQ(EndedSince(stalled, EndKind::kLeaseExpired), 0);
  EXPECT_EQ(EndedSince(stalled, EndKind::kPartialGang), 0);
  EXPECT_EQ(simulation_.planner_lag(), Duration::zero());
  EXPECT_EQ(simulation_.violations(), std::vector<std::string>());
}

// For ten seconds the planner can read only a sixth of the reports sent, then all of them again.
TEST_F(BusyPlanner, RecoversAfterOverload) {
  LoadFor(seconds(4));
  simulation_.SetReportsPerTick(kReportsPerTick / 6);
  LoadFor(seconds(10));
  simulation_.SetReportsPerTick(kReportsPerTick);
  LoadFor(seconds(6));
  const Time calm = simulation_.now();
  LoadFor(seconds(6));
  EXPECT_EQ(simulation_.planner_lag(), Duration::zero());
  EXPECT_EQ(EndedSince(calm, EndKind::kStopped), 0);
  EXPECT_EQ(EndedSince(calm, EndKind::kLeaseExpired), 0);
  EXPECT_EQ(simulation_.violations(), std::vector<std::string>());
}

// A successor receives the first reports of all agents, with all their runs, at the same time.
TEST_F(BusyPlanner, LosesNoLeaseWhenThePlannerIsReplaced) {
  LoadFor(seconds(6));
  const Time replaced = simulation_.now();
  simulation_.ReplacePlanner();
  LoadFor(seconds(8));
  EXPECT_EQ(EndedSince(replaced, EndKind::kLeaseExpired), 0);
  EXPECT_EQ(EndedSince(replaced, EndKind::kPartialGang), 0);
  EXPECT_EQ(simulation_.planner_lag(), Duration::zero());
  EXPECT_EQ(simulation_.violations(), std::vector<std::string>());
}

// A new planner has reports from a few agents only, no two of one rack. If it concluded that no
// rack can hold the gang, the gang would be spread over racks and take three times as long.
TEST(PoolLoad, SpreadsNoGangBeforeMostAgentsHaveReported) {
  std::vector<SimulatedWorker> workers = SampleRacks(40);
  // Agents report in the order of their names, so a whole rack is known only towards the end.
  for (SimulatedWorker& worker : workers) std::reverse(worker.node.begin(), worker.node.end());
  PoolSimulation simulation(workers, SampleOperatorState(0));
  simulation.SetReportsPerTick(3);
  StepSpec gang = Gang(SampleStep(3, 8, seconds(2)));
  gang.one_rack = true;
  simulation.Submit(SampleJob("gang", "batch", "one", gang));
  ASSERT_TRUE(simulation.RunUntil("gang", JobState::kCompleted, seconds(10)));
  std::set<std::string> racks;
  for (const SimulatedRun& run : simulation.RunsOf("gang")) {
    racks.insert(run.node.substr(run.node.find('-')));
  }
  EXPECT_EQ(racks.size(), 1U);
}

}  // namespace
}  // namespace turmericshift::pool
