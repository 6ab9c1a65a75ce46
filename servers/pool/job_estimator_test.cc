#include <gtest/gtest.h>

#include "servers/pool/job_estimator.h"

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

JobEstimator OfAPool(const DisabledMechanisms& off) {
  JobEstimator appraiser(off);
  appraiser.SetCapacity({{"plans", {640'000, 1'310'720, 80}}});
  return appraiser;
}

Duration ChainOf(const JobEstimator& appraiser, const JobSpec& spec) {
  return appraiser.TimingOf(spec, Terms(), {0, 0}, kAcceptedMs).critical_path;
}

// A caller can't expect more than a quarter of the pool at once, twenty accelerators here.
TEST(JobEstimator, GivesAWideStepTheTimeOfSeveralGoes) {
  const JobEstimator appraiser = OfAPool({});
  EXPECT_EQ(ChainOf(appraiser, OneStep(2, 8)), seconds(2));
  EXPECT_EQ(ChainOf(appraiser, OneStep(3, 8)), seconds(4));
  EXPECT_EQ(ChainOf(appraiser, OneStep(16, 8)), seconds(14));
  JobSpec gang = OneStep(16, 8);
  gang.steps[0].gang = true;
  EXPECT_EQ(ChainOf(appraiser, gang), seconds(2));
  EXPECT_EQ(ChainOf(OfAPool({Mechanism::kWideInWaves}), OneStep(16, 8)), seconds(2));
}

TEST(JobEstimator, CountsWhatHasGoneBy) {
  const JobTiming timing = OfAPool({}).TimingOf(OneStep(1, 1), Terms(), {0, 0}, kAcceptedMs + 1500);
  EXPECT_EQ(timing.elapsed, std::chrono::milliseconds(1500));
}

// Worth goes by size against what is usual of the queue, so that a deployment with larger jobs
// does not take each of them for a treasure.
TEST(JobEstimator, MeasuresAJobAgainstTheUsualOnesOfItsQueue) {
  JobEstimator appraiser = OfAPool({});
  const double alone = appraiser.ValueOf(OneStep(4, 1), Terms());
  appraiser.ResetJobs();
  for (int i = 0; i < 3; ++i) appraiser.RecordJob(OneStep(1, 1));
  const double among_small = appraiser.ValueOf(OneStep(4, 1), Terms());
  EXPECT_LT(among_small, alone);
  EXPECT_GT(among_small, appraiser.ValueOf(OneStep(1, 1), Terms()));
}

}  // namespace
}  // namespace turmericshift::pool
