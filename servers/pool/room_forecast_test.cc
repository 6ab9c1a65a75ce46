#include "servers/pool/room_forecast.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::seconds;

constexpr Room kWhole = {64'000, 131'072, 8};
constexpr Room kOne = {8'000, 1'000, 1};

struct Pool {
  // A worker of eight accelerators that run single tasks; each ends after one of `ends`.
  void Add(const char* node, const char* rack, const std::vector<int>& ends) {
    FutureRoom worker;
    worker.now.node = node;
    worker.now.rack = rack;
    worker.now.free = kWhole;
    worker.now.most_tasks = 100;
    frees.emplace_back();
    for (const int end : ends) {
      worker.now.free -= kOne;
      frees.back().push_back({kOne, seconds(end)});
    }
    workers.push_back(worker);
    for (size_t i = 0; i < workers.size(); ++i) workers[i].freeing = &frees[i];
  }

  std::vector<FutureRoom> workers;
  std::vector<std::vector<Freeing>> frees;
};

struct WholeWorkers {
  explicit WholeWorkers(int tasks) {
    step.need = kWhole;
    step.gang = true;
    wish.step = &step;
    wish.tasks = tasks;
  }

  StepSpec step;
  PlaceWish wish;
};

TEST(RoomForecast, TellsWhenTheLastOfTheSoonestWorkersIsEmpty) {
  Pool pool;
  pool.Add("a", "r1", {1, 9});
  pool.Add("b", "r1", {3});
  pool.Add("c", "r2", {2, 4});
  const WholeWorkers gang(2);
  const std::optional<RoomForecast> forecast = ForecastRoom(gang.wish, pool.workers);
  ASSERT_TRUE(forecast);
  EXPECT_EQ(forecast->in, seconds(4));
  EXPECT_EQ(forecast->tasks, (std::map<std::string, int>{{"b", 1}, {"c", 1}}));
}

TEST(RoomForecast, KeepsToOneRackUnlessTheGangMayStray) {
  Pool pool;
  pool.Add("a", "r1", {1});
  pool.Add("b", "r1", {9});
  pool.Add("c", "r2", {2});
  WholeWorkers gang(2);
  gang.step.one_rack = true;
  ASSERT_TRUE(ForecastRoom(gang.wish, pool.workers));
  EXPECT_EQ(ForecastRoom(gang.wish, pool.workers)->in, seconds(9));
  gang.wish.may_stray = true;
  EXPECT_EQ(ForecastRoom(gang.wish, pool.workers)->in, seconds(2));
}

TEST(RoomForecast, SaysNothingOfWhatWouldNeverFit) {
  Pool pool;
  pool.Add("a", "r1", {1});
  const WholeWorkers gang(2);
  EXPECT_FALSE(ForecastRoom(gang.wish, pool.workers));
}

TEST(RoomForecast, LeavesOthersWhatItDoesNotTake) {
  Pool pool;
  pool.Add("a", "r1", {1, 5});
  const Room spare = SpareRoom(pool.workers[0], {0, 0, 4}, 1, seconds(2));
  EXPECT_EQ(spare.accelerators, 3);
}

}  // namespace
}  // namespace turmericshift::pool
