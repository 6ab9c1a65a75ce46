#include "servers/agent/slot_limiter.h"

#include "core/error.h"

namespace turmericshift {

SlotLimiter::SlotLimiter(int slots, int connections) : slots_(slots), connections_(connections) {}

SlotLimiter::Slot::~Slot() {
  if (limiter_ != nullptr) limiter_->Free();
}

SlotLimiter::Slot SlotLimiter::Acquire(Time deadline) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (running_ + queued_ >= connections_) {
    throw Error(ErrorKind::kOverloaded, "the target's connections are all in use");
  }
  ++queued_;
  const bool came_free = freed_.wait_until(lock, deadline, [this] { return running_ < slots_; });
  --queued_;
  if (!came_free) {
    throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun, "no slot came free in time");
  }
  ++running_;
  return Slot(this);
}

void SlotLimiter::SetLimits(int slots, int connections) {
  const std::lock_guard<std::mutex> lock(mutex_);
  slots_ = slots;
  connections_ = connections;
  freed_.notify_all();
}

TargetLoad SlotLimiter::load() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {running_, queued_, slots_};
}

void SlotLimiter::Free() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  freed_.notify_one();
}

}  // namespace turmericshift
