#include "servers/planner/worker_health.h"

#include <gtest/gtest.h>

namespace turmericshift {
namespace {

constexpr size_t kWorkers = 30;
const Time kStart{std::chrono::hours(1)};

// A worker's driver is broken: each task on it fails at once, it looks idle, and job after job is
// sent there and dies.
TEST(WorkerHealthTest, HoldsOutAWorkerThatFailsEverythingAndProbesIt) {
  WorkerHealth health;
  Time now = kStart;
  EXPECT_EQ(health.AttemptFailed("a", {"w1"}, kWorkers, now), FailureVerdict::kTryElsewhere);
  EXPECT_TRUE(health.HeldOut("w1", now));
  health.AttemptDone("a", {"w2"});
  EXPECT_TRUE(health.HeldOut("w1", now));
  now += std::chrono::seconds(31);
  EXPECT_FALSE(health.HeldOut("w1", now));
  // The probe fails: held out for twice as long.
  health.AttemptFailed("b", {"w1"}, kWorkers, now);
  EXPECT_TRUE(health.HeldOut("w1", now + std::chrono::seconds(59)));
  // The next one gets done: back for good.
  health.AttemptDone("c", {"w1"});
  EXPECT_FALSE(health.HeldOut("w1", now));
}

// A job whose image is broken fails wherever it runs; blaming the workers would take good ones out.
TEST(WorkerHealthTest, ClearsWorkersOfAJobThatFailsEverywhere) {
  WorkerHealth health;
  EXPECT_EQ(health.AttemptFailed("bad", {"w1"}, kWorkers, kStart), FailureVerdict::kTryElsewhere);
  EXPECT_EQ(health.AttemptFailed("bad", {"w2"}, kWorkers, kStart), FailureVerdict::kTryElsewhere);
  EXPECT_EQ(health.AttemptFailed("bad", {"w3"}, kWorkers, kStart), FailureVerdict::kJobAtFault);
  EXPECT_EQ(health.HeldOutCount(kStart), 0U);
}

// A store that all tasks need is down: every worker fails everything. Holding them all out would
// stop the zone for longer than the outage.
TEST(WorkerHealthTest, HoldsOutABoundedShare) {
  WorkerHealth health;
  for (size_t worker = 0; worker < kWorkers; ++worker) {
    health.AttemptFailed("job" + std::to_string(worker), {"w" + std::to_string(worker)}, kWorkers,
                         kStart);
  }
  EXPECT_EQ(health.HeldOutCount(kStart), 3U);
}

}  // namespace
}  // namespace turmericshift
