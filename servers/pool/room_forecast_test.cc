#include "servers/pool/room_forecast.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::seconds;

constexpr Room kWhole = {64'000, 131'072, 8};
constexpr Room kOne = {8'000, 1'000, 1};

struct Pool {
  // Adds a worker of eight accelerators with single tasks that end after `ends` seconds each.
  void Add(const char* node, const char* rack, const std::vector<int>& ends) {
    FutureRoom worker;
    worker.now.node = node;
    worker.now.rack = rack;
    worker.now.free = kWhole;
    worker.now.max_tasks = 100;
    releases.emplace_back();
    for (const int end : ends) {
      worker.now.free -= kOne;
      releases.back().push_back({kOne, seconds(end)});
    }
    workers.push_back(worker);
    for (size_t i = 0; i < workers.size(); ++i) workers[i].releases = &releases[i];
  }

  std::vector<FutureRoom> workers;
  std::vector<std::vector<RoomRelease>> releases;
};

struct WholeWorkers {
  explicit WholeWorkers(int tasks) {
    step.need = kWhole;
    step.gang = true;
    request.step = &step;
    request.tasks = tasks;
  }

  StepSpec step;
  PlacementRequest request;
};

TEST(RoomForecast, ForecastsWhenTheSoonestWorkersAreAllEmpty) {
  Pool pool;
  pool.Add("a", "r1", {1, 9});
  pool.Add("b", "r1", {3});
  pool.Add("c", "r2", {2, 4});
  const WholeWorkers gang(2);
  const std::optional<RoomForecast> forecast = ForecastRoom(gang.request, pool.workers);
  ASSERT_TRUE(forecast);
  EXPECT_EQ(forecast->delay, seconds(4));
  EXPECT_EQ(forecast->tasks, (std::map<std::string, int>{{"b", 1}, {"c", 1}}));
}

TEST(RoomForecast, StaysInOneRackUnlessOffRackIsAllowed) {
  Pool pool;
  pool.Add("a", "r1", {1});
  pool.Add("b", "r1", {9});
  pool.Add("c", "r2", {2});
  WholeWorkers gang(2);
  gang.step.one_rack = true;
  ASSERT_TRUE(ForecastRoom(gang.request, pool.workers));
  EXPECT_EQ(ForecastRoom(gang.request, pool.workers)->delay, seconds(9));
  gang.request.allow_off_rack = true;
  EXPECT_EQ(ForecastRoom(gang.request, pool.workers)->delay, seconds(2));
}

TEST(RoomForecast, IsEmptyForARequestThatNeverFits) {
  Pool pool;
  pool.Add("a", "r1", {1});
  const WholeWorkers gang(2);
  EXPECT_FALSE(ForecastRoom(gang.request, pool.workers));
}

TEST(RoomForecast, LeavesSpareRoomForOthers) {
  Pool pool;
  pool.Add("a", "r1", {1, 5});
  const Room spare = SpareRoom(pool.workers[0], {0, 0, 4}, 1, seconds(2));
  EXPECT_EQ(spare.accelerators, 3);
}

}  // namespace
}  // namespace turmericshift::pool
