#include "core/thread_pool.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "core/error.h"
#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift {
namespace {

class Latch {
 public:
  void Open() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      open_ = true;
    }
    changed_.notify_all();
  }
  void Wait() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [this] { return open_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool open_ = false;
};

// Callers report a refused call as not run. If the work stayed in the queue, it would run later.
TEST(ThreadPoolTest, WorkThatWasRefusedForLackOfThreadsNeverRuns) {
  std::atomic<int> refused_runs{0};
  std::atomic<int> runs{0};
  {
    ThreadPool pool("pool", 2);
    {
      const ThreadShortage shortage("pool");
      try {
        pool.Submit([&] { refused_runs.fetch_add(1); });
        ADD_FAILURE() << "the work was taken";
      } catch (const Error& error) {
        EXPECT_EQ(error.kind(), ErrorKind::kUnavailable);
        EXPECT_EQ(error.outcome(), Outcome::kNotRun);
      }
    }
    pool.Submit([&] { runs.fetch_add(1); });
  }
  EXPECT_EQ(refused_runs.load(), 0);
  EXPECT_EQ(runs.load(), 1);
}

// A pool that can't grow still has threads that run the work, so the caller must not be told of a
// failure.
TEST(ThreadPoolTest, WorkWaitsForBusyThreadsWhenNoFurtherThreadStarts) {
  std::atomic<int> runs{0};
  Latch busy;
  Latch release;
  {
    ThreadPool pool("pool", 2);
    pool.Submit([&] {
      busy.Open();
      release.Wait();
    });
    busy.Wait();
    const ThreadShortage shortage("pool");
    EXPECT_NO_THROW(pool.Submit([&] { runs.fetch_add(1); }));
    EXPECT_EQ(shortage.refusals(), 1);
    release.Open();
  }
  EXPECT_EQ(runs.load(), 1);
}

}  // namespace
}  // namespace turmericshift
