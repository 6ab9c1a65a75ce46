#include "tests/stand_ins/pool_worker_model.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStarted = Time(std::chrono::hours(1));
constexpr WorkerMillis kFarAheadMs = 1'000'000;

WorkerModelOptions Options() {
  WorkerModelOptions options;
  options.capacity = {1000, 1000, 0};
  options.longest_lease = seconds(6);
  options.stop_time = milliseconds(200);
  return options;
}

ModelTask SmallTask() { return {{400, 100, 0}, true}; }

RunId RunOf(int index, int64_t number) { return {{"j", 0, 0, index}, number}; }

StartCall StartOf(const RunId& run, int64_t fence, WorkerMillis lease_until) {
  StartCall call;
  call.worker_id = "i";
  call.run = run;
  call.fence = fence;
  call.lease_until = lease_until;
  return call;
}

HoldCall HoldOf(int64_t fence, int64_t acked_ends, std::optional<WorkerMillis> lease_until) {
  return {"i", fence, acked_ends, lease_until, {}};
}

class PoolWorkerModelTest : public testing::Test {
 protected:
  PoolWorkerModel worker_{Options(), "i", 1, kStarted};
};

TEST_F(PoolWorkerModelTest, DoesNothingForALowerFence) {
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 1), 5, 4000), SmallTask(), kStarted),
            OrderAnswer::kAccepted);
  EXPECT_EQ(worker_.Start(StartOf(RunOf(1, 1), 4, 9000), SmallTask(), kStarted),
            OrderAnswer::kFenced);
  EXPECT_EQ(worker_.Stop("i", RunOf(0, 1), 4, kStarted), OrderAnswer::kFenced);
  EXPECT_EQ(worker_.Hold(HoldOf(4, 0, 9000), kStarted).answer, OrderAnswer::kFenced);
  EXPECT_EQ(worker_.lease_until(), 4000);
  EXPECT_EQ(worker_.live().size(), 1U);
}

// A worker kills what runs when the lease expires, and a later lease does not undo that.
TEST(PoolWorkerModelLapse, EndsRunsOfAnExpiredLeaseAfterTheLapseTime) {
  WorkerModelOptions options = Options();
  options.lapse_time = milliseconds(300);
  PoolWorkerModel worker(options, "i", 1, kStarted);
  const RunId run = RunOf(0, 1);
  ASSERT_EQ(worker.Start(StartOf(run, 5, 4000), SmallTask(), kStarted), OrderAnswer::kAccepted);
  worker.BeginLapse(kStarted + milliseconds(3999));
  EXPECT_FALSE(worker.live().at(run).lapse_at);
  const Time expired = kStarted + milliseconds(4000);
  worker.BeginLapse(expired);
  EXPECT_EQ(worker.live().at(run).lapse_at, expired + milliseconds(300));
  worker.Hold(HoldOf(5, 0, 9000), expired + milliseconds(100));
  worker.BeginLapse(expired + milliseconds(200));
  EXPECT_EQ(worker.live().at(run).lapse_at, expired + milliseconds(300));
}

TEST_F(PoolWorkerModelTest, KeepsTheFenceOfARefusedStart) {
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 1), 5, 0), SmallTask(), kStarted),
            OrderAnswer::kExpired);
  EXPECT_EQ(worker_.fence(), 5);
}

TEST_F(PoolWorkerModelTest, RefusesAStartWhoseDeadlineHasExpired) {
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 1), 1, 2000), SmallTask(), kStarted + seconds(2)),
            OrderAnswer::kExpired);
}

TEST_F(PoolWorkerModelTest, RefusesRunsNotAboveOneThatWasStoppedOrEnded) {
  EXPECT_EQ(worker_.Stop("i", RunOf(0, 3), 1, kStarted), OrderAnswer::kAccepted);
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 3), 1, 2000), SmallTask(), kStarted),
            OrderAnswer::kStaleRun);
  worker_.Start(StartOf(RunOf(0, 4), 1, 2000), SmallTask(), kStarted);
  worker_.End(RunOf(0, 4), EndKind::kFailed);
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 4), 1, 2000), SmallTask(), kStarted),
            OrderAnswer::kStaleRun);
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 5), 1, 2000), SmallTask(), kStarted),
            OrderAnswer::kAccepted);
}

TEST_F(PoolWorkerModelTest, AcceptsARunThatIsThereAgain) {
  worker_.Start(StartOf(RunOf(0, 1), 1, 2000), SmallTask(), kStarted);
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 1), 1, 2000), SmallTask(), kStarted),
            OrderAnswer::kAccepted);
  EXPECT_EQ(worker_.live().size(), 1U);
}

TEST_F(PoolWorkerModelTest, TakesTheDeadlineOfAStartRefusedAsStaleOrForRoom) {
  worker_.Stop("i", RunOf(0, 3), 1, kStarted);
  worker_.Start(StartOf(RunOf(0, 3), 1, 2000), SmallTask(), kStarted);
  EXPECT_EQ(worker_.lease_until(), 2000);
  ModelTask large = SmallTask();
  large.need.processor_millis = 2000;
  EXPECT_EQ(worker_.Start(StartOf(RunOf(1, 1), 1, 3000), large, kStarted), OrderAnswer::kNoRoom);
  EXPECT_EQ(worker_.lease_until(), 3000);
}

TEST_F(PoolWorkerModelTest, TakesNoDeadlineFromAStartWithoutAValidTicket) {
  ModelTask task = SmallTask();
  task.ticket_valid = false;
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 1), 1, 3000), task, kStarted),
            OrderAnswer::kTicketRejected);
  EXPECT_EQ(worker_.lease_until(), 0);
}

TEST_F(PoolWorkerModelTest, ClipsLeasesAndNeverShortensThem) {
  worker_.Hold(HoldOf(1, 0, kFarAheadMs), kStarted);
  EXPECT_EQ(worker_.lease_until(), 6000);
  worker_.Hold(HoldOf(1, 0, 1000), kStarted);
  EXPECT_EQ(worker_.lease_until(), 6000);
  EXPECT_FALSE(worker_.LeaseExpired(kStarted + milliseconds(5999)));
  EXPECT_TRUE(worker_.LeaseExpired(kStarted + milliseconds(6000)));
}

TEST_F(PoolWorkerModelTest, MeasuresLeasesOnItsOwnClock) {
  WorkerModelOptions options = Options();
  options.clock_rate = 0.98;
  PoolWorkerModel slow(options, "i", 1, kStarted);
  slow.Hold(HoldOf(1, 0, 4900), kStarted);
  EXPECT_FALSE(slow.LeaseExpired(kStarted + milliseconds(4990)));
  EXPECT_TRUE(slow.LeaseExpired(kStarted + milliseconds(5010)));
}

TEST_F(PoolWorkerModelTest, RepeatsEndsUntilTheyAreAcknowledged) {
  std::vector<int64_t> acknowledged;
  worker_.end_acknowledged = [&](const EndedTask& end) { acknowledged.push_back(end.number); };
  worker_.Start(StartOf(RunOf(0, 1), 1, 2000), SmallTask(), kStarted);
  worker_.Start(StartOf(RunOf(1, 1), 1, 2000), SmallTask(), kStarted);
  worker_.End(RunOf(0, 1), EndKind::kDone);
  worker_.End(RunOf(1, 1), EndKind::kFailed);
  EXPECT_EQ(worker_.Hold(HoldOf(1, 0, {}), kStarted).lists.ended.size(), 2U);
  const WorkerLists rest = worker_.Hold(HoldOf(1, 1, {}), kStarted).lists;
  ASSERT_EQ(rest.ended.size(), 1U);
  EXPECT_EQ(rest.ended[0].number, 2);
  EXPECT_EQ(acknowledged, std::vector<int64_t>{1});
}

TEST_F(PoolWorkerModelTest, TakesTimeForAStop) {
  worker_.Start(StartOf(RunOf(0, 1), 1, 2000), SmallTask(), kStarted);
  worker_.Stop("i", RunOf(0, 1), 1, kStarted);
  worker_.Stop("i", RunOf(0, 1), 1, kStarted + milliseconds(100));
  ASSERT_EQ(worker_.live().size(), 1U);
  EXPECT_EQ(worker_.live().begin()->second.stop_at, kStarted + milliseconds(200));
}

TEST_F(PoolWorkerModelTest, KnowsNothingOfItsFormerLife) {
  worker_.Start(StartOf(RunOf(0, 1), 7, 2000), SmallTask(), kStarted);
  worker_.Stop("i", RunOf(1, 3), 7, kStarted);
  worker_.End(RunOf(0, 1), EndKind::kDone);
  const Time restarted = kStarted + seconds(60);
  worker_.Restart("i", 2, 0, restarted);
  EXPECT_EQ(worker_.fence(), 0);
  EXPECT_EQ(worker_.Clock(restarted + seconds(1)), 1000);
  const WorkerLists lists = worker_.Hold(HoldOf(1, 0, 1000), restarted).lists;
  EXPECT_EQ(lists.start_time_ms, 2);
  EXPECT_TRUE(lists.running.empty());
  EXPECT_TRUE(lists.ended.empty());
  EXPECT_EQ(worker_.Start(StartOf(RunOf(1, 3), 1, 1000), SmallTask(), restarted),
            OrderAnswer::kAccepted);
  worker_.End(RunOf(1, 3), EndKind::kDone);
  EXPECT_EQ(worker_.ended().begin()->first, 1);
}

TEST_F(PoolWorkerModelTest, RefusesCallsForAnotherId) {
  worker_.Restart("k", 2, 0, kStarted);
  EXPECT_EQ(worker_.Start(StartOf(RunOf(0, 1), 1, 2000), SmallTask(), kStarted),
            OrderAnswer::kOtherIncarnation);
  EXPECT_EQ(worker_.Stop("i", RunOf(0, 1), 1, kStarted), OrderAnswer::kOtherIncarnation);
  EXPECT_EQ(worker_.Hold(HoldOf(1, 0, 2000), kStarted).answer, OrderAnswer::kOtherIncarnation);
}

}  // namespace
}  // namespace turmericshift::pool
