#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "servers/state/replicated_requests.h"

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

TEST(RequestFoldTest, FirstClaimOfAnAttemptOwnsTheKey) {
  ReplicatedRequests fold;
  EXPECT_TRUE(fold.Apply(Claim("k", 1), 1).accepted);
  EXPECT_FALSE(fold.Apply(Claim("k", 1), 2).accepted);
  EXPECT_TRUE(fold.Apply(Claim("k", 2), 3).accepted);
  EXPECT_FALSE(fold.Apply(Claim("k", 2), 4).accepted);
  EXPECT_EQ(fold.Find("w", "k")->fence, 3);
  EXPECT_FALSE(fold.Apply(End("k", 1, 200), 5).accepted);
  EXPECT_TRUE(fold.Apply(End("k", 2, 200), 6).accepted);
  EXPECT_FALSE(fold.Apply(Claim("k", 3), 7).accepted);
}

TEST(RequestFoldTest, AnAttemptThatNeverRanFreesTheKey) {
  ReplicatedRequests fold;
  fold.Apply(Claim("k", 1), 1);
  EXPECT_TRUE(fold.Apply(End("k", 1, kNeverRanStatus), 2).accepted);
  EXPECT_TRUE(fold.Find("w", "k")->never_ran);
  EXPECT_TRUE(fold.Apply(Claim("k", 2), 3).accepted);
  EXPECT_FALSE(fold.Find("w", "k")->never_ran);
}

TEST(RequestFoldTest, WhatIsDroppedStaysExpired) {
  RequestRetentionLimits limits;
  limits.max_ended = 2;
  ReplicatedRequests fold(limits);
  for (int index = 0; index < 4; ++index) {
    const std::string key = "k" + std::to_string(index);
    fold.Apply(Claim(key, 1), index * 2);
    fold.Apply(End(key, 1, 200), index * 2 + 1);
  }
  EXPECT_TRUE(fold.Find("w", "k0")->expired);
  EXPECT_FALSE(fold.Apply(Claim("k0", 1), 100).accepted);
  EXPECT_TRUE(fold.Find("w", "k3")->ended);
  ReplicatedRequests other(limits);
  other.Restore(fold.Snapshot());
  EXPECT_EQ(other.Snapshot(), fold.Snapshot());
  EXPECT_TRUE(other.Find("w", "k0")->expired);
}

}  // namespace
}  // namespace turmericshift
