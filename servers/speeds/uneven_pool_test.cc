// Load patterns of pools with unequal workers, replayed in simulated time with whole planners.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kSlow = 1.6;

// Racks of three workers: a slow, a typical and a fast one.
std::vector<SimulatedWorker> UnevenRacks(int racks) {
  std::vector<SimulatedWorker> workers = SampleRacks(racks);
  constexpr double kFactors[] = {kSlow, 1.0, 0.6};
  for (size_t i = 0; i < workers.size(); ++i) workers[i].time_factor = kFactors[i % 3];
  return workers;
}

OperatorState Operators() {
  OperatorState state = SampleOperatorState(0);
  for (Queue& queue : state.config.queues) {
    queue.terms.stretch = queue.terms.priority == 0 ? 1.5 : 3;
    queue.terms.target_latency = milliseconds(100);
  }
  return state;
}

JobSpec UrgentGang(const std::string& id) {
  StepSpec step = SampleStep(3, 4, seconds(2));
  step.gang = true;
  return SampleJob(id, "urgent", "two", step);
}

// Small tasks on all workers, from whose progress the planner can learn.
void RunSmallTasks(PoolSimulation* simulation, int tasks) {
  simulation->Submit(SampleJob("small", "bulk", "two", SampleStep(tasks, 1, seconds(6))));
  simulation->RunFor(seconds(11));
}

// Urgent gangs in time of `count`, which are submitted 2.5 s apart.
int GangsInTime(PoolSimulation* simulation, int count) {
  int in_time = 0;
  for (int i = 0; i < count; ++i) {
    const std::string id = "urgent" + std::to_string(i);
    const Time begin = simulation->now();
    simulation->Submit(UrgentGang(id));
    if (!simulation->RunUntil(id, JobState::kCompleted, seconds(10))) continue;
    in_time += simulation->now() - begin <= milliseconds(3100);
    simulation->RunFor(milliseconds(500));
  }
  return in_time;
}

// Urgent gangs have half of their run time as slack and end late on a worker that takes 1.6 times
// as long, although they never wait.
TEST(UnevenPool, UrgentGangsEndInTime) {
  PoolSimulation simulation(UnevenRacks(3), Operators());
  RunSmallTasks(&simulation, 54);
  EXPECT_GE(GangsInTime(&simulation, 10), 9);
  EXPECT_TRUE(simulation.violations().empty());
}

// The same load with the mechanism off shows that the test above replays what it says.
TEST(UnevenPool, WithoutSpeedsUrgentGangsEndLate) {
  PoolSimulation simulation(UnevenRacks(3), Operators(), {}, nullptr, {Mechanism::kWorkerSpeeds});
  RunSmallTasks(&simulation, 54);
  EXPECT_LE(GangsInTime(&simulation, 10), 5);
}

// Long jobs with slack on the fast workers leave only slow ones to the next urgent gangs.
TEST(UnevenPool, JobsWithSlackLeaveFastWorkersFree) {
  PoolSimulation simulation(UnevenRacks(3), Operators());
  RunSmallTasks(&simulation, 54);
  simulation.Submit(SampleJob("long", "bulk", "two", SampleStep(20, 1, seconds(20))));
  simulation.RunFor(seconds(1));
  int on_slow = 0;
  for (const SimulatedRun& run : simulation.RunsOf("long")) {
    const auto workers = UnevenRacks(3);
    const auto worker = std::find_if(workers.begin(), workers.end(),
                                     [&](const auto& each) { return each.node == run.node; });
    on_slow += worker->time_factor == kSlow;
  }
  EXPECT_GE(on_slow, 20);
}

// An urgent gang that finds only slow workers free preempts work with slack on faster ones.
TEST(UnevenPool, PreemptsWorkWithSlackOnFastWorkers) {
  PoolSimulation simulation(UnevenRacks(2), Operators());
  RunSmallTasks(&simulation, 36);
  StepSpec filler = SampleStep(32, 1, seconds(30));
  filler.checkpoints = true;
  simulation.Submit(SampleJob("filler", "bulk", "two", filler));
  simulation.RunFor(seconds(4));
  EXPECT_GE(GangsInTime(&simulation, 3), 2);
  EXPECT_TRUE(simulation.violations().empty());
}

// Without slow workers the gang would wait forever, or the pool stand idle.
TEST(UnevenPool, UrgentGangsUseSlowWorkersWhenNothingElseIsLeft) {
  std::vector<SimulatedWorker> workers = UnevenRacks(2);
  PoolSimulation simulation(workers, Operators());
  RunSmallTasks(&simulation, 36);
  for (const SimulatedWorker& worker : workers) {
    if (worker.time_factor < kSlow) simulation.Drain(worker.node);
  }
  simulation.RunFor(seconds(2));
  simulation.Submit(UrgentGang("urgent"));
  EXPECT_TRUE(simulation.RunUntil("urgent", JobState::kCompleted, seconds(8)));
}

// A worker that was slow restarts as a new incarnation, which may be fast. It must get work again.
TEST(UnevenPool, ForgetsTheSpeedOfAFormerIncarnation) {
  std::vector<SimulatedWorker> workers = UnevenRacks(1);
  PoolSimulation simulation(workers, Operators());
  RunSmallTasks(&simulation, 18);
  for (const SimulatedWorker& worker : workers) {
    simulation.SetTimeFactor(worker.node, 1);
    simulation.RestartWorker(worker.node);
  }
  simulation.RunFor(seconds(2));
  EXPECT_GE(GangsInTime(&simulation, 3), 3);
}

}  // namespace
}  // namespace turmericshift::pool
