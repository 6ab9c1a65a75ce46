#include "servers/shares/workspace_shares.h"

#include <gtest/gtest.h>

#include "core/error.h"

namespace turmericshift::shares {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time kStart = Time(std::chrono::hours(1));
constexpr size_t kManyBytes = 48 * 1024;
const PoolCapacity kPool = {{100'000, 1'000, 100}, 900};

using Uses = std::map<std::string, WorkspaceUse>;

WorkspaceUse Working(int64_t accelerators, int64_t guaranteed = 0) {
  return {{accelerators * 1'000, 0, accelerators}, guaranteed, true};
}

// Records the same use each 100 ms for `time`; returns the time afterwards.
Time RecordFor(WorkspaceShares* shares, const Uses& uses, Time begin, Duration time) {
  Time now = begin;
  for (; now < begin + time; now += milliseconds(100)) shares->RecordUse(uses, kPool, now);
  shares->RecordUse(uses, kPool, now);
  return now;
}

// Use must count for as long as other callers feel it, and be forgotten afterwards.
TEST(WorkspaceShares, UseDecaysWithAHalfLifeOfTenSeconds) {
  const auto shares = MakeDecayingShares();
  const Uses uses = {{"a", Working(100)}, {"b", Working(0)}};
  const Time filled = RecordFor(shares.get(), uses, kStart, seconds(10));
  EXPECT_NEAR(shares->Overuse("a", filled), 0.5 / 0.5, 0.01);
  const Uses after = {{"a", Working(0)}, {"b", Working(0)}};
  shares->RecordUse(after, kPool, filled);
  EXPECT_NEAR(shares->Overuse("a", filled + seconds(10)), 0.25 / 0.5, 0.01);
  EXPECT_EQ(shares->Overuse("b", filled), 0);
}

// The result must not depend on how often the planner plans.
TEST(WorkspaceShares, RareRoundsGiveTheSameUse) {
  const auto often = MakeDecayingShares();
  const auto rarely = MakeDecayingShares();
  const Uses uses = {{"a", Working(60)}, {"b", Working(10)}};
  const Time end = RecordFor(often.get(), uses, kStart, seconds(8));
  rarely->RecordUse(uses, kPool, kStart);
  rarely->RecordUse(uses, kPool, end);
  EXPECT_NEAR(often->Overuse("a", end), rarely->Overuse("a", end), 1e-6);
}

// A planner that can't plan for a minute, because the store does not answer, does not know that the
// runs have ended meanwhile.
TEST(WorkspaceShares, DoesNotAssumeThatUseGoesOnWithoutRounds) {
  const auto shares = MakeDecayingShares();
  shares->RecordUse({{"a", Working(100)}}, kPool, kStart);
  EXPECT_NEAR(shares->Overuse("a", kStart + seconds(10)), 0.5, 0.01);
  EXPECT_LT(shares->Overuse("a", kStart + seconds(70)), 0.01);
}

// Tasks that need little but memory would otherwise use the whole pool without counting.
TEST(WorkspaceShares, CountsTheDominantResource) {
  const auto shares = MakeDecayingShares();
  WorkspaceUse memory = Working(10);
  memory.in_use.memory_mib = 800;
  const Time now = RecordFor(shares.get(), {{"a", memory}, {"b", Working(10)}}, kStart, minutes(2));
  EXPECT_NEAR(shares->Overuse("a", now), 0.8 / 0.5, 0.01);
  EXPECT_NEAR(shares->Overuse("b", now), 0.1 / 0.5, 0.01);
}

// A workspace that pays for a guarantee must not be held back for using it.
TEST(WorkspaceShares, WeightsFairSharesByGuarantee) {
  const auto shares = MakeDecayingShares();
  const Uses uses = {
      {"guaranteed", Working(60, 60)}, {"b", Working(20)}, {"c", Working(20)}, {"d", Working(0)}};
  const Time now = RecordFor(shares.get(), uses, kStart, minutes(2));
  EXPECT_NEAR(shares->Overuse("guaranteed", now), 0.6 / (0.6 + 0.1), 0.01);
  EXPECT_NEAR(shares->Overuse("b", now), 0.2 / 0.1, 0.01);
}

// When workers are lost, guarantees may exceed the capacity. A fair share of 0 would divide by 0.
TEST(WorkspaceShares, LeavesAShareBesideGuaranteesOfTheWholePool) {
  const auto shares = MakeDecayingShares();
  const Uses uses = {{"a", Working(50, 90)}, {"b", Working(50, 90)}, {"c", Working(5)}};
  const Time now = RecordFor(shares.get(), uses, kStart, minutes(2));
  EXPECT_NEAR(shares->Overuse("a", now), 0.5 / (0.45 + 0.1 / 3), 0.01);
  EXPECT_NEAR(shares->Overuse("c", now), 0.05 / (0.1 / 3), 0.01);
}

// Workspaces without work would otherwise keep the only one with work from what nobody else wants.
TEST(WorkspaceShares, CountsOnlyWorkspacesThatHadWorkRecently) {
  const auto shares = MakeDecayingShares();
  Uses uses = {{"a", Working(100)}};
  for (const char* idle : {"b", "c", "d", "e"}) uses[idle] = {};
  Time now = RecordFor(shares.get(), uses, kStart, minutes(2));
  EXPECT_EQ(shares->Level("a", now), 0);
  EXPECT_NEAR(shares->Overuse("a", now), 1, 0.01);
  for (const char* other : {"b", "c", "d", "e"}) uses[other] = Working(0);
  shares->RecordUse(uses, kPool, now);
  EXPECT_NEAR(shares->Overuse("a", now), 5, 0.01);
  // Between two short jobs of the others the fair share stays the same.
  for (const char* other : {"b", "c", "d", "e"}) uses[other] = {};
  now = RecordFor(shares.get(), uses, now, seconds(5));
  EXPECT_NEAR(shares->Overuse("a", now), 5, 0.01);
  now = RecordFor(shares.get(), uses, now, seconds(6));
  EXPECT_NEAR(shares->Overuse("a", now), 1, 0.01);
}

// Workspaces up to twice their share must be ordered as before, and none be held back without end.
TEST(WorkspaceShares, LevelsBeginAtTwiceTheShareAndEndAtThree) {
  EXPECT_EQ(OveruseLevel(0), 0);
  EXPECT_EQ(OveruseLevel(1.99), 0);
  EXPECT_EQ(OveruseLevel(2), 1);
  EXPECT_EQ(OveruseLevel(3.99), 1);
  EXPECT_EQ(OveruseLevel(4), 2);
  EXPECT_EQ(OveruseLevel(7.99), 2);
  EXPECT_EQ(OveruseLevel(8), 3);
  EXPECT_EQ(OveruseLevel(1e9), 3);
}

// A level that wavers about its bound in each of ten rounds a second would flood the log.
TEST(WorkspaceShares, ReportsChangesOfLevelAtMostOnceASecond) {
  const auto shares = MakeDecayingShares();
  Uses uses = {{"a", Working(100)}};
  for (const char* other : {"b", "c", "d", "e"}) uses[other] = Working(0);
  std::vector<LevelChange> changes;
  for (Time now = kStart; now < kStart + seconds(40); now += milliseconds(100)) {
    for (const LevelChange& change : shares->RecordUse(uses, kPool, now)) changes.push_back(change);
  }
  // 40 % of the pool after 7.4 s and 80 % after 23 s.
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_EQ(changes[0].workspace, "a");
  EXPECT_EQ(changes[0].former_level, 0);
  EXPECT_EQ(changes[0].level, 1);
  EXPECT_NEAR(changes[0].fair_share, 0.2, 1e-9);
  EXPECT_EQ(changes[1].former_level, 1);
  EXPECT_EQ(changes[1].level, 2);
  const Time end = kStart + seconds(40);
  EXPECT_EQ(shares->summary(end).over_share, 1);
  EXPECT_NEAR(shares->summary(end).max_overuse, shares->Overuse("a", end), 1e-9);
}

// Without a limit, an urgent unit could no longer preempt the only workspace that can be preempted.
TEST(WorkspaceShares, PreemptionWeightRisesWithLossesUpToALimitAndDecays) {
  const auto shares = MakeDecayingShares();
  shares->RecordUse({{"a", Working(10)}, {"b", Working(10)}}, kPool, kStart);
  EXPECT_EQ(shares->PreemptionWeight("a", kStart), 1);
  // The work of the fair share in a second.
  shares->RecordPreempted("a", 450, kStart);
  EXPECT_NEAR(shares->PreemptionWeight("a", kStart), 2, 1e-9);
  EXPECT_EQ(shares->PreemptionWeight("b", kStart), 1);
  EXPECT_NEAR(shares->PreemptionWeight("a", kStart + seconds(20)), 1 + 2.0 / 3, 1e-9);
  shares->RecordPreempted("a", 1e9, kStart);
  EXPECT_LE(shares->PreemptionWeight("a", kStart), 3);
  EXPECT_LT(shares->PreemptionWeight("a", kStart + minutes(20)), 1.01);
}

// The weight also makes preemption less likely. That must not change how a workspace alone in the
// pool is served: there is no other one that could lose work instead.
TEST(WorkspaceShares, AWorkspaceAloneInThePoolHasWeightOne) {
  const auto shares = MakeDecayingShares();
  shares->RecordUse({{"a", Working(50)}, {"idle", {}}}, kPool, kStart);
  shares->RecordPreempted("a", 1000, kStart);
  EXPECT_EQ(shares->PreemptionWeight("a", kStart), 1);
  shares->RecordUse({{"a", Working(50)}, {"idle", Working(1)}}, kPool, kStart);
  EXPECT_GT(shares->PreemptionWeight("a", kStart), 1);
}

// Workspaces come and go over months, and each would otherwise leave its state behind.
TEST(WorkspaceShares, DropsTheStateOfAWorkspaceThatIsNoLongerPassedIn) {
  const auto shares = MakeDecayingShares();
  const Uses both = {{"a", Working(50)}, {"removed", Working(50)}};
  const Time now = RecordFor(shares.get(), both, kStart, seconds(20));
  shares->RecordPreempted("removed", 1000, now);
  shares->RecordUse({{"a", Working(50)}}, kPool, now);
  EXPECT_EQ(shares->Overuse("removed", now), 0);
  EXPECT_EQ(shares->PreemptionWeight("removed", now), 1);
  // Late results of a preemption must not bring the state back.
  shares->RecordPreempted("removed", 1000, now);
  EXPECT_EQ(shares->PreemptionWeight("removed", now), 1);
  EXPECT_FALSE(shares->Save(kManyBytes, now)["workspaces"].contains("removed"));
}

// A planner that has just taken over knows no worker yet.
TEST(WorkspaceShares, APoolWithoutCapacityHasNoUse) {
  const auto shares = MakeDecayingShares();
  shares->RecordUse({{"a", Working(5, 5)}, {"b", Working(0)}}, {}, kStart);
  EXPECT_EQ(shares->Overuse("a", kStart + seconds(5)), 0);
  EXPECT_EQ(shares->PreemptionWeight("a", kStart), 1);
}

// A clock that goes back must not make use grow or turn negative.
TEST(WorkspaceShares, StandsATimeThatGoesBack) {
  const auto shares = MakeDecayingShares();
  const Uses uses = {{"a", Working(50)}, {"b", Working(10)}};
  const Time now = RecordFor(shares.get(), uses, kStart, seconds(20));
  const double before = shares->Overuse("a", now);
  shares->RecordUse(uses, kPool, now - seconds(10));
  EXPECT_NEAR(shares->Overuse("a", now - seconds(10)), before, 1e-9);
  EXPECT_NO_THROW(MakeDecayingShares()->Load(shares->Save(kManyBytes, kStart), seconds(-1), now));
}

// After a change of planner the backlog of one workspace would again go before all others' jobs.
TEST(WorkspaceShares, ASuccessorLoadsUseAndLosses) {
  const auto shares = MakeDecayingShares();
  Uses uses = {{"a", Working(90)}};
  for (const char* other : {"b", "c", "d", "e"}) uses[other] = Working(1);
  const Time saved = RecordFor(shares.get(), uses, kStart, seconds(30));
  shares->RecordPreempted("b", 180, saved);
  const auto successor = MakeDecayingShares();
  EXPECT_EQ(successor->name(), shares->name());
  successor->Load(shares->Save(kManyBytes, saved), seconds(2), saved + seconds(2));
  successor->RecordUse(uses, kPool, saved + seconds(2));
  const double decayed = 0.87;
  EXPECT_NEAR(successor->Overuse("a", saved + seconds(2)), shares->Overuse("a", saved) * decayed,
              0.05);
  EXPECT_NEAR(successor->PreemptionWeight("b", saved + seconds(2)),
              shares->PreemptionWeight("b", saved + seconds(2)), 0.01);
}

// The record of many workspaces must not outgrow the limit of the store.
TEST(WorkspaceShares, SavesTheLargestUsersWithinTheLimit) {
  const auto shares = MakeDecayingShares();
  Uses uses;
  for (int i = 0; i < 100; ++i) uses["workspace-" + std::to_string(i)] = Working(i);
  const Time now = RecordFor(shares.get(), uses, kStart, seconds(5));
  const nlohmann::json saved = shares->Save(1024, now);
  EXPECT_LE(saved.dump().size(), 1024U);
  EXPECT_GT(saved["workspaces"].size(), 15U);
  EXPECT_TRUE(saved["workspaces"].contains("workspace-99"));
  EXPECT_FALSE(saved["workspaces"].contains("workspace-0"));
}

// A damaged record must not stop a planner from taking over, nor leave half of its content behind.
TEST(WorkspaceShares, RefusesMalformedDataAndKeepsItsState) {
  const auto shares = MakeDecayingShares();
  const Time now =
      RecordFor(shares.get(), {{"a", Working(50)}, {"b", Working(1)}}, kStart, seconds(20));
  const nlohmann::json before = shares->Save(kManyBytes, now);
  for (const char* text :
       {"null", "[]", "{}", R"({"workspaces":[]})", R"({"workspaces":{"x":{}}})",
        R"({"workspaces":{"x":[1,1,1,1]}})", R"({"workspaces":{"x":[1,1,1,1,1,1]}})",
        R"({"workspaces":{"x":[1001,0,0,0,0]}})", R"({"workspaces":{"x":[0,-1,0,0,0]}})",
        R"({"workspaces":{"x":[0,0,"1",0,0]}})", R"({"workspaces":{"x":[0,0,true,0,0]}})",
        R"({"workspaces":{"x":[0,0,0,-5,0]}})", R"({"workspaces":{"x":[0,0,0,1e300,0]}})",
        R"({"workspaces":{"x":[0,0,0,0,-1]}})", R"({"workspaces":{"x":[0,0,0,0,1.5]}})",
        R"({"workspaces":{"x":[0,0,0,null,0]}})",
        R"({"workspaces":{"ok":[0,0,0,0,0],"x":[0,0,0,0]}})"}) {
    try {
      shares->Load(nlohmann::json::parse(text), seconds(1), now);
      ADD_FAILURE() << text;
    } catch (const Error& error) {
      EXPECT_EQ(error.kind(), ErrorKind::kInvalidInput) << text;
    }
    EXPECT_EQ(shares->Save(kManyBytes, now), before) << text;
  }
  EXPECT_NO_THROW(
      shares->Load(nlohmann::json::parse(R"({"workspaces":{"x":[0,0,0,0,18446744073709551615]}})"),
                   seconds(1), now));
}

// A pool whose planner has the mechanism switched off.
TEST(WorkspaceShares, EqualSharesHaveNoLevels) {
  const auto shares = MakeEqualShares();
  RecordFor(shares.get(), {{"a", Working(100)}, {"b", Working(0)}, {"c", Working(0)}}, kStart,
            minutes(1));
  shares->RecordPreempted("a", 1000, kStart + minutes(1));
  EXPECT_EQ(shares->Level("a", kStart + minutes(1)), 0);
  EXPECT_EQ(shares->PreemptionWeight("a", kStart + minutes(1)), 1);
  EXPECT_EQ(shares->summary(kStart + minutes(1)).over_share, 0);
}

}  // namespace
}  // namespace turmericshift::shares
