#include "servers/state/replicated_requests.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace turmericshift {
namespace {

constexpr int64_t kNow = 1'700'000'000'000;

RequestClaimed Claim(const std::string& key, int attempt, int64_t wall_ms = kNow) {
  RequestClaimed claim;
  claim.id = key + "-claim-" + std::to_string(attempt);
  claim.workspace = "w";
  claim.key = key;
  claim.attempt = attempt;
  claim.wall_ms = wall_ms;
  return claim;
}

RequestEnded End(const std::string& key, int attempt, int status) {
  RequestEnded ended;
  ended.workspace = "w";
  ended.key = key;
  ended.attempt = attempt;
  ended.status = status;
  ended.body = "answer";
  return ended;
}

TEST(ReplicatedRequestsTest, FirstClaimOfAnAttemptOwnsTheKey) {
  ReplicatedRequests requests;
  EXPECT_TRUE(requests.Apply(Claim("k", 1), 1).accepted);
  EXPECT_FALSE(requests.Apply(Claim("k", 1), 2).accepted);
  EXPECT_TRUE(requests.Apply(Claim("k", 2), 3).accepted);
  EXPECT_FALSE(requests.Apply(Claim("k", 2), 4).accepted);
  EXPECT_EQ(requests.Find("w", "k")->fence, 3);
  EXPECT_FALSE(requests.Apply(End("k", 1, 200), 5).accepted);
  EXPECT_TRUE(requests.Apply(End("k", 2, 200), 6).accepted);
  EXPECT_FALSE(requests.Apply(Claim("k", 3), 7).accepted);
}

TEST(ReplicatedRequestsTest, AnAttemptThatNeverRanFreesTheKey) {
  ReplicatedRequests requests;
  requests.Apply(Claim("k", 1), 1);
  EXPECT_TRUE(requests.Apply(End("k", 1, kNeverRanStatus), 2).accepted);
  EXPECT_TRUE(requests.Find("w", "k")->never_ran);
  EXPECT_TRUE(requests.Apply(Claim("k", 2), 3).accepted);
  EXPECT_FALSE(requests.Find("w", "k")->never_ran);
}

TEST(ReplicatedRequestsTest, DroppedKeysStayExpired) {
  RequestRetentionLimits limits;
  limits.max_ended = 2;
  ReplicatedRequests requests(limits);
  for (int index = 0; index < 4; ++index) {
    const std::string key = "k" + std::to_string(index);
    requests.Apply(Claim(key, 1), index * 2);
    requests.Apply(End(key, 1, 200), index * 2 + 1);
  }
  EXPECT_TRUE(requests.Find("w", "k0")->expired);
  EXPECT_FALSE(requests.Apply(Claim("k0", 1), 100).accepted);
  EXPECT_TRUE(requests.Find("w", "k3")->ended);
  ReplicatedRequests other(limits);
  other.Restore(requests.Snapshot());
  EXPECT_EQ(other.Snapshot(), requests.Snapshot());
  EXPECT_TRUE(other.Find("w", "k0")->expired);
}

}  // namespace
}  // namespace turmericshift
