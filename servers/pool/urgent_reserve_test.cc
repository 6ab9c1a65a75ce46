#include "servers/pool/urgent_reserve.h"

#include <gtest/gtest.h>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

using std::chrono::seconds;

constexpr Time kStart = Time(std::chrono::hours(1));
constexpr int kMany = 1000;
const std::string kService = "plans";

PoolRoom Empty() {
  const Room total = {100'000, 100'000, 100};
  return {total, total};
}

TEST(UrgentReserve, ReservesThePeakDemand) {
  UrgentReserve reserve;
  reserve.RecordDemand(kService, Empty(), {5'000, 0, 20}, kStart);
  reserve.RecordDemand(kService, Empty(), {0, 0, 0}, kStart);
  EXPECT_EQ(reserve.TasksOutsideReserve(kService, Empty(), {1'000, 0, 1}, kMany, kStart), 80);
}

// Urgent tasks need processors beside their accelerators: a reserve of accelerators alone would be
// useless to them.
TEST(UrgentReserve, ReservesTheSameShareOfProcessors) {
  UrgentReserve reserve;
  reserve.RecordDemand(kService, Empty(), {1'000, 0, 20}, kStart);
  EXPECT_EQ(reserve.TasksOutsideReserve(kService, Empty(), {1'000, 0, 0}, kMany, kStart), 80);
}

TEST(UrgentReserve, LeavesMostRoomToOtherJobs) {
  UrgentReserve reserve;
  reserve.RecordDemand(kService, Empty(), {0, 0, 900}, kStart);
  EXPECT_GT(reserve.TasksOutsideReserve(kService, Empty(), {0, 0, 1}, kMany, kStart), 50);
}

TEST(UrgentReserve, OldDemandDecays) {
  UrgentReserve reserve;
  reserve.RecordDemand(kService, Empty(), {0, 0, 20}, kStart);
  EXPECT_GT(reserve.TasksOutsideReserve(kService, Empty(), {0, 0, 1}, kMany, kStart + seconds(600)),
            98);
}

TEST(UrgentReserve, JobCloseToItsDueTimeCannotWait) {
  JobTiming timing;
  timing.remaining = seconds(10);
  timing.critical_path = seconds(10);
  timing.stretch = 3;
  timing.spread = 0.3;
  EXPECT_TRUE(CanWait(timing));
  timing.elapsed = seconds(16);
  EXPECT_FALSE(CanWait(timing));
}

// Urgent jobs can't use the workers of another service.
TEST(UrgentReserve, ReservesNothingInServicesWithoutUrgentJobs) {
  UrgentReserve reserve;
  reserve.RecordDemand(kService, Empty(), {0, 0, 20}, kStart);
  EXPECT_EQ(reserve.TasksOutsideReserve("other", Empty(), {0, 0, 1}, kMany, kStart), 100);
}

// Without the demand of before, a successor fills the pool with work that urgent jobs then stop.
TEST(UrgentReserve, KeepsTheDecayingPeakAfterSaveAndLoad) {
  UrgentReserve reserve;
  reserve.RecordDemand(kService, Empty(), {0, 0, 20}, kStart);
  const nlohmann::json saved = reserve.Save(1000, kStart);
  UrgentReserve next;
  const Time now = Time(std::chrono::hours(7));
  next.Load(saved, seconds(60), now);
  EXPECT_EQ(next.TasksOutsideReserve(kService, Empty(), {0, 0, 1}, kMany, now), 90);
}

// A reserve of a bad value would keep the pool from being used.
TEST(UrgentReserve, KeepsItsStateWhenTheRecordIsMalformed) {
  UrgentReserve reserve;
  for (const char* text :
       {"1", "{}", R"({"peak_percent":-1})", R"({"peak_percent":"1"})", R"({"peak_percent":1e300})",
        R"({"peak_percent":1})", R"({"peak_percent":{"plans":-1}})",
        R"({"peak_percent":{"plans":"1"}})", R"({"peak_percent":{"plans":1e300}})"}) {
    EXPECT_THROW(reserve.Load(nlohmann::json::parse(text), {}, kStart), Error) << text;
  }
  EXPECT_EQ(reserve.TasksOutsideReserve(kService, Empty(), {0, 0, 1}, kMany, kStart), 100);
}

}  // namespace
}  // namespace turmericshift::pool
