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

// Steps 1 and 2 depend on step 0, and step 4 on both; step 3 is independent.
JobSpec Diamond() {
  JobSpec spec;
  spec.steps = {Step(1, {}), Step(5, {0}), Step(2, {0}), Step(9, {}), Step(3, {1, 2})};
  return spec;
}

Duration EstimateOf(const StepSpec& step) { return step.estimate; }

TEST(JobModel, CriticalPathIsTheLongestPathThroughAllSteps) {
  EXPECT_EQ(CriticalPath(Diamond(), EstimateOf), seconds(9));
}

// If the whole critical path were counted for a job at its last step, the job would be considered
// hopeless and be passed over shortly before its end.
TEST(JobModel, CriticalPathFromCountsOnlyTheStepAndItsDependents) {
  EXPECT_EQ(CriticalPathFrom(Diamond(), 0, EstimateOf), seconds(9));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 1, EstimateOf), seconds(8));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 2, EstimateOf), seconds(5));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 3, EstimateOf), seconds(9));
  EXPECT_EQ(CriticalPathFrom(Diamond(), 4, EstimateOf), seconds(3));
}

}  // namespace
}  // namespace turmericshift::pool
