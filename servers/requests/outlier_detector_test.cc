#include <gtest/gtest.h>

#include "servers/requests/outlier_detector.h"
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

void Feed(TargetJudge* judge, const std::string& agent, Duration latency, bool well, Time now) {
  for (int sample = 0; sample < 10; ++sample) judge->Observe(agent, latency, well, now);
}

// A target that fails everything at once always looks idle and attracts every request.
TEST(TargetJudgeTest, AFailingTargetIsOutThenProbedThenBack) {
  TargetJudge judge;
  const Time now = Time{} + std::chrono::hours(1);
  Feed(&judge, "t1", kFast, false, now);
  EXPECT_EQ(judge.Filter(Targets(3), now).size(), 2U);
  EXPECT_FALSE(judge.Probe(Targets(3), now));
  const Time later = now + std::chrono::seconds(2);
  EXPECT_EQ(judge.Probe(Targets(3), later), 1U);
  EXPECT_FALSE(judge.Probe(Targets(3), later)) << "one probe at a time";
  judge.Observe("t1", kFast, true, later);
  EXPECT_EQ(judge.Filter(Targets(3), later).size(), 3U);
}

TEST(TargetJudgeTest, ASlowTargetIsOutWhileItsProbesAreSlow) {
  TargetJudge judge;
  const Time now = Time{} + std::chrono::hours(1);
  for (const char* agent : {"t0", "t2", "t3"}) Feed(&judge, agent, kFast, true, now);
  Feed(&judge, "t1", kFast * 10, true, now);
  EXPECT_EQ(judge.Filter(Targets(4), now).size(), 3U);
  judge.Observe("t1", kFast * 10, true, now);
  EXPECT_EQ(judge.Filter(Targets(4), now).size(), 3U);
  judge.Observe("t1", kFast, true, now);
  EXPECT_EQ(judge.Filter(Targets(4), now).size(), 4U);
}

// A fault of the entry's own network makes every target look bad. The cap keeps most in use.
TEST(TargetJudgeTest, AtMostAThirdIsOut) {
  TargetJudge judge;
  const Time now = Time{} + std::chrono::hours(1);
  for (const TargetCandidate& target : Targets(6)) Feed(&judge, target.agent, kFast, false, now);
  EXPECT_EQ(judge.Filter(Targets(6), now).size(), 4U);
  EXPECT_EQ(judge.Filter(Targets(1), now).size(), 1U);
}

TEST(RetryBudgetTest, RetriesAreAShareOfFirstSendings) {
  RetryBudget budget({0.1, 1});
  EXPECT_TRUE(budget.Spend());
  EXPECT_FALSE(budget.Spend());
  for (int request = 0; request < 11; ++request) budget.Earn();
  EXPECT_TRUE(budget.Spend());
  EXPECT_FALSE(budget.Spend());
}

}  // namespace
}  // namespace turmericshift
