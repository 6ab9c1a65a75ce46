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

// An entry that accepted the connection but did not answer once delayed a command by 90 s.
TEST(CallPlan, ReadIsSentToTheNextEntryAfterOneSecond) {
  CallPlan plan = PlanOf(2, CallKind::kRead);
  EXPECT_EQ(plan.TakeDueEntries(kBegin), Entries({0}));
  EXPECT_EQ(plan.next_wakeup(), kBegin + seconds(1));
  EXPECT_TRUE(plan.TakeDueEntries(kBegin + milliseconds(999)).empty());
  EXPECT_EQ(plan.TakeDueEntries(kBegin + seconds(1)), Entries({1}));
  EXPECT_EQ(plan.unanswered(), Entries({0, 1}));
  EXPECT_FALSE(plan.finished(kBegin + seconds(2)));
}

// If silent entries were tried one after the other, each would cost a second.
TEST(CallPlan, ManySilentEntriesCostAFewSeconds) {
  constexpr size_t kEntries = 100;
  CallPlan plan = PlanOf(kEntries, CallKind::kRead);
  size_t asked = 0;
  Time now = kBegin;
  for (; asked < kEntries; now += seconds(1)) asked += plan.TakeDueEntries(now).size();
  EXPECT_LE(now, kBegin + seconds(9));
}

TEST(CallPlan, RefusedCallIsSentToTheNextEntryImmediately) {
  for (const CallKind kind : {CallKind::kRead, CallKind::kIdempotent, CallKind::kAtMostOnce}) {
    CallPlan plan = PlanOf(2, kind);
    plan.TakeDueEntries(kBegin);
    plan.HandleFailure(0, kRefused);
    EXPECT_EQ(plan.TakeDueEntries(kBegin), Entries({1}));
  }
}

TEST(CallPlan, ReadsAndIdempotentChangesAreRetriedAfterAConnectionLoss) {
  for (const CallKind kind : {CallKind::kRead, CallKind::kIdempotent}) {
    CallPlan plan = PlanOf(2, kind);
    plan.TakeDueEntries(kBegin);
    plan.HandleFailure(0, kLost);
    EXPECT_EQ(plan.TakeDueEntries(kBegin), Entries({1}));
  }
}

// A request that may have run must not run a second time.
TEST(CallPlan, AtMostOnceCallIsNotSentAgain) {
  CallPlan unanswered = PlanOf(2, CallKind::kAtMostOnce);
  unanswered.TakeDueEntries(kBegin);
  EXPECT_TRUE(unanswered.TakeDueEntries(kBegin + seconds(20)).empty());
  EXPECT_EQ(unanswered.failure(kBegin + seconds(30)).outcome(), Outcome::kUnknown);

  CallPlan lost = PlanOf(2, CallKind::kAtMostOnce);
  lost.TakeDueEntries(kBegin);
  lost.HandleFailure(0, kLost);
  EXPECT_TRUE(lost.finished(kBegin));
  EXPECT_EQ(lost.failure(kBegin).outcome(), Outcome::kUnknown);
}

TEST(CallPlan, NonRetryableErrorEndsTheCall) {
  CallPlan plan = PlanOf(2, CallKind::kIdempotent);
  plan.TakeDueEntries(kBegin);
  plan.HandleFailure(0, kNotFound);
  EXPECT_TRUE(plan.finished(kBegin));
  EXPECT_TRUE(plan.TakeDueEntries(kBegin).empty());
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kNotRun);
}

// Outcome "not run" would be wrong while an entry that received the call earlier may still run it.
TEST(CallPlan, OutcomeIsUnknownIfAnEntryRefusesWhileAnotherIsSilent) {
  CallPlan plan = PlanOf(2, CallKind::kIdempotent);
  plan.TakeDueEntries(kBegin);
  plan.TakeDueEntries(kBegin + seconds(1));
  plan.HandleFailure(1, kNotFound);
  EXPECT_EQ(plan.failure(kBegin + seconds(1)).outcome(), Outcome::kUnknown);
  EXPECT_EQ(plan.failure(kBegin + seconds(1)).kind(), ErrorKind::kNotFound);
}

TEST(CallPlan, ConflictIsConclusiveDespiteASilentEntry) {
  CallPlan plan = PlanOf(2, CallKind::kIdempotent);
  plan.TakeDueEntries(kBegin);
  plan.TakeDueEntries(kBegin + seconds(1));
  plan.HandleFailure(1, kConflict);
  EXPECT_EQ(plan.failure(kBegin + seconds(1)).outcome(), Outcome::kNotRun);
}

// The first entry's answer was lost; the entries after it refuse the call.
TEST(CallPlan, LostAnswerTakesPrecedenceOverLaterRefusals) {
  CallPlan plan = PlanOf(3, CallKind::kIdempotent);
  plan.TakeDueEntries(kBegin);
  plan.HandleFailure(0, kLost);
  plan.TakeDueEntries(kBegin);
  plan.HandleFailure(1, kRefused);
  plan.TakeDueEntries(kBegin);
  plan.HandleFailure(2, kRefused);
  EXPECT_TRUE(plan.finished(kBegin));
  EXPECT_EQ(plan.failure(kBegin).kind(), ErrorKind::kConnectionLost);
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kUnknown);
}

TEST(CallPlan, FailedReadHasOutcomeNotRun) {
  CallPlan plan = PlanOf(1, CallKind::kRead);
  plan.TakeDueEntries(kBegin);
  EXPECT_EQ(plan.failure(kBegin + seconds(30)).outcome(), Outcome::kNotRun);
  EXPECT_EQ(plan.failure(kBegin + seconds(30)).kind(), ErrorKind::kDeadlineExceeded);
}

TEST(CallPlan, SilenceNoticeIsGivenOnceAfterTwoSeconds) {
  CallPlan plan = PlanOf(1, CallKind::kAtMostOnce);
  plan.TakeDueEntries(kBegin);
  EXPECT_FALSE(plan.TakeSilenceNotice(kBegin + milliseconds(1999)));
  EXPECT_EQ(plan.next_wakeup(), kBegin + seconds(2));
  EXPECT_TRUE(plan.TakeSilenceNotice(kBegin + seconds(2)));
  EXPECT_FALSE(plan.TakeSilenceNotice(kBegin + seconds(3)));
  EXPECT_EQ(plan.next_wakeup(), kBegin + seconds(30));
}

TEST(CallPlan, StartsWithTheGivenEntry) {
  CallPlan plan(3, 2, CallKind::kRead, {}, kBegin);
  EXPECT_EQ(plan.TakeDueEntries(kBegin), Entries({2}));
  EXPECT_EQ(plan.TakeDueEntries(kBegin + seconds(1)), Entries({0}));
}

// Earlier calls of the command can have used up its time, which leaves a negative timeout.
TEST(CallPlan, ExpiredTimeoutSendsNothing) {
  CallLimits limits;
  limits.timeout = milliseconds(-1);
  CallPlan plan(2, 0, CallKind::kIdempotent, limits, kBegin);
  EXPECT_TRUE(plan.TakeDueEntries(kBegin).empty());
  EXPECT_TRUE(plan.finished(kBegin));
  EXPECT_EQ(plan.failure(kBegin).kind(), ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kNotRun);
}

TEST(CallPlan, FailsWithoutEntries) {
  const CallPlan plan = PlanOf(0, CallKind::kIdempotent);
  EXPECT_TRUE(plan.finished(kBegin));
  EXPECT_EQ(plan.failure(kBegin).kind(), ErrorKind::kUnavailable);
  EXPECT_EQ(plan.failure(kBegin).outcome(), Outcome::kNotRun);
}

}  // namespace
}  // namespace turmericshift
