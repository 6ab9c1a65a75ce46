#include "servers/membership/standby.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace turmericshift::membership {
namespace {

using std::chrono::milliseconds;

constexpr int kStrong = 600;
constexpr int kWeak = 70;
const Time kNow = Time(std::chrono::hours(1));

// `per_zone` entries in each of five zones, a quarter of them strong.
std::map<std::string, EntryRecord> Fleet(int per_zone) {
  std::map<std::string, EntryRecord> entries;
  for (const char* zone : {"a", "b", "c", "d", "e"}) {
    for (int i = 0; i < per_zone; ++i) {
      const std::string node = std::string(zone) + std::to_string(100 + i);
      entries[node] = {node, zone, node + ":1", i % 4 == 3 ? kStrong : kWeak};
    }
  }
  return entries;
}

size_t CountStandbys(const std::map<std::string, EntryRecord>& entries) {
  return static_cast<size_t>(std::count_if(entries.begin(), entries.end(), [&](const auto& row) {
    return IsStandby(RankInZone(row.second, entries));
  }));
}

// Guards against calls to the store that grow with the product of entries and records.
TEST(Standby, NumberDoesNotGrowWithTheFleet) {
  EXPECT_EQ(CountStandbys(Fleet(40)), 10U);
  EXPECT_EQ(CountStandbys(Fleet(80)), 10U);
}

TEST(Standby, PrefersEntriesThatCanPlanForMoreAgents) {
  for (const EntryRecord& standby : Standbys(Fleet(40))) {
    EXPECT_EQ(standby.planning_capacity, kStrong);
  }
}

// Guards against a pool without standbys after a zone was lost.
TEST(Standby, LeavesSomeInEachZone) {
  std::map<std::string, int> by_zone;
  for (const EntryRecord& standby : Standbys(Fleet(40))) ++by_zone[standby.zone];
  EXPECT_EQ(by_zone.size(), 5U);
  for (const auto& [zone, count] : by_zone) EXPECT_EQ(count, 2);
}

// A small deployment has no entry to spare.
TEST(Standby, AllEntriesOfASmallZoneStandBy) { EXPECT_EQ(CountStandbys(Fleet(2)), 10U); }

// An entry that has not been listed yet ranks among those that are.
TEST(Standby, RanksAnEntryThatIsNotListed) {
  const EntryRecord weak = {"a999", "a", "a999:1", kWeak};
  EXPECT_EQ(RankInZone(weak, Fleet(8)), 8U);
}

// Guards against dozens of claims in the same moment when the standbys are lost together.
TEST(Standby, EntriesClaimInTurn) {
  EXPECT_EQ(ClaimTurn(0), Duration::zero());
  EXPECT_EQ(ClaimTurn(1), Duration::zero());
  EXPECT_GT(ClaimTurn(2), ClaimTurn(1));
  EXPECT_GT(ClaimTurn(4), ClaimTurn(2));
  EXPECT_LE(ClaimTurn(1000), milliseconds(600));
}

// An entry that reads every 2 s sees records that are up to 2 s old. If their age counted as
// silence, it would depose a planner that works.
TEST(Standby, TimeSinceTheLastReadIsNotSilence) {
  EXPECT_FALSE(PlannerSeemsSilent(kNow, kNow + milliseconds(4), milliseconds(1200)));
}

TEST(Standby, AReadWithoutRecordsShowsSilence) {
  EXPECT_TRUE(PlannerSeemsSilent(kNow, kNow - milliseconds(1300), milliseconds(1200)));
}

}  // namespace
}  // namespace turmericshift::membership
