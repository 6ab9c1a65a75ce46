// The target's own limits: so many requests run, a few wait, the rest are refused at once.
#pragma once

#include <condition_variable>
#include <mutex>
#include <utility>

#include "core/clock.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class SlotLimiter {
 public:
  // At most `slots` run and at most `connections` run or wait.
  SlotLimiter(int slots, int connections);

  // Holds a slot until destroyed.
  class Slot {
   public:
    explicit Slot(SlotLimiter* limiter) : limiter_(limiter) {}
    Slot(Slot&& other) noexcept : limiter_(std::exchange(other.limiter_, nullptr)) {}
    Slot& operator=(Slot&&) = delete;
    ~Slot();

   private:
    SlotLimiter* limiter_;
  };

  // Waits for a slot until `deadline`. Throws Error(kOverloaded) when too many wait already, and
  // Error(kDeadlineExceeded) when none came free in time; both with outcome not_run.
  Slot Acquire(Time deadline);

  void SetLimits(int slots, int connections);
  TargetLoad load() const;

 private:
  void Free();

  mutable std::mutex mutex_;
  std::condition_variable freed_;
  int slots_;
  int connections_;
  int running_ = 0;
  int queued_ = 0;
};

}  // namespace turmericshift
