#include "servers/membership/removal_delay.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace turmericshift::membership {
namespace {

// Agents with equal delays at every attempt are refused at every attempt. One of 16 that left
// together stayed listed, and the next planner waited 4.6 s for it.
TEST(RemovalDelay, NoTwoAgentsHaveTheSameDelaysThroughout) {
  constexpr int kAgents = 400;
  std::set<std::vector<Duration>> sequences;
  for (int agent = 0; agent < kAgents; ++agent) {
    std::vector<Duration> delays;
    for (int attempt = 1; attempt < kRemovalAttempts; ++attempt) {
      delays.push_back(RemovalDelay("agent-" + std::to_string(agent), attempt));
    }
    sequences.insert(delays);
  }
  EXPECT_EQ(sequences.size(), static_cast<size_t>(kAgents));
}

// The VM of an agent goes about a second after its worker.
TEST(RemovalDelay, AttemptsTakeAboutASecond) {
  Duration sum{};
  constexpr int kAgents = 100;
  for (int agent = 0; agent < kAgents; ++agent) {
    for (int attempt = 1; attempt < kRemovalAttempts; ++attempt) {
      sum += RemovalDelay("agent-" + std::to_string(agent), attempt);
    }
  }
  EXPECT_LT(sum / kAgents, std::chrono::seconds(1));
}

}  // namespace
}  // namespace turmericshift::membership
