#include "servers/planner/worker_health.h"

#include <gtest/gtest.h>

namespace turmericshift {
namespace {

constexpr size_t kWorkers = 30;
const Time kStart{std::chrono::hours(1)};

// A worker with a broken driver fails each task immediately, looks idle and attracts one job after
// another.
TEST(WorkerHealthTest, QuarantinesAndProbesWorkerThatFailsEveryTask) {
  WorkerHealth health;
  Time now = kStart;
  EXPECT_EQ(health.AttemptFailed("a", {"w1"}, kWorkers, now), FailureVerdict::kTryElsewhere);
  EXPECT_TRUE(health.IsQuarantined("w1", now));
  health.AttemptDone("a", {"w2"});
  EXPECT_TRUE(health.IsQuarantined("w1", now));
  now += std::chrono::seconds(31);
  EXPECT_FALSE(health.IsQuarantined("w1", now));
  // The probe fails, so the quarantine lasts twice as long.
  health.AttemptFailed("b", {"w1"}, kWorkers, now);
  EXPECT_TRUE(health.IsQuarantined("w1", now + std::chrono::seconds(59)));
  // The next job completes, so the failures are forgotten.
  health.AttemptDone("c", {"w1"});
  EXPECT_FALSE(health.IsQuarantined("w1", now));
}

// A job with a broken image fails on every worker. Blaming the workers would take healthy workers
// out of use.
TEST(WorkerHealthTest, ClearsWorkersWhenJobFailsEverywhere) {
  WorkerHealth health;
  EXPECT_EQ(health.AttemptFailed("bad", {"w1"}, kWorkers, kStart), FailureVerdict::kTryElsewhere);
  EXPECT_EQ(health.AttemptFailed("bad", {"w2"}, kWorkers, kStart), FailureVerdict::kTryElsewhere);
  EXPECT_EQ(health.AttemptFailed("bad", {"w3"}, kWorkers, kStart), FailureVerdict::kJobAtFault);
  EXPECT_EQ(health.QuarantinedCount(kStart), 0U);
}

// If a store that all tasks need is down, every worker fails all its tasks. A quarantine of all
// workers would stop the zone for longer than the outage.
TEST(WorkerHealthTest, QuarantinesBoundedShareOfWorkers) {
  WorkerHealth health;
  for (size_t worker = 0; worker < kWorkers; ++worker) {
    health.AttemptFailed("job" + std::to_string(worker), {"w" + std::to_string(worker)}, kWorkers,
                         kStart);
  }
  EXPECT_EQ(health.QuarantinedCount(kStart), 3U);
}

}  // namespace
}  // namespace turmericshift
