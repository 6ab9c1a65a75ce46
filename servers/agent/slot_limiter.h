// Limits the concurrency of a target: a fixed number of requests run, a limited number wait, and
// all others are refused immediately. Slots and queue are shared between workspaces by max-min
// fairness: the workspace with the lowest usage is served first, and requests of the workspace with
// the highest usage are shed first.
#pragma once

#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <utility>

#include "core/clock.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class SlotLimiter {
 public:
  // At most `slots` requests run, and at most `connections` run or wait.
  SlotLimiter(int slots, int connections);

  // Owns a slot until destroyed.
  class Slot {
   public:
    Slot(SlotLimiter* limiter, std::string workspace, Time acquired_at)
        : limiter_(limiter), workspace_(std::move(workspace)), acquired_at_(acquired_at) {}
    Slot(Slot&& other) noexcept
        : limiter_(std::exchange(other.limiter_, nullptr)),
          workspace_(std::move(other.workspace_)),
          acquired_at_(other.acquired_at_) {}
    Slot& operator=(Slot&&) = delete;
    ~Slot();

   private:
    SlotLimiter* limiter_;
    std::string workspace_;
    Time acquired_at_;
  };

  // Waits for a slot until `deadline`. Throws, always with outcome not_run: Error(kOverloaded) if
  // the queue is full, the expected wait exceeds the deadline, or the request was shed;
  // Error(kDeadlineExceeded) if no slot became free in time; Error(kCancelled) after CancelWaiting;
  // Error(kLeaving) after Close.
  Slot Acquire(const std::string& workspace, const std::string& request_id, Time now,
               Time deadline);
  // Cancels the request if it is waiting. Returns whether it was.
  bool CancelWaiting(const std::string& request_id);
  // Refuses all waiting and future requests. Running requests are not affected.
  void Close();

  void SetLimits(int slots, int connections);
  TargetLoad load() const;

 private:
  enum class WaitState { kWaiting, kGranted, kShed, kCancelled, kClosed };
  struct Waiter {
    std::string workspace;
    std::string request_id;
    Time deadline;
    WaitState state = WaitState::kWaiting;
  };
  using Queue = std::list<Waiter*>;

  void ReleaseSlot(const std::string& workspace, Time acquired_at, Time now);
  // Grants free slots to waiting requests.
  void Grant(Time now);
  Queue::iterator NextToRun();
  // Makes room for `workspace` by shedding the newest waiting request of the workspace with the
  // highest usage, if that exceeds this workspace's. Returns whether a request was shed.
  bool ShedFor(const std::string& workspace);
  int Usage(const std::string& workspace) const;
  void RequireCapacity(const std::string& workspace, Time now, Time deadline);
  [[noreturn]] static void ThrowFor(WaitState state);

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int slots_;
  int connections_;
  bool closed_ = false;
  int running_ = 0;
  Queue queue_;
  // Numbers of running and waiting requests of each workspace that has any.
  std::map<std::string, int> running_of_;
  std::map<std::string, int> waiting_of_;
  // Moving average of the time that a slot is held. Zero before the first sample.
  Duration average_hold_time_{};
};

}  // namespace turmericshift
