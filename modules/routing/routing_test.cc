#include <gtest/gtest.h>

#include "modules/routing/baselines.h"
#include "modules/routing/register_types.h"
#include "modules/routing/two_choices.h"

namespace turmericshift {
namespace {

constexpr int kRounds = 210;

std::vector<TargetCandidate> Targets() {
  return {{"a", "near", {0, 0, 8}, 0}, {"b", "near", {0, 0, 8}, 0}, {"c", "far", {0, 0, 8}, 0}};
}

int TimesChosen(RoutingPolicy* policy, const std::vector<TargetCandidate>& targets, size_t index) {
  int times = 0;
  for (int round = 0; round < kRounds; ++round) {
    if (policy->Choose(targets, "near", Time{}) == index) ++times;
  }
  return times;
}

TEST(RoutingTest, EveryPolicyIsRegistered) {
  RegisterRoutingTypes();
  const std::vector<std::string> expected = {"least_loaded", "round_robin", "two_choices"};
  EXPECT_EQ(RoutingPolicyRegistry::Instance().names(), expected);
}

TEST(RoutingTest, TwoChoicesPrefersItsOwnZoneUnlessItIsSlower) {
  TwoChoices policy(1);
  for (const char* agent : {"a", "b", "c"}) {
    policy.Observe(agent, std::chrono::milliseconds(10), true, Time{});
  }
  EXPECT_EQ(TimesChosen(&policy, Targets(), 2), 0);
  std::vector<TargetCandidate> busy = Targets();
  busy[0].outstanding = 16;
  busy[1].outstanding = 16;
  EXPECT_EQ(TimesChosen(&policy, busy, 2), kRounds);
}

// One target is ten times slower than its neighbour but no busier; a policy that looks only at load
// would keep using it.
TEST(RoutingTest, TwoChoicesAvoidsASlowTarget) {
  TwoChoices policy(1);
  policy.Observe("a", std::chrono::milliseconds(100), true, Time{});
  policy.Observe("b", std::chrono::milliseconds(10), true, Time{});
  policy.Observe("c", std::chrono::milliseconds(10), true, Time{});
  EXPECT_LT(TimesChosen(&policy, Targets(), 0), kRounds / 10);
}

TEST(RoutingTest, RoundRobinAndLeastLoadedChooseAsNamed) {
  RoundRobin turns;
  EXPECT_EQ(TimesChosen(&turns, Targets(), 1), kRounds / 3);
  LeastLoaded least;
  std::vector<TargetCandidate> targets = Targets();
  targets[0].load.running = 3;
  targets[1].outstanding = 2;
  EXPECT_EQ(least.Choose(targets, "near", Time{}), 2U);
}

}  // namespace
}  // namespace turmericshift
