#include "servers/pool/placer.h"

#include <gtest/gtest.h>

#include <set>

namespace turmericshift::pool {
namespace {

constexpr int64_t kMillisPerAccelerator = 1000;

WorkerRoom Worker(std::string_view node, int64_t accelerators) {
  WorkerRoom worker;
  worker.node = node;
  worker.rack = "r";
  worker.free = {kMillisPerAccelerator * accelerators, 1000, accelerators};
  worker.max_tasks = 100;
  return worker;
}

StepSpec GangStep() {
  StepSpec step;
  step.gang = true;
  step.need = {kMillisPerAccelerator, 1, 1};
  return step;
}

std::set<std::string> NodesOf(const Placement& placement) {
  return {placement.begin(), placement.end()};
}

// Filling the workers with the least room first, a gang of five would run on three workers, each of
// which can make it late.
TEST(Placer, PlacesAnUrgentGangOnTheFewestWorkers) {
  const std::vector<WorkerRoom> workers = {Worker("a", 1), Worker("b", 2), Worker("c", 6),
                                           Worker("d", 8)};
  const StepSpec step = GangStep();
  PlacementRequest request;
  request.step = &step;
  request.tasks = 5;
  EXPECT_EQ(NodesOf(Place(request, workers)).size(), 3U);
  request.few_workers = true;
  // "d" stays whole.
  EXPECT_EQ(NodesOf(Place(request, workers)), std::set<std::string>{"c"});
}

TEST(Placer, UsesTheLargestWorkersIfNoneHoldsTheWholeGang) {
  const std::vector<WorkerRoom> workers = {Worker("a", 3), Worker("b", 2), Worker("c", 2)};
  const StepSpec step = GangStep();
  PlacementRequest request;
  request.step = &step;
  request.tasks = 5;
  request.few_workers = true;
  EXPECT_EQ(Place(request, workers).size(), 5U);
  EXPECT_EQ(NodesOf(Place(request, workers)), (std::set<std::string>{"a", "b"}));
  request.tasks = 8;
  EXPECT_TRUE(Place(request, workers).empty());
}

WorkerRoom Outdated(WorkerRoom worker) {
  worker.outdated = true;
  return worker;
}

// A gang on an outdated worker is lost when that is replaced. Fewer or faster workers are not worth
// that.
TEST(Placer, PlacesAGangOnOutdatedWorkersLast) {
  std::vector<WorkerRoom> workers = {Outdated(Worker("a", 4)), Worker("b", 2), Worker("c", 2)};
  for (WorkerRoom& worker : workers) worker.speed_rank = worker.outdated ? 0 : 1;
  const StepSpec step = GangStep();
  PlacementRequest request;
  request.step = &step;
  for (const bool few_workers : {false, true}) {
    request.few_workers = few_workers;
    request.tasks = 4;
    EXPECT_EQ(NodesOf(Place(request, workers)), (std::set<std::string>{"b", "c"}));
    // The gang must not wait for other workers.
    request.tasks = 6;
    EXPECT_EQ(Place(request, workers).size(), 6U);
  }
}

// The rack with the least room is chosen first, although the gang has room in one where no worker
// will soon be replaced.
TEST(Placer, PlacesAGangInARackWithoutOutdatedWorkers) {
  std::vector<WorkerRoom> workers = {Outdated(Worker("a", 2)), Worker("b", 8)};
  workers[1].rack = "s";
  workers[1].speed_rank = 1;
  const StepSpec step = GangStep();
  PlacementRequest request;
  request.step = &step;
  request.tasks = 2;
  EXPECT_EQ(NodesOf(Place(request, workers)), std::set<std::string>{"b"});
  // A worker that seems unhealthy is worse than one that will be replaced.
  workers[1].suspect = true;
  EXPECT_EQ(NodesOf(Place(request, workers)), std::set<std::string>{"a"});
  // In the same rack too.
  workers[1].rack = workers[0].rack;
  EXPECT_EQ(NodesOf(Place(request, workers)), std::set<std::string>{"a"});
}

TEST(Placer, PlacesSingleTasksOnOutdatedWorkersLast) {
  std::vector<WorkerRoom> workers = {Outdated(Worker("a", 1)), Worker("b", 2)};
  workers[1].speed_rank = 1;
  StepSpec step = GangStep();
  step.gang = false;
  PlacementRequest request;
  request.step = &step;
  request.tasks = 2;
  EXPECT_EQ(NodesOf(Place(request, workers)), std::set<std::string>{"b"});
  request.tasks = 3;
  EXPECT_EQ(NodesOf(Place(request, workers)), (std::set<std::string>{"a", "b"}));
}

// Best-effort tasks packed on one worker would share what it leaves unused, beside idle processors
// elsewhere.
TEST(Placer, SpreadsBestEffortTasksByUnusedProcessors) {
  const std::vector<WorkerRoom> workers = {Worker("a", 2), Worker("b", 6), Worker("c", 5)};
  StepSpec step;
  step.best_effort = true;
  step.need = {8 * kMillisPerAccelerator, 1, 1};
  PlacementRequest request;
  request.step = &step;
  request.tasks = 4;
  EXPECT_TRUE(Place(request, workers).empty());
  request.ignore_processors = true;
  EXPECT_EQ(Place(request, workers), (Placement{"b", "c", "a", "b"}));
  // Its other needs count.
  request.tasks = 20;
  EXPECT_EQ(Place(request, workers).size(), 13U);
}

}  // namespace
}  // namespace turmericshift::pool
