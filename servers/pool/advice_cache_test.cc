#include <gtest/gtest.h>

#include "servers/pool/advice_cache.h"
#include "tests/stand_ins/pool_bed.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow = Time(std::chrono::hours(2));
const AdvisedStep kStep = {"j", {0, 0}};
const AdvisedWorker kOne = {"one", 1};
const AdvisedWorker kTwo = {"two", 1};

AdviceResponse Good(const std::string& worker_id) {
  return {{{worker_id, "ticket-" + worker_id}}, seconds(3)};
}

TEST(AdviceCache, KnowsWhoMayRunAStepOnceItIsTold) {
  AdviceCache book;
  EXPECT_TRUE(book.MayRun(kStep, kOne));
  EXPECT_FALSE(book.TicketFor(kStep, kOne, kNow));
  book.RequestTickets(kStep, {kOne, kTwo}, kNow);
  const std::optional<AdviceRequest> question = book.Next(kNow);
  ASSERT_TRUE(question);
  EXPECT_EQ(question->workers, (std::vector<AdvisedWorker>{kOne, kTwo}));
  book.Take(*question, Good("one"), kNow);
  EXPECT_EQ(book.TicketFor(kStep, kOne, kNow), "ticket-one");
  EXPECT_FALSE(book.MayRun(kStep, kTwo));
}

// The service answers one call at a time. A second one would wait there, and what it was to tell
// would be out of date when it comes.
TEST(AdviceCache, AsksOneQuestionAtATimeAndNoneTwice) {
  AdviceCache book;
  book.RequestTickets(kStep, {kOne}, kNow);
  const std::optional<AdviceRequest> question = book.Next(kNow);
  ASSERT_TRUE(question);
  book.RequestTickets(kStep, {kOne}, kNow);
  EXPECT_FALSE(book.Next(kNow));
  book.Take(*question, Good("one"), kNow);
  EXPECT_FALSE(book.Next(kNow));
}

// A ticket that runs out on its way costs a refusal by the worker.
TEST(AdviceCache, AsksAgainForATicketThatRunsOut) {
  AdviceCache book;
  book.RequestTickets(kStep, {kOne}, kNow);
  book.Take(*book.Next(kNow), Good("one"), kNow);
  EXPECT_TRUE(book.TicketFor(kStep, kOne, kNow + seconds(2)));
  const Time late = kNow + milliseconds(2900);
  EXPECT_FALSE(book.TicketFor(kStep, kOne, late));
  book.RequestTickets(kStep, {kOne}, late);
  EXPECT_TRUE(book.Next(late));
}

// A worker that was born again knows nothing of tickets for the life before.
TEST(AdviceCache, TrustsNoTicketOfAnotherLife) {
  AdviceCache book;
  book.RequestTickets(kStep, {kOne}, kNow);
  book.Take(*book.Next(kNow), Good("one"), kNow);
  EXPECT_FALSE(book.TicketFor(kStep, {"one", 2}, kNow));
}

// The service turns calls away while many wait there. Asked again at once it would do nothing else.
TEST(AdviceCache, PausesAfterAQuestionThatWasNotAnswered) {
  AdviceCache book;
  book.RequestTickets(kStep, {kOne}, kNow);
  ASSERT_TRUE(book.Next(kNow));
  book.Failed(kNow);
  book.RequestTickets(kStep, {kOne}, kNow);
  EXPECT_FALSE(book.Next(kNow));
  EXPECT_TRUE(book.Next(kNow + seconds(1)));
}

TEST(AdviceCache, NamesNoMoreWorkersThanOneCallShould) {
  AdviceCache book;
  constexpr int kWorkers = 67;
  std::vector<AdvisedWorker> many;
  many.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) many.push_back({"w" + std::to_string(i), 1});
  book.RequestTickets(kStep, many, kNow);
  EXPECT_EQ(book.Next(kNow)->workers.size(), 30U);
}

OperatorState AdvisedOperators() {
  OperatorState operators = BedOperators(8);
  for (Queue& queue : operators.config.queues) queue.terms.advised = true;
  return operators;
}

// A queue lets only the workers of one rack run its steps, and only the service knows which.
// Without asking, each start is turned away and the job never ends.
TEST(PoolPlannerAdvice, StartsOnlyWhereTheServiceLetsIt) {
  PoolBed bed(BedRacks(3), AdvisedOperators());
  bed.advises = [](const std::string& /*job*/, const std::string& node) {
    return node.rfind("w1", 0) == 0;
  };
  StepSpec gang = BedStep(3, 4, seconds(1));
  gang.gang = true;
  bed.Submit(BedJob("gang", "batch", "one", gang));
  bed.Submit(BedJob("singles", "bulk", "two", BedStep(8, 2, milliseconds(1500))));
  ASSERT_TRUE(bed.RunUntil("gang", JobState::kCompleted, seconds(6)));
  ASSERT_TRUE(bed.RunUntil("singles", JobState::kCompleted, seconds(12)));
  for (const BedRun& run : bed.runs()) EXPECT_EQ(run.node.substr(0, 2), "w1") << run.node;
  EXPECT_EQ(bed.tickets_refused(), 0);
  EXPECT_LE(bed.questions(), 8);
  EXPECT_EQ(bed.violations(), std::vector<std::string>());
}

// The pool is full of work that may be stopped, and urgent work within its guarantee comes that may
// run on one worker only. It has to learn which before anybody is stopped, and still be in time.
TEST(PoolPlannerAdvice, HasAGuaranteeBackOnAWorkerThatIsNamed) {
  PoolBed bed(BedRacks(1), AdvisedOperators());
  bed.Submit(BedJob("bulk", "bulk", "two", BedStep(3, 8, seconds(30))));
  bed.RunFor(seconds(3));
  ASSERT_EQ(bed.RunsOf("bulk").size(), 3U);
  bed.advises = [](const std::string& job, const std::string& node) {
    return job != "urgent" || node == "w0-1";
  };
  const Time submitted = bed.now();
  bed.Submit(BedJob("urgent", "urgent", "one", BedStep(1, 8, seconds(1))));
  bed.RunFor(milliseconds(2900));
  const std::vector<BedRun> runs = bed.RunsOf("urgent");
  ASSERT_EQ(runs.size(), 1U);
  EXPECT_EQ(runs[0].node, "w0-1");
  EXPECT_LT(runs[0].begun - submitted, milliseconds(2900));
}

}  // namespace
}  // namespace turmericshift::pool
