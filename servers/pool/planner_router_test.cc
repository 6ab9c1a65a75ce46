#include "servers/pool/planner_router.h"

#include <gtest/gtest.h>

#include <set>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "servers/pool/local_planner_client.h"

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

// When two zones can't reach each other, an entry in the planner's or the caller's zone can't
// relay.
TEST(RelayCandidates, PrefersEntriesOfThirdZones) {
  const std::vector<EntryRecord> relays = RelayCandidates(kPlanner, Entries(), "c", "agent-c");
  ASSERT_EQ(relays.size(), 6U);
  for (size_t first = 0; first < 3; ++first) EXPECT_EQ(relays[first].zone, "b");
}

TEST(RelayCandidates, ExcludesPlannerAndCaller) {
  for (const EntryRecord& relay : RelayCandidates(kPlanner, Entries(), "b", "b2")) {
    EXPECT_NE(relay.node, "a1");
    EXPECT_NE(relay.node, "b2");
  }
}

// Guards against a single relay that serves all agents of a zone.
TEST(RelayCandidates, SpreadsCallersOverEntries) {
  std::set<std::string> first;
  for (int agent = 0; agent < 40; ++agent) {
    first.insert(
        RelayCandidates(kPlanner, Entries(), "c", "agent-" + std::to_string(agent))[0].node);
  }
  EXPECT_EQ(first.size(), 3U);
}

class UnreachablePlannerConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& /*address*/,
                                         Duration /*limit*/) override {
    ++direct_attempts;
    if (refuses) throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "nobody listens");
    if (direct_path_cut) throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun, "no path");
    return std::make_shared<LocalPlannerClient>(nullptr);
  }
  std::shared_ptr<PlannerClient> ConnectThrough(const std::string& relay,
                                                const PlannerRecord& planner,
                                                Duration /*limit*/) override {
    EXPECT_EQ(planner.epoch, kPlanner.epoch);
    EXPECT_EQ(planner.address, kPlanner.address);
    relays_tried.push_back(relay);
    if (relays_cut) throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "no path either");
    return std::make_shared<LocalPlannerClient>(nullptr);
  }

  bool direct_path_cut = true;
  bool refuses = false;
  bool relays_cut = false;
  int direct_attempts = 0;
  std::vector<std::string> relays_tried;
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
  UnreachablePlannerConnector connector_;
  PlannerRouter router_{"agent", "c", &members_, [this] { return members_.planner().epoch; },
                        &connector_};
};

TEST_F(PlannerRouterTest, ConnectsDirectlyIfPossible) {
  connector_.direct_path_cut = false;
  router_.Connect(kPlanner, milliseconds(700), kNow);
  EXPECT_TRUE(connector_.relays_tried.empty());
}

// Two zones can't reach each other but a third zone reaches both. Without a relay the leases of a
// whole zone expired although a path existed.
TEST_F(PlannerRouterTest, RelaysThroughThirdZoneIfDirectPathTimesOut) {
  router_.Connect(kPlanner, milliseconds(700), kNow);
  ASSERT_EQ(connector_.relays_tried.size(), 1U);
  EXPECT_EQ(connector_.relays_tried[0][0], 'b');
}

// Guards against each new connection, and the callers that need it, first waiting for the time-out
// of the broken direct path.
TEST_F(PlannerRouterTest, RetriesDirectPathOnlyAfterInterval) {
  router_.Connect(kPlanner, milliseconds(700), kNow);
  router_.Connect(kPlanner, milliseconds(700), kNow + std::chrono::seconds(1));
  EXPECT_EQ(connector_.direct_attempts, 1);
  router_.Connect(kPlanner, milliseconds(700), kNow + std::chrono::seconds(10));
  EXPECT_EQ(connector_.direct_attempts, 2);
}

// After the planner's process was killed, 240 agents connected to the other entries at the same
// moment, and through them to the planner when it was back.
TEST_F(PlannerRouterTest, UsesNoRelayIfConnectionIsRefused) {
  connector_.refuses = true;
  EXPECT_THROW(router_.Connect(kPlanner, milliseconds(700), kNow), Error);
  EXPECT_TRUE(connector_.relays_tried.empty());
  connector_.refuses = false;
  connector_.direct_path_cut = false;
  router_.Connect({kPlanner.epoch + 1, "a1", "a1:1"}, milliseconds(700), kNow);
  EXPECT_TRUE(connector_.relays_tried.empty());
}

// Searching for a path to a failed planner delayed the agents' switch to its successor.
TEST_F(PlannerRouterTest, StopsTryingRelaysOnceSuccessorIsKnown) {
  const PlannerRecord successor = {kPlanner.epoch + 1, "b1", "b1:1"};
  log_.Append(kMembersTopic, {{kPlannerKey, EncodePlanner(successor), kNoOffset}}, {},
              std::chrono::seconds(1));
  while (members_.planner().epoch != successor.epoch) std::this_thread::yield();
  EXPECT_THROW(router_.Connect(kPlanner, milliseconds(700), kNow), Error);
  EXPECT_TRUE(connector_.relays_tried.empty());
}

TEST_F(PlannerRouterTest, ThrowsIfNoRelayReachesPlanner) {
  connector_.relays_cut = true;
  EXPECT_THROW(router_.Connect(kPlanner, milliseconds(700), kNow), Error);
  EXPECT_EQ(connector_.relays_tried.size(), 2U);
}

// When a zone is cut off, the agents of another would all read the whole members topic at once.
TEST_F(PlannerRouterTest, UsesRelaysOfThePlannersRecordWithoutTheMembers) {
  MemoryKeyedLog empty;
  MembersView members(&empty, milliseconds(200), std::chrono::hours(1), FirstRead::kOnDemand);
  PlannerRouter router(
      "agent", "c", &members, [] { return kPlanner.epoch; }, &connector_);
  PlannerRecord planner = kPlanner;
  planner.relays = {{"b9", "b", "b9:1", 100}};
  router.Connect(planner, milliseconds(700), kNow);
  EXPECT_EQ(connector_.relays_tried, std::vector<std::string>({"b9:1"}));
  EXPECT_FALSE(members.freshness().requested_at);
}

// Names the planner of epoch 4 at all entries but those that are lost.
class NamingConnector : public PlannerConnector {
 public:
  std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration /*limit*/) override {
    asked.push_back(address);
    if (lost.count(address) > 0) throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "lost");
    return std::make_shared<NamingClient>();
  }

  std::vector<std::string> asked;
  std::set<std::string> lost;

 private:
  class NamingClient : public LocalPlannerClient {
   public:
    NamingClient() : LocalPlannerClient(nullptr) {}
    PlannerRecord KnownPlanner(Duration /*timeout*/) override { return {4, "b9", "b9:1"}; }
  };
};

class PlannerQuestionTest : public PlannerRouterTest {
 protected:
  PlannerRecord Newest() { return router_.Newest(kPlanner, {}); }

  NamingConnector naming_;
  PlannerRouter router_{"c1", "c", &members_, [this] { return members_.planner().epoch; },
                        &naming_};
};

// The store turns this entry away, and the former planner's VM has lost power.
TEST_F(PlannerQuestionTest, LearnsOfThePlannerFromAStandby) {
  router_.AskStandbys(milliseconds(700), kNow);
  EXPECT_EQ(Newest().epoch, 4);
  EXPECT_EQ(naming_.asked.size(), 1U);
}

TEST_F(PlannerQuestionTest, AsksTheNextStandbyWhereOneIsLost) {
  naming_.lost = {"a1:1"};
  router_.AskStandbys(milliseconds(700), kNow);
  EXPECT_EQ(Newest().epoch, 4);
  EXPECT_EQ(naming_.asked, std::vector<std::string>({"a1:1", "a2:1"}));
}

// Each caller that waits would otherwise have all standbys asked.
TEST_F(PlannerQuestionTest, AsksNotMoreOftenThanEachInterval) {
  naming_.lost = {"a1:1", "a2:1", "b1:1", "b2:1", "c2:1"};
  for (int call = 0; call < 10; ++call) router_.AskStandbys(milliseconds(700), kNow);
  EXPECT_EQ(naming_.asked.size(), 2U);
  router_.AskStandbys(milliseconds(700), kNow + std::chrono::seconds(1));
  EXPECT_EQ(naming_.asked.size(), 4U);
}

}  // namespace
}  // namespace turmericshift::pool
