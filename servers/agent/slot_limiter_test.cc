#include "servers/agent/slot_limiter.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "core/result.h"
#include "core/thread.h"

namespace turmericshift {
namespace {

constexpr Duration kLong = std::chrono::minutes(1);

using SlotPointer = std::unique_ptr<SlotLimiter::Slot>;

SlotPointer AcquireSlot(SlotLimiter* limiter, const std::string& workspace, const std::string& id) {
  const Time now = DefaultClock().Now();
  return std::make_unique<SlotLimiter::Slot>(limiter->Acquire(workspace, id, now, now + kLong));
}

void WaitForQueue(const SlotLimiter& limiter, int queued) {
  while (limiter.load().queued != queued) std::this_thread::yield();
}

// A thread that waits for a slot and stores the result.
struct Waiting {
  Waiting(SlotLimiter* limiter, const std::string& workspace, const std::string& id)
      : thread("wait", [this, limiter, workspace, id] {
          outcome = ResultOf<SlotPointer>([&] { return AcquireSlot(limiter, workspace, id); });
        }) {}
  Result<SlotPointer> outcome;
  Thread thread;
};

// One workspace floods the target while another sends a single request. Without fair shedding, the
// single request is refused because the flood has filled the queue.
TEST(SlotLimiterTest, FloodingWorkspaceIsShedForIdleWorkspace) {
  SlotLimiter limiter(1, 3);
  SlotPointer running = AcquireSlot(&limiter, "flood", "f0");
  Waiting first(&limiter, "flood", "f1");
  WaitForQueue(limiter, 1);
  Waiting second(&limiter, "flood", "f2");
  WaitForQueue(limiter, 2);
  Waiting single(&limiter, "single", "s1");
  second.thread.Join();
  ASSERT_TRUE(second.outcome.error);
  EXPECT_EQ(second.outcome.error->kind(), ErrorKind::kOverloaded);
  EXPECT_EQ(second.outcome.error->outcome(), Outcome::kNotRun);
  WaitForQueue(limiter, 2);
  running.reset();
  // Neither workspace has a running request now, so the older request is first.
  first.thread.Join();
  EXPECT_TRUE(first.outcome.value);
  first.outcome.value.reset();
  single.thread.Join();
  EXPECT_TRUE(single.outcome.value);
}

// A target leaves while requests wait for a slot. They must be refused immediately, so that their
// entries can send them elsewhere; running requests go on.
TEST(SlotLimiterTest, CloseRefusesWaitingRequests) {
  SlotLimiter limiter(1, 3);
  const SlotPointer running = AcquireSlot(&limiter, "a", "1");
  Waiting waiting(&limiter, "a", "2");
  WaitForQueue(limiter, 1);
  limiter.Close();
  waiting.thread.Join();
  ASSERT_TRUE(waiting.outcome.error);
  EXPECT_EQ(waiting.outcome.error->kind(), ErrorKind::kLeaving);
  EXPECT_EQ(limiter.load().running, 1);
}

TEST(SlotLimiterTest, ACancelledRequestStopsWaiting) {
  SlotLimiter limiter(1, 3);
  const SlotPointer running = AcquireSlot(&limiter, "a", "1");
  Waiting waiting(&limiter, "a", "2");
  WaitForQueue(limiter, 1);
  EXPECT_TRUE(limiter.CancelWaiting("2"));
  waiting.thread.Join();
  ASSERT_TRUE(waiting.outcome.error);
  EXPECT_EQ(waiting.outcome.error->kind(), ErrorKind::kCancelled);
}

TEST(SlotLimiterTest, RaisedSlotLimitReleasesWaitingRequests) {
  SlotLimiter limiter(1, 3);
  const SlotPointer running = AcquireSlot(&limiter, "a", "1");
  Waiting waiting(&limiter, "a", "2");
  WaitForQueue(limiter, 1);
  limiter.SetLimits(2, 3);
  waiting.thread.Join();
  EXPECT_TRUE(waiting.outcome.value);
}

}  // namespace
}  // namespace turmericshift
