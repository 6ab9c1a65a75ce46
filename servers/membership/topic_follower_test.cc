#include "servers/membership/topic_follower.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <thread>

#include "modules/stand_ins/memory_keyed_log.h"

namespace turmericshift::membership {
namespace {

using std::chrono::milliseconds;

constexpr Duration kWait = milliseconds(400);

// A store whose clock runs slightly fast, so that its waits end early by the reader's clock.
class FastClockLog : public MemoryKeyedLog {
 public:
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override {
    return MemoryKeyedLog::Read(topic, from, wait * 95 / 100, timeout);
  }
};

// Nothing is written, so polls end empty after their wait. If freshness were counted from the
// request, the view would seem up to two waits old. An entry in constant contact would consider
// itself disconnected and never take over from a failed planner.
TEST(TopicFollower, CountsFreshnessFromEndOfEmptyPollThatEndsEarly) {
  FastClockLog log;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<Duration> ages;
  FollowerOptions options;
  options.topic = "t";
  options.poll_wait = kWait;
  {
    const TopicFollower follower(
        options, &log, [](const KeyedRecord& /*record*/) {},
        [&](Offset /*end*/, Time requested_at) {
          const std::lock_guard<std::mutex> lock(mutex);
          ages.push_back(LeaseClock().Now() - requested_at);
          changed.notify_all();
        },
        [] {});
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_for(lock, std::chrono::seconds(60), [&] { return ages.size() >= 3; });
  }
  ASSERT_GE(ages.size(), 3U);
  // The first age is that of the initial page. The later ages follow empty polls, whose freshness
  // is counted from nine tenths of the wait, so they are far below half of it.
  EXPECT_LT(ages[1], kWait / 2);
  EXPECT_LT(ages[2], kWait / 2);
}

class CountingLog : public MemoryKeyedLog {
 public:
  KeyedBatch Read(const std::string& topic, Offset from, Duration wait, Duration timeout) override {
    reads.fetch_add(1);
    return MemoryKeyedLog::Read(topic, from, wait, timeout);
  }
  std::atomic<int> reads{0};
};

// Hundreds of processes start together and each writes a record. Without a delay between polls each
// process woke for every record, and the store answered a number of reads quadratic in the number
// of processes.
TEST(TopicFollower, ReadsRecordsInQuickSuccessionInOneCall) {
  constexpr int kRecords = 200;
  CountingLog log;
  std::atomic<int> seen{0};
  FollowerOptions options;
  options.topic = "t";
  options.poll_wait = kWait;
  options.read_gap = [] { return milliseconds(300); };
  {
    const TopicFollower follower(
        options, &log, [&](const KeyedRecord& /*record*/) { seen.fetch_add(1); },
        [](Offset /*end*/, Time /*requested_at*/) {}, [] {});
    while (log.reads.load() == 0) std::this_thread::yield();
    for (int record = 0; record < kRecords; ++record) {
      log.Append("t", {{std::to_string(record), "value"}}, {}, milliseconds(100));
    }
    while (seen.load() < kRecords) std::this_thread::yield();
    EXPECT_LT(log.reads.load(), kRecords / 2);
  }
}

// The store has trimmed the history that the reader wanted to continue from. The reader starts
// again from the newest record of each key and misses none.
TEST(TopicFollower, RestartsWhenHistoryIsTrimmed) {
  MemoryKeyedLog log;
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> seen;
  int restarts = 0;
  FollowerOptions options;
  options.topic = "t";
  options.poll_wait = milliseconds(50);
  {
    const TopicFollower follower(
        options, &log,
        [&](const KeyedRecord& record) {
          const std::lock_guard<std::mutex> lock(mutex);
          seen.push_back(record.value);
          changed.notify_all();
        },
        [](Offset /*end*/, Time /*requested_at*/) {},
        [&] {
          const std::lock_guard<std::mutex> lock(mutex);
          ++restarts;
          changed.notify_all();
        });
    std::unique_lock<std::mutex> lock(mutex);
    changed.wait_for(lock, std::chrono::seconds(60), [&] { return restarts == 1; });
    log.Append("t", {{"k", "one"}}, {}, milliseconds(100));
    log.DropHistory("t");
    log.Append("t", {{"k", "two"}}, {}, milliseconds(100));
    changed.wait_for(lock, std::chrono::seconds(60),
                     [&] { return !seen.empty() && seen.back() == "two"; });
  }
  EXPECT_EQ(seen.back(), "two");
}

// A view that is not followed closely, of a topic with one record.
class IdleView {
 public:
  explicit IdleView(KeyedLog* log, Duration idle_interval = std::chrono::hours(1)) {
    FollowerOptions options;
    options.topic = "t";
    options.poll_wait = milliseconds(50);
    options.idle_interval = idle_interval;
    follower = std::make_unique<TopicFollower>(
        options, log,
        [this](const KeyedRecord& record) {
          const std::lock_guard<std::mutex> lock(mutex_);
          newest_ = record.value;
        },
        [this](Offset /*end*/, Time /*requested_at*/) { reads_.fetch_add(1); }, [] {});
    // The newest record of each key, and the first read after it.
    while (reads_.load() < 2) std::this_thread::yield();
  }

  std::string newest() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return newest_;
  }
  int reads() const { return reads_.load(); }

  std::unique_ptr<TopicFollower> follower;

 private:
  std::mutex mutex_;
  std::string newest_;
  std::atomic<int> reads_{0};
};

// Hundreds of processes have a view of a topic that changes several times a second. If each read
// every change, the calls to the store would grow with the product of processes and changes.
TEST(TopicFollower, ReadsNoRecordsWhileIdle) {
  MemoryKeyedLog log;
  IdleView view(&log);
  for (int record = 0; record < 20; ++record) log.Append("t", {{"k", "v"}}, {}, kWait);
  view.follower->Refresh(Duration::zero(), std::chrono::seconds(30), LeaseClock().Now());
  EXPECT_EQ(view.reads(), 3);
}

// A caller asks for the state of a job that has ended since the last read.
TEST(TopicFollower, RefreshReadsWhatWasAppended) {
  MemoryKeyedLog log;
  IdleView view(&log);
  log.Append("t", {{"k", "new"}}, {}, kWait);
  view.follower->Refresh(Duration::zero(), std::chrono::seconds(30), LeaseClock().Now());
  EXPECT_EQ(view.newest(), "new");
}

// Guards against a read for each caller: calls within the maximum age share one.
TEST(TopicFollower, RefreshUsesAViewThatIsRecentEnough) {
  MemoryKeyedLog log;
  IdleView view(&log);
  for (int call = 0; call < 10; ++call) {
    view.follower->Refresh(std::chrono::hours(1), std::chrono::seconds(30), LeaseClock().Now());
  }
  EXPECT_EQ(view.reads(), 2);
}

// Callers must not be held up by a store that does not answer.
TEST(TopicFollower, RefreshDoesNotWaitWhileTheStoreIsLost) {
  MemoryKeyedLog log;
  FaultyKeyedLog link(&log);
  IdleView view(&link);
  link.SetFaults({true, false});
  // The first call finds out.
  view.follower->Refresh(Duration::zero(), std::chrono::seconds(30), LeaseClock().Now());
  const Time begin = LeaseClock().Now();
  view.follower->Refresh(Duration::zero(), std::chrono::hours(1), begin);
  EXPECT_LT(LeaseClock().Now() - begin, std::chrono::seconds(30));
}

// An entry whose planner fails looks for the next one at once, not at its next rare read.
TEST(TopicFollower, FollowsCloselyFromNowOn) {
  MemoryKeyedLog log;
  IdleView view(&log);
  const Time now = LeaseClock().Now();
  view.follower->FollowCloselyUntil(now + std::chrono::hours(1), now);
  log.Append("t", {{"k", "new"}}, {}, kWait);
  while (view.newest() != "new") std::this_thread::yield();
}

}  // namespace
}  // namespace turmericshift::membership
