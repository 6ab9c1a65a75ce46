#include "servers/releases/release_tracker.h"

#include <gtest/gtest.h>

namespace turmericshift::releases {
namespace {

using std::chrono::seconds;

constexpr int64_t kStartMs = 1'700'000'000'000;

// Workers "w0" to "w3" in version "1", which the tracker has learned.
struct Pool {
  Pool() : tracker(MakeReleaseTracker(now)) {
    for (int i = 0; i < 4; ++i) Record(i, "1", 0);
    now += seconds(4);
  }

  static std::string Node(int worker) { return "w" + std::to_string(worker); }
  // The worker's incarnation of this number.
  void Record(int worker, const std::string& version, int incarnation) {
    tracker->RecordWorker(Node(worker), "plans", version, kStartMs + incarnation, now);
  }
  void Replace(int worker, const std::string& version, int incarnation) {
    tracker->RecordGone(Node(worker), now);
    Record(worker, version, incarnation);
  }
  // One letter per worker: outdated or current.
  std::string Outdated() const {
    std::string outdated;
    for (int i = 0; i < 4; ++i) outdated += tracker->IsOutdated(Node(i), now) ? 'o' : 'c';
    return outdated;
  }

  Time now = Time(std::chrono::hours(1));
  std::unique_ptr<ReleaseTracker> tracker;
};

// Without the tracker nothing tells workers that will soon be replaced from the others.
TEST(ReleaseTracker, WorkersOfOlderVersionsAreOutdatedWhileAReleaseIsInProgress) {
  Pool pool;
  EXPECT_EQ(pool.Outdated(), "cccc");
  pool.Replace(0, "2", 1);
  EXPECT_EQ(pool.Outdated(), "cooo");
  const std::vector<ReleaseChange> began = pool.tracker->Update(pool.now);
  ASSERT_EQ(began.size(), 1U);
  EXPECT_TRUE(began[0].began);
  EXPECT_EQ(began[0].service, "plans");
  EXPECT_EQ(began[0].version, "2");
  EXPECT_EQ(began[0].outdated, 3);
  EXPECT_EQ(began[0].updated, 1);
  EXPECT_EQ(pool.tracker->outdated_workers(), 3);
  // Each replacement takes longer than the last; together they take over 30 s.
  for (int worker = 1; worker < 4; ++worker) {
    pool.now += seconds(20);
    EXPECT_TRUE(pool.tracker->Update(pool.now).empty());
    EXPECT_TRUE(pool.tracker->IsOutdated(Pool::Node(worker), pool.now));
    pool.Replace(worker, "2", worker + 1);
  }
  const std::vector<ReleaseChange> ended = pool.tracker->Update(pool.now);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_FALSE(ended[0].began);
  EXPECT_EQ(ended[0].end, ReleaseEnd::kAllReplaced);
  EXPECT_EQ(pool.Outdated(), "cccc");
}

// A release that was given up must not keep work off the other workers for ever.
TEST(ReleaseTracker, AReleaseThatStopsHalfwayEnds) {
  Pool pool;
  pool.Replace(0, "2", 1);
  pool.tracker->Update(pool.now);
  pool.now += seconds(29);
  EXPECT_EQ(pool.Outdated(), "cooo");
  pool.now += seconds(1);
  EXPECT_EQ(pool.Outdated(), "cccc");
  const std::vector<ReleaseChange> ended = pool.tracker->Update(pool.now);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].end, ReleaseEnd::kStopped);
  EXPECT_EQ(ended[0].outdated, 3);
  EXPECT_EQ(pool.tracker->outdated_workers(), 0);
  // Growth and crashes after that are not the release.
  pool.Record(4, "2", 2);
  pool.Record(0, "2", 3);
  pool.Record(1, "1", 4);
  EXPECT_EQ(pool.Outdated(), "cccc");
  // The next replacement is.
  pool.Replace(1, "2", 5);
  EXPECT_EQ(pool.Outdated(), "ccoo");
}

// After a rollback the workers of the older version stay; they are not the ones to be replaced.
TEST(ReleaseTracker, ARollbackEndsTheRelease) {
  Pool pool;
  pool.Replace(0, "2", 1);
  pool.Replace(1, "2", 2);
  pool.tracker->Update(pool.now);
  pool.now += seconds(5);
  pool.Replace(0, "1", 3);
  EXPECT_EQ(pool.Outdated(), "cccc");
  const std::vector<ReleaseChange> ended = pool.tracker->Update(pool.now);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].end, ReleaseEnd::kRolledBack);
  pool.Replace(1, "1", 4);
  EXPECT_EQ(pool.Outdated(), "cccc");
  // The next version is a release again.
  pool.now += seconds(60);
  pool.Replace(0, "3", 5);
  EXPECT_EQ(pool.Outdated(), "cooo");
}

// An outdated worker that crashes and starts again in its old version is no rollback.
TEST(ReleaseTracker, ARestartInTheOldVersionDoesNotEndTheRelease) {
  Pool pool;
  pool.Replace(0, "2", 1);
  pool.Record(1, "1", 2);
  EXPECT_EQ(pool.Outdated(), "cooo");
}

// The planner is replaced halfway: it finds two versions and cannot tell which one is newer.
TEST(ReleaseTracker, VersionsThatAreFoundAtFirstCountAsOne) {
  Pool pool;
  pool.tracker = MakeReleaseTracker(pool.now);
  for (int i = 0; i < 4; ++i) pool.Record(i, i < 2 ? "2" : "1", i < 2 ? 1 : 0);
  EXPECT_EQ(pool.Outdated(), "cccc");
  pool.now += seconds(4);
  pool.Replace(2, "2", 2);
  EXPECT_EQ(pool.Outdated(), "cccc");
  pool.Replace(2, "3", 3);
  EXPECT_EQ(pool.Outdated(), "ooco");
}

// An agent that was partitioned reports only after the planner has learned the pool. Its worker has
// run for long, so its version is no release.
TEST(ReleaseTracker, AWorkerThatIsHeardOfLateHasNotJustStarted) {
  Pool pool;
  pool.tracker->RecordWorker("late", "plans", "0", kStartMs - 60'000, pool.now);
  EXPECT_EQ(pool.Outdated(), "cccc");
  EXPECT_FALSE(pool.tracker->IsOutdated("late", pool.now));
}

// Repeated reports, and late ones of a former incarnation, must not prolong the release.
TEST(ReleaseTracker, LateAndRepeatedReportsDoNotProlongARelease) {
  Pool pool;
  pool.Replace(0, "2", 1);
  pool.now += seconds(20);
  pool.Record(0, "2", 1);
  pool.Record(0, "1", 0);
  pool.Record(0, "2", 1);
  pool.tracker->RecordGone("w0", pool.now);
  pool.tracker->RecordGone("w0", pool.now);
  // A report from before the worker announced that it leaves.
  pool.Record(0, "2", 1);
  pool.now += seconds(10);
  EXPECT_EQ(pool.Outdated(), "cccc");
}

// Agents of a former version do not report versions; their workers are treated as before.
TEST(ReleaseTracker, WorkersWithoutAVersionAreNeverOutdated) {
  Pool pool;
  pool.tracker = MakeReleaseTracker(pool.now);
  for (int i = 0; i < 4; ++i) pool.Record(i, i < 2 ? "" : "1", 0);
  pool.now += seconds(4);
  pool.Replace(0, "", 1);
  EXPECT_EQ(pool.Outdated(), "cccc");
  pool.Replace(0, "2", 2);
  EXPECT_EQ(pool.Outdated(), "ccoo");
}

// An agent is updated and reports the version of a worker that runs on. Nothing is released.
TEST(ReleaseTracker, AVersionThatBecomesKnownWithoutAStartIsNoRelease) {
  Pool pool;
  pool.tracker = MakeReleaseTracker(pool.now);
  for (int i = 0; i < 4; ++i) pool.Record(i, "", 0);
  pool.now += seconds(4);
  pool.Record(0, "1", 0);
  EXPECT_EQ(pool.Outdated(), "cccc");
  pool.Record(1, "1", 0);
  pool.Replace(0, "2", 1);
  EXPECT_EQ(pool.Outdated(), "cocc");
}

// A release of one service says nothing about the workers of another.
TEST(ReleaseTracker, ServicesAreReleasedIndependently) {
  Pool pool;
  pool.tracker->RecordWorker("other", "frames", "1", kStartMs, pool.now);
  pool.Replace(0, "2", 1);
  EXPECT_FALSE(pool.tracker->IsOutdated("other", pool.now));
}

// A worker whose clock was set back starts with a lower start time than before.
TEST(ReleaseTracker, AReplacementCountsAlthoughItsClockWasSetBack) {
  Pool pool;
  pool.Replace(0, "2", -3'600'000);
  EXPECT_EQ(pool.Outdated(), "cooo");
}

// Versions are announced by workers; their number must not grow the planner's memory without bound,
// and the newest ones must still be known.
TEST(ReleaseTracker, KeepsTheNewestOfManyVersions) {
  Pool pool;
  for (int version = 2; version < 500; ++version) {
    pool.Replace(0, std::to_string(version), version);
  }
  EXPECT_EQ(pool.Outdated(), "cooo");
  pool.Replace(1, "499", 500);
  EXPECT_EQ(pool.Outdated(), "ccoo");
}

TEST(ReleaseTracker, NothingIsOutdatedWithoutTheMechanism) {
  Pool pool;
  pool.tracker = MakeNoReleases();
  pool.Record(0, "1", 0);
  pool.Replace(1, "2", 1);
  EXPECT_EQ(pool.Outdated(), "cccc");
  EXPECT_TRUE(pool.tracker->Update(pool.now).empty());
}

// Replaces workers of the pool by additional ones of the same version.
struct ReplacedPool : Pool {
  // An additional worker starts, and a second later another one leaves.
  void ReplaceByAdditional(int additional, int leaves) {
    tracker->RecordWorker(Node(additional), "plans", "1", kStartMs + additional, now);
    now += seconds(1);
    tracker->RecordGone(Node(leaves), now);
  }
};

// A release whose workers announce the same version as before: gangs were placed on workers that
// left before they ended, with nine tenths of the pool free.
TEST(ReleaseTracker, SeesReplacementsWithinOneVersion) {
  ReplacedPool pool;
  pool.ReplaceByAdditional(10, 0);
  EXPECT_EQ(pool.Outdated(), "cccc");
  pool.ReplaceByAdditional(11, 1);
  EXPECT_EQ(pool.Outdated(), "ccoo");
  EXPECT_FALSE(pool.tracker->IsOutdated("w10", pool.now));
  EXPECT_FALSE(pool.tracker->IsOutdated("w11", pool.now));
  const std::vector<ReleaseChange> began = pool.tracker->Update(pool.now);
  ASSERT_EQ(began.size(), 1U);
  EXPECT_EQ(began[0].sign, ReleaseSign::kReplacement);
  EXPECT_EQ(began[0].outdated, 2);
  EXPECT_EQ(began[0].updated, 2);
  pool.ReplaceByAdditional(12, 2);
  EXPECT_FALSE(pool.tracker->IsOutdated("w12", pool.now));
  pool.ReplaceByAdditional(13, 3);
  const std::vector<ReleaseChange> ended = pool.tracker->Update(pool.now);
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(ended[0].end, ReleaseEnd::kAllReplaced);
}

// Workers are taken away, and none is added: those that stay will not be replaced.
TEST(ReleaseTracker, DeparturesAloneAreNoRelease) {
  Pool pool;
  for (int worker = 0; worker < 3; ++worker) {
    pool.now += seconds(1);
    pool.tracker->RecordGone(Pool::Node(worker), pool.now);
  }
  EXPECT_EQ(pool.Outdated(), "cccc");
}

// The pool grows.
TEST(ReleaseTracker, AdditionalWorkersAloneAreNoRelease) {
  Pool pool;
  for (int worker = 10; worker < 14; ++worker) {
    pool.now += seconds(1);
    pool.tracker->RecordWorker(Pool::Node(worker), "plans", "1", kStartMs + worker, pool.now);
  }
  EXPECT_EQ(pool.Outdated(), "cccc");
}

// A worker that was added and leaves again replaces nothing.
TEST(ReleaseTracker, AnAdditionalWorkerThatLeavesReplacesNoOther) {
  ReplacedPool pool;
  pool.ReplaceByAdditional(10, 10);
  pool.ReplaceByAdditional(11, 11);
  EXPECT_EQ(pool.Outdated(), "cccc");
}

// After a release that has stopped halfway, a crashed worker starts again in the same version. That
// must not count as the release going on.
TEST(ReleaseTracker, ARestartDoesNotContinueAReplacement) {
  ReplacedPool pool;
  pool.ReplaceByAdditional(10, 0);
  pool.ReplaceByAdditional(11, 1);
  pool.now += seconds(31);
  ASSERT_EQ(pool.Outdated(), "cccc");
  pool.Record(2, "1", 5);
  EXPECT_EQ(pool.Outdated(), "cccc");
}

}  // namespace
}  // namespace turmericshift::releases
