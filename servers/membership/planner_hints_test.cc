#include "servers/membership/planner_hints.h"

#include <gtest/gtest.h>

namespace turmericshift::membership {
namespace {

const Time kNow = Time(std::chrono::hours(1));
constexpr Duration kSecond = std::chrono::seconds(1);
const PlannerRecord kOld = {3, "a", "a:1"};
const PlannerRecord kNew = {4, "b", "b:1"};

// Guards against callers that wait at a replaced planner while the store turns their entry away.
TEST(PlannerHints, NamedPlannerGoesBeforeAnOlderRecord) {
  PlannerHints hints;
  EXPECT_TRUE(hints.Learn(kNew, kNow));
  EXPECT_EQ(hints.Newest(kOld, kNow - kSecond).epoch, 4);
  EXPECT_EQ(hints.Newest(kOld, {}).address, "b:1");
}

// The former planner names itself, or a planner that has been replaced since.
TEST(PlannerHints, IgnoresAnOldName) {
  PlannerHints hints;
  hints.Learn(kNew, kNow);
  EXPECT_FALSE(hints.Learn(kOld, kNow));
  EXPECT_FALSE(hints.Learn(kNew, kNow));
  EXPECT_EQ(hints.Newest(kOld, kNow - kSecond).epoch, 4);
}

// Two entries that name each other's planner in turn must not keep callers busy.
TEST(PlannerHints, NamesInACircleAreLearnedOnce) {
  PlannerHints hints;
  int learned = 0;
  for (int round = 0; round < 10; ++round) {
    learned += hints.Learn(kOld, kNow) ? 1 : 0;
    learned += hints.Learn(kNew, kNow) ? 1 : 0;
  }
  EXPECT_EQ(learned, 2);
}

// A planner that has released the leadership, or none.
TEST(PlannerHints, IgnoresAPlannerWithoutAddress) {
  PlannerHints hints;
  EXPECT_FALSE(hints.Learn({9, "b", ""}, kNow));
  EXPECT_FALSE(hints.Learn({}, kNow));
  EXPECT_EQ(hints.Newest(kOld, kNow).epoch, 3);
}

// Guards against a wrong name that would keep callers from the planner for good.
TEST(PlannerHints, DropsANameThatALaterReadDoesNotShow) {
  PlannerHints hints;
  hints.Learn({99, "nobody", "nobody:1"}, kNow);
  EXPECT_EQ(hints.Newest(kOld, kNow).epoch, 99);
  EXPECT_EQ(hints.Newest(kOld, kNow + kSecond).epoch, 3);
  EXPECT_TRUE(hints.Learn(kNew, kNow + 2 * kSecond));
}

TEST(PlannerHints, ANewerRecordGoesBeforeTheName) {
  PlannerHints hints;
  hints.Learn(kNew, kNow);
  EXPECT_EQ(hints.Newest({5, "c", "c:1"}, kNow - kSecond).address, "c:1");
}

}  // namespace
}  // namespace turmericshift::membership
