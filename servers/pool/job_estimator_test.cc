#include "servers/pool/job_estimator.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::seconds;

constexpr int64_t kAcceptedMs = 1'000'000;

JobSpec OneStep(int tasks, int64_t accelerators) {
  StepSpec step;
  step.tasks = tasks;
  step.need = {1'000, 1'024, accelerators};
  step.estimate = seconds(2);
  JobSpec spec;
  spec.queue = "q";
  spec.steps = {step};
  spec.accepted_ms = kAcceptedMs;
  return spec;
}

QueueTerms Terms() {
  QueueTerms terms;
  terms.service = "plans";
  terms.stretch = 1.5;
  return terms;
}

JobEstimator EstimatorForPool(const DisabledMechanisms& disabled_mechanisms) {
  JobEstimator estimator(disabled_mechanisms);
  estimator.SetCapacity({{"plans", {640'000, 1'310'720, 80}}});
  return estimator;
}

Duration CriticalPathOf(const JobEstimator& estimator, const JobSpec& spec) {
  return estimator.TimingOf(spec, Terms(), {0, 0}, kAcceptedMs).critical_path;
}

// A step is expected to get at most a quarter of the pool at a time, here twenty accelerators.
TEST(JobEstimator, WideStepTakesSeveralWaves) {
  const JobEstimator estimator = EstimatorForPool({});
  EXPECT_EQ(CriticalPathOf(estimator, OneStep(2, 8)), seconds(2));
  EXPECT_EQ(CriticalPathOf(estimator, OneStep(3, 8)), seconds(4));
  EXPECT_EQ(CriticalPathOf(estimator, OneStep(16, 8)), seconds(14));
  JobSpec gang = OneStep(16, 8);
  gang.steps[0].gang = true;
  EXPECT_EQ(CriticalPathOf(estimator, gang), seconds(2));
  EXPECT_EQ(CriticalPathOf(EstimatorForPool({Mechanism::kWideInWaves}), OneStep(16, 8)),
            seconds(2));
}

TEST(JobEstimator, ElapsedTimeCountsFromAcceptance) {
  const JobTiming timing =
      EstimatorForPool({}).TimingOf(OneStep(1, 1), Terms(), {0, 0}, kAcceptedMs + 1500);
  EXPECT_EQ(timing.elapsed, std::chrono::milliseconds(1500));
}

// The value depends on a job's size relative to the queue's mean, so that a deployment with larger
// jobs does not overvalue all of them.
TEST(JobEstimator, ValueIsRelativeToTheMeanJobOfTheQueue) {
  JobEstimator estimator = EstimatorForPool({});
  const double alone = estimator.ValueOf(OneStep(4, 1), Terms());
  estimator.ResetJobs();
  for (int i = 0; i < 3; ++i) estimator.RecordJob(OneStep(1, 1));
  const double among_small = estimator.ValueOf(OneStep(4, 1), Terms());
  EXPECT_LT(among_small, alone);
  EXPECT_GT(among_small, estimator.ValueOf(OneStep(1, 1), Terms()));
}

}  // namespace
}  // namespace turmericshift::pool
