#include "modules/placement/cell_policy.h"

#include <gtest/gtest.h>

#include "modules/placement/placement_test_support.h"

namespace turmericshift {
namespace {

// Operators take a zone out at the peak. If its jobs were stopped immediately, they would wait for
// room in full zones, and plans that were nearly done would miss their due times.
TEST(CellPolicyTest, JobsInAZoneThatIsOutRunUntilTheDrainTimeEnds) {
  Environment environment = SmallEnvironment(2, 8, {2});
  environment.bounds.zone_drain = std::chrono::minutes(10);
  const auto planner = PlannerWithWorkers(environment, std::make_unique<CellPolicy>());
  JobSpec spec = TestSpec("ws0", 1, 1, 0);
  spec.checkpoints = true;
  spec.repeatable = true;
  planner->JobAccepted(TestJob(1, spec), Time{});
  ASSERT_EQ(planner->Decide(Time{}).starts.size(), 1U);
  environment.zones[kTestZone].in = false;
  planner->SetEnvironment(std::make_shared<const Environment>(environment));
  EXPECT_TRUE(planner->Decide(Time{} + std::chrono::minutes(1)).stops.empty());
  EXPECT_TRUE(planner->Decide(Time{} + std::chrono::minutes(10)).stops.empty());
  const Plan plan = planner->Decide(Time{} + std::chrono::minutes(11));
  ASSERT_EQ(plan.stops.size(), 1U);
  EXPECT_TRUE(plan.stops[0].checkpoint);
  EXPECT_EQ(plan.stops[0].reason, StopReason::kZoneOut);
}

}  // namespace
}  // namespace turmericshift
