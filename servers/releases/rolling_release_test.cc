// Rolling releases and growth of a pool, replayed in simulated time with whole planners.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/stand_ins/pool_simulation.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kDrainTime = seconds(2);

std::vector<SimulatedWorker> Racks(int racks, const std::string& version) {
  std::vector<SimulatedWorker> workers = SampleRacks(racks);
  for (SimulatedWorker& worker : workers) worker.version = version;
  return workers;
}

// A gang that leaves most of a worker's room free, and is lost if its worker leaves.
JobSpec GangWithoutCheckpoints(const std::string& id) {
  StepSpec step = SampleStep(2, 1, seconds(6));
  step.gang = true;
  return SampleJob(id, "batch", "two", step);
}

void DrainAndReplace(PoolSimulation* simulation, const std::string& node,
                     const std::string& version) {
  simulation->Drain(node);
  simulation->RunFor(kDrainTime);
  simulation->ReplaceWorker(node, version);
}

// Replaces the workers one after the other, the last ones first, so that the workers that a planner
// prefers for small gangs are replaced late. A gang arrives with each second.
void Release(PoolSimulation* simulation, std::vector<SimulatedWorker> workers,
             const std::string& version) {
  std::reverse(workers.begin(), workers.end());
  int gangs = 0;
  for (const SimulatedWorker& worker : workers) {
    DrainAndReplace(simulation, worker.node, version);
    for (int i = 0; i < 3; ++i) {
      simulation->Submit(GangWithoutCheckpoints("gang" + std::to_string(gangs++)));
      simulation->RunFor(seconds(1));
    }
  }
  simulation->RunFor(seconds(10));
}

int LostRuns(const PoolSimulation& simulation) {
  return static_cast<int>(std::count_if(
      simulation.runs().begin(), simulation.runs().end(),
      [](const SimulatedRun& run) { return run.finished && run.end_kind != EndKind::kDone; }));
}

// Gangs that cannot be saved are placed on workers that leave before the gangs end.
TEST(RollingRelease, LosesNoGangWithoutCheckpoints) {
  const std::vector<SimulatedWorker> workers = Racks(2, "1");
  PoolSimulation simulation(workers, SampleOperatorState(0));
  simulation.RunFor(seconds(4));
  Release(&simulation, workers, "2");
  EXPECT_EQ(LostRuns(simulation), 0);
  EXPECT_EQ(simulation.runs().size(), 36U);
  EXPECT_TRUE(simulation.violations().empty());
}

// The same load with the mechanism off shows that the test above replays what it says.
TEST(RollingRelease, WithoutTheMechanismGangsAreLost) {
  const std::vector<SimulatedWorker> workers = Racks(2, "1");
  PoolSimulation simulation(workers, SampleOperatorState(0), {}, nullptr,
                            {Mechanism::kAvoidOutdatedWorkers});
  simulation.RunFor(seconds(4));
  Release(&simulation, workers, "2");
  EXPECT_GE(LostRuns(simulation), 4);
}

// Workers whose agents do not send versions are placed on as before, and nothing fails.
TEST(RollingRelease, WithoutVersionsWorkIsPlacedAsWithTheMechanismOff) {
  std::vector<std::string> nodes[2];
  for (const bool off : {false, true}) {
    const std::vector<SimulatedWorker> workers = Racks(2, "");
    const DisabledMechanisms disabled =
        off ? DisabledMechanisms{Mechanism::kAvoidOutdatedWorkers} : DisabledMechanisms{};
    PoolSimulation simulation(workers, SampleOperatorState(0), {}, nullptr, disabled);
    simulation.RunFor(seconds(4));
    Release(&simulation, workers, "");
    for (const SimulatedRun& run : simulation.runs()) nodes[off ? 1 : 0].push_back(run.node);
    EXPECT_TRUE(simulation.violations().empty());
  }
  EXPECT_EQ(nodes[0], nodes[1]);
}

// Outdated workers come last but are used: a pool at the beginning of a release must not stand
// idle.
TEST(RollingRelease, UsesOutdatedWorkersWhenTheOthersAreFull) {
  PoolSimulation simulation(Racks(1, "1"), SampleOperatorState(0));
  simulation.RunFor(seconds(4));
  DrainAndReplace(&simulation, "w0-2", "2");
  simulation.RunFor(seconds(1));
  simulation.Submit(SampleJob("j", "batch", "two", SampleStep(24, 1, seconds(3))));
  simulation.RunFor(seconds(1));
  EXPECT_EQ(simulation.RunsOf("j").size(), 24U);
}

// Tasks that resume from a checkpoint lose nothing; they leave the new workers to the others.
TEST(RollingRelease, PlacesTasksWithCheckpointsAsBefore) {
  PoolSimulation simulation(Racks(1, "1"), SampleOperatorState(0));
  simulation.RunFor(seconds(4));
  DrainAndReplace(&simulation, "w0-2", "2");
  simulation.RunFor(seconds(1));
  StepSpec step = SampleStep(1, 1, seconds(3));
  simulation.Submit(SampleJob("unsaved", "batch", "two", step));
  step.checkpoints = true;
  simulation.Submit(SampleJob("saved", "batch", "two", step));
  simulation.RunFor(seconds(1));
  ASSERT_EQ(simulation.RunsOf("unsaved").size(), 1U);
  ASSERT_EQ(simulation.RunsOf("saved").size(), 1U);
  EXPECT_EQ(simulation.RunsOf("unsaved")[0].node, "w0-2");
  EXPECT_EQ(simulation.RunsOf("saved")[0].node, "w0-0");
}

// The planner is replaced halfway and cannot tell which of two versions is newer. It must plan on
// all workers, and recognize the next release.
TEST(RollingRelease, APlannerThatIsReplacedHalfwayUsesAllWorkers) {
  PoolSimulation simulation(Racks(1, "1"), SampleOperatorState(0));
  simulation.RunFor(seconds(4));
  DrainAndReplace(&simulation, "w0-2", "2");
  simulation.ReplacePlanner();
  simulation.RunFor(seconds(4));
  simulation.Submit(SampleJob("first", "batch", "two", SampleStep(1, 1, seconds(3))));
  simulation.RunFor(seconds(1));
  DrainAndReplace(&simulation, "w0-1", "3");
  simulation.RunFor(seconds(1));
  simulation.Submit(SampleJob("second", "batch", "two", SampleStep(1, 1, seconds(3))));
  simulation.RunFor(seconds(1));
  ASSERT_EQ(simulation.RunsOf("first").size(), 1U);
  ASSERT_EQ(simulation.RunsOf("second").size(), 1U);
  EXPECT_EQ(simulation.RunsOf("first")[0].node, "w0-0");
  EXPECT_EQ(simulation.RunsOf("second")[0].node, "w0-1");
  EXPECT_TRUE(simulation.violations().empty());
}

// A pool that grows under load: work that waits must reach the additional workers at once.
TEST(Growth, AddedWorkersAreUsedWithinASecond) {
  const std::vector<SimulatedWorker> workers = Racks(2, "1");
  PoolSimulation simulation({workers.begin(), workers.begin() + 3}, SampleOperatorState(0));
  simulation.Submit(SampleJob("j", "batch", "two", SampleStep(48, 1, seconds(20))));
  simulation.RunFor(seconds(4));
  ASSERT_EQ(simulation.RunsOf("j").size(), 24U);
  for (size_t i = 3; i < workers.size(); ++i) simulation.AddWorker(workers[i]);
  simulation.RunFor(seconds(1));
  EXPECT_EQ(simulation.RunsOf("j").size(), 48U);
  EXPECT_TRUE(simulation.violations().empty());
}

// Additional workers of a new version look like the begin of a release; the others must go on to
// get work.
TEST(Growth, AddedWorkersOfANewVersionAreUsedBesideTheOthers) {
  std::vector<SimulatedWorker> added = Racks(2, "2");
  added.erase(added.begin(), added.begin() + 3);
  PoolSimulation simulation(Racks(1, "1"), SampleOperatorState(0));
  simulation.RunFor(seconds(4));
  for (const SimulatedWorker& worker : added) simulation.AddWorker(worker);
  simulation.RunFor(milliseconds(100));
  simulation.Submit(SampleJob("j", "batch", "two", SampleStep(48, 1, seconds(3))));
  simulation.RunFor(seconds(1));
  EXPECT_EQ(simulation.RunsOf("j").size(), 48U);
}

}  // namespace
}  // namespace turmericshift::pool
