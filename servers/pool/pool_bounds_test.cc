#include "servers/pool/pool_bounds.h"

#include <gtest/gtest.h>

#include <random>

#include "core/error.h"
#include "servers/pool/job_api.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

constexpr int kRounds = 2000;

class BoundsGenerator {
 public:
  explicit BoundsGenerator(unsigned seed) : random_(seed) {}

  PoolBounds Next() {
    PoolBounds bounds;
    bounds.longest_lease = Between(1500, 15000);
    bounds.cancel = Between(1500, 8000);
    bounds.zone_out = Between(1500, 9000);
    bounds.key_withdrawn = Between(1600, 9000);
    bounds.visible = Between(1600, 6000);
    bounds.stop = Between(50, 1500);
    bounds.gang_wait = bounds.stop + Between(750, 4000);
    bounds.reclaim = bounds.stop + Between(500, 5000);
    return bounds;
  }

 private:
  Duration Between(int low, int high) {
    return milliseconds(std::uniform_int_distribution<int>(low, high)(random_));
  }

  std::mt19937 random_;
};

// Bounds differ by deployment. Limits that did not follow them would start tasks of cancelled jobs
// or in zones that are out, or leave gangs waiting for a member.
TEST(PoolBounds, LimitsKeepRandomBounds) {
  BoundsGenerator generator(1);
  for (int i = 0; i < kRounds; ++i) {
    const PoolBounds bounds = generator.Next();
    const PlannerOptions options = PlannerOptionsFor(bounds);
    EXPECT_LT(options.lease_duration, bounds.longest_lease);
    EXPECT_LT(options.confirm_age_limit + options.start_window, bounds.cancel);
    EXPECT_LT(options.document_age_limit + options.start_window, bounds.zone_out);
    EXPECT_LT(options.gang_start_timeout + bounds.stop, bounds.gang_wait);
    // The lease's clock skew on the slowest clock, plus the stop time.
    EXPECT_GT(options.lease_margin, bounds.stop + options.lease_duration / 50);
    EXPECT_LT(options.guaranteed_off_rack_delay, bounds.reclaim);
    EXPECT_LT(options.guaranteed_wait_limit, bounds.reclaim);
    EXPECT_GT(options.reservation_limit, bounds.stop);
    JobApiOptions api;
    ApplyBounds(bounds, &api);
    EXPECT_LT(api.key_age_limit, bounds.key_withdrawn);
    EXPECT_LT(api.view_age_limit, bounds.visible);
  }
}

// Guaranteed room must be reclaimed within the bound: the initial wait, a stop and a start have to
// fit.
TEST(PoolBounds, LimitsLeaveTimeToReclaimWhereAttainable) {
  BoundsGenerator generator(2);
  for (int i = 0; i < kRounds; ++i) {
    const PoolBounds bounds = generator.Next();
    const PlannerOptions options = PlannerOptionsFor(bounds);
    const Duration stop_and_start = bounds.stop + milliseconds(200);
    if (!UnattainableBounds(bounds).empty()) {
      EXPECT_LT(bounds.reclaim, stop_and_start + milliseconds(300));
      continue;
    }
    EXPECT_LE(options.guaranteed_wait_limit + stop_and_start, bounds.reclaim);
    EXPECT_LE(options.guaranteed_off_rack_delay + stop_and_start, bounds.reclaim);
  }
}

// Bounds that leave too little time are rejected at start-up. An entry that ran with them would
// accept jobs and never start one.
TEST(PoolBounds, RejectsBoundsThatLeaveTooLittleTime) {
  PoolBounds bounds;
  bounds.cancel = milliseconds(600);
  EXPECT_THROW(PlannerOptionsFor(bounds), Error);
  bounds = PoolBounds();
  bounds.zone_out = milliseconds(600);
  EXPECT_THROW(PlannerOptionsFor(bounds), Error);
  bounds = PoolBounds();
  bounds.gang_wait = bounds.stop;
  EXPECT_THROW(PlannerOptionsFor(bounds), Error);
  bounds = PoolBounds();
  bounds.key_withdrawn = milliseconds(1000);
  JobApiOptions api;
  EXPECT_THROW(ApplyBounds(bounds, &api), Error);
}

TEST(PoolBounds, ReportsAnUnattainableReclaimBound) {
  PoolBounds bounds;
  EXPECT_TRUE(UnattainableBounds(bounds).empty());
  bounds.reclaim = bounds.stop;
  EXPECT_EQ(UnattainableBounds(bounds).size(), 1U);
  EXPECT_EQ(PlannerOptionsFor(bounds).guaranteed_wait_limit, Duration::zero());
}

}  // namespace
}  // namespace turmericshift::pool
