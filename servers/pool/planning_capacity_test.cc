#include "servers/pool/planning_capacity.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

constexpr VmResources kWeak = {0.12, 1, 20};
constexpr VmResources kStrong = {0.5, 1, 200};

TEST(PlanningCapacity, GoesByWhatThereIsLeastOf) {
  EXPECT_LT(PlanningCapacity(kWeak), PlanningCapacity(kStrong));
  EXPECT_LT(PlanningCapacity({0.5, 1, 2}), PlanningCapacity(kStrong));
  EXPECT_GT(PlanningCapacity({0.12, 4, 200}), PlanningCapacity(kWeak));
}

TEST(PlanningCapacity, TakesAVmOfUnknownResourcesForAnyPool) {
  EXPECT_EQ(PlanningCapacity({}), kUnlimitedCapacity);
}

// A weak entry held the duty of a pool of 240 agents for good, late with everything.
TEST(PlanningCapacity, LeavesALargePoolToTheStrongerVm) {
  EXPECT_TRUE(ShouldYieldTo(PlanningCapacity(kStrong), PlanningCapacity(kWeak), 240));
  EXPECT_FALSE(ShouldYieldTo(PlanningCapacity(kWeak), PlanningCapacity(kStrong), 240));
}

// Handing on what a VM carries easily would cost callers a gap for nothing.
TEST(PlanningCapacity, KeepsASmallPoolWhereItIs) {
  EXPECT_FALSE(ShouldYieldTo(PlanningCapacity(kStrong), PlanningCapacity(kWeak), 11));
}

TEST(PlanningCapacity, KeepsALargePoolWhereNobodyIsStronger) {
  EXPECT_FALSE(ShouldYieldTo(PlanningCapacity(kWeak), PlanningCapacity(kWeak), 240));
}

}  // namespace
}  // namespace turmericshift::pool
