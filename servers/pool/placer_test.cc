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

}  // namespace
}  // namespace turmericshift::pool
