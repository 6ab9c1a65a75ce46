#include "servers/pool/job_model.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::seconds;

StepSpec Step(int estimate_s, const std::vector<int>& after) {
  StepSpec step;
  step.estimate = seconds(estimate_s);
  step.after = after;
  return step;
}

// Steps 1 and 2 follow the first one, and the last one follows both; step 3 stands by itself.
JobSpec Diamond() {
  JobSpec spec;
  spec.steps = {Step(1, {}), Step(5, {0}), Step(2, {0}), Step(9, {}), Step(3, {1, 2})};
  return spec;
}

Duration EstimateOf(const StepSpec& step) { return step.estimate; }

TEST(JobModel, FollowsTheLongestWayThroughAllSteps) {
  EXPECT_EQ(CriticalPath(Diamond(), EstimateOf), seconds(9));
}

// A job at its last step needs no more than that. Taken for one that has all before it, it would be
// held for hopeless and passed over just before its end.
TEST(JobModel, CountsOnlyWhatComesFromAStepOn) {
  EXPECT_EQ(CriticalPathFrom(Diamond(), 0, EstimateOf), seconds(9));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 1, EstimateOf), seconds(8));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 2, EstimateOf), seconds(5));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 3, EstimateOf), seconds(9));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 4, EstimateOf), seconds(3));
}

}  // namespace
}  // namespace turmericshift::pool
