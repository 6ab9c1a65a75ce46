#include "servers/membership/planning_capacity.h"

#include <gtest/gtest.h>

namespace turmericshift::membership {
namespace {

constexpr VmResources kWeak = {0.12, 1, 20};
constexpr VmResources kStrong = {0.5, 1, 200};

TEST(PlanningCapacity, IsLimitedByTheScarcestResource) {
  EXPECT_LT(PlanningCapacity(kWeak), PlanningCapacity(kStrong));
  EXPECT_LT(PlanningCapacity({0.5, 1, 2}), PlanningCapacity(kStrong));
  EXPECT_GT(PlanningCapacity({0.12, 4, 200}), PlanningCapacity(kWeak));
}

TEST(PlanningCapacity, IsUnlimitedForUnknownResources) {
  EXPECT_EQ(PlanningCapacity({}), kUnlimitedCapacity);
}

// Guards against a weak entry that stays the active planner of 240 agents and lags with all its
// answers.
TEST(PlanningCapacity, YieldsALargePoolToTheStrongerVm) {
  EXPECT_TRUE(ShouldYieldTo(PlanningCapacity(kStrong), PlanningCapacity(kWeak), 240));
  EXPECT_FALSE(ShouldYieldTo(PlanningCapacity(kWeak), PlanningCapacity(kStrong), 240));
}

// Handing over a pool that a VM can easily plan would interrupt service to callers without benefit.
TEST(PlanningCapacity, DoesNotYieldASmallPool) {
  EXPECT_FALSE(ShouldYieldTo(PlanningCapacity(kStrong), PlanningCapacity(kWeak), 11));
}

TEST(PlanningCapacity, DoesNotYieldToAVmOfEqualCapacity) {
  EXPECT_FALSE(ShouldYieldTo(PlanningCapacity(kWeak), PlanningCapacity(kWeak), 240));
}

}  // namespace
}  // namespace turmericshift::membership
