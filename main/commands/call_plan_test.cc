#include "main/commands/call_plan.h"

#include <gtest/gtest.h>

namespace turmericshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Entries = std::vector<size_t>;

const Time kBegin{seconds(1000)};
const Error kRefused(ErrorKind::kUnavailable, Outcome::kNotRun, "nothing answers");
const Error kLost(ErrorKind::kConnectionLost, Outcome::kUnknown, "reset");
const Error kNotFound(ErrorKind::kNotFound, "no such zone");
const Error kConflict(ErrorKind::kConflict, "version 3 came first");

CallPlan PlanOf(size_t entries, CallKind kind) { return {entries, 0, kind, {}, kBegin}; }

// An entry that takes a connection and does not answer held up a command for 90 s.
TEST(CallPlan, ReadsAskTheNextEntryAfterASecondOfSilence) {
  CallPlan plan = PlanOf(2, CallKind::kRead);
  EXPECT_EQ(plan.TakeDue(kBegin), Entries({0}));
  EXPECT_EQ(plan.next_look(), kBegin + seconds(1));
  EXPECT_TRUE(plan.TakeDue(kBegin + milliseconds(999)).empty());
  EXPECT_EQ(plan.TakeDue(kBegin + seconds(1)), Entries({1}));
  EXPECT_EQ(plan.silent(), Entries({0, 1}));
  EXPECT_FALSE(plan.over(kBegin + seconds(2)));
}

// Silent entries one after the other would cost a second each.
TEST(CallPlan, ManySilentEntriesCostSeconds) {
  constexpr size_t kEntries = 100;
  CallPlan plan = PlanOf(kEntries, CallKind::kRead);
  size_t asked = 0;
  Time now = kBegin;
  for (; asked < kEntries; now += seconds(1)) asked += plan.TakeDue(now).size();
  EXPECT_LE(now, kBegin + seconds(9));
}

TEST(CallPlan, ARefusedCallGoesOnAtOnce) {
  for (const CallKind kind : {CallKind::kRead, CallKind::kRepeatable, CallKind::kOnce}) {
    CallPlan plan = PlanOf(2, kind);
    plan.TakeDue(kBegin);
    plan.Failed(0, kRefused);
    EXPECT_EQ(plan.TakeDue(kBegin), Entries({1}));
  }
}

TEST(CallPlan, ReadsAndRepeatableChangesGoOnWhenTheConnectionIsLost) {
  for (const CallKind kind : {CallKind::kRead, CallKind::kRepeatable}) {
    CallPlan plan = PlanOf(2, kind);
    plan.TakeDue(kBegin);
    plan.Failed(0, kLost);
    EXPECT_EQ(plan.TakeDue(kBegin), Entries({1}));
  }
}

// A request that may have run must not run a second time.
TEST(CallPlan, WhatMayBeDoneOnlyOnceIsNotSentAgain) {
  CallPlan silent = PlanOf(2, CallKind::kOnce);
  silent.TakeDue(kBegin);
  EXPECT_TRUE(silent.TakeDue(kBegin + seconds(20)).empty());
  EXPECT_EQ(silent.failure(kBegin + seconds(30)).outcome(), Outcome::kUnknown);

  CallPlan lost = PlanOf(2, CallKind::kOnce);
  lost.TakeDue(kBegin);
  lost.Failed(0, kLost);
  EXPECT_TRUE(lost.over(kBegin));
  EXPECT_EQ(lost.failure(kBegin).outcome(), Outcome::kUnknown);
}

TEST(CallPlan, AnAnswerThatNoOtherEntryWouldChangeEndsTheCall) {
  CallPlan plan = PlanOf(2, CallKind::kRepeatable);
  plan.TakeDue(kBegin);
  plan.Failed(0, kNotFound);
  EXPECT_TRUE(plan.over(kBegin));
  EXPECT_TRUE(plan.TakeDue(kBegin).empty());
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kNotRun);
}

// "Not run" would be untrue while an entry that was asked before may still do it.
TEST(CallPlan, ARefusalAfterASilentEntryLeavesAChangeUnknown) {
  CallPlan plan = PlanOf(2, CallKind::kRepeatable);
  plan.TakeDue(kBegin);
  plan.TakeDue(kBegin + seconds(1));
  plan.Failed(1, kNotFound);
  EXPECT_EQ(plan.failure(kBegin + seconds(1)).outcome(), Outcome::kUnknown);
  EXPECT_EQ(plan.failure(kBegin + seconds(1)).kind(), ErrorKind::kNotFound);
}

TEST(CallPlan, AConflictIsSettledByTheLogForEveryEntry) {
  CallPlan plan = PlanOf(2, CallKind::kRepeatable);
  plan.TakeDue(kBegin);
  plan.TakeDue(kBegin + seconds(1));
  plan.Failed(1, kConflict);
  EXPECT_EQ(plan.failure(kBegin + seconds(1)).outcome(), Outcome::kNotRun);
}

// The last entry refuses, and the answer of the one before was lost.
TEST(CallPlan, ALostAnswerOutweighsLaterRefusals) {
  CallPlan plan = PlanOf(3, CallKind::kRepeatable);
  plan.TakeDue(kBegin);
  plan.Failed(0, kLost);
  plan.TakeDue(kBegin);
  plan.Failed(1, kRefused);
  plan.TakeDue(kBegin);
  plan.Failed(2, kRefused);
  EXPECT_TRUE(plan.over(kBegin));
  EXPECT_EQ(plan.failure(kBegin).kind(), ErrorKind::kConnectionLost);
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kUnknown);
}

TEST(CallPlan, AReadThatFailedHasDoneNothing) {
  CallPlan plan = PlanOf(1, CallKind::kRead);
  plan.TakeDue(kBegin);
  EXPECT_EQ(plan.failure(kBegin + seconds(30)).outcome(), Outcome::kNotRun);
  EXPECT_EQ(plan.failure(kBegin + seconds(30)).kind(), ErrorKind::kDeadlineExceeded);
}

TEST(CallPlan, SilenceIsToldOnceAfterTwoSeconds) {
  CallPlan plan = PlanOf(1, CallKind::kOnce);
  plan.TakeDue(kBegin);
  EXPECT_FALSE(plan.TakeNotice(kBegin + milliseconds(1999)));
  EXPECT_EQ(plan.next_look(), kBegin + seconds(2));
  EXPECT_TRUE(plan.TakeNotice(kBegin + seconds(2)));
  EXPECT_FALSE(plan.TakeNotice(kBegin + seconds(3)));
  EXPECT_EQ(plan.next_look(), kBegin + seconds(30));
}

TEST(CallPlan, BeginsWithTheEntryItIsTold) {
  CallPlan plan(3, 2, CallKind::kRead, {}, kBegin);
  EXPECT_EQ(plan.TakeDue(kBegin), Entries({2}));
  EXPECT_EQ(plan.TakeDue(kBegin + seconds(1)), Entries({0}));
}

// The call before has used up the command's time.
TEST(CallPlan, WithoutTimeNothingIsDone) {
  CallLimits limits;
  limits.total = milliseconds(-1);
  CallPlan plan(2, 0, CallKind::kRepeatable, limits, kBegin);
  EXPECT_TRUE(plan.TakeDue(kBegin).empty());
  EXPECT_TRUE(plan.over(kBegin));
  EXPECT_EQ(plan.failure(kBegin).kind(), ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kNotRun);
}

TEST(CallPlan, WithoutEntriesNothingIsDone) {
  const CallPlan plan = PlanOf(0, CallKind::kRepeatable);
  EXPECT_TRUE(plan.over(kBegin));
  EXPECT_EQ(plan.failure(kBegin).kind(), ErrorKind::kUnavailable);
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kNotRun);
}

}  // namespace
}  // namespace turmericshift
