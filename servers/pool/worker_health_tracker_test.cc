#include "servers/pool/worker_health_tracker.h"

#include <gtest/gtest.h>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(std::chrono::hours(1));
constexpr Time kOtherProcess = Time(std::chrono::hours(9));

// A tracker that has quarantined "bad" at kStart, and knows one failure of "suspect".
WorkerHealthTracker TrackerWithFailures() {
  WorkerHealthTracker tracker;
  tracker.BeginIncarnation("bad", 1);
  tracker.BeginIncarnation("suspect", 1);
  tracker.BeginIncarnation("good", 1);
  tracker.RunFailed("bad", "a", kStart);
  tracker.RunFailed("bad", "b", kStart);
  tracker.RunFailed("suspect", "c", kStart);
  return tracker;
}

// A successor without the failures gives the faulty worker, which looks idle, the next jobs.
TEST(WorkerHealthTracker, KeepsQuarantinesAndFailuresAfterSaveAndLoad) {
  WorkerHealthTracker next;
  next.Load(TrackerWithFailures().Save(1000, kStart + seconds(1)), seconds(1), kOtherProcess);
  EXPECT_TRUE(next.IsQuarantined("bad", kOtherProcess + milliseconds(900)));
  EXPECT_FALSE(next.IsQuarantined("bad", kOtherProcess + milliseconds(1100)));
  EXPECT_TRUE(next.IsSuspect("suspect", kOtherProcess + milliseconds(7900)));
  EXPECT_FALSE(next.IsSuspect("suspect", kOtherProcess + milliseconds(8100)));
  EXPECT_FALSE(next.IsSuspect("good", kOtherProcess));
  // The next quarantine is longer than the first, as it is without a change of planner.
  next.RunFailed("bad", "d", kOtherProcess + seconds(3));
  next.RunFailed("bad", "e", kOtherProcess + seconds(3));
  EXPECT_TRUE(next.IsQuarantined("bad", kOtherProcess + milliseconds(8900)));
}

// The first report of a worker to a successor looks like a start. It must clear the history of
// another incarnation only.
TEST(WorkerHealthTracker, BindsTheHistoryToTheIncarnation) {
  WorkerHealthTracker next;
  next.Load(TrackerWithFailures().Save(1000, kStart), {}, kOtherProcess);
  next.BeginIncarnation("bad", 1);
  next.BeginIncarnation("suspect", 2);
  EXPECT_TRUE(next.IsQuarantined("bad", kOtherProcess));
  EXPECT_FALSE(next.IsSuspect("suspect", kOtherProcess));
}

// State that is past must not be written again and again.
TEST(WorkerHealthTracker, SavesNothingOfHealthyWorkers) {
  WorkerHealthTracker tracker = TrackerWithFailures();
  tracker.RunDone("bad");
  const nlohmann::json saved = tracker.Save(1000, kStart + seconds(20));
  EXPECT_TRUE(saved.at("workers").empty()) << saved.dump();
}

// A record that is too large is not written at all.
TEST(WorkerHealthTracker, SavesQuarantinedWorkersFirstWithinTheLimit) {
  WorkerHealthTracker tracker = TrackerWithFailures();
  for (int worker = 0; worker < 50; ++worker) {
    const std::string name = "a-" + std::to_string(worker);
    tracker.BeginIncarnation(name, 1);
    tracker.RunFailed(name, "job-" + std::to_string(worker), kStart);
  }
  const nlohmann::json saved = tracker.Save(300, kStart);
  EXPECT_LE(saved.dump().size(), 300U);
  EXPECT_TRUE(saved.at("workers").contains("bad"));
}

// A bad record must not put workers out of use for long, nor leave half of it behind.
TEST(WorkerHealthTracker, KeepsItsStateWhenTheRecordIsMalformed) {
  WorkerHealthTracker tracker = TrackerWithFailures();
  for (const char* text :
       {"1", "{}", R"({"workers":{"good":[1]}})", R"({"workers":{"good":[1,99999999,0,[]]}})",
        R"({"workers":{"good":[1,0,-1,[]]}})", R"({"workers":{"good":[1,0,0,[[1,2]]]}})",
        R"({"workers":{"good":[1,0,0,[["j",-5]]]}})", R"({"workers":{"good":["1",0,0,[]]}})"}) {
    EXPECT_THROW(tracker.Load(nlohmann::json::parse(text), {}, kStart), Error) << text;
  }
  EXPECT_TRUE(tracker.IsQuarantined("bad", kStart));
}

}  // namespace
}  // namespace turmericshift::pool
