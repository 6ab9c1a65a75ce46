#include "rpc/offload.h"

#include <gtest/gtest.h>
#include <kj/async-io.h>

#include <atomic>
#include <latch>
#include <thread>

#include "core/thread.h"
#include "core/thread_pool.h"
#include "tests/stand_ins/hang_guard.h"

namespace turmericshift {
namespace {

// A loop on a thread of its own, with a promise of work on a pool that nobody waits for, like a
// peer's call.
class LoopWithWork {
 public:
  explicit LoopWithWork(std::function<int()> work)
      : thread_("loop", [this, work = std::move(work)] { Run(work); }) {}

  // Destroys the loop.
  void End() { end_.count_down(); }
  void Join() { thread_.Join(); }

 private:
  void Run(const std::function<int()>& work) {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    Offload<int>(&pool_, work).ignoreResult().detach([](kj::Exception&&) {});
    // Does not run the loop, so that a result which has arrived is still queued.
    end_.wait();
  }

  std::latch end_{1};
  ThreadPool pool_{"work", 1};
  Thread thread_;
};

// A pool thread that returned a result to a destroyed loop would crash the process.
TEST(Offload, DropsAResultThatComesAfterTheLoop) {
  RunGuarded([] {
    std::latch ended(1);
    LoopWithWork loop([&] {
      ended.wait();
      return 1;
    });
    loop.End();
    loop.Join();
    ended.count_down();
  });
}

// The pool thread returns its result while the loop is being destroyed: before, during or after.
TEST(Offload, DropsAResultThatComesWhileTheLoopEnds) {
  constexpr int kRounds = 1000;
  RunGuarded([] {
    for (int round = 0; round < kRounds; ++round) {
      std::latch both(2);
      LoopWithWork loop([&] {
        both.arrive_and_wait();
        return 1;
      });
      both.arrive_and_wait();
      loop.End();
      loop.Join();
    }
  });
}

// A value whose first move blocks, when it is moved into the promise.
struct BlockingValue {
  explicit BlockingValue(std::latch* moving, std::latch* go_on) : moving_(moving), go_on_(go_on) {}
  BlockingValue(BlockingValue&& other) noexcept {
    if (other.moving_ == nullptr) return;
    other.moving_->count_down();
    other.go_on_->wait();
  }
  BlockingValue& operator=(BlockingValue&& other) = delete;
  ~BlockingValue() = default;
  BlockingValue(const BlockingValue&) = delete;
  BlockingValue& operator=(const BlockingValue&) = delete;

 private:
  std::latch* moving_ = nullptr;
  std::latch* go_on_ = nullptr;
};

// A loop that is destroyed while another thread writes a result into its promise waits for that
// thread. Otherwise the thread would write into freed memory.
TEST(CrossThreadFulfiller, HoldsTheLoopWhileItWritesTheResult) {
  RunGuarded([] {
    std::latch moving(1);
    std::latch go_on(1);
    std::atomic<bool> ended{false};
    kj::Own<kj::CrossThreadPromiseFulfiller<BlockingValue>> fulfiller;
    std::latch made(1);
    Thread loop("loop", [&] {
      {
        kj::AsyncIoContext io = kj::setupAsyncIo();
        auto pair = kj::newPromiseAndCrossThreadFulfiller<BlockingValue>();
        fulfiller = kj::mv(pair.fulfiller);
        pair.promise.ignoreResult().detach([](kj::Exception&&) {});
        made.count_down();
        moving.wait();
      }
      ended.store(true);
    });
    made.wait();
    Thread writer("writer", [&] { fulfiller->fulfill(BlockingValue(&moving, &go_on)); });
    moving.wait();
    // Gives a loop that does not wait the opportunity to end. A loop that waits can't end here.
    constexpr int kLooks = 1000;
    for (int look = 0; look < kLooks; ++look) {
      EXPECT_FALSE(ended.load());
      std::this_thread::yield();
    }
    go_on.count_down();
    writer.Join();
    loop.Join();
  });
}

// A result that has arrived but was not delivered is dropped with the loop.
TEST(Offload, DropsAResultThatWaitsInTheLoop) {
  RunGuarded([] {
    kj::Own<kj::CrossThreadPromiseFulfiller<int>> fulfiller;
    std::latch made(1);
    std::latch fulfilled(1);
    Thread loop("loop", [&] {
      kj::AsyncIoContext io = kj::setupAsyncIo();
      auto pair = kj::newPromiseAndCrossThreadFulfiller<int>();
      fulfiller = kj::mv(pair.fulfiller);
      pair.promise.ignoreResult().detach([](kj::Exception&&) {});
      made.count_down();
      fulfilled.wait();
    });
    made.wait();
    fulfiller->fulfill(1);
    fulfilled.count_down();
    loop.Join();
  });
}

}  // namespace
}  // namespace turmericshift
