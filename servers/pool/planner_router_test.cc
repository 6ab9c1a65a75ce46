#include <gtest/gtest.h>

#include <set>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "servers/pool/local_planner_client.h"
#include "servers/pool/planner_router.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

const PlannerRecord kPlanner = {3, "a1", "a1:1"};
const Time kNow = Time(std::chrono::hours(1));

std::map<std::string, EntryRecord> Entries() {
  std::map<std::string, EntryRecord> entries;
  for (const char* node : {"a1", "a2", "b1", "b2", "b3", "c1", "c2"}) {
    entries[node] = {node, std::string(1, node[0]), std::string(node) + ":1", 100};
  }
  return entries;
}

// Two zones can't reach each other: neither an entry beside the planner nor one beside the caller
// is of any use.
TEST(RelayCandidates, TriesEntriesOfThirdZonesFirst) {
  const std::vector<EntryRecord> relays = RelayCandidates(kPlanner, Entries(), "c", "agent-c");
  ASSERT_EQ(relays.size(), 6U);
  for (size_t first = 0; first < 3; ++first) EXPECT_EQ(relays[first].zone, "b");
}

TEST(RelayCandidates, LeavesOutThePlannerAndTheCallerItself) {
  for (const EntryRecord& relay : RelayCandidates(kPlanner, Entries(), "b", "b2")) {
    EXPECT_NE(relay.node, "a1");
    EXPECT_NE(relay.node, "b2");
  }
}

// A whole zone's agents would otherwise all come to one entry.
TEST(RelayCandidates, SpreadsCallersOverTheEntries) {
  std::set<std::string> first;
  for (int agent = 0; agent < 40; ++agent) {
    first.insert(
        RelayCandidates(kPlanner, Entries(), "c", "agent-" + std::to_string(agent))[0].node);
  }
  EXPECT_EQ(first.size(), 3U);
}

class FarPlanner : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& /*address*/,
                                         Duration /*limit*/) override {
    ++straight;
    if (refuses) throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "nobody listens");
    if (cut) throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun, "no path");
    return std::make_shared<LocalPlannerClient>(nullptr);
  }
  std::shared_ptr<PlannerClient> ConnectThrough(const std::string& relay, int64_t epoch,
                                                Duration /*limit*/) override {
    EXPECT_EQ(epoch, kPlanner.epoch);
    through.push_back(relay);
    if (relays_cut) throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "no path either");
    return std::make_shared<LocalPlannerClient>(nullptr);
  }

  bool cut = true;
  bool refuses = false;
  bool relays_cut = false;
  int straight = 0;
  std::vector<std::string> through;
};

class PlannerRouterTest : public testing::Test {
 protected:
  PlannerRouterTest() {
    for (const auto& [node, entry] : Entries()) {
      log_.Append(kMembersTopic, {{kEntryPrefix + node, EncodeEntry(entry), kNoOffset}}, {},
                  std::chrono::seconds(1));
    }
    while (members_.entries().size() < Entries().size()) std::this_thread::yield();
  }

  MemoryKeyedLog log_;
  MembersView members_{&log_, milliseconds(200)};
  FarPlanner connector_;
  PlannerRouter reach_{"agent", "c", &members_, &connector_};
};

TEST_F(PlannerRouterTest, GoesStraightWhereItCan) {
  connector_.cut = false;
  reach_.Connect(kPlanner, milliseconds(700), kNow);
  EXPECT_TRUE(connector_.through.empty());
}

// Two zones were cut off from each other and a third reached both: the leases of a whole zone ran
// out although there was a path.
TEST_F(PlannerRouterTest, GoesThroughAThirdZoneWhereTheStraightWayIsCut) {
  reach_.Connect(kPlanner, milliseconds(700), kNow);
  ASSERT_EQ(connector_.through.size(), 1U);
  EXPECT_EQ(connector_.through[0][0], 'b');
}

// Each new connection would wait for the dead path first, and callers with it.
TEST_F(PlannerRouterTest, TriesTheCutWayAgainOnlyAfterAWhile) {
  reach_.Connect(kPlanner, milliseconds(700), kNow);
  reach_.Connect(kPlanner, milliseconds(700), kNow + std::chrono::seconds(1));
  EXPECT_EQ(connector_.straight, 1);
  reach_.Connect(kPlanner, milliseconds(700), kNow + std::chrono::seconds(10));
  EXPECT_EQ(connector_.straight, 2);
}

// The planner's process was killed: 240 agents came to the other entries at once, and to the
// planner through these once it was back.
TEST_F(PlannerRouterTest, AsksNobodyWhereThePlannersVmRefuses) {
  connector_.refuses = true;
  EXPECT_THROW(reach_.Connect(kPlanner, milliseconds(700), kNow), Error);
  EXPECT_TRUE(connector_.through.empty());
  connector_.refuses = false;
  connector_.cut = false;
  reach_.Connect({kPlanner.epoch + 1, "a1", "a1:1"}, milliseconds(700), kNow);
  EXPECT_TRUE(connector_.through.empty());
}

// Looking for a way to a planner that is gone kept agents from its successor.
TEST_F(PlannerRouterTest, LooksNoFurtherOnceThePlannerHasBeenFollowed) {
  const PlannerRecord successor = {kPlanner.epoch + 1, "b1", "b1:1"};
  log_.Append(kMembersTopic, {{kPlannerKey, EncodePlanner(successor), kNoOffset}}, {},
              std::chrono::seconds(1));
  while (members_.planner().epoch != successor.epoch) std::this_thread::yield();
  EXPECT_THROW(reach_.Connect(kPlanner, milliseconds(700), kNow), Error);
  EXPECT_TRUE(connector_.through.empty());
}

TEST_F(PlannerRouterTest, SaysSoWhenNobodyReachesThePlanner) {
  connector_.relays_cut = true;
  EXPECT_THROW(reach_.Connect(kPlanner, milliseconds(700), kNow), Error);
  EXPECT_EQ(connector_.through.size(), 2U);
}

}  // namespace
}  // namespace turmericshift::pool
