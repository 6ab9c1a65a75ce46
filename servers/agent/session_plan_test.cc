#include "servers/agent/session_plan.h"

#include <gtest/gtest.h>

#include <set>

namespace turmericshift {
namespace {

using std::chrono::seconds;

std::vector<EntryMember> Members(int per_zone) {
  std::vector<EntryMember> members;
  for (const std::string zone : {"a", "b", "c"}) {
    for (int index = 0; index < per_zone; ++index) {
      const std::string name = zone + std::to_string(index);
      members.push_back({name, zone, name + ":1"});
    }
  }
  return members;
}

class SessionPlanTest : public testing::Test {
 protected:
  // Opens sessions until the plan selects no more addresses. Returns the addresses of the opened
  // sessions.
  std::set<std::string> OpenAll(SessionPlan* plan) {
    std::set<std::string> open;
    for (std::string next = plan->Choose(now_); !next.empty(); next = plan->Choose(now_)) {
      plan->MarkOpened(next);
      open.insert(next);
      for (auto each = open.begin(); each != open.end();) {
        const bool wanted = plan->ShouldKeep(*each);
        if (!wanted) plan->MarkReleased(*each);
        each = wanted ? std::next(each) : open.erase(each);
      }
    }
    return open;
  }

  Time now_ = Time{} + std::chrono::hours(1);
};

// If all of an agent's sessions were to entries in one zone, the loss of that zone would disconnect
// the agent, which may then start no more work.
TEST_F(SessionPlanTest, SessionsAreSpreadOverZones) {
  SessionPlan plan("b", 3, {"a0:1", "a1:1", "a2:1"}, 7);
  EXPECT_EQ(OpenAll(&plan).size(), 3U);
  plan.UpdateEntries(Members(3), "");
  std::set<char> zones;
  for (const std::string& address : OpenAll(&plan)) zones.insert(address[0]);
  plan.UpdateEntries(Members(3), "");
  SessionPlan new_plan("b", 3, {}, 8);
  new_plan.UpdateEntries(Members(3), "");
  zones.clear();
  for (const std::string& address : OpenAll(&new_plan)) zones.insert(address[0]);
  EXPECT_EQ(zones.size(), 3U);
}

// The zone's planner moves to another entry. The agent must connect to it without closing a session
// before the new one is connected.
TEST_F(SessionPlanTest, PlannerAlwaysHasASession) {
  SessionPlan plan("b", 3, {}, 9);
  plan.UpdateEntries(Members(2), "");
  const std::set<std::string> before = OpenAll(&plan);
  ASSERT_EQ(before.size(), 3U);
  std::string planner;
  for (const EntryMember& member : Members(2)) {
    if (before.count(member.address) == 0) planner = member.address;
  }
  plan.UpdateEntries(Members(2), planner);
  EXPECT_EQ(plan.Choose(now_), planner);
  for (const std::string& address : before) EXPECT_TRUE(plan.ShouldKeep(address));
  plan.MarkOpened(planner);
  EXPECT_TRUE(plan.ShouldKeep(planner));
  EXPECT_EQ(std::count_if(before.begin(), before.end(),
                          [&](const auto& each) { return plan.ShouldKeep(each); }),
            2);
}

// An entry returns after an outage and all agents reconnect to it. They must not do so at the same
// time.
TEST_F(SessionPlanTest, AgentsReconnectSpreadOut) {
  std::set<int64_t> moments;
  constexpr int kAgents = 200;
  for (int agent = 0; agent < kAgents; ++agent) {
    SessionPlan plan("a", 3, {"a0:1"}, static_cast<uint64_t>(agent) + 1);
    for (int failures = 0; failures < 8; ++failures) {
      Time now = now_ + seconds(10 * failures);
      ASSERT_EQ(plan.Choose(now), "a0:1");
      plan.MarkLost("a0:1", now);
    }
    Time now = now_ + seconds(70);
    EXPECT_EQ(plan.Choose(now + seconds(1)), "");
    int64_t hundredths = 100;
    while (plan.Choose(now + std::chrono::milliseconds(10 * hundredths)).empty()) ++hundredths;
    EXPECT_LE(hundredths, 500);
    moments.insert(hundredths / 10);
  }
  // The reconnects spread over about four seconds, counted in steps of 0.1 s.
  EXPECT_GT(moments.size(), 30U);
}

TEST_F(SessionPlanTest, RemovedEntriesAreForgotten) {
  SessionPlan plan("a", 3, {"a0:1"}, 3);
  plan.UpdateEntries(Members(1), "");
  EXPECT_EQ(plan.addresses().size(), 3U);
  plan.UpdateEntries({{"a0", "a", "a0:1"}}, "");
  EXPECT_EQ(plan.addresses().size(), 1U);
  EXPECT_EQ(plan.members_digest(), DigestMembers({{"a0", "a", "a0:1"}}));
}

}  // namespace
}  // namespace turmericshift
