// Planners that are replaced halfway, in simulated time.
#include <gtest/gtest.h>

#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// An urgent gang has half of its run time and 0.3 s as slack.
constexpr double kSlow = 1.8;
// Callers state half of the true run time.
constexpr Duration kStated = seconds(3);
constexpr Duration kActual = seconds(6);
// The first worker of each rack, which a gang gets where speeds are not known.
const char* const kSlowWorker = "w0-0";
const char* const kOtherSlowWorker = "w1-0";

// A pool of three racks, each with a slow, a typical and a fast worker, that has run tasks from
// which the planner could learn.
class ReplacedPlannerTest : public testing::Test {
 protected:
  explicit ReplacedPlannerTest(const DisabledMechanisms& off = {})
      : simulation_(UnevenRacks(), Operators(), {}, nullptr, off) {
    simulation_.actual_duration = [](const TaskId& task) {
      return task.job == "small" ? kActual : seconds(2);
    };
  }

  static std::vector<SimulatedWorker> UnevenRacks() {
    std::vector<SimulatedWorker> workers = SampleRacks(3);
    constexpr double kFactors[] = {kSlow, 1.0, 0.6};
    for (size_t i = 0; i < workers.size(); ++i) workers[i].time_factor = kFactors[i % 3];
    return workers;
  }

  static OperatorState Operators() {
    OperatorState state = SampleOperatorState(0);
    for (Queue& queue : state.config.queues) {
      queue.terms.stretch = queue.terms.priority == 0 ? 1.5 : 3;
      queue.terms.target_latency = milliseconds(300);
    }
    return state;
  }

  void SubmitSmallTasks() {
    simulation_.Submit(SampleJob("small", "bulk", "two", SampleStep(54, 1, kStated)));
  }

  // Runs tasks until the planner has learned from them and had time to write it.
  void Learn() {
    SubmitSmallTasks();
    simulation_.RunFor(seconds(20));
    ASSERT_EQ(simulation_.StateOf("small"), JobState::kCompleted);
    ASSERT_TRUE(KnowsSpeeds());
    ASSERT_TRUE(KnowsRunTimes());
  }

  bool KnowsSpeeds() const {
    const speeds::WorkerSpeeds& speeds = simulation_.planner().worker_speeds();
    return speeds.uneven() && speeds.TimeFactor(kSlowWorker, simulation_.now()) > 1.3;
  }

  bool KnowsRunTimes() const {
    const JobSpec spec = SampleJob("next", "bulk", "two", SampleStep(1, 1, kStated));
    const Duration expected = simulation_.planner().estimator().ExpectedTime(spec, spec.steps[0]);
    return expected > Scaled(kActual, 0.8) && expected < Scaled(kActual, 1.2);
  }

  // Whether an urgent gang that is submitted now ends in time, which it can't on a slow worker.
  bool UrgentGangEndsInTime(const std::string& id) {
    StepSpec step = SampleStep(3, 4, seconds(2));
    step.gang = true;
    const Time begin = simulation_.now();
    simulation_.Submit(SampleJob(id, "urgent", "two", step));
    return simulation_.RunUntil(id, JobState::kCompleted, seconds(10)) &&
           simulation_.now() - begin <= milliseconds(3300);
  }

  PoolSimulation simulation_;
};

class ReplacedPlannerWithoutLearnedStateTest : public ReplacedPlannerTest {
 protected:
  ReplacedPlannerWithoutLearnedStateTest() : ReplacedPlannerTest({Mechanism::kLearnedState}) {}
};

// A successor that has to learn speeds and run times anew places the first urgent gangs on slow
// workers.
TEST_F(ReplacedPlannerTest, KnowsSpeedsAndRunTimesBeforeItsFirstPlacement) {
  Learn();
  simulation_.ReplacePlanner();
  EXPECT_TRUE(KnowsSpeeds());
  EXPECT_TRUE(KnowsRunTimes());
  simulation_.RunFor(milliseconds(100));
  for (const char* id : {"urgent-1", "urgent-2", "urgent-3"}) {
    EXPECT_TRUE(UrgentGangEndsInTime(id)) << id;
  }
  EXPECT_TRUE(simulation_.violations().empty());
}

// Mechanism off: nothing is written or loaded. It also shows that the test above replays the
// pattern.
TEST_F(ReplacedPlannerWithoutLearnedStateTest, WritesAndLoadsNothing) {
  Learn();
  EXPECT_TRUE(simulation_.job_table().learned().empty());
  simulation_.ReplacePlanner();
  EXPECT_FALSE(KnowsSpeeds());
  EXPECT_FALSE(KnowsRunTimes());
  simulation_.RunFor(milliseconds(100));
  EXPECT_FALSE(UrgentGangEndsInTime("urgent"));
}

// A second change of planner, before the first successor has learned anything by itself, must not
// lose what the first planner knew.
TEST_F(ReplacedPlannerTest, KeepsTheStateOverSeveralPlanners) {
  Learn();
  for (int planner = 0; planner < 3; ++planner) {
    simulation_.ReplacePlanner();
    simulation_.RunFor(seconds(8));
  }
  EXPECT_TRUE(KnowsSpeeds());
  EXPECT_TRUE(KnowsRunTimes());
}

// The store does not answer while the planner is replaced; what was written before counts.
TEST_F(ReplacedPlannerTest, KnowsTheStateFromBeforeAnOutageOfTheStore) {
  Learn();
  simulation_.SetStoreDown(true);
  simulation_.RunFor(seconds(8));
  simulation_.ReplacePlanner();
  EXPECT_TRUE(KnowsSpeeds());
  EXPECT_TRUE(KnowsRunTimes());
  simulation_.SetStoreDown(false);
  simulation_.RunFor(milliseconds(100));
  EXPECT_TRUE(UrgentGangEndsInTime("urgent"));
}

// What is learned during an outage of the store waits in the outbox. It must not delay the records
// of jobs, and is written once the store answers.
TEST_F(ReplacedPlannerTest, WritesAfterAnOutageWhatItLearnedMeanwhile) {
  SubmitSmallTasks();
  simulation_.RunFor(milliseconds(200));
  simulation_.SetStoreDown(true);
  simulation_.RunFor(seconds(9));
  EXPECT_TRUE(simulation_.job_table().learned().empty());
  simulation_.SetStoreDown(false);
  simulation_.RunFor(milliseconds(100));
  EXPECT_EQ(simulation_.job_table().learned().count("speeds"), 1U);
  EXPECT_EQ(simulation_.job_table().learned().count("run_times"), 1U);
  EXPECT_TRUE(simulation_.RunUntil("small", JobState::kCompleted, seconds(6)));
  EXPECT_TRUE(simulation_.violations().empty());
}

// Speeds are discarded after 10 min, while run times stay valid for 1 h.
TEST_F(ReplacedPlannerTest, StartsAfreshWhenRecordsAreTooOld) {
  Learn();
  simulation_.ShiftWallClock(minutes(11));
  simulation_.ReplacePlanner();
  EXPECT_FALSE(KnowsSpeeds());
  EXPECT_TRUE(KnowsRunTimes());
  simulation_.ShiftWallClock(minutes(61));
  simulation_.ReplacePlanner();
  EXPECT_FALSE(KnowsRunTimes());
  simulation_.RunFor(milliseconds(100));
  simulation_.Submit(SampleJob("next", "batch", "two", SampleStep(3, 1, seconds(2))));
  EXPECT_TRUE(simulation_.RunUntil("next", JobState::kCompleted, seconds(8)));
}

// The clock of the successor's VM is behind, or that of the former one was ahead: the age of the
// records is not known.
TEST_F(ReplacedPlannerTest, StartsAfreshWhenRecordsAreFromTheFuture) {
  Learn();
  simulation_.ShiftWallClock(-minutes(1));
  simulation_.ReplacePlanner();
  EXPECT_FALSE(KnowsSpeeds());
  EXPECT_FALSE(KnowsRunTimes());
}

// Workers restart while no planner is active. The speeds of their former incarnations, which may
// have run on other VMs, must not be used.
TEST_F(ReplacedPlannerTest, ForgetsWorkersThatRestartedBetweenPlanners) {
  Learn();
  simulation_.SetPlannerPaused(true);
  simulation_.SetTimeFactor(kSlowWorker, 1);
  simulation_.RestartWorker(kSlowWorker);
  simulation_.ReplacePlanner();
  simulation_.SetPlannerPaused(false);
  simulation_.RunFor(seconds(1));
  const speeds::WorkerSpeeds& speeds = simulation_.planner().worker_speeds();
  EXPECT_EQ(speeds.TimeFactor(kSlowWorker, simulation_.now()), 1);
  EXPECT_GT(speeds.TimeFactor(kOtherSlowWorker, simulation_.now()), 1.3);
}

// The operators remove a queue whose run times are stored. The successor must serve the others.
TEST_F(ReplacedPlannerTest, ServesOtherQueuesWhenAStoredQueueIsRemoved) {
  Learn();
  OperatorState operators = Operators();
  std::erase_if(operators.config.queues, [](const Queue& queue) { return queue.name == "bulk"; });
  simulation_.SetOperators(operators);
  simulation_.ReplacePlanner();
  simulation_.RunFor(milliseconds(100));
  EXPECT_TRUE(UrgentGangEndsInTime("urgent"));
}

}  // namespace
}  // namespace turmericshift::pool
