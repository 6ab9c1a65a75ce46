#include "servers/requests/outlier_detector.h"

#include <gtest/gtest.h>

#include "servers/requests/retry_budget.h"

namespace turmericshift {
namespace {

constexpr Duration kFast = std::chrono::milliseconds(10);

std::vector<TargetCandidate> Targets(int count) {
  std::vector<TargetCandidate> targets;
  for (int index = 0; index < count; ++index) {
    TargetCandidate target;
    target.agent = "t" + std::to_string(index);
    targets.push_back(target);
  }
  return targets;
}

void Feed(OutlierDetector* detector, const std::string& agent, Duration latency, bool success,
          Time now) {
  for (int sample = 0; sample < 10; ++sample) detector->Observe(agent, latency, success, now);
}

// A target that fails every request immediately always looks idle and attracts all requests.
TEST(OutlierDetectorTest, EjectsFailingTargetAndReadmitsItAfterProbe) {
  OutlierDetector detector;
  const Time now = Time{} + std::chrono::hours(1);
  Feed(&detector, "t1", kFast, false, now);
  EXPECT_EQ(detector.Filter(Targets(3), now).size(), 2U);
  EXPECT_FALSE(detector.Probe(Targets(3), now));
  const Time later = now + std::chrono::seconds(2);
  EXPECT_EQ(detector.Probe(Targets(3), later), 1U);
  EXPECT_FALSE(detector.Probe(Targets(3), later)) << "only one probe per interval";
  detector.Observe("t1", kFast, true, later);
  EXPECT_EQ(detector.Filter(Targets(3), later).size(), 3U);
}

TEST(OutlierDetectorTest, EjectsSlowTargetUntilProbeIsFast) {
  OutlierDetector detector;
  const Time now = Time{} + std::chrono::hours(1);
  for (const char* agent : {"t0", "t2", "t3"}) Feed(&detector, agent, kFast, true, now);
  Feed(&detector, "t1", kFast * 10, true, now);
  EXPECT_EQ(detector.Filter(Targets(4), now).size(), 3U);
  detector.Observe("t1", kFast * 10, true, now);
  EXPECT_EQ(detector.Filter(Targets(4), now).size(), 3U);
  detector.Observe("t1", kFast, true, now);
  EXPECT_EQ(detector.Filter(Targets(4), now).size(), 4U);
}

// A fault in the entry's own network makes every target look faulty; most must stay in use.
TEST(OutlierDetectorTest, EjectsAtMostOneThird) {
  OutlierDetector detector;
  const Time now = Time{} + std::chrono::hours(1);
  for (const TargetCandidate& target : Targets(6)) Feed(&detector, target.agent, kFast, false, now);
  EXPECT_EQ(detector.Filter(Targets(6), now).size(), 4U);
  EXPECT_EQ(detector.Filter(Targets(1), now).size(), 1U);
}

TEST(RetryBudgetTest, LimitsRetriesToFractionOfFirstAttempts) {
  RetryBudget budget({0.1, 1});
  EXPECT_TRUE(budget.Spend());
  EXPECT_FALSE(budget.Spend());
  for (int request = 0; request < 11; ++request) budget.Earn();
  EXPECT_TRUE(budget.Spend());
  EXPECT_FALSE(budget.Spend());
}

}  // namespace
}  // namespace turmericshift
