#include "servers/entry/peer_view.h"

#include <gtest/gtest.h>

namespace turmericshift {
namespace {

using std::chrono::seconds;

AgentHeartbeat HeartbeatAbout(const std::string& process, const std::string& address, Duration age,
                              int64_t version) {
  AgentHeartbeat beat;
  beat.config_version = version;
  beat.observed.push_back({{process, "a", address}, version, age});
  return beat;
}

// While the log is down, a replaced entry can't record itself as a member, and its new address
// spreads through agents. An older report from a slow agent must not undo the newer one.
TEST(PeerViewTest, KeepsNewestReportOfAnEntry) {
  PeerView peers;
  const Time now = Time{} + std::chrono::hours(1);
  peers.RecordHeartbeat(HeartbeatAbout("entry-1", "10.0.0.2:1", seconds(1), 3), now);
  peers.RecordHeartbeat(HeartbeatAbout("entry-1", "10.0.0.1:1", seconds(20), 2), now);
  const std::vector<PeerState> recent = peers.RecentlySeen(now, seconds(5));
  ASSERT_EQ(recent.size(), 1U);
  EXPECT_EQ(recent[0].entry.address, "10.0.0.2:1");
  EXPECT_EQ(recent[0].config_version, 3);
  EXPECT_EQ(peers.highest_version(), 3);
  EXPECT_TRUE(peers.RecentlySeen(now + seconds(10), seconds(5)).empty());
}

// An agent that reports entries that don't exist must not fill this process's memory.
TEST(PeerViewTest, LimitsNumberOfPeers) {
  PeerView peers;
  const Time now = Time{} + std::chrono::hours(1);
  constexpr int kMany = 1000;
  for (int index = 0; index < kMany; ++index) {
    peers.RecordHeartbeat(HeartbeatAbout("entry-" + std::to_string(index), "10.0.0.1:1", {}, 1),
                          now);
  }
  EXPECT_LE(peers.RecentlySeen(now, seconds(5)).size(), 256U);
}

}  // namespace
}  // namespace turmericshift
